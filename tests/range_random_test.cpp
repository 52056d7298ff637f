#include "range_simulation.h"

#include <gtest/gtest.h>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

/// Guards against two owners of a key, and fences that do not rise, whatever fails together.
class RangeRandomTest : public testing::TestWithParam<std::uint64_t> { };

TEST_P(RangeRandomTest, OneOwnerThroughRandomFaults)
{
    RangeSimulation simulation(GetParam());
    simulation.play(60s, RangeSimulation::Day::Faults);
    for (const std::string& violation : simulation.violations()) {
        ADD_FAILURE() << violation;
    }
    // Once the faults are over every key is held again.
    simulation.play(30s, RangeSimulation::Day::Quiet);
    EXPECT_TRUE(simulation.violations().empty());
    EXPECT_EQ(simulation.heldKeys(), keyCount);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RangeRandomTest, testing::Range<std::uint64_t>(1, 31));
// Seeds that failed once. 7 and 370: earlier leaders were forgotten when a leader known by heartbeat was succeeded.
// 173: a leader that learned late of its term wrote over the record of the next one.
INSTANTIATE_TEST_SUITE_P(FailedBefore, RangeRandomTest, testing::Values(173, 370));

/// Guards against ranges that wait for their renewals although nothing fails.
TEST(RangeCalmTest, KeysAreHeldWithoutPause)
{
    RangeSimulation simulation(1);
    simulation.play(3s, RangeSimulation::Day::Quiet);
    EXPECT_EQ(simulation.heldKeys(), keyCount);
    (void)simulation.heldShare();
    simulation.play(20s, RangeSimulation::Day::HotKeys);
    EXPECT_GT(simulation.heldShare(), 0.97);
}

} // namespace
} // namespace jasminespread
