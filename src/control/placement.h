#pragma once

#include <jasminespread/configuration.h>
#include <jasminespread/group_record.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jasminespread {

/// A server that may be assigned partitions.
struct PlacementServer {
    std::string id;
    std::string region;
    double load = 0; ///< Sum of the loads of its partitions in all groups of the service.
};

/// Input of a placement policy. The same input gives the same placement on every instance.
struct PlacementInput {
    GroupName group;
    std::string homeRegion;
    std::vector<PlacementServer> servers; ///< Live, neither draining nor leaving.
    std::vector<PartitionAssignment> assignments; ///< All partitions of the group.
    std::vector<std::uint32_t> unassigned; ///< Partitions that need an owner.
    std::map<std::uint32_t, std::string> preferredOwners; ///< By partition.
    std::map<std::uint32_t, double> partitionLoads; ///< By partition; an ordinary one counts as 1 and is left out.
    PlacementWeights weights;

    [[nodiscard]] double loadOf(std::uint32_t partition) const
    {
        const auto it = partitionLoads.find(partition);
        return it != partitionLoads.end() ? it->second : 1;
    }
};

/// New owners, by partition.
using PartitionOwners = std::map<std::uint32_t, std::string>;

/// Strategy that distributes partitions over servers. Both functions are deterministic.
struct PlacementPolicy {
    /// Chooses an owner for each unassigned partition; leaves out those that no server can take.
    std::function<PartitionOwners(const PlacementInput&)> assign;
    /// Chooses at most @p budget assigned partitions that should move. Precondition: no partition is unassigned.
    std::function<PartitionOwners(const PlacementInput&, std::size_t budget)> rebalance;
};

/// Returns the policy in use. Unassigned partitions go to the preferred owner if it is a candidate, else to the least
/// loaded server. Partitions move from the most to the least loaded server if the gain exceeds the cost given by the
/// weights. Apart from preferred owners, only servers of the home region are used while it has any.
[[nodiscard]] PlacementPolicy leastLoadedPlacement();

/// Returns the home region of a new group: regions get groups in proportion to their servers of the service.
[[nodiscard]] std::string homeRegionOf(const Configuration& configuration, const Service& service, std::uint32_t group);

/// Returns the servers of the home region, or all servers if it has none.
[[nodiscard]] std::vector<PlacementServer> serversInHomeRegionOrAll(const PlacementInput& input);

} // namespace jasminespread
