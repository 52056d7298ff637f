#pragma once

#include "settings/field_presence.h"

#include <jasminespread/burn_report.h>

#include <boost/json.hpp>

#include <concepts>
#include <optional>
#include <string>

namespace jasminespread {

[[nodiscard]] constexpr const auto& namesOf(ObjectiveKind) noexcept { return objectiveKindNames; }
[[nodiscard]] constexpr const auto& namesOf(BurnState) noexcept { return burnStateNames; }

/// @name Optional numbers
/// An absent number is encoded as JSON null. These functions must be declared before config/json_fields.h is included,
/// because its templates find only functions declared before them. All functions are thread-safe.
/// @{
[[nodiscard]] inline boost::json::value encodeJson(const std::optional<double>& value)
{
    return value ? boost::json::value(*value) : boost::json::value(nullptr);
}

inline bool decodeJson(
    const boost::json::value& json, const std::string& path, std::optional<double>& value, std::string& error)
{
    value.reset();
    if (json.is_null()) {
        return true;
    }
    if (!json.is_number()) {
        if (error.empty()) {
            error = "field \"" + path + "\" is neither a number nor null";
        }
        return false;
    }
    value = json.to_number<double>();
    return true;
}
/// @}

/// @name Fields of the burn report
/// Calls visitor(name, member, presence) for each field of the JSON object.
/// @{
template <typename T, typename Visitor>
requires std::same_as<std::remove_const_t<T>, BurnWindow>
void visitFields(T& value, Visitor&& visitor)
{
    visitor("length", value.length, FieldPresence::Required);
    visitor("covered", value.covered, FieldPresence::Required);
    visitor("requests", value.requests, FieldPresence::Required);
    visitor("bad", value.bad, FieldPresence::Required);
    visitor("burnRate", value.burnRate, FieldPresence::Required);
}

template <typename T, typename Visitor>
requires std::same_as<std::remove_const_t<T>, ObjectiveReport>
void visitFields(T& value, Visitor&& visitor)
{
    visitor("kind", value.kind, FieldPresence::Required);
    visitor("target", value.target, FieldPresence::Required);
    visitor("threshold", value.threshold, FieldPresence::Required);
    visitor("windows", value.windows, FieldPresence::Required);
    visitor("budgetLeft", value.budgetLeft, FieldPresence::Required);
    visitor("state", value.state, FieldPresence::Required);
}

template <typename T, typename Visitor>
requires std::same_as<std::remove_const_t<T>, BurnCause>
void visitFields(T& value, Visitor&& visitor)
{
    visitor("outcome", value.outcome, FieldPresence::Required);
    visitor("reason", value.reason, FieldPresence::Required);
    visitor("server", value.server, FieldPresence::Required);
    visitor("requests", value.requests, FieldPresence::Required);
}

template <typename T, typename Visitor>
requires std::same_as<std::remove_const_t<T>, ServerLoad>
void visitFields(T& value, Visitor&& visitor)
{
    visitor("server", value.server, FieldPresence::Required);
    visitor("requests", value.requests, FieldPresence::Required);
}

template <typename T, typename Visitor>
requires std::same_as<std::remove_const_t<T>, BurnPoint>
void visitFields(T& value, Visitor&& visitor)
{
    visitor("requests", value.requests, FieldPresence::Required);
    visitor("unavailable", value.unavailable, FieldPresence::Required);
    visitor("measured", value.measured, FieldPresence::Required);
    visitor("slow", value.slow, FieldPresence::Required);
}

template <typename T, typename Visitor>
requires std::same_as<std::remove_const_t<T>, ServiceBurn>
void visitFields(T& value, Visitor&& visitor)
{
    visitor("service", value.service, FieldPresence::Required);
    visitor("objectives", value.objectives, FieldPresence::Required);
    visitor("causes", value.causes, FieldPresence::Required);
    visitor("loads", value.loads, FieldPresence::Required);
    visitor("imbalance", value.imbalance, FieldPresence::Required);
    visitor("partitions", value.partitions, FieldPresence::Required);
    visitor("partitionMoves", value.partitionMoves, FieldPresence::Required);
    visitor("unavailableSeconds", value.unavailableSeconds, FieldPresence::Required);
    visitor("points", value.points, FieldPresence::Required);
}

template <typename T, typename Visitor>
requires std::same_as<std::remove_const_t<T>, BurnReport>
void visitFields(T& value, Visitor&& visitor)
{
    visitor("instances", value.instances, FieldPresence::Required);
    visitor("at", value.at, FieldPresence::Required);
    visitor("services", value.services, FieldPresence::Required);
}
/// @}

} // namespace jasminespread
