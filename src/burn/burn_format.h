#pragma once

#include <jasminespread/burn_report.h>

#include <string>

namespace jasminespread {

/// @name Texts of the burn report
/// All functions are thread-safe.
/// @{
/// Three significant digits; very large values as "over 10,000".
[[nodiscard]] std::string formatNumber(double value);
/// For example "99.9%".
[[nodiscard]] std::string formatPercent(double share);
/// For example "5 min" or "6 h".
[[nodiscard]] std::string windowText(Milliseconds length);
/// For example "99% within 500 ms".
[[nodiscard]] std::string objectiveText(const ObjectiveReport& objective);
/// For example "2026-12-04 11:02:54 UTC".
[[nodiscard]] std::string utcText(WallTime time);
/// @}

} // namespace jasminespread
