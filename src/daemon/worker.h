#pragma once

#include "base/glib_pointer.h"
#include "daemon/caller_listener.h"
#include "daemon/forward_sockets.h"
#include "entry/hot_key_sketch.h"
#include "entry/request_reducer.h"

#include <jasminespread/instance_settings.h>
#include <jasminespread/metrics_registry.h>
#include <jasminespread/routing_table.h>
#include <jasminespread/worker_pool.h>

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>

namespace jasminespread {

/// One worker thread: passes events from its sockets to a RequestReducer and executes the resulting effects.
class Worker {
public:
    /// Preconditions: @p zmqContext, @p table and @p metrics outlive the worker.
    Worker(const InstanceSettings& settings, std::uint32_t index, std::uint64_t incarnation, void* zmqContext,
        RoutingTable& table, MetricsRegistry& metrics, WorkerPool::Hooks hooks);
    ~Worker();
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    /// Binds the addresses and starts the thread. Blocks until both are done.
    [[nodiscard]] Result<void> start();
    /// Starts the drain: the worker stops accepting connections once its backlog is empty. Thread-safe.
    void startDrain();
    /// Number of requests in flight; at least 1 while a draining worker still listens. Thread-safe.
    [[nodiscard]] std::size_t requestsInFlight() const noexcept;
    /// Adds this worker's counts of hot keys to @p counts, by service and key, and resets them. Thread-safe.
    void takeHotKeys(std::map<std::string, std::map<std::string, std::uint64_t>>& counts);
    /// Ends the thread without waiting for requests in flight. Not thread-safe.
    void stop();

private:
    struct LogRateLimit {
        MonotonicTime lastWrittenAt;
        std::uint64_t suppressed = 0;
    };

    [[nodiscard]] Result<void> open();
    void close();
    void run();
    void onTick();
    void onCallerRequest(std::uint64_t caller, RawRequest&& raw);
    void updateGauges();
    [[nodiscard]] MetricsRegistry::Counter& counter(
        const std::string& name, const std::string& labels, const std::string& help);
    [[nodiscard]] MetricsRegistry::Gauge& gauge(
        const std::string& name, const std::string& labels, const std::string& help);
    void onEnvelope(wire::Envelope&& envelope, const std::string& peerIp);
    void apply(WorkerEvent&& event);
    void refreshRoutes();
    [[nodiscard]] bool isPeerAddress(const std::string& ip) const;
    [[nodiscard]] wire::Envelope makeEnvelope() const;

    void execute(AnswerCaller&& effect);
    void execute(SendToBackend&& effect);
    void execute(CancelDispatch&& effect);
    void execute(SendForward&& effect);
    void execute(SendForwardCancel&& effect);
    void execute(SendForwardAnswer&& effect);
    void execute(ReportRefusedRoute&& effect);
    void execute(RecordRequest&& effect);
    void execute(IncrementCounter&& effect);
    void execute(CountRetry&& effect);
    void execute(WriteWorkerLog&& effect);

    InstanceSettings m_settings;
    std::uint32_t m_index;
    std::uint64_t m_incarnation;
    void* m_zmqContext;
    RoutingTable& m_routingTable;
    MetricsRegistry& m_metrics;
    WorkerPool::Hooks m_hooks;
    std::string m_forwardAddress; ///< Address at which this worker receives forwarded requests and answers.
    std::string m_replyAddress; ///< m_forwardAddress with the ZeroMQ transport prefix.

    GMainContextPointer m_context;
    std::thread m_thread;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_drainRequested = false;
    std::atomic<bool> m_listening = true;
    std::atomic<std::size_t> m_inFlight = 0; ///< As of the last tick.
    std::mutex m_hotKeysMutex;
    std::map<std::string, HotKeySketch, std::less<>> m_hotKeys; ///< By service.

    /// @name State of the worker's thread
    /// @{
    RequestReducer m_reducer;
    std::shared_ptr<const RoutingSnapshot> m_snapshot;
    std::set<std::string> m_peerIps;
    std::unique_ptr<CallerListener> m_listener;
    std::unique_ptr<ForwardSockets> m_sockets;
    std::unique_ptr<BackendTransport> m_transport;
    GSourcePointer m_tickSource;
    std::unordered_map<std::uint64_t, BackendTransport::Handle> m_dispatches;
    std::deque<WorkerEvent> m_events; ///< Events queued while effects are executed.
    bool m_applyingEvents = false;
    bool m_draining = false;
    std::uint64_t m_tickCount = 0;
    std::map<std::string, MetricsRegistry::Counter*> m_counters;
    std::map<std::string, MetricsRegistry::Gauge*> m_gauges;
    std::map<std::string, MetricsRegistry::Histogram*> m_histograms;
    std::set<std::string> m_serversWithGauges;
    std::map<LogEvent, LogRateLimit> m_logRateLimits;
    std::uint64_t m_countedConnections = 0; ///< Opened connections that the metrics already include.
    /// @}
};

} // namespace jasminespread
