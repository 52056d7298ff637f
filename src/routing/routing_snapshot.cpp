#include <jasminespread/routing_snapshot.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace jasminespread {

std::uint32_t partitionOf(std::string_view key, std::uint32_t partitions) noexcept
{
    return static_cast<std::uint32_t>(XXH3_64bits(key.data(), key.size()) % partitions);
}

KeyRoute routeKey(const ServiceRoute& service, std::string_view key)
{
    const std::uint32_t hashPartition = partitionOf(key, service.settings.partitions);
    const GroupRoute& group = service.groups[hashPartition % service.groups.size()];
    KeyRoute route {&group, hashPartition, {}};
    if (!group.overrides.empty()) {
        const auto it = group.overrides.find(std::string(key));
        if (it != group.overrides.end()) {
            route.partition = it->second;
        }
    }
    const auto it = group.partitions.find(route.partition);
    if (it != group.partitions.end()) {
        route.owner = it->second;
    }
    return route;
}

} // namespace jasminespread
