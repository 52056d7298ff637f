#include "entry/concurrency_limiter.h"

#include <algorithm>

namespace jasminespread {
namespace {

constexpr double lowestLimit = 1;
constexpr double overloadFactor = 0.85;
constexpr double failureFactor = 0.5;
/// After an overload the limit is known to be near the capacity: it is probed by this part of the usual growth for this
/// long, so that the refusals of all workers together stay within the budget for second sends.
constexpr double probingGrowth = 0.05;
constexpr Milliseconds probingTime {2000};
/// Requests that were in flight together report the same overload; it counts once.
constexpr Milliseconds decreaseInterval {20};

} // namespace

bool ConcurrencyLimiter::hasSlot() const noexcept
{
    return m_inUse < static_cast<std::uint32_t>(m_limit) && (!m_accepted || m_inUse < *m_accepted);
}

void ConcurrencyLimiter::configure(double share, double highest) noexcept
{
    m_share = std::max(lowestLimit, share);
    m_highest = std::max(m_share, highest);
    m_limit = m_limit == 0 ? m_share : std::min(m_limit, m_highest);
}

void ConcurrencyLimiter::release(SlotResult result, MonotonicTime now) noexcept
{
    const bool wasFull = m_inUse + 1 > static_cast<std::uint32_t>(m_limit);
    --m_inUse;
    if (result != SlotResult::Overloaded) {
        m_accepted.reset();
    }
    switch (result) {
    case SlotResult::Success:
        // A limit that was not reached says nothing about the server's capacity.
        if (wasFull) {
            m_limit = std::min(m_highest, m_limit + growth(now));
        }
        break;
    case SlotResult::Overloaded:
        if (m_inUse > 0) {
            m_accepted = m_inUse;
        }
        decrease(overloadFactor, now);
        break;
    case SlotResult::Failed:
        decrease(failureFactor, now);
        break;
    case SlotResult::Unavailable:
        m_limit = lowestLimit;
        m_slowStartEnd = m_share;
        break;
    case SlotResult::Neutral:
        break;
    }
}

double ConcurrencyLimiter::growth(MonotonicTime now) const noexcept
{
    if (m_limit < m_slowStartEnd) {
        return 1;
    }
    const bool probing = m_decreasedAt != MonotonicTime() && now - m_decreasedAt < probingTime;
    return (probing ? probingGrowth : 1) / m_limit;
}

void ConcurrencyLimiter::decrease(double factor, MonotonicTime now) noexcept
{
    if (m_decreasedAt != MonotonicTime() && now - m_decreasedAt < decreaseInterval) {
        return;
    }
    m_decreasedAt = now;
    m_limit = std::max(lowestLimit, m_limit * factor);
    m_slowStartEnd = 0;
}

} // namespace jasminespread
