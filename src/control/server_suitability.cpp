#include "control/server_suitability.h"

#include "control/group_ownership.h"
#include "control/membership.h"

#include <algorithm>

namespace jasminespread {
namespace {

// A server that restarts after its planned stop gets partitions again after this time.
constexpr Milliseconds plannedStopGrace {60'000};

bool plannedStopNear(const ReduceContext& context, const std::string& server)
{
    return std::ranges::any_of(context.configuration->plannedStops, [&](const PlannedStop& stop) {
        return stop.server == server && context.wall >= stop.stopAt - stop.drain
            && context.wall < stop.stopAt + plannedStopGrace;
    });
}

bool declared(const Configuration& configuration, const std::string& server)
{
    return std::ranges::find(configuration.servers, server, &BackendServer::id) != configuration.servers.end();
}

} // namespace

bool mustLeave(const ReduceContext& context, const ServerLeases& leases, const std::string& server)
{
    return leases.health(server).state == ServerState::Draining
        || context.membership.listedBackend(server) == ListedState::Leaving || plannedStopNear(context, server)
        || !declared(*context.configuration, server);
}

bool declaredGone(const ReduceContext& context, const Declarations& declarations, const std::string& server)
{
    return context.membership.listedBackend(server) == ListedState::Gone || declarations.goneServers.contains(server);
}

bool usable(const ReduceContext& context, const ServerLeases& leases, const Declarations& declarations,
    const std::string& server)
{
    return !leases.health(server).lost && !mustLeave(context, leases, server)
        && !declaredGone(context, declarations, server);
}

} // namespace jasminespread
