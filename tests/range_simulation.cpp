#include "range_simulation.h"

#include <algorithm>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t nodeCount = 4;
constexpr std::size_t serverCount = 6;
constexpr const char* service = "planner";
constexpr Milliseconds tickInterval = 50ms;
constexpr Milliseconds checkInterval = 20ms;
constexpr std::uint32_t keyStep = 64; ///< Keys that are checked; range borders lie anywhere between.

} // namespace

RangeSimulation::RangeSimulation(std::uint64_t seed)
    : m_random(seed)
    , m_now(std::chrono::hours(1))
    , m_lastFence(keyCount)
    , m_checkedAt(m_now)
{
    for (std::size_t i = 0; i < serverCount; ++i) {
        Server& server = m_servers.emplace_back();
        server.listed.identity = {"server-" + std::to_string(i), 1000};
        server.listed.service = service;
        server.listed.address = "10.0.0." + std::to_string(i + 1) + ":80";
        server.listed.slots = 6;
        server.seen.assign(keyCount, 0);
        server.clockRate = 1 + 0.02 * random();
    }
    for (std::size_t i = 0; i < nodeCount; ++i) {
        m_nodes.emplace_back().name = "node-" + std::to_string(i);
    }
    for (Node& node : m_nodes) {
        start(node);
    }
}

void RangeSimulation::after(Milliseconds delay, std::function<void()> run)
{
    m_due.push({m_now + delay, ++m_order, std::move(run)});
}

void RangeSimulation::start(Node& node)
{
    node.incarnation = m_random() | 1U;
    LeaderRecord self {0, node.name, node.incarnation, node.name + ":1", {}};
    node.authority = std::make_unique<RangeAuthority>(self, RangeTimes(), LeadershipTimes(), m_random());
    auto configuration = std::make_shared<GatewayConfiguration>();
    configuration->services[service] = GatewayService {service, "/health", 10, true, 0ms};
    deliver(node.name, node.incarnation, RangeServicesConfigured {configuration});
    deliver(node.name, node.incarnation, StoreReached {true});
    listServers();
    const std::string name = node.name;
    const std::uint64_t incarnation = node.incarnation;
    after(1ms, [this, name, incarnation] { tick(name, incarnation); });
}

void RangeSimulation::deliver(const std::string& name, std::uint64_t incarnation, RangeEvent event)
{
    Node& node
        = *std::find_if(m_nodes.begin(), m_nodes.end(), [&](const Node& candidate) { return candidate.name == name; });
    if (!node.authority || node.incarnation != incarnation) {
        return;
    }
    if (m_now < node.pausedUntil) {
        node.held.push_back([this, name, incarnation, event] { deliver(name, incarnation, event); });
        return;
    }
    for (RangeEffect& effect : node.authority->reduce({m_now, std::move(event)})) {
        execute(node, effect);
    }
}

void RangeSimulation::tick(const std::string& name, std::uint64_t incarnation)
{
    deliver(name, incarnation, RangeTick {});
    after(tickInterval, [this, name, incarnation] { tick(name, incarnation); });
}

void RangeSimulation::execute(Node& node, RangeEffect& effect)
{
    if (const auto* reading = std::get_if<ReadRecord>(&effect)) {
        read(node, *reading);
    } else if (const auto* writing = std::get_if<WriteRecord>(&effect)) {
        write(node, *writing);
    } else if (const auto* granting = std::get_if<GrantRange>(&effect)) {
        grant(node, *granting);
    } else if (const auto* releasing = std::get_if<ReleaseRange>(&effect)) {
        release(node, *releasing);
    } else if (auto* sending = std::get_if<SendRangePeer>(&effect)) {
        send(node, *sending);
    }
}

void RangeSimulation::read(Node& node, const ReadRecord& effect)
{
    const MonotonicTime startedAt = m_now;
    const bool reached = !m_storeDown && !node.cutFromStore;
    after(4ms, [this, name = node.name, incarnation = node.incarnation, record = effect.name, startedAt, reached] {
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

void RangeSimulation::write(Node& node, const WriteRecord& effect)
{
    const MonotonicTime startedAt = m_now;
    const std::string name = node.name;
    const std::uint64_t incarnation = node.incarnation;
    if (m_storeDown || node.cutFromStore) {
        return after(20ms, [this, name, incarnation, record = effect.name, startedAt] {
            deliver(name, incarnation, RecordWritten {record, startedAt, {StoreStatus::Unavailable, 0}});
        });
    }
    if (random() < m_lostAnswers) {
        // Done now or seconds later, and never answered.
        after(random() < 0.5 ? 4ms : Milliseconds(1000 + static_cast<int>(random() * 5000)),
            [this, effect] { (void)store(effect); });
        return after(1000ms, [this, name, incarnation, record = effect.name, startedAt] {
            deliver(name, incarnation, RecordWritten {record, startedAt, {StoreStatus::Unknown, 0}});
        });
    }
    after(4ms, [this, effect, name, incarnation, startedAt] {
        const StoreWriteResult result = store(effect);
        after(1ms, [this, name, incarnation, record = effect.name, startedAt, result] {
            deliver(name, incarnation, RecordWritten {record, startedAt, result});
        });
    });
}

GrantResult RangeSimulation::takeGrant(Server& server, const GrantRange& effect, MonotonicTime arrivedAt)
{
    const auto first = server.seen.begin() + effect.range.first;
    const auto end = server.seen.begin() + effect.range.last + 1;
    if (std::any_of(first, end, [&](std::uint64_t fence) { return fence > effect.fence; })) {
        return GrantResult::Fenced;
    }
    std::fill(first, end, effect.fence);
    const auto length = std::chrono::duration_cast<Milliseconds>(effect.hold * server.clockRate);
    if (arrivedAt + length <= m_now) {
        return GrantResult::Done;
    }
    std::erase_if(server.holds, [&](const Hold& hold) { return hold.range == effect.range; });
    server.holds.push_back({effect.range, effect.fence, arrivedAt + length});
    for (std::uint32_t key = effect.range.first; key <= effect.range.last; key += keyStep) {
        auto& [owner, fence] = m_lastFence[key];
        if (owner != server.listed.identity.id && !owner.empty() && effect.fence <= fence) {
            m_violations.push_back("key " + std::to_string(key) + " went to " + server.listed.identity.id
                + " with fence " + std::to_string(effect.fence) + " after " + std::to_string(fence));
        }
        owner = server.listed.identity.id;
        fence = std::max(fence, effect.fence);
    }
    return GrantResult::Done;
}

void RangeSimulation::grant(Node& node, const GrantRange& effect)
{
    const std::string name = node.name;
    const std::uint64_t incarnation = node.incarnation;
    const auto find = [this](const RangeHolder& holder) {
        return std::find_if(m_servers.begin(), m_servers.end(),
            [&](const Server& server) { return server.listed.identity == holder.life; });
    };
    const auto answer = [this, name, incarnation, call = effect.call](GrantResult result, Milliseconds delay) {
        after(delay, [this, name, incarnation, call, result] {
            deliver(name, incarnation, RangeCallEnded {call, result, ""});
        });
    };
    const auto server = find(effect.server);
    if (server == m_servers.end() || server->cut) {
        return answer(random() < 0.5 ? GrantResult::NotSent : GrantResult::NoAnswer, 400ms);
    }
    if (!server->up || random() < m_resets) {
        return after(1ms, [this, name, incarnation, call = effect.call] {
            deliver(name, incarnation, RangeCallEnded {call, GrantResult::NotSent, "", true});
        });
    }
    const MonotonicTime arrivesAt = m_now + 2ms;
    if (random() < m_lateGrants) {
        after(Milliseconds(2000 + static_cast<int>(random() * 10'000)), [this, effect, find, arrivesAt] {
            const auto late = find(effect.server);
            if (late != m_servers.end() && late->up) {
                (void)takeGrant(*late, effect, arrivesAt);
                check();
            }
        });
        return answer(GrantResult::NoAnswer, 400ms);
    }
    after(2ms, [this, effect, find, answer, arrivesAt] {
        const auto reached = find(effect.server);
        if (reached == m_servers.end() || !reached->up) {
            return answer(GrantResult::NoAnswer, 398ms);
        }
        const GrantResult result = takeGrant(*reached, effect, arrivesAt);
        check();
        answer(result, 2ms);
    });
}

void RangeSimulation::release(Node& node, const ReleaseRange& effect)
{
    const std::string name = node.name;
    const std::uint64_t incarnation = node.incarnation;
    const auto server = std::find_if(m_servers.begin(), m_servers.end(),
        [&](const Server& candidate) { return candidate.listed.identity == effect.server.life; });
    const bool reached = server != m_servers.end() && server->up && !server->cut;
    if (!reached) {
        return after(400ms, [this, name, incarnation, call = effect.call] {
            deliver(name, incarnation, RangeCallEnded {call, GrantResult::NoAnswer, ""});
        });
    }
    std::vector<Hold> left;
    for (const Hold& hold : server->holds) {
        if (hold.range.last < effect.range.first || hold.range.first > effect.range.last) {
            left.push_back(hold);
            continue;
        }
        if (hold.range.first < effect.range.first) {
            left.push_back({{hold.range.first, effect.range.first - 1}, hold.fence, hold.until});
        }
        if (hold.range.last > effect.range.last) {
            left.push_back({{effect.range.last + 1, hold.range.last}, hold.fence, hold.until});
        }
    }
    server->holds = left;
    after(Milliseconds(4 + static_cast<int>(random() * 300)), [this, name, incarnation, call = effect.call] {
        deliver(name, incarnation, RangeCallEnded {call, GrantResult::Done, "state"});
    });
}

void RangeSimulation::send(Node& node, SendRangePeer& effect)
{
    const auto to
        = std::find_if(m_nodes.begin(), m_nodes.end(), [&](const Node& peer) { return peer.name == effect.to; });
    if (to == m_nodes.end() || node.cutFromPeers || to->cutFromPeers) {
        return;
    }
    effect.envelope.mutable_sender()->set_id(node.name);
    effect.envelope.mutable_sender()->set_incarnation(node.incarnation);
    after(Milliseconds(1 + static_cast<int>(random() * 12)),
        [this, name = to->name, incarnation = to->incarnation, envelope = effect.envelope] {
            deliver(name, incarnation, RangePeerMessage {envelope});
        });
}

void RangeSimulation::listServers()
{
    auto list = std::make_shared<ServerList>();
    for (const Server& server : m_servers) {
        if (server.up) {
            list->push_back(server.listed);
        }
    }
    for (Node& node : m_nodes) {
        if (!node.cutFromStore && !m_storeDown) {
            deliver(node.name, node.incarnation, RangeServersListed {list});
        }
    }
}

void RangeSimulation::fault()
{
    const auto length = Milliseconds(300 + static_cast<int>(random() * 6000));
    const std::size_t nodeIndex = choose(m_nodes.size());
    const std::size_t serverIndex = choose(m_servers.size());
    switch (choose(11)) {
    case 0: // A process is killed and starts again.
        m_nodes[nodeIndex].authority.reset();
        after(1000ms, [this, nodeIndex] { start(m_nodes[nodeIndex]); });
        break;
    case 1:
        m_nodes[nodeIndex].pausedUntil = m_now + length;
        after(length + 1ms, [this, nodeIndex] {
            for (const std::function<void()>& held : std::exchange(m_nodes[nodeIndex].held, {})) {
                held();
            }
        });
        break;
    case 2:
        m_nodes[nodeIndex].cutFromStore = true;
        deliver(m_nodes[nodeIndex].name, m_nodes[nodeIndex].incarnation, StoreReached {false});
        after(length, [this, nodeIndex] {
            m_nodes[nodeIndex].cutFromStore = false;
            deliver(m_nodes[nodeIndex].name, m_nodes[nodeIndex].incarnation, StoreReached {true});
            listServers();
        });
        break;
    case 3:
        m_nodes[nodeIndex].cutFromPeers = true;
        after(length, [this, nodeIndex] { m_nodes[nodeIndex].cutFromPeers = false; });
        break;
    case 4: // A server is killed; its entry lapses later; it starts again as another life.
        if (!m_servers[serverIndex].up) {
            break;
        }
        m_servers[serverIndex].up = false;
        m_servers[serverIndex].holds.clear();
        m_servers[serverIndex].seen.assign(keyCount, 0);
        after(length, [this, serverIndex] {
            m_servers[serverIndex].up = true;
            ++m_servers[serverIndex].listed.identity.startedAtUnixMs;
            listServers();
        });
        after(2600ms, [this] { listServers(); });
        break;
    case 5:
        m_servers[serverIndex].cut = true;
        after(length, [this, serverIndex] { m_servers[serverIndex].cut = false; });
        break;
    case 6:
        m_servers[serverIndex].listed.state = ListedServerState::Draining;
        listServers();
        after(length, [this, serverIndex] {
            m_servers[serverIndex].listed.state = ListedServerState::Ready;
            listServers();
        });
        break;
    case 7:
        m_storeDown = true;
        after(length, [this] {
            m_storeDown = false;
            listServers();
        });
        break;
    case 8:
        m_lostAnswers = 0.4;
        after(length, [this] { m_lostAnswers = 0; });
        break;
    case 9:
        m_lateGrants = 0.4;
        after(length, [this] { m_lateGrants = 0; });
        break;
    default: // All processes are killed at once.
        if (random() < 0.3) {
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                m_nodes[i].authority.reset();
                after(1000ms + Milliseconds(choose(300)), [this, i] { start(m_nodes[i]); });
            }
        }
        break;
    }
}

void RangeSimulation::check()
{
    std::vector<std::tuple<std::uint32_t, std::uint32_t, const Server*>> held;
    for (Server& server : m_servers) {
        std::erase_if(server.holds, [this](const Hold& hold) { return hold.until <= m_now; });
        for (const Hold& hold : server.holds) {
            held.emplace_back(hold.range.first, hold.range.last, &server);
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
    m_allTime += passed;
    m_heldTime += passed * heldKeys() / keyCount;
}

std::uint32_t RangeSimulation::heldKeys() const
{
    std::vector<bool> keys(keyCount, false);
    for (const Server& server : m_servers) {
        for (const Hold& hold : server.holds) {
            if (hold.until > m_now) {
                std::fill(keys.begin() + hold.range.first, keys.begin() + hold.range.last + 1, true);
            }
        }
    }
    return static_cast<std::uint32_t>(std::count(keys.begin(), keys.end(), true));
}

double RangeSimulation::heldShare()
{
    const double share = m_allTime > 0 ? m_heldTime / m_allTime : 0;
    m_heldTime = 0;
    m_allTime = 0;
    return share;
}

void RangeSimulation::play(Milliseconds length, Day day)
{
    const MonotonicTime end = m_now + length;
    MonotonicTime nextFault = m_now + 500ms;
    MonotonicTime nextCheck = m_now;
    while (m_now < end && m_violations.empty()) {
        m_now = std::min({end, nextCheck, m_due.empty() ? end : m_due.top().at});
        while (!m_due.empty() && m_due.top().at <= m_now) {
            const std::function<void()> run = m_due.top().run;
            m_due.pop();
            run();
        }
        if (m_now >= nextCheck) {
            nextCheck = m_now + checkInterval;
            check();
        }
        if (day == Day::Faults && m_now >= nextFault) {
            nextFault = m_now + Milliseconds(200 + static_cast<int>(random() * 1500));
            fault();
        }
        if (day != Day::Quiet && random() < 0.05) {
            const auto phase = static_cast<std::uint32_t>(m_now.time_since_epoch() / 2000ms);
            for (Node& node : m_nodes) {
                std::vector<std::pair<std::uint16_t, std::uint32_t>> counts;
                for (std::uint32_t i = 0; i < 40; ++i) {
                    counts.emplace_back(static_cast<std::uint16_t>(phase * 7919 + i * 3), 5);
                }
                deliver(node.name, node.incarnation, KeysCounted {service, counts});
            }
        }
    }
}

} // namespace jasminespread
