#pragma once

#include <jasminespread/configuration.h>

#include <string_view>
#include <vector>

namespace jasminespread {

/// Returns whether an operator's rule refuses requests of a work class at @p load, the fraction of the queue in use. A
/// rule without a class applies to every class. Thread-safe.
[[nodiscard]] inline bool isRefusedByRule(
    const std::vector<RefusalRule>& rules, std::string_view workClass, double load)
{
    for (const RefusalRule& rule : rules) {
        if ((rule.workClass.empty() || rule.workClass == workClass) && load >= rule.refuseAboveLoad) {
            return true;
        }
    }
    return false;
}

} // namespace jasminespread
