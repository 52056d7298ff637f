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
/// Time for the last lines of the log before the process exits.
constexpr Milliseconds logFlushTime {20};
constexpr const char* settingsVariable = "JASMINESPREAD_NODE_FILE";
/// Bounds of the options for pipelined requests.
constexpr std::uint32_t maxPipelinedRequestsLimit = 1000;
constexpr std::uint32_t maxPipelinedBytesLimit = 67'108'864;

std::string settingsPath(const po::variables_map& values)
{
    if (values.contains("settings")) {
        return values["settings"].as<std::string>();
    }
    const char* path = std::getenv(settingsVariable);
    return path == nullptr ? std::string() : std::string(path);
}

/// Returns an option from 1 to @p limit. Fails with InvalidInput.
Result<std::uint32_t> countOption(const po::variables_map& values, const std::string& name, std::uint32_t limit)
{
    const std::uint32_t n = values[name].as<std::uint32_t>();
    if (n < 1 || n > limit) {
        return fail(ErrorKind::InvalidInput,
            "--" + name + " is " + std::to_string(n) + "; give a number from 1 to " + std::to_string(limit));
    }
    return n;
}

Result<int> run(const std::string& path, const po::variables_map& values)
{
    BOOST_LEAF_AUTO(settings, platform::loadPlatformSettings(path));
    GatewayDaemonSettings gateway = platform::gatewaySettings(settings);
    BOOST_LEAF_ASSIGN(
        gateway.maxPipelinedRequests, countOption(values, "max-pipelined-requests", maxPipelinedRequestsLimit));
    BOOST_LEAF_ASSIGN(gateway.maxPipelinedBytes, countOption(values, "max-pipelined-bytes", maxPipelinedBytesLimit));
    gateway.minBodyBytesPerSecond = values["min-body-bytes-per-second"].as<std::uint32_t>();
    if (values.contains("check")) {
        std::cout << path << ": settings are valid\n";
        return Success;
    }
    setUpLogging(values["log-level"].as<std::string>(), "", program);
    BOOST_LEAF_CHECK(runGatewayDaemon(
        gateway, [&settings](BackendTransport& transport) { return platform::makePorts(settings, transport); },
        [path]() -> Result<GatewayDaemonSettings> {
            BOOST_LEAF_AUTO(changed, platform::loadPlatformSettings(path));
            return platform::gatewaySettings(changed);
        }));
    // Skips what runs at a regular exit, which can wait for a reader of the log.
    (void)flushLog(logFlushTime);
    std::quick_exit(Success);
}

} // namespace

int main(int argc, char** argv)
{
    po::options_description options("Options of jasminespread-gateway");
    const HttpServerLimits defaults;
    options.add_options()("settings", po::value<std::string>()->value_name("FILE"),
        "settings file of the platform; default: the path in JASMINESPREAD_NODE_FILE")("log-level",
        po::value<std::string>()->default_value("info")->value_name("LEVEL"),
        "debug, info, warning or error")("max-pipelined-requests",
        po::value<std::uint32_t>()->default_value(defaults.maxPipelinedRequests)->value_name("N"),
        "requests of one caller's connection that may wait for their answers; then no more are read")(
        "min-body-bytes-per-second",
        po::value<std::uint32_t>()->default_value(defaults.minBodyBytesPerSecond)->value_name("N"),
        "lowest average rate of a request's body after its first 15 s; 0: none")("max-pipelined-bytes",
        po::value<std::uint32_t>()->default_value(defaults.maxPipelinedBytes)->value_name("N"),
        "bytes of waiting requests and answers of one caller's connection; then no more requests are read")("check",
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
