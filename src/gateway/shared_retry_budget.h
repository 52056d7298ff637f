#pragma once

#include <jasminespread/time.h>

#include <cstdint>
#include <deque>

namespace jasminespread {

/// What the second sends of all instances to one service may add up to in any span of `window`.
struct RetryBudgetLimits {
    double ratio = 0.2; ///< Second sends per request.
    Milliseconds window {10'000};
    double slack = 0; ///< Second sends that are allowed besides, of all instances together.
};

/// This instance's part of the second sends to one service. The ratio adds up over instances by itself, as each one
/// counts its own requests; the slack is divided by their number. Not thread-safe.
class SharedRetryBudget {
public:
    void configure(const RetryBudgetLimits& limits, std::uint32_t instances) noexcept;
    void addRequest(MonotonicTime now);
    /// Takes one second send. False when the budget is used up.
    [[nodiscard]] bool tryAcquire(MonotonicTime now);
    /// Part of the budget that is used, from 0 to 1.
    [[nodiscard]] double usedShare(MonotonicTime now);

private:
    struct Bucket {
        std::int64_t number = 0; ///< Counts from the clock's epoch.
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    [[nodiscard]] Bucket& bucketAt(MonotonicTime now);
    [[nodiscard]] double allowance() const noexcept;

    RetryBudgetLimits m_limits;
    std::uint32_t m_instances = 1;
    std::deque<Bucket> m_buckets; ///< Oldest first; those within the window.
    std::uint32_t m_requests = 0;
    std::uint32_t m_retries = 0;
};

} // namespace jasminespread
