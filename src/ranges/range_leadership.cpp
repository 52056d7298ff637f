#include "ranges/range_leadership.h"

#include <algorithm>

namespace jasminespread {
namespace {

/// An instance that lost the lead waits longer before it takes it again: two instances that do not hear each other
/// must not take it from one another in turn.
constexpr unsigned highestDeposedShift = 4;
/// Part of the spread that fitness decides; chance decides the rest.
constexpr double fitnessPart = 0.6;
/// The first leader is chosen long before traffic: instances wait for fitter ones, in multiples of the spread.
constexpr double firstWait = 2;

} // namespace

RangeLeadership::RangeLeadership(LeadershipTimes times, LeaderRecord self, std::uint64_t seed)
    : m_times(times)
    , m_self(std::move(self))
    , m_random(seed)
{
    choosePatience();
}

void RangeLeadership::choosePatience()
{
    const double chance = std::uniform_real_distribution<double>(0, 1)(m_random);
    m_handicap = fitnessPart * (1 - m_times.fitness) + (1 - fitnessPart) * chance;
    const auto extra = std::chrono::duration_cast<Milliseconds>(m_times.spread * m_handicap);
    m_patience = m_times.silence * (1U << std::min(m_deposed, highestDeposedShift)) + extra;
}

RangeLeadership::Step RangeLeadership::step(MonotonicTime now)
{
    Step due;
    if (m_startedAt == MonotonicTime()) {
        m_startedAt = now;
    }
    if (m_calling || now < m_nextCallAt) {
        return due;
    }
    if (m_role == Role::Leader) {
        m_calling = true;
        if (m_confirmed && !m_leader->unconfirmed.empty()) {
            m_written = *m_leader;
            m_written.unconfirmed.clear();
            due.write = WriteRecord {std::string(leaderRecordName), m_version, encodeLeaderRecord(m_written)};
            return due;
        }
        // Reading the own record shows a later leader.
        due.read = ReadRecord {std::string(leaderRecordName)};
        return due;
    }
    if (m_role == Role::Unknown) {
        m_calling = true;
        due.read = ReadRecord {std::string(leaderRecordName)};
        return due;
    }
    if (m_retired) {
        return due;
    }
    const bool ownPredecessor
        = m_leader && m_leader->instance == m_self.instance && m_leader->incarnation != m_self.incarnation;
    const bool silent = m_leader ? ownPredecessor || now - m_heardAt >= m_patience
                                 : now >= m_startedAt + m_times.spread * m_handicap * firstWait;
    if (!silent) {
        return due;
    }
    m_calling = true;
    if (!m_recordKnown) {
        due.read = ReadRecord {std::string(leaderRecordName)};
        return due;
    }
    m_written = m_self;
    m_written.term = m_leader ? m_leader->term + 1 : 1;
    if (m_leader) {
        m_written.unconfirmed = m_leader->unconfirmed;
        m_written.unconfirmed.push_back(m_leader->instance);
        // The earlier process of this instance has ended.
        std::erase(m_written.unconfirmed, m_self.instance);
    }
    due.write = WriteRecord {std::string(leaderRecordName), m_version, encodeLeaderRecord(m_written)};
    return due;
}

void RangeLeadership::onRead(const RecordRead& event)
{
    m_calling = false;
    const StoreStatus status = event.result.status;
    m_storeAnswers = status == StoreStatus::Ok || status == StoreStatus::NotFound;
    if (!m_storeAnswers) {
        m_nextCallAt = event.startedAt + m_times.callPause;
        return;
    }
    if (status == StoreStatus::NotFound) {
        m_recordKnown = true;
        m_version = 0;
        if (m_role != Role::Leader) {
            m_role = Role::Follower;
        }
        return;
    }
    const Result<LeaderRecord> record = parseLeaderRecord(event.result.object.value);
    if (!record) {
        // The term is lost with the record; no instance can know what may still be granted.
        m_nextCallAt = event.startedAt + m_times.callPause;
        return;
    }
    learn(*record, event.result.object.version, event.startedAt);
    m_nextCallAt = event.startedAt + (m_role == Role::Leader ? m_times.verify : Milliseconds(0));
}

void RangeLeadership::learn(const LeaderRecord& record, std::uint64_t version, MonotonicTime now)
{
    m_version = version;
    m_recordKnown = true;
    const bool isSelf = record.instance == m_self.instance && record.incarnation == m_self.incarnation;
    if (isSelf && (m_role == Role::Leader || !m_leader || record.term >= m_leader->term)) {
        if (m_role != Role::Leader) {
            // A write whose answer was lost took effect.
            m_tookOverAt = now;
            m_confirmed = false;
        }
        m_role = Role::Leader;
        m_leader = record;
        m_evidenceAt = std::max(m_evidenceAt, now);
        m_mustVerify = m_mustVerify && now < m_awakeAt; // A call from before the pause proves nothing.
        return;
    }
    if (m_role == Role::Leader) {
        ++m_deposed;
        choosePatience();
    }
    m_role = Role::Follower;
    if (!m_leader || record.term > m_leader->term) {
        m_heardAt = now; // The new leader gets the whole time to be heard.
    }
    if (!m_leader || record.term >= m_leader->term) {
        m_leader = record; // A heartbeat does not tell the earlier leaders that may still grant.
    }
}

void RangeLeadership::onWritten(const RecordWritten& event)
{
    m_calling = false;
    const StoreStatus status = event.result.status;
    m_storeAnswers = status == StoreStatus::Ok || status == StoreStatus::Conflict;
    if (status == StoreStatus::Ok) {
        if (m_role != Role::Leader) {
            m_tookOverAt = event.startedAt;
            m_confirmed = false;
        }
        m_mustVerify = m_mustVerify && event.startedAt < m_awakeAt;
        m_leader = m_written;
        m_role = Role::Leader;
        m_version = event.result.version;
        m_evidenceAt = event.startedAt;
        m_nextCallAt = event.startedAt + m_times.verify;
        return;
    }
    // Another instance may have written, or this write may have taken effect or may still: only reading tells.
    m_recordKnown = status == StoreStatus::Unavailable && m_recordKnown;
    m_nextCallAt = event.startedAt + (status == StoreStatus::Conflict ? Milliseconds(0) : m_times.callPause);
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
            ++m_deposed;
            choosePatience();
        }
        m_leader = LeaderRecord {term, instance, incarnation, address, {}};
        m_recordKnown = false;
        m_role = Role::Follower;
    }
    m_heardAt = now;
}

void RangeLeadership::succeed(MonotonicTime now)
{
    m_heardAt = now - m_patience;
    m_nextCallAt = now;
}

void RangeLeadership::verifyNow(MonotonicTime now) { m_nextCallAt = std::min(m_nextCallAt, now); }

void RangeLeadership::awake(MonotonicTime now) noexcept
{
    m_mustVerify = true;
    m_awakeAt = now;
    verifyNow(now);
}

bool RangeLeadership::mayGrant(MonotonicTime now) const noexcept
{
    return m_role == Role::Leader && !m_mustVerify && now < m_evidenceAt + m_times.extension;
}

} // namespace jasminespread
