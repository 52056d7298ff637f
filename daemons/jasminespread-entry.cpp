// The entry daemon: one per instance. See docs/design.md, section 3.
#include <jasminespread/control_reducer.h>
#include <jasminespread/http_object_store.h>
#include <jasminespread/instance_settings.h>
#include <jasminespread/log_event.h>
#include <jasminespread/metrics_registry.h>
#include <jasminespread/routing_table.h>
#include <jasminespread/worker_pool.h>

#include "daemon/control_loop.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <optional>
#include <random>

namespace jasminespread {
namespace {

constexpr int exitSuccess = 0;
constexpr int exitStartFailed = 1;
constexpr int exitInvalidInput = 2;

struct Arguments {
    std::string settingsPath;
    bool checkOnly = false;
};

std::uint64_t drawIncarnation()
{
    std::random_device device;
    std::uint64_t incarnation = 0;
    while (incarnation == 0) {
        incarnation = (static_cast<std::uint64_t>(device()) << 32) | device();
    }
    return incarnation;
}

Result<void> serve(const InstanceSettings& settings)
{
    const std::uint64_t incarnation = drawIncarnation();
    RoutingTable table;
    MetricsRegistry metrics;
    ControlReducer reducer(settings, incarnation);
    std::optional<WorkerPool> workers;

    ControlLoop::Hooks hooks;
    hooks.reduce = [&reducer](const TimedEvent& event) { return reducer.reduce(event); };
    hooks.makeStore = [&settings] { return makeHttpObjectStore(settings.platformUrl, settings.storeTimeout); };
    hooks.takeHotKeys = [&workers] { return workers->takeHotKeys(); };
    std::optional<ControlLoop> control;
    hooks.shutdownFinished = [&control] { control->quit(); };
    control.emplace(settings, incarnation, table, metrics, std::move(hooks));

    WorkerPool::Hooks workerHooks;
    workerHooks.routeRefused = [&control](const GroupName& group) { control->routeRefused(group); };
    workers.emplace(settings, incarnation, table, metrics, std::move(workerHooks));

    BOOST_LEAF_CHECK(control->start());
    BOOST_LEAF_CHECK(workers->start());
    control->handleStopSignals();
    logEvent(LogEvent::ProcessStarted,
        "callers " + settings.callerAddress + ", operators " + settings.operatorAddress + ", peers "
            + settings.controlAddress);
    control->run();
    const std::size_t cutOff = workers->drain(settings.shutdownTimeout);
    logEvent(LogEvent::ProcessStopped, std::to_string(cutOff) + " requests cut off");
    return {};
}

Result<int> runDaemon(const Arguments& arguments)
{
    BOOST_LEAF_AUTO(settings, loadInstanceSettings(arguments.settingsPath));
    if (arguments.checkOnly) {
        std::cout << arguments.settingsPath << ": valid\n";
        return exitSuccess;
    }
    setUpLogging(settings.logLevel, settings.logFile, "jasminespread-entry " + settings.instance);
    BOOST_LEAF_CHECK(serve(settings));
    return exitSuccess;
}

int reportFailure(const Error& error)
{
    std::cerr << "jasminespread-entry: " << describe(error) << "\n";
    return error.kind == ErrorKind::InvalidInput || error.kind == ErrorKind::NotFound ? exitInvalidInput
                                                                                      : exitStartFailed;
}

} // namespace
} // namespace jasminespread

int main(int argc, char** argv)
{
    using namespace jasminespread;
    namespace po = boost::program_options;
    Arguments arguments;
    po::options_description options("jasminespread-entry: routes requests to the backend servers that own their keys");
    options.add_options()("help", "show this text")("version", "show the version")("settings",
        po::value<std::string>(&arguments.settingsPath), "settings file (YAML), see docs/settings.md")(
        "check", po::bool_switch(&arguments.checkOnly), "check the settings file and exit");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << "jasminespread-entry: " << error.what() << "; see --help\n";
        return exitInvalidInput;
    }
    if (values.count("help") != 0) {
        std::cout << options;
        return exitSuccess;
    }
    if (values.count("version") != 0) {
        std::cout << "jasminespread-entry " JASMINESPREAD_VERSION "\n";
        return exitSuccess;
    }
    if (arguments.settingsPath.empty()) {
        std::cerr << "jasminespread-entry: --settings is missing; name a settings file\n";
        return exitInvalidInput;
    }
    return handleError([&] { return runDaemon(arguments); }, reportFailure);
}
