#pragma once

#include "control/reduce_context.h"
#include "control/server_leases.h"

#include <string>

namespace jasminespread {

struct OperatorDeclarations;

/// @name What may be done with a backend server
/// @{
/// True when the server must give up its partitions: it drains, is listed as leaving, is no longer declared, or a
/// planned stop is near.
[[nodiscard]] bool mustReleasePartitions(
    const ReduceContext& context, const ServerLeases& leases, const std::string& server);
/// True when the platform lists the server as gone or an operator declared it gone.
[[nodiscard]] bool isKnownGone(
    const ReduceContext& context, const OperatorDeclarations& declarations, const std::string& server);
/// True when the server may get partitions.
[[nodiscard]] bool mayReceivePartitions(const ReduceContext& context, const ServerLeases& leases,
    const OperatorDeclarations& declarations, const std::string& server);
/// @}

} // namespace jasminespread
