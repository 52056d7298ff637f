#include "gateway/cold_server_gate.h"

#include <algorithm>
#include <utility>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

/// Longest time from the dispatch of a request until it is sent, e.g. while its connection is opened.
constexpr Milliseconds maxSendDelay = 250ms;
/// Requests that were dispatched within this time may be sent within one second.
constexpr Milliseconds countedTime = 1000ms + maxSendDelay;

} // namespace

void ColdServerGate::setPermits(const ColdPermits& permits, MonotonicTime validUntil)
{
    m_permits.clear();
    for (const ColdPermit& permit : permits) {
        m_permits[permit.server] = permit.requests;
    }
    m_validUntil = validUntil;
}

void ColdServerGate::onDispatched(const ServerIdentity& server, MonotonicTime now)
{
    std::deque<MonotonicTime>& times = m_dispatches[server];
    while (!times.empty() && now - times.front() > countedTime) {
        times.pop_front();
    }
    times.push_back(now);
}

bool ColdServerGate::mayDispatch(const ServerIdentity& server, MonotonicTime now) const
{
    return countedAt(server, now) < permitted(server, now);
}

bool ColdServerGate::maySend(const ServerIdentity& server, MonotonicTime dispatchedAt, MonotonicTime now) const
{
    // More can have been dispatched than is permitted, before the server became cold or the permit shrank.
    return now - dispatchedAt <= maxSendDelay && countedAt(server, now) <= permitted(server, now);
}

ColdDemands ColdServerGate::takeDemands() { return std::exchange(m_demands, {}); }

void ColdServerGate::forgetOld(MonotonicTime now)
{
    std::erase_if(m_dispatches,
        [now](const auto& entry) { return entry.second.empty() || now - entry.second.back() > countedTime; });
}

std::uint32_t ColdServerGate::permitted(const ServerIdentity& server, MonotonicTime now) const
{
    const auto it = m_permits.find(server);
    return it == m_permits.end() || now >= m_validUntil ? 0 : it->second;
}

std::uint32_t ColdServerGate::countedAt(const ServerIdentity& server, MonotonicTime now) const
{
    const auto it = m_dispatches.find(server);
    if (it == m_dispatches.end()) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::count_if(it->second.begin(), it->second.end(),
        [now](MonotonicTime dispatchedAt) { return now - dispatchedAt <= countedTime; }));
}

} // namespace jasminespread
