#include "ranges/range_leadership.h"
#include "support/leading_authority.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <queue>

// How instances find the leader after they have started.
namespace jasminespread {
namespace {

using namespace std::chrono_literals;
using test::LeadingAuthority;

std::ptrdiff_t heartbeatsIn(const std::vector<wire::Envelope>& messages)
{
    return std::count_if(messages.begin(), messages.end(),
        [](const wire::Envelope& envelope) { return envelope.has_range_leader_heartbeat(); });
}

std::ptrdiff_t wholeTablesIn(const std::vector<wire::Envelope>& messages)
{
    return std::count_if(messages.begin(), messages.end(), [](const wire::Envelope& envelope) {
        return envelope.has_range_table_view() && envelope.range_table_view().base_version() == 0;
    });
}

/// Guards against an instance that refuses keyed requests for half a second after its connection is open, because the
/// leader believes that the tables have arrived which it could not send.
TEST(RangeJoiningTest, ANewInstanceGetsHeartbeatAndTablesWhenItsConnectionOpens)
{
    LeadingAuthority leader;
    leader.listServers(3);
    leader.run(2s);
    leader.unreachableInstances = {"edge-2"};
    leader.report(2);
    leader.run(100ms);
    EXPECT_TRUE(leader.messages.empty());
    leader.unreachableInstances.clear();
    leader.run(50ms);
    EXPECT_EQ(heartbeatsIn(leader.messages), 1);
    EXPECT_EQ(wholeTablesIn(leader.messages), 1);
    leader.messages.clear();
    leader.run(200ms);
    EXPECT_LE(heartbeatsIn(leader.messages), 1) << "only the regular heartbeat";
    EXPECT_EQ(wholeTablesIn(leader.messages), 0);
}

/// Guards against whole tables for an instance that has the present one already.
TEST(RangeJoiningTest, AnInterruptedConnectionCausesNoWholeTable)
{
    LeadingAuthority leader;
    leader.listServers(3);
    leader.run(2s);
    leader.report(2);
    leader.run(50ms);
    wire::Envelope report;
    report.mutable_sender()->set_id("edge-2");
    report.mutable_sender()->set_incarnation(2);
    report.mutable_instance_report()->set_address("10.0.0.2:7200");
    for (const wire::Envelope& message : leader.messages) {
        if (message.has_range_table_view()) {
            wire::RangeTableVersion& table = *report.mutable_instance_report()->add_tables();
            table.set_service(message.range_table_view().service());
            table.set_term(message.range_table_view().term());
            table.set_version(message.range_table_view().version());
        }
    }
    ASSERT_EQ(report.instance_report().tables_size(), 1);
    leader.reduce(RangePeerMessage {report});
    leader.unreachableInstances = {"edge-2"};
    leader.run(400ms);
    leader.messages.clear();
    leader.unreachableInstances.clear();
    leader.run(100ms);
    EXPECT_GE(heartbeatsIn(leader.messages), 1);
    EXPECT_EQ(wholeTablesIn(leader.messages), 0);
}

/// Guards against an instance that waits a whole report interval when its first report met a connection that was not
/// open yet.
TEST(RangeJoiningTest, ADroppedReportIsFollowedByTheNextOneAtOnce)
{
    RangeAuthority follower(LeaderRecord {0, "edge-2", 7, "10.0.0.2:7200", {}}, RangeTimes(), LeadershipTimes(), 1);
    MonotonicTime now {1h};
    const auto reportsAt = [&](RangeEvent event) {
        const RangeEffects effects = follower.reduce({now, std::move(event)});
        return std::count_if(effects.begin(), effects.end(),
            [](const RangeEffect& effect) { return std::holds_alternative<SendRangePeerMessage>(effect); });
    };
    (void)reportsAt(RangeTick {});
    (void)reportsAt(RecordRead {std::string(leaderRecordName), now,
        {StoreStatus::Ok,
            {std::string(leaderRecordName), 3, encodeLeaderRecord({4, "edge-1", 2, "10.0.0.1:7200", {}})}}});
    now += 50ms;
    ASSERT_EQ(reportsAt(RangeTick {}), 1);
    (void)reportsAt(RangeMessageDropped {"edge-1"});
    now += 50ms;
    EXPECT_EQ(reportsAt(RangeTick {}), 1);
    now += 50ms;
    EXPECT_EQ(reportsAt(RangeTick {}), 0) << "the second one was sent";
}

/// No heartbeats arrive in the first second, so that only the election is counted. Guards against a write attempt of
/// every instance when a whole fleet starts together.
TEST(RangeJoiningTest, FewInstancesOfAFleetTryToBecomeTheFirstLeader)
{
    constexpr unsigned instanceCount = 200;
    constexpr Milliseconds callTime = 30ms;
    constexpr Milliseconds tickInterval = 50ms;
    std::vector<RangeLeadership> fleet;
    std::mt19937_64 random(1);
    for (unsigned i = 0; i < instanceCount; ++i) {
        LeadershipTimes times;
        times.fitness = std::uniform_real_distribution<double>(0.2, 1)(random);
        fleet.emplace_back(times, LeaderRecord {0, "edge-" + std::to_string(i), 1, "10.0.0.1:7200", {}}, random());
    }
    std::optional<std::string> stored;
    unsigned reads = 0;
    unsigned writes = 0;
    std::multimap<MonotonicTime, std::function<void()>> answers;
    for (MonotonicTime now {1h}; now < MonotonicTime(1h) + 1s; now += 1ms) {
        while (!answers.empty() && answers.begin()->first <= now) {
            const std::function<void()> deliver = answers.begin()->second;
            answers.erase(answers.begin());
            deliver();
        }
        for (unsigned i = 0; i < instanceCount; ++i) {
            if ((now.time_since_epoch() / 1ms + i) % (tickInterval / 1ms) != 0) {
                continue;
            }
            RangeLeadership& instance = fleet[i];
            const RangeLeadership::Step due = instance.step(now);
            if (due.read) {
                ++reads;
                StoreReadResult result {StoreStatus::NotFound, {}};
                if (stored) {
                    result = {StoreStatus::Ok, {std::string(leaderRecordName), 1, *stored}};
                }
                answers.emplace(now + callTime, [&instance, now, result] {
                    instance.onRead({std::string(leaderRecordName), now, result});
                });
            } else if (due.write) {
                ++writes;
                const StoreStatus status = stored ? StoreStatus::Conflict : StoreStatus::Ok;
                stored = stored ? stored : due.write->value;
                answers.emplace(now + callTime, [&instance, now, status] {
                    instance.onWritten({std::string(leaderRecordName), now, {status, 1}});
                });
            }
        }
    }
    const auto leaders = std::count_if(fleet.begin(), fleet.end(),
        [](const RangeLeadership& instance) { return instance.role() == RangeLeadership::Role::Leader; });
    EXPECT_EQ(leaders, 1);
    EXPECT_LE(writes, instanceCount / 10);
    EXPECT_LE(reads, 2 * instanceCount + writes);
}

} // namespace
} // namespace jasminespread
