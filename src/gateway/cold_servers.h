#pragma once

#include "gateway/listed_server.h"

#include <jasminespread/time.h>

#include <cstdint>
#include <map>
#include <vector>

namespace jasminespread {

/// What all instances together may send to a server during its slow start, in any second: the rate that the server
/// tolerates, times `rateFactor`, plus `slack`.
struct ColdServerLimits {
    double rateFactor = 1;
    double slack = 0;
};

/// How many requests the receiver may send to one run of a cold server in any second.
struct ColdPermit {
    ServerIdentity server;
    std::uint32_t requests = 0;

    bool operator==(const ColdPermit&) const = default;
};

using ColdPermits = std::vector<ColdPermit>;
/// Requests that an instance sent, or would have sent, to servers that it regards as cold.
using ColdDemands = std::map<ServerIdentity, std::uint32_t>;

/// Validity of a permit, from when its receiver sent the report that the leader has answered with it.
inline constexpr Milliseconds coldPermitTime {1000};

} // namespace jasminespread
