#include "daemon/forward_sockets.h"

#include "base/glib_pointer.h"

#include <glib.h>
#include <zmq.h>

#include <deque>
#include <unordered_map>

namespace jasminespread {
namespace {

constexpr int sendHighWaterMark = 1000; ///< Messages.
constexpr int receiveHighWaterMark = 4000; ///< Messages.
constexpr int listenBacklog = 1024;
constexpr std::size_t maxBufferedMessages = 1000; ///< Per connection.
constexpr std::uint64_t envelopeOverheadBytes = 65'536; ///< Allowance for everything in an envelope but the body.
constexpr int maxMessagesPerDispatch = 64;
constexpr std::chrono::seconds connectionIdleTimeout {60};

struct ZmqSocketDeleter {
    void operator()(void* socket) const noexcept { zmq_close(socket); }
};
using ZmqSocket = std::unique_ptr<void, ZmqSocketDeleter>;

void setOption(void* socket, int option, int value) { zmq_setsockopt(socket, option, &value, sizeof value); }

bool isReadable(void* socket)
{
    int events = 0;
    std::size_t size = sizeof events;
    return zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size) == 0 && (events & ZMQ_POLLIN) != 0;
}

/// GSource on ZMQ_FD. The descriptor is edge-triggered, so each step checks ZMQ_EVENTS.
struct SocketSource {
    GSource base;
    void* socket;
};

gboolean prepareSource(GSource* source, gint* timeout)
{
    *timeout = -1;
    return isReadable(reinterpret_cast<SocketSource*>(source)->socket) ? TRUE : FALSE;
}

gboolean checkSource(GSource* source)
{
    return isReadable(reinterpret_cast<SocketSource*>(source)->socket) ? TRUE : FALSE;
}

gboolean dispatchSource(GSource*, GSourceFunc callback, gpointer data) { return callback(data); }

GSourceFuncs sourceFunctions {prepareSource, checkSource, dispatchSource, nullptr, nullptr, nullptr};

} // namespace

struct ForwardSockets::State {
    struct BufferedMessage {
        std::string bytes;
        MonotonicTime expires;
    };
    struct Connection {
        ZmqSocket socket;
        std::deque<BufferedMessage> buffered;
        MonotonicTime lastUsed;
    };

    void* context = nullptr;
    std::uint64_t maxMessageBytes = 0;
    int lingerMs = 0;
    Hooks hooks;
    ZmqSocket pullSocket;
    std::string localIp; ///< Set by bind(); source address of outgoing connections.
    GSourcePointer source;
    std::unordered_map<std::string, Connection> connections;

    Connection& connectionTo(const std::string& address)
    {
        Connection& connection = connections[address];
        connection.lastUsed = monotonicNow();
        if (!connection.socket) {
            connection.socket.reset(zmq_socket(context, ZMQ_PUSH));
            void* socket = connection.socket.get();
            setOption(socket, ZMQ_LINGER, lingerMs);
            setOption(socket, ZMQ_SNDHWM, sendHighWaterMark);
            // Otherwise messages queue for a disconnected peer and arrive long after their deadline.
            setOption(socket, ZMQ_IMMEDIATE, 1);
            setOption(socket, ZMQ_RECONNECT_IVL, 20);
            setOption(socket, ZMQ_RECONNECT_IVL_MAX, 500);
            // Sets the source address, because receivers accept messages only from IP addresses of listed instances.
            zmq_connect(socket, ("tcp://" + localIp + ":0;" + address).c_str());
        }
        return connection;
    }

    static bool trySend(Connection& connection, const std::string& bytes)
    {
        return zmq_send(connection.socket.get(), bytes.data(), bytes.size(), ZMQ_DONTWAIT) >= 0;
    }

    static gboolean onReadable(gpointer data)
    {
        State& state = *static_cast<State*>(data);
        for (int n = 0; n < maxMessagesPerDispatch; ++n) {
            zmq_msg_t message;
            zmq_msg_init(&message);
            if (zmq_msg_recv(&message, state.pullSocket.get(), ZMQ_DONTWAIT) < 0) {
                zmq_msg_close(&message);
                break;
            }
            const char* address = zmq_msg_gets(&message, "Peer-Address");
            const std::string peerIp = address == nullptr ? "" : address;
            wire::Envelope envelope;
            const bool parsed
                = envelope.ParseFromArray(zmq_msg_data(&message), static_cast<int>(zmq_msg_size(&message)));
            zmq_msg_close(&message);
            if (parsed) {
                state.hooks.received(std::move(envelope), peerIp);
            } else {
                state.hooks.unreadable(peerIp);
            }
        }
        return G_SOURCE_CONTINUE;
    }
};

ForwardSockets::ForwardSockets(void* context, std::uint64_t maxMessageBytes, Hooks hooks)
    : m_state(std::make_unique<State>())
{
    m_state->context = context;
    m_state->maxMessageBytes = maxMessageBytes;
    m_state->hooks = std::move(hooks);
}

ForwardSockets::~ForwardSockets() = default;

Result<void> ForwardSockets::bind(const std::string& address)
{
    m_state->localIp = address.substr(0, address.rfind(':'));
    m_state->pullSocket.reset(zmq_socket(m_state->context, ZMQ_PULL));
    void* socket = m_state->pullSocket.get();
    setOption(socket, ZMQ_LINGER, 0);
    setOption(socket, ZMQ_RCVHWM, receiveHighWaterMark);
    setOption(socket, ZMQ_BACKLOG, listenBacklog);
    const auto maxSize = static_cast<std::int64_t>(m_state->maxMessageBytes + envelopeOverheadBytes);
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &maxSize, sizeof maxSize);
    if (zmq_bind(socket, ("tcp://" + address).c_str()) != 0) {
        const int ec = zmq_errno();
        return fail(ec == EADDRINUSE ? ErrorKind::AddressInUse : ErrorKind::InvalidInput,
            "cannot bind " + address + " for forwarded requests: " + zmq_strerror(ec)
                + "; check forwardAddress in the settings");
    }
    int fd = -1;
    std::size_t size = sizeof fd;
    zmq_getsockopt(socket, ZMQ_FD, &fd, &size);
    m_state->source.reset(g_source_new(&sourceFunctions, sizeof(SocketSource)));
    GSource* source = m_state->source.get();
    reinterpret_cast<SocketSource*>(source)->socket = socket;
    g_source_add_unix_fd(source, fd, G_IO_IN);
    g_source_set_callback(source, State::onReadable, m_state.get(), nullptr);
    g_source_attach(source, g_main_context_get_thread_default());
    return {};
}

void ForwardSockets::connect(const std::string& address) { m_state->connectionTo(address); }

bool ForwardSockets::send(const std::string& address, const wire::Envelope& envelope)
{
    return State::trySend(m_state->connectionTo(address), envelope.SerializeAsString());
}

void ForwardSockets::sendOrBuffer(const std::string& address, const wire::Envelope& envelope, MonotonicTime expires)
{
    State::Connection& connection = m_state->connectionTo(address);
    std::string bytes = envelope.SerializeAsString();
    if (!connection.buffered.empty() || !State::trySend(connection, bytes)) {
        if (connection.buffered.size() >= maxBufferedMessages) {
            connection.buffered.pop_front();
        }
        connection.buffered.push_back({std::move(bytes), expires});
    }
}

void ForwardSockets::flush(MonotonicTime now)
{
    for (auto it = m_state->connections.begin(); it != m_state->connections.end();) {
        State::Connection& connection = it->second;
        while (!connection.buffered.empty()
            && (connection.buffered.front().expires <= now
                || State::trySend(connection, connection.buffered.front().bytes))) {
            connection.buffered.pop_front();
        }
        const bool idle = connection.buffered.empty() && now - connection.lastUsed > connectionIdleTimeout;
        it = idle ? m_state->connections.erase(it) : std::next(it);
    }
}

std::size_t ForwardSockets::bufferedMessages() const noexcept
{
    std::size_t n = 0;
    for (const auto& [address, connection] : m_state->connections) {
        n += connection.buffered.size();
    }
    return n;
}

void ForwardSockets::setLinger(Milliseconds time)
{
    m_state->lingerMs = static_cast<int>(time.count());
    for (const auto& [address, connection] : m_state->connections) {
        setOption(connection.socket.get(), ZMQ_LINGER, m_state->lingerMs);
    }
}

} // namespace jasminespread
