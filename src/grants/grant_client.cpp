#include "grants/grant_client.h"

#include <libsoup/soup.h>

#include <string>
#include <string_view>
#include <utility>

namespace jasminespread {

namespace {

constexpr std::size_t maxReplyBytes = 4'194'304;
constexpr std::size_t readChunkBytes = 65'536;
constexpr int maxConnections = 16'384;
constexpr int maxConnectionsPerServer = 2;

struct ObjectUnref {
    void operator()(gpointer object) const noexcept { g_object_unref(object); }
};
template <typename T> using ObjectPtr = std::unique_ptr<T, ObjectUnref>;

std::optional<GrantReply> parseReply(const std::string& text, const std::string& server)
{
    return handleError(
        [&]() -> Result<std::optional<GrantReply>> {
            BOOST_LEAF_AUTO(reply, decodeGrantReply(text));
            if (reply.server != server) {
                return std::optional<GrantReply>();
            }
            return std::optional<GrantReply>(std::move(reply));
        },
        [](const Error&) { return std::optional<GrantReply>(); });
}

} // namespace

struct GrantClient::State {
    Milliseconds timeout;
    ObjectPtr<SoupSession> session;
    /// Set by the client's destructor; no callback runs afterwards.
    bool closed = false;
};

namespace {

/// One call in flight. Owned by its pending asynchronous operation.
struct GrantCall {
    std::shared_ptr<void> clientState; ///< Keeps the session alive.
    const bool* closed = nullptr;
    std::string server;
    GrantClient::Callback callback;
    ObjectPtr<SoupMessage> message;
    ObjectPtr<GCancellable> cancellable {g_cancellable_new()};
    ObjectPtr<GInputStream> stream;
    GSource* timer = nullptr;
    std::string body;

    GrantCall() = default;
    GrantCall(const GrantCall&) = delete;
    GrantCall& operator=(const GrantCall&) = delete;
    ~GrantCall()
    {
        if (timer) {
            g_source_destroy(timer);
            g_source_unref(timer);
        }
    }

    /// Ends the call and deletes it.
    void finish(std::optional<GrantReply> reply)
    {
        const std::unique_ptr<GrantCall> self(this);
        if (!*closed) {
            callback(std::move(reply));
        }
    }

    static gboolean onTimeout(gpointer data)
    {
        g_cancellable_cancel(static_cast<GrantCall*>(data)->cancellable.get());
        return G_SOURCE_REMOVE;
    }

    static void onHeaders(GObject* source, GAsyncResult* result, gpointer data)
    {
        GrantCall& call = *static_cast<GrantCall*>(data);
        call.stream.reset(soup_session_send_finish(SOUP_SESSION(source), result, nullptr));
        if (!call.stream || soup_message_get_status(call.message.get()) != SOUP_STATUS_OK) {
            call.finish(std::nullopt);
            return;
        }
        call.readChunk();
    }

    void readChunk()
    {
        g_input_stream_read_bytes_async(
            stream.get(), readChunkBytes, G_PRIORITY_DEFAULT, cancellable.get(), onChunk, this);
    }

    static void onChunk(GObject* source, GAsyncResult* result, gpointer data)
    {
        GrantCall& call = *static_cast<GrantCall*>(data);
        GBytes* bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, nullptr);
        if (!bytes) {
            call.finish(std::nullopt);
            return;
        }
        std::size_t size = 0;
        const gconstpointer chunk = g_bytes_get_data(bytes, &size);
        if (size > 0) {
            call.body.append(static_cast<const char*>(chunk), size);
        }
        g_bytes_unref(bytes);
        if (size == 0) {
            call.finish(parseReply(call.body, call.server));
        } else if (call.body.size() > maxReplyBytes) {
            g_cancellable_cancel(call.cancellable.get());
            call.finish(std::nullopt);
        } else {
            call.readChunk();
        }
    }
};

} // namespace

GrantClient::GrantClient(Milliseconds timeout)
    : m_state(std::make_shared<State>())
{
    m_state->timeout = timeout;
    m_state->session.reset(SOUP_SESSION(g_object_new(SOUP_TYPE_SESSION, "max-conns", maxConnections,
        "max-conns-per-host", maxConnectionsPerServer, "idle-timeout", 60U, nullptr)));
}

GrantClient::~GrantClient()
{
    m_state->closed = true;
    soup_session_abort(m_state->session.get());
}

void GrantClient::send(const GrantBatch& batch, Callback callback)
{
    auto* call = new GrantCall;
    call->clientState = m_state;
    call->closed = &m_state->closed;
    call->server = batch.server;
    call->callback = std::move(callback);
    call->message.reset(soup_message_new("POST", ("http://" + batch.address + "/control/grants").c_str()));
    call->timer = g_timeout_source_new(static_cast<guint>(m_state->timeout.count()));
    if (!call->message) {
        // The address does not form a valid URL. The callback must still run later, not within send().
        g_source_set_callback(
            call->timer,
            [](gpointer data) -> gboolean {
                static_cast<GrantCall*>(data)->finish(std::nullopt);
                return G_SOURCE_REMOVE;
            },
            call, nullptr);
        g_source_attach(call->timer, g_main_context_get_thread_default());
        return;
    }
    // Grants are idempotent, so libsoup may retry one whose idle connection the server had closed.
    soup_message_add_flags(call->message.get(), SOUP_MESSAGE_IDEMPOTENT);
    const std::string text = encodeGrantBatch(batch);
    GBytes* bytes = g_bytes_new(text.data(), text.size());
    soup_message_set_request_body_from_bytes(call->message.get(), "application/json", bytes);
    g_bytes_unref(bytes);
    g_source_set_callback(call->timer, GrantCall::onTimeout, call, nullptr);
    g_source_attach(call->timer, g_main_context_get_thread_default());
    soup_session_send_async(m_state->session.get(), call->message.get(), G_PRIORITY_DEFAULT, call->cancellable.get(),
        GrantCall::onHeaders, call);
}

} // namespace jasminespread
