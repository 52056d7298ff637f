#include "ctl/operator_call.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <memory>

namespace jasminespread {
namespace {

template <typename T> struct GObjectUnref {
    void operator()(T* object) const noexcept { g_object_unref(object); }
};
template <typename T> using GObjectPointer = std::unique_ptr<T, GObjectUnref<T>>;

OperatorReply sendRequest(const OperatorCall& call, Milliseconds timeout)
{
    OperatorReply reply;
    const GObjectPointer<SoupMessage> message(
        soup_message_new(call.method.c_str(), ("http://" + call.operatorAddress + call.target).c_str()));
    if (!message) {
        reply.failure = "address and path do not form a valid URL";
        return reply;
    }
    if (!call.body.empty()) {
        GBytes* bytes = g_bytes_new(call.body.data(), call.body.size());
        soup_message_set_request_body_from_bytes(message.get(), "application/json", bytes);
        g_bytes_unref(bytes);
    }
    // libsoup emits this signal when the connection is established, right before it writes the first byte.
    bool isConnected = false;
    g_signal_connect(message.get(), "starting",
        G_CALLBACK(+[](SoupMessage*, gpointer flag) { *static_cast<bool*>(flag) = true; }), &isConnected);

    // Use one session per call: libsoup may retry a request on its own if it was written to a reused connection.
    const GObjectPointer<SoupSession> session(soup_session_new());
    const auto seconds = std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(timeout).count());
    soup_session_set_timeout(session.get(), static_cast<guint>(seconds));
    GError* error = nullptr;
    GBytes* answer = soup_session_send_and_read(session.get(), message.get(), nullptr, &error);
    if (error != nullptr) {
        reply.progress = isConnected ? CallProgress::AnswerLost : CallProgress::NotConnected;
        reply.failure = error->message;
        g_error_free(error);
        return reply;
    }
    gsize size = 0;
    const char* data = static_cast<const char*>(g_bytes_get_data(answer, &size));
    reply.body.assign(data == nullptr ? "" : data, size);
    g_bytes_unref(answer);
    reply.progress = CallProgress::Answered;
    reply.status = soup_message_get_status(message.get());
    return reply;
}

} // namespace

OperatorCaller makeHttpOperatorCaller(Milliseconds timeout)
{
    return [timeout](const OperatorCall& call) { return sendRequest(call, timeout); };
}

} // namespace jasminespread
