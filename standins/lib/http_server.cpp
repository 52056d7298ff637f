#include <http_server.h>

#include "base/ended_connections.h"

#include <libsoup/soup.h>
#include <sys/socket.h>

namespace jasminespread::standins {

namespace {

class SoupExchange : public HttpExchange, public std::enable_shared_from_this<SoupExchange> {
public:
    SoupExchange(SoupServerMessage* message, std::string path, GHashTable* query)
        : m_message(SOUP_SERVER_MESSAGE(g_object_ref(message)))
        , m_path(std::move(path))
        , m_query(query == nullptr ? nullptr : g_hash_table_ref(query))
    {
    }

    ~SoupExchange() override
    {
        removeDisconnectWatch();
        if (m_query != nullptr) {
            g_hash_table_unref(m_query);
        }
        g_object_unref(m_message);
    }

    void pause()
    {
        soup_server_message_pause(m_message);
        m_paused = true;
    }

    [[nodiscard]] std::string method() const override { return soup_server_message_get_method(m_message); }

    [[nodiscard]] std::string path() const override { return m_path; }

    [[nodiscard]] std::optional<std::string> queryParameter(const std::string& name) const override
    {
        const void* value = m_query == nullptr ? nullptr : g_hash_table_lookup(m_query, name.c_str());
        return value == nullptr ? std::nullopt : std::optional<std::string>(static_cast<const char*>(value));
    }

    [[nodiscard]] std::optional<std::string> header(const std::string& name) const override
    {
        const char* value
            = soup_message_headers_get_one(soup_server_message_get_request_headers(m_message), name.c_str());
        return value == nullptr ? std::nullopt : std::optional<std::string>(value);
    }

    [[nodiscard]] std::string body() const override
    {
        GBytes* bytes = soup_message_body_flatten(soup_server_message_get_request_body(m_message));
        gsize size = 0;
        const char* contents = static_cast<const char*>(g_bytes_get_data(bytes, &size));
        std::string result(contents == nullptr ? "" : contents, size);
        g_bytes_unref(bytes);
        return result;
    }

    void answer(unsigned status, const std::string& body, const std::vector<HeaderField>& headers) override
    {
        if (!markFinished()) {
            return;
        }
        SoupMessageHeaders* responseHeaders = soup_server_message_get_response_headers(m_message);
        for (const HeaderField& field : headers) {
            soup_message_headers_replace(responseHeaders, field.name.c_str(), field.value.c_str());
        }
        soup_server_message_set_status(m_message, status, nullptr);
        soup_server_message_set_response(m_message, "application/json", SOUP_MEMORY_COPY, body.data(), body.size());
        soup_server_message_unpause(m_message);
    }

    void drop() override
    {
        if (!markFinished()) {
            return;
        }
        GSocket* socket = soup_server_message_get_socket(m_message);
        if (socket != nullptr) {
            // libsoup still writes an answer; with the socket shut down, the client receives no byte of it.
            g_socket_shutdown(socket, true, true, nullptr);
        }
        soup_server_message_set_status(m_message, SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
        soup_server_message_unpause(m_message);
    }

    void onDisconnect(std::function<void()> action) override
    {
        GSocket* socket = soup_server_message_get_socket(m_message);
        if (m_finished || m_disconnectWatch != nullptr || socket == nullptr) {
            return;
        }
        m_disconnectAction = std::move(action);
        m_disconnectWatch = g_socket_create_source(
            socket, static_cast<GIOCondition>(static_cast<unsigned>(G_IO_IN) | G_IO_HUP | G_IO_ERR), nullptr);
        g_source_set_callback(m_disconnectWatch, G_SOURCE_FUNC(onSocketReadable), this, nullptr);
        g_source_attach(m_disconnectWatch, g_main_context_get_thread_default());
    }

private:
    static gboolean onSocketReadable(GSocket* socket, GIOCondition /*condition*/, gpointer data)
    {
        SoupExchange* watchedExchange = static_cast<SoupExchange*>(data);
        char byte = 0;
        const ssize_t n = ::recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const std::shared_ptr<SoupExchange> lifetime = watchedExchange->shared_from_this();
        const std::function<void()> disconnectAction = std::move(watchedExchange->m_disconnectAction);
        // Readable data belongs to a pipelined request. The watch is removed, because it would otherwise fire
        // continuously.
        watchedExchange->removeDisconnectWatch();
        if (n <= 0 && disconnectAction) {
            disconnectAction();
        }
        return G_SOURCE_REMOVE;
    }

    void removeDisconnectWatch()
    {
        if (m_disconnectWatch != nullptr) {
            g_source_destroy(m_disconnectWatch);
            g_source_unref(m_disconnectWatch);
            m_disconnectWatch = nullptr;
        }
    }

    /// Returns false if the exchange was already answered or dropped.
    bool markFinished()
    {
        removeDisconnectWatch();
        return !std::exchange(m_finished, true);
    }

    SoupServerMessage* m_message;
    std::string m_path;
    GHashTable* m_query;
    GSource* m_disconnectWatch = nullptr;
    std::function<void()> m_disconnectAction;
    bool m_paused = false;
    bool m_finished = false;
};

} // namespace

struct HttpServer::State {
    SoupServer* server = nullptr;
    Handler handler;

    static void onRequest(
        SoupServer* /*server*/, SoupServerMessage* message, const char* path, GHashTable* query, gpointer data)
    {
        const std::shared_ptr<SoupExchange> exchange = std::make_shared<SoupExchange>(message, path, query);
        exchange->pause();
        static_cast<State*>(data)->handler(exchange);
    }
};

HttpServer::HttpServer(Handler handler)
    : m_state(std::make_unique<State>())
{
    m_state->handler = std::move(handler);
    m_state->server = soup_server_new("server-header", "standin", nullptr);
    closeEndedConnections(m_state->server);
    soup_server_add_handler(m_state->server, nullptr, State::onRequest, m_state.get(), nullptr);
}

HttpServer::~HttpServer()
{
    soup_server_disconnect(m_state->server);
    g_object_unref(m_state->server);
}

Result<void> HttpServer::listen(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    guint64 port = 0;
    if (colon == std::string::npos
        || g_ascii_string_to_unsigned(address.c_str() + colon + 1, 10, 0, 65535, &port, nullptr) == 0) {
        return fail(
            ErrorKind::InvalidInput, "\"" + address + "\" is not an IP address and port; write it as 127.0.0.1:8080");
    }
    GSocketAddress* socketAddress
        = g_inet_socket_address_new_from_string(address.substr(0, colon).c_str(), static_cast<guint>(port));
    if (socketAddress == nullptr) {
        return fail(ErrorKind::InvalidInput,
            "\"" + address + "\" does not start with an IP address; write it as 127.0.0.1:8080");
    }
    GError* error = nullptr;
    const gboolean listening
        = soup_server_listen(m_state->server, socketAddress, static_cast<SoupServerListenOptions>(0), &error);
    g_object_unref(socketAddress);
    if (listening == 0) {
        const std::string reason = error->message;
        g_error_free(error);
        return fail(ErrorKind::AddressInUse, "cannot listen on " + address + ": " + reason);
    }
    return {};
}

unsigned HttpServer::port() const
{
    GSList* uris = soup_server_get_uris(m_state->server);
    const unsigned port = uris == nullptr ? 0 : static_cast<unsigned>(g_uri_get_port(static_cast<GUri*>(uris->data)));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
    return port;
}

} // namespace jasminespread::standins
