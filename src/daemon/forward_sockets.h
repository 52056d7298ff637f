#pragma once

#include <jasminespread/error.h>
#include <jasminespread/time.h>

#include <peer.pb.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jasminespread {

/// ZeroMQ sockets of one worker: a PULL socket for incoming messages and a PUSH socket per destination worker. Call all
/// methods on the worker's thread.
class ForwardSockets {
public:
    struct Hooks {
        /// @p peerIp is the remote IP address of the connection that delivered the message.
        std::function<void(wire::Envelope&& envelope, const std::string& peerIp)> received;
        /// A message could not be parsed.
        std::function<void(const std::string& peerIp)> unreadable;
    };

    /// @param context ZeroMQ context, which outlives this object.
    ForwardSockets(void* context, std::uint64_t maxMessageBytes, Hooks hooks);
    ~ForwardSockets();
    ForwardSockets(const ForwardSockets&) = delete;
    ForwardSockets& operator=(const ForwardSockets&) = delete;

    /// Binds the PULL socket to @p address (IP address and port) and attaches it to the thread's default main context.
    [[nodiscard]] Result<void> bind(const std::string& address);
    /// Starts to connect to @p address ahead of a later send.
    void connect(const std::string& address);
    /// Hands @p envelope to the connection to @p address. Returns false when it was not sent and will not be sent.
    [[nodiscard]] bool send(const std::string& address, const wire::Envelope& envelope);
    /// Like send(), but buffers the message until @p expires when the connection cannot take it yet; flush() retries. A
    /// full buffer drops its oldest message.
    void sendOrBuffer(const std::string& address, const wire::Envelope& envelope, MonotonicTime expires);
    /// Sends buffered messages, drops expired ones and closes idle connections.
    void flush(MonotonicTime now);
    /// Number of messages buffered by sendOrBuffer().
    [[nodiscard]] std::size_t bufferedMessages() const noexcept;
    /// Allows messages already handed to a connection to be sent for up to @p time after the sockets are closed.
    void setLinger(Milliseconds time);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jasminespread
