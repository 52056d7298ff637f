#pragma once

#include "gateway/listed_server.h"
#include "ranges/key_load.h"
#include "ranges/key_range.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace jasminespread {

/// A server that may own ranges.
struct RangeServer {
    ServerLife life;
    double capacity = 1; ///< Slots, less where it is slow.
    bool movable = true; ///< Takes part in moves; false shortly after one.
};

/// A range as it is owned now.
struct PlacedRange {
    KeyRange range;
    std::optional<std::size_t> server; ///< Index into the servers; nothing: unowned.
    bool movable = true;
};

struct RangeMove {
    KeyRange range; ///< Part of one placed range, or all of it.
    std::size_t to = 0; ///< Index into the servers.
};

/// Divides all keys evenly over @p servers by capacity, in their order. Thread-safe.
[[nodiscard]] std::vector<RangeMove> divideKeys(const std::vector<RangeServer>& servers);

/// Server that has the least work for its capacity, for a range that lost its owner. Nothing when there is none.
/// Thread-safe.
[[nodiscard]] std::optional<std::size_t> leastLoaded(
    const std::vector<RangeServer>& servers, const std::vector<PlacedRange>& ranges, const KeyLoad& load);

/// Chooses moves that even out the load: answers hot keys and servers that were added. Takes parts from the most loaded
/// servers to the least loaded ones, each of which receives once; nothing while the difference is too small to pay for
/// the time in which moved keys have no owner. Thread-safe.
[[nodiscard]] std::vector<RangeMove> planMoves(
    const std::vector<RangeServer>& servers, const std::vector<PlacedRange>& ranges, const KeyLoad& load);

} // namespace jasminespread
