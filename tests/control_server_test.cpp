#include "control_simulation.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace jasminespread {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

const GroupName ledger0 {"ledger", 0};

class ControlServerTest : public testing::Test {
protected:
    void startGroups()
    {
        simulation.run(Milliseconds(500));
        simulation.loadConfiguration();
        simulation.run(Milliseconds(3000));
    }

    std::size_t countOwnedBy(const std::string& server)
    {
        std::size_t count = 0;
        for (std::uint32_t index = 0; index < 2; ++index) {
            const GroupRecord record = *simulation.storedRecord({"ledger", index});
            count += std::ranges::count(record.partitions, server, &PartitionAssignment::owner);
        }
        return count;
    }

    std::size_t countUnavailable()
    {
        std::size_t count = 0;
        for (std::uint32_t partition = 0; partition < 8; ++partition) {
            count += simulation.executingServers({"ledger", partition % 2}, partition).empty() ? 1 : 0;
        }
        return count;
    }

    std::string firstPartitionOwner() { return simulation.storedRecord(ledger0)->partitions.front().owner; }

    ControlSimulation simulation {ledgerConfiguration(4), {{"a", "b", "c"}}};
};

// Guards against partitions of a failed server that move before its lease has ended, or long after.
TEST_F(ControlServerTest, PartitionsOfFailedServerMoveAfterItsLease)
{
    startGroups();
    const std::string server = firstPartitionOwner();
    simulation.servers.at(server).running = false;
    simulation.run(Milliseconds(1500));
    EXPECT_EQ(firstPartitionOwner(), server);
    simulation.run(Milliseconds(1000));
    EXPECT_EQ(countOwnedBy(server), 0U);
    EXPECT_EQ(countUnavailable(), 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against a frozen server that resumes and executes requests for partitions that have moved.
TEST_F(ControlServerTest, FrozenServerExecutesNothingWhenItReturns)
{
    startGroups();
    const std::string server = firstPartitionOwner();
    simulation.freezeServer(server);
    simulation.run(Milliseconds(5000));
    EXPECT_EQ(countOwnedBy(server), 0U);
    simulation.unfreezeServer(server);
    EXPECT_FALSE(simulation.wouldExecute(server, ledger0, 0));
    simulation.run(Milliseconds(5000));
    EXPECT_FALSE(simulation.wouldExecute(server, ledger0, 0));
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against leases that last longer than the granter assumes because the grant waited in a socket buffer.
TEST_F(ControlServerTest, DelayedGrantsEndInTime)
{
    startGroups();
    const std::string server = firstPartitionOwner();
    simulation.grantDelay = [&](const std::string& to) { return to == server ? Milliseconds(2900) : Milliseconds(1); };
    simulation.run(Milliseconds(10'000));
    EXPECT_NE(firstPartitionOwner(), server);
    EXPECT_EQ(countUnavailable(), 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against granting a partition to its old owner while the write that moves it may have taken effect: a new
// primary would grant it to the new owner without waiting for the old one.
TEST_F(ControlServerTest, MoveOfUnknownOutcomeIsGrantedToNeitherOwner)
{
    startGroups();
    const std::string server = firstPartitionOwner();
    simulation.freezeServer(server);
    simulation.storeMode = ControlSimulation::StoreMode::LoseWriteAnswers;
    for (int i = 0; i < 60 && firstPartitionOwner() == server; ++i) {
        simulation.run(Milliseconds(50));
    }
    ASSERT_NE(firstPartitionOwner(), server);
    simulation.storeMode = ControlSimulation::StoreMode::Down;
    simulation.unfreezeServer(server);
    simulation.run(Milliseconds(4000));
    EXPECT_THAT(simulation.executingServers(ledger0, 0), IsEmpty());
    simulation.stopInstance(simulation.storedRecord(ledger0)->primary.id);
    simulation.storeMode = ControlSimulation::StoreMode::Up;
    simulation.run(Milliseconds(4000));
    EXPECT_THAT(simulation.executingServers(ledger0, 0), ElementsAre(firstPartitionOwner()));
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against a server without a lease after it has lost its nonces, for example in a restart.
TEST_F(ControlServerTest, RestartedServerGetsFullGrantAtOnce)
{
    startGroups();
    const std::string server = firstPartitionOwner();
    FakeBackendServer& fake = simulation.servers.at(server);
    const std::uint64_t incarnation = fake.incarnation;
    fake = {};
    fake.incarnation = incarnation + 1;
    simulation.run(Milliseconds(700));
    EXPECT_EQ(firstPartitionOwner(), server);
    EXPECT_EQ(countUnavailable(), 0U);
}

// Guards against partitions of a draining server that move while their requests are in flight.
TEST_F(ControlServerTest, DrainingServerKeepsBusyPartitionUntilItsRequestEnds)
{
    startGroups();
    const std::string server = firstPartitionOwner();
    simulation.servers.at(server).busyUntil[0] = simulation.now + Milliseconds(1500);
    simulation.servers.at(server).state = ServerState::Draining;
    simulation.run(Milliseconds(1300));
    EXPECT_EQ(firstPartitionOwner(), server);
    simulation.run(Milliseconds(1700));
    EXPECT_EQ(countOwnedBy(server), 0U);
    EXPECT_EQ(countUnavailable(), 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against a server that still owns partitions at its planned stop, and against one write per partition.
TEST_F(ControlServerTest, ServerIsDrainedBeforeItsPlannedStop)
{
    startGroups();
    const std::string server = firstPartitionOwner();
    const WallTime stopAt(std::chrono::duration_cast<Milliseconds>(simulation.now.time_since_epoch())
        + std::chrono::hours(400'000) + Milliseconds(8000));
    simulation.configuration.plannedStops = {{server, stopAt, Milliseconds(5000)}};
    simulation.loadConfiguration();
    simulation.run(Milliseconds(2500));
    EXPECT_GT(countOwnedBy(server), 0U);
    simulation.storeWrites = 0;
    simulation.run(Milliseconds(3000));
    EXPECT_EQ(countOwnedBy(server), 0U);
    EXPECT_LE(simulation.storeWrites, 4U);
    simulation.run(Milliseconds(5000));
    EXPECT_EQ(countOwnedBy(server), 0U);
    EXPECT_EQ(countUnavailable(), 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against partitions that stay on a server that the platform lists as leaving.
TEST_F(ControlServerTest, LeavingServerIsDrainedWithinThreeSeconds)
{
    startGroups();
    const std::string server = firstPartitionOwner();
    simulation.listedStates[server] = ListedState::Leaving;
    simulation.run(Milliseconds(3000));
    EXPECT_EQ(countOwnedBy(server), 0U);
    EXPECT_EQ(countUnavailable(), 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against two valid routes for one key while it moves to its own partition and back.
TEST_F(ControlServerTest, HotKeySplitKeepsOneValidRoute)
{
    startGroups();
    const std::uint32_t hashPartition = partitionOf("meter-7", 8);
    const KeyRoute before = simulation.route("a", "ledger", "meter-7");
    EXPECT_EQ(before.partition, hashPartition);
    simulation.configuration.hotKeys = {{"ledger", "meter-7", "s4"}};
    simulation.loadConfiguration();
    simulation.run(Milliseconds(2000));
    const KeyRoute split = simulation.route("a", "ledger", "meter-7");
    EXPECT_GE(split.partition, 8U);
    ASSERT_TRUE(split.owner.server);
    EXPECT_EQ(simulation.instances.at("a").routing->servers[*split.owner.server].id, "s4");
    EXPECT_TRUE(simulation.wouldExecute("s4", split.group->group, split.partition, split.owner.token));
    // The token that stale routes carry must be refused everywhere.
    for (const auto& [id, server] : simulation.servers) {
        EXPECT_FALSE(simulation.wouldExecute(id, split.group->group, hashPartition, before.owner.token));
    }
    simulation.configuration.hotKeys.clear();
    simulation.loadConfiguration();
    simulation.run(Milliseconds(2000));
    EXPECT_EQ(simulation.route("a", "ledger", "meter-7").partition, hashPartition);
    EXPECT_EQ(countUnavailable(), 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

class UncheckedServerTest : public ControlServerTest {
protected:
    UncheckedServerTest()
    {
        simulation.configuration.services.front().grantCheck = GrantCheck::Unchecked;
        startGroups();
    }

    /// Returns the server to which the primary dispatches requests for partition 0, or "" while it dispatches none.
    std::string dispatchTarget()
    {
        for (const std::string& id : simulation.authorityHolders(ledger0)) {
            const RoutingSnapshot& routing = *simulation.instances.at(id).routing;
            const PartitionRoute route = routing.services.at("ledger").groups.at(0).partitions.at(0);
            return route.server ? routing.servers[*route.server].id : "";
        }
        return "";
    }
};

// Guards against moving partitions off a silent server that may still execute requests sent to it.
TEST_F(UncheckedServerTest, PartitionsMoveOnlyWhenTheServerIsDeclaredGone)
{
    const std::string server = firstPartitionOwner();
    EXPECT_EQ(dispatchTarget(), server);
    simulation.servers.at(server).running = false;
    simulation.run(Milliseconds(10'000));
    EXPECT_EQ(firstPartitionOwner(), server);
    // Any instance accepts the declaration.
    const std::string primary = simulation.storedRecord(ledger0)->primary.id;
    simulation.requestAsOperator(primary == "a" ? "b" : "a", OperatorAction::DeclareServerGone, server);
    simulation.run(Milliseconds(1500));
    EXPECT_NE(firstPartitionOwner(), server);
    EXPECT_EQ(dispatchTarget(), firstPartitionOwner());
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against a new primary that dispatches requests while the old one may still do so.
TEST_F(UncheckedServerTest, NewPrimaryDispatchesOnlyAfterEarlierGrantsEnd)
{
    const GroupRecord before = *simulation.storedRecord(ledger0);
    simulation.pauseInstance(before.primary.id);
    simulation.run(Milliseconds(1800));
    EXPECT_EQ(simulation.storedRecord(ledger0)->primary, *before.standby);
    EXPECT_EQ(dispatchTarget(), "");
    simulation.run(Milliseconds(3000));
    EXPECT_EQ(dispatchTarget(), before.partitions.front().owner);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against ignoring that the platform lists a server as gone.
TEST_F(UncheckedServerTest, PartitionsMoveWhenTheServerIsListedAsGone)
{
    const std::string server = firstPartitionOwner();
    simulation.servers.at(server).running = false;
    simulation.listedStates[server] = ListedState::Gone;
    simulation.run(Milliseconds(3000));
    EXPECT_NE(firstPartitionOwner(), server);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

} // namespace
} // namespace jasminespread
