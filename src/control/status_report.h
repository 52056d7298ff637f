#pragma once

#include "control/group_authority.h"
#include "control/reduce_context.h"
#include "control/server_leases.h"

#include <map>
#include <string>

namespace jasminespread {

/// Returns the JSON body of the answer to the operators' status request.
[[nodiscard]] std::string statusReport(
    const ReduceContext& context, const std::map<GroupName, GroupAuthority>& groups, const ServerLeases& leases);

} // namespace jasminespread
