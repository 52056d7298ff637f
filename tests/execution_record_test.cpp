#include "gateway/execution_record.h"
#include "gateway/gateway_reducer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

TEST(ExecutionRecordTest, ADispatchMayHaveRunUntilItIsProvenNotTo)
{
    ExecutionRecord execution;
    EXPECT_FALSE(execution.mayHaveRun());
    execution.onDispatched();
    EXPECT_TRUE(execution.mayHaveRun());
    execution.onNotRun(NotRunProof::NotSent);
    EXPECT_FALSE(execution.mayHaveRun());
    execution.onDispatched();
    execution.onDispatched();
    execution.onNotRun(NotRunProof::Stated);
    EXPECT_TRUE(execution.mayHaveRun());
    EXPECT_EQ(execution.summary(), "dispatches=3 not-sent=1 stated=1");
}

/// A gateway that gets requests, answers and failures of servers, lists, tables and configurations in random order, and
/// a record of what is proven of each dispatch.
class RandomGateway {
public:
    explicit RandomGateway(std::uint64_t seed)
        : m_random(seed)
        , m_reducer({"domain-a", "west", {0.2, 10s, 100}}, seed)
    {
        configure();
        list();
        apply(InstanceCountChanged {1});
        routeKeys();
    }

    void step()
    {
        m_now += Milliseconds(below(40));
        const std::uint64_t kind = below(20);
        if (kind < 6) {
            request();
        } else if (kind < 14) {
            endDispatch();
        } else if (kind == 14) {
            configure();
        } else if (kind == 15) {
            list();
        } else if (kind == 16) {
            routeKeys();
        } else if (kind == 17) {
            m_now += Milliseconds(below(500));
        } else if (kind == 18 && !m_requests.empty()) {
            apply(CallerDisconnected {1 + below(m_requests.size())});
        }
        apply(GatewayTick {});
    }

    void stop()
    {
        apply(InstanceStopping {m_now, m_now + 300ms});
        m_now += 300ms;
        apply(GatewayTick {});
    }

    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    [[nodiscard]] unsigned promises() const { return m_promises; }

private:
    struct Sent {
        std::uint64_t dispatch = 0;
        std::uint64_t request = 0;
        bool open = true;
    };
    struct Request {
        bool mayRepeat = false;
        unsigned unproven = 0; ///< Dispatches that may have been executed.
    };

    std::uint64_t below(std::uint64_t n) { return std::uniform_int_distribution<std::uint64_t>(0, n - 1)(m_random); }

    void request()
    {
        GatewayRequest request;
        const bool keyed = below(3) == 0;
        const bool changing = !keyed && below(2) == 0;
        request.host = "a.example";
        request.path = keyed ? "/plan/x" : changing ? "/change/x" : "/order/x";
        request.target = request.path;
        request.timeLeft = Milliseconds(100 + below(900));
        request.key = 42;
        const std::uint64_t caller = m_requests.size() + 1;
        request.id = std::to_string(caller);
        m_requests.push_back({changing && m_changingMayRepeat, 0});
        apply(RequestReceived {caller, std::move(request)});
    }

    void endDispatch()
    {
        std::vector<Sent*> open;
        for (Sent& sent : m_sent) {
            if (sent.open) {
                open.push_back(&sent);
            }
        }
        if (open.empty()) {
            return;
        }
        Sent& sent = *open[below(open.size())];
        const std::uint64_t dispatch = sent.dispatch;
        sent.open = false;
        if (below(3) == 0) {
            const auto failure = static_cast<SendFailure>(below(sendFailureNames.size()));
            noteEnd(sent, failure != SendFailure::MayHaveRun);
            return apply(SendFailed {dispatch, failure, "random"});
        }
        constexpr std::array<unsigned, 9> statuses {200, 200, 400, 408, 421, 429, 500, 503, 504};
        ServerAnswer answer;
        answer.status = statuses.at(below(statuses.size()));
        answer.execution = static_cast<Execution>(below(3));
        answer.verified = answer.status != 200 || below(3) > 0;
        noteEnd(sent, answer.execution != Execution::MayHaveRun);
        apply(ServerAnswered {dispatch, std::move(answer)});
    }

    void noteEnd(const Sent& sent, bool provenNotRun) { m_requests[sent.request - 1].unproven -= provenNotRun ? 1 : 0; }

    void configure()
    {
        auto configuration = std::make_shared<GatewayConfiguration>();
        configuration->version = ++m_version;
        configuration->services["ledger"] = GatewayService {"ledger", "/health", 100, false, 0ms};
        configuration->services["planner"] = GatewayService {"planner", "/health", 100, true, 0ms};
        m_changingMayRepeat = below(2) == 0;
        addRoute(*configuration, "order", "ledger", Repeatability::NonIdempotent);
        addRoute(*configuration, "plan", "planner", Repeatability::NonIdempotent);
        addRoute(*configuration, "change", "ledger",
            m_changingMayRepeat ? Repeatability::Idempotent : Repeatability::NonIdempotent);
        apply(GatewayConfigured {configuration});
    }

    void addRoute(GatewayConfiguration& configuration, const std::string& name, const std::string& service,
        Repeatability repeatability)
    {
        HostRoute& route = configuration.routes.emplace_back();
        route.name = name;
        route.host = "a.example";
        route.pathPrefix = "/" + name + "/";
        route.repeatability = repeatability;
        route.timeout = 1000ms;
        route.latencyObjective = 400ms;
        route.maxAttempts = static_cast<std::uint32_t>(1 + below(3));
        route.targets = {{service, 1}};
    }

    void list()
    {
        ServerList servers;
        for (const char* id : {"a", "b", "c", "owner"}) {
            ListedServer listed;
            listed.identity = {id, 1 + below(2)};
            listed.service = std::string(id) == "owner" ? "planner" : "ledger";
            listed.address = "10.0.0.1:80";
            listed.failureDomain = "domain-a";
            listed.region = "west";
            listed.slots = 6;
            listed.state = below(5) == 0 ? ListedServerState::Draining : ListedServerState::Ready;
            if (below(8) > 0) {
                servers.push_back(listed);
            }
        }
        apply(ServersListed {std::make_shared<const ServerList>(std::move(servers)), 0ms});
    }

    void routeKeys()
    {
        auto table = std::make_shared<RangeTable>();
        table->service = "planner";
        table->term = 1;
        table->version = ++m_version;
        table->routes.push_back({{0, maxKey}, {"owner", 1 + below(2)}, "10.0.0.1:80"});
        apply(RangeTableChanged {table});
    }

    void apply(GatewayEvent event)
    {
        for (const GatewayEffect& effect : m_reducer.reduce({m_now, std::move(event)})) {
            if (const auto* send = std::get_if<SendToServer>(&effect)) {
                Request& request = m_requests[std::stoul(send->request->id) - 1];
                if (!request.mayRepeat && request.unproven > 0) {
                    m_violations.push_back("sent again although it may have run: " + send->request->id);
                }
                ++request.unproven;
                m_sent.push_back({send->dispatch, std::stoul(send->request->id), true});
            } else if (const auto* cancel = std::get_if<CancelSend>(&effect)) {
                std::erase_if(m_sent, [cancel](const Sent& sent) { return sent.dispatch == cancel->dispatch; });
            } else if (const auto* answer = std::get_if<AnswerRequest>(&effect)) {
                check(*answer);
            }
        }
    }

    void check(const AnswerRequest& answer)
    {
        const bool promises
            = answer.status == 408 || answer.status == 421 || answer.status == 429 || answer.status == 503;
        m_promises += promises ? 1 : 0;
        if (promises && m_requests[answer.caller - 1].unproven > 0) {
            m_violations.push_back("answered " + std::to_string(answer.status)
                + " although it may have run: " + std::to_string(answer.caller));
        }
    }

    std::mt19937_64 m_random;
    GatewayReducer m_reducer;
    MonotonicTime m_now {1h};
    std::uint64_t m_version = 0;
    bool m_changingMayRepeat = false;
    std::vector<Request> m_requests; ///< By caller, from 1 on.
    std::vector<Sent> m_sent;
    std::vector<std::string> m_violations;
    unsigned m_promises = 0;
};

/// Guards against a status that promises "not run" for a request of which a dispatch may have been executed.
TEST(GatewayPromiseTest, NoPromiseWithoutProofForEveryDispatch)
{
    unsigned promises = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        RandomGateway gateway(seed);
        for (int i = 0; i < 300; ++i) {
            gateway.step();
        }
        gateway.stop();
        ASSERT_TRUE(gateway.violations().empty()) << "seed " << seed << ": " << gateway.violations().front();
        promises += gateway.promises();
    }
    EXPECT_GT(promises, 1000U);
}

} // namespace
} // namespace jasminespread
