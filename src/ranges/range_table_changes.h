#pragma once

#include "ranges/key_range.h"

#include <vector>

namespace jasminespread {

/// Routes of @p to that differ from those of @p from, without regard to where ranges begin and end. Neighbouring keys
/// with the same route are one range. Preconditions: @p to has routes for all keys, and @p from
/// for all or none. Thread-safe.
[[nodiscard]] std::vector<RangeRoute> changedRoutes(const RangeTable& from, const RangeTable& to);

/// Routes of @p base with @p changes, which are in order, in place of what it has for their keys; all
/// keys or none have one in @p base. Thread-safe.
[[nodiscard]] std::vector<RangeRoute> applyRoutes(
    const std::vector<RangeRoute>& base, const std::vector<RangeRoute>& changes);

} // namespace jasminespread
