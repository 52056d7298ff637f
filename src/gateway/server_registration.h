#pragma once

#include "gateway/listed_server.h"

#include <cstdint>
#include <vector>

namespace jasminespread {

/// What a backend server last wrote about itself to service discovery.
struct ServerRegistration {
    ListedServer server;
    std::uint64_t sequence = 0; ///< Number of the write within the run of the server; 0: not reported.
    /// Another writer replaced what the server wrote: only the id is known, until the server writes again.
    bool isOverwritten = false;

    bool operator==(const ServerRegistration&) const = default;
};

using ServerRegistrations = std::vector<ServerRegistration>;

/// Whether @p a was written before @p b, a registration with the same id: by an earlier run, or earlier in the same
/// run. False if their order is unknown. The start time of a run is read from its server's own clock. Thread-safe.
[[nodiscard]] bool precedes(const ServerRegistration& a, const ServerRegistration& b) noexcept;

} // namespace jasminespread
