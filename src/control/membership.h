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

/// The peers of this instance: who is listed, who is heard, in which incarnation.
class Membership {
public:
    /// Adds backing requests, view versions and the revision to the heartbeat for one peer.
    using FillHeartbeat = std::function<void(const PeerInfo&, wire::Heartbeat&)>;

    Membership(const InstanceSettings& settings, InstanceReference self);

    /// @name Events
    /// @{
    void tick(MonotonicTime now, const FillHeartbeat& fill, Effects& effects);
    void receiveInstanceList(MonotonicTime now, const InstanceListResult& result, Effects& effects);
    /// Returns false when @p sender is not listed or is an earlier incarnation; the message must then be dropped.
    bool acceptsSender(const wire::InstanceReference& sender);
    void receiveHeartbeat(
        MonotonicTime now, const wire::InstanceReference& sender, const wire::Heartbeat& heartbeat, Effects& effects);
    void receiveConfigurationAck(const std::string& sender, std::uint64_t revision);
    void setLeaving() noexcept { m_leaving = true; }
    /// @}

    /// Sorted by instance id; this instance is not among them.
    [[nodiscard]] const std::vector<PeerInfo>& peers() const noexcept { return m_peers; }
    [[nodiscard]] const PeerInfo* find(const std::string& id) const;
    /// True when @p reference is this instance or a peer heard in that incarnation within suspectAfter.
    [[nodiscard]] bool isLive(const InstanceReference& reference) const;
    /// How long the incarnation has not been heard; since the start of this instance if it never was.
    [[nodiscard]] Milliseconds silence(const InstanceReference& reference, MonotonicTime now) const;
    /// When the heartbeat with this sequence number was sent; nothing when it is too old to matter.
    [[nodiscard]] std::optional<MonotonicTime> heartbeatSentAt(std::uint64_t sequence) const;
    /// State of a backend server in the platform's list; nothing when it is not listed.
    [[nodiscard]] std::optional<ListedState> listedBackendState(const std::string& id) const;
    /// Rises whenever the peers, their liveness or their incarnations change.
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
