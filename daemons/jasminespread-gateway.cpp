#include "adapter.h"

#include "base/program_exit.h"

#include <jasminespread/log_event.h>

#include <boost/program_options.hpp>

#include <glib.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace po = boost::program_options;
using namespace jasminespread;

namespace {

constexpr const char* program = "jasminespread-gateway";
/// Time for the logging thread to write its last lines before the process exits.
constexpr unsigned long logFlushUs = 20'000;
constexpr const char* settingsVariable = "JASMINESPREAD_NODE_FILE";

std::string settingsPath(const po::variables_map& values)
{
    if (values.contains("settings")) {
        return values["settings"].as<std::string>();
    }
    const char* path = std::getenv(settingsVariable);
    return path == nullptr ? std::string() : std::string(path);
}

Result<int> run(const std::string& path, const po::variables_map& values)
{
    BOOST_LEAF_AUTO(settings, platform::loadPlatformSettings(path));
    if (values.contains("check")) {
        std::cout << path << ": settings are valid\n";
        return Success;
    }
    setUpLogging(values["log-level"].as<std::string>(), "", program);
    BOOST_LEAF_CHECK(runGatewayDaemon(
        platform::gatewaySettings(settings),
        [&settings](BackendTransport& transport) { return platform::makePorts(settings, transport); },
        [path]() -> Result<GatewayDaemonSettings> {
            BOOST_LEAF_AUTO(changed, platform::loadPlatformSettings(path));
            return platform::gatewaySettings(changed);
        }));
    // Skips the shutdown of the logging thread: it does not always stop on request, and the process then hung until it
    // was killed.
    g_usleep(logFlushUs);
    std::quick_exit(Success);
}

} // namespace

int main(int argc, char** argv)
{
    po::options_description options("Options of jasminespread-gateway");
    options.add_options()("settings", po::value<std::string>()->value_name("FILE"),
        "settings file of the platform; default: the path in JASMINESPREAD_NODE_FILE")("log-level",
        po::value<std::string>()->default_value("info")->value_name("LEVEL"), "debug, info, warning or error")("check",
        "check the settings and exit")("version", "print the version and exit")("help", "print this help and exit");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << program << ": " << error.what() << "; see --help\n";
        return BadInput;
    }
    if (values.contains("help")) {
        std::cout << options
                  << "Exit codes: 0 stopped on SIGTERM or SIGINT, 1 other failure, 2 bad arguments or settings, "
                     "3 address in use\n";
        return Success;
    }
    if (values.contains("version")) {
        std::cout << program << " " JASMINESPREAD_VERSION "\n";
        return Success;
    }
    const std::string path = settingsPath(values);
    if (path.empty()) {
        std::cerr << program << ": give --settings FILE or set " << settingsVariable << "; see --help\n";
        return BadInput;
    }
    // A connection that the peer closed is reported by the failing write, not by a signal.
    std::signal(SIGPIPE, SIG_IGN);
    return handleError(
        [&] { return run(path, values); }, [](const Error& error) { return reportError(program, error); });
}
