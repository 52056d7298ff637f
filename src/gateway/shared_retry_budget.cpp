#include "gateway/shared_retry_budget.h"

#include <algorithm>

namespace jasminespread {
namespace {

constexpr Milliseconds bucketLength {250};
/// Shares of the limits that are used. The margin covers that a retry arrives later than it is counted, that a
/// restarted instance does not know what it sent before, and that the number of instances is known with a delay.
constexpr double ratioSafetyFactor = 0.9;
constexpr double slackSafetyFactor = 0.6;

} // namespace

void SharedRetryBudget::configure(const RetryBudgetLimits& limits, std::uint32_t instances) noexcept
{
    m_limits = limits;
    m_instanceCount = std::max(1U, instances);
}

SharedRetryBudget::Bucket& SharedRetryBudget::bucketAt(MonotonicTime now)
{
    const std::int64_t number = now.time_since_epoch() / bucketLength;
    // One bucket more than the window has: the oldest bucket counts in full although the window covers only part of it.
    const std::int64_t oldest = number - m_limits.window / bucketLength;
    while (!m_buckets.empty() && m_buckets.front().number < oldest) {
        m_requests -= m_buckets.front().requests;
        m_retries -= m_buckets.front().retries;
        m_buckets.pop_front();
    }
    if (m_buckets.empty() || m_buckets.back().number != number) {
        m_buckets.push_back({number, 0, 0});
    }
    return m_buckets.back();
}

double SharedRetryBudget::allowance() const noexcept
{
    return ratioSafetyFactor * m_limits.ratio * m_requests + slackSafetyFactor * m_limits.slack / m_instanceCount;
}

void SharedRetryBudget::addRequest(MonotonicTime now)
{
    ++bucketAt(now).requests;
    ++m_requests;
}

bool SharedRetryBudget::tryAcquire(MonotonicTime now)
{
    Bucket& bucket = bucketAt(now);
    if (m_retries + 1 > allowance()) {
        return false;
    }
    ++bucket.retries;
    ++m_retries;
    return true;
}

double SharedRetryBudget::usedShare(MonotonicTime now)
{
    (void)bucketAt(now);
    const double allowed = allowance();
    return allowed < 1 ? 1 : std::min(1.0, m_retries / allowed);
}

} // namespace jasminespread
