#pragma once

#include "entry/caller_request.h"

#include <jasminespread/error.h>
#include <jasminespread/time.h>

#include <cstdint>
#include <functional>
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
    Milliseconds idleTimeout {15'000}; ///< Between requests.
    bool acceptChunked = true; ///< Otherwise a request body needs a Content-Length.
};

/// An HTTP answer to a caller.
struct CallerAnswer {
    unsigned status = 200;
    std::vector<HeaderField> headers; ///< Without Content-Length, Connection and other hop-by-hop fields.
    std::string body;
};

/// HTTP/1.1 server on non-blocking sockets and GLib that controls the byte stream: Beast's parser checks the framing,
/// and a connection is read one request at a time, so that bytes after an answer never belong to another request.
/// Not thread-safe; runs on the thread's default main context.
class HttpServer {
public:
    struct Hooks {
        std::function<void(std::uint64_t request, RawRequest&&)> requestArrived;
        /// The connection closed before answer() was called. The request needs no answer.
        std::function<void(std::uint64_t request)> callerDisconnected;
        /// The server is about to refuse malformed, too large or too slow input; the hook may change the answer. May be
        /// empty.
        std::function<void(CallerAnswer& answer)> inputRefused;
    };

    HttpServer(HttpServerLimits limits, Hooks hooks);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Listens on @p address (IP address and port); @p reusePort shares the address with other sockets of this user.
    /// Fails with AddressInUse or InvalidInput.
    [[nodiscard]] Result<void> listen(const std::string& address, bool reusePort = false);
    /// Returns whether connections wait to be accepted; stopListening() would reset them.
    [[nodiscard]] bool hasBacklog() const;
    /// Replaces the limits for input that arrives from now on.
    void setLimits(const HttpServerLimits& limits);
    /// Makes every answer from now on close its connection, and closes idle connections after @p maxIdleTime.
    void drain(Milliseconds maxIdleTime);
    /// Stops accepting connections.
    void stopListening();
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
