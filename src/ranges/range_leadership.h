#pragma once

#include "ranges/range_event.h"
#include "ranges/range_record.h"

#include <jasminespread/time.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace jasminespread {

/// Times of the leader election. docs/ranges.md derives them from each other.
struct LeadershipTimes {
    Milliseconds heartbeatTimeout {
        1100}; ///< Time without a heartbeat of the leader before another instance takes over.
    Milliseconds takeoverJitter {
        400}; ///< Each instance waits up to this much longer, so that takeovers do not collide.
    /// Fitness to lead, from 0 to 1: instances with more processor time wait less, because leading costs processor
    /// time.
    double fitness = 1;
    /// The whole system starts for the first time: where no record is stored, none was lost.
    bool isFirstStart = false;
    Milliseconds verifyInterval {1000}; ///< Time between the leader's reads of its own record.
    Milliseconds callRetryInterval {500}; ///< Time between calls to the store while they fail.
    Milliseconds leaderLease {12'000}; ///< How long a leader may grant after it last confirmed its record in the store.
};

/// Leader election by conditional writes of one stored record. For a while two instances can both regard themselves as
/// leader; the earlier one stops granting when its leader lease expires. Does no I/O; not thread-safe.
class RangeLeadership {
public:
    enum class Role : std::uint8_t { Unknown, Follower, Leader };

    /// The store call that is due; at most one is set.
    struct Step {
        std::optional<ReadRecord> read;
        std::optional<WriteRecord> write;
    };

    RangeLeadership(LeadershipTimes times, LeaderRecord self, std::uint64_t seed);

    /// Returns the store call that is due, if any.
    [[nodiscard]] Step step(MonotonicTime now);
    void onRead(const RecordRead& event);
    void onWritten(const RecordWritten& event);
    /// A heartbeat of a leader arrived.
    void onHeartbeat(std::uint64_t term, const std::string& instance, std::uint64_t incarnation,
        const std::string& address, MonotonicTime now);
    /// The store has a new era, which is above the known one: versions of the record are no longer valid. A leader
    /// keeps its role and its present leader lease, and writes the record again with a term of the new era.
    void onNewEra(std::uint64_t era, MonotonicTime now);
    /// The process was suspended for a while, or a server has accepted a grant of a later term: this instance may not
    /// grant until a read of the stored record that begins at @p now or later confirms it as leader.
    void suspendGrants(MonotonicTime now) noexcept;
    /// The leader hands over and named this instance as its successor.
    void onNamedSuccessor(MonotonicTime now);
    /// There are signs of another leader: makes the next read of the record due at once.
    void verifyNow(MonotonicTime now);
    /// The instance is shutting down: it does not become leader any more.
    void disableTakeover() noexcept { m_takeoverDisabled = true; }
    /// All earlier leaders have stopped: removes them from the stored record.
    void onEarlierLeadersStopped() noexcept { m_earlierLeadersStopped = true; }

    [[nodiscard]] Role role() const noexcept { return m_role; }
    /// Newest known leader; empty until one is known.
    [[nodiscard]] const std::optional<LeaderRecord>& leader() const noexcept { return m_leader; }
    /// Whether this instance is leader and may grant at @p now.
    [[nodiscard]] bool mayGrant(MonotonicTime now) const noexcept;
    /// Whether the store answered the latest call.
    [[nodiscard]] bool storeAvailable() const noexcept { return m_storeAvailable; }
    /// Start of the latest store call that confirmed this instance as leader.
    [[nodiscard]] MonotonicTime verifiedAt() const noexcept { return m_verifiedAt; }
    [[nodiscard]] MonotonicTime tookOverAt() const noexcept { return m_tookOverAt; }
    /// Time without a heartbeat after which this instance takes over.
    [[nodiscard]] Milliseconds takeoverTimeout() const noexcept { return m_takeoverTimeout; }

private:
    void applyRecord(const LeaderRecord& record, std::uint64_t version, MonotonicTime now);
    void chooseTakeoverTimeout();
    [[nodiscard]] bool needsNewTerm() const noexcept;
    [[nodiscard]] WriteRecord takeoverWrite();

    LeadershipTimes m_times;
    LeaderRecord m_self;
    std::mt19937_64 m_random;
    Role m_role = Role::Unknown;
    std::optional<LeaderRecord> m_leader;
    std::uint64_t m_version = 0; ///< Last known version of the stored record.
    std::uint64_t m_storedTerm = 0; ///< Term of the record as last read or written.
    std::uint64_t m_era = 0; ///< Newest known era of the store.
    std::uint64_t m_skippedTerms = 0; ///< Terms of this era that a lost record may have used.
    bool m_versionIsCurrent = false; ///< `m_version` is believed to be the stored version.
    MonotonicTime m_absentAt; ///< Start of the latest read that found no record.
    MonotonicTime m_lastHeartbeatAt; ///< Last heartbeat of the leader, or when it became known.
    MonotonicTime m_verifiedAt; ///< Start of the latest store call that confirmed this instance as leader.
    MonotonicTime m_tookOverAt;
    MonotonicTime m_suspendedAt; ///< Last call of suspendGrants().
    MonotonicTime m_nextCallAt;
    bool m_callInFlight = false;
    LeaderRecord m_writingRecord; ///< Record of the write in flight.
    bool m_storeAvailable = false;
    bool m_takeoverDisabled = false;
    bool m_mustVerify = false; ///< May not grant until the stored record confirms it as leader.
    bool m_earlierLeadersStopped = false; ///< No earlier leader can grant.
    unsigned m_lostTerms = 0; ///< How often this instance lost the leadership to another one.
    double m_jitterShare = 0; ///< From 0 to 1: fraction of the jitter that this instance waits longer.
    MonotonicTime m_startedAt; ///< First step.
    Milliseconds m_takeoverTimeout {0};
};

} // namespace jasminespread
