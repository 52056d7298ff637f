#include "gateway/gateway_reducer.h"

#include "gateway/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

/// Assumed number of instances that share the retry budgets, until the actual one is known.
constexpr std::uint32_t initialInstanceCount = 32;
/// Assumed typical latency as a share of the latency objective, until latencies are observed.
constexpr double initialShareOfObjective = 0.35;
/// After its start an instance loads configuration and server list within a few round trips. Requests of this time wait
/// for them, later ones are refused at once.
constexpr Milliseconds maxLoadTime = 300ms;
/// Retry-After of a request that comes too late in a stop; other instances are ready for it.
constexpr Milliseconds stoppingRetryAfter = 50ms;
/// Highest number of requests that wait for the first configuration.
constexpr std::size_t maxHeldRequests = 1000;
/// A request is refused after more dispatches than this failed before a byte was written.
constexpr std::uint32_t maxUnsentDispatches = 6;
/// Retry interval for a request whose key has no usable owner, unless a newer range table arrives.
constexpr Milliseconds ownerRetryInterval = 60ms;
/// How long what is known of a server is kept after it was last listed. A list of the store may lack it for a while.
constexpr Milliseconds unlistedRetention = 60s;
/// A hedge request is sent after this multiple of the typical latency.
constexpr double hedgeLatencyRatio = 3;
/// Hedge requests are sent only while at most this share of the retry budget is used.
constexpr double maxHedgeBudgetShare = 0.5;
/// A key's owner that rejects a request is considered overloaded above this multiple of the typical latency.
constexpr double overloadedOwnerSlowness = 1.4;
/// Latency of a server during its slow start, in multiples of the typical one.
constexpr double warmUpSlowness = 2;
/// @name HTTP status codes of the gateway's own answers
/// @{
constexpr unsigned badGateway = 502;
constexpr unsigned serviceUnavailable = 503;
constexpr unsigned gatewayTimeout = 504;
/// @}

constexpr std::string_view failedDecision = "failed"; ///< Decision of a request that gets a failure of the gateway.

std::string latencyKey(const std::string& route, const std::string& service) { return route + '/' + service; }

bool isServerFailure(unsigned status) { return status >= 500; }

/// Text for logs.
std::string describe(const ServerAnswer& answer)
{
    return "status " + std::to_string(answer.status) + ", " + std::string(enumName(executionNames, answer.execution));
}

} // namespace

GatewayReducer::GatewayReducer(GatewayReducerSettings settings, std::uint64_t seed)
    : m_settings(std::move(settings))
    , m_random(seed)
    , m_instanceCount(initialInstanceCount)
{
}

GatewayEffects GatewayReducer::reduce(TimedGatewayEvent event)
{
    m_now = event.now;
    if (m_startedAt == MonotonicTime()) {
        m_startedAt = m_now;
    }
    std::visit([this](auto& alternative) { handle(std::move(alternative)); }, event.event);
    return std::exchange(m_effects, {});
}

std::vector<ObservedSpeed> GatewayReducer::takeSpeeds()
{
    std::vector<ObservedSpeed> speeds;
    for (auto& [id, server] : m_servers) {
        const ServerObservation::Speed speed = server.observation.takeSpeed();
        if (speed.answers > 0 || server.observation.inFlight() > 0) {
            speeds.push_back({id, speed.answers, speed.slowness, server.observation.inFlight()});
        }
    }
    return speeds;
}

std::vector<ServerIdentity> GatewayReducer::leavingServers() const
{
    std::vector<ServerIdentity> leaving;
    for (const auto& [id, server] : m_servers) {
        if (server.isListed && server.availability.hasStatedLeaving()) {
            leaving.push_back(server.listed.identity);
        }
    }
    return leaving;
}

ColdDemands GatewayReducer::takeColdDemands()
{
    m_coldGate.forgetOld(m_now);
    return m_coldGate.takeDemands();
}

std::optional<MonotonicTime> GatewayReducer::nextWake() const
{
    std::optional<MonotonicTime> next;
    if (!m_wakes.empty()) {
        next = m_wakes.begin()->first;
    }
    if (!m_heldRequests.empty()) {
        next = std::min(next.value_or(MonotonicTime::max()), m_startedAt + maxLoadTime);
    }
    if (m_stop && !m_jobsByCaller.empty()) {
        next = std::min(next.value_or(MonotonicTime::max()), m_stop->answersUntil);
    }
    return next;
}

/// Whether the first configuration or server list is missing although the instance started only recently.
bool GatewayReducer::isLoading() const
{
    return (!m_configuration || !m_serversListed || !knowsEvacuations()) && m_now < m_startedAt + maxLoadTime;
}

bool GatewayReducer::canWaitForLoad(const GatewayRequest& request) const
{
    const Milliseconds maxWait = std::chrono::ceil<Milliseconds>(m_startedAt + maxLoadTime - m_now);
    return m_heldRequests.size() < maxHeldRequests && request.timeLeft.value_or(Milliseconds::max()) > maxWait;
}

/// Continues with the held requests when the instance has loaded, or its time for that is over.
void GatewayReducer::handleHeldRequests()
{
    if (isLoading()) {
        return;
    }
    for (HeldRequest& held : std::exchange(m_heldRequests, {})) {
        held.received.request.arrivedAt = held.arrivedAt;
        handle(std::move(held.received));
    }
}

void GatewayReducer::handle(RequestReceived&& event)
{
    GatewayRequest& request = event.request;
    if (isLoading() && canWaitForLoad(request)) {
        const MonotonicTime arrivedAt = std::min(request.arrivedAt.value_or(m_now), m_now);
        m_heldRequests.push_back({std::move(event), arrivedAt});
        return;
    }
    if (!m_configuration) {
        return answerNow(event.caller, request, serviceUnavailable, "no configuration is known yet", startupRetryAfter);
    }
    if (!knowsEvacuations()) {
        return answerNow(event.caller, request, serviceUnavailable, "evacuated failure domains are not known yet",
            startupRetryAfter);
    }
    const HostRoute* route = findRoute(*m_configuration, request.host, request.path);
    if (route == nullptr) {
        return answerNow(event.caller, request, 404, "no route matches this host and path", 0ms);
    }
    const std::size_t target = m_roundRobins[route->name].next(route->targets, random());
    const std::string& service = route->targets[target].service;
    const auto serviceSettings = m_configuration->services.find(service);
    const bool keyed = serviceSettings != m_configuration->services.end() && serviceSettings->second.keyed;
    if (keyed && !request.key) {
        return answerNow(event.caller, request, 400, "this service needs a key", 0ms);
    }
    const MonotonicTime arrivedAt = std::min(request.arrivedAt.value_or(m_now), m_now);
    const MonotonicTime deadline = arrivedAt + std::min(request.timeLeft.value_or(route->timeout), route->timeout);
    if (m_stop && m_now >= m_stop->lateFrom && deadline > m_stop->answersUntil) {
        return answerNow(
            event.caller, request, serviceUnavailable, "this instance is about to end", stoppingRetryAfter);
    }
    const std::uint64_t number = m_nextNumber++;
    std::unique_ptr<Job>& ownedJob = m_jobs[number];
    ownedJob = std::make_unique<Job>();
    Job& job = *ownedJob;
    job.number = number;
    job.caller = event.caller;
    job.configuration = m_configuration;
    job.route = route;
    job.service = service;
    job.keyed = keyed;
    job.arrivedAt = arrivedAt;
    job.deadline = deadline;
    job.wakeAt = job.deadline;
    job.request = std::make_shared<const GatewayRequest>(std::move(request));
    m_jobsByCaller[event.caller] = number;
    m_wakes.emplace(job.wakeAt, number);
    serviceOf(service).budget.addRequest(m_now);
    if (keyed) {
        m_effects.emplace_back(CountKey {service, *job.request->key});
    }
    advance(job);
}

void GatewayReducer::handle(CallerDisconnected&& event)
{
    std::erase_if(m_heldRequests, [&event](const HeldRequest& held) { return held.received.caller == event.caller; });
    const auto it = m_jobsByCaller.find(event.caller);
    if (it == m_jobsByCaller.end()) {
        return;
    }
    Job& job = *m_jobs.at(it->second);
    m_jobsByCaller.erase(it);
    job.caller = 0;
    const bool mustFinish = job.route->repeatability == Repeatability::NonIdempotent && !job.dispatches.empty();
    if (mustFinish) {
        return; // Not cancelled, because it may be writing data; its answer is dropped.
    }
    abandon(job);
}

void GatewayReducer::handle(ServerAnswered&& event)
{
    const auto [found, dispatch] = removeDispatch(event.dispatch);
    if (found == nullptr) {
        return;
    }
    Job& job = *found;
    Server& server = m_servers.at(dispatch.server);
    const Milliseconds latency = std::chrono::duration_cast<Milliseconds>(m_now - dispatch.startedAt);
    ServerAnswer& answer = event.answer;
    if (server.run == dispatch.serverRun) {
        observeStatements(job, dispatch, server, answer);
    }
    if (answer.execution != Execution::MayHaveRun) {
        job.execution.onNotRun(NotRunProof::Stated);
    }
    if (answer.execution == Execution::NotOwner) {
        job.notOwnerTableVersion
            = job.keyed && serviceOf(job.service).ranges ? serviceOf(job.service).ranges->version : 0;
        if (!job.keyed && server.run == dispatch.serverRun) {
            server.availability.onUnreachable(m_now);
        }
        recordDecision(job, dispatch.server, "not-owner", describe(answer));
        return retry(job, "the backend server does not own the key");
    }
    if (answer.execution == Execution::NotRun) {
        server.observation.recordRefusal(m_now);
        recordDecision(job, dispatch.server, "server-refused", describe(answer));
        if (job.keyed && server.observation.slowness(m_now) > overloadedOwnerSlowness) {
            // Only the owner can serve the key, and it is overloaded.
            return refuse(
                job, "the owner of the key has too much work", retryAfterFor(job, timingOf(job).latencyObjective));
        }
        return retry(job, "the backend server refused the request");
    }
    // Without a statement such a status would be a promise of the gateway, which knows of no proof.
    if (!answer.verified || promisesNotRun(answer.status)) {
        server.observation.recordFailure(m_now);
        recordDecision(job, dispatch.server, "unusable-answer", describe(answer));
        return retry(job, "the backend server's answer was unusable");
    }
    if (isServerFailure(answer.status)) {
        server.observation.recordFailure(m_now);
        job.lastServerFailure = std::move(answer);
        recordDecision(job, dispatch.server, "server-failed", describe(*job.lastServerFailure));
        return retry(job, "the backend server failed the request");
    }
    server.observation.recordAnswer(latency, typicalLatencyOf(job), m_now);
    if (server.run == dispatch.serverRun) {
        server.availability.onAnswered(dispatch.startedAt);
    }
    m_latencies.at(latencyKey(job.route->name, job.service)).observe(latency);
    deliver(job, std::move(answer));
}

void GatewayReducer::observeStatements(
    const Job& job, const Dispatch& dispatch, Server& server, const ServerAnswer& answer)
{
    if (answer.statesLeaving) {
        if (!server.availability.hasStatedLeaving()) {
            m_effects.emplace_back(RecordServerStatement {server.listed.identity, job.request->id, std::nullopt});
        }
        server.availability.onLeavingStated(dispatch.startedAt);
    }
    if (answer.statedWarmUpLeft && isColdRateLimited(server)) {
        server.coldUntil = std::max(server.coldUntil, m_now + *answer.statedWarmUpLeft);
    }
    if (answer.requestedPause) {
        server.availability.onPauseRequested(*answer.requestedPause, random(), m_now);
        m_effects.emplace_back(RecordServerStatement {server.listed.identity, job.request->id, answer.requestedPause});
    }
}

void GatewayReducer::handle(SendFailed&& event)
{
    const auto [found, dispatch] = removeDispatch(event.dispatch);
    if (found == nullptr) {
        return;
    }
    Job& job = *found;
    Server& server = m_servers.at(dispatch.server);
    const bool sameRun = server.run == dispatch.serverRun;
    recordDecision(job, dispatch.server, enumName(sendFailureNames, event.failure), event.cause);
    if (event.failure != SendFailure::MayHaveRun) {
        job.execution.onNotRun(NotRunProof::NotSent);
    }
    switch (event.failure) {
    case SendFailure::MayHaveRun:
        server.observation.recordFailure(m_now);
        break;
    case SendFailure::NotSent:
        if (sameRun) {
            server.availability.onUnreachable(m_now);
        }
        --job.sendCount;
        ++job.unsentCount;
        break;
    case SendFailure::Withheld:
        --job.sendCount;
        if (!job.dispatches.empty()) {
            return; // Another dispatch is still in flight.
        }
        if (m_now >= job.deadline) {
            return expire(job);
        }
        ++job.unsentCount;
        break;
    case SendFailure::CallerLeft:
        return abandon(job);
    }
    retry(job, "the connection to the backend server broke");
}

void GatewayReducer::handle(GatewayConfigured&& event)
{
    if (m_configuration && event.configuration->version <= m_configuration->version) {
        return;
    }
    m_configuration = std::move(event.configuration);
    std::erase_if(m_roundRobins, [this](const auto& entry) {
        return std::none_of(m_configuration->routes.begin(), m_configuration->routes.end(),
            [&entry](const HostRoute& route) { return route.name == entry.first; });
    });
    configureBudgets();
    handleHeldRequests();
}

void GatewayReducer::handle(ServersListed&& event)
{
    m_serversListed = true;
    m_serverPools.clear();
    const std::optional<MonotonicTime> changedAfter
        = event.maxChangeAge ? std::optional(m_now - *event.maxChangeAge) : std::nullopt;
    for (auto& [id, server] : m_servers) {
        server.isListed = false;
    }
    for (const ListedServer& listed : *event.servers) {
        Server& server = m_servers[listed.identity.id];
        if (server.listed.identity != listed.identity) {
            server.availability
                = ServerAvailability(m_settings.drainTime, m_settings.evacuationTime.value_or(Milliseconds(0)));
        }
        if (server.listed.identity != listed.identity || server.listed.address != listed.address) {
            server.observation = ServerObservation();
            ++server.run;
            server.warmUpEndsAt = m_now + listed.warmUpLeft;
            server.coldUntil = MonotonicTime();
        }
        // The age of the listed time is unknown. An entry that is as before may be older than the server's statement.
        const MonotonicTime coldUntil = m_now + listed.warmUpLeft;
        const bool isSameEntry = server.listed.warmUpLeft == listed.warmUpLeft;
        server.coldUntil = isSameEntry ? std::max(server.coldUntil, coldUntil) : coldUntil;
        server.availability.onListed(listed.state, changedAfter);
        server.listed = listed;
        server.isListed = true;
        applyEvacuation(server);
    }
    for (auto& [id, server] : m_servers) {
        if (!server.isListed) {
            server.availability.onUnlisted();
            server.unlistedAt = std::min(server.unlistedAt, m_now);
        } else {
            server.unlistedAt = MonotonicTime::max();
        }
    }
    // Servers with a missing entry are used only for services without a ready server.
    for (const ListedServerState state : {ListedServerState::Ready, ListedServerState::Missing}) {
        std::map<std::string, std::vector<std::string>> pools;
        for (const ListedServer& listed : *event.servers) {
            if (listed.state == state) {
                pools[listed.service].push_back(listed.identity.id);
            }
        }
        m_serverPools.merge(pools);
    }
    std::erase_if(m_servers, [this](const auto& entry) {
        const bool inUse = std::any_of(m_jobs.begin(), m_jobs.end(), [&entry](const auto& job) {
            const std::vector<Dispatch>& dispatches = job.second->dispatches;
            return std::any_of(dispatches.begin(), dispatches.end(),
                [&entry](const Dispatch& dispatch) { return dispatch.server == entry.first; });
        });
        return !entry.second.isListed && !inUse && !mustRemember(entry.second);
    });
    handleHeldRequests();
}

void GatewayReducer::handle(EvacuationsListed&& event)
{
    const MonotonicTime changedAfter = event.maxChangeAge ? m_now - *event.maxChangeAge : MonotonicTime::min();
    std::erase_if(
        m_evacuatedSince, [&event](const auto& entry) { return !event.failureDomains.contains(entry.first); });
    for (const std::string& domain : event.failureDomains) {
        m_evacuatedSince.try_emplace(domain, changedAfter);
    }
    m_evacuationsListed = true;
    for (auto& [id, server] : m_servers) {
        applyEvacuation(server);
    }
    handleHeldRequests();
}

void GatewayReducer::applyEvacuation(Server& server) const
{
    const auto it = m_evacuatedSince.find(server.listed.failureDomain);
    server.availability.onEvacuationListed(it == m_evacuatedSince.end() ? std::nullopt : std::optional(it->second));
}

void GatewayReducer::handle(RangeTableChanged&& event)
{
    Service& service = serviceOf(event.table->service);
    const bool older = service.ranges
        && std::pair(event.table->term, event.table->version)
            < std::pair(service.ranges->term, service.ranges->version);
    if (older) {
        return;
    }
    service.ranges = std::move(event.table);
    const std::set<std::uint64_t> waiting = m_waitingForOwner;
    for (const std::uint64_t number : waiting) {
        const auto it = m_jobs.find(number);
        if (it != m_jobs.end()) {
            advance(*it->second);
        }
    }
}

void GatewayReducer::handle(ServerLoadsReported&& event)
{
    for (auto& [id, server] : m_servers) {
        const auto it = event.inFlight.find(serverIdHash(id));
        const std::uint32_t total = it == event.inFlight.end() ? 0 : it->second;
        server.otherInstancesInFlight = total - std::min(total, server.observation.inFlight());
    }
}

void GatewayReducer::handle(InstanceCountChanged&& event)
{
    m_instanceCount = std::max(1U, event.instances);
    configureBudgets();
}

void GatewayReducer::handle(ColdPermitsReceived&& event) { m_coldGate.setPermits(event.permits, event.validUntil); }

void GatewayReducer::handle(MachineSuspended&& event)
{
    m_coldGate.onSuspended(event.duration);
    for (auto& [domain, since] : m_evacuatedSince) {
        if (since != MonotonicTime::min()) {
            since -= event.duration;
        }
    }
    for (auto& [id, server] : m_servers) {
        server.availability.onSuspended(event.duration);
    }
}

void GatewayReducer::handle(InstanceStopping&& event) { m_stop = event; }

void GatewayReducer::answerBeforeEnd()
{
    std::vector<std::uint64_t> unanswered;
    for (const auto& [number, job] : m_jobs) {
        if (job->caller != 0) {
            unanswered.push_back(number);
        }
    }
    for (const std::uint64_t number : unanswered) {
        expire(*m_jobs.at(number));
    }
}

void GatewayReducer::handle(GatewayTick&&)
{
    handleHeldRequests();
    if (m_stop && m_now >= m_stop->answersUntil) {
        answerBeforeEnd();
    }
    while (!m_wakes.empty() && m_wakes.begin()->first <= m_now) {
        Job& job = *m_jobs.at(m_wakes.begin()->second);
        if (job.deadline <= m_now) {
            expire(job);
            continue;
        }
        setWake(job, job.deadline);
        if (job.dispatches.empty()) {
            advance(job);
        } else {
            hedge(job);
        }
    }
}

void GatewayReducer::advance(Job& job)
{
    m_waitingForOwner.erase(job.number);
    releaseHold(job);
    if (job.keyed) {
        advanceKeyed(job);
    } else {
        advancePooled(job);
    }
}

void GatewayReducer::advanceKeyed(Job& job)
{
    const std::shared_ptr<const RangeTable>& ranges = serviceOf(job.service).ranges;
    const RangeRoute* route = ranges ? findRangeRoute(*ranges, *job.request->key) : nullptr;
    const ServerIdentity* owner = route == nullptr || route->owner.id.empty() ? nullptr : &route->owner;
    const auto server = owner == nullptr ? m_servers.end() : m_servers.find(owner->id);
    const bool ownerKnown = owner != nullptr && server != m_servers.end() && server->second.listed.identity == *owner;
    const ServerAvailability::Decision decision = ownerKnown
        ? server->second.availability.decide(RequestScope::OwnerOnly, m_now)
        : ServerAvailability::Decision {ServerBlock::NotListed, MonotonicTime::max()};
    // The key would have to move for this route, and other routes of the service may have other home regions.
    if (ownerKnown && !isAtHome(job, newerRouteOf(job), server->second.listed)) {
        return refuse(job, "the owner of the key is outside the home regions of the route", noOwnerRetryAfter);
    }
    const bool ownerUsable = decision.available();
    const bool rejectedAsNotOwner
        = ranges && job.notOwnerTableVersion == ranges->version && job.notOwnerTableVersion != 0;
    const RequestTiming timing = timingOf(job);
    if (decision.block == ServerBlock::Pausing || decision.block == ServerBlock::AwaitingFirstAnswer) {
        return holdForOwner(job, server->second, decision.until);
    }
    if (!ownerUsable || rejectedAsNotOwner) {
        const bool moving = route != nullptr && route->moving;
        if (job.waitingForOwnerSince == MonotonicTime()) {
            job.waitingForOwnerSince = m_now;
        }
        const MonotonicTime waitUntil
            = moving ? m_now + maxOwnerWait(timing, true) : job.waitingForOwnerSince + maxOwnerWait(timing, false);
        if (m_now >= waitUntil) {
            return refuse(job, "no backend server owns the key at present", noOwnerRetryAfter);
        }
        job.notOwnerTableVersion = 0;
        m_waitingForOwner.insert(job.number);
        return setWake(job, std::min(m_now + ownerRetryInterval, waitUntil));
    }
    if (job.waitingForOwnerSince != MonotonicTime()) {
        recordDecision(job, server->first, "owner-found", "");
    }
    if (!maySendToCold(server->second)) {
        m_coldGate.addDemand(*owner);
        return refuse(job, "the owner of the key is cold", retryAfterFor(job, timing.latencyObjective));
    }
    const Milliseconds expectedLatency = estimateLatency(candidateOf(server->second), timing.typicalLatency);
    if (!canFinishInTime(expectedLatency, timing)) {
        return refuse(job, "the owner of the key has too much work", retryAfterFor(job, expectedLatency));
    }
    dispatch(job, server->second);
}

void GatewayReducer::holdForOwner(Job& job, Server& owner, MonotonicTime until)
{
    // After the pause the server takes as many requests at a time as it has slots; the others would only wait longer.
    const bool canWait = until - m_now <= maxOwnerWait(timingOf(job), true) && owner.heldRequests < owner.listed.slots;
    if (!canWait) {
        return refuse(job, "the owner of the key asked for a pause", retryAfterPause(until));
    }
    job.heldFor = owner.listed.identity.id;
    ++owner.heldRequests;
    m_waitingForOwner.insert(job.number);
    setWake(job, until);
}

void GatewayReducer::releaseHold(Job& job)
{
    const auto owner = m_servers.find(std::exchange(job.heldFor, {}));
    if (owner != m_servers.end()) {
        --owner->second.heldRequests;
    }
}

void GatewayReducer::advancePooled(Job& job)
{
    std::vector<Server*> eligibleServers;
    const std::optional<SelectedServer> selected = chooseServer(job, eligibleServers);
    if (!selected && eligibleServers.empty()) {
        if (const std::optional<MonotonicTime> pauseEnd = firstPauseEnd(job)) {
            return refuse(job, "the backend servers asked for a pause", retryAfterPause(*pauseEnd));
        }
    }
    if (!selected) {
        return refuse(job, "no backend server of the service can take the request",
            retryAfterFor(job, timingOf(job).latencyObjective));
    }
    if (!canFinishInTime(selected->expectedLatency, timingOf(job))) {
        return refuse(job, "the backend servers have too much work", retryAfterFor(job, selected->expectedLatency));
    }
    dispatch(job, *eligibleServers[selected->index]);
}

std::optional<SelectedServer> GatewayReducer::chooseServer(const Job& job, std::vector<Server*>& eligibleServers)
{
    std::vector<ServerCandidate> candidates;
    std::vector<double> jitter;
    std::set<std::size_t> withoutPermit;
    const auto pool = m_serverPools.find(job.service);
    if (pool == m_serverPools.end()) {
        return std::nullopt;
    }
    const HostRoute* newerRoute = newerRouteOf(job);
    for (const std::string& id : pool->second) {
        Server& server = m_servers.at(id);
        if (job.triedServers.contains(id) || !isAtHome(job, newerRoute, server.listed)
            || !server.availability.decide(RequestScope::AnyServer, m_now).available()) {
            continue;
        }
        ServerCandidate candidate = candidateOf(server);
        candidate.index = eligibleServers.size();
        if (!maySendToCold(server)) {
            withoutPermit.insert(candidate.index);
        }
        eligibleServers.push_back(&server);
        candidates.push_back(candidate);
        jitter.push_back(random());
    }
    std::optional<SelectedServer> selected = selectServer(candidates, timingOf(job), jitter);
    if (!selected || !withoutPermit.contains(selected->index)) {
        return selected;
    }
    m_coldGate.addDemand(eligibleServers[selected->index]->listed.identity);
    std::vector<ServerCandidate> permitted;
    std::vector<double> permittedJitter;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!withoutPermit.contains(candidates[i].index)) {
            permitted.push_back(candidates[i]);
            permittedJitter.push_back(jitter[i]);
        }
    }
    return selectServer(permitted, timingOf(job), permittedJitter);
}

std::optional<MonotonicTime> GatewayReducer::firstPauseEnd(const Job& job) const
{
    std::optional<MonotonicTime> first;
    const auto pool = m_serverPools.find(job.service);
    const HostRoute* newerRoute = newerRouteOf(job);
    for (const std::string& id : pool == m_serverPools.end() ? std::vector<std::string>() : pool->second) {
        const Server& server = m_servers.at(id);
        const ServerAvailability::Decision decision = server.availability.decide(RequestScope::AnyServer, m_now);
        if (decision.block == ServerBlock::Pausing && isAtHome(job, newerRoute, server.listed)) {
            first = std::min(first.value_or(decision.until), decision.until);
        }
    }
    return first;
}

/// Retry-After for callers that are refused until the end of a pause. They return spread over a second such time,
/// because the servers take requests again one by one.
Milliseconds GatewayReducer::retryAfterPause(MonotonicTime until)
{
    const double waitMs = std::chrono::duration<double, std::milli>(until - m_now).count();
    return Milliseconds(static_cast<std::int64_t>(std::ceil(std::max(1.0, waitMs * (1 + random())))));
}

RequestScope GatewayReducer::scopeOf(const Job& job) noexcept
{
    return job.keyed ? RequestScope::OwnerOnly : RequestScope::AnyServer;
}

const HostRoute* GatewayReducer::newerRouteOf(const Job& job) const
{
    return job.configuration == m_configuration ? nullptr
                                                : findRoute(*m_configuration, job.request->host, job.request->path);
}

bool GatewayReducer::isAtHome(const Job& job, const HostRoute* newerRoute, const ListedServer& server)
{
    return job.route->allowsRegion(server.region) && (newerRoute == nullptr || newerRoute->allowsRegion(server.region));
}

bool GatewayReducer::isColdRateLimited(const Server& server) const
{
    if (!m_settings.coldLimits || !m_configuration) {
        return false;
    }
    const auto service = m_configuration->services.find(server.listed.service);
    return service != m_configuration->services.end() && service->second.warmUpRate > 0;
}

bool GatewayReducer::isCold(const Server& server, MonotonicTime now) const
{
    return now < server.coldUntil && isColdRateLimited(server);
}

bool GatewayReducer::maySendToCold(const Server& server) const
{
    return !isCold(server, m_now) || m_coldGate.mayDispatch(server.listed.identity, m_now);
}

/// Whether a server that is no longer listed may be listed again with the same run and must not get requests then.
bool GatewayReducer::mustRemember(const Server& server) const
{
    return server.availability.mustBeRemembered(m_now) && m_now - server.unlistedAt < unlistedRetention;
}

bool GatewayReducer::maySend(std::uint64_t dispatch, MonotonicTime now) const
{
    const auto it = m_jobsByDispatch.find(dispatch);
    if (it == m_jobsByDispatch.end()) {
        return false;
    }
    const Job& job = *m_jobs.at(it->second);
    if (job.caller == 0) {
        return false; // Its caller has disconnected, and no server has anything of it.
    }
    const auto sent = std::find_if(job.dispatches.begin(), job.dispatches.end(),
        [dispatch](const Dispatch& candidate) { return candidate.number == dispatch; });
    const Server& server = m_servers.at(sent->server);
    if (!isAtHome(job, newerRouteOf(job), server.listed)) {
        return false;
    }
    if (server.run != sent->serverRun) {
        // A run that has been replaced is not known any more; its permits do not apply to the present one.
        return !isCold(server, now);
    }
    return server.availability.maySend(scopeOf(job), now)
        && (!isCold(server, now) || m_coldGate.maySend(server.listed.identity, sent->startedAt, now));
}

ServerCandidate GatewayReducer::candidateOf(const Server& server) const
{
    ServerCandidate candidate;
    if (server.listed.region != m_settings.region) {
        candidate.distance = Distance::OtherRegion;
    } else if (server.listed.failureDomain != m_settings.failureDomain) {
        candidate.distance = Distance::SameRegion;
    }
    candidate.slots = server.listed.slots;
    candidate.inFlight = server.observation.inFlight();
    candidate.otherInstancesInFlight = server.otherInstancesInFlight;
    const auto service = m_configuration->services.find(server.listed.service);
    const std::uint32_t connections = service == m_configuration->services.end() ? 1 : service->second.maxConnections;
    candidate.maxInFlight = std::max(server.listed.slots, connections / std::max(1U, std::min(m_instanceCount, 8U)));
    candidate.slowness = server.observation.slowness(m_now)
        * (m_now < server.warmUpEndsAt || isCold(server, m_now) ? warmUpSlowness : 1);
    candidate.failureShare = server.observation.failureShare(m_now);
    return candidate;
}

RequestTiming GatewayReducer::timingOf(const Job& job)
{
    return {typicalLatencyOf(job), job.route->latencyObjective, remainingTime(job)};
}

Milliseconds GatewayReducer::typicalLatencyOf(const Job& job)
{
    const Milliseconds initialLatency(
        static_cast<std::int64_t>(job.route->latencyObjective.count() * initialShareOfObjective));
    return m_latencies.try_emplace(latencyKey(job.route->name, job.service), initialLatency)
        .first->second.typicalLatency();
}

void GatewayReducer::dispatch(Job& job, Server& server)
{
    const std::uint64_t number = m_nextNumber++;
    job.dispatches.push_back(
        {number, server.listed.identity.id, server.run, m_now, server.availability.onDispatched(m_now)});
    job.triedServers.insert(server.listed.identity.id);
    const bool repeated = !job.triedAddresses.insert(server.listed.address).second;
    ++job.sendCount;
    job.execution.onDispatched();
    m_jobsByDispatch.emplace(number, job.number);
    server.observation.recordStart();
    if (isColdRateLimited(server)) {
        m_coldGate.onDispatched(server.listed.identity, m_now);
        if (isCold(server, m_now)) {
            m_coldGate.addDemand(server.listed.identity);
        }
    }
    if (const std::optional<Milliseconds> leavingFor = server.availability.leavingFor(m_now)) {
        recordDecision(job, server.listed.identity.id, "sent-to-leaving-owner",
            "leaving for at most " + std::to_string(leavingFor->count()) + " ms");
    }
    const bool canHedge = !job.keyed && job.route->repeatability == Repeatability::Idempotent
        && job.sendCount < job.route->maxAttempts && job.dispatches.size() == 1;
    if (canHedge) {
        const auto wait = std::chrono::duration_cast<Milliseconds>(typicalLatencyOf(job) * hedgeLatencyRatio);
        job.hedgeAt = m_now + wait;
        setWake(job, job.hedgeAt);
    }
    m_effects.emplace_back(
        SendToServer {number, job.caller, server.listed, job.request, remainingTime(job), job.deadline, repeated});
}

/// Sends a hedge request to a second server when the first one is slow, the retry budget allows it and the second
/// server can answer in time.
void GatewayReducer::hedge(Job& job)
{
    const bool hedgeDue = job.dispatches.size() == 1 && m_now >= job.hedgeAt && job.sendCount < job.route->maxAttempts
        && !job.keyed && job.route->repeatability == Repeatability::Idempotent;
    if (!hedgeDue || serviceOf(job.service).budget.usedShare(m_now) > maxHedgeBudgetShare) {
        return;
    }
    Server& slowServer = m_servers.at(job.dispatches.front().server);
    slowServer.observation.recordUnanswered(
        std::chrono::duration_cast<Milliseconds>(m_now - job.dispatches.front().startedAt), typicalLatencyOf(job),
        m_now);
    std::vector<Server*> eligibleServers;
    const std::optional<SelectedServer> selected = chooseServer(job, eligibleServers);
    if (!selected || !canFinishInTime(selected->expectedLatency, timingOf(job))
        || !serviceOf(job.service).budget.tryAcquire(m_now)) {
        return;
    }
    recordDecision(
        job, eligibleServers[selected->index]->listed.identity.id, "asked-second", "the first server is slow");
    dispatch(job, *eligibleServers[selected->index]);
}

std::pair<GatewayReducer::Job*, GatewayReducer::Dispatch> GatewayReducer::removeDispatch(std::uint64_t number)
{
    const auto it = m_jobsByDispatch.find(number);
    if (it == m_jobsByDispatch.end()) {
        return {nullptr, {}};
    }
    Job& job = *m_jobs.at(it->second);
    m_jobsByDispatch.erase(it);
    const auto dispatch = std::find_if(job.dispatches.begin(), job.dispatches.end(),
        [number](const Dispatch& candidate) { return candidate.number == number; });
    Dispatch removed = *dispatch;
    job.dispatches.erase(dispatch);
    endDispatch(removed);
    return {&job, removed};
}

void GatewayReducer::endDispatch(const Dispatch& dispatch)
{
    Server& server = m_servers.at(dispatch.server);
    if (server.run != dispatch.serverRun) {
        return;
    }
    server.observation.recordEnd();
    if (dispatch.firstAfterPause) {
        server.availability.onFirstRequestEnded();
    }
}

/// Whether another dispatch is allowed; takes a retry from the budget unless the request never reached a server.
bool GatewayReducer::tryAcquireRetry(Job& job)
{
    if (job.unsentCount > maxUnsentDispatches || job.sendCount >= job.route->maxAttempts) {
        return false;
    }
    return job.sendCount == 0 || serviceOf(job.service).budget.tryAcquire(m_now);
}

/// Handles a dispatch that ended without a usable answer: tries again if allowed, and answers the caller otherwise.
void GatewayReducer::retry(Job& job, std::string_view message)
{
    if (!job.dispatches.empty()) {
        return; // Another dispatch is still in flight.
    }
    const bool repeatable = job.route->repeatability == Repeatability::Idempotent || !job.execution.mayHaveRun();
    const bool canFinish = canFinishInTime(typicalLatencyOf(job), timingOf(job));
    if (job.caller != 0 && repeatable && canFinish && tryAcquireRetry(job)) {
        return advance(job);
    }
    refuse(job, message, retryAfterFor(job, typicalLatencyOf(job)));
}

/// Ends a job whose caller has disconnected.
void GatewayReducer::abandon(Job& job)
{
    recordDecision(job, "", "caller-left", "");
    cancelDispatches(job);
    removeJob(job);
}

void GatewayReducer::expire(Job& job)
{
    for (const Dispatch& dispatch : job.dispatches) {
        Server& server = m_servers.at(dispatch.server);
        server.observation.recordUnanswered(
            std::chrono::duration_cast<Milliseconds>(m_now - dispatch.startedAt), typicalLatencyOf(job), m_now);
    }
    if (job.execution.mayHaveRun()) {
        return fail(job, gatewayTimeout, "the time for the request is over");
    }
    refuse(job, "the time for the request is over before it was sent", noOwnerRetryAfter);
}

void GatewayReducer::deliver(Job& job, ServerAnswer&& answer)
{
    AnswerRequest effect;
    effect.origin = AnswerOrigin::Server;
    effect.status = answer.status;
    effect.headers = std::move(answer.headers);
    effect.body = std::move(answer.body);
    finish(job, std::move(effect), answeredDecision, describe(answer));
}

void GatewayReducer::refuse(Job& job, std::string_view message, Milliseconds retryAfter)
{
    if (job.lastServerFailure) {
        ServerAnswer answer = std::move(*job.lastServerFailure);
        return deliver(job, std::move(answer));
    }
    AnswerRequest effect;
    effect.origin = AnswerOrigin::Refusal;
    effect.status = serviceUnavailable;
    effect.body = std::string(message) + "\n";
    effect.retryAfter = retryAfter;
    finish(job, std::move(effect), "refused", std::string(message));
}

void GatewayReducer::fail(Job& job, unsigned status, std::string_view message)
{
    AnswerRequest effect;
    effect.origin = AnswerOrigin::Failure;
    effect.status = status;
    effect.body = std::string(message) + "\n";
    finish(job, std::move(effect), failedDecision, std::string(message));
}

void GatewayReducer::finish(Job& job, AnswerRequest&& answer, std::string_view decision, std::string reason)
{
    if (promisesNotRun(answer.status)) {
        reason += "; " + job.execution.summary();
        if (job.execution.mayHaveRun()) {
            answer.origin = AnswerOrigin::Failure;
            answer.status = badGateway;
            answer.headers.clear();
            answer.retryAfter = 0ms;
            decision = failedDecision;
        }
    }
    recordDecision(job, "", decision, std::move(reason));
    cancelDispatches(job);
    if (job.caller != 0) {
        answer.caller = job.caller;
        answer.requestId = job.request->id;
        m_effects.emplace_back(std::move(answer));
    }
    removeJob(job);
}

void GatewayReducer::cancelDispatches(Job& job)
{
    for (const Dispatch& dispatch : job.dispatches) {
        m_jobsByDispatch.erase(dispatch.number);
        endDispatch(dispatch);
        m_effects.emplace_back(CancelSend {dispatch.number});
    }
    job.dispatches.clear();
}

void GatewayReducer::removeJob(Job& job)
{
    if (job.caller != 0) {
        m_jobsByCaller.erase(job.caller);
    }
    m_wakes.erase({job.wakeAt, job.number});
    m_waitingForOwner.erase(job.number);
    releaseHold(job);
    m_jobs.erase(job.number);
}

Milliseconds GatewayReducer::remainingTime(const Job& job) const
{
    return std::max(0ms, std::chrono::duration_cast<Milliseconds>(job.deadline - m_now));
}

Milliseconds GatewayReducer::retryAfterFor(const Job& job, Milliseconds expectedLatency)
{
    return overloadRetryAfter(expectedLatency,
        RequestTiming {typicalLatencyOf(job), job.route->latencyObjective, remainingTime(job)}, random());
}

GatewayReducer::Service& GatewayReducer::serviceOf(const std::string& name)
{
    const auto [it, added] = m_services.try_emplace(name);
    if (added) {
        it->second.budget.configure(m_settings.retryBudget, m_instanceCount);
    }
    return it->second;
}

void GatewayReducer::configureBudgets()
{
    for (auto& [name, service] : m_services) {
        service.budget.configure(m_settings.retryBudget, m_instanceCount);
    }
}

void GatewayReducer::answerNow(std::uint64_t caller, const GatewayRequest& request, unsigned status,
    std::string_view message, Milliseconds retryAfter)
{
    AnswerRequest effect;
    effect.caller = caller;
    effect.requestId = request.id;
    effect.status = status;
    effect.body = std::string(message) + "\n";
    effect.retryAfter = retryAfter;
    m_effects.emplace_back(RecordDecision {request.id, "", "", "", "refused", std::string(message), 0ms});
    m_effects.emplace_back(std::move(effect));
}

void GatewayReducer::setWake(Job& job, MonotonicTime at)
{
    m_wakes.erase({job.wakeAt, job.number});
    job.wakeAt = std::min(at, job.deadline);
    m_wakes.emplace(job.wakeAt, job.number);
}

void GatewayReducer::recordDecision(
    const Job& job, const std::string& server, std::string_view decision, std::string reason)
{
    m_effects.emplace_back(RecordDecision {job.request->id, job.route->name, job.service, server, decision,
        std::move(reason), std::chrono::duration_cast<Milliseconds>(m_now - job.arrivedAt)});
}

} // namespace jasminespread
