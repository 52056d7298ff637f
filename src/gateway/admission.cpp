#include "gateway/admission.h"

#include <algorithm>

namespace jasminespread {
namespace {

/// Share of the remaining time that the expected latency may take. The rest is a margin, as the expected latency is a
/// mean.
constexpr double usableShareOfRemaining = 0.85;
/// Requests whose expected latency exceeds this multiple of their objective are refused: under overload, the slot is
/// better used for a request that can meet its objective.
constexpr double maxObjectiveRatio = 1.5;
/// Replacing a lost owner takes seconds, until its grant has expired; requests wait only through shorter interruptions.
constexpr Milliseconds maxLostOwnerWait {300};
/// Time reserved for executing the request, in multiples of the typical latency.
constexpr double reservedLatencyRatio = 1.5;
/// Callers honour a Retry-After of up to a third of their remaining time.
constexpr double maxShareOfRemaining = 0.33;
constexpr double minRetryAfterMs = 50;

} // namespace

bool canFinishInTime(Milliseconds expectedLatency, const RequestTiming& timing) noexcept
{
    const double ms = static_cast<double>(expectedLatency.count());
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

Milliseconds overloadRetryAfter(Milliseconds expectedLatency, const RequestTiming& timing, double jitter) noexcept
{
    // The excess over the typical latency approximates how long the current queue takes to drain.
    const double excessMs
        = static_cast<double>(std::max(Milliseconds(0), expectedLatency - timing.typicalLatency).count());
    const double maxMs = static_cast<double>(timing.remainingTime.count()) * maxShareOfRemaining;
    const double preferredMs = excessMs * (0.5 + jitter);
    return Milliseconds(
        static_cast<std::int64_t>(std::clamp(preferredMs, minRetryAfterMs, std::max(minRetryAfterMs, maxMs))));
}

} // namespace jasminespread
