#include "control/churn_budget.h"

#include <algorithm>
#include <cmath>

namespace jasminespread {

void ChurnBudget::refill(MonotonicTime now, double movesPerHour)
{
    const double capacity = std::max(1.0, movesPerHour);
    if (!m_refilledAt) {
        m_availableMoves = movesPerHour > 0 ? capacity : 0;
    } else {
        const std::chrono::duration<double, std::ratio<3600>> hours = now - *m_refilledAt;
        m_availableMoves = std::min(capacity, m_availableMoves + movesPerHour * hours.count());
    }
    m_refilledAt = now;
}

std::size_t ChurnBudget::available() const
{
    return static_cast<std::size_t>(std::floor(std::max(0.0, m_availableMoves)));
}

} // namespace jasminespread
