#pragma once

#include <jasminespread/error.h>

#include <boost/program_options.hpp>

#include <functional>
#include <optional>
#include <string>

namespace jasminespread::standins {

/// Parses the command line of a stand-in. Returns an exit code if the program must end: 0 after printing the help, 2
/// after a usage error, which is printed to the standard error stream.
[[nodiscard]] std::optional<int> parseArguments(const std::string& programName,
    const boost::program_options::options_description& description, int argc, char** argv);
/// Calls @p start, then runs the main loop until SIGTERM or SIGINT. Returns the exit code of the program; it is 1 if
/// @p start failed.
[[nodiscard]] int runProgram(const std::string& programName, const std::function<Result<void>()>& start);

} // namespace jasminespread::standins
