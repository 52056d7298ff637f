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
    double weight = 1; ///< Relative to the other targets; 0 gets no requests.

    bool operator==(const RouteTarget&) const = default;
};

/// A route: matches requests of one host whose path begins with a prefix.
struct HostRoute {
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with "/".
    Repeatability repeatability = Repeatability::NonIdempotent;
    Milliseconds timeout {0}; ///< Upper bound on the time until a request is answered.
    Milliseconds latencyObjective {0}; ///< Target latency; an answer within it has its full value.
    int priority = 0; ///< 0 is the highest.
    std::uint32_t maxAttempts = 1; ///< Upper bound on the backend servers that one request is sent to.
    std::vector<RouteTarget> targets; ///< At least one.
    std::vector<std::string> homeRegions; ///< Regions whose servers may get its requests; empty: all.

    /// Whether a server of @p region may get requests of the route. A server whose region is unknown may not get those
    /// of a route with home regions. Thread-safe.
    [[nodiscard]] bool allowsRegion(std::string_view region) const noexcept;
};

struct GatewayService {
    std::string name;
    std::string healthPath;
    std::uint32_t maxConnections = 1; ///< Per backend server, over all gateway instances.
    bool keyed = false; ///< Whether requests carry a key and go to the one server that owns it.
    Milliseconds warmUp {0}; ///< How long a server is slow for keys that it takes over without a handover.
    /// Requests per second that a server tolerates during its slow start; 0: not limited.
    double warmUpRate = 0;
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

/// Finds the route of a request: same host and the longest matching path prefix. Returns nullptr when no route matches.
/// Thread-safe.
[[nodiscard]] const HostRoute* findRoute(
    const GatewayConfiguration& configuration, std::string_view host, std::string_view path);

} // namespace jasminespread
