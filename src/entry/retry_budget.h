#pragma once

#include <algorithm>

namespace jasminespread {

/// Limits the retries of one service at one worker to a share of its fresh requests, so that retries cannot multiply
/// an overload. Not thread-safe.
class RetryBudget {
public:
    explicit RetryBudget(double ratio) noexcept
        : m_ratio(ratio)
    {
    }

    /// Counts a request that is sent for the first time.
    void addFirstAttempt() noexcept { m_tokens = std::min(maxTokens, m_tokens + m_ratio); }
    /// Takes one retry. False when the budget is used up.
    [[nodiscard]] bool tryTake() noexcept
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    /// Saved retries are bounded, so that a burst after a quiet time stays small.
    static constexpr double maxTokens = 50;
    /// Lets a service with few requests retry at all.
    static constexpr double initialTokens = 3;

    double m_ratio;
    double m_tokens = initialTokens;
};

} // namespace jasminespread
