#include "ranges/range_authority.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr Milliseconds heartbeatInterval = 300ms;
constexpr Milliseconds reportInterval = 300ms;
constexpr Milliseconds stepInterval = 50ms;
/// A member that did not report for this long is not counted, and gets no messages.
constexpr Milliseconds memberSilence = 3000ms;
constexpr Milliseconds recordReadInterval = 200ms;
/// Ticks arrive every 50 ms; a longer gap means that the process or its machine did not run.
constexpr Milliseconds longestGap = 700ms;
/// A leader reads its record every second; after this long without an answer another instance is to lead.
constexpr Milliseconds storeLossPatience = 2200ms;
/// A leader hands over to an instance that is this many times as fit, once it has led long enough for the others to
/// report to it.
constexpr double muchFitter = 2;
constexpr Milliseconds fitnessPatience = 1000ms;
/// Reports older than two of their intervals do not count while there are newer ones.
constexpr Milliseconds freshReport = 2 * reportInterval;
/// A larger change, as of a whole configuration, is fetched by each instance: the store's link is faster than the
/// leader's.
constexpr std::size_t highestPassedOnBytes = 4096;
/// Keys of one report; the ones beyond it are left out of the load.
constexpr std::size_t highestReportedKeys = 2048;

} // namespace

RangeAuthority::RangeAuthority(
    LeaderRecord self, RangeTimes rangeTimes, LeadershipTimes leadershipTimes, std::uint64_t seed)
    : m_self(std::move(self))
    , m_rangeTimes(rangeTimes)
    , m_leadershipTimes(leadershipTimes)
    , m_leadership(leadershipTimes, m_self, seed)
{
}

RangeEffects RangeAuthority::reduce(TimedRangeEvent event)
{
    const bool paused = m_now != MonotonicTime() && event.now - m_now > longestGap;
    m_now = event.now;
    if (paused) {
        m_leadership.awake(m_now);
    }
    std::visit([this](auto& alternative) { handle(std::move(alternative)); }, event.event);
    return std::exchange(m_effects, {});
}

std::uint64_t RangeAuthority::term() const noexcept { return m_leadership.leader() ? m_leadership.leader()->term : 0; }

bool RangeAuthority::knowsRanges(const std::vector<std::string>& services) const
{
    return std::all_of(
        services.begin(), services.end(), [this](const std::string& service) { return m_tables.contains(service); });
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
    followLeadership();
    if (m_term != 0) {
        // Without a word from them earlier leaders have stopped once their extension is over.
        if (!m_unconfirmed.empty() && m_now >= m_leadership.tookOverAt() + m_leadershipTimes.extension) {
            m_unconfirmed.clear();
            confirmEarlier();
        }
        if (m_now >= m_nextStepAt) {
            stepKeepers();
        }
        if (m_now >= m_nextHeartbeatAt) {
            sendHeartbeats();
        }
    } else if (m_now >= m_nextReportAt) {
        sendReport();
    }
    followFeeds();
}

void RangeAuthority::followFeeds()
{
    const FeedSource source = m_view.source(m_term != 0 && !m_members.empty(), m_now);
    if (source != m_feedSource) {
        m_feedSource = source;
        m_effects.emplace_back(FollowFeeds {source});
    }
    for (std::string& feed : m_view.feedsBehind(m_now)) {
        m_effects.emplace_back(FetchFeed {std::move(feed)});
    }
}

void RangeAuthority::handle(RangeServersListed&& event)
{
    m_servers = std::move(event.servers);
    for (auto& [service, kept] : m_kept) {
        kept.keeper->setServers(m_servers);
    }
    if (m_term != 0) {
        stepKeepers(); // A server that leaves gets no new work after a short time.
    }
}

void RangeAuthority::handle(RangeServicesConfigured&& event)
{
    m_configured = true;
    m_keyedServices.clear();
    for (const auto& [name, service] : event.configuration->services) {
        if (service.keyed) {
            m_keyedServices.insert(name);
        }
    }
}

void RangeAuthority::handle(RecordRead&& event)
{
    if (event.name == leaderRecordName) {
        m_leadership.onRead(event);
        return followLeadership();
    }
    for (auto& [service, kept] : m_kept) {
        if (rangesRecordName(service) != event.name) {
            continue;
        }
        kept.reading = false;
        kept.nextReadAt = m_now + recordReadInterval;
        if (kept.adopted) {
            readBack(kept, event.result);
        } else {
            adopt(service, kept, event.result);
        }
        return stepKept(service, kept);
    }
}

/// A write of the ranges had no certain outcome.
void RangeAuthority::readBack(Kept& kept, const StoreReadResult& result)
{
    switch (kept.keeper->readBack(result)) {
    case RangeKeeper::Found::Own:
        return;
    case RangeKeeper::Found::Earlier:
        kept = Kept();
        return;
    case RangeKeeper::Found::Later:
        m_leadership.verifyNow(m_now);
        return;
    }
}

/// Begins to keep the ranges of a service as they are recorded.
void RangeAuthority::adopt(const std::string& service, Kept& kept, const StoreReadResult& result)
{
    const bool found = result.status == StoreStatus::Ok;
    if (!found && result.status != StoreStatus::NotFound) {
        return;
    }
    std::optional<RangesRecord> record;
    if (found) {
        Result<RangesRecord> parsed = parseRangesRecord(result.object.value);
        if (!parsed) {
            log(LogEvent::RangeRecordUnreadable, "service=" + service + "; its keys have no owner until it is deleted");
            return;
        }
        if (parsed->term > m_term) {
            // Another instance leads already, and may have granted.
            m_leadership.verifyNow(m_now);
            return;
        }
        record = std::move(*parsed);
    }
    kept.keeper->adopt(record, found ? result.object.version : 0, earlierHoldEnd());
    kept.keeper->setServers(m_servers);
    kept.adopted = true;
}

void RangeAuthority::handle(RecordWritten&& event)
{
    if (event.name == leaderRecordName) {
        m_leadership.onWritten(event);
        return followLeadership();
    }
    for (auto& [service, kept] : m_kept) {
        if (kept.adopted && rangesRecordName(service) == event.name) {
            kept.keeper->written(event.result);
            if (event.result.status == StoreStatus::Conflict) {
                m_leadership.verifyNow(m_now);
            }
            return stepKeepers();
        }
    }
}

void RangeAuthority::handle(RangeCallEnded&& event)
{
    for (auto& [service, kept] : m_kept) {
        if (kept.adopted && kept.keeper->callEnded(event, m_now, m_leadership.mayGrant(m_now))) {
            if (event.result == GrantResult::Fenced) {
                log(LogEvent::GrantRefused, "service=" + service + " why=\"the server has seen a higher fence\"");
                m_leadership.verifyNow(m_now);
            }
            return shareTable(service, kept);
        }
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
    }
}

void RangeAuthority::handle(KeysCounted&& event)
{
    std::map<std::uint16_t, std::uint32_t>& counts = m_counts[event.service];
    for (const auto& [key, count] : event.counts) {
        counts[key] += count;
    }
}

void RangeAuthority::handle(SpeedsObserved&& event)
{
    m_inFlight.clear();
    for (const ObservedSpeed& speed : event.speeds) {
        if (speed.inFlight > 0) {
            m_inFlight[speed.server] = speed.inFlight;
        }
        if (speed.answers == 0) {
            continue;
        }
        if (m_term != 0) {
            addSpeed(speed);
            continue;
        }
        ObservedSpeed& sum = m_speeds.try_emplace(speed.server, ObservedSpeed {speed.server, 0, 0}).first->second;
        sum.slowness = (sum.slowness * sum.answers + speed.slowness * speed.answers) / (sum.answers + speed.answers);
        sum.answers += speed.answers;
    }
}

void RangeAuthority::addSpeed(const ObservedSpeed& speed)
{
    for (auto& [service, kept] : m_kept) {
        if (kept.keeper) {
            kept.keeper->addSpeed(speed);
        }
    }
}

void RangeAuthority::handle(StoreReached&& event) { m_reachesStore = event.reachable; }

void RangeAuthority::handle(FeedAnswered&& event)
{
    if (event.byStore) {
        m_view.answered(event.feed, event.revision, m_now - event.unread);
    } else {
        m_view.learned(event.feed, event.revision);
    }
}

void RangeAuthority::handle(FeedChanged&& event)
{
    if (m_term == 0) {
        return;
    }
    for (const auto& [id, member] : m_members) {
        wire::Envelope envelope;
        wire::FeedChange& change = *envelope.mutable_feed_change();
        change.set_feed(event.change.feed);
        change.set_base_revision(event.change.baseRevision);
        change.set_revision(event.change.revision);
        if (event.change.payload.size() <= highestPassedOnBytes) {
            change.set_payload(event.change.payload);
        }
        m_effects.emplace_back(SendRangePeer {id, std::move(envelope)});
    }
}

void RangeAuthority::handle(RangeStopRequested&&)
{
    m_stopping = true;
    m_leadership.retire();
    if (m_term != 0) {
        sendHeartbeats();
    } else {
        sendReport();
    }
}

void RangeAuthority::receive(const wire::RangeLeaderHeartbeat& message, const wire::InstanceReference& sender)
{
    m_leadership.onHeartbeat(message.term(), sender.id(), sender.incarnation(), message.address(), m_now);
    followLeadership();
    const bool current = m_term == 0 && m_leadership.leader() && m_leadership.leader()->term == message.term();
    if (!current) {
        return;
    }
    if (m_instances != message.instances() && message.instances() > 0) {
        m_instances = message.instances();
        m_effects.emplace_back(PublishInstances {m_instances});
    }
    if (message.feeds_size() > 0) {
        SharedFeeds shared;
        shared.age = Milliseconds(message.feed_age_ms());
        shared.term = message.term();
        shared.sentAt = MonotonicTime(Milliseconds(message.sent_at_ms()));
        for (const wire::FeedState& feed : message.feeds()) {
            shared.revisions[feed.feed()] = feed.revision();
        }
        m_view.heard(shared, m_now);
    }
    std::map<std::string, std::uint32_t> busy;
    for (const wire::ServerLoad& load : message.loads()) {
        busy[load.id()] = load.in_flight();
    }
    m_effects.emplace_back(PublishLoads {std::move(busy)});
    if (message.successor() == m_self.instance) {
        m_leadership.succeed(m_now);
    }
}

void RangeAuthority::receive(const wire::InstanceReport& message, const wire::InstanceReference& sender)
{
    Member& member = m_members[sender.id()];
    const bool isNew = member.address != message.address() || member.incarnation != sender.incarnation();
    member.incarnation = sender.incarnation();
    member.address = message.address();
    member.heardAt = m_now;
    member.leaving = message.leaving();
    member.reachesStore = message.store_reachable();
    member.fitness = message.fitness();
    member.inFlight.clear();
    for (const wire::ServerSpeed& speed : message.speeds()) {
        member.inFlight[speed.id()] = speed.in_flight();
    }
    m_sender.reported(sender.id(), message, isNew, m_now);
    // An earlier leader that knows of this term, as it says, or has started anew grants nothing any more.
    if (m_term != 0 && message.known_term() >= m_term && m_unconfirmed.erase(sender.id()) > 0) {
        confirmEarlier();
    }
    if (isNew) {
        connectPeers();
    }
    if (m_term != 0) {
        addLoads(message);
        sendTables(sender.id());
    }
}

void RangeAuthority::receive(const wire::RangeTableView& message)
{
    if (m_term != 0) {
        return;
    }
    const auto known = m_tables.find(message.service());
    ReceivedTable received = receiveTable(message, known == m_tables.end() ? nullptr : known->second.get());
    switch (received.arrival) {
    case TableArrival::Newer:
        m_tables[message.service()] = received.table;
        m_effects.emplace_back(PublishRanges {std::move(received.table)});
        return;
    case TableArrival::Older:
        return;
    case TableArrival::Missed:
        m_missedChanges = true;
        m_nextReportAt = m_now;
        return;
    case TableArrival::Unreadable:
        log(LogEvent::RangeRecordUnreadable, "service=" + message.service() + "; a message of the leader");
        return;
    }
}

void RangeAuthority::receive(const wire::FeedChange& message)
{
    if (message.payload().empty()) {
        m_effects.emplace_back(FetchFeed {message.feed()});
    } else {
        m_effects.emplace_back(
            ApplyFeedChange {{message.feed(), message.base_revision(), message.revision(), message.payload()}});
    }
}

void RangeAuthority::followLeadership()
{
    const bool leads = isLeader();
    if (leads && m_term != m_leadership.leader()->term) {
        beginTerm();
    } else if (!leads && m_term != 0) {
        endTerm();
    }
    connectPeers();
}

void RangeAuthority::beginTerm()
{
    m_term = m_leadership.leader()->term;
    m_numbers = RangeNumbers();
    m_numbers.term = m_term;
    m_kept.clear();
    m_sender = RangeTableSender();
    const std::vector<std::string>& unconfirmed = m_leadership.leader()->unconfirmed;
    m_unconfirmed = {unconfirmed.begin(), unconfirmed.end()};
    m_earlierStoppedAt = m_now;
    m_nextHeartbeatAt = m_now;
    log(LogEvent::GroupTakenOver,
        "term=" + std::to_string(m_term) + " unconfirmed=" + std::to_string(m_unconfirmed.size()));
}

/// One more earlier leader is known to have stopped.
void RangeAuthority::confirmEarlier()
{
    m_earlierStoppedAt = m_now;
    if (!m_unconfirmed.empty()) {
        return;
    }
    m_leadership.confirmEarlier();
    for (auto& [service, kept] : m_kept) {
        if (kept.adopted) {
            kept.keeper->limitEarlierHolds(earlierHoldEnd());
        }
    }
}

void RangeAuthority::endTerm()
{
    log(LogEvent::GroupLost,
        "term=" + std::to_string(m_term)
            + " leader=" + (m_leadership.leader() ? m_leadership.leader()->instance : std::string("unknown")));
    m_term = 0;
    m_kept.clear();
    m_nextReportAt = m_now;
}

/// Latest end of what an earlier leader may have granted.
MonotonicTime RangeAuthority::earlierHoldEnd() const
{
    const MonotonicTime stopped
        = m_unconfirmed.empty() ? m_earlierStoppedAt : m_leadership.tookOverAt() + m_leadershipTimes.extension;
    return m_rangeTimes.holdEnd(stopped);
}

void RangeAuthority::stepKeepers()
{
    m_nextStepAt = m_now + stepInterval;
    if (!m_configured || !m_servers) {
        return;
    }
    for (const std::string& service : m_keyedServices) {
        stepKept(service, m_kept[service]);
    }
}

void RangeAuthority::stepKept(const std::string& service, Kept& kept)
{
    if (!kept.keeper) {
        kept.keeper = std::make_unique<RangeKeeper>(service, m_rangeTimes, m_numbers, m_effects);
    }
    if (!kept.adopted) {
        if (!kept.reading && m_now >= kept.nextReadAt) {
            kept.reading = true;
            m_effects.emplace_back(ReadRecord {rangesRecordName(service)});
        }
        return;
    }
    kept.keeper->step(m_now, m_leadership.mayGrant(m_now), m_leadership.storeAnswers());
    shareTable(service, kept);
}

/// Tells the instances the newest table of a service, where they were not told yet.
void RangeAuthority::shareTable(const std::string& service, const Kept& kept)
{
    const std::shared_ptr<const RangeTable> table = kept.keeper->table();
    if (table && m_tables[service] != table) {
        m_sender.add(table);
        m_tables[service] = table;
        for (auto& [id, member] : m_members) {
            sendTables(id);
        }
    }
}

void RangeAuthority::sendHeartbeats()
{
    m_nextHeartbeatAt = m_now + heartbeatInterval;
    countMembers();
    const std::string next = successor();
    const std::map<std::string, std::uint32_t> busy = busyServers();
    m_effects.emplace_back(PublishLoads {busy});
    const std::optional<SharedFeeds> view = m_view.describe(m_now);
    for (const auto& [id, member] : m_members) {
        wire::Envelope envelope;
        wire::RangeLeaderHeartbeat& heartbeat = *envelope.mutable_range_leader_heartbeat();
        heartbeat.set_term(m_term);
        heartbeat.set_sent_at_ms(
            static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch()).count()));
        heartbeat.set_address(m_self.address);
        heartbeat.set_instances(m_instances);
        heartbeat.set_leaving(m_stopping);
        heartbeat.set_successor(next);
        if (view) {
            heartbeat.set_feed_age_ms(static_cast<std::uint32_t>(view->age.count()));
            for (const auto& [feed, revision] : view->revisions) {
                wire::FeedState& state = *heartbeat.add_feeds();
                state.set_feed(feed);
                state.set_revision(revision);
            }
        }
        for (const auto& [server, n] : busy) {
            wire::ServerLoad& load = *heartbeat.add_loads();
            load.set_id(server);
            load.set_in_flight(n);
        }
        m_effects.emplace_back(SendRangePeer {id, std::move(envelope)});
    }
    for (const auto& [service, counts] : std::exchange(m_counts, {})) {
        const auto kept = m_kept.find(service);
        if (kept == m_kept.end() || !kept->second.adopted) {
            continue;
        }
        for (const auto& [key, count] : counts) {
            kept->second.keeper->addLoad(key, count);
        }
    }
}

/// Servers with at least half of their slots in use. Others need no word: their load delays nobody.
std::map<std::string, std::uint32_t> RangeAuthority::busyServers() const
{
    std::map<std::string, std::uint32_t> total = m_inFlight;
    for (const auto& [id, member] : m_members) {
        for (const auto& [server, n] : member.inFlight) {
            total[server] += n;
        }
    }
    std::map<std::string, std::uint32_t> busy;
    for (const ListedServer& server : m_servers ? *m_servers : ServerList()) {
        const auto it = total.find(server.identity.id);
        if (it != total.end() && it->second * 2 >= server.slots) {
            busy.insert(*it);
        }
    }
    return busy;
}

/// The instance that is to lead from now on; empty: this one stays.
std::string RangeAuthority::successor() const
{
    const auto fittest = fittestMember();
    if (fittest == m_members.end()) {
        return {};
    }
    // A leader that has lost the store learns of no server that leaves, and can move no range.
    const bool mustStop = m_stopping || m_now - m_leadership.evidenceAt() > storeLossPatience;
    const double own = m_leadershipTimes.fitness;
    const bool isUnfit = fittest->second.fitness > own && fittest->second.fitness >= own * muchFitter;
    // The chain of leaders that may still grant is not made longer by choice.
    const bool mayChoose = m_unconfirmed.empty() && m_now - m_leadership.tookOverAt() >= fitnessPatience;
    return mustStop || (isUnfit && mayChoose) ? fittest->first : std::string();
}

std::map<std::string, RangeAuthority::Member>::const_iterator RangeAuthority::fittestMember() const
{
    const auto worth = [this](const Member& member) {
        return std::tuple(m_now - member.heardAt <= freshReport, member.fitness, member.heardAt);
    };
    auto best = m_members.end();
    for (auto it = m_members.begin(); it != m_members.end(); ++it) {
        const bool eligible = !it->second.leaving && it->second.reachesStore;
        if (eligible && (best == m_members.end() || worth(it->second) > worth(best->second))) {
            best = it;
        }
    }
    return best;
}

/// Drops members that are silent, and counts the others and this instance.
void RangeAuthority::countMembers()
{
    const std::size_t erased = std::erase_if(m_members, [this](const auto& entry) {
        const bool silent = m_now - entry.second.heardAt > memberSilence;
        if (silent) {
            m_sender.forget(entry.first);
        }
        return silent;
    });
    if (erased > 0) {
        connectPeers();
    }
    auto n = static_cast<std::uint32_t>(m_members.size() + 1);
    if (m_now - m_leadership.tookOverAt() < memberSilence) {
        n = std::max(n, m_instances); // Not every instance has reported to the new leader yet.
    }
    const bool known = m_now - m_leadership.tookOverAt() >= memberSilence || m_instances > 1;
    if (known && n != m_instances) {
        m_instances = n;
        m_effects.emplace_back(PublishInstances {n});
    }
}

void RangeAuthority::sendReport()
{
    m_nextReportAt = m_now + reportInterval;
    const std::optional<LeaderRecord>& leader = m_leadership.leader();
    if (!leader || leader->instance == m_self.instance) {
        return;
    }
    wire::Envelope envelope;
    wire::InstanceReport& report = *envelope.mutable_instance_report();
    report.set_address(m_self.address);
    report.set_leaving(m_stopping);
    report.set_known_term(leader->term);
    report.set_store_reachable(m_reachesStore);
    report.set_fitness(static_cast<float>(m_leadershipTimes.fitness));
    report.set_missed_changes(std::exchange(m_missedChanges, false));
    for (const auto& [service, table] : m_tables) {
        wire::RangeTableVersion& version = *report.add_tables();
        version.set_service(service);
        version.set_term(table->term);
        version.set_version(table->version);
    }
    for (const auto& [id, n] : m_inFlight) {
        m_speeds.try_emplace(id, ObservedSpeed {id, 0, 1, 0}).first->second.inFlight = n;
    }
    for (const auto& [id, speed] : std::exchange(m_speeds, {})) {
        wire::ServerSpeed& sent = *report.add_speeds();
        sent.set_id(id);
        sent.set_answers(speed.answers);
        sent.set_slowness(static_cast<float>(speed.slowness));
        sent.set_in_flight(speed.inFlight);
    }
    for (const auto& [service, counts] : std::exchange(m_counts, {})) {
        wire::KeyCounts& load = *report.add_loads();
        load.set_service(service);
        std::size_t n = 0;
        for (const auto& [key, count] : counts) {
            if (++n > highestReportedKeys) {
                break;
            }
            load.add_keys(key);
            load.add_counts(count);
        }
    }
    m_effects.emplace_back(SendRangePeer {leader->instance, std::move(envelope)});
}

void RangeAuthority::addLoads(const wire::InstanceReport& report)
{
    for (const wire::ServerSpeed& speed : report.speeds()) {
        if (speed.answers() > 0) {
            addSpeed({speed.id(), speed.answers(), speed.slowness(), speed.in_flight()});
        }
    }
    for (const wire::KeyCounts& load : report.loads()) {
        const auto kept = m_kept.find(load.service());
        if (kept == m_kept.end() || !kept->second.adopted) {
            continue;
        }
        for (int i = 0; i < load.keys_size() && i < load.counts_size(); ++i) {
            if (load.keys(i) <= highestKey) {
                kept->second.keeper->addLoad(static_cast<std::uint16_t>(load.keys(i)), load.counts(i));
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
    if (peers != m_peers) {
        m_peers = peers;
        m_effects.emplace_back(ConnectRangePeers {std::move(peers)});
    }
}

void RangeAuthority::sendTables(const std::string& to)
{
    for (wire::RangeTableView& view : m_sender.due(to, m_now)) {
        wire::Envelope envelope;
        *envelope.mutable_range_table_view() = std::move(view);
        m_effects.emplace_back(SendRangePeer {to, std::move(envelope)});
    }
}

} // namespace jasminespread
