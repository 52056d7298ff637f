#pragma once

#include "control/group_authority.h"
#include "control/reduce_context.h"
#include "control/server_leases.h"

#include <map>
#include <string>

namespace jasminespread {

/// JSON body of the operators' status request.
[[nodiscard]] std::string statusReport(
    const ReduceContext& context, const std::map<GroupName, GroupAuthority>& groups, const ServerLeases& leases);

} // namespace jasminespread
