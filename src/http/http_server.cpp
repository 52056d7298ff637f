#include "http/http_server.h"

#include "base/deadline_timer.h"
#include "base/glib_pointer.h"
#include "base/socket_address.h"
#include "http/client_account.h"
#include "http/request_queue.h"
#include "http/request_reader.h"

#include <boost/beast/http/status.hpp>

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

constexpr std::size_t readBufferBytes = 16'384;
constexpr int listenBacklog = 512;
/// Objects of a connection, of its event source and of its empty queues.
constexpr std::size_t connectionCost = 4096;
/// Pause of accepting when there is no descriptor for another connection and no client can give way.
constexpr Milliseconds acceptPause {100};
/// Time for which a connection is still read after its last answer: closing it with unread bytes would reset it, and
/// the caller could lose the answer.
constexpr Milliseconds lingerTime {1000};
/// A caller that does not read what is written for it within this time is disconnected.
constexpr Milliseconds writeTimeout {30'000};
/// Output buffer capacity that a connection may keep between requests; larger buffers are released.
constexpr std::size_t idleBufferBytes = 4096;
/// Callers that vanished without closing their connection are detected by TCP keep-alive probes: idle time before the
/// first one and interval between them, in seconds, and their number.
constexpr int keepAliveSeconds = 2;
constexpr int keepAliveProbes = 3;

constexpr const char* noMemoryReason = "the instance has no room for the request; send it again later";

struct Connection {
    std::uint64_t number = 0;
    int fd = -1;
    GSourcePointer source; ///< Destroyed before the descriptor is closed.
    gpointer sourceTag = nullptr;
    GIOCondition condition {};
    RequestReader reader;
    RequestQueue queue;
    std::string output;
    std::size_t writtenBytes = 0; ///< Bytes of `output` that are written.
    bool lastRequestRead = false; ///< Nothing behind the requests in the queue is read.
    bool closing = false; ///< The last answer is in `output`, or written.
    bool lingering = false; ///< The last answer is written; input is discarded until the caller closes.
    bool processing = false; ///< process() runs; it removes the connection if it is lost meanwhile.
    bool lost = false;
    std::size_t heldBytes = 0; ///< Memory as charged to the account.
    MonotonicTime progressedAt; ///< Last time that the client sent or read something.
    MonotonicTime idleDeadline;
    MonotonicTime writeDeadline; ///< Also the end of lingering.
    MonotonicTime deadline = MonotonicTime::max(); ///< The earliest that applies, as registered.

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

    /// Bytes of a request that is refused, if it must be.
    [[nodiscard]] std::size_t partialRequestBytes() const
    {
        return reader.hasPartialRequest() && !lastRequestRead ? reader.heldBytes() : 0;
    }
    [[nodiscard]] bool isIdle() const { return queue.empty() && output.empty() && !reader.hasPartialRequest(); }
};

std::string_view reasonPhrase(unsigned status)
{
    namespace http = boost::beast::http;
    const boost::core::string_view text = http::obsolete_reason(http::int_to_status(status));
    return {text.data(), text.size()};
}

void appendAnswer(std::string& output, const RequestQueue::Ready& ready, bool closes)
{
    const CallerAnswer& answer = ready.answer;
    const bool mayHaveBody = answer.status != 204 && answer.status != 304;
    output += "HTTP/1.1 " + std::to_string(answer.status) + ' ' + std::string(reasonPhrase(answer.status)) + "\r\n";
    for (const HeaderField& field : answer.headers) {
        output += field.name + ": " + field.value + "\r\n";
    }
    if (mayHaveBody && !ready.isHead) { // The length of the answer to GET may not be known.
        output += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
    }
    output += closes ? "Connection: close\r\n\r\n" : "\r\n";
    if (mayHaveBody && !ready.isHead) {
        output += answer.body;
    }
}

} // namespace

struct HttpServer::State {
    HttpServerLimits limits;
    Hooks hooks;
    int listener = -1;
    GSourcePointer listenSource;
    DeadlineTimer timer;
    DeadlineTimer acceptTimer; ///< Ends a pause of accepting.
    std::uint64_t nextNumber = 1;
    std::optional<Milliseconds> drainIdleTimeout;
    const bool ownsAccount;
    std::shared_ptr<ClientAccount> account;
    std::size_t listenerNumber; ///< In the account.
    std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections; ///< By number.
    std::unordered_map<std::uint64_t, std::uint64_t> requests; ///< Connections of unanswered requests.
    std::set<std::pair<MonotonicTime, std::uint64_t>> deadlines;
    std::array<char, readBufferBytes> buffer {};

    struct ReadyContext {
        State* state;
        std::uint64_t connection;
    };

    static gboolean dispatch(GSource*, GSourceFunc callback, gpointer data) { return callback(data); }
    static inline GSourceFuncs sourceFunctions {nullptr, nullptr, dispatch, nullptr, nullptr, nullptr};

    State(HttpServerLimits initialLimits, Hooks callbacks, std::shared_ptr<ClientAccount> sharedAccount,
        const std::string& name)
        : limits(initialLimits)
        , hooks(std::move(callbacks))
        , timer([this] { expireDeadlines(); })
        , acceptTimer([this] { attachListener(); })
        , ownsAccount(sharedAccount == nullptr)
        , account(ownsAccount ? std::make_shared<ClientAccount>(ClientAccount::Bounds {limits.maxTotalBytes})
                              : std::move(sharedAccount))
        , listenerNumber(account->addListener({name, [this](std::vector<ClientHolding>& clients) { list(clients); },
              [this](std::uint64_t connection, bool closes) { endClient(connection, closes); }}))
    {
    }

    ~State()
    {
        account->removeListener(listenerNumber);
        listenSource.reset();
        if (listener >= 0) {
            close(listener);
        }
    }

    State(const State&) = delete;
    State& operator=(const State&) = delete;

    [[nodiscard]] static MonotonicTime deadlineOf(const Connection& connection)
    {
        if (connection.lingering) {
            return connection.writeDeadline;
        }
        if (connection.isIdle()) {
            return connection.idleDeadline;
        }
        const MonotonicTime write = connection.output.empty() ? MonotonicTime::max() : connection.writeDeadline;
        const bool reads = connection.reader.hasPartialRequest() && !connection.lastRequestRead;
        return reads ? std::min(write, connection.reader.deadline()) : write;
    }

    void updateDeadline(Connection& connection)
    {
        const MonotonicTime deadline = deadlineOf(connection);
        if (deadline != connection.deadline) {
            deadlines.erase({connection.deadline, connection.number});
            connection.deadline = deadline;
            if (deadline != MonotonicTime::max()) {
                deadlines.emplace(deadline, connection.number);
            }
            armTimer();
        }
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

    void attachListener()
    {
        if (listener < 0) {
            return;
        }
        listenSource.reset(g_unix_fd_source_new(listener, G_IO_IN));
        g_source_set_callback(listenSource.get(), G_SOURCE_FUNC(onListen), this, nullptr);
        g_source_attach(listenSource.get(), g_main_context_get_thread_default());
    }

    /// Connections stay in the backlog meanwhile. The event source would report them without end.
    void pauseAccepting()
    {
        listenSource.reset();
        acceptTimer.arm(monotonicNow() + acceptPause);
    }

    /// Accepts the connections that wait, up to the length of the backlog.
    void accept()
    {
        bool descriptorsExhausted = false;
        for (int n = 0; n < listenBacklog; ++n) {
            if (!account->makeRoomForConnection(false, monotonicNow())) {
                return pauseAccepting();
            }
            const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (fd < 0) {
                if (errno == EAGAIN || errno == EWOULDBLOCK) {
                    return;
                }
                const bool lacksResources = errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM;
                if (lacksResources
                    && (std::exchange(descriptorsExhausted, true)
                        || !account->makeRoomForConnection(true, monotonicNow()))) {
                    return pauseAccepting();
                }
                continue; // The connection ended in the backlog, or a client gave way.
            }
            descriptorsExhausted = false;
            const int one = 1;
            const int probe = keepAliveSeconds;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
            setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe, sizeof probe);
            setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe, sizeof probe);
            setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof keepAliveProbes);
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
            account->openConnection(listenerNumber);
            opened.progressedAt = monotonicNow();
            opened.idleDeadline = opened.progressedAt + idleTimeout();
            updateDeadline(opened);
            updateHeldBytes(opened);
            read(opened);
        }
    }

    /// Closes a connection, once process() has returned if it runs.
    void closeConnection(Connection& connection)
    {
        connection.lost = true;
        if (connection.processing) {
            return;
        }
        const auto it = connections.find(connection.number);
        const std::unique_ptr<Connection> closed = std::move(it->second);
        connections.erase(it);
        deadlines.erase({closed->deadline, closed->number});
        account->charge(listenerNumber, closed->heldBytes, 0);
        account->closeConnection(listenerNumber);
        armTimer();
        const std::vector<std::uint64_t> unanswered = closed->queue.unanswered();
        for (const std::uint64_t request : unanswered) {
            requests.erase(request);
        }
        for (const std::uint64_t request : unanswered) {
            hooks.callerDisconnected(request);
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
            return closeConnection(connection);
        }
        if (!connection.lastRequestRead) {
            connection.progressedAt = monotonicNow();
            connection.reader.append({buffer.data(), static_cast<std::size_t>(n)}, connection.progressedAt);
            process(connection);
        }
    }

    /// Whether the next request may be read; the bytes behind a partial one are its own.
    [[nodiscard]] bool mayRead(const Connection& connection) const
    {
        if (connection.lastRequestRead) {
            return false;
        }
        const bool mayBegin = connection.queue.size() < limits.maxPipelinedRequests
            && connection.queue.heldBytes() + connection.output.size() < limits.maxPipelinedBytes;
        const bool nothingHeld = connection.queue.empty() && connection.output.empty();
        return nothingHeld || connection.reader.hasPartialRequest() || mayBegin;
    }

    /// Reads, handles and answers requests of a connection until it needs input, an answer, or room in the socket.
    /// A loop instead of nested calls: many immediate answers must not use up the stack.
    void process(Connection& connection)
    {
        if (connection.processing) {
            return;
        }
        connection.processing = true;
        bool progressed = true;
        while (progressed && !connection.lost) {
            while (!connection.lost && (readRequest(connection) || deliverRequest(connection))) { }
            progressed = !connection.lost && writeAnswers(connection);
        }
        connection.processing = false;
        if (connection.lost) {
            return closeConnection(connection);
        }
        watchSocket(connection);
        updateDeadline(connection);
        updateHeldBytes(connection);
        account->makeRoomForBytes(0, connection.progressedAt);
    }

    void updateHeldBytes(Connection& connection)
    {
        const std::size_t bytes = connectionCost + connection.reader.heldBytes() + connection.queue.heldBytes()
            + connection.queue.takenBytes() + connection.output.size();
        account->charge(listenerNumber, connection.heldBytes, bytes);
        connection.heldBytes = bytes;
    }

    /// What clients hold that can be ended now. process() of a connection may be on the stack; it ends that one's turn
    /// itself.
    void list(std::vector<ClientHolding>& clients) const
    {
        for (const auto& [number, connection] : connections) {
            if (!connection->processing && !connection->lost) {
                const bool inWork = connection->queue.takenBytes() > 0;
                const std::size_t unread = inWork ? 0 : connection->output.size();
                clients.push_back({0, number, std::max(connection->partialRequestBytes(), unread),
                    connection->progressedAt, inWork, connection->lingering});
            }
        }
    }

    void endClient(std::uint64_t number, bool closes)
    {
        const auto it = connections.find(number);
        if (it == connections.end() || it->second->processing || it->second->lost) {
            return;
        }
        Connection& connection = *it->second;
        const std::size_t partialBytes = connection.partialRequestBytes();
        if (partialBytes > 0 && (closes || partialBytes >= connection.output.size())) {
            refuse(connection, 503, noMemoryReason);
            process(connection);
            if (closes && connections.contains(number)) {
                closeConnection(connection);
            }
        } else {
            closeConnection(connection);
        }
    }

    /// Returns whether a request or refusal was added to the queue.
    bool readRequest(Connection& connection)
    {
        if (!mayRead(connection)) {
            return false;
        }
        auto next = connection.reader.next(limits, monotonicNow());
        if (const auto* refusal = std::get_if<RequestReader::Refusal>(&next)) {
            refuse(connection, refusal->status, refusal->reason);
            return true;
        }
        auto* request = std::get_if<RequestReader::Request>(&next);
        if (request == nullptr) {
            return false;
        }
        if (request->closes) {
            connection.lastRequestRead = true;
            connection.reader.discard();
        }
        updateHeldBytes(connection); // The request is no longer in the reader.
        if (!account->makeRoomForBytes(RequestQueue::costOf(request->raw), monotonicNow())) {
            account->countRefusedRequest(listenerNumber);
            refuse(connection, 503, noMemoryReason);
            return true;
        }
        connection.queue.add(nextNumber++, std::move(request->raw), request->isHead, request->closes);
        return true;
    }

    /// Returns whether a request was passed on.
    bool deliverRequest(Connection& connection)
    {
        std::optional<RequestQueue::Delivery> delivery = connection.queue.takeDeliverable(hooks.mayOverlap);
        if (!delivery) {
            return false;
        }
        requests.emplace(delivery->request, connection.number);
        hooks.requestArrived(delivery->request, std::move(delivery->raw));
        return true;
    }

    void refuse(Connection& connection, unsigned status, const std::string& reason)
    {
        connection.lastRequestRead = true;
        connection.reader.discard();
        CallerAnswer answer;
        answer.status = status;
        answer.headers.push_back({"Content-Type", "text/plain"});
        answer.body = reason + "\n";
        if (hooks.inputRefused) {
            hooks.inputRefused(answer, peerAddress(connection.fd));
        }
        connection.queue.addRefusal(std::move(answer));
    }

    /// Writes the answers that are next in order. Returns whether there was output and all of it is written.
    bool writeAnswers(Connection& connection)
    {
        const bool wasEmpty = connection.output.empty();
        while (std::optional<RequestQueue::Ready> ready = connection.queue.takeReady()) {
            // A request that has arrived, and was not read because of the limits, is answered as well.
            const bool mayHaveRequest = connection.reader.unreadBytes() > 0 && !connection.reader.hasPartialRequest();
            connection.closing = ready->closes || (drainIdleTimeout && connection.queue.empty() && !mayHaveRequest);
            appendAnswer(connection.output, *ready, connection.closing);
        }
        if (connection.closing) {
            connection.lastRequestRead = true;
            connection.reader.discard();
        }
        if (connection.queue.empty() && connection.reader.expectsContinue()) {
            connection.reader.confirmContinue();
            connection.output += "HTTP/1.1 100 Continue\r\n\r\n";
        }
        if (connection.output.empty()) {
            return false;
        }
        if (wasEmpty) {
            connection.writeDeadline = monotonicNow() + writeTimeout;
        }
        return flush(connection);
    }

    /// Writes as much as the socket accepts. Returns whether everything is written.
    bool flush(Connection& connection)
    {
        bool wrote = false;
        while (connection.writtenBytes < connection.output.size()) {
            const ssize_t n = ::send(connection.fd, connection.output.data() + connection.writtenBytes,
                connection.output.size() - connection.writtenBytes, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n >= 0) {
                wrote = true;
                connection.writtenBytes += static_cast<std::size_t>(n);
            } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
                connection.progressedAt = wrote ? monotonicNow() : connection.progressedAt;
                return false;
            } else if (errno != EINTR) {
                closeConnection(connection);
                return false;
            }
        }
        connection.writtenBytes = 0;
        connection.output.clear();
        if (connection.output.capacity() > idleBufferBytes) {
            connection.output.shrink_to_fit();
        }
        connection.progressedAt = monotonicNow();
        connection.idleDeadline = connection.progressedAt + idleTimeout();
        if (connection.closing) {
            shutdown(connection.fd, SHUT_WR);
            connection.lingering = true;
            connection.writeDeadline = monotonicNow() + lingerTime;
        }
        return true;
    }

    /// Bytes that may not be read yet stay in the socket.
    void watchSocket(Connection& connection) const
    {
        const bool reads
            = mayRead(connection) || connection.lingering || connection.reader.unreadBytes() <= limits.maxHeaderBytes;
        const int in = reads ? G_IO_IN : 0;
        const int out = connection.output.empty() ? 0 : G_IO_OUT;
        watch(connection, GIOCondition(in | out));
    }

    static gboolean onReady(gpointer data)
    {
        const ReadyContext& ready = *static_cast<ReadyContext*>(data);
        State& state = *ready.state;
        const std::uint64_t number = ready.connection;
        Connection& connection = *state.connections.at(number);
        const GIOCondition events = g_source_query_unix_fd(connection.source.get(), connection.sourceTag);
        if ((events & G_IO_OUT) != 0) {
            state.process(connection);
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

    /// Refuses requests that did not arrive in time, and closes idle connections and those that are not read.
    void expireDeadlines()
    {
        const MonotonicTime now = monotonicNow();
        while (!deadlines.empty() && deadlines.begin()->first <= now) {
            Connection& connection = *connections.at(deadlines.begin()->second);
            const bool reads = !connection.lastRequestRead && connection.reader.hasPartialRequest();
            if (reads && connection.reader.deadline() <= now && connection.reader.extendDeadline(limits, now)) {
                updateDeadline(connection);
            } else if (reads && connection.reader.deadline() <= now) {
                refuse(connection, 408, "the request did not arrive in time");
                process(connection);
            } else {
                closeConnection(connection);
            }
        }
        armTimer();
    }
};

HttpServer::HttpServer(
    HttpServerLimits limits, Hooks hooks, std::shared_ptr<ClientAccount> account, const std::string& name)
    : m_state(std::make_unique<State>(limits, std::move(hooks), std::move(account), name))
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
    m_state->attachListener();
    return {};
}

bool HttpServer::hasBacklog() const
{
    pollfd waiting {m_state->listener, POLLIN, 0};
    return m_state->listener >= 0 && poll(&waiting, 1, 0) > 0;
}

void HttpServer::setLimits(const HttpServerLimits& limits)
{
    m_state->limits = limits;
    if (m_state->ownsAccount) {
        m_state->account->setBounds({limits.maxTotalBytes});
    }
}

void HttpServer::drain(Milliseconds maxIdleTime)
{
    m_state->drainIdleTimeout = maxIdleTime;
    for (auto& [number, connection] : m_state->connections) {
        connection->idleDeadline = std::min(connection->idleDeadline, monotonicNow() + maxIdleTime);
        m_state->updateDeadline(*connection);
    }
}

void HttpServer::stopListening()
{
    m_state->listenSource.reset();
    if (m_state->listener >= 0) {
        m_state->accept(); // Closing the listener would reset them.
        m_state->listenSource.reset();
        m_state->acceptTimer.arm(std::nullopt);
        close(m_state->listener);
        m_state->listener = -1;
    }
}

bool HttpServer::hasInput() const
{
    return std::any_of(m_state->connections.begin(), m_state->connections.end(), [](const auto& entry) {
        pollfd readable {entry.second->fd, POLLIN, 0};
        return !entry.second->lingering && poll(&readable, 1, 0) > 0;
    });
}

bool HttpServer::hasCallerDisconnected(std::uint64_t request) const
{
    const auto it = m_state->requests.find(request);
    if (it == m_state->requests.end()) {
        return false;
    }
    const Connection& connection = *m_state->connections.at(it->second);
    char byte = 0;
    const ssize_t n = recv(connection.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void HttpServer::answer(std::uint64_t request, CallerAnswer&& answer)
{
    const auto it = m_state->requests.find(request);
    if (it == m_state->requests.end()) {
        return;
    }
    Connection& connection = *m_state->connections.at(it->second);
    m_state->requests.erase(it);
    connection.queue.answer(request, std::move(answer));
    m_state->process(connection);
}

std::size_t HttpServer::pending() const noexcept
{
    std::size_t n = 0;
    for (const auto& [number, connection] : m_state->connections) {
        n += connection->queue.size();
        n += connection->reader.hasPartialBody() ? 1 : 0;
        n += connection->queue.empty() && !connection->output.empty() ? 1 : 0;
    }
    return n;
}

} // namespace jasminespread
