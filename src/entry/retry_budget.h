#pragma once

#include <algorithm>

namespace jasminespread {

/// Limits the retries of one service at one worker to a share of its fresh requests, so that retries cannot multiply
/// an overload. Not thread-safe.
class RetryBudget {
public:
    explicit RetryBudget(double share) noexcept
        : m_share(share)
    {
    }

    /// Counts a request that is sent for the first time.
    void addFresh() noexcept { m_tokens = std::min(highestTokens, m_tokens + m_share); }
    /// Takes one retry. False when the budget is used up.
    [[nodiscard]] bool take() noexcept
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    /// Saved retries are bounded, so that a burst after a quiet time stays small.
    static constexpr double highestTokens = 50;
    /// Lets a service with few requests retry at all.
    static constexpr double initialTokens = 3;

    double m_share;
    double m_tokens = initialTokens;
};

} // namespace jasminespread
