#pragma once

#include <jasminespread/backend_transport.h>
#include <jasminespread/error.h>
#include <jasminespread/group_record.h>
#include <jasminespread/instance_settings.h>
#include <jasminespread/metrics_registry.h>
#include <jasminespread/routing_table.h>

#include <peer.pb.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace jasminespread {

/// The data path of an instance: worker threads that serve callers' requests and forwarded requests.
class WorkerPool {
public:
    struct Hooks {
        /// A backend server or a primary refused the local route to a group. Called on a worker thread, at most
        /// every 50 ms per worker and group.
        std::function<void(const GroupName&)> routeRefused;
        /// Creates the transport to backend servers, once on each worker thread. Empty: the default transport.
        std::function<BackendTransport()> makeTransport;
    };

    /// Precondition: @p table and @p metrics outlive the pool.
    WorkerPool(InstanceSettings settings, std::uint64_t incarnation, RoutingTable& table, MetricsRegistry& metrics,
        Hooks hooks);
    /// Stops the workers immediately if they still run.
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    /// Binds the caller and forward addresses and starts the threads. Fails with AddressInUse.
    [[nodiscard]] Result<void> start();
    /// Stops accepting connections and waits until requests in flight are answered, at most @p timeout. Then ends
    /// the threads. Returns the number of requests that were cut off. Blocks; not thread-safe.
    [[nodiscard]] std::size_t drain(Milliseconds timeout);
    /// Returns the hottest keys per service since the last call, rates in requests/s. Thread-safe.
    [[nodiscard]] std::vector<wire::HotKeyReport> takeHotKeys();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jasminespread
