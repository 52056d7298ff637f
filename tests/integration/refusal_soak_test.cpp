#include "odd_server.h"
#include "platform_fake.h"
#include "process.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace jasminespread::test {
namespace {

using namespace std::chrono_literals;
namespace json = boost::json;

unsigned setting(const char* name, unsigned usual)
{
    const char* text = std::getenv(name);
    return text == nullptr ? usual : static_cast<unsigned>(std::atoi(text));
}

/// Gateways beside odd servers, a fake store and callers on threads. Environment variables with the prefix
/// JASMINESPREAD_ replace the gateway's program (GATEWAY), the first seed (SOAK_FIRST_SEED), the number of seeds
/// (SOAK_SEEDS), gateways (SOAK_GATEWAYS), servers (SOAK_SERVERS) and callers (SOAK_CALLERS), the milliseconds of load
/// of a seed (SOAK_MS) or form (SOAK_FORM_MS), and the servers' forms by a single one (SOAK_FORM).
class RefusalSoakTest : public testing::Test {
protected:
    RefusalSoakTest()
        : m_networkPrefix("127.84." + std::to_string(getpid() % 250 + 1) + ".")
        , m_folder(std::string(BINARY_DIR) + "/integration/soak-" + std::to_string(getpid()))
        , m_gatewayCount(setting("JASMINESPREAD_SOAK_GATEWAYS", 3))
    {
        std::filesystem::create_directories(m_folder);
    }

    void startAll(std::uint64_t seed)
    {
        m_random = Random(seed);
        m_seed = seed;
        m_turnsRepeatable = MonotonicTime::max();
        m_gateways.clear();
        m_servers.clear();
        m_store.reset();
        m_store = std::make_unique<StoreFake>(address(1, 8384));
        putConfiguration("non_idempotent");
        const unsigned servers = setting("JASMINESPREAD_SOAK_SERVERS", 8);
        const char* formName = std::getenv("JASMINESPREAD_SOAK_FORM");
        const std::optional<AnswerForm> form = enumValue(formNames, formName == nullptr ? "" : formName);
        for (unsigned i = 0; i < servers; ++i) {
            const std::string service = i % 8 < 4 ? "desk" : i % 8 < 7 ? "planner" : "other";
            const std::string id = service + "-" + std::to_string(seed) + "-" + std::to_string(i);
            m_servers.push_back(std::make_unique<OddServer>(
                id, service, address(100 + i, 8080), seed * 1'000'000 + std::uint64_t(i) * 10'000, m_log));
            m_store->put("servers", id, m_servers.back()->storeEntry());
            if (form) {
                m_servers.back()->setForm(*form);
            }
        }
        m_gateways.resize(m_gatewayCount);
        for (unsigned i = 0; i < m_gatewayCount; ++i) {
            startGateway(i);
        }
        for (unsigned i = 0; i < m_gatewayCount; ++i) {
            ASSERT_TRUE(runUntil(20s, [&] { return isReady(i); })) << i;
        }
        EXPECT_TRUE(runUntil(10s, [&] {
            return std::any_of(m_servers.begin(), m_servers.end(), [](const auto& server) { return server->holds(0); });
        }));
    }
    [[nodiscard]] std::string address(unsigned host, unsigned port) const
    {
        return m_networkPrefix + std::to_string(host) + ":" + std::to_string(port);
    }
    [[nodiscard]] std::string file(const char* name, unsigned index) const
    {
        return m_folder + "/" + name + "-" + std::to_string(m_seed) + "-" + std::to_string(index);
    }

    /// Stores a version with the given kind of the route that changes its kind.
    void putConfiguration(const char* turnKind)
    {
        const auto route = [](const char* path, const char* kind, const char* service) {
            return json::object {{"host", "a.example"}, {"pathPrefix", path}, {"kind", kind}, {"timeoutMs", 1000},
                {"targetLatencyMs", 300}, {"priority", 1}, {"service", service}, {"maxAttempts", 3}};
        };
        const auto service = [](bool keyed) {
            return json::object {
                {"healthPath", "/health"}, {"maxConns", 200}, {"sharded", keyed}, {"warmS", keyed ? 2.0 : 0.0}};
        };
        m_store->put("config", "main",
            json::object {{"version", ++m_version},
                {"routes",
                    {{"order", route("/order/", "non_idempotent", "desk")}, {"turn", route("/turn/", turnKind, "desk")},
                        {"plan", route("/plan/", "non_idempotent", "planner")},
                        {"other", route("/other/", "non_idempotent", "other")},
                        {"read", route("/read/", "idempotent", "desk")}}},
                {"services", {{"desk", service(false)}, {"planner", service(true)}, {"other", service(false)}}},
                {"limits",
                    {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 1048576}, {"headerTimeoutMs", 3000},
                        {"idleTimeoutMs", 15000}}}});
    }

    void startGateway(unsigned index)
    {
        const unsigned host = 10 + index;
        const std::string settings = file("settings", index);
        const char* program = std::getenv("JASMINESPREAD_GATEWAY");
        shiftClock(index, 0);
        std::ofstream(settings) << "self.node=edge-" << index
                                << "\nself.zone=colombo-a\nself.region=western\nself.ip=" << m_networkPrefix << host
                                << "\nself.limits.memoryMb=120\nnetwork.listen.front=" << address(host, 8381)
                                << "\nnetwork.listen.ready=" << address(host, 8388)
                                << "\nnetwork.internalPorts=7200,7215\nplatform.platform.address=" << address(1, 8384)
                                << "\nterms.bounds.budgetSlack=5000\nterms.bounds.graceS=3\n";
        m_gateways[index] = std::make_unique<Process>(
            std::vector<std::string> {program == nullptr ? std::string(BINARY_DIR) + "/jasminespread-gateway" : program,
                "--settings", settings},
            file("gateway", index) + ".log",
            std::map<std::string, std::string> {{"LD_PRELOAD", std::string(BINARY_DIR) + "/libclock-shift.so"},
                {"CLOCK_SHIFT_FILE", file("clock-shift", index)}});
    }
    void shiftClock(unsigned index, int seconds) const { std::ofstream(file("clock-shift", index)) << seconds << "\n"; }
    bool isReady(unsigned index)
    {
        const std::unique_ptr<HttpConnection> connection = HttpConnection::connectTo(address(10 + index, 8388));
        std::optional<Message> answer;
        if (connection && connection->write("GET /api/readiness HTTP/1.1\r\nHost: a.example\r\n\r\n")) {
            (void)runUntil(200ms, [&] {
                return (answer = connection->read([until = monotonicNow() + 20ms] {
                    return monotonicNow() < until;
                })).has_value()
                    || connection->ended();
            });
        }
        return answer && answer->status() == 200;
    }

    /// Sends requests one after another over kept and new connections.
    void call(unsigned caller)
    {
        Random random(m_seed * 1000 + caller);
        std::unique_ptr<HttpConnection> connection;
        unsigned gateway = 0;
        for (unsigned i = 0; m_isLoading; ++i) {
            std::this_thread::sleep_for(random.between(0, 20));
            if (!connection || random.below(5) == 0) {
                gateway = random.below(m_gatewayCount);
                connection = HttpConnection::connectTo(address(10 + gateway, 8381));
            }
            if (connection
                && !exchange(*connection, gateway, std::to_string(caller) + "-" + std::to_string(i), random)) {
                connection.reset();
            }
        }
        --m_callers;
    }
    /// Sends a request and waits for its answer. Returns whether the connection can be used again.
    bool exchange(HttpConnection& connection, unsigned gateway, const std::string& number, Random& random)
    {
        static constexpr std::array<const char*, 8> routes {
            "order", "order", "order", "plan", "plan", "turn", "read", "other"};
        const std::string route = routes[random.below(static_cast<unsigned>(routes.size()))];
        const std::string id = route + "-" + std::to_string(m_seed) + "-" + number;
        const std::string body(random.below(3) == 0 ? random.below(30'000) : random.below(20), 'b');
        std::ostringstream text;
        text << "POST /" << route << "/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " << id
             << "\r\nDeadline-Ms: " << 500 + random.below(700);
        if (route == "plan") {
            text << "\r\nShard-Key: " << random.below(65'536);
        }
        if (!body.empty() && random.below(8) == 0) {
            text << "\r\nTransfer-Encoding: chunked\r\n\r\n"
                 << std::hex << body.size() << "\r\n"
                 << body << "\r\n0\r\n\r\n";
        } else {
            text << "\r\nContent-Length: " << body.size() << "\r\n\r\n" << body;
        }
        m_log.update(id, [&](RequestLog::Request& request) {
            request.repeatable = route == "read";
            request.gateway = "edge-" + std::to_string(gateway);
        });
        const auto end = [&](const std::string& how, const std::string& problem = "") {
            m_log.update(id, [&](RequestLog::Request& request) {
                request.end = how;
                request.problem = problem;
            });
        };
        if (!connection.write(text.str())) {
            end("closed");
            return false;
        }
        if (random.below(30) == 0) {
            std::this_thread::sleep_for(random.between(0, 50));
            end("caller-left");
            return false;
        }
        const MonotonicTime until = monotonicNow() + 8s;
        const std::optional<Message> answer = connection.read([until] { return monotonicNow() < until; });
        if (!answer) {
            end(connection.ended() ? "closed" : "silence");
            return false;
        }
        const unsigned status = answer->status();
        const std::string seal = answer->field("Response-Seal");
        const bool sealed = seal == "seal-" + id + "-" + std::to_string(status);
        const bool succeeded = status >= 200 && status < 300;
        const std::string answered = answer->field("Request-Id");
        const bool wrong = (succeeded && (!sealed || answered != id || answer->body != "answer to " + id))
            || (!seal.empty() && !sealed) || (!answered.empty() && answered != id) || connection.hasUnreadBytes();
        end(std::to_string(status), wrong ? "mixed" : "");
        return answer->field("Connection") != "close";
    }

    /// Lets callers send requests for @p duration while @p disrupt is called, and waits until nothing runs any more.
    void load(Milliseconds duration, const std::function<void()>& disrupt)
    {
        m_callers = setting("JASMINESPREAD_SOAK_CALLERS", 24);
        m_isLoading = true;
        std::vector<std::thread> callers;
        for (unsigned i = 0; i < m_callers; ++i) {
            callers.emplace_back([this, i] { call(i); });
        }
        const MonotonicTime end = monotonicNow() + duration;
        (void)runUntil(duration + 1s, [&] {
            disrupt();
            return monotonicNow() >= end;
        });
        m_isLoading = false;
        (void)runUntil(12s, [&] {
            undoDisruptions(monotonicNow());
            return m_callers == 0;
        });
        for (std::thread& caller : callers) {
            caller.join();
        }
        undoDisruptions(MonotonicTime::max());
        for (const std::unique_ptr<OddServer>& server : m_servers) {
            server->pause(0ms);
        }
        (void)runUntil(1300ms, [] { return false; }); // Longer than the delay before any run.
    }

    void undoDisruptions(MonotonicTime now)
    {
        while (!m_undo.empty() && m_undo.begin()->first <= now) {
            const std::function<void()> undo = m_undo.begin()->second;
            m_undo.erase(m_undo.begin());
            undo();
        }
    }
    void later(Milliseconds delay, std::function<void()> undo)
    {
        m_undo.emplace(monotonicNow() + delay, std::move(undo));
    }
    void restartWhenEnded(unsigned index)
    {
        if (!m_gateways[index]->running()) {
            startGateway(index);
        } else if (m_isLoading) {
            later(100ms, [this, index] { restartWhenEnded(index); });
        }
    }
    /// Starts a disruption that the seed draws.
    void disruptAtRandom()
    {
        undoDisruptions(monotonicNow());
        if (monotonicNow() < m_nextDisruption) {
            return;
        }
        m_nextDisruption = monotonicNow() + m_random.between(50, 600);
        const unsigned index = m_random.below(m_gatewayCount);
        Process& gateway = *m_gateways[index];
        OddServer& server = *m_servers[m_random.below(static_cast<unsigned>(m_servers.size()))];
        const unsigned kind = m_random.below(10);
        if (kind < 2) {
            kind == 0 ? gateway.signal(SIGTERM) : gateway.kill();
            later(m_random.between(100, 800), [this, index] { restartWhenEnded(index); });
        } else if (kind < 4) {
            gateway.signal(SIGSTOP);
            later(m_random.between(300, 2000), [this, index] { m_gateways[index]->signal(SIGCONT); });
        } else if (kind == 4) {
            m_store->setMode(m_random.below(2) == 0 ? StoreFake::Mode::Unavailable : StoreFake::Mode::Unresponsive);
            later(m_random.between(300, 2000), [this] { m_store->setMode(StoreFake::Mode::Serving); });
        } else if (kind == 5) {
            shiftClock(index, static_cast<int>(m_random.below(4000)) - 2000);
        } else if (kind == 6) {
            server.pause(m_random.between(300, 2000));
        } else if (kind == 7) {
            server.stop();
            later(m_random.between(50, 1000), [this, &server] {
                server.stop();
                server.start();
                m_store->put("servers", server.id(), server.storeEntry());
            });
        } else if (kind == 8) {
            const std::string id = server.id();
            const std::string service = server.service() == "desk" ? "other" : "desk";
            server.become(service + "-" + std::to_string(m_seed) + "-new-" + std::to_string(++m_version), service);
            later(m_random.between(0, 1000), [this, id, &server] {
                m_store->remove("servers", id);
                m_store->put("servers", server.id(), server.storeEntry());
            });
        } else if (m_turnsRepeatable == MonotonicTime::max() && m_random.below(2) == 0) {
            m_turnsRepeatable = monotonicNow();
            putConfiguration("idempotent");
        }
    }

    std::string m_networkPrefix;
    std::string m_folder;
    unsigned m_gatewayCount;
    RequestLog m_log;
    std::unique_ptr<StoreFake> m_store;
    std::vector<std::unique_ptr<OddServer>> m_servers;
    std::vector<std::unique_ptr<Process>> m_gateways;
    std::multimap<MonotonicTime, std::function<void()>> m_undo;
    Random m_random {0};
    std::uint64_t m_seed = 0;
    std::uint64_t m_version = 5;
    MonotonicTime m_nextDisruption;
    MonotonicTime m_turnsRepeatable; ///< When the route "turn" became idempotent.
    std::atomic<bool> m_isLoading = false;
    std::atomic<unsigned> m_callers = 0;
};

/// Guards against a false refusal, a second run or a missing answer after one odd form of answer.
TEST_F(RefusalSoakTest, RequestsThatRanAreNotRefusedBesideOneOddForm)
{
    ASSERT_NO_FATAL_FAILURE(startAll(setting("JASMINESPREAD_SOAK_FIRST_SEED", 1)));
    const Milliseconds duration(setting("JASMINESPREAD_SOAK_FORM_MS", 600));
    for (const auto& [form, name] : formNames) {
        for (const std::unique_ptr<OddServer>& server : m_servers) {
            server->setForm(form);
        }
        m_seed += 1000; // Ids differ from those of other forms.
        load(duration, [] {});
        EXPECT_EQ(m_log.takeViolations("form=" + std::string(name), MonotonicTime::max()), 0U) << name;
    }
}

/// Guards against the same for all forms together while gateways, servers and the store are disrupted.
TEST_F(RefusalSoakTest, RequestsThatRanAreNotRefusedAmongDisruptions)
{
    const unsigned first = setting("JASMINESPREAD_SOAK_FIRST_SEED", 1);
    const unsigned count = setting("JASMINESPREAD_SOAK_SEEDS", 2);
    const Milliseconds duration(setting("JASMINESPREAD_SOAK_MS", 5000));
    for (unsigned seed = first; seed < first + count; ++seed) {
        ASSERT_NO_FATAL_FAILURE(startAll(seed));
        load(duration, [this] { disruptAtRandom(); });
        EXPECT_EQ(m_log.takeViolations("seed=" + std::to_string(seed), m_turnsRepeatable), 0U)
            << "seed " << seed << ", logs in " << m_folder;
    }
}

} // namespace
} // namespace jasminespread::test
