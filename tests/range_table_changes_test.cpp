#include "ranges/range_table_changes.h"

#include <gtest/gtest.h>

#include <random>

namespace jasminespread {
namespace {

RangeTable randomTable(std::mt19937& random)
{
    RangeTable table;
    for (std::uint32_t first = 0; first < keyCount;) {
        RangeRoute& route = table.routes.emplace_back();
        const std::uint32_t last = std::min(maxKey, first + static_cast<std::uint32_t>(random() % 6000));
        route.range = {first, last};
        route.owner = {std::string(1, static_cast<char>('a' + random() % 4)), 1};
        route.address = route.owner.id + ":80";
        route.moving = random() % 5 == 0;
        first = last + 1;
    }
    return table;
}

/// Guards against instances that route keys differently from the leader after incremental updates.
TEST(RangeTableChangesTest, ApplyingTheChangesYieldsTheNewTable)
{
    std::mt19937 random(5);
    for (int i = 0; i < 50; ++i) {
        const RangeTable from = randomTable(random);
        const RangeTable to = randomTable(random);
        RangeTable applied;
        applied.routes = applyRoutes(from.routes, changedRoutes(from, to));
        EXPECT_EQ(applied.routes.front().range.first, 0U);
        EXPECT_EQ(applied.routes.back().range.last, maxKey);
        for (std::uint32_t key = 0; key < keyCount; key += 7) {
            const RangeRoute* wanted = findRangeRoute(to, key);
            const RangeRoute* found = findRangeRoute(applied, key);
            ASSERT_NE(found, nullptr) << key;
            ASSERT_EQ(found->owner, wanted->owner) << key;
            ASSERT_EQ(found->moving, wanted->moving) << key;
        }
    }
}

/// Guards against instances without routes after the leader's first table, which is empty.
TEST(RangeTableChangesTest, ChangesFromAnEmptyTableAreTheWholeTable)
{
    std::mt19937 random(5);
    const RangeTable to = randomTable(random);
    EXPECT_EQ(applyRoutes({}, changedRoutes(RangeTable(), to)), to.routes);
}

/// Guards against needlessly large messages: splitting and merging ranges does not change any route.
TEST(RangeTableChangesTest, DifferentBoundariesAreNoChange)
{
    std::mt19937 random(5);
    const RangeTable from = randomTable(random);
    RangeTable to = from;
    RangeRoute right = to.routes.front();
    to.routes.front().range.last = 10;
    right.range.first = 11;
    to.routes.insert(to.routes.begin() + 1, right);
    EXPECT_TRUE(changedRoutes(from, to).empty());
    to.routes[1].moving = !to.routes[1].moving;
    const std::vector<RangeRoute> changes = changedRoutes(from, to);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().range, right.range);
}

} // namespace
} // namespace jasminespread
