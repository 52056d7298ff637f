#pragma once

#include <jasminespread/time.h>

#include <cstdint>
#include <deque>

namespace jasminespread {

/// Limits on the retries of all instances to one service within any period of `window`. Hedge requests count as
/// retries.
struct RetryBudgetLimits {
    double ratio = 0.2; ///< Retries per request.
    Milliseconds window {10'000};
    double slack = 0; ///< Additional retries, for all instances together.
};

/// This instance's share of the retry budget of one service. Each instance applies the ratio to its own requests; the
/// slack is divided by the number of instances. Not thread-safe.
class SharedRetryBudget {
public:
    void configure(const RetryBudgetLimits& limits, std::uint32_t instances) noexcept;
    void addRequest(MonotonicTime now);
    /// Takes one retry from the budget. Returns false when the budget is exhausted.
    [[nodiscard]] bool tryAcquire(MonotonicTime now);
    /// Used share of the budget, from 0 to 1.
    [[nodiscard]] double usedShare(MonotonicTime now);

private:
    struct Bucket {
        std::int64_t number = 0; ///< Time since the clock's epoch in bucket lengths.
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    [[nodiscard]] Bucket& bucketAt(MonotonicTime now);
    [[nodiscard]] double allowance() const noexcept;

    RetryBudgetLimits m_limits;
    std::uint32_t m_instanceCount = 1;
    std::deque<Bucket> m_buckets; ///< Those within the window, oldest first.
    std::uint32_t m_requests = 0;
    std::uint32_t m_retries = 0;
};

} // namespace jasminespread
