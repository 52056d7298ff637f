#include "control/server_suitability.h"

#include "control/group_ownership.h"
#include "control/membership.h"

#include <algorithm>

namespace jasminespread {
namespace {

// A server gets no partitions for this time after its planned stop, in which it is expected to restart.
constexpr Milliseconds plannedStopGrace {60'000};

bool isNearPlannedStop(const ReduceContext& context, const std::string& server)
{
    return std::ranges::any_of(context.configuration->plannedStops, [&](const PlannedStop& stop) {
        return stop.server == server && context.wall >= stop.stopAt - stop.drain
            && context.wall < stop.stopAt + plannedStopGrace;
    });
}

bool isConfigured(const Configuration& configuration, const std::string& server)
{
    return std::ranges::find(configuration.servers, server, &BackendServer::id) != configuration.servers.end();
}

} // namespace

bool mustReleasePartitions(const ReduceContext& context, const ServerLeases& leases, const std::string& server)
{
    return leases.health(server).state == ServerState::Draining
        || context.membership.listedBackendState(server) == ListedState::Leaving || isNearPlannedStop(context, server)
        || !isConfigured(*context.configuration, server);
}

bool isKnownGone(const ReduceContext& context, const OperatorDeclarations& declarations, const std::string& server)
{
    return context.membership.listedBackendState(server) == ListedState::Gone
        || declarations.goneServers.contains(server);
}

bool mayReceivePartitions(const ReduceContext& context, const ServerLeases& leases,
    const OperatorDeclarations& declarations, const std::string& server)
{
    return !leases.health(server).lost && !mustReleasePartitions(context, leases, server)
        && !isKnownGone(context, declarations, server);
}

} // namespace jasminespread
