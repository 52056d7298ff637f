#pragma once

#include <map>
#include <string>
#include <string_view>

namespace jasminespread {

/// Parses labels in exposition form, for example `service="ledger",outcome="done"`. Parts that do not have this form
/// are left out. Thread-safe.
[[nodiscard]] std::map<std::string, std::string> parseMetricLabels(std::string_view labels);

} // namespace jasminespread
