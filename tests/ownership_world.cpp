#include "ownership_world.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr const char* service = "planner";
constexpr Milliseconds tickInterval = 50ms;
constexpr Milliseconds checkInterval = 10ms;
constexpr Milliseconds callDelay = 2ms; ///< One way between instance and server.
constexpr Milliseconds copyDelay = 1ms; ///< From a call to a copy of an earlier answer, which is sent before its own.
constexpr Milliseconds callTimeout = RangeTimes().callTimeout;
constexpr Milliseconds releaseTimeout = 2500ms; ///< As in the gateway.
constexpr Milliseconds registrationInterval = 800ms;
constexpr Milliseconds registrationExpiry = 3000ms;
constexpr int maxWorkMs = 250;
constexpr double maxClockDrift = 0.02;
constexpr double callFaultRate = 0.5; ///< Share of the calls in a disruption that it affects.

constexpr std::array<std::string_view, disruptionKindCount> kindNames {"starts again under its id", "drains",
    "registration is carried out again late", "grants are lost", "grants are executed late", "releases are lost",
    "answers are doubled", "is turned away by the store", "store writes are late", "is cut from the other instance",
    "pauses", "is killed", "sees late that the store is restored"};

double fractionOf(std::mt19937_64& random) { return std::uniform_real_distribution<double>(0, 1)(random); }

int chooseUpTo(std::mt19937_64& random, int max) { return std::uniform_int_distribution<int>(0, max)(random); }

std::vector<double> clockRatesOf(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<double> rates;
    for (std::size_t i = 0; i < OwnershipWorld::serverCount; ++i) {
        rates.push_back(1 + maxClockDrift * fractionOf(random));
    }
    return rates;
}

std::string textOf(KeyRange range) { return std::to_string(range.first) + "-" + std::to_string(range.last); }

bool concernsServer(Disruption::Kind kind)
{
    return static_cast<std::size_t>(kind) <= static_cast<std::size_t>(Disruption::Kind::AnswersDoubled);
}

} // namespace

std::string describe(const Disruption& disruption)
{
    return std::to_string(disruption.at.count()) + " ms: " + (concernsServer(disruption.kind) ? "server " : "instance ")
        + std::to_string(disruption.target) + " " + std::string(kindNames[static_cast<std::size_t>(disruption.kind)])
        + ", " + std::to_string(disruption.length.count()) + " ms";
}

OwnershipWorld::OwnershipWorld(OwnershipWorldSettings settings, const std::vector<Disruption>& disruptions)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_start(std::chrono::hours(1))
    , m_now(m_start)
    , m_ledger(clockRatesOf(settings.seed), settings.countsLateGrants,
          [this](std::size_t server, KeyRange range) { return isRouted(server, range); })
{
    for (std::size_t i = 0; i < serverCount; ++i) {
        Server& server = m_servers.emplace_back();
        server.listed.identity = {"server-" + std::to_string(i), 1000};
        server.listed.service = service;
        server.listed.address = "10.0.0." + std::to_string(i + 1) + ":80";
        server.listed.slots = 6;
        server.sequence = 1;
        server.stored = ServerRegistration {server.listed, server.sequence};
        server.storedAt = m_now;
        schedule(registrationInterval, [this, i] { registerServer(i); });
    }
    m_instances.resize(instanceCount);
    for (std::size_t i = 0; i < instanceCount; ++i) {
        m_instances[i].name = "instance-" + std::to_string(i);
        start(i);
    }
    for (const Disruption& disruption : disruptions) {
        schedule(disruption.at, [this, disruption] { begin(disruption); });
    }
}

Milliseconds OwnershipWorld::elapsed(MonotonicTime time) const
{
    return std::chrono::duration_cast<Milliseconds>(time - m_start);
}

void OwnershipWorld::schedule(Milliseconds delay, std::function<void()> run)
{
    m_schedule.push({m_now + delay, ++m_order, std::move(run)});
}

void OwnershipWorld::note(const std::string& text)
{
    if (m_settings.traced) {
        m_trace.push_back(std::to_string(elapsed(m_now).count()) + " ms: " + text);
    }
}

void OwnershipWorld::start(std::size_t index)
{
    Instance& instance = m_instances[index];
    instance.incarnation = m_random() | 1U;
    instance.authority = std::make_unique<RangeAuthority>(
        LeaderRecord {0, instance.name, instance.incarnation, instance.name + ":1", {}}, RangeTimes(),
        LeadershipTimes(), m_random());
    instance.proof = std::make_unique<RangeCallProof>();
    instance.directory = std::make_unique<ServerDirectory>(ServerDirectoryTimes());
    instance.idle.assign(serverCount, {});
    instance.connections.assign(serverCount, {});
    instance.peers.clear();
    instance.table.reset();
    instance.list.reset();
    auto configuration = std::make_shared<GatewayConfiguration>();
    configuration->services[service] = GatewayService {service, "/health", 10, true, 0ms};
    deliver(index, instance.incarnation, RangeServicesConfigured {configuration});
    deliver(index, instance.incarnation, StoreReachabilityChanged {!instance.rejected});
    publishServers(index);
    schedule(1ms, [this, index, incarnation = instance.incarnation] { tick(index, incarnation); });
}

void OwnershipWorld::deliverStep(std::size_t index, std::uint64_t incarnation, std::function<void()> step)
{
    Instance& instance = m_instances[index];
    if (!instance.authority || instance.incarnation != incarnation) {
        return;
    }
    if (m_now < instance.pausedUntil) {
        instance.delayedSteps.push_back(
            [this, index, incarnation, step = std::move(step)] { deliverStep(index, incarnation, step); });
        return;
    }
    step();
}

void OwnershipWorld::deliver(std::size_t index, std::uint64_t incarnation, RangeEvent event)
{
    deliverStep(index, incarnation, [this, index, event = std::move(event)] {
        Instance& instance = m_instances[index];
        for (RangeEffect& effect : instance.authority->reduce({m_now, event})) {
            execute(index, effect);
        }
        if (instance.authority->isLeader() && instance.authority->term() != instance.reportedTerm) {
            instance.reportedTerm = instance.authority->term();
            note(instance.name + " leads in term " + std::to_string(instance.reportedTerm));
        }
    });
}

void OwnershipWorld::tick(std::size_t index, std::uint64_t incarnation)
{
    deliverStep(index, incarnation, [this, index, incarnation] {
        if (!m_instances[index].rejected) {
            m_instances[index].directory->confirm(m_now);
        }
        if (m_instances[index].directory->applyTimeouts(m_now)) {
            deliver(index, incarnation, RangeServersListed {m_instances[index].directory->servers()});
        }
        deliver(index, incarnation, RangeTick {});
    });
    if (m_instances[index].incarnation == incarnation) {
        schedule(tickInterval, [this, index, incarnation] { tick(index, incarnation); });
    }
}

void OwnershipWorld::execute(std::size_t instance, RangeEffect& effect)
{
    if (const auto* reading = std::get_if<ReadRecord>(&effect)) {
        read(instance, *reading);
    } else if (const auto* writing = std::get_if<WriteRecord>(&effect)) {
        write(instance, *writing);
    } else if (const auto* granting = std::get_if<GrantRange>(&effect)) {
        sendCall(instance, {*granting, false, m_now});
    } else if (const auto* releasing = std::get_if<ReleaseRange>(&effect)) {
        GrantRange call;
        call.callId = releasing->callId;
        call.server = releasing->server;
        call.range = releasing->range;
        call.fence = releasing->fence;
        sendCall(instance, {call, true, m_now});
    } else if (auto* sending = std::get_if<SendRangePeerMessage>(&effect)) {
        sendToPeer(instance, *sending);
    } else if (const auto* connecting = std::get_if<ConnectRangePeers>(&effect)) {
        connectPeers(instance, *connecting);
    } else if (const auto* publishing = std::get_if<PublishRanges>(&effect)) {
        m_instances[instance].table = publishing->table;
    }
}

void OwnershipWorld::read(std::size_t index, const ReadRecord& effect)
{
    const MonotonicTime startedAt = m_now;
    const bool reached = !m_instances[index].rejected;
    schedule(
        4ms, [this, index, incarnation = m_instances[index].incarnation, record = effect.name, startedAt, reached] {
            RecordRead event {record, startedAt, {}};
            event.result.status = StoreStatus::Unavailable;
            if (reached) {
                const auto it = m_records.find(record);
                event.result.era = m_era;
                event.result.status = it == m_records.end() ? StoreStatus::NotFound : StoreStatus::Ok;
                if (it != m_records.end()) {
                    event.result.object = {record, it->second.first, it->second.second};
                }
            }
            deliver(index, incarnation, std::move(event));
        });
}

StoreWriteResult OwnershipWorld::store(const WriteRecord& effect)
{
    const auto it = m_records.find(effect.name);
    const std::uint64_t version = it == m_records.end() ? 0 : it->second.first;
    if (version != effect.expectedVersion) {
        return {StoreStatus::Conflict, 0, m_era};
    }
    m_records[effect.name] = {++m_version, effect.value};
    m_copies[m_now] = {m_records, m_version};
    return {StoreStatus::Ok, m_version, m_era};
}

void OwnershipWorld::restoreStore(Milliseconds age)
{
    const auto after = m_copies.upper_bound(m_now - age);
    const Copy copy = after == m_copies.begin() ? Copy() : std::prev(after)->second;
    m_records = copy.records;
    m_version = copy.version;
    m_copies.erase(after, m_copies.end());
    m_copies[m_now] = copy;
    ++m_era;
}

void OwnershipWorld::write(std::size_t index, const WriteRecord& effect)
{
    Instance& instance = m_instances[index];
    const auto answer = [this, index, incarnation = instance.incarnation, record = effect.name, startedAt = m_now,
                            era = effect.era](StoreWriteResult result) {
        deliver(index, incarnation, RecordWritten {record, startedAt, result, era});
    };
    if (instance.rejected) {
        return schedule(4ms, [answer] { answer({StoreStatus::Unavailable, 0}); });
    }
    if (instance.lateWrites != nullptr && fractionOf(*instance.lateWrites) < callFaultRate) {
        const bool isLate = fractionOf(*instance.lateWrites) < 0.5;
        const auto delay = isLate ? Milliseconds(1000 + chooseUpTo(*instance.lateWrites, 5000)) : 4ms;
        schedule(delay, [this, effect] { (void)store(effect); });
        return schedule(1000ms, [answer] { answer({StoreStatus::Unknown, 0}); });
    }
    schedule(4ms, [this, effect, answer] {
        const StoreWriteResult result = store(effect);
        schedule(1ms, [answer, result] { answer(result); });
    });
}

void OwnershipWorld::connectPeers(std::size_t index, const ConnectRangePeers& effect)
{
    Instance& instance = m_instances[index];
    std::map<std::string, MonotonicTime> peers;
    for (const RangePeer& peer : effect.peers) {
        const auto it = instance.peers.find(peer.id);
        peers[peer.id] = it == instance.peers.end() ? m_now + 3ms : it->second;
    }
    instance.peers = std::move(peers);
}

void OwnershipWorld::sendToPeer(std::size_t index, SendRangePeerMessage& effect)
{
    Instance& instance = m_instances[index];
    const auto to = std::find_if(
        m_instances.begin(), m_instances.end(), [&](const Instance& peer) { return peer.name == effect.to; });
    const auto peer = instance.peers.find(effect.to);
    if (to == m_instances.end() || peer == instance.peers.end() || m_now < peer->second) {
        return schedule(0ms, [this, index, incarnation = instance.incarnation, dropped = effect.to] {
            deliver(index, incarnation, RangeMessageDropped {dropped});
        });
    }
    if (m_peerCuts > 0) {
        return;
    }
    effect.envelope.mutable_sender()->set_id(instance.name);
    effect.envelope.mutable_sender()->set_incarnation(instance.incarnation);
    schedule(3ms,
        [this, receiver = static_cast<std::size_t>(to - m_instances.begin()), incarnation = to->incarnation,
            envelope = effect.envelope] { deliver(receiver, incarnation, RangePeerMessage {envelope}); });
}

/// As GatewayDaemon::sendCall.
void OwnershipWorld::sendCall(std::size_t index, const Call& call)
{
    const std::uint64_t incarnation = m_instances[index].incarnation;
    const std::string address = call.grant.server.address;
    const auto accepted = std::make_shared<bool>(true);
    const auto accepts = [this, index, call, address, accepted](const RangeCallEnded& ended, bool reused) {
        *accepted = m_instances[index].proof->accepts(address, call.isRelease, ended, reused);
        return *accepted;
    };
    const auto confirm = [this, index, incarnation](RangeCallEnded confirmed) {
        confirmed.earlierSendMayArrive = true;
        deliver(index, incarnation, std::move(confirmed));
    };
    transmit(index, call, false, accepts,
        [this, index, incarnation, call, accepts, accepted, confirm](const RangeCallEnded& ended) {
            if (*accepted) {
                return deliver(index, incarnation, ended);
            }
            transmit(index, call, true, accepts, confirm);
        });
}

/// Sends a call on a kept connection, if there is one and @p needsNewConnection is false.
void OwnershipWorld::transmit(std::size_t index, const Call& call, bool needsNewConnection,
    const std::function<bool(const RangeCallEnded&, bool reused)>& accepts,
    const std::function<void(const RangeCallEnded&)>& done)
{
    Instance& instance = m_instances[index];
    const std::uint64_t incarnation = instance.incarnation;
    const std::size_t server = indexOf(call.grant.server.identity.id);
    const auto end = [this, index, incarnation, id = call.grant.callId, done](
                         GrantResult result, bool wasReset, Milliseconds delay) {
        schedule(delay, [this, index, incarnation, id, done, result, wasReset] {
            deliverStep(index, incarnation, [id, done, result, wasReset] { done({id, result, "", wasReset}); });
        });
    };
    if (m_now >= call.decidedAt + callTimeout) {
        return end(GrantResult::Withheld, false, 0ms);
    }
    if (!m_servers[server].running) {
        return end(GrantResult::NotSent, true, 1ms);
    }
    std::deque<ConnectionPtr>& idle = instance.idle[server];
    ConnectionPtr connection;
    while (!needsNewConnection && !connection && !idle.empty()) {
        connection = idle.back()->open ? idle.back() : nullptr;
        idle.pop_back();
    }
    if (!connection) {
        connection = std::make_shared<Connection>();
        connection->process = m_servers[server].listed.identity.startedAtUnixMs;
        instance.connections[server].push_back(connection);
    }
    const std::uint64_t token = ++connection->calls;
    connection->keeps = [accepts, reused = token > 1](const RangeCallEnded& answer) { return accepts(answer, reused); };
    connection->waiting = [id = call.grant.callId, done](RangeCallEnded answer) {
        answer.callId = id;
        done(answer);
    };
    const Milliseconds timeout = call.isRelease ? releaseTimeout : callTimeout;
    schedule(std::chrono::duration_cast<Milliseconds>(call.decidedAt + timeout - m_now),
        [this, index, incarnation, connection, token] {
            deliverStep(index, incarnation, [connection, token] {
                if (connection->calls == token && connection->waiting) {
                    connection->open = false;
                    std::exchange(connection->waiting, nullptr)({0, GrantResult::NoAnswer, "", false});
                }
            });
        });
    if (connection->copy) {
        const RangeCallEnded copy = *std::exchange(connection->copy, std::nullopt);
        connection->shifted = true;
        note("the call to server " + std::to_string(server) + " for " + textOf(call.grant.range)
            + " gets a copy of an earlier answer");
        schedule(copyDelay, [this, index, server, connection, copy] { onAnswer(index, server, connection, copy); });
    }
    schedule(callDelay, [this, index, call, connection, server] {
        // A server executes the calls of a connection one after the other.
        connection->unread.push_back([this, index, call, connection, server] {
            const bool isExact = connection->shifted && !m_settings.copiesHideLateCalls;
            arrive(index, call, connection, isExact ? CallFate() : chooseFate(server, call.isRelease));
        });
        if (connection->unread.size() == 1) {
            connection->unread.front()();
        }
    });
}

void OwnershipWorld::arrive(std::size_t index, const Call& call, const ConnectionPtr& connection, const CallFate& fate)
{
    const std::size_t server = indexOf(call.grant.server.identity.id);
    const auto isSameProcess = [this, server, process = connection->process] {
        return m_servers[server].running && m_servers[server].listed.identity.startedAtUnixMs == process;
    };
    if (!isSameProcess() || !connection->open) {
        return; // The connection was reset before the call was read.
    }
    if (!fate.answered) {
        note("server " + std::to_string(server) + " does not answer the call for " + textOf(call.grant.range));
    }
    const auto answer = [this, index, server, connection, fate](const RangeCallEnded& ended) {
        if (fate.answered) {
            if (isDoubled(server)) {
                connection->copy = ended;
            }
            schedule(
                callDelay, [this, index, server, connection, ended] { onAnswer(index, server, connection, ended); });
        }
        if (connection->unread.empty()) {
            return; // The process that read the call has ended.
        }
        connection->unread.pop_front();
        if (!connection->unread.empty()) {
            const std::function<void()> next = connection->unread.front();
            next();
        }
    };
    if (!fate.executedAfter) {
        return;
    }
    schedule(*fate.executedAfter, [this, call, server, isSameProcess, answer, arrivedAt = m_now] {
        if (isSameProcess()) {
            executeCall(call, server, arrivedAt, answer);
        }
    });
}

void OwnershipWorld::executeCall(const Call& call, std::size_t server, MonotonicTime arrivedAt,
    const std::function<void(const RangeCallEnded&)>& answer)
{
    const GrantRange& grant = call.grant;
    const std::string text = "server " + std::to_string(server) + " " + (call.isRelease ? "releases " : "is granted ")
        + textOf(grant.range) + " with " + std::to_string(grant.fence)
        + (arrivedAt < m_now ? ", which arrived at " + std::to_string(elapsed(arrivedAt).count()) + " ms" : "");
    if (!call.isRelease) {
        const GrantResult result = m_ledger.grant(server, grant, arrivedAt, m_now);
        note(text + ": " + std::string(enumName(grantResultNames, result)));
        return answer({0, result, "", false});
    }
    const auto workTime = Milliseconds(chooseUpTo(m_random, maxWorkMs));
    const MonotonicTime answeredAt = m_ledger.release(server, grant.range, workTime, m_now);
    note(text + ", answered at " + std::to_string(elapsed(answeredAt).count()) + " ms");
    schedule(std::chrono::duration_cast<Milliseconds>(answeredAt - m_now),
        [answer, handover = "state-" + std::to_string(++m_handovers)] {
            answer({0, GrantResult::Done, handover, false});
        });
}

void OwnershipWorld::onAnswer(
    std::size_t index, std::size_t server, const ConnectionPtr& connection, RangeCallEnded answer)
{
    const std::uint64_t process = m_servers[server].listed.identity.startedAtUnixMs;
    deliverStep(
        index, m_instances[index].incarnation, [this, index, server, connection, process, answer = std::move(answer)] {
            if (!connection->open || connection->process != process) {
                return;
            }
            if (!connection->waiting) {
                connection->open = false; // An answer that no call waits for.
                return;
            }
            // A connection that is closed here may still bring the server what was sent on it.
            const bool keeps = connection->keeps(answer);
            if (keeps && (!connection->shifted || m_settings.reusesShiftedConnections)) {
                m_instances[index].idle[server].push_back(connection);
            }
            std::exchange(connection->waiting, nullptr)(answer);
        });
}

OwnershipWorld::CallFate OwnershipWorld::chooseFate(std::size_t server, bool isRelease)
{
    for (CallFaults& faults : m_callFaults) {
        const bool applies = faults.server == server && m_now < faults.until
            && (isRelease ? faults.kind == Disruption::Kind::ReleasesLost
                          : faults.kind == Disruption::Kind::GrantsLost || faults.kind == Disruption::Kind::GrantsLate);
        if (!applies || fractionOf(faults.random) >= callFaultRate) {
            continue;
        }
        const auto lateDelay = Milliseconds(500 + chooseUpTo(faults.random, 3500));
        if (faults.kind == Disruption::Kind::GrantsLate) {
            return {false, lateDelay};
        }
        switch (chooseUpTo(faults.random, isRelease ? 2 : 1)) {
        case 0:
            return {false, std::nullopt};
        case 1:
            return {false, Milliseconds(0)};
        default:
            return {false, lateDelay};
        }
    }
    return {};
}

bool OwnershipWorld::isDoubled(std::size_t server)
{
    return std::any_of(m_callFaults.begin(), m_callFaults.end(), [&](CallFaults& faults) {
        return faults.kind == Disruption::Kind::AnswersDoubled && faults.server == server && m_now < faults.until
            && fractionOf(faults.random) < callFaultRate;
    });
}

void OwnershipWorld::registerServer(std::size_t index)
{
    Server& server = m_servers[index];
    if (server.running) {
        ++server.sequence;
        storeRegistration(index, {server.listed, server.sequence});
    }
    schedule(registrationInterval, [this, index] { registerServer(index); });
}

void OwnershipWorld::storeRegistration(std::size_t index, const ServerRegistration& registration)
{
    m_servers[index].stored = registration;
    m_servers[index].storedAt = m_now;
    publishServers();
}

void OwnershipWorld::publishServers()
{
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        publishServers(i);
    }
}

void OwnershipWorld::publishServers(std::size_t index)
{
    ServerRegistrations registrations;
    for (Server& server : m_servers) {
        if (server.stored && m_now - server.storedAt <= registrationExpiry) {
            registrations.push_back(*server.stored);
        }
    }
    deliverStep(index, m_instances[index].incarnation, [this, index, registrations = std::move(registrations)] {
        Instance& instance = m_instances[index];
        if (instance.rejected) {
            return;
        }
        updateDirectory(instance, registrations);
        const std::shared_ptr<const ServerList> list = instance.directory->servers();
        if (!instance.list || *instance.list != *list) {
            instance.list = list;
            deliver(index, instance.incarnation, RangeServersListed {list});
        }
    });
}

void OwnershipWorld::updateDirectory(Instance& instance, const ServerRegistrations& registrations)
{
    instance.directory->update(registrations, m_now);
}

bool OwnershipWorld::isRouted(std::size_t server, KeyRange range) const
{
    const std::string& id = m_servers[server].listed.identity.id;
    return std::any_of(m_instances.begin(), m_instances.end(), [&](const Instance& instance) {
        return instance.authority && instance.table && m_now >= instance.pausedUntil
            && std::any_of(instance.table->routes.begin(), instance.table->routes.end(), [&](const RangeRoute& route) {
                   return route.owner.id == id && route.range.first <= range.last && route.range.last >= range.first;
               });
    });
}

std::size_t OwnershipWorld::indexOf(const std::string& serverId) const
{
    return static_cast<std::size_t>(std::find_if(m_servers.begin(), m_servers.end(), [&](const Server& server) {
        return server.listed.identity.id == serverId;
    }) - m_servers.begin());
}

void OwnershipWorld::begin(const Disruption& disruption)
{
    const std::size_t target = disruption.target;
    const Milliseconds length = disruption.length;
    note("disruption: " + describe(disruption));
    switch (disruption.kind) {
    case Disruption::Kind::ServerRestarts:
        if (!m_servers[target].running) {
            return;
        }
        m_servers[target].running = false;
        m_ledger.stop(target);
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            resetConnections(i, target);
        }
        schedule(length, [this, target] {
            Server& server = m_servers[target];
            server.running = true;
            ++server.listed.identity.startedAtUnixMs;
            server.listed.state = ListedServerState::Ready;
            server.sequence = 0;
            note("server " + std::to_string(target) + " has started again");
            schedule(Milliseconds(chooseUpTo(m_random, 300)), [this, target] {
                Server& started = m_servers[target];
                if (started.running && started.sequence == 0) {
                    started.sequence = 1;
                    storeRegistration(target, {started.listed, started.sequence});
                }
            });
        });
        return;
    case Disruption::Kind::ServerDrains: {
        const auto setState = [this, target](ListedServerState state) {
            Server& server = m_servers[target];
            server.listed.state = state;
            if (server.running && server.sequence > 0) {
                ++server.sequence;
                storeRegistration(target, {server.listed, server.sequence});
            }
        };
        setState(ListedServerState::Draining);
        return schedule(length, [setState] { setState(ListedServerState::Ready); });
    }
    case Disruption::Kind::RegistrationLate:
        if (const std::optional<ServerRegistration> registration = m_servers[target].stored) {
            schedule(length, [this, target, registration] { storeRegistration(target, *registration); });
        }
        return;
    case Disruption::Kind::GrantsLost:
    case Disruption::Kind::GrantsLate:
    case Disruption::Kind::ReleasesLost:
    case Disruption::Kind::AnswersDoubled:
        m_callFaults.push_back({std::mt19937_64(disruption.seed), disruption.kind, target, m_now + length});
        return;
    case Disruption::Kind::StoreRejects:
        setRejected(target, true);
        return schedule(length, [this, target] { setRejected(target, false); });
    case Disruption::Kind::StoreWritesLate:
        m_instances[target].lateWrites = &m_writeRandoms.emplace_back(disruption.seed);
        return schedule(length, [this, target] { m_instances[target].lateWrites = nullptr; });
    case Disruption::Kind::PeersCut:
        ++m_peerCuts;
        return schedule(length, [this] { --m_peerCuts; });
    case Disruption::Kind::InstancePauses:
        m_instances[target].pausedUntil = std::max(m_instances[target].pausedUntil, m_now + length);
        return schedule(length, [this, target] {
            if (m_now >= m_instances[target].pausedUntil) {
                for (const std::function<void()>& step : std::exchange(m_instances[target].delayedSteps, {})) {
                    step();
                }
            }
        });
    case Disruption::Kind::StoreRestored:
        restoreStore(length);
        // The store turns the instance away until it has seen the new era from another instance, or for a while.
        setRejected(target, true);
        return schedule(Milliseconds(disruption.seed % 3000), [this, target] { setRejected(target, false); });
    case Disruption::Kind::InstanceRestarts:
        if (!m_instances[target].authority) {
            return;
        }
        m_instances[target].authority.reset();
        m_instances[target].delayedSteps.clear();
        m_instances[target].pausedUntil = m_now;
        return schedule(1000ms, [this, target] { start(target); });
    }
}

/// The process of a server has ended: its connections are reset.
void OwnershipWorld::resetConnections(std::size_t instance, std::size_t server)
{
    for (const std::weak_ptr<Connection>& weak : std::exchange(m_instances[instance].connections[server], {})) {
        const ConnectionPtr connection = weak.lock();
        if (!connection || !connection->open) {
            continue;
        }
        connection->open = false;
        connection->unread.clear();
        if (connection->waiting) {
            schedule(1ms,
                [this, instance, incarnation = m_instances[instance].incarnation,
                    waiting = std::exchange(connection->waiting, nullptr)] {
                    deliverStep(instance, incarnation, [waiting] { waiting({0, GrantResult::NoAnswer, "", true}); });
                });
        }
    }
}

void OwnershipWorld::setRejected(std::size_t index, bool rejected)
{
    Instance& instance = m_instances[index];
    instance.rejected = rejected;
    deliverStep(index, instance.incarnation, [this, index, rejected] {
        deliver(index, m_instances[index].incarnation, StoreReachabilityChanged {!rejected});
    });
    publishServers(index);
}

void OwnershipWorld::countKeys()
{
    if (!m_settings.hotKeys) {
        return;
    }
    const auto phase
        = static_cast<std::uint32_t>(elapsed(m_now) / 2000ms) + static_cast<std::uint32_t>(m_settings.seed);
    std::vector<std::pair<std::uint16_t, std::uint32_t>> counts;
    for (std::uint32_t i = 0; i < 40; ++i) {
        counts.emplace_back(static_cast<std::uint16_t>(phase * 7919 + i * 3), 10);
    }
    for (std::size_t i = 0; i < m_instances.size(); ++i) {
        deliver(i, m_instances[i].incarnation, KeysCounted {service, counts});
    }
}

void OwnershipWorld::run(Milliseconds length)
{
    const MonotonicTime end = m_start + length;
    MonotonicTime nextCheck = m_now;
    while (m_now < end && m_ledger.violations().empty()) {
        m_now = std::min({end, nextCheck, m_schedule.empty() ? end : m_schedule.top().at});
        while (!m_schedule.empty() && m_schedule.top().at <= m_now) {
            const std::function<void()> step = m_schedule.top().run;
            m_schedule.pop();
            step();
        }
        if (m_now < nextCheck) {
            continue;
        }
        m_ledger.check(m_now);
        if ((nextCheck - m_start) % 100ms == 0ms) {
            countKeys();
            for (Server& server : m_servers) {
                if (server.stored && m_now - server.storedAt > registrationExpiry) {
                    server.stored.reset();
                    publishServers();
                }
            }
        }
        nextCheck += checkInterval;
    }
}

} // namespace jasminespread
