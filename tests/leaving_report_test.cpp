#include "support/leading_authority.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

bool ownsKeys(const RangeTable& table, const std::string& server)
{
    return std::any_of(table.routes.begin(), table.routes.end(),
        [&server](const RangeRoute& route) { return route.owner.id == server; });
}

/// Guards against keys that stay with a leaving server because only another instance than the leader was told, and the
/// store still lists the server as ready.
TEST(LeavingReportTest, TheLeaderMovesKeysOfAServerThatAnotherInstanceReports)
{
    test::LeadingAuthority leader;
    leader.listServers(3);
    leader.run(2s);
    const ServerIdentity leaving {"i-1000000", 1};
    ASSERT_TRUE(ownsKeys(*leader.table, leaving.id));
    leader.report(2, 1, {leaving});
    leader.run(1s);
    EXPECT_FALSE(ownsKeys(*leader.table, leaving.id));
    // An instance that starts again and has not heard of it does not bring the keys back at once.
    leader.report(3);
    leader.run(500ms);
    EXPECT_FALSE(ownsKeys(*leader.table, leaving.id));
}

/// Guards against keys for a server that was reported as leaving before the leader's list had it, by an instance that
/// is lost meanwhile.
TEST(LeavingReportTest, AReportCountsBeforeTheServerIsListedAndAfterItsInstanceIsLost)
{
    test::LeadingAuthority leader;
    leader.listServers(2);
    leader.run(2s);
    leader.report(2, 1, {{"i-1000002", 1}});
    leader.run(4s);
    leader.listServers(3);
    leader.run(2s);
    EXPECT_FALSE(ownsKeys(*leader.table, "i-1000002"));
}

/// Guards against a statement about an earlier run that takes the keys of the next one.
TEST(LeavingReportTest, AReportOfAnEarlierRunMovesNothing)
{
    test::LeadingAuthority leader;
    leader.listServers(3);
    leader.run(2s);
    leader.report(2, 1, {{"i-1000000", 0}});
    leader.run(1s);
    EXPECT_TRUE(ownsKeys(*leader.table, "i-1000000"));
}

/// Guards against a leader that learns only with the next periodic report.
TEST(LeavingReportTest, AnInstanceReportsALeavingServerAtOnce)
{
    RangeAuthority instance(LeaderRecord {0, "edge-2", 9, "10.0.0.2:7200", {}}, RangeTimes(), LeadershipTimes(), 1);
    MonotonicTime now {1h};
    wire::Envelope heartbeat;
    heartbeat.mutable_sender()->set_id("edge-1");
    heartbeat.mutable_sender()->set_incarnation(7);
    heartbeat.mutable_range_leader_heartbeat()->set_term(1);
    heartbeat.mutable_range_leader_heartbeat()->set_address("10.0.0.1:7200");
    (void)instance.reduce({now, RangePeerMessage {heartbeat}});
    (void)instance.reduce({now, RangeTick {}});
    (void)instance.reduce({now, LeavingServersObserved {{{"a", 5}}}});
    now += 50ms;
    const RangeEffects effects = instance.reduce({now, RangeTick {}});
    const auto sent = std::find_if(effects.begin(), effects.end(),
        [](const RangeEffect& effect) { return std::holds_alternative<SendRangePeerMessage>(effect); });
    ASSERT_NE(sent, effects.end());
    const wire::InstanceReport& report = std::get<SendRangePeerMessage>(*sent).envelope.instance_report();
    ASSERT_EQ(report.leaving_servers_size(), 1);
    EXPECT_EQ(report.leaving_servers(0).id(), "a");
    EXPECT_EQ(report.leaving_servers(0).born_at(), 5U);
}

} // namespace
} // namespace jasminespread
