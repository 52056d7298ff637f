#include "ranges/range_authority.h"

#include "base/deflate.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr Milliseconds heartbeatInterval = 300ms;
constexpr Milliseconds reportInterval = 300ms;
/// A report that was not sent is followed by the next one after this time. A new connection takes a few round trips.
constexpr Milliseconds droppedReportInterval = 50ms;
constexpr Milliseconds stepInterval = 50ms;
/// While a leader names a successor, it reads its record at this interval to see that it has been succeeded.
constexpr Milliseconds successionCheckInterval = 200ms;
/// A member without a report for this long is not counted and gets no messages.
constexpr Milliseconds memberTimeout = 3000ms;
constexpr Milliseconds recordReadInterval = 200ms;
/// Ticks arrive every 50 ms; a longer gap means that the process or its machine was suspended.
constexpr Milliseconds maxTickGap = 700ms;
/// A leader reads its record every second; after this long without an answer it hands over the leadership.
constexpr Milliseconds storeLossTimeout = 2200ms;
/// A leader hands over to an instance that is at least this many times as fit, after it has led long enough for the
/// other instances to report to it.
constexpr double handoverFitnessRatio = 2;
constexpr Milliseconds voluntaryHandoverDelay = 1000ms;
/// Members with a report within the last two intervals are preferred as successor.
constexpr Milliseconds freshReportAge = 2 * reportInterval;
/// Changes up to this size are passed on as they are, larger ones deflated.
constexpr std::size_t maxPlainBytes = 512;
/// Each instance fetches a change that is larger when deflated from the store, whose link is faster than the leader's.
constexpr std::size_t maxForwardedBytes = 8192;
/// Bound on the size of a change that another instance passed on.
constexpr std::size_t maxInflatedBytes = 1'048'576;
/// Highest number of keys in one report; the load of further keys is not reported.
constexpr std::size_t maxReportedKeys = 2048;
/// Bound of another instance's clock, about 100 years, so that differences of two clocks stay in range.
constexpr std::uint64_t maxClockMs = 3'000'000'000'000;
/// Bound on the demand for one cold server in a report.
constexpr std::uint32_t maxColdDemand = 100'000;

/// Name under which permits are issued. A process that starts again under the same id does not know what the earlier
/// one has just sent.
std::string coldHolder(const std::string& instance, std::uint64_t incarnation)
{
    return instance + '/' + std::to_string(incarnation);
}

/// Tells the reports of one process from those of earlier ones under its id.
std::uint32_t coldReportTag(std::uint64_t incarnation) { return static_cast<std::uint32_t>(incarnation); }

} // namespace

RangeAuthority::RangeAuthority(LeaderRecord self, RangeTimes rangeTimes, LeadershipTimes leadershipTimes,
    std::uint64_t seed, std::optional<ColdServerLimits> coldLimits)
    : m_self(std::move(self))
    , m_rangeTimes(rangeTimes)
    , m_leadershipTimes(leadershipTimes)
    , m_leadership(leadershipTimes, m_self, seed)
    , m_coldLimits(coldLimits)
{
}

RangeEffects RangeAuthority::reduce(TimedRangeEvent event)
{
    const bool wasSuspended = m_now != MonotonicTime() && event.now - m_now > maxTickGap;
    m_now = event.now;
    if (wasSuspended) {
        m_leadership.suspendGrants(m_now);
    }
    std::visit([this](auto& alternative) { handle(std::move(alternative)); }, event.event);
    for (RangeEffect& effect : m_effects) {
        if (auto* write = std::get_if<WriteRecord>(&effect)) {
            write->era = m_era; // Versions of earlier eras were dropped by learnEra().
        }
    }
    return std::exchange(m_effects, {});
}

/// Learns the era of the store from one of its answers or from another instance.
void RangeAuthority::learnEra(std::uint64_t era)
{
    if (era <= m_era) {
        return;
    }
    if (m_storeAnswered) { // Otherwise it is the first era that this process learns of.
        log(LogEvent::StoreRestored, "era=" + std::to_string(era) + " known-era=" + std::to_string(m_era));
    }
    m_era = era;
    if (m_term != 0) {
        // Another instance may have taken over since this leader last confirmed its record. That one cannot have moved
        // a range within the time that a lease takes to expire, unless the holder has accepted a token of it.
        m_remembersGrants = m_leadership.mayGrant(m_now) && m_now <= m_rangeTimes.leaseEnd(m_leadership.verifiedAt())
            && eraOfTerm(m_term) < era;
        for (auto& [service, keyedService] : m_services) {
            if (keyedService.adopted) {
                keyedService.keeper->onRecordLost(m_now);
            }
        }
    }
    m_leadership.onNewEra(era, m_now);
}

std::uint64_t RangeAuthority::term() const noexcept { return m_leadership.leader() ? m_leadership.leader()->term : 0; }

bool RangeAuthority::hasRangeTables(const std::vector<std::string>& services) const
{
    return std::all_of(services.begin(), services.end(),
        [this](const std::string& service) { return m_knownTables.contains(service); });
}

void RangeAuthority::handle(RangeTick&&)
{
    RangeLeadership::Step due = m_leadership.step(m_now);
    if (due.read) {
        m_effects.emplace_back(std::move(*due.read));
    }
    if (due.write) {
        m_effects.emplace_back(std::move(*due.write));
    }
    applyLeadership();
    m_superseded = m_superseded && !m_leadership.mayGrant(m_now);
    if (m_term != 0) {
        // Earlier leaders that do not confirm have stopped once their leader lease has expired.
        if (!m_unconfirmedLeaders.empty() && m_now >= m_leadership.tookOverAt() + m_leadershipTimes.leaderLease) {
            m_unconfirmedLeaders.clear();
            onEarlierLeaderStopped();
        }
        if (m_unconfirmedLeaders.empty() && m_now >= m_unknownLeaseEnd && areRecordsStored()) {
            m_leadership.onEarlierLeadersStopped();
        }
        if (m_now >= m_nextStepAt) {
            stepServices();
        }
        if (m_now >= m_nextSuccessionCheckAt) {
            m_nextSuccessionCheckAt = m_now + successionCheckInterval;
            if (m_leadership.storeAvailable() && !chooseSuccessor().empty()) {
                m_leadership.verifyNow(m_now);
            }
        }
        if (m_now >= m_nextHeartbeatAt) {
            sendHeartbeats();
        } else {
            sendAwaitedHeartbeats();
        }
    } else if (m_now >= m_nextReportAt) {
        sendReport();
    }
    if (m_outdatedLeaders.removeSilent(m_now)) {
        connectPeers();
    }
    tellOutdatedLeaders();
    updateFeedSource();
}

void RangeAuthority::updateFeedSource()
{
    const FeedSource source = m_feedSelector.source(m_term != 0 && !m_members.empty(), m_now);
    if (source != m_feedSource) {
        m_feedSource = source;
        m_effects.emplace_back(SelectFeedSource {source});
    }
    for (std::string& feed : m_feedSelector.laggingFeeds(m_now)) {
        m_effects.emplace_back(FetchFeed {std::move(feed)});
    }
}

void RangeAuthority::handle(RangeServersListed&& event)
{
    m_servers = std::move(event.servers);
    m_coldUntil.clear();
    for (const ListedServer& server : *m_servers) {
        if (m_coldLimits && server.warmUpLeft.count() > 0) {
            m_coldUntil[server.identity] = m_now + server.warmUpLeft;
        }
    }
    updateColdServers();
    for (auto& [service, keyedService] : m_services) {
        keyedService.keeper->setServers(m_servers);
    }
    if (m_term != 0) {
        stepServices(); // A leaving server must stop getting requests within a short time.
    }
}

void RangeAuthority::handle(RangeEvacuationsListed&& event)
{
    m_evacuatedDomains = std::move(event.failureDomains);
    for (auto& [service, keyedService] : m_services) {
        if (keyedService.keeper) {
            keyedService.keeper->setEvacuatedDomains(m_evacuatedDomains);
        }
    }
    if (m_term != 0) {
        stepServices(); // The keys need other owners before the time in which the present ones may get requests ends.
    }
}

void RangeAuthority::handle(RangeServicesConfigured&& event)
{
    m_configured = true;
    m_keyedServices.clear();
    m_warmUpRates.clear();
    for (const auto& [name, service] : event.configuration->services) {
        if (service.keyed) {
            m_keyedServices.insert(name);
        }
        if (service.warmUpRate > 0) {
            m_warmUpRates[name] = service.warmUpRate;
        }
    }
}

void RangeAuthority::handle(RecordRead&& event)
{
    const bool answered = event.result.status == StoreStatus::Ok || event.result.status == StoreStatus::NotFound;
    if (answered && event.result.era < m_era) {
        event.result.status = StoreStatus::Unavailable; // Sent before the restore.
    }
    learnEra(event.result.era);
    m_storeAnswered = m_storeAnswered || answered;
    if (event.name == leaderRecordName) {
        m_leadership.onRead(event);
        return applyLeadership();
    }
    for (auto& [service, keyedService] : m_services) {
        if (rangesRecordName(service) != event.name) {
            continue;
        }
        keyedService.readInFlight = false;
        keyedService.nextReadAt = m_now + recordReadInterval;
        if (keyedService.adopted) {
            handleReadBack(keyedService, event.result);
        } else {
            adopt(service, keyedService, event.result);
        }
        return stepService(service, keyedService);
    }
}

/// Handles the record that was read after a write with an unknown outcome or a conflict.
void RangeAuthority::handleReadBack(KeyedService& keyedService, const StoreReadResult& result)
{
    switch (keyedService.keeper->onRecordReadBack(result)) {
    case RangeKeeper::ReadBackResult::NoOtherTerm:
        return;
    case RangeKeeper::ReadBackResult::EarlierTerm:
        keyedService = KeyedService();
        return;
    case RangeKeeper::ReadBackResult::LaterTerm:
        m_leadership.verifyNow(m_now);
        return;
    }
}

/// Takes over the ranges of a service from the stored record.
void RangeAuthority::adopt(const std::string& service, KeyedService& keyedService, const StoreReadResult& result)
{
    const bool found = result.status == StoreStatus::Ok;
    if (eraOfTerm(m_term) < std::min(m_era, maxStoreEra)) {
        return; // The record may lack grants; the term of the new era tells until when.
    }
    if (!found && result.status != StoreStatus::NotFound) {
        return;
    }
    std::optional<RangesRecord> record;
    if (found) {
        Result<RangesRecord> parsed = parseRangesRecord(result.object.value);
        if (!parsed) {
            log(LogEvent::RangeRecordUnreadable,
                "service=" + service + "; its keys have no owner until the stored record is deleted");
            return;
        }
        if (parsed->term > m_term) {
            // Another instance already leads in a later term and may have granted.
            m_leadership.verifyNow(m_now);
            return;
        }
        record = std::move(*parsed);
    }
    keyedService.keeper->adopt(record, found ? result.object.version : 0, earlierLeaseEnd());
    keyedService.keeper->holdGrants(m_unknownLeaseEnd);
    keyedService.keeper->setServers(m_servers);
    keyedService.adopted = true;
}

void RangeAuthority::handle(RecordWritten&& event)
{
    learnEra(event.result.era);
    if (event.name == leaderRecordName) {
        m_leadership.onWritten(event);
        return applyLeadership();
    }
    for (auto& [service, keyedService] : m_services) {
        if (keyedService.adopted && rangesRecordName(service) == event.name) {
            const bool answered
                = event.result.status == StoreStatus::Ok || event.result.status == StoreStatus::Conflict;
            if (event.baseEra < m_era || (answered && event.result.era != event.baseEra)) {
                event.result.status = StoreStatus::Unknown; // The record that it was based on is lost.
            }
            keyedService.keeper->onRecordWritten(event.result);
            if (event.result.status == StoreStatus::Conflict) {
                m_leadership.verifyNow(m_now);
            }
            return stepServices();
        }
    }
}

void RangeAuthority::handle(RangeCallEnded&& event)
{
    for (auto& [service, keyedService] : m_services) {
        if (!keyedService.adopted) {
            continue;
        }
        const RangeKeeper::CallEnd end = keyedService.keeper->onCallEnded(event, m_now, m_leadership.mayGrant(m_now));
        if (end == RangeKeeper::CallEnd::OtherKeeper) {
            continue;
        }
        if (event.result == GrantResult::Fenced) {
            log(LogEvent::GrantRefused,
                "service=" + service + " why=\"the server has accepted a higher fencing token\"");
            m_leadership.verifyNow(m_now);
        }
        if (end == RangeKeeper::CallEnd::LaterTerm) {
            m_superseded = true;
            m_leadership.suspendGrants(m_now);
        }
        return publishTable(service, keyedService);
    }
}

void RangeAuthority::handle(RangePeerMessage&& event)
{
    const wire::Envelope& envelope = event.envelope;
    if (envelope.has_range_leader_heartbeat()) {
        receive(envelope.range_leader_heartbeat(), envelope.sender());
    } else if (envelope.has_instance_report()) {
        receive(envelope.instance_report(), envelope.sender());
    } else if (envelope.has_range_table_view()) {
        receive(envelope.range_table_view());
    } else if (envelope.has_feed_change()) {
        receive(envelope.feed_change());
    } else if (envelope.has_range_leader_change()) {
        receive(envelope.range_leader_change());
    }
}

void RangeAuthority::handle(KeysCounted&& event)
{
    std::map<std::uint16_t, std::uint32_t>& counts = m_unreportedCounts[event.service];
    for (const auto& [key, count] : event.counts) {
        counts[key] += count;
    }
}

void RangeAuthority::handle(SpeedsObserved&& event)
{
    m_ownInFlight.clear();
    for (const ObservedSpeed& speed : event.speeds) {
        if (speed.inFlight > 0) {
            m_ownInFlight[speed.server] = speed.inFlight;
        }
        if (speed.answers == 0) {
            continue;
        }
        if (m_term != 0) {
            addSpeed(speed);
            continue;
        }
        ObservedSpeed& sum
            = m_unreportedSpeeds.try_emplace(speed.server, ObservedSpeed {speed.server, 0, 0}).first->second;
        sum.slowness = (sum.slowness * sum.answers + speed.slowness * speed.answers) / (sum.answers + speed.answers);
        sum.answers += speed.answers;
    }
}

void RangeAuthority::handle(ColdDemandsObserved&& event)
{
    for (const auto& [server, requests] : event.demands) {
        m_unreportedColdDemands[server] += requests;
    }
}

void RangeAuthority::handle(LeavingServersObserved&& event)
{
    if (event.servers == m_ownLeavingServers) {
        return;
    }
    m_ownLeavingServers = std::move(event.servers);
    if (m_term != 0) {
        addLeavingServers(m_ownLeavingServers);
    } else {
        m_nextReportAt = m_now;
    }
}

/// Moves the ranges of @p servers, which have stated to an instance that they are shutting down. They are known until
/// the end of the term, also if that instance is lost.
void RangeAuthority::addLeavingServers(const std::set<ServerIdentity>& servers)
{
    const std::size_t before = m_leavingServers.size();
    m_leavingServers.insert(servers.begin(), servers.end());
    if (m_leavingServers.size() == before) {
        return;
    }
    for (auto& [service, keyedService] : m_services) {
        if (keyedService.keeper) {
            keyedService.keeper->setLeavingServers(m_leavingServers);
        }
    }
    stepServices();
}

void RangeAuthority::addSpeed(const ObservedSpeed& speed)
{
    for (auto& [service, keyedService] : m_services) {
        if (keyedService.keeper) {
            keyedService.keeper->addSpeed(speed);
        }
    }
}

void RangeAuthority::handle(StoreReachabilityChanged&& event) { m_storeReachable = event.reachable; }

void RangeAuthority::handle(FeedRevisionConfirmed&& event)
{
    learnEra(event.revision.era);
    m_storeAnswered = m_storeAnswered || event.fromStore;
    if (event.fromStore) {
        m_feedSelector.onStoreAnswer(event.feed, event.revision, m_now - event.maxReadDelay);
    } else {
        m_feedSelector.onRevisionLearned(event.feed, event.revision);
    }
}

void RangeAuthority::handle(FeedChanged&& event)
{
    if (m_term == 0) {
        return;
    }
    wire::FeedChange change;
    change.set_feed(event.change.feed);
    change.set_base_revision(event.change.baseRevision);
    change.set_revision(event.change.revision);
    change.set_era(event.change.era);
    if (event.change.payload.size() <= maxPlainBytes) {
        change.set_payload(event.change.payload);
    } else if (event.change.payload.size() <= maxInflatedBytes) {
        std::string deflated = deflate(event.change.payload);
        if (deflated.size() <= maxForwardedBytes) {
            change.set_deflated_payload(std::move(deflated));
        }
    }
    for (const auto& [id, member] : m_members) {
        wire::Envelope envelope;
        *envelope.mutable_feed_change() = change;
        m_effects.emplace_back(SendRangePeerMessage {id, std::move(envelope)});
    }
}

void RangeAuthority::handle(RangeStopRequested&&)
{
    m_stopping = true;
    m_leadership.disableTakeover();
    if (m_term != 0) {
        sendHeartbeats();
    } else {
        sendReport();
    }
}

void RangeAuthority::handle(RangeMessageDropped&& event)
{
    m_outdatedLeaders.onMessageDropped(event.to);
    if (m_term == 0) {
        m_nextReportAt = std::min(m_nextReportAt, m_now + droppedReportInterval);
        return;
    }
    m_tableSender.onDropped(event.to);
    const auto member = m_members.find(event.to);
    if (member != m_members.end()) {
        member->second.awaitsHeartbeat = true;
    }
}

void RangeAuthority::receive(const wire::RangeLeaderHeartbeat& message, const wire::InstanceReference& sender)
{
    learnEra(message.store_era());
    m_leadership.onHeartbeat(message.term(), sender.id(), sender.incarnation(), message.address(), m_now);
    applyLeadership();
    if (message.term() < term() && sender.id() != m_self.instance) {
        if (m_outdatedLeaders.onHeartbeat(sender.id(), message.address(), m_now)) {
            log(LogEvent::OutdatedLeaderFound,
                "instance=" + sender.id() + " term=" + std::to_string(message.term())
                    + " known-term=" + std::to_string(term()));
            connectPeers();
        }
        return tellOutdatedLeaders();
    }
    const bool isFromCurrentLeader
        = m_term == 0 && m_leadership.leader() && m_leadership.leader()->term == message.term();
    if (!isFromCurrentLeader) {
        return;
    }
    if (m_instanceCount != message.instances() && message.instances() > 0) {
        m_instanceCount = message.instances();
        m_effects.emplace_back(PublishInstanceCount {m_instanceCount});
    }
    if (message.feeds_size() > 0) {
        FeedSummary feedSummary;
        feedSummary.age = Milliseconds(message.feed_age_ms());
        feedSummary.term = message.term();
        feedSummary.sentAt = MonotonicTime(Milliseconds(std::min(message.sent_at_ms(), maxClockMs)));
        for (const wire::FeedState& feed : message.feeds()) {
            feedSummary.revisions[feed.feed()] = {feed.era(), feed.revision()};
        }
        m_feedSelector.onLeaderHeartbeat(feedSummary, m_now);
    }
    receiveColdPermits(message);
    ServerLoads busy;
    for (int i = 0; i < message.busy_servers_size() && i < message.busy_in_flight_size(); ++i) {
        busy[message.busy_servers(i)] = message.busy_in_flight(i);
    }
    m_effects.emplace_back(PublishLoads {std::move(busy)});
    if (message.successor() == m_self.instance) {
        m_leadership.onNamedSuccessor(m_now);
    }
}

void RangeAuthority::receive(const wire::InstanceReport& message, const wire::InstanceReference& sender)
{
    learnEra(message.store_era());
    Member& member = m_members[sender.id()];
    const bool isNewProcess = member.address != message.address() || member.incarnation != sender.incarnation();
    if (isNewProcess) {
        m_coldPermits.removeInstance(coldHolder(sender.id(), member.incarnation));
        member.coldReportSentAtMs = 0;
    }
    member.incarnation = sender.incarnation();
    member.address = message.address();
    member.lastReportAt = m_now;
    member.leaving = message.leaving();
    member.storeReachable = message.store_reachable();
    member.fitness = std::isfinite(message.fitness()) ? std::clamp<double>(message.fitness(), 0, 1) : 0;
    member.inFlight.clear();
    for (const wire::ServerSpeed& speed : message.speeds()) {
        member.inFlight[speed.id()] = speed.in_flight();
    }
    m_tableSender.onReport(sender.id(), message, isNewProcess, m_now);
    // An earlier leader that reports this term or a later one has stopped granting, as has one that restarted.
    if (m_term != 0 && message.known_term() >= m_term && m_unconfirmedLeaders.erase(sender.id()) > 0) {
        onEarlierLeaderStopped();
    }
    if (isNewProcess) {
        member.awaitsHeartbeat = true;
        connectPeers();
    }
    if (m_term != 0) {
        addReportedLoads(message);
        receiveColdDemands(message, sender.id(), member);
        std::set<ServerIdentity> leaving;
        for (const wire::ServerReference& server : message.leaving_servers()) {
            leaving.insert({server.id(), server.born_at()});
        }
        addLeavingServers(leaving);
        sendTableUpdates(sender.id());
    }
}

void RangeAuthority::receive(const wire::RangeTableView& message)
{
    if (m_term != 0) {
        return;
    }
    const auto known = m_knownTables.find(message.service());
    ReceivedTable received = receiveTable(message, known == m_knownTables.end() ? nullptr : known->second.get());
    switch (received.arrival) {
    case TableArrival::Newer:
        m_knownTables[message.service()] = received.table;
        m_effects.emplace_back(PublishRanges {std::move(received.table)});
        return;
    case TableArrival::Older:
        return;
    case TableArrival::BaseMissing:
        m_tableBaseMissing = true;
        m_nextReportAt = m_now;
        return;
    case TableArrival::Unreadable:
        log(LogEvent::RangeRecordUnreadable,
            "service=" + message.service() + "; a route table message of the leader is malformed");
        return;
    }
}

void RangeAuthority::receive(const wire::FeedChange& message)
{
    const std::optional<std::string> inflated
        = message.deflated_payload().empty() ? std::nullopt : inflate(message.deflated_payload(), maxInflatedBytes);
    const std::string& payload = inflated ? *inflated : message.payload();
    if (payload.empty()) {
        m_effects.emplace_back(FetchFeed {message.feed()});
    } else {
        m_effects.emplace_back(
            ApplyFeedChange {{message.feed(), message.base_revision(), message.revision(), payload, message.era()}});
    }
}

void RangeAuthority::receive(const wire::RangeLeaderChange& message)
{
    if (message.leader().id() == m_self.instance) {
        return; // It learns of its own leadership from the store.
    }
    const std::uint64_t known = term();
    m_leadership.onHeartbeat(
        message.term(), message.leader().id(), message.leader().incarnation(), message.address(), m_now);
    applyLeadership();
    if (term() > known) {
        m_nextReportAt = m_now;
    }
}

void RangeAuthority::applyLeadership()
{
    const bool leads = isLeader();
    if (leads && m_term != m_leadership.leader()->term) {
        if (m_term != 0 && std::exchange(m_remembersGrants, false)) {
            renewTerm();
        } else {
            beginTerm();
        }
    } else if (!leads && m_term != 0) {
        endTerm();
    }
    connectPeers();
}

void RangeAuthority::beginTerm()
{
    m_term = m_leadership.leader()->term;
    // Calls of an earlier term may still end.
    m_counters = RangeCounters {m_term, 0, m_counters.lastCallId, 0};
    m_services.clear();
    m_coldPermits = ColdPermitAllocator(m_coldLimits.value_or(ColdServerLimits()));
    m_leavingServers = m_ownLeavingServers;
    adoptLeaderRecord();
}

/// Begins a term of a new era. The leader was leading before and remembers its grants.
void RangeAuthority::renewTerm()
{
    m_term = m_leadership.leader()->term;
    m_counters = RangeCounters {m_term, 0, m_counters.lastCallId, 0};
    adoptLeaderRecord();
    for (auto& [service, keyedService] : m_services) {
        if (keyedService.adopted) {
            keyedService.keeper->renewTerm(m_unknownLeaseEnd);
        }
    }
}

/// Starts the term with what its record says about earlier leaders.
void RangeAuthority::adoptLeaderRecord()
{
    m_tableSender = RangeTableSender();
    m_superseded = false;
    const std::vector<std::string>& unconfirmed = m_leadership.leader()->unconfirmedLeaders;
    m_unconfirmedLeaders = {unconfirmed.begin(), unconfirmed.end()};
    m_earlierLeadersStoppedAt = m_now;
    m_unknownLeaseEnd
        = m_unconfirmedLeaders.contains(std::string(unknownLeaders)) ? earlierLeaseEnd() : MonotonicTime();
    m_nextHeartbeatAt = m_now;
    log(LogEvent::GroupTakenOver,
        "term=" + std::to_string(m_term) + " unconfirmed=" + std::to_string(m_unconfirmedLeaders.size()));
}

/// Whether the stored records name all present holders; a later leader relies on them.
bool RangeAuthority::areRecordsStored() const
{
    return m_unknownLeaseEnd == MonotonicTime()
        || std::all_of(m_services.begin(), m_services.end(),
            [](const auto& entry) { return !entry.second.adopted || entry.second.keeper->isRecordStored(); });
}

/// Handles the confirmation that an earlier leader has stopped.
void RangeAuthority::onEarlierLeaderStopped()
{
    m_earlierLeadersStoppedAt = m_now;
    if (!m_unconfirmedLeaders.empty()) {
        return;
    }
    if (m_now >= m_unknownLeaseEnd) {
        m_leadership.onEarlierLeadersStopped();
    }
    for (auto& [service, keyedService] : m_services) {
        if (keyedService.adopted) {
            keyedService.keeper->limitEarlierLeases(earlierLeaseEnd());
        }
    }
}

void RangeAuthority::endTerm()
{
    log(LogEvent::GroupLost,
        "term=" + std::to_string(m_term)
            + " leader=" + (m_leadership.leader() ? m_leadership.leader()->instance : std::string("unknown")));
    announceNextLeader();
    m_term = 0;
    m_remembersGrants = false;
    m_services.clear();
    m_nextReportAt = m_now;
}

/// Tells the members which instance leads now. They would learn it from the store, after the heartbeat timeout.
void RangeAuthority::announceNextLeader()
{
    const std::optional<LeaderRecord>& next = m_leadership.leader();
    if (!next || next->term <= m_term) {
        return;
    }
    const wire::Envelope envelope = makeLeaderChange(*next);
    for (const auto& [id, member] : m_members) {
        m_effects.emplace_back(SendRangePeerMessage {id, envelope});
    }
}

wire::Envelope RangeAuthority::makeLeaderChange(const LeaderRecord& leader) const
{
    wire::Envelope envelope;
    wire::RangeLeaderChange& change = *envelope.mutable_range_leader_change();
    change.set_term(leader.term);
    change.mutable_leader()->set_id(leader.instance);
    change.mutable_leader()->set_incarnation(leader.incarnation);
    change.set_address(leader.address);
    return envelope;
}

/// A leader that cannot read its record would otherwise grant until its leader lease expires.
void RangeAuthority::tellOutdatedLeaders()
{
    const std::optional<LeaderRecord>& leader = m_leadership.leader();
    if (!leader) {
        return;
    }
    for (const std::string& instance : m_outdatedLeaders.takeUntold()) {
        m_effects.emplace_back(SendRangePeerMessage {instance, makeLeaderChange(*leader)});
    }
}

/// Latest end of a lease that an earlier leader may have granted.
MonotonicTime RangeAuthority::earlierLeaseEnd() const
{
    const MonotonicTime stoppedAt = m_unconfirmedLeaders.empty()
        ? m_earlierLeadersStoppedAt
        : m_leadership.tookOverAt() + m_leadershipTimes.leaderLease;
    return m_rangeTimes.leaseEnd(stoppedAt);
}

void RangeAuthority::stepServices()
{
    m_nextStepAt = m_now + stepInterval;
    if (!m_configured || !m_servers) {
        return;
    }
    for (const std::string& service : m_keyedServices) {
        stepService(service, m_services[service]);
    }
}

void RangeAuthority::stepService(const std::string& service, KeyedService& keyedService)
{
    if (!keyedService.keeper) {
        keyedService.keeper = std::make_unique<RangeKeeper>(service, m_rangeTimes, m_counters, m_effects);
        keyedService.keeper->setLeavingServers(m_leavingServers);
        keyedService.keeper->setEvacuatedDomains(m_evacuatedDomains);
        keyedService.keeper->setColdServers(m_coldServers, warmUpRateOf(service));
    }
    if (!keyedService.adopted) {
        if (!keyedService.readInFlight && m_now >= keyedService.nextReadAt) {
            keyedService.readInFlight = true;
            m_effects.emplace_back(ReadRecord {rangesRecordName(service)});
        }
        return;
    }
    keyedService.keeper->step(m_now, m_leadership.mayGrant(m_now), m_leadership.storeAvailable());
    publishTable(service, keyedService);
}

/// Sends the newest table of a service to the instances if it has changed.
void RangeAuthority::publishTable(const std::string& service, const KeyedService& keyedService)
{
    const std::shared_ptr<const RangeTable> table = keyedService.keeper->table();
    if (table && m_knownTables[service] != table) {
        m_tableSender.add(table);
        m_knownTables[service] = table;
        for (auto& [id, member] : m_members) {
            sendTableUpdates(id);
        }
    }
}

void RangeAuthority::sendHeartbeats()
{
    m_nextHeartbeatAt = m_now + heartbeatInterval;
    updateMembers();
    const ServerLoads busy = busyServers();
    m_effects.emplace_back(PublishLoads {busy});
    allocateColdPermits();
    const wire::RangeLeaderHeartbeat heartbeat = makeHeartbeat(busy);
    for (auto& [id, member] : m_members) {
        sendHeartbeat(id, member, heartbeat);
    }
    for (const auto& [service, counts] : std::exchange(m_unreportedCounts, {})) {
        const auto keyedService = m_services.find(service);
        if (keyedService == m_services.end() || !keyedService->second.adopted) {
            continue;
        }
        for (const auto& [key, count] : counts) {
            keyedService->second.keeper->addLoad(key, count);
        }
    }
}

/// Sends a heartbeat and the route tables to the instances that could not be reached at the last attempt, so that an
/// instance serves keys as soon as the connection to it is open.
void RangeAuthority::sendAwaitedHeartbeats()
{
    std::optional<wire::RangeLeaderHeartbeat> heartbeat;
    for (auto& [id, member] : m_members) {
        if (!member.awaitsHeartbeat) {
            continue;
        }
        if (!heartbeat) {
            heartbeat = makeHeartbeat(busyServers());
        }
        sendHeartbeat(id, member, *heartbeat);
        sendTableUpdates(id);
    }
}

void RangeAuthority::sendHeartbeat(const std::string& to, Member& member, const wire::RangeLeaderHeartbeat& heartbeat)
{
    member.awaitsHeartbeat = false;
    wire::Envelope envelope;
    *envelope.mutable_range_leader_heartbeat() = heartbeat;
    addColdPermits(to, member, *envelope.mutable_range_leader_heartbeat());
    m_effects.emplace_back(SendRangePeerMessage {to, std::move(envelope)});
}

double RangeAuthority::warmUpRateOf(const std::string& service) const
{
    const auto rate = m_warmUpRates.find(service);
    return rate == m_warmUpRates.end() ? 0 : rate->second;
}

void RangeAuthority::updateColdServers()
{
    if (!m_coldLimits) {
        return;
    }
    m_coldServers.clear();
    for (const ListedServer& server : m_servers ? *m_servers : ServerList()) {
        const auto coldUntil = m_coldUntil.find(server.identity);
        const bool isListedCold = coldUntil != m_coldUntil.end() && m_now < coldUntil->second;
        if (warmUpRateOf(server.service) > 0 && (isListedCold || m_coldPermits.isDemanded(server.identity))) {
            m_coldServers.insert(server.identity);
        }
    }
    for (auto& [service, keyedService] : m_services) {
        if (keyedService.keeper) {
            keyedService.keeper->setColdServers(m_coldServers, warmUpRateOf(service));
        }
    }
}

/// Divides the rates of the cold servers anew and publishes the permits of this instance.
void RangeAuthority::allocateColdPermits()
{
    if (!m_coldLimits) {
        return;
    }
    const std::string self = coldHolder(m_self.instance, m_self.incarnation);
    m_coldPermits.onDemands(self, std::exchange(m_unreportedColdDemands, {}));
    std::map<ServerIdentity, double> rates;
    for (const ListedServer& server : m_servers ? *m_servers : ServerList()) {
        if (const double rate = warmUpRateOf(server.service); rate > 0) {
            rates[server.identity] = rate;
        }
    }
    m_coldPermits.allocate(rates, m_now);
    updateColdServers();
    ColdPermits own = mayIssueColdPermits() ? m_coldPermits.take(self, m_now) : ColdPermits();
    m_effects.emplace_back(PublishColdPermits {std::move(own), m_now + coldPermitTime});
}

/// The bound holds while two leaders issue permits, so the present one waits while two earlier ones may do so.
bool RangeAuthority::mayIssueColdPermits() const
{
    return m_leadership.mayGrant(m_now) && m_unconfirmedLeaders.size() <= 1;
}

/// A permit expires by the clock of its receiver, a fixed time after it sent the report that is answered, so that
/// neither the delay of messages nor a difference of clocks matters. The answer is an entry without a server.
void RangeAuthority::addColdPermits(const std::string& to, const Member& member, wire::RangeLeaderHeartbeat& heartbeat)
{
    if (!m_coldLimits || member.coldReportSentAtMs == 0 || !mayIssueColdPermits()) {
        return;
    }
    const ColdPermits permits = m_coldPermits.take(coldHolder(to, member.incarnation), m_now);
    if (permits.empty()) {
        return;
    }
    wire::ColdServerRate& report = *heartbeat.add_cold_permits();
    report.set_born_at(member.coldReportSentAtMs);
    report.set_requests(member.coldReportTag);
    for (const ColdPermit& permit : permits) {
        wire::ColdServerRate& rate = *heartbeat.add_cold_permits();
        rate.set_server(permit.server.id);
        rate.set_born_at(permit.server.startedAtUnixMs);
        rate.set_requests(permit.requests);
    }
}

void RangeAuthority::receiveColdPermits(const wire::RangeLeaderHeartbeat& message)
{
    if (!m_coldLimits) {
        return;
    }
    MonotonicTime validUntil;
    ColdPermits permits;
    for (const wire::ColdServerRate& rate : message.cold_permits()) {
        if (!rate.server().empty()) {
            permits.push_back({{rate.server(), rate.born_at()}, rate.requests()});
            continue;
        }
        const MonotonicTime sentAt {Milliseconds(std::min(rate.born_at(), maxClockMs))};
        if (rate.requests() == coldReportTag(m_self.incarnation) && sentAt <= m_now) {
            validUntil = sentAt + coldPermitTime;
        }
    }
    m_effects.emplace_back(PublishColdPermits {std::move(permits), validUntil});
}

void RangeAuthority::receiveColdDemands(const wire::InstanceReport& message, const std::string& sender, Member& member)
{
    ColdDemands demands;
    for (const wire::ColdServerRate& rate : message.cold_demands()) {
        if (rate.server().empty()) {
            member.coldReportSentAtMs = rate.born_at();
            member.coldReportTag = rate.requests();
        } else {
            demands[{rate.server(), rate.born_at()}] = std::min(rate.requests(), maxColdDemand);
        }
    }
    m_coldPermits.onDemands(coldHolder(sender, member.incarnation), demands);
}

wire::RangeLeaderHeartbeat RangeAuthority::makeHeartbeat(const ServerLoads& busy) const
{
    wire::RangeLeaderHeartbeat heartbeat;
    heartbeat.set_term(m_term);
    heartbeat.set_sent_at_ms(
        static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch()).count()));
    heartbeat.set_address(m_self.address);
    heartbeat.set_instances(m_instanceCount);
    heartbeat.set_leaving(m_stopping);
    heartbeat.set_successor(chooseSuccessor());
    heartbeat.set_store_era(m_era);
    if (const std::optional<FeedSummary> summary = m_feedSelector.summarize(m_now)) {
        heartbeat.set_feed_age_ms(static_cast<std::uint32_t>(summary->age.count()));
        for (const auto& [feed, revision] : summary->revisions) {
            wire::FeedState& state = *heartbeat.add_feeds();
            state.set_feed(feed);
            state.set_revision(revision.revision);
            state.set_era(revision.era);
        }
    }
    for (const auto& [server, n] : busy) {
        heartbeat.add_busy_servers(server);
        heartbeat.add_busy_in_flight(n);
    }
    return heartbeat;
}

/// Servers with at least half of their slots in use. The load of other servers causes no delay and is not sent.
ServerLoads RangeAuthority::busyServers() const
{
    std::map<std::string, std::uint32_t> total = m_ownInFlight;
    for (const auto& [id, member] : m_members) {
        for (const auto& [server, n] : member.inFlight) {
            total[server] += n;
        }
    }
    ServerLoads busy;
    for (const ListedServer& server : m_servers ? *m_servers : ServerList()) {
        const auto it = total.find(server.identity.id);
        if (it != total.end() && it->second * 2 >= server.slots) {
            busy[serverIdHash(it->first)] += it->second;
        }
    }
    return busy;
}

/// The instance to hand the leadership over to; empty: this instance stays leader.
std::string RangeAuthority::chooseSuccessor() const
{
    const auto fittest = fittestMember();
    if (fittest == m_members.end()) {
        return {};
    }
    // A leader without the store does not learn of leaving servers and cannot move ranges. The successor of one that
    // was superseded finds the leader of the later term in the store.
    const bool mustStop = m_stopping || m_superseded || m_now - m_leadership.verifiedAt() > storeLossTimeout;
    const double ownFitness = m_leadershipTimes.fitness;
    const bool isMuchLessFit
        = fittest->second.fitness > ownFitness && fittest->second.fitness >= ownFitness * handoverFitnessRatio;
    // No voluntary handover while earlier leaders may still be granting: it would add one more to that list.
    const bool mayHandOver
        = m_unconfirmedLeaders.empty() && m_now - m_leadership.tookOverAt() >= voluntaryHandoverDelay;
    return mustStop || (isMuchLessFit && mayHandOver) ? fittest->first : std::string();
}

std::map<std::string, RangeAuthority::Member>::const_iterator RangeAuthority::fittestMember() const
{
    const auto rank = [this](const Member& member) {
        return std::tuple(m_now - member.lastReportAt <= freshReportAge, member.fitness, member.lastReportAt);
    };
    auto best = m_members.end();
    for (auto it = m_members.begin(); it != m_members.end(); ++it) {
        const bool eligible = !it->second.leaving && it->second.storeReachable;
        if (eligible && (best == m_members.end() || rank(it->second) > rank(best->second))) {
            best = it;
        }
    }
    return best;
}

/// Removes members whose reports timed out and publishes the number of instances, including this one.
void RangeAuthority::updateMembers()
{
    const std::size_t erased = std::erase_if(m_members, [this](const auto& entry) {
        const bool timedOut = m_now - entry.second.lastReportAt > memberTimeout;
        if (timedOut) {
            m_tableSender.forget(entry.first);
            m_coldPermits.removeInstance(coldHolder(entry.first, entry.second.incarnation));
        }
        return timedOut;
    });
    if (erased > 0) {
        connectPeers();
    }
    auto n = static_cast<std::uint32_t>(m_members.size() + 1);
    if (m_now - m_leadership.tookOverAt() < memberTimeout) {
        n = std::max(n, m_instanceCount); // Some instances may not have reported to the new leader yet.
    }
    const bool isCountKnown = m_now - m_leadership.tookOverAt() >= memberTimeout || m_instanceCount > 1;
    if (isCountKnown && n != m_instanceCount) {
        m_instanceCount = n;
        m_effects.emplace_back(PublishInstanceCount {n});
    }
}

void RangeAuthority::sendReport()
{
    const std::optional<LeaderRecord>& leader = m_leadership.leader();
    if (!leader || leader->instance == m_self.instance) {
        return;
    }
    m_nextReportAt = m_now + reportInterval;
    wire::Envelope envelope;
    wire::InstanceReport& report = *envelope.mutable_instance_report();
    report.set_address(m_self.address);
    report.set_leaving(m_stopping);
    report.set_known_term(leader->term);
    report.set_store_reachable(m_storeReachable);
    report.set_store_era(m_era);
    report.set_fitness(static_cast<float>(m_leadershipTimes.fitness));
    report.set_missed_changes(std::exchange(m_tableBaseMissing, false));
    for (const auto& [service, table] : m_knownTables) {
        wire::RangeTableVersion& version = *report.add_tables();
        version.set_service(service);
        version.set_term(table->term);
        version.set_version(table->version);
    }
    for (const auto& [id, n] : m_ownInFlight) {
        m_unreportedSpeeds.try_emplace(id, ObservedSpeed {id, 0, 1, 0}).first->second.inFlight = n;
    }
    for (const auto& [id, speed] : std::exchange(m_unreportedSpeeds, {})) {
        wire::ServerSpeed& reported = *report.add_speeds();
        reported.set_id(id);
        reported.set_answers(speed.answers);
        reported.set_slowness(static_cast<float>(speed.slowness));
        reported.set_in_flight(speed.inFlight);
    }
    if (m_coldLimits) {
        wire::ColdServerRate& sent = *report.add_cold_demands();
        sent.set_born_at(
            static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch()).count()));
        sent.set_requests(coldReportTag(m_self.incarnation));
    }
    for (const auto& [server, requests] : std::exchange(m_unreportedColdDemands, {})) {
        wire::ColdServerRate& demand = *report.add_cold_demands();
        demand.set_server(server.id);
        demand.set_born_at(server.startedAtUnixMs);
        demand.set_requests(requests);
    }
    for (const ServerIdentity& server : m_ownLeavingServers) {
        wire::ServerReference& reported = *report.add_leaving_servers();
        reported.set_id(server.id);
        reported.set_born_at(server.startedAtUnixMs);
    }
    for (const auto& [service, counts] : std::exchange(m_unreportedCounts, {})) {
        wire::KeyCounts& load = *report.add_loads();
        load.set_service(service);
        std::size_t n = 0;
        for (const auto& [key, count] : counts) {
            if (++n > maxReportedKeys) {
                break;
            }
            load.add_keys(key);
            load.add_counts(count);
        }
    }
    m_effects.emplace_back(SendRangePeerMessage {leader->instance, std::move(envelope)});
}

void RangeAuthority::addReportedLoads(const wire::InstanceReport& report)
{
    for (const wire::ServerSpeed& speed : report.speeds()) {
        if (speed.answers() > 0 && std::isfinite(speed.slowness())) {
            addSpeed({speed.id(), speed.answers(), speed.slowness(), speed.in_flight()});
        }
    }
    for (const wire::KeyCounts& load : report.loads()) {
        const auto keyedService = m_services.find(load.service());
        if (keyedService == m_services.end() || !keyedService->second.adopted) {
            continue;
        }
        for (int i = 0; i < load.keys_size() && i < load.counts_size(); ++i) {
            if (load.keys(i) <= maxKey) {
                keyedService->second.keeper->addLoad(static_cast<std::uint16_t>(load.keys(i)), load.counts(i));
            }
        }
    }
}

void RangeAuthority::connectPeers()
{
    std::vector<RangePeer> peers;
    if (m_term != 0) {
        for (const auto& [id, member] : m_members) {
            peers.push_back({id, member.address});
        }
    } else if (m_leadership.leader() && m_leadership.leader()->instance != m_self.instance) {
        peers.push_back({m_leadership.leader()->instance, m_leadership.leader()->address});
    }
    m_outdatedLeaders.addTo(peers);
    if (peers != m_peers) {
        m_peers = peers;
        m_effects.emplace_back(ConnectRangePeers {std::move(peers)});
    }
}

void RangeAuthority::sendTableUpdates(const std::string& to)
{
    for (wire::RangeTableView& tableUpdate : m_tableSender.takeUpdates(to, m_now)) {
        wire::Envelope envelope;
        *envelope.mutable_range_table_view() = std::move(tableUpdate);
        m_effects.emplace_back(SendRangePeerMessage {to, std::move(envelope)});
    }
}

} // namespace jasminespread
