#pragma once

#include <jasminespread/enum_names.h>
#include <jasminespread/time.h>

#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jasminespread {

struct HeaderField {
    std::string name;
    std::string value;
};

struct BackendResult;

/// One request to one backend server.
struct BackendRequest {
    std::string address; ///< IP address and port.
    /// Connection pool: requests share connections only within their pool. Empty: the default pool.
    std::string pool;
    std::string_view purpose; ///< Label for metrics; refers to a constant.
    std::string method;
    std::string target; ///< Path and query.
    std::vector<HeaderField> headers; ///< A Host field among them replaces the default one, the address.
    std::string body;
    MonotonicTime deadline;
    /// Time limit for opening a connection; a request that exceeds it ends as NotSent. 0: limited by the deadline only.
    Milliseconds connectTimeout {0};
    /// Opens a new connection for this request. A copy of an earlier answer that arrives late on a kept connection can
    /// then not be taken for the answer to this request.
    bool needsNewConnection = false;
    /// Accepts an answer whose body ends with an orderly end of the connection; otherwise such an answer is Broken.
    bool acceptsCloseDelimitedAnswer = false;
    /// Longest body of its answer, if that is less than the transport's own limit.
    std::uint64_t maxAnswerBytes = std::numeric_limits<std::uint64_t>::max();
    /// Returns whether a complete answer belongs to this request; @p connectionReused tells whether its connection had
    /// carried another request before. Any other answer is dropped and the next one awaited. Empty: every answer
    /// belongs to it.
    std::function<bool(const std::vector<HeaderField>& headers, bool connectionReused)> isMatchingAnswer;
    /// Called with each complete answer that belongs to this request, before its connection can carry another one, and
    /// before the callback. When it returns false, the connection is closed. Must not call the transport. Empty: the
    /// connection is kept.
    std::function<bool(const BackendResult&)> keepsConnection;
    /// Called right before the first byte is written, which may be long after send(). When it returns false, nothing is
    /// written and the request ends as NotSent. Empty: always allowed.
    std::function<bool()> mayBegin;
    /// Called right before each write. When it returns false, nothing more is written and the request ends as NotSent
    /// or Broken. Empty: always allowed.
    std::function<bool()> mayWrite;
};

/// Progress that a request to a backend server made.
enum class BackendProgress : std::uint8_t {
    Answered, ///< A complete answer arrived.
    NotSent, ///< No byte of the request was written.
    Broken ///< At least one byte was written and no complete answer arrived.
};

inline constexpr std::array<EnumName<BackendProgress>, 3> backendProgressNames {{
    {BackendProgress::Answered, "answered"},
    {BackendProgress::NotSent, "not-sent"},
    {BackendProgress::Broken, "broken"},
}};

struct BackendResult {
    BackendProgress progress = BackendProgress::NotSent;
    bool timedOut = false;
    bool withheld = false; ///< BackendRequest::mayBegin or mayWrite returned false.
    bool connectionReused = false; ///< The request was sent on a connection that had carried another one before.
    unsigned status = 0;
    std::vector<HeaderField> headers;
    std::string body;
    std::string failure; ///< Text for logs when progress is not Answered.
};

/// Sends requests to backend servers over pooled connections. All functions must be called from one thread, on which
/// the callbacks run.
struct BackendTransport {
    using Handle = std::uint64_t;
    using Callback = std::function<void(BackendResult)>;

    /// Starts a request. The callback runs exactly once, later, unless the request is cancelled first.
    std::function<Handle(BackendRequest, Callback)> send;
    /// Cancels a request: closes its connection and drops its callback. Unknown handles are ignored.
    std::function<void(Handle)> cancel;
    /// Limits open connections per address.
    std::function<void(const std::string& address, std::uint32_t connections)> setConnectionLimit;
    /// Returns the number of connections opened so far. Empty when the transport does not count them.
    std::function<std::uint64_t()> connectionsOpened;
};

} // namespace jasminespread
