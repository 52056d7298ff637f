#include "entry/request_reducer.h"

#include <algorithm>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

/// Delay before another attempt when nothing was sent. Equals the interval at which workers poll the routes.
constexpr Milliseconds shortRetryDelay = 5ms;

/// Returns the reason code of a backend server's refusal. Only plain words pass, because reason codes become metric
/// labels.
std::string refusalReason(const BackendResult& result)
{
    constexpr std::size_t maxReasonLength = 32;
    const std::string_view text = findHeader(result.headers, "Jasminespread-Reason").value_or("");
    const bool isPlainWord = !text.empty() && text.size() <= maxReasonLength
        && text.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-") == std::string_view::npos;
    return isPlainWord ? std::string(text) : "refused";
}

bool isRefusal(const BackendResult& result)
{
    return (result.status == 409 || result.status == 503)
        && findHeader(result.headers, "Jasminespread-Outcome") == enumName(outcomeNames, Outcome::NotRun);
}

} // namespace

/// @name Events
/// @{

void RequestReducer::handle(CallerRequestReceived&& event)
{
    const auto refuse = [&](std::string_view reasonCode, std::string_view text) {
        // Callers can send arbitrary service names; only known ones may become metric labels.
        const bool serviceKnown = m_snapshot->services.contains(event.request.service);
        emit(RecordRequest {
            serviceKnown ? event.request.service : std::string(), Outcome::NotRun, std::string(reasonCode), 0});
        emit(AnswerCaller {event.caller, event.request.id, makeAnswer(Outcome::NotRun, reasonCode, text)});
    };
    if (!m_snapshot->ready) {
        return refuse(reason::notReady, "no configuration is in force yet");
    }
    const auto service = m_snapshot->services.find(event.request.service);
    if (service == m_snapshot->services.end() || service->second.groups.empty()) {
        return refuse(reason::unknownService, "the configuration has no service of this name");
    }
    const std::vector<WorkClass>& classes = service->second.settings.classes;
    const bool classKnown = event.request.workClass.empty() || classes.empty()
        || std::any_of(classes.begin(), classes.end(),
            [&](const WorkClass& workClass) { return workClass.name == event.request.workClass; });
    if (!classKnown) {
        return refuse(reason::badClass, "the service has no class of work of this name");
    }
    if (m_jobs.size() >= m_maxRequests) {
        return refuse(reason::tooManyRequests, "this worker is at its limit of concurrent requests");
    }
    const Milliseconds timeLimit = event.request.deadline.value_or(service->second.settings.defaultDeadline);
    Job& job = addJob(std::move(event.request), m_now + timeLimit);
    job.caller = event.caller;
    m_jobsByCaller.emplace(job.caller, job.number);
    advance(job);
}

void RequestReducer::handle(CallerConnectionClosed&& event)
{
    const auto it = m_jobsByCaller.find(event.caller);
    if (it == m_jobsByCaller.end()) {
        return;
    }
    emit(IncrementCounter {WorkerCounter::CallersDisconnected});
    cancel(*m_jobs.at(it->second));
}

void RequestReducer::handle(ForwardReceived&& event)
{
    wire::ForwardRequest& message = event.request;
    RequestId::Bytes id {};
    if (message.request_id().size() != id.size()) {
        return emit(
            WriteWorkerLog {LogEvent::ForwardRejected, "request id has the wrong length, sender " + event.sender.id});
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
    request.idGeneratedByEntry = message.id_made_by_entry();
    request.repeatable = message.repeatable();
    const OriginKey originKey {event.sender.id, event.sender.incarnation, message.correlation()};
    if (m_jobsByOrigin.contains(originKey)) {
        return emit(
            WriteWorkerLog {LogEvent::ForwardRejected, "correlation is already in use, sender " + event.sender.id});
    }
    Job& job = addJob(std::move(request), m_now + Milliseconds(message.remaining_ms()));
    job.origin = ForwardOrigin {std::move(event.sender), message.reply_address(), message.correlation()};
    job.requiresPrimary = true;
    m_jobsByOrigin.emplace(originKey, job.number);
    if (m_jobs.size() > m_maxRequests) {
        return finish(job, makeAnswer(Outcome::NotRun, reason::tooManyRequests, "the primary is at its limit"));
    }
    advance(job);
}

void RequestReducer::handle(ForwardCancelled&& event)
{
    const auto it = m_jobsByOrigin.find({event.sender.id, event.sender.incarnation, event.correlation});
    if (it != m_jobsByOrigin.end()) {
        cancel(*m_jobs.at(it->second));
    }
}

void RequestReducer::handle(ForwardAnswered&& event)
{
    wire::ForwardAnswer& message = event.answer;
    Job* job = message.request_incarnation() == m_snapshot->self.incarnation ? findJobByAttempt(message.correlation())
                                                                             : nullptr;
    if (job == nullptr || job->phase != Phase::Forwarded) {
        emit(IncrementCounter {WorkerCounter::LateAnswers});
        return;
    }
    endAttempt(*job);
    if (message.wrong_primary()) {
        job->mayHaveRun = job->mayHaveRun || message.outcome() == static_cast<std::uint32_t>(Outcome::Unknown);
        return waitForRoute(*job, {job->request.service, job->group}, reason::noRoute);
    }
    if (message.outcome() > static_cast<std::uint32_t>(Outcome::Unknown)) {
        emit(WriteWorkerLog {LogEvent::ForwardRejected, "answer has an invalid outcome"});
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
    Job* job = findJobByAttempt(event.correlation);
    if (job == nullptr || job->phase != Phase::Forwarded) {
        return;
    }
    endAttempt(*job);
    job->lastReason = reason::noRoute;
    scheduleWakeup(*job, m_now + shortRetryDelay);
}

void RequestReducer::handle(BackendFinished&& event)
{
    Job* job = findJobByAttempt(event.dispatch);
    if (job == nullptr || job->phase != Phase::Dispatched) {
        emit(IncrementCounter {WorkerCounter::LateAnswers});
        return;
    }
    BackendResult& result = event.result;
    if (result.progress != BackendProgress::Answered) {
        return handleFailure(*job, result);
    }
    if (isRefusal(result)) {
        return handleRefusal(*job, result.status, refusalReason(result));
    }
    releaseSlot(*job, SlotResult::Success);
    RequestAnswer answer;
    answer.outcome = Outcome::Done;
    answer.status = result.status;
    answer.headers = std::move(result.headers);
    const std::optional<std::string_view> length = findHeader(answer.headers, "Content-Length");
    const std::string headLength(job->request.method == "HEAD" && length ? *length : "");
    removeNonForwardableHeaders(answer.headers);
    if (!headLength.empty()) {
        answer.headers.push_back({"Content-Length", headLength});
    }
    answer.body = std::move(result.body);
    answer.server = job->route.server;
    finish(*job, std::move(answer));
}

void RequestReducer::handle(RoutesChanged&& event)
{
    m_snapshot = std::move(event.snapshot);
    std::erase_if(m_windows, [this](const auto& entry) {
        const auto service = m_snapshot->services.find(entry.first.first);
        if (service == m_snapshot->services.end() || entry.first.second >= service->second.groups.size()) {
            return false;
        }
        // Keeps the window until a later term: only then a later servingSince refuses the ids recorded here.
        const GroupRoute& group = service->second.groups[entry.first.second];
        return !isLocalPrimary(group) && group.term > entry.second.term && entry.second.requests.runningCount() == 0;
    });
    updateServerLimits();
    std::vector<std::uint64_t> waiting;
    for (const auto& [number, job] : m_jobs) {
        if (job->phase == Phase::Waiting || job->phase == Phase::Queued
            || (job->phase == Phase::Forwarded && job->request.repeatable)) {
            waiting.push_back(number);
        }
    }
    for (const std::uint64_t number : waiting) {
        const auto it = m_jobs.find(number);
        if (it == m_jobs.end()) {
            continue;
        }
        Job& job = *it->second;
        if (job.phase == Phase::Dispatched || job.phase == Phase::Joined) {
            continue;
        }
        const auto service = m_snapshot->services.find(job.request.service);
        if (service == m_snapshot->services.end() || service->second.groups.empty()) {
            if (job.phase != Phase::Forwarded) {
                removeFromQueue(job);
                advance(job);
            }
        } else if (job.phase == Phase::Forwarded) {
            forwardToNewPrimary(job, *routeKey(service->second, job.request.key).group);
        } else if (routeVersionOf(routeKey(service->second, job.request.key)) != job.route) {
            job.failedAttempts = 0;
            removeFromQueue(job);
            advance(job);
        }
    }
}

void RequestReducer::handle(WorkerTick&&)
{
    while (!m_wakeups.empty() && m_wakeups.begin()->first <= m_now) {
        Job& job = *m_jobs.at(m_wakeups.begin()->second);
        if (job.deadline <= m_now) {
            expire(job);
        } else {
            scheduleWakeup(job, job.deadline);
            advance(job);
        }
    }
}

/// @}

/// Handles a refusal before execution: the request did not run.
void RequestReducer::handleRefusal(Job& job, unsigned status, const std::string& reasonCode)
{
    ++job.failedAttempts;
    job.lastReason = reasonCode;
    const bool isRouteRefusal = status == 409 || reasonCode == "draining";
    if (isRouteRefusal) {
        releaseSlot(job, SlotResult::Neutral);
        emit(IncrementCounter {WorkerCounter::RouteRefusals});
        return waitForRoute(job, {job.request.service, job.group}, reasonCode);
    }
    releaseSlot(job, reasonCode == "cold" ? SlotResult::Unavailable : SlotResult::Overloaded);
    if (!retryBudgetFor(job.request.service).tryTake()) {
        return finish(
            job, makeAnswer(Outcome::NotRun, reasonCode, "the backend server refused the request: " + reasonCode));
    }
    scheduleRetry(job);
}

/// Handles a dispatch that ended without a complete answer.
void RequestReducer::handleFailure(Job& job, const BackendResult& result)
{
    ++job.failedAttempts;
    if (result.withheld && result.progress == BackendProgress::NotSent) {
        releaseSlot(job, SlotResult::Neutral);
        return scheduleWakeup(job, m_now + shortRetryDelay);
    }
    emit(WriteWorkerLog {LogEvent::BackendFailed,
        job.route.server + ": " + std::string(enumName(backendProgressNames, result.progress)) + ": "
            + result.failure});
    if (result.progress == BackendProgress::NotSent) {
        releaseSlot(job, result.timedOut ? SlotResult::Neutral : SlotResult::Unavailable);
        job.lastReason = "server-unreachable";
        if (retryBudgetFor(job.request.service).tryTake()) {
            return scheduleRetry(job);
        }
        // Without budget the job still waits for another owner, because waiting puts no load on the server.
        return scheduleWakeup(job, m_now + maxRetryDelay);
    }
    releaseSlot(job, SlotResult::Failed);
    if (!job.request.repeatable) {
        return finish(job,
            makeAnswer(Outcome::Unknown, result.timedOut ? reason::deadline : reason::connectionBroken,
                "the backend server did not answer; the request may have run"));
    }
    job.mayHaveRun = true;
    job.lastReason = reason::connectionBroken;
    if (!retryBudgetFor(job.request.service).tryTake()) {
        return finish(job,
            makeAnswer(Outcome::Unknown, reason::connectionBroken,
                "the backend server did not answer, and the budget for retries is used up"));
    }
    scheduleRetry(job);
}

/// Forwards a repeatable job to the new primary when the previous one can no longer answer.
void RequestReducer::forwardToNewPrimary(Job& job, const GroupRoute& group)
{
    if (!group.primary) {
        return;
    }
    const InstanceRoute& primary = m_snapshot->instances[*group.primary];
    if (InstanceReference {primary.id, primary.incarnation} == job.forwardedTo) {
        return;
    }
    endAttempt(job);
    job.mayHaveRun = true;
    advance(job);
}

} // namespace jasminespread
