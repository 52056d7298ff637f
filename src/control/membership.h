#pragma once

#include <jasminespread/effect.h>
#include <jasminespread/impl/peer_info.h>
#include <jasminespread/instance_settings.h>
#include <jasminespread/object_store.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jasminespread {

/// Tracks the other instances from the platform's list and their heartbeats: liveness, incarnation and state.
class Membership {
public:
    /// Adds backing requests, group versions and the configuration revision to the heartbeat for one peer.
    using FillHeartbeat = std::function<void(const PeerInfo&, wire::Heartbeat&)>;

    Membership(const InstanceSettings& settings, InstanceReference self);

    /// @name Events
    /// @{
    /// Requests the instance list and sends heartbeats when they are due; detects silent peers.
    void tick(MonotonicTime now, const FillHeartbeat& fill, Effects& effects);
    void receiveInstanceList(MonotonicTime now, const InstanceListResult& result, Effects& effects);
    /// Returns false if @p sender is not listed or is an earlier incarnation; its message must then be dropped.
    bool acceptsSender(const wire::InstanceReference& sender);
    void receiveHeartbeat(
        MonotonicTime now, const wire::InstanceReference& sender, const wire::Heartbeat& heartbeat, Effects& effects);
    void receiveConfigurationAck(const std::string& sender, std::uint64_t revision);
    void setLeaving() noexcept { m_leaving = true; }
    /// @}

    /// Returns the peers sorted by instance id, without this instance.
    [[nodiscard]] const std::vector<PeerInfo>& peers() const noexcept { return m_peers; }
    [[nodiscard]] const PeerInfo* find(const std::string& id) const;
    /// True for this instance and for a peer whose incarnation sent a heartbeat within suspectAfter.
    [[nodiscard]] bool isLive(const InstanceReference& reference) const;
    /// Returns the time since the last heartbeat of the incarnation, or since the start of this instance if none
    /// arrived.
    [[nodiscard]] Milliseconds silence(const InstanceReference& reference, MonotonicTime now) const;
    /// Returns when the heartbeat with this sequence number was sent, or nothing when it is too old to matter.
    [[nodiscard]] std::optional<MonotonicTime> heartbeatSentAt(std::uint64_t sequence) const;
    /// Returns the state of a backend server in the platform's list, or nothing when it is not listed.
    [[nodiscard]] std::optional<ListedState> listedBackendState(const std::string& id) const;
    /// Increases whenever the peers, their liveness, their incarnations or their numbers of workers change.
    [[nodiscard]] std::uint64_t generation() const noexcept { return m_generation; }

private:
    struct SentHeartbeat {
        std::uint64_t sequence;
        MonotonicTime sentAt;
    };

    [[nodiscard]] PeerInfo* findMutable(const std::string& id);
    void restartSilenceAfterPause(MonotonicTime now);
    void updateLiveness(MonotonicTime now, Effects& effects);
    void sendHeartbeats(MonotonicTime now, const FillHeartbeat& fill, Effects& effects);
    void replacePeers(std::vector<InstanceEntry> entries, Effects& effects);

    const InstanceSettings& m_settings;
    InstanceReference m_self;
    std::vector<PeerInfo> m_peers;
    std::map<std::string, ListedState> m_backendStates;
    std::set<InstanceReference> m_earlierIncarnations;
    std::deque<SentHeartbeat> m_sentHeartbeats;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_generation = 1;
    bool m_leaving = false;
    bool m_listInFlight = false;
    std::optional<MonotonicTime> m_startedAt;
    std::optional<MonotonicTime> m_lastTick;
    std::optional<MonotonicTime> m_heartbeatsSentAt;
    std::optional<MonotonicTime> m_listRequestedAt;
};

} // namespace jasminespread
