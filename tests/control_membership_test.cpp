#include "control/membership.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace jasminespread {
namespace {

class MembershipTest : public testing::Test {
protected:
    MembershipTest() { list({"b", "c"}); }

    void list(const std::vector<std::string>& ids)
    {
        InstanceListResult result {StoreStatus::Ok, {}};
        for (const std::string& id : ids) {
            result.entries.push_back({id, InstanceRole::Entry, "west", "w1", ListedState::Live, "", ""});
        }
        effects.clear();
        membership.receiveList(now, result, effects);
    }

    void hear(const std::string& id, std::uint64_t incarnation)
    {
        wire::InstanceReference sender;
        sender.set_id(id);
        sender.set_incarnation(incarnation);
        if (membership.receiveFrom(sender)) {
            membership.receiveHeartbeat(now, sender, wire::Heartbeat(), effects);
        }
    }

    /// Lets time pass in ticks of 50 ms.
    void pass(int milliseconds)
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

// Guards against heartbeats per group or per tick instead of one per peer and interval.
TEST_F(MembershipTest, SendsOneHeartbeatPerPeerAndInterval)
{
    pass(50);
    pass(1000);
    EXPECT_EQ(countEffects<SendPeerMessage>(), 2 * 5);
    EXPECT_EQ(countEffects<ReadInstanceList>(), 0);
    list({"b", "c"});
    pass(1000);
    EXPECT_EQ(countEffects<ReadInstanceList>(), 1);
}

// Guards against suspicion that comes late or never, and against counting a peer that was never heard as live.
TEST_F(MembershipTest, PeerIsLiveUntilItIsSilentForASecond)
{
    pass(50);
    EXPECT_FALSE(membership.live({"b", 7}));
    hear("b", 7);
    EXPECT_TRUE(membership.live({"b", 7}));
    pass(950);
    EXPECT_TRUE(membership.live({"b", 7}));
    pass(50);
    EXPECT_FALSE(membership.live({"b", 7}));
    EXPECT_EQ(membership.silence({"b", 7}, now), Milliseconds(1000));
}

// Guards against late messages of an earlier life that make a restarted peer look like its former self.
TEST_F(MembershipTest, EarlierIncarnationIsIgnored)
{
    pass(50);
    hear("b", 7);
    hear("b", 8);
    EXPECT_FALSE(membership.live({"b", 7}));
    hear("b", 7);
    EXPECT_FALSE(membership.live({"b", 7}));
    EXPECT_TRUE(membership.live({"b", 8}));
    wire::InstanceReference stranger;
    stranger.set_id("z");
    EXPECT_FALSE(membership.receiveFrom(stranger));
}

// Guards against an instance that suspects everybody after it was paused itself.
TEST_F(MembershipTest, OwnPauseIsNotSilenceOfOthers)
{
    pass(50);
    hear("b", 7);
    now += Milliseconds(5000);
    pass(50);
    EXPECT_TRUE(membership.live({"b", 7}));
    pass(1000);
    EXPECT_FALSE(membership.live({"b", 7}));
}

// Guards against dropping a live peer because the platform's list lags, and against reconnecting on every list.
TEST_F(MembershipTest, ListChangesPeersOnlyWhenTheyAreNotHeard)
{
    pass(50);
    hear("b", 7);
    list({"b", "c"});
    EXPECT_EQ(countEffects<ConnectPeers>(), 0);
    list({});
    EXPECT_EQ(countEffects<ConnectPeers>(), 1);
    ASSERT_EQ(membership.peers().size(), 1U);
    EXPECT_EQ(membership.peers().front().entry.id, "b");
    pass(1000);
    list({});
    EXPECT_TRUE(membership.peers().empty());
}

} // namespace
} // namespace jasminespread
