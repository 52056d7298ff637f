#include "control/membership.h"

#include <algorithm>

namespace jasminespread {
namespace {

constexpr std::size_t maxSentHeartbeats = 64;
constexpr Milliseconds listTimeout {5000}; // Covers lost answers only; the control loop's timeout is shorter.

bool intervalElapsed(const std::optional<MonotonicTime>& last, Milliseconds interval, MonotonicTime now)
{
    return !last || now - *last >= interval;
}

} // namespace

Membership::Membership(const InstanceSettings& settings, InstanceReference self)
    : m_settings(settings)
    , m_self(std::move(self))
{
}

void Membership::tick(MonotonicTime now, const FillHeartbeat& fill, Effects& effects)
{
    if (!m_startedAt) {
        m_startedAt = now;
    }
    restartSilenceAfterPause(now);
    updateLiveness(now, effects);
    const Milliseconds listInterval = m_listInFlight ? listTimeout : m_settings.instanceListInterval;
    if (intervalElapsed(m_listRequestedAt, listInterval, now)) {
        m_listRequestedAt = now;
        m_listInFlight = true;
        effects.push_back(ReadInstanceList {});
    }
    if (intervalElapsed(m_heartbeatsSentAt, m_settings.heartbeatInterval, now)) {
        m_heartbeatsSentAt = now;
        sendHeartbeats(now, fill, effects);
    }
}

// After a pause of this process, heartbeats of the peers may still wait in its sockets, so the measurement of silence
// starts again.
void Membership::restartSilenceAfterPause(MonotonicTime now)
{
    const bool paused = m_lastTick && now - *m_lastTick > m_settings.suspectAfter / 2;
    m_lastTick = now;
    if (!paused) {
        return;
    }
    m_startedAt = now;
    for (PeerInfo& peer : m_peers) {
        if (peer.live) {
            peer.lastHeard = now;
        }
    }
}

void Membership::updateLiveness(MonotonicTime now, Effects& effects)
{
    for (PeerInfo& peer : m_peers) {
        if (peer.live && now - peer.lastHeard >= m_settings.suspectAfter) {
            peer.live = false;
            ++m_generation;
            effects.push_back(WriteLog {LogEvent::PeerSilent, peer.entry.id});
        }
    }
}

void Membership::sendHeartbeats(MonotonicTime now, const FillHeartbeat& fill, Effects& effects)
{
    m_sentHeartbeats.push_back({++m_sequence, now});
    if (m_sentHeartbeats.size() > maxSentHeartbeats) {
        m_sentHeartbeats.pop_front();
    }
    for (const PeerInfo& peer : m_peers) {
        SendPeerMessage message;
        message.to = peer.entry.id;
        wire::Heartbeat& heartbeat = *message.envelope.mutable_heartbeat();
        heartbeat.set_sequence(m_sequence);
        heartbeat.set_workers(m_settings.workers);
        heartbeat.set_leaving(m_leaving);
        fill(peer, heartbeat);
        effects.push_back(std::move(message));
    }
}

void Membership::receiveInstanceList(MonotonicTime now, const InstanceListResult& result, Effects& effects)
{
    m_listInFlight = false;
    if (result.status != StoreStatus::Ok) {
        return;
    }
    std::vector<InstanceEntry> entries;
    std::map<std::string, ListedState> backends;
    for (const InstanceEntry& entry : result.entries) {
        if (entry.role == InstanceRole::Backend) {
            backends[entry.id] = entry.state;
        } else if (entry.id != m_self.id) {
            entries.push_back(entry);
        }
    }
    m_backendStates = std::move(backends);
    replacePeers(std::move(entries), effects);
    updateLiveness(now, effects);
}

void Membership::replacePeers(std::vector<InstanceEntry> entries, Effects& effects)
{
    std::vector<PeerInfo> peers;
    for (InstanceEntry& entry : entries) {
        const PeerInfo* existing = find(entry.id);
        // The platform's list lags, so a peer that still sends heartbeats stays even if it is listed as gone or not
        // listed.
        if (entry.state == ListedState::Gone && (existing == nullptr || !existing->live)) {
            continue;
        }
        PeerInfo peer = existing != nullptr ? *existing : PeerInfo {};
        peer.leaving = peer.leaving || entry.state == ListedState::Leaving;
        peer.entry = std::move(entry);
        peers.push_back(std::move(peer));
    }
    for (const PeerInfo& existing : m_peers) {
        if (existing.live
            && std::ranges::none_of(peers, [&](const PeerInfo& p) { return p.entry.id == existing.entry.id; })) {
            peers.push_back(existing);
        }
    }
    std::ranges::sort(peers, {}, [](const PeerInfo& peer) { return peer.entry.id; });
    const auto sameEntry = [](const PeerInfo& a, const PeerInfo& b) { return a.entry == b.entry; };
    const bool changed = !std::ranges::equal(peers, m_peers, sameEntry);
    m_peers = std::move(peers);
    if (!changed) {
        return;
    }
    ++m_generation;
    ConnectPeers connect;
    for (const PeerInfo& peer : m_peers) {
        connect.peers.push_back(peer.entry);
    }
    effects.push_back(std::move(connect));
}

bool Membership::acceptsSender(const wire::InstanceReference& sender)
{
    return find(sender.id()) != nullptr && !m_earlierIncarnations.contains({sender.id(), sender.incarnation()});
}

void Membership::receiveHeartbeat(
    MonotonicTime now, const wire::InstanceReference& sender, const wire::Heartbeat& heartbeat, Effects& effects)
{
    PeerInfo* peer = findMutable(sender.id());
    if (peer == nullptr) {
        return;
    }
    const PeerInfo before = *peer;
    if (peer->incarnation != sender.incarnation()) {
        if (peer->incarnation != 0) {
            m_earlierIncarnations.insert({sender.id(), peer->incarnation});
        }
        peer->incarnation = sender.incarnation();
        peer->configurationRevision = 0;
    }
    peer->lastHeard = now;
    peer->live = true;
    peer->ready = heartbeat.ready();
    peer->leaving = heartbeat.leaving() || peer->entry.state == ListedState::Leaving;
    peer->workers = heartbeat.workers();
    peer->configurationRevision = std::max(peer->configurationRevision, heartbeat.configuration_revision());
    if (!before.live) {
        effects.push_back(WriteLog {LogEvent::PeerLive, sender.id()});
    }
    if (!before.live || before.incarnation != peer->incarnation || before.workers != peer->workers) {
        ++m_generation;
    }
}

void Membership::receiveConfigurationAck(const std::string& sender, std::uint64_t revision)
{
    if (PeerInfo* peer = findMutable(sender)) {
        peer->configurationRevision = std::max(peer->configurationRevision, revision);
    }
}

const PeerInfo* Membership::find(const std::string& id) const
{
    const auto it = std::ranges::lower_bound(m_peers, id, {}, [](const PeerInfo& peer) { return peer.entry.id; });
    return it != m_peers.end() && it->entry.id == id ? &*it : nullptr;
}

PeerInfo* Membership::findMutable(const std::string& id) { return const_cast<PeerInfo*>(find(id)); }

bool Membership::isLive(const InstanceReference& reference) const
{
    if (reference == m_self) {
        return true;
    }
    const PeerInfo* peer = find(reference.id);
    return peer != nullptr && peer->live && peer->incarnation == reference.incarnation;
}

Milliseconds Membership::silence(const InstanceReference& reference, MonotonicTime now) const
{
    if (reference == m_self) {
        return Milliseconds(0);
    }
    MonotonicTime since = m_startedAt.value_or(now);
    const PeerInfo* peer = find(reference.id);
    if (peer != nullptr && peer->incarnation == reference.incarnation) {
        since = std::max(since, peer->lastHeard);
    }
    return std::chrono::duration_cast<Milliseconds>(now - since);
}

std::optional<MonotonicTime> Membership::heartbeatSentAt(std::uint64_t sequence) const
{
    const auto it = std::ranges::find(m_sentHeartbeats, sequence, &SentHeartbeat::sequence);
    return it != m_sentHeartbeats.end() ? std::optional(it->sentAt) : std::nullopt;
}

std::optional<ListedState> Membership::listedBackendState(const std::string& id) const
{
    const auto it = m_backendStates.find(id);
    return it != m_backendStates.end() ? std::optional(it->second) : std::nullopt;
}

} // namespace jasminespread
