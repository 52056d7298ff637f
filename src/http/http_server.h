#pragma once

#include "entry/caller_request.h"

#include <jasminespread/error.h>
#include <jasminespread/time.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace jasminespread {

/// Limits on the size and duration of callers' requests.
struct HttpServerLimits {
    std::uint32_t maxHeaderBytes = 16'384;
    std::uint64_t maxBodyBytes = 1'048'576;
    Milliseconds headerTimeout {3000}; ///< From the first byte of a request to the end of its head.
    Milliseconds bodyTimeout {30'000}; ///< From the first byte of a request to its last byte.
    /// A body must have arrived at this average rate at any time after `bodyGraceTime`, counted from the first byte of
    /// its request; 0: no minimum. A slow phone on a poor connection sends 360 kB in 15 s, i.e. 24,000 bytes per
    /// second.
    std::uint32_t minBodyBytesPerSecond = 8000;
    Milliseconds bodyGraceTime {15'000};
    Milliseconds idleTimeout {15'000}; ///< Between requests.
    /// Memory that all clients together may make the server hold; ignored where it shares an account with others.
    /// Beyond it, the clients that ClientEvictionPolicy selects get 503 or are closed.
    std::uint64_t maxTotalBytes = std::numeric_limits<std::uint64_t>::max();
    bool acceptChunked = true; ///< Otherwise a request body needs a Content-Length.
    /// @name Pipelining
    /// While a connection reaches one of these limits, no further request is read from it.
    /// @{
    std::uint32_t maxPipelinedRequests = 16; ///< Requests without a written answer.
    std::uint32_t maxPipelinedBytes = 262'144; ///< Bytes of requests that wait and of answers that are not written.
    /// @}
};

class ClientAccount;

/// An HTTP answer to a caller.
struct CallerAnswer {
    unsigned status = 200;
    std::vector<HeaderField> headers; ///< Without Content-Length, Connection and other hop-by-hop fields.
    std::string body;
};

/// HTTP/1.1 server on non-blocking sockets and GLib that controls the byte stream: Beast's parser checks the framing.
/// Requests that a caller sends before it has the answer to an earlier one are handled concurrently where a hook allows
/// it; answers are written in the order of the requests. Behind a request whose answer closes the connection nothing is
/// read. Not thread-safe; runs on the thread's default main context.
class HttpServer {
public:
    struct Hooks {
        /// A request arrived; @p request is unique in this server. The hook may call answer().
        std::function<void(std::uint64_t request, RawRequest&&)> requestArrived;
        /// The connection closed before answer() was called. The request needs no answer.
        std::function<void(std::uint64_t request)> callerDisconnected;
        /// The server is about to refuse malformed, too large or too slow input of @p caller (IP address and port); the
        /// hook may change the answer. May be empty.
        std::function<void(CallerAnswer& answer, const std::string& caller)> inputRefused;
        /// Whether a request may be handled while others of its connection are, i.e. whether it may be repeated. Empty:
        /// no request may.
        std::function<bool(const RawRequest&)> mayOverlap {};
    };

    /// @p account covers the clients of all servers that share it; nothing: an account of this server's own. @p name is
    /// the listener's name in the account.
    HttpServer(HttpServerLimits limits, Hooks hooks, std::shared_ptr<ClientAccount> account = nullptr,
        const std::string& name = "callers");
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Listens on @p address (IP address and port); @p reusePort shares the address with other sockets of this user.
    /// Fails with AddressInUse or InvalidInput.
    [[nodiscard]] Result<void> listen(const std::string& address, bool reusePort = false);
    /// Returns whether connections wait to be accepted.
    [[nodiscard]] bool hasBacklog() const;
    /// Replaces the limits for input that arrives from now on.
    void setLimits(const HttpServerLimits& limits);
    /// Makes the answer to the last request that was read from a connection close it, and closes idle connections after
    /// @p maxIdleTime. Every request that was read whole before that answer is answered; one that was read in part is
    /// not.
    void drain(Milliseconds maxIdleTime);
    /// Accepts the connections that wait, then stops accepting connections.
    void stopListening();
    /// Returns whether bytes of callers wait to be read, or a caller's close.
    [[nodiscard]] bool hasInput() const;
    /// Returns whether the caller of an unanswered request has closed its connection, even if callerDisconnected() has
    /// not run yet. False for unknown requests.
    [[nodiscard]] bool hasCallerDisconnected(std::uint64_t request) const;
    /// Answers a request. Unknown requests are ignored.
    void answer(std::uint64_t request, CallerAnswer&& answer);
    /// Returns the number of requests whose head has arrived and whose answer is not completely written.
    [[nodiscard]] std::size_t pending() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jasminespread
