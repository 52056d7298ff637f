#include "control/routing_builder.h"

#include "control/membership.h"

#include <algorithm>

namespace jasminespread {
namespace {

using Indexes = std::unordered_map<std::string, std::uint32_t>;

Indexes addServers(const Configuration& configuration, RoutingSnapshot& snapshot)
{
    std::unordered_map<std::string, const Service*> services;
    for (const Service& service : configuration.services) {
        services[service.name] = &service;
    }
    Indexes indexes;
    for (const BackendServer& server : configuration.servers) {
        const auto service = services.find(server.service);
        if (service == services.end()) {
            continue;
        }
        indexes[server.id] = static_cast<std::uint32_t>(snapshot.servers.size());
        snapshot.servers.push_back({server.id, server.address, server.region, service->second->slotsPerServer,
            service->second->connectionsPerServer, service->second->grantCheck});
    }
    return indexes;
}

Indexes addInstances(const ReduceContext& context, RoutingSnapshot& snapshot)
{
    const InstanceSettings& settings = context.settings;
    Indexes indexes {{context.self.id, 0}};
    snapshot.instances.push_back(
        {context.self.id, context.self.incarnation, settings.region, settings.forwardAddress, settings.workers, true});
    for (const PeerInfo& peer : context.membership.peers()) {
        indexes[peer.entry.id] = static_cast<std::uint32_t>(snapshot.instances.size());
        const auto override = settings.addressOverrides.find(peer.entry.id);
        const bool overridden = override != settings.addressOverrides.end() && !override->second.forward.empty();
        snapshot.instances.push_back({peer.entry.id, peer.incarnation, peer.entry.region,
            overridden ? override->second.forward : peer.entry.forwardAddress, peer.workers, peer.live,
            peer.entry.forwardAddress});
    }
    return indexes;
}

std::optional<std::uint32_t> indexOf(const Indexes& indexes, const std::string& id)
{
    const auto it = indexes.find(id);
    return it != indexes.end() ? std::optional(it->second) : std::nullopt;
}

GroupRoute buildGroup(const GroupName& name, const GroupAuthority& group, const Indexes& servers,
    const Indexes& instances, const RoutingSnapshot& snapshot)
{
    GroupRoute route;
    route.group = name;
    const GroupRecord* record = group.publishedRecord();
    if (record == nullptr) {
        return route;
    }
    route.homeRegion = record->homeRegion;
    route.term = record->term;
    route.objectVersion = group.publishedVersion();
    route.primary = indexOf(instances, record->primary.id);
    // An instance that has restarted since it became primary is not the primary.
    if (route.primary && snapshot.instances[*route.primary].incarnation != record->primary.incarnation) {
        route.primary.reset();
    }
    for (const PartitionAssignment& assignment : record->partitions) {
        PartitionRoute& partition = route.partitions[assignment.partition];
        partition.token = assignment.token;
        if (!group.blocksDispatch(assignment.owner)) {
            partition.server = indexOf(servers, assignment.owner);
        }
    }
    route.overrides.insert(record->overrides.begin(), record->overrides.end());
    route.authorityUntil = group.sharedDeadline();
    route.servingSince = group.servingSince();
    return route;
}

} // namespace

std::shared_ptr<const RoutingSnapshot> buildRouting(
    const ReduceContext& context, const std::map<GroupName, GroupAuthority>& groups)
{
    const Configuration& configuration = *context.configuration;
    const std::shared_ptr<RoutingSnapshot> snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->ready = true;
    snapshot->revision = configuration.revision;
    snapshot->self = context.self;
    snapshot->selfRegion = context.settings.region;
    const Indexes servers = addServers(configuration, *snapshot);
    const Indexes instances = addInstances(context, *snapshot);
    snapshot->liveInstances
        = static_cast<std::uint32_t>(std::ranges::count_if(snapshot->instances, &InstanceRoute::live));
    for (const Service& service : configuration.services) {
        ServiceRoute& route = snapshot->services[service.name];
        route.settings = service;
        for (std::uint32_t index = 0; index < service.groups; ++index) {
            const GroupName name {service.name, index};
            route.groups.push_back(buildGroup(name, groups.at(name), servers, instances, *snapshot));
        }
        std::ranges::copy_if(configuration.refusalRules, std::back_inserter(route.refusalRules),
            [&](const RefusalRule& rule) { return rule.service == service.name; });
    }
    return snapshot;
}

} // namespace jasminespread
