#include "control/placement_baselines.h"

#include "control/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jasminespread {
namespace {

std::vector<PlacementServer> ranked(const PlacementInput& input, std::uint32_t partition)
{
    std::vector<PlacementServer> servers = serversNearHome(input);
    const std::string item = input.group.service + "/" + std::to_string(partition);
    std::ranges::sort(servers, std::greater<>(),
        [&](const PlacementServer& server) { return std::pair(rendezvousScore(item, server.id), server.id); });
    return servers;
}

/// Places every partition of the group anew, with at most @p capacity partitions per server.
Owners placeAll(const PlacementInput& input, std::uint32_t capacity)
{
    Owners owners;
    std::map<std::string, std::uint32_t> loads;
    for (const PartitionAssignment& assignment : input.assignments) {
        for (const PlacementServer& server : ranked(input, assignment.partition)) {
            if (loads[server.id] < capacity) {
                ++loads[server.id];
                owners[assignment.partition] = server.id;
                break;
            }
        }
    }
    return owners;
}

std::uint32_t capacityOf(const PlacementInput& input, double factor)
{
    const std::size_t servers = serversNearHome(input).size();
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
        Owners owners = placeAll(input, capacityOf(input, factor));
        std::erase_if(owners, [&](const auto& entry) {
            return std::ranges::find(input.ownerless, entry.first) == input.ownerless.end();
        });
        return owners;
    };
    policy.rebalance = [factor](const PlacementInput& input, std::size_t budget) {
        const Owners owners = placeAll(input, capacityOf(input, factor));
        Owners moves;
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
