#include <jasminespread/worker_pool.h>

#include "daemon/worker.h"

#include <zmq.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <thread>

namespace jasminespread {
namespace {

constexpr Milliseconds drainPollInterval {5};
constexpr std::size_t maxReportedHotKeys = 64; ///< Per service.
constexpr double minRateIntervalSeconds = 0.001;

struct ZmqContextDeleter {
    void operator()(void* context) const noexcept { zmq_ctx_term(context); }
};

} // namespace

struct WorkerPool::State {
    InstanceSettings settings;
    std::uint64_t incarnation = 0;
    RoutingTable& table;
    MetricsRegistry& metrics;
    Hooks hooks;
    std::mutex hotKeysMutex {}; ///< Also held while `workers` changes.
    MonotonicTime hotKeysTakenAt = monotonicNow();
    std::unique_ptr<void, ZmqContextDeleter> zmqContext {zmq_ctx_new()};
    std::vector<std::unique_ptr<Worker>> workers {}; ///< Destroyed before the context that their sockets use.

    [[nodiscard]] std::size_t requestsInFlight() const
    {
        std::size_t n = 0;
        for (const std::unique_ptr<Worker>& worker : workers) {
            n += worker->requestsInFlight();
        }
        return n;
    }
};

WorkerPool::WorkerPool(
    InstanceSettings settings, std::uint64_t incarnation, RoutingTable& table, MetricsRegistry& metrics, Hooks hooks)
    : m_state(new State {std::move(settings), incarnation, table, metrics, std::move(hooks)})
{
}

WorkerPool::~WorkerPool() = default;

Result<void> WorkerPool::start()
{
    BOOST_LEAF_CHECK(CallerListener::checkAddressFree(m_state->settings.callerAddress));
    const std::lock_guard<std::mutex> lock(m_state->hotKeysMutex);
    for (std::uint32_t i = 0; i < m_state->settings.workers; ++i) {
        m_state->workers.push_back(std::make_unique<Worker>(m_state->settings, i, m_state->incarnation,
            m_state->zmqContext.get(), m_state->table, m_state->metrics, m_state->hooks));
        Result<void> started = m_state->workers.back()->start();
        if (!started) {
            m_state->workers.clear();
            return started;
        }
    }
    return {};
}

std::size_t WorkerPool::drain(Milliseconds timeout)
{
    for (const std::unique_ptr<Worker>& worker : m_state->workers) {
        worker->startDrain();
    }
    const MonotonicTime deadline = monotonicNow() + timeout;
    while (m_state->requestsInFlight() > 0 && monotonicNow() < deadline) {
        std::this_thread::sleep_for(drainPollInterval);
    }
    const std::size_t requestsCutOff = m_state->requestsInFlight();
    const std::lock_guard<std::mutex> lock(m_state->hotKeysMutex);
    m_state->workers.clear();
    return requestsCutOff;
}

std::vector<wire::HotKeyReport> WorkerPool::takeHotKeys()
{
    std::map<std::string, std::map<std::string, std::uint64_t>> counts;
    const std::lock_guard<std::mutex> lock(m_state->hotKeysMutex);
    for (const std::unique_ptr<Worker>& worker : m_state->workers) {
        worker->takeHotKeys(counts);
    }
    const MonotonicTime now = monotonicNow();
    const double seconds = std::chrono::duration<double>(now - std::exchange(m_state->hotKeysTakenAt, now)).count();
    std::vector<wire::HotKeyReport> reports;
    for (const auto& [service, keys] : counts) {
        std::vector<std::pair<std::uint64_t, std::string>> sorted;
        for (const auto& [key, count] : keys) {
            sorted.emplace_back(count, key);
        }
        std::sort(sorted.rbegin(), sorted.rend());
        sorted.resize(std::min(sorted.size(), maxReportedHotKeys));
        wire::HotKeyReport& report = reports.emplace_back();
        report.set_service(service);
        for (const auto& [count, key] : sorted) {
            wire::HotKeyRate& rate = *report.add_keys();
            rate.set_key(key);
            rate.set_requests_per_second(static_cast<double>(count) / std::max(seconds, minRateIntervalSeconds));
        }
    }
    return reports;
}

} // namespace jasminespread
