#pragma once

#include <jasminespread/enum_names.h>
#include <jasminespread/error.h>
#include <jasminespread/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jasminespread {

/// Whether the backend servers of a service check the fencing token and lease of each request.
enum class GrantCheck : std::uint8_t { Checked, Unchecked };

inline constexpr std::array<EnumName<GrantCheck>, 2> grantCheckNames {{
    {GrantCheck::Checked, "checked"},
    {GrantCheck::Unchecked, "unchecked"},
}};

struct Region {
    std::string name;
    std::vector<std::string> failureDomains;

    bool operator==(const Region&) const = default;
};

/// Service-level objectives of a service.
struct Objective {
    double availability = 0.999; ///< Share of requests that are answered `done` or refused by a refusal rule.
    Milliseconds latency {500}; ///< Latency that `latencyShare` of the requests must not exceed.
    double latencyShare = 0.99;

    bool operator==(const Objective&) const = default;
};

/// A class of requests. Callers name it in the header Jasminespread-Class.
struct WorkClass {
    std::string name;
    std::uint32_t weight = 1; ///< Share of a server's queue relative to the other classes.

    bool operator==(const WorkClass&) const = default;
};

struct Service {
    std::string name;
    GrantCheck grantCheck = GrantCheck::Unchecked;
    std::uint32_t partitions = 96;
    std::uint32_t groups = 6;
    std::uint32_t slotsPerServer = 6;
    std::uint32_t connectionsPerServer = 110;
    Milliseconds lease {2000};
    Milliseconds extensionLimit {7'200'000}; ///< Longest extension of grants while the store is unreachable.
    Milliseconds defaultDeadline {10'000};
    std::vector<WorkClass> classes; ///< The first one applies to requests without a class.
    Objective objective;

    bool operator==(const Service&) const = default;
};

struct BackendServer {
    std::string id;
    std::string service;
    std::string region;
    std::string failureDomain;
    std::string address; ///< IP address and port.

    bool operator==(const BackendServer&) const = default;
};

struct PlannedStop {
    std::string server;
    WallTime stopAt; ///< By this time the server owns nothing and has no request in flight.
    Milliseconds drain {30'000}; ///< How long before stopAt the drain begins.

    bool operator==(const PlannedStop&) const = default;
};

/// A key with a dedicated partition.
struct HotKey {
    std::string service;
    std::string key;
    std::string server; ///< Preferred owner; empty leaves the choice to the placement policy.

    bool operator==(const HotKey&) const = default;
};

/// Requests that may be refused once the queue of the owning server reaches a load threshold.
struct RefusalRule {
    std::string service;
    std::string workClass; ///< Empty: every class.
    double refuseAboveLoad = 1.0; ///< Share of the queue in use, from 0 to 1.

    bool operator==(const RefusalRule&) const = default;
};

/// Weights of load imbalance, partition moves and unavailability in the placement policy.
struct PlacementWeights {
    double imbalance = 1;
    double churn = 1;
    double unavailability = 1;
    double churnPerHour = 0.05; ///< Share of partitions that rebalancing may move in an hour.

    bool operator==(const PlacementWeights&) const = default;
};

/// Everything that operators declare: the parsed and checked configuration sheet with later adjustments.
struct Configuration {
    std::string deployment;
    std::uint64_t revision = 0; ///< 0: not accepted yet.
    std::string author;
    std::string changeId;
    std::vector<Region> regions;
    std::vector<Service> services;
    std::vector<BackendServer> servers;
    std::vector<PlannedStop> plannedStops;
    std::vector<HotKey> hotKeys;
    std::vector<RefusalRule> refusalRules;
    PlacementWeights weights;

    bool operator==(const Configuration&) const = default;
};

/// Encodes the JSON text that is stored and sent to peers. Thread-safe.
[[nodiscard]] std::string encodeConfiguration(const Configuration& configuration);
/// Decodes that JSON text; checks types, not the rules of checkConfiguration(). Fails with InvalidInput. Thread-safe.
[[nodiscard]] Result<Configuration> decodeConfiguration(std::string_view text);
/// Checks references, ranges and uniqueness. Returns every error found; empty means valid. Thread-safe.
[[nodiscard]] std::vector<Error> checkConfiguration(const Configuration& configuration);
/// Lists the differences, one line each, in a stable order; empty when equal apart from revision, author and
/// change id. Thread-safe.
[[nodiscard]] std::vector<std::string> diffConfigurations(const Configuration& before, const Configuration& after);

} // namespace jasminespread
