#pragma once

#include "gateway/cold_servers.h"

#include <jasminespread/time.h>

#include <cstdint>
#include <map>
#include <string>

namespace jasminespread {

/// Divides what each cold server tolerates among the instances, for the leader of one term. What moves from one
/// instance to another counts for both until the former can no longer have sent anything by its permit within the same
/// second. Reads no clock and does no I/O. Not thread-safe. Precondition: times never go backwards.
class ColdPermitAllocator {
public:
    explicit ColdPermitAllocator(ColdServerLimits limits = {}) noexcept
        : m_limits(limits)
    {
    }

    /// An instance reported its demand since its last report. Servers that are missing had none.
    void onDemands(const std::string& instance, const ColdDemands& demands);
    /// The instance is lost: it gets no permits. Those that it has count until they have expired.
    void removeInstance(const std::string& instance);
    /// Divides anew. @p rates has the requests per second that each listed run tolerates while it is cold.
    void allocate(const std::map<ServerIdentity, double>& rates, MonotonicTime now);
    /// The permits of @p instance, which are sent to it at @p now.
    [[nodiscard]] ColdPermits take(const std::string& instance, MonotonicTime now);
    /// The runs that some instance has reported as cold lately.
    [[nodiscard]] bool isDemanded(const ServerIdentity& server) const { return m_runs.contains(server); }

private:
    struct Share {
        double demand = 0; ///< Moving sum of the reported demand.
        std::uint32_t permit = 0; ///< As last divided.
        std::map<std::uint32_t, MonotonicTime> sentAt; ///< Latest time of sending, by the size of the permit.

        /// The largest permit that may still be in use.
        [[nodiscard]] std::uint32_t inUse() const { return sentAt.empty() ? 0 : sentAt.rbegin()->first; }
    };
    using Shares = std::map<std::string, Share>; ///< By instance.

    void divide(Shares& shares, double rate) const;

    ColdServerLimits m_limits;
    std::map<ServerIdentity, Shares> m_runs;
};

} // namespace jasminespread
