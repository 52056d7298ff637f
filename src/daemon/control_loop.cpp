#include "daemon/control_loop.h"

#include "burn/ownership_meter.h"
#include "daemon/operator_api.h"
#include "grants/grant_client.h"
#include "peer/peer_transport.h"

#include <jasminespread/burn_report.h>
#include <jasminespread/log_event.h>

#include <glib-unix.h>
#include <glib.h>

#include <csignal>
#include <deque>
#include <map>
#include <utility>

namespace jasminespread {

namespace {

constexpr guint tickIntervalMs = 50;
constexpr guint hotKeyIntervalMs = 1000;
/// Main context iterations on destruction, in which cancelled calls free their memory.
constexpr int maxClosingIterations = 10'000;
/// Time for the reducer's answer beyond InstanceSettings::confirmTimeout.
constexpr Milliseconds operatorAnswerMargin {2000};

/// Main context that is the thread's default for the lifetime of this object.
class ThreadContext {
public:
    ThreadContext()
        : m_context(g_main_context_new())
    {
        g_main_context_push_thread_default(m_context);
    }
    ~ThreadContext()
    {
        g_main_context_pop_thread_default(m_context);
        g_main_context_unref(m_context);
    }
    ThreadContext(const ThreadContext&) = delete;
    ThreadContext& operator=(const ThreadContext&) = delete;

    [[nodiscard]] GMainContext* get() const noexcept { return m_context; }

private:
    GMainContext* m_context;
};

} // namespace

struct ControlLoop::State {
    InstanceSettings settings;
    RoutingTable& table;
    MetricsRegistry& metrics;
    Hooks hooks;
    ThreadContext context;
    GMainLoop* loop = g_main_loop_new(context.get(), FALSE);
    ObjectStore store;
    PeerTransport peers;
    std::unique_ptr<GrantClient> grants;
    OperatorApi operatorApi;
    OwnershipMeter ownership;
    BurnHistory burnHistory;
    std::vector<GSource*> sources;
    /// Callbacks of calls in flight hold a copy and do nothing once it is false.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::deque<TimedEvent> pendingEvents;
    bool reducing = false;
    bool stopping = false;
    bool shutdownNotified = false;
    std::map<std::pair<std::string, std::string>, MetricsRegistry::Counter*> counters;
    std::map<std::pair<std::string, std::string>, MetricsRegistry::Gauge*> gauges;
    MetricsRegistry::Counter& events;
    MetricsRegistry::Counter& busyMicroseconds;
    MetricsRegistry::Counter& storeCalls;
    MetricsRegistry::Counter& grantCalls;

    State(const InstanceSettings& instanceSettings, std::uint64_t incarnation, RoutingTable& routingTable,
        MetricsRegistry& registry, Hooks loopHooks)
        : settings(instanceSettings)
        , table(routingTable)
        , metrics(registry)
        , hooks(std::move(loopHooks))
        , peers(settings, incarnation, registry,
              [this](wire::Envelope envelope) { apply(PeerMessageReceived {std::move(envelope)}); })
        , operatorApi(settings.operatorAddress, settings.confirmTimeout + operatorAnswerMargin,
              {[this](OperatorRequested request) { apply(std::move(request)); },
                  [this] { return !stopping && table.current()->ready; }, [this] { return metrics.exposition(); },
                  [this](const std::string& format) { return burnReport(format); }})
        , ownership(registry)
        , events(registry.counter("jasminespread_control_events_total", "", "Events that the control thread handled."))
        , busyMicroseconds(registry.counter("jasminespread_control_busy_microseconds_total", "",
              "Time that the control thread spent on decisions and on starting their effects."))
        , storeCalls(registry.counter("jasminespread_store_calls_total", "", "Calls to the platform's store."))
        , grantCalls(registry.counter("jasminespread_grant_calls_total", "", "Grant messages sent to backend servers."))
    {
    }

    ~State()
    {
        *alive = false;
        for (GSource* source : sources) {
            g_source_destroy(source);
            g_source_unref(source);
        }
        grants.reset();
        for (int i = 0; i < maxClosingIterations && g_main_context_iteration(context.get(), FALSE) != FALSE; ++i) { }
        g_main_loop_unref(loop);
    }

    /// Passes @p event to the reducer and executes the effects. Events that occur during the call are queued and
    /// handled next.
    void apply(Event event)
    {
        if (!*alive) {
            return;
        }
        pendingEvents.push_back(TimedEvent {monotonicNow(), wallNow(), std::move(event)});
        if (reducing) {
            return;
        }
        reducing = true;
        while (!pendingEvents.empty()) {
            const MonotonicTime start = monotonicNow();
            const TimedEvent next = std::move(pendingEvents.front());
            pendingEvents.pop_front();
            for (Effect& effect : hooks.reduce(next)) {
                std::visit([this](auto& alternative) { execute(alternative); }, effect);
            }
            events.add();
            const auto busy = std::chrono::duration_cast<std::chrono::microseconds>(monotonicNow() - start);
            busyMicroseconds.add(static_cast<std::uint64_t>(busy.count()));
        }
        reducing = false;
    }

    /// Wraps a callback so that it does nothing once the loop is destroyed.
    template <typename Callback> auto ifAlive(Callback callback)
    {
        return [isAlive = alive, callback = std::move(callback)](auto&& result) {
            if (*isAlive) {
                callback(std::forward<decltype(result)>(result));
            }
        };
    }

    void execute(const ReadInstanceList&)
    {
        storeCalls.add();
        store.instances(
            ifAlive([this](InstanceListResult result) { apply(InstanceListReceived {std::move(result)}); }));
    }

    void execute(const ListObjects& effect)
    {
        storeCalls.add();
        const MonotonicTime startedAt = monotonicNow();
        store.list(effect.kind, ifAlive([this, kind = effect.kind, startedAt](StoreListResult result) {
            apply(StoreListed {kind, startedAt, std::move(result)});
        }));
    }

    void execute(const ReadObject& effect)
    {
        storeCalls.add();
        const MonotonicTime startedAt = monotonicNow();
        store.read(effect.kind, effect.name,
            ifAlive([this, kind = effect.kind, name = effect.name, startedAt](StoreReadResult result) {
                apply(StoreRead {kind, name, startedAt, std::move(result)});
            }));
    }

    void execute(const WriteObject& effect)
    {
        storeCalls.add();
        const MonotonicTime startedAt = monotonicNow();
        store.write(effect.kind, effect.name, effect.expectedVersion, effect.value,
            ifAlive([this, kind = effect.kind, name = effect.name, changeId = effect.changeId, startedAt](
                        StoreWriteResult result) {
                apply(StoreWritten {kind, name, changeId, startedAt, result});
            }));
    }

    void execute(SendPeerMessage& effect) { peers.send(effect.to, std::move(effect.envelope)); }

    void execute(const ConnectPeers& effect) { peers.setPeers(effect.peers); }

    void execute(const SendGrants& effect)
    {
        grantCalls.add();
        const MonotonicTime sentAt = monotonicNow();
        grants->send(effect.batch, ifAlive([this, batch = effect.batch, sentAt](std::optional<GrantReply> reply) {
            apply(GrantAnswered {batch.server, batch, sentAt, std::move(reply)});
        }));
    }

    void execute(const PublishRouting& effect)
    {
        table.publish(effect.snapshot);
        ownership.observe(monotonicNow(), effect.snapshot);
    }

    void execute(const OperatorAnswer& effect) { operatorApi.answer(effect.request, effect.status, effect.body); }

    void execute(const WriteLog& effect) { logEvent(effect.event, effect.details); }

    void execute(const RecordMetric& effect)
    {
        // docs/metrics.md describes the metrics; those that the reducer records have no help text of their own.
        const std::pair<std::string, std::string> key(effect.name, effect.labels);
        if (effect.gauge) {
            MetricsRegistry::Gauge*& cached = gauges[key];
            if (!cached) {
                cached = &metrics.gauge(effect.name, effect.labels, "See docs/metrics.md.");
            }
            cached->set(effect.value);
        } else {
            MetricsRegistry::Counter*& cached = counters[key];
            if (!cached) {
                cached = &metrics.counter(effect.name, effect.labels, "See docs/metrics.md.");
            }
            cached->add(static_cast<std::uint64_t>(effect.value));
        }
    }

    void execute(const ShutdownFinished&) { notifyShutdownFinished(); }

    void notifyShutdownFinished()
    {
        if (stopping && !shutdownNotified) {
            shutdownNotified = true;
            hooks.shutdownFinished();
        }
    }

    void requestShutdown()
    {
        if (stopping) {
            return;
        }
        stopping = true;
        logEvent(LogEvent::ProcessStopping, "instance=" + settings.instance);
        addTimer(
            static_cast<guint>(settings.shutdownTimeout.count()), G_PRIORITY_DEFAULT, [](gpointer data) -> gboolean {
                static_cast<State*>(data)->notifyShutdownFinished();
                return G_SOURCE_REMOVE;
            });
        apply(ShutdownRequested {});
    }

    void attachSource(GSource* source, int priority, GSourceFunc callback)
    {
        g_source_set_priority(source, priority);
        g_source_set_callback(source, callback, this, nullptr);
        g_source_attach(source, context.get());
        sources.push_back(source);
    }

    void addTimer(guint intervalMs, int priority, GSourceFunc callback)
    {
        attachSource(g_timeout_source_new(intervalMs), priority, callback);
    }

    void recordBurnSample()
    {
        const MonotonicTime now = monotonicNow();
        ownership.advance(now);
        burnHistory.add(now, metrics.read(), *table.current());
    }

    OperatorApi::Answer burnReport(const std::string& format)
    {
        recordBurnSample();
        const BurnReport report = burnHistory.report(settings.instance, wallNow(), *table.current());
        if (format == "text") {
            return {200, "text/plain; charset=utf-8", renderBurnText(report)};
        }
        if (format == "json") {
            return {200, "application/json", encodeBurnReport(report)};
        }
        if (format == "html") {
            return {200, "text/html; charset=utf-8", renderBurnHtml(report)};
        }
        return {400, "text/plain; charset=utf-8", "unknown format; use format=text, json or html\n"};
    }

    static gboolean onBurnTimer(gpointer data)
    {
        static_cast<State*>(data)->recordBurnSample();
        return G_SOURCE_CONTINUE;
    }

    static gboolean onTick(gpointer data)
    {
        static_cast<State*>(data)->apply(Tick {});
        return G_SOURCE_CONTINUE;
    }

    static gboolean onHotKeyTimer(gpointer data)
    {
        State& state = *static_cast<State*>(data);
        for (wire::HotKeyReport& report : state.hooks.takeHotKeys()) {
            state.apply(HotKeysObserved {std::move(report)});
        }
        return G_SOURCE_CONTINUE;
    }

    static gboolean onStopSignal(gpointer data)
    {
        static_cast<State*>(data)->requestShutdown();
        return G_SOURCE_CONTINUE;
    }
};

ControlLoop::ControlLoop(const InstanceSettings& settings, std::uint64_t incarnation, RoutingTable& table,
    MetricsRegistry& metrics, Hooks hooks)
    : m_state(std::make_unique<State>(settings, incarnation, table, metrics, std::move(hooks)))
{
}

ControlLoop::~ControlLoop() = default;

Result<void> ControlLoop::start()
{
    State& state = *m_state;
    BOOST_LEAF_CHECK(state.peers.start(state.context.get()));
    BOOST_LEAF_CHECK(state.operatorApi.start());
    state.store = state.hooks.makeStore();
    state.grants = std::make_unique<GrantClient>(state.settings.grantTimeout);
    // Ticks have priority over other sources, so that a flood of requests or messages does not delay leases.
    state.addTimer(tickIntervalMs, G_PRIORITY_HIGH, State::onTick);
    state.addTimer(hotKeyIntervalMs, G_PRIORITY_DEFAULT, State::onHotKeyTimer);
    state.recordBurnSample();
    state.addTimer(static_cast<guint>(BurnHistory::sampleInterval.count()), G_PRIORITY_DEFAULT, State::onBurnTimer);
    return {};
}

void ControlLoop::run()
{
    // The first tick does not wait for the timer. It runs inside the main loop, so that quit() can end the loop.
    post([state = m_state.get()] { state->apply(Tick {}); });
    g_main_loop_run(m_state->loop);
}

void ControlLoop::quit() noexcept { g_main_loop_quit(m_state->loop); }

void ControlLoop::requestShutdown() { m_state->requestShutdown(); }

void ControlLoop::reportRefusedRoute(const GroupName& group)
{
    post([state = m_state.get(), group] { state->apply(RouteRefused {group}); });
}

void ControlLoop::post(std::function<void()> task)
{
    GSource* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    g_source_set_callback(
        source,
        [](gpointer data) -> gboolean {
            (*static_cast<std::function<void()>*>(data))();
            return G_SOURCE_REMOVE;
        },
        new std::function<void()>(std::move(task)),
        [](gpointer data) { delete static_cast<std::function<void()>*>(data); });
    g_source_attach(source, m_state->context.get());
    g_source_unref(source);
}

void ControlLoop::handleStopSignals()
{
    m_state->attachSource(g_unix_signal_source_new(SIGTERM), G_PRIORITY_HIGH, State::onStopSignal);
    m_state->attachSource(g_unix_signal_source_new(SIGINT), G_PRIORITY_HIGH, State::onStopSignal);
}

} // namespace jasminespread
