#include <http_server.h>
#include <main_loop.h>
#include <program.h>

#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <gio/gio.h>
#include <iostream>
#include <set>
#include <sys/socket.h>

namespace jasminespread::standins {

namespace json = boost::json;

namespace {

constexpr std::size_t chunkBytes = 16'384;

/// Direction of bytes through the proxy.
enum class Direction : std::uint8_t { ToServer, ToClient };

enum class Mode : std::uint8_t {
    Pass,
    Cut, ///< New connections are refused and open ones are reset.
    BlackHole ///< Connections are accepted, but no bytes are forwarded in the stalled directions.
};

constexpr std::array<EnumName<Mode>, 3> modeNames {{
    {Mode::Pass, "pass"},
    {Mode::Cut, "cut"},
    {Mode::BlackHole, "black-hole"},
}};

struct Behaviour {
    Mode mode = Mode::Pass;
    std::array<bool, 2> stalled {true, true}; ///< By direction; applies in mode black-hole only.
    Milliseconds delay {0}; ///< Added before each chunk is forwarded, in both directions.
    std::array<std::optional<std::uint64_t>, 2> resetAfterBytes; ///< By direction; then both sides are reset.
    std::optional<std::uint64_t> truncateAfterBytes; ///< Bytes to the client; then both sides close without reset.
};

struct Counters {
    std::uint64_t connections = 0;
    std::uint64_t resets = 0;
    std::uint64_t truncated = 0;
    std::array<std::uint64_t, 2> bytes {};
};

class FaultProxy;

/// A client connection with its connection to the target. Owned by the proxy and by its own pending operations.
class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection> {
public:
    ProxiedConnection(FaultProxy& proxy, GSocketConnection* client)
        : m_proxy(proxy)
        , m_sides {G_SOCKET_CONNECTION(g_object_ref(client)), nullptr}
        , m_cancellable(g_cancellable_new())
    {
    }

    ~ProxiedConnection()
    {
        for (GSocketConnection* side : m_sides) {
            if (side != nullptr) {
                g_io_stream_close(G_IO_STREAM(side), nullptr, nullptr);
                g_object_unref(side);
            }
        }
        g_object_unref(m_cancellable);
    }

    ProxiedConnection(const ProxiedConnection&) = delete;
    ProxiedConnection& operator=(const ProxiedConnection&) = delete;

    void start();
    /// Continues to forward in directions that are no longer stalled.
    void resume();
    /// Closes both sides, with a TCP reset if @p reset is true.
    void close(bool reset);

private:
    struct DirectionState {
        std::array<char, chunkBytes> buffer {};
        std::size_t bufferedBytes = 0;
        std::uint64_t forwardedBytes = 0;
        bool isWaitingForResume = false; ///< Stalled with `bufferedBytes` bytes to forward.
        bool inputEnded = false;
    };

    /// User data of an asynchronous operation; keeps the connection alive until the operation ends.
    struct PendingOperation {
        std::shared_ptr<ProxiedConnection> connection;
        Direction direction;
    };

    static void onConnected(GObject* source, GAsyncResult* result, gpointer data);
    static void onRead(GObject* source, GAsyncResult* result, gpointer data);
    static void onWritten(GObject* source, GAsyncResult* result, gpointer data);

    void read(Direction direction);
    void forward(Direction direction);
    void write(Direction direction);
    void handleEndOfInput(Direction direction);

    [[nodiscard]] DirectionState& stateOf(Direction direction)
    {
        return m_directionStates[static_cast<std::size_t>(direction)];
    }
    [[nodiscard]] GSocketConnection* sourceOf(Direction direction) const
    {
        return m_sides[direction == Direction::ToServer ? 0 : 1];
    }
    [[nodiscard]] GSocketConnection* destinationOf(Direction direction) const
    {
        return m_sides[direction == Direction::ToServer ? 1 : 0];
    }

    FaultProxy& m_proxy;
    std::array<GSocketConnection*, 2> m_sides; ///< Client, server.
    std::array<DirectionState, 2> m_directionStates;
    GCancellable* m_cancellable;
    bool m_closed = false;
};

GSocketAddress* parseAddress(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    guint64 port = 0;
    if (colon == std::string::npos
        || g_ascii_string_to_unsigned(address.c_str() + colon + 1, 10, 0, 65535, &port, nullptr) == 0) {
        return nullptr;
    }
    return g_inet_socket_address_new_from_string(address.substr(0, colon).c_str(), static_cast<guint>(port));
}

class FaultProxy {
public:
    FaultProxy(std::string listen, std::string target, const std::string& source)
        : m_listen(std::move(listen))
        , m_target(std::move(target))
        , m_connector(g_socket_client_new())
        , m_adminServer([this](const std::shared_ptr<HttpExchange>& exchange) { handleAdmin(exchange); })
    {
        if (!source.empty()) {
            GSocketAddress* address = parseAddress(source + ":0");
            g_socket_client_set_local_address(m_connector, address);
            g_clear_object(&address);
        }
        g_socket_client_set_enable_proxy(m_connector, false);
    }

    ~FaultProxy()
    {
        stopListening();
        g_object_unref(m_connector);
    }

    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    Result<void> start(const std::string& adminAddress)
    {
        if (!adminAddress.empty()) {
            BOOST_LEAF_CHECK(m_adminServer.listen(adminAddress));
        }
        return listen();
    }

    [[nodiscard]] const Behaviour& behaviour() const noexcept { return m_behaviour; }
    [[nodiscard]] Counters& counters() noexcept { return m_counters; }
    [[nodiscard]] GSocketClient* connector() const noexcept { return m_connector; }
    [[nodiscard]] const std::string& target() const noexcept { return m_target; }

    [[nodiscard]] bool isStalled(Direction direction) const noexcept
    {
        return m_behaviour.mode == Mode::BlackHole && m_behaviour.stalled[static_cast<std::size_t>(direction)];
    }

    void removeConnection(const std::shared_ptr<ProxiedConnection>& connection) { m_openConnections.erase(connection); }

private:
    Result<void> listen()
    {
        GSocketAddress* address = parseAddress(m_listen);
        if (address == nullptr) {
            return fail(ErrorKind::InvalidInput,
                "\"" + m_listen + "\" is not an IP address and port; write it as 127.0.0.1:8080");
        }
        m_listener = g_socket_service_new();
        GError* error = nullptr;
        const gboolean listening = g_socket_listener_add_address(G_SOCKET_LISTENER(m_listener), address,
            G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, &error);
        g_object_unref(address);
        if (listening == 0) {
            const std::string reason = error->message;
            g_error_free(error);
            return fail(ErrorKind::AddressInUse, "cannot listen on " + m_listen + ": " + reason);
        }
        g_signal_connect(m_listener, "incoming", G_CALLBACK(onIncoming), this);
        return {};
    }

    void stopListening()
    {
        if (m_listener != nullptr) {
            g_socket_service_stop(m_listener);
            g_socket_listener_close(G_SOCKET_LISTENER(m_listener));
            g_clear_object(&m_listener);
        }
    }

    static gboolean onIncoming(
        GSocketService* /*service*/, GSocketConnection* accepted, GObject* /*source*/, gpointer data)
    {
        FaultProxy* self = static_cast<FaultProxy*>(data);
        ++self->m_counters.connections;
        const std::shared_ptr<ProxiedConnection> connection = std::make_shared<ProxiedConnection>(*self, accepted);
        self->m_openConnections.insert(connection);
        connection->start();
        return 1;
    }

    void applyBehaviour(const Behaviour& behaviour)
    {
        m_behaviour = behaviour;
        const std::set<std::shared_ptr<ProxiedConnection>> openConnections = m_openConnections;
        if (m_behaviour.mode == Mode::Cut) {
            stopListening();
            for (const std::shared_ptr<ProxiedConnection>& connection : openConnections) {
                connection->close(true);
            }
            return;
        }
        if (m_listener == nullptr) {
            handleError([this] { return listen(); },
                [](const Error& error) { std::cerr << "fault-proxy: " << describe(error) << "\n"; });
        }
        for (const std::shared_ptr<ProxiedConnection>& connection : openConnections) {
            connection->resume();
        }
    }

    static Behaviour parseBehaviour(const std::string& text)
    {
        Behaviour behaviour;
        const json::value body = json::parse(text);
        for (const auto& [name, value] : body.as_object()) {
            if (name == "mode") {
                const std::optional<Mode> mode = enumValue(modeNames, value.as_string());
                if (!mode) {
                    throw std::invalid_argument("unknown mode; use pass, cut or black-hole");
                }
                behaviour.mode = *mode;
            } else if (name == "stall") {
                const std::string_view stalledDirection = value.as_string();
                behaviour.stalled = {stalledDirection != "to-client", stalledDirection != "to-server"};
            } else if (name == "delayMs") {
                behaviour.delay = Milliseconds(value.to_number<std::uint32_t>());
            } else if (name == "resetAfterToServer") {
                behaviour.resetAfterBytes[0] = value.to_number<std::uint64_t>();
            } else if (name == "resetAfterToClient") {
                behaviour.resetAfterBytes[1] = value.to_number<std::uint64_t>();
            } else if (name == "truncateAfter") {
                behaviour.truncateAfterBytes = value.to_number<std::uint64_t>();
            } else {
                throw std::invalid_argument("unknown field " + std::string(name));
            }
        }
        return behaviour;
    }

    void handleAdmin(const std::shared_ptr<HttpExchange>& exchange)
    {
        if (exchange->path() == "/admin/behaviour" && exchange->method() == "PUT") {
            try {
                applyBehaviour(parseBehaviour(exchange->body()));
                exchange->answer(200, "{}");
            } catch (const std::exception& error) {
                exchange->answer(400, json::serialize(json::object {{"error", error.what()}}));
            }
        } else if (exchange->path() == "/admin/counters" && exchange->method() == "GET") {
            exchange->answer(200,
                json::serialize(json::object {{"connections", m_counters.connections}, {"resets", m_counters.resets},
                    {"truncated", m_counters.truncated}, {"bytesToServer", m_counters.bytes[0]},
                    {"bytesToClient", m_counters.bytes[1]}, {"open", m_openConnections.size()}}));
        } else {
            exchange->answer(404, R"({"error":"no resource at this path with this method"})");
        }
    }

    std::string m_listen;
    std::string m_target;
    Behaviour m_behaviour;
    Counters m_counters;
    GSocketClient* m_connector;
    GSocketService* m_listener = nullptr;
    std::set<std::shared_ptr<ProxiedConnection>> m_openConnections;
    HttpServer m_adminServer;
};

void ProxiedConnection::start()
{
    GSocketAddress* address = parseAddress(m_proxy.target());
    g_socket_client_connect_async(m_proxy.connector(), G_SOCKET_CONNECTABLE(address), m_cancellable, onConnected,
        new PendingOperation {shared_from_this(), Direction::ToServer});
    g_object_unref(address);
}

void ProxiedConnection::onConnected(GObject* source, GAsyncResult* result, gpointer data)
{
    const std::unique_ptr<PendingOperation> operation(static_cast<PendingOperation*>(data));
    ProxiedConnection& connection = *operation->connection;
    GSocketConnection* server = g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, nullptr);
    if (server == nullptr) {
        connection.close(true);
        return;
    }
    connection.m_sides[1] = server;
    if (connection.m_closed) {
        return;
    }
    connection.read(Direction::ToServer);
    connection.read(Direction::ToClient);
}

void ProxiedConnection::read(Direction direction)
{
    if (m_closed) {
        return;
    }
    GInputStream* input = g_io_stream_get_input_stream(G_IO_STREAM(sourceOf(direction)));
    g_input_stream_read_async(input, stateOf(direction).buffer.data(), chunkBytes, G_PRIORITY_DEFAULT, m_cancellable,
        onRead, new PendingOperation {shared_from_this(), direction});
}

void ProxiedConnection::onRead(GObject* source, GAsyncResult* result, gpointer data)
{
    const std::unique_ptr<PendingOperation> operation(static_cast<PendingOperation*>(data));
    ProxiedConnection& connection = *operation->connection;
    const Direction direction = operation->direction;
    const gssize n = g_input_stream_read_finish(G_INPUT_STREAM(source), result, nullptr);
    if (connection.m_closed) {
        return;
    }
    if (n < 0) {
        connection.close(true);
        return;
    }
    connection.stateOf(direction).bufferedBytes = static_cast<std::size_t>(n);
    const Milliseconds delay = connection.m_proxy.behaviour().delay;
    if (delay.count() > 0) {
        startTimer(delay, [self = operation->connection, direction] { self->forward(direction); });
    } else {
        connection.forward(direction);
    }
}

void ProxiedConnection::forward(Direction direction)
{
    if (m_closed) {
        return;
    }
    DirectionState& state = stateOf(direction);
    if (m_proxy.isStalled(direction)) {
        state.isWaitingForResume = true;
        return;
    }
    if (state.bufferedBytes == 0) {
        handleEndOfInput(direction);
        return;
    }
    const Behaviour& behaviour = m_proxy.behaviour();
    const std::optional<std::uint64_t> resetLimit = behaviour.resetAfterBytes[static_cast<std::size_t>(direction)];
    const bool mayTruncate = direction == Direction::ToClient && behaviour.truncateAfterBytes.has_value();
    if (resetLimit || mayTruncate) {
        const std::uint64_t limitBytes
            = std::min(resetLimit.value_or(UINT64_MAX), mayTruncate ? *behaviour.truncateAfterBytes : UINT64_MAX);
        const std::uint64_t allowedBytes = limitBytes - std::min(limitBytes, state.forwardedBytes);
        if (allowedBytes < state.bufferedBytes) {
            // The bytes up to the limit are sent without waiting; they fit into the send buffer of an idle socket.
            GSocket* socket = g_socket_connection_get_socket(destinationOf(direction));
            g_socket_send(socket, state.buffer.data(), static_cast<gsize>(allowedBytes), nullptr, nullptr);
            const bool isReset = resetLimit && *resetLimit == limitBytes;
            ++(isReset ? m_proxy.counters().resets : m_proxy.counters().truncated);
            close(isReset);
            return;
        }
    }
    write(direction);
}

void ProxiedConnection::write(Direction direction)
{
    const DirectionState& state = stateOf(direction);
    GOutputStream* output = g_io_stream_get_output_stream(G_IO_STREAM(destinationOf(direction)));
    g_output_stream_write_all_async(output, state.buffer.data(), state.bufferedBytes, G_PRIORITY_DEFAULT, m_cancellable,
        onWritten, new PendingOperation {shared_from_this(), direction});
}

void ProxiedConnection::onWritten(GObject* source, GAsyncResult* result, gpointer data)
{
    const std::unique_ptr<PendingOperation> operation(static_cast<PendingOperation*>(data));
    ProxiedConnection& connection = *operation->connection;
    const bool isWritten = g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result, nullptr, nullptr) != 0;
    if (connection.m_closed) {
        return;
    }
    if (!isWritten) {
        connection.close(true);
        return;
    }
    DirectionState& state = connection.stateOf(operation->direction);
    state.forwardedBytes += state.bufferedBytes;
    connection.m_proxy.counters().bytes[static_cast<std::size_t>(operation->direction)] += state.bufferedBytes;
    connection.read(operation->direction);
}

void ProxiedConnection::handleEndOfInput(Direction direction)
{
    stateOf(direction).inputEnded = true;
    if (m_directionStates[0].inputEnded && m_directionStates[1].inputEnded) {
        close(false);
    } else {
        g_socket_shutdown(g_socket_connection_get_socket(destinationOf(direction)), false, true, nullptr);
    }
}

void ProxiedConnection::resume()
{
    for (const Direction direction : {Direction::ToServer, Direction::ToClient}) {
        if (stateOf(direction).isWaitingForResume && !m_proxy.isStalled(direction)) {
            stateOf(direction).isWaitingForResume = false;
            forward(direction);
        }
    }
}

void ProxiedConnection::close(bool reset)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    for (GSocketConnection* side : m_sides) {
        if (side != nullptr && reset) {
            // Disconnecting resets the connection at once; the close below waits for pending operations.
            const sockaddr nowhere {AF_UNSPEC, {}};
            const int fd = g_socket_get_fd(g_socket_connection_get_socket(side));
            (void)::connect(fd, &nowhere, sizeof nowhere);
        }
    }
    // Pending operations fail and release their references to this object; its destructor closes the sockets.
    g_cancellable_cancel(m_cancellable);
    m_proxy.removeConnection(shared_from_this());
}

int run(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::string listen;
    std::string target;
    std::string source;
    std::string adminListenAddress;
    options::options_description description("fault-proxy: TCP proxy that injects faults");
    options::options_description_easy_init add = description.add_options();
    add("help", "show this text");
    add("listen", options::value(&listen)->required(), "address to listen on, <IP address>:<port>");
    add("target", options::value(&target)->required(),
        "address to which connections are forwarded, <IP address>:<port>");
    add("source", options::value(&source), "source IP address of connections to the target");
    add("admin", options::value(&adminListenAddress), "address of the admin API, <IP address>:<port>");
    if (const std::optional<int> status = parseArguments("fault-proxy", description, argc, argv)) {
        return *status;
    }
    GSocketAddress* targetAddress = parseAddress(target);
    if (targetAddress == nullptr) {
        std::cerr << "fault-proxy: \"" << target << "\" is not an IP address and port; write it as 127.0.0.1:8080\n";
        return 2;
    }
    g_object_unref(targetAddress);
    FaultProxy proxy(listen, target, source);
    return runProgram("fault-proxy", [&] { return proxy.start(adminListenAddress); });
}

} // namespace

} // namespace jasminespread::standins

int main(int argc, char** argv) { return jasminespread::standins::run(argc, argv); }
