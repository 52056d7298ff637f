#pragma once

#include <jasminespread/error.h>

#include <boost/program_options.hpp>

#include <functional>
#include <optional>
#include <string>

namespace jasminespread::standins {

/// Parses the command line of a stand-in. Returns the exit code when the program must end: 0 after printing the help,
/// 2 after a usage error.
[[nodiscard]] std::optional<int> parseArguments(
    const std::string& program, const boost::program_options::options_description& description, int argc, char** argv);
/// Starts a stand-in and runs the main loop until SIGTERM or SIGINT. Returns the exit code: 1 when @p start failed.
[[nodiscard]] int runProgram(const std::string& program, const std::function<Result<void>()>& start);

} // namespace jasminespread::standins
