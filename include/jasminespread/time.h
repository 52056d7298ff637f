#pragma once

#include <chrono>
#include <cstdint>

namespace jasminespread {

/// @name Time
/// Leases and deadlines use the monotonic clock; wall clock time appears only in request ids and planned stops.
/// @{
using Milliseconds = std::chrono::milliseconds;
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Reads the monotonic clock. Thread-safe.
[[nodiscard]] inline MonotonicTime monotonicNow() noexcept { return std::chrono::steady_clock::now(); }

/// Reads the wall clock in milliseconds since the Unix epoch. Thread-safe.
[[nodiscard]] inline WallTime wallNow() noexcept
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}
/// @}

} // namespace jasminespread
