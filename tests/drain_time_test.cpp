#include "gateway/gateway_reducer.h"
#include "ranges/feed_source_selector.h"

#include <gtest/gtest.h>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr Milliseconds drainTime {2000};
constexpr Milliseconds requestInterval {20};
constexpr Milliseconds heartbeatInterval {300};

/// An instance that gets the server list from a leader, or from the store while the leader's view is old. One keyed
/// service has one server, which owns all keys and is not replaced.
class DrainTimeTest : public testing::Test {
protected:
    DrainTimeTest()
        : m_reducer({"domain-a", "west", {0.2, 10s, 100}, drainTime}, 7)
    {
        auto configuration = std::make_shared<GatewayConfiguration>();
        configuration->version = 1;
        configuration->services["planner"] = GatewayService {"planner", "/health", 100, true, 0ms};
        HostRoute& route = configuration->routes.emplace_back();
        route.name = "plan";
        route.host = "a.example";
        route.pathPrefix = "/plan/";
        route.repeatability = Repeatability::Idempotent;
        route.timeout = 1500ms;
        route.latencyObjective = 600ms;
        route.maxAttempts = 2;
        route.targets = {{"planner", 1}};
        (void)apply(GatewayConfigured {std::move(configuration)});
        (void)apply(RangeTableChanged {
            std::make_shared<const RangeTable>(RangeTable {"planner", 1, 1, {{{}, {"owner", 1}, "10.0.0.1:80"}}})});
    }

    GatewayEffects apply(GatewayEvent event) { return m_reducer.reduce({m_now, std::move(event)}); }

    void list(ListedServerState state)
    {
        ListedServer owner;
        owner.identity = {"owner", 1};
        owner.service = "planner";
        owner.address = "10.0.0.1:80";
        owner.failureDomain = "domain-a";
        owner.region = "west";
        owner.slots = 6;
        owner.state = state;
        const std::optional<MonotonicTime> asOf = m_selector.confirmedAsOf("servers");
        const std::optional<Milliseconds> maxChangeAge
            = asOf ? std::optional(std::chrono::ceil<Milliseconds>(m_now - *asOf)) : std::nullopt;
        (void)apply(ServersListed {std::make_shared<const ServerList>(ServerList {owner}), maxChangeAge});
    }

    /// Whether a request that arrives now is sent to the owner; its answer arrives at once.
    bool isServed()
    {
        GatewayRequest request;
        request.id = "r" + std::to_string(++m_lastCaller);
        request.host = "a.example";
        request.method = "GET";
        request.path = "/plan/x";
        request.key = 42;
        for (const GatewayEffect& effect : apply(RequestReceived {m_lastCaller, std::move(request)})) {
            if (const SendToServer* sent = std::get_if<SendToServer>(&effect)) {
                ServerAnswer answer;
                answer.status = 200;
                (void)apply(ServerAnswered {sent->dispatch, std::move(answer)});
                return true;
            }
        }
        (void)apply(CallerDisconnected {m_lastCaller});
        return false;
    }

    MonotonicTime m_now {1h};
    GatewayReducer m_reducer;
    FeedSourceSelector m_selector;
    std::uint64_t m_lastCaller = 0;
};

/// Guards against requests later than the drain time after the store listed a server as draining, at an instance that
/// learns of it late because its leader is cut off from the store.
TEST_F(DrainTimeTest, ALeaderWithoutTheStoreDoesNotExtendTheDrainTime)
{
    list(ListedServerState::Ready);
    m_selector.onStoreAnswer("servers", {7, 7}, m_now);
    const MonotonicTime cutAt = m_now;
    const MonotonicTime drainingAt = m_now + requestInterval;
    MonotonicTime heartbeatAt = m_now;
    MonotonicTime lastSentAt;
    for (bool learned = false; m_now < drainingAt + 2 * drainTime; m_now += requestInterval) {
        if (m_now >= heartbeatAt) {
            heartbeatAt += heartbeatInterval;
            const Milliseconds age = std::chrono::duration_cast<Milliseconds>(m_now - cutAt);
            m_selector.onLeaderHeartbeat({{{"servers", {0, 7}}}, age, 1, m_now}, m_now);
        }
        if (!learned && m_selector.source(false, m_now) == FeedSource::Store) {
            learned = true;
            list(ListedServerState::Draining);
        }
        if (isServed()) {
            lastSentAt = m_now;
        }
    }
    const Milliseconds lastSentAfter = std::chrono::duration_cast<Milliseconds>(lastSentAt - drainingAt);
    EXPECT_GT(lastSentAfter.count(), 0);
    EXPECT_LT(lastSentAfter.count(), drainTime.count());
}

} // namespace
} // namespace jasminespread
