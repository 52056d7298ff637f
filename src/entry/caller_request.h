#pragma once

#include <jasminespread/backend_transport.h>
#include <jasminespread/outcome.h>
#include <jasminespread/request_id.h>
#include <jasminespread/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jasminespread {

/// An HTTP request as received on a caller's connection, before validation.
struct RawRequest {
    std::string method;
    std::string path; ///< Percent-encoded, without the query.
    std::optional<std::string> query; ///< Without "?"; absent when the target has none.
    std::vector<HeaderField> headers;
    std::string body;
    std::optional<MonotonicTime> arrivedAt; ///< When its last byte arrived; absent: unknown.
};

/// A validated caller request.
struct CallerRequest {
    std::string service;
    std::string key;
    std::string method;
    std::string target; ///< Path after the service segment, with the query.
    std::vector<HeaderField> headers; ///< Without hop-by-hop and Jasminespread headers.
    std::string body;
    RequestId id;
    bool idGeneratedByEntry = false;
    bool repeatable = false;
    std::string workClass; ///< Empty selects the service's first class.
    std::optional<Milliseconds> deadline; ///< Absent: the service's default deadline applies.
};

/// The answer to a caller, or to the entry instance that forwarded its request.
struct RequestAnswer {
    Outcome outcome = Outcome::NotRun;
    std::string reason; ///< Machine-readable reason code; empty for `done`.
    unsigned status = 503; ///< HTTP status.
    std::vector<HeaderField> headers;
    std::string body;
    std::string server; ///< Id of the backend server; empty when the request reached none.
};

/// @name Reason codes
/// Values of the header Jasminespread-Reason. docs/protocol-callers.md lists them.
/// @{
namespace reason {
inline constexpr std::string_view badPath = "bad-path";
inline constexpr std::string_view missingKey = "missing-key";
inline constexpr std::string_view badKey = "bad-key";
inline constexpr std::string_view badRequestId = "bad-request-id";
inline constexpr std::string_view badDeadline = "bad-deadline";
inline constexpr std::string_view badRepeatable = "bad-repeatable";
inline constexpr std::string_view badClass = "bad-class";
inline constexpr std::string_view badMethod = "bad-method";
inline constexpr std::string_view badFraming = "bad-framing";
inline constexpr std::string_view lengthRequired = "length-required";
inline constexpr std::string_view bodyTooLarge = "body-too-large";
inline constexpr std::string_view headersTooLarge = "headers-too-large";
inline constexpr std::string_view unknownService = "unknown-service";
inline constexpr std::string_view futureId = "future-id";
inline constexpr std::string_view idReused = "id-reused";
inline constexpr std::string_view notReady = "not-ready";
inline constexpr std::string_view tooManyRequests = "too-many-requests";
inline constexpr std::string_view refusedByRule = "refused-by-rule";
inline constexpr std::string_view queueFull = "queue-full";
inline constexpr std::string_view windowFull = "window-full";
inline constexpr std::string_view noRoute = "no-route";
inline constexpr std::string_view deadline = "deadline";
inline constexpr std::string_view cancelled = "cancelled";
inline constexpr std::string_view idBeforeServing = "id-before-serving";
inline constexpr std::string_view idEvicted = "id-evicted";
inline constexpr std::string_view answerNotKept = "answer-not-kept";
inline constexpr std::string_view connectionBroken = "connection-broken";
} // namespace reason
/// @}

/// Returns the HTTP status for an answer that the entry generates itself. Thread-safe.
[[nodiscard]] unsigned statusFor(Outcome outcome, std::string_view reasonCode) noexcept;
/// Creates an answer that the entry generates itself. The body is @p explanation for human readers, or @p reasonCode
/// when it is empty. Thread-safe.
[[nodiscard]] RequestAnswer makeAnswer(Outcome outcome, std::string_view reasonCode, std::string_view explanation = {});

/// Validates @p raw and parses the headers of the caller protocol. Generates a request id issued at @p now when the
/// caller sent none. Returns the answer to send when the request is malformed. Thread-safe.
[[nodiscard]] std::variant<CallerRequest, RequestAnswer> parseCallerRequest(RawRequest&& raw, WallTime now);

/// Removes the headers that are not passed on: hop-by-hop headers, headers listed in Connection, Host, Content-Length,
/// Expect and all Jasminespread headers. Thread-safe.
void removeNonForwardableHeaders(std::vector<HeaderField>& headers);
/// Compares header names case-insensitively. Thread-safe.
[[nodiscard]] bool sameHeaderName(std::string_view a, std::string_view b) noexcept;
/// Returns the value of the first header called @p name, or nothing. Thread-safe.
[[nodiscard]] std::optional<std::string_view> findHeader(
    const std::vector<HeaderField>& headers, std::string_view name) noexcept;

} // namespace jasminespread
