#include "gateway/gateway_reducer.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

class GatewayReducerTest : public testing::Test {
protected:
    GatewayReducerTest()
        : m_reducer({"domain-a", "west", {0.2, 10s, 100}}, 7)
    {
        configure(1, 2);
        list({server("near", "domain-a", "west"), server("far", "domain-c", "east")});
        (void)apply(InstanceCountChanged {1});
    }

    void configure(std::uint64_t version, std::uint32_t attempts)
    {
        auto configuration = std::make_shared<GatewayConfiguration>();
        configuration->version = version;
        configuration->services["ledger"] = GatewayService {"ledger", "/health", 100, false, 0ms};
        configuration->services["planner"] = GatewayService {"planner", "/health", 100, true, 0ms};
        configuration->routes.push_back(route("read", "/read/", "ledger", Repeatability::Idempotent, attempts));
        configuration->routes.push_back(route("order", "/order/", "ledger", Repeatability::NonIdempotent, attempts));
        configuration->routes.push_back(route("plan", "/plan/", "planner", Repeatability::Idempotent, attempts));
        (void)apply(GatewayConfigured {configuration});
    }

    static HostRoute route(const std::string& name, const std::string& prefix, const std::string& service,
        Repeatability repeatability, std::uint32_t attempts)
    {
        HostRoute route;
        route.name = name;
        route.host = "a.example";
        route.pathPrefix = prefix;
        route.repeatability = repeatability;
        route.timeout = 1000ms;
        route.latencyObjective = 400ms;
        route.maxAttempts = attempts;
        route.targets = {{service, 1}};
        return route;
    }

    static ListedServer server(const std::string& id, const std::string& domain, const std::string& region)
    {
        ListedServer listed;
        listed.identity = {id, 1};
        listed.service = "ledger";
        listed.address = "10.0.0.1:80";
        listed.failureDomain = domain;
        listed.region = region;
        listed.slots = 6;
        return listed;
    }

    void list(ServerList servers)
    {
        (void)apply(ServersListed {std::make_shared<const ServerList>(std::move(servers))});
    }

    GatewayEffects apply(GatewayEvent event) { return m_reducer.reduce({m_now, std::move(event)}); }

    GatewayEffects ask(std::uint64_t caller, const std::string& path, std::optional<std::uint16_t> key = std::nullopt)
    {
        GatewayRequest request;
        request.id = "r" + std::to_string(caller);
        request.host = "a.example";
        request.method = "GET";
        request.path = path;
        request.target = path;
        request.timeLeft = 800ms;
        request.key = key;
        return apply(RequestReceived {caller, std::move(request)});
    }

    template <typename T> static const T* find(const GatewayEffects& effects)
    {
        for (const GatewayEffect& effect : effects) {
            if (const T* found = std::get_if<T>(&effect)) {
                return found;
            }
        }
        return nullptr;
    }

    static ServerAnswer answer(unsigned status, Execution execution = Execution::MayHaveRun)
    {
        ServerAnswer answer;
        answer.status = status;
        answer.body = "whole";
        answer.execution = execution;
        return answer;
    }

    MonotonicTime m_now {1h};
    GatewayReducer m_reducer;
};

/// Guards against paying for another region while a near server is free.
TEST_F(GatewayReducerTest, ChoosesTheNearServer)
{
    const GatewayEffects effects = ask(1, "/read/x");
    ASSERT_NE(find<SendToServer>(effects), nullptr);
    EXPECT_EQ(find<SendToServer>(effects)->server.identity.id, "near");
    EXPECT_EQ(find<SendToServer>(effects)->timeLeft, 800ms);
}

/// Guards against 404 from an instance that does not know the routes yet.
TEST_F(GatewayReducerTest, AnswersUnavailableWithoutConfiguration)
{
    GatewayReducer fresh({"domain-a", "west", {}}, 1);
    GatewayRequest request;
    request.path = "/read/x";
    const GatewayEffects effects = fresh.reduce({m_now, RequestReceived {1, request}});
    ASSERT_NE(find<AnswerRequest>(effects), nullptr);
    EXPECT_EQ(find<AnswerRequest>(effects)->status, 503U);
    EXPECT_GT(find<AnswerRequest>(effects)->retryAfter, 0ms);
}

TEST_F(GatewayReducerTest, AnswersNotFoundWithoutRoute)
{
    EXPECT_EQ(find<AnswerRequest>(ask(1, "/other/"))->status, 404U);
}

/// Guards against running an order twice: after a break it may have run.
TEST_F(GatewayReducerTest, DoesNotRepeatAnOrderThatMayHaveRun)
{
    const GatewayEffects sent = ask(1, "/order/x");
    const GatewayEffects effects
        = apply(SendFailed {find<SendToServer>(sent)->dispatch, SendFailure::MayHaveRun, "reset"});
    EXPECT_EQ(find<SendToServer>(effects), nullptr);
    ASSERT_NE(find<AnswerRequest>(effects), nullptr);
    EXPECT_EQ(find<AnswerRequest>(effects)->status, 502U);
}

/// Guards against giving up an order that certainly did not run.
TEST_F(GatewayReducerTest, SendsAnOrderElsewhereWhenItDidNotRun)
{
    const GatewayEffects sent = ask(1, "/order/x");
    const GatewayEffects unsent
        = apply(SendFailed {find<SendToServer>(sent)->dispatch, SendFailure::NotSent, "refused"});
    ASSERT_NE(find<SendToServer>(unsent), nullptr);
    EXPECT_EQ(find<SendToServer>(unsent)->server.identity.id, "far");
    const GatewayEffects done = apply(ServerAnswered {find<SendToServer>(unsent)->dispatch, answer(200)});
    EXPECT_EQ(find<AnswerRequest>(done)->status, 200U);
}

/// Guards against a promise "not run" for an idempotent request that broke off before.
TEST_F(GatewayReducerTest, DoesNotPromiseNotRunAfterABreak)
{
    const GatewayEffects first = ask(1, "/read/x");
    const GatewayEffects second
        = apply(SendFailed {find<SendToServer>(first)->dispatch, SendFailure::MayHaveRun, "reset"});
    ASSERT_NE(find<SendToServer>(second), nullptr);
    const GatewayEffects refused
        = apply(ServerAnswered {find<SendToServer>(second)->dispatch, answer(503, Execution::NotRun)});
    ASSERT_NE(find<AnswerRequest>(refused), nullptr);
    EXPECT_EQ(find<AnswerRequest>(refused)->origin, AnswerOrigin::Failure);
    EXPECT_EQ(find<AnswerRequest>(refused)->status, 502U);
}

/// Guards against more sends than the route allows.
TEST_F(GatewayReducerTest, KeepsTheNumberOfAttempts)
{
    configure(2, 1);
    const GatewayEffects sent = ask(1, "/read/x");
    const GatewayEffects effects
        = apply(ServerAnswered {find<SendToServer>(sent)->dispatch, answer(503, Execution::NotRun)});
    EXPECT_EQ(find<SendToServer>(effects), nullptr);
    ASSERT_NE(find<AnswerRequest>(effects), nullptr);
    EXPECT_EQ(find<AnswerRequest>(effects)->origin, AnswerOrigin::Refusal);
}

/// Guards against a success that no server made.
TEST_F(GatewayReducerTest, DoesNotDeliverAnUnusableSuccess)
{
    configure(2, 1);
    const GatewayEffects sent = ask(1, "/read/x");
    ServerAnswer broken = answer(200);
    broken.genuine = false;
    const GatewayEffects effects = apply(ServerAnswered {find<SendToServer>(sent)->dispatch, broken});
    EXPECT_EQ(find<AnswerRequest>(effects)->status, 502U);
}

/// Guards against replacing a server's own failure by one of ours.
TEST_F(GatewayReducerTest, ReturnsTheServersFailureUnchanged)
{
    const GatewayEffects sent = ask(1, "/order/x");
    const GatewayEffects effects = apply(ServerAnswered {find<SendToServer>(sent)->dispatch, answer(500)});
    ASSERT_NE(find<AnswerRequest>(effects), nullptr);
    EXPECT_EQ(find<AnswerRequest>(effects)->origin, AnswerOrigin::Server);
    EXPECT_EQ(find<AnswerRequest>(effects)->body, "whole");
}

/// Guards against work that goes on for a caller that left, and against orders that are cut off halfway.
TEST_F(GatewayReducerTest, CancelsRepeatableWorkOfACallerThatLeft)
{
    const GatewayEffects read = ask(1, "/read/x");
    EXPECT_NE(find<CancelSend>(apply(CallerDisconnected {1})), nullptr);
    const GatewayEffects order = ask(2, "/order/x");
    EXPECT_EQ(find<CancelSend>(apply(CallerDisconnected {2})), nullptr);
    const GatewayEffects done = apply(ServerAnswered {find<SendToServer>(order)->dispatch, answer(200)});
    EXPECT_EQ(find<AnswerRequest>(done), nullptr);
    EXPECT_EQ(m_reducer.requestsInFlight(), 0U);
}

/// Guards against a send that was withheld being tried again, or counted against its server.
TEST_F(GatewayReducerTest, EndsTheRequestOfAWithheldSend)
{
    const GatewayEffects left
        = apply(SendFailed {find<SendToServer>(ask(1, "/read/x"))->dispatch, SendFailure::Withheld, ""});
    EXPECT_EQ(find<SendToServer>(left), nullptr);
    EXPECT_EQ(m_reducer.requestsInFlight(), 0U);
    const GatewayEffects sent = ask(2, "/read/x");
    m_now += 800ms;
    const GatewayEffects late = apply(SendFailed {find<SendToServer>(sent)->dispatch, SendFailure::Withheld, ""});
    ASSERT_NE(find<AnswerRequest>(late), nullptr);
    EXPECT_EQ(find<AnswerRequest>(late)->status, 503U);
    m_now += 1ms;
    EXPECT_EQ(find<SendToServer>(ask(3, "/read/x"))->server.identity, find<SendToServer>(sent)->server.identity);
}

/// Guards against a caller without an answer at its deadline.
TEST_F(GatewayReducerTest, AnswersAtTheDeadline)
{
    (void)ask(1, "/order/x");
    m_now += 801ms;
    const GatewayEffects effects = apply(GatewayTick {});
    ASSERT_NE(find<AnswerRequest>(effects), nullptr);
    EXPECT_EQ(find<AnswerRequest>(effects)->status, 504U);
    EXPECT_NE(find<CancelSend>(effects), nullptr);
}

/// Guards against an older configuration that arrives late.
TEST_F(GatewayReducerTest, IgnoresAnOlderConfiguration)
{
    configure(5, 2);
    auto older = std::make_shared<GatewayConfiguration>();
    older->version = 4;
    (void)apply(GatewayConfigured {older});
    EXPECT_NE(find<SendToServer>(ask(1, "/read/x")), nullptr);
}

/// Guards against new work for a server that leaves.
TEST_F(GatewayReducerTest, SendsNothingToALeavingServer)
{
    ListedServer leaving = server("near", "domain-a", "west");
    leaving.state = ListedServerState::Draining;
    list({leaving, server("far", "domain-c", "east")});
    EXPECT_EQ(find<SendToServer>(ask(1, "/read/x"))->server.identity.id, "far");
}

/// Guards against servers whose entries lapsed being used beside listed ones, and against none being used at all.
TEST_F(GatewayReducerTest, UsesMissingServersOnlyWhereThereAreNoOthers)
{
    ListedServer missing = server("near", "domain-a", "west");
    missing.state = ListedServerState::Missing;
    list({missing, server("far", "domain-c", "east")});
    EXPECT_EQ(find<SendToServer>(ask(1, "/read/x"))->server.identity.id, "far");
    list({missing});
    EXPECT_EQ(find<SendToServer>(ask(2, "/read/x"))->server.identity.id, "near");
}

/// Requests for keys of the service "planner".
class KeyedGatewayTest : public GatewayReducerTest {
protected:
    KeyedGatewayTest()
    {
        listOwner(ListedServerState::Ready);
        routeTo({"owner", 1}, 1);
    }

    void listOwner(ListedServerState state)
    {
        ListedServer owner = server("owner", "domain-a", "west");
        owner.service = "planner";
        owner.state = state;
        list({owner});
    }

    GatewayEffects routeTo(const ServerIdentity& identity, std::uint64_t version)
    {
        auto table = std::make_shared<RangeTable>();
        table->service = "planner";
        table->term = 1;
        table->version = version;
        table->routes.push_back({{0, highestKey}, identity, "10.0.0.1:80"});
        return apply(RangeRoutesChanged {table});
    }
};

TEST_F(KeyedGatewayTest, SendsToTheOwner)
{
    const GatewayEffects effects = ask(1, "/plan/x", 42);
    EXPECT_EQ(find<SendToServer>(effects)->server.identity.id, "owner");
    EXPECT_EQ(find<CountKey>(effects)->key, 42U);
}

/// Guards against a refusal while a key moves: the request waits and goes to the next owner.
TEST_F(KeyedGatewayTest, WaitsWhileTheKeyMoves)
{
    (void)routeTo({}, 2);
    EXPECT_EQ(find<SendToServer>(ask(1, "/plan/x", 42)), nullptr);
    m_now += 50ms;
    EXPECT_NE(find<SendToServer>(routeTo({"owner", 1}, 3)), nullptr);
}

/// Guards against holding a request to its deadline: without an owner it is refused with a time to come back.
TEST_F(KeyedGatewayTest, RefusesWhenNobodyOwnsTheKeyForLong)
{
    (void)routeTo({}, 2);
    (void)ask(1, "/plan/x", 42);
    GatewayEffects effects;
    for (int i = 0; i < 10 && find<AnswerRequest>(effects) == nullptr; ++i) {
        m_now += 60ms;
        effects = apply(GatewayTick {});
    }
    ASSERT_NE(find<AnswerRequest>(effects), nullptr);
    EXPECT_EQ(find<AnswerRequest>(effects)->origin, AnswerOrigin::Refusal);
    EXPECT_GT(find<AnswerRequest>(effects)->retryAfter, 0ms);
}

/// Guards against requests for a restarted owner that holds nothing of its earlier life.
TEST_F(KeyedGatewayTest, SendsNothingToAnotherLifeOfTheOwner)
{
    (void)routeTo({"owner", 0}, 2);
    EXPECT_EQ(find<SendToServer>(ask(1, "/plan/x", 42)), nullptr);
}

/// Guards against new work long after the owner was listed as leaving, when the move of its keys is late.
TEST_F(KeyedGatewayTest, StopsSendingToALeavingOwner)
{
    listOwner(ListedServerState::Draining);
    m_now += 500ms;
    EXPECT_NE(find<SendToServer>(ask(1, "/plan/x", 42)), nullptr);
    m_now += 600ms;
    EXPECT_EQ(find<SendToServer>(ask(2, "/plan/x", 42)), nullptr);
}

/// Guards against an older table, which an earlier leader sent, replacing a newer one.
TEST_F(KeyedGatewayTest, IgnoresAnOlderTable)
{
    (void)routeTo({"owner", 1}, 5);
    (void)routeTo({}, 4);
    EXPECT_NE(find<SendToServer>(ask(1, "/plan/x", 42)), nullptr);
}

} // namespace
} // namespace jasminespread
