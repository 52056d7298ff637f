#include "http/http_server.h"

#include "base/deadline_timer.h"
#include "base/glib_pointer.h"
#include "base/socket_address.h"

#include <boost/beast/http.hpp>

#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <unordered_map>

namespace jasminespread {
namespace {

namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;
using RequestParser = http::request_parser<http::string_body>;

constexpr std::size_t readBufferBytes = 16'384;
constexpr int listenBacklog = 512;
/// Time for which a connection is still read after its last answer: closing it with unread bytes would reset it, and
/// the caller could lose the answer.
constexpr Milliseconds lingerTime {1000};
/// A caller that does not read its complete answer within this time is disconnected.
constexpr Milliseconds writeTimeout {30'000};
/// Output buffer capacity that a connection may keep between requests; larger buffers are released.
constexpr std::size_t idleBufferBytes = 4096;
/// Idle time before TCP keep-alive probes and interval between them. Callers that vanished without closing their
/// connection are detected when the system's default number of probes is unanswered.
constexpr int keepAliveSeconds = 2;

enum class Phase : std::uint8_t {
    Idle, ///< Between requests.
    Reading, ///< A request arrives.
    Waiting, ///< For HttpServer::answer().
    Writing, ///< An answer is written.
    Lingering ///< The last answer is written; input is discarded until the caller closes or lingerTime passes.
};

struct Connection {
    std::uint64_t number = 0;
    int fd = -1;
    GSourcePointer source; ///< Destroyed before the descriptor is closed.
    gpointer sourceTag = nullptr;
    GIOCondition condition {};
    Phase phase = Phase::Idle;
    std::unique_ptr<RequestParser> parser;
    bool continueSent = false;
    std::string input; ///< Received bytes that the parser has not consumed.
    std::string output;
    std::size_t writtenBytes = 0; ///< Bytes of `output` that are written.
    bool closeAfterAnswer = false;
    bool isHeadRequest = false;
    bool inputEnded = false;
    MonotonicTime requestStartedAt; ///< Arrival of the first byte of the current request.
    MonotonicTime phaseDeadline; ///< Time limit of the current phase; MonotonicTime::max() for none.

    Connection() = default;
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;
    ~Connection()
    {
        source.reset();
        if (fd >= 0) {
            close(fd);
        }
    }
};

std::string_view reasonPhrase(unsigned status)
{
    const boost::core::string_view text = http::obsolete_reason(http::int_to_status(status));
    return {text.data(), text.size()};
}

unsigned statusOf(const ErrorCode& ec)
{
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
        return 431;
    }
    if (ec == http::error::body_limit) {
        return 413;
    }
    return 400;
}

} // namespace

struct HttpServer::State {
    HttpServerLimits limits;
    Hooks hooks;
    int listener = -1;
    GSourcePointer listenSource;
    DeadlineTimer timer;
    std::uint64_t nextNumber = 1;
    std::optional<Milliseconds> drainIdleTimeout;
    std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections;
    std::set<std::pair<MonotonicTime, std::uint64_t>> deadlines;
    std::array<char, readBufferBytes> buffer {};

    struct ReadyContext {
        State* state;
        std::uint64_t connection;
    };

    static gboolean dispatch(GSource*, GSourceFunc callback, gpointer data) { return callback(data); }
    static inline GSourceFuncs sourceFunctions {nullptr, nullptr, dispatch, nullptr, nullptr, nullptr};

    State(HttpServerLimits initialLimits, Hooks callbacks)
        : limits(initialLimits)
        , hooks(std::move(callbacks))
        , timer([this] { expirePhases(); })
    {
    }

    ~State()
    {
        listenSource.reset();
        if (listener >= 0) {
            close(listener);
        }
    }

    State(const State&) = delete;
    State& operator=(const State&) = delete;

    void setDeadline(Connection& connection, MonotonicTime deadline)
    {
        deadlines.erase({connection.phaseDeadline, connection.number});
        connection.phaseDeadline = deadline;
        if (deadline != MonotonicTime::max()) {
            deadlines.emplace(deadline, connection.number);
        }
        armTimer();
    }

    void armTimer() { timer.arm(deadlines.empty() ? std::nullopt : std::optional(deadlines.begin()->first)); }

    static void watch(Connection& connection, GIOCondition condition)
    {
        if (connection.condition != condition) {
            connection.condition = condition;
            g_source_modify_unix_fd(connection.source.get(), connection.sourceTag, condition);
        }
    }

    [[nodiscard]] Milliseconds idleTimeout() const { return drainIdleTimeout.value_or(limits.idleTimeout); }

    void accept()
    {
        for (;;) {
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (fd < 0) {
                return; // When file descriptors run out, the connection stays in the backlog until the next call.
            }
            const int one = 1;
            const int probe = keepAliveSeconds;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
            setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe, sizeof probe);
            setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe, sizeof probe);
            auto connection = std::make_unique<Connection>();
            connection->number = nextNumber++;
            connection->fd = fd;
            connection->condition = G_IO_IN;
            connection->source.reset(g_source_new(&sourceFunctions, sizeof(GSource)));
            GSource* source = connection->source.get();
            connection->sourceTag = g_source_add_unix_fd(source, fd, G_IO_IN);
            g_source_set_callback(source, onReady, new ReadyContext {this, connection->number},
                [](gpointer data) { delete static_cast<ReadyContext*>(data); });
            g_source_attach(source, g_main_context_get_thread_default());
            Connection& opened = *connection;
            connections.emplace(opened.number, std::move(connection));
            setDeadline(opened, monotonicNow() + limits.idleTimeout);
            read(opened);
        }
    }

    void closeConnection(std::uint64_t number)
    {
        const auto it = connections.find(number);
        const std::unique_ptr<Connection> connection = std::move(it->second);
        deadlines.erase({connection->phaseDeadline, number});
        connections.erase(it);
        armTimer();
        if (connection->phase == Phase::Waiting) {
            hooks.callerDisconnected(number);
        }
    }

    void read(Connection& connection)
    {
        const ssize_t n = recv(connection.fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
            return;
        }
        if (n <= 0) {
            // Half-closed connections are not supported: a caller that closes its side has disconnected.
            return closeConnection(connection.number);
        }
        if (connection.phase == Phase::Lingering) {
            return;
        }
        connection.input.append(buffer.data(), static_cast<std::size_t>(n));
        if (connection.phase == Phase::Idle || connection.phase == Phase::Reading) {
            parse(connection);
        } else if (connection.input.size() > limits.maxHeaderBytes) {
            watch(connection, GIOCondition(0)); // Pipelined bytes stay in the socket until the answer is written.
        }
    }

    void parse(Connection& connection)
    {
        if (connection.phase == Phase::Idle) {
            if (connection.input.empty()) {
                return;
            }
            connection.phase = Phase::Reading;
            connection.requestStartedAt = monotonicNow();
            connection.continueSent = false;
            connection.parser = std::make_unique<RequestParser>();
            connection.parser->header_limit(limits.maxHeaderBytes);
            connection.parser->body_limit(limits.maxBodyBytes);
            connection.parser->eager(true);
            setDeadline(connection, connection.requestStartedAt + limits.headerTimeout);
        }
        RequestParser& parser = *connection.parser;
        ErrorCode ec;
        std::size_t consumed = 0;
        while (!parser.is_done() && consumed < connection.input.size()) {
            consumed += parser.put(
                boost::asio::const_buffer(connection.input.data() + consumed, connection.input.size() - consumed), ec);
            if (ec) {
                break;
            }
        }
        connection.input.erase(0, consumed);
        if (parser.is_header_done() && parser.chunked() && !limits.acceptChunked) {
            return refuse(connection, 411, "a body needs a Content-Length");
        }
        if (ec == http::error::need_more) {
            ec = {};
            if (!parser.is_header_done() && connection.input.size() > limits.maxHeaderBytes) {
                ec = http::error::header_limit;
            }
        }
        if (ec) {
            return refuse(connection, statusOf(ec), ec.message());
        }
        if (parser.is_header_done() && !parser.is_done()) {
            setDeadline(connection, connection.requestStartedAt + limits.bodyTimeout);
            const boost::core::string_view expect = parser.get()[http::field::expect];
            if (!connection.continueSent && boost::beast::iequals(expect, "100-continue")) {
                connection.continueSent = true;
                connection.output = "HTTP/1.1 100 Continue\r\n\r\n";
                flush(connection);
            }
            return;
        }
        if (parser.is_done()) {
            deliver(connection);
        }
    }

    void deliver(Connection& connection)
    {
        http::request<http::string_body>& message = connection.parser->get();
        RawRequest request;
        request.method = std::string(message.method_string());
        const std::string target(message.target());
        const std::size_t question = target.find('?');
        request.path = target.substr(0, question);
        if (question != std::string::npos) {
            request.query = target.substr(question + 1);
        }
        bool hasHost = false;
        bool hasDuplicateHost = false;
        for (const auto& field : message) {
            hasDuplicateHost = hasDuplicateHost || (hasHost && field.name() == http::field::host);
            hasHost = hasHost || field.name() == http::field::host;
            request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
        }
        if (hasDuplicateHost || (!hasHost && message.version() >= 11)) {
            return refuse(connection, 400, hasDuplicateHost ? "more than one Host field" : "the Host field is missing");
        }
        request.body = std::move(message.body());
        connection.isHeadRequest = message.method() == http::verb::head;
        connection.closeAfterAnswer = !connection.parser->keep_alive();
        connection.parser.reset();
        connection.phase = Phase::Waiting;
        setDeadline(connection, MonotonicTime::max());
        hooks.requestArrived(connection.number, std::move(request));
    }

    void refuse(Connection& connection, unsigned status, std::string_view reason)
    {
        connection.parser.reset();
        connection.closeAfterAnswer = true;
        connection.isHeadRequest = false;
        CallerAnswer answer;
        answer.status = status;
        answer.headers.push_back({"Content-Type", "text/plain"});
        answer.body = std::string(reason) + "\n";
        if (hooks.inputRefused) {
            hooks.inputRefused(answer);
        }
        write(connection, std::move(answer));
    }

    void write(Connection& connection, CallerAnswer&& answer)
    {
        connection.closeAfterAnswer = connection.closeAfterAnswer || drainIdleTimeout.has_value();
        const bool hasBody = !connection.isHeadRequest && answer.status != 204 && answer.status != 304;
        std::string& output = connection.output;
        output += "HTTP/1.1 " + std::to_string(answer.status) + ' ' + std::string(reasonPhrase(answer.status)) + "\r\n";
        for (const HeaderField& field : answer.headers) {
            output += field.name + ": " + field.value + "\r\n";
        }
        if (answer.status != 204 && answer.status != 304) {
            output += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
        }
        output += connection.closeAfterAnswer ? "Connection: close\r\n\r\n" : "\r\n";
        if (hasBody) {
            output += answer.body;
        }
        connection.phase = Phase::Writing;
        setDeadline(connection, monotonicNow() + writeTimeout);
        flush(connection);
    }

    /// Writes as much as the socket accepts and continues with the next request once the answer is complete.
    void flush(Connection& connection)
    {
        while (connection.writtenBytes < connection.output.size()) {
            const ssize_t n = ::send(connection.fd, connection.output.data() + connection.writtenBytes,
                connection.output.size() - connection.writtenBytes, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n >= 0) {
                connection.writtenBytes += static_cast<std::size_t>(n);
            } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
                return watch(connection, GIOCondition(G_IO_IN | G_IO_OUT));
            } else if (errno != EINTR) {
                return closeConnection(connection.number);
            }
        }
        connection.writtenBytes = 0;
        connection.output.clear();
        if (connection.output.capacity() > idleBufferBytes) {
            connection.output.shrink_to_fit();
        }
        watch(connection, G_IO_IN);
        if (connection.phase == Phase::Writing) {
            finishAnswer(connection);
        }
    }

    void finishAnswer(Connection& connection)
    {
        if (connection.closeAfterAnswer) {
            shutdown(connection.fd, SHUT_WR);
            connection.phase = Phase::Lingering;
            return setDeadline(connection, monotonicNow() + lingerTime);
        }
        connection.phase = Phase::Idle;
        setDeadline(connection, monotonicNow() + idleTimeout());
        parse(connection);
    }

    static gboolean onReady(gpointer data)
    {
        const ReadyContext& ready = *static_cast<ReadyContext*>(data);
        State& state = *ready.state;
        const std::uint64_t number = ready.connection;
        Connection& connection = *state.connections.at(number);
        const GIOCondition events = g_source_query_unix_fd(connection.source.get(), connection.sourceTag);
        if ((events & G_IO_OUT) != 0) {
            state.flush(connection);
        }
        if ((events & ~G_IO_OUT) != 0 && state.connections.contains(number)) {
            state.read(connection);
        }
        return G_SOURCE_CONTINUE;
    }

    static gboolean onListen(gint, GIOCondition, gpointer data)
    {
        static_cast<State*>(data)->accept();
        return G_SOURCE_CONTINUE;
    }

    /// Refuses requests and closes connections whose phase deadline has passed.
    void expirePhases()
    {
        const MonotonicTime now = monotonicNow();
        while (!deadlines.empty() && deadlines.begin()->first <= now) {
            Connection& connection = *connections.at(deadlines.begin()->second);
            if (connection.phase == Phase::Reading) {
                refuse(connection, 408, "the request did not arrive in time");
            } else {
                closeConnection(connection.number);
            }
        }
        armTimer();
    }
};

HttpServer::HttpServer(HttpServerLimits limits, Hooks hooks)
    : m_state(std::make_unique<State>(limits, std::move(hooks)))
{
}

HttpServer::~HttpServer() = default;

Result<void> HttpServer::listen(const std::string& text, bool reusePort)
{
    const std::optional<SocketAddress> address = parseSocketAddress(text);
    if (!address) {
        return fail(ErrorKind::InvalidInput, "\"" + text + "\" is not an IP address and port; correct the settings");
    }
    const int fd = socket(address->storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) {
        return fail(ErrorKind::Internal, "cannot open a socket: " + std::string(g_strerror(errno)));
    }
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (reusePort) {
        setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &one, sizeof one);
    }
    if (bind(fd, address->get(), address->size) != 0 || ::listen(fd, listenBacklog) != 0) {
        const std::string reason = g_strerror(errno);
        close(fd);
        return fail(ErrorKind::AddressInUse,
            "cannot listen on " + text + ": " + reason + "; stop the process that uses the address");
    }
    m_state->listener = fd;
    m_state->listenSource.reset(g_unix_fd_source_new(fd, G_IO_IN));
    g_source_set_callback(m_state->listenSource.get(), G_SOURCE_FUNC(State::onListen), m_state.get(), nullptr);
    g_source_attach(m_state->listenSource.get(), g_main_context_get_thread_default());
    return {};
}

bool HttpServer::hasBacklog() const
{
    pollfd waiting {m_state->listener, POLLIN, 0};
    return m_state->listener >= 0 && poll(&waiting, 1, 0) > 0;
}

void HttpServer::setLimits(const HttpServerLimits& limits) { m_state->limits = limits; }

void HttpServer::drain(Milliseconds maxIdleTime)
{
    m_state->drainIdleTimeout = maxIdleTime;
    for (auto& [number, connection] : m_state->connections) {
        if (connection->phase == Phase::Idle) {
            m_state->setDeadline(*connection, std::min(connection->phaseDeadline, monotonicNow() + maxIdleTime));
        }
    }
}

void HttpServer::stopListening()
{
    m_state->listenSource.reset();
    if (m_state->listener >= 0) {
        close(m_state->listener);
        m_state->listener = -1;
    }
}

bool HttpServer::hasCallerDisconnected(std::uint64_t request) const
{
    const auto it = m_state->connections.find(request);
    if (it == m_state->connections.end()) {
        return false;
    }
    char byte = 0;
    const ssize_t n = recv(it->second->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void HttpServer::answer(std::uint64_t request, CallerAnswer&& answer)
{
    const auto it = m_state->connections.find(request);
    if (it != m_state->connections.end() && it->second->phase == Phase::Waiting) {
        m_state->write(*it->second, std::move(answer));
    }
}

std::size_t HttpServer::pending() const noexcept
{
    std::size_t n = 0;
    for (const auto& [number, connection] : m_state->connections) {
        const Phase phase = connection->phase;
        const bool hasHead = phase == Phase::Reading && connection->parser->is_header_done();
        n += hasHead || phase == Phase::Waiting || phase == Phase::Writing ? 1 : 0;
    }
    return n;
}

} // namespace jasminespread
