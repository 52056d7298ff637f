#pragma once

#include <jasminespread/enum_names.h>
#include <jasminespread/time.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace jasminespread {

/// Where an instance gets changes of the store's feeds (the listed servers, the configuration) from.
enum class FeedSource : std::uint8_t {
    Store, ///< It watches the store itself.
    StoreForOthers, ///< It watches the store with short waits and forwards changes to the other instances.
    Leader ///< It receives the changes from the leader.
};

inline constexpr std::array<EnumName<FeedSource>, 3> feedSourceNames {{
    {FeedSource::Store, "store"},
    {FeedSource::StoreForOthers, "store-for-others"},
    {FeedSource::Leader, "leader"},
}};

/// Changes of one feed, as forwarded between instances.
struct FeedChange {
    std::string feed;
    std::uint64_t baseRevision = 0; ///< They apply to a state of this revision or a later one.
    std::uint64_t revision = 0; ///< Revision of the state after the changes.
    std::string payload; ///< In the adapter's encoding. Empty: too large to forward; fetch it from the store.
    std::uint64_t era = 0; ///< Of both revisions.
};

/// Revisions of a feed's state. The store's revision also increases with changes of other objects.
struct FeedRevision {
    std::uint64_t asOf = 0; ///< Revision up to which the state is complete.
    std::uint64_t lastChange = 0; ///< Revision of the last change of the state.
    std::uint64_t era = 0; ///< Of the store; revisions are compared only within one era.
};

/// Revision of the last change of a feed's state, ordered by era first.
struct FeedChangeRevision {
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    bool operator==(const FeedChangeRevision&) const = default;
    [[nodiscard]] bool operator<(const FeedChangeRevision& other) const
    {
        return std::tie(era, revision) < std::tie(other.era, other.revision);
    }
};

/// Feed revisions that the leader sends with each heartbeat.
struct FeedSummary {
    std::map<std::string, FeedChangeRevision> revisions; ///< Revision of the last change, by feed.
    Milliseconds age {0}; ///< Time since the last answer of the store, for the feed with the oldest answer.
    std::uint64_t term = 0; ///< The leader's term.
    MonotonicTime sentAt; ///< On the leader's clock.
};

/// Decides whether an instance watches the store itself or relies on the leader, so that the load on the store depends
/// on the rate of changes and not on the number of instances. An instance relies on the leader only while the leader's
/// view is recent. Does no I/O; not thread-safe.
class FeedSourceSelector {
public:
    /// The store confirmed the state of @p feed, at @p answeredAt or later.
    void onStoreAnswer(const std::string& feed, FeedRevision revision, MonotonicTime answeredAt);
    /// The local state of @p feed is now at @p revision, from the store or the leader.
    void onRevisionLearned(const std::string& feed, FeedRevision revision);
    /// A heartbeat of the current leader arrived.
    void onLeaderHeartbeat(const FeedSummary& summary, MonotonicTime now);
    /// Feed revisions for the leader's heartbeats; empty until the store has answered for every feed.
    [[nodiscard]] std::optional<FeedSummary> summarize(MonotonicTime now) const;
    /// Source to use at @p now. @p forwardsChanges: this instance leads and other instances rely on it.
    [[nodiscard]] FeedSource source(bool forwardsChanges, MonotonicTime now) const;
    /// Time up to which the local state of @p feed is known to include every change; nothing before the first
    /// confirmation. A change that is learned next was made after it.
    [[nodiscard]] std::optional<MonotonicTime> confirmedAsOf(const std::string& feed) const;
    /// Feeds for which the leader has had a newer revision for longer than a forwarded change takes to arrive. Each is
    /// returned again only after a retry interval.
    [[nodiscard]] std::vector<std::string> laggingFeeds(MonotonicTime now);

private:
    struct Feed {
        FeedRevision revision;
        MonotonicTime storeAnsweredAt;
        std::optional<MonotonicTime> confirmedAsOf; ///< By an answer of the store, here or at the leader.
        FeedChangeRevision leaderRevision; ///< Revision of the last change that the leader reported.
        std::optional<MonotonicTime> laggingSince;
    };

    std::map<std::string, Feed> m_feeds;
    std::optional<MonotonicTime> m_leaderViewAsOf; ///< The leader's view was complete up to this time.
    std::uint64_t m_term = 0; ///< Term of the leader that sent the latest heartbeat.
    /// Lowest one-way delay of a heartbeat in this term, including the constant offset between both clocks.
    MonotonicTime::duration m_minHeartbeatDelay {};
};

} // namespace jasminespread
