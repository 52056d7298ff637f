#pragma once

#include "control/reduce_context.h"
#include "control/server_leases.h"

#include <string>

namespace jasminespread {

struct OperatorDeclarations;

/// @name Assignment rules for backend servers
/// @{
/// True when the server must give up its partitions: it is draining, is listed as leaving, is no longer configured, or
/// its planned stop is due within the drain time or was less than a minute ago.
[[nodiscard]] bool mustReleasePartitions(
    const ReduceContext& context, const ServerLeases& leases, const std::string& server);
/// True when the platform lists the server as gone or an operator has declared it gone.
[[nodiscard]] bool isKnownGone(
    const ReduceContext& context, const OperatorDeclarations& declarations, const std::string& server);
/// True when the server may get new partitions.
[[nodiscard]] bool mayReceivePartitions(const ReduceContext& context, const ServerLeases& leases,
    const OperatorDeclarations& declarations, const std::string& server);
/// @}

} // namespace jasminespread
