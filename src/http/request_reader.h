#pragma once

#include "entry/caller_request.h"

#include <jasminespread/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace jasminespread {

struct HttpServerLimits;

/// Separates the bytes of one HTTP/1.1 connection into requests. Beast's parser checks the framing. Not thread-safe.
class RequestReader {
public:
    /// A complete request.
    struct Request {
        RawRequest raw;
        bool isHead = false; ///< Its answer has no body.
        bool closes = false; ///< The caller reads no further answer on the connection.
    };

    /// Input that is not a request, or exceeds a limit. Nothing can be read behind it.
    struct Refusal {
        unsigned status = 400;
        std::string reason;
    };

    /// More input is needed.
    struct Incomplete { };

    RequestReader();
    ~RequestReader();
    RequestReader(const RequestReader&) = delete;
    RequestReader& operator=(const RequestReader&) = delete;

    /// Appends bytes that arrived at @p now. Precondition: @p now never goes backwards.
    void append(std::string_view bytes, MonotonicTime now);
    /// Reads the next request. @p limits apply to the requests that begin with this call.
    [[nodiscard]] std::variant<Incomplete, Request, Refusal> next(const HttpServerLimits& limits, MonotonicTime now);
    /// Drops all input.
    void discard();

    /// Returns whether the first byte of a request was read, but not its last one.
    [[nodiscard]] bool hasPartialRequest() const noexcept { return m_parser != nullptr; }
    /// Returns whether the head of the partial request is complete.
    [[nodiscard]] bool hasPartialBody() const;
    /// Time limit of the partial request. Precondition: hasPartialRequest().
    [[nodiscard]] MonotonicTime deadline() const noexcept { return m_deadline; }
    /// Extends the deadline of a body that has arrived at the minimum rate so far. Returns whether it is after @p now.
    /// Precondition: hasPartialRequest().
    bool extendDeadline(const HttpServerLimits& limits, MonotonicTime now);
    /// Returns whether the caller waits for an interim answer before it sends the body of the partial request.
    [[nodiscard]] bool expectsContinue() const noexcept { return m_expectsContinue; }
    /// Notes that the interim answer was sent.
    void confirmContinue() noexcept { m_expectsContinue = false; }
    /// Memory of what is kept: the partial request, and bytes that were not read.
    [[nodiscard]] std::size_t heldBytes() const;
    /// Number of bytes that arrived and were not read.
    [[nodiscard]] std::size_t unreadBytes() const noexcept { return m_input.size(); }

private:
    struct Parser;

    /// Bytes that arrived together.
    struct Arrival {
        std::uint64_t end = 0; ///< Number of bytes on the connection up to their end.
        MonotonicTime at;
    };

    void begin(const HttpServerLimits& limits, MonotonicTime now);
    [[nodiscard]] MonotonicTime arrivalOfLastReadByte();
    [[nodiscard]] std::variant<Incomplete, Request, Refusal> finish();

    std::unique_ptr<Parser> m_parser; ///< Of the partial request.
    MonotonicTime m_startedAt;
    MonotonicTime m_deadline;
    bool m_expectsContinue = false;
    bool m_continueDecided = false;
    std::string m_input;
    std::deque<Arrival> m_arrivals; ///< Of unread bytes, in order.
    std::uint64_t m_arrivedBytes = 0;
    std::uint64_t m_readBytes = 0;
};

} // namespace jasminespread
