#pragma once

#include <jasminespread/time.h>

#include <optional>

namespace jasminespread {

/// Computes until when the primary of one group and term has authority: it may grant leases and dispatch requests.
///
/// The deadline is one lease after the newest evidence that no other instance can have taken over. Evidence comes from
/// the store or from the standby, which confirms in its replies to heartbeats that it has not started to take over.
/// Evidence from the standby counts only up to the extension limit after the newest store evidence.
class AuthorityClock {
public:
    /// Drops all evidence; there is no authority until the first store evidence.
    void reset(Milliseconds lease, Milliseconds extensionLimit);
    /// Records that a read or a successful write, started at @p startedAt, showed this primary and term in the store.
    /// Only store evidence restores a lapsed authority.
    void recordStoreEvidence(MonotonicTime startedAt, MonotonicTime now);
    /// Records that the standby confirmed the request sent at @p requestedAt. Ignored while the authority has lapsed.
    void recordStandbyEvidence(MonotonicTime requestedAt);
    /// Drops the evidence of the standby and ignores its replies to requests sent before @p now.
    void discardStandbyEvidence(MonotonicTime now);
    /// While frozen, new evidence is ignored and the deadline does not move.
    void setFrozen(bool frozen) noexcept { m_frozen = frozen; }
    /// Marks the authority as lapsed once its deadline has passed. Returns true if that happens in this call.
    bool detectLapse(MonotonicTime now);

    /// Returns the deadline, or the epoch of the clock when there is no authority.
    [[nodiscard]] MonotonicTime deadline() const;
    /// True while recent evidence from the standby extends the authority and the extension limit is not close.
    [[nodiscard]] bool extendedByStandby(MonotonicTime now) const;
    /// True when the newest store evidence is younger than half a lease.
    [[nodiscard]] bool recentlyConfirmedByStore(MonotonicTime now) const;

private:
    Milliseconds m_lease {0};
    Milliseconds m_extensionLimit {0};
    std::optional<MonotonicTime> m_storeEvidenceAt;
    std::optional<MonotonicTime> m_standbyEvidenceAt;
    MonotonicTime m_standbyEvidenceAcceptedFrom;
    bool m_lapsed = true;
    bool m_frozen = false;
};

} // namespace jasminespread
