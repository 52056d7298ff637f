#include "gateway/gateway_daemon.h"

#include "base/deadline_timer.h"
#include "base/loop_monitor.h"
#include "gateway/gateway_metrics.h"
#include "http/client_account.h"
#include "peer/peer_transport.h"
#include "ranges/range_authority.h"
#include "ranges/range_call_proof.h"

#include <jasminespread/backend_transports.h>
#include <jasminespread/log_event.h>
#include <jasminespread/metrics_registry.h>

#include <glib-unix.h>
#include <sys/resource.h>

#include <ctime>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view recordKind = "jasminespread";
/// Share of the memory for the answers in progress, and again for callers' requests and the answers that they have not
/// read. An answer that grows takes up to three times its length for a moment; a request is copied for its server.
constexpr std::uint64_t memoryDivisor = 6;
/// Descriptors for files and listeners; a quarter where that is less.
constexpr std::uint64_t fileDescriptors = 200;
/// What one other instance can make this one keep: 32 MiB. The largest messages are route tables; one of about 25,000
/// ranges would be too large.
constexpr std::uint32_t maxPeerMessageBytes = 1'048'576;
constexpr int peerReceiveQueueMessages = 32;
constexpr std::string_view metricsPath = "/metrics"; ///< On the readiness address.
/// Tick interval of the range authority: a tenth of its shortest timeout.
constexpr Milliseconds rangeTickInterval = 50ms;
/// Interval at which request counts by key are passed to the range authority.
constexpr Milliseconds keyCountInterval = 100ms;
/// Servers whose entries expired during a store outage register again within about two seconds after it.
constexpr Milliseconds serverGracePeriod = 2000ms;
/// An instance without range tables reports itself ready after this time, to serve the services without keys.
constexpr Milliseconds maxRangesWait = 3000ms;
/// Time until the load balancer removes a stopping instance: two readiness checks, a second apart.
constexpr Milliseconds balancerRemovalTime = 3000ms;
/// The process exits this long before it would be killed.
constexpr Milliseconds stopMargin = 300ms;
/// All requests are answered this long before the process exits.
constexpr Milliseconds lastAnswerTime = 100ms;
constexpr Milliseconds drainIdleTimeout = 3000ms;
/// After the last connection was accepted, its first request is awaited for this time.
constexpr Milliseconds firstRequestWait = 500ms;
/// Processor share, in cores, from which an instance is fully fit to lead: the largest share in the users' deployments.
constexpr double fullFitnessProcessorShare = 0.5;
/// Longer than that of a grant: a release is answered when the requests in flight for its keys have ended.
constexpr Milliseconds releaseTimeout = 2500ms;

/// Event loop iterations, and waits of a send for its connection, are logged from this duration on.
constexpr Milliseconds stallThreshold = 100ms;
constexpr Milliseconds sendDelayThreshold = 100ms;

/// Two clocks are read one after the other; a smaller difference is not a suspension of the machine.
constexpr Milliseconds minSuspension = 20ms;

/// Time by a clock that also advances while the machine is suspended.
MonotonicTime boottimeNow()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return MonotonicTime(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

class GatewayDaemon {
public:
    GatewayDaemon(const GatewayDaemonSettings& settings,
        const std::function<GatewayPorts(BackendTransport&)>& makePorts,
        std::function<Result<GatewayDaemonSettings>()> reload)
        : m_settings(settings)
        , m_reload(std::move(reload))
        , m_incarnation(randomSeed() | 1U)
        , m_monitor(nullptr, stallThreshold,
              [](Milliseconds iteration, const std::string& steps) {
                  logEvent(LogEvent::LoopStalled, "turn-ms=" + std::to_string(iteration.count()) + " steps=" + steps);
              })
        , m_transport(makeBeastBackendTransport(answerLimits(settings)))
        , m_adapterTransport(monitored(m_transport))
        , m_ports(makePorts(m_adapterTransport))
        , m_reducer(settings.reducer, randomSeed())
        , m_authority(LeaderRecord {0, settings.instance, m_incarnation, settings.controlAddress, {}},
              rangeTimes(settings), leadershipTimes(settings), randomSeed(), settings.reducer.coldLimits)
        , m_directory({serverGracePeriod, settings.registrationExpiry, settings.shortestExpiringOutage})
        , m_reducerTimer([this] { onReducerTimer(); })
        , m_clientAccount(std::make_shared<ClientAccount>(clientBounds(settings)))
        , m_callerServer(callerServerLimits(settings),
              {[this](std::uint64_t caller, RawRequest&& raw) { onRequest(caller, std::move(raw)); },
                  [this](std::uint64_t caller) { apply(CallerDisconnected {caller}); }, onInputRefused,
                  [this](const RawRequest& raw) { return mayOverlap(raw); }},
              m_clientAccount, "callers")
        , m_readinessServer(callerServerLimits(settings),
              {[this](std::uint64_t caller, RawRequest&& raw) { onReadiness(caller, raw); }, [](std::uint64_t) {},
                  onInputRefused},
              m_clientAccount, "readiness")
    {
    }

    Result<void> run()
    {
        m_loop = g_main_loop_new(nullptr, FALSE);
        BOOST_LEAF_CHECK(m_callerServer.listen(m_settings.callerAddress));
        BOOST_LEAF_CHECK(m_readinessServer.listen(m_settings.readinessAddress));
        BOOST_LEAF_CHECK(startPeers());
        m_startedAt = monotonicNow();
        apply(GatewayTick {}); // The reducer counts its start from here.
        g_unix_signal_add(SIGTERM, onStopSignal, this);
        g_unix_signal_add(SIGINT, onStopSignal, this);
        g_unix_signal_add(SIGHUP, onReloadSignal, this);
        g_timeout_add(static_cast<guint>(rangeTickInterval.count()), onRangeTick, this);
        m_ports.start({[this](GatewayConfiguration&& configuration) { onConfiguration(std::move(configuration)); },
            [this](ServerRegistrations&& servers) { onServers(servers); },
            [this](std::set<std::string>&& domains) { onEvacuations(std::move(domains)); },
            [this](bool reachable) { onStoreReachability(reachable); },
            [this](const std::string& feed, FeedRevision revision, bool byStore) {
                // Upper bound on how long the message that was just read had been waiting.
                const auto maxUnreadTime
                    = std::chrono::ceil<Milliseconds>(monotonicNow() - m_monitor.inputArrivedAfter());
                applyRangeEvent(FeedRevisionConfirmed {feed, revision, byStore, maxUnreadTime});
            },
            [this](FeedChange&& change) { applyRangeEvent(FeedChanged {std::move(change)}); },
            [this] { m_directory.onStoreRestored(monotonicNow()); }});
        logEvent(LogEvent::ProcessStarted,
            "instance=" + m_settings.instance + " incarnation=" + std::to_string(m_incarnation));
        g_main_loop_run(m_loop);
        g_main_loop_unref(m_loop);
        logEvent(LogEvent::ProcessStopped, "unanswered=" + std::to_string(m_reducer.requestsInFlight()));
        return {};
    }

private:
    static RangeTimes rangeTimes(const GatewayDaemonSettings& settings)
    {
        RangeTimes times;
        times.leaseTime = std::min(times.leaseTime, settings.maxHold);
        return times;
    }

    static HttpServerLimits callerServerLimits(const GatewayDaemonSettings& settings)
    {
        HttpServerLimits limits;
        limits.maxPipelinedRequests = settings.maxPipelinedRequests;
        limits.maxPipelinedBytes = settings.maxPipelinedBytes;
        limits.minBodyBytesPerSecond = settings.minBodyBytesPerSecond;
        return limits;
    }

    /// A quarter of the descriptors that are not for files is left for servers, the store and other instances.
    static ClientAccount::Bounds clientBounds(const GatewayDaemonSettings& settings)
    {
        ClientAccount::Bounds bounds;
        bounds.bytes = settings.memoryBytes > 0 ? settings.memoryBytes / memoryDivisor : bounds.bytes;
        rlimit enforced {};
        const bool isKnown = getrlimit(RLIMIT_NOFILE, &enforced) == 0 && enforced.rlim_cur != RLIM_INFINITY;
        std::uint64_t descriptors = isKnown ? enforced.rlim_cur : settings.maxDescriptors;
        if (settings.maxDescriptors > 0) {
            descriptors = std::min<std::uint64_t>(descriptors, settings.maxDescriptors);
        }
        if (descriptors > 0) {
            const std::uint64_t others = descriptors - std::min(fileDescriptors, descriptors / 4);
            bounds.connections = others - others / 4;
        }
        return bounds;
    }

    static AnswerLimits answerLimits(const GatewayDaemonSettings& settings)
    {
        AnswerLimits limits;
        limits.maxTotalBytes = settings.memoryBytes > 0 ? settings.memoryBytes / memoryDivisor : limits.maxTotalBytes;
        return limits;
    }

    static LeadershipTimes leadershipTimes(const GatewayDaemonSettings& settings)
    {
        LeadershipTimes times;
        times.fitness = std::clamp(settings.processorShare / fullFitnessProcessorShare, 0.0, 1.0);
        times.isFirstStart = settings.isFirstStart;
        return times;
    }

    /// Wraps @p transport so that the loop monitor accounts for its callbacks as a step of their own.
    BackendTransport monitored(const BackendTransport& transport)
    {
        BackendTransport monitoredTransport = transport;
        monitoredTransport.send = [this](BackendRequest request, BackendTransport::Callback callback) {
            m_gatewayMetrics.recordStoreCall(request.purpose);
            return m_transport.send(std::move(request), [this, callback = std::move(callback)](BackendResult result) {
                const LoopMonitor::Step step(m_monitor, "store-answer");
                callback(std::move(result));
            });
        };
        return monitoredTransport;
    }

    Result<void> startPeers()
    {
        InstanceSettings settings;
        settings.instance = m_settings.instance;
        settings.controlAddress = m_settings.controlAddress;
        m_peers = std::make_unique<PeerTransport>(settings, m_incarnation, m_metrics, [this](wire::Envelope envelope) {
            const LoopMonitor::Step step(m_monitor, "peer-message");
            applyRangeEvent(RangePeerMessage {std::move(envelope)});
        });
        m_peers->acceptUnlistedSenders();
        m_peers->setLimits({maxPeerMessageBytes, peerReceiveQueueMessages});
        return m_peers->start(nullptr);
    }

    /// @name Platform events
    /// @{
    void onConfiguration(GatewayConfiguration&& received)
    {
        if (m_configuration && received.version <= m_configuration->version) {
            return;
        }
        m_configuration = std::make_shared<const GatewayConfiguration>(std::move(received));
        const CallerLimits& limits = m_configuration->limits;
        HttpServerLimits bounds = callerServerLimits(m_settings);
        bounds.maxHeaderBytes = limits.maxHeaderBytes;
        bounds.maxBodyBytes = limits.maxBodyBytes;
        bounds.headerTimeout = limits.headerTimeout;
        bounds.idleTimeout = limits.idleTimeout;
        m_callerServer.setLimits(bounds);
        m_readinessServer.setLimits(bounds);
        logEvent(LogEvent::ConfigurationInForce,
            "version=" + std::to_string(m_configuration->version)
                + " routes=" + std::to_string(m_configuration->routes.size()));
        apply(GatewayConfigured {m_configuration});
        applyRangeEvent(RangeServicesConfigured {m_configuration});
    }

    void onServers(const ServerRegistrations& servers)
    {
        m_directory.update(servers, monotonicNow());
        publishServers();
    }

    void onEvacuations(std::set<std::string>&& domains)
    {
        const std::optional<Milliseconds> maxChangeAge = maxFeedChangeAge(m_ports.evacuationFeed);
        logEvacuations(domains, maxChangeAge);
        m_gatewayMetrics.setEvacuatedDomains(domains.size());
        const bool isFirstList = !std::exchange(m_evacuatedDomains, domains);
        applyRangeEvent(RangeEvacuationsListed {domains});
        if (isFirstList && m_servers) {
            applyRangeEvent(RangeServersListed {m_servers});
        }
        apply(EvacuationsListed {std::move(domains), maxChangeAge});
    }

    /// Before that, a leader could give key ranges to servers of an evacuated failure domain.
    [[nodiscard]] bool knowsEvacuations() const
    {
        return m_evacuatedDomains.has_value() || !m_settings.reducer.evacuationTime;
    }

    void logEvacuations(const std::set<std::string>& domains, std::optional<Milliseconds> maxChangeAge) const
    {
        const auto logChange = [maxChangeAge](const std::string& domain, bool evacuated) {
            std::string details = "domain=" + domain;
            details += evacuated ? " evacuated=yes" : " evacuated=no";
            details += " max-age-ms=" + (maxChangeAge ? std::to_string(maxChangeAge->count()) : "unknown");
            logEvent(LogEvent::DomainEvacuationChanged, details);
        };
        const std::set<std::string> before = m_evacuatedDomains.value_or(std::set<std::string>());
        for (const std::string& domain : domains) {
            if (!before.contains(domain)) {
                logChange(domain, true);
            }
        }
        for (const std::string& domain : before) {
            if (!domains.contains(domain)) {
                logChange(domain, false);
            }
        }
    }

    /// Upper bound of the time since the changes were made that @p feed is reporting.
    [[nodiscard]] std::optional<Milliseconds> maxFeedChangeAge(const std::string& feed) const
    {
        const std::optional<MonotonicTime> confirmedAsOf = m_authority.feedConfirmedAsOf(feed);
        return confirmedAsOf ? std::optional(std::chrono::ceil<Milliseconds>(boottimeNow() - *confirmedAsOf))
                             : std::nullopt;
    }

    void publishServers()
    {
        const std::shared_ptr<const ServerList> servers = m_directory.servers();
        if (m_servers && *m_servers == *servers) {
            return;
        }
        const std::optional<Milliseconds> maxChangeAge = maxFeedChangeAge(m_ports.serverFeed);
        logServerChanges(servers, maxChangeAge);
        m_servers = servers;
        apply(ServersListed {servers, maxChangeAge});
        if (knowsEvacuations()) {
            applyRangeEvent(RangeServersListed {servers});
        }
    }

    void logServerChanges(
        const std::shared_ptr<const ServerList>& servers, std::optional<Milliseconds> maxChangeAge) const
    {
        const std::string age = " max-age-ms=" + (maxChangeAge ? std::to_string(maxChangeAge->count()) : "unknown");
        std::map<ServerIdentity, ListedServerState> before;
        if (m_servers) {
            for (const ListedServer& server : *m_servers) {
                before[server.identity] = server.state;
            }
        }
        for (const ListedServer& server : *servers) {
            const auto it = before.find(server.identity);
            if (m_servers && (it == before.end() || it->second != server.state)) {
                logEvent(LogEvent::ServerListChanged,
                    "server=" + server.identity.id + " service=" + server.service
                        + " state=" + std::string(enumName(listedServerStateNames, server.state)) + age);
            }
            before.erase(server.identity);
        }
        for (const auto& [identity, state] : before) {
            logEvent(LogEvent::ServerListChanged, "server=" + identity.id + " state=gone" + age);
        }
    }

    void onStoreReachability(bool reachable)
    {
        logEvent(reachable ? LogEvent::StoreAvailable : LogEvent::StoreUnavailable, "reported by the server list feed");
        applyRangeEvent(StoreReachabilityChanged {reachable});
    }
    /// @}

    /// @name Callers
    /// @{
    void onRequest(std::uint64_t caller, RawRequest&& raw)
    {
        const LoopMonitor::Step step(m_monitor, "request");
        std::variant<GatewayRequest, CallerAnswer> decoded = m_ports.decodeRequest(std::move(raw));
        if (CallerAnswer* answer = std::get_if<CallerAnswer>(&decoded)) {
            return m_callerServer.answer(caller, std::move(*answer));
        }
        apply(RequestReceived {caller, std::move(std::get<GatewayRequest>(decoded))});
    }

    /// Whether a request may run beside others of its connection. One without a route reaches no server; before the
    /// first configuration a request may turn out to be of any route.
    [[nodiscard]] bool mayOverlap(const RawRequest& raw) const
    {
        if (!m_configuration) {
            return false;
        }
        const HostRoute* route = findRoute(*m_configuration, findHeader(raw.headers, "Host").value_or(""), raw.path);
        return route == nullptr || route->repeatability == Repeatability::Idempotent;
    }

    [[nodiscard]] bool isReady() const
    {
        if (m_stopping || !m_configuration || !m_directory.hasList() || !knowsEvacuations()) {
            return false;
        }
        std::vector<std::string> keyedServices;
        for (const auto& [name, service] : m_configuration->services) {
            if (service.keyed) {
                keyedServices.push_back(name);
            }
        }
        return m_authority.hasRangeTables(keyedServices) || monotonicNow() - m_startedAt > maxRangesWait;
    }

    static void onInputRefused(const CallerAnswer& answer, const std::string& caller)
    {
        logEvent(LogEvent::RequestRejected,
            "address=" + caller + " status=" + std::to_string(answer.status) + " why=" + answer.body);
    }

    void onReadiness(std::uint64_t caller, const RawRequest& request)
    {
        CallerAnswer answer;
        if (request.path == metricsPath) {
            answer.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
            m_gatewayMetrics.setLostLogLines(lostLogLines());
            m_gatewayMetrics.setClientUsage(m_clientAccount->usage());
            answer.body = m_metrics.exposition();
            return m_readinessServer.answer(caller, std::move(answer));
        }
        answer.status = request.path != m_ports.readinessPath ? 404 : isReady() ? 200 : 503;
        m_readinessServer.answer(caller, std::move(answer));
    }
    /// @}

    /// @name Data path
    /// @{
    void apply(GatewayEvent&& event)
    {
        m_pendingEvents.push_back(std::move(event));
        if (m_applyingEvents) {
            return;
        }
        m_applyingEvents = true;
        noteSuspension();
        while (!m_pendingEvents.empty()) {
            GatewayEvent next = std::move(m_pendingEvents.front());
            m_pendingEvents.pop_front();
            for (GatewayEffect& effect : m_reducer.reduce({monotonicNow(), std::move(next)})) {
                std::visit([this](auto& alternative) { execute(std::move(alternative)); }, effect);
            }
        }
        m_applyingEvents = false;
        m_reducerTimer.arm(m_reducer.nextWake());
    }

    /// Tells the reducer how long the machine was suspended since the last call.
    void noteSuspension()
    {
        const auto suspendedFor = std::chrono::duration_cast<Milliseconds>(boottimeNow() - monotonicNow());
        if (m_suspendedFor && suspendedFor - *m_suspendedFor >= minSuspension) {
            m_pendingEvents.push_front(MachineSuspended {suspendedFor - *m_suspendedFor});
            m_suspendedFor = suspendedFor;
        }
        m_suspendedFor = m_suspendedFor.value_or(suspendedFor);
    }

    void execute(AnswerRequest&& effect)
    {
        const std::uint64_t caller = effect.caller;
        m_callerServer.answer(caller, m_ports.encodeAnswer(std::move(effect)));
    }

    void execute(SendToServer&& effect)
    {
        const std::uint64_t dispatch = effect.dispatch;
        BackendRequest request = m_ports.encodeSend(effect);
        // The event loop may not have read yet that the caller has disconnected.
        const auto callerLeft = std::make_shared<bool>(false);
        request.mayBegin = [this, dispatch, caller = effect.caller, id = effect.request->id, deadline = effect.deadline,
                               startedAt = monotonicNow(), callerLeft] {
            const MonotonicTime now = monotonicNow();
            logDelay(id, std::chrono::duration_cast<Milliseconds>(now - startedAt));
            *callerLeft = m_callerServer.hasCallerDisconnected(caller);
            return !*callerLeft && now < deadline && m_reducer.maySend(dispatch, now);
        };
        const BackendTransport::Handle handle
            = m_transport.send(std::move(request), [this, dispatch, callerLeft](BackendResult result) {
                  const LoopMonitor::Step step(m_monitor, "server-answer");
                  m_sendHandles.erase(dispatch);
                  if (result.progress == BackendProgress::Answered) {
                      apply(ServerAnswered {dispatch, m_ports.decodeServerAnswer(std::move(result))});
                  } else {
                      apply(SendFailed {dispatch, sendFailureOf(result, *callerLeft), result.failure});
                  }
              });
        m_sendHandles.emplace(dispatch, handle);
    }

    /// Logs a request that waited long for a connection.
    static void logDelay(const std::string& id, Milliseconds waited)
    {
        if (waited >= sendDelayThreshold) {
            logEvent(LogEvent::SendDelayed, "id=" + id + " waited-ms=" + std::to_string(waited.count()));
        }
    }

    static SendFailure sendFailureOf(const BackendResult& result, bool callerLeft)
    {
        if (result.progress == BackendProgress::Broken) {
            return SendFailure::MayHaveRun;
        }
        if (!result.withheld) {
            return SendFailure::NotSent;
        }
        return callerLeft ? SendFailure::CallerLeft : SendFailure::Withheld;
    }

    void execute(CancelSend&& effect)
    {
        const auto it = m_sendHandles.find(effect.dispatch);
        if (it != m_sendHandles.end()) {
            m_transport.cancel(it->second);
            m_sendHandles.erase(it);
        }
    }

    void execute(CountKey&& effect) { ++m_keyCounts[effect.service][effect.key]; }

    void execute(RecordDecision&& effect)
    {
        m_gatewayMetrics.recordDecision(effect);
        logEvent(LogEvent::RequestDecided,
            "id=" + effect.requestId + " route=" + effect.route + " service=" + effect.service
                + " server=" + effect.server + " age-ms=" + std::to_string(effect.age.count())
                + " decision=" + std::string(effect.decision) + " why=\"" + effect.reason + "\"");
    }

    void execute(RecordServerStatement&& effect)
    {
        m_gatewayMetrics.recordServerStatement(effect);
        const std::string server = "server=" + effect.server.id + " id=" + effect.requestId;
        if (effect.pause) {
            logEvent(LogEvent::ServerPauseRequested, server + " pause-ms=" + std::to_string(effect.pause->count()));
        } else {
            logEvent(LogEvent::ServerLeavingStated, server);
        }
    }

    void onReducerTimer()
    {
        const LoopMonitor::Step step(m_monitor, "request-timer");
        apply(GatewayTick {});
    }
    /// @}

    /// @name Key ranges
    /// @{
    void applyRangeEvent(RangeEvent&& event)
    {
        const MonotonicTime decidedAt = boottimeNow();
        for (RangeEffect& effect : m_authority.reduce({decidedAt, std::move(event)})) {
            m_rangeEffectsDecidedAt = decidedAt;
            std::visit([this](auto& alternative) { executeRangeEffect(std::move(alternative)); }, effect);
        }
    }

    void executeRangeEffect(ReadRecord&& effect)
    {
        const MonotonicTime startedAt = boottimeNow();
        m_ports.records.read(
            std::string(recordKind), effect.name, [this, name = effect.name, startedAt](StoreReadResult result) {
                applyRangeEvent(RecordRead {name, startedAt, std::move(result)});
            });
    }

    void executeRangeEffect(WriteRecord&& effect)
    {
        const MonotonicTime startedAt = boottimeNow();
        m_ports.records.write(std::string(recordKind), effect.name, effect.expectedVersion, effect.value,
            [this, name = effect.name, startedAt, era = effect.era](StoreWriteResult result) {
                applyRangeEvent(RecordWritten {name, startedAt, result, era});
            });
    }

    void executeRangeEffect(GrantRange&& effect)
    {
        sendCall(effect.callId, false, m_ports.encodeGrant(effect, monotonicNow() + RangeTimes().callTimeout));
    }

    void executeRangeEffect(ReleaseRange&& effect)
    {
        sendCall(effect.callId, true, m_ports.encodeRelease(effect, monotonicNow() + releaseTimeout));
    }

    void sendCall(std::uint64_t call, bool isRelease, BackendRequest&& request)
    {
        request.connectTimeout = RangeTimes().callTimeout;
        // The time of a grant counts from the decision, by a clock that also advances while the machine is suspended.
        request.mayBegin
            = [until = m_rangeEffectsDecidedAt + RangeTimes().callTimeout] { return boottimeNow() < until; };
        BackendRequest repeated = request;
        repeated.needsNewConnection = true;
        const auto accepted = std::make_shared<bool>(true);
        request.keepsConnection
            = [this, call, isRelease, address = request.address, accepted](const BackendResult& result) {
                  // The answer behind one that is not accepted may be that to this call.
                  *accepted = m_callProof.accepts(
                      address, isRelease, m_ports.decodeGrantAnswer(call, result), result.connectionReused);
                  return *accepted;
              };
        m_transport.send(std::move(request),
            [this, call, isRelease, accepted, repeated = std::move(repeated)](const BackendResult& result) mutable {
                const LoopMonitor::Step step(m_monitor, "grant-answer");
                if (*accepted) {
                    return applyRangeEvent(m_ports.decodeGrantAnswer(call, result));
                }
                const std::string address = repeated.address;
                m_transport.send(std::move(repeated), [this, call, isRelease, address](const BackendResult& confirmed) {
                    RangeCallEnded confirmedEnd = m_ports.decodeGrantAnswer(call, confirmed);
                    confirmedEnd.earlierSendMayArrive = true;
                    // Notes its handover; an answer on a new connection is accepted.
                    (void)m_callProof.accepts(address, isRelease, confirmedEnd, confirmed.connectionReused);
                    applyRangeEvent(std::move(confirmedEnd));
                });
            });
    }

    void executeRangeEffect(SendRangePeerMessage&& effect)
    {
        if (!m_peers->send(effect.to, std::move(effect.envelope))) {
            applyRangeEvent(RangeMessageDropped {std::move(effect.to)});
        }
    }

    void executeRangeEffect(ConnectRangePeers&& effect)
    {
        std::vector<InstanceEntry> entries;
        for (const RangePeer& peer : effect.peers) {
            InstanceEntry& entry = entries.emplace_back();
            entry.id = peer.id;
            entry.controlAddress = peer.address;
        }
        m_peers->setPeers(entries);
    }

    void executeRangeEffect(PublishRanges&& effect) { apply(RangeTableChanged {std::move(effect.table)}); }
    void executeRangeEffect(PublishLoads&& effect) { apply(ServerLoadsReported {std::move(effect.inFlight)}); }
    void executeRangeEffect(PublishColdPermits&& effect)
    {
        m_gatewayMetrics.setColdPermits(effect.permits);
        // The clock of the range events also counts suspended time.
        const MonotonicTime validUntil = monotonicNow() + (effect.validUntil - boottimeNow());
        apply(ColdPermitsReceived {std::move(effect.permits), validUntil});
    }
    void executeRangeEffect(PublishInstanceCount&& effect) { apply(InstanceCountChanged {effect.instanceCount}); }
    void executeRangeEffect(SelectFeedSource&& effect)
    {
        logEvent(LogEvent::FeedSourceChanged, "source=" + std::string(enumName(feedSourceNames, effect.source)));
        m_ports.setFeedSource(effect.source);
    }
    void executeRangeEffect(ApplyFeedChange&& effect) { m_ports.applyFeedChange(effect.change); }
    void executeRangeEffect(FetchFeed&& effect) { m_ports.fetchFeed(effect.feed); }
    void executeRangeEffect(WriteRangeLog&& effect) { logEvent(effect.event, effect.details); }

    static gboolean onRangeTick(gpointer data)
    {
        static_cast<GatewayDaemon*>(data)->tick();
        return G_SOURCE_CONTINUE;
    }

    void tick()
    {
        const LoopMonitor::Step step(m_monitor, "range-tick");
        const MonotonicTime now = monotonicNow();
        if (now >= m_nextKeyCountAt) {
            m_nextKeyCountAt = now + keyCountInterval;
            for (auto& [service, counts] : std::exchange(m_keyCounts, {})) {
                applyRangeEvent(KeysCounted {service, {counts.begin(), counts.end()}});
            }
            applyRangeEvent(SpeedsObserved {m_reducer.takeSpeeds()});
            applyRangeEvent(ColdDemandsObserved {m_reducer.takeColdDemands()});
            const std::vector<ServerIdentity> leaving = m_reducer.leavingServers();
            applyRangeEvent(LeavingServersObserved {{leaving.begin(), leaving.end()}});
        }
        if (const std::optional<Milliseconds> age = maxFeedChangeAge(m_ports.serverFeed)) {
            m_directory.confirm(now - *age);
        }
        if (m_directory.applyTimeouts(now)) {
            publishServers();
        }
        applyRangeEvent(RangeTick {});
        if (m_stopping) {
            continueStop(now);
        }
    }
    /// @}

    /// @name Signals
    /// @{
    static gboolean onStopSignal(gpointer data)
    {
        static_cast<GatewayDaemon*>(data)->stop();
        return G_SOURCE_CONTINUE;
    }

    void stop()
    {
        if (m_stopping) {
            return;
        }
        m_stopping = true;
        m_stopRequestedAt = monotonicNow();
        logEvent(LogEvent::ProcessStopping, "unanswered=" + std::to_string(m_reducer.requestsInFlight()));
        m_callerServer.drain(drainIdleTimeout);
        apply(InstanceStopping {m_stopRequestedAt + balancerRemovalTime,
            m_stopRequestedAt + m_settings.stopTimeout - stopMargin - lastAnswerTime});
        applyRangeEvent(RangeStopRequested {});
    }

    void continueStop(MonotonicTime now)
    {
        const bool removedFromBalancer = now - m_stopRequestedAt >= balancerRemovalTime;
        if (removedFromBalancer) {
            m_callerServer.stopListening();
        }
        const bool idle = now - m_stopRequestedAt >= balancerRemovalTime + firstRequestWait
            && m_callerServer.pending() == 0 && !m_callerServer.hasInput();
        if (idle || now - m_stopRequestedAt >= m_settings.stopTimeout - stopMargin) {
            g_main_loop_quit(m_loop);
        }
    }

    static gboolean onReloadSignal(gpointer data)
    {
        auto& daemon = *static_cast<GatewayDaemon*>(data);
        handleError(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(settings, daemon.m_reload());
                daemon.m_settings.stopTimeout = settings.stopTimeout;
                logEvent(LogEvent::ProcessStarted, "settings reloaded");
                return {};
            },
            [](const Error& error) {
                logEvent(LogEvent::ConfigurationRejected,
                    "reload failed; keeping the previous settings: " + describe(error));
            });
        return G_SOURCE_CONTINUE;
    }
    /// @}

    GatewayDaemonSettings m_settings;
    std::function<Result<GatewayDaemonSettings>()> m_reload;
    std::uint64_t m_incarnation;
    GMainLoop* m_loop = nullptr;
    MetricsRegistry m_metrics;
    GatewayMetrics m_gatewayMetrics {m_metrics};
    LoopMonitor m_monitor;
    BackendTransport m_transport;
    BackendTransport m_adapterTransport; ///< m_transport with monitored callbacks, for the adapter.
    GatewayPorts m_ports;
    GatewayReducer m_reducer;
    RangeAuthority m_authority;
    RangeCallProof m_callProof;
    ServerDirectory m_directory;
    DeadlineTimer m_reducerTimer; ///< Fires at the reducer's next wake time.
    std::shared_ptr<ClientAccount> m_clientAccount;
    HttpServer m_callerServer;
    HttpServer m_readinessServer;
    std::unique_ptr<PeerTransport> m_peers;
    MonotonicTime m_rangeEffectsDecidedAt; ///< When the current range effects were decided, by boottimeNow().
    std::shared_ptr<const GatewayConfiguration> m_configuration;
    std::shared_ptr<const ServerList> m_servers; ///< As last published.
    std::optional<std::set<std::string>> m_evacuatedDomains; ///< Absent until the first list.
    std::deque<GatewayEvent> m_pendingEvents; ///< Events to apply, including those raised while effects are executed.
    bool m_applyingEvents = false;
    std::optional<Milliseconds> m_suspendedFor; ///< Total time in which the machine was suspended, as last seen.
    std::unordered_map<std::uint64_t, BackendTransport::Handle> m_sendHandles; ///< By dispatch.
    std::map<std::string, std::map<std::uint16_t, std::uint32_t>> m_keyCounts; ///< By service and key.
    MonotonicTime m_nextKeyCountAt;
    MonotonicTime m_startedAt;
    MonotonicTime m_stopRequestedAt;
    bool m_stopping = false;
};

} // namespace

Result<void> runGatewayDaemon(const GatewayDaemonSettings& settings,
    const std::function<GatewayPorts(BackendTransport&)>& makePorts,
    const std::function<Result<GatewayDaemonSettings>()>& reload)
{
    return GatewayDaemon(settings, makePorts, reload).run();
}

} // namespace jasminespread
