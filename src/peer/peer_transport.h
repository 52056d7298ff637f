#pragma once

#include <jasminespread/error.h>
#include <jasminespread/instance_entry.h>
#include <jasminespread/instance_settings.h>
#include <jasminespread/metrics_registry.h>

#include <peer.pb.h>

#include <glib.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jasminespread {

/// Version of the messages between instances; others are dropped.
inline constexpr std::uint32_t peerProtocolVersion = 1;

/// Control messages between instances: one ZeroMQ PULL socket for receiving and one PUSH socket per peer.
/// Messages are one-way and may be lost; they are never delivered twice. Not thread-safe; owned by the control thread.
class PeerTransport {
public:
    using Receiver = std::function<void(wire::Envelope)>;

    /// @param incarnation stamped on every message sent.
    /// @param receiver gets every accepted message, on the main context given to start().
    /// Precondition: @p metrics outlives the transport.
    PeerTransport(
        const InstanceSettings& settings, std::uint64_t incarnation, MetricsRegistry& metrics, Receiver receiver);
    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    /// Binds the control address and receives on @p context from then on. Fails with AddressInUse or InvalidInput.
    [[nodiscard]] Result<void> start(GMainContext* context);
    /// Replaces the set of peers. Connections to peers whose address did not change are kept.
    void setPeers(const std::vector<InstanceEntry>& peers);
    /// Accepts messages from any address from now on: for instances that learn of each other by messages, in a network
    /// that only the system's own processes reach.
    void acceptUnlistedSenders();
    /// Sends @p envelope to the peer called @p to; fills protocol version and sender. Never blocks. Returns false when
    /// the message was dropped: unknown peer, no connection, or a full queue.
    bool send(const std::string& to, wire::Envelope envelope);
    /// Number of received messages that were dropped.
    [[nodiscard]] std::uint64_t rejectedMessages() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jasminespread
