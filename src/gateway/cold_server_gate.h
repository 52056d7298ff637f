#pragma once

#include "gateway/cold_servers.h"

#include <jasminespread/time.h>

#include <cstdint>
#include <deque>
#include <map>

namespace jasminespread {

/// Tells whether this instance may send a request to a cold server. Counts what it sends, and what it would have sent,
/// to each run of a server whose rate during its slow start is limited. Reads no clock and does no I/O. Not
/// thread-safe. Precondition: times never go backwards.
class ColdServerGate {
public:
    /// Replaces all permits.
    void setPermits(const ColdPermits& permits, MonotonicTime validUntil);
    /// A request is dispatched to @p server, cold or not.
    void onDispatched(const ServerIdentity& server, MonotonicTime now);
    /// A request was sent, or would have been sent, to @p server, which is cold.
    void addDemand(const ServerIdentity& server) { ++m_demands[server]; }
    /// The machine was suspended for @p duration, which the clock of the times does not count.
    void onSuspended(Milliseconds duration) noexcept { m_validUntil -= duration; }

    /// Whether a request may be dispatched to @p server, which is cold.
    [[nodiscard]] bool mayDispatch(const ServerIdentity& server, MonotonicTime now) const;
    /// Whether a request that was dispatched to @p server at @p dispatchedAt, and has waited, may be sent now that the
    /// server is cold.
    [[nodiscard]] bool maySend(const ServerIdentity& server, MonotonicTime dispatchedAt, MonotonicTime now) const;
    /// Returns the demand since the last call.
    [[nodiscard]] ColdDemands takeDemands();
    /// Forgets what was sent too long ago to count.
    void forgetOld(MonotonicTime now);

private:
    [[nodiscard]] std::uint32_t permitted(const ServerIdentity& server, MonotonicTime now) const;
    [[nodiscard]] std::uint32_t countedAt(const ServerIdentity& server, MonotonicTime now) const;

    std::map<ServerIdentity, std::uint32_t> m_permits;
    MonotonicTime m_validUntil;
    std::map<ServerIdentity, std::deque<MonotonicTime>> m_dispatches; ///< Times, in order.
    ColdDemands m_demands;
};

} // namespace jasminespread
