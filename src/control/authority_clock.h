#pragma once

#include <jasminespread/time.h>

#include <optional>

namespace jasminespread {

/// The authority deadline A of a primary for one group and term, computed from evidence of the store and the standby.
class AuthorityClock {
public:
    /// Forgets all evidence and starts anew, lapsed until the first store evidence.
    void reset(Milliseconds lease, Milliseconds extensionLimit);
    /// Store evidence: a read or an effective write started at @p startedAt showed this primary and term.
    void recordStoreEvidence(MonotonicTime startedAt, MonotonicTime now);
    /// Backing evidence: the standby backs a request sent at @p requestedAt. Ignored while lapsed.
    void recordBacking(MonotonicTime requestedAt);
    /// Drops backing evidence and ignores replies to requests sent before @p now.
    void discardBacking(MonotonicTime now);
    /// While frozen no evidence counts; the deadline stays as it is.
    void setFrozen(bool frozen) noexcept { m_frozen = frozen; }
    /// Notes a lapse. Returns true when the authority lapsed since the last call.
    bool detectLapse(MonotonicTime now);

    /// The deadline A; the epoch of the clock when there is no authority.
    [[nodiscard]] MonotonicTime deadline() const;
    /// True when backing extends the authority and the extension limit is far.
    [[nodiscard]] bool extendedByStandby(MonotonicTime now) const;
    /// True when the newest store evidence is younger than half a lease.
    [[nodiscard]] bool recentlyConfirmedByStore(MonotonicTime now) const;

private:
    Milliseconds m_lease {0};
    Milliseconds m_extensionLimit {0};
    std::optional<MonotonicTime> m_storeEvidenceAt;
    std::optional<MonotonicTime> m_backedAt;
    MonotonicTime m_backingAcceptedFrom;
    bool m_lapsed = true;
    bool m_frozen = false;
};

} // namespace jasminespread
