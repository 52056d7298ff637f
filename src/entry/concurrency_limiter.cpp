#include "entry/concurrency_limiter.h"

#include <algorithm>

namespace jasminespread {
namespace {

constexpr double minLimit = 1;
constexpr double overloadDecreaseFactor = 0.85;
constexpr double failureDecreaseFactor = 0.5;
/// After an overload the limit is close to the server's capacity. For this long it grows at this fraction of the usual
/// rate, so that the refusals of all workers together stay within the retry budget.
constexpr double probingGrowthFactor = 0.05;
constexpr Milliseconds probingDuration {2000};
/// Requests in flight at the same time report the same overload, which lowers the limit only once per interval.
constexpr Milliseconds decreaseInterval {20};

} // namespace

bool ConcurrencyLimiter::hasSlot() const noexcept
{
    return m_inUse < static_cast<std::uint32_t>(m_limit) && (!m_observedCapacity || m_inUse < *m_observedCapacity);
}

void ConcurrencyLimiter::configure(double initialLimit, double maxLimit) noexcept
{
    m_initialLimit = std::max(minLimit, initialLimit);
    m_maxLimit = std::max(m_initialLimit, maxLimit);
    m_limit = m_limit == 0 ? m_initialLimit : std::min(m_limit, m_maxLimit);
}

void ConcurrencyLimiter::release(SlotResult result, MonotonicTime now) noexcept
{
    const bool wasFull = m_inUse + 1 > static_cast<std::uint32_t>(m_limit);
    --m_inUse;
    if (result != SlotResult::Overloaded) {
        m_observedCapacity.reset();
    }
    switch (result) {
    case SlotResult::Success:
        // Success below the limit does not show that the server can take more.
        if (wasFull) {
            m_limit = std::min(m_maxLimit, m_limit + successIncrement(now));
        }
        break;
    case SlotResult::Overloaded:
        if (m_inUse > 0) {
            m_observedCapacity = m_inUse;
        }
        decrease(overloadDecreaseFactor, now);
        break;
    case SlotResult::Failed:
        decrease(failureDecreaseFactor, now);
        break;
    case SlotResult::Unavailable:
        m_limit = minLimit;
        m_slowStartThreshold = m_initialLimit;
        break;
    case SlotResult::Neutral:
        break;
    }
}

double ConcurrencyLimiter::successIncrement(MonotonicTime now) const noexcept
{
    if (m_limit < m_slowStartThreshold) {
        return 1;
    }
    const bool probing = m_decreasedAt != MonotonicTime() && now - m_decreasedAt < probingDuration;
    return (probing ? probingGrowthFactor : 1) / m_limit;
}

void ConcurrencyLimiter::decrease(double factor, MonotonicTime now) noexcept
{
    if (m_decreasedAt != MonotonicTime() && now - m_decreasedAt < decreaseInterval) {
        return;
    }
    m_decreasedAt = now;
    m_limit = std::max(minLimit, m_limit * factor);
    m_slowStartThreshold = 0;
}

} // namespace jasminespread
