#pragma once

#include "control/group_authority.h"
#include "control/reduce_context.h"

#include <jasminespread/routing_snapshot.h>

#include <map>
#include <memory>

namespace jasminespread {

/// Builds the routing snapshot for the workers. Precondition: context.configuration is not null.
[[nodiscard]] std::shared_ptr<const RoutingSnapshot> buildRouting(
    const ReduceContext& context, const std::map<GroupName, GroupAuthority>& groups);

} // namespace jasminespread
