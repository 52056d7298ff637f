#pragma once

#include <jasminespread/time.h>

#include <cstddef>
#include <optional>

namespace jasminespread {

/// Limits how many partitions rebalancing moves in an hour. At least one move is always saved up in time.
class ChurnBudget {
public:
    /// Adds what accrued since the last call. @p movesPerHour moves accrue in an hour.
    void refill(MonotonicTime now, double movesPerHour);
    void spend(std::size_t moves) { m_availableMoves -= static_cast<double>(moves); }
    [[nodiscard]] std::size_t available() const;

private:
    double m_availableMoves = 0;
    std::optional<MonotonicTime> m_refilledAt;
};

} // namespace jasminespread
