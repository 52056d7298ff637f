#pragma once

#include <jasminespread/configuration.h>

#include <vector>

namespace jasminespread {

/// Checks what may not change between two revisions, because instances with the old and the new one would then send
/// requests for a key to different servers:
/// - the numbers of partitions and groups of a service;
/// - the service and the address of a server.
/// Returns every error; empty means that @p after may follow @p before. Thread-safe.
[[nodiscard]] std::vector<Error> checkTransition(const Configuration& before, const Configuration& after);

} // namespace jasminespread
