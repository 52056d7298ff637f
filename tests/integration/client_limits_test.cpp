#include "gateway_process.h"
#include "platform_fake.h"
#include "process.h"

#include "base/socket_address.h"

#include <jasminespread/backend_transports.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminespread::test {
namespace {

using namespace std::chrono_literals;

constexpr unsigned memoryMb = 120;
constexpr unsigned maxDescriptors = 600;

/// Connections that are not part of any agreement. They send as fast as the gateway reads, read nothing, and stay open.
class Crowd {
public:
    ~Crowd()
    {
        for (const Client& client : m_clients) {
            close(client.fd);
        }
    }
    void add(const std::string& address, std::string text, std::size_t pieceBytes)
    {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        ASSERT_GE(fd, 0);
        const std::optional<SocketAddress> to = parseSocketAddress(address);
        (void)connect(fd, to->get(), to->size);
        m_clients.push_back({fd, std::move(text), 0, pieceBytes});
    }
    /// Sends one piece of each client. Returns whether there is nothing left that may be sent.
    bool push()
    {
        bool done = true;
        for (Client& client : m_clients) {
            const std::size_t n = std::min(client.pieceBytes, client.text.size() - client.sent);
            const ssize_t written = n == 0 ? 0 : ::send(client.fd, &client.text[client.sent], n, MSG_NOSIGNAL);
            if (written < 0 && errno != EAGAIN) {
                client.sent = client.text.size(); // Closed by the gateway.
            }
            client.sent += written > 0 ? static_cast<std::size_t>(written) : 0;
            done = done && client.sent == client.text.size();
        }
        return done;
    }

private:
    struct Client {
        int fd;
        std::string text;
        std::size_t sent;
        std::size_t pieceBytes;
    };
    std::vector<Client> m_clients;
};

enum class Kind { LegalBodies, LargeBodies, OpenHeads, CompleteHeads, Pipelined, Slow, Silent };

struct Target {
    const char* name;
    const char* path;
    unsigned port;
};

/// One gateway with little memory and few descriptors, and one backend server.
class ClientLimitsTest : public testing::TestWithParam<std::tuple<Kind, Target>> {
protected:
    ClientLimitsTest()
        : m_networkPrefix("127.84." + std::to_string(getpid() % 250 + 1) + ".")
        , m_folder(std::string(BINARY_DIR) + "/integration/clients-" + std::to_string(getpid()))
        , m_transport(makeBeastBackendTransport({1 << 20}))
        , m_store(address(1, 8384))
        , m_desk("desk-a", address(11, 8080), false)
    {
        rlimit own {};
        getrlimit(RLIMIT_NOFILE, &own);
        own.rlim_cur = own.rlim_max;
        setrlimit(RLIMIT_NOFILE, &own);
        std::filesystem::create_directories(m_folder);
        m_store.put("config", "main", gatewayConfiguration(5, "/old/"));
        m_store.put("servers", "desk-a", m_desk.storeEntry("desk"));
    }

    void start(unsigned descriptors, bool enforced)
    {
        const std::string file = m_folder + "/settings";
        std::ofstream(file) << "self.node=edge-0\nself.zone=colombo-a\nself.region=western\nself.ip=" << m_networkPrefix
                            << "21\nself.limits.memoryMb=" << memoryMb << "\nself.limits.maxFds=" << descriptors
                            << "\nnetwork.listen.front=" << address(21, 8381)
                            << "\nnetwork.listen.ready=" << address(21, 8388)
                            << "\nnetwork.internalPorts=7200,7215\nplatform.platform.address=" << address(1, 8384)
                            << "\nterms.bounds.budgetSlack=50\nterms.bounds.graceS=6\n";
        m_gateway = std::make_unique<Process>(
            std::vector<std::string> {std::string(BINARY_DIR) + "/jasminespread-gateway", "--settings", file},
            m_folder + "/gateway.log");
        if (enforced) {
            const rlimit limit {descriptors, descriptors};
            ASSERT_EQ(prlimit(m_gateway->id(), RLIMIT_NOFILE, &limit, nullptr), 0);
        }
        ASSERT_TRUE(runUntil(10s, [this] { return status("/api/readiness", 8388) == 200; }));
        ASSERT_TRUE(runUntil(10s, [this] { return status("/read/1", 8381) == 200; }));
    }

    [[nodiscard]] std::string address(unsigned host, unsigned port) const
    {
        return m_networkPrefix + std::to_string(host) + ":" + std::to_string(port);
    }

    /// Status of the answer to one ordinary request on a new connection; 0: none.
    unsigned status(const std::string& path, unsigned port)
    {
        const BackendTransport transport = makeBeastBackendTransport({1 << 20});
        BackendRequest request;
        request.address = address(21, port);
        request.method = "GET";
        request.target = path;
        request.headers
            = {{"Host", "a.example"}, {"Request-Id", "r" + std::to_string(++m_requestCount)}, {"Deadline-Ms", "3000"}};
        request.deadline = monotonicNow() + 4s;
        request.connectTimeout = 2s;
        const auto result = std::make_shared<std::optional<BackendResult>>();
        transport.send(std::move(request), [result](BackendResult answer) { *result = std::move(answer); });
        (void)runUntil(5s, [&] { return result->has_value(); });
        return result->has_value() ? (*result)->status : 0;
    }

    /// Connects the crowd, lets it send for up to @p duration, and checks the gateway while it stays connected.
    void checkWith(Crowd& crowd, Milliseconds duration, unsigned descriptors)
    {
        std::size_t mostDescriptors = 0;
        bool sent = false;
        (void)runUntil(duration, [&] {
            mostDescriptors = std::max(mostDescriptors, openDescriptors(m_gateway->id()));
            sent = crowd.push();
            return sent;
        });
        (void)runUntil(500ms, [&] {
            mostDescriptors = std::max(mostDescriptors, openDescriptors(m_gateway->id()));
            return false;
        });
        EXPECT_TRUE(m_gateway->running());
        EXPECT_LT(peakMemoryMb(m_gateway->id()), memoryMb);
        EXPECT_LT(mostDescriptors, descriptors);
        EXPECT_TRUE(runUntil(5s, [this] { return status("/read/1", 8381) == 200; }));
        EXPECT_TRUE(runUntil(5s, [this] { return status("/api/readiness", 8388) == 200; }));
    }

    static std::string textOf(Kind kind, const std::string& path, unsigned i)
    {
        const std::string lines
            = path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: c" + std::to_string(i) + "\r\nDeadline-Ms: 3000\r\n";
        const auto repeated = [](const std::string& part, std::size_t count) {
            std::string text;
            for (std::size_t n = 0; n < count; ++n) {
                text += part;
            }
            return text;
        };
        const std::string fields = repeated("a:b\r\n", 3200);
        switch (kind) {
        case Kind::LegalBodies:
            return i % 3 == 2 ? "POST " + lines + "Transfer-Encoding: chunked\r\n\r\n"
                    + repeated("3e8\r\n" + std::string(1000, 'x') + "\r\n", 1000)
                              : "POST " + lines + "Content-Length: 1000000\r\n\r\n" + std::string(999'990, 'x');
        case Kind::LargeBodies:
            return i % 2 == 0
                ? "POST " + lines + "Content-Length: 100000000\r\n\r\n" + std::string(1'500'000, 'x')
                : "POST " + lines + "Transfer-Encoding: chunked\r\n\r\n16e360\r\n" + std::string(1'500'000, 'x');
        case Kind::OpenHeads:
            return "GET " + lines + fields;
        case Kind::CompleteHeads:
            return "GET " + lines + fields + "\r\n";
        case Kind::Pipelined:
            return repeated("GET " + lines + fields + "\r\n", 12);
        case Kind::Slow:
            return "POST " + lines + "Content-Length: 1000\r\n\r\n" + std::string(999, 'x');
        case Kind::Silent:
            break;
        }
        return "";
    }

    std::string m_networkPrefix;
    std::string m_folder;
    BackendTransport m_transport;
    StoreFake m_store;
    ServerFake m_desk;
    std::unique_ptr<Process> m_gateway;
    unsigned m_requestCount = 0;
};

/// The same with a limit that the operating system enforces.
class DescriptorLimitTest : public ClientLimitsTest { };

/// Number of clients of a kind: enough to exceed the memory or the descriptors of the gateway.
unsigned crowdSize(Kind kind)
{
    switch (kind) {
    case Kind::LegalBodies:
    case Kind::LargeBodies:
        return 180;
    case Kind::Pipelined:
        return 200;
    default:
        return 800;
    }
}

/// Guards against a gateway that runs out of memory or descriptors, or answers nobody, because of clients that nobody
/// controls.
TEST_P(ClientLimitsTest, StaysWithinItsLimitsAndServes)
{
    const auto& [kind, target] = GetParam();
    start(maxDescriptors, false);
    Crowd crowd;
    for (unsigned i = 0; i < crowdSize(kind); ++i) {
        const std::size_t pieceBytes = kind == Kind::Slow ? 10 : i % 2 == 0 ? 1'000'000 : 4000;
        crowd.add(address(21, target.port), textOf(kind, target.path, i), pieceBytes);
        (void)runUntil(0ms, [] { return true; });
    }
    checkWith(crowd, kind == Kind::Silent ? 1s : 6s, maxDescriptors);
}

/// Guards against an accept loop that fails for lack of descriptors without end, and against connections that are
/// never accepted again.
TEST_P(DescriptorLimitTest, ServesAtTheProcessLimitOfDescriptors)
{
    start(300, true);
    Crowd crowd;
    for (unsigned i = 0; i < 500; ++i) {
        crowd.add(address(21, std::get<1>(GetParam()).port), "", 1);
    }
    checkWith(crowd, 1s, 300);
}

constexpr Target route {"route", "/read/1", 8381};
constexpr Target noRoute {"noRoute", "/nowhere/1", 8381};
constexpr Target readiness {"readiness", "/api/readiness", 8388};

std::string caseName(const testing::TestParamInfo<std::tuple<Kind, Target>>& test)
{
    static constexpr std::array kindNames {
        "LegalBodies", "LargeBodies", "OpenHeads", "CompleteHeads", "Pipelined", "Slow", "Silent"};
    const auto& [kind, target] = test.param;
    return std::string(kindNames.at(static_cast<std::size_t>(kind))) + "_" + target.name;
}

INSTANTIATE_TEST_SUITE_P(Clients, ClientLimitsTest,
    testing::Combine(testing::Values(Kind::LegalBodies, Kind::LargeBodies, Kind::OpenHeads, Kind::CompleteHeads,
                         Kind::Pipelined, Kind::Slow, Kind::Silent),
        testing::Values(route, noRoute, readiness)),
    caseName);
INSTANTIATE_TEST_SUITE_P(Clients, DescriptorLimitTest,
    testing::Combine(testing::Values(Kind::Silent), testing::Values(route, readiness)), caseName);

} // namespace
} // namespace jasminespread::test
