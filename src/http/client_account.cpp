#include "http/client_account.h"

#include <jasminespread/log_event.h>

#include <algorithm>
#include <utility>

namespace jasminespread {
namespace {

/// Share of a bound that is freed at once when it is reached. Examining all clients costs their number; this way it
/// happens once for many requests.
constexpr std::uint64_t bytesBatchDivisor = 8;
constexpr std::size_t connectionsBatchDivisor = 16;
/// Growth of the account, as a share of the bound, before clients are examined again.
constexpr std::uint64_t attemptDivisor = 64;

template <typename T> bool isBelowThreeQuarters(T value, T bound) { return value < bound - bound / 4; }

} // namespace

std::size_t ClientAccount::addListener(Listener listener)
{
    Entry& entry = m_listeners[m_nextListener];
    entry.usage.name = listener.name;
    entry.hooks = std::move(listener);
    return m_nextListener++;
}

void ClientAccount::removeListener(std::size_t listener)
{
    const auto it = m_listeners.find(listener);
    m_bytes -= it->second.usage.bytes;
    m_connections -= it->second.usage.connections;
    m_listeners.erase(it);
}

void ClientAccount::charge(std::size_t listener, std::uint64_t before, std::uint64_t after)
{
    Usage& usage = m_listeners.at(listener).usage;
    usage.bytes = usage.bytes - before + after;
    m_bytes = m_bytes - before + after;
    if (after < before) {
        m_nextAttemptBytes = std::min(m_nextAttemptBytes, m_bytes + m_bounds.bytes / attemptDivisor);
        endPressure();
    }
}

void ClientAccount::openConnection(std::size_t listener)
{
    ++m_listeners.at(listener).usage.connections;
    ++m_connections;
}

void ClientAccount::closeConnection(std::size_t listener)
{
    --m_listeners.at(listener).usage.connections;
    --m_connections;
    endPressure();
}

bool ClientAccount::makeRoomForBytes(std::uint64_t extraBytes, MonotonicTime now)
{
    const std::uint64_t wanted = m_bytes + extraBytes;
    if (wanted <= m_bounds.bytes) {
        return true;
    }
    if (!m_ending && wanted >= m_nextAttemptBytes) {
        beginPressure("memory");
        end({wanted - m_bounds.bytes + m_bounds.bytes / bytesBatchDivisor, 0}, now);
        m_nextAttemptBytes = m_bytes + m_bounds.bytes / attemptDivisor;
    }
    return m_bytes + extraBytes <= m_bounds.bytes;
}

bool ClientAccount::makeRoomForConnection(bool descriptorsExhausted, MonotonicTime now)
{
    if (m_connections < m_bounds.connections && !descriptorsExhausted) {
        return true;
    }
    const std::size_t before = m_connections;
    if (!m_ending) {
        beginPressure("connections");
        end({0, std::min(m_connections, m_bounds.connections) / connectionsBatchDivisor + 1}, now);
    }
    return m_connections < m_bounds.connections && (!descriptorsExhausted || m_connections < before);
}

void ClientAccount::countRefusedRequest(std::size_t listener) { ++m_listeners.at(listener).usage.refusedRequests; }

std::vector<ClientAccount::Usage> ClientAccount::usage() const
{
    std::vector<Usage> usages;
    for (const auto& [number, entry] : m_listeners) {
        usages.push_back(entry.usage);
    }
    return usages;
}

void ClientAccount::end(const ClientRelief& needed, MonotonicTime now)
{
    m_ending = true;
    std::vector<ClientHolding> clients;
    for (const auto& [number, entry] : m_listeners) {
        const std::size_t first = clients.size();
        entry.hooks.list(clients);
        for (std::size_t i = first; i < clients.size(); ++i) {
            clients[i].listener = number;
        }
    }
    const bool closes = needed.connections > 0;
    for (const ClientHolding& client : ClientEvictionPolicy::choose(std::move(clients), needed, now)) {
        Entry& entry = m_listeners.at(client.listener);
        ++(closes ? entry.usage.endedForConnections : entry.usage.endedForMemory);
        ++m_endedInPressure;
        entry.hooks.end(client.connection, closes);
    }
    m_ending = false;
}

void ClientAccount::beginPressure(const char* resource)
{
    if (!std::exchange(m_underPressure, true)) {
        logEvent(LogEvent::ClientPressureBegan,
            "resource=" + std::string(resource) + " bytes=" + std::to_string(m_bytes)
                + " connections=" + std::to_string(m_connections));
    }
}

void ClientAccount::endPressure()
{
    if (m_underPressure && !m_ending && isBelowThreeQuarters(m_bytes, m_bounds.bytes)
        && isBelowThreeQuarters(m_connections, m_bounds.connections)) {
        m_underPressure = false;
        logEvent(LogEvent::ClientPressureEnded,
            "ended=" + std::to_string(std::exchange(m_endedInPressure, 0)) + " bytes=" + std::to_string(m_bytes)
                + " connections=" + std::to_string(m_connections));
    }
}

} // namespace jasminespread
