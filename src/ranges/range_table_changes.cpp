#include "ranges/range_table_changes.h"

#include <algorithm>

namespace jasminespread {
namespace {

bool sameRoute(const RangeRoute& a, const RangeRoute& b)
{
    return a.owner == b.owner && a.address == b.address && a.moving == b.moving;
}

/// Appends @p route for @p range, or extends the last range if that is adjacent and has the same route.
void appendRoute(std::vector<RangeRoute>& routes, const RangeRoute& route, const KeyRange& range)
{
    if (!routes.empty() && routes.back().range.last + 1 == range.first && sameRoute(routes.back(), route)) {
        routes.back().range.last = range.last;
        return;
    }
    routes.push_back(route);
    routes.back().range = range;
}

} // namespace

std::vector<RangeRoute> changedRoutes(const RangeTable& from, const RangeTable& to)
{
    if (from.routes.empty()) {
        return to.routes;
    }
    std::vector<RangeRoute> changes;
    auto before = from.routes.begin();
    auto after = to.routes.begin();
    for (std::uint32_t first = 0; before != from.routes.end() && after != to.routes.end();) {
        const std::uint32_t last = std::min(before->range.last, after->range.last);
        if (!sameRoute(*before, *after)) {
            appendRoute(changes, *after, {first, last});
        }
        first = last + 1;
        if (before->range.last == last) {
            ++before;
        }
        if (after->range.last == last) {
            ++after;
        }
    }
    return changes;
}

std::vector<RangeRoute> applyRoutes(const std::vector<RangeRoute>& base, const std::vector<RangeRoute>& changes)
{
    if (base.empty()) {
        return changes;
    }
    std::vector<RangeRoute> routes;
    auto change = changes.begin();
    for (const RangeRoute& route : base) {
        std::uint32_t first = route.range.first;
        while (first <= route.range.last) {
            while (change != changes.end() && change->range.last < first) {
                ++change;
            }
            if (change == changes.end() || change->range.first > route.range.last) {
                appendRoute(routes, route, {first, route.range.last});
                break;
            }
            if (change->range.first > first) {
                appendRoute(routes, route, {first, change->range.first - 1});
                first = change->range.first;
            }
            const std::uint32_t last = std::min(change->range.last, route.range.last);
            appendRoute(routes, *change, {first, last});
            first = last + 1;
        }
    }
    return routes;
}

} // namespace jasminespread
