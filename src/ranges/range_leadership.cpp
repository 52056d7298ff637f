#include "ranges/range_leadership.h"

#include <algorithm>

namespace jasminespread {
namespace {

/// An instance doubles its takeover timeout each time it loses the leadership, up to this many times: two instances
/// that cannot reach each other must not take it from each other in turn.
constexpr unsigned maxBackoffShift = 4;
/// Fraction of the jitter that depends on fitness; the rest is random.
constexpr double fitnessShare = 0.6;
/// The first leader is elected long before traffic starts, so instances wait longer for fitter ones: a multiple of the
/// jitter.
constexpr double firstElectionFactor = 2;
/// A write that was based on a version of an earlier era may have replaced a record of the new era, whose version is
/// equal by chance. Its term is not known; it is above the era's first one by less than this.
constexpr std::uint64_t skippedTerms = 1024;

} // namespace

RangeLeadership::RangeLeadership(LeadershipTimes times, LeaderRecord self, std::uint64_t seed)
    : m_times(times)
    , m_self(std::move(self))
    , m_random(seed)
{
    chooseTakeoverTimeout();
}

void RangeLeadership::chooseTakeoverTimeout()
{
    const double chance = std::uniform_real_distribution<double>(0, 1)(m_random);
    m_jitterShare = fitnessShare * (1 - m_times.fitness) + (1 - fitnessShare) * chance;
    const auto extra = std::chrono::duration_cast<Milliseconds>(m_times.takeoverJitter * m_jitterShare);
    m_takeoverTimeout = m_times.heartbeatTimeout * (1U << std::min(m_lostTerms, maxBackoffShift)) + extra;
}

RangeLeadership::Step RangeLeadership::step(MonotonicTime now)
{
    Step due;
    if (m_startedAt == MonotonicTime()) {
        m_startedAt = now;
    }
    if (m_callInFlight || now < m_nextCallAt) {
        return due;
    }
    if (m_role == Role::Leader) {
        m_callInFlight = true;
        if (needsNewTerm()) {
            due.write = takeoverWrite();
            return due;
        }
        if (m_versionIsCurrent && m_earlierLeadersStopped && !m_leader->unconfirmedLeaders.empty()) {
            m_writingRecord = *m_leader;
            m_writingRecord.unconfirmedLeaders.clear();
            due.write = WriteRecord {std::string(leaderRecordName), m_version, encodeLeaderRecord(m_writingRecord)};
            return due;
        }
        // The stored record names a later leader, if there is one.
        due.read = ReadRecord {std::string(leaderRecordName)};
        return due;
    }
    if (m_role == Role::Unknown) {
        m_callInFlight = true;
        due.read = ReadRecord {std::string(leaderRecordName)};
        return due;
    }
    if (m_takeoverDisabled) {
        return due;
    }
    const bool ledBeforeRestart
        = m_leader && m_leader->instance == m_self.instance && m_leader->incarnation != m_self.incarnation;
    const MonotonicTime firstElectionAt = m_startedAt
        + std::chrono::duration_cast<Milliseconds>(m_times.takeoverJitter * m_jitterShare * firstElectionFactor);
    const bool mayTakeOver
        = m_leader ? ledBeforeRestart || now - m_lastHeartbeatAt >= m_takeoverTimeout : now >= firstElectionAt;
    if (!mayTakeOver) {
        return due;
    }
    m_callInFlight = true;
    // Of many instances that start together, most find another one's record instead of trying to write their own.
    const bool mayHaveBeenElected = !m_leader && m_absentAt < firstElectionAt;
    if (!m_versionIsCurrent || mayHaveBeenElected) {
        due.read = ReadRecord {std::string(leaderRecordName)};
        return due;
    }
    due.write = takeoverWrite();
    return due;
}

/// Whether this instance leads and the stored record is older than its term, which a restore of the store causes.
bool RangeLeadership::needsNewTerm() const noexcept
{
    return m_role == Role::Leader && m_versionIsCurrent && m_era > 0
        && (eraOfTerm(m_leader->term) < m_era || m_storedTerm < m_leader->term);
}

WriteRecord RangeLeadership::takeoverWrite()
{
    m_writingRecord = m_self;
    const std::uint64_t known = m_leader ? m_leader->term : 0;
    m_writingRecord.term = std::max(std::max(known, m_storedTerm) + 1, firstTermOf(m_era) + m_skippedTerms);
    const bool isFirstRecord = m_times.isFirstStart && known == 0 && m_storedTerm == 0;
    if (m_era > 0 && !isFirstRecord && (eraOfTerm(m_storedTerm) < m_era || m_storedTerm < known)) {
        m_writingRecord.unconfirmedLeaders = {std::string(unknownLeaders)};
    } else if (m_leader) {
        m_writingRecord.unconfirmedLeaders = m_leader->unconfirmedLeaders;
        m_writingRecord.unconfirmedLeaders.push_back(m_leader->instance);
        // The previous process of this instance has ended.
        std::erase(m_writingRecord.unconfirmedLeaders, m_self.instance);
    }
    return {std::string(leaderRecordName), m_version, encodeLeaderRecord(m_writingRecord)};
}

void RangeLeadership::onNewEra(std::uint64_t era, MonotonicTime now)
{
    m_era = std::min(era, maxStoreEra);
    m_skippedTerms = 0;
    m_versionIsCurrent = false;
    verifyNow(now);
}

void RangeLeadership::onRead(const RecordRead& event)
{
    m_callInFlight = false;
    const StoreStatus status = event.result.status;
    m_storeAvailable = status == StoreStatus::Ok || status == StoreStatus::NotFound;
    if (!m_storeAvailable) {
        m_nextCallAt = event.startedAt + m_times.callRetryInterval;
        return;
    }
    if (status == StoreStatus::NotFound) {
        m_versionIsCurrent = true;
        m_version = 0;
        m_storedTerm = 0;
        m_absentAt = event.startedAt;
        if (m_role != Role::Leader) {
            m_role = Role::Follower;
        }
        return;
    }
    const Result<LeaderRecord> record = parseLeaderRecord(event.result.object.value);
    if (!record) {
        // Without the record the term is unknown, so no instance can know which leases are still valid.
        m_nextCallAt = event.startedAt + m_times.callRetryInterval;
        return;
    }
    applyRecord(*record, event.result.object.version, event.startedAt);
    m_nextCallAt
        = event.startedAt + (m_role == Role::Leader && !needsNewTerm() ? m_times.verifyInterval : Milliseconds(0));
}

void RangeLeadership::applyRecord(const LeaderRecord& record, std::uint64_t version, MonotonicTime now)
{
    m_version = version;
    m_versionIsCurrent = true;
    m_storedTerm = record.term;
    const bool mayBeLost = m_era > 0 && (eraOfTerm(record.term) < m_era || (m_leader && record.term < m_leader->term));
    if (mayBeLost && m_role == Role::Leader && record.term <= m_leader->term) {
        return; // It confirms nothing; this instance writes a record of a new term.
    }
    const bool isSelf = !mayBeLost && record.instance == m_self.instance && record.incarnation == m_self.incarnation;
    if (isSelf && (m_role == Role::Leader || !m_leader || record.term >= m_leader->term)) {
        if (m_role != Role::Leader) {
            // An earlier write took effect although its answer was lost.
            m_tookOverAt = now;
            m_earlierLeadersStopped = false;
        }
        m_role = Role::Leader;
        m_leader = record;
        m_verifiedAt = std::max(m_verifiedAt, now);
        m_mustVerify = m_mustVerify && now < m_suspendedAt; // A call that started earlier confirms nothing.
        return;
    }
    if (m_role == Role::Leader) {
        ++m_lostTerms;
        chooseTakeoverTimeout();
    }
    m_role = Role::Follower;
    if (!m_leader || record.term > m_leader->term) {
        m_lastHeartbeatAt = now; // The new leader gets the full timeout for its first heartbeat.
    }
    if (!m_leader || record.term >= m_leader->term) {
        m_leader = record; // Unlike a heartbeat, the record lists the earlier leaders that may still grant.
    }
}

void RangeLeadership::onWritten(const RecordWritten& event)
{
    m_callInFlight = false;
    const StoreStatus status = event.result.status;
    m_storeAvailable = status == StoreStatus::Ok || status == StoreStatus::Conflict;
    if (event.baseEra < m_era || (m_storeAvailable && event.result.era != event.baseEra)) {
        // The record that the write was based on is lost, so its outcome says nothing about the present one.
        m_versionIsCurrent = false;
        if (status == StoreStatus::Ok || status == StoreStatus::Unknown) {
            m_skippedTerms = skippedTerms;
        }
        m_nextCallAt = event.startedAt + (m_storeAvailable ? Milliseconds(0) : m_times.callRetryInterval);
        return;
    }
    if (status == StoreStatus::Ok) {
        if (m_role != Role::Leader || m_leader->term != m_writingRecord.term) {
            m_tookOverAt = event.startedAt;
            m_earlierLeadersStopped = false;
        }
        m_mustVerify = m_mustVerify && event.startedAt < m_suspendedAt;
        m_leader = m_writingRecord;
        m_storedTerm = m_writingRecord.term;
        m_role = Role::Leader;
        m_version = event.result.version;
        m_verifiedAt = event.startedAt;
        m_nextCallAt = event.startedAt + m_times.verifyInterval;
        return;
    }
    // Another instance may have written, or this write may have taken effect or may do so later: read the record.
    m_versionIsCurrent = status == StoreStatus::Unavailable && m_versionIsCurrent;
    m_nextCallAt = event.startedAt + (status == StoreStatus::Conflict ? Milliseconds(0) : m_times.callRetryInterval);
}

void RangeLeadership::onHeartbeat(std::uint64_t term, const std::string& instance, std::uint64_t incarnation,
    const std::string& address, MonotonicTime now)
{
    const bool newer = !m_leader || term > m_leader->term;
    if (!newer && (term < m_leader->term || m_role == Role::Leader)) {
        return;
    }
    if (newer) {
        if (m_role == Role::Leader) {
            ++m_lostTerms;
            chooseTakeoverTimeout();
        }
        m_leader = LeaderRecord {term, instance, incarnation, address, {}};
        m_versionIsCurrent = false;
        m_role = Role::Follower;
    }
    m_lastHeartbeatAt = now;
}

void RangeLeadership::onNamedSuccessor(MonotonicTime now)
{
    m_lastHeartbeatAt = now - m_takeoverTimeout;
    m_nextCallAt = now;
}

void RangeLeadership::verifyNow(MonotonicTime now) { m_nextCallAt = std::min(m_nextCallAt, now); }

void RangeLeadership::suspendGrants(MonotonicTime now) noexcept
{
    m_mustVerify = true;
    m_suspendedAt = now;
    verifyNow(now);
}

/// A leader whose record was lost may grant for the rest of the leader lease that it had before.
bool RangeLeadership::mayGrant(MonotonicTime now) const noexcept
{
    return m_role == Role::Leader && !m_mustVerify && now < m_verifiedAt + m_times.leaderLease;
}

} // namespace jasminespread
