#pragma once

#include <xxhash.h>

#include <cstdint>
#include <map>
#include <string_view>

namespace jasminespread {

/// Short form of a server's id in loads, which every heartbeat carries. Two servers with the same hash share their
/// load, which only makes the estimate worse. Thread-safe.
[[nodiscard]] inline std::uint32_t serverIdHash(std::string_view id) noexcept { return XXH32(id.data(), id.size(), 0); }

/// Requests in flight from all instances at busy servers, by serverIdHash(). Servers that are absent are not busy.
using ServerLoads = std::map<std::uint32_t, std::uint32_t>;

} // namespace jasminespread
