#pragma once

#include <jasminespread/burn_report.h>

#include <string>

namespace jasminespread {

/// @name Formatting of burn report values
/// All functions are thread-safe.
/// @{
/// Formats a number with about three significant digits; values above 10,000 become "over 10,000".
[[nodiscard]] std::string formatNumber(double value);
/// Formats a share as a percentage, for example "99.9%"; a budget below -1,000,000% becomes "overspent".
[[nodiscard]] std::string formatPercent(double share);
/// Formats the length of a window, for example "5 min" or "6 h".
[[nodiscard]] std::string formatWindowLength(Milliseconds length);
/// Formats the target of an objective, for example "99% within 500 ms".
[[nodiscard]] std::string formatObjective(const ObjectiveReport& objective);
/// Formats a time, for example "2026-12-04 11:02:54 UTC".
[[nodiscard]] std::string formatReportTime(WallTime time);
/// @}

} // namespace jasminespread
