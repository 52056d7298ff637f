#include "control/placement_baselines.h"

#include "control/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jasminespread {
namespace {

std::vector<PlacementServer> rankServers(const PlacementInput& input, std::uint32_t partition)
{
    std::vector<PlacementServer> servers = serversInHomeRegionOrAll(input);
    const std::string item = input.group.service + "/" + std::to_string(partition);
    std::ranges::sort(servers, std::greater<>(),
        [&](const PlacementServer& server) { return std::pair(rendezvousScore(item, server.id), server.id); });
    return servers;
}

/// Assigns every partition of the group from scratch, at most @p maxPartitions to each server.
PartitionOwners placeAllPartitions(const PlacementInput& input, std::uint32_t maxPartitions)
{
    PartitionOwners owners;
    std::map<std::string, std::uint32_t> partitionCounts;
    for (const PartitionAssignment& assignment : input.assignments) {
        for (const PlacementServer& server : rankServers(input, assignment.partition)) {
            if (partitionCounts[server.id] < maxPartitions) {
                ++partitionCounts[server.id];
                owners[assignment.partition] = server.id;
                break;
            }
        }
    }
    return owners;
}

std::uint32_t maxPartitionsPerServer(const PlacementInput& input, double factor)
{
    const std::size_t servers = serversInHomeRegionOrAll(input).size();
    if (std::isinf(factor) || servers == 0) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    const double mean = static_cast<double>(input.assignments.size()) / static_cast<double>(servers);
    return static_cast<std::uint32_t>(std::ceil(factor * mean));
}

PlacementPolicy hashPlacement(double factor)
{
    PlacementPolicy policy;
    policy.assign = [factor](const PlacementInput& input) {
        PartitionOwners owners = placeAllPartitions(input, maxPartitionsPerServer(input, factor));
        std::erase_if(owners, [&](const auto& entry) {
            return std::ranges::find(input.unassigned, entry.first) == input.unassigned.end();
        });
        return owners;
    };
    policy.rebalance = [factor](const PlacementInput& input, std::size_t budget) {
        const PartitionOwners owners = placeAllPartitions(input, maxPartitionsPerServer(input, factor));
        PartitionOwners moves;
        for (const PartitionAssignment& assignment : input.assignments) {
            const auto it = owners.find(assignment.partition);
            if (it != owners.end() && it->second != assignment.owner && moves.size() < budget) {
                moves.insert(*it);
            }
        }
        return moves;
    };
    return policy;
}

} // namespace

PlacementPolicy rendezvousPlacement() { return hashPlacement(std::numeric_limits<double>::infinity()); }

PlacementPolicy boundedLoadPlacement(double factor) { return hashPlacement(factor); }

} // namespace jasminespread
