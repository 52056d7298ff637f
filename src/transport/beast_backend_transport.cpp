#include <jasminespread/backend_transports.h>

#include "base/deadline_timer.h"
#include "base/glib_pointer.h"
#include "base/socket_address.h"

#include <boost/beast/http.hpp>

#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <deque>
#include <memory>
#include <set>
#include <unordered_map>

namespace jasminespread {
namespace {

namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;
using ResponseParser = http::response_parser<http::string_body>;

constexpr std::uint32_t maxHeaderBytes = 65'536;
constexpr std::size_t readBufferBytes = 16'384;
/// Idle time after which a connection is not used again when the server does not state its own limit.
constexpr Milliseconds defaultIdleLimit {4000};
/// Part of the limit that a server states (Keep-Alive: timeout) after which a connection is not used again: the server
/// counts from when it sent its answer, and its close needs time to arrive.
constexpr double usedPartOfStatedIdle = 0.7;
/// Silent connections are found by keep-alive probes and unacknowledged bytes; the kernel counts in seconds.
constexpr int keepAliveSeconds = 1;
constexpr int keepAliveProbes = 2;
constexpr unsigned unacknowledgedLimitMs = 3000;
constexpr std::uint32_t defaultConnectionLimit = 110;

struct FdClose {
    int fd = -1;
    bool abort = false; ///< Reset the connection in place of an orderly close.
    FdClose() = default;
    explicit FdClose(int descriptor)
        : fd(descriptor)
    {
    }
    FdClose(const FdClose&) = delete;
    FdClose& operator=(const FdClose&) = delete;
    ~FdClose()
    {
        if (fd >= 0) {
            if (abort) {
                // Bytes that a partition holds up must not arrive later: a reset discards them.
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
    std::function<bool(unsigned, const std::vector<HeaderField>&)> isMatchingAnswer;
    Milliseconds connectTimeout {0};
    bool acceptsCloseDelimitedAnswer = false;
    std::string host; ///< Key of its Host.
    MonotonicTime deadline; ///< Of the request, or of opening its connection while that comes first.
    MonotonicTime requestDeadline;
    std::string bytes; ///< The serialized request.
    std::size_t written = 0;
    bool isHead = false;
    bool reused = false; ///< Its connection had carried another exchange.
    std::uint64_t connection = 0; ///< 0 while it waits for one.
};

/// One TCP connection; carries at most one exchange at a time.
struct Connection {
    Connection(std::uint64_t connectionNumber, int descriptor, std::string hostKey)
        : number(connectionNumber)
        , fd(descriptor)
        , host(std::move(hostKey))
    {
    }

    std::uint64_t number;
    FdClose fd;
    std::string host; ///< Key of its Host.
    GSourcePointer source; ///< Destroyed before the descriptor is closed.
    gpointer sourceTag = nullptr;
    GIOCondition condition {};
    bool connected = false;
    bool reused = false; ///< Has carried an exchange before.
    BackendTransport::Handle exchange = 0; ///< 0: idle.
    std::unique_ptr<ResponseParser> parser;
    std::string input; ///< Received bytes that the parser has not consumed.
    MonotonicTime idleUntil; ///< Not used again after this time.
};

/// The connections of one pool to one address. Its key is the address, and after a space the pool's name.
struct Host {
    std::uint32_t limit = defaultConnectionLimit;
    std::uint32_t open = 0;
    std::vector<std::uint64_t> idle; ///< The one used last is used next.
    std::deque<BackendTransport::Handle> waiting;
};

std::string hostKey(const BackendRequest& request)
{
    return request.pool.empty() ? request.address : request.address + ' ' + request.pool;
}

std::string serialize(const BackendRequest& request)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (const HeaderField& field : request.headers) {
        message.insert(field.name, field.value);
    }
    if (message.find(http::field::host) == message.end()) {
        message.set(http::field::host, request.address);
    }
    message.body() = request.body;
    message.prepare_payload();
    http::request_serializer<http::string_body> serializer(message);
    std::string bytes;
    ErrorCode ec;
    while (!serializer.is_done() && !ec) {
        serializer.next(ec, [&](ErrorCode&, const auto& buffers) {
            std::size_t n = 0;
            for (const auto& buf : boost::beast::buffers_range_ref(buffers)) {
                bytes.append(static_cast<const char*>(buf.data()), buf.size());
                n += buf.size();
            }
            serializer.consume(n);
        });
    }
    return bytes;
}

class BeastTransport {
public:
    explicit BeastTransport(std::uint64_t maxBodyBytes)
        : m_maxBodyBytes(maxBodyBytes)
        , m_readBuffer(readBufferBytes)
        , m_timer([this] { endDue(); })
        , m_callbacks([this] { runCallbacks(); })
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
        exchange->connectTimeout = request.connectTimeout;
        exchange->acceptsCloseDelimitedAnswer = request.acceptsCloseDelimitedAnswer;
        exchange->host = hostKey(request);
        exchange->deadline = request.deadline;
        exchange->requestDeadline = request.deadline;
        exchange->isHead = request.method == "HEAD";
        exchange->bytes = serialize(request);
        m_deadlines.emplace(exchange->deadline, handle);
        const std::string host = exchange->host;
        m_hosts[host].waiting.push_back(handle);
        m_exchanges.emplace(handle, std::move(exchange));
        startWaiting(host);
        armTimer();
        return handle;
    }

    void cancel(BackendTransport::Handle handle)
    {
        const auto it = m_exchanges.find(handle);
        if (it == m_exchanges.end()) {
            // It may have ended already without its callback having run.
            std::erase_if(m_finished, [handle](const Finished& finished) { return finished.handle == handle; });
            return;
        }
        const std::uint64_t connection = it->second->connection;
        const std::string host = it->second->host;
        takeExchange(handle);
        if (connection != 0) {
            closeConnection(connection);
            startWaiting(host);
        }
    }

    void setConnectionLimit(const std::string& address, std::uint32_t connections)
    {
        m_hosts[address].limit = std::max(1U, connections);
        startWaiting(address);
    }

    [[nodiscard]] std::uint64_t connectionsOpened() const { return m_connectionsOpened; }

private:
    /// Why an exchange ends without an answer.
    enum class Cause : std::uint8_t { Connection, Deadline, Withheld };

    struct Finished {
        BackendTransport::Handle handle = 0;
        BackendTransport::Callback callback;
        BackendResult result;
    };

    /// Removes an exchange from all tables but its connection.
    std::unique_ptr<Exchange> takeExchange(BackendTransport::Handle handle)
    {
        const auto it = m_exchanges.find(handle);
        std::unique_ptr<Exchange> exchange = std::move(it->second);
        m_exchanges.erase(it);
        m_deadlines.erase({exchange->deadline, handle});
        if (exchange->connection == 0) {
            std::erase(m_hosts[exchange->host].waiting, handle);
        }
        return exchange;
    }

    void setDeadline(Exchange& exchange, MonotonicTime at)
    {
        m_deadlines.erase({exchange.deadline, exchange.handle});
        exchange.deadline = at;
        m_deadlines.emplace(at, exchange.handle);
    }

    /// Gives waiting exchanges idle connections, or opens new ones up to the limit.
    void startWaiting(const std::string& key)
    {
        Host& host = m_hosts[key];
        while (!host.waiting.empty()) {
            Connection* connection = takeIdle(host);
            if (connection == nullptr) {
                if (host.open >= host.limit) {
                    return;
                }
                connection = openConnection(key, host);
                if (connection == nullptr) {
                    const BackendTransport::Handle handle = host.waiting.front();
                    fail(handle, "cannot open a connection to " + key);
                    continue;
                }
            }
            const BackendTransport::Handle handle = host.waiting.front();
            host.waiting.pop_front();
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

    /// Returns an idle connection that the server has not closed; closes the others.
    Connection* takeIdle(Host& host)
    {
        while (!host.idle.empty()) {
            Connection& connection = *m_connections.at(host.idle.back());
            if (connection.idleUntil <= monotonicNow()) {
                closeConnection(connection.number);
                continue;
            }
            char byte = 0;
            const ssize_t n = recv(connection.fd.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                host.idle.pop_back();
                return &connection;
            }
            closeConnection(connection.number);
        }
        return nullptr;
    }

    Connection* openConnection(const std::string& key, Host& host)
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
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedLimitMs, sizeof unacknowledgedLimitMs);
        if (connect(fd, address->get(), address->size) != 0 && errno != EINPROGRESS) {
            return nullptr;
        }
        ++m_connectionsOpened;
        ++host.open;
        connection->source.reset(g_source_new(&connectionFunctions, sizeof(GSource)));
        GSource* source = connection->source.get();
        connection->condition = G_IO_OUT;
        connection->sourceTag = g_source_add_unix_fd(source, fd, G_IO_OUT);
        auto* context = new Ready {this, connection->number};
        g_source_set_callback(source, onReady, context, [](gpointer data) { delete static_cast<Ready*>(data); });
        g_source_attach(source, g_main_context_get_thread_default());
        Connection* raw = connection.get();
        m_connections.emplace(raw->number, std::move(connection));
        return raw;
    }

    void closeConnection(std::uint64_t number)
    {
        const auto it = m_connections.find(number);
        Host& host = m_hosts[it->second->host];
        --host.open;
        std::erase(host.idle, number);
        it->second->fd.abort = it->second->parser != nullptr; // An exchange was under way.
        m_connections.erase(it);
    }

    static void watch(Connection& connection, GIOCondition condition)
    {
        if (connection.condition != condition) {
            connection.condition = condition;
            g_source_modify_unix_fd(connection.source.get(), connection.sourceTag, condition);
        }
    }

    /// Writes as much of the request as the socket takes.
    void write(Connection& connection)
    {
        Exchange& exchange = *m_exchanges.at(connection.exchange);
        if (exchange.written == 0 && exchange.mayBegin && !exchange.mayBegin()) {
            return failAndClose(connection, "nobody waits for the answer any more", Cause::Withheld);
        }
        // The timer may not have run yet: other sources of the same turn can take long.
        if (exchange.written == 0 && monotonicNow() >= exchange.requestDeadline) {
            return failAndClose(connection, "the deadline passed", Cause::Deadline);
        }
        if (!connection.parser) {
            resetParser(connection);
        }
        while (exchange.written < exchange.bytes.size()) {
            if (exchange.mayWrite && !exchange.mayWrite()) {
                return failAndClose(connection, "the right to write ended", Cause::Withheld);
            }
            const ssize_t n = ::send(connection.fd.fd, exchange.bytes.data() + exchange.written,
                exchange.bytes.size() - exchange.written, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n >= 0) {
                exchange.written += static_cast<std::size_t>(n);
                continue;
            }
            if (errno == EAGAIN || errno == EWOULDBLOCK) {
                return watch(connection, GIOCondition(G_IO_IN | G_IO_OUT));
            }
            if (errno == EINTR) {
                continue;
            }
            if (exchange.written > 0) {
                // The server may have answered before it closed, for example with a refusal.
                return watch(connection, G_IO_IN);
            }
            return connectionLost(connection, g_strerror(errno));
        }
        watch(connection, G_IO_IN);
    }

    void resetParser(Connection& connection)
    {
        connection.parser = std::make_unique<ResponseParser>();
        connection.parser->body_limit(m_maxBodyBytes);
        connection.parser->header_limit(maxHeaderBytes);
        connection.parser->eager(true);
        connection.parser->skip(m_exchanges.at(connection.exchange)->isHead);
    }

    void onConnected(Connection& connection)
    {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(connection.fd.fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            return failAndClose(connection, std::string("cannot connect: ") + g_strerror(error));
        }
        connection.connected = true;
        Exchange& exchange = *m_exchanges.at(connection.exchange);
        setDeadline(exchange, exchange.requestDeadline);
        armTimer();
        write(connection);
    }

    void read(Connection& connection)
    {
        const ssize_t n = recv(connection.fd.fd, m_readBuffer.data(), m_readBuffer.size(), MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
            return;
        }
        if (connection.exchange == 0) {
            // The server closed an idle connection, or sent something that nobody asked for.
            return closeConnection(connection.number);
        }
        if (n == 0 && connection.parser && connection.parser->got_some()
            && m_exchanges.at(connection.exchange)->acceptsCloseDelimitedAnswer) {
            ErrorCode ec;
            connection.parser->put_eof(ec);
            if (!ec && connection.parser->is_done()) {
                return finish(connection);
            }
        }
        if (n <= 0) {
            return connectionLost(connection, n == 0 ? "the server closed the connection" : g_strerror(errno));
        }
        connection.input.append(m_readBuffer.data(), static_cast<std::size_t>(n));
        parse(connection);
    }

    void parse(Connection& connection)
    {
        ErrorCode ec;
        std::size_t consumed = 0;
        while (!connection.parser->is_done() && consumed < connection.input.size()) {
            const std::size_t n = connection.parser->put(
                boost::asio::const_buffer(connection.input.data() + consumed, connection.input.size() - consumed), ec);
            consumed += n;
            if (ec == http::error::need_more) {
                break;
            }
            if (ec) {
                return failAndClose(connection, "unusable answer: " + ec.message());
            }
            if (connection.parser->is_done() && !isExpected(connection)) {
                resetParser(connection);
            }
        }
        connection.input.erase(0, consumed);
        if (connection.parser->is_done()) {
            finish(connection);
        } else if (connection.parser->is_header_done() && connection.parser->need_eof()
            && !m_exchanges.at(connection.exchange)->acceptsCloseDelimitedAnswer) {
            failAndClose(connection, "the answer has neither Content-Length nor chunked encoding");
        }
    }

    /// False for interim answers and for those that belong to another request.
    bool isExpected(Connection& connection)
    {
        const unsigned status = connection.parser->get().result_int();
        if (status < 200) {
            return false;
        }
        const Exchange& exchange = *m_exchanges.at(connection.exchange);
        return !exchange.isMatchingAnswer || exchange.isMatchingAnswer(status, headersOf(connection));
    }

    static std::vector<HeaderField> headersOf(const Connection& connection)
    {
        std::vector<HeaderField> headers;
        for (const auto& field : connection.parser->get()) {
            headers.push_back({std::string(field.name_string()), std::string(field.value())});
        }
        return headers;
    }

    /// How long the connection may stay idle before it is used again.
    static Milliseconds idleLimitOf(const Connection& connection)
    {
        const boost::core::string_view value = connection.parser->get()[http::field::keep_alive];
        const std::size_t at = value.find("timeout=");
        if (at == boost::core::string_view::npos) {
            return defaultIdleLimit;
        }
        int seconds = 0;
        const char* begin = value.data() + at + sizeof("timeout=") - 1;
        if (std::from_chars(begin, value.data() + value.size(), seconds).ec != std::errc()) {
            return defaultIdleLimit;
        }
        return std::chrono::duration_cast<Milliseconds>(std::chrono::seconds(seconds) * usedPartOfStatedIdle);
    }

    void finish(Connection& connection)
    {
        const bool foreign = !isExpected(connection);
        if (foreign) {
            return failAndClose(connection, "the connection ended after an answer to another request");
        }
        std::unique_ptr<Exchange> exchange = takeExchange(std::exchange(connection.exchange, 0));
        http::response<http::string_body>& message = connection.parser->get();
        BackendResult result;
        result.progress = BackendProgress::Answered;
        result.connectionReused = connection.reused;
        result.status = message.result_int();
        result.headers = headersOf(connection);
        result.body = std::move(message.body());
        // A server may answer before it has read the whole request; the rest of it must not follow.
        const bool reusable = connection.parser->keep_alive() && connection.input.empty()
            && exchange->written == exchange->bytes.size();
        const std::string host = exchange->host;
        if (reusable) {
            connection.idleUntil = monotonicNow() + idleLimitOf(connection);
            connection.parser.reset();
            connection.reused = true;
            m_hosts[host].idle.push_back(connection.number);
        } else {
            connection.parser.reset();
            closeConnection(connection.number);
        }
        startWaiting(host);
        exchange->callback(std::move(result));
    }

    /// The connection of an exchange broke. When it was idle before and no byte of this exchange was written, the
    /// exchange gets another connection.
    void connectionLost(Connection& connection, const std::string& why)
    {
        Exchange& exchange = *m_exchanges.at(connection.exchange);
        if (exchange.written > 0 || !connection.reused) {
            return failAndClose(connection, why);
        }
        const std::string host = exchange.host;
        exchange.connection = 0;
        m_hosts[host].waiting.push_front(exchange.handle);
        closeConnection(connection.number);
        startWaiting(host);
    }

    void failAndClose(Connection& connection, const std::string& why, Cause cause = Cause::Connection)
    {
        const BackendTransport::Handle handle = connection.exchange;
        const std::string host = connection.host;
        m_exchanges.at(handle)->reused = connection.reused;
        fail(handle, why, cause);
        closeConnection(connection.number);
        startWaiting(host);
    }

    /// Ends an exchange without an answer. Its callback runs from the main loop.
    void fail(BackendTransport::Handle handle, const std::string& why, Cause cause = Cause::Connection)
    {
        std::unique_ptr<Exchange> exchange = takeExchange(handle);
        Finished finished;
        finished.handle = handle;
        finished.callback = std::move(exchange->callback);
        finished.result.progress = exchange->written > 0 ? BackendProgress::Broken : BackendProgress::NotSent;
        finished.result.timedOut = cause == Cause::Deadline;
        finished.result.withheld = cause == Cause::Withheld;
        finished.result.connectionReused = exchange->reused;
        finished.result.failure = why;
        m_finished.push_back(std::move(finished));
        m_callbacks.armNow();
        armTimer();
    }

    void armTimer() { m_timer.arm(m_deadlines.empty() ? std::nullopt : std::optional(m_deadlines.begin()->first)); }

    struct Ready {
        BeastTransport* transport;
        std::uint64_t connection;
    };

    static gboolean onReady(gpointer data)
    {
        const Ready& ready = *static_cast<Ready*>(data);
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

    /// Ends the exchanges whose deadline passed.
    void endDue()
    {
        const MonotonicTime now = monotonicNow();
        while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
            const BackendTransport::Handle handle = m_deadlines.begin()->second;
            const std::uint64_t connection = m_exchanges.at(handle)->connection;
            const std::string host = m_exchanges.at(handle)->host;
            fail(handle, "the deadline passed", Cause::Deadline);
            if (connection != 0) {
                closeConnection(connection);
                startWaiting(host);
            }
        }
        armTimer();
    }

    void runCallbacks()
    {
        while (!m_finished.empty()) {
            Finished finished = std::move(m_finished.front());
            m_finished.pop_front();
            finished.callback(std::move(finished.result));
        }
    }

    static gboolean dispatch(GSource*, GSourceFunc callback, gpointer data) { return callback(data); }

    static inline GSourceFuncs connectionFunctions {nullptr, nullptr, dispatch, nullptr, nullptr, nullptr};

    std::uint64_t m_maxBodyBytes;
    std::vector<char> m_readBuffer;
    DeadlineTimer m_timer; ///< For the deadlines.
    DeadlineTimer m_callbacks; ///< For exchanges that ended without an answer.
    std::uint64_t m_nextNumber = 1;
    std::uint64_t m_connectionsOpened = 0;
    std::unordered_map<std::string, Host> m_hosts;
    std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> m_connections;
    std::unordered_map<BackendTransport::Handle, std::unique_ptr<Exchange>> m_exchanges;
    std::set<std::pair<MonotonicTime, BackendTransport::Handle>> m_deadlines;
    std::deque<Finished> m_finished; ///< Ended without an answer; their callbacks are due.
};

} // namespace

BackendTransport makeBeastBackendTransport(std::uint64_t maxBodyBytes)
{
    const std::shared_ptr<BeastTransport> transport = std::make_shared<BeastTransport>(maxBodyBytes);
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
