#include "support/gateway_reducer_fixture.h"

#include <gtest/gtest.h>

#include <optional>
#include <set>
#include <string>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr Milliseconds evacuationTime {5000};
/// Time before the end of evacuationTime from which on the owner of a key gets nothing: an arrival takes up to it.
constexpr Milliseconds arrivalMargin {250};

/// An instance on a platform that evacuates failure domains, with servers in two of them.
class EvacuationTest : public GatewayReducerTest {
protected:
    EvacuationTest()
    {
        m_reducer = GatewayReducer({"domain-a", "west", {0.2, 10s, 100}, 2000ms, evacuationTime}, 7);
        configure(1, 2);
        list({server("near", "domain-a", "west"), server("far", "domain-c", "east")});
        evacuate({});
    }

    void evacuate(std::set<std::string> domains, std::optional<Milliseconds> maxChangeAge = 0ms)
    {
        (void)apply(EvacuationsListed {std::move(domains), maxChangeAge});
    }

    std::string send(std::uint64_t caller, const std::string& path, std::optional<std::uint16_t> key = std::nullopt)
    {
        const GatewayEffects effects = sendRequest(caller, path, key);
        const SendToServer* sent = find<SendToServer>(effects);
        return sent == nullptr ? "" : sent->server.identity.id;
    }

    void listOwner()
    {
        ListedServer owner = server("owner", "domain-a", "west");
        owner.service = "planner";
        list({owner});
        (void)apply(RangeTableChanged {
            std::make_shared<const RangeTable>(RangeTable {"planner", 1, 1, {{{}, {"owner", 1}, "10.0.0.1:80"}}})});
    }
};

/// Guards against new pooled requests to an evacuated failure domain, also before the end of the time that is allowed.
TEST_F(EvacuationTest, PooledRequestsLeaveAtOnce)
{
    EXPECT_EQ(send(1, "/read/x"), "near");
    evacuate({"domain-a"});
    EXPECT_EQ(send(2, "/read/x"), "far");
    EXPECT_EQ(send(3, "/order/x"), "far");
    evacuate({});
    EXPECT_EQ(send(4, "/read/x"), "near");
}

/// Guards against a request that waits for a connection while the failure domain is evacuated.
TEST_F(EvacuationTest, AWaitingRequestIsNotSent)
{
    const GatewayEffects effects = sendRequest(1, "/read/x");
    evacuate({"domain-a"});
    EXPECT_FALSE(m_reducer.maySend(find<SendToServer>(effects)->dispatch, m_now));
}

/// Guards against requests that go to evacuated servers, or wait, because there are no others.
TEST_F(EvacuationTest, WithoutOtherServersRequestsAreRefusedAtOnce)
{
    evacuate({"domain-a", "domain-c"});
    const GatewayEffects effects = sendRequest(1, "/order/x");
    ASSERT_NE(find<AnswerRequest>(effects), nullptr);
    EXPECT_EQ(find<AnswerRequest>(effects)->status, 503U);
    EXPECT_GT(find<AnswerRequest>(effects)->retryAfter, 0ms);
}

/// Guards against keys that nobody serves while they move, and against requests to their owner after the time in which
/// it may get them. That time counts from the earliest moment at which the evacuation can have begun.
TEST_F(EvacuationTest, AnOwnerServesUntilTheTimeIsOver)
{
    listOwner();
    constexpr Milliseconds changeAge = 1400ms;
    evacuate({"domain-a"}, changeAge);
    m_now += evacuationTime - arrivalMargin - changeAge - 1ms;
    EXPECT_EQ(send(1, "/plan/x", 7), "owner");
    m_now += 1ms;
    EXPECT_EQ(send(2, "/plan/x", 7), "");
    evacuate({});
    EXPECT_EQ(send(3, "/plan/x", 7), "owner");
}

/// Guards against an evacuation that is forgotten when the server starts again or its entry changes.
TEST_F(EvacuationTest, AServerThatStartsAgainStaysEvacuated)
{
    evacuate({"domain-a"});
    ListedServer restarted = server("near", "domain-a", "west");
    restarted.identity.startedAtUnixMs = 2;
    list({restarted, server("far", "domain-c", "east")});
    EXPECT_EQ(send(1, "/read/x"), "far");
}

/// Guards against time in which the machine was suspended and that the clock of the events does not count.
TEST_F(EvacuationTest, SuspendedTimeCounts)
{
    listOwner();
    evacuate({"domain-a"});
    (void)apply(MachineSuspended {evacuationTime});
    EXPECT_EQ(send(1, "/plan/x", 7), "");
}

/// Guards against an instance that starts while a failure domain is evacuated and sends requests there before it has
/// the list.
TEST_F(EvacuationTest, NothingIsSentBeforeTheListIsKnown)
{
    m_reducer = GatewayReducer({"domain-a", "west", {0.2, 10s, 100}, 2000ms, evacuationTime}, 7);
    configure(1, 2);
    list({server("near", "domain-a", "west"), server("far", "domain-c", "east")});
    EXPECT_EQ(send(1, "/read/x"), "");
    const GatewayEffects effects = apply(EvacuationsListed {{"domain-a"}, std::nullopt});
    ASSERT_NE(find<SendToServer>(effects), nullptr); // The request waited for the list.
    EXPECT_EQ(find<SendToServer>(effects)->server.identity.id, "far");
}

} // namespace
} // namespace jasminespread
