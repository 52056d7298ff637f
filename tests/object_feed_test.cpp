#include "object_feed.h"

#include <glib.h>

#include <gtest/gtest.h>

#include <deque>
#include <optional>
#include <thread>

namespace jasminespread::platform {
namespace {

using namespace std::chrono_literals;

std::string entry(const std::string& name, std::uint64_t revision, const std::string& spec = "{}")
{
    return R"({"metadata":{"name":")" + name + R"(","rev":)" + std::to_string(revision) + R"(},"spec":)" + spec + "}";
}

/// A feed whose calls to the store are answered by the test.
class ObjectFeedTest : public testing::Test {
protected:
    ObjectFeedTest()
        : m_store(m_transport, "10.0.0.1:80")
        , m_feed(m_store, "servers", 0ms, 2000ms,
              {[this](const std::map<std::string, PlatformObject>& objects) {
                   m_objects = objects;
                   ++m_reports;
               },
                  [this](bool reachable) { m_reachable = reachable; },
                  [this](FeedRevision revision, bool byStore) {
                      m_revision = revision;
                      m_confirmedByStore = byStore;
                  },
                  [](FeedChange&&) {}})
    {
        m_transport.send = [this](const BackendRequest& request, BackendTransport::Callback callback) {
            m_targets.push_back(request.target);
            m_callback = std::move(callback);
            return BackendTransport::Handle(1);
        };
        m_feed.setSource(FeedSource::Leader);
        m_feed.start();
    }

    void answer(const std::string& body, const std::string& era = "")
    {
        BackendResult result;
        if (!era.empty()) {
            result.headers.push_back({"Store-Era", era});
        }
        result.progress = BackendProgress::Answered;
        result.status = 200;
        result.body = body;
        const BackendTransport::Callback callback = std::exchange(m_callback, nullptr);
        callback(std::move(result));
    }

    void answerWith(unsigned status)
    {
        BackendResult result;
        result.progress = BackendProgress::Answered;
        result.status = status;
        const BackendTransport::Callback callback = std::exchange(m_callback, nullptr);
        callback(std::move(result));
    }

    /// Runs the main context until the feed calls the store.
    bool isCallSentWithin(Milliseconds limit)
    {
        const MonotonicTime end = monotonicNow() + limit;
        while (!m_callback && monotonicNow() < end) {
            if (!g_main_context_iteration(nullptr, FALSE)) {
                std::this_thread::sleep_for(1ms);
            }
        }
        return static_cast<bool>(m_callback);
    }

    /// Answers the first list, and the watch that confirms it.
    void answerFirstList(const std::string& body, std::uint64_t revision)
    {
        answer(body);
        answer(R"({"events":[],"atRev":)" + std::to_string(revision) + "}");
    }

    [[nodiscard]] std::string names() const
    {
        std::string text;
        for (const auto& [name, object] : m_objects) {
            text += name + '@' + std::to_string(object.revision) + ' ';
        }
        return text;
    }

    /// A change of one object that another instance passes on, which covers the revisions from @p base to @p revision.
    static FeedChange forwarded(
        const std::string& name, std::uint64_t objectRevision, bool deleted, std::uint64_t base, std::uint64_t revision)
    {
        PlatformObject object {name, objectRevision, boost::json::object()};
        return {"servers", base, revision, encodeChanges({{object, deleted}})};
    }

    BackendTransport m_transport;
    std::deque<std::string> m_targets;
    BackendTransport::Callback m_callback;
    std::map<std::string, PlatformObject> m_objects;
    unsigned m_reports = 0;
    std::optional<bool> m_reachable;
    FeedRevision m_revision;
    bool m_confirmedByStore = false; ///< As of the latest report of a revision.
    StoreClient m_store;
    ObjectFeed m_feed;
};

/// Guards against a server that left being used again: a change that another instance passes on late adds it although
/// the known state is newer.
TEST_F(ObjectFeedTest, ForwardedChangesOlderThanTheKnownStateAreIgnored)
{
    answerFirstList(R"({"items":[)" + entry("a", 6) + "," + entry("c", 18) + R"(],"hasMore":false,"atRev":20})", 20);
    m_feed.apply(forwarded("b", 12, false, 10, 22)); // Removed at 15, which is not among the changes.
    EXPECT_EQ(names(), "a@6 c@18 ");
    m_feed.apply(forwarded("c", 14, true, 10, 24)); // Listed again at 18.
    m_feed.apply(forwarded("a", 4, false, 3, 25));
    EXPECT_EQ(names(), "a@6 c@18 ");
    m_feed.apply(forwarded("a", 26, true, 20, 26));
    m_feed.apply(forwarded("d", 27, false, 26, 27));
    EXPECT_EQ(names(), "c@18 d@27 ");
    EXPECT_EQ(m_revision.asOf, 27U);
}

/// Guards against a state that stays that of a lost era, because the revisions of the restored store are lower.
TEST_F(ObjectFeedTest, ListsAgainInANewEraWithLowerRevisions)
{
    answerFirstList(R"({"items":[)" + entry("a", 6) + "," + entry("b", 18) + R"(],"hasMore":false,"atRev":20})", 20);
    m_feed.fetch();
    answer(R"({"events":[],"atRev":9})", "1");
    answer(R"({"items":[)" + entry("a", 6) + "," + entry("c", 8) + R"(],"hasMore":false,"atRev":9})", "1");
    EXPECT_EQ(names(), "a@6 c@8 ");
    EXPECT_EQ(m_revision.era, 1U);
    EXPECT_EQ(m_revision.asOf, 9U);
    FeedChange earlier = forwarded("d", 30, false, 9, 30);
    m_feed.apply(earlier);
    EXPECT_EQ(names(), "a@6 c@8 ") << "a change of an earlier era was applied";
    earlier.era = 1;
    m_feed.apply(earlier);
    EXPECT_EQ(names(), "a@6 c@8 d@30 ");
    m_feed.fetch();
    answer(R"({"events":[],"atRev":40})"); // Sent before the restore.
    EXPECT_EQ(m_revision.asOf, 30U);
}

/// Guards against a page that ends the list, or starts it again for ever, because of entries of other writers.
TEST_F(ObjectFeedTest, FollowsAListWithUnreadableEntries)
{
    const std::string deep = std::string(64, '[') + std::string(64, ']');
    answer(R"({"items":[)" + entry("a b&c", 6, deep) + R"(],"hasMore":true,"atRev":20})");
    EXPECT_EQ(m_targets.back(), "/api/objects/servers?allowStale=1&after=a%20b%26c");
    answerFirstList(
        R"({"items":[)" + entry("d", 7, "1e99999999999") + "," + entry("e", 8) + R"(],"hasMore":false,"atRev":20})",
        20);
    EXPECT_EQ(names(), "a b&c@6 d@7 e@8 ");
    EXPECT_TRUE(m_objects.at("d").spec.is_null());
    EXPECT_TRUE(m_objects.at("e").spec.is_object());
}

/// Guards against a server staying in use whose entry was replaced by one that cannot be read.
TEST_F(ObjectFeedTest, AnUnreadableChangeReplacesTheEarlierEntry)
{
    answerFirstList(R"({"items":[)" + entry("a", 6) + "," + entry("b", 7) + R"(],"hasMore":false,"atRev":20})", 20);
    m_feed.fetch();
    const std::string deep = std::string(64, '[') + std::string(64, ']');
    answer(R"({"events":[{"object":)" + entry("a", 21, deep) + R"(,"deleted":false},{"object":)" + entry("c", 22)
        + R"(,"deleted":false}],"atRev":22})");
    EXPECT_EQ(names(), "a@21 b@7 c@22 ");
    EXPECT_TRUE(m_objects.at("a").spec.is_null());
}

/// Guards against a starting instance that uses a server which left before: the first list may be seconds old, and its
/// pages of different ages.
TEST_F(ObjectFeedTest, AnOldFirstListIsReportedOnlyAfterTheChangesSince)
{
    answer(R"({"items":[)" + entry("a", 6) + "," + entry("b", 7) + R"(],"hasMore":true,"atRev":20})");
    answer(R"({"items":[)" + entry("c", 8) + R"(],"hasMore":false,"atRev":16})");
    EXPECT_EQ(m_targets.back(), "/api/objects/servers?watch=16&waitMs=0");
    EXPECT_EQ(m_reports, 0U);
    EXPECT_EQ(m_reachable, std::nullopt); // A copy does not show that the store answers.
    answer(R"({"events":[{"object":)" + entry("c", 18) + R"(,"deleted":true},{"object":)" + entry("b", 22)
        + R"(,"deleted":true}],"atRev":22})");
    EXPECT_EQ(names(), "a@6 ");
    EXPECT_EQ(m_reports, 1U);
    EXPECT_EQ(m_revision.asOf, 22U);
    EXPECT_EQ(m_reachable, true);
}

/// Guards against relying on an old list whose later changes the store no longer has.
TEST_F(ObjectFeedTest, WithoutTheChangesSinceAnOldListAnotherIsRequested)
{
    answer(R"({"items":[)" + entry("a", 6) + R"(],"hasMore":false,"atRev":16})");
    answerWith(410);
    EXPECT_EQ(m_targets.back(), "/api/objects/servers");
    EXPECT_EQ(m_reports, 0U);
    answer(R"({"items":[)" + entry("b", 30) + R"(],"hasMore":false,"atRev":31})");
    EXPECT_EQ(names(), "b@30 ");
    EXPECT_EQ(m_revision.asOf, 31U);
}

/// Guards against a new leader whose view gets old while it waits for the watch that it began before, so that all other
/// instances query the store themselves.
TEST_F(ObjectFeedTest, AnInstanceThatBeginsToForwardConfirmsItsViewAtOnce)
{
    m_feed.setSource(FeedSource::Store);
    answerFirstList(R"({"items":[)" + entry("a", 6) + R"(],"hasMore":false,"atRev":20})", 20);
    EXPECT_TRUE(isCallSentWithin(1400ms));
    const std::size_t calls = m_targets.size();
    ASSERT_NE(m_targets.back().find("waitMs=2000"), std::string::npos) << m_targets.back();
    const BackendTransport::Callback longWatch = std::exchange(m_callback, nullptr);
    m_feed.setSource(FeedSource::StoreForOthers);
    ASSERT_EQ(m_targets.size(), calls + 1);
    answer(R"({"events":[{"deleted":false,"object":)" + entry("b", 22) + R"(}],"atRev":22})");
    EXPECT_EQ(names(), "a@6 b@22 ");
    EXPECT_EQ(m_revision.asOf, 22U);
    m_callback = longWatch;
    answer(R"({"events":[{"deleted":false,"object":)" + entry("b", 22) + R"(}],"atRev":21})");
    EXPECT_EQ(m_revision.asOf, 22U);
    EXPECT_EQ(m_targets.size(), calls + 1) << "the earlier watch is not followed by another one";
}

/// Guards against a watch of every instance of a fleet that starts, shortly before the leader becomes their source.
TEST_F(ObjectFeedTest, AStartedInstanceDoesNotWatchTheStoreWhenALeaderAppears)
{
    m_feed.setSource(FeedSource::Store);
    answerFirstList(R"({"items":[)" + entry("a", 6) + R"(],"hasMore":false,"atRev":20})", 20);
    EXPECT_FALSE(isCallSentWithin(300ms));
    m_feed.setSource(FeedSource::Leader);
    EXPECT_FALSE(isCallSentWithin(1100ms));
}

/// Guards against a view that gets older than it may where there is no leader.
TEST_F(ObjectFeedTest, AStartedInstanceWatchesTheStoreWithoutALeader)
{
    m_feed.setSource(FeedSource::Store);
    answerFirstList(R"({"items":[)" + entry("a", 6) + R"(],"hasMore":false,"atRev":20})", 20);
    EXPECT_FALSE(isCallSentWithin(300ms));
    EXPECT_TRUE(isCallSentWithin(1100ms));
}

/// Guards against a state that counts as confirmed when the last page of a list arrives, long after the first one.
TEST_F(ObjectFeedTest, AListOfSeveralPagesIsConfirmedByTheNextWatch)
{
    answerFirstList(R"({"items":[],"hasMore":false,"atRev":50})", 50);
    m_feed.setSource(FeedSource::Store);
    answerWith(410); // The watch that setSource() began: the history is gone.
    answer(R"({"items":[)" + entry("a", 51) + R"(],"hasMore":true,"atRev":60})");
    answer(R"({"items":[)" + entry("b", 52) + R"(],"hasMore":false,"atRev":70})");
    EXPECT_EQ(names(), "a@51 b@52 ");
    EXPECT_EQ(m_revision.asOf, 60U);
    EXPECT_FALSE(m_confirmedByStore);
    EXPECT_NE(m_targets.back().find("watch=60"), std::string::npos) << m_targets.back();
    EXPECT_NE(m_targets.back().find("waitMs=0"), std::string::npos) << m_targets.back();
    answer(R"({"events":[],"atRev":72})");
    EXPECT_TRUE(m_confirmedByStore);
}

} // namespace
} // namespace jasminespread::platform
