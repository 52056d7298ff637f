#pragma once

#include <jasminespread/time.h>

#include <cstdint>
#include <optional>

namespace jasminespread {

/// Result of a request to a backend server, as input to the concurrency limit of the server.
enum class SlotResult : std::uint8_t {
    Success,
    Overloaded, ///< The server refused the request because of its load.
    Failed, ///< The connection broke, or the answer timed out.
    Unavailable, ///< The server is unreachable or has just started: slow start follows.
    Neutral ///< Carries no information about load.
};

/// Adaptive limit on the concurrent requests of one worker to one backend server (AIMD): additive increase on success,
/// multiplicative decrease on overload or failure with slower growth afterwards, and slow start after unavailability.
/// Not thread-safe.
class ConcurrencyLimiter {
public:
    /// Sets the limit to start with, which is this worker's share of the server's slots, and the highest limit. Values
    /// below 1 count as 1. Later calls keep the adapted limit, but cap it at @p maxLimit.
    void configure(double initialLimit, double maxLimit) noexcept;
    [[nodiscard]] bool hasSlot() const noexcept;
    /// Precondition: hasSlot().
    void acquire() noexcept { ++m_inUse; }
    /// Precondition: a matching acquire().
    void release(SlotResult result, MonotonicTime now) noexcept;

    [[nodiscard]] double limit() const noexcept { return m_limit; }
    [[nodiscard]] std::uint32_t inUse() const noexcept { return m_inUse; }

private:
    void decrease(double factor, MonotonicTime now) noexcept;
    [[nodiscard]] double successIncrement(MonotonicTime now) const noexcept;

    double m_initialLimit = 1;
    double m_maxLimit = 1;
    double m_limit = 0; ///< 0: not configured yet.
    double m_slowStartThreshold = 0; ///< Below this limit, each success raises the limit by 1.
    std::uint32_t m_inUse = 0;
    MonotonicTime m_decreasedAt;
    /// Requests in flight when the server refused another one for overload. No more are sent until one of them ends.
    std::optional<std::uint32_t> m_observedCapacity;
};

} // namespace jasminespread
