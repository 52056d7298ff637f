#include "control_simulation.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace jasminespread {
namespace {

using testing::IsEmpty;

// Guards against two owners of a partition: a backend server loses the newer term in a restart, and a superseded
// primary that is cut off but still has authority grants to it again.
TEST(ControlRestartTest, RestartedServerAcceptsNoGrantThatOverlapsAMove)
{
    ControlSimulation simulation {ledgerConfiguration(4), {{"a", "b", "c"}}};
    simulation.run(Milliseconds(500));
    simulation.loadConfiguration();
    simulation.run(Milliseconds(4000));
    const GroupName group {"ledger", 0};
    const GroupRecord before = *simulation.storedRecord(group);
    const std::string primary = before.primary.id;
    const std::string server = before.partitions.front().owner;
    for (const std::string other : {"a", "b", "c", "store"}) {
        if (other != primary) {
            simulation.cutLink(primary, other);
        }
    }
    // The standby takes over while the superseded primary still has authority. Only the instances that receive the
    // planned stop then move the partitions off the server.
    simulation.run(Milliseconds(1300));
    ASSERT_GT(simulation.storedRecord(group)->term, before.term);
    ASSERT_THAT(simulation.authorityHolders(group), testing::Contains(primary));
    const WallTime stopAt {std::chrono::duration_cast<Milliseconds>(simulation.now.time_since_epoch())
        + std::chrono::hours(400'000) + Milliseconds(3000)};
    simulation.configuration.plannedStops = {{server, stopAt, Milliseconds(5000)}};
    simulation.loadConfiguration();
    bool restarted = false;
    simulation.onStep = [&] {
        const bool moved = simulation.storedRecord(group)->partitions.front().owner != server;
        if (moved && !restarted) {
            restarted = true;
            FakeBackendServer& restarting = simulation.servers.at(server);
            ++restarting.incarnation;
            restarting.groupLeases.clear();
            restarting.nonces.clear();
        }
    };
    simulation.run(Milliseconds(8000));
    EXPECT_TRUE(restarted);
    EXPECT_THAT(simulation.violations(), IsEmpty());
    const GroupRecord after = *simulation.storedRecord(group);
    EXPECT_GT(after.term, before.term);
    EXPECT_EQ(std::ranges::count(after.partitions, server, &PartitionAssignment::owner), 0);
}

} // namespace
} // namespace jasminespread
