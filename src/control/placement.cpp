#include "control/placement.h"

#include "control/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace jasminespread {
namespace {

// Part of the mean load of a server by which a move must reduce the difference between two servers, at equal weights.
// Smaller differences are not worth moving the state of a partition.
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
        return std::tuple(server.load, rendezvousScore(item, server.id), server.id);
    };
}

/// The ownerless partitions, heaviest first, so that the light ones even out what the heavy ones leave.
std::vector<std::uint32_t> heaviestFirst(const PlacementInput& input)
{
    std::vector<std::uint32_t> partitions = input.ownerless;
    std::ranges::stable_sort(
        partitions, std::greater<>(), [&](std::uint32_t partition) { return input.loadOf(partition); });
    return partitions;
}

Owners assignToLeastLoaded(const PlacementInput& input)
{
    Owners owners;
    std::vector<PlacementServer> all = input.servers;
    std::vector<PlacementServer> near = serversNearHome(input);
    if (near.empty()) {
        return owners;
    }
    for (const std::uint32_t partition : heaviestFirst(input)) {
        const auto preferred = input.preferred.find(partition);
        if (preferred != input.preferred.end() && findServer(all, preferred->second) != nullptr) {
            owners[partition] = preferred->second;
        } else {
            owners[partition] = std::ranges::min_element(near, {}, loadRank(toText(input.group)))->id;
        }
        if (PlacementServer* server = findServer(near, owners[partition])) {
            server->load += input.loadOf(partition);
        }
    }
    return owners;
}

double meanLoad(const std::vector<PlacementServer>& servers)
{
    double total = 0;
    for (const PlacementServer& server : servers) {
        total += server.load;
    }
    return total / static_cast<double>(servers.size());
}

/// The least difference between two servers, apart from the load to be moved, that is worth a move.
double leastGain(const PlacementInput& input, double mean)
{
    const double cost = (input.weights.churn + input.weights.unavailability) / 2;
    return worthwhileDifference * mean * cost / std::max(input.weights.imbalance, 1e-6);
}

/// The partition on @p from whose move to @p to evens them out best; null when no move is worth it.
const PartitionAssignment* bestMove(const PlacementInput& input, const PlacementServer& from, const PlacementServer& to,
    double least, const Owners& moved)
{
    const PartitionAssignment* best = nullptr;
    const double difference = from.load - to.load;
    double bestLeft = difference;
    for (const PartitionAssignment& assignment : input.assignments) {
        // Operators chose the owner of a partition with a preferred server.
        if (assignment.owner != from.id || input.preferred.contains(assignment.partition)
            || moved.contains(assignment.partition)) {
            continue;
        }
        const double load = input.loadOf(assignment.partition);
        const double left = std::abs(difference - 2 * load);
        if (left < bestLeft && difference - load > least) {
            best = &assignment;
            bestLeft = left;
        }
    }
    return best;
}

Owners moveFromFullestToEmptiest(const PlacementInput& input, std::size_t budget)
{
    Owners moves;
    std::vector<PlacementServer> servers = serversNearHome(input);
    if (servers.empty()) {
        return moves;
    }
    const double least = leastGain(input, meanLoad(servers));
    while (moves.size() < budget) {
        std::ranges::sort(servers, {}, loadRank(toText(input.group)));
        PlacementServer& to = servers.front();
        const PartitionAssignment* moving = nullptr;
        std::size_t from = servers.size();
        // The most loaded server may have no partition of this group.
        while (moving == nullptr && from > 1) {
            --from;
            moving = bestMove(input, servers[from], to, least, moves);
        }
        if (moving == nullptr) {
            break;
        }
        moves[moving->partition] = to.id;
        servers[from].load -= input.loadOf(moving->partition);
        to.load += input.loadOf(moving->partition);
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
