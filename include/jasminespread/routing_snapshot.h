#pragma once

#include <jasminespread/configuration.h>
#include <jasminespread/group_record.h>
#include <jasminespread/time.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jasminespread {

struct ServerRoute {
    std::string id;
    std::string address;
    std::string region;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    GrantCheck grantCheck = GrantCheck::Unchecked;
};

struct InstanceRoute {
    std::string id;
    std::uint64_t incarnation = 0;
    std::string region;
    std::string forwardAddress; ///< Address of worker 0, possibly of a relay; worker i has this port plus i.
    std::uint32_t workers = 1;
    bool live = false;
    std::string listedAddress {}; ///< Forward address in the platform's list; connections come from its IP address.
};

/// Owner of one partition: an index into RoutingSnapshot::servers, or none.
struct PartitionRoute {
    std::optional<std::uint32_t> server;
    std::uint64_t token = 0;
};

/// Time until which the local instance holds authority over a group, in nanoseconds of the monotonic clock.
/// Written by the control thread, read by workers right before a dispatch.
using AuthorityDeadline = std::atomic<std::int64_t>;

struct GroupRoute {
    GroupName group;
    std::string homeRegion;
    std::uint64_t term = 0;
    std::uint64_t objectVersion = 0;
    std::optional<std::uint32_t> primary; ///< Index into RoutingSnapshot::instances.
    std::unordered_map<std::uint32_t, PartitionRoute> partitions;
    std::unordered_map<std::string, std::uint32_t> overrides;
    /// Set only when the local instance is the primary.
    std::shared_ptr<const AuthorityDeadline> authorityUntil;
    /// Time from which the local primary executes requests of the group that are not repeatable.
    WallTime servingSince;
};

struct ServiceRoute {
    Service settings;
    std::vector<GroupRoute> groups; ///< Indexed by group; Service::groups entries.
    std::vector<RefusalRule> refusalRules;
};

/// Everything that a worker needs to route a request. Immutable after publication; safe to read from any thread.
struct RoutingSnapshot {
    bool ready = false; ///< False until a configuration is in force.
    std::uint64_t revision = 0; ///< Configuration revision.
    InstanceReference self;
    std::string selfRegion;
    std::uint32_t liveInstances = 1;
    std::vector<ServerRoute> servers;
    std::vector<InstanceRoute> instances;
    std::unordered_map<std::string, ServiceRoute> services;
};

/// Group, partition and owner of a key.
struct KeyRoute {
    const GroupRoute* group = nullptr;
    std::uint32_t partition = 0;
    PartitionRoute owner;
};

/// Returns the partition of @p key before overrides: XXH3 of the key modulo @p partitions. Thread-safe.
[[nodiscard]] std::uint32_t partitionOf(std::string_view key, std::uint32_t partitions) noexcept;
/// Routes @p key within @p service. Precondition: service.groups is not empty. Thread-safe.
[[nodiscard]] KeyRoute routeKey(const ServiceRoute& service, std::string_view key);

} // namespace jasminespread
