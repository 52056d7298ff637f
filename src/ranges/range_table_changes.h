#pragma once

#include "ranges/key_range.h"

#include <vector>

namespace jasminespread {

/// Returns the routes of @p to for the keys whose route differs from @p from; range boundaries alone are no difference.
/// Neighbouring keys with the same route form one range. Preconditions: @p to has routes for all keys, and @p from for
/// all or none. Thread-safe.
[[nodiscard]] std::vector<RangeRoute> changedRoutes(const RangeTable& from, const RangeTable& to);

/// Returns the routes of @p base with those of the keys in @p changes replaced. Preconditions: @p changes is sorted by
/// key, and @p base has routes for all keys or none. Thread-safe.
[[nodiscard]] std::vector<RangeRoute> applyRoutes(
    const std::vector<RangeRoute>& base, const std::vector<RangeRoute>& changes);

} // namespace jasminespread
