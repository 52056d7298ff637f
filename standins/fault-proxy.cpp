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
    Cut, ///< Connections are refused and open ones are reset.
    BlackHole ///< Connections are accepted, but no byte passes in the stalled directions.
};

constexpr std::array<EnumName<Mode>, 3> modeNames {{
    {Mode::Pass, "pass"},
    {Mode::Cut, "cut"},
    {Mode::BlackHole, "black-hole"},
}};

struct Behaviour {
    Mode mode = Mode::Pass;
    std::array<bool, 2> stalled {true, true}; ///< By direction; applies to black-hole.
    Milliseconds delay {0}; ///< Added to each chunk in each direction.
    std::array<std::optional<std::uint64_t>, 2> resetAfter; ///< Bytes by direction, then both sides are reset.
    std::optional<std::uint64_t> truncateAfter; ///< Bytes to the client, then its connection ends without error.
};

struct Counters {
    std::uint64_t connections = 0;
    std::uint64_t resets = 0;
    std::uint64_t truncated = 0;
    std::array<std::uint64_t, 2> bytes {};
};

class Proxy;

/// A connection of a client and the matching one to the target. Owned by its pending operations and by the proxy.
class Link : public std::enable_shared_from_this<Link> {
public:
    Link(Proxy& proxy, GSocketConnection* client)
        : m_proxy(proxy)
        , m_sides {G_SOCKET_CONNECTION(g_object_ref(client)), nullptr}
        , m_cancellable(g_cancellable_new())
    {
    }

    ~Link()
    {
        for (GSocketConnection* side : m_sides) {
            if (side != nullptr) {
                g_io_stream_close(G_IO_STREAM(side), nullptr, nullptr);
                g_object_unref(side);
            }
        }
        g_object_unref(m_cancellable);
    }

    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    void start();
    /// Continues directions that a black hole stalled.
    void resume();
    /// Closes both sides; with @p reset the peers see a connection reset.
    void close(bool reset);

private:
    struct Pump {
        std::array<char, chunkBytes> buffer {};
        std::size_t filled = 0;
        std::uint64_t forwarded = 0;
        bool waiting = false; ///< Stalled with `filled` bytes to forward.
        bool ended = false;
    };

    /// Keeps the link alive during an operation.
    struct Operation {
        std::shared_ptr<Link> link;
        Direction direction;
    };

    static void onConnected(GObject* source, GAsyncResult* result, gpointer data);
    static void onRead(GObject* source, GAsyncResult* result, gpointer data);
    static void onWritten(GObject* source, GAsyncResult* result, gpointer data);

    void read(Direction direction);
    void forward(Direction direction);
    void write(Direction direction);
    void endOfInput(Direction direction);

    [[nodiscard]] Pump& pump(Direction direction) { return m_pumps[static_cast<std::size_t>(direction)]; }
    [[nodiscard]] GSocketConnection* from(Direction direction) const
    {
        return m_sides[direction == Direction::ToServer ? 0 : 1];
    }
    [[nodiscard]] GSocketConnection* to(Direction direction) const
    {
        return m_sides[direction == Direction::ToServer ? 1 : 0];
    }

    Proxy& m_proxy;
    std::array<GSocketConnection*, 2> m_sides; ///< Client, server.
    std::array<Pump, 2> m_pumps;
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

class Proxy {
public:
    Proxy(std::string listen, std::string target, const std::string& source)
        : m_listen(std::move(listen))
        , m_target(std::move(target))
        , m_client(g_socket_client_new())
        , m_admin([this](const std::shared_ptr<HttpExchange>& exchange) { admin(exchange); })
    {
        if (!source.empty()) {
            GSocketAddress* address = parseAddress(source + ":0");
            g_socket_client_set_local_address(m_client, address);
            g_clear_object(&address);
        }
        g_socket_client_set_enable_proxy(m_client, false);
    }

    ~Proxy()
    {
        stopListening();
        g_object_unref(m_client);
    }

    Proxy(const Proxy&) = delete;
    Proxy& operator=(const Proxy&) = delete;

    Result<void> start(const std::string& adminAddress)
    {
        if (!adminAddress.empty()) {
            BOOST_LEAF_CHECK(m_admin.listen(adminAddress));
        }
        return listen();
    }

    [[nodiscard]] const Behaviour& behaviour() const noexcept { return m_behaviour; }
    [[nodiscard]] Counters& counters() noexcept { return m_counters; }
    [[nodiscard]] GSocketClient* client() const noexcept { return m_client; }
    [[nodiscard]] const std::string& target() const noexcept { return m_target; }

    [[nodiscard]] bool stalls(Direction direction) const noexcept
    {
        return m_behaviour.mode == Mode::BlackHole && m_behaviour.stalled[static_cast<std::size_t>(direction)];
    }

    void forget(const std::shared_ptr<Link>& link) { m_links.erase(link); }

private:
    Result<void> listen()
    {
        GSocketAddress* address = parseAddress(m_listen);
        if (address == nullptr) {
            return fail(ErrorKind::InvalidInput, "\"" + m_listen + "\" is not an address; write <ip number>:<port>");
        }
        m_service = g_socket_service_new();
        GError* error = nullptr;
        const gboolean listening = g_socket_listener_add_address(G_SOCKET_LISTENER(m_service), address,
            G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, &error);
        g_object_unref(address);
        if (listening == 0) {
            const std::string reason = error->message;
            g_error_free(error);
            return fail(ErrorKind::AddressInUse, "cannot listen on " + m_listen + ": " + reason);
        }
        g_signal_connect(m_service, "incoming", G_CALLBACK(onIncoming), this);
        return {};
    }

    void stopListening()
    {
        if (m_service != nullptr) {
            g_socket_service_stop(m_service);
            g_socket_listener_close(G_SOCKET_LISTENER(m_service));
            g_clear_object(&m_service);
        }
    }

    static gboolean onIncoming(
        GSocketService* /*service*/, GSocketConnection* connection, GObject* /*source*/, gpointer data)
    {
        Proxy* self = static_cast<Proxy*>(data);
        ++self->m_counters.connections;
        const std::shared_ptr<Link> link = std::make_shared<Link>(*self, connection);
        self->m_links.insert(link);
        link->start();
        return 1;
    }

    void apply(const Behaviour& behaviour)
    {
        m_behaviour = behaviour;
        const std::set<std::shared_ptr<Link>> links = m_links;
        if (m_behaviour.mode == Mode::Cut) {
            stopListening();
            for (const std::shared_ptr<Link>& link : links) {
                link->close(true);
            }
            return;
        }
        if (m_service == nullptr) {
            handleError([this] { return listen(); },
                [](const Error& error) { std::cerr << "fault-proxy: " << describe(error) << "\n"; });
        }
        for (const std::shared_ptr<Link>& link : links) {
            link->resume();
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
                    throw std::invalid_argument("unknown mode");
                }
                behaviour.mode = *mode;
            } else if (name == "stall") {
                const std::string_view stall = value.as_string();
                behaviour.stalled = {stall != "to-client", stall != "to-server"};
            } else if (name == "delayMs") {
                behaviour.delay = Milliseconds(value.to_number<std::uint32_t>());
            } else if (name == "resetAfterToServer") {
                behaviour.resetAfter[0] = value.to_number<std::uint64_t>();
            } else if (name == "resetAfterToClient") {
                behaviour.resetAfter[1] = value.to_number<std::uint64_t>();
            } else if (name == "truncateAfter") {
                behaviour.truncateAfter = value.to_number<std::uint64_t>();
            } else {
                throw std::invalid_argument("unknown field " + std::string(name));
            }
        }
        return behaviour;
    }

    void admin(const std::shared_ptr<HttpExchange>& exchange)
    {
        if (exchange->path() == "/admin/behaviour" && exchange->method() == "PUT") {
            try {
                apply(parseBehaviour(exchange->body()));
                exchange->answer(200, "{}");
            } catch (const std::exception& error) {
                exchange->answer(400, json::serialize(json::object {{"error", error.what()}}));
            }
        } else if (exchange->path() == "/admin/counters" && exchange->method() == "GET") {
            exchange->answer(200,
                json::serialize(json::object {{"connections", m_counters.connections}, {"resets", m_counters.resets},
                    {"truncated", m_counters.truncated}, {"bytesToServer", m_counters.bytes[0]},
                    {"bytesToClient", m_counters.bytes[1]}, {"open", m_links.size()}}));
        } else {
            exchange->answer(404, R"({"error":"no such resource"})");
        }
    }

    std::string m_listen;
    std::string m_target;
    Behaviour m_behaviour;
    Counters m_counters;
    GSocketClient* m_client;
    GSocketService* m_service = nullptr;
    std::set<std::shared_ptr<Link>> m_links;
    HttpServer m_admin;
};

void Link::start()
{
    GSocketAddress* address = parseAddress(m_proxy.target());
    g_socket_client_connect_async(m_proxy.client(), G_SOCKET_CONNECTABLE(address), m_cancellable, onConnected,
        new Operation {shared_from_this(), Direction::ToServer});
    g_object_unref(address);
}

void Link::onConnected(GObject* source, GAsyncResult* result, gpointer data)
{
    const std::unique_ptr<Operation> operation(static_cast<Operation*>(data));
    Link& link = *operation->link;
    GSocketConnection* server = g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, nullptr);
    if (server == nullptr) {
        link.close(true);
        return;
    }
    link.m_sides[1] = server;
    if (link.m_closed) {
        return;
    }
    link.read(Direction::ToServer);
    link.read(Direction::ToClient);
}

void Link::read(Direction direction)
{
    if (m_closed) {
        return;
    }
    GInputStream* input = g_io_stream_get_input_stream(G_IO_STREAM(from(direction)));
    g_input_stream_read_async(input, pump(direction).buffer.data(), chunkBytes, G_PRIORITY_DEFAULT, m_cancellable,
        onRead, new Operation {shared_from_this(), direction});
}

void Link::onRead(GObject* source, GAsyncResult* result, gpointer data)
{
    const std::unique_ptr<Operation> operation(static_cast<Operation*>(data));
    Link& link = *operation->link;
    const Direction direction = operation->direction;
    const gssize n = g_input_stream_read_finish(G_INPUT_STREAM(source), result, nullptr);
    if (link.m_closed) {
        return;
    }
    if (n < 0) {
        link.close(true);
        return;
    }
    link.pump(direction).filled = static_cast<std::size_t>(n);
    const Milliseconds delay = link.m_proxy.behaviour().delay;
    if (delay.count() > 0) {
        startTimer(delay, [self = operation->link, direction] { self->forward(direction); });
    } else {
        link.forward(direction);
    }
}

void Link::forward(Direction direction)
{
    if (m_closed) {
        return;
    }
    Pump& current = pump(direction);
    if (m_proxy.stalls(direction)) {
        current.waiting = true;
        return;
    }
    if (current.filled == 0) {
        endOfInput(direction);
        return;
    }
    const Behaviour& behaviour = m_proxy.behaviour();
    const std::optional<std::uint64_t> reset = behaviour.resetAfter[static_cast<std::size_t>(direction)];
    const bool truncates = direction == Direction::ToClient && behaviour.truncateAfter.has_value();
    if (reset || truncates) {
        const std::uint64_t limit
            = std::min(reset.value_or(UINT64_MAX), truncates ? *behaviour.truncateAfter : UINT64_MAX);
        const std::uint64_t allowed = limit - std::min(limit, current.forwarded);
        if (allowed < current.filled) {
            // The bytes up to the limit are written at once; they fit an idle socket's buffer.
            GSocket* socket = g_socket_connection_get_socket(to(direction));
            g_socket_send(socket, current.buffer.data(), static_cast<gsize>(allowed), nullptr, nullptr);
            const bool byReset = reset && *reset == limit;
            ++(byReset ? m_proxy.counters().resets : m_proxy.counters().truncated);
            close(byReset);
            return;
        }
    }
    write(direction);
}

void Link::write(Direction direction)
{
    const Pump& current = pump(direction);
    GOutputStream* output = g_io_stream_get_output_stream(G_IO_STREAM(to(direction)));
    g_output_stream_write_all_async(output, current.buffer.data(), current.filled, G_PRIORITY_DEFAULT, m_cancellable,
        onWritten, new Operation {shared_from_this(), direction});
}

void Link::onWritten(GObject* source, GAsyncResult* result, gpointer data)
{
    const std::unique_ptr<Operation> operation(static_cast<Operation*>(data));
    Link& link = *operation->link;
    const bool written = g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result, nullptr, nullptr) != 0;
    if (link.m_closed) {
        return;
    }
    if (!written) {
        link.close(true);
        return;
    }
    Pump& current = link.pump(operation->direction);
    current.forwarded += current.filled;
    link.m_proxy.counters().bytes[static_cast<std::size_t>(operation->direction)] += current.filled;
    link.read(operation->direction);
}

void Link::endOfInput(Direction direction)
{
    pump(direction).ended = true;
    if (m_pumps[0].ended && m_pumps[1].ended) {
        close(false);
    } else {
        g_socket_shutdown(g_socket_connection_get_socket(to(direction)), false, true, nullptr);
    }
}

void Link::resume()
{
    for (const Direction direction : {Direction::ToServer, Direction::ToClient}) {
        if (pump(direction).waiting && !m_proxy.stalls(direction)) {
            pump(direction).waiting = false;
            forward(direction);
        }
    }
}

void Link::close(bool reset)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    for (GSocketConnection* side : m_sides) {
        if (side != nullptr && reset) {
            // A zero linger time makes the kernel send a reset.
            const linger option {1, 0};
            const int fd = g_socket_get_fd(g_socket_connection_get_socket(side));
            ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        }
    }
    // Pending operations end with an error and release the link, which closes the sockets.
    g_cancellable_cancel(m_cancellable);
    m_proxy.forget(shared_from_this());
}

int run(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::string listen;
    std::string target;
    std::string source;
    std::string admin;
    options::options_description description("fault-proxy: TCP proxy that injects faults");
    options::options_description_easy_init add = description.add_options();
    add("help", "show this text");
    add("listen", options::value(&listen)->required(), "address, <ip number>:<port>");
    add("target", options::value(&target)->required(), "address to connect to");
    add("source", options::value(&source), "IP number that connections to the target come from");
    add("admin", options::value(&admin), "address of the admin endpoints");
    if (const std::optional<int> status = parseArguments("fault-proxy", description, argc, argv)) {
        return *status;
    }
    GSocketAddress* parsed = parseAddress(target);
    if (parsed == nullptr) {
        std::cerr << "fault-proxy: \"" << target << "\" is not an address; write <ip number>:<port>\n";
        return 2;
    }
    g_object_unref(parsed);
    Proxy proxy(listen, target, source);
    return runProgram("fault-proxy", [&] { return proxy.start(admin); });
}

} // namespace

} // namespace jasminespread::standins

int main(int argc, char** argv) { return jasminespread::standins::run(argc, argv); }
