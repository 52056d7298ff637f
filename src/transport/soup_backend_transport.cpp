#include <jasminespread/backend_transports.h>

#include "base/glib_pointer.h"

#include <libsoup/soup.h>

#include <memory>
#include <unordered_map>

namespace jasminespread {
namespace {

constexpr int maxConnections = 10'000;

class SoupTransport {
public:
    SoupTransport()
        : m_session(GObjectPointer<SoupSession>(soup_session_new_with_options(
            "max-conns", maxConnections, "max-conns-per-host", m_connectionsPerHost, "timeout", 0U, nullptr)))
    {
        soup_session_remove_feature_by_type(m_session.get(), SOUP_TYPE_CONTENT_DECODER);
    }

    ~SoupTransport()
    {
        for (auto& [handle, exchange] : m_exchanges) {
            exchange->owner = nullptr;
            g_cancellable_cancel(exchange->cancellable.get());
        }
    }

    SoupTransport(const SoupTransport&) = delete;
    SoupTransport& operator=(const SoupTransport&) = delete;

    BackendTransport::Handle send(BackendRequest&& request, BackendTransport::Callback&& callback)
    {
        const BackendTransport::Handle handle = m_nextHandle++;
        auto exchange = std::make_unique<Exchange>();
        exchange->owner = this;
        exchange->handle = handle;
        exchange->callback = std::move(callback);
        exchange->mayBegin = std::move(request.mayBegin);
        exchange->mayWrite = std::move(request.mayWrite);
        exchange->cancellable.reset(g_cancellable_new());
        const std::string url = "http://" + request.address + request.target;
        exchange->message.reset(soup_message_new(request.method.c_str(), url.c_str()));
        // The pending asynchronous operation owns the exchange until its callback has run.
        Exchange* raw = exchange.release();
        m_exchanges.emplace(handle, raw);
        if (!raw->message) {
            GSource* source = g_idle_source_new();
            g_source_set_callback(
                source,
                [](gpointer data) -> gboolean {
                    std::unique_ptr<Exchange> failedExchange(static_cast<Exchange*>(data));
                    BackendResult result;
                    result.failure = "the request target cannot be parsed";
                    finish(std::move(failedExchange), std::move(result));
                    return G_SOURCE_REMOVE;
                },
                raw, nullptr);
            g_source_attach(source, g_main_context_get_thread_default());
            g_source_unref(source);
            return handle;
        }
        SoupMessageHeaders* headers = soup_message_get_request_headers(raw->message.get());
        for (const HeaderField& field : request.headers) {
            soup_message_headers_append(headers, field.name.c_str(), field.value.c_str());
        }
        if (!request.body.empty()) {
            GBytes* bytes = g_bytes_new(request.body.data(), request.body.size());
            soup_message_set_request_body_from_bytes(raw->message.get(), nullptr, bytes);
            g_bytes_unref(bytes);
        }
        // libsoup retries idempotent requests on its own, but retries are the router's decision.
        soup_message_add_flags(
            raw->message.get(), SoupMessageFlags(SOUP_MESSAGE_NO_REDIRECT | SOUP_MESSAGE_DO_NOT_USE_AUTH_CACHE));
        g_signal_connect(raw->message.get(), "starting", G_CALLBACK(onStarting), raw);
        const auto remaining = std::chrono::duration_cast<Milliseconds>(request.deadline - monotonicNow()).count();
        raw->timer = g_timeout_source_new(static_cast<guint>(std::max<std::int64_t>(0, remaining)));
        g_source_set_callback(raw->timer, onTimeout, raw, nullptr);
        g_source_attach(raw->timer, g_main_context_get_thread_default());
        soup_session_send_and_read_async(
            m_session.get(), raw->message.get(), G_PRIORITY_DEFAULT, raw->cancellable.get(), onFinished, raw);
        return handle;
    }

    void cancel(BackendTransport::Handle handle)
    {
        const auto it = m_exchanges.find(handle);
        if (it != m_exchanges.end()) {
            it->second->callback = nullptr;
            g_cancellable_cancel(it->second->cancellable.get());
        }
    }

private:
    struct Exchange {
        SoupTransport* owner = nullptr;
        BackendTransport::Handle handle = 0;
        BackendTransport::Callback callback;
        std::function<bool()> mayBegin;
        std::function<bool()> mayWrite;
        GObjectPointer<SoupMessage> message;
        GObjectPointer<GCancellable> cancellable;
        GSource* timer = nullptr;
        bool started = false; ///< The first byte of the request may have been written.
        bool timedOut = false;
        bool withheld = false;
    };

    static void onStarting(SoupMessage*, gpointer data)
    {
        Exchange& exchange = *static_cast<Exchange*>(data);
        const bool allowed = (!exchange.mayBegin || exchange.mayBegin()) && (!exchange.mayWrite || exchange.mayWrite());
        if (!allowed && !exchange.started) {
            exchange.withheld = true;
            g_cancellable_cancel(exchange.cancellable.get());
            return;
        }
        exchange.started = true;
    }

    static gboolean onTimeout(gpointer data)
    {
        Exchange& exchange = *static_cast<Exchange*>(data);
        exchange.timedOut = true;
        g_cancellable_cancel(exchange.cancellable.get());
        return G_SOURCE_REMOVE;
    }

    static void onFinished(GObject* session, GAsyncResult* asyncResult, gpointer data)
    {
        std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(data));
        GError* error = nullptr;
        GBytes* body = soup_session_send_and_read_finish(SOUP_SESSION(session), asyncResult, &error);
        BackendResult result;
        if (error != nullptr) {
            result.progress = exchange->started ? BackendProgress::Broken : BackendProgress::NotSent;
            result.timedOut = exchange->timedOut;
            result.withheld = exchange->withheld;
            result.failure = error->message;
            g_error_free(error);
        } else {
            collectAnswer(*exchange, body, result);
        }
        if (body != nullptr) {
            g_bytes_unref(body);
        }
        finish(std::move(exchange), std::move(result));
    }

    static void collectAnswer(Exchange& exchange, GBytes* body, BackendResult& result)
    {
        SoupMessageHeaders* headers = soup_message_get_response_headers(exchange.message.get());
        gsize size = 0;
        const char* bytes = static_cast<const char*>(g_bytes_get_data(body, &size));
        const bool hasLength = soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH;
        const bool isHead = exchange.message && g_str_equal(soup_message_get_method(exchange.message.get()), "HEAD");
        // libsoup reports success for a body that ends before its declared length.
        if (hasLength && !isHead && static_cast<goffset>(size) != soup_message_headers_get_content_length(headers)) {
            result.progress = BackendProgress::Broken;
            result.failure = "the answer is shorter than its Content-Length";
            return;
        }
        result.progress = BackendProgress::Answered;
        result.status = soup_message_get_status(exchange.message.get());
        if (size > 0) {
            result.body.assign(bytes, size);
        }
        SoupMessageHeadersIter iterator;
        soup_message_headers_iter_init(&iterator, headers);
        const char* name = nullptr;
        const char* value = nullptr;
        while (soup_message_headers_iter_next(&iterator, &name, &value)) {
            result.headers.push_back({name, value});
        }
    }

    static void finish(std::unique_ptr<Exchange> exchange, BackendResult&& result)
    {
        if (exchange->timer != nullptr) {
            g_source_destroy(exchange->timer);
            g_source_unref(exchange->timer);
        }
        if (exchange->message) {
            g_signal_handlers_disconnect_by_data(exchange->message.get(), exchange.get());
        }
        if (exchange->owner != nullptr) {
            exchange->owner->m_exchanges.erase(exchange->handle);
            if (exchange->callback) {
                exchange->callback(std::move(result));
            }
        }
    }

    int m_connectionsPerHost = 110;
    GObjectPointer<SoupSession> m_session;
    BackendTransport::Handle m_nextHandle = 1;
    std::unordered_map<BackendTransport::Handle, Exchange*> m_exchanges;
};

} // namespace

BackendTransport makeSoupBackendTransport()
{
    const std::shared_ptr<SoupTransport> transport = std::make_shared<SoupTransport>();
    BackendTransport hooks;
    hooks.send = [transport](BackendRequest request, BackendTransport::Callback callback) {
        return transport->send(std::move(request), std::move(callback));
    };
    hooks.cancel = [transport](BackendTransport::Handle handle) { transport->cancel(handle); };
    // A SoupSession has a single limit for all hosts, which is set at construction.
    hooks.setConnectionLimit = [](const std::string&, std::uint32_t) {};
    return hooks;
}

} // namespace jasminespread
