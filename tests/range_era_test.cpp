#include "support/leading_authority.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;
using test::LeadingAuthority;

std::set<std::string> holdersOf(const std::vector<GrantRange>& grants)
{
    std::set<std::string> holders;
    for (const GrantRange& grant : grants) {
        holders.insert(grant.server.identity.id);
    }
    return holders;
}

std::uint64_t highestFence(const std::vector<GrantRange>& grants)
{
    const auto highest = std::max_element(
        grants.begin(), grants.end(), [](const GrantRange& a, const GrantRange& b) { return a.fence < b.fence; });
    return highest == grants.end() ? 0 : highest->fence;
}

/// Guards against keys without an owner after a restore although the leader knows their holders, and against terms and
/// tokens that are assigned again.
TEST(RangeEraTest, ALeaderThatRemembersItsGrantsRenewsThem)
{
    LeadingAuthority leader;
    leader.listServers(2);
    leader.copyStore();
    leader.run(20s);
    const std::set<std::string> holders = holdersOf(leader.grants);
    const std::uint64_t highest = highestFence(leader.grants);
    ASSERT_EQ(holders.size(), 2U);
    leader.restoreStore();
    leader.grants.clear();
    leader.run(3s);
    EXPECT_EQ(leader.term(), firstTermOf(1));
    EXPECT_EQ(holdersOf(leader.grants), holders);
    EXPECT_LE(highestFence(leader.grants), highest) << "a higher token hides that another leader granted the range";
    leader.run(17s);
    EXPECT_EQ(highestFence(leader.grants) >> 24, firstTermOf(1));
    EXPECT_EQ(holdersOf(leader.grants), holders);
    EXPECT_LT(((firstTermOf(maxStoreEra + 1) - 1) << 24) - 1, std::uint64_t(1) << 53);
}

/// Guards against a grant while another server may have a lease whose record was lost.
TEST(RangeEraTest, NoServerGetsARangeBeforeLostLeasesHaveExpired)
{
    LeadingAuthority leader;
    leader.listServers(2);
    leader.run(20s);
    leader.copyStore();
    leader.restoreStore();
    leader.run(2s);
    leader.grants.clear();
    leader.listServers(1);
    leader.run(9s);
    EXPECT_EQ(holdersOf(leader.grants).size(), 1U);
    const std::size_t before = leader.table->routes.size();
    EXPECT_GT(std::count_if(leader.table->routes.begin(), leader.table->routes.end(),
                  [](const RangeRoute& route) { return route.owner.id.empty(); }),
        0);
    leader.run(8s);
    EXPECT_GE(before, leader.table->routes.size());
    EXPECT_TRUE(std::none_of(leader.table->routes.begin(), leader.table->routes.end(),
        [](const RangeRoute& route) { return route.owner.id.empty(); }));
}

/// Guards against a leader without memory that trusts the holders of a record that is older than the latest grants.
TEST(RangeEraTest, ANewLeaderWaitsBeforeItGrantsByARestoredRecord)
{
    RangeLeadership leadership(LeadershipTimes(), LeaderRecord {0, "edge-1", 7, "10.0.0.1:7200", {}}, 1);
    MonotonicTime now {1h};
    leadership.onNewEra(2, now);
    ASSERT_TRUE(leadership.step(now).read);
    const std::string stored = encodeLeaderRecord({5, "edge-2", 8, "10.0.0.2:7200", {}});
    leadership.onRead({std::string(leaderRecordName), now, {StoreStatus::Ok, {"leader", 57, stored}, 2}});
    now += 5s;
    const RangeLeadership::Step step = leadership.step(now);
    ASSERT_TRUE(step.write);
    const Result<LeaderRecord> record = parseLeaderRecord(step.write->value);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->term, firstTermOf(2));
    EXPECT_EQ(record->unconfirmedLeaders, std::vector<std::string> {std::string(unknownLeaders)});
    // The answer of a later era confirms nothing.
    leadership.onNewEra(3, now);
    leadership.onWritten({std::string(leaderRecordName), now, {StoreStatus::Ok, 58, 3}, 2});
    EXPECT_FALSE(leadership.mayGrant(now));
    EXPECT_TRUE(leadership.step(now).read);
}

/// Guards against a first start that waits for the leases of leaders that never were, because the store states an era.
TEST(RangeEraTest, AFirstStartWaitsForNoEarlierLeaders)
{
    for (const bool isFirstStart : {true, false}) {
        LeadershipTimes times;
        times.isFirstStart = isFirstStart;
        RangeLeadership leadership(times, LeaderRecord {0, "edge-1", 7, "10.0.0.1:7200", {}}, 1);
        MonotonicTime now {1h};
        leadership.onNewEra(1, now);
        std::optional<WriteRecord> write;
        for (int i = 0; i < 100 && !write; ++i, now += 100ms) {
            const RangeLeadership::Step step = leadership.step(now);
            write = step.write;
            if (step.read) {
                leadership.onRead({std::string(leaderRecordName), now, {StoreStatus::NotFound, {}, 1}});
            }
        }
        ASSERT_TRUE(write);
        const Result<LeaderRecord> record = parseLeaderRecord(write->value);
        ASSERT_TRUE(record);
        EXPECT_EQ(record->unconfirmedLeaders.empty(), isFirstStart);
    }
}

} // namespace
} // namespace jasminespread
