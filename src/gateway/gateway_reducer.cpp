#include "gateway/gateway_reducer.h"

#include "gateway/admission.h"

#include <algorithm>
#include <utility>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

/// Instances that are assumed to share the budgets until their number is known.
constexpr std::uint32_t assumedInstances = 32;
/// Part of the latency objective that is assumed as usual latency until one is known.
constexpr double assumedPartOfObjective = 0.35;
/// Sends that may fail without a byte written before a request is refused.
constexpr std::uint32_t highestUnsent = 6;
/// Pause before an owner that refused a key is asked again while no newer ranges arrive.
constexpr Milliseconds ownerRetry = 60ms;
/// How long the leaving owner of a key still gets requests for it, as a part of the drain time: the announcement takes
/// a while to arrive.
constexpr double ownerPartOfDrainTime = 0.5;
/// Latency, in multiples of the usual one, after which a second server is asked.
constexpr double hedgeAfter = 3;
/// A second server is asked only while less than this part of the budget for second sends is used.
constexpr double hedgeBudgetShare = 0.5;
/// Latency of a key's owner, in multiples of the usual one, above which its refusal means that it is full.
constexpr double fullOwnerSlowness = 1.4;
/// Slow start of a server that was just started: latency in multiples of the usual one.
constexpr double coldSlowness = 2;
/// @name HTTP status of answers that the gateway makes
/// @{
constexpr unsigned badGateway = 502;
constexpr unsigned serviceUnavailable = 503;
constexpr unsigned gatewayTimeout = 504;
/// @}

std::string latencyKey(const std::string& route, const std::string& service) { return route + '/' + service; }

bool isServerFailure(unsigned status) { return status >= 500; }

} // namespace

GatewayReducer::GatewayReducer(GatewaySelf self, std::uint64_t seed)
    : m_self(std::move(self))
    , m_random(seed)
    , m_instances(assumedInstances)
{
}

GatewayEffects GatewayReducer::reduce(TimedGatewayEvent event)
{
    m_now = event.now;
    std::visit([this](auto& alternative) { handle(std::move(alternative)); }, event.event);
    return std::exchange(m_effects, {});
}

std::vector<ObservedSpeed> GatewayReducer::takeSpeeds()
{
    std::vector<ObservedSpeed> speeds;
    for (auto& [id, server] : m_servers) {
        const ServerObservation::Speed speed = server.seen.takeSpeed();
        if (speed.answers > 0 || server.seen.inFlight() > 0) {
            speeds.push_back({id, speed.answers, speed.slowness, server.seen.inFlight()});
        }
    }
    return speeds;
}

std::optional<MonotonicTime> GatewayReducer::nextWake() const
{
    return m_wakes.empty() ? std::nullopt : std::optional(m_wakes.begin()->first);
}

void GatewayReducer::handle(RequestAsked&& event)
{
    GatewayRequest& request = event.request;
    if (!m_configuration) {
        return answerNow(
            event.caller, request, serviceUnavailable, "no configuration is known yet", startingReturnTime);
    }
    const HostRoute* route = findRoute(*m_configuration, request.host, request.path);
    if (route == nullptr) {
        return answerNow(event.caller, request, 404, "no route matches this host and path", 0ms);
    }
    const std::size_t target = m_turns[route->name].next(route->targets, random());
    const std::string& service = route->targets[target].service;
    const auto settings = m_configuration->services.find(service);
    const bool keyed = settings != m_configuration->services.end() && settings->second.keyed;
    if (keyed && !request.key) {
        return answerNow(event.caller, request, 400, "this service needs a key", 0ms);
    }
    const std::uint64_t number = m_nextNumber++;
    std::unique_ptr<Job>& slot = m_jobs[number];
    slot = std::make_unique<Job>();
    Job& job = *slot;
    job.number = number;
    job.caller = event.caller;
    job.configuration = m_configuration;
    job.route = route;
    job.service = service;
    job.keyed = keyed;
    job.arrivedAt = m_now;
    job.deadline = m_now + std::min(request.timeLeft.value_or(route->timeout), route->timeout);
    job.wakeAt = job.deadline;
    job.request = std::make_shared<const GatewayRequest>(std::move(request));
    m_callers[event.caller] = number;
    m_wakes.emplace(job.wakeAt, number);
    serviceOf(service).budget.addRequest(m_now);
    if (keyed) {
        m_effects.emplace_back(CountKey {service, *job.request->key});
    }
    advance(job);
}

void GatewayReducer::handle(RequestLeft&& event)
{
    const auto it = m_callers.find(event.caller);
    if (it == m_callers.end()) {
        return;
    }
    Job& job = *m_jobs.at(it->second);
    m_callers.erase(it);
    job.caller = 0;
    const bool mustEnd = job.route->repeatability == Repeatability::NonIdempotent && !job.dispatches.empty();
    if (mustEnd) {
        return; // A record that is being written is not cut off halfway; its answer is dropped.
    }
    abandon(job);
}

void GatewayReducer::handle(ServerAnswered&& event)
{
    const auto [found, dispatch] = takeDispatch(event.dispatch);
    if (found == nullptr) {
        return;
    }
    Job& job = *found;
    Server& server = m_servers.at(dispatch.server);
    const Milliseconds latency = std::chrono::duration_cast<Milliseconds>(m_now - dispatch.startedAt);
    ServerAnswer& answer = event.answer;
    if (answer.execution == Execution::NotOwner) {
        job.refusedVersion = job.keyed && serviceOf(job.service).ranges ? serviceOf(job.service).ranges->version : 0;
        if (!job.keyed) {
            server.seen.unreachable(m_now);
        }
        record(job, dispatch.server, "not-owner", "status " + std::to_string(answer.status));
        return retry(job, "the backend server does not own the key");
    }
    if (answer.execution == Execution::NotRun) {
        server.seen.refused(m_now);
        record(job, dispatch.server, "server-refused", "status " + std::to_string(answer.status));
        if (job.keyed && server.seen.slowness(m_now) > fullOwnerSlowness) {
            // Only the owner can serve the key, and it is full.
            return refuse(job, "the owner of the key has too much work", returnTime(job, needOf(job).objective));
        }
        return retry(job, "the backend server refused the request");
    }
    if (!answer.genuine) {
        server.seen.failed(m_now);
        job.mayHaveRun = true;
        record(job, dispatch.server, "unusable-answer", "status " + std::to_string(answer.status));
        return retry(job, "the backend server's answer was unusable");
    }
    if (isServerFailure(answer.status)) {
        server.seen.failed(m_now);
        job.mayHaveRun = true;
        job.failure = std::move(answer);
        record(job, dispatch.server, "server-failed", "status " + std::to_string(job.failure->status));
        return retry(job, "the backend server failed the request");
    }
    server.seen.answered(latency, typicalOf(job), m_now);
    m_latencies.at(latencyKey(job.route->name, job.service)).observe(latency);
    deliver(job, std::move(answer));
}

void GatewayReducer::handle(ServerFailed&& event)
{
    const auto [found, dispatch] = takeDispatch(event.dispatch);
    if (found == nullptr) {
        return;
    }
    Job& job = *found;
    Server& server = m_servers.at(dispatch.server);
    record(job, dispatch.server, enumName(failedSendNames, event.how), event.why);
    switch (event.how) {
    case FailedSend::MayHaveRun:
        server.seen.failed(m_now);
        job.mayHaveRun = true;
        break;
    case FailedSend::NotSent:
        server.seen.unreachable(m_now);
        --job.sends;
        ++job.unsent;
        break;
    case FailedSend::Withheld:
        --job.sends;
        if (job.dispatches.empty()) {
            return m_now >= job.deadline ? expire(job) : abandon(job);
        }
        return; // Another server is still at work on it.
    }
    retry(job, "the connection to the backend server broke");
}

void GatewayReducer::handle(GatewayConfigured&& event)
{
    if (m_configuration && event.configuration->version <= m_configuration->version) {
        return;
    }
    m_configuration = std::move(event.configuration);
    std::erase_if(m_turns, [this](const auto& entry) {
        return std::none_of(m_configuration->routes.begin(), m_configuration->routes.end(),
            [&entry](const HostRoute& route) { return route.name == entry.first; });
    });
    configureBudgets();
}

void GatewayReducer::handle(ServersListed&& event)
{
    m_pools.clear();
    for (auto& [id, server] : m_servers) {
        server.present = false;
    }
    for (const ListedServer& listed : *event.servers) {
        Server& server = m_servers[listed.life.id];
        if (server.listed.life != listed.life || server.listed.address != listed.address) {
            const bool known = !server.listed.life.id.empty();
            if (known) {
                server.seen = ServerObservation();
            }
            server.warmAt = m_now + listed.warmUpLeft;
        }
        if (listed.state == ListedServerState::Draining
            && (server.listed.state != listed.state || !server.leavingSince)) {
            server.leavingSince = m_now;
        } else if (listed.state != ListedServerState::Draining) {
            server.leavingSince.reset();
        }
        server.listed = listed;
        server.present = true;
    }
    // Servers whose entries are missing serve only where there are no others.
    for (const ListedServerState state : {ListedServerState::Ready, ListedServerState::Missing}) {
        std::map<std::string, std::vector<std::string>> pools;
        for (const ListedServer& listed : *event.servers) {
            if (listed.state == state) {
                pools[listed.service].push_back(listed.life.id);
            }
        }
        m_pools.merge(pools);
    }
    std::erase_if(m_servers, [this](const auto& entry) {
        const bool used = std::any_of(m_jobs.begin(), m_jobs.end(), [&entry](const auto& job) {
            const std::vector<Dispatch>& dispatches = job.second->dispatches;
            return std::any_of(dispatches.begin(), dispatches.end(),
                [&entry](const Dispatch& dispatch) { return dispatch.server == entry.first; });
        });
        return !entry.second.present && !used;
    });
}

void GatewayReducer::handle(RangesRouted&& event)
{
    Service& service = serviceOf(event.table->service);
    const bool older = service.ranges
        && std::pair(event.table->term, event.table->version)
            < std::pair(service.ranges->term, service.ranges->version);
    if (older) {
        return;
    }
    service.ranges = std::move(event.table);
    const std::set<std::uint64_t> waiting = m_waiting;
    for (const std::uint64_t number : waiting) {
        const auto it = m_jobs.find(number);
        if (it != m_jobs.end()) {
            advance(*it->second);
        }
    }
}

void GatewayReducer::handle(LoadsShared&& event)
{
    for (auto& [id, server] : m_servers) {
        const auto it = event.inFlight.find(id);
        const std::uint32_t total = it == event.inFlight.end() ? 0 : it->second;
        server.othersInFlight = total - std::min(total, server.seen.inFlight());
    }
}

void GatewayReducer::handle(InstancesCounted&& event)
{
    m_instances = std::max(1U, event.instances);
    configureBudgets();
}

void GatewayReducer::handle(GatewayTick&&)
{
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
    m_waiting.erase(job.number);
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
    const auto server = route == nullptr || route->owner.id.empty() ? m_servers.end() : m_servers.find(route->owner.id);
    const bool owned = server != m_servers.end() && server->second.listed.life == route->owner
        && server->second.seen.isReachable(m_now) && !hasLeft(server->second);
    const bool refusedHere = ranges && job.refusedVersion == ranges->version && job.refusedVersion != 0;
    const SelectionNeed need = needOf(job);
    if (!owned || refusedHere) {
        const bool moving = route != nullptr && route->moving;
        if (job.waitsSince == MonotonicTime()) {
            job.waitsSince = m_now;
        }
        const MonotonicTime waitUntil
            = moving ? m_now + ownerPatience(need, true) : job.waitsSince + ownerPatience(need, false);
        if (m_now >= waitUntil) {
            return refuse(job, "no backend server owns the key at present", ownerReturnTime);
        }
        job.refusedVersion = 0;
        m_waiting.insert(job.number);
        return setWake(job, std::min(m_now + ownerRetry, waitUntil));
    }
    if (job.waitsSince != MonotonicTime()) {
        record(job, server->first, "owner-found", "");
    }
    const Milliseconds expected = expectedLatency(candidateOf(server->second), need.typical);
    if (!fitsInTime(expected, need)) {
        return refuse(job, "the owner of the key has too much work", returnTime(job, expected));
    }
    dispatch(job, server->second);
}

void GatewayReducer::advancePooled(Job& job)
{
    std::vector<Server*> choices;
    const std::optional<SelectedServer> selected = chooseServer(job, choices);
    if (!selected) {
        return refuse(
            job, "no backend server of the service can take the request", returnTime(job, needOf(job).objective));
    }
    if (!fitsInTime(selected->expected, needOf(job))) {
        return refuse(job, "the backend servers have too much work", returnTime(job, selected->expected));
    }
    dispatch(job, *choices[selected->index]);
}

std::optional<SelectedServer> GatewayReducer::chooseServer(const Job& job, std::vector<Server*>& choices)
{
    std::vector<ServerCandidate> candidates;
    std::vector<double> jitter;
    const auto pool = m_pools.find(job.service);
    if (pool == m_pools.end()) {
        return std::nullopt;
    }
    for (const std::string& id : pool->second) {
        Server& server = m_servers.at(id);
        if (job.tried.contains(id) || !server.seen.isReachable(m_now)) {
            continue;
        }
        ServerCandidate candidate = candidateOf(server);
        candidate.index = choices.size();
        choices.push_back(&server);
        candidates.push_back(candidate);
        jitter.push_back(random());
    }
    return selectServer(candidates, needOf(job), jitter);
}

/// Whether a leaving server gets no new work any more. Until then the owner of a key serves it while it moves.
bool GatewayReducer::hasLeft(const Server& server) const
{
    return !server.present
        || (server.leavingSince && m_now - *server.leavingSince >= m_self.drainTime * ownerPartOfDrainTime);
}

ServerCandidate GatewayReducer::candidateOf(const Server& server) const
{
    ServerCandidate candidate;
    if (server.listed.region != m_self.region) {
        candidate.distance = Distance::OtherRegion;
    } else if (server.listed.failureDomain != m_self.failureDomain) {
        candidate.distance = Distance::SameRegion;
    }
    candidate.slots = server.listed.slots;
    candidate.inFlight = server.seen.inFlight();
    candidate.othersInFlight = server.othersInFlight;
    const auto service = m_configuration->services.find(server.listed.service);
    const std::uint32_t connections = service == m_configuration->services.end() ? 1 : service->second.maxConnections;
    candidate.highestInFlight = std::max(server.listed.slots, connections / std::max(1U, std::min(m_instances, 8U)));
    candidate.slowness = server.seen.slowness(m_now) * (m_now < server.warmAt ? coldSlowness : 1);
    candidate.failureShare = server.seen.failureShare(m_now);
    return candidate;
}

SelectionNeed GatewayReducer::needOf(const Job& job) { return {typicalOf(job), job.route->objective, remaining(job)}; }

Milliseconds GatewayReducer::typicalOf(const Job& job)
{
    const Milliseconds guess(static_cast<std::int64_t>(job.route->objective.count() * assumedPartOfObjective));
    return m_latencies.try_emplace(latencyKey(job.route->name, job.service), guess).first->second.typical();
}

void GatewayReducer::dispatch(Job& job, Server& server)
{
    const std::uint64_t number = m_nextNumber++;
    job.dispatches.push_back({number, server.listed.life.id, m_now});
    job.tried.insert(server.listed.life.id);
    ++job.sends;
    m_dispatches.emplace(number, job.number);
    server.seen.started();
    const bool canHedge = !job.keyed && job.route->repeatability == Repeatability::Idempotent
        && job.sends < job.route->maxAttempts && job.dispatches.size() == 1;
    if (canHedge) {
        const auto wait = std::chrono::duration_cast<Milliseconds>(typicalOf(job) * hedgeAfter);
        job.hedgeAt = m_now + wait;
        setWake(job, job.hedgeAt);
    }
    m_effects.emplace_back(SendToServer {number, job.caller, server.listed, job.request, remaining(job), job.deadline});
}

/// Asks a second server beside a slow one, when the budget allows and the answer can still be of use.
void GatewayReducer::hedge(Job& job)
{
    const bool due = job.dispatches.size() == 1 && m_now >= job.hedgeAt && job.sends < job.route->maxAttempts
        && !job.keyed && job.route->repeatability == Repeatability::Idempotent;
    if (!due || serviceOf(job.service).budget.usedShare(m_now) > hedgeBudgetShare) {
        return;
    }
    Server& slow = m_servers.at(job.dispatches.front().server);
    slow.seen.abandoned(
        std::chrono::duration_cast<Milliseconds>(m_now - job.dispatches.front().startedAt), typicalOf(job), m_now);
    std::vector<Server*> choices;
    const std::optional<SelectedServer> selected = chooseServer(job, choices);
    if (!selected || !fitsInTime(selected->expected, needOf(job)) || !serviceOf(job.service).budget.take(m_now)) {
        return;
    }
    record(job, choices[selected->index]->listed.life.id, "asked-second", "the first one is slow");
    dispatch(job, *choices[selected->index]);
}

std::pair<GatewayReducer::Job*, GatewayReducer::Dispatch> GatewayReducer::takeDispatch(std::uint64_t number)
{
    const auto it = m_dispatches.find(number);
    if (it == m_dispatches.end()) {
        return {nullptr, {}};
    }
    Job& job = *m_jobs.at(it->second);
    m_dispatches.erase(it);
    const auto dispatch = std::find_if(job.dispatches.begin(), job.dispatches.end(),
        [number](const Dispatch& candidate) { return candidate.number == number; });
    Dispatch taken = *dispatch;
    job.dispatches.erase(dispatch);
    m_servers.at(taken.server).seen.ended();
    return {&job, taken};
}

/// Whether another send is allowed; takes it from the budget.
bool GatewayReducer::mayRetry(Job& job)
{
    if (job.unsent > highestUnsent || job.sends >= job.route->maxAttempts) {
        return false;
    }
    return job.sends == 0 || serviceOf(job.service).budget.take(m_now);
}

/// A dispatch ended without an answer for the caller: tries once more where that is allowed.
void GatewayReducer::retry(Job& job, std::string_view why)
{
    if (!job.dispatches.empty()) {
        return; // Another server is still at work on it.
    }
    const bool repeatable = job.route->repeatability == Repeatability::Idempotent || !job.mayHaveRun;
    const bool useful = fitsInTime(typicalOf(job), needOf(job));
    if (job.caller != 0 && repeatable && useful && mayRetry(job)) {
        return advance(job);
    }
    if (job.failure) {
        ServerAnswer answer = std::move(*job.failure);
        return deliver(job, std::move(answer));
    }
    if (job.mayHaveRun) {
        return fail(job, badGateway, why);
    }
    refuse(job, why, returnTime(job, typicalOf(job)));
}

/// Ends a job whose caller left.
void GatewayReducer::abandon(Job& job)
{
    record(job, "", "caller-left", "");
    cancelDispatches(job);
    removeJob(job);
}

void GatewayReducer::expire(Job& job)
{
    for (const Dispatch& dispatch : job.dispatches) {
        Server& server = m_servers.at(dispatch.server);
        server.seen.abandoned(
            std::chrono::duration_cast<Milliseconds>(m_now - dispatch.startedAt), typicalOf(job), m_now);
    }
    if (!job.dispatches.empty() || job.mayHaveRun) {
        return fail(job, gatewayTimeout, "the time for the request is over");
    }
    refuse(job, "the time for the request is over before it was sent", ownerReturnTime);
}

void GatewayReducer::deliver(Job& job, ServerAnswer&& answer)
{
    AnswerRequest effect;
    effect.origin = AnswerOrigin::Server;
    effect.status = answer.status;
    effect.headers = std::move(answer.headers);
    effect.body = std::move(answer.body);
    finish(job, std::move(effect), "answered", "status " + std::to_string(answer.status));
}

void GatewayReducer::refuse(Job& job, std::string_view why, Milliseconds retryAfter)
{
    if (job.mayHaveRun) {
        return fail(job, badGateway, why);
    }
    AnswerRequest effect;
    effect.origin = AnswerOrigin::Refusal;
    effect.status = serviceUnavailable;
    effect.body = std::string(why) + "\n";
    effect.retryAfter = retryAfter;
    finish(job, std::move(effect), "refused", std::string(why));
}

void GatewayReducer::fail(Job& job, unsigned status, std::string_view why)
{
    AnswerRequest effect;
    effect.origin = AnswerOrigin::Failure;
    effect.status = status;
    effect.body = std::string(why) + "\n";
    finish(job, std::move(effect), "failed", std::string(why));
}

void GatewayReducer::finish(Job& job, AnswerRequest&& answer, std::string_view decision, std::string reason)
{
    record(job, "", decision, std::move(reason));
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
        m_dispatches.erase(dispatch.number);
        m_servers.at(dispatch.server).seen.ended();
        m_effects.emplace_back(CancelSend {dispatch.number});
    }
    job.dispatches.clear();
}

void GatewayReducer::removeJob(Job& job)
{
    if (job.caller != 0) {
        m_callers.erase(job.caller);
    }
    m_wakes.erase({job.wakeAt, job.number});
    m_waiting.erase(job.number);
    m_jobs.erase(job.number);
}

Milliseconds GatewayReducer::remaining(const Job& job) const
{
    return std::max(0ms, std::chrono::duration_cast<Milliseconds>(job.deadline - m_now));
}

Milliseconds GatewayReducer::returnTime(const Job& job, Milliseconds expected)
{
    return overloadReturnTime(expected, SelectionNeed {typicalOf(job), job.route->objective, remaining(job)}, random());
}

GatewayReducer::Service& GatewayReducer::serviceOf(const std::string& name)
{
    const auto [it, added] = m_services.try_emplace(name);
    if (added) {
        it->second.budget.configure(m_self.retryBudget, m_instances);
    }
    return it->second;
}

void GatewayReducer::configureBudgets()
{
    for (auto& [name, service] : m_services) {
        service.budget.configure(m_self.retryBudget, m_instances);
    }
}

void GatewayReducer::answerNow(
    std::uint64_t caller, const GatewayRequest& request, unsigned status, std::string_view why, Milliseconds retryAfter)
{
    AnswerRequest effect;
    effect.caller = caller;
    effect.requestId = request.id;
    effect.status = status;
    effect.body = std::string(why) + "\n";
    effect.retryAfter = retryAfter;
    m_effects.emplace_back(RecordDecision {request.id, "", "", "", "refused", std::string(why), 0ms});
    m_effects.emplace_back(std::move(effect));
}

void GatewayReducer::setWake(Job& job, MonotonicTime at)
{
    m_wakes.erase({job.wakeAt, job.number});
    job.wakeAt = std::min(at, job.deadline);
    m_wakes.emplace(job.wakeAt, job.number);
}

void GatewayReducer::record(const Job& job, const std::string& server, std::string_view decision, std::string reason)
{
    m_effects.emplace_back(RecordDecision {job.request->id, job.route->name, job.service, server, decision,
        std::move(reason), std::chrono::duration_cast<Milliseconds>(m_now - job.arrivedAt)});
}

} // namespace jasminespread
