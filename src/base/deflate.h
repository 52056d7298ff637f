#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jasminespread {

/// Compresses @p text in the format of RFC 1951 (deflate). Thread-safe.
[[nodiscard]] std::string deflate(std::string_view text);
/// Returns nothing when @p bytes is not the output of deflate(), or when the result would exceed @p maxBytes.
/// Thread-safe.
[[nodiscard]] std::optional<std::string> inflate(std::string_view bytes, std::size_t maxBytes);

} // namespace jasminespread
