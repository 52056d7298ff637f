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

/// Event loop of an instance's control thread: turns I/O into events for the reducer and executes the resulting
/// effects. Never blocks on a peer, a server or the store. Construct, start, run and destroy it on one thread; only
/// methods documented as thread-safe may be called from other threads.
class ControlLoop {
public:
    struct Hooks {
        /// Handles an event and returns its effects; ControlReducer::reduce in the daemon.
        std::function<Effects(const TimedEvent&)> reduce;
        /// Creates the store client. Called by start(), when the thread's default main context is the loop's.
        std::function<ObjectStore()> makeStore;
        /// Returns the hottest keys since the last call. Called every second.
        std::function<std::vector<wire::HotKeyReport>()> takeHotKeys;
        /// Called once, when the groups are handed over or InstanceSettings::shutdownTimeout has passed since
        /// requestShutdown().
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

    /// Reports the instance as not ready and makes the reducer hand over the groups. Further calls do nothing.
    void requestShutdown();
    /// Passes a refused route to the reducer. Thread-safe; does not block.
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
