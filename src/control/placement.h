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
    std::uint32_t partitions = 0; ///< Partitions of the service that it owns now.
};

/// Everything that a placement policy sees. The same input gives the same placement on every instance.
struct PlacementInput {
    GroupName group;
    std::string homeRegion;
    std::vector<PlacementServer> servers; ///< Live, neither draining nor leaving.
    std::vector<std::uint32_t> ownerless; ///< Partitions that need an owner.
    std::map<std::uint32_t, std::string> preferred; ///< Preferred owner, by partition.
};

/// Chooses an owner for each ownerless partition; leaves out those that no server can take.
using PlacementPolicy = std::function<std::map<std::uint32_t, std::string>(const PlacementInput&)>;

/// The preferred server if it is a candidate, else the server of the home region with the fewest partitions, else
/// the server of another region with the fewest. Ties are broken by rendezvous hash, so that groups differ.
[[nodiscard]] std::map<std::uint32_t, std::string> placeOnLeastLoaded(const PlacementInput& input);

/// Home region of a new group: regions get groups in proportion to their servers of the service.
[[nodiscard]] std::string homeRegionOf(const Configuration& configuration, const Service& service, std::uint32_t group);

} // namespace jasminespread
