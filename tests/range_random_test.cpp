#include "range_simulation.h"

#include <gtest/gtest.h>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

/// Guards against two owners of a key and against fences that do not increase, under random combinations of faults.
class RangeRandomTest : public testing::TestWithParam<std::uint64_t> { };

TEST_P(RangeRandomTest, AtMostOneOwnerUnderRandomFaults)
{
    RangeSimulation simulation(GetParam());
    simulation.simulate(60s, RangeSimulation::Scenario::Faults);
    for (const std::string& violation : simulation.violations()) {
        ADD_FAILURE() << violation;
    }
    // After the faults have ended every key is held again.
    simulation.simulate(30s, RangeSimulation::Scenario::Quiet);
    EXPECT_TRUE(simulation.violations().empty());
    EXPECT_EQ(simulation.heldKeys(), keyCount);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RangeRandomTest, testing::Range<std::uint64_t>(1, 31));
// Seeds that failed before. 7 and 370: an instance that knew a leader only from heartbeats took over and dropped the
// unconfirmed earlier leaders. 173: a leader that learned of its term late overwrote the record of the next leader.
INSTANTIATE_TEST_SUITE_P(PreviouslyFailedSeeds, RangeRandomTest, testing::Values(173, 370));

/// Guards against leases that expire before their renewal although nothing fails.
TEST(RangeSteadyStateTest, KeysStayHeldWithoutFaults)
{
    RangeSimulation simulation(1);
    simulation.simulate(3s, RangeSimulation::Scenario::Quiet);
    EXPECT_EQ(simulation.heldKeys(), keyCount);
    (void)simulation.heldFraction();
    simulation.simulate(20s, RangeSimulation::Scenario::HotKeys);
    EXPECT_GT(simulation.heldFraction(), 0.97);
}

} // namespace
} // namespace jasminespread
