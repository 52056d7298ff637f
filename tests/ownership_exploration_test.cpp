#include "ownership_exploration.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

/// For runs by hand. EXPLORATION_SEED, EXPLORATION_COUNT, EXPLORATION_SECONDS, EXPLORATION_FAILURES: the first seed and
/// when to end. EXPLORATION_DEPTH, EXPLORATION_LATE, EXPLORATION_HIDDEN, EXPLORATION_SHIFTED: ExplorationSettings.
std::uint64_t numberFrom(const char* variable, std::uint64_t otherwise)
{
    const char* text = std::getenv(variable); // NOLINT(concurrency-mt-unsafe): no other thread runs.
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/// Guards against orders of restarts, lost or late calls and cuts under which two servers get the same keys.
TEST(OwnershipExplorationTest, NoOrderOfDisruptionsGivesAKeyTwoOwners)
{
    ExplorationSettings settings;
    settings.depth = numberFrom("EXPLORATION_DEPTH", settings.depth);
    settings.countsLateGrants = numberFrom("EXPLORATION_LATE", 0) != 0;
    settings.copiesHideLateCalls = numberFrom("EXPLORATION_HIDDEN", 0) != 0;
    settings.reusesShiftedConnections = numberFrom("EXPLORATION_SHIFTED", 1) != 0;
    const std::uint64_t first = numberFrom("EXPLORATION_SEED", 1);
    const std::uint64_t count = numberFrom("EXPLORATION_COUNT", 500);
    const std::uint64_t maxFailures = numberFrom("EXPLORATION_FAILURES", 1);
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(numberFrom("EXPLORATION_SECONDS", 3600));
    std::uint64_t failures = 0;
    std::uint64_t seed = first;
    for (; seed < first + count && failures < maxFailures && std::chrono::steady_clock::now() < until; ++seed) {
        if (const std::optional<BrokenOrder> broken = exploreOrder(seed, settings)) {
            ++failures;
            ADD_FAILURE() << broken->description;
        }
    }
    RecordProperty("orders", std::to_string(seed - first));
    std::cout << seed - first << " orders, " << failures << " failed\n";
}

/// Guards against a key with two owners after a restore of the store, which loses records of grants.
TEST(OwnershipExplorationTest, NoRestoreOfTheStoreGivesAKeyTwoOwners)
{
    ExplorationSettings settings;
    settings.restores = numberFrom("EXPLORATION_RESTORES", 2);
    settings.depth = numberFrom("EXPLORATION_DEPTH", settings.depth);
    const std::uint64_t first = numberFrom("EXPLORATION_SEED", 1);
    const std::uint64_t count = numberFrom("EXPLORATION_COUNT", 200);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const std::optional<BrokenOrder> broken = exploreOrder(seed, settings);
        ASSERT_FALSE(broken) << broken->description;
    }
}

/// Guards against the answer to one release, behind a copy of another one's, being taken for that to the next release.
TEST(OwnershipExplorationTest, AnAnswerBehindACopyDoesNotEndAnotherRelease)
{
    for (const std::uint64_t seed : {101135U, 101498U, 301446U}) {
        const std::optional<BrokenOrder> broken = exploreOrder(seed, ExplorationSettings());
        EXPECT_FALSE(broken) << broken->description;
    }
}

/// Guards against a copy of a release's answer counting as new after 200 later releases.
TEST(OwnershipExplorationTest, ACopyOfAnOldAnswerDoesNotEndARelease)
{
    ExplorationSettings settings;
    settings.reusesShiftedConnections = false;
    for (const std::uint64_t seed : {503534U, 607780U}) {
        const std::optional<BrokenOrder> broken = exploreOrder(seed, settings);
        EXPECT_FALSE(broken) << broken->description;
    }
}

/// Guards against a grant that is executed after its holder's release, because a copy of an earlier answer hid that it
/// had none.
TEST(OwnershipExplorationTest, ACopyDoesNotHideALateGrant)
{
    ExplorationSettings settings;
    settings.copiesHideLateCalls = true;
    settings.reusesShiftedConnections = false;
    for (const std::uint64_t seed : {102266U, 102870U, 300010U, 300852U, 300873U, 304960U, 402481U, 403376U}) {
        const std::optional<BrokenOrder> broken = exploreOrder(seed, settings);
        EXPECT_FALSE(broken) << broken->description;
    }
}

/// Guards against an exploration that finds nothing because no server holds anything.
TEST(OwnershipExplorationTest, KeysAreHeldWithoutDisruptions)
{
    OwnershipWorldSettings settings;
    settings.seed = 1;
    settings.hotKeys = true;
    OwnershipWorld world(settings, {});
    world.run(10s);
    EXPECT_TRUE(world.violations().empty());
    EXPECT_EQ(world.heldKeys(), keyCount);
}

} // namespace
} // namespace jasminespread
