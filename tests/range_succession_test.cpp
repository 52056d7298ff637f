#include "support/leading_authority.h"

#include <gtest/gtest.h>

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

} // namespace
} // namespace jasminespread
