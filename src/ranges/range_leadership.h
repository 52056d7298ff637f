#pragma once

#include "ranges/range_event.h"
#include "ranges/range_record.h"

#include <jasminespread/time.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace jasminespread {

/// Times of the election of the leader. docs/ranges.md derives them from one another.
struct LeadershipTimes {
    Milliseconds silence {1100}; ///< Without a heartbeat of the leader before another instance takes over.
    Milliseconds spread {400}; ///< Instances wait up to this much longer, each its own time.
    /// Fitness to lead, from 0 to 1: instances with much processor time wait less, as a leader has more to do.
    double fitness = 1;
    Milliseconds verify {1000}; ///< Between the leader's reads of its own record.
    Milliseconds callPause {500}; ///< Between calls to the store while they fail.
    Milliseconds extension {12'000}; ///< How long a leader goes on without having read its record.
};

/// Decides whether this instance is the leader, by conditional writes of one stored record. Two instances can both
/// think so for a while; what the earlier one may still do is bounded by the extension. Pure; not thread-safe.
class RangeLeadership {
public:
    enum class Role : std::uint8_t { Unknown, Follower, Leader };

    struct Step {
        std::optional<ReadRecord> read;
        std::optional<WriteRecord> write;
    };

    RangeLeadership(LeadershipTimes times, LeaderRecord self, std::uint64_t seed);

    /// Returns the store call that is due.
    [[nodiscard]] Step step(MonotonicTime now);
    void onRead(const RecordRead& event);
    void onWritten(const RecordWritten& event);
    /// A heartbeat of a leader arrived.
    void onHeartbeat(std::uint64_t term, const std::string& instance, std::uint64_t incarnation,
        const std::string& address, MonotonicTime now);
    /// This instance did not run for a while: it grants nothing before its record shows it as leader again.
    void awake(MonotonicTime now) noexcept;
    /// The leader leaves and named this instance as the next one.
    void succeed(MonotonicTime now);
    /// Something contradicts this instance's leadership: reads the record at once.
    void verifyNow(MonotonicTime now);
    /// The instance stops: it takes over nothing any more.
    void retire() noexcept { m_retired = true; }
    /// Every earlier leader has stopped: takes them out of the stored record.
    void confirmEarlier() noexcept { m_confirmed = true; }

    [[nodiscard]] Role role() const noexcept { return m_role; }
    /// Newest leader that is known; empty before.
    [[nodiscard]] const std::optional<LeaderRecord>& leader() const noexcept { return m_leader; }
    /// Whether the leader may still grant at @p now.
    [[nodiscard]] bool mayGrant(MonotonicTime now) const noexcept;
    /// Whether the store answered the last call.
    [[nodiscard]] bool storeAnswers() const noexcept { return m_storeAnswers; }
    /// Start of the newest store call that showed this instance as leader.
    [[nodiscard]] MonotonicTime evidenceAt() const noexcept { return m_evidenceAt; }
    [[nodiscard]] MonotonicTime tookOverAt() const noexcept { return m_tookOverAt; }
    /// Silence after which this instance takes over.
    [[nodiscard]] Milliseconds patience() const noexcept { return m_patience; }

private:
    void learn(const LeaderRecord& record, std::uint64_t version, MonotonicTime now);
    void choosePatience();

    LeadershipTimes m_times;
    LeaderRecord m_self;
    std::mt19937_64 m_random;
    Role m_role = Role::Unknown;
    std::optional<LeaderRecord> m_leader;
    std::uint64_t m_version = 0; ///< Of the stored record, as far as known.
    bool m_recordKnown = false; ///< The version is the newest one that this instance has reason to expect.
    MonotonicTime m_heardAt; ///< Last sign of the leader.
    MonotonicTime m_evidenceAt; ///< Start of the newest store call that showed this instance as leader.
    MonotonicTime m_tookOverAt;
    MonotonicTime m_awakeAt;
    MonotonicTime m_nextCallAt;
    bool m_calling = false;
    LeaderRecord m_written; ///< Record of the write in flight.
    bool m_storeAnswers = false;
    bool m_retired = false;
    bool m_mustVerify = false; ///< Grants nothing before the record was read.
    bool m_confirmed = false; ///< No earlier leader can grant any more.
    unsigned m_deposed = 0; ///< Times this instance lost the lead to another one.
    double m_handicap = 0; ///< From 0 to 1; the part of the spread that this instance waits longer.
    MonotonicTime m_startedAt; ///< First step.
    Milliseconds m_patience {0};
};

} // namespace jasminespread
