#pragma once

#include <jasminespread/configuration.h>

#include <vector>

namespace jasminespread {

/// Checks for changes that are not allowed between two revisions, because instances with the old and the new revision
/// would send requests for a key to different servers, or a new primary would not wait for all valid leases:
/// - another number of partitions or groups of a service;
/// - a shorter lease or extension limit of a service;
/// - another service or address of a server.
/// Returns every error; empty means that @p after may follow @p before. Thread-safe.
[[nodiscard]] std::vector<Error> checkTransition(const Configuration& before, const Configuration& after);

} // namespace jasminespread
