#include "control/authority_clock.h"

#include <algorithm>

namespace jasminespread {

void AuthorityClock::reset(Milliseconds lease, Milliseconds extensionLimit)
{
    *this = AuthorityClock();
    m_lease = lease;
    m_extensionLimit = extensionLimit;
}

void AuthorityClock::recordStoreEvidence(MonotonicTime startedAt, MonotonicTime now)
{
    detectLapse(now);
    if (m_frozen) {
        return;
    }
    m_storeEvidenceAt = std::max(m_storeEvidenceAt.value_or(startedAt), startedAt);
    if (m_lapsed && *m_storeEvidenceAt + m_lease > now) {
        m_lapsed = false;
        discardStandbyEvidence(now);
    }
}

void AuthorityClock::recordStandbyEvidence(MonotonicTime requestedAt)
{
    if (m_frozen || m_lapsed || requestedAt < m_standbyEvidenceAcceptedFrom) {
        return;
    }
    m_standbyEvidenceAt = std::max(m_standbyEvidenceAt.value_or(requestedAt), requestedAt);
}

void AuthorityClock::discardStandbyEvidence(MonotonicTime now)
{
    m_standbyEvidenceAt.reset();
    m_standbyEvidenceAcceptedFrom = now;
}

bool AuthorityClock::detectLapse(MonotonicTime now)
{
    if (m_lapsed || now < deadline()) {
        return false;
    }
    m_lapsed = true;
    return true;
}

MonotonicTime AuthorityClock::deadline() const
{
    if (m_lapsed || !m_storeEvidenceAt) {
        return {};
    }
    MonotonicTime evidence = *m_storeEvidenceAt;
    if (m_standbyEvidenceAt) {
        evidence = std::max(evidence, std::min(*m_standbyEvidenceAt, *m_storeEvidenceAt + m_extensionLimit));
    }
    return evidence + m_lease;
}

bool AuthorityClock::extendedByStandby(MonotonicTime now) const
{
    return !m_lapsed && m_standbyEvidenceAt && now - *m_standbyEvidenceAt < m_lease / 2
        && now - *m_storeEvidenceAt < m_extensionLimit / 4;
}

bool AuthorityClock::recentlyConfirmedByStore(MonotonicTime now) const
{
    return m_storeEvidenceAt && now - *m_storeEvidenceAt < m_lease / 2;
}

} // namespace jasminespread
