#include "support/leading_authority.h"

#include <gtest/gtest.h>

#include <set>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;
using test::LeadingAuthority;

/// Successors that the leader named in its heartbeats; an empty name stands for none.
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

/// Guards against a lead that goes to an instance with too little processor time because it was heard last.
TEST(RangeSuccessionTest, ALeaderThatStopsNamesTheFittestInstance)
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

/// Guards against a small instance that keeps the lead which it took while no fitter one was heard.
TEST(RangeSuccessionTest, AnUnfitLeaderHandsOverToAMuchFitterInstance)
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

/// Guards against a lead that goes round instances none of which tells any fitness.
TEST(RangeSuccessionTest, AnInstanceThatIsNoFitterDoesNotTakeTheLead)
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
