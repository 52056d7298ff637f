#include "ranges/range_placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jasminespread {
namespace {

/// Part of all load that is spread over the keys evenly, so that idle keys are divided too.
constexpr double idlePart = 0.1;
/// Least load of the whole service that idle keys stand for, in requests.
constexpr double leastIdleLoad = 1;
/// Moves are planned while the most loaded server has at least this much more than the mean: a part of the mean, or a
/// multiple of the deviation that so few requests have by chance.
constexpr double worthwhileExcess = 0.35;
constexpr double worthwhileDeviations = 2;
/// Moves of one round: at least this many, and for this part of the servers. Each costs its callers a short wait.
constexpr std::size_t fewestMoves = 6;
constexpr double movedPart = 0.5;
/// A part is moved only if it is at most this much larger than wanted; a single key cannot be divided.
constexpr double highestOvershoot = 1.8;

std::vector<double> loadsOf(
    const std::vector<RangeServer>& servers, const std::vector<PlacedRange>& ranges, const WeighedLoad& load)
{
    std::vector<double> loads(servers.size(), 0);
    for (const PlacedRange& placed : ranges) {
        if (placed.server) {
            loads[*placed.server] += load.of(placed.range);
        }
    }
    return loads;
}

struct Part {
    KeyRange range;
    double load = 0;
};

/// Grows a part from one end of @p range until it has about @p wanted load.
Part growPart(const KeyRange& range, bool fromLeft, double wanted, const WeighedLoad& load)
{
    Part part {range, 0};
    for (std::uint32_t i = 0; i < range.size(); ++i) {
        const std::uint32_t key = fromLeft ? range.first + i : range.last - i;
        const double more = load.ofKey(key);
        const bool better = std::abs(part.load + more - wanted) < std::abs(part.load - wanted);
        if (i > 0 && !better) {
            break;
        }
        part.load += more;
        (fromLeft ? part.range.last : part.range.first) = key;
    }
    return part;
}

/// The part of the server's ranges whose load is closest to @p wanted.
std::optional<Part> choosePart(
    const std::vector<PlacedRange>& ranges, std::size_t server, double wanted, const WeighedLoad& load)
{
    std::optional<Part> best;
    for (const PlacedRange& placed : ranges) {
        if (placed.server != server || !placed.movable) {
            continue;
        }
        for (const bool fromLeft : {true, false}) {
            const Part part = growPart(placed.range, fromLeft, wanted, load);
            const bool better = !best || std::abs(part.load - wanted) < std::abs(best->load - wanted);
            if (part.load <= wanted * highestOvershoot && better) {
                best = part;
            }
        }
    }
    return best;
}

/// Takes a part, which lies at an end of a placed range, out of it.
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

WeighedLoad::WeighedLoad(const KeyLoad& load)
    : m_load(load)
    , m_perKey((load.total() * idlePart + leastIdleLoad) / keyCount)
{
}

std::vector<RangeMove> divideKeys(const std::vector<RangeServer>& servers)
{
    double total = 0;
    for (const RangeServer& server : servers) {
        total += server.capacity;
    }
    std::vector<RangeMove> moves;
    double passed = 0;
    std::uint32_t first = 0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        passed += servers[i].capacity;
        const bool isLast = i + 1 == servers.size();
        const std::uint32_t end = isLast ? keyCount : static_cast<std::uint32_t>(passed / total * keyCount);
        if (end > first) {
            moves.push_back({{first, end - 1}, i});
            first = end;
        }
    }
    return moves;
}

LeastLoaded::LeastLoaded(std::vector<RangeServer> servers, const std::vector<PlacedRange>& ranges, const KeyLoad& load)
    : m_servers(std::move(servers))
    , m_load(load)
    , m_loads(loadsOf(m_servers, ranges, m_load))
{
}

const RangeServer* LeastLoaded::take(const KeyRange& range)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
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
    const WeighedLoad weighed(load);
    std::vector<PlacedRange> placed = ranges;
    std::vector<double> loads = loadsOf(servers, ranges, weighed);
    std::vector<bool> receives(servers.size());
    double total = 0;
    double capacity = 0;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        total += loads[i];
        capacity += servers[i].capacity;
        receives[i] = servers[i].movable;
    }
    const double mean = total / std::max(1.0, capacity);
    const auto use = [&](std::size_t i) { return loads[i] / servers[i].capacity; };
    std::vector<RangeMove> moves;
    std::vector<bool> gives = receives;
    const auto highestMoves
        = std::max(fewestMoves, static_cast<std::size_t>(movedPart * static_cast<double>(servers.size())));
    while (moves.size() < highestMoves) {
        std::optional<std::size_t> high;
        std::optional<std::size_t> low;
        for (std::size_t i = 0; i < servers.size(); ++i) {
            if (gives[i] && (!high || use(i) > use(*high))) {
                high = i;
            }
            if (receives[i] && (!low || use(i) < use(*low))) {
                low = i;
            }
        }
        if (!high || !low || high == low) {
            break;
        }
        const double expected = mean * servers[*high].capacity;
        const double worthwhile = std::max(worthwhileExcess * expected, worthwhileDeviations * std::sqrt(expected));
        if (loads[*high] - expected < worthwhile) {
            break;
        }
        // Both ends of the move reach the same use of their capacity, and no server gets more than the mean at once.
        const double sum = servers[*high].capacity + servers[*low].capacity;
        const double even = (use(*high) - use(*low)) * servers[*high].capacity * servers[*low].capacity / sum;
        const double wanted = std::min(even, mean * servers[*low].capacity);
        const std::optional<Part> part = choosePart(placed, *high, wanted, weighed);
        if (!part) {
            gives[*high] = false; // A single key has most of its load.
            continue;
        }
        moves.push_back({part->range, *low});
        receives[*low] = false;
        loads[*high] -= part->load;
        loads[*low] += part->load;
        removePart(placed, part->range);
    }
    return moves;
}

} // namespace jasminespread
