#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace jasminespread {

/// Runs jasminespreadctl: parses the command line without the program's name, executes the command against the
/// instances it names, and prints results to @p out and messages to @p errors. Returns the exit code of the process,
/// which docs/operators.md explains. Blocks; not thread-safe.
[[nodiscard]] int runOperatorTool(const std::vector<std::string>& commandLine, std::ostream& out, std::ostream& errors);

} // namespace jasminespread
