#include "control/placement.h"

#include "control/rendezvous.h"

#include <algorithm>
#include <tuple>

namespace jasminespread {
namespace {

PlacementServer* findServer(std::vector<PlacementServer>& servers, const std::string& id)
{
    const auto it = std::ranges::find(servers, id, &PlacementServer::id);
    return it != servers.end() ? &*it : nullptr;
}

PlacementServer* leastLoaded(const PlacementInput& input, std::vector<PlacementServer>& servers)
{
    const std::string item = toText(input.group);
    const auto rank = [&](const PlacementServer& server) {
        return std::tuple(
            server.region != input.homeRegion, server.partitions, rendezvousScore(item, server.id), server.id);
    };
    const auto it = std::ranges::min_element(servers, {}, rank);
    return it != servers.end() ? &*it : nullptr;
}

} // namespace

std::map<std::uint32_t, std::string> placeOnLeastLoaded(const PlacementInput& input)
{
    std::map<std::uint32_t, std::string> owners;
    std::vector<PlacementServer> servers = input.servers;
    for (const std::uint32_t partition : input.ownerless) {
        PlacementServer* server = nullptr;
        const auto preferred = input.preferred.find(partition);
        if (preferred != input.preferred.end()) {
            server = findServer(servers, preferred->second);
        }
        if (server == nullptr) {
            server = leastLoaded(input, servers);
        }
        if (server != nullptr) {
            ++server->partitions;
            owners[partition] = server->id;
        }
    }
    return owners;
}

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
