#include "support/gateway_reducer_fixture.h"

#include <gtest/gtest.h>

#include <string>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

/// An instance with a near and a far server; what cold servers get is limited.
class ColdServerRoutingTest : public GatewayReducerTest {
protected:
    ColdServerRoutingTest() { start(ColdServerLimits {1.5, 8}, 4.5); }

    void start(std::optional<ColdServerLimits> limits, double rate)
    {
        m_reducer = GatewayReducer({"domain-a", "west", {0.2, 10s, 100}, 2000ms, std::nullopt, limits}, 7);
        auto configuration = std::make_shared<GatewayConfiguration>();
        configuration->version = 1;
        for (const auto& [name, keyed] : {std::pair("ledger", false), std::pair("planner", true)}) {
            configuration->services[name] = GatewayService {name, "/health", 100, keyed, 0ms, rate};
        }
        configuration->routes.push_back(route("read", "/read/", "ledger", Repeatability::Idempotent, 2));
        configuration->routes.push_back(route("plan", "/plan/", "planner", Repeatability::Idempotent, 2));
        (void)apply(GatewayConfigured {configuration});
        // A request in flight at the far server's only slot makes the near one the better choice also while it is cold.
        list({farServer()});
        (void)send();
    }

    static ListedServer farServer()
    {
        ListedServer listed = server("far", "domain-c", "east");
        listed.slots = 1;
        return listed;
    }

    static ListedServer cold(ListedServer listed, Milliseconds left)
    {
        listed.warmUpLeft = left;
        return listed;
    }

    void listNear(Milliseconds warmUpLeft, bool withFar = true)
    {
        ServerList servers {cold(server("near", "domain-a", "west"), warmUpLeft)};
        if (withFar) {
            servers.push_back(farServer());
        }
        list(servers);
    }

    void permit(std::uint32_t requests) { (void)apply(ColdPermitsReceived {{{{"near", 1}, requests}}, m_now + 1s}); }

    GatewayEffects send(const std::string& path = "/read/x", std::optional<std::uint16_t> key = std::nullopt)
    {
        return sendRequest(++m_callers, path, key);
    }

    std::string serverOf(const GatewayEffects& effects)
    {
        const SendToServer* sent = find<SendToServer>(effects);
        return sent == nullptr ? "" : sent->server.identity.id;
    }

    std::uint64_t m_callers = 0;
};

/// Guards against requests to a cold server without a permit, and against an exhausted permit.
TEST_F(ColdServerRoutingTest, OnlyPermittedRequestsAreSent)
{
    listNear(3s);
    EXPECT_EQ(serverOf(send()), "far");
    EXPECT_EQ(m_reducer.takeColdDemands(), (ColdDemands {{{"near", 1}, 1}}));
    permit(2);
    EXPECT_EQ(serverOf(send()), "near");
    EXPECT_EQ(serverOf(send()), "near");
    EXPECT_EQ(serverOf(send()), "far");
    m_now += 3s;
    EXPECT_EQ(serverOf(send()), "near"); // Not cold any more.
}

/// Guards against a request that waits, or is sent anyway, when there is no other server.
TEST_F(ColdServerRoutingTest, WithoutOtherServersRequestsAreRefusedAtOnce)
{
    listNear(3s, false);
    const GatewayEffects effects = send();
    ASSERT_NE(find<AnswerRequest>(effects), nullptr);
    EXPECT_EQ(find<AnswerRequest>(effects)->status, 503U);
    EXPECT_GT(find<AnswerRequest>(effects)->retryAfter, 0ms);
}

/// Guards against a request that waited for a connection until after its permit has expired, or for so long that it
/// falls into the same second as later ones.
TEST_F(ColdServerRoutingTest, ARequestThatHasWaitedIsSentOnlyByAValidPermit)
{
    listNear(3s);
    permit(1);
    const std::uint64_t dispatch = find<SendToServer>(send())->dispatch;
    EXPECT_TRUE(m_reducer.maySend(dispatch, m_now + 200ms));
    EXPECT_FALSE(m_reducer.maySend(dispatch, m_now + 300ms));
    (void)apply(ColdPermitsReceived {{}, m_now + 1s});
    EXPECT_FALSE(m_reducer.maySend(dispatch, m_now + 100ms));
}

/// Guards against a server that becomes cold again in the same run, and against its listing that is older than what it
/// states in an answer.
TEST_F(ColdServerRoutingTest, AServerBecomesColdByItsListingOrItsStatement)
{
    listNear(0ms);
    const GatewayEffects effects = send();
    ASSERT_EQ(serverOf(effects), "near");
    ServerAnswer stated = answer(200);
    stated.statedWarmUpLeft = 2s;
    (void)apply(ServerAnswered {find<SendToServer>(effects)->dispatch, stated});
    EXPECT_EQ(serverOf(send()), "far");
    list({server("near", "domain-a", "west"), farServer(), server("new", "domain-c", "east")});
    EXPECT_NE(serverOf(send()), "near"); // Its entry is as before.
    m_now += 2s;
    EXPECT_EQ(serverOf(send()), "near");
    listNear(1s);
    EXPECT_EQ(serverOf(send()), "far");
    listNear(0ms);
    EXPECT_EQ(serverOf(send()), "near");
}

/// Guards against an owner of keys that gets more than its permit allows.
TEST_F(ColdServerRoutingTest, AColdOwnerGetsWhatThePermitAllows)
{
    ListedServer owner = cold(server("near", "domain-a", "west"), 3s);
    owner.service = "planner";
    list({owner});
    (void)apply(RangeTableChanged {
        std::make_shared<const RangeTable>(RangeTable {"planner", 1, 1, {{{}, {"near", 1}, "10.0.0.1:80"}}})});
    const GatewayEffects refused = send("/plan/x", 7);
    ASSERT_NE(find<AnswerRequest>(refused), nullptr);
    EXPECT_GT(find<AnswerRequest>(refused)->retryAfter, 0ms);
    permit(1);
    EXPECT_EQ(serverOf(send("/plan/x", 7)), "near");
    EXPECT_EQ(serverOf(send("/plan/x", 7)), "");
}

/// Guards against changed decisions on platforms, or for services, without a bound for cold servers.
TEST_F(ColdServerRoutingTest, WithoutABoundNothingChanges)
{
    for (const auto& [limits, rate] :
        {std::pair(std::optional<ColdServerLimits>(), 4.5), std::pair(std::optional(ColdServerLimits {1.5, 8}), 0.0)}) {
        start(limits, rate);
        listNear(3s, false);
        for (int i = 0; i < 5; ++i) {
            EXPECT_EQ(serverOf(send()), "near");
        }
        EXPECT_TRUE(m_reducer.takeColdDemands().empty());
    }
}

} // namespace
} // namespace jasminespread
