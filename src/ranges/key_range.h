#pragma once

#include "gateway/listed_server.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jasminespread {

/// Highest key; keys are numbers from 0 to this one.
inline constexpr std::uint32_t highestKey = 65'535;
inline constexpr std::uint32_t keyCount = highestKey + 1;

/// Keys from `first` to `last`, both included.
struct KeyRange {
    std::uint32_t first = 0;
    std::uint32_t last = highestKey;

    bool operator==(const KeyRange&) const = default;
    [[nodiscard]] std::uint32_t size() const noexcept { return last - first + 1; }
    [[nodiscard]] bool contains(std::uint32_t key) const noexcept { return first <= key && key <= last; }
};

/// Who serves one range, as callers' requests are routed.
struct RangeRoute {
    KeyRange range;
    ServerIdentity owner; ///< An empty id: nobody at present.
    std::string address;
    bool moving = false; ///< The owner releases it to another server, which takes as long as the work that it has.

    bool operator==(const RangeRoute&) const = default;
};

/// Routes of one keyed service. Ranges are in order and do not overlap.
struct RangeTable {
    std::string service;
    std::uint64_t term = 0; ///< Of the instance that grants the ranges.
    std::uint64_t version = 0; ///< Rises with each change within a term.
    std::vector<RangeRoute> routes;
};

/// Finds the range of @p key; nullptr when the table has none. Thread-safe.
[[nodiscard]] const RangeRoute* findRange(const RangeTable& table, std::uint32_t key);

} // namespace jasminespread
