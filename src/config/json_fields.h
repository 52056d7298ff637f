#pragma once

#include "settings/field_presence.h"
#include "settings/text_values.h"

#include <jasminespread/enum_names.h>
#include <jasminespread/time.h>

#include <boost/json.hpp>

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace jasminespread {

/// @name JSON form of aggregates with visitFields()
/// Field names and value formats are the same as in sheets: durations as "2s", times in ISO 8601. All functions are
/// thread-safe.
/// @{
[[nodiscard]] inline boost::json::value encodeJson(const std::string& value) { return boost::json::string(value); }
[[nodiscard]] inline boost::json::value encodeJson(std::uint32_t value) { return std::uint64_t {value}; }
[[nodiscard]] inline boost::json::value encodeJson(std::uint64_t value) { return value; }
[[nodiscard]] inline boost::json::value encodeJson(double value) { return value; }
[[nodiscard]] inline boost::json::value encodeJson(Milliseconds value)
{
    return boost::json::string(formatDuration(value));
}
[[nodiscard]] inline boost::json::value encodeJson(WallTime value) { return boost::json::string(formatUtcTime(value)); }

template <typename Enum>
requires std::is_enum_v<Enum>
[[nodiscard]] boost::json::value encodeJson(Enum value) { return boost::json::string(enumName(namesOf(value), value)); }

template <typename T>
requires std::is_aggregate_v<T>
[[nodiscard]] boost::json::value encodeJson(const T& value);

template <typename T> [[nodiscard]] boost::json::value encodeJson(const std::vector<T>& values)
{
    boost::json::array array;
    array.reserve(values.size());
    for (const T& value : values) {
        array.push_back(encodeJson(value));
    }
    return array;
}

template <typename T>
requires std::is_aggregate_v<T>
[[nodiscard]] boost::json::value encodeJson(const T& value)
{
    boost::json::object object;
    visitFields(
        value, [&](std::string_view name, const auto& member, FieldPresence) { object[name] = encodeJson(member); });
    return object;
}

/// Sets @p error to a message about the field at @p path, unless it already holds a message. Always returns false.
inline bool failDecoding(const std::string& path, const std::string& message, std::string& error)
{
    if (error.empty()) {
        error = (path.empty() ? std::string("the document ") : "field \"" + path + "\" ") + message;
    }
    return false;
}

template <typename T, typename Parse>
bool decodeJsonText(
    const boost::json::value& json, const std::string& path, T& value, std::string& error, Parse&& parse)
{
    const boost::json::string* text = json.if_string();
    if (text == nullptr) {
        return failDecoding(path, "is not a JSON string; put the value in quotes", error);
    }
    const std::optional<T> parsed = parse(std::string_view(*text));
    if (!parsed) {
        return failDecoding(path,
            "has the value \"" + excerpt(std::string(*text))
                + "\", which is not valid for this field; see docs/settings.md",
            error);
    }
    value = *parsed;
    return true;
}

inline bool decodeJson(const boost::json::value& json, const std::string& path, std::string& value, std::string& error)
{
    return decodeJsonText(
        json, path, value, error, [](std::string_view text) { return std::optional(std::string(text)); });
}

inline bool decodeJson(const boost::json::value& json, const std::string& path, Milliseconds& value, std::string& error)
{
    return decodeJsonText(json, path, value, error, parseDuration);
}

inline bool decodeJson(const boost::json::value& json, const std::string& path, WallTime& value, std::string& error)
{
    return decodeJsonText(json, path, value, error, parseUtcTime);
}

template <typename Enum>
requires std::is_enum_v<Enum>
bool decodeJson(const boost::json::value& json, const std::string& path, Enum& value, std::string& error)
{
    return decodeJsonText(
        json, path, value, error, [&](std::string_view text) { return enumValue(namesOf(value), text); });
}

template <std::unsigned_integral Integer>
bool decodeJson(const boost::json::value& json, const std::string& path, Integer& value, std::string& error)
{
    boost::system::error_code ec;
    value = json.to_number<Integer>(ec);
    return !ec || failDecoding(path, "is not a whole number in the range of this field; write digits only", error);
}

inline bool decodeJson(const boost::json::value& json, const std::string& path, double& value, std::string& error)
{
    boost::system::error_code ec;
    value = json.to_number<double>(ec);
    return !ec || failDecoding(path, "is not a number; write it as 0.99", error);
}

template <typename T>
requires std::is_aggregate_v<T>
bool decodeJson(const boost::json::value& json, const std::string& path, T& value, std::string& error);

template <typename T>
bool decodeJson(const boost::json::value& json, const std::string& path, std::vector<T>& values, std::string& error)
{
    const boost::json::array* array = json.if_array();
    if (array == nullptr) {
        return failDecoding(path, "is not a JSON array; write the items in brackets", error);
    }
    values.clear();
    values.reserve(array->size());
    for (std::size_t i = 0; i < array->size(); ++i) {
        if (!decodeJson((*array)[i], path + "[" + std::to_string(i) + "]", values.emplace_back(), error)) {
            return false;
        }
    }
    return true;
}

template <typename T>
requires std::is_aggregate_v<T>
bool decodeJson(const boost::json::value& json, const std::string& path, T& value, std::string& error)
{
    const boost::json::object* object = json.if_object();
    if (object == nullptr) {
        return failDecoding(path, "is not a JSON object; write the fields in braces", error);
    }
    std::size_t foundCount = 0;
    std::string knownFields;
    bool ok = true;
    visitFields(value, [&](std::string_view name, auto& member, FieldPresence presence) {
        const std::string fieldPath = (path.empty() ? "" : path + ".") + std::string(name);
        knownFields += (knownFields.empty() ? "" : ", ") + std::string(name);
        const boost::json::value* field = object->if_contains(name);
        if (field == nullptr) {
            if (presence == FieldPresence::Required) {
                ok = failDecoding(fieldPath, "is missing; add it", error);
            }
            return;
        }
        ++foundCount;
        ok = decodeJson(*field, fieldPath, member, error) && ok;
    });
    // Rejects unknown fields, for example those of a newer version: they would be lost when the document is written
    // back.
    if (ok && foundCount != object->size()) {
        return failDecoding(path, "has an unknown field; remove it or use one of: " + knownFields, error);
    }
    return ok;
}
/// @}

} // namespace jasminespread
