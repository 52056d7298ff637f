#include "gateway/admission.h"

#include <algorithm>

namespace jasminespread {
namespace {

/// Part of the remaining time that an expected latency may take: it is a mean, and work varies.
constexpr double usableShareOfRemaining = 0.85;
/// A request that would be this much later than its objective is refused at once: while there is too little for all,
/// the slot serves another one in time.
constexpr double maxObjectiveRatio = 1.5;
/// A lost owner is replaced after its hold has ended, which takes seconds: a caller waits only for a short
/// interruption.
constexpr Milliseconds maxLostOwnerWait {300};
/// Time that is kept for the request itself, in multiples of the usual latency.
constexpr double reservedLatencyRatio = 1.5;
/// Callers honour a return time up to a third of the time that they have left.
constexpr double maxShareOfRemaining = 0.33;
constexpr double minRetryAfterMs = 50;

} // namespace

bool canFinishInTime(Milliseconds expected, const RequestTiming& timing) noexcept
{
    const double ms = static_cast<double>(expected.count());
    return ms < static_cast<double>(timing.remainingTime.count()) * usableShareOfRemaining
        && ms < static_cast<double>(timing.latencyObjective.count()) * maxObjectiveRatio;
}

Milliseconds maxOwnerWait(const RequestTiming& timing, bool moving) noexcept
{
    const Milliseconds reserved
        = std::chrono::duration_cast<Milliseconds>(timing.typicalLatency * reservedLatencyRatio);
    const Milliseconds usable = std::max(Milliseconds(0), timing.remainingTime - reserved);
    return moving ? usable : std::min(usable, maxLostOwnerWait);
}

Milliseconds overloadRetryAfter(Milliseconds expected, const RequestTiming& timing, double jitter) noexcept
{
    // The excess over the usual latency is the time in which the queue ahead is worked off.
    const double excessMs = static_cast<double>(std::max(Milliseconds(0), expected - timing.typicalLatency).count());
    const double maxMs = static_cast<double>(timing.remainingTime.count()) * maxShareOfRemaining;
    const double preferredMs = excessMs * (0.5 + jitter);
    return Milliseconds(
        static_cast<std::int64_t>(std::clamp(preferredMs, minRetryAfterMs, std::max(minRetryAfterMs, maxMs))));
}

} // namespace jasminespread
