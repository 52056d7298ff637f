#include "ctl/operator_call.h"

#include "base/glib_pointer.h"

#include <jasminespread/backend_transports.h>

#include <optional>
#include <utility>

namespace jasminespread {
namespace {

/// Makes a main context the default one of its thread while it exists.
class ThreadDefaultContext {
public:
    ThreadDefaultContext() { g_main_context_push_thread_default(m_context.get()); }
    ~ThreadDefaultContext() { g_main_context_pop_thread_default(m_context.get()); }
    ThreadDefaultContext(const ThreadDefaultContext&) = delete;
    ThreadDefaultContext& operator=(const ThreadDefaultContext&) = delete;

    void waitForEvent() const { g_main_context_iteration(m_context.get(), TRUE); }

private:
    GMainContextPointer m_context {g_main_context_new()};
};

CallProgress progressOf(BackendProgress progress)
{
    switch (progress) {
    case BackendProgress::Answered:
        return CallProgress::Answered;
    case BackendProgress::NotSent:
        return CallProgress::NotConnected;
    case BackendProgress::Broken:
        break;
    }
    return CallProgress::AnswerLost;
}

OperatorReply sendRequest(const OperatorCall& call, Milliseconds timeout)
{
    BackendRequest request;
    request.address = call.operatorAddress;
    request.method = call.method;
    request.target = call.target;
    if (!call.body.empty()) {
        request.headers.push_back({"Content-Type", "application/json"});
    }
    request.body = call.body;
    request.deadline = monotonicNow() + timeout;

    const ThreadDefaultContext context;
    const BackendTransport transport = makeBeastBackendTransport({});
    std::optional<BackendResult> result;
    transport.send(std::move(request), [&result](BackendResult received) { result = std::move(received); });
    while (!result) {
        context.waitForEvent();
    }
    return {progressOf(result->progress), result->status, std::move(result->body), std::move(result->failure)};
}

} // namespace

OperatorCaller makeHttpOperatorCaller(Milliseconds timeout)
{
    return [timeout](const OperatorCall& call) { return sendRequest(call, timeout); };
}

} // namespace jasminespread
