#pragma once

#include <algorithm>

namespace jasminespread {

/// Token bucket that limits the retries of one service at one worker to a fraction of its first attempts, so that
/// retries cannot amplify an overload. Not thread-safe.
class RetryBudget {
public:
    explicit RetryBudget(double ratio) noexcept
        : m_ratio(ratio)
    {
    }

    /// Adds the tokens for a request that is sent for the first time.
    void addFirstAttempt() noexcept { m_tokens = std::min(maxTokens, m_tokens + m_ratio); }
    /// Takes the token for one retry. Returns false when the budget is used up.
    [[nodiscard]] bool tryTake() noexcept
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    /// Bounds the burst of retries after an idle period.
    static constexpr double maxTokens = 50;
    /// Allows a service with few requests to retry.
    static constexpr double initialTokens = 3;

    double m_ratio;
    double m_tokens = initialTokens;
};

} // namespace jasminespread
