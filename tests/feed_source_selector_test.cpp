#include "ranges/feed_source_selector.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::IsEmpty;

constexpr MonotonicTime start {1h};

/// Guards against an instance that misses changes because it relies on a leader before the first heartbeat.
TEST(FeedSourceSelectorTest, WatchesTheStoreUntilTheFirstHeartbeat)
{
    FeedSourceSelector selector;
    EXPECT_EQ(selector.source(false, start), FeedSource::Store);
    selector.onLeaderHeartbeat({{{"servers", {0, 7}}}, 300ms, 1, start}, start);
    EXPECT_EQ(selector.source(false, start), FeedSource::Leader);
    EXPECT_EQ(selector.source(true, start), FeedSource::StoreForOthers);
}

/// Guards against requests to a server that the store listed as leaving 2 s ago, because the leader lost the store or
/// its heartbeats stopped.
TEST(FeedSourceSelectorTest, WatchesTheStoreWhenTheLeadersViewIsOld)
{
    FeedSourceSelector selector;
    selector.onLeaderHeartbeat({{{"servers", {0, 7}}}, 300ms, 1, start}, start);
    EXPECT_EQ(selector.source(false, start + 1s), FeedSource::Leader);
    EXPECT_EQ(selector.source(false, start + 1200ms), FeedSource::Store);
    // Heartbeats arrive, but the leader's view gets older.
    for (Milliseconds age = 300ms; age < 2s; age += 300ms) {
        selector.onLeaderHeartbeat({{{"servers", {0, 7}}}, age, 1, start + age}, start + age);
    }
    EXPECT_EQ(selector.source(false, start + 1900ms), FeedSource::Store);
}

/// Guards against an instance that relies on a leader whose heartbeats arrive with increasing delay.
TEST(FeedSourceSelectorTest, DelayedHeartbeatsCountAsAnOldView)
{
    constexpr Milliseconds clockDifference = 40min;
    FeedSourceSelector selector;
    selector.onLeaderHeartbeat({{{"servers", {0, 7}}}, 100ms, 3, start + clockDifference}, start + 12ms);
    for (Milliseconds elapsed = 300ms; elapsed <= 3s; elapsed += 300ms) {
        // The link gets congested: each heartbeat is delayed more than the previous one.
        const MonotonicTime arrival = start + elapsed + elapsed / 2;
        selector.onLeaderHeartbeat({{{"servers", {0, 7}}}, 100ms, 3, start + clockDifference + elapsed}, arrival);
        const bool isOld = elapsed / 2 - 12ms + 100ms > 1400ms;
        EXPECT_EQ(selector.source(false, arrival), isOld ? FeedSource::Store : FeedSource::Leader) << elapsed.count();
    }
    // The leader of a later term has a different clock.
    selector.onLeaderHeartbeat({{{"servers", {0, 7}}}, 100ms, 4, start}, start + 5s);
    EXPECT_EQ(selector.source(false, start + 5s), FeedSource::Leader);
}

/// Guards against a change that is taken for newer than it can be: a heartbeat confirms the state only if the state has
/// all changes of the leader's view, and only as of the time of that view.
TEST(FeedSourceSelectorTest, AStateIsConfirmedAsOfTheViewThatItCompletes)
{
    FeedSourceSelector selector;
    EXPECT_FALSE(selector.confirmedAsOf("servers"));
    selector.onLeaderHeartbeat({{{"servers", {0, 7}}}, 300ms, 1, start}, start);
    EXPECT_FALSE(selector.confirmedAsOf("servers"));
    selector.onStoreAnswer("servers", {8, 7}, start + 1s);
    EXPECT_EQ(selector.confirmedAsOf("servers"), start + 1s);
    // An older view, a newer one, and one with a change that is not known here yet.
    selector.onLeaderHeartbeat({{{"servers", {0, 7}}}, 600ms, 1, start + 1300ms}, start + 1300ms);
    EXPECT_EQ(selector.confirmedAsOf("servers"), start + 1s);
    selector.onLeaderHeartbeat({{{"servers", {0, 8}}}, 100ms, 1, start + 1600ms}, start + 1600ms);
    EXPECT_EQ(selector.confirmedAsOf("servers"), start + 1500ms);
    selector.onLeaderHeartbeat({{{"servers", {0, 9}}}, 100ms, 1, start + 1900ms}, start + 1900ms);
    EXPECT_EQ(selector.confirmedAsOf("servers"), start + 1500ms);
}

/// Guards against a leader that has an answer for one feed only while other instances stop watching both.
TEST(FeedSourceSelectorTest, SummaryHasTheAgeOfTheOldestFeed)
{
    FeedSourceSelector selector;
    EXPECT_FALSE(selector.summarize(start));
    selector.onStoreAnswer("servers", {9, 7}, start);
    selector.onRevisionLearned("config", {5, 5});
    EXPECT_FALSE(selector.summarize(start));
    selector.onStoreAnswer("config", {11, 9}, start + 500ms);
    const std::optional<FeedSummary> summary = selector.summarize(start + 800ms);
    ASSERT_TRUE(summary);
    EXPECT_EQ(summary->age, 800ms);
    EXPECT_THAT(summary->revisions,
        ElementsAre(
            testing::Pair("config", FeedChangeRevision {0, 9}), testing::Pair("servers", FeedChangeRevision {0, 7})));
}

/// Guards against a lost message: missed changes are fetched, and fetched again after the retry interval.
TEST(FeedSourceSelectorTest, FetchesMissedChanges)
{
    FeedSourceSelector selector;
    selector.onStoreAnswer("servers", {7, 5}, start);
    selector.onLeaderHeartbeat({{{"servers", {0, 7}}}, 0ms, 1, start}, start);
    EXPECT_THAT(selector.laggingFeeds(start + 1s), IsEmpty());
    selector.onLeaderHeartbeat({{{"servers", {0, 8}}}, 0ms, 1, start + 1s}, start + 1s);
    EXPECT_THAT(selector.laggingFeeds(start + 1s), IsEmpty()) << "the forwarded change may be in transit";
    EXPECT_THAT(selector.laggingFeeds(start + 1200ms), ElementsAre("servers"));
    EXPECT_THAT(selector.laggingFeeds(start + 1300ms), IsEmpty());
    EXPECT_THAT(selector.laggingFeeds(start + 1700ms), ElementsAre("servers"));
    selector.onRevisionLearned("servers", {8, 8});
    EXPECT_THAT(selector.laggingFeeds(start + 3s), IsEmpty());
}

/// Guards against fetches caused by changes of other objects, which also increase the store's revision.
TEST(FeedSourceSelectorTest, SummaryHasTheRevisionOfTheLastChange)
{
    FeedSourceSelector leader;
    leader.onStoreAnswer("servers", {7, 7}, start);
    leader.onStoreAnswer("servers", {90, 7}, start + 1s);
    FeedSourceSelector selector;
    selector.onStoreAnswer("servers", {7, 7}, start);
    selector.onLeaderHeartbeat(*leader.summarize(start + 1s), start + 1s);
    EXPECT_THAT(selector.laggingFeeds(start + 2s), IsEmpty());
}

/// Guards against a state of an earlier era that counts as up to date because its revision is higher.
TEST(FeedSourceSelectorTest, ARevisionOfANewEraIsNewerThanAHigherOne)
{
    FeedSourceSelector selector;
    selector.onStoreAnswer("servers", {90, 90}, start);
    selector.onLeaderHeartbeat({{{"servers", {1, 7}}}, 0ms, 1, start}, start);
    EXPECT_THAT(selector.laggingFeeds(start + 1s), ElementsAre("servers"));
    EXPECT_EQ(selector.confirmedAsOf("servers"), start);
    selector.onRevisionLearned("servers", {8, 8, 1});
    EXPECT_THAT(selector.laggingFeeds(start + 3s), IsEmpty());
    selector.onLeaderHeartbeat({{{"servers", {0, 95}}}, 0ms, 1, start + 3s}, start + 3s);
    EXPECT_THAT(selector.laggingFeeds(start + 4s), IsEmpty()) << "the leader has not seen the new era yet";
}

} // namespace
} // namespace jasminespread
