#pragma once

#include "gateway/listed_server.h"

#include <jasminespread/time.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace jasminespread {

/// The servers to use, based on lists from the store. Entries of running servers can expire during an outage of the
/// store, so a server that is missing when the store comes back is retained for a grace period. Reads no clock and does
/// no I/O. Not thread-safe.
class ServerDirectory {
public:
    /// @param gracePeriod how long after the end of an outage missing servers are retained.
    explicit ServerDirectory(Milliseconds gracePeriod) noexcept
        : m_gracePeriod(gracePeriod)
    {
    }

    /// Replaces the list. Servers that are missing from it are retained during a store outage and the grace period
    /// after it, otherwise removed.
    void update(const ServerList& servers, MonotonicTime now);
    /// The store became reachable or unreachable.
    void setStoreReachable(bool reachable, MonotonicTime now);
    /// Removes missing servers whose grace period is over. Returns whether the list changed.
    bool removeExpired(MonotonicTime now);
    [[nodiscard]] std::shared_ptr<const ServerList> servers() const;
    /// Next time at which removeExpired() removes a server; nothing while no server is missing.
    [[nodiscard]] std::optional<MonotonicTime> nextExpiry() const;
    /// Whether update() was called.
    [[nodiscard]] bool hasList() const noexcept { return m_hasList; }

private:
    struct Entry {
        ListedServer server;
        std::optional<MonotonicTime> missingUntil; ///< End of its grace period; set while the server is not listed.
    };

    Milliseconds m_gracePeriod;
    std::map<std::string, Entry> m_entries; ///< By id.
    MonotonicTime m_graceEndsAt; ///< Missing servers are retained until then.
    bool m_hasList = false;
};

} // namespace jasminespread
