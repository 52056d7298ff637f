#include "control/status_report.h"

#include "control/membership.h"

#include <boost/json.hpp>

#include <algorithm>

namespace jasminespread {
namespace {

namespace json = boost::json;

std::int64_t millisecondsLeft(MonotonicTime until, MonotonicTime now)
{
    return std::max<std::int64_t>(0, std::chrono::duration_cast<Milliseconds>(until - now).count());
}

json::array describePeers(const ReduceContext& context)
{
    json::array rows;
    for (const PeerInfo& peer : context.membership.peers()) {
        rows.push_back({{"id", peer.entry.id}, {"incarnation", peer.incarnation}, {"region", peer.entry.region},
            {"live", peer.live}, {"ready", peer.ready}, {"leaving", peer.leaving},
            {"revision", peer.configurationRevision}});
    }
    return rows;
}

json::object describeGroup(const ReduceContext& context, const GroupAuthority& group)
{
    const GroupRecord& record = *group.record();
    json::array owners;
    for (const PartitionAssignment& assignment : record.partitions) {
        owners.push_back({{"id", assignment.partition}, {"owner", assignment.owner}, {"token", assignment.token}});
    }
    return {{"group", toText(record.group)}, {"homeRegion", record.homeRegion}, {"term", record.term},
        {"version", group.version()}, {"primary", record.primary.id},
        {"standby", record.standby ? json::value(record.standby->id) : json::value(nullptr)},
        {"authorityLeftMs", millisecondsLeft(group.authorityUntil(), context.now)}, {"owners", std::move(owners)}};
}

std::string_view describeHealth(const ServerLeases::ServerHealth& health)
{
    if (health.lost) {
        return "lost";
    }
    return health.contacted ? enumName(serverStateNames, health.state) : "not-contacted";
}

json::array describeServers(const ReduceContext& context, const ServerLeases& leases)
{
    json::array rows;
    for (const BackendServer& server : context.configuration->servers) {
        rows.push_back(
            {{"id", server.id}, {"service", server.service}, {"state", describeHealth(leases.health(server.id))},
                {"leaseLeftMs", millisecondsLeft(leases.latestGrantEnd(server.id), context.now)}});
    }
    return rows;
}

} // namespace

std::string statusReport(
    const ReduceContext& context, const std::map<GroupName, GroupAuthority>& groups, const ServerLeases& leases)
{
    json::array groupRows;
    for (const auto& [name, group] : groups) {
        if (group.record() != nullptr) {
            groupRows.push_back(describeGroup(context, group));
        }
    }
    const bool configured = context.configuration != nullptr;
    const json::object status {
        {"instance", context.self.id},
        {"incarnation", context.self.incarnation},
        {"revision", configured ? context.configuration->revision : 0},
        {"peers", describePeers(context)},
        {"groups", std::move(groupRows)},
        {"servers", configured ? describeServers(context, leases) : json::array {}},
    };
    return json::serialize(status);
}

} // namespace jasminespread
