#pragma once

#include <jasminespread/configuration.h>
#include <jasminespread/group_record.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jasminespread {

/// A server that may get partitions.
struct PlacementServer {
    std::string id;
    std::string region;
    double load = 0; ///< Sum over its partitions of the service, in all groups.
};

/// Everything that a placement policy sees. The same input gives the same placement on every instance.
struct PlacementInput {
    GroupName group;
    std::string homeRegion;
    std::vector<PlacementServer> servers; ///< Live, neither draining nor leaving.
    std::vector<PartitionAssignment> assignments; ///< The whole group.
    std::vector<std::uint32_t> unassigned; ///< Partitions that need an owner.
    std::map<std::uint32_t, std::string> preferredOwners; ///< Preferred owner, by partition.
    std::map<std::uint32_t, double>
        partitionLoads; ///< Loads of partitions that differ from 1, the load of an ordinary one.
    PlacementWeights weights;

    [[nodiscard]] double loadOf(std::uint32_t partition) const
    {
        const auto it = partitionLoads.find(partition);
        return it != partitionLoads.end() ? it->second : 1;
    }
};

/// New owners by partition.
using PartitionOwners = std::map<std::uint32_t, std::string>;

/// How partitions are spread over servers. Both hooks are deterministic.
struct PlacementPolicy {
    /// Chooses an owner for each ownerless partition; leaves out those that no server can take.
    std::function<PartitionOwners(const PlacementInput&)> assign;
    /// Chooses owned partitions that should move, at most @p budget of them. Precondition: no partition is ownerless.
    std::function<PartitionOwners(const PlacementInput&, std::size_t budget)> rebalance;
};

/// The policy in use. Ownerless partitions go to the preferred server if it is a candidate, else to the server with the
/// least load. Partitions move from the most to the least loaded server when the weights say that it is worth it. Only
/// servers of the home region are used while there are any.
[[nodiscard]] PlacementPolicy leastLoadedPlacement();

/// Home region of a new group: regions get groups in proportion to their servers of the service.
[[nodiscard]] std::string homeRegionOf(const Configuration& configuration, const Service& service, std::uint32_t group);

/// The servers of the home region, or all if there is none.
[[nodiscard]] std::vector<PlacementServer> serversInHomeRegionOrAll(const PlacementInput& input);

} // namespace jasminespread
