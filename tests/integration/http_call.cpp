#include "http_call.h"

#include <algorithm>
#include <libsoup/soup.h>

namespace jasminespread::test {

namespace {

// One second above the deadline of test callers. A call that ends with this timeout counts as not answered.
constexpr unsigned timeoutSeconds = 2;

void onStarting(SoupMessage* /*message*/, gpointer started) { *static_cast<bool*>(started) = true; }

} // namespace

std::string HttpResponse::header(const std::string& name) const
{
    const auto it = std::find_if(headers.begin(), headers.end(),
        [&](const HeaderField& field) { return g_ascii_strcasecmp(field.name.c_str(), name.c_str()) == 0; });
    return it == headers.end() ? std::string() : it->value;
}

struct HttpClient::State {
    SoupSession* session = soup_session_new_with_options("timeout", timeoutSeconds, nullptr);
};

HttpClient::HttpClient()
    : m_state(std::make_unique<State>())
{
    soup_session_set_proxy_resolver(m_state->session, nullptr);
}

HttpClient::~HttpClient() { g_object_unref(m_state->session); }

HttpResponse HttpClient::call(
    const std::string& method, const std::string& url, const std::vector<HeaderField>& headers, const std::string& body)
{
    SoupMessage* message = soup_message_new(method.c_str(), url.c_str());
    for (const HeaderField& field : headers) {
        soup_message_headers_replace(
            soup_message_get_request_headers(message), field.name.c_str(), field.value.c_str());
    }
    if (!body.empty()) {
        GBytes* bytes = g_bytes_new(body.data(), body.size());
        soup_message_set_request_body_from_bytes(message, "application/json", bytes);
        g_bytes_unref(bytes);
    }
    HttpResponse response;
    g_signal_connect(message, "starting", G_CALLBACK(onStarting), &response.connected);
    GBytes* bytes = soup_session_send_and_read(m_state->session, message, nullptr, nullptr);
    if (bytes != nullptr) {
        response.status = soup_message_get_status(message);
        gsize size = 0;
        const char* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
        response.body.assign(text == nullptr ? "" : text, size);
        g_bytes_unref(bytes);
        SoupMessageHeadersIter it;
        soup_message_headers_iter_init(&it, soup_message_get_response_headers(message));
        const char* name = nullptr;
        const char* value = nullptr;
        while (soup_message_headers_iter_next(&it, &name, &value) != 0) {
            response.headers.push_back({name, value});
        }
    }
    g_object_unref(message);
    return response;
}

} // namespace jasminespread::test
