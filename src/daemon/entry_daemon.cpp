#include <jasminespread/entry_daemon.h>

#include "daemon/control_loop.h"

#include <jasminespread/control_reducer.h>
#include <jasminespread/http_object_store.h>
#include <jasminespread/log_event.h>
#include <jasminespread/metrics_registry.h>
#include <jasminespread/routing_table.h>
#include <jasminespread/worker_pool.h>

#include <algorithm>
#include <memory>
#include <random>
#include <thread>

namespace jasminespread {

namespace {

/// Shortest time that requests in flight get, even when the hand-over used up the time for the stop.
constexpr Milliseconds minDrainTime {1000};

std::uint64_t drawIncarnation()
{
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> distribution(1);
    return distribution(device);
}

} // namespace

Result<void> runEntryDaemon(const InstanceSettings& settings)
{
    const std::uint64_t incarnation = drawIncarnation();
    MetricsRegistry metrics;
    RoutingTable table;
    ControlReducer reducer(settings, incarnation);
    std::unique_ptr<WorkerPool> workers;
    std::thread drainThread;
    std::size_t cutOff = 0;
    MonotonicTime drainUntil = MonotonicTime::max();

    ControlLoop::Hooks hooks;
    hooks.reduce = [&](const TimedEvent& event) {
        if (std::holds_alternative<ShutdownRequested>(event.event)) {
            drainUntil = event.now + settings.shutdownTimeout;
        }
        return reducer.reduce(event);
    };
    hooks.makeStore = [&] { return makeHttpObjectStore(settings.platformUrl, settings.storeTimeout); };
    hooks.takeHotKeys = [&] { return workers->takeHotKeys(); };
    ControlLoop* loop = nullptr;
    hooks.shutdownFinished = [&] {
        // Workers drain on another thread: heartbeats and views go on meanwhile, which queued requests need.
        drainThread = std::thread([&] {
            const auto left = std::chrono::duration_cast<Milliseconds>(drainUntil - monotonicNow());
            cutOff = workers->drain(std::max(left, minDrainTime));
            loop->quit();
        });
    };
    ControlLoop controlLoop(settings, incarnation, table, metrics, std::move(hooks));
    loop = &controlLoop;
    WorkerPool::Hooks workerHooks;
    workerHooks.routeRefused = [&](const GroupName& group) { controlLoop.routeRefused(group); };
    workers = std::make_unique<WorkerPool>(settings, incarnation, table, metrics, std::move(workerHooks));
    BOOST_LEAF_CHECK(controlLoop.start());
    BOOST_LEAF_CHECK(workers->start());
    controlLoop.handleStopSignals();
    logEvent(LogEvent::ProcessStarted,
        "instance=" + settings.instance + " incarnation=" + std::to_string(incarnation)
            + " caller=" + settings.callerAddress + " operator=" + settings.operatorAddress);
    controlLoop.run();
    if (drainThread.joinable()) {
        drainThread.join();
    }
    workers.reset();
    logEvent(LogEvent::ProcessStopped, "instance=" + settings.instance + " requestsCutOff=" + std::to_string(cutOff));
    return {};
}

} // namespace jasminespread
