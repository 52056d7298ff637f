#include "control/authority_clock.h"

#include <algorithm>

namespace jasminespread {

void AuthorityClock::reset(Milliseconds lease, Milliseconds extensionLimit)
{
    *this = AuthorityClock();
    m_lease = lease;
    m_extensionLimit = extensionLimit;
}

void AuthorityClock::recordStore(MonotonicTime startedAt, MonotonicTime now)
{
    update(now);
    if (m_frozen) {
        return;
    }
    m_store = std::max(m_store.value_or(startedAt), startedAt);
    if (m_lapsed && *m_store + m_lease > now) {
        m_lapsed = false;
        discardBacking(now);
    }
}

void AuthorityClock::recordBacking(MonotonicTime requestedAt)
{
    if (m_frozen || m_lapsed || requestedAt < m_backingFrom) {
        return;
    }
    m_backing = std::max(m_backing.value_or(requestedAt), requestedAt);
}

void AuthorityClock::discardBacking(MonotonicTime now)
{
    m_backing.reset();
    m_backingFrom = now;
}

bool AuthorityClock::update(MonotonicTime now)
{
    if (m_lapsed || now < deadline()) {
        return false;
    }
    m_lapsed = true;
    return true;
}

MonotonicTime AuthorityClock::deadline() const
{
    if (m_lapsed || !m_store) {
        return {};
    }
    MonotonicTime evidence = *m_store;
    if (m_backing) {
        evidence = std::max(evidence, std::min(*m_backing, *m_store + m_extensionLimit));
    }
    return evidence + m_lease;
}

bool AuthorityClock::steady(MonotonicTime now) const
{
    return !m_lapsed && m_backing && now - *m_backing < m_lease / 2 && now - *m_store < m_extensionLimit / 4;
}

bool AuthorityClock::confirmedByStore(MonotonicTime now) const { return m_store && now - *m_store < m_lease / 2; }

} // namespace jasminespread
