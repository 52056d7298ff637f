#include "base/program_exit.h"

#include <jasminespread/entry_daemon.h>
#include <jasminespread/instance_settings.h>
#include <jasminespread/log_event.h>

#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>

namespace po = boost::program_options;
using namespace jasminespread;

namespace {

constexpr const char* program = "jasminespread-entry";

} // namespace

int main(int argc, char** argv)
{
    po::options_description options("Options of jasminespread-entry");
    options.add_options()("settings", po::value<std::string>()->value_name("FILE"), "settings of the instance (YAML)")(
        "check", "check the settings and exit")("version", "print the version and exit")(
        "help", "print this help and exit");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << program << ": " << error.what() << "; see --help\n";
        return BadInput;
    }
    if (values.contains("help")) {
        std::cout
            << options
            << "Exit codes: 0 stopped on SIGTERM or SIGINT, 1 other failure, 2 bad arguments or settings, 3 address in "
               "use\n";
        return Success;
    }
    if (values.contains("version")) {
        std::cout << program << " " JASMINESPREAD_VERSION "\n";
        return Success;
    }
    if (!values.contains("settings")) {
        std::cerr << program << ": --settings FILE is missing; see --help\n";
        return BadInput;
    }
    // A connection that the peer closed is reported by the failing write, not by a signal.
    std::signal(SIGPIPE, SIG_IGN);
    return handleError(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(settings, loadInstanceSettings(values["settings"].as<std::string>()));
            if (values.contains("check")) {
                std::cout << values["settings"].as<std::string>() << ": settings are valid\n";
                return Success;
            }
            setUpLogging(settings.logLevel, settings.logFile, program);
            BOOST_LEAF_CHECK(runEntryDaemon(settings));
            return Success;
        },
        [](const Error& error) { return reportError(program, error); });
}
