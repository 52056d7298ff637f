#include "ranges/range_placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jasminespread {
namespace {

/// Extra load that is spread evenly over all keys, as a fraction of the total load, so that idle keys are distributed
/// too.
constexpr double idleLoadShare = 0.1;
/// Lowest extra load of the whole service, in requests.
constexpr double minIdleLoad = 1;
/// Moves are planned while the load of the most loaded server exceeds the mean by at least the larger of these: a
/// fraction of the mean, or a number of standard deviations of a random (Poisson) load with the mean of the requests.
/// The extra load is not random, so that idle keys are divided evenly before the first requests.
constexpr double minExcessShare = 0.35;
constexpr double minExcessDeviations = 2;
/// Limit of the moves of one round: the larger of a fixed number and a number per server. Each move delays the callers
/// of its keys for a short time.
constexpr std::size_t minMoveLimit = 6;
constexpr double movesPerServer = 0.5;
/// A part is moved only if its load is at most the wanted load times this factor; a single key cannot be divided.
constexpr double maxOvershoot = 1.8;

std::vector<double> loadsOf(
    const std::vector<RangeServer>& servers, const std::vector<PlacedRange>& ranges, const SmoothedLoad& load)
{
    std::vector<double> loads(servers.size(), 0);
    for (const PlacedRange& placed : ranges) {
        if (placed.server) {
            loads[*placed.server] += load.of(placed.range);
        }
    }
    return loads;
}

struct RangePart {
    KeyRange range;
    double load = 0;
};

/// Returns a part at one end of @p range with a load close to @p wanted.
RangePart growPart(const KeyRange& range, bool fromLeft, double wanted, const SmoothedLoad& load)
{
    RangePart part {range, 0};
    for (std::uint32_t i = 0; i < range.size(); ++i) {
        const std::uint32_t key = fromLeft ? range.first + i : range.last - i;
        const double keyLoad = load.ofKey(key);
        const bool isCloser = std::abs(part.load + keyLoad - wanted) < std::abs(part.load - wanted);
        if (i > 0 && !isCloser) {
            break;
        }
        part.load += keyLoad;
        (fromLeft ? part.range.last : part.range.first) = key;
    }
    return part;
}

/// Returns the part of a range of @p server whose load is closest to @p wanted.
std::optional<RangePart> choosePart(
    const std::vector<PlacedRange>& ranges, std::size_t server, double wanted, const SmoothedLoad& load)
{
    std::optional<RangePart> best;
    for (const PlacedRange& placed : ranges) {
        if (placed.server != server || !placed.movable) {
            continue;
        }
        for (const bool fromLeft : {true, false}) {
            const RangePart part = growPart(placed.range, fromLeft, wanted, load);
            const bool isCloser = !best || std::abs(part.load - wanted) < std::abs(best->load - wanted);
            if (part.load <= wanted * maxOvershoot && isCloser) {
                best = part;
            }
        }
    }
    return best;
}

/// Removes @p part, which lies at one end of a placed range, from that range.
void removePart(std::vector<PlacedRange>& ranges, const KeyRange& part)
{
    const auto it = std::find_if(
        ranges.begin(), ranges.end(), [&](const PlacedRange& placed) { return placed.range.contains(part.first); });
    if (it->range == part) {
        ranges.erase(it);
    } else if (it->range.first == part.first) {
        it->range.first = part.last + 1;
    } else {
        it->range.last = part.first - 1;
    }
}

} // namespace

SmoothedLoad::SmoothedLoad(const KeyLoad& load)
    : m_load(load)
    , m_perKey((load.total() * idleLoadShare + minIdleLoad) / keyCount)
{
}

std::vector<RangeMove> divideKeys(const std::vector<RangeServer>& servers)
{
    double total = 0;
    for (const RangeServer& server : servers) {
        total += server.capacity;
    }
    std::vector<RangeMove> moves;
    double capacitySoFar = 0;
    std::uint32_t first = 0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        capacitySoFar += servers[i].capacity;
        const bool isLast = i + 1 == servers.size();
        const std::uint32_t end = isLast ? keyCount : static_cast<std::uint32_t>(capacitySoFar / total * keyCount);
        if (end > first) {
            moves.push_back({{first, end - 1}, i});
            first = end;
        }
    }
    return moves;
}

LeastLoadedPlacement::LeastLoadedPlacement(
    std::vector<RangeServer> servers, const std::vector<PlacedRange>& ranges, const KeyLoad& load)
    : m_servers(std::move(servers))
    , m_load(load)
    , m_loads(loadsOf(m_servers, ranges, m_load))
{
}

const RangeServer* LeastLoadedPlacement::assign(const KeyRange& range)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        if (!m_servers[i].canReceiveRanges) {
            continue;
        }
        if (!best || m_loads[i] / m_servers[i].capacity < m_loads[*best] / m_servers[*best].capacity) {
            best = i;
        }
    }
    if (!best) {
        return nullptr;
    }
    m_loads[*best] += m_load.of(range);
    return &m_servers[*best];
}

std::vector<RangeMove> planMoves(
    const std::vector<RangeServer>& servers, const std::vector<PlacedRange>& ranges, const KeyLoad& load)
{
    const SmoothedLoad smoothed(load);
    std::vector<PlacedRange> placed = ranges;
    std::vector<double> loads = loadsOf(servers, ranges, smoothed);
    std::vector<bool> canReceive(servers.size());
    std::vector<bool> canGive(servers.size());
    double total = 0;
    double capacity = 0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        total += loads[i];
        capacity += servers[i].capacity;
        canGive[i] = servers[i].canMoveRanges;
        canReceive[i] = servers[i].canMoveRanges && servers[i].canReceiveRanges;
    }
    const double mean = total / std::max(1.0, capacity);
    const double requestsPerCapacity = load.total() / std::max(1.0, capacity);
    const auto utilization = [&](std::size_t i) { return loads[i] / servers[i].capacity; };
    std::vector<RangeMove> moves;
    const auto maxMoves
        = std::max(minMoveLimit, static_cast<std::size_t>(movesPerServer * static_cast<double>(servers.size())));
    while (moves.size() < maxMoves) {
        std::optional<std::size_t> mostLoaded;
        std::optional<std::size_t> leastLoaded;
        for (std::size_t i = 0; i < servers.size(); ++i) {
            if (canGive[i] && (!mostLoaded || utilization(i) > utilization(*mostLoaded))) {
                mostLoaded = i;
            }
            if (canReceive[i] && (!leastLoaded || utilization(i) < utilization(*leastLoaded))) {
                leastLoaded = i;
            }
        }
        if (!mostLoaded || !leastLoaded || mostLoaded == leastLoaded) {
            break;
        }
        const double expected = mean * servers[*mostLoaded].capacity;
        const double expectedRequests = requestsPerCapacity * servers[*mostLoaded].capacity;
        const double minExcess = std::max(minExcessShare * expected, minExcessDeviations * std::sqrt(expectedRequests));
        if (loads[*mostLoaded] - expected < minExcess) {
            break;
        }
        // The move gives both servers the same utilization, but moves no more than the receiver's mean load at once.
        const double sum = servers[*mostLoaded].capacity + servers[*leastLoaded].capacity;
        const double evenLoad = (utilization(*mostLoaded) - utilization(*leastLoaded)) * servers[*mostLoaded].capacity
            * servers[*leastLoaded].capacity / sum;
        const double wanted = std::min(evenLoad, mean * servers[*leastLoaded].capacity);
        const std::optional<RangePart> part = choosePart(placed, *mostLoaded, wanted, smoothed);
        if (!part) {
            canGive[*mostLoaded] = false; // Most of its load is on a single key.
            continue;
        }
        moves.push_back({part->range, *leastLoaded});
        canReceive[*leastLoaded] = false;
        loads[*mostLoaded] -= part->load;
        loads[*leastLoaded] += part->load;
        removePart(placed, part->range);
    }
    return moves;
}

} // namespace jasminespread
