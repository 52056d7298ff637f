#include <jasminespread/backend_transports.h>
#include <jasminespread/log_event.h>

#include "base/deadline_timer.h"
#include "base/glib_pointer.h"
#include "base/socket_address.h"
#include "entry/caller_request.h"
#include "http/message_parser.h"
#include "http/request_text.h"

#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace jasminespread {
namespace {

using ResponseParser = MessageParser<false>;

/// Limits the head of an answer, and each line in its body's framing and its trailer.
constexpr std::uint32_t maxHeaderBytes = 65'536;
constexpr std::size_t readBufferBytes = 16'384;
/// Idle time after which a connection is no longer reused if the server states no limit of its own.
constexpr Milliseconds defaultIdleLimit {4000};
/// Share of the server's stated limit (Keep-Alive: timeout) after which a connection is no longer reused: the server
/// counts from when it sent its answer, and its close takes time to arrive.
constexpr double usableShareOfStatedIdle = 0.7;
/// Dead connections are detected by TCP keep-alive probes and by unacknowledged bytes; the kernel takes the probe
/// interval in seconds.
constexpr int keepAliveSeconds = 1;
constexpr int keepAliveProbes = 2;
constexpr unsigned tcpUserTimeoutMs = 3000;
constexpr std::uint32_t defaultConnectionLimit = 110;

struct SocketHandle {
    int fd = -1;
    bool resetOnClose = false; ///< Close with a TCP reset instead of an orderly shutdown.
    SocketHandle() = default;
    explicit SocketHandle(int descriptor)
        : fd(descriptor)
    {
    }
    SocketHandle(const SocketHandle&) = delete;
    SocketHandle& operator=(const SocketHandle&) = delete;
    ~SocketHandle()
    {
        if (fd >= 0) {
            if (resetOnClose) {
                // Bytes held up by a network partition must not arrive later: a reset discards them.
                const linger reset {1, 0};
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            }
            close(fd);
        }
    }
};

/// One request and the callback that waits for its answer.
struct Exchange {
    BackendTransport::Handle handle = 0;
    BackendTransport::Callback callback;
    std::function<bool()> mayBegin;
    std::function<bool()> mayWrite;
    std::function<bool(const std::vector<HeaderField>&, bool connectionReused)> isMatchingAnswer;
    std::function<bool(const BackendResult&)> keepsConnection;
    Milliseconds connectTimeout {0};
    bool acceptsCloseDelimitedAnswer = false;
    bool needsNewConnection = false;
    std::uint64_t maxAnswerBytes = 0;
    std::string poolKey; ///< Key of its ConnectionPool.
    MonotonicTime deadline; ///< The earlier of requestDeadline and the limit on opening its connection.
    MonotonicTime requestDeadline;
    std::string serializedRequest;
    std::size_t writtenBytes = 0;
    bool isHeadRequest = false;
    bool usesReusedConnection = false; ///< Its connection had carried another exchange.
    std::uint64_t connection = 0; ///< Number of its connection; 0 while it waits for one.
};

/// One TCP connection; carries at most one exchange at a time.
struct Connection {
    Connection(std::uint64_t connectionNumber, int descriptor, std::string owningPoolKey)
        : number(connectionNumber)
        , socketHandle(descriptor)
        , poolKey(std::move(owningPoolKey))
    {
    }

    std::uint64_t number;
    SocketHandle socketHandle;
    std::string poolKey; ///< Key of its ConnectionPool.
    GSourcePointer source; ///< Destroyed before the descriptor is closed.
    gpointer sourceTag = nullptr;
    GIOCondition condition {};
    bool connected = false;
    bool reused = false; ///< Has already carried an exchange, or an answer to another one.
    int writeError = 0; ///< errno of the write that failed; 0 when none has.
    BackendTransport::Handle exchange = 0; ///< Handle of its exchange; 0 while idle.
    std::unique_ptr<ResponseParser> parser;
    std::string input; ///< Received bytes that the parser has not consumed.
    std::uint64_t heldBytes = 0; ///< Bytes of the answer that are kept.
    MonotonicTime reusableUntil; ///< No longer reused after this time.
};

/// The connections of one BackendRequest::pool to one address. Its key is the address, followed by a space and the name
/// of the pool unless that is empty.
struct ConnectionPool {
    std::uint32_t connectionLimit = defaultConnectionLimit;
    std::uint32_t openCount = 0;
    std::vector<std::uint64_t> idleConnections; ///< Most recently used last, which is reused first.
    std::deque<BackendTransport::Handle> waitingExchanges;
};

std::string poolKeyOf(const BackendRequest& request)
{
    return request.pool.empty() ? request.address : request.address + ' ' + request.pool;
}

class BeastTransport {
public:
    explicit BeastTransport(AnswerLimits limits)
        : m_limits(limits)
        , m_readBuffer(readBufferBytes)
        , m_deadlineTimer([this] { expireExchanges(); })
        , m_failureTimer([this] { runFailureCallbacks(); })
    {
    }

    BackendTransport::Handle send(BackendRequest&& request, BackendTransport::Callback&& callback)
    {
        const BackendTransport::Handle handle = m_nextNumber++;
        auto exchange = std::make_unique<Exchange>();
        exchange->handle = handle;
        exchange->callback = std::move(callback);
        exchange->mayBegin = std::move(request.mayBegin);
        exchange->mayWrite = std::move(request.mayWrite);
        exchange->isMatchingAnswer = std::move(request.isMatchingAnswer);
        exchange->keepsConnection = std::move(request.keepsConnection);
        exchange->connectTimeout = request.connectTimeout;
        exchange->acceptsCloseDelimitedAnswer = request.acceptsCloseDelimitedAnswer;
        exchange->needsNewConnection = request.needsNewConnection;
        exchange->maxAnswerBytes = std::min(request.maxAnswerBytes, m_limits.maxBodyBytes);
        exchange->poolKey = poolKeyOf(request);
        exchange->deadline = request.deadline;
        exchange->requestDeadline = request.deadline;
        exchange->isHeadRequest = request.method == "HEAD";
        std::optional<std::string> text = requestText(request);
        exchange->serializedRequest = text ? std::move(*text) : std::string();
        m_deadlines.emplace(exchange->deadline, handle);
        const std::string poolKey = exchange->poolKey;
        m_pools[poolKey].waitingExchanges.push_back(handle);
        m_exchanges.emplace(handle, std::move(exchange));
        if (!text) {
            logEvent(LogEvent::MessageUnreadable, "address=" + poolKey + " why=\"the request cannot be written\"");
            fail(handle, "the request cannot be written", FailureCause::Withheld);
            return handle;
        }
        startWaitingExchanges(poolKey);
        armTimer();
        return handle;
    }

    void cancel(BackendTransport::Handle handle)
    {
        const auto it = m_exchanges.find(handle);
        if (it == m_exchanges.end()) {
            // It may have failed already while its callback has not run yet.
            std::erase_if(
                m_failedExchanges, [handle](const FailedExchange& failed) { return failed.handle == handle; });
            return;
        }
        const std::uint64_t connection = it->second->connection;
        const std::string poolKey = it->second->poolKey;
        removeExchange(handle);
        if (connection != 0) {
            closeConnection(connection);
            startWaitingExchanges(poolKey);
        }
    }

    void setConnectionLimit(const std::string& address, std::uint32_t connections)
    {
        m_pools[address].connectionLimit = std::max(1U, connections);
        startWaitingExchanges(address);
    }

    [[nodiscard]] std::uint64_t connectionsOpened() const { return m_connectionsOpened; }

private:
    /// Reason why an exchange ends without an answer.
    enum class FailureCause : std::uint8_t { Connection, Deadline, Withheld };

    struct FailedExchange {
        BackendTransport::Handle handle = 0;
        BackendTransport::Callback callback;
        BackendResult result;
    };

    /// Removes an exchange from all tables; a Connection that refers to it is not changed.
    std::unique_ptr<Exchange> removeExchange(BackendTransport::Handle handle)
    {
        const auto it = m_exchanges.find(handle);
        std::unique_ptr<Exchange> exchange = std::move(it->second);
        m_exchanges.erase(it);
        m_deadlines.erase({exchange->deadline, handle});
        if (exchange->connection == 0) {
            std::erase(m_pools[exchange->poolKey].waitingExchanges, handle);
        }
        return exchange;
    }

    void setDeadline(Exchange& exchange, MonotonicTime newDeadline)
    {
        m_deadlines.erase({exchange.deadline, exchange.handle});
        exchange.deadline = newDeadline;
        m_deadlines.emplace(newDeadline, exchange.handle);
    }

    /// Assigns idle connections to waiting exchanges, or opens new ones up to the limit.
    void startWaitingExchanges(const std::string& key)
    {
        ConnectionPool& connectionPool = m_pools[key];
        while (!connectionPool.waitingExchanges.empty()) {
            const bool needsNew = m_exchanges.at(connectionPool.waitingExchanges.front())->needsNewConnection;
            Connection* connection = needsNew ? nullptr : takeIdleConnection(connectionPool);
            if (connection == nullptr) {
                const bool full = connectionPool.openCount >= connectionPool.connectionLimit;
                if (full && needsNew && !connectionPool.idleConnections.empty()) {
                    closeConnection(connectionPool.idleConnections.front());
                } else if (full) {
                    return;
                }
                connection = openConnection(key, connectionPool);
                if (connection == nullptr) {
                    const BackendTransport::Handle handle = connectionPool.waitingExchanges.front();
                    fail(handle, "cannot open a connection to " + key);
                    continue;
                }
            }
            const BackendTransport::Handle handle = connectionPool.waitingExchanges.front();
            connectionPool.waitingExchanges.pop_front();
            connection->exchange = handle;
            Exchange& exchange = *m_exchanges.at(handle);
            exchange.connection = connection->number;
            if (connection->connected) {
                write(*connection);
            } else if (exchange.connectTimeout.count() > 0) {
                setDeadline(exchange, std::min(exchange.requestDeadline, monotonicNow() + exchange.connectTimeout));
                armTimer();
            }
        }
    }

    /// Returns an idle connection that the server has not closed, or nullptr; closes unusable ones on the way.
    Connection* takeIdleConnection(ConnectionPool& connectionPool)
    {
        while (!connectionPool.idleConnections.empty()) {
            Connection& connection = *m_connections.at(connectionPool.idleConnections.back());
            if (connection.reusableUntil <= monotonicNow()) {
                closeConnection(connection.number);
                continue;
            }
            char byte = 0;
            const ssize_t n = recv(connection.socketHandle.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                connectionPool.idleConnections.pop_back();
                return &connection;
            }
            closeConnection(connection.number);
        }
        return nullptr;
    }

    Connection* openConnection(const std::string& key, ConnectionPool& connectionPool)
    {
        const std::optional<SocketAddress> address = parseSocketAddress(key.substr(0, key.find(' ')));
        if (!address) {
            return nullptr;
        }
        const int fd = socket(address->storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (fd < 0) {
            return nullptr;
        }
        auto connection = std::make_unique<Connection>(m_nextNumber++, fd, key);
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveSeconds, sizeof keepAliveSeconds);
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveSeconds, sizeof keepAliveSeconds);
        setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof keepAliveProbes);
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcpUserTimeoutMs, sizeof tcpUserTimeoutMs);
        if (connect(fd, address->get(), address->size) != 0 && errno != EINPROGRESS) {
            return nullptr;
        }
        ++m_connectionsOpened;
        ++connectionPool.openCount;
        connection->source.reset(g_source_new(&connectionFunctions, sizeof(GSource)));
        GSource* source = connection->source.get();
        connection->condition = G_IO_OUT;
        connection->sourceTag = g_source_add_unix_fd(source, fd, G_IO_OUT);
        auto* context = new ReadyContext {this, connection->number};
        g_source_set_callback(source, onReady, context, [](gpointer data) { delete static_cast<ReadyContext*>(data); });
        g_source_attach(source, g_main_context_get_thread_default());
        Connection* raw = connection.get();
        m_connections.emplace(raw->number, std::move(connection));
        return raw;
    }

    void closeConnection(std::uint64_t number)
    {
        const auto it = m_connections.find(number);
        setHeldBytes(*it->second, 0);
        ConnectionPool& connectionPool = m_pools[it->second->poolKey];
        --connectionPool.openCount;
        std::erase(connectionPool.idleConnections, number);
        it->second->socketHandle.resetOnClose = it->second->parser != nullptr; // An exchange was in progress.
        m_connections.erase(it);
    }

    static void watch(Connection& connection, GIOCondition condition)
    {
        if (connection.condition != condition) {
            connection.condition = condition;
            g_source_modify_unix_fd(connection.source.get(), connection.sourceTag, condition);
        }
    }

    /// Writes as much of the request as the socket accepts.
    void write(Connection& connection)
    {
        Exchange& exchange = *m_exchanges.at(connection.exchange);
        if (exchange.writtenBytes == 0 && exchange.mayBegin && !exchange.mayBegin()) {
            return failAndClose(connection, "the caller no longer waits for the answer", FailureCause::Withheld);
        }
        // The timer may not have run yet, because other sources of the same loop iteration can take long.
        if (exchange.writtenBytes == 0 && monotonicNow() >= exchange.requestDeadline) {
            return failAndClose(connection, "the deadline passed", FailureCause::Deadline);
        }
        if (!connection.parser) {
            resetParser(connection);
        }
        while (exchange.writtenBytes < exchange.serializedRequest.size()) {
            if (exchange.mayWrite && !exchange.mayWrite()) {
                return failAndClose(connection, "the request may no longer be sent", FailureCause::Withheld);
            }
            const ssize_t n
                = ::send(connection.socketHandle.fd, exchange.serializedRequest.data() + exchange.writtenBytes,
                    exchange.serializedRequest.size() - exchange.writtenBytes, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n >= 0) {
                exchange.writtenBytes += static_cast<std::size_t>(n);
                continue;
            }
            if (errno == EAGAIN || errno == EWOULDBLOCK) {
                return watch(connection, GIOCondition(G_IO_IN | G_IO_OUT));
            }
            if (errno == EINTR) {
                continue;
            }
            if (exchange.writtenBytes > 0) {
                // The server may have answered before it closed, for example with a refusal.
                connection.writeError = errno;
                return watch(connection, G_IO_IN);
            }
            return handleConnectionLoss(connection, g_strerror(errno));
        }
        watch(connection, G_IO_IN);
    }

    void resetParser(Connection& connection)
    {
        connection.parser
            = std::make_unique<ResponseParser>(maxHeaderBytes, m_exchanges.at(connection.exchange)->maxAnswerBytes);
        connection.parser->skip(m_exchanges.at(connection.exchange)->isHeadRequest);
    }

    void onConnected(Connection& connection)
    {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(connection.socketHandle.fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            return failAndClose(connection, std::string("cannot connect: ") + g_strerror(error));
        }
        connection.connected = true;
        Exchange& exchange = *m_exchanges.at(connection.exchange);
        setDeadline(exchange, exchange.requestDeadline);
        armTimer();
        write(connection);
    }

    /// Returns whether the server ended its side before the connection was lost. Precondition: a read reported the end,
    /// which it also does behind a write that failed, because that write has cleared the error of the socket. Linux
    /// reports EPIPE for a reset behind an orderly end, and ECONNRESET for any other.
    static bool endedInOrder(const Connection& connection)
    {
        return connection.writeError == 0 || connection.writeError == EPIPE;
    }

    void read(Connection& connection)
    {
        const ssize_t n = recv(connection.socketHandle.fd, m_readBuffer.data(), m_readBuffer.size(), MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
            return;
        }
        if (connection.exchange == 0) {
            // The server closed an idle connection or sent unsolicited bytes.
            return closeConnection(connection.number);
        }
        if (n == 0 && endedInOrder(connection) && connection.parser && connection.parser->got_some()
            && m_exchanges.at(connection.exchange)->acceptsCloseDelimitedAnswer) {
            if (!connection.parser->readEnd() && connection.parser->is_done()) {
                return finish(connection);
            }
        }
        if (n <= 0) {
            const int error = n < 0 ? errno : connection.writeError;
            return handleConnectionLoss(
                connection, error == 0 ? "the server closed the connection" : g_strerror(error));
        }
        connection.input.append(m_readBuffer.data(), static_cast<std::size_t>(n));
        parse(connection);
    }

    void parse(Connection& connection)
    {
        while (!connection.input.empty()) {
            if (const std::optional<ParseFailure> failure = connection.parser->read(connection.input)) {
                return failUnreadable(connection, *failure);
            }
            if (!connection.parser->is_done()) {
                break;
            }
            if (isExpected(connection)) {
                return finish(connection);
            }
            if (connection.parser->startLine().result() == boost::beast::http::status::switching_protocols) {
                return failUnreadable(connection, {ParseError::Malformed, "an upgrade that was not asked for"});
            }
            dropAnswer(connection);
            resetParser(connection);
        }
        if (connection.parser->is_header_done() && connection.parser->need_eof()
            && !m_exchanges.at(connection.exchange)->acceptsCloseDelimitedAnswer) {
            return failAndClose(connection, "the answer has neither Content-Length nor chunked encoding");
        }
        setHeldBytes(connection, connection.input.size() + connection.parser->heldBytes());
        limitTotalBytes();
    }

    void setHeldBytes(Connection& connection, std::uint64_t bytes)
    {
        m_heldBytes = m_heldBytes - connection.heldBytes + bytes;
        connection.heldBytes = bytes;
    }

    /// Ends the longest answers while all together exceed the limit.
    void limitTotalBytes()
    {
        while (m_heldBytes > m_limits.maxTotalBytes) {
            const auto longest = std::max_element(m_connections.begin(), m_connections.end(),
                [](const auto& a, const auto& b) { return a.second->heldBytes < b.second->heldBytes; });
            failOversized(*longest->second, "the answers in progress take too much memory");
        }
    }

    /// Ends a connection whose answer cannot be read. Its request may have been executed.
    void failUnreadable(Connection& connection, const ParseFailure& failure)
    {
        if (failure.error != ParseError::Malformed) {
            return failOversized(connection, failure.reason);
        }
        logEvent(LogEvent::MessageUnreadable, "address=" + connection.poolKey + " why=\"" + failure.reason + '"');
        failAndClose(connection, "malformed answer: " + failure.reason);
    }

    void failOversized(Connection& connection, const std::string& reason)
    {
        logEvent(LogEvent::MemoryLimitReached,
            "address=" + connection.poolKey + " answer-bytes=" + std::to_string(connection.heldBytes)
                + " all-bytes=" + std::to_string(m_heldBytes) + " why=\"" + reason + "\"");
        failAndClose(connection, reason);
    }

    /// Returns false for interim (1xx) answers and for answers to another request.
    bool isExpected(Connection& connection)
    {
        const unsigned status = connection.parser->startLine().result_int();
        if (status < 200) {
            return false;
        }
        const Exchange& exchange = *m_exchanges.at(connection.exchange);
        return !exchange.isMatchingAnswer || exchange.isMatchingAnswer(connection.parser->headers(), connection.reused);
    }

    /// Precondition: !isExpected().
    static void dropAnswer(Connection& connection)
    {
        const unsigned status = connection.parser->startLine().result_int();
        if (status >= 200) {
            connection.reused = true; // It carries answers to other requests.
            logEvent(
                LogEvent::LateAnswerDropped, "address=" + connection.poolKey + " status=" + std::to_string(status));
        }
    }

    /// Returns how long the connection may stay idle and still be reused.
    static Milliseconds idleLimitOf(const Connection& connection)
    {
        const std::string_view value = findHeader(connection.parser->headers(), "Keep-Alive").value_or("");
        const std::size_t at = value.find("timeout=");
        if (at == std::string_view::npos) {
            return defaultIdleLimit;
        }
        int seconds = 0;
        const char* begin = value.data() + at + sizeof("timeout=") - 1;
        if (std::from_chars(begin, value.data() + value.size(), seconds).ec != std::errc()) {
            return defaultIdleLimit;
        }
        return std::chrono::duration_cast<Milliseconds>(std::chrono::seconds(seconds) * usableShareOfStatedIdle);
    }

    void finish(Connection& connection)
    {
        const bool answersOtherRequest = !isExpected(connection);
        if (answersOtherRequest) {
            dropAnswer(connection);
            return failAndClose(connection, "the connection ended after an answer to another request");
        }
        std::unique_ptr<Exchange> exchange = removeExchange(std::exchange(connection.exchange, 0));
        ResponseParser& parser = *connection.parser;
        BackendResult result;
        result.progress = BackendProgress::Answered;
        result.connectionReused = connection.reused;
        result.status = parser.startLine().result_int();
        const Milliseconds idleLimit = idleLimitOf(connection);
        result.headers = std::move(parser.headers());
        result.body = std::move(parser.body());
        const bool keeps = !exchange->keepsConnection || exchange->keepsConnection(result);
        // A server may answer before it has read the whole request; the unsent rest must not follow on this connection.
        const bool reusable = keeps && parser.keep_alive() && connection.input.empty()
            && exchange->writtenBytes == exchange->serializedRequest.size();
        const std::string poolKey = exchange->poolKey;
        if (reusable) {
            connection.reusableUntil = monotonicNow() + idleLimit;
            connection.parser.reset();
            setHeldBytes(connection, 0);
            connection.reused = true;
            m_pools[poolKey].idleConnections.push_back(connection.number);
        } else {
            connection.parser.reset();
            closeConnection(connection.number);
        }
        startWaitingExchanges(poolKey);
        exchange->callback(std::move(result));
    }

    /// Handles the loss of an exchange's connection. If the connection was a reused one and no byte of this exchange
    /// was written, the exchange gets another connection.
    void handleConnectionLoss(Connection& connection, const std::string& reason)
    {
        Exchange& exchange = *m_exchanges.at(connection.exchange);
        if (exchange.writtenBytes > 0 || !connection.reused) {
            return failAndClose(connection, reason);
        }
        const std::string poolKey = exchange.poolKey;
        exchange.connection = 0;
        m_pools[poolKey].waitingExchanges.push_front(exchange.handle);
        closeConnection(connection.number);
        startWaitingExchanges(poolKey);
    }

    void failAndClose(Connection& connection, const std::string& reason, FailureCause cause = FailureCause::Connection)
    {
        const BackendTransport::Handle handle = connection.exchange;
        const std::string poolKey = connection.poolKey;
        m_exchanges.at(handle)->usesReusedConnection = connection.reused;
        fail(handle, reason, cause);
        closeConnection(connection.number);
        startWaitingExchanges(poolKey);
    }

    /// Ends an exchange without an answer. Its callback runs later, from the main loop.
    void fail(BackendTransport::Handle handle, const std::string& reason, FailureCause cause = FailureCause::Connection)
    {
        std::unique_ptr<Exchange> exchange = removeExchange(handle);
        FailedExchange failed;
        failed.handle = handle;
        failed.callback = std::move(exchange->callback);
        failed.result.progress = exchange->writtenBytes > 0 ? BackendProgress::Broken : BackendProgress::NotSent;
        failed.result.timedOut = cause == FailureCause::Deadline;
        failed.result.withheld = cause == FailureCause::Withheld;
        failed.result.connectionReused = exchange->usesReusedConnection;
        failed.result.failure = reason;
        m_failedExchanges.push_back(std::move(failed));
        m_failureTimer.armNow();
        armTimer();
    }

    void armTimer()
    {
        m_deadlineTimer.arm(m_deadlines.empty() ? std::nullopt : std::optional(m_deadlines.begin()->first));
    }

    struct ReadyContext {
        BeastTransport* transport;
        std::uint64_t connection;
    };

    static gboolean onReady(gpointer data)
    {
        const ReadyContext& ready = *static_cast<ReadyContext*>(data);
        BeastTransport& transport = *ready.transport;
        Connection& connection = *transport.m_connections.at(ready.connection);
        if (!connection.connected) {
            transport.onConnected(connection);
            return G_SOURCE_CONTINUE;
        }
        const GIOCondition events = g_source_query_unix_fd(connection.source.get(), connection.sourceTag);
        if ((events & ~G_IO_OUT) != 0) {
            transport.read(connection);
        } else if ((events & G_IO_OUT) != 0) {
            transport.write(connection);
        }
        return G_SOURCE_CONTINUE;
    }

    /// Ends the exchanges whose deadline has passed.
    void expireExchanges()
    {
        const MonotonicTime now = monotonicNow();
        while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
            const BackendTransport::Handle handle = m_deadlines.begin()->second;
            const std::uint64_t connection = m_exchanges.at(handle)->connection;
            const std::string poolKey = m_exchanges.at(handle)->poolKey;
            fail(handle, "the deadline passed", FailureCause::Deadline);
            if (connection != 0) {
                closeConnection(connection);
                startWaitingExchanges(poolKey);
            }
        }
        armTimer();
    }

    void runFailureCallbacks()
    {
        while (!m_failedExchanges.empty()) {
            FailedExchange failed = std::move(m_failedExchanges.front());
            m_failedExchanges.pop_front();
            failed.callback(std::move(failed.result));
        }
    }

    static gboolean dispatch(GSource*, GSourceFunc callback, gpointer data) { return callback(data); }

    static inline GSourceFuncs connectionFunctions {nullptr, nullptr, dispatch, nullptr, nullptr, nullptr};

    AnswerLimits m_limits;
    std::uint64_t m_heldBytes = 0; ///< Of all connections.
    std::vector<char> m_readBuffer;
    DeadlineTimer m_deadlineTimer;
    DeadlineTimer m_failureTimer; ///< Runs the callbacks of m_failedExchanges.
    std::uint64_t m_nextNumber = 1;
    std::uint64_t m_connectionsOpened = 0;
    std::unordered_map<std::string, ConnectionPool> m_pools;
    std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
    std::unordered_map<BackendTransport::Handle, std::unique_ptr<Exchange>> m_exchanges;
    std::set<std::pair<MonotonicTime, BackendTransport::Handle>> m_deadlines;
    std::deque<FailedExchange> m_failedExchanges; ///< Ended without an answer; their callbacks have not run yet.
};

} // namespace

BackendTransport makeBeastBackendTransport(AnswerLimits limits)
{
    const std::shared_ptr<BeastTransport> transport = std::make_shared<BeastTransport>(limits);
    BackendTransport hooks;
    hooks.send = [transport](BackendRequest request, BackendTransport::Callback callback) {
        return transport->send(std::move(request), std::move(callback));
    };
    hooks.cancel = [transport](BackendTransport::Handle handle) { transport->cancel(handle); };
    hooks.setConnectionLimit = [transport](const std::string& address, std::uint32_t connections) {
        transport->setConnectionLimit(address, connections);
    };
    hooks.connectionsOpened = [transport] { return transport->connectionsOpened(); };
    return hooks;
}

} // namespace jasminespread
