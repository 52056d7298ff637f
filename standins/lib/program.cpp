#include <program.h>

#include <main_loop.h>

#include <iostream>

namespace jasminespread::standins {

namespace options = boost::program_options;

std::optional<int> parseArguments(
    const std::string& programName, const options::options_description& description, int argc, char** argv)
{
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << programName << ": " << error.what() << "; see --help\n";
        return 2;
    }
    return std::nullopt;
}

int runProgram(const std::string& programName, const std::function<Result<void>()>& start)
{
    const int exitCode = handleError(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(start());
            return 0;
        },
        [&](const Error& error) {
            std::cerr << programName << ": " << describe(error) << "\n";
            return 1;
        });
    if (exitCode == 0) {
        runMainLoop();
    }
    return exitCode;
}

} // namespace jasminespread::standins
