#pragma once

#include "gateway/listed_server.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jasminespread {

/// Highest key; keys are numbers from 0 to this value.
inline constexpr std::uint32_t maxKey = 65'535;
inline constexpr std::uint32_t keyCount = maxKey + 1;

/// Keys from `first` to `last`, both inclusive.
struct KeyRange {
    std::uint32_t first = 0;
    std::uint32_t last = maxKey;

    bool operator==(const KeyRange&) const = default;
    [[nodiscard]] std::uint32_t size() const noexcept { return last - first + 1; }
    [[nodiscard]] bool contains(std::uint32_t key) const noexcept { return first <= key && key <= last; }
};

/// Routing entry: the server that requests for the keys of one range are sent to.
struct RangeRoute {
    KeyRange range;
    ServerIdentity owner; ///< Empty id: the range has no owner at present.
    std::string address;
    bool moving = false; ///< The range is being handed over to another server; this lasts until the old owner's
                         ///< requests finish.

    bool operator==(const RangeRoute&) const = default;
};

/// Routes of one keyed service, sorted by key, without overlaps.
struct RangeTable {
    std::string service;
    std::uint64_t term = 0; ///< Term of the leader that granted the ranges.
    std::uint64_t version = 0; ///< Increases with each change within a term.
    std::vector<RangeRoute> routes;
};

/// Returns the route for @p key, or nullptr if the table has none. Thread-safe.
[[nodiscard]] const RangeRoute* findRangeRoute(const RangeTable& table, std::uint32_t key);

} // namespace jasminespread
