#pragma once

#include <jasminespread/time.h>

#include <optional>
#include <string>
#include <string_view>

namespace jasminespread {

/// @name Text formats of values in sheets, settings and JSON documents
/// Parsers return nothing unless the whole text is valid. All functions are thread-safe.
/// @{

/// Parses a whole number followed by a unit (ms, s, m or h) without a space.
[[nodiscard]] std::optional<Milliseconds> parseDuration(std::string_view text);
/// Formats with the largest unit that needs no fraction, for example "90s" or "2h".
[[nodiscard]] std::string formatDuration(Milliseconds duration);

/// Parses ISO 8601 in UTC: "2026-12-04T18:30:00Z", optionally with a fraction of up to three digits.
[[nodiscard]] std::optional<WallTime> parseUtcTime(std::string_view text);
/// Formats as ISO 8601 in UTC; milliseconds appear only when they are not zero.
[[nodiscard]] std::string formatUtcTime(WallTime time);

/// Whether @p text is an IP address and a port from 1 to 65535: "192.0.2.1:80" or "[2001:db8::1]:80".
[[nodiscard]] bool isIpAddressAndPort(std::string_view text);
/// Returns @p text for use in an error message; a long text is truncated and ends in "...".
[[nodiscard]] std::string excerpt(const std::string& text);
/// @}

} // namespace jasminespread
