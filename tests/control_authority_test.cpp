#include "control_simulation.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace jasminespread {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;
using testing::SizeIs;

const GroupName ledger0 {"ledger", 0};
const GroupName ledger1 {"ledger", 1};

class ControlAuthorityTest : public testing::Test {
protected:
    /// Runs until the groups exist and all servers have their leases.
    void settle()
    {
        simulation.run(Milliseconds(500));
        simulation.load();
        simulation.run(Milliseconds(3000));
    }

    /// Partitions of both groups that no server executes.
    std::size_t unavailable()
    {
        std::size_t count = 0;
        for (std::uint32_t partition = 0; partition < 8; ++partition) {
            count += simulation.holders({"ledger", partition % 2}, partition).empty() ? 1 : 0;
        }
        return count;
    }

    ControlSimulation simulation {ledgerConfiguration(4), {{"a", "b", "c", "d"}}};
};

// Guards against groups that are never created, or created twice with different primaries.
TEST_F(ControlAuthorityTest, GroupsAreCreatedAndServed)
{
    settle();
    ASSERT_TRUE(simulation.stored(ledger0));
    EXPECT_EQ(simulation.stored(ledger0)->term, 1U);
    EXPECT_TRUE(simulation.stored(ledger0)->standby);
    EXPECT_EQ(unavailable(), 0U);
    EXPECT_THAT(simulation.authorities(ledger0), ElementsAre(simulation.stored(ledger0)->primary.id));
    for (const auto& [id, instance] : simulation.instances) {
        EXPECT_TRUE(simulation.route(id, "ledger", "meter-7").owner.server) << id;
    }
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against steady state that costs store calls for each lease.
TEST_F(ControlAuthorityTest, SteadyStateNeedsFewStoreCalls)
{
    settle();
    simulation.storeReads.clear();
    simulation.storeWrites = 0;
    simulation.run(Milliseconds(30'000));
    EXPECT_EQ(simulation.storeWrites, 0U);
    EXPECT_LE(simulation.storeReads["group"], 4U * 4U);
    // One instance of the only region reads the configuration every 2 s.
    EXPECT_LE(simulation.storeReads["config"], 16U);
    EXPECT_EQ(unavailable(), 0U);
}

// Guards against a gap or two owners when the primary dies.
TEST_F(ControlAuthorityTest, StandbyTakesOverFromSilentPrimary)
{
    settle();
    const GroupRecord before = *simulation.stored(ledger0);
    simulation.stop(before.primary.id);
    std::size_t gaps = 0;
    simulation.onStep = [&] { gaps += unavailable(); };
    simulation.run(Milliseconds(3000));
    const GroupRecord after = *simulation.stored(ledger0);
    EXPECT_EQ(after.term, before.term + 1);
    EXPECT_EQ(after.primary, *before.standby);
    EXPECT_EQ(gaps, 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

} // namespace
} // namespace jasminespread
