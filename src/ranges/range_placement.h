#pragma once

#include "gateway/listed_server.h"
#include "ranges/key_load.h"
#include "ranges/key_range.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace jasminespread {

/// A server that ranges can be assigned to.
struct RangeServer {
    ServerIdentity identity;
    double capacity = 1; ///< Slots, reduced for a slow server.
    bool canMoveRanges = true; ///< Whether it may give or receive ranges; false shortly after a move.
    bool canReceiveRanges = true; ///< False: it may only give ranges.
};

/// A range with its current owner.
struct PlacedRange {
    KeyRange range;
    std::optional<std::size_t> server; ///< Index into the servers; empty: no owner.
    bool movable = true;
};

/// Load plus a small constant load for every key, so that idle keys are distributed too.
class SmoothedLoad {
public:
    /// Precondition: @p load outlives this.
    explicit SmoothedLoad(const KeyLoad& load);

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

/// Divides all keys among @p servers in proportion to capacity, in the order of the servers. Thread-safe.
[[nodiscard]] std::vector<RangeMove> divideKeys(const std::vector<RangeServer>& servers);

/// Assigns ranges without an owner to the least loaded servers, one range at a time. Not thread-safe.
class LeastLoadedPlacement {
public:
    /// Precondition: @p load outlives this.
    LeastLoadedPlacement(std::vector<RangeServer> servers, const std::vector<PlacedRange>& ranges, const KeyLoad& load);

    /// Returns the server with the least load relative to its capacity and adds the load of @p range to it. Returns
    /// nullptr if there is no server.
    [[nodiscard]] const RangeServer* assign(const KeyRange& range);

private:
    std::vector<RangeServer> m_servers;
    SmoothedLoad m_load;
    std::vector<double> m_loads; ///< Of the servers.
};

/// Plans moves that balance the load, for example after keys became hot or servers were added. Parts of ranges go from
/// the most to the least loaded servers, and each server receives at most one. Returns no moves while the imbalance is
/// too small to justify the time in which moved keys have no owner. Thread-safe.
[[nodiscard]] std::vector<RangeMove> planMoves(
    const std::vector<RangeServer>& servers, const std::vector<PlacedRange>& ranges, const KeyLoad& load);

} // namespace jasminespread
