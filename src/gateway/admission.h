#pragma once

#include "gateway/server_selection.h"

#include <jasminespread/time.h>

namespace jasminespread {

/// Retry-After of a request that was refused because no configuration is loaded yet; a start takes about this long.
inline constexpr Milliseconds startupRetryAfter {500};
/// Retry-After of a request whose key has no owner. A planned move takes less, replacing a lost owner takes more.
inline constexpr Milliseconds noOwnerRetryAfter {300};

/// Whether a request with this expected latency can finish before its caller gives up and not far beyond its latency
/// objective. Other requests are refused at once, so that they take no slot during overload. Thread-safe.
[[nodiscard]] bool canFinishInTime(Milliseconds expectedLatency, const RequestTiming& timing) noexcept;

/// Upper bound on the time that a request waits until its key has an owner. A key that is @p moving gets its new owner
/// when the requests in flight for it have ended, which would have delayed the request at the old owner as well.
/// Thread-safe.
[[nodiscard]] Milliseconds maxOwnerWait(const RequestTiming& timing, bool moving) noexcept;

/// Retry-After of a request that was refused because of its expected latency. @p jitter in [0, 1) spreads the retries
/// over time, so that they do not arrive all at once. Thread-safe.
[[nodiscard]] Milliseconds overloadRetryAfter(
    Milliseconds expectedLatency, const RequestTiming& timing, double jitter) noexcept;

} // namespace jasminespread
