#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace jasminespread {

/// A member of a JSON object or an element of a JSON array, as unparsed text.
struct JsonSlice {
    std::string_view name; ///< Without quotes, escapes not decoded; empty in an array.
    std::string_view text;
};

/// Splits the outermost level of a JSON object or array without parsing its members, so that a member which cannot be
/// parsed leaves the others readable. Returns nothing when @p text is neither an object nor an array, or when its
/// brackets or quotes do not match. The slices refer to @p text. Uses constant stack space at any depth. Thread-safe.
[[nodiscard]] std::optional<std::vector<JsonSlice>> splitJson(std::string_view text);

/// Returns the text of the last member called @p name, as a JSON parser does for repeated names; nothing without one.
/// Thread-safe.
[[nodiscard]] std::optional<std::string_view> findSlice(const std::vector<JsonSlice>& slices, std::string_view name);

} // namespace jasminespread
