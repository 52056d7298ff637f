#include "peer/peer_transport.h"

#include <jasminespread/log_event.h>
#include <jasminespread/time.h>

#include <zmq.h>

#include <cerrno>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace jasminespread {

namespace {

/// Queue length per peer. Each heartbeat supersedes the earlier ones, so a longer queue has no value.
constexpr int sendQueueMessages = 128;
constexpr int reconnectIntervalMs = 50;
constexpr int reconnectIntervalMaxMs = 200;
constexpr int connectTimeoutMs = 500;
/// A closed connection may send what it has accepted for this long: the last messages to an instance. It can delay the
/// end of the process as much, so it is shorter than the gateway's stop margin.
constexpr int lingerMs = 200;
/// ZeroMQ pings each connection at this interval. When nothing arrives within the timeout, it closes and re-establishes
/// the connection, so that messages from before a network partition do not delay those after it.
constexpr int connectionCheckIntervalMs = 500;
constexpr int connectionCheckTimeoutMs = 1500;
/// Messages handled per dispatch by the main loop, so that a flood of messages does not delay ticks.
constexpr int messagesPerDispatch = 64;
constexpr Milliseconds rejectLogInterval {1000};

struct SocketCloser {
    void operator()(void* socket) const noexcept { zmq_close(socket); }
};
using SocketPtr = std::unique_ptr<void, SocketCloser>;

struct ContextCloser {
    void operator()(void* context) const noexcept { zmq_ctx_term(context); }
};
using ContextPtr = std::unique_ptr<void, ContextCloser>;

class ZmqMessage {
public:
    ZmqMessage() noexcept { zmq_msg_init(&m_message); }
    ~ZmqMessage() { zmq_msg_close(&m_message); }
    ZmqMessage(const ZmqMessage&) = delete;
    ZmqMessage& operator=(const ZmqMessage&) = delete;

    [[nodiscard]] zmq_msg_t* get() noexcept { return &m_message; }

private:
    zmq_msg_t m_message {};
};

/// Returns the IP address of "ip:port" or "[ip]:port".
std::string hostOf(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    std::string_view host = address.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    return std::string(host);
}

bool isWildcard(const std::string& host) { return host.empty() || host == "0.0.0.0" || host == "::" || host == "*"; }

void setOption(void* socket, int option, int value) { zmq_setsockopt(socket, option, &value, sizeof(value)); }

void setConnectionOptions(void* socket, std::string_view address)
{
    setOption(socket, ZMQ_LINGER, lingerMs);
    setOption(socket, ZMQ_IPV6, address.starts_with('[') ? 1 : 0);
    setOption(socket, ZMQ_HEARTBEAT_IVL, connectionCheckIntervalMs);
    setOption(socket, ZMQ_HEARTBEAT_TIMEOUT, connectionCheckTimeoutMs);
}

/// Main loop source for the PULL socket. ZMQ_FD is edge-triggered: it becomes readable when ZMQ_EVENTS may have
/// changed, so both prepare() and check() read ZMQ_EVENTS.
struct PullSource {
    GSource base;
    void* socket;

    static bool isReadable(GSource* source) noexcept
    {
        int events = 0;
        std::size_t size = sizeof(events);
        return zmq_getsockopt(reinterpret_cast<PullSource*>(source)->socket, ZMQ_EVENTS, &events, &size) == 0
            && (events & ZMQ_POLLIN) != 0;
    }
    static gboolean prepare(GSource* source, gint* timeout)
    {
        *timeout = -1;
        return isReadable(source) ? TRUE : FALSE;
    }
    static gboolean check(GSource* source) { return isReadable(source) ? TRUE : FALSE; }
    static gboolean dispatch(GSource*, GSourceFunc callback, gpointer data) { return callback(data); }
};

/// Names of messages in labels of metrics, as in peer.proto.
constexpr std::array<EnumName<wire::Envelope::MessageCase>, 17> messageNames {{
    {wire::Envelope::kHeartbeat, "heartbeat"},
    {wire::Envelope::kHeartbeatReply, "heartbeat_reply"},
    {wire::Envelope::kGroupView, "group_view"},
    {wire::Envelope::kViewRequest, "view_request"},
    {wire::Envelope::kConfigurationRevision, "configuration_revision"},
    {wire::Envelope::kConfigurationRequest, "configuration_request"},
    {wire::Envelope::kConfigurationAck, "configuration_ack"},
    {wire::Envelope::kHotKeyReport, "hot_key_report"},
    {wire::Envelope::kForwardRequest, "forward_request"},
    {wire::Envelope::kForwardAnswer, "forward_answer"},
    {wire::Envelope::kForwardCancel, "forward_cancel"},
    {wire::Envelope::kDeclaration, "declaration"},
    {wire::Envelope::kRangeLeaderHeartbeat, "range_leader_heartbeat"},
    {wire::Envelope::kInstanceReport, "instance_report"},
    {wire::Envelope::kRangeTableView, "range_table_view"},
    {wire::Envelope::kFeedChange, "feed_change"},
    {wire::Envelope::kRangeLeaderChange, "range_leader_change"},
}};

GSourceFuncs pullSourceFuncs {PullSource::prepare, PullSource::check, PullSource::dispatch, nullptr, nullptr, nullptr};

} // namespace

struct PeerTransport::State {
    struct Peer {
        std::string address;
        SocketPtr socket;
    };
    using ByteCounters = std::map<wire::Envelope::MessageCase, MetricsRegistry::Counter*>;

    Limits limits;
    std::string self;
    std::uint64_t incarnation;
    std::string controlAddress;
    std::map<std::string, InstanceSettings::PeerAddress> overrides;
    Receiver receiver;
    MetricsRegistry::Counter& receivedCounter;
    MetricsRegistry::Counter& rejectedCounter;
    MetricsRegistry::Counter& sentCounter;
    MetricsRegistry::Counter& droppedSendCounter;
    MetricsRegistry& registry;
    ByteCounters sentBytes;
    ByteCounters receivedBytes;
    ContextPtr context {zmq_ctx_new()};
    SocketPtr pullSocket;
    GSource* source = nullptr;
    std::map<std::string, Peer> peers;
    std::set<std::string> allowedHosts;
    bool acceptsUnlistedSenders = false;
    std::uint64_t rejected = 0;
    std::uint64_t rejectedSinceLastLog = 0;
    std::optional<MonotonicTime> lastRejectLog;

    State(const InstanceSettings& settings, std::uint64_t ownIncarnation, MetricsRegistry& metrics,
        Receiver messageReceiver)
        : self(settings.instance)
        , incarnation(ownIncarnation)
        , controlAddress(settings.controlAddress)
        , overrides(settings.addressOverrides)
        , receiver(std::move(messageReceiver))
        , receivedCounter(
              metrics.counter("jasminespread_peer_messages_received_total", "", "Accepted control messages."))
        , rejectedCounter(metrics.counter("jasminespread_peer_messages_rejected_total", "",
              "Control messages dropped because of their address, size, version or content."))
        , sentCounter(
              metrics.counter("jasminespread_peer_messages_sent_total", "", "Control messages handed to ZeroMQ."))
        , droppedSendCounter(metrics.counter("jasminespread_peer_messages_send_dropped_total", "",
              "Control messages not sent because the peer is unknown, not connected or too slow."))
        , registry(metrics)
    {
    }

    ~State()
    {
        if (source) {
            g_source_destroy(source);
            g_source_unref(source);
        }
        peers.clear();
        pullSocket.reset();
    }

    void reject(const std::string& address, std::string_view reason)
    {
        ++rejected;
        ++rejectedSinceLastLog;
        rejectedCounter.add();
        const MonotonicTime now = monotonicNow();
        if (lastRejectLog && now - *lastRejectLog < rejectLogInterval) {
            return;
        }
        logEvent(LogEvent::PeerMessageRejected,
            "address=" + address + " reason=" + std::string(reason) + " count=" + std::to_string(rejectedSinceLastLog));
        lastRejectLog = now;
        rejectedSinceLastLog = 0;
    }

    /// Counts the bytes of a message by its kind.
    void addBytes(
        ByteCounters& counters, const char* name, const char* help, const wire::Envelope& envelope, std::size_t bytes)
    {
        MetricsRegistry::Counter*& counter = counters[envelope.message_case()];
        if (counter == nullptr) {
            counter = &registry.counter(
                name, "message=\"" + std::string(enumName(messageNames, envelope.message_case())) + '"', help);
        }
        counter->add(bytes);
    }

    /// Receives and drops the remaining parts of a multi-part message.
    void dropRemainingParts(zmq_msg_t* first)
    {
        bool more = zmq_msg_more(first) != 0;
        while (more) {
            ZmqMessage part;
            if (zmq_msg_recv(part.get(), pullSocket.get(), ZMQ_DONTWAIT) < 0) {
                return;
            }
            more = zmq_msg_more(part.get()) != 0;
        }
    }

    void accept(zmq_msg_t* message)
    {
        const char* property = zmq_msg_gets(message, "Peer-Address");
        const std::string address = property ? property : "";
        if (!acceptsUnlistedSenders && !allowedHosts.contains(address)) {
            reject(address, "unknown-address");
            return;
        }
        const std::size_t size = zmq_msg_size(message);
        if (zmq_msg_more(message) != 0 || size > limits.maxMessageBytes) {
            dropRemainingParts(message);
            reject(address, "size");
            return;
        }
        wire::Envelope envelope;
        if (!envelope.ParseFromArray(zmq_msg_data(message), static_cast<int>(size))) {
            reject(address, "unreadable");
            return;
        }
        if (envelope.protocol_version() != peerProtocolVersion) {
            reject(address, "protocol-version");
            return;
        }
        if (envelope.sender().id().empty() || envelope.sender().incarnation() == 0
            || envelope.message_case() == wire::Envelope::MESSAGE_NOT_SET) {
            reject(address, "incomplete");
            return;
        }
        receivedCounter.add();
        addBytes(receivedBytes, "jasminespread_peer_bytes_received_total", "Bytes of accepted control messages.",
            envelope, size);
        receiver(std::move(envelope));
    }

    static gboolean onReadable(gpointer data)
    {
        State& state = *static_cast<State*>(data);
        for (int i = 0; i < messagesPerDispatch; ++i) {
            ZmqMessage message;
            if (zmq_msg_recv(message.get(), state.pullSocket.get(), ZMQ_DONTWAIT) < 0) {
                break;
            }
            state.accept(message.get());
        }
        return G_SOURCE_CONTINUE;
    }

    /// Connects from the IP address of this instance's control address, because peers accept listed addresses only.
    [[nodiscard]] SocketPtr connect(const std::string& address)
    {
        SocketPtr socket(zmq_socket(context.get(), ZMQ_PUSH));
        setConnectionOptions(socket.get(), address);
        setOption(socket.get(), ZMQ_SNDHWM, sendQueueMessages);
        setOption(socket.get(), ZMQ_IMMEDIATE, 1);
        setOption(socket.get(), ZMQ_RECONNECT_IVL, reconnectIntervalMs);
        setOption(socket.get(), ZMQ_RECONNECT_IVL_MAX, reconnectIntervalMaxMs);
        setOption(socket.get(), ZMQ_CONNECT_TIMEOUT, connectTimeoutMs);
        const std::string ownHost = controlAddress.substr(0, controlAddress.rfind(':'));
        const std::string from = isWildcard(hostOf(controlAddress)) ? "" : ownHost + ":0;";
        if (zmq_connect(socket.get(), ("tcp://" + from + address).c_str()) != 0) {
            return nullptr;
        }
        return socket;
    }
};

PeerTransport::PeerTransport(
    const InstanceSettings& settings, std::uint64_t incarnation, MetricsRegistry& metrics, Receiver receiver)
    : m_state(std::make_unique<State>(settings, incarnation, metrics, std::move(receiver)))
{
}

PeerTransport::~PeerTransport() = default;

void PeerTransport::setLimits(const Limits& limits) { m_state->limits = limits; }

Result<void> PeerTransport::start(GMainContext* context)
{
    State& state = *m_state;
    state.pullSocket.reset(zmq_socket(state.context.get(), ZMQ_PULL));
    setConnectionOptions(state.pullSocket.get(), state.controlAddress);
    setOption(state.pullSocket.get(), ZMQ_RCVHWM, state.limits.receiveQueueMessages);
    // A larger message closes the connection before it is buffered.
    const std::int64_t limit = state.limits.maxMessageBytes;
    zmq_setsockopt(state.pullSocket.get(), ZMQ_MAXMSGSIZE, &limit, sizeof(limit));
    if (zmq_bind(state.pullSocket.get(), ("tcp://" + state.controlAddress).c_str()) != 0) {
        const int code = errno;
        return fail(code == EADDRINUSE ? ErrorKind::AddressInUse : ErrorKind::InvalidInput,
            "control address " + state.controlAddress + ": " + zmq_strerror(code)
                + "; set controlAddress to a free IP address and port of this machine");
    }
    int fd = -1;
    std::size_t size = sizeof(fd);
    zmq_getsockopt(state.pullSocket.get(), ZMQ_FD, &fd, &size);
    state.source = g_source_new(&pullSourceFuncs, sizeof(PullSource));
    reinterpret_cast<PullSource*>(state.source)->socket = state.pullSocket.get();
    g_source_set_name(state.source, "peer messages");
    g_source_add_unix_fd(state.source, fd, G_IO_IN);
    g_source_set_callback(state.source, State::onReadable, &state, nullptr);
    g_source_attach(state.source, context);
    return {};
}

void PeerTransport::setPeers(const std::vector<InstanceEntry>& peers)
{
    State& state = *m_state;
    std::map<std::string, State::Peer> updatedPeers;
    state.allowedHosts.clear();
    for (const auto& [id, address] : state.overrides) {
        if (!address.control.empty()) {
            state.allowedHosts.insert(hostOf(address.control));
        }
    }
    for (const InstanceEntry& entry : peers) {
        if (entry.id == state.self || entry.controlAddress.empty()) {
            continue;
        }
        state.allowedHosts.insert(hostOf(entry.controlAddress));
        const auto addressOverride = state.overrides.find(entry.id);
        const std::string& address
            = addressOverride != state.overrides.end() && !addressOverride->second.control.empty()
            ? addressOverride->second.control
            : entry.controlAddress;
        const auto it = state.peers.find(entry.id);
        if (it != state.peers.end() && it->second.address == address) {
            updatedPeers[entry.id] = std::move(it->second);
        } else if (SocketPtr socket = state.connect(address)) {
            updatedPeers[entry.id] = State::Peer {address, std::move(socket)};
        }
    }
    state.peers = std::move(updatedPeers);
}

void PeerTransport::acceptUnlistedSenders() { m_state->acceptsUnlistedSenders = true; }

bool PeerTransport::send(const std::string& to, wire::Envelope envelope)
{
    State& state = *m_state;
    const auto it = state.peers.find(to);
    if (it == state.peers.end()) {
        state.droppedSendCounter.add();
        return false;
    }
    envelope.set_protocol_version(peerProtocolVersion);
    envelope.mutable_sender()->set_id(state.self);
    envelope.mutable_sender()->set_incarnation(state.incarnation);
    const std::string bytes = envelope.SerializeAsString();
    if (bytes.size() > state.limits.maxMessageBytes
        || zmq_send(it->second.socket.get(), bytes.data(), bytes.size(), ZMQ_DONTWAIT) < 0) {
        state.droppedSendCounter.add();
        return false;
    }
    state.sentCounter.add();
    state.addBytes(state.sentBytes, "jasminespread_peer_bytes_sent_total",
        "Bytes of control messages handed to ZeroMQ.", envelope, bytes.size());
    return true;
}

std::uint64_t PeerTransport::rejectedMessages() const noexcept { return m_state->rejected; }

} // namespace jasminespread
