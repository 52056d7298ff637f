#pragma once

#include "gateway/server_selection.h"

#include <jasminespread/time.h>

namespace jasminespread {

/// When a caller should come back that was refused because no configuration was known yet: a start takes about that.
inline constexpr Milliseconds startupRetryAfter {500};
/// When a caller should come back whose key has no owner: a move takes less, the loss of an owner more.
inline constexpr Milliseconds noOwnerRetryAfter {300};

/// Whether a request with this expected latency is worth sending: it must end before its caller gives up. Answers
/// overload: what cannot be served is refused at once and takes no slot. Thread-safe.
[[nodiscard]] bool canFinishInTime(Milliseconds expected, const RequestTiming& timing) noexcept;

/// How much longer a request may wait for an owner of its key. A key that is @p moving has one as soon as the work on
/// it has ended, which would have delayed the request as much at the earlier owner. Thread-safe.
[[nodiscard]] Milliseconds maxOwnerWait(const RequestTiming& timing, bool moving) noexcept;

/// When a caller should come back that was refused with this expected latency. @p spread in [0, 1) distributes the
/// returns over time so that they are not one wave. Thread-safe.
[[nodiscard]] Milliseconds overloadRetryAfter(
    Milliseconds expected, const RequestTiming& timing, double jitter) noexcept;

} // namespace jasminespread
