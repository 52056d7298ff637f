#include "entry/request_reducer.h"

#include <algorithm>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

/// Shortest time after which a refused route is tried again although the snapshot shows no other one: a server may
/// receive its grant after the routes were published.
constexpr Milliseconds refusedRouteRetry = 25ms;
/// Interval of route polling and of retries of forward messages that could not be sent.
constexpr Milliseconds shortRetry = 5ms;
constexpr Milliseconds refusalReportInterval = 50ms;
/// Part of the remaining time that the entry keeps for itself, so that a primary's answer at its own deadline still
/// arrives in time.
constexpr Milliseconds forwardMargin = 10ms;

Milliseconds remaining(MonotonicTime now, MonotonicTime deadline)
{
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(deadline - now));
}

std::string forwardAddressOf(const InstanceRoute& instance, std::uint32_t worker)
{
    const std::size_t colon = instance.forwardAddress.rfind(':');
    if (colon == std::string::npos) {
        return instance.forwardAddress;
    }
    const unsigned long port = std::strtoul(instance.forwardAddress.c_str() + colon + 1, nullptr, 10);
    return instance.forwardAddress.substr(0, colon + 1) + std::to_string(port + worker);
}

bool isRefusal(const BackendResult& result)
{
    return (result.status == 409 || result.status == 503)
        && findHeader(result.headers, "Jasminespread-Outcome") == enumName(outcomeNames, Outcome::NotRun);
}

} // namespace

RequestReducer::RequestReducer(const InstanceSettings& settings, std::uint32_t worker, std::uint64_t seed)
    : m_worker(worker)
    , m_maxRequests(settings.maxConcurrentRequests)
    , m_windowLimits {settings.windowEntries, settings.windowBytes, settings.clockSkewMargin}
    , m_random(seed)
    , m_snapshot(std::make_shared<const RoutingSnapshot>())
{
}

WorkerEffects RequestReducer::reduce(TimedWorkerEvent event)
{
    m_now = event.now;
    m_wallNow = event.wallNow;
    std::visit([this](auto& alternative) { handle(std::move(alternative)); }, event.event);
    return std::exchange(m_effects, {});
}

/// @name Events
/// @{

void RequestReducer::handle(RequestArrived&& event)
{
    const auto refuse = [&](std::string_view why, std::string_view text) {
        emit(RecordRequest {why == reason::unknownService ? std::string() : event.request.service, Outcome::NotRun,
            std::string(why), 0});
        emit(AnswerCaller {event.caller, event.request.id, makeAnswer(Outcome::NotRun, why, text)});
    };
    if (!m_snapshot->ready) {
        return refuse(reason::notReady, "no configuration is in force yet");
    }
    const auto service = m_snapshot->services.find(event.request.service);
    if (service == m_snapshot->services.end() || service->second.groups.empty()) {
        return refuse(reason::unknownService, "the configuration has no service of this name");
    }
    if (m_jobs.size() >= m_maxRequests) {
        return refuse(reason::tooManyRequests, "this worker is at its limit of concurrent requests");
    }
    const Milliseconds allowed = event.request.deadline.value_or(service->second.settings.defaultDeadline);
    Job& job = addJob(std::move(event.request), m_now + allowed);
    job.caller = event.caller;
    m_callers.emplace(job.caller, job.number);
    advance(job);
}

void RequestReducer::handle(CallerLeft&& event)
{
    const auto it = m_callers.find(event.caller);
    if (it == m_callers.end()) {
        return;
    }
    emit(CountEvent {WorkerCounter::CallersLeft});
    cancel(*m_jobs.at(it->second));
}

void RequestReducer::handle(ForwardReceived&& event)
{
    wire::ForwardRequest& message = event.request;
    RequestId::Bytes id {};
    if (message.request_id().size() != id.size()) {
        return emit(WriteWorkerLog {LogEvent::ForwardRejected, "request id of wrong length from " + event.sender.id});
    }
    std::copy(message.request_id().begin(), message.request_id().end(), id.begin());
    CallerRequest request;
    request.service = std::move(*message.mutable_service());
    request.key = std::move(*message.mutable_key());
    request.method = std::move(*message.mutable_method());
    request.target = std::move(*message.mutable_target());
    request.body = std::move(*message.mutable_body());
    request.workClass = std::move(*message.mutable_work_class());
    request.headers.reserve(static_cast<std::size_t>(message.headers_size()));
    for (wire::HeaderField& field : *message.mutable_headers()) {
        request.headers.push_back({std::move(*field.mutable_name()), std::move(*field.mutable_value())});
    }
    request.id = RequestId(id);
    request.idMadeByEntry = message.id_made_by_entry();
    request.repeatable = message.repeatable();
    const OriginKey originKey {event.sender.id, event.sender.incarnation, message.correlation()};
    if (m_origins.contains(originKey)) {
        return emit(WriteWorkerLog {LogEvent::ForwardRejected, "correlation in use, from " + event.sender.id});
    }
    Job& job = addJob(std::move(request), m_now + Milliseconds(message.remaining_ms()));
    job.origin = ForwardOrigin {std::move(event.sender), message.reply_address(), message.correlation()};
    job.throughPrimary = true;
    m_origins.emplace(originKey, job.number);
    if (message.remaining_ms() == 0) {
        return expire(job);
    }
    advance(job);
}

void RequestReducer::handle(ForwardCancelled&& event)
{
    const auto it = m_origins.find({event.sender.id, event.sender.incarnation, event.correlation});
    if (it != m_origins.end()) {
        cancel(*m_jobs.at(it->second));
    }
}

void RequestReducer::handle(ForwardAnswered&& event)
{
    wire::ForwardAnswer& message = event.answer;
    Job* job
        = message.request_incarnation() == m_snapshot->self.incarnation ? findExchange(message.correlation()) : nullptr;
    if (job == nullptr || job->phase != Phase::Forwarded) {
        emit(CountEvent {WorkerCounter::LateAnswers});
        return;
    }
    endExchange(*job);
    if (message.wrong_primary()) {
        job->routeRefused = true;
        const ServiceRoute& service = m_snapshot->services.at(job->request.service);
        return waitForRoute(*job, routeKey(service, job->request.key).group->group, reason::noRoute);
    }
    if (message.outcome() > static_cast<std::uint32_t>(Outcome::Unknown)) {
        emit(WriteWorkerLog {LogEvent::ForwardRejected, "answer with an outcome that does not exist"});
        return finish(*job, makeAnswer(Outcome::Unknown, reason::connectionBroken));
    }
    RequestAnswer answer;
    answer.outcome = static_cast<Outcome>(message.outcome());
    answer.reason = std::move(*message.mutable_reason());
    answer.status = message.status();
    answer.server = std::move(*message.mutable_server());
    answer.body = std::move(*message.mutable_body());
    answer.headers.reserve(static_cast<std::size_t>(message.headers_size()));
    for (wire::HeaderField& field : *message.mutable_headers()) {
        answer.headers.push_back({std::move(*field.mutable_name()), std::move(*field.mutable_value())});
    }
    finish(*job, std::move(answer));
}

void RequestReducer::handle(ForwardNotSent&& event)
{
    Job* job = findExchange(event.correlation);
    if (job == nullptr || job->phase != Phase::Forwarded) {
        return;
    }
    endExchange(*job);
    job->lastReason = reason::noRoute;
    setWake(*job, m_now + shortRetry);
}

void RequestReducer::handle(BackendFinished&& event)
{
    Job* job = findExchange(event.dispatch);
    if (job == nullptr || job->phase != Phase::Dispatched) {
        emit(CountEvent {WorkerCounter::LateAnswers});
        return;
    }
    endExchange(*job);
    BackendResult& result = event.result;
    if (result.progress == BackendProgress::Answered && !isRefusal(result)) {
        RequestAnswer answer;
        answer.outcome = Outcome::Done;
        answer.status = result.status;
        answer.headers = std::move(result.headers);
        removePrivateHeaders(answer.headers);
        answer.body = std::move(result.body);
        answer.server = job->route.server;
        return finish(*job, std::move(answer));
    }
    if (result.progress == BackendProgress::Answered) {
        const std::string why(findHeader(result.headers, "Jasminespread-Reason").value_or("refused"));
        if (result.status == 409) {
            job->routeRefused = true;
            emit(CountEvent {WorkerCounter::RouteRefusals});
            const ServiceRoute& service = m_snapshot->services.at(job->request.service);
            return waitForRoute(*job, routeKey(service, job->request.key).group->group, why);
        }
        job->lastReason = why;
        return retryLater(*job);
    }
    emit(WriteWorkerLog {LogEvent::BackendFailed,
        job->route.server + ": " + std::string(enumName(backendProgressNames, result.progress)) + ": "
            + result.failure});
    if (result.progress == BackendProgress::Broken) {
        if (!job->request.repeatable) {
            return finish(*job,
                makeAnswer(Outcome::Unknown, result.timedOut ? reason::deadline : reason::connectionBroken,
                    "the backend server did not answer; the request may have run"));
        }
        job->mayHaveRun = true;
    }
    job->lastReason = reason::connectionBroken;
    retryLater(*job);
}

void RequestReducer::handle(RoutesChanged&& event)
{
    m_snapshot = std::move(event.snapshot);
    std::erase_if(m_windows, [this](const auto& entry) {
        const auto service = m_snapshot->services.find(entry.first.first);
        if (service == m_snapshot->services.end() || entry.first.second >= service->second.groups.size()) {
            return false;
        }
        // Only a later term has a later servingSince, which refuses the ids that this window knows.
        const GroupRoute& group = service->second.groups[entry.first.second];
        return !isLocalPrimary(group) && group.term > entry.second.term && entry.second.requests.running() == 0;
    });
    std::vector<std::uint64_t> waiting;
    for (const auto& [number, job] : m_jobs) {
        if (job->phase == Phase::Waiting || (job->phase == Phase::Forwarded && job->request.repeatable)) {
            waiting.push_back(number);
        }
    }
    for (const std::uint64_t number : waiting) {
        const auto it = m_jobs.find(number);
        if (it == m_jobs.end()) {
            continue;
        }
        Job& job = *it->second;
        const auto service = m_snapshot->services.find(job.request.service);
        if (service == m_snapshot->services.end() || service->second.groups.empty()) {
            finish(job, makeAnswer(Outcome::NotRun, reason::unknownService, "the service was removed"));
        } else if (job.phase == Phase::Forwarded) {
            forwardAgain(job, *routeKey(service->second, job.request.key).group);
        } else if (versionOf(routeKey(service->second, job.request.key)) != job.route) {
            advance(job);
        }
    }
}

void RequestReducer::handle(WorkerTick&&)
{
    while (!m_wakes.empty() && m_wakes.begin()->first <= m_now) {
        Job& job = *m_jobs.at(m_wakes.begin()->second);
        if (job.deadline <= m_now) {
            expire(job);
        } else {
            setWake(job, job.deadline);
            job.routeRefused = false;
            advance(job);
        }
    }
}

/// @}

/// Sends a repeatable job to the new primary when the old one can no longer answer.
void RequestReducer::forwardAgain(Job& job, const GroupRoute& group)
{
    if (!group.primary) {
        return;
    }
    const InstanceRoute& primary = m_snapshot->instances[*group.primary];
    if (InstanceReference {primary.id, primary.incarnation} == job.forwardedTo) {
        return;
    }
    endExchange(job);
    job.mayHaveRun = true;
    advance(job);
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
    job->wakeAt = deadline;
    m_wakes.emplace(deadline, number);
    return *job;
}

RequestReducer::Job* RequestReducer::findExchange(std::uint64_t exchange)
{
    const auto it = m_exchanges.find(exchange);
    return it == m_exchanges.end() ? nullptr : m_jobs.at(it->second).get();
}

void RequestReducer::endExchange(Job& job)
{
    m_exchanges.erase(job.exchange);
    job.exchange = 0;
    job.phase = Phase::Waiting;
}

void RequestReducer::setWake(Job& job, MonotonicTime at)
{
    m_wakes.erase({job.wakeAt, job.number});
    job.wakeAt = std::min(at, job.deadline);
    m_wakes.emplace(job.wakeAt, job.number);
}

/// Takes the next step for a job that waits: sends it to the owner or to the primary, or lets it wait for a route.
void RequestReducer::advance(Job& job)
{
    if (job.phase != Phase::Waiting) {
        return;
    }
    const auto it = m_snapshot->services.find(job.request.service);
    if (it == m_snapshot->services.end() || it->second.groups.empty()) {
        if (job.throughPrimary) {
            forgetInWindow(job);
            return answerWrongPrimary(job);
        }
        return finish(job, makeAnswer(Outcome::NotRun, reason::unknownService, "the service was removed"));
    }
    const ServiceRoute& service = it->second;
    const KeyRoute route = routeKey(service, job.request.key);
    job.group = route.group->group.index;
    const bool throughPrimary
        = job.throughPrimary || !job.request.repeatable || service.settings.grantCheck == GrantCheck::Unchecked;
    if (!throughPrimary) {
        if (!route.owner.server) {
            return waitForRoute(job, route.group->group, reason::noRoute);
        }
        return dispatch(job, route, false);
    }
    if (isLocalPrimary(*route.group)) {
        const InstanceRoute& self = m_snapshot->instances[*route.group->primary];
        if (route.group->group.index % std::max(1U, self.workers) == m_worker) {
            return advanceAtPrimary(job, route);
        }
    }
    forgetInWindow(job);
    if (job.caller == 0 && !job.origin) {
        return removeJob(job); // Its caller left, and its joiners wait on their own now.
    }
    if (job.throughPrimary) {
        return answerWrongPrimary(job);
    }
    if (!route.group->primary) {
        return waitForRoute(job, route.group->group, reason::noRoute);
    }
    forward(job, route, m_snapshot->instances[*route.group->primary]);
}

void RequestReducer::advanceAtPrimary(Job& job, const KeyRoute& route)
{
    const GroupRoute& group = *route.group;
    const bool hasAuthority = group.authorityUntil
        && m_now.time_since_epoch().count() < group.authorityUntil->load(std::memory_order_acquire);
    if (!hasAuthority) {
        forgetInWindow(job);
        if (job.throughPrimary) {
            return answerWrongPrimary(job);
        }
        return waitForRoute(job, group.group, reason::noRoute);
    }
    if (m_wallNow < group.servingSince) {
        job.lastReason = reason::noRoute;
        return setWake(job, m_now + (group.servingSince - m_wallNow));
    }
    if (!job.request.repeatable && !job.inWindow && !admit(job, group)) {
        return;
    }
    if (!route.owner.server) {
        return waitForRoute(job, group.group, reason::noRoute);
    }
    dispatch(job, route, true);
}

/// Asks the window of the group. False: the job was answered or joined a running one.
bool RequestReducer::admit(Job& job, const GroupRoute& group)
{
    GroupWindow& window = windowOf(job.request.service, group.group.index);
    window.term = std::max(window.term, group.term);
    RequestWindow::Admission admission = window.requests.admit(job.request, job.number, m_wallNow, group.servingSince);
    if (RequestAnswer* answer = std::get_if<RequestAnswer>(&admission)) {
        finish(job, std::move(*answer));
        return false;
    }
    if (const RequestWindow::Join* join = std::get_if<RequestWindow::Join>(&admission)) {
        job.phase = Phase::Joined;
        job.joined = join->job;
        m_jobs.at(join->job)->joiners.push_back(job.number);
        emit(CountEvent {WorkerCounter::Joined});
        setWake(job, job.deadline);
        return false;
    }
    job.inWindow = true;
    return true;
}

/// Records the outcome of a job in its window and gives its answer to the jobs that joined it.
void RequestReducer::leaveWindow(Job& job, const RequestAnswer& answer)
{
    if (answer.outcome == Outcome::NotRun) {
        windowOf(job.request.service, job.group).requests.forget(job.request.id);
    } else {
        windowOf(job.request.service, job.group).requests.complete(job.request.id, answer);
    }
    job.inWindow = false;
    for (const std::uint64_t number : std::exchange(job.joiners, {})) {
        Job& joiner = *m_jobs.at(number);
        joiner.joined = 0;
        joiner.phase = Phase::Waiting;
        // The first request's deadline is not the joiner's: it starts anew.
        if (answer.outcome == Outcome::NotRun && answer.reason == reason::deadline) {
            setWake(joiner, m_now);
        } else {
            finish(joiner, RequestAnswer(answer));
        }
    }
}

/// Takes a job out of its window that did not run and is to be routed again.
void RequestReducer::forgetInWindow(Job& job)
{
    if (!job.inWindow) {
        return;
    }
    windowOf(job.request.service, job.group).requests.forget(job.request.id);
    job.inWindow = false;
    for (const std::uint64_t number : std::exchange(job.joiners, {})) {
        Job& joiner = *m_jobs.at(number);
        joiner.joined = 0;
        joiner.phase = Phase::Waiting;
        setWake(joiner, m_now);
    }
}

RequestReducer::GroupWindow& RequestReducer::windowOf(const std::string& service, std::uint32_t group)
{
    return m_windows.try_emplace({service, group}, GroupWindow {RequestWindow(m_windowLimits), 0}).first->second;
}

void RequestReducer::dispatch(Job& job, const KeyRoute& route, bool asPrimary)
{
    const ServerRoute& server = m_snapshot->servers[*route.owner.server];
    job.phase = Phase::Dispatched;
    job.exchange = m_nextNumber++;
    job.route = versionOf(route);
    m_exchanges.emplace(job.exchange, job.number);

    SendToBackend send;
    send.dispatch = job.exchange;
    BackendRequest& request = send.request;
    request.address = server.address;
    request.method = job.request.method;
    request.target = job.request.target;
    request.headers.reserve(job.request.headers.size() + 7);
    request.headers = job.request.headers;
    request.headers.push_back({"Jasminespread-Group", toText(route.group->group)});
    request.headers.push_back({"Jasminespread-Partition", std::to_string(route.partition)});
    request.headers.push_back({"Jasminespread-Token", std::to_string(route.owner.token)});
    request.headers.push_back({"Jasminespread-Term", std::to_string(route.group->term)});
    request.headers.push_back({"Jasminespread-Deadline-Ms", std::to_string(remaining(m_now, job.deadline).count())});
    request.headers.push_back({"Jasminespread-Request-Id", job.request.id.text()});
    request.headers.push_back({"Jasminespread-Key", job.request.key});
    request.body = job.request.body;
    request.deadline = job.deadline;
    if (asPrimary) {
        request.mayWrite = [authority = route.group->authorityUntil] {
            return monotonicNow().time_since_epoch().count() < authority->load(std::memory_order_acquire);
        };
    }
    emit(std::move(send));
}

void RequestReducer::forward(Job& job, const KeyRoute& route, const InstanceRoute& primary)
{
    job.phase = Phase::Forwarded;
    job.exchange = m_nextNumber++;
    job.route = versionOf(route);
    m_exchanges.emplace(job.exchange, job.number);
    const std::uint32_t worker = route.group->group.index % std::max(1U, primary.workers);
    job.forwardAddress = forwardAddressOf(primary, worker);
    job.forwardedTo = {primary.id, primary.incarnation};

    SendForward send;
    send.address = job.forwardAddress;
    wire::ForwardRequest& message = send.request;
    message.set_correlation(job.exchange);
    message.set_service(job.request.service);
    message.set_group(route.group->group.index);
    message.set_key(job.request.key);
    message.set_request_id(job.request.id.bytes().data(), job.request.id.bytes().size());
    message.set_id_made_by_entry(job.request.idMadeByEntry);
    message.set_method(job.request.method);
    message.set_target(job.request.target);
    for (const HeaderField& field : job.request.headers) {
        wire::HeaderField& copy = *message.add_headers();
        copy.set_name(field.name);
        copy.set_value(field.value);
    }
    message.set_body(job.request.body);
    const Milliseconds left = remaining(m_now, job.deadline);
    message.set_remaining_ms(static_cast<std::uint32_t>((left - std::min(forwardMargin, left / 10)).count()));
    message.set_work_class(job.request.workClass);
    message.set_repeatable(job.request.repeatable);
    emit(std::move(send));
}

/// Lets a job wait for another route; a refused one is tried again after a short time.
void RequestReducer::waitForRoute(Job& job, const GroupName& group, std::string_view why)
{
    job.lastReason = why;
    MonotonicTime& reportedAt = m_refusalReported[{group.service, group.index}];
    if (reportedAt == MonotonicTime() || m_now - reportedAt >= refusalReportInterval) {
        reportedAt = m_now;
        emit(ReportRefusedRoute {group});
    }
    setWake(job, m_now + refusedRouteRetry);
}

void RequestReducer::retryLater(Job& job)
{
    emit(CountRetry {job.request.service});
    setWake(job, m_now + shortRetry);
}

void RequestReducer::expire(Job& job)
{
    emit(CountEvent {WorkerCounter::Expired});
    const bool mayHaveRun = job.phase != Phase::Waiting || job.mayHaveRun;
    if (job.phase == Phase::Dispatched) {
        emit(CancelBackend {job.exchange});
    } else if (job.phase == Phase::Forwarded) {
        emit(SendForwardCancel {job.forwardAddress, job.exchange});
    }
    if (job.phase == Phase::Joined) {
        std::erase(m_jobs.at(job.joined)->joiners, job.number);
    }
    if (mayHaveRun) {
        return finish(job,
            makeAnswer(Outcome::Unknown, reason::deadline, "the deadline passed before an answer; it may have run"));
    }
    const std::string text = "the deadline passed before the request was sent to a backend server"
        + (job.lastReason.empty() ? std::string() : "; last refusal: " + job.lastReason);
    finish(job, makeAnswer(Outcome::NotRun, reason::deadline, text));
}

/// Ends a job whose caller left, unless repeats of the request wait for its answer.
void RequestReducer::cancel(Job& job)
{
    if (job.caller != 0) {
        m_callers.erase(std::exchange(job.caller, 0));
    }
    if (job.origin) {
        m_origins.erase({job.origin->sender.id, job.origin->sender.incarnation, job.origin->correlation});
        job.origin.reset();
    }
    if (!job.joiners.empty()) {
        return;
    }
    if (job.phase == Phase::Dispatched) {
        emit(CancelBackend {job.exchange});
    } else if (job.phase == Phase::Forwarded) {
        emit(SendForwardCancel {job.forwardAddress, job.exchange});
    } else if (job.phase == Phase::Joined) {
        Job& first = *m_jobs.at(job.joined);
        std::erase(first.joiners, job.number);
        const bool unwanted = first.joiners.empty() && first.caller == 0 && !first.origin;
        removeJob(job);
        if (unwanted) {
            cancel(first);
        }
        return;
    }
    if (job.inWindow) {
        const Outcome outcome = job.phase == Phase::Dispatched ? Outcome::Unknown : Outcome::NotRun;
        leaveWindow(job, makeAnswer(outcome, reason::cancelled, "the caller left"));
    }
    removeJob(job);
}

void RequestReducer::finish(Job& job, RequestAnswer&& answer)
{
    if (job.inWindow) {
        leaveWindow(job, answer);
    }
    if (job.caller != 0) {
        const double seconds = std::chrono::duration<double>(m_now - job.arrivedAt).count();
        emit(RecordRequest {job.request.service, answer.outcome, answer.reason, seconds, answer.server});
        emit(AnswerCaller {job.caller, job.request.id, std::move(answer)});
    } else if (job.origin) {
        SendForwardAnswer send;
        send.address = job.origin->replyAddress;
        send.expires = job.deadline + forwardMargin;
        wire::ForwardAnswer& message = send.answer;
        message.set_correlation(job.origin->correlation);
        message.set_request_incarnation(job.origin->sender.incarnation);
        message.set_outcome(static_cast<std::uint32_t>(answer.outcome));
        message.set_reason(std::move(answer.reason));
        message.set_status(answer.status);
        for (HeaderField& field : answer.headers) {
            wire::HeaderField& copy = *message.add_headers();
            copy.set_name(std::move(field.name));
            copy.set_value(std::move(field.value));
        }
        message.set_body(std::move(answer.body));
        message.set_server(std::move(answer.server));
        emit(std::move(send));
    }
    removeJob(job);
}

/// Sends a forwarded job back, which provably did not run here.
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
    send.answer.set_outcome(static_cast<std::uint32_t>(Outcome::NotRun));
    send.answer.set_wrong_primary(true);
    emit(std::move(send));
    removeJob(job);
}

void RequestReducer::removeJob(Job& job)
{
    m_exchanges.erase(job.exchange);
    if (job.caller != 0) {
        m_callers.erase(job.caller);
    }
    if (job.origin) {
        m_origins.erase({job.origin->sender.id, job.origin->sender.incarnation, job.origin->correlation});
    }
    m_wakes.erase({job.wakeAt, job.number});
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

RequestReducer::RouteVersion RequestReducer::versionOf(const KeyRoute& route) const
{
    RouteVersion version;
    version.server = route.owner.server ? m_snapshot->servers[*route.owner.server].id : std::string();
    version.token = route.owner.token;
    version.term = route.group->term;
    return version;
}

} // namespace jasminespread
