#include "ranges/feed_source_selector.h"

#include <algorithm>

namespace jasminespread {
namespace {

/// Age of the leader's view up to which other instances rely on it. A leaving server must get no request later than 2 s
/// after the store lists it as leaving. If the leader loses the store just then, instances query the store themselves
/// after this time.
constexpr Milliseconds maxViewAge {1400};
/// A forwarded change arrives within a few round trips; after this delay an instance fetches it from the store.
constexpr Milliseconds fetchDelay {150};
/// Time between two fetch attempts.
constexpr Milliseconds fetchRetryInterval {400};

/// Revision up to which a state is complete.
FeedChangeRevision completeUpTo(const FeedRevision& revision) { return {revision.era, revision.asOf}; }

} // namespace

void FeedSourceSelector::onStoreAnswer(const std::string& feed, FeedRevision revision, MonotonicTime answeredAt)
{
    Feed& state = m_feeds[feed];
    state.storeAnsweredAt = answeredAt;
    state.confirmedAsOf = std::max(state.confirmedAsOf.value_or(answeredAt), answeredAt);
    onRevisionLearned(feed, revision);
}

void FeedSourceSelector::onRevisionLearned(const std::string& feed, FeedRevision revision)
{
    Feed& state = m_feeds[feed];
    state.revision = revision;
    if (!(completeUpTo(revision) < state.leaderRevision)) {
        state.laggingSince.reset();
    }
}

void FeedSourceSelector::onLeaderHeartbeat(const FeedSummary& summary, MonotonicTime now)
{
    const MonotonicTime::duration heartbeatDelay = now - summary.sentAt;
    m_minHeartbeatDelay = summary.term == m_term ? std::min(m_minHeartbeatDelay, heartbeatDelay) : heartbeatDelay;
    m_term = summary.term;
    // A heartbeat that was queued on a congested link or in the receive buffer describes an older view.
    const MonotonicTime::duration queueingDelay = heartbeatDelay - m_minHeartbeatDelay;
    const MonotonicTime viewAsOf = now - summary.age - queueingDelay;
    m_leaderViewAsOf = std::max(m_leaderViewAsOf.value_or(MonotonicTime()), viewAsOf);
    for (const auto& [name, revision] : summary.revisions) {
        Feed& state = m_feeds[name];
        state.leaderRevision = std::max(state.leaderRevision, revision);
        if (completeUpTo(state.revision) < state.leaderRevision && !state.laggingSince) {
            state.laggingSince = now;
        }
        const bool hasLeadersState = state.revision.asOf != 0 && !(completeUpTo(state.revision) < state.leaderRevision);
        if (hasLeadersState) {
            state.confirmedAsOf = std::max(state.confirmedAsOf.value_or(viewAsOf), viewAsOf);
        }
    }
}

std::optional<FeedSummary> FeedSourceSelector::summarize(MonotonicTime now) const
{
    FeedSummary summary;
    for (const auto& [name, feed] : m_feeds) {
        if (feed.storeAnsweredAt == MonotonicTime()) {
            return std::nullopt;
        }
        summary.revisions[name] = {feed.revision.era, feed.revision.lastChange};
        summary.age = std::max(summary.age, std::chrono::ceil<Milliseconds>(now - feed.storeAnsweredAt));
    }
    return m_feeds.empty() ? std::nullopt : std::optional(summary);
}

FeedSource FeedSourceSelector::source(bool forwardsChanges, MonotonicTime now) const
{
    if (forwardsChanges) {
        return FeedSource::StoreForOthers;
    }
    return m_leaderViewAsOf && now - *m_leaderViewAsOf <= maxViewAge ? FeedSource::Leader : FeedSource::Store;
}

std::optional<MonotonicTime> FeedSourceSelector::confirmedAsOf(const std::string& feed) const
{
    const auto it = m_feeds.find(feed);
    return it == m_feeds.end() ? std::nullopt : it->second.confirmedAsOf;
}

std::vector<std::string> FeedSourceSelector::laggingFeeds(MonotonicTime now)
{
    std::vector<std::string> lagging;
    for (auto& [name, feed] : m_feeds) {
        if (feed.laggingSince && now - *feed.laggingSince >= fetchDelay) {
            feed.laggingSince = now + (fetchRetryInterval - fetchDelay);
            lagging.push_back(name);
        }
    }
    return lagging;
}

} // namespace jasminespread
