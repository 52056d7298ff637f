#include "ranges/feed_source_selector.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::IsEmpty;

constexpr MonotonicTime start {1h};

/// Guards against an instance without changes: nothing was heard of a leader yet.
TEST(ViewSharingTest, WatchesTheStoreUntilALeaderIsHeard)
{
    ViewSharing view;
    EXPECT_EQ(view.source(false, start), FeedSource::Store);
    view.heard({{{"servers", 7}}, 300ms, 1, start}, start);
    EXPECT_EQ(view.source(false, start), FeedSource::Leader);
    EXPECT_EQ(view.source(true, start), FeedSource::StoreForOthers);
}

/// Guards against requests to a server that left 2 s ago, by the store's word, because the leader had lost the store,
/// or was not heard any more.
TEST(ViewSharingTest, WatchesTheStoreWhenTheLeadersViewIsOld)
{
    ViewSharing view;
    view.heard({{{"servers", 7}}, 300ms, 1, start}, start);
    EXPECT_EQ(view.source(false, start + 1s), FeedSource::Leader);
    EXPECT_EQ(view.source(false, start + 1200ms), FeedSource::Store);
    // It is heard, but its view gets older.
    for (Milliseconds age = 300ms; age < 2s; age += 300ms) {
        view.heard({{{"servers", 7}}, age, 1, start + age}, start + age);
    }
    EXPECT_EQ(view.source(false, start + 1900ms), FeedSource::Store);
}

/// Guards against an instance that relies on a leader whose heartbeats arrive late, one after the other.
TEST(ViewSharingTest, HeartbeatsThatWaitedTellOfAnOldView)
{
    constexpr Milliseconds clockDifference = 40min;
    ViewSharing view;
    view.heard({{{"servers", 7}}, 100ms, 3, start + clockDifference}, start + 12ms);
    for (Milliseconds later = 300ms; later <= 3s; later += 300ms) {
        // The link gets fuller: each heartbeat is on its way for longer than the one before.
        const MonotonicTime arrival = start + later + later / 2;
        view.heard({{{"servers", 7}}, 100ms, 3, start + clockDifference + later}, arrival);
        const bool isOld = later / 2 - 12ms + 100ms > 1400ms;
        EXPECT_EQ(view.source(false, arrival), isOld ? FeedSource::Store : FeedSource::Leader) << later.count();
    }
    // A leader of a later term has a clock of its own.
    view.heard({{{"servers", 7}}, 100ms, 4, start}, start + 5s);
    EXPECT_EQ(view.source(false, start + 5s), FeedSource::Leader);
}

/// Guards against a leader that has one feed only and lets others stop watching both.
TEST(ViewSharingTest, TellsTheAgeOfTheOldestFeed)
{
    ViewSharing view;
    EXPECT_FALSE(view.describe(start));
    view.answered("servers", {9, 7}, start);
    view.learned("config", {5, 5});
    EXPECT_FALSE(view.describe(start));
    view.answered("config", {11, 9}, start + 500ms);
    const std::optional<SharedFeeds> shared = view.describe(start + 800ms);
    ASSERT_TRUE(shared);
    EXPECT_EQ(shared->age, 800ms);
    EXPECT_THAT(shared->revisions, ElementsAre(testing::Pair("config", 9U), testing::Pair("servers", 7U)));
}

/// Guards against a lost message: what the leader knows is fetched, once and again after a pause.
TEST(ViewSharingTest, FetchesWhatItMissed)
{
    ViewSharing view;
    view.answered("servers", {7, 5}, start);
    view.heard({{{"servers", 7}}, 0ms, 1, start}, start);
    EXPECT_THAT(view.feedsBehind(start + 1s), IsEmpty());
    view.heard({{{"servers", 8}}, 0ms, 1, start + 1s}, start + 1s);
    EXPECT_THAT(view.feedsBehind(start + 1s), IsEmpty()) << "the change itself may be under way";
    EXPECT_THAT(view.feedsBehind(start + 1200ms), ElementsAre("servers"));
    EXPECT_THAT(view.feedsBehind(start + 1300ms), IsEmpty());
    EXPECT_THAT(view.feedsBehind(start + 1700ms), ElementsAre("servers"));
    view.learned("servers", {8, 8});
    EXPECT_THAT(view.feedsBehind(start + 3s), IsEmpty());
}

/// Guards against calls for changes of other objects: the store's revision rises with each of them.
TEST(ViewSharingTest, TellsTheRevisionOfTheLastChange)
{
    ViewSharing leader;
    leader.answered("servers", {7, 7}, start);
    leader.answered("servers", {90, 7}, start + 1s);
    ViewSharing view;
    view.answered("servers", {7, 7}, start);
    view.heard(*leader.describe(start + 1s), start + 1s);
    EXPECT_THAT(view.feedsBehind(start + 2s), IsEmpty());
}

} // namespace
} // namespace jasminespread
