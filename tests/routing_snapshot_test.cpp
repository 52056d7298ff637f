#include <jasminespread/routing_snapshot.h>

#include <gtest/gtest.h>

namespace jasminespread {

// Guards against routing a hot key to its hash partition in place of its dedicated one.
TEST(RoutingSnapshotTest, OverrideReplacesHashPartition)
{
    ServiceRoute service;
    service.settings.partitions = 8;
    service.groups.resize(2);
    const std::uint32_t hashPartition = partitionOf("meter-7", 8);
    GroupRoute& group = service.groups[hashPartition % 2];
    group.partitions[hashPartition] = {0, 5};
    EXPECT_EQ(routeKey(service, "meter-7").partition, hashPartition);
    EXPECT_EQ(routeKey(service, "meter-7").owner.token, 5U);

    group.overrides["meter-7"] = 8;
    group.partitions[8] = {1, 9};
    const KeyRoute route = routeKey(service, "meter-7");
    EXPECT_EQ(route.partition, 8U);
    EXPECT_EQ(route.owner.server, 1U);
    EXPECT_EQ(route.owner.token, 9U);
}

// Guards against a partition without an owner being routed to server 0.
TEST(RoutingSnapshotTest, UnknownPartitionHasNoOwner)
{
    ServiceRoute service;
    service.settings.partitions = 8;
    service.groups.resize(2);
    EXPECT_FALSE(routeKey(service, "meter-7").owner.server);
}

} // namespace jasminespread
