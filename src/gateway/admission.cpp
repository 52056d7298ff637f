#include "gateway/admission.h"

#include <algorithm>

namespace jasminespread {
namespace {

/// Part of the remaining time that an expected latency may take: it is a mean, and work varies.
constexpr double usablePartOfRemaining = 0.85;
/// A request that would be this much later than its objective is refused at once: while there is too little for all,
/// the slot serves another one in time.
constexpr double highestPartOfObjective = 1.5;
/// A lost owner is replaced after its hold has ended, which takes seconds: a caller waits only for a short
/// interruption.
constexpr Milliseconds patienceWithLostOwner {300};
/// Time that is kept for the request itself, in multiples of the usual latency.
constexpr double keptForWork = 1.5;
/// Callers honour a return time up to a third of the time that they have left.
constexpr double highestPartOfRemaining = 0.33;
constexpr double lowestReturnMs = 50;

} // namespace

bool fitsInTime(Milliseconds expected, const SelectionNeed& need) noexcept
{
    const double ms = static_cast<double>(expected.count());
    return ms < static_cast<double>(need.remaining.count()) * usablePartOfRemaining
        && ms < static_cast<double>(need.objective.count()) * highestPartOfObjective;
}

Milliseconds ownerPatience(const SelectionNeed& need, bool moving) noexcept
{
    const Milliseconds kept = std::chrono::duration_cast<Milliseconds>(need.typical * keptForWork);
    const Milliseconds usable = std::max(Milliseconds(0), need.remaining - kept);
    return moving ? usable : std::min(usable, patienceWithLostOwner);
}

Milliseconds overloadReturnTime(Milliseconds expected, const SelectionNeed& need, double spread) noexcept
{
    // The excess over the usual latency is the time in which the queue ahead is worked off.
    const double excess = static_cast<double>(std::max(Milliseconds(0), expected - need.typical).count());
    const double highest = static_cast<double>(need.remaining.count()) * highestPartOfRemaining;
    const double wanted = excess * (0.5 + spread);
    return Milliseconds(
        static_cast<std::int64_t>(std::clamp(wanted, lowestReturnMs, std::max(lowestReturnMs, highest))));
}

} // namespace jasminespread
