#include "control/churn_budget.h"
#include "control/placement.h"
#include "control/placement_baselines.h"
#include "control_simulation.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace jasminespread {
namespace {

using testing::IsEmpty;
using testing::SizeIs;

PlacementInput inputWith(std::vector<PlacementServer> servers)
{
    PlacementInput input;
    input.group = {"ledger", 0};
    input.homeRegion = "west";
    input.servers = std::move(servers);
    return input;
}

// Guards against placing partitions behind a slow link while the home region has servers.
TEST(PlacementTest, HomeRegionIsPreferred)
{
    PlacementInput input = inputWith({{"s1", "west", 9}, {"s2", "east", 0}});
    input.unassigned = {0, 1};
    const PartitionOwners owners = leastLoadedPlacement().assign(input);
    EXPECT_EQ(owners, (PartitionOwners {{0, "s1"}, {1, "s1"}}));
    input.servers = {{"s2", "east", 0}};
    EXPECT_EQ(leastLoadedPlacement().assign(input), (PartitionOwners {{0, "s2"}, {1, "s2"}}));
    input.servers.clear();
    EXPECT_THAT(leastLoadedPlacement().assign(input), IsEmpty());
}

// Guards against assigning all partitions of a lost server to a single one.
TEST(PlacementTest, UnassignedPartitionsAreSpread)
{
    PlacementInput input = inputWith({{"s1", "west", 4}, {"s2", "west", 4}, {"s3", "west", 6}});
    input.unassigned = {0, 1, 2, 3};
    const PartitionOwners owners = leastLoadedPlacement().assign(input);
    EXPECT_EQ(std::ranges::count(owners, "s1", &PartitionOwners::value_type::second), 2);
    EXPECT_EQ(std::ranges::count(owners, "s2", &PartitionOwners::value_type::second), 2);
}

// Guards against ignoring the operators' preferred server, and against waiting for it when it is not usable.
TEST(PlacementTest, PreferredServerIsUsedWhileUsable)
{
    PlacementInput input = inputWith({{"s1", "west", 0}, {"s2", "west", 9}});
    input.unassigned = {8};
    input.preferredOwners = {{8, "s2"}};
    EXPECT_EQ(leastLoadedPlacement().assign(input), (PartitionOwners {{8, "s2"}}));
    input.preferredOwners = {{8, "s7"}};
    EXPECT_EQ(leastLoadedPlacement().assign(input), (PartitionOwners {{8, "s1"}}));
}

// Guards against moves that exceed the budget, and against moving back and forth between nearly equal servers.
TEST(PlacementTest, RebalancingStaysWithinBudgetAndEnds)
{
    PlacementInput input = inputWith({{"s1", "west", 8}, {"s2", "west", 0}});
    for (std::uint32_t partition = 0; partition < 8; ++partition) {
        input.assignments.push_back({partition, "s1", partition + 1});
    }
    EXPECT_THAT(leastLoadedPlacement().rebalance(input, 0), IsEmpty());
    EXPECT_THAT(leastLoadedPlacement().rebalance(input, 3), SizeIs(3));
    EXPECT_THAT(leastLoadedPlacement().rebalance(input, 100), SizeIs(4));
    input.servers = {{"s1", "west", 5}, {"s2", "west", 4}};
    EXPECT_THAT(leastLoadedPlacement().rebalance(input, 100), IsEmpty());
}

// Guards against a churn weight without effect: users who pay for traffic accept more imbalance.
TEST(PlacementTest, ChurnWeightSuppressesSmallGains)
{
    PlacementInput input = inputWith({{"s1", "west", 10}, {"s2", "west", 7}});
    for (std::uint32_t partition = 0; partition < 10; ++partition) {
        input.assignments.push_back({partition, "s1", partition + 1});
    }
    EXPECT_THAT(leastLoadedPlacement().rebalance(input, 100), SizeIs(1));
    input.weights.churn = 10;
    EXPECT_THAT(leastLoadedPlacement().rebalance(input, 100), IsEmpty());
}

// Guards against a bounded-load policy that exceeds its bound, which would distort the comparison with it.
TEST(PlacementTest, BoundedLoadsKeepTheirBound)
{
    PlacementInput input = inputWith({{"s1", "west", 0}, {"s2", "west", 0}, {"s3", "west", 0}, {"s4", "west", 0}});
    for (std::uint32_t partition = 0; partition < 96; ++partition) {
        input.assignments.push_back({partition, "", partition + 1});
        input.unassigned.push_back(partition);
    }
    const PartitionOwners owners = boundedLoadPlacement(1.25).assign(input);
    EXPECT_THAT(owners, SizeIs(96));
    for (const PlacementServer& server : input.servers) {
        EXPECT_LE(std::ranges::count(owners, server.id, &PartitionOwners::value_type::second), 30);
    }
    EXPECT_THAT(rendezvousPlacement().assign(input), SizeIs(96));
}

// Guards against home regions that do not match the distribution of the servers.
TEST(PlacementTest, HomeRegionsFollowTheServers)
{
    Configuration configuration;
    configuration.regions = {{"east", {"e1"}}, {"north", {"n1"}}, {"west", {"w1"}}};
    Service service;
    service.name = "ledger";
    service.groups = 6;
    configuration.services = {service};
    for (int i = 0; i < 8; ++i) {
        const std::string region = i < 4 ? "west" : "east";
        configuration.servers.push_back({"s" + std::to_string(i), "ledger", region, "", ""});
    }
    std::map<std::string, int> groups;
    for (std::uint32_t index = 0; index < 6; ++index) {
        ++groups[homeRegionOf(configuration, service, index)];
    }
    EXPECT_EQ(groups, (std::map<std::string, int> {{"east", 3}, {"west", 3}}));
}

// Guards against repeated bursts of an hour's moves, and against small groups that never get a move.
TEST(ChurnBudgetTest, AccruesOverTime)
{
    ChurnBudget budget;
    MonotonicTime now {std::chrono::hours(5)};
    budget.refill(now, 0.5);
    EXPECT_EQ(budget.available(), 1U);
    budget.spend(1);
    now += std::chrono::hours(1);
    budget.refill(now, 0.5);
    EXPECT_EQ(budget.available(), 0U);
    now += std::chrono::hours(1);
    budget.refill(now, 0.5);
    EXPECT_EQ(budget.available(), 1U);
    now += std::chrono::hours(100);
    budget.refill(now, 0.5);
    EXPECT_EQ(budget.available(), 1U);
}

// Guards against new servers without partitions, and against rebalancing that exceeds the budget or gives a partition
// two owners.
TEST(RebalancingTest, NewServersGetPartitionsWithinTheBudget)
{
    Configuration configuration = ledgerConfiguration(2);
    configuration.services.front().partitions = 64;
    configuration.weights.churnPerHour = 0.125;
    ControlSimulation simulation {configuration, {{"a", "b", "c"}}};
    simulation.servers["s3"];
    simulation.run(Milliseconds(500));
    simulation.loadConfiguration();
    simulation.run(Milliseconds(3000));
    simulation.configuration.servers.push_back({"s3", "ledger", "west", "w1", "127.0.0.1:9003"});
    simulation.loadConfiguration();
    simulation.run(Milliseconds(60'000));
    std::ptrdiff_t moved = 0;
    for (std::uint32_t index = 0; index < 2; ++index) {
        const GroupRecord record = *simulation.storedRecord({"ledger", index});
        moved += std::ranges::count(record.partitions, "s3", &PartitionAssignment::owner);
    }
    // churnPerHour allows an eighth of the 64 partitions.
    EXPECT_EQ(moved, 8);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

} // namespace
} // namespace jasminespread
