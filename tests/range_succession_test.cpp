#include "support/leading_authority.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;
using test::LeadingAuthority;

/// Successors that the leader named in its heartbeats; an empty name means none.
std::set<std::string> successorsOf(const LeadingAuthority& leader)
{
    std::set<std::string> successors;
    for (const wire::Envelope& envelope : leader.messages) {
        if (envelope.has_range_leader_heartbeat()) {
            successors.insert(envelope.range_leader_heartbeat().successor());
        }
    }
    return successors;
}

/// Guards against a handover to an instance with too little processor time because it reported last.
TEST(RangeSuccessionTest, StoppingLeaderNamesTheFittestInstance)
{
    LeadingAuthority leader;
    leader.run(10s);
    leader.report(2, 1.0);
    leader.now += 100ms;
    leader.report(3, 0.2);
    leader.messages.clear();
    leader.reduce(RangeStopRequested {});
    EXPECT_EQ(successorsOf(leader), std::set<std::string> {"edge-2"});
}

/// Guards against a small instance that stays leader after it took over while no fitter instance was reachable.
TEST(RangeSuccessionTest, UnfitLeaderHandsOverToAMuchFitterInstance)
{
    for (const bool fitter : {false, true}) {
        LeadingAuthority leader(0.2);
        leader.run(10s);
        leader.messages.clear();
        for (int i = 0; i < 4; ++i) {
            leader.report(2, 0.3);
            leader.report(3, fitter ? 1.0 : 0.3);
            leader.run(300ms);
        }
        EXPECT_EQ(successorsOf(leader).contains("edge-3"), fitter);
        EXPECT_FALSE(successorsOf(leader).contains("edge-2"));
    }
}

/// Guards against leadership that circulates among instances that all report a fitness of 0.
TEST(RangeSuccessionTest, EquallyFitInstanceDoesNotBecomeSuccessor)
{
    LeadingAuthority leader(0);
    leader.run(10s);
    leader.messages.clear();
    leader.report(2, 0);
    leader.run(1s);
    EXPECT_EQ(successorsOf(leader), std::set<std::string> {""});
}

/// Guards against instances that query the store and lose the leader's view after a planned stop, because only the
/// successor knows that it leads.
TEST(RangeSuccessionTest, ASucceededLeaderTellsTheOtherInstances)
{
    LeadingAuthority leader;
    leader.run(10s);
    leader.report(2);
    leader.report(3, 0.2);
    leader.reduce(RangeStopRequested {});
    leader.run(100ms);
    const std::uint64_t term = leader.term();
    leader.succeed("edge-2", 2, "10.0.0.2:7200");
    leader.messages.clear();
    leader.run(250ms);
    unsigned told = 0;
    for (const wire::Envelope& envelope : leader.messages) {
        if (envelope.has_range_leader_change()) {
            ++told;
            EXPECT_EQ(envelope.range_leader_change().term(), term + 1);
            EXPECT_EQ(envelope.range_leader_change().leader().id(), "edge-2");
            EXPECT_EQ(envelope.range_leader_change().address(), "10.0.0.2:7200");
        }
    }
    EXPECT_EQ(told, 2U);
}

/// Guards against two leaders that grant: one that the store turns away learns of its successor from a server that has
/// accepted a grant of a later term, and grants nothing more until the store confirms it as leader.
TEST(RangeSuccessionTest, ALeaderStopsGrantingWhenAServerHasALaterTerm)
{
    LeadingAuthority leader;
    leader.listServers(3);
    leader.run(10s);
    leader.storeAvailable = false;
    leader.run(1s);
    for (int i = 0; i < 20; ++i) { // The renewals of all ranges, and the attempts with new fencing tokens.
        leader.now += 50ms;
        leader.reduce(RangeTick {});
        leader.answerGrants(GrantResult::Fenced);
    }
    leader.answeredGrants = 0;
    leader.run(3s);
    EXPECT_EQ(leader.answeredGrants, 0U);
    leader.storeAvailable = true;
    leader.run(2s);
    EXPECT_GT(leader.answeredGrants, 0U);
}

/// Guards against an earlier leader that grants for its whole leader lease because nobody tells it of its successor.
TEST(RangeSuccessionTest, ALeaderOfAnEarlierTermIsToldWhoLeads)
{
    LeadingAuthority leader;
    leader.run(10s);
    leader.messages.clear();
    wire::Envelope envelope;
    envelope.mutable_sender()->set_id("edge-2");
    envelope.mutable_sender()->set_incarnation(2);
    envelope.mutable_range_leader_heartbeat()->set_term(leader.term() - 1);
    envelope.mutable_range_leader_heartbeat()->set_address("10.0.0.2:7200");
    const auto told = [&leader] {
        return std::count_if(leader.messages.begin(), leader.messages.end(), [&](const wire::Envelope& message) {
            return message.has_range_leader_change() && message.range_leader_change().leader().id() == "edge-1"
                && message.range_leader_change().term() == leader.term();
        });
    };
    leader.unreachableInstances = {"edge-2"}; // The connection to it opens after the first attempt.
    leader.reduce(RangePeerMessage {envelope});
    leader.run(100ms);
    EXPECT_EQ(told(), 0);
    leader.unreachableInstances.clear();
    leader.run(100ms);
    EXPECT_EQ(told(), 1);
    leader.run(3s);
    EXPECT_EQ(told(), 1);
}

/// Guards against a leader that goes on after it was told of its successor, and against followers that stay with it.
TEST(RangeSuccessionTest, ALeaderWithoutTheStoreFollowsItsSuccessor)
{
    LeadingAuthority leader;
    leader.listServers(3);
    leader.run(10s);
    leader.report(3);
    leader.storeAvailable = false;
    leader.run(1s);
    leader.messages.clear();
    const std::uint64_t term = leader.term();
    wire::Envelope envelope;
    envelope.mutable_sender()->set_id("edge-2");
    envelope.mutable_sender()->set_incarnation(2);
    envelope.mutable_range_leader_change()->set_term(term + 1);
    envelope.mutable_range_leader_change()->mutable_leader()->set_id("edge-2");
    envelope.mutable_range_leader_change()->set_address("10.0.0.2:7200");
    leader.reduce(RangePeerMessage {envelope});
    leader.answerGrants();
    leader.answeredGrants = 0;
    leader.run(1s);
    EXPECT_EQ(leader.answeredGrants, 0U);
    unsigned announced = 0;
    unsigned reportedTerm = 0;
    for (const wire::Envelope& message : leader.messages) {
        announced += message.has_range_leader_change() ? 1 : 0;
        reportedTerm += message.has_instance_report() && message.instance_report().known_term() == term + 1 ? 1 : 0;
    }
    EXPECT_EQ(announced, 1U);
    EXPECT_GT(reportedTerm, 0U);
}

/// Guards against following an instance that led before the present leader.
TEST(RangeSuccessionTest, AnInstanceFollowsTheAnnouncedLeaderOfALaterTerm)
{
    RangeAuthority follower(LeaderRecord {0, "edge-3", 7, "10.0.0.3:7200", {}}, RangeTimes(), LeadershipTimes(), 1);
    MonotonicTime now {1h};
    const auto reportsTo = [&](RangeEvent event) {
        std::set<std::string> leaders;
        for (const RangeEffect& effect : follower.reduce({now, std::move(event)})) {
            EXPECT_FALSE(std::holds_alternative<ReadRecord>(effect) && follower.term() > 4);
            if (const auto* sent = std::get_if<SendRangePeerMessage>(&effect)) {
                leaders.insert(sent->to);
            }
        }
        now += 50ms;
        return leaders;
    };
    const auto announce = [](std::uint64_t term, const std::string& leader) {
        wire::Envelope envelope;
        envelope.mutable_sender()->set_id("edge-1");
        envelope.mutable_range_leader_change()->set_term(term);
        envelope.mutable_range_leader_change()->mutable_leader()->set_id(leader);
        envelope.mutable_range_leader_change()->set_address("10.0.0.9:7200");
        return RangePeerMessage {std::move(envelope)};
    };
    (void)reportsTo(RangeTick {});
    (void)reportsTo(RecordRead {std::string(leaderRecordName), now,
        {StoreStatus::Ok,
            {std::string(leaderRecordName), 3, encodeLeaderRecord({4, "edge-1", 2, "10.0.0.1:7200", {}})}}});
    EXPECT_EQ(reportsTo(RangeTick {}), std::set<std::string> {"edge-1"});
    (void)reportsTo(announce(5, "edge-2"));
    EXPECT_EQ(reportsTo(RangeTick {}), std::set<std::string> {"edge-2"});
    (void)reportsTo(announce(4, "edge-1"));
    now += 300ms;
    EXPECT_EQ(reportsTo(RangeTick {}), std::set<std::string> {"edge-2"});
    EXPECT_EQ(follower.term(), 5U);
}

} // namespace
} // namespace jasminespread
