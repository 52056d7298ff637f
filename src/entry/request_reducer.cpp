#include "entry/request_reducer.h"

#include "entry/refusal_rules.h"

#include <algorithm>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

/// Delay before a refused route is retried although the snapshot shows no other one: a server may receive its grant
/// after the routes are published. Doubles with each refusal up to the maximum.
constexpr Milliseconds initialRouteRetryDelay = 25ms;
constexpr Milliseconds maxRouteRetryDelay = 200ms;
constexpr Milliseconds initialRetryDelay = 5ms;
constexpr unsigned maxBackoffShift = 10;
/// Position of the worker number in correlations, which makes them unique within an instance: a primary identifies a
/// forwarded request by instance and correlation.
constexpr unsigned workerNumberShift = 48;
constexpr Milliseconds refusedRouteReportInterval = 50ms;
/// Amount by which the deadline of a forwarded request precedes the caller's deadline, though at most a tenth of the
/// remaining time, so that an answer sent by the primary at its deadline still arrives in time.
constexpr Milliseconds forwardDeadlineMargin = 10ms;

Milliseconds remainingTime(MonotonicTime now, MonotonicTime deadline)
{
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(deadline - now));
}

std::string workerForwardAddress(const InstanceRoute& instance, std::uint32_t worker)
{
    const std::size_t colon = instance.forwardAddress.rfind(':');
    if (colon == std::string::npos) {
        return instance.forwardAddress;
    }
    const unsigned long port = std::strtoul(instance.forwardAddress.c_str() + colon + 1, nullptr, 10);
    return instance.forwardAddress.substr(0, colon + 1) + std::to_string(port + worker);
}

/// Whether a backend server's answer belongs to the request @p id. Servers that do not repeat the id are trusted,
/// except with a refusal on a connection that carried another request: it would promise that the request did not run.
bool isAnswerTo(const std::string& id, const std::vector<HeaderField>& headers, bool connectionReused)
{
    if (const std::optional<std::string_view> answered = findHeader(headers, "Jasminespread-Request-Id")) {
        return *answered == id;
    }
    const std::string_view refused = enumName(outcomeNames, Outcome::NotRun);
    return !connectionReused || findHeader(headers, "Jasminespread-Outcome") != refused;
}

} // namespace

RequestReducer::RequestReducer(const InstanceSettings& settings, std::uint32_t workerIndex, std::uint64_t seed)
    : m_workerIndex(workerIndex)
    , m_maxRequests(settings.maxConcurrentRequests)
    , m_windowLimits {settings.windowEntries, settings.windowBytes, settings.clockSkewMargin}
    , m_workersPerInstance(std::max(1U, settings.workers))
    , m_queueLimit(std::max(1U, settings.queueLimit))
    , m_retryRatio(settings.retryBudget)
    , m_random(seed)
    , m_snapshot(std::make_shared<const RoutingSnapshot>())
    , m_nextNumber((std::uint64_t(workerIndex) + 1) << workerNumberShift)
{
}

WorkerEffects RequestReducer::reduce(TimedWorkerEvent event)
{
    m_now = event.now;
    m_wallNow = event.wallNow;
    std::visit([this](auto& alternative) { handle(std::move(alternative)); }, event.event);
    dispatchQueuedJobs();
    return std::exchange(m_effects, {});
}

RequestReducer::Job& RequestReducer::addJob(CallerRequest&& request, MonotonicTime deadline)
{
    const std::uint64_t number = m_nextNumber++;
    std::unique_ptr<Job>& job = m_jobs[number];
    job = std::make_unique<Job>();
    job->number = number;
    job->request = std::move(request);
    job->arrivedAt = m_now;
    job->deadline = deadline;
    job->wakeupAt = deadline;
    m_wakeups.emplace(deadline, number);
    return *job;
}

RequestReducer::Job* RequestReducer::findJobByAttempt(std::uint64_t attemptId)
{
    const auto it = m_jobsByAttempt.find(attemptId);
    return it == m_jobsByAttempt.end() ? nullptr : m_jobs.at(it->second).get();
}

void RequestReducer::endAttempt(Job& job)
{
    m_jobsByAttempt.erase(job.attemptId);
    job.attemptId = 0;
    job.phase = Phase::Waiting;
}

void RequestReducer::scheduleWakeup(Job& job, MonotonicTime at)
{
    m_wakeups.erase({job.wakeupAt, job.number});
    job.wakeupAt = std::min(at, job.deadline);
    m_wakeups.emplace(job.wakeupAt, job.number);
}

/// Routes a waiting job: dispatches it to the owner, forwards it to the primary, or lets it wait for a route.
void RequestReducer::advance(Job& job)
{
    if (job.phase != Phase::Waiting) {
        return;
    }
    if (job.deadline <= m_now) {
        return expire(job);
    }
    const auto it = m_snapshot->services.find(job.request.service);
    if (it == m_snapshot->services.end() || it->second.groups.empty()) {
        if (job.requiresPrimary) {
            removeFromWindow(job);
            return answerWrongPrimary(job);
        }
        return finish(job, makeAnswer(Outcome::NotRun, reason::unknownService, "the service was removed"));
    }
    const ServiceRoute& service = it->second;
    const KeyRoute route = routeKey(service, job.request.key);
    job.group = route.group->group.index;
    if (job.inWindow && job.windowGroup != job.group) {
        removeFromWindow(job);
    }
    const bool requiresPrimary
        = job.requiresPrimary || !job.request.repeatable || service.settings.grantCheck == GrantCheck::Unchecked;
    if (!requiresPrimary) {
        if (!route.owner.server) {
            return waitForRoute(job, route.group->group, reason::noRoute);
        }
        return dispatchOrQueue(job, service, route, false);
    }
    if (isLocalPrimary(*route.group)) {
        const InstanceRoute& self = m_snapshot->instances[*route.group->primary];
        if (route.group->group.index % std::max(1U, self.workers) == m_workerIndex) {
            return advanceAtPrimary(job, service, route);
        }
    }
    removeFromWindow(job);
    if (job.caller == 0 && !job.origin) {
        return removeJob(job); // Its caller disconnected, and its joiners wait independently now.
    }
    if (job.requiresPrimary) {
        return answerWrongPrimary(job);
    }
    if (!route.group->primary) {
        return waitForRoute(job, route.group->group, reason::noRoute);
    }
    forward(job, route, m_snapshot->instances[*route.group->primary]);
}

void RequestReducer::advanceAtPrimary(Job& job, const ServiceRoute& service, const KeyRoute& route)
{
    const GroupRoute& group = *route.group;
    const bool hasAuthority = group.authorityUntil
        && m_now.time_since_epoch().count() < group.authorityUntil->load(std::memory_order_acquire);
    if (!hasAuthority) {
        removeFromWindow(job);
        if (job.requiresPrimary) {
            return answerWrongPrimary(job);
        }
        return waitForRoute(job, group.group, reason::noRoute);
    }
    if (m_wallNow < group.servingSince) {
        job.lastReason = reason::noRoute;
        return scheduleWakeup(job, m_now + (group.servingSince - m_wallNow));
    }
    if (!job.request.repeatable && !job.inWindow && !admitToWindow(job, group)) {
        return;
    }
    if (!route.owner.server) {
        return waitForRoute(job, group.group, reason::noRoute);
    }
    dispatchOrQueue(job, service, route, true);
}

/// Admits a job to the window of its group. Returns false when the job was answered or joined a running one.
bool RequestReducer::admitToWindow(Job& job, const GroupRoute& group)
{
    GroupWindow& window = groupWindow(job.request.service, group.group.index);
    window.term = std::max(window.term, group.term);
    RequestWindow::Admission admission = window.requests.admit(job.request, job.number, m_wallNow, group.servingSince);
    if (RequestAnswer* answer = std::get_if<RequestAnswer>(&admission)) {
        finish(job, std::move(*answer));
        return false;
    }
    if (const RequestWindow::Join* join = std::get_if<RequestWindow::Join>(&admission)) {
        job.phase = Phase::Joined;
        job.joinedJob = join->job;
        m_jobs.at(join->job)->joiners.push_back(job.number);
        emit(IncrementCounter {WorkerCounter::Joined});
        scheduleWakeup(job, job.deadline);
        return false;
    }
    job.inWindow = true;
    job.windowGroup = group.group.index;
    return true;
}

/// Records the outcome of a job in its window and answers the jobs that joined it.
void RequestReducer::closeWindowEntry(Job& job, const RequestAnswer& answer)
{
    if (answer.outcome == Outcome::NotRun) {
        groupWindow(job.request.service, job.windowGroup).requests.removeRunning(job.request.id);
    } else {
        groupWindow(job.request.service, job.windowGroup).requests.complete(job.request.id, answer);
    }
    job.inWindow = false;
    for (const std::uint64_t number : std::exchange(job.joiners, {})) {
        Job& joiner = *m_jobs.at(number);
        joiner.joinedJob = 0;
        joiner.phase = Phase::Waiting;
        // The deadline of the first request does not apply to the joiner, which is routed again.
        if (answer.outcome == Outcome::NotRun && answer.reason == reason::deadline) {
            scheduleWakeup(joiner, m_now);
        } else {
            finish(joiner, RequestAnswer(answer));
        }
    }
}

/// Removes a job that did not run from its window, before it is routed again. The jobs that joined it are routed again
/// too.
void RequestReducer::removeFromWindow(Job& job)
{
    if (!job.inWindow) {
        return;
    }
    groupWindow(job.request.service, job.windowGroup).requests.removeRunning(job.request.id);
    job.inWindow = false;
    for (const std::uint64_t number : std::exchange(job.joiners, {})) {
        Job& joiner = *m_jobs.at(number);
        joiner.joinedJob = 0;
        joiner.phase = Phase::Waiting;
        scheduleWakeup(joiner, m_now);
    }
}

RequestReducer::GroupWindow& RequestReducer::groupWindow(const std::string& service, std::uint32_t group)
{
    return m_windows.try_emplace({service, group}, GroupWindow {RequestWindow(m_windowLimits), 0}).first->second;
}

/// Dispatches a job when the server has a free slot; otherwise queues or refuses it.
void RequestReducer::dispatchOrQueue(Job& job, const ServiceRoute& service, const KeyRoute& route, bool asPrimary)
{
    const std::string& id = m_snapshot->servers[*route.owner.server].id;
    Server& server = m_servers[id];
    if (server.limiter.hasSlot() && (server.queue.size() == 0 || m_dequeuedJob == job.number)) {
        server.limiter.acquire();
        return dispatch(job, route, asPrimary);
    }
    const std::vector<WorkClass>& classes = service.settings.classes;
    auto workClass = std::find_if(classes.begin(), classes.end(),
        [&](const WorkClass& candidate) { return candidate.name == job.request.workClass; });
    if (workClass == classes.end()) {
        workClass = classes.begin();
    }
    const std::string name = workClass == classes.end() ? std::string() : workClass->name;
    if (!job.dispatchedBefore) {
        const double load = static_cast<double>(server.queue.size()) / m_queueLimit;
        if (isRefusedByRule(service.refusalRules, name, load)) {
            return finish(job, makeAnswer(Outcome::NotRun, reason::refusedByRule, "refused by an operators' rule"));
        }
        if (server.queue.size() >= m_queueLimit) {
            return finish(job, makeAnswer(Outcome::NotRun, reason::queueFull, "the backend server's queue is full"));
        }
    }
    job.phase = Phase::Queued;
    job.route = routeVersionOf(route);
    job.queuedClass = name;
    job.lastReason = "no-slot";
    scheduleWakeup(job, job.deadline);
    server.queue.push(name, workClass == classes.end() ? 1 : workClass->weight, job.number);
}

void RequestReducer::dispatch(Job& job, const KeyRoute& route, bool asPrimary)
{
    const ServerRoute& server = m_snapshot->servers[*route.owner.server];
    job.phase = Phase::Dispatched;
    job.attemptId = m_nextNumber++;
    job.route = routeVersionOf(route);
    scheduleWakeup(job, job.deadline);
    m_jobsByAttempt.emplace(job.attemptId, job.number);
    const bool repeated = std::exchange(job.dispatchedBefore, true);
    if (!repeated) {
        retryBudgetFor(job.request.service).addFirstAttempt();
    }

    SendToBackend send;
    send.dispatch = job.attemptId;
    BackendRequest& request = send.request;
    request.address = server.address;
    request.method = job.request.method;
    request.target = job.request.target;
    request.headers.reserve(job.request.headers.size() + 8);
    request.headers = job.request.headers;
    request.headers.push_back({"Jasminespread-Group", toText(route.group->group)});
    request.headers.push_back({"Jasminespread-Partition", std::to_string(route.partition)});
    request.headers.push_back({"Jasminespread-Token", std::to_string(route.owner.token)});
    request.headers.push_back({"Jasminespread-Term", std::to_string(route.group->term)});
    request.headers.push_back(
        {"Jasminespread-Deadline-Ms", std::to_string(remainingTime(m_now, job.deadline).count())});
    request.headers.push_back({"Jasminespread-Request-Id", job.request.id.text()});
    request.headers.push_back({"Jasminespread-Repeatable", job.request.repeatable ? "yes" : "no"});
    request.headers.push_back({"Jasminespread-Key", job.request.key});
    request.body = job.request.body;
    request.deadline = job.deadline;
    // A second copy of the answer to the earlier dispatch would carry the same id.
    request.needsNewConnection = repeated;
    request.isMatchingAnswer = [id = job.request.id.text()](const std::vector<HeaderField>& headers,
                                   bool connectionReused) { return isAnswerTo(id, headers, connectionReused); };
    if (asPrimary) {
        request.mayWrite = [authority = route.group->authorityUntil] {
            return monotonicNow().time_since_epoch().count() < authority->load(std::memory_order_acquire);
        };
    }
    emit(std::move(send));
}

/// Ends the current dispatch of a job and releases its slot.
void RequestReducer::releaseSlot(Job& job, SlotResult result)
{
    endAttempt(job);
    const auto it = m_servers.find(job.route.server);
    if (it != m_servers.end()) {
        it->second.limiter.release(result, m_now);
        if (it->second.queue.size() > 0) {
            m_serversToDispatch.insert(it->first);
        }
    }
}

/// Assigns free slots to queued jobs.
void RequestReducer::dispatchQueuedJobs()
{
    while (!m_serversToDispatch.empty()) {
        const std::string id = *m_serversToDispatch.begin();
        m_serversToDispatch.erase(m_serversToDispatch.begin());
        Server& server = m_servers.at(id);
        while (server.limiter.hasSlot()) {
            const std::optional<std::uint64_t> number = server.queue.pop();
            if (!number) {
                break;
            }
            Job& job = *m_jobs.at(*number);
            job.phase = Phase::Waiting;
            m_dequeuedJob = *number;
            advance(job);
            m_dequeuedJob = 0;
        }
    }
}

/// Removes a job from its server's queue if it is queued.
void RequestReducer::removeFromQueue(Job& job)
{
    if (job.phase == Phase::Queued) {
        m_servers.at(job.route.server).queue.remove(job.queuedClass, job.number);
        job.phase = Phase::Waiting;
    }
}

/// Adjusts the concurrency limits to the servers' slots and removes idle servers that are not listed any more.
void RequestReducer::updateServerLimits()
{
    std::set<std::string> listedServers;
    const double workerCount = static_cast<double>(std::max(1U, m_snapshot->liveInstances)) * m_workersPerInstance;
    for (const ServerRoute& route : m_snapshot->servers) {
        listedServers.insert(route.id);
        Server& server = m_servers[route.id];
        const double connections = std::max(1.0, route.connections / workerCount);
        server.limiter.configure(
            std::min(route.slots / workerCount, connections), std::min<double>(route.slots, connections));
        if (server.queue.size() > 0) {
            m_serversToDispatch.insert(route.id);
        }
    }
    std::erase_if(m_servers, [&](const auto& entry) {
        return !listedServers.contains(entry.first) && entry.second.limiter.inUse() == 0
            && entry.second.queue.size() == 0;
    });
}

void RequestReducer::forward(Job& job, const KeyRoute& route, const InstanceRoute& primary)
{
    job.phase = Phase::Forwarded;
    job.attemptId = m_nextNumber++;
    job.route = routeVersionOf(route);
    m_jobsByAttempt.emplace(job.attemptId, job.number);
    const std::uint32_t worker = route.group->group.index % std::max(1U, primary.workers);
    job.forwardAddress = workerForwardAddress(primary, worker);
    job.forwardedTo = {primary.id, primary.incarnation};
    scheduleWakeup(job, job.deadline);

    SendForward send;
    send.address = job.forwardAddress;
    wire::ForwardRequest& message = send.request;
    message.set_correlation(job.attemptId);
    message.set_service(job.request.service);
    message.set_group(route.group->group.index);
    message.set_key(job.request.key);
    message.set_request_id(job.request.id.bytes().data(), job.request.id.bytes().size());
    message.set_id_made_by_entry(job.request.idGeneratedByEntry);
    message.set_method(job.request.method);
    message.set_target(job.request.target);
    for (const HeaderField& field : job.request.headers) {
        wire::HeaderField& wireField = *message.add_headers();
        wireField.set_name(field.name);
        wireField.set_value(field.value);
    }
    message.set_body(job.request.body);
    const Milliseconds timeLeft = remainingTime(m_now, job.deadline);
    message.set_remaining_ms(
        static_cast<std::uint32_t>((timeLeft - std::min(forwardDeadlineMargin, timeLeft / 10)).count()));
    message.set_work_class(job.request.workClass);
    message.set_repeatable(job.request.repeatable);
    emit(std::move(send));
}

/// Lets a job wait for another route and schedules a retry of the refused one.
void RequestReducer::waitForRoute(Job& job, const GroupName& group, std::string_view reasonCode)
{
    job.lastReason = reasonCode;
    MonotonicTime& reportedAt = m_refusedRouteReportedAt[{group.service, group.index}];
    if (reportedAt == MonotonicTime() || m_now - reportedAt >= refusedRouteReportInterval) {
        reportedAt = m_now;
        emit(ReportRefusedRoute {group});
    }
    const unsigned shift = std::min(job.failedAttempts, maxBackoffShift);
    scheduleWakeup(job, m_now + std::min(initialRouteRetryDelay * (1 << shift), maxRouteRetryDelay));
}

/// Schedules a retry. Precondition: its token was taken from the retry budget.
void RequestReducer::scheduleRetry(Job& job)
{
    emit(CountRetry {job.request.service});
    scheduleWakeup(job, m_now + retryDelay(job.failedAttempts));
}

/// Exponential backoff with full jitter.
Milliseconds RequestReducer::retryDelay(unsigned failedAttempts)
{
    const Milliseconds maxDelay
        = std::min(initialRetryDelay * (1 << std::min(failedAttempts, maxBackoffShift)), maxRetryDelay);
    return Milliseconds(std::uniform_int_distribution<std::int64_t>(1, maxDelay.count())(m_random));
}

RetryBudget& RequestReducer::retryBudgetFor(const std::string& service)
{
    return m_retryBudgets.try_emplace(service, m_retryRatio).first->second;
}

std::vector<RequestReducer::ServerLoad> RequestReducer::serverLoads() const
{
    std::vector<ServerLoad> loads;
    loads.reserve(m_servers.size());
    for (const auto& [id, server] : m_servers) {
        loads.push_back({id, server.limiter.inUse(), server.limiter.limit(), server.queue.size()});
    }
    return loads;
}

void RequestReducer::expire(Job& job)
{
    emit(IncrementCounter {WorkerCounter::Expired});
    removeFromQueue(job);
    const bool mayHaveRun = job.phase != Phase::Waiting || job.mayHaveRun;
    if (job.phase == Phase::Dispatched) {
        emit(CancelDispatch {job.attemptId});
        releaseSlot(job, SlotResult::Failed);
    } else if (job.phase == Phase::Forwarded) {
        emit(SendForwardCancel {job.forwardAddress, job.attemptId});
    }
    if (job.phase == Phase::Joined) {
        std::erase(m_jobs.at(job.joinedJob)->joiners, job.number);
    }
    if (mayHaveRun) {
        return finish(job,
            makeAnswer(Outcome::Unknown, reason::deadline, "the deadline passed before an answer; it may have run"));
    }
    const std::string text = "the deadline passed before the request was sent to a backend server"
        + (job.lastReason.empty() ? std::string() : "; last refusal: " + job.lastReason);
    finish(job, makeAnswer(Outcome::NotRun, reason::deadline, text));
}

/// Cancels a job whose caller disconnected or whose sender cancelled it, unless other jobs share its answer.
void RequestReducer::cancel(Job& job)
{
    if (job.caller != 0) {
        m_jobsByCaller.erase(std::exchange(job.caller, 0));
    }
    if (job.origin) {
        m_jobsByOrigin.erase({job.origin->sender.id, job.origin->sender.incarnation, job.origin->correlation});
        job.origin.reset();
    }
    if (!job.joiners.empty()) {
        return;
    }
    removeFromQueue(job);
    const bool wasDispatched = job.phase == Phase::Dispatched;
    if (wasDispatched) {
        emit(CancelDispatch {job.attemptId});
        releaseSlot(job, SlotResult::Neutral);
    } else if (job.phase == Phase::Forwarded) {
        emit(SendForwardCancel {job.forwardAddress, job.attemptId});
    } else if (job.phase == Phase::Joined) {
        Job& first = *m_jobs.at(job.joinedJob);
        std::erase(first.joiners, job.number);
        const bool isAbandoned = first.joiners.empty() && first.caller == 0 && !first.origin;
        removeJob(job);
        if (isAbandoned) {
            cancel(first);
        }
        return;
    }
    if (job.inWindow) {
        const Outcome outcome = wasDispatched ? Outcome::Unknown : Outcome::NotRun;
        closeWindowEntry(job, makeAnswer(outcome, reason::cancelled, "the caller left"));
    }
    removeJob(job);
}

void RequestReducer::finish(Job& job, RequestAnswer&& answer)
{
    if (answer.outcome == Outcome::NotRun && job.mayHaveRun) {
        answer = makeAnswer(Outcome::Unknown, answer.reason, "an earlier attempt may have run; last: " + answer.reason);
    }
    if (job.inWindow) {
        closeWindowEntry(job, answer);
    }
    if (job.caller != 0) {
        const double seconds = std::chrono::duration<double>(m_now - job.arrivedAt).count();
        emit(RecordRequest {job.request.service, answer.outcome, answer.reason, seconds, answer.server});
        emit(AnswerCaller {job.caller, job.request.id, std::move(answer)});
    } else if (job.origin) {
        SendForwardAnswer send;
        send.address = job.origin->replyAddress;
        send.expires = job.deadline + forwardDeadlineMargin;
        wire::ForwardAnswer& message = send.answer;
        message.set_correlation(job.origin->correlation);
        message.set_request_incarnation(job.origin->sender.incarnation);
        message.set_outcome(static_cast<std::uint32_t>(answer.outcome));
        message.set_reason(std::move(answer.reason));
        message.set_status(answer.status);
        for (HeaderField& field : answer.headers) {
            wire::HeaderField& wireField = *message.add_headers();
            wireField.set_name(std::move(field.name));
            wireField.set_value(std::move(field.value));
        }
        message.set_body(std::move(answer.body));
        message.set_server(std::move(answer.server));
        emit(std::move(send));
    }
    removeJob(job);
}

/// Returns a forwarded job to its sender, which routes it again. The outcome says whether an attempt of this instance
/// may have run.
void RequestReducer::answerWrongPrimary(Job& job)
{
    if (!job.origin) {
        return removeJob(job);
    }
    SendForwardAnswer send;
    send.address = job.origin->replyAddress;
    send.expires = job.deadline;
    send.answer.set_correlation(job.origin->correlation);
    send.answer.set_request_incarnation(job.origin->sender.incarnation);
    send.answer.set_outcome(static_cast<std::uint32_t>(job.mayHaveRun ? Outcome::Unknown : Outcome::NotRun));
    send.answer.set_wrong_primary(true);
    emit(std::move(send));
    removeJob(job);
}

void RequestReducer::removeJob(Job& job)
{
    m_jobsByAttempt.erase(job.attemptId);
    if (job.caller != 0) {
        m_jobsByCaller.erase(job.caller);
    }
    if (job.origin) {
        m_jobsByOrigin.erase({job.origin->sender.id, job.origin->sender.incarnation, job.origin->correlation});
    }
    m_wakeups.erase({job.wakeupAt, job.number});
    m_jobs.erase(job.number);
}

bool RequestReducer::isLocalPrimary(const GroupRoute& group) const
{
    if (!group.primary) {
        return false;
    }
    const InstanceRoute& primary = m_snapshot->instances[*group.primary];
    return primary.id == m_snapshot->self.id && primary.incarnation == m_snapshot->self.incarnation;
}

RequestReducer::RouteVersion RequestReducer::routeVersionOf(const KeyRoute& route) const
{
    RouteVersion version;
    version.server = route.owner.server ? m_snapshot->servers[*route.owner.server].id : std::string();
    version.token = route.owner.token;
    version.term = route.group->term;
    return version;
}

} // namespace jasminespread
