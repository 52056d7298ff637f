#include "control/churn_budget.h"

#include <algorithm>
#include <cmath>

namespace jasminespread {

void ChurnBudget::refill(MonotonicTime now, double perHour)
{
    const double capacity = std::max(1.0, perHour);
    if (!m_refilledAt) {
        m_moves = perHour > 0 ? capacity : 0;
    } else {
        const std::chrono::duration<double, std::ratio<3600>> hours = now - *m_refilledAt;
        m_moves = std::min(capacity, m_moves + perHour * hours.count());
    }
    m_refilledAt = now;
}

std::size_t ChurnBudget::available() const { return static_cast<std::size_t>(std::floor(std::max(0.0, m_moves))); }

} // namespace jasminespread
