#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace jasminespread {

/// One row of a name table: an enumerator and its name in files, messages and logs.
template <typename Enum> struct EnumName {
    Enum value;
    std::string_view name;
};

/// Returns the name of @p value in @p table, or "?" when the table lacks it. Thread-safe.
template <typename Enum, std::size_t Size>
[[nodiscard]] constexpr std::string_view enumName(const std::array<EnumName<Enum>, Size>& table, Enum value) noexcept
{
    for (const EnumName<Enum>& row : table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "?";
}

/// Returns the enumerator called @p name in @p table, or nothing. Thread-safe.
template <typename Enum, std::size_t Size>
[[nodiscard]] constexpr std::optional<Enum> enumValue(
    const std::array<EnumName<Enum>, Size>& table, std::string_view name) noexcept
{
    for (const EnumName<Enum>& row : table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace jasminespread
