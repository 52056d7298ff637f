#pragma once

#include "settings/field_presence.h"

#include <jasminespread/configuration.h>

#include <concepts>

namespace jasminespread {

[[nodiscard]] constexpr const auto& namesOf(GrantCheck) noexcept { return grantCheckNames; }

/// @name Fields of the configuration
/// Calls visitor(name, member, presence) for each field in the order of the declaration. The sheet reader and writer,
/// the JSON codec, the diff and the test of docs/settings.md use these lists.
/// @{
template <typename T, typename Visitor>
requires std::same_as<std::remove_const_t<T>, Region>
void visitFields(T& value, Visitor&& visitor)
{
    visitor("name", value.name, FieldPresence::Required);
    visitor("failureDomains", value.failureDomains, FieldPresence::Required);
}

template <typename T, typename Visitor>
requires std::same_as<std::remove_const_t<T>, Objective>
void visitFields(T& value, Visitor&& visitor)
{
    visitor("availability", value.availability, FieldPresence::Optional);
    visitor("latency", value.latency, FieldPresence::Optional);
    visitor("latencyShare", value.latencyShare, FieldPresence::Optional);
}

template <typename T, typename Visitor>
requires std::same_as<std::remove_const_t<T>, WorkClass>
void visitFields(T& value, Visitor&& visitor)
{
    visitor("name", value.name, FieldPresence::Required);
    visitor("weight", value.weight, FieldPresence::Optional);
}

template <typename T, typename Visitor>
requires std::same_as<std::remove_const_t<T>, Service>
void visitFields(T& value, Visitor&& visitor)
{
    visitor("name", value.name, FieldPresence::Required);
    visitor("grantCheck", value.grantCheck, FieldPresence::Optional);
    visitor("partitions", value.partitions, FieldPresence::Optional);
    visitor("groups", value.groups, FieldPresence::Optional);
    visitor("slotsPerServer", value.slotsPerServer, FieldPresence::Optional);
    visitor("connectionsPerServer", value.connectionsPerServer, FieldPresence::Optional);
    visitor("lease", value.lease, FieldPresence::Optional);
    visitor("extensionLimit", value.extensionLimit, FieldPresence::Optional);
    visitor("defaultDeadline", value.defaultDeadline, FieldPresence::Optional);
    visitor("classes", value.classes, FieldPresence::Optional);
    visitor("objective", value.objective, FieldPresence::Optional);
}

template <typename T, typename Visitor>
requires std::same_as<std::remove_const_t<T>, BackendServer>
void visitFields(T& value, Visitor&& visitor)
{
    visitor("id", value.id, FieldPresence::Required);
    visitor("service", value.service, FieldPresence::Required);
    visitor("region", value.region, FieldPresence::Required);
    visitor("failureDomain", value.failureDomain, FieldPresence::Required);
    visitor("address", value.address, FieldPresence::Required);
}

template <typename T, typename Visitor>
requires std::same_as<std::remove_const_t<T>, PlannedStop>
void visitFields(T& value, Visitor&& visitor)
{
    visitor("server", value.server, FieldPresence::Required);
    visitor("stopAt", value.stopAt, FieldPresence::Required);
    visitor("drain", value.drain, FieldPresence::Optional);
}

template <typename T, typename Visitor>
requires std::same_as<std::remove_const_t<T>, HotKey>
void visitFields(T& value, Visitor&& visitor)
{
    visitor("service", value.service, FieldPresence::Required);
    visitor("key", value.key, FieldPresence::Required);
    visitor("server", value.server, FieldPresence::Optional);
}

template <typename T, typename Visitor>
requires std::same_as<std::remove_const_t<T>, RefusalRule>
void visitFields(T& value, Visitor&& visitor)
{
    visitor("service", value.service, FieldPresence::Required);
    visitor("workClass", value.workClass, FieldPresence::Optional);
    visitor("refuseAboveLoad", value.refuseAboveLoad, FieldPresence::Required);
}

template <typename T, typename Visitor>
requires std::same_as<std::remove_const_t<T>, PlacementWeights>
void visitFields(T& value, Visitor&& visitor)
{
    visitor("imbalance", value.imbalance, FieldPresence::Optional);
    visitor("churn", value.churn, FieldPresence::Optional);
    visitor("unavailability", value.unavailability, FieldPresence::Optional);
    visitor("churnPerHour", value.churnPerHour, FieldPresence::Optional);
}

template <typename T, typename Visitor>
requires std::same_as<std::remove_const_t<T>, Configuration>
void visitFields(T& value, Visitor&& visitor)
{
    visitor("deployment", value.deployment, FieldPresence::Required);
    visitor("revision", value.revision, FieldPresence::SystemAssigned);
    visitor("author", value.author, FieldPresence::Optional);
    visitor("changeId", value.changeId, FieldPresence::SystemAssigned);
    visitor("regions", value.regions, FieldPresence::Required);
    visitor("services", value.services, FieldPresence::Required);
    visitor("servers", value.servers, FieldPresence::Optional);
    visitor("plannedStops", value.plannedStops, FieldPresence::Optional);
    visitor("hotKeys", value.hotKeys, FieldPresence::Optional);
    visitor("refusalRules", value.refusalRules, FieldPresence::Optional);
    visitor("weights", value.weights, FieldPresence::Optional);
}
/// @}

} // namespace jasminespread
