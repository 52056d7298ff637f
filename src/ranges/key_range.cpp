#include "ranges/key_range.h"

#include <algorithm>

namespace jasminespread {

const RangeRoute* findRangeRoute(const RangeTable& table, std::uint32_t key)
{
    const auto it = std::partition_point(
        table.routes.begin(), table.routes.end(), [key](const RangeRoute& route) { return route.range.last < key; });
    return it != table.routes.end() && it->range.contains(key) ? &*it : nullptr;
}

} // namespace jasminespread
