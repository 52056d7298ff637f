#include "ranges/range_keeper.h"

#include <algorithm>
#include <set>
#include <utility>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

/// Weight of one answer in the moving average of a server's latency; about the last 25 answers count.
constexpr double answerWeight = 0.04;
/// Bounds of a server's relative latency. Latency also rises with load, and a loaded server must not lose all its keys.
constexpr double minSlowness = 0.6;
constexpr double maxSlowness = 2.5;
/// Scores of consecutive grants without an answer, and the sum at which the range goes to another server: two timeouts
/// or six resets. A reset shows that the server's host is up; a server with a long queue resets new connections.
constexpr unsigned timeoutScore = 3;
constexpr unsigned resetScore = 1;
constexpr unsigned unreachableScore = 6;
constexpr Milliseconds retryInterval = 100ms;
/// Attempts to fence off an earlier leader at a holder. Each unanswered one extends the lease that the holder may have.
constexpr unsigned maxFencingAttempts = 2;
constexpr Milliseconds releaseRetryInterval = 300ms;
/// A server that failed to answer grants is not chosen again for this long.
constexpr Milliseconds exclusionTime = 3000ms;
constexpr Milliseconds rebalanceInterval = 300ms;
/// A range and a server take part in at most one load-balancing move within this time.
constexpr Milliseconds moveInterval = 1000ms;
/// Neighbouring ranges of one server are merged when neither has moved for this long.
constexpr Milliseconds mergeDelay = 4000ms;
constexpr Milliseconds writeRetryInterval = 200ms;
/// Changes of holders within this time are combined into one write.
constexpr Milliseconds writeInterval = 30ms;
/// Changes of routes within this time are combined into one table, because each table is sent to every instance.
constexpr Milliseconds publishInterval = 50ms;

/// Loads are divided by capacities.
constexpr double minColdCapacity = 0.01;

RangeHolder holderOf(const ListedServer& server) { return {server.identity, server.address}; }

} // namespace

RangeKeeper::RangeKeeper(std::string service, RangeTimes times, RangeCounters& counters, RangeEffects& effects)
    : m_service(std::move(service))
    , m_times(times)
    , m_counters(counters)
    , m_effects(effects)
    , m_servers(std::make_shared<const ServerList>())
{
}

void RangeKeeper::adopt(const std::optional<RangesRecord>& record, std::uint64_t version, MonotonicTime earlierLeaseEnd)
{
    m_version = version;
    m_ranges.clear();
    if (!record) {
        return;
    }
    for (const RecordedRange& recorded : record->ranges) {
        RangeState& rangeState = m_ranges.emplace_back();
        rangeState.range = recorded.range;
        for (const RangeHolder& holder : recorded.holders) {
            Holder& added = rangeState.holders.emplace_back();
            added.process = holder;
            added.leaseEndBound = earlierLeaseEnd;
            added.fromEarlierTerm = true;
        }
        // The last holder may be the earlier leader's target; a single holder certainly is.
        rangeState.hasTarget = !rangeState.holders.empty();
        rangeState.requiredGeneration = m_generation;
    }
}

void RangeKeeper::limitEarlierLeases(MonotonicTime earlierLeaseEnd)
{
    for (RangeState& rangeState : m_ranges) {
        for (Holder& holder : rangeState.holders) {
            if (holder.fromEarlierTerm) {
                holder.leaseEndBound = std::min(holder.leaseEndBound, earlierLeaseEnd);
            }
        }
    }
}

void RangeKeeper::onRecordLost(MonotonicTime now)
{
    m_now = now;
    m_recordLost = true;
    m_mustReadBack = true;
    m_eraGeneration = ++m_generation;
    for (RangeState& rangeState : m_ranges) {
        // A move that has only been recorded is given up: the next owner could get no grant for a long time.
        if (rangeState.hasTarget && rangeState.holders.size() == 2 && rangeState.callId == 0
            && rangeState.holders.front().grantConfirmed && rangeState.holders.back().fence == 0) {
            rangeState.holders.pop_back();
        }
        rangeState.requiredGeneration = m_generation;
        if (rangeState.hasTarget && rangeState.holders.size() == 1) {
            Holder& holder = rangeState.holders.back();
            holder.isRemembered = holder.isRemembered || holder.grantConfirmed;
        }
    }
}

void RangeKeeper::renewTerm(MonotonicTime unknownLeaseEnd)
{
    m_recordLost = false;
    m_unknownLeaseEnd = unknownLeaseEnd;
    m_table.reset(); // The next one has the new term.
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

const ListedServer* RangeKeeper::findListed(const ServerIdentity& identity) const
{
    const auto it = m_listed.find(identity.id);
    return it == m_listed.end() ? nullptr : it->second;
}

bool RangeKeeper::mayServeRanges(const ServerIdentity& identity) const
{
    const ListedServer* server = findListed(identity);
    const auto excluded = m_excludedUntil.find(identity);
    return server != nullptr && server->identity == identity && server->state != ListedServerState::Draining
        && (excluded == m_excludedUntil.end() || excluded->second <= m_now);
}

bool RangeKeeper::mayKeepRanges(const ServerIdentity& identity) const
{
    return mayServeRanges(identity) && !m_leavingServers.contains(identity)
        && !m_evacuatedDomains.contains(findListed(identity)->failureDomain);
}

bool RangeKeeper::mayReceiveRanges(const ServerIdentity& identity) const
{
    return mayKeepRanges(identity) && findListed(identity)->state == ListedServerState::Ready;
}

std::vector<RangeServer> RangeKeeper::placementServers() const
{
    std::vector<RangeServer> servers;
    for (const ListedServer& server : *m_servers) {
        if (server.service == m_service && mayReceiveRanges(server.identity)) {
            const auto lastMove = m_lastMoveAt.find(server.identity);
            servers.push_back({server.identity, effectiveCapacity(server),
                lastMove == m_lastMoveAt.end() || m_now - lastMove->second >= moveInterval});
        }
    }
    limitColdServers(servers);
    return servers;
}

void RangeKeeper::limitColdServers(std::vector<RangeServer>& servers) const
{
    const auto isCold = [this](const RangeServer& server) { return m_coldServers.contains(server.identity); };
    const auto coldCount = static_cast<std::size_t>(std::count_if(servers.begin(), servers.end(), isCold));
    if (coldCount == 0 || coldCount == servers.size()) {
        return;
    }
    double capacity = 0;
    for (const RangeServer& server : servers) {
        capacity += isCold(server) ? 0 : server.capacity;
    }
    const double limit = coldCapacity(capacity, coldCount);
    for (RangeServer& server : servers) {
        if (isCold(server)) {
            server.canReceiveRanges = false;
            server.capacity = std::min(server.capacity, limit);
        }
    }
}

double RangeKeeper::coldCapacity(double capacity, std::size_t coldCount) const
{
    const double others = m_load.requestsPerSecond() - m_coldRate * static_cast<double>(coldCount);
    return others > 0 ? std::max(minColdCapacity, capacity * m_coldRate / others) : capacity;
}

std::vector<PlacedRange> RangeKeeper::placedRanges(const std::vector<RangeServer>& servers) const
{
    std::map<ServerIdentity, std::size_t> indexes;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        indexes.emplace(servers[i].identity, i);
    }
    std::vector<PlacedRange> placed;
    for (const RangeState& rangeState : m_ranges) {
        PlacedRange& range = placed.emplace_back();
        range.range = rangeState.range;
        if (rangeState.hasTarget) {
            const auto it = indexes.find(rangeState.holders.back().process.identity);
            range.server = it == indexes.end() ? std::nullopt : std::optional(it->second);
            range.movable = rangeState.callId == 0 && rangeState.holders.size() == 1
                && rangeState.holders.back().grantConfirmed && m_now - rangeState.rebalancedAt >= moveInterval;
        }
    }
    return placed;
}

void RangeKeeper::addSpeed(const ObservedSpeed& speed)
{
    double& slowness = m_slowness.try_emplace(speed.server, 1.0).first->second;
    const double weight = std::min(0.5, answerWeight * speed.answers);
    slowness += (std::clamp(speed.slowness, minSlowness, maxSlowness) - slowness) * weight;
}

double RangeKeeper::effectiveCapacity(const ListedServer& server) const
{
    const auto it = m_slowness.find(server.identity.id);
    return server.slots / (it == m_slowness.end() ? 1.0 : it->second);
}

void RangeKeeper::createRanges()
{
    std::vector<RangeServer> servers = placementServers();
    std::erase_if(servers, [](const RangeServer& server) { return !server.canReceiveRanges; });
    for (const RangeMove& move : divideKeys(servers)) {
        RangeState& rangeState = m_ranges.emplace_back();
        rangeState.range = move.range;
        const ListedServer* server = findListed(servers[move.to].identity);
        setTarget(rangeState, holderOf(*server));
    }
}

void RangeKeeper::step(MonotonicTime now, bool mayGrant, bool storeAvailable)
{
    m_now = now;
    if (m_ranges.empty()) {
        createRanges();
    }
    m_placement.reset();
    for (RangeState& rangeState : m_ranges) {
        stepRange(rangeState, mayGrant);
    }
    if (now >= m_nextRebalanceAt && !holdsGrants() && mayGrant && storeAvailable
        && m_recordedGeneration == m_generation) {
        m_nextRebalanceAt = now + rebalanceInterval;
        m_load.decay(now);
        mergeNeighbours();
        rebalance();
    }
    syncRecord();
    publish();
}

void RangeKeeper::dropExpiredHolders(RangeState& rangeState)
{
    const std::size_t otherHolderCount = rangeState.holders.size() - (rangeState.hasTarget ? 1 : 0);
    const auto end = rangeState.holders.begin() + static_cast<std::ptrdiff_t>(otherHolderCount);
    const auto isExpired = [this, &rangeState](const Holder& holder) {
        return !isInCall(rangeState, holder) && holder.leaseEndBound <= m_now;
    };
    const std::size_t before = rangeState.holders.size();
    rangeState.holders.erase(std::remove_if(rangeState.holders.begin(), end, isExpired), end);
    m_recordHasExpiredHolders = m_recordHasExpiredHolders || rangeState.holders.size() < before;
}

bool RangeKeeper::isInCall(const RangeState& rangeState, const Holder& holder)
{
    return rangeState.callId != 0 && rangeState.callServer == holder.process;
}

/// Replaces holders whose server has started again by the process that runs now. A call names a server only by its id,
/// so the process that runs now may have taken grants that were sent to the earlier one: it has the lease until it
/// releases the range or the lease expires.
void RangeKeeper::replaceRestartedHolders(RangeState& rangeState)
{
    bool replaced = false;
    for (Holder& holder : rangeState.holders) {
        const ListedServer* server = findListed(holder.process.identity);
        const bool restarted
            = server != nullptr && server->identity.startedAtUnixMs > holder.process.identity.startedAtUnixMs;
        if (!restarted || isInCall(rangeState, holder)) {
            continue;
        }
        replaced = true;
        holder.changedAddress = holder.changedAddress || holder.process.address != server->address;
        holder.process = holderOf(*server);
        holder.fence = 0;
        holder.grantConfirmed = false;
        holder.isRemembered = false;
        holder.fencingAttempts = 0;
        rangeState.requiredGeneration = ++m_generation;
        rangeState.nextCallAt = m_now;
        rangeState.failureScore = 0;
    }
    if (replaced) {
        combineEqualHolders(rangeState);
    }
}

/// Combines holders that are the same process into the last one of them.
void RangeKeeper::combineEqualHolders(RangeState& rangeState)
{
    for (std::size_t i = rangeState.holders.size(); i-- > 1;) {
        for (std::size_t j = i; j-- > 0;) {
            Holder& last = rangeState.holders[i];
            const Holder& other = rangeState.holders[j];
            if (other.process != last.process) {
                continue;
            }
            last.leaseEndBound = std::max(last.leaseEndBound, other.leaseEndBound);
            last.unansweredGrantEnd = std::max(last.unansweredGrantEnd, other.unansweredGrantEnd);
            last.fromEarlierTerm = last.fromEarlierTerm || other.fromEarlierTerm;
            last.isRemembered = last.isRemembered && other.isRemembered;
            last.changedAddress = last.changedAddress || other.changedAddress;
            if (isInCall(rangeState, last)) {
                rangeState.leaseEndBeforeCall = std::max(rangeState.leaseEndBeforeCall, other.leaseEndBound);
            }
            rangeState.holders.erase(rangeState.holders.begin() + static_cast<std::ptrdiff_t>(j));
            --i;
        }
    }
}

void RangeKeeper::stepRange(RangeState& rangeState, bool mayGrant)
{
    replaceRestartedHolders(rangeState);
    if (rangeState.hasTarget) {
        const Holder& target = rangeState.holders.back();
        // A known holder keeps the range while no other server can get it.
        rangeState.hasTarget = holdsGrants() && target.isRemembered ? mayServeRanges(target.process.identity)
                                                                    : mayKeepRanges(target.process.identity);
    }
    dropExpiredHolders(rangeState);
    if (!rangeState.hasTarget) {
        chooseTarget(rangeState);
    }
    if (!rangeState.hasTarget && !rangeState.holders.empty()) {
        // A server that states that it is shutting down, or is evacuated, keeps its ranges while there is no other one.
        rangeState.hasTarget = mayServeRanges(rangeState.holders.back().process.identity);
    }
    // Until this term's first record is stored, an earlier leader can still record other holders and grant to them.
    const bool termRecorded = m_recordedGeneration > 0;
    if (rangeState.callId != 0 || m_now < rangeState.nextCallAt || !mayGrant || !termRecorded) {
        return;
    }
    if (holdsGrants()) {
        return stepHeldRange(rangeState);
    }
    const bool recorded = rangeState.requiredGeneration <= m_recordedGeneration;
    const std::size_t otherHolderCount = rangeState.holders.size() - (rangeState.hasTarget ? 1 : 0);
    if (otherHolderCount > 0) {
        // A holder keeps its range until the next holder is recorded, unless it must stop serving it.
        const bool mustStop = !mayServeRanges(rangeState.holders.front().process.identity);
        if (recorded || mustStop) {
            revokeFrom(rangeState, rangeState.holders.front());
        }
    } else if (rangeState.hasTarget && recorded) {
        Holder& target = rangeState.holders.back();
        if (target.isRemembered && !m_counters.isOfTerm(target.fence)) {
            target.fence = 0; // No unknown leader grants any more: the next grant has a token of this term.
        }
        sendGrant(rangeState, target);
    }
}

/// Sends the calls of a range that are allowed while other servers may have leases from unknown leaders.
void RangeKeeper::stepHeldRange(RangeState& rangeState)
{
    if (rangeState.holders.empty()) {
        return;
    }
    Holder& first = rangeState.holders.front();
    if (rangeState.hasTarget && rangeState.holders.size() == 1) {
        if (first.isRemembered && first.fence != 0) {
            sendGrant(rangeState, first);
        }
    } else if (!mayServeRanges(first.process.identity)) {
        sendRelease(rangeState, first);
    }
}

/// Revokes the lease of @p holder. A single holder from an earlier term is first granted the range with a fencing token
/// of this term, so that a superseded leader, or a delayed call of it, cannot grant the range again after the release.
/// If there are several, or it does not answer, a release does not suffice: the keeper also waits until the leases of
/// the earlier term have expired.
void RangeKeeper::revokeFrom(RangeState& rangeState, Holder& holder)
{
    const bool isOnly = std::none_of(rangeState.holders.begin(), rangeState.holders.end(),
        [&](const Holder& other) { return &other != &holder && other.leaseEndBound > m_now; });
    if (holder.fromEarlierTerm && isOnly && holder.fencingAttempts < maxFencingAttempts) {
        ++holder.fencingAttempts;
        return sendGrant(rangeState, holder);
    }
    sendRelease(rangeState, holder);
}

void RangeKeeper::chooseTarget(RangeState& rangeState)
{
    if (!m_placement) {
        std::vector<RangeServer> servers = placementServers();
        const std::vector<PlacedRange> placed = placedRanges(servers);
        m_placement.emplace(std::move(servers), placed, m_load);
    }
    if (const RangeServer* chosen = m_placement->assign(rangeState.range)) {
        setTarget(rangeState, holderOf(*findListed(chosen->identity)));
    }
}

/// Makes @p target the last holder. A new holder must be recorded before it is granted.
void RangeKeeper::setTarget(RangeState& rangeState, const RangeHolder& target)
{
    rangeState.failureScore = 0;
    rangeState.nextCallAt = m_now;
    rangeState.hasTarget = true;
    const auto it = std::find_if(rangeState.holders.begin(), rangeState.holders.end(),
        [&](const Holder& holder) { return holder.process == target; });
    if (it != rangeState.holders.end()) {
        Holder moved = *it;
        moved.fence = 0;
        moved.grantConfirmed = false;
        moved.isRemembered = false;
        rangeState.holders.erase(it);
        rangeState.holders.push_back(moved);
        return;
    }
    Holder& added = rangeState.holders.emplace_back();
    added.process = target;
    rangeState.requiredGeneration = ++m_generation;
}

void RangeKeeper::sendGrant(RangeState& rangeState, Holder& target)
{
    rangeState.callHasNewFence = target.fence == 0;
    if (rangeState.callHasNewFence) {
        target.fence = m_counters.nextFence();
        target.grantConfirmed = target.grantConfirmed && target.isRemembered; // A known holder has the range already.
    }
    rangeState.leaseEndBeforeCall = target.leaseEndBound;
    target.leaseEndBound = std::max(target.leaseEndBound, m_times.leaseEnd(m_now));
    rangeState.callId = m_counters.nextCallId();
    rangeState.callIsRelease = false;
    rangeState.callServer = target.process;
    rangeState.callSentAt = m_now;
    m_effects.emplace_back(GrantRange {
        rangeState.callId, target.process, rangeState.range, target.fence, m_times.leaseTime, rangeState.handover});
}

void RangeKeeper::sendRelease(RangeState& rangeState, Holder& holder)
{
    if (holder.fence == 0) {
        holder.fence = m_counters.nextFence();
    }
    holder.grantConfirmed = false;
    rangeState.callId = m_counters.nextCallId();
    rangeState.callIsRelease = true;
    rangeState.callServer = holder.process;
    rangeState.callSentAt = m_now;
    m_effects.emplace_back(ReleaseRange {rangeState.callId, holder.process, rangeState.range, holder.fence});
}

RangeKeeper::CallEnd RangeKeeper::onCallEnded(const RangeCallEnded& event, MonotonicTime now, bool mayGrant)
{
    m_now = now;
    const auto rangeState = std::find_if(
        m_ranges.begin(), m_ranges.end(), [&](const RangeState& range) { return range.callId == event.callId; });
    if (rangeState == m_ranges.end()) {
        return CallEnd::OtherKeeper;
    }
    // A new fencing token is above all others of this term and of the earlier ones.
    const bool showsLaterTerm
        = event.result == GrantResult::Fenced && !rangeState->callIsRelease && rangeState->callHasNewFence;
    mayGrant = mayGrant && !showsLaterTerm;
    m_placement.reset();
    applyCallResult(*rangeState, event);
    stepRange(*rangeState, mayGrant);
    syncRecord();
    if (now - m_publishedAt >= publishInterval && !isPublished(*rangeState)) {
        publish();
    }
    return showsLaterTerm ? CallEnd::LaterTerm : CallEnd::Applied;
}

void RangeKeeper::applyCallResult(RangeState& rangeState, const RangeCallEnded& event)
{
    rangeState.callId = 0;
    const auto holder = std::find_if(rangeState.holders.begin(), rangeState.holders.end(),
        [&](const Holder& candidate) { return candidate.process == rangeState.callServer; });
    if (holder == rangeState.holders.end()) {
        return;
    }
    if (rangeState.callIsRelease) {
        onReleaseEnded(rangeState, *holder, event);
    } else {
        onGrantEnded(rangeState, *holder, event);
    }
}

void RangeKeeper::onGrantEnded(RangeState& rangeState, Holder& target, const RangeCallEnded& event)
{
    const bool isTarget = rangeState.hasTarget && &target == &rangeState.holders.back();
    if (event.result == GrantResult::NoAnswer || event.earlierSendMayArrive) {
        target.unansweredGrantEnd = m_times.leaseEnd(rangeState.callSentAt);
    } else if (event.result == GrantResult::NotSent || event.result == GrantResult::Withheld) {
        target.leaseEndBound = std::min(target.leaseEndBound, rangeState.leaseEndBeforeCall);
    }
    switch (event.result) {
    case GrantResult::Done:
        target.grantConfirmed = true;
        target.isRemembered = target.isRemembered && !m_counters.isOfTerm(target.fence);
        target.fromEarlierTerm = false;
        target.changedAddress = false;
        rangeState.failureScore = 0;
        if (isTarget) {
            rangeState.handover.clear();
            rangeState.nextCallAt = rangeState.callSentAt + m_times.renewalInterval;
        }
        return;
    case GrantResult::Fenced:
        target.fence = 0;
        target.grantConfirmed = target.grantConfirmed && !target.isRemembered; // Another leader granted the range.
        target.isRemembered = false;
        rangeState.nextCallAt = m_now + retryInterval;
        return;
    case GrantResult::OtherServer:
        log(LogEvent::ServerLost, rangeState, target.process.identity.id, "another server now uses its address");
        m_excludedUntil[target.process.identity] = m_now + exclusionTime;
        target.leaseEndBound
            = target.changedAddress ? std::min(target.leaseEndBound, rangeState.leaseEndBeforeCall) : m_now;
        return;
    case GrantResult::Refused:
        rangeState.handover.clear(); // It may be what the server cannot read; without it the keys are served at least.
        [[fallthrough]];
    case GrantResult::NoAnswer:
    case GrantResult::NotSent:
        rangeState.nextCallAt = m_now + retryInterval;
        rangeState.failureScore += event.wasReset ? resetScore : timeoutScore;
        if (isTarget && rangeState.failureScore >= unreachableScore) {
            log(LogEvent::ServerLost, rangeState, target.process.identity.id,
                "it did not answer several grants in a row");
            m_excludedUntil[target.process.identity] = m_now + exclusionTime;
        }
        return;
    case GrantResult::Withheld:
        rangeState.nextCallAt = m_now + retryInterval; // Not a failure of the server.
        return;
    }
}

void RangeKeeper::onReleaseEnded(RangeState& rangeState, Holder& holder, const RangeCallEnded& event)
{
    switch (event.result) {
    case GrantResult::Done:
        if (!holder.fromEarlierTerm) {
            holder.leaseEndBound = holder.unansweredGrantEnd;
        }
        // It may take the range again by a grant that is late, until that one's end.
        rangeState.nextCallAt = holder.fromEarlierTerm
            ? m_now + releaseRetryInterval
            : std::max(m_now, std::min(m_now + releaseRetryInterval, holder.leaseEndBound));
        if (!event.handover.empty()) {
            rangeState.handover = event.handover;
        }
        return;
    case GrantResult::OtherServer:
        if (holder.changedAddress) {
            rangeState.nextCallAt = m_now + releaseRetryInterval;
        } else {
            holder.leaseEndBound = m_now;
        }
        return;
    case GrantResult::Fenced:
    case GrantResult::Refused:
    case GrantResult::NoAnswer:
    case GrantResult::NotSent:
    case GrantResult::Withheld:
        rangeState.nextCallAt = m_now + releaseRetryInterval;
        return;
    }
}

void RangeKeeper::rebalance()
{
    const std::vector<RangeServer> servers = placementServers();
    for (const RangeMove& planned : planMoves(servers, placedRanges(servers), m_load)) {
        startMove(planned, servers);
    }
}

void RangeKeeper::startMove(const RangeMove& planned, const std::vector<RangeServer>& servers)
{
    const auto splitBefore = [this](std::uint32_t key) {
        const auto it = std::find_if(m_ranges.begin(), m_ranges.end(), [key](const RangeState& rangeState) {
            return rangeState.range.contains(key) && rangeState.range.first < key;
        });
        if (it != m_ranges.end()) {
            RangeState right = *it;
            right.range.first = key;
            right.callId = 0;
            it->range.last = key - 1;
            m_ranges.insert(it + 1, right);
        }
    };
    splitBefore(planned.range.first);
    splitBefore(planned.range.last + 1);
    const auto rangeState = std::find_if(m_ranges.begin(), m_ranges.end(),
        [&](const RangeState& candidate) { return candidate.range == planned.range; });
    if (rangeState == m_ranges.end()) {
        return;
    }
    const std::string from = rangeState->holders.back().process.identity.id;
    m_lastMoveAt[rangeState->holders.back().process.identity] = m_now;
    m_lastMoveAt[servers[planned.to].identity] = m_now;
    rangeState->rebalancedAt = m_now;
    setTarget(*rangeState, holderOf(*findListed(servers[planned.to].identity)));
    log(LogEvent::PartitionMoved, *rangeState, from, "to " + servers[planned.to].identity.id + " to balance the load");
}

/// Merges neighbouring ranges with the same owner, so that one renewal covers them.
void RangeKeeper::mergeNeighbours()
{
    const auto isMergeable = [this](const RangeState& rangeState) {
        return rangeState.hasTarget && rangeState.holders.size() == 1 && rangeState.holders.back().grantConfirmed
            && rangeState.callId == 0 && m_now - rangeState.rebalancedAt >= mergeDelay;
    };
    for (std::size_t i = 0; i + 1 < m_ranges.size();) {
        RangeState& left = m_ranges[i];
        const RangeState& right = m_ranges[i + 1];
        if (!isMergeable(left) || !isMergeable(right) || left.holders.back().process != right.holders.back().process) {
            ++i;
            continue;
        }
        left.range.last = right.range.last;
        Holder& holder = left.holders.back();
        holder.leaseEndBound = std::max(holder.leaseEndBound, right.holders.back().leaseEndBound);
        holder.unansweredGrantEnd = std::max(holder.unansweredGrantEnd, right.holders.back().unansweredGrantEnd);
        holder.fence = std::max(holder.fence, right.holders.back().fence);
        left.nextCallAt = m_now;
        left.requiredGeneration = std::max(left.requiredGeneration, right.requiredGeneration);
        m_ranges.erase(m_ranges.begin() + static_cast<std::ptrdiff_t>(i) + 1);
    }
}

RangesRecord RangeKeeper::record() const
{
    RangesRecord record;
    record.term = m_counters.term;
    for (const RangeState& rangeState : m_ranges) {
        RecordedRange& row = record.ranges.emplace_back();
        row.range = rangeState.range;
        for (const Holder& holder : rangeState.holders) {
            row.holders.push_back(holder.process);
        }
    }
    return record;
}

void RangeKeeper::syncRecord()
{
    if (m_recordLost || m_writingGeneration != 0 || m_readingBack || m_now < m_nextWriteAt || m_ranges.empty()) {
        return;
    }
    if (m_mustReadBack) {
        m_readingBack = true;
        m_effects.emplace_back(ReadRecord {rangesRecordName(m_service)});
        return;
    }
    if (m_recordHasExpiredHolders && m_recordedGeneration == m_generation) {
        ++m_generation; // Rewrite without the expired holders, so that a later leader does not wait for them.
    }
    if (m_recordedGeneration == m_generation) {
        return;
    }
    m_recordHasExpiredHolders = false;
    m_writingGeneration = m_generation;
    m_writingText = encodeRangesRecord(record());
    m_effects.emplace_back(WriteRecord {rangesRecordName(m_service), m_version, m_writingText});
}

void RangeKeeper::onRecordWritten(const StoreWriteResult& result)
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

RangeKeeper::ReadBackResult RangeKeeper::onRecordReadBack(const StoreReadResult& result)
{
    m_readingBack = false;
    m_nextWriteAt = m_now + retryInterval;
    if (result.status != StoreStatus::Ok && result.status != StoreStatus::NotFound) {
        return ReadBackResult::NoOtherTerm;
    }
    m_mustReadBack = false;
    if (result.status == StoreStatus::NotFound) {
        m_version = 0;
        return ReadBackResult::NoOtherTerm;
    }
    const Result<RangesRecord> stored = parseRangesRecord(result.object.value);
    if (!stored || stored->term > m_counters.term) {
        m_mustReadBack = true;
        return ReadBackResult::LaterTerm;
    }
    if (stored->term < m_counters.term && m_recordedGeneration == 0) {
        return ReadBackResult::EarlierTerm;
    }
    // The next write repeats the record on top of the stored version, whichever earlier write took effect.
    m_version = result.object.version;
    return ReadBackResult::NoOtherTerm;
}

RangeRoute RangeKeeper::routeOf(const RangeState& rangeState) const
{
    RangeRoute route;
    route.range = rangeState.range;
    if (rangeState.hasTarget && rangeState.holders.size() == 1) {
        const Holder& target = rangeState.holders.back();
        if (target.grantConfirmed || target.fromEarlierTerm) {
            route.owner = target.process.identity;
            route.address = target.process.address;
        }
    } else if (rangeState.hasTarget && rangeState.holders.front().grantConfirmed && !rangeState.callIsRelease) {
        route.owner = rangeState.holders.front().process.identity;
        route.address = rangeState.holders.front().process.address;
    }
    const auto excluded = m_excludedUntil.find(
        rangeState.holders.empty() ? ServerIdentity() : rangeState.holders.front().process.identity);
    route.moving = route.owner.id.empty() && rangeState.hasTarget
        && (excluded == m_excludedUntil.end() || excluded->second <= m_now);
    return route;
}

/// Whether the published table has the route of @p rangeState, an element of `m_ranges`.
bool RangeKeeper::isPublished(const RangeState& rangeState) const
{
    const auto index = static_cast<std::size_t>(&rangeState - m_ranges.data());
    return m_table && index < m_table->routes.size() && m_table->routes[index] == routeOf(rangeState);
}

void RangeKeeper::publish()
{
    if (m_table && m_table->routes.size() == m_ranges.size()
        && std::all_of(m_ranges.begin(), m_ranges.end(),
            [this](const RangeState& rangeState) { return isPublished(rangeState); })) {
        return;
    }
    RangeTable table;
    table.service = m_service;
    table.term = m_counters.term;
    table.version = m_counters.nextTableVersion();
    for (const RangeState& rangeState : m_ranges) {
        table.routes.push_back(routeOf(rangeState));
    }
    m_publishedAt = m_now;
    m_table = std::make_shared<const RangeTable>(std::move(table));
    m_effects.emplace_back(PublishRanges {m_table});
}

MonotonicTime RangeKeeper::latestLeaseEnd() const
{
    MonotonicTime last;
    for (const RangeState& rangeState : m_ranges) {
        for (const Holder& holder : rangeState.holders) {
            last = std::max(last, holder.leaseEndBound);
        }
    }
    return last;
}

void RangeKeeper::log(LogEvent event, const RangeState& rangeState, const std::string& server, std::string_view reason)
{
    m_effects.emplace_back(WriteRangeLog {event,
        "service=" + m_service + " keys=" + std::to_string(rangeState.range.first) + "-"
            + std::to_string(rangeState.range.last) + " server=" + server + " why=\"" + std::string(reason) + "\""});
}

} // namespace jasminespread
