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

/// Version of the messages between instances; messages of other versions are dropped.
inline constexpr std::uint32_t peerProtocolVersion = 1;

/// Exchanges control messages with other instances over one ZeroMQ PULL socket for receiving and one PUSH socket per
/// peer. Messages are one-way; they may be lost but are never delivered twice. Not thread-safe; owned by the control
/// thread.
class PeerTransport {
public:
    /// Limits on what the transport keeps of received messages, for each connection. The sender waits beyond them.
    struct Limits {
        std::uint32_t maxMessageBytes = 4'194'304; ///< A larger message is neither sent nor received.
        int receiveQueueMessages = 4096;
    };

    using Receiver = std::function<void(wire::Envelope)>;

    /// @param incarnation random number of this process start, set as sender incarnation of every message.
    /// @param receiver called with every accepted message, on the main context given to start().
    /// Precondition: @p metrics outlives the transport.
    PeerTransport(
        const InstanceSettings& settings, std::uint64_t incarnation, MetricsRegistry& metrics, Receiver receiver);
    ~PeerTransport();
    PeerTransport(const PeerTransport&) = delete;
    PeerTransport& operator=(const PeerTransport&) = delete;

    /// Precondition: called before start().
    void setLimits(const Limits& limits);
    /// Binds the control address and starts to receive on @p context. Fails with AddressInUse or InvalidInput.
    [[nodiscard]] Result<void> start(GMainContext* context);
    /// Replaces the set of peers. Connections to peers with an unchanged address stay open.
    void setPeers(const std::vector<InstanceEntry>& peers);
    /// Accepts messages from any address from now on. For instances that discover each other by messages in a network
    /// that only processes of this system can reach.
    void acceptUnlistedSenders();
    /// Sends @p envelope to the peer with id @p to after setting protocol version and sender. Never blocks. Returns
    /// false if the message was dropped because the peer is unknown or not connected, its queue is full, or the message
    /// is too large.
    bool send(const std::string& to, wire::Envelope envelope);
    /// Returns the number of received messages that were dropped.
    [[nodiscard]] std::uint64_t rejectedMessages() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jasminespread
