#pragma once

#include <jasminespread/error.h>
#include <jasminespread/time.h>

#include <peer.pb.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jasminespread {

/// The ZeroMQ sockets of one worker: a PULL socket for messages to it and a PUSH socket per worker that it sends to.
/// All methods belong to the worker's thread.
class ForwardSockets {
public:
    struct Hooks {
        /// @p peerIp is the IP number of the connection that the message came over.
        std::function<void(wire::Envelope&& envelope, const std::string& peerIp)> received;
        /// A message could not be parsed.
        std::function<void(const std::string& peerIp)> unreadable;
    };

    /// @param context ZeroMQ context, which outlives this object.
    ForwardSockets(void* context, std::uint64_t maxMessageBytes, Hooks hooks);
    ~ForwardSockets();
    ForwardSockets(const ForwardSockets&) = delete;
    ForwardSockets& operator=(const ForwardSockets&) = delete;

    /// Binds the PULL socket to @p address (IP number and port) and attaches it to the thread's default main context.
    [[nodiscard]] Result<void> bind(const std::string& address);
    /// Starts connecting to @p address, so that a later send finds the connection open.
    void connect(const std::string& address);
    /// Hands @p envelope to the connection to @p address. False: it was not sent and will not be sent.
    [[nodiscard]] bool send(const std::string& address, const wire::Envelope& envelope);
    /// Like send(), but keeps the message until @p expires when the connection cannot take it yet. flush() retries.
    void sendOrBuffer(const std::string& address, const wire::Envelope& envelope, MonotonicTime expires);
    /// Sends kept messages, drops expired ones and closes connections that were not used for a while.
    void flush(MonotonicTime now);
    /// Number of messages that sendOrKeep() still keeps.
    [[nodiscard]] std::size_t bufferedMessages() const noexcept;
    /// Lets messages that were handed to a connection leave for up to @p time after the sockets are closed.
    void setLinger(Milliseconds time);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jasminespread
