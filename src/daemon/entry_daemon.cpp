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

/// Minimum time for requests in flight to finish, even when the hand-over of groups used up the shutdown timeout.
constexpr Milliseconds minDrainTimeout {1000};

std::uint64_t generateIncarnation()
{
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> distribution(1);
    return distribution(device);
}

} // namespace

Result<void> runEntryDaemon(const InstanceSettings& settings)
{
    const std::uint64_t incarnation = generateIncarnation();
    MetricsRegistry metrics;
    RoutingTable table;
    ControlReducer reducer(settings, incarnation);
    std::unique_ptr<WorkerPool> workerPool;
    std::thread drainThread;
    std::size_t requestsCutOff = 0;
    MonotonicTime drainDeadline = MonotonicTime::max();

    ControlLoop::Hooks hooks;
    hooks.reduce = [&](const TimedEvent& event) {
        if (std::holds_alternative<ShutdownRequested>(event.event)) {
            drainDeadline = event.now + settings.shutdownTimeout;
        }
        return reducer.reduce(event);
    };
    hooks.makeStore = [&] { return makeHttpObjectStore(settings.platformUrl, settings.storeTimeout); };
    hooks.takeHotKeys = [&] { return workerPool->takeHotKeys(); };
    ControlLoop* loop = nullptr;
    hooks.shutdownFinished = [&] {
        // Drains the workers on another thread, so that heartbeats and views, which queued requests need, continue.
        drainThread = std::thread([&] {
            const auto timeLeft = std::chrono::duration_cast<Milliseconds>(drainDeadline - monotonicNow());
            requestsCutOff = workerPool->drain(std::max(timeLeft, minDrainTimeout));
            loop->quit();
        });
    };
    ControlLoop controlLoop(settings, incarnation, table, metrics, std::move(hooks));
    loop = &controlLoop;
    WorkerPool::Hooks workerHooks;
    workerHooks.routeRefused = [&](const GroupName& group) { controlLoop.reportRefusedRoute(group); };
    workerPool = std::make_unique<WorkerPool>(settings, incarnation, table, metrics, std::move(workerHooks));
    BOOST_LEAF_CHECK(controlLoop.start());
    BOOST_LEAF_CHECK(workerPool->start());
    controlLoop.handleStopSignals();
    logEvent(LogEvent::ProcessStarted,
        "instance=" + settings.instance + " incarnation=" + std::to_string(incarnation)
            + " caller=" + settings.callerAddress + " operator=" + settings.operatorAddress);
    controlLoop.run();
    if (drainThread.joinable()) {
        drainThread.join();
    }
    workerPool.reset();
    logEvent(LogEvent::ProcessStopped,
        "instance=" + settings.instance + " requestsCutOff=" + std::to_string(requestsCutOff));
    return {};
}

} // namespace jasminespread
