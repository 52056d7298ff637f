#pragma once

#include "gateway/gateway_configuration.h"

#include <cstddef>
#include <vector>

namespace jasminespread {

/// Distributes requests over a route's targets by smooth weighted round robin, so that even a short sequence of
/// requests follows the weights, also after a change of them. Not thread-safe.
class WeightedRoundRobin {
public:
    /// Returns the index of the next target. @p offset in [0, 1) shifts the starting point, so that instances do not
    /// all begin with the same target. Precondition: @p targets is not empty.
    [[nodiscard]] std::size_t next(const std::vector<RouteTarget>& targets, double offset)
    {
        if (m_targets != targets) {
            m_targets = targets; // What one of them got too little by other weights must not be made up for.
            m_credit.assign(targets.size(), 0);
            for (std::size_t i = 0; i < targets.size(); ++i) {
                m_credit[i] = targets[i].weight * offset * (i % 2 == 0 ? 1 : -1);
            }
        }
        double total = 0;
        std::size_t best = 0;
        for (std::size_t i = 0; i < targets.size(); ++i) {
            m_credit[i] += targets[i].weight;
            total += targets[i].weight;
            if (m_credit[i] > m_credit[best] || targets[best].weight <= 0) {
                best = i;
            }
        }
        m_credit[best] -= total;
        return best;
    }

private:
    std::vector<RouteTarget> m_targets;
    std::vector<double> m_credit;
};

} // namespace jasminespread
