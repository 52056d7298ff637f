#include "daemon/caller_listener.h"

#include "base/ended_connections.h"
#include "base/glib_pointer.h"
#include "base/socket_address.h"

#include <gio/gio.h>
#include <libsoup/soup.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace jasminespread {
namespace {

constexpr std::size_t maxHeaderBytes = 16'384;
constexpr int listenBacklog = 1024;
/// How much of a refused body is read and dropped, so that the caller can read the refusal, before the connection is
/// cut.
constexpr std::uint64_t maxDroppedBytes = 8'388'608;

/// Binds with system calls: g_socket_bind() turns SO_REUSEPORT off for TCP.
Result<GObjectPointer<GSocket>> bindSocket(const std::string& text, bool reusePort)
{
    const std::optional<SocketAddress> address = parseSocketAddress(text);
    if (!address) {
        return fail(ErrorKind::InvalidInput, "\"" + text + "\" is not an IP number and port");
    }
    const int fd = socket(address->storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (reusePort) {
        setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &one, sizeof one);
    }
    if (fd < 0 || bind(fd, address->get(), address->size) != 0) {
        const int ec = errno;
        if (fd >= 0) {
            close(fd);
        }
        const bool inUse = ec == EADDRINUSE;
        return fail(inUse ? ErrorKind::AddressInUse : ErrorKind::InvalidInput,
            "cannot bind " + text + ": " + g_strerror(ec)
                + (inUse ? "; stop the other process or change callerAddress" : "; check callerAddress"));
    }
    GError* error = nullptr;
    GObjectPointer<GSocket> bound(g_socket_new_from_fd(fd, &error));
    if (!bound) {
        const std::string message = error->message;
        g_error_free(error);
        close(fd);
        return fail(ErrorKind::Internal, "cannot use the socket for " + text + ": " + message);
    }
    return bound;
}

std::size_t headerBytes(SoupMessageHeaders* headers)
{
    std::size_t size = 0;
    SoupMessageHeadersIter iterator;
    soup_message_headers_iter_init(&iterator, headers);
    const char* name = nullptr;
    const char* value = nullptr;
    while (soup_message_headers_iter_next(&iterator, &name, &value)) {
        size += std::char_traits<char>::length(name) + std::char_traits<char>::length(value) + 4;
    }
    return size;
}

std::vector<HeaderField> copyHeaders(SoupMessageHeaders* headers)
{
    std::vector<HeaderField> fields;
    SoupMessageHeadersIter iterator;
    soup_message_headers_iter_init(&iterator, headers);
    const char* name = nullptr;
    const char* value = nullptr;
    while (soup_message_headers_iter_next(&iterator, &name, &value)) {
        fields.push_back({name, value});
    }
    return fields;
}

} // namespace

struct CallerListener::State {
    /// A request whose body is being read, or that waits for its answer, or whose answer is being written.
    struct Caller {
        SoupServerMessage* message = nullptr; ///< Borrowed; valid until its "finished" signal.
        std::uint64_t number = 0;
        std::uint64_t bodyBytes = 0;
        std::string_view refusal; ///< Why the request is too large; its body is dropped.
        bool hasHeaders = false; ///< False on an idle keep-alive connection.
        bool waiting = false; ///< Paused until answer().
    };

    std::uint64_t maxBodyBytes = 0;
    Hooks hooks;
    GObjectPointer<SoupServer> server;
    GObjectPointer<GSocket> socket; ///< Listens; null before listen() and after stopListening().
    bool closing = false;
    std::uint64_t nextNumber = 1;
    std::unordered_map<std::uint64_t, std::unique_ptr<Caller>> callers;
    std::unordered_map<SoupServerMessage*, std::uint64_t> numbers;

    static void onStarted(SoupServer*, SoupServerMessage* message, gpointer data)
    {
        State& state = *static_cast<State*>(data);
        auto caller = std::make_unique<Caller>();
        caller->message = message;
        caller->number = state.nextNumber++;
        g_signal_connect(message, "got-headers", G_CALLBACK(onHeaders), data);
        g_signal_connect(message, "got-chunk", G_CALLBACK(onChunk), data);
        g_signal_connect(message, "finished", G_CALLBACK(onFinished), data);
        state.numbers.emplace(message, caller->number);
        state.callers.emplace(caller->number, std::move(caller));
    }

    Caller* find(SoupServerMessage* message)
    {
        const auto it = numbers.find(message);
        return it == numbers.end() ? nullptr : callers.at(it->second).get();
    }

    static void onHeaders(SoupServerMessage* message, gpointer data)
    {
        State& state = *static_cast<State*>(data);
        Caller* caller = state.find(message);
        if (caller == nullptr) {
            return;
        }
        caller->hasHeaders = true;
        SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
        if (headerBytes(headers) > maxHeaderBytes) {
            state.refuse(*caller, reason::headersTooLarge, "the headers exceed 16384 bytes");
        } else if (soup_message_headers_get_list(headers, "Transfer-Encoding") != nullptr) {
            state.refuseTransferEncoding(*caller, headers);
        } else if (soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH
            && static_cast<std::uint64_t>(soup_message_headers_get_content_length(headers)) > state.maxBodyBytes) {
            state.refuseBody(*caller);
        }
    }

    static void onChunk(SoupServerMessage* message, GBytes* chunk, gpointer data)
    {
        State& state = *static_cast<State*>(data);
        Caller* caller = state.find(message);
        if (caller == nullptr) {
            return;
        }
        caller->bodyBytes += g_bytes_get_size(chunk);
        if (caller->refusal.empty() && caller->bodyBytes > state.maxBodyBytes) {
            state.refuseBody(*caller);
        }
        if (!caller->refusal.empty() && caller->bodyBytes > state.maxBodyBytes + maxDroppedBytes) {
            g_socket_shutdown(soup_server_message_get_socket(message), TRUE, TRUE, nullptr);
        }
    }

    /// libsoup reads a malformed chunk size as the end of the body, so a cut body could pass as whole.
    void refuseTransferEncoding(Caller& caller, SoupMessageHeaders* headers)
    {
        if (soup_message_headers_get_list(headers, "Content-Length") != nullptr) {
            refuse(caller, reason::badFraming,
                "Transfer-Encoding and Content-Length exclude each other; send only Content-Length");
        } else {
            refuse(caller, reason::lengthRequired, "Transfer-Encoding is not accepted; send Content-Length");
        }
    }

    void refuseBody(Caller& caller)
    {
        refuse(caller, reason::bodyTooLarge, "the body exceeds " + std::to_string(maxBodyBytes) + " bytes");
    }

    /// Answers at once on the socket, because libsoup would first read the whole body.
    void refuse(Caller& caller, std::string_view why, const std::string& text)
    {
        caller.refusal = why;
        soup_message_body_set_accumulate(soup_server_message_get_request_body(caller.message), FALSE);
        const RequestAnswer made = makeAnswer(Outcome::NotRun, why, text);
        const std::string bytes = "HTTP/1.1 " + std::to_string(made.status) + " " + soup_status_get_phrase(made.status)
            + "\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: "
            + std::to_string(made.body.size()) + "\r\nJasminespread-Outcome: not-run\r\nJasminespread-Reason: "
            + std::string(why) + "\r\n\r\n" + made.body;
        GSocket* connection = soup_server_message_get_socket(caller.message);
        g_socket_send(connection, bytes.data(), bytes.size(), nullptr, nullptr);
        g_socket_shutdown(connection, FALSE, TRUE, nullptr);
        hooks.refused(why);
    }

    static void onRequest(SoupServer*, SoupServerMessage* message, const char* path, GHashTable* query, gpointer data)
    {
        (void)path;
        (void)query;
        State& state = *static_cast<State*>(data);
        Caller* caller = state.find(message);
        if (caller == nullptr || !caller->refusal.empty()) {
            return soup_server_message_set_status(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, nullptr);
        }
        RawRequest raw;
        raw.method = soup_server_message_get_method(message);
        GUri* uri = soup_server_message_get_uri(message);
        raw.path = g_uri_get_path(uri);
        if (const char* text = g_uri_get_query(uri)) {
            raw.query = text;
        }
        raw.headers = copyHeaders(soup_server_message_get_request_headers(message));
        if (caller->bodyBytes > 0) {
            GBytes* bytes = soup_message_body_flatten(soup_server_message_get_request_body(message));
            gsize size = 0;
            const char* begin = static_cast<const char*>(g_bytes_get_data(bytes, &size));
            raw.body.assign(begin, size);
            g_bytes_unref(bytes);
        }
        caller->waiting = true;
        soup_server_message_pause(message);
        state.hooks.arrived(caller->number, std::move(raw));
    }

    static void onFinished(SoupServerMessage* message, gpointer data)
    {
        State& state = *static_cast<State*>(data);
        const auto it = state.numbers.find(message);
        if (it == state.numbers.end()) {
            return;
        }
        const std::uint64_t number = it->second;
        const bool wasWaiting = state.callers.at(number)->waiting;
        g_signal_handlers_disconnect_by_data(message, data);
        state.callers.erase(number);
        state.numbers.erase(it);
        if (wasWaiting) {
            state.hooks.left(number);
        }
    }
};

CallerListener::CallerListener(std::uint64_t maxBodyBytes, Hooks hooks)
    : m_state(std::make_unique<State>())
{
    m_state->maxBodyBytes = maxBodyBytes;
    m_state->hooks = std::move(hooks);
    m_state->server.reset(soup_server_new("server-header", nullptr, nullptr));
    closeEndedConnections(m_state->server.get());
    soup_server_add_handler(m_state->server.get(), nullptr, State::onRequest, m_state.get(), nullptr);
    g_signal_connect(m_state->server.get(), "request-started", G_CALLBACK(State::onStarted), m_state.get());
}

CallerListener::~CallerListener()
{
    for (const auto& [number, caller] : m_state->callers) {
        g_signal_handlers_disconnect_by_data(caller->message, m_state.get());
    }
    g_signal_handlers_disconnect_by_data(m_state->server.get(), m_state.get());
    soup_server_remove_handler(m_state->server.get(), nullptr);
    soup_server_disconnect(m_state->server.get());
}

Result<void> CallerListener::checkAddressFree(const std::string& address)
{
    BOOST_LEAF_AUTO(socket, bindSocket(address, false));
    g_socket_close(socket.get(), nullptr);
    return {};
}

Result<void> CallerListener::listen(const std::string& address)
{
    BOOST_LEAF_AUTO(socket, bindSocket(address, true));
    g_socket_set_listen_backlog(socket.get(), listenBacklog);
    g_socket_set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    GError* error = nullptr;
    if (g_socket_listen(socket.get(), &error) == FALSE
        || soup_server_listen_socket(m_state->server.get(), socket.get(), SoupServerListenOptions(0), &error)
            == FALSE) {
        const std::string message = "cannot listen on " + address + ": " + error->message;
        g_error_free(error);
        return fail(ErrorKind::AddressInUse, message);
    }
    m_state->socket = std::move(socket);
    return {};
}

void CallerListener::closeAfterAnswers() noexcept { m_state->closing = true; }

bool CallerListener::stopListening()
{
    GSocket* socket = m_state->socket.get();
    if (socket == nullptr) {
        return true;
    }
    if ((g_socket_condition_check(socket, G_IO_IN) & G_IO_IN) != 0) {
        return false;
    }
    g_socket_close(socket, nullptr);
    m_state->socket.reset();
    return true;
}

void CallerListener::answer(std::uint64_t caller, const RequestId& id, RequestAnswer&& answer)
{
    const auto it = m_state->callers.find(caller);
    if (it == m_state->callers.end() || !it->second->waiting) {
        return;
    }
    it->second->waiting = false;
    SoupServerMessage* message = it->second->message;
    soup_server_message_set_status(message, answer.status, nullptr);
    SoupMessageHeaders* headers = soup_server_message_get_response_headers(message);
    for (const HeaderField& field : answer.headers) {
        // libsoup has set its own date.
        if (sameHeaderName(field.name, "Date")) {
            soup_message_headers_replace(headers, "Date", field.value.c_str());
        } else {
            soup_message_headers_append(headers, field.name.c_str(), field.value.c_str());
        }
    }
    const std::string outcome(enumName(outcomeNames, answer.outcome));
    soup_message_headers_append(headers, "Jasminespread-Outcome", outcome.c_str());
    if (!answer.reason.empty()) {
        soup_message_headers_append(headers, "Jasminespread-Reason", answer.reason.c_str());
    }
    if (id != RequestId()) {
        soup_message_headers_append(headers, "Jasminespread-Request-Id", id.text().c_str());
    }
    if (!answer.server.empty()) {
        soup_message_headers_append(headers, "Jasminespread-Server", answer.server.c_str());
    }
    if (m_state->closing) {
        soup_message_headers_append(headers, "Connection", "close");
    }
    if (!answer.body.empty()) {
        soup_message_body_append(
            soup_server_message_get_response_body(message), SOUP_MEMORY_COPY, answer.body.data(), answer.body.size());
    }
    soup_server_message_unpause(message);
}

void CallerListener::findLeftCallers()
{
    std::vector<pollfd> polls;
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, caller] : m_state->callers) {
        GSocket* socket = caller->waiting ? soup_server_message_get_socket(caller->message) : nullptr;
        if (socket != nullptr) {
            polls.push_back({g_socket_get_fd(socket), POLLRDHUP, 0});
            numbers.push_back(number);
        }
    }
    if (polls.empty() || poll(polls.data(), polls.size(), 0) <= 0) {
        return;
    }
    for (std::size_t i = 0; i < polls.size(); ++i) {
        const auto it = m_state->callers.find(numbers[i]);
        if (polls[i].revents == 0 || it == m_state->callers.end()) {
            continue;
        }
        // The connection cannot be used again: libsoup writes an answer that nobody reads and closes it.
        it->second->waiting = false;
        SoupServerMessage* message = it->second->message;
        soup_server_message_set_status(message, SOUP_STATUS_SERVICE_UNAVAILABLE, nullptr);
        soup_message_headers_append(soup_server_message_get_response_headers(message), "Connection", "close");
        soup_server_message_unpause(message);
        m_state->hooks.left(numbers[i]);
    }
}

std::size_t CallerListener::pending() const noexcept
{
    return static_cast<std::size_t>(std::count_if(
        m_state->callers.begin(), m_state->callers.end(), [](const auto& entry) { return entry.second->hasHeaders; }));
}

} // namespace jasminespread
