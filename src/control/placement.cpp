#include "control/placement.h"

#include "control/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace jasminespread {
namespace {

// Part of the mean number of partitions per server by which a move must reduce the difference between two servers,
// at equal weights. Smaller differences are not worth moving the state of a partition.
constexpr double worthwhileDifference = 0.1;

PlacementServer* findServer(std::vector<PlacementServer>& servers, const std::string& id)
{
    const auto it = std::ranges::find(servers, id, &PlacementServer::id);
    return it != servers.end() ? &*it : nullptr;
}

/// Orders servers by their load; ties by rendezvous hash, so that groups differ.
auto loadRank(const std::string& item)
{
    return [item](const PlacementServer& server) {
        return std::tuple(server.partitions, rendezvousScore(item, server.id), server.id);
    };
}

Owners assignToLeastLoaded(const PlacementInput& input)
{
    Owners owners;
    std::vector<PlacementServer> all = input.servers;
    std::vector<PlacementServer> near = serversNearHome(input);
    if (near.empty()) {
        return owners;
    }
    for (const std::uint32_t partition : input.ownerless) {
        const auto preferred = input.preferred.find(partition);
        if (preferred != input.preferred.end() && findServer(all, preferred->second) != nullptr) {
            owners[partition] = preferred->second;
        } else {
            owners[partition] = std::ranges::min_element(near, {}, loadRank(toText(input.group)))->id;
        }
        if (PlacementServer* server = findServer(near, owners[partition])) {
            ++server->partitions;
        }
    }
    return owners;
}

bool worthMoving(
    const PlacementInput& input, const std::vector<PlacementServer>& servers, std::uint32_t from, std::uint32_t to)
{
    if (from <= to + 1) {
        return false;
    }
    double total = 0;
    for (const PlacementServer& server : servers) {
        total += server.partitions;
    }
    const double mean = total / static_cast<double>(servers.size());
    const double gain = input.weights.imbalance * (from - to - 1) / mean;
    const double cost = worthwhileDifference * (input.weights.churn + input.weights.unavailability) / 2;
    return gain > cost;
}

/// A partition of the group on @p server that may move: not one that operators placed.
const PartitionAssignment* movablePartition(const PlacementInput& input, const std::string& server, const Owners& moved)
{
    const auto it = std::ranges::find_if(input.assignments, [&](const PartitionAssignment& assignment) {
        return assignment.owner == server && !input.preferred.contains(assignment.partition)
            && !moved.contains(assignment.partition);
    });
    return it != input.assignments.end() ? &*it : nullptr;
}

Owners moveFromFullestToEmptiest(const PlacementInput& input, std::size_t budget)
{
    Owners moves;
    std::vector<PlacementServer> servers = serversNearHome(input);
    while (moves.size() < budget) {
        std::ranges::sort(servers, {}, loadRank(toText(input.group)));
        const PartitionAssignment* moving = nullptr;
        std::size_t from = servers.size();
        while (moving == nullptr && from > 1) {
            --from;
            if (!worthMoving(input, servers, servers[from].partitions, servers.front().partitions)) {
                return moves;
            }
            moving = movablePartition(input, servers[from].id, moves);
        }
        if (moving == nullptr) {
            return moves;
        }
        moves[moving->partition] = servers.front().id;
        --servers[from].partitions;
        ++servers.front().partitions;
    }
    return moves;
}

} // namespace

std::vector<PlacementServer> serversNearHome(const PlacementInput& input)
{
    std::vector<PlacementServer> near;
    std::ranges::copy_if(input.servers, std::back_inserter(near),
        [&](const PlacementServer& server) { return server.region == input.homeRegion; });
    return near.empty() ? input.servers : near;
}

PlacementPolicy leastLoadedPlacement() { return {assignToLeastLoaded, moveFromFullestToEmptiest}; }

std::string homeRegionOf(const Configuration& configuration, const Service& service, std::uint32_t group)
{
    std::map<std::string, std::uint32_t> serversOf;
    std::uint32_t servers = 0;
    for (const BackendServer& server : configuration.servers) {
        if (server.service == service.name) {
            ++serversOf[server.region];
            ++servers;
        }
    }
    if (servers == 0) {
        return configuration.regions.empty() ? "" : configuration.regions.front().name;
    }
    // The middle of the group's share, in servers, falls into one region's stretch of the list of servers.
    const std::uint64_t position = (2ULL * group + 1) * servers / (2ULL * service.groups);
    std::uint64_t end = 0;
    std::string last;
    for (const auto& [region, count] : serversOf) {
        end += count;
        last = region;
        if (position < end) {
            break;
        }
    }
    return last;
}

} // namespace jasminespread
