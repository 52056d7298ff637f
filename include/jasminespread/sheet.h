#pragma once

#include <jasminespread/configuration.h>
#include <jasminespread/error.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminespread {

/// Result of parsing a configuration sheet: the configuration, or all errors found.
struct SheetResult {
    std::optional<Configuration> configuration; ///< Present only when there are no errors; its revision is 0.
    std::vector<Error> errors; ///< In the order of their positions.
};

/// Parses and checks a configuration sheet, the YAML file that operators load. @p file names the source in errors.
/// docs/settings.md lists every field. Thread-safe.
[[nodiscard]] SheetResult parseSheet(std::string_view yaml, const std::string& file);

/// Writes a configuration as a sheet that parseSheet() reads back. Revision and change id are not part of a sheet.
/// Thread-safe.
[[nodiscard]] std::string writeSheet(const Configuration& configuration);

} // namespace jasminespread
