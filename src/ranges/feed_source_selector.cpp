#include "ranges/feed_source_selector.h"

#include <algorithm>

namespace jasminespread {
namespace {

/// Age of the leader's view up to which others rely on it. A server must get no request 2 s after the store knows that
/// it leaves: an instance whose leader lost the store at that moment asks the store itself after this time.
constexpr Milliseconds highestViewAge {1400};
/// A change reaches the other instances within a few round trips; after this long they fetch it themselves.
constexpr Milliseconds catchUpPatience {150};
/// Pause between two attempts to fetch.
constexpr Milliseconds catchUpPause {400};

} // namespace

void ViewSharing::answered(const std::string& feed, FeedRevision revision, MonotonicTime now)
{
    m_feeds[feed].answeredAt = now;
    learned(feed, revision);
}

void ViewSharing::learned(const std::string& feed, FeedRevision revision)
{
    Feed& known = m_feeds[feed];
    known.revision = revision;
    if (revision.known >= known.announced) {
        known.behindSince.reset();
    }
}

void ViewSharing::heard(const SharedFeeds& shared, MonotonicTime now)
{
    const MonotonicTime::duration transit = now - shared.sentAt;
    m_leastTransit = shared.term == m_term ? std::min(m_leastTransit, transit) : transit;
    m_term = shared.term;
    // A heartbeat that waited on a full link, or unread, tells of an older view.
    const MonotonicTime::duration waited = transit - m_leastTransit;
    m_viewAt = std::max(m_viewAt.value_or(MonotonicTime()), now - shared.age - waited);
    for (const auto& [name, revision] : shared.revisions) {
        Feed& known = m_feeds[name];
        known.announced = std::max(known.announced, revision);
        if (known.announced > known.revision.known && !known.behindSince) {
            known.behindSince = now;
        }
    }
}

std::optional<SharedFeeds> ViewSharing::describe(MonotonicTime now) const
{
    SharedFeeds shared;
    for (const auto& [name, feed] : m_feeds) {
        if (feed.answeredAt == MonotonicTime()) {
            return std::nullopt;
        }
        shared.revisions[name] = feed.revision.changed;
        shared.age = std::max(shared.age, std::chrono::ceil<Milliseconds>(now - feed.answeredAt));
    }
    return m_feeds.empty() ? std::nullopt : std::optional(shared);
}

FeedSource ViewSharing::source(bool passesOn, MonotonicTime now) const
{
    if (passesOn) {
        return FeedSource::StoreForOthers;
    }
    return m_viewAt && now - *m_viewAt <= highestViewAge ? FeedSource::Leader : FeedSource::Store;
}

std::vector<std::string> ViewSharing::feedsBehind(MonotonicTime now)
{
    std::vector<std::string> behind;
    for (auto& [name, feed] : m_feeds) {
        if (feed.behindSince && now - *feed.behindSince >= catchUpPatience) {
            feed.behindSince = now + (catchUpPause - catchUpPatience);
            behind.push_back(name);
        }
    }
    return behind;
}

} // namespace jasminespread
