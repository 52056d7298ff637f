#pragma once

#include <jasminespread/enum_names.h>
#include <jasminespread/time.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jasminespread {

/// Whether a request may run more than once.
enum class Repeatability : std::uint8_t { Idempotent, NonIdempotent };

inline constexpr std::array<EnumName<Repeatability>, 2> repeatabilityNames {{
    {Repeatability::Idempotent, "idempotent"},
    {Repeatability::NonIdempotent, "non-idempotent"},
}};

/// One service of a route and its share of the requests.
struct RouteTarget {
    std::string service;
    double weight = 1; ///< Relative to the other targets; 0 gets nothing.
};

/// Requests of one host whose path begins with a prefix.
struct HostRoute {
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with "/".
    Repeatability repeatability = Repeatability::NonIdempotent;
    Milliseconds timeout {0}; ///< Longest time a caller is kept waiting.
    Milliseconds latencyObjective {0}; ///< Latency within which an answer has its full worth.
    int priority = 0; ///< 0 is the most important.
    std::uint32_t maxAttempts = 1; ///< Backend servers that one request may be sent to.
    std::vector<RouteTarget> targets; ///< At least one.
};

struct GatewayService {
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 1; ///< Per backend server, of all callers together.
    bool keyed = false; ///< Each key is served by its single owner.
    Milliseconds warmUp {0}; ///< How long keys are slow that arrive without a handover.
};

struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16'384;
    std::uint64_t maxBodyBytes = 1'048'576;
    Milliseconds headerTimeout {3000};
    Milliseconds idleTimeout {15'000};
};

/// One version of the routes. Immutable after it is built.
struct GatewayConfiguration {
    std::uint64_t version = 0;
    std::map<std::string, GatewayService> services; ///< By name.
    std::vector<HostRoute> routes;
    CallerLimits limits;
};

/// Finds the route of a request: same host, longest prefix that begins the path. Nothing matches: nullptr. Thread-safe.
[[nodiscard]] const HostRoute* findRoute(
    const GatewayConfiguration& configuration, std::string_view host, std::string_view path);

} // namespace jasminespread
