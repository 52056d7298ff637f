#pragma once

#include <jasminespread/burn_report.h>

#include <optional>
#include <vector>

namespace jasminespread {

/// Computes burn rates, budget and state of @p objective from the counts of its windows. Thread-safe.
void computeBurn(ObjectiveReport& objective);
/// Sorts by number of requests, most frequent first. Thread-safe.
void sortCauses(std::vector<BurnCause>& causes);
/// Returns the largest load divided by the mean load; nothing without requests. Thread-safe.
[[nodiscard]] std::optional<double> imbalanceOf(const std::vector<ServerLoad>& loads);

} // namespace jasminespread
