#include "control/placement.h"

#include "control/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace jasminespread {
namespace {

// Minimum gain of a move at equal weights, as a fraction of the mean server load. Smaller differences do not justify
// moving the state of a partition.
constexpr double minRelativeGain = 0.1;

PlacementServer* findServer(std::vector<PlacementServer>& servers, const std::string& id)
{
    const auto it = std::ranges::find(servers, id, &PlacementServer::id);
    return it != servers.end() ? &*it : nullptr;
}

/// Sort key: servers by load; equal loads by rendezvous hash, so that groups choose different servers.
auto loadOrder(const std::string& item)
{
    return [item](const PlacementServer& server) {
        return std::tuple(server.load, rendezvousScore(item, server.id), server.id);
    };
}

/// Returns the unassigned partitions, heaviest first, so that the light ones balance what the heavy ones leave uneven.
std::vector<std::uint32_t> heaviestFirst(const PlacementInput& input)
{
    std::vector<std::uint32_t> partitions = input.unassigned;
    std::ranges::stable_sort(
        partitions, std::greater<>(), [&](std::uint32_t partition) { return input.loadOf(partition); });
    return partitions;
}

PartitionOwners assignToLeastLoaded(const PlacementInput& input)
{
    PartitionOwners owners;
    std::vector<PlacementServer> all = input.servers;
    std::vector<PlacementServer> nearby = serversInHomeRegionOrAll(input);
    if (nearby.empty()) {
        return owners;
    }
    for (const std::uint32_t partition : heaviestFirst(input)) {
        const auto preferred = input.preferredOwners.find(partition);
        if (preferred != input.preferredOwners.end() && findServer(all, preferred->second) != nullptr) {
            owners[partition] = preferred->second;
        } else {
            owners[partition] = std::ranges::min_element(nearby, {}, loadOrder(toText(input.group)))->id;
        }
        if (PlacementServer* server = findServer(nearby, owners[partition])) {
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

/// Returns how much the load difference between two servers must exceed the load to be moved.
double minimumGain(const PlacementInput& input, double mean)
{
    const double cost = (input.weights.churn + input.weights.unavailability) / 2;
    return minRelativeGain * mean * cost / std::max(input.weights.imbalance, 1e-6);
}

/// Returns the partition on @p from whose move to @p to balances the two best; null if no move exceeds @p minGain.
const PartitionAssignment* bestMove(const PlacementInput& input, const PlacementServer& from, const PlacementServer& to,
    double minGain, const PartitionOwners& moved)
{
    const PartitionAssignment* best = nullptr;
    const double difference = from.load - to.load;
    double smallestDifference = difference;
    for (const PartitionAssignment& assignment : input.assignments) {
        // Operators chose the owner of a partition that has a preferred owner.
        if (assignment.owner != from.id || input.preferredOwners.contains(assignment.partition)
            || moved.contains(assignment.partition)) {
            continue;
        }
        const double load = input.loadOf(assignment.partition);
        const double differenceAfter = std::abs(difference - 2 * load);
        if (differenceAfter < smallestDifference && difference - load > minGain) {
            best = &assignment;
            smallestDifference = differenceAfter;
        }
    }
    return best;
}

PartitionOwners moveFromMostToLeastLoaded(const PlacementInput& input, std::size_t budget)
{
    PartitionOwners moves;
    std::vector<PlacementServer> servers = serversInHomeRegionOrAll(input);
    if (servers.empty()) {
        return moves;
    }
    const double minGain = minimumGain(input, meanLoad(servers));
    while (moves.size() < budget) {
        std::ranges::sort(servers, {}, loadOrder(toText(input.group)));
        PlacementServer& to = servers.front();
        const PartitionAssignment* move = nullptr;
        std::size_t from = servers.size();
        // The most loaded servers may have no movable partition of this group.
        while (move == nullptr && from > 1) {
            --from;
            move = bestMove(input, servers[from], to, minGain, moves);
        }
        if (move == nullptr) {
            break;
        }
        moves[move->partition] = to.id;
        servers[from].load -= input.loadOf(move->partition);
        to.load += input.loadOf(move->partition);
    }
    return moves;
}

} // namespace

std::vector<PlacementServer> serversInHomeRegionOrAll(const PlacementInput& input)
{
    std::vector<PlacementServer> nearby;
    std::ranges::copy_if(input.servers, std::back_inserter(nearby),
        [&](const PlacementServer& server) { return server.region == input.homeRegion; });
    return nearby.empty() ? input.servers : nearby;
}

PlacementPolicy leastLoadedPlacement() { return {assignToLeastLoaded, moveFromMostToLeastLoaded}; }

std::string homeRegionOf(const Configuration& configuration, const Service& service, std::uint32_t group)
{
    std::map<std::string, std::uint32_t> serversByRegion;
    std::uint32_t servers = 0;
    for (const BackendServer& server : configuration.servers) {
        if (server.service == service.name) {
            ++serversByRegion[server.region];
            ++servers;
        }
    }
    if (servers == 0) {
        return configuration.regions.empty() ? "" : configuration.regions.front().name;
    }
    // Divide the list of servers, ordered by region, equally among the groups. The region of the server in the middle
    // of the group's share is its home.
    const std::uint64_t position = (2ULL * group + 1) * servers / (2ULL * service.groups);
    std::uint64_t end = 0;
    std::string last;
    for (const auto& [region, count] : serversByRegion) {
        end += count;
        last = region;
        if (position < end) {
            break;
        }
    }
    return last;
}

} // namespace jasminespread
