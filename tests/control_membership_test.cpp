#include "control/membership.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace jasminespread {
namespace {

class MembershipTest : public testing::Test {
protected:
    MembershipTest() { listInstances({"b", "c"}); }

    void listInstances(const std::vector<std::string>& ids)
    {
        InstanceListResult result {StoreStatus::Ok, {}};
        for (const std::string& id : ids) {
            result.entries.push_back({id, InstanceRole::Entry, "west", "w1", ListedState::Live, "", ""});
        }
        effects.clear();
        membership.receiveInstanceList(now, result, effects);
    }

    void heartbeatFrom(const std::string& id, std::uint64_t incarnation)
    {
        wire::InstanceReference sender;
        sender.set_id(id);
        sender.set_incarnation(incarnation);
        if (membership.acceptsSender(sender)) {
            membership.receiveHeartbeat(now, sender, wire::Heartbeat(), effects);
        }
    }

    /// Advances the clock in ticks of 50 ms.
    void runTicks(int milliseconds)
    {
        effects.clear();
        for (const MonotonicTime end = now + Milliseconds(milliseconds); now < end;) {
            now += Milliseconds(50);
            membership.tick(
                now, [](const PeerInfo&, wire::Heartbeat&) {}, effects);
        }
    }

    template <typename Wanted> std::ptrdiff_t countEffects()
    {
        return std::ranges::count_if(
            effects, [](const Effect& effect) { return std::holds_alternative<Wanted>(effect); });
    }

    InstanceSettings settings;
    Membership membership {settings, {"a", 1}};
    MonotonicTime now {std::chrono::hours(1)};
    Effects effects;
};

// Guards against several heartbeats to a peer per interval, for example one per group or tick.
TEST_F(MembershipTest, SendsOneHeartbeatPerPeerAndInterval)
{
    runTicks(50);
    runTicks(1000);
    EXPECT_EQ(countEffects<SendPeerMessage>(), 2 * 5);
    EXPECT_EQ(countEffects<ReadInstanceList>(), 0);
    listInstances({"b", "c"});
    runTicks(1000);
    EXPECT_EQ(countEffects<ReadInstanceList>(), 1);
}

// Guards against a silent peer that stays live, and against counting a peer as live before its first heartbeat.
TEST_F(MembershipTest, PeerIsLiveUntilItIsSilentForASecond)
{
    runTicks(50);
    EXPECT_FALSE(membership.isLive({"b", 7}));
    heartbeatFrom("b", 7);
    EXPECT_TRUE(membership.isLive({"b", 7}));
    runTicks(950);
    EXPECT_TRUE(membership.isLive({"b", 7}));
    runTicks(50);
    EXPECT_FALSE(membership.isLive({"b", 7}));
    EXPECT_EQ(membership.silence({"b", 7}, now), Milliseconds(1000));
}

// Guards against late messages of an earlier incarnation that replace the state of a restarted peer.
TEST_F(MembershipTest, EarlierIncarnationIsIgnored)
{
    runTicks(50);
    heartbeatFrom("b", 7);
    heartbeatFrom("b", 8);
    EXPECT_FALSE(membership.isLive({"b", 7}));
    heartbeatFrom("b", 7);
    EXPECT_FALSE(membership.isLive({"b", 7}));
    EXPECT_TRUE(membership.isLive({"b", 8}));
    wire::InstanceReference stranger;
    stranger.set_id("z");
    EXPECT_FALSE(membership.acceptsSender(stranger));
}

// Guards against an instance that takes all peers for silent after a pause of its own.
TEST_F(MembershipTest, OwnPauseDoesNotCountAsSilenceOfPeers)
{
    runTicks(50);
    heartbeatFrom("b", 7);
    now += Milliseconds(5000);
    runTicks(50);
    EXPECT_TRUE(membership.isLive({"b", 7}));
    runTicks(1000);
    EXPECT_FALSE(membership.isLive({"b", 7}));
}

// Guards against dropping a live peer because the platform's list lags, and against reconnecting for every list.
TEST_F(MembershipTest, ListRemovesOnlySilentPeers)
{
    runTicks(50);
    heartbeatFrom("b", 7);
    listInstances({"b", "c"});
    EXPECT_EQ(countEffects<ConnectPeers>(), 0);
    listInstances({});
    EXPECT_EQ(countEffects<ConnectPeers>(), 1);
    ASSERT_EQ(membership.peers().size(), 1U);
    EXPECT_EQ(membership.peers().front().entry.id, "b");
    runTicks(1000);
    listInstances({});
    EXPECT_TRUE(membership.peers().empty());
}

} // namespace
} // namespace jasminespread
