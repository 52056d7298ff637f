#pragma once

#include "gateway/cold_server_gate.h"
#include "gateway/execution_record.h"
#include "gateway/gateway_event.h"
#include "gateway/route_latency.h"
#include "gateway/server_availability.h"
#include "gateway/server_observation.h"
#include "gateway/server_selection.h"
#include "gateway/weighted_round_robin.h"
#include "ranges/range_event.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminespread {

/// Settings of the reducer.
struct GatewayReducerSettings {
    std::string failureDomain;
    std::string region;
    RetryBudgetLimits retryBudget;
    /// How long after announcing its shutdown a server may still get requests; see ServerAvailability.
    Milliseconds drainTime {2000};
    /// How long after the evacuation of a failure domain its servers may still get requests; nothing: the platform
    /// does not evacuate failure domains.
    std::optional<Milliseconds> evacuationTime {};
    /// Bound of the requests to a server during its slow start; nothing: they are not limited.
    std::optional<ColdServerLimits> coldLimits {};
};

/// Decision logic of an instance's data path: routes each request to a backend server of its service, retries and
/// hedges it, or answers it. Reads no clock and does no I/O; its random numbers come from the given seed. Not
/// thread-safe.
class GatewayReducer {
public:
    GatewayReducer(GatewayReducerSettings settings, std::uint64_t seed);

    /// Applies one event and returns the effects to execute, in order.
    /// Precondition: event times never go backwards.
    [[nodiscard]] GatewayEffects reduce(TimedGatewayEvent event);
    /// Returns the observed speeds since the last call and the requests in flight, for each server that has either.
    [[nodiscard]] std::vector<ObservedSpeed> takeSpeeds();
    /// Returns the listed servers that have stated that they are shutting down.
    [[nodiscard]] std::vector<ServerIdentity> leavingServers() const;
    /// Returns the demand for cold servers since the last call.
    [[nodiscard]] ColdDemands takeColdDemands();
    /// Number of unanswered requests.
    [[nodiscard]] std::size_t requestsInFlight() const noexcept { return m_jobs.size() + m_heldRequests.size(); }
    /// Whether a SendToServer effect that has waited, e.g. for a connection, may still be executed at @p now.
    /// Precondition: no byte of the request was written.
    [[nodiscard]] bool maySend(std::uint64_t dispatch, MonotonicTime now) const;
    /// Next time at which a GatewayTick is due; nothing while there are no requests.
    [[nodiscard]] std::optional<MonotonicTime> nextWake() const;

private:
    struct Server {
        ListedServer listed;
        ServerObservation observation;
        std::uint32_t otherInstancesInFlight = 0; ///< Requests from other instances, as of the last report.
        ServerAvailability availability;
        std::uint32_t heldRequests = 0; ///< Requests that wait for the end of its pause.
        std::uint32_t run = 0; ///< Number of the server's run under its id, among those that were listed here.
        bool isListed = false; ///< In the latest list.
        MonotonicTime unlistedAt; ///< When it was last missing from a list for the first time.
        MonotonicTime warmUpEndsAt; ///< End of its slow start, as of the first list with this run.
        MonotonicTime coldUntil; ///< End of its slow start, as of the latest list or its own statement.
    };

    struct Service {
        SharedRetryBudget budget;
        std::shared_ptr<const RangeTable> ranges; ///< Null until the first table; only of keyed services.
    };

    /// One send of a request to a server, while in flight.
    struct Dispatch {
        std::uint64_t number = 0;
        std::string server;
        std::uint32_t serverRun = 0; ///< Server::run at the dispatch.
        MonotonicTime startedAt;
        bool firstAfterPause = false; ///< ServerAvailability::onDispatched().
    };

    /// An unanswered request, or one that must finish although its caller has disconnected.
    struct Job {
        std::uint64_t number = 0;
        std::uint64_t caller = 0; ///< 0: the caller has disconnected.
        std::shared_ptr<const GatewayRequest> request;
        std::shared_ptr<const GatewayConfiguration> configuration; ///< The one that it was routed by.
        const HostRoute* route = nullptr; ///< Within `configuration`.
        std::string service;
        bool keyed = false;
        MonotonicTime arrivedAt;
        MonotonicTime deadline;
        MonotonicTime wakeAt; ///< When its next timer expires; never after the deadline.
        MonotonicTime hedgeAt; ///< When a hedge request is due.
        std::vector<Dispatch> dispatches; ///< At most two: the request and its hedge.
        std::set<std::string> triedServers; ///< Servers that it was dispatched to.
        std::set<std::string> triedAddresses; ///< Their addresses; several servers may be listed at one.
        std::uint32_t sendCount = 0; ///< Dispatches, excluding unsent and withheld ones.
        std::uint32_t unsentCount = 0; ///< Dispatches that failed before a byte was written.
        ExecutionRecord execution; ///< Of all its dispatches.
        std::optional<ServerAnswer> lastServerFailure; ///< Latest answer of a server that reports a failure.
        MonotonicTime waitingForOwnerSince; ///< When its key was first found without a usable owner; zero before.
        std::string heldFor; ///< Owner of its key that pauses, while it waits for the end of the pause.
        /// Version of the range table when a server answered that it does not own the key; 0: none.
        std::uint64_t notOwnerTableVersion = 0;
    };

    /// A request that arrived before the first configuration and server list.
    struct HeldRequest {
        RequestReceived received;
        MonotonicTime arrivedAt;
    };

    void handle(RequestReceived&& event);
    void handle(CallerDisconnected&& event);
    void handle(ServerAnswered&& event);
    void handle(SendFailed&& event);
    void handle(GatewayConfigured&& event);
    void handle(ServersListed&& event);
    void handle(EvacuationsListed&& event);
    void handle(RangeTableChanged&& event);
    void handle(ServerLoadsReported&& event);
    void handle(InstanceCountChanged&& event);
    void handle(ColdPermitsReceived&& event);
    void handle(MachineSuspended&& event);
    void handle(InstanceStopping&& event);
    void handle(GatewayTick&& event);

    /// @name Requests that arrived before the first configuration and server list
    /// @{
    [[nodiscard]] bool isLoading() const;
    /// Whether the evacuated failure domains are known, or there are none on this platform.
    [[nodiscard]] bool knowsEvacuations() const { return m_evacuationsListed || !m_settings.evacuationTime; }
    [[nodiscard]] bool canWaitForLoad(const GatewayRequest& request) const;
    void handleHeldRequests();
    /// @}

    /// @name Steps of a request
    /// @{
    /// Dispatches a request that is not in flight, makes it wait for an owner of its key, or refuses it.
    void advance(Job& job);
    void advanceKeyed(Job& job);
    void advancePooled(Job& job);
    /// Makes a request wait for the end of its owner's pause, or refuses it.
    void holdForOwner(Job& job, Server& owner, MonotonicTime until);
    void releaseHold(Job& job);
    void dispatch(Job& job, Server& server);
    void hedge(Job& job);
    void retry(Job& job, std::string_view message);
    void abandon(Job& job);
    void expire(Job& job);
    /// Answers all requests when the time for that in a stop is over.
    void answerBeforeEnd();
    void deliver(Job& job, ServerAnswer&& answer);
    /// Ends a request that gets no further dispatch: with the failure that a server has answered, if there is one.
    void refuse(Job& job, std::string_view message, Milliseconds retryAfter);
    void fail(Job& job, unsigned status, std::string_view message);
    void finish(Job& job, AnswerRequest&& answer, std::string_view decision, std::string reason);
    void cancelDispatches(Job& job);
    void removeJob(Job& job);
    /// @}

    /// Removes a dispatch that ended from its job. Returns a null job when the dispatch was cancelled before.
    [[nodiscard]] std::pair<Job*, Dispatch> removeDispatch(std::uint64_t number);
    /// Applies what the server states of itself in an answer.
    void observeStatements(const Job& job, const Dispatch& dispatch, Server& server, const ServerAnswer& answer);
    [[nodiscard]] std::optional<SelectedServer> chooseServer(const Job& job, std::vector<Server*>& eligibleServers);
    /// Applies the end of @p dispatch to its server, unless the server has started again since.
    void endDispatch(const Dispatch& dispatch);
    [[nodiscard]] static RequestScope scopeOf(const Job& job) noexcept;
    /// The route that a request has in the newest configuration; nullptr when it has none there, or was routed by it.
    [[nodiscard]] const HostRoute* newerRouteOf(const Job& job) const;
    /// Whether the home regions of the request allow @p server. @p newerRoute is newerRouteOf(job).
    [[nodiscard]] static bool isAtHome(const Job& job, const HostRoute* newerRoute, const ListedServer& server);
    [[nodiscard]] bool mustRemember(const Server& server) const;
    void applyEvacuation(Server& server) const;
    /// Whether the rate of requests to @p server during its slow start is limited.
    [[nodiscard]] bool isColdRateLimited(const Server& server) const;
    /// Whether that limit applies at @p now.
    [[nodiscard]] bool isCold(const Server& server, MonotonicTime now) const;
    /// Whether @p server is not cold, or this instance has a permit for one more request to it.
    [[nodiscard]] bool maySendToCold(const Server& server) const;
    [[nodiscard]] ServerCandidate candidateOf(const Server& server) const;
    [[nodiscard]] RequestTiming timingOf(const Job& job);
    [[nodiscard]] Milliseconds typicalLatencyOf(const Job& job);
    [[nodiscard]] bool tryAcquireRetry(Job& job);
    [[nodiscard]] Milliseconds remainingTime(const Job& job) const;
    /// When the first server of the job's service takes requests again that pauses now; nothing if none pauses.
    [[nodiscard]] std::optional<MonotonicTime> firstPauseEnd(const Job& job) const;
    [[nodiscard]] Milliseconds retryAfterPause(MonotonicTime until);
    [[nodiscard]] Milliseconds retryAfterFor(const Job& job, Milliseconds expectedLatency);
    [[nodiscard]] Service& serviceOf(const std::string& name);
    [[nodiscard]] double random() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    void answerNow(std::uint64_t caller, const GatewayRequest& request, unsigned status, std::string_view message,
        Milliseconds retryAfter);
    void setWake(Job& job, MonotonicTime at);
    void recordDecision(const Job& job, const std::string& server, std::string_view decision, std::string reason);
    void configureBudgets();

    GatewayReducerSettings m_settings;
    std::mt19937_64 m_random;
    MonotonicTime m_now;
    MonotonicTime m_startedAt; ///< First event.
    std::optional<InstanceStopping> m_stop; ///< Set once a stop was requested.
    bool m_serversListed = false;
    bool m_evacuationsListed = false;
    /// The evacuated failure domains and the earliest moment at which each evacuation can have begun.
    std::map<std::string, MonotonicTime> m_evacuatedSince;
    std::vector<HeldRequest> m_heldRequests;
    GatewayEffects m_effects;
    std::shared_ptr<const GatewayConfiguration> m_configuration;
    std::uint32_t m_instanceCount;
    ColdServerGate m_coldGate;
    std::map<std::string, Server> m_servers; ///< By id.
    std::map<std::string, std::vector<std::string>> m_serverPools; ///< Ids of usable servers by service.
    std::map<std::string, Service> m_services;
    std::map<std::string, RouteLatency> m_latencies; ///< By route and service.
    std::map<std::string, WeightedRoundRobin> m_roundRobins; ///< By route.
    std::uint64_t m_nextNumber = 1;
    std::unordered_map<std::uint64_t, std::unique_ptr<Job>> m_jobs;
    std::unordered_map<std::uint64_t, std::uint64_t> m_jobsByCaller;
    std::unordered_map<std::uint64_t, std::uint64_t> m_jobsByDispatch;
    std::set<std::pair<MonotonicTime, std::uint64_t>> m_wakes; ///< Timers of jobs, by time.
    std::set<std::uint64_t> m_waitingForOwner; ///< Jobs whose key has no usable owner.
};

} // namespace jasminespread
