#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace jasminespread {

/// Runs jasminespreadctl: parses the words after the program's name, carries out the command against the instances
/// named there, and prints its results to @p out and messages to @p errors. Returns the exit code of the process,
/// which docs/operators.md explains. Blocks; not thread-safe.
[[nodiscard]] int runOperatorTool(const std::vector<std::string>& words, std::ostream& out, std::ostream& errors);

} // namespace jasminespread
