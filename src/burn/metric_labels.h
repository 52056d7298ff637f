#pragma once

#include <map>
#include <string>
#include <string_view>

namespace jasminespread {

/// Parses metric labels in the text exposition format, for example `service="ledger",outcome="done"`, and returns
/// unescaped values by name. Parsing stops at the first malformed label. Thread-safe.
[[nodiscard]] std::map<std::string, std::string> parseMetricLabels(std::string_view labels);

} // namespace jasminespread
