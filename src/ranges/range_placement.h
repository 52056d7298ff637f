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
    ServerIdentity life;
    double capacity = 1; ///< Slots, less where it is slow.
    bool movable = true; ///< Takes part in moves; false shortly after one.
};

/// A range as it is owned now.
struct PlacedRange {
    KeyRange range;
    std::optional<std::size_t> server; ///< Index into the servers; nothing: unowned.
    bool movable = true;
};

/// Load with a part that is spread over all keys, so that idle keys are divided too.
class WeighedLoad {
public:
    /// Precondition: @p load outlives this.
    explicit WeighedLoad(const KeyLoad& load);

    [[nodiscard]] double of(const KeyRange& range) const { return m_load.of(range) + m_perKey * range.size(); }
    [[nodiscard]] double ofKey(std::uint32_t key) const { return m_load.ofKey(key) + m_perKey; }

private:
    const KeyLoad& m_load;
    double m_perKey;
};

struct RangeMove {
    KeyRange range; ///< Part of one placed range, or all of it.
    std::size_t to = 0; ///< Index into the servers.
};

/// Divides all keys evenly over @p servers by capacity, in their order. Thread-safe.
[[nodiscard]] std::vector<RangeMove> divideKeys(const std::vector<RangeServer>& servers);

/// Chooses servers for ranges that lost their owners, one after the other. Not thread-safe.
class LeastLoaded {
public:
    /// Precondition: @p load outlives this.
    LeastLoaded(std::vector<RangeServer> servers, const std::vector<PlacedRange>& ranges, const KeyLoad& load);

    /// The server that has the least work for its capacity; it counts as having @p range from now on. Nothing when
    /// there is no server.
    [[nodiscard]] const RangeServer* take(const KeyRange& range);

private:
    std::vector<RangeServer> m_servers;
    WeighedLoad m_load;
    std::vector<double> m_loads; ///< Of the servers.
};

/// Chooses moves that even out the load: answers hot keys and servers that were added. Takes parts from the most loaded
/// servers to the least loaded ones, each of which receives once; nothing while the difference is too small to pay for
/// the time in which moved keys have no owner. Thread-safe.
[[nodiscard]] std::vector<RangeMove> planMoves(
    const std::vector<RangeServer>& servers, const std::vector<PlacedRange>& ranges, const KeyLoad& load);

} // namespace jasminespread
