#pragma once

#include <jasminespread/time.h>

#include <cstdint>
#include <optional>

namespace jasminespread {

/// How a request to a backend server ended, as far as its concurrency limit is concerned.
enum class SlotResult : std::uint8_t {
    Success,
    Overloaded, ///< Refused because of load.
    Failed, ///< The connection broke, or no answer came in time.
    Unavailable, ///< The server cannot be reached or has just started: the limit starts anew.
    Neutral ///< Says nothing about load.
};

/// Limits the concurrent requests of one worker to one backend server: additive increase on success, multiplicative
/// decrease on overload with slow growth afterwards, and slow start. Not thread-safe.
class ConcurrencyLimiter {
public:
    /// Sets the share of the server's slots that the limit starts at, and the highest limit. Both are at least 1.
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
    double m_slowStartThreshold = 0; ///< Below it, each success raises the limit by 1.
    std::uint32_t m_inUse = 0;
    MonotonicTime m_decreasedAt;
    /// Requests that the server kept when it refused another one. More are not sent before one of them has ended.
    std::optional<std::uint32_t> m_observedCapacity;
};

} // namespace jasminespread
