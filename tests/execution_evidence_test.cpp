#include <jasminespread/backend_transports.h>

#include "gateway/gateway_reducer.h"
#include "ingress_codec.h"
#include "support/http_peer.h"

#include <glib.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <optional>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;
using test::TestBackend;

/// The reducer, the codec and the transport of the gateway, wired as in GatewayDaemon, for one non-idempotent request.
class ExecutionEvidenceTest : public testing::Test {
protected:
    ExecutionEvidenceTest()
        : m_context(g_main_context_new())
        , m_reducer({"domain-a", "west", {0.2, 10s, 100}}, 7)
    {
        g_main_context_push_thread_default(m_context);
        m_transport = makeBeastBackendTransport({100'000});
        apply(InstanceCountChanged {1});
    }
    ~ExecutionEvidenceTest() override
    {
        m_transport = {};
        g_main_context_pop_thread_default(m_context);
        g_main_context_unref(m_context);
    }

    void configure(Repeatability repeatability = Repeatability::NonIdempotent, std::uint32_t maxAttempts = 3)
    {
        auto configuration = std::make_shared<GatewayConfiguration>();
        configuration->version = 1;
        configuration->services["ledger"] = GatewayService {"ledger", "/health", 100, false, 0ms};
        HostRoute& route = configuration->routes.emplace_back();
        route.name = "order";
        route.host = "a.example";
        route.pathPrefix = "/order/";
        route.repeatability = repeatability;
        route.timeout = 3000ms;
        route.latencyObjective = 400ms;
        route.maxAttempts = maxAttempts;
        route.targets = {{"ledger", 1}};
        apply(GatewayConfigured {configuration});
    }

    void list(const std::vector<std::pair<std::string, std::string>>& servers)
    {
        ServerList listed;
        for (const auto& [id, address] : servers) {
            ListedServer& server = listed.emplace_back();
            server.identity = {id, 1};
            server.service = "ledger";
            server.address = address;
            server.failureDomain = listed.size() == 1 ? "domain-a" : "domain-c"; // The first one is chosen first.
            server.region = listed.size() == 1 ? "west" : "east";
            server.slots = 6;
        }
        apply(ServersListed {std::make_shared<const ServerList>(std::move(listed)), 0ms});
    }

    unsigned statusOfRequest(const std::string& id)
    {
        GatewayRequest request;
        request.id = id;
        request.host = "a.example";
        request.method = "POST";
        request.path = request.target = "/order/x";
        request.headers = {{"Host", "a.example"}, {"Request-Id", id}};
        request.body = "order";
        request.timeLeft = 3000ms;
        m_answer.reset();
        apply(RequestReceived {1, std::move(request)});
        const MonotonicTime end = monotonicNow() + 5s;
        while (!m_answer && monotonicNow() < end) {
            if (!g_main_context_iteration(m_context, FALSE)) {
                std::this_thread::sleep_for(std::chrono::microseconds(200));
            }
        }
        return m_answer ? m_answer->status : 0;
    }

    void apply(GatewayEvent event)
    {
        for (GatewayEffect& effect : m_reducer.reduce({monotonicNow(), std::move(event)})) {
            if (const auto* send = std::get_if<SendToServer>(&effect)) {
                m_transport.send(platform::encodeSend(*send), [this, dispatch = send->dispatch](BackendResult result) {
                    if (result.progress == BackendProgress::Answered) {
                        return apply(ServerAnswered {dispatch, platform::decodeServerAnswer(std::move(result))});
                    }
                    apply(SendFailed {dispatch,
                        result.progress == BackendProgress::Broken ? SendFailure::MayHaveRun : SendFailure::NotSent,
                        result.failure});
                });
            } else if (auto* answer = std::get_if<AnswerRequest>(&effect)) {
                m_answer = std::move(*answer);
            }
        }
    }

    static bool isFor(const std::string& request, const std::string& server)
    {
        return request.find("Expect-Instance: " + server + "\r\n") != std::string::npos;
    }

    GMainContext* m_context;
    BackendTransport m_transport;
    GatewayReducer m_reducer;
    std::optional<AnswerRequest> m_answer;
};

/// Guards against losing a server's own failure: a later server's unproven promise must not replace it.
TEST_F(ExecutionEvidenceTest, AnEarlierFailureOfAServerIsReturnedUnchanged)
{
    std::atomic<int> received {0};
    TestBackend failing([&received](const std::string&) -> std::string {
        ++received;
        return TestBackend::answer("failed", "Request-Id: 7\r\nResponse-Seal: s\r\n", 500);
    });
    TestBackend unproven([&received](const std::string&) -> std::string {
        ++received;
        return TestBackend::answer("", "Request-Id: 7\r\n", 503);
    });
    configure(Repeatability::Idempotent, 2);
    list({{"a", failing.address()}, {"b", unproven.address()}});
    const unsigned status = statusOfRequest("7");
    ASSERT_EQ(received, 2);
    EXPECT_EQ(status, 500U);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->body, "failed");
}

/// Guards against a refusal of an executed request: a copy of the answer to its first dispatch has the same id.
TEST_F(ExecutionEvidenceTest, ACopyOfARefusalIsNotProofForAnotherServerAtTheSameAddress)
{
    std::atomic<int> executed {0};
    std::atomic<const TestBackend*> self {nullptr};
    TestBackend backend([&](const std::string& request) -> std::string {
        const std::string id = "Request-Id: 7\r\n";
        std::string misdirected = TestBackend::answer("", id + "Not-Executed: 1\r\n", 421);
        if (!isFor(request, "new")) {
            return misdirected;
        }
        ++executed;
        // The copy belongs to the connection that carried the refusal.
        const bool kept = self.load()->connections() == 1;
        return (kept ? misdirected : std::string()) + TestBackend::answer("done", id + "Response-Seal: s\r\n");
    });
    self = &backend;
    configure();
    list({{"old", backend.address()}, {"new", backend.address()}});
    const unsigned status = statusOfRequest("7");
    ASSERT_NE(status, 0U);
    ASSERT_EQ(executed, 1);
    EXPECT_FALSE(promisesNotRun(status)) << status;
    EXPECT_EQ(status, 200U);
}

/// Guards against a refusal of an executed request: behind another request's answer, one without an id may be a copy.
TEST_F(ExecutionEvidenceTest, AnAnswerWithoutAnIdBehindADroppedOneIsNoProof)
{
    std::atomic<int> executed {0};
    TestBackend backend([&executed](const std::string&) -> std::string {
        ++executed;
        return TestBackend::answer("", "Request-Id: other\r\nNot-Executed: 1\r\n", 503)
            + TestBackend::answer("", "Not-Executed: 1\r\n", 503)
            + TestBackend::answer("done", "Request-Id: 7\r\nResponse-Seal: s\r\n");
    });
    configure();
    list({{"a", backend.address()}});
    const unsigned status = statusOfRequest("7");
    ASSERT_NE(status, 0U);
    ASSERT_GE(executed, 1);
    EXPECT_FALSE(promisesNotRun(status)) << status;
}

/// Guards against a field of the trailer, which is no statement, being read as one of the head.
TEST_F(ExecutionEvidenceTest, ATrailerIsNoStatement)
{
    std::atomic<int> executed {0};
    TestBackend backend([&executed](const std::string&) -> std::string {
        ++executed;
        return "HTTP/1.1 503 X\r\nRequest-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n"
               "4\r\nfail\r\n0\r\nNot-Executed: 1\r\n\r\n";
    });
    configure();
    list({{"a", backend.address()}});
    const unsigned status = statusOfRequest("7");
    ASSERT_NE(status, 0U);
    ASSERT_EQ(executed, 1);
    EXPECT_FALSE(promisesNotRun(status)) << status;
}

/// Guards against a caller without an answer: its send was withheld in a pause that is over when that becomes known.
TEST_F(ExecutionEvidenceTest, ASendWithheldBecauseOfAPauseIsNotTakenForACallerThatLeft)
{
    configure();
    list({{"a", "127.0.0.1:9"}});
    MonotonicTime now = monotonicNow();
    const auto reduce = [&](GatewayEvent event) { return m_reducer.reduce({now, std::move(event)}); };
    const auto send = [&](std::uint64_t caller) {
        GatewayRequest request;
        request.id = std::to_string(caller);
        request.host = "a.example";
        request.path = request.target = "/order/x";
        request.timeLeft = 3000ms;
        for (const GatewayEffect& effect : reduce(RequestReceived {caller, std::move(request)})) {
            if (const auto* sent = std::get_if<SendToServer>(&effect)) {
                return sent->dispatch;
            }
        }
        return std::uint64_t {0};
    };
    const std::uint64_t first = send(1);
    const std::uint64_t second = send(2);
    ASSERT_NE(first * second, 0U);
    ServerAnswer refusal;
    refusal.status = 503;
    refusal.execution = Execution::NotRun;
    refusal.requestedPause = 100ms;
    (void)reduce(ServerAnswered {first, refusal});
    ASSERT_FALSE(m_reducer.maySend(second, now)); // GatewayDaemon withholds the second request here.
    now += 700ms;
    ASSERT_TRUE(m_reducer.maySend(second, now));
    const GatewayEffects effects = reduce(SendFailed {second, SendFailure::Withheld, "withheld"});
    const bool goesOn = std::any_of(effects.begin(), effects.end(), [](const GatewayEffect& effect) {
        return std::holds_alternative<AnswerRequest>(effect) || std::holds_alternative<SendToServer>(effect);
    });
    EXPECT_TRUE(goesOn || m_reducer.requestsInFlight() > 0) << "the caller of the second request gets no answer";
}

} // namespace
} // namespace jasminespread
