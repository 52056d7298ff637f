#include "ranges/range_lease_manager.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

/// Weight of one answer's latency for a server's speed: about the last 25 count.
constexpr double speedWeight = 0.04;
/// Bounds of a server's slowness: latency also rises with its load, which must not empty it.
constexpr double lowestSlowness = 0.6;
constexpr double highestSlowness = 2.5;
/// Weights of grants without an answer, in a row, and their sum at which another server gets the range: two met
/// silence, or six resets. A reset says that the server's host lives; a server with a long queue resets new
/// connections.
constexpr unsigned silentMiss = 3;
constexpr unsigned resetMiss = 1;
constexpr unsigned highestMisses = 6;
constexpr Milliseconds retryInterval = 100ms;
/// Attempts to fence off an earlier leader at a holder; each one without an answer prolongs what it may hold.
constexpr unsigned highestFencingTries = 2;
constexpr Milliseconds releaseRetryInterval = 300ms;
/// A server that did not answer grants is not chosen again for this long.
constexpr Milliseconds lostTime = 3000ms;
constexpr Milliseconds rebalanceInterval = 300ms;
/// A range, and a server, takes part in at most one move by choice in this time.
constexpr Milliseconds moveInterval = 1000ms;
/// Neighbouring ranges of one server are joined once they did not move for this long.
constexpr Milliseconds mergeAfter = 4000ms;
constexpr Milliseconds writeRetryInterval = 200ms;
/// Changes of holders in this time go into one write.
constexpr Milliseconds writeInterval = 30ms;
/// Changes of routes in this time go into one table, which every instance is told.
constexpr Milliseconds publishInterval = 50ms;

RangeHolder holderOf(const ListedServer& server) { return {server.identity, server.address}; }

} // namespace

RangeKeeper::RangeKeeper(std::string service, RangeTimes times, RangeNumbers& numbers, RangeEffects& effects)
    : m_service(std::move(service))
    , m_times(times)
    , m_numbers(numbers)
    , m_effects(effects)
    , m_servers(std::make_shared<const ServerList>())
{
}

void RangeKeeper::adopt(const std::optional<RangesRecord>& record, std::uint64_t version, MonotonicTime heldUntil)
{
    m_version = version;
    m_ranges.clear();
    if (!record) {
        return;
    }
    for (const RecordedRange& recorded : record->ranges) {
        Owned& owned = m_ranges.emplace_back();
        owned.range = recorded.range;
        for (const RangeHolder& holder : recorded.holders) {
            Holder& added = owned.holders.emplace_back();
            added.who = holder;
            added.mayHoldUntil = heldUntil;
            added.earlier = true;
        }
        // The earlier leader may have meant the last one to have it; the only one certainly had it.
        owned.hasTarget = !owned.holders.empty();
        owned.neededGeneration = m_generation;
    }
}

void RangeKeeper::limitEarlierHolds(MonotonicTime heldUntil)
{
    for (Owned& owned : m_ranges) {
        for (Holder& holder : owned.holders) {
            if (holder.earlier) {
                holder.mayHoldUntil = std::min(holder.mayHoldUntil, heldUntil);
            }
        }
    }
}

void RangeKeeper::setServers(std::shared_ptr<const ServerList> servers)
{
    m_servers = std::move(servers);
    m_listed.clear();
    for (const ListedServer& server : *m_servers) {
        if (server.service == m_service) {
            m_listed.emplace(server.identity.id, &server);
        }
    }
}

const ListedServer* RangeKeeper::listed(const ServerIdentity& life) const
{
    const auto it = m_listed.find(life.id);
    return it == m_listed.end() ? nullptr : it->second;
}

bool RangeKeeper::isUsable(const ServerIdentity& life) const
{
    const ListedServer* server = listed(life);
    const auto lost = m_lostUntil.find(life);
    return server != nullptr && server->identity == life && server->state != ListedServerState::Draining
        && (lost == m_lostUntil.end() || lost->second <= m_now);
}

bool RangeKeeper::isEligible(const ServerIdentity& life) const
{
    return isUsable(life) && listed(life)->state == ListedServerState::Ready;
}

std::vector<RangeServer> RangeKeeper::placementServers() const
{
    std::vector<RangeServer> servers;
    for (const ListedServer& server : *m_servers) {
        if (server.service == m_service && isEligible(server.identity)) {
            const auto moved = m_movedAt.find(server.identity);
            servers.push_back({server.identity, capacityOf(server),
                moved == m_movedAt.end() || m_now - moved->second >= moveInterval});
        }
    }
    return servers;
}

std::vector<PlacedRange> RangeKeeper::placedRanges(const std::vector<RangeServer>& servers) const
{
    std::map<ServerIdentity, std::size_t> indexes;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        indexes.emplace(servers[i].life, i);
    }
    std::vector<PlacedRange> placed;
    for (const Owned& owned : m_ranges) {
        PlacedRange& range = placed.emplace_back();
        range.range = owned.range;
        if (owned.hasTarget) {
            const auto it = indexes.find(owned.holders.back().who.life);
            range.server = it == indexes.end() ? std::nullopt : std::optional(it->second);
            range.movable = owned.call == 0 && owned.holders.size() == 1 && owned.holders.back().granted
                && m_now - owned.movedAt >= moveInterval;
        }
    }
    return placed;
}

void RangeKeeper::addSpeed(const ObservedSpeed& speed)
{
    double& slowness = m_slowness.try_emplace(speed.server, 1.0).first->second;
    const double weight = std::min(0.5, speedWeight * speed.answers);
    slowness += (std::clamp(speed.slowness, lowestSlowness, highestSlowness) - slowness) * weight;
}

double RangeKeeper::capacityOf(const ListedServer& server) const
{
    const auto it = m_slowness.find(server.identity.id);
    return server.slots / (it == m_slowness.end() ? 1.0 : it->second);
}

void RangeKeeper::createRanges()
{
    const std::vector<RangeServer> servers = placementServers();
    for (const RangeMove& move : divideKeys(servers)) {
        Owned& owned = m_ranges.emplace_back();
        owned.range = move.range;
        const ListedServer* server = listed(servers[move.to].life);
        setTarget(owned, holderOf(*server));
    }
}

void RangeKeeper::step(MonotonicTime now, bool mayGrant, bool storeAnswers)
{
    m_now = now;
    if (m_ranges.empty()) {
        createRanges();
    }
    m_leastLoaded.reset();
    for (Owned& owned : m_ranges) {
        stepRange(owned, mayGrant);
    }
    if (now >= m_rebalanceAt && mayGrant && storeAnswers && m_recordedGeneration == m_generation) {
        m_rebalanceAt = now + rebalanceInterval;
        m_load.decay(now);
        mergeNeighbours();
        rebalance();
    }
    writeRecord();
    publish();
}

void RangeKeeper::dropEnded(Owned& owned)
{
    const std::size_t others = owned.holders.size() - (owned.hasTarget ? 1 : 0);
    const auto end = owned.holders.begin() + static_cast<std::ptrdiff_t>(others);
    const auto isEnded = [this, &owned](const Holder& holder) {
        const bool inCall = owned.call != 0 && owned.callTo == holder.who;
        const ListedServer* server = listed(holder.who.life);
        // The process that held it ended when another life of the server began.
        const bool restarted = server != nullptr && server->identity.startedAtUnixMs > holder.who.life.startedAtUnixMs
            && holder.who.life.startedAtUnixMs != 0;
        return !inCall && (holder.mayHoldUntil <= m_now || restarted);
    };
    const std::size_t before = owned.holders.size();
    owned.holders.erase(std::remove_if(owned.holders.begin(), end, isEnded), end);
    m_recordIsWide = m_recordIsWide || owned.holders.size() < before;
}

void RangeKeeper::stepRange(Owned& owned, bool mayGrant)
{
    if (owned.hasTarget && !isUsable(owned.holders.back().who.life)) {
        owned.hasTarget = false;
    }
    dropEnded(owned);
    if (!owned.hasTarget) {
        chooseTarget(owned);
    }
    // Until this term's first record is stored an earlier leader can still record, and grant to, other holders.
    const bool termRecorded = m_recordedGeneration > 0;
    if (owned.call != 0 || m_now < owned.nextCallAt || !mayGrant || !termRecorded) {
        return;
    }
    const bool recorded = owned.neededGeneration <= m_recordedGeneration;
    const std::size_t others = owned.holders.size() - (owned.hasTarget ? 1 : 0);
    if (others > 0) {
        // A holder keeps its range until the next one is recorded, unless it has to stop.
        const bool mustStop = !isUsable(owned.holders.front().who.life);
        if (recorded || mustStop) {
            freeFrom(owned, owned.holders.front());
        }
    } else if (owned.hasTarget && recorded) {
        sendGrant(owned, owned.holders.back());
    }
}

/// Takes the range from @p holder. The only holder of an earlier term is first granted the range with a fence of this
/// one, so that a superseded leader, or a late call of it, cannot give it the range again after the release. Where
/// there are more, the end of the earlier term's holds is awaited.
void RangeKeeper::freeFrom(Owned& owned, Holder& holder)
{
    const bool isOnly = std::none_of(owned.holders.begin(), owned.holders.end(),
        [&](const Holder& other) { return &other != &holder && other.mayHoldUntil > m_now; });
    if (holder.earlier && isOnly && holder.fencingTries < highestFencingTries) {
        ++holder.fencingTries;
        return sendGrant(owned, holder);
    }
    sendRelease(owned, holder);
}

void RangeKeeper::chooseTarget(Owned& owned)
{
    if (!m_leastLoaded) {
        std::vector<RangeServer> servers = placementServers();
        const std::vector<PlacedRange> placed = placedRanges(servers);
        m_leastLoaded.emplace(std::move(servers), placed, m_load);
    }
    if (const RangeServer* chosen = m_leastLoaded->take(owned.range)) {
        setTarget(owned, holderOf(*listed(chosen->life)));
    }
}

/// Makes @p target the last holder, and the record needed when it is a new one.
void RangeKeeper::setTarget(Owned& owned, const RangeHolder& target)
{
    owned.misses = 0;
    owned.nextCallAt = m_now;
    owned.hasTarget = true;
    const auto it = std::find_if(
        owned.holders.begin(), owned.holders.end(), [&](const Holder& holder) { return holder.who == target; });
    if (it != owned.holders.end()) {
        Holder again = *it;
        again.fence = 0;
        again.granted = false;
        owned.holders.erase(it);
        owned.holders.push_back(again);
        return;
    }
    Holder& added = owned.holders.emplace_back();
    added.who = target;
    owned.neededGeneration = ++m_generation;
}

void RangeKeeper::sendGrant(Owned& owned, Holder& target)
{
    if (target.fence == 0) {
        target.fence = m_numbers.nextFence();
        target.granted = false;
    }
    owned.heldBeforeCall = target.mayHoldUntil;
    target.mayHoldUntil = std::max(target.mayHoldUntil, m_times.holdEnd(m_now));
    owned.call = m_numbers.nextCall();
    owned.callIsRelease = false;
    owned.callTo = target.who;
    owned.callSentAt = m_now;
    m_effects.emplace_back(
        GrantRange {owned.call, target.who, owned.range, target.fence, m_times.hold, owned.handover});
}

void RangeKeeper::sendRelease(Owned& owned, Holder& holder)
{
    if (holder.fence == 0) {
        holder.fence = m_numbers.nextFence();
    }
    holder.granted = false;
    owned.call = m_numbers.nextCall();
    owned.callIsRelease = true;
    owned.callTo = holder.who;
    owned.callSentAt = m_now;
    m_effects.emplace_back(ReleaseRange {owned.call, holder.who, owned.range, holder.fence});
}

bool RangeKeeper::callEnded(const RangeCallEnded& event, MonotonicTime now, bool mayGrant)
{
    m_now = now;
    const auto owned
        = std::find_if(m_ranges.begin(), m_ranges.end(), [&](const Owned& range) { return range.call == event.call; });
    if (owned == m_ranges.end()) {
        return false;
    }
    m_leastLoaded.reset();
    endCall(*owned, event);
    stepRange(*owned, mayGrant);
    writeRecord();
    if (now - m_publishedAt >= publishInterval && !isPublished(*owned)) {
        publish();
    }
    return true;
}

void RangeKeeper::endCall(Owned& owned, const RangeCallEnded& event)
{
    owned.call = 0;
    const auto holder = std::find_if(owned.holders.begin(), owned.holders.end(),
        [&](const Holder& candidate) { return candidate.who == owned.callTo; });
    if (holder == owned.holders.end()) {
        return;
    }
    if (owned.callIsRelease) {
        finishRelease(owned, *holder, event);
    } else {
        finishGrant(owned, *holder, event);
    }
}

void RangeKeeper::finishGrant(Owned& owned, Holder& target, const RangeCallEnded& event)
{
    const bool isTarget = owned.hasTarget && &target == &owned.holders.back();
    if (event.result == GrantResult::NoAnswer) {
        target.unansweredUntil = m_times.holdEnd(owned.callSentAt);
    } else if (event.result == GrantResult::NotSent || event.result == GrantResult::Withheld) {
        target.mayHoldUntil = std::min(target.mayHoldUntil, owned.heldBeforeCall);
    }
    switch (event.result) {
    case GrantResult::Done:
        target.granted = true;
        target.earlier = false;
        owned.misses = 0;
        if (isTarget) {
            owned.handover.clear();
            owned.nextCallAt = owned.callSentAt + m_times.renewal;
        }
        return;
    case GrantResult::Fenced:
        target.fence = 0;
        owned.nextCallAt = m_now + retryInterval;
        return;
    case GrantResult::OtherServer:
        log(LogEvent::ServerLost, owned, target.who.life.id, "another server has its address");
        m_lostUntil[target.who.life] = m_now + lostTime;
        target.mayHoldUntil = m_now;
        return;
    case GrantResult::Refused:
    case GrantResult::NoAnswer:
    case GrantResult::NotSent:
        owned.nextCallAt = m_now + retryInterval;
        owned.misses += event.wasReset ? resetMiss : silentMiss;
        if (isTarget && owned.misses >= highestMisses) {
            log(LogEvent::ServerLost, owned, target.who.life.id, "it does not answer grants");
            m_lostUntil[target.who.life] = m_now + lostTime;
        }
        return;
    case GrantResult::Withheld:
        owned.nextCallAt = m_now + retryInterval; // It says nothing about the server.
        return;
    }
}

void RangeKeeper::finishRelease(Owned& owned, Holder& holder, const RangeCallEnded& event)
{
    switch (event.result) {
    case GrantResult::Done:
        if (!holder.earlier) {
            holder.mayHoldUntil = holder.unansweredUntil;
        }
        owned.nextCallAt = m_now + (holder.earlier ? releaseRetryInterval : Milliseconds(0));
        if (!event.handover.empty()) {
            owned.handover = event.handover;
        }
        return;
    case GrantResult::OtherServer:
        holder.mayHoldUntil = m_now;
        return;
    case GrantResult::Fenced:
    case GrantResult::Refused:
    case GrantResult::NoAnswer:
    case GrantResult::NotSent:
    case GrantResult::Withheld:
        owned.nextCallAt = m_now + releaseRetryInterval;
        return;
    }
}

void RangeKeeper::rebalance()
{
    const std::vector<RangeServer> servers = placementServers();
    for (const RangeMove& planned : planMoves(servers, placedRanges(servers), m_load)) {
        move(planned, servers);
    }
}

void RangeKeeper::move(const RangeMove& planned, const std::vector<RangeServer>& servers)
{
    const auto splitBefore = [this](std::uint32_t key) {
        const auto it = std::find_if(m_ranges.begin(), m_ranges.end(),
            [key](const Owned& owned) { return owned.range.contains(key) && owned.range.first < key; });
        if (it != m_ranges.end()) {
            Owned right = *it;
            right.range.first = key;
            right.call = 0;
            it->range.last = key - 1;
            m_ranges.insert(it + 1, right);
        }
    };
    splitBefore(planned.range.first);
    splitBefore(planned.range.last + 1);
    const auto owned = std::find_if(
        m_ranges.begin(), m_ranges.end(), [&](const Owned& candidate) { return candidate.range == planned.range; });
    if (owned == m_ranges.end()) {
        return;
    }
    const std::string from = owned->holders.back().who.life.id;
    m_movedAt[owned->holders.back().who.life] = m_now;
    m_movedAt[servers[planned.to].life] = m_now;
    owned->movedAt = m_now;
    setTarget(*owned, holderOf(*listed(servers[planned.to].life)));
    log(LogEvent::PartitionMoved, *owned, from, "to " + servers[planned.to].life.id + " for its load");
}

/// Joins neighbours that one server holds, which then need one renewal.
void RangeKeeper::mergeNeighbours()
{
    const auto isSettled = [this](const Owned& owned) {
        return owned.hasTarget && owned.holders.size() == 1 && owned.holders.back().granted && owned.call == 0
            && m_now - owned.movedAt >= mergeAfter;
    };
    for (std::size_t i = 0; i + 1 < m_ranges.size();) {
        Owned& left = m_ranges[i];
        const Owned& right = m_ranges[i + 1];
        if (!isSettled(left) || !isSettled(right) || left.holders.back().who != right.holders.back().who) {
            ++i;
            continue;
        }
        left.range.last = right.range.last;
        Holder& holder = left.holders.back();
        holder.mayHoldUntil = std::max(holder.mayHoldUntil, right.holders.back().mayHoldUntil);
        holder.unansweredUntil = std::max(holder.unansweredUntil, right.holders.back().unansweredUntil);
        holder.fence = std::max(holder.fence, right.holders.back().fence);
        left.nextCallAt = m_now;
        left.neededGeneration = std::max(left.neededGeneration, right.neededGeneration);
        m_ranges.erase(m_ranges.begin() + static_cast<std::ptrdiff_t>(i) + 1);
    }
}

RangesRecord RangeKeeper::record() const
{
    RangesRecord record;
    record.term = m_numbers.term;
    for (const Owned& owned : m_ranges) {
        RecordedRange& row = record.ranges.emplace_back();
        row.range = owned.range;
        for (const Holder& holder : owned.holders) {
            row.holders.push_back(holder.who);
        }
    }
    return record;
}

void RangeKeeper::writeRecord()
{
    if (m_writingGeneration != 0 || m_readingBack || m_now < m_nextWriteAt || m_ranges.empty()) {
        return;
    }
    if (m_mustReadBack) {
        m_readingBack = true;
        m_effects.emplace_back(ReadRecord {rangesRecordName(m_service)});
        return;
    }
    if (m_recordIsWide && m_recordedGeneration == m_generation) {
        ++m_generation; // A later leader is to find as few possible holders as there are.
    }
    if (m_recordedGeneration == m_generation) {
        return;
    }
    m_recordIsWide = false;
    m_writingGeneration = m_generation;
    m_writingText = encodeRangesRecord(record());
    m_effects.emplace_back(WriteRecord {rangesRecordName(m_service), m_version, m_writingText});
}

void RangeKeeper::written(const StoreWriteResult& result)
{
    const std::uint64_t generation = std::exchange(m_writingGeneration, 0);
    switch (result.status) {
    case StoreStatus::Ok:
        m_version = result.version;
        m_recordedGeneration = generation;
        m_nextWriteAt = m_now + writeInterval;
        return;
    case StoreStatus::Conflict:
    case StoreStatus::Unknown:
    case StoreStatus::NotFound:
        m_mustReadBack = true;
        m_nextWriteAt = m_now + retryInterval;
        return;
    case StoreStatus::Unavailable:
        m_nextWriteAt = m_now + writeRetryInterval;
        return;
    }
}

RangeKeeper::Found RangeKeeper::readBack(const StoreReadResult& result)
{
    m_readingBack = false;
    m_nextWriteAt = m_now + retryInterval;
    if (result.status != StoreStatus::Ok && result.status != StoreStatus::NotFound) {
        return Found::Own;
    }
    m_mustReadBack = false;
    if (result.status == StoreStatus::NotFound) {
        m_version = 0;
        return Found::Own;
    }
    const Result<RangesRecord> stored = parseRangesRecord(result.object.value);
    if (!stored || stored->term > m_numbers.term) {
        m_mustReadBack = true;
        return Found::Later;
    }
    if (stored->term < m_numbers.term) {
        return Found::Earlier;
    }
    // What was written last is written again, now above whatever took effect in between.
    m_version = result.object.version;
    return Found::Own;
}

RangeRoute RangeKeeper::routeOf(const Owned& owned) const
{
    RangeRoute route;
    route.range = owned.range;
    if (owned.hasTarget && owned.holders.size() == 1) {
        const Holder& target = owned.holders.back();
        if (target.granted || target.earlier) {
            route.owner = target.who.life;
            route.address = target.who.address;
        }
    } else if (owned.hasTarget && owned.holders.front().granted && !owned.callIsRelease) {
        route.owner = owned.holders.front().who.life;
        route.address = owned.holders.front().who.address;
    }
    const auto lost = m_lostUntil.find(owned.holders.empty() ? ServerIdentity() : owned.holders.front().who.life);
    route.moving = route.owner.id.empty() && owned.hasTarget && (lost == m_lostUntil.end() || lost->second <= m_now);
    return route;
}

/// Whether the published table has the route of @p owned, an element of `m_ranges`.
bool RangeKeeper::isPublished(const Owned& owned) const
{
    const auto index = static_cast<std::size_t>(&owned - m_ranges.data());
    return m_table && index < m_table->routes.size() && m_table->routes[index] == routeOf(owned);
}

void RangeKeeper::publish()
{
    if (m_table && m_table->routes.size() == m_ranges.size()
        && std::all_of(m_ranges.begin(), m_ranges.end(), [this](const Owned& owned) { return isPublished(owned); })) {
        return;
    }
    RangeTable table;
    table.service = m_service;
    table.term = m_numbers.term;
    table.version = m_numbers.nextTable();
    for (const Owned& owned : m_ranges) {
        table.routes.push_back(routeOf(owned));
    }
    m_publishedAt = m_now;
    m_table = std::make_shared<const RangeTable>(std::move(table));
    m_effects.emplace_back(PublishRanges {m_table});
}

MonotonicTime RangeKeeper::lastHoldEnd() const
{
    MonotonicTime last;
    for (const Owned& owned : m_ranges) {
        for (const Holder& holder : owned.holders) {
            last = std::max(last, holder.mayHoldUntil);
        }
    }
    return last;
}

void RangeKeeper::log(LogEvent event, const Owned& owned, const std::string& server, std::string_view why)
{
    m_effects.emplace_back(WriteRangeLog {event,
        "service=" + m_service + " keys=" + std::to_string(owned.range.first) + "-" + std::to_string(owned.range.last)
            + " server=" + server + " why=\"" + std::string(why) + "\""});
}

} // namespace jasminespread
