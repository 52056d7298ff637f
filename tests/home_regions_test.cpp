#include "support/gateway_reducer_fixture.h"

#include <gtest/gtest.h>

#include <set>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

/// An instance in "west" whose routes have the home regions "east" and "north".
class HomeRegionsTest : public GatewayReducerTest {
protected:
    HomeRegionsTest()
    {
        setHomes(2, {"east", "north"});
        list({server("near", "domain-a", "west"), server("far", "domain-c", "east")});
    }

    void setHomes(std::uint64_t version, const std::vector<std::string>& homes)
    {
        auto configuration = std::make_shared<GatewayConfiguration>();
        configuration->version = version;
        for (const char* service : {"ledger", "archive"}) {
            configuration->services[service] = GatewayService {service, "/health", 100, false, 0ms};
        }
        configuration->services["planner"] = GatewayService {"planner", "/health", 100, true, 0ms};
        configuration->routes.push_back(route("read", "/read/", "ledger", Repeatability::Idempotent, 3));
        configuration->routes.push_back(route("order", "/order/", "ledger", Repeatability::NonIdempotent, 3));
        configuration->routes.push_back(route("plan", "/plan/", "planner", Repeatability::Idempotent, 3));
        configuration->routes.push_back(route("split", "/split/", "ledger", Repeatability::Idempotent, 1));
        configuration->routes.back().targets.push_back({"archive", 1});
        for (HostRoute& route : configuration->routes) {
            route.homeRegions = homes;
        }
        (void)apply(GatewayConfigured {configuration});
    }

    [[nodiscard]] std::string serverOf(const GatewayEffects& effects) const
    {
        const SendToServer* send = find<SendToServer>(effects);
        return send == nullptr ? "" : send->server.identity.id;
    }

    static void expectNotRun(const GatewayEffects& effects)
    {
        EXPECT_EQ(find<SendToServer>(effects), nullptr);
        ASSERT_NE(find<AnswerRequest>(effects), nullptr);
        EXPECT_EQ(find<AnswerRequest>(effects)->status, 503U);
        EXPECT_EQ(find<AnswerRequest>(effects)->origin, AnswerOrigin::Refusal);
    }
};

/// Guards against a first try that prefers a near server outside the home regions.
TEST_F(HomeRegionsTest, TheFirstTryGoesToAHomeRegion)
{
    EXPECT_EQ(serverOf(sendRequest(1, "/read/x")), "far");
    EXPECT_EQ(serverOf(sendRequest(2, "/order/x")), "far");
}

/// Guards against repeats that leave the home regions once the servers there have refused.
TEST_F(HomeRegionsTest, ARepeatStaysInTheHomeRegions)
{
    const GatewayEffects first = sendRequest(1, "/read/x");
    const GatewayEffects second
        = apply(ServerAnswered {find<SendToServer>(first)->dispatch, answer(503, Execution::NotRun)});
    expectNotRun(second);
}

/// Guards against a hedge request outside the home regions when the first server is slow.
TEST_F(HomeRegionsTest, AHedgeStaysInTheHomeRegions)
{
    (void)sendRequest(1, "/read/x");
    while (m_reducer.requestsInFlight() > 0) {
        m_now = m_reducer.nextWake().value();
        EXPECT_EQ(find<SendToServer>(apply(GatewayTick {})), nullptr);
    }
}

/// Guards against a request that waits for its deadline, or leaves the home regions, when these have no server.
TEST_F(HomeRegionsTest, WithoutAServerAtHomeARequestIsRefusedAtOnce)
{
    list({server("near", "domain-a", "west"), server("unknown", "domain-x", "")});
    expectNotRun(sendRequest(1, "/read/x"));
    expectNotRun(sendRequest(2, "/order/x"));
}

/// Guards against home regions that change the shares of a split: a target without a server at home refuses its part.
TEST_F(HomeRegionsTest, AnEmptyTargetOfASplitKeepsItsShare)
{
    ListedServer archive = server("archive", "domain-a", "west");
    archive.service = "archive";
    list({server("far", "domain-c", "east"), archive});
    int sent = 0;
    for (std::uint64_t caller = 1; caller <= 40; ++caller) {
        const GatewayEffects effects = sendRequest(caller, "/split/x");
        if (!serverOf(effects).empty()) {
            EXPECT_EQ(serverOf(effects), "far");
            ++sent;
            (void)apply(ServerAnswered {find<SendToServer>(effects)->dispatch, answer(200)});
        }
    }
    EXPECT_EQ(sent, 20);
}

/// Guards against keyed requests to an owner outside the home regions.
TEST_F(HomeRegionsTest, AnOwnerOutsideTheHomeRegionsGetsNoRequest)
{
    ListedServer west = server("near", "domain-a", "west");
    west.service = "planner";
    ListedServer east = server("far", "domain-c", "east");
    east.service = "planner";
    list({west, east});
    auto table = std::make_shared<RangeTable>();
    table->service = "planner";
    table->term = 1;
    table->version = 1;
    table->routes
        = {{{0, 99}, {"near", 1}, "10.0.0.1:80", false}, {{100, keyCount - 1}, {"far", 1}, "10.0.0.1:80", false}};
    (void)apply(RangeTableChanged {table});
    expectNotRun(sendRequest(1, "/plan/x", 7));
    EXPECT_EQ(serverOf(sendRequest(2, "/plan/x", 100)), "far");
}

/// Guards against a request that was routed by an older configuration and waits for a connection while the home
/// regions change.
TEST_F(HomeRegionsTest, AWaitingRequestFollowsChangedHomeRegions)
{
    const GatewayEffects first = sendRequest(1, "/read/x");
    const std::uint64_t dispatch = find<SendToServer>(first)->dispatch;
    EXPECT_TRUE(m_reducer.maySend(dispatch, m_now));
    setHomes(3, {"west"});
    EXPECT_FALSE(m_reducer.maySend(dispatch, m_now));
    // Neither the old nor the new homes allow a server that the other ones exclude.
    expectNotRun(apply(SendFailed {dispatch, SendFailure::Withheld, ""}));
    EXPECT_EQ(serverOf(sendRequest(2, "/read/x")), "near");
}

/// Guards against a restriction of earlier deployments: without home regions every region may serve.
TEST_F(HomeRegionsTest, WithoutHomeRegionsTheNearServerIsChosen)
{
    setHomes(3, {});
    EXPECT_EQ(serverOf(sendRequest(1, "/read/x")), "near");
}

} // namespace
} // namespace jasminespread
