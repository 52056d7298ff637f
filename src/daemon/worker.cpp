#include "daemon/worker.h"

#include <jasminespread/backend_transports.h>

#include <pthread.h>

#include <future>
#include <optional>

namespace jasminespread {
namespace {

constexpr std::uint32_t protocolVersion = 1;
constexpr guint tickMs = 5; ///< Interval of route polling and timers.
constexpr std::uint64_t ticksPerGaugeUpdate = 50;
/// Time after a drain in which the last answers to forwarded requests can still be sent.
constexpr Milliseconds drainLingerTime {500};
constexpr Milliseconds minLogInterval {200}; ///< Shortest time between log events of one kind in a worker.
constexpr std::size_t hotKeySketchCapacity = 256; ///< Keys counted per worker and service.
constexpr std::size_t hotKeysReported = 64; ///< Keys reported per worker and service.

std::string hostOf(const std::string& address) { return address.substr(0, address.rfind(':')); }

std::string addToPort(const std::string& address, std::uint32_t n)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return address;
    }
    return address.substr(0, colon + 1) + std::to_string(std::strtoul(address.c_str() + colon + 1, nullptr, 10) + n);
}

template <typename Function> GSourcePointer attachTimer(guint intervalMs, Function* function, gpointer data)
{
    GSourcePointer source(g_timeout_source_new(intervalMs));
    g_source_set_callback(source.get(), function, data, nullptr);
    g_source_attach(source.get(), g_main_context_get_thread_default());
    return source;
}

} // namespace

Worker::Worker(const InstanceSettings& settings, std::uint32_t index, std::uint64_t incarnation, void* zmqContext,
    RoutingTable& table, MetricsRegistry& metrics, WorkerPool::Hooks hooks)
    : m_settings(settings)
    , m_index(index)
    , m_incarnation(incarnation)
    , m_zmqContext(zmqContext)
    , m_routingTable(table)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_forwardAddress(addToPort(settings.forwardAddress, index))
    , m_replyAddress("tcp://" + m_forwardAddress)
    , m_context(g_main_context_new())
    , m_reducer(settings, index, incarnation ^ index)
{
}

Worker::~Worker() { stop(); }

Result<void> Worker::start()
{
    std::promise<std::optional<Error>> opened;
    std::future<std::optional<Error>> openResult = opened.get_future();
    m_thread = std::thread([this, &opened] {
        pthread_setname_np(pthread_self(), ("worker-" + std::to_string(m_index)).c_str());
        g_main_context_push_thread_default(m_context.get());
        const std::optional<Error> error = handleError(
            [this]() -> Result<std::optional<Error>> {
                BOOST_LEAF_CHECK(open());
                return std::optional<Error>();
            },
            [](const Error& failure) { return std::optional<Error>(failure); });
        opened.set_value(error);
        if (!error) {
            run();
        }
        close();
        g_main_context_pop_thread_default(m_context.get());
    });
    const std::optional<Error> error = openResult.get();
    if (error) {
        m_thread.join();
        return fail(error->kind, error->message);
    }
    return {};
}

void Worker::startDrain()
{
    m_drainRequested = true;
    g_main_context_invoke(
        m_context.get(),
        [](gpointer data) -> gboolean {
            Worker& worker = *static_cast<Worker*>(data);
            worker.m_draining = true;
            worker.m_listener->closeAfterAnswers();
            worker.m_sockets->setLinger(drainLingerTime);
            return G_SOURCE_REMOVE;
        },
        this);
}

std::size_t Worker::requestsInFlight() const noexcept
{
    // A tick stores m_inFlight before m_listening, so the number is current when the worker stops listening.
    const std::size_t backlog = m_drainRequested && m_listening ? 1 : 0;
    return m_inFlight + backlog;
}

void Worker::stop()
{
    m_stopping = true;
    g_main_context_wakeup(m_context.get());
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

Result<void> Worker::open()
{
    m_transport = std::make_unique<BackendTransport>(
        m_hooks.makeTransport ? m_hooks.makeTransport() : makeBeastBackendTransport({m_settings.maxBodyBytes}));
    m_sockets = std::make_unique<ForwardSockets>(m_zmqContext, m_settings.maxBodyBytes,
        ForwardSockets::Hooks {
            [this](wire::Envelope&& envelope, const std::string& ip) { onEnvelope(std::move(envelope), ip); },
            [this](const std::string& ip) {
                execute(WriteWorkerLog {LogEvent::ForwardRejected, "unreadable message from " + ip});
            },
        });
    BOOST_LEAF_CHECK(m_sockets->bind(m_forwardAddress));
    m_listener = std::make_unique<CallerListener>(m_settings.maxBodyBytes,
        CallerListener::Hooks {
            [this](std::uint64_t caller, RawRequest&& raw) { onCallerRequest(caller, std::move(raw)); },
            [this](std::uint64_t caller) { apply(CallerConnectionClosed {caller}); },
            [this](std::string_view reasonCode) {
                execute(RecordRequest {"", Outcome::NotRun, std::string(reasonCode), 0});
            },
        });
    BOOST_LEAF_CHECK(m_listener->listen(m_settings.callerAddress));
    m_tickSource = attachTimer(
        tickMs,
        +[](gpointer data) -> gboolean {
            static_cast<Worker*>(data)->onTick();
            return G_SOURCE_CONTINUE;
        },
        this);
    return {};
}

void Worker::run()
{
    while (!m_stopping) {
        g_main_context_iteration(m_context.get(), TRUE);
    }
}

void Worker::close()
{
    m_tickSource.reset();
    m_listener.reset();
    m_sockets.reset();
    m_transport.reset();
    // Lets libsoup and GIO complete their cancelled operations.
    while (g_main_context_iteration(m_context.get(), FALSE)) { }
}

void Worker::onTick()
{
    ++m_tickCount;
    refreshRoutes();
    apply(WorkerTick {});
    m_sockets->flush(monotonicNow());
    if (m_tickCount % ticksPerGaugeUpdate == 0) {
        updateGauges();
    }
    const bool stopped = m_draining && m_listener->stopListening();
    m_inFlight = m_reducer.requestsInFlight() + m_listener->pending() + m_sockets->bufferedMessages();
    m_listening = !stopped;
}

void Worker::onCallerRequest(std::uint64_t caller, RawRequest&& raw)
{
    std::variant<CallerRequest, RequestAnswer> parsed = parseCallerRequest(std::move(raw), wallNow());
    if (RequestAnswer* answer = std::get_if<RequestAnswer>(&parsed)) {
        execute(RecordRequest {"", answer->outcome, answer->reason, 0});
        return m_listener->answer(caller, RequestId(), std::move(*answer));
    }
    CallerRequest& request = std::get<CallerRequest>(parsed);
    refreshRoutes();
    if (m_snapshot->services.contains(request.service)) {
        const std::lock_guard<std::mutex> lock(m_hotKeysMutex);
        m_hotKeys.try_emplace(request.service, hotKeySketchCapacity).first->second.add(request.key);
    }
    apply(CallerRequestReceived {caller, std::move(request)});
}

void Worker::takeHotKeys(std::map<std::string, std::map<std::string, std::uint64_t>>& counts)
{
    const std::lock_guard<std::mutex> lock(m_hotKeysMutex);
    for (auto& [service, sketch] : m_hotKeys) {
        for (HotKeySketch::KeyCount& key : sketch.takeTopKeys(hotKeysReported)) {
            counts[service][std::move(key.key)] += key.count;
        }
    }
}

void Worker::updateGauges()
{
    const auto setServerGauges = [this](const RequestReducer::ServerLoad& load) {
        const std::string labels = "server=\"" + load.server + "\"";
        gauge("jasminespread_server_slots_in_use", labels, "Requests that run on a backend server.")
            .set(load.slotsInUse);
        gauge("jasminespread_server_queue_length", labels, "Requests that wait for a slot of a backend server.")
            .set(static_cast<double>(load.queued));
        gauge("jasminespread_server_concurrency_limit", labels, "Concurrent requests allowed to a backend server.")
            .set(load.limit);
    };
    const std::set<std::string> previousServers = std::exchange(m_serversWithGauges, {});
    for (const RequestReducer::ServerLoad& load : m_reducer.serverLoads()) {
        m_serversWithGauges.insert(load.server);
        setServerGauges(load);
    }
    for (const std::string& removedServer : previousServers) {
        if (!m_serversWithGauges.contains(removedServer)) {
            setServerGauges({removedServer, 0, 0, 0});
        }
    }
    gauge("jasminespread_requests_in_flight", "", "Requests that workers have not answered yet.")
        .set(static_cast<double>(m_reducer.requestsInFlight()));
    if (m_transport->connectionsOpened) {
        const std::uint64_t opened = m_transport->connectionsOpened();
        counter("jasminespread_connections_opened_total", "", "Connections opened to backend servers.")
            .add(opened - std::exchange(m_countedConnections, opened));
    }
}

MetricsRegistry::Counter& Worker::counter(const std::string& name, const std::string& labels, const std::string& help)
{
    MetricsRegistry::Counter*& cached = m_counters[name + "{" + labels];
    if (cached == nullptr) {
        cached = &m_metrics.counter(name, labels, help);
    }
    return *cached;
}

MetricsRegistry::Gauge& Worker::gauge(const std::string& name, const std::string& labels, const std::string& help)
{
    MetricsRegistry::Gauge*& cached = m_gauges[name + "{" + labels];
    if (cached == nullptr) {
        cached = &m_metrics.gauge(name, labels, help);
    }
    return *cached;
}

void Worker::onEnvelope(wire::Envelope&& envelope, const std::string& peerIp)
{
    refreshRoutes();
    if (!isPeerAddress(peerIp) || envelope.protocol_version() != protocolVersion) {
        return execute(WriteWorkerLog {LogEvent::ForwardRejected,
            "unknown sender address or unsupported protocol version: message from " + peerIp + " with protocol version "
                + std::to_string(envelope.protocol_version())});
    }
    InstanceReference sender {envelope.sender().id(), envelope.sender().incarnation()};
    switch (envelope.message_case()) {
    case wire::Envelope::kForwardRequest: {
        wire::ForwardRequest& request = *envelope.mutable_forward_request();
        // The routes may list another address for the sender than its own, such as a relay.
        for (const InstanceRoute& instance : m_snapshot->instances) {
            if (instance.id == sender.id) {
                request.set_reply_address("tcp://" + addToPort(instance.forwardAddress, request.reply_worker()));
            }
        }
        const std::string& replyTo = request.reply_address();
        if (!replyTo.starts_with("tcp://") || !isPeerAddress(hostOf(replyTo.substr(6)))) {
            return execute(
                WriteWorkerLog {LogEvent::ForwardRejected, "reply address belongs to no known instance: " + replyTo});
        }
        // Connects early, so that the answer does not wait for the connection.
        m_sockets->connect(replyTo.substr(6));
        return apply(ForwardReceived {std::move(sender), std::move(request)});
    }
    case wire::Envelope::kForwardAnswer:
        return apply(ForwardAnswered {std::move(*envelope.mutable_forward_answer())});
    case wire::Envelope::kForwardCancel:
        return apply(ForwardCancelled {std::move(sender), envelope.forward_cancel().correlation()});
    default:
        return execute(WriteWorkerLog {LogEvent::ForwardRejected, "unexpected message type from " + peerIp});
    }
}

void Worker::apply(WorkerEvent&& event)
{
    m_events.push_back(std::move(event));
    if (m_applyingEvents) {
        return;
    }
    m_applyingEvents = true;
    while (!m_events.empty()) {
        WorkerEvent next = std::move(m_events.front());
        m_events.pop_front();
        for (WorkerEffect& effect : m_reducer.reduce({monotonicNow(), wallNow(), std::move(next)})) {
            std::visit([this](auto& alternative) { execute(std::move(alternative)); }, effect);
        }
    }
    m_applyingEvents = false;
}

void Worker::refreshRoutes()
{
    std::shared_ptr<const RoutingSnapshot> current = m_routingTable.current();
    if (current == m_snapshot) {
        return;
    }
    m_snapshot = std::move(current);
    m_peerIps.clear();
    m_peerIps.insert(hostOf(m_settings.forwardAddress));
    for (const InstanceRoute& instance : m_snapshot->instances) {
        m_peerIps.insert(hostOf(instance.forwardAddress));
        m_peerIps.insert(hostOf(instance.listedAddress));
    }
    for (const auto& [instance, address] : m_settings.addressOverrides) {
        m_peerIps.insert(hostOf(address.forward));
    }
    m_peerIps.erase("");
    const std::uint32_t workerCount = std::max(1U, m_snapshot->liveInstances) * m_settings.workers;
    for (const ServerRoute& server : m_snapshot->servers) {
        m_transport->setConnectionLimit(server.address, std::max(1U, server.connections / workerCount));
    }
    apply(RoutesChanged {m_snapshot});
}

bool Worker::isPeerAddress(const std::string& ip) const { return m_peerIps.contains(ip); }

wire::Envelope Worker::makeEnvelope() const
{
    wire::Envelope envelope;
    envelope.set_protocol_version(protocolVersion);
    envelope.mutable_sender()->set_id(m_settings.instance);
    envelope.mutable_sender()->set_incarnation(m_incarnation);
    return envelope;
}

/// @name Effects
/// @{

void Worker::execute(AnswerCaller&& effect) { m_listener->answer(effect.caller, effect.id, std::move(effect.answer)); }

void Worker::execute(SendToBackend&& effect)
{
    const std::uint64_t dispatch = effect.dispatch;
    m_dispatches[dispatch] = m_transport->send(std::move(effect.request), [this, dispatch](BackendResult result) {
        m_dispatches.erase(dispatch);
        apply(BackendFinished {dispatch, std::move(result)});
    });
}

void Worker::execute(CancelDispatch&& effect)
{
    const auto it = m_dispatches.find(effect.dispatch);
    if (it != m_dispatches.end()) {
        m_transport->cancel(it->second);
        m_dispatches.erase(it);
    }
}

void Worker::execute(SendForward&& effect)
{
    const std::uint64_t correlation = effect.request.correlation();
    wire::Envelope envelope = makeEnvelope();
    effect.request.set_reply_address(m_replyAddress);
    effect.request.set_reply_worker(m_index);
    *envelope.mutable_forward_request() = std::move(effect.request);
    if (!m_sockets->send(effect.address, envelope)) {
        apply(ForwardNotSent {correlation});
    }
}

void Worker::execute(SendForwardCancel&& effect)
{
    wire::Envelope envelope = makeEnvelope();
    envelope.mutable_forward_cancel()->set_correlation(effect.correlation);
    // A lost cancellation wastes work but does not affect correctness.
    (void)m_sockets->send(effect.address, envelope);
}

void Worker::execute(SendForwardAnswer&& effect)
{
    wire::Envelope envelope = makeEnvelope();
    *envelope.mutable_forward_answer() = std::move(effect.answer);
    const std::string address = effect.address.starts_with("tcp://") ? effect.address.substr(6) : effect.address;
    m_sockets->sendOrBuffer(address, envelope, effect.expires);
}

void Worker::execute(ReportRefusedRoute&& effect)
{
    if (m_hooks.routeRefused) {
        m_hooks.routeRefused(effect.group);
    }
}

void Worker::execute(RecordRequest&& effect)
{
    const std::string labels = "service=\"" + effect.service + "\",outcome=\""
        + std::string(enumName(outcomeNames, effect.outcome)) + "\",reason=\"" + effect.reason + "\",server=\""
        + effect.server + "\"";
    counter("jasminespread_requests_total", labels, "Requests of callers by service, outcome, reason and server.")
        .add();
    MetricsRegistry::Histogram*& histogram = m_histograms[effect.service];
    if (histogram == nullptr) {
        histogram = &m_metrics.histogram("jasminespread_request_seconds", "service=\"" + effect.service + "\"",
            "Time from the arrival of a request to its answer.");
    }
    histogram->record(effect.seconds);
}

void Worker::execute(IncrementCounter&& effect)
{
    struct CounterInfo {
        WorkerCounter counter;
        const char* name;
        const char* help;
    };
    static constexpr CounterInfo counterInfos[] {
        {WorkerCounter::LateAnswers, "jasminespread_late_answers_total",
            "Answers dropped because no request waits for them."},
        {WorkerCounter::RouteRefusals, "jasminespread_route_refusals_total",
            "Requests that a backend server refused because of their route."},
        {WorkerCounter::Expired, "jasminespread_expired_total", "Requests whose deadline passed."},
        {WorkerCounter::Joined, "jasminespread_joined_total", "Repeated requests that joined a running one."},
        {WorkerCounter::CallersDisconnected, "jasminespread_callers_left_total",
            "Callers that closed their connection before the answer."},
    };
    for (const CounterInfo& info : counterInfos) {
        if (info.counter == effect.counter) {
            counter(info.name, "", info.help).add();
        }
    }
}

void Worker::execute(CountRetry&& effect)
{
    counter(
        "jasminespread_retries_total", "service=\"" + effect.service + "\"", "Requests sent again to a backend server.")
        .add();
}

void Worker::execute(WriteWorkerLog&& effect)
{
    // A failing server or an unknown sender can cause thousands of identical events per second.
    LogRateLimit& limit = m_logRateLimits[effect.event];
    const MonotonicTime now = monotonicNow();
    if (now - limit.lastWrittenAt < minLogInterval) {
        ++limit.suppressed;
        return;
    }
    limit.lastWrittenAt = now;
    const std::uint64_t suppressed = std::exchange(limit.suppressed, 0);
    logEvent(effect.event,
        suppressed == 0 ? effect.details
                        : effect.details + " (" + std::to_string(suppressed) + " similar events suppressed before)");
}

/// @}

} // namespace jasminespread
