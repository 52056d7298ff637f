#pragma once

#include <jasminespread/enum_names.h>
#include <jasminespread/time.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jasminespread {

/// How an instance follows the store's feeds (the listed servers, the configuration).
enum class FeedSource : std::uint8_t {
    Store, ///< It watches the store.
    StoreForOthers, ///< It watches the store closely and passes changes on.
    Leader ///< It gets the changes from the leader.
};

inline constexpr std::array<EnumName<FeedSource>, 3> feedSourceNames {{
    {FeedSource::Store, "store"},
    {FeedSource::StoreForOthers, "store-for-others"},
    {FeedSource::Leader, "leader"},
}};

/// Changes of one feed, as they are passed between instances.
struct FeedChange {
    std::string feed;
    std::uint64_t baseRevision = 0; ///< They apply to any state from this revision on.
    std::uint64_t revision = 0; ///< Of the state after them.
    std::string payload; ///< In the adapter's encoding. Empty: too large to pass on; to be fetched from the store.
};

/// How new the state of a feed is. The store's revision also rises with changes of other objects.
struct FeedRevision {
    std::uint64_t known = 0; ///< The state is that of this revision.
    std::uint64_t changed = 0; ///< It has not changed since this one.
};

/// What a leader tells about its feeds with each heartbeat.
struct SharedFeeds {
    std::map<std::string, std::uint64_t> revisions; ///< Of the last change, by feed.
    Milliseconds age {0}; ///< Time since the store last answered for the feed that was answered longest ago.
    std::uint64_t term = 0; ///< Of the leader.
    MonotonicTime sentAt; ///< By the leader's clock.
};

/// Decides whether an instance watches the store itself or relies on the leader, so that calls to the store grow with
/// the changes and not with the instances. An instance relies on the leader only while the leader's view is fresh.
/// Pure; not thread-safe.
class ViewSharing {
public:
    /// The store answered for @p feed.
    void answered(const std::string& feed, FeedRevision revision, MonotonicTime now);
    /// The state of @p feed is now that of @p revision, from whatever source.
    void learned(const std::string& feed, FeedRevision revision);
    /// A heartbeat of the current leader.
    void heard(const SharedFeeds& shared, MonotonicTime now);
    /// What to tell the other instances; empty before the store has answered for any feed.
    [[nodiscard]] std::optional<SharedFeeds> describe(MonotonicTime now) const;
    /// Where this instance has its view from at @p now. @p passesOn: it leads, and others rely on it.
    [[nodiscard]] FeedSource source(bool passesOn, MonotonicTime now) const;
    /// Feeds that the leader knows in a newer revision than this instance for longer than a message takes. Each is
    /// returned again only after a pause.
    [[nodiscard]] std::vector<std::string> feedsBehind(MonotonicTime now);

private:
    struct Feed {
        FeedRevision revision;
        MonotonicTime answeredAt;
        std::uint64_t announced = 0; ///< Of the last change that the leader told.
        std::optional<MonotonicTime> behindSince;
    };

    std::map<std::string, Feed> m_feeds;
    std::optional<MonotonicTime> m_viewAt; ///< Time as of which the leader's view was complete.
    std::uint64_t m_term = 0; ///< Of the leader that was heard last.
    /// Shortest time on the way of a heartbeat of this term, with the constant difference of both clocks.
    MonotonicTime::duration m_leastTransit {};
};

} // namespace jasminespread
