#pragma once

#include "entry/class_queue.h"
#include "entry/concurrency_limiter.h"
#include "entry/request_window.h"
#include "entry/retry_budget.h"
#include "entry/worker_effect.h"
#include "entry/worker_event.h"

#include <jasminespread/instance_settings.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jasminespread {

/// Longest delay before a retry.
inline constexpr Milliseconds maxRetryDelay {500};

/// The state machine of one worker: routes requests of callers and of other instances, and matches answers to them.
/// Reads no clock and does no I/O, and draws random numbers from the given seed. Not thread-safe.
class RequestReducer {
public:
    RequestReducer(const InstanceSettings& settings, std::uint32_t workerIndex, std::uint64_t seed);

    /// Applies one event and returns the effects to execute, in order.
    /// Precondition: event times never go backwards.
    [[nodiscard]] WorkerEffects reduce(TimedWorkerEvent event);

    struct ServerLoad {
        std::string server;
        std::uint32_t slotsInUse = 0;
        double limit = 0;
        std::size_t queued = 0;
    };

    /// Returns the load that this worker puts on each backend server.
    [[nodiscard]] std::vector<ServerLoad> serverLoads() const;
    /// Number of unanswered requests.
    [[nodiscard]] std::size_t requestsInFlight() const noexcept { return m_jobs.size(); }

private:
    enum class Phase : std::uint8_t {
        Waiting, ///< For a route, the start of serving, or the delay before a retry.
        Queued, ///< For a slot of a backend server.
        Dispatched, ///< Sent to a backend server.
        Forwarded, ///< Sent to the primary of its group.
        Joined ///< Shares the answer of a running job with the same request id.
    };

    /// Instance id, incarnation and correlation of a forwarded request.
    using OriginKey = std::tuple<std::string, std::uint64_t, std::uint64_t>;

    /// Instance that forwarded a request, with the address and correlation for the answer.
    struct ForwardOrigin {
        InstanceReference sender;
        std::string replyAddress;
        std::uint64_t correlation = 0;
    };

    /// Server, token and term of a route. A waiting job is routed again as soon as they change.
    struct RouteVersion {
        std::string server;
        std::uint64_t token = 0;
        std::uint64_t term = 0;

        bool operator==(const RouteVersion&) const = default;
    };

    struct Server {
        ConcurrencyLimiter limiter;
        ClassQueue queue;
    };

    struct GroupWindow {
        RequestWindow requests;
        std::uint64_t term = 0; ///< Newest term in which this instance admitted requests of the group.
    };

    /// One request in flight at this worker.
    struct Job {
        std::uint64_t number = 0;
        CallerRequest request;
        std::uint64_t caller = 0; ///< 0 when the request was forwarded here or its caller disconnected.
        std::optional<ForwardOrigin> origin; ///< Empty when a caller sent the request here or the sender cancelled it.
        bool requiresPrimary = false; ///< The request was forwarded here: only the primary may dispatch it.
        MonotonicTime arrivedAt;
        MonotonicTime deadline;
        MonotonicTime wakeupAt; ///< Time of the job's next timer; at most the deadline.
        Phase phase = Phase::Waiting;
        std::uint64_t attemptId = 0; ///< Dispatch number or correlation of the current attempt; 0 when none.
        std::string forwardAddress;
        InstanceReference forwardedTo;
        std::uint32_t group = 0;
        RouteVersion route; ///< Route of the latest dispatch, forward or queueing.
        unsigned failedAttempts = 0; ///< Dispatches refused or failed since the route changed.
        bool dispatchedBefore = false;
        std::string queuedClass; ///< Work class under which the job is queued.
        bool mayHaveRun = false; ///< An earlier attempt of this repeatable request may have run.
        std::string lastReason; ///< Reason code for which the last attempt did not run.
        bool inWindow = false; ///< The window of `windowGroup` records the request as running.
        std::uint32_t windowGroup = 0;
        std::uint64_t joinedJob = 0; ///< Job whose answer this one shares.
        std::vector<std::uint64_t> joiners; ///< Jobs that share this one's answer.
    };

    void handle(CallerRequestReceived&& event);
    void handle(CallerConnectionClosed&& event);
    void handle(ForwardReceived&& event);
    void handle(ForwardCancelled&& event);
    void handle(ForwardAnswered&& event);
    void handle(ForwardNotSent&& event);
    void handle(BackendFinished&& event);
    void handle(RoutesChanged&& event);
    void handle(WorkerTick&& event);

    Job& addJob(CallerRequest&& request, MonotonicTime deadline);
    Job* findJobByAttempt(std::uint64_t attemptId);
    void endAttempt(Job& job);
    void scheduleWakeup(Job& job, MonotonicTime at);

    void advance(Job& job);
    void advanceAtPrimary(Job& job, const ServiceRoute& service, const KeyRoute& route);
    void dispatchOrQueue(Job& job, const ServiceRoute& service, const KeyRoute& route, bool asPrimary);
    void dispatch(Job& job, const KeyRoute& route, bool asPrimary);
    void releaseSlot(Job& job, SlotResult result);
    void dispatchQueuedJobs();
    void removeFromQueue(Job& job);
    void forward(Job& job, const KeyRoute& route, const InstanceRoute& primary);
    [[nodiscard]] bool admitToWindow(Job& job, const GroupRoute& group);
    void closeWindowEntry(Job& job, const RequestAnswer& answer);
    void removeFromWindow(Job& job);
    [[nodiscard]] GroupWindow& groupWindow(const std::string& service, std::uint32_t group);
    void handleRefusal(Job& job, unsigned status, const std::string& reasonCode);
    void handleFailure(Job& job, const BackendResult& result);
    void forwardToNewPrimary(Job& job, const GroupRoute& group);
    void waitForRoute(Job& job, const GroupName& group, std::string_view reasonCode);
    void scheduleRetry(Job& job);
    void updateServerLimits();
    [[nodiscard]] Milliseconds retryDelay(unsigned failedAttempts);
    [[nodiscard]] RetryBudget& retryBudgetFor(const std::string& service);
    void expire(Job& job);
    void cancel(Job& job);
    void finish(Job& job, RequestAnswer&& answer);
    void answerWrongPrimary(Job& job);
    void removeJob(Job& job);
    void emit(WorkerEffect&& effect) { m_effects.push_back(std::move(effect)); }

    [[nodiscard]] bool isLocalPrimary(const GroupRoute& group) const;
    [[nodiscard]] RouteVersion routeVersionOf(const KeyRoute& route) const;

    std::uint32_t m_workerIndex;
    std::uint32_t m_maxRequests;
    RequestWindow::Limits m_windowLimits;
    std::uint32_t m_workersPerInstance;
    std::uint32_t m_queueLimit;
    double m_retryRatio;
    std::mt19937_64 m_random;
    std::shared_ptr<const RoutingSnapshot> m_snapshot;
    std::uint64_t m_nextNumber; ///< Number of the next job, dispatch or correlation.
    std::unordered_map<std::uint64_t, std::unique_ptr<Job>> m_jobs;
    std::unordered_map<std::uint64_t, std::uint64_t> m_jobsByAttempt; ///< By dispatch number or correlation.
    std::unordered_map<std::uint64_t, std::uint64_t> m_jobsByCaller; ///< By caller number.
    std::map<OriginKey, std::uint64_t> m_jobsByOrigin;
    std::map<std::pair<std::string, std::uint32_t>, GroupWindow> m_windows; ///< By service and group.
    std::unordered_map<std::string, Server> m_servers; ///< By server id.
    std::set<std::string> m_serversToDispatch; ///< Servers that may have a free slot and queued jobs.
    std::uint64_t m_dequeuedJob = 0; ///< Job just taken from a queue, which may use the free slot; 0: none.
    std::unordered_map<std::string, RetryBudget> m_retryBudgets; ///< By service.
    std::set<std::pair<MonotonicTime, std::uint64_t>> m_wakeups;
    std::map<std::pair<std::string, std::uint32_t>, MonotonicTime> m_refusedRouteReportedAt; ///< By service and group.

    MonotonicTime m_now;
    WallTime m_wallNow;
    WorkerEffects m_effects;
};

} // namespace jasminespread
