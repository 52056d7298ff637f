#include "gateway/server_selection.h"

#include <algorithm>
#include <limits>

namespace jasminespread {
namespace {

/// Share of a server's slots that one instance can use before it expects its requests to queue behind those of others.
constexpr double ownShareOfSlots = 0.5;
/// Servers differ in speed from the typical one by at most about this factor; a higher latency is due to queueing.
constexpr double maxSpeedRatio = 1.6;
/// Cost of distance as a share of the latency objective. Traffic between regions costs about a third of the value of a
/// request.
constexpr double sameRegionCost = 0.05;
constexpr double otherRegionCost = 0.4;
/// Cost of a failure in multiples of the latency objective: about a second request plus the caller's wait.
constexpr double failureCost = 1.5;
/// Random variation of the latency, which spreads requests over equally good servers.
constexpr double jitterShare = 0.1;

double distanceCost(Distance distance) noexcept
{
    switch (distance) {
    case Distance::SameFailureDomain:
        return 0;
    case Distance::SameRegion:
        return sameRegionCost;
    case Distance::OtherRegion:
        return otherRegionCost;
    }
    return otherRegionCost;
}

} // namespace

Milliseconds estimateLatency(const ServerCandidate& candidate, Milliseconds typicalLatency) noexcept
{
    const double ownSlots = std::max(1.0, candidate.slots * ownShareOfSlots);
    const double ownQueue = std::max(0.0, candidate.inFlight + 1 - ownSlots) / ownSlots;
    const double slots = std::max(1U, candidate.slots);
    const double sharedQueue = std::max(0.0, candidate.inFlight + candidate.otherInstancesInFlight + 1 - slots) / slots;
    // The observed slowness includes earlier queueing, so the current queue is applied only to the server's own speed.
    const double queuedSlowness = std::min(candidate.slowness, maxSpeedRatio) * (1 + std::max(ownQueue, sharedQueue));
    const double ms = static_cast<double>(typicalLatency.count()) * std::max(candidate.slowness, queuedSlowness);
    return Milliseconds(static_cast<std::int64_t>(ms));
}

std::optional<SelectedServer> selectServer(
    const std::vector<ServerCandidate>& candidates, const RequestTiming& timing, const std::vector<double>& jitter)
{
    const double objectiveMs = static_cast<double>(timing.latencyObjective.count());
    std::optional<SelectedServer> best;
    double lowestCost = std::numeric_limits<double>::max();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const ServerCandidate& candidate = candidates[i];
        if (candidate.inFlight >= candidate.maxInFlight) {
            continue;
        }
        const Milliseconds expectedLatency = estimateLatency(candidate, timing.typicalLatency);
        const double ms = static_cast<double>(expectedLatency.count());
        const double cost = ms * (1 + jitterShare * jitter[i]) + distanceCost(candidate.distance) * objectiveMs
            + candidate.failureShare * failureCost * objectiveMs;
        if (cost < lowestCost) {
            lowestCost = cost;
            best = SelectedServer {candidate.index, expectedLatency};
        }
    }
    return best;
}

} // namespace jasminespread
