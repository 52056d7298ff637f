#pragma once

#include <jasminespread/effect.h>
#include <jasminespread/error.h>
#include <jasminespread/event.h>
#include <jasminespread/instance_settings.h>
#include <jasminespread/metrics_registry.h>
#include <jasminespread/object_store.h>
#include <jasminespread/routing_table.h>

#include <functional>
#include <memory>
#include <vector>

namespace jasminespread {

/// The control thread of an instance: turns I/O into events for the reducer and carries out its effects. It never
/// waits for a peer, a server or the store. Apart from routeRefused() and wake-ups it belongs to one thread:
/// constructed, started, run and destroyed there.
class ControlLoop {
public:
    struct Hooks {
        /// Decides; ControlReducer::reduce in the daemon.
        std::function<Effects(const TimedEvent&)> reduce;
        /// Makes the store. Called by start(), when the default main context of the thread is the loop's.
        std::function<ObjectStore()> makeStore;
        /// Returns the hottest keys since the last call. Called every second.
        std::function<std::vector<wire::HotKeyReport>()> takeHotKeys;
        /// The groups are handed over, or InstanceSettings::shutdownTimeout passed since requestShutdown(). Called
        /// once.
        std::function<void()> shutdownFinished;
    };

    /// Precondition: @p table and @p metrics outlive the loop.
    ControlLoop(const InstanceSettings& settings, std::uint64_t incarnation, RoutingTable& table,
        MetricsRegistry& metrics, Hooks hooks);
    ~ControlLoop();
    ControlLoop(const ControlLoop&) = delete;
    ControlLoop& operator=(const ControlLoop&) = delete;

    /// Binds the control and operator addresses. Fails with AddressInUse or InvalidInput.
    [[nodiscard]] Result<void> start();
    /// Handles events until quit() is called. Precondition: start() succeeded.
    void run();
    /// Ends run(). Thread-safe.
    void quit() noexcept;

    /// Ends readiness and asks the reducer to hand the groups over. Further calls do nothing.
    void requestShutdown();
    /// Reports a refused route. Thread-safe; returns at once.
    void reportRefusedRoute(const GroupName& group);
    /// Runs @p task later on the control thread. Thread-safe.
    void post(std::function<void()> task);

    /// Calls requestShutdown() on SIGTERM and SIGINT. Precondition: start() succeeded.
    void handleStopSignals();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jasminespread
