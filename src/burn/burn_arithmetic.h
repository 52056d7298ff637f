#pragma once

#include <jasminespread/burn_report.h>

#include <optional>
#include <vector>

namespace jasminespread {

/// Computes the burn rates, remaining budget and alert state of @p objective from the request counts of its windows.
/// Thread-safe. Precondition: there is one window for each of burnWindowLengths.
void evaluateObjective(ObjectiveReport& objective);
/// Sorts causes by number of requests in descending order. Thread-safe.
void sortCauses(std::vector<BurnCause>& causes);
/// Returns the largest load divided by the mean load, or nothing if there were no requests. Thread-safe.
[[nodiscard]] std::optional<double> computeImbalance(const std::vector<ServerLoad>& loads);

} // namespace jasminespread
