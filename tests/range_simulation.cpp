#include "range_simulation.h"

#include <algorithm>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t instanceCount = 4;
constexpr std::size_t serverCount = 6;
constexpr const char* service = "planner";
constexpr Milliseconds tickInterval = 50ms;
constexpr Milliseconds checkInterval = 20ms;
/// Distance between the keys whose fencing tokens are checked; range boundaries may lie between them.
constexpr std::uint32_t keyStep = 64;

} // namespace

RangeSimulation::RangeSimulation(std::uint64_t seed)
    : m_random(seed)
    , m_now(std::chrono::hours(1))
    , m_lastGrants(keyCount)
    , m_checkedAt(m_now)
{
    for (std::size_t i = 0; i < serverCount; ++i) {
        Server& server = m_servers.emplace_back();
        server.listed.identity = {"server-" + std::to_string(i), 1000};
        server.listed.service = service;
        server.listed.address = "10.0.0." + std::to_string(i + 1) + ":80";
        server.listed.slots = 6;
        server.highestFences.assign(keyCount, 0);
        server.clockRate = 1 + 0.02 * random();
    }
    for (std::size_t i = 0; i < instanceCount; ++i) {
        m_instances.emplace_back().name = "instance-" + std::to_string(i);
    }
    for (Instance& instance : m_instances) {
        start(instance);
    }
}

void RangeSimulation::schedule(Milliseconds delay, std::function<void()> run)
{
    m_schedule.push({m_now + delay, ++m_order, std::move(run)});
}

void RangeSimulation::start(Instance& instance)
{
    instance.incarnation = m_random() | 1U;
    LeaderRecord self {0, instance.name, instance.incarnation, instance.name + ":1", {}};
    instance.authority = std::make_unique<RangeAuthority>(self, RangeTimes(), LeadershipTimes(), m_random());
    auto configuration = std::make_shared<GatewayConfiguration>();
    configuration->services[service] = GatewayService {service, "/health", 10, true, 0ms};
    deliver(instance.name, instance.incarnation, RangeServicesConfigured {configuration});
    deliver(instance.name, instance.incarnation, StoreReachabilityChanged {true});
    instance.directory = ServerDirectory(ServerDirectoryTimes());
    publishServerList();
    instance.peers.clear();
    const std::string name = instance.name;
    const std::uint64_t incarnation = instance.incarnation;
    schedule(1ms, [this, name, incarnation] { tick(name, incarnation); });
}

void RangeSimulation::deliver(const std::string& name, std::uint64_t incarnation, RangeEvent event)
{
    Instance& instance = *std::find_if(
        m_instances.begin(), m_instances.end(), [&](const Instance& candidate) { return candidate.name == name; });
    if (!instance.authority || instance.incarnation != incarnation) {
        return;
    }
    if (m_now < instance.pausedUntil) {
        instance.delayedSteps.push_back([this, name, incarnation, event] { deliver(name, incarnation, event); });
        return;
    }
    for (RangeEffect& effect : instance.authority->reduce({m_now, std::move(event)})) {
        execute(instance, effect);
    }
}

void RangeSimulation::tick(const std::string& name, std::uint64_t incarnation)
{
    Instance& instance = *std::find_if(
        m_instances.begin(), m_instances.end(), [&](const Instance& candidate) { return candidate.name == name; });
    instance.directory.confirm(m_now);
    if (instance.incarnation == incarnation && instance.directory.applyTimeouts(m_now)) {
        deliver(name, incarnation, RangeServersListed {instance.directory.servers()});
    }
    deliver(name, incarnation, RangeTick {});
    schedule(tickInterval, [this, name, incarnation] { tick(name, incarnation); });
}

void RangeSimulation::execute(Instance& instance, RangeEffect& effect)
{
    if (const auto* reading = std::get_if<ReadRecord>(&effect)) {
        read(instance, *reading);
    } else if (const auto* writing = std::get_if<WriteRecord>(&effect)) {
        write(instance, *writing);
    } else if (const auto* granting = std::get_if<GrantRange>(&effect)) {
        grant(instance, *granting);
    } else if (const auto* releasing = std::get_if<ReleaseRange>(&effect)) {
        release(instance, *releasing);
    } else if (auto* sending = std::get_if<SendRangePeerMessage>(&effect)) {
        send(instance, *sending);
    } else if (const auto* connecting = std::get_if<ConnectRangePeers>(&effect)) {
        connect(instance, *connecting);
    }
}

void RangeSimulation::connect(Instance& instance, const ConnectRangePeers& effect)
{
    std::map<std::string, MonotonicTime> peers;
    for (const RangePeer& peer : effect.peers) {
        const auto it = instance.peers.find(peer.id);
        peers[peer.id] = it == instance.peers.end() ? m_now + 3ms : it->second;
    }
    instance.peers = std::move(peers);
}

void RangeSimulation::read(Instance& instance, const ReadRecord& effect)
{
    const MonotonicTime startedAt = m_now;
    const bool reached = !m_storeDown && !instance.cutFromStore;
    schedule(4ms,
        [this, name = instance.name, incarnation = instance.incarnation, record = effect.name, startedAt, reached] {
            RecordRead event {record, startedAt, {}};
            if (reached) {
                const auto it = m_store.find(record);
                event.result.status = it == m_store.end() ? StoreStatus::NotFound : StoreStatus::Ok;
                if (it != m_store.end()) {
                    event.result.object = {record, it->second.version, it->second.value};
                }
            }
            deliver(name, incarnation, std::move(event));
        });
}

StoreWriteResult RangeSimulation::store(const WriteRecord& effect)
{
    const auto it = m_store.find(effect.name);
    const std::uint64_t version = it == m_store.end() ? 0 : it->second.version;
    if (version != effect.expectedVersion) {
        return {StoreStatus::Conflict, 0};
    }
    m_store[effect.name] = {++m_version, effect.value};
    return {StoreStatus::Ok, m_version};
}

void RangeSimulation::write(Instance& instance, const WriteRecord& effect)
{
    const MonotonicTime startedAt = m_now;
    const std::string name = instance.name;
    const std::uint64_t incarnation = instance.incarnation;
    if (m_storeDown || instance.cutFromStore) {
        return schedule(20ms, [this, name, incarnation, record = effect.name, startedAt] {
            deliver(name, incarnation, RecordWritten {record, startedAt, {StoreStatus::Unavailable, 0}});
        });
    }
    if (random() < m_lostAnswerRate) {
        // Executed at once or seconds later, without an answer.
        schedule(random() < 0.5 ? 4ms : Milliseconds(1000 + static_cast<int>(random() * 5000)),
            [this, effect] { (void)store(effect); });
        return schedule(1000ms, [this, name, incarnation, record = effect.name, startedAt] {
            deliver(name, incarnation, RecordWritten {record, startedAt, {StoreStatus::Unknown, 0}});
        });
    }
    schedule(4ms, [this, effect, name, incarnation, startedAt] {
        const StoreWriteResult result = store(effect);
        schedule(1ms, [this, name, incarnation, record = effect.name, startedAt, result] {
            deliver(name, incarnation, RecordWritten {record, startedAt, result});
        });
    });
}

GrantResult RangeSimulation::applyGrant(Server& server, const GrantRange& effect, MonotonicTime arrivedAt)
{
    const auto first = server.highestFences.begin() + effect.range.first;
    const auto end = server.highestFences.begin() + effect.range.last + 1;
    if (std::any_of(first, end, [&](std::uint64_t fence) { return fence > effect.fence; })) {
        return GrantResult::Fenced;
    }
    std::fill(first, end, effect.fence);
    const auto length = std::chrono::duration_cast<Milliseconds>(effect.leaseTime * server.clockRate);
    if (arrivedAt + length <= m_now) {
        return GrantResult::Done;
    }
    std::erase_if(server.leases, [&](const Lease& lease) { return lease.range == effect.range; });
    server.leases.push_back({effect.range, effect.fence, arrivedAt + length});
    for (std::uint32_t key = effect.range.first; key <= effect.range.last; key += keyStep) {
        auto& [owner, fence] = m_lastGrants[key];
        if (owner != server.listed.identity.id && !owner.empty() && effect.fence <= fence) {
            m_violations.push_back("key " + std::to_string(key) + " was granted to " + server.listed.identity.id
                + " with fencing token " + std::to_string(effect.fence) + " after " + std::to_string(fence));
        }
        owner = server.listed.identity.id;
        fence = std::max(fence, effect.fence);
    }
    return GrantResult::Done;
}

void RangeSimulation::grant(Instance& instance, const GrantRange& effect)
{
    const std::string name = instance.name;
    const std::uint64_t incarnation = instance.incarnation;
    // A call names only the server's id, so the process that runs now takes it.
    const auto find = [this](const RangeHolder& holder) {
        return std::find_if(m_servers.begin(), m_servers.end(),
            [&](const Server& server) { return server.listed.identity.id == holder.identity.id; });
    };
    const auto answer = [this, name, incarnation, call = effect.callId](GrantResult result, Milliseconds delay) {
        schedule(delay, [this, name, incarnation, call, result] {
            deliver(name, incarnation, RangeCallEnded {call, result, ""});
        });
    };
    const auto server = find(effect.server);
    if (server == m_servers.end() || server->unreachable) {
        return answer(random() < 0.5 ? GrantResult::NotSent : GrantResult::NoAnswer, 400ms);
    }
    if (!server->running || random() < m_resetRate) {
        return schedule(1ms, [this, name, incarnation, call = effect.callId] {
            deliver(name, incarnation, RangeCallEnded {call, GrantResult::NotSent, "", true});
        });
    }
    const MonotonicTime arrivesAt = m_now + 2ms;
    if (random() < m_lateGrantRate) {
        schedule(Milliseconds(2000 + static_cast<int>(random() * 10'000)),
            [this, effect, find, arrivesAt, startedAt = server->listed.identity.startedAtUnixMs] {
                const auto late = find(effect.server);
                if (late != m_servers.end() && late->running && late->listed.identity.startedAtUnixMs == startedAt) {
                    (void)applyGrant(*late, effect, arrivesAt);
                    checkLeases();
                }
            });
        return answer(GrantResult::NoAnswer, 400ms);
    }
    schedule(2ms, [this, effect, find, answer, arrivesAt] {
        const auto reached = find(effect.server);
        if (reached == m_servers.end() || !reached->running) {
            return answer(GrantResult::NoAnswer, 398ms);
        }
        const GrantResult result = applyGrant(*reached, effect, arrivesAt);
        checkLeases();
        answer(result, 2ms);
    });
}

void RangeSimulation::release(Instance& instance, const ReleaseRange& effect)
{
    const std::string name = instance.name;
    const std::uint64_t incarnation = instance.incarnation;
    const auto server = std::find_if(m_servers.begin(), m_servers.end(),
        [&](const Server& candidate) { return candidate.listed.identity.id == effect.server.identity.id; });
    const bool reached = server != m_servers.end() && server->running && !server->unreachable;
    if (!reached) {
        return schedule(400ms, [this, name, incarnation, call = effect.callId] {
            deliver(name, incarnation, RangeCallEnded {call, GrantResult::NoAnswer, ""});
        });
    }
    std::vector<Lease> remaining;
    for (const Lease& lease : server->leases) {
        if (lease.range.last < effect.range.first || lease.range.first > effect.range.last) {
            remaining.push_back(lease);
            continue;
        }
        if (lease.range.first < effect.range.first) {
            remaining.push_back({{lease.range.first, effect.range.first - 1}, lease.fence, lease.until});
        }
        if (lease.range.last > effect.range.last) {
            remaining.push_back({{effect.range.last + 1, lease.range.last}, lease.fence, lease.until});
        }
    }
    server->leases = remaining;
    schedule(Milliseconds(4 + static_cast<int>(random() * 300)), [this, name, incarnation, call = effect.callId] {
        deliver(name, incarnation, RangeCallEnded {call, GrantResult::Done, "state"});
    });
}

void RangeSimulation::send(Instance& instance, SendRangePeerMessage& effect)
{
    const auto to = std::find_if(
        m_instances.begin(), m_instances.end(), [&](const Instance& peer) { return peer.name == effect.to; });
    const auto peer = instance.peers.find(effect.to);
    if (to == m_instances.end() || peer == instance.peers.end() || m_now < peer->second) {
        return schedule(0ms, [this, name = instance.name, incarnation = instance.incarnation, dropped = effect.to] {
            deliver(name, incarnation, RangeMessageDropped {dropped});
        });
    }
    if (instance.cutFromPeers || to->cutFromPeers) {
        return;
    }
    effect.envelope.mutable_sender()->set_id(instance.name);
    effect.envelope.mutable_sender()->set_incarnation(instance.incarnation);
    schedule(Milliseconds(1 + static_cast<int>(random() * 12)),
        [this, name = to->name, incarnation = to->incarnation, envelope = effect.envelope] {
            deliver(name, incarnation, RangePeerMessage {envelope});
        });
}

void RangeSimulation::publishServerList()
{
    ServerRegistrations registrations;
    for (const Server& server : m_servers) {
        if (server.lateWrite) {
            registrations.push_back(*server.lateWrite);
        } else if (server.running) {
            registrations.push_back({server.listed, server.sequence});
        }
    }
    for (Instance& instance : m_instances) {
        if (!instance.cutFromStore && !m_storeDown) {
            instance.directory.update(registrations, m_now);
            deliver(instance.name, instance.incarnation, RangeServersListed {instance.directory.servers()});
        }
    }
}

/// The store carries out the present registration of a server seconds later, and has it until the next one.
void RangeSimulation::writeLate(std::size_t serverIndex)
{
    const Server& server = m_servers[serverIndex];
    const auto delay = Milliseconds(1000 + static_cast<int>(random() * 5000));
    schedule(delay, [this, serverIndex, registration = ServerRegistration {server.listed, server.sequence}] {
        m_servers[serverIndex].lateWrite = registration;
        publishServerList();
    });
    schedule(delay + Milliseconds(static_cast<int>(random() * 870)), [this, serverIndex] {
        m_servers[serverIndex].lateWrite.reset();
        publishServerList();
    });
}

void RangeSimulation::injectFault()
{
    const auto length = Milliseconds(300 + static_cast<int>(random() * 6000));
    const std::size_t instanceIndex = choose(m_instances.size());
    const std::size_t serverIndex = choose(m_servers.size());
    switch (choose(12)) {
    case 0: // An instance is killed and restarts.
        m_instances[instanceIndex].authority.reset();
        schedule(1000ms, [this, instanceIndex] { start(m_instances[instanceIndex]); });
        break;
    case 1:
        m_instances[instanceIndex].pausedUntil = m_now + length;
        schedule(length + 1ms, [this, instanceIndex] {
            for (const std::function<void()>& delayedStep :
                std::exchange(m_instances[instanceIndex].delayedSteps, {})) {
                delayedStep();
            }
        });
        break;
    case 2:
        m_instances[instanceIndex].cutFromStore = true;
        deliver(
            m_instances[instanceIndex].name, m_instances[instanceIndex].incarnation, StoreReachabilityChanged {false});
        schedule(length, [this, instanceIndex] {
            m_instances[instanceIndex].cutFromStore = false;
            deliver(m_instances[instanceIndex].name, m_instances[instanceIndex].incarnation,
                StoreReachabilityChanged {true});
            publishServerList();
        });
        break;
    case 3:
        m_instances[instanceIndex].cutFromPeers = true;
        schedule(length, [this, instanceIndex] { m_instances[instanceIndex].cutFromPeers = false; });
        break;
    case 4: // A server is killed and restarts as a new process; its list entry disappears with a delay.
        if (!m_servers[serverIndex].running) {
            break;
        }
        m_servers[serverIndex].running = false;
        m_servers[serverIndex].leases.clear();
        m_servers[serverIndex].highestFences.assign(keyCount, 0);
        schedule(random() < 0.5 ? length / 10 : length, [this, serverIndex] {
            m_servers[serverIndex].running = true;
            ++m_servers[serverIndex].listed.identity.startedAtUnixMs;
            m_servers[serverIndex].sequence = 1;
            // The instances learn of the new process later than the first calls can reach it.
            schedule(Milliseconds(static_cast<int>(random() * 300)), [this] { publishServerList(); });
        });
        schedule(2600ms, [this] { publishServerList(); });
        break;
    case 5:
        m_servers[serverIndex].unreachable = true;
        schedule(length, [this, serverIndex] { m_servers[serverIndex].unreachable = false; });
        break;
    case 6:
        m_servers[serverIndex].listed.state = ListedServerState::Draining;
        ++m_servers[serverIndex].sequence;
        publishServerList();
        schedule(length, [this, serverIndex] {
            m_servers[serverIndex].listed.state = ListedServerState::Ready;
            ++m_servers[serverIndex].sequence;
            publishServerList();
        });
        break;
    case 7:
        m_storeDown = true;
        schedule(length, [this] {
            m_storeDown = false;
            publishServerList();
        });
        break;
    case 8:
        m_lostAnswerRate = 0.4;
        schedule(length, [this] { m_lostAnswerRate = 0; });
        break;
    case 9:
        m_lateGrantRate = 0.4;
        schedule(length, [this] { m_lateGrantRate = 0; });
        break;
    case 10:
        writeLate(serverIndex);
        break;
    default: // All instances are killed at once.
        if (random() < 0.3) {
            for (std::size_t i = 0; i < m_instances.size(); ++i) {
                m_instances[i].authority.reset();
                schedule(1000ms + Milliseconds(choose(300)), [this, i] { start(m_instances[i]); });
            }
        }
        break;
    }
}

void RangeSimulation::checkLeases()
{
    std::vector<std::tuple<std::uint32_t, std::uint32_t, const Server*>> held;
    for (Server& server : m_servers) {
        std::erase_if(server.leases, [this](const Lease& lease) { return lease.until <= m_now; });
        for (const Lease& lease : server.leases) {
            held.emplace_back(lease.range.first, lease.range.last, &server);
        }
    }
    std::sort(held.begin(), held.end());
    for (std::size_t i = 0; i < held.size(); ++i) {
        for (std::size_t j = i + 1; j < held.size() && std::get<0>(held[j]) <= std::get<1>(held[i]); ++j) {
            if (std::get<2>(held[i]) != std::get<2>(held[j])) {
                m_violations.push_back("key " + std::to_string(std::get<0>(held[j])) + " is held by "
                    + std::get<2>(held[i])->listed.identity.id + " and " + std::get<2>(held[j])->listed.identity.id
                    + " at " + std::to_string((m_now.time_since_epoch() - std::chrono::hours(1)) / 1ms) + " ms");
            }
        }
    }
    const double passed = std::chrono::duration<double>(m_now - m_checkedAt).count();
    m_checkedAt = m_now;
    m_totalTime += passed;
    m_heldTime += passed * heldKeys() / keyCount;
}

std::uint32_t RangeSimulation::heldKeys() const
{
    std::vector<bool> keys(keyCount, false);
    for (const Server& server : m_servers) {
        for (const Lease& lease : server.leases) {
            if (lease.until > m_now) {
                std::fill(keys.begin() + lease.range.first, keys.begin() + lease.range.last + 1, true);
            }
        }
    }
    return static_cast<std::uint32_t>(std::count(keys.begin(), keys.end(), true));
}

double RangeSimulation::heldFraction()
{
    const double fraction = m_totalTime > 0 ? m_heldTime / m_totalTime : 0;
    m_heldTime = 0;
    m_totalTime = 0;
    return fraction;
}

void RangeSimulation::simulate(Milliseconds length, Scenario scenario)
{
    const MonotonicTime end = m_now + length;
    MonotonicTime nextFault = m_now + 500ms;
    MonotonicTime nextCheck = m_now;
    while (m_now < end && m_violations.empty()) {
        m_now = std::min({end, nextCheck, m_schedule.empty() ? end : m_schedule.top().at});
        while (!m_schedule.empty() && m_schedule.top().at <= m_now) {
            const std::function<void()> run = m_schedule.top().run;
            m_schedule.pop();
            run();
        }
        if (m_now >= nextCheck) {
            nextCheck = m_now + checkInterval;
            checkLeases();
        }
        if (scenario == Scenario::Faults && m_now >= nextFault) {
            nextFault = m_now + Milliseconds(200 + static_cast<int>(random() * 1500));
            injectFault();
        }
        if (scenario != Scenario::Quiet && random() < 0.05) {
            const auto phase = static_cast<std::uint32_t>(m_now.time_since_epoch() / 2000ms);
            for (Instance& instance : m_instances) {
                std::vector<std::pair<std::uint16_t, std::uint32_t>> counts;
                for (std::uint32_t i = 0; i < 40; ++i) {
                    counts.emplace_back(static_cast<std::uint16_t>(phase * 7919 + i * 3), 5);
                }
                deliver(instance.name, instance.incarnation, KeysCounted {service, counts});
            }
        }
    }
}

} // namespace jasminespread
