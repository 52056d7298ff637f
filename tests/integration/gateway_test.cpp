#include "gateway_process.h"
#include "odd_server.h"
#include "platform_fake.h"
#include "process.h"

#include "base/socket_address.h"
#include "ranges/range_record.h"
#include "support/broken_answers.h"
#include "support/early_server.h"

#include <jasminespread/backend_transports.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <ctime>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sys/socket.h>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

namespace jasminespread::test {
namespace {

using namespace std::chrono_literals;
namespace json = boost::json;

/// Memory that a gateway may use.
constexpr unsigned memoryMb = 120;

/// Listens on an address, and answers each request with a prefix and then bytes without end. The prefixes take turns.
class EndlessServer {
public:
    EndlessServer(const std::string& address, std::vector<std::string> prefixes)
        : m_prefixes(std::move(prefixes))
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const std::optional<SocketAddress> at = parseSocketAddress(address);
        EXPECT_EQ(bind(m_listener, at->get(), at->size), 0);
        EXPECT_EQ(listen(m_listener, 128), 0);
        m_acceptor = std::thread([this] {
            for (int fd = 0; (fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
                const std::string prefix = m_prefixes[m_requests++ % m_prefixes.size()];
                m_writers.emplace_back([fd, prefix] { serve(fd, prefix); });
            }
        });
    }
    ~EndlessServer()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        close(m_listener);
        for (std::thread& writer : m_writers) {
            writer.join();
        }
    }
    EndlessServer(const EndlessServer&) = delete;
    EndlessServer& operator=(const EndlessServer&) = delete;

    /// Number of requests that it got.
    [[nodiscard]] unsigned requests() const { return m_requests; }

private:
    static void serve(int fd, const std::string& prefix)
    {
        std::string bytes(65'536, 'a');
        (void)recv(fd, bytes.data(), bytes.size(), 0);
        std::fill(bytes.begin(), bytes.end(), 'a');
        // Longer than a process may take, in case that nobody closes the connection.
        constexpr std::size_t maxWrites = 4000;
        bool open = ::send(fd, prefix.data(), prefix.size(), MSG_NOSIGNAL) > 0;
        for (std::size_t i = 0; i < maxWrites && open; ++i) {
            open = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0;
        }
        close(fd);
    }

    std::vector<std::string> m_prefixes;
    int m_listener;
    std::atomic<unsigned> m_requests = 0;
    std::vector<std::thread> m_writers;
    std::thread m_acceptor;
};

/// Two gateway processes and a fake store, with one pooled and one keyed service of two servers each.
class GatewayTest : public testing::Test {
protected:
    GatewayTest()
        : m_networkPrefix("127.83." + std::to_string(getpid() % 250 + 1) + ".")
        , m_folder(std::string(BINARY_DIR) + "/integration/gateway-" + std::to_string(getpid()))
        , m_transport(makeBeastBackendTransport({1 << 20}))
        , m_store(address(1, 8384))
        , m_deskA("desk-a", address(11, 8080), false)
        , m_deskB("desk-b", address(12, 8080), false)
        , m_plannerA("planner-a", address(13, 8080), true)
        , m_plannerB("planner-b", address(14, 8080), true)
    {
        std::filesystem::create_directories(m_folder);
        m_store.put("config", "main", gatewayConfiguration(5, "/old/"));
        m_store.put("servers", "desk-a", m_deskA.storeEntry("desk"));
        m_store.put("servers", "desk-b", m_deskB.storeEntry("desk"));
        m_store.put("servers", "planner-a", m_plannerA.storeEntry("planner"));
        m_store.put("servers", "planner-b", m_plannerB.storeEntry("planner"));
        // Malformed entries, as other writers of the store could leave them.
        m_store.put("servers", "broken-1", json::value("text"));
        m_store.put("servers", "broken-2", json::object {{"service", "desk"}, {"address", 5}});
        for (unsigned i = 0; i < 2; ++i) {
            start(i);
        }
        EXPECT_TRUE(runUntil(10s, [this] { return isReady(0) && isReady(1); }));
    }

    [[nodiscard]] std::string address(unsigned host, unsigned port) const
    {
        return m_networkPrefix + std::to_string(host) + ":" + std::to_string(port);
    }

    void start(unsigned index)
    {
        const unsigned host = 21 + index;
        const std::string file = m_folder + "/settings-" + std::to_string(index);
        shiftClock(index, 0s);
        std::ofstream(file) << "self.node=edge-" << index
                            << "\nself.zone=colombo-a\nself.region=western\nself.ip=" << m_networkPrefix << host
                            << "\nself.limits.memoryMb=" << memoryMb << "\nnetwork.listen.front=" << address(host, 8381)
                            << "\nnetwork.listen.ready=" << address(host, 8388)
                            << "\nnetwork.internalPorts=7200,7215\nplatform.platform.address=" << address(1, 8384)
                            << "\nterms.bounds.budgetSlack=50\nterms.bounds.graceS=6\n"
                            << m_furtherSettings;
        m_gateways[index] = std::make_unique<Process>(
            std::vector<std::string> {std::string(BINARY_DIR) + "/jasminespread-gateway", "--settings", file},
            logFile(index),
            std::map<std::string, std::string> {{"LD_PRELOAD", std::string(BINARY_DIR) + "/libclock-shift.so"},
                {"CLOCK_SHIFT_FILE", clockShiftFile(index)}});
    }

    [[nodiscard]] std::string logFile(unsigned index) const
    {
        if (m_logPipes.contains(index)) {
            return m_logPipes.at(index);
        }
        return m_folder + "/gateway-" + std::to_string(index) + ".log";
    }

    [[nodiscard]] std::string clockShiftFile(unsigned index) const
    {
        return m_folder + "/clock-shift-" + std::to_string(index);
    }

    /// Shifts the time of day of a gateway. The steady clock keeps running.
    void shiftClock(unsigned index, std::chrono::seconds shift) const
    {
        std::ofstream(clockShiftFile(index)) << shift.count() << "\n";
    }

    [[nodiscard]] BackendRequest makeRequest(unsigned gateway, const std::string& path, const std::string& id = "",
        std::optional<unsigned> key = std::nullopt, unsigned port = 8381)
    {
        BackendRequest request;
        request.address = address(21 + gateway, port);
        request.method = "GET";
        request.target = path;
        request.headers = {{"Host", "a.example"},
            {"Request-Id", id.empty() ? "r" + std::to_string(++m_requestCount) : id}, {"Deadline-Ms", "3000"}};
        if (key) {
            request.headers.push_back({"Shard-Key", std::to_string(*key)});
        }
        request.deadline = monotonicNow() + 4s;
        request.connectTimeout = 500ms;
        return request;
    }

    /// Sends a request. The result is set while the main context runs.
    std::shared_ptr<std::optional<BackendResult>> send(BackendRequest&& request)
    {
        auto result = std::make_shared<std::optional<BackendResult>>();
        m_transport.send(std::move(request), [result](BackendResult answer) { *result = std::move(answer); });
        return result;
    }

    std::shared_ptr<std::optional<BackendResult>> send(unsigned gateway, const std::string& path,
        const std::string& id = "", std::optional<unsigned> key = std::nullopt, unsigned port = 8381)
    {
        return send(makeRequest(gateway, path, id, key, port));
    }

    BackendResult call(
        unsigned gateway, const std::string& path, std::optional<unsigned> key = std::nullopt, unsigned port = 8381)
    {
        const auto result = send(gateway, path, "", key, port);
        (void)runUntil(5s, [&] { return result->has_value(); });
        return result->value_or(BackendResult());
    }

    /// Sends a request on a new connection and closes the connection at once.
    void sendAndDisconnect(unsigned gateway, const std::string& path, const std::string& id) const
    {
        const std::optional<SocketAddress> to = parseSocketAddress(address(21 + gateway, 8381));
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        ASSERT_EQ(connect(fd, to->get(), to->size), 0);
        const std::string text
            = "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 3000\r\n\r\n";
        EXPECT_EQ(::send(fd, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
        close(fd);
    }

    /// Number of log lines whose time is over 1,000 s apart from that of the line before.
    static unsigned clockJumpsIn(const std::string& file)
    {
        std::ifstream log(file);
        unsigned jumps = 0;
        std::time_t last = 0;
        for (std::string line; std::getline(log, line);) {
            std::tm calendarTime {};
            if (strptime(line.c_str(), "%Y-%m-%dT%H:%M:%S", &calendarTime) == nullptr) {
                continue;
            }
            const std::time_t at = timegm(&calendarTime);
            jumps += last != 0 && std::abs(at - last) > 1000 ? 1 : 0;
            last = at;
        }
        return jumps;
    }

    bool isReady(unsigned gateway) { return call(gateway, "/api/readiness", std::nullopt, 8388).status == 200; }

    std::string m_networkPrefix;
    std::string m_folder;
    BackendTransport m_transport;
    StoreFake m_store;
    ServerFake m_deskA;
    ServerFake m_deskB;
    ServerFake m_plannerA;
    ServerFake m_plannerB;
    std::map<unsigned, std::unique_ptr<Process>> m_gateways;
    std::map<unsigned, std::string> m_logPipes; ///< Log to a named pipe, by gateway.
    std::string m_furtherSettings; ///< Lines of the settings of gateways that start from now on.
    unsigned m_requestCount = 0;
};

/// Guards against a gateway that runs out of memory, and the loss of other callers' requests, because one server of
/// three sends bytes without end: in a line of the body's framing, or in a body.
TEST_F(GatewayTest, KeepsServingBesideAServerThatSendsWithoutEnd)
{
    const std::string head = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
    EndlessServer endless(address(15, 8080),
        {head + "5;a=", head + "7fffffff\r\n", head + "0\r\nA: ", "HTTP/1.1 200 X\r\nContent-Length: 60000000\r\n\r\n",
            "HTTP/1.1 200 X\r\nA: "});
    json::object entry = m_deskA.storeEntry("desk").as_object();
    entry["address"] = address(15, 8080);
    m_store.put("servers", "desk-c", entry);
    for (ServerFake* server : {&m_deskA, &m_deskB}) {
        server->setServiceTime(200ms); // The third one would get no requests beside faster ones.
    }
    std::deque<std::shared_ptr<std::optional<BackendResult>>> results;
    for (unsigned i = 0; i < 200; ++i) {
        results.push_back(send(0, "/read/1"));
        (void)runUntil(20ms, [] { return false; });
    }
    EXPECT_TRUE(runUntil(5s, [&] {
        return std::all_of(results.begin(), results.end(), [](const auto& result) { return result->has_value(); });
    }));
    EXPECT_GT(endless.requests(), 0U);
    for (const auto& result : results) {
        ASSERT_TRUE(result->has_value());
        EXPECT_EQ((*result)->status, 200U); // The other servers answer what may be repeated.
    }
    EXPECT_LT(peakMemoryMb(m_gateways[0]->id()), memoryMb / 2);
    EXPECT_TRUE(isReady(0));
}

/// Guards against an evacuation that a running instance, or one that starts during it, does not follow.
TEST_F(GatewayTest, SendsNothingToAnEvacuatedFailureDomain)
{
    m_furtherSettings = "terms.bounds.evacMs=5000\n";
    json::object away = m_deskB.storeEntry("desk").as_object();
    away["zone"] = "kandy-a";
    m_store.put("servers", "desk-b", away);
    for (unsigned i = 0; i < 2; ++i) {
        m_gateways.erase(i);
        start(i);
    }
    EXPECT_TRUE(runUntil(10s, [this] { return isReady(0) && isReady(1); }));
    EXPECT_TRUE(runUntil(5s, [this] { return call(0, "/read/1").status == 200; }));
    m_store.put("evacuations", "colombo-a", json::object());
    const auto isFollowed = [this] {
        const std::size_t before = m_deskA.arrivals().size();
        bool served = true;
        for (unsigned i = 0; i < 20; ++i) {
            served = call(i % 2, "/order/1").status == 200 && served;
        }
        return served && m_deskA.arrivals().size() == before;
    };
    EXPECT_TRUE(runUntil(5s, isFollowed));
    m_gateways.erase(1);
    start(1);
    EXPECT_TRUE(runUntil(10s, [this] { return isReady(1); }));
    EXPECT_TRUE(isFollowed());
    m_store.remove("evacuations", "colombo-a");
    EXPECT_TRUE(runUntil(5s, [&] { return !isFollowed(); }));
}

/// Guards against a gateway that ends because of one server's answer or one caller's request, so that orders in flight
/// at sound servers get no answer.
TEST_F(GatewayTest, KeepsServingBesideOddMessages)
{
    RequestLog log;
    OddServer odd("desk-c", "desk", address(15, 8080), 1, log);
    m_store.put("servers", "desk-c", odd.storeEntry());
    for (ServerFake* server : {&m_deskA, &m_deskB}) {
        server->setServiceTime(200ms); // The third one would get no requests beside faster ones.
    }
    const std::array forms {AnswerForm::RunLongTrailerValue, AnswerForm::RunLongTrailerName};
    std::map<std::string, std::shared_ptr<std::optional<BackendResult>>> results; // By request id.
    for (unsigned i = 0; i < 100; ++i) {
        odd.setForm(forms[i % forms.size()]);
        const std::string id = "odd-" + std::to_string(i);
        results.emplace(id, send(0, "/order/1", id));
        if (i % 20 == 10) {
            const auto caller = HttpConnection::connectTo(address(21, 8381));
            ASSERT_NE(caller, nullptr);
            EXPECT_TRUE(caller->write("TRACE /read/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nab"));
            const std::optional<Message> answer = caller->read([&] { return m_gateways[0]->running(); });
            ASSERT_TRUE(answer);
            EXPECT_EQ(answer->status(), 400U);
        }
        (void)runUntil(20ms, [] { return false; });
    }
    EXPECT_TRUE(runUntil(5s, [&] {
        return std::all_of(results.begin(), results.end(), [](const auto& entry) { return entry.second->has_value(); });
    }));
    std::map<unsigned, unsigned> statuses;
    for (const auto& [id, result] : results) {
        ASSERT_TRUE(result->has_value());
        const unsigned status = (*result)->status;
        ++statuses[status];
        log.update(id, [status](RequestLog::Request& request) { request.end = std::to_string(status); });
    }
    EXPECT_GT(statuses[200], 50U);
    EXPECT_GT(statuses[502], 0U); // The odd answers: these orders have been executed.
    EXPECT_EQ(statuses[200] + statuses[502], results.size());
    EXPECT_TRUE(m_gateways[0]->running());
    EXPECT_EQ(log.takeViolations("odd messages", MonotonicTime::max()), 0U);
}

/// Guards against a success that holds the part of an answer that a server sent before it reset the connection.
TEST_F(GatewayTest, ACallerGetsNoPartOfAnAnswerThatWasReset)
{
    constexpr unsigned uploads = 300;
    const std::string part = "the first part";
    const auto answerWithoutLength = [&part](const std::string& request) {
        const Message message {request.substr(0, request.find("\r\n\r\n") + 2), ""};
        return "HTTP/1.1 200 X\r\nRequest-Id: " + message.field("Request-Id") + "\r\nResponse-Seal: s\r\n\r\n" + part;
    };
    EarlyServer early(address(15, 8080), answerWithoutLength, EarlyServer::End::Reset);
    ASSERT_TRUE(early.listens());
    json::object entry = m_deskA.storeEntry("desk").as_object();
    entry["address"] = address(15, 8080);
    m_store.put("servers", "desk-c", entry);
    for (ServerFake* server : {&m_deskA, &m_deskB}) {
        server->setServiceTime(200ms); // The third one would get no requests beside faster ones.
    }
    std::vector<std::shared_ptr<std::optional<BackendResult>>> results;
    for (unsigned i = 0; i < uploads; ++i) {
        BackendRequest request = makeRequest(0, "/order/1");
        request.method = "POST";
        request.body.resize(300'000, 'a');
        results.push_back(send(std::move(request)));
        (void)runUntil(10ms, [] { return false; });
    }
    ASSERT_TRUE(runUntil(5s, [&] {
        return std::all_of(results.begin(), results.end(), [](const auto& result) { return result->has_value(); });
    }));
    EXPECT_GT(early.ended(), 0U);
    std::map<unsigned, unsigned> statuses;
    for (const auto& result : results) {
        ++statuses[(*result)->status];
        EXPECT_FALSE((*result)->status == 200 && (*result)->body == part);
    }
    EXPECT_GT(statuses[502], 0U); // These orders may have been executed.
    EXPECT_EQ(statuses[200] + statuses[502] + statuses[503], results.size());
}

/// Guards against a caller who gets an answer that no reader can be sure of, and against one who waits behind it.
TEST_F(GatewayTest, ACallerGetsNoAnswerThatCannotBeRead)
{
    std::vector<BrokenAnswer> forms = answersWithBrokenLines("Request-Id: <id>\r\nResponse-Seal: s\r\n", "hello");
    for (const std::string status : {"000", "099", "101", "600", "999"}) {
        forms.push_back({"status " + status,
            "HTTP/1.1 " + status + " X\r\nRequest-Id: <id>\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r\nhello"});
    }
    constexpr std::size_t answersPerForm = 3; // The others are sound: no requests come to a server that serves none.
    std::size_t answered = 0;
    const auto answer = [&](const std::string& request) {
        const Message message {request.substr(0, request.find("\r\n\r\n") + 2), ""};
        const std::string& broken = forms[answered / answersPerForm % forms.size()].bytes;
        std::string bytes = answered++ % answersPerForm == 0
            ? broken
            : "HTTP/1.1 200 X\r\nRequest-Id: <id>\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r\nsound";
        return bytes.replace(bytes.find("<id>"), sizeof("<id>") - 1, message.field("Request-Id"));
    };
    EarlyServer server(address(15, 8080), answer, EarlyServer::End::CloseThenReset);
    ASSERT_TRUE(server.listens());
    json::object entry = m_deskA.storeEntry("desk").as_object();
    entry["address"] = address(15, 8080);
    m_store.put("servers", "desk-c", entry);
    m_store.remove("servers", "desk-a");
    m_store.remove("servers", "desk-b");
    std::vector<std::shared_ptr<std::optional<BackendResult>>> results;
    const MonotonicTime end = monotonicNow() + 20s;
    while (server.ended() < answersPerForm * forms.size() && monotonicNow() < end) {
        results.push_back(send(0, "/order/1"));
        (void)runUntil(20ms, [] { return false; });
    }
    EXPECT_GE(server.ended(), answersPerForm * forms.size());
    ASSERT_TRUE(runUntil(2s, [&] { // Before their deadline.
        return std::all_of(results.begin(), results.end(), [](const auto& result) { return result->has_value(); });
    }));
    std::map<unsigned, unsigned> statuses;
    for (const auto& result : results) {
        ++statuses[(*result)->status];
        EXPECT_NE((*result)->body, "hello");
    }
    EXPECT_GE(statuses[502], forms.size()); // These orders may have been executed.
    EXPECT_EQ(statuses[200] + statuses[502] + statuses[503], results.size());
}

/// Guards against a gateway that answers nothing more while nobody reads its log, and against missing lines that nobody
/// learns of.
TEST_F(GatewayTest, ServesWhileNobodyReadsItsLog)
{
    constexpr unsigned requestCount = 30'000;
    constexpr unsigned atOnce = 50;
    m_logPipes[0] = m_folder + "/log-pipe";
    ASSERT_EQ(mkfifo(m_logPipes[0].c_str(), 0600), 0);
    const int pipe = open(m_logPipes[0].c_str(), O_RDWR | O_NONBLOCK | O_CLOEXEC);
    ASSERT_GE(pipe, 0);
    start(0);
    ASSERT_TRUE(runUntil(10s, [this] { return isReady(0); }));
    unsigned served = 0;
    for (unsigned sent = 0; sent < requestCount; sent += atOnce) {
        std::vector<std::shared_ptr<std::optional<BackendResult>>> results;
        for (unsigned i = 0; i < atOnce; ++i) {
            results.push_back(send(0, "/nowhere/")); // Each answer of the gateway's own writes a line.
        }
        ASSERT_TRUE(runUntil(10s,
            [&] {
                return std::all_of(
                    results.begin(), results.end(), [](const auto& result) { return result->has_value(); });
            }))
            << "after " << sent;
        for (const auto& result : results) {
            served += (*result)->status == 404 ? 1 : 0;
        }
        ASSERT_EQ(served, sent + atOnce);
    }
    EXPECT_EQ(call(0, "/read/1").status, 200U);
    EXPECT_LT(peakMemoryMb(m_gateways[0]->id()), memoryMb / 2);
    const std::string metrics = call(0, "/metrics", std::nullopt, 8388).body;
    const std::string name = "\njasminespread_log_lines_lost_total ";
    ASSERT_NE(metrics.find(name), std::string::npos);
    const unsigned long lost = std::stoul(metrics.substr(metrics.find(name) + name.size()));
    EXPECT_GT(lost, 0U);

    // Once the log is read again, it has the lines that were queued, and says how many are missing.
    std::string log;
    const auto readLog = [&] {
        char bytes[65'536];
        for (ssize_t n = 0; (n = read(pipe, bytes, sizeof bytes)) > 0;) {
            log.append(bytes, static_cast<std::size_t>(n));
        }
        return log.find("105 log-lines-lost") != std::string::npos;
    };
    EXPECT_TRUE(runUntil(10s, readLog));
    (void)runUntil(500ms, [&] { return readLog() && false; }); // The report comes before the end of the queue.
    EXPECT_NE(log.find("105 log-lines-lost jasminespread-gateway lines=" + std::to_string(lost)), std::string::npos);
    const std::string decision = " route= ";
    unsigned long decisions = 0;
    for (std::size_t at = 0; (at = log.find(decision, at)) != std::string::npos; at += decision.size()) {
        ++decisions;
    }
    EXPECT_LE(requestCount, decisions + lost);
    EXPECT_LE(decisions + lost, requestCount + 1000) << "lines of other events";

    // A stop does not wait for a reader either.
    for (unsigned i = 0; i < 2000; ++i) {
        (void)send(0, "/nowhere/");
    }
    (void)runUntil(500ms, [] { return false; });
    m_gateways[0]->signal(SIGTERM);
    EXPECT_TRUE(runUntil(6s, [this] { return !m_gateways[0]->running(); }));
    close(pipe);
}

/// Guards against breaks anywhere between store and server: discovery, configuration and grants, for both gateways and
/// both kinds of services.
TEST_F(GatewayTest, ServesPooledAndKeyedRequests)
{
    for (unsigned gateway = 0; gateway < 2; ++gateway) {
        const BackendResult pooled = call(gateway, "/read/1?a=b");
        EXPECT_EQ(pooled.status, 200U);
        EXPECT_TRUE(findHeader(pooled.headers, "Response-Seal"));
        for (const unsigned key : {0U, 20'000U, 40'000U, 65'535U}) {
            const BackendResult keyed = call(gateway, "/plan/1", key);
            EXPECT_EQ(keyed.status, 200U) << key;
            const ServerFake& owner = m_plannerA.holdsKey(key) ? m_plannerA : m_plannerB;
            EXPECT_EQ(keyed.body, "answer of " + owner.id());
            EXPECT_FALSE(m_plannerA.holdsKey(key) && m_plannerB.holdsKey(key));
        }
        EXPECT_EQ(call(gateway, "/nowhere/").status, 404U);
    }
}

/// Guards against a gateway whose calls, control bytes and answers cannot be counted from outside.
TEST_F(GatewayTest, ReportsMetrics)
{
    EXPECT_EQ(call(0, "/read/1").status, 200U);
    std::string text;
    // Only a leader that another instance has reported to sends heartbeats.
    EXPECT_TRUE(runUntil(3s, [&] {
        text = call(0, "/metrics", std::nullopt, 8388).body + call(1, "/metrics", std::nullopt, 8388).body;
        return text.find("range_leader_heartbeat") != std::string::npos;
    }));
    for (const char* sample : {"jasminespread_gateway_store_calls_total{purpose=\"list-copy\"} ",
             "jasminespread_gateway_decisions_total{service=\"desk\",decision=\"answered\"} 1\n",
             "jasminespread_gateway_request_seconds_count{service=\"desk\"} 1\n",
             "jasminespread_peer_bytes_sent_total{message=\"range_leader_heartbeat\"} "}) {
        EXPECT_NE(text.find(sample), std::string::npos) << sample << text;
    }
}

/// Guards against requests that fail during a store outage, both while the store answers 503 and while it does not
/// answer.
TEST_F(GatewayTest, ServesDuringStoreOutage)
{
    for (const StoreFake::Mode mode : {StoreFake::Mode::Unavailable, StoreFake::Mode::Unresponsive}) {
        m_store.setMode(mode);
        const MonotonicTime end = monotonicNow() + 4s;
        while (monotonicNow() < end) {
            EXPECT_EQ(call(0, "/read/1").status, 200U);
            EXPECT_EQ(call(1, "/plan/1", 40'000).status, 200U);
            (void)runUntil(100ms, [] { return false; });
        }
        m_store.setMode(StoreFake::Mode::Serving);
        const std::string prefix = "/new" + std::to_string(static_cast<int>(mode)) + "/";
        m_store.put("config", "main", gatewayConfiguration(10 + static_cast<std::uint64_t>(mode), prefix));
        EXPECT_TRUE(runUntil(3s, [&] { return call(0, prefix).status == 200 && call(1, prefix).status == 200; }));
    }
}

/// Guards against a planned stop that cuts off requests on connections which were accepted shortly before it ends.
TEST_F(GatewayTest, AnswersConnectionsAcceptedDuringStop)
{
    m_gateways[0]->signal(SIGTERM);
    std::deque<std::pair<MonotonicTime, int>> opened;
    std::vector<int> sent;
    const std::optional<SocketAddress> to = parseSocketAddress(address(21, 8381));
    const std::string text = "GET /read/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: x\r\nDeadline-Ms: 3000\r\n\r\n";
    const auto sendDue = [&](MonotonicTime now) {
        while (!opened.empty() && opened.front().first + 100ms <= now) {
            EXPECT_EQ(::send(opened.front().second, text.data(), text.size(), MSG_NOSIGNAL),
                static_cast<ssize_t>(text.size()));
            sent.push_back(opened.front().second);
            opened.pop_front();
        }
    };
    const MonotonicTime end = monotonicNow() + 5s;
    bool refused = false;
    while (monotonicNow() < end && (!refused || !opened.empty())) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        refused = refused || connect(fd, to->get(), to->size) != 0;
        if (refused) {
            close(fd);
        } else {
            opened.emplace_back(monotonicNow(), fd);
        }
        (void)runUntil(20ms, [] { return false; });
        sendDue(monotonicNow());
    }
    EXPECT_TRUE(refused);
    (void)runUntil(300ms, [] { return false; });
    unsigned unanswered = 0;
    for (const int fd : sent) {
        char bytes[4096];
        unanswered += recv(fd, bytes, sizeof bytes, MSG_DONTWAIT) > 0 ? 0 : 1;
        close(fd);
    }
    EXPECT_GT(sent.size(), 20U);
    EXPECT_EQ(unanswered, 0U) << "of " << sent.size();
}

/// Guards against a planned stop that cuts off a request without an answer: one that comes so late that it cannot be
/// answered before the process ends is refused before a server gets it, an earlier one gets an answer at the end.
TEST_F(GatewayTest, AnswersRequestsThatComeLateInAStop)
{
    m_deskA.setServiceTime(3500ms);
    m_deskB.setServiceTime(3500ms);
    const std::optional<SocketAddress> to = parseSocketAddress(address(21, 8381));
    const auto open = [&to] {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        EXPECT_EQ(connect(fd, to->get(), to->size), 0);
        return fd;
    };
    const auto request = [](int fd, const std::string& id) {
        const std::string text
            = "GET /order/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 3000\r\n\r\n";
        EXPECT_EQ(::send(fd, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
    };
    m_gateways[0]->signal(SIGTERM);
    (void)runUntil(2850ms, [] { return false; });
    const int early = open();
    const int late = open();
    request(early, "early");
    (void)runUntil(550ms, [] { return false; });
    request(late, "late");
    std::map<int, std::string> answers;
    (void)runUntil(4s, [&] {
        for (const int fd : {early, late}) {
            char bytes[4096];
            const ssize_t n = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
            answers[fd].append(bytes, n > 0 ? static_cast<std::size_t>(n) : 0);
        }
        return !m_gateways[0]->running();
    });
    EXPECT_TRUE(answers[early].starts_with("HTTP/1.1 504 ")) << answers[early];
    EXPECT_TRUE(answers[late].starts_with("HTTP/1.1 503 ")) << answers[late];
    EXPECT_NE(answers[late].find("Retry-After: "), std::string::npos);
    const auto arrived = [](const ServerFake& desk, const std::string& id) {
        return std::any_of(desk.arrivals().begin(), desk.arrivals().end(),
            [&id](const ServerFake::Arrival& arrival) { return arrival.requestId == id; });
    };
    EXPECT_TRUE(arrived(m_deskA, "early") || arrived(m_deskB, "early"));
    EXPECT_FALSE(arrived(m_deskA, "late") || arrived(m_deskB, "late"));
    close(early);
    close(late);
}

/// Guards against decisions by the time of day: it jumps ahead and back on one instance, the leader or another one.
TEST_F(GatewayTest, ServesWhileTheTimeOfDayJumps)
{
    std::uint64_t version = 10;
    for (const unsigned jumping : {0U, 1U}) {
        for (const std::chrono::seconds shift : {1910s, 0s, -1910s, 0s}) {
            shiftClock(jumping, shift);
            const MonotonicTime end = monotonicNow() + 1500ms;
            while (monotonicNow() < end) {
                EXPECT_EQ(call(jumping, "/read/1").status, 200U);
                EXPECT_EQ(call(1 - jumping, "/plan/1", 40'000).status, 200U);
                (void)runUntil(50ms, [] { return false; });
            }
            const std::string prefix = "/v" + std::to_string(++version) + "/";
            m_store.put("config", "main", gatewayConfiguration(version, prefix));
            EXPECT_TRUE(runUntil(3s, [&] { return call(0, prefix).status == 200 && call(1, prefix).status == 200; }));
        }
        EXPECT_GE(clockJumpsIn(logFile(jumping)), 4U);
    }
}

/// Guards against an instance that keeps an old configuration after the store dropped the history of its changes.
TEST_F(GatewayTest, FollowsConfigurationAfterHistoryCompaction)
{
    m_store.compact();
    m_store.put("config", "main", gatewayConfiguration(9, "/new/"));
    EXPECT_TRUE(runUntil(2s, [&] { return call(0, "/new/").status == 200 && call(1, "/new/").status == 200; }));
    EXPECT_EQ(call(0, "/old/").status, 404U);
    m_store.put("config", "main", gatewayConfiguration(8, "/old/")); // An older version must not replace a newer one.
    EXPECT_FALSE(runUntil(1s, [&] { return call(0, "/old/").status == 200; }));
}

/// Guards against requests that reach the owner of their key after it has left, and are lost as it ends: watches of the
/// store are cut off as its entry is removed, and again later.
TEST_F(GatewayTest, ARemovedOwnerGetsNothingAfterTheDrainTimeBesideCutWatches)
{
    constexpr Milliseconds drainTime = 2000ms;
    constexpr Milliseconds cutInterval = 1500ms;
    const auto servesAllKeys = [&](const ServerFake& server) { return server.holdsKey(0) && server.holdsKey(65'535); };
    ASSERT_TRUE(runUntil(5s, [&] { return m_plannerA.holdsKey(0) || m_plannerA.holdsKey(65'535); }));
    const auto sendToSomeKey = [&](unsigned number) { (void)send(number % 2, "/plan/1", "", number * 997 % 65'536); };
    for (unsigned i = 0; i < 50; ++i) {
        sendToSomeKey(i);
        (void)runUntil(20ms, [] { return false; });
    }
    ASSERT_FALSE(m_plannerA.arrivals().empty());
    m_store.failWatches();
    m_store.remove("servers", "planner-a");
    const MonotonicTime removedAt = monotonicNow();
    MonotonicTime nextCutAt = removedAt + cutInterval;
    for (unsigned i = 0; monotonicNow() < removedAt + 3 * drainTime; ++i) {
        sendToSomeKey(i);
        if (monotonicNow() >= nextCutAt) {
            m_store.failWatches();
            nextCutAt += cutInterval;
        }
        (void)runUntil(20ms, [] { return false; });
    }
    const Milliseconds last = std::chrono::duration_cast<Milliseconds>(m_plannerA.arrivals().back().at - removedAt);
    EXPECT_LE(last, drainTime);
    EXPECT_TRUE(servesAllKeys(m_plannerB));
}

/// Guards against keys that move without need: the entry of their owner expires in an outage of the store, and is back
/// soon after it.
TEST_F(GatewayTest, KeysStayWithAnOwnerWhoseEntryExpiresInAnOutage)
{
    ASSERT_TRUE(runUntil(5s, [&] { return m_plannerA.holdsKey(0) || m_plannerA.holdsKey(65'535); }));
    const auto keepsItsKeys = [&, key = m_plannerA.holdsKey(0) ? 0U : 65'535U] {
        return m_plannerA.holdsKey(key) && !m_plannerB.holdsKey(key);
    };
    for (const StoreFake::Mode mode : {StoreFake::Mode::Unavailable, StoreFake::Mode::Unresponsive}) {
        m_store.setMode(mode);
        EXPECT_FALSE(runUntil(2500ms, [&] { return !keepsItsKeys(); }));
        m_store.remove("servers", "planner-a");
        EXPECT_FALSE(runUntil(1500ms, [&] { return !keepsItsKeys(); }));
        m_store.setMode(StoreFake::Mode::Serving);
        EXPECT_FALSE(runUntil(1000ms, [&] { return !keepsItsKeys(); }));
        m_store.put("servers", "planner-a", m_plannerA.storeEntry("planner"));
        EXPECT_FALSE(runUntil(2500ms, [&] { return !keepsItsKeys(); }));
    }
}

/// Guards against a number of store calls that grows with the number of instances. Only the leader watches the store;
/// its changes reach the other instances, and another instance takes over when it is lost.
TEST_F(GatewayTest, OneInstanceWatchesStoreForAll)
{
    (void)runUntil(2s, [] { return false; });
    const std::uint64_t before = m_store.calls();
    (void)runUntil(4s, [] { return false; });
    // Calls per second: two for each of the two feeds, and one for the leader's own record.
    EXPECT_LE(m_store.calls() - before, 4U * (2 * 2 + 1) + 4);
    m_store.put("config", "main", gatewayConfiguration(20, "/shared/"));
    EXPECT_TRUE(runUntil(2s, [&] { return call(0, "/shared/").status == 200 && call(1, "/shared/").status == 200; }));
    const json::object leader = json::parse(m_store.spec("jasminespread", "leader")->as_string()).as_object();
    const unsigned lostGateway = leader.at("instance").as_string() == "edge-0" ? 0 : 1;
    m_gateways[lostGateway]->kill();
    m_store.put("config", "main", gatewayConfiguration(21, "/alone/"));
    EXPECT_TRUE(runUntil(2s, [&] { return call(1 - lostGateway, "/alone/").status == 200; }));
}

/// Guards against keys that stay without an owner after the instance that grants them was lost.
TEST_F(GatewayTest, ServesKeysAfterLeaderLoss)
{
    const json::object leader = json::parse(m_store.spec("jasminespread", "leader")->as_string()).as_object();
    const unsigned lostGateway = leader.at("instance").as_string() == "edge-0" ? 0 : 1;
    m_gateways[lostGateway]->kill();
    const MonotonicTime lostAt = monotonicNow();
    (void)runUntil(500ms, [] { return false; });
    EXPECT_TRUE(runUntil(4s, [&] {
        return call(1 - lostGateway, "/plan/1", 10).status == 200
            && call(1 - lostGateway, "/plan/1", 65'000).status == 200
            && json::parse(m_store.spec("jasminespread", "leader")->as_string()).as_object().at("term").to_number<int>()
            > 1;
    }));
    EXPECT_LE(monotonicNow() - lostAt, 4s); // The users' recovery target.
}

/// Guards against a return to an earlier configuration, against keys without an owner, and against changes that are
/// ignored because their revisions are lower, after the store was restored from an earlier copy.
TEST_F(GatewayTest, KeepsServingAfterTheStoreIsRestored)
{
    m_store.takeCopy();
    m_store.put("config", "main", gatewayConfiguration(6, "/new/"));
    EXPECT_TRUE(runUntil(2s, [&] { return call(0, "/new/1").status == 200 && call(1, "/new/1").status == 200; }));
    m_store.restoreCopy();
    EXPECT_TRUE(runUntil(4s, [&] {
        const json::value* leader = m_store.spec("jasminespread", "leader");
        return leader != nullptr
            && json::parse(leader->as_string()).as_object().at("term").to_number<std::uint64_t>() >= firstTermOf(1);
    }));
    for (unsigned i = 0; i < 20; ++i) {
        EXPECT_EQ(call(i % 2, "/new/1").status, 200U);
        EXPECT_EQ(call(i % 2, "/plan/1", static_cast<int>(i) * 3000).status, 200U);
        (void)runUntil(200ms, [] { return false; });
    }
    m_store.put("config", "main", gatewayConfiguration(7, "/newer/"));
    EXPECT_TRUE(runUntil(2s, [&] { return call(0, "/newer/1").status == 200 && call(1, "/newer/1").status == 200; }));
}

/// Guards against requests sent to a draining server, and against keys that stay with it.
TEST_F(GatewayTest, MovesWorkAwayFromDrainingServers)
{
    m_store.put("servers", "desk-a", m_deskA.storeEntry("desk", "draining"));
    m_store.put("servers", "planner-a", m_plannerA.storeEntry("planner", "draining"));
    EXPECT_TRUE(
        runUntil(2s, [&] { return m_plannerB.holdsKey(0) && m_plannerB.holdsKey(65'535) && !m_plannerA.holdsKey(0); }));
    const std::size_t before = m_deskA.executedRequests().size() + m_plannerA.executedRequests().size();
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(call(i % 2, "/read/1").status, 200U);
        EXPECT_EQ(call(i % 2, "/plan/1", i * 6000).status, 200U);
    }
    EXPECT_EQ(m_deskA.executedRequests().size() + m_plannerA.executedRequests().size(), before);
}

/// Sends requests through both gateways at short intervals and compares what arrives at servers with what the servers
/// had stated before.
class GatewayStatementTest : public GatewayTest {
protected:
    /// Lets both gateways find that desk-a is the faster server, so that they prefer it.
    GatewayStatementTest()
    {
        m_deskB.setServiceTime(500ms);
        for (unsigned gateway = 0; gateway < 2; ++gateway) {
            for (int answers = 0; answers < 5;) {
                answers += findHeader(call(gateway, "/read/1").headers, "Server") == "desk-a" ? 1 : 0;
            }
        }
        m_deskB.setServiceTime(0ms);
    }

    struct Sent {
        unsigned gateway = 0;
        std::string id;
        MonotonicTime at;
        MonotonicTime answeredAt;
        std::shared_ptr<std::optional<BackendResult>> result;
    };

    /// Sends pooled requests and requests for @p key for @p duration and waits for the answers.
    std::vector<Sent> load(Milliseconds duration, unsigned key)
    {
        std::vector<Sent> sent;
        const MonotonicTime end = monotonicNow() + duration;
        const auto noteAnswers = [&sent] {
            for (Sent& request : sent) {
                if (request.answeredAt == MonotonicTime() && request.result->has_value()) {
                    request.answeredAt = monotonicNow();
                }
            }
            return false;
        };
        for (unsigned i = 0; monotonicNow() < end; ++i) {
            const unsigned gateway = i % 2;
            const bool keyed = i % 4 >= 2;
            const std::string id = "load-" + std::to_string(++m_requestCount);
            sent.push_back({gateway, id, monotonicNow(), {},
                send(gateway, keyed ? "/plan/1" : "/read/1", id,
                    keyed ? std::optional(key) : std::optional<unsigned>())});
            (void)runUntil(10ms, noteAnswers);
        }
        (void)runUntil(3s, [&] {
            noteAnswers();
            return std::all_of(
                sent.begin(), sent.end(), [](const Sent& request) { return request.answeredAt != MonotonicTime(); });
        });
        return sent;
    }

    /// Number of requests that reached @p server from @p gateway although they were sent later than the drain time
    /// after the gateway had passed on an answer in which the server states that it leaves.
    static unsigned arrivalsAfterDrainTime(const std::vector<Sent>& sent, const ServerFake& server, unsigned gateway)
    {
        constexpr Milliseconds drainTime {2000};
        std::optional<MonotonicTime> passedOnAt;
        for (const Sent& request : sent) {
            const bool states = request.gateway == gateway && request.result->has_value()
                && findHeader(request.result->value().headers, "Server-Leaving") == "1"
                && findHeader(request.result->value().headers, "Server") == server.id();
            if (states) {
                passedOnAt = std::min(passedOnAt.value_or(request.answeredAt), request.answeredAt);
            }
        }
        EXPECT_TRUE(passedOnAt) << server.id() << " answered nothing through gateway " << gateway;
        unsigned late = 0;
        for (const Sent& request : sent) {
            const bool arrived = std::any_of(server.arrivals().begin(), server.arrivals().end(),
                [&request](const ServerFake::Arrival& arrival) { return arrival.requestId == request.id; });
            late += passedOnAt && request.gateway == gateway && arrived && request.at > *passedOnAt + drainTime ? 1 : 0;
        }
        return late;
    }

    /// Highest number of requests that reached @p server from @p gateway between half a second after one of them was
    /// refused and the end of the pause that the refusal asked for.
    static unsigned arrivalsDuringPause(const std::vector<Sent>& sent, const ServerFake& server, unsigned gateway,
        MonotonicTime lastRefusalAt, Milliseconds pause)
    {
        std::vector<MonotonicTime> arrivals;
        for (const ServerFake::Arrival& arrival : server.arrivals()) {
            const bool viaGateway = std::any_of(sent.begin(), sent.end(),
                [&](const Sent& request) { return request.gateway == gateway && request.id == arrival.requestId; });
            if (viaGateway) {
                arrivals.push_back(arrival.at);
            }
        }
        unsigned most = 0;
        for (const MonotonicTime refusedAt : arrivals) {
            const auto during = std::count_if(arrivals.begin(), arrivals.end(),
                [&](MonotonicTime at) { return at > refusedAt + 500ms && at < refusedAt + pause; });
            most = refusedAt <= lastRefusalAt ? std::max(most, static_cast<unsigned>(during)) : most;
        }
        return most;
    }

    static unsigned succeeded(const std::vector<Sent>& sent)
    {
        return static_cast<unsigned>(std::count_if(sent.begin(), sent.end(),
            [](const Sent& request) { return request.result->has_value() && request.result->value().status == 200; }));
    }

    ServerFake& ownerOf(unsigned key) { return m_plannerA.holdsKey(key) ? m_plannerA : m_plannerB; }
};

/// Guards against requests to servers that have said that they leave, while the store lists them as ready.
TEST_F(GatewayStatementTest, ServersThatStateThatTheyLeaveGetNothingAfterTheDrainTime)
{
    constexpr unsigned key = 40'000;
    ServerFake& owner = ownerOf(key);
    m_deskA.stateLeaving("1");
    owner.stateLeaving("1");
    const std::vector<Sent> sent = load(4s, key);
    for (unsigned gateway = 0; gateway < 2; ++gateway) {
        EXPECT_EQ(arrivalsAfterDrainTime(sent, m_deskA, gateway), 0U);
        EXPECT_EQ(arrivalsAfterDrainTime(sent, owner, gateway), 0U);
    }
    // The keys have moved, and no request was refused meanwhile.
    EXPECT_FALSE(owner.holdsKey(key));
    EXPECT_EQ(succeeded(sent), sent.size());
}

/// Guards against the same while the store is away and an instance is paused, and against a server that stays without
/// requests after it has started again under its id.
TEST_F(GatewayStatementTest, LeavingHoldsWithoutTheStoreUntilTheServerStartsAgain)
{
    constexpr unsigned key = 40'000;
    ServerFake& owner = ownerOf(key);
    m_store.setMode(StoreFake::Mode::Unavailable);
    m_deskA.stateLeaving("1");
    owner.stateLeaving("1");
    std::vector<Sent> sent = load(1s, key);
    m_gateways[1]->signal(SIGSTOP);
    (void)runUntil(800ms, [] { return false; });
    m_gateways[1]->signal(SIGCONT);
    const std::vector<Sent> later = load(3s, key);
    sent.insert(sent.end(), later.begin(), later.end());
    for (unsigned gateway = 0; gateway < 2; ++gateway) {
        EXPECT_EQ(arrivalsAfterDrainTime(sent, m_deskA, gateway), 0U);
        EXPECT_EQ(arrivalsAfterDrainTime(sent, owner, gateway), 0U);
    }
    m_store.setMode(StoreFake::Mode::Serving);
    m_deskA.restart();
    m_store.put("servers", "desk-a", m_deskA.storeEntry("desk"));
    const std::size_t before = m_deskA.arrivals().size();
    EXPECT_TRUE(runUntil(4s, [&] { return call(0, "/read/1").status == 200 && m_deskA.arrivals().size() > before; }));
}

/// Guards against requests to a server in the time for which it has asked for none.
TEST_F(GatewayStatementTest, AServerGetsNothingInThePauseThatItAsksFor)
{
    constexpr unsigned key = 40'000;
    ServerFake& owner = ownerOf(key);
    const MonotonicTime lastRefusalAt = monotonicNow() + 300ms;
    m_deskA.refuse("1.5", 300ms);
    owner.refuse("1.5", 300ms);
    const std::vector<Sent> sent = load(2500ms, key);
    for (unsigned gateway = 0; gateway < 2; ++gateway) {
        EXPECT_LE(arrivalsDuringPause(sent, m_deskA, gateway, lastRefusalAt, 1500ms), 2U);
        EXPECT_LE(arrivalsDuringPause(sent, owner, gateway, lastRefusalAt, 1500ms), 2U);
    }
    for (const Sent& request : sent) {
        ASSERT_TRUE(request.result->has_value()) << request.id;
        const bool refused = request.result->value().status == 503;
        EXPECT_TRUE(refused || request.result->value().status == 200) << request.result->value().status;
        EXPECT_TRUE(!refused || findHeader(request.result->value().headers, "Retry-After")) << request.id;
    }
    // After the pause the server is used again when the other one leaves.
    m_deskB.stateLeaving("1");
    (void)call(0, "/read/1");
    const std::size_t before = m_deskA.arrivals().size();
    EXPECT_EQ(call(0, "/read/1").status, 200U);
    EXPECT_GT(m_deskA.arrivals().size(), before);
}

/// Guards against a server that is lost because of a value that says nothing.
TEST_F(GatewayStatementTest, OddStatementsChangeNothing)
{
    for (const char* odd : {"0", "true", "11"}) {
        m_deskA.stateLeaving(odd);
        m_deskB.stateLeaving(odd);
        for (int i = 0; i < 20; ++i) {
            EXPECT_EQ(call(i % 2, "/read/1").status, 200U);
        }
    }
    for (const char* odd : {"-5", "Wed, 21 Oct 2026 07:28:00 GMT", "1e9"}) {
        m_deskA.refuse(odd, 100ms);
        m_deskB.refuse(odd, 100ms);
        (void)call(0, "/read/1");
        EXPECT_TRUE(runUntil(2s, [&] { return call(0, "/read/1").status == 200; })) << odd;
    }
}

/// Guards against refusing a request, with the promise that it was not executed, that a server has executed.
TEST_F(GatewayTest, ARequestThatAServerExecutedIsNotRefused)
{
    for (const unsigned status : {408U, 429U, 503U}) {
        m_deskA.failAfterExecution(status);
        m_deskB.failAfterExecution(status);
        for (unsigned i = 0; i < 4; ++i) {
            const std::string id = "order-" + std::to_string(status) + "-" + std::to_string(i);
            const auto result = send(i % 2, "/order/1", id);
            ASSERT_TRUE(runUntil(5s, [&] { return result->has_value(); }));
            EXPECT_EQ((*result)->status, 502U) << "a server executed " << id << " and answered " << status;
            EXPECT_FALSE(findHeader((*result)->headers, "Response-Seal")) << id;
        }
    }
    EXPECT_EQ(m_deskA.executedRequests().size() + m_deskB.executedRequests().size(), 12U);
}

/// Guards against running a request whose caller had closed the connection before the gateway read the request.
TEST_F(GatewayTest, DropsUnreadRequestsOfDisconnectedCallers)
{
    for (int i = 0; i < 6; ++i) {
        EXPECT_EQ(call(0, "/read/1").status, 200U);
    }
    m_gateways[0]->signal(SIGSTOP);
    for (int i = 0; i < 8; ++i) {
        sendAndDisconnect(0, "/read/1", "left-" + std::to_string(i));
    }
    (void)runUntil(100ms, [] { return false; });
    m_gateways[0]->signal(SIGCONT);
    EXPECT_EQ(call(0, "/read/1").status, 200U);
    for (const ServerFake* desk : {&m_deskA, &m_deskB}) {
        for (const std::string& id : desk->executedRequests()) {
            EXPECT_FALSE(id.starts_with("left-")) << id;
        }
    }
}

/// Guards against a planned stop that cuts off a request in flight or takes longer than its grace period.
TEST_F(GatewayTest, AnswersRequestsInFlightBeforeStop)
{
    m_deskA.setServiceTime(1500ms);
    m_deskB.setServiceTime(1500ms);
    const auto running = send(0, "/order/1", "order-1");
    (void)runUntil(300ms, [] { return false; });
    m_gateways[0]->signal(SIGTERM);
    EXPECT_TRUE(runUntil(1s, [&] { return !isReady(0); }));
    EXPECT_TRUE(runUntil(3s, [&] { return running->has_value(); }));
    EXPECT_EQ(running->value().status, 200U);
    EXPECT_EQ(findHeader(running->value().headers, "Connection"), "close");
    EXPECT_TRUE(runUntil(6s, [&] { return !m_gateways[0]->running(); }));
    EXPECT_EQ(call(1, "/read/1").status, 200U);
}

} // namespace
} // namespace jasminespread::test
