#pragma once

#include <jasminespread/time.h>

#include <cstddef>
#include <optional>

namespace jasminespread {

/// Limits the partition moves of rebalancing per hour. The budget can always accumulate at least one move, also at
/// rates below one per hour.
class ChurnBudget {
public:
    /// Adds the moves accrued since the last call, at the rate of @p movesPerHour.
    void refill(MonotonicTime now, double movesPerHour);
    void spend(std::size_t moves) { m_availableMoves -= static_cast<double>(moves); }
    [[nodiscard]] std::size_t available() const;

private:
    double m_availableMoves = 0;
    std::optional<MonotonicTime> m_refilledAt;
};

} // namespace jasminespread
