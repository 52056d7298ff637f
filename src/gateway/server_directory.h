#pragma once

#include "gateway/listed_server.h"
#include "gateway/server_registration.h"

#include <jasminespread/time.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace jasminespread {

/// Times of service discovery.
struct ServerDirectoryTimes {
    /// How long after the end of an outage of the store missing servers are retained.
    Milliseconds gracePeriod {2000};
    /// How long the registration of a server that writes nothing more stays in the store.
    Milliseconds registrationExpiry {3000};
};

/// The servers to use, based on lists from the store. Entries of running servers can expire during an outage of the
/// store, so a server that is missing when the store comes back is retained for a grace period. The store may carry out
/// a write late, after newer ones of the same server: such a registration changes nothing, unless it stays in the store
/// for longer than the registration of a server that does not run. Reads no clock and does no I/O. Not thread-safe.
class ServerDirectory {
public:
    explicit ServerDirectory(ServerDirectoryTimes times) noexcept
        : m_times(times)
    {
    }

    /// Replaces the list. Servers that are missing from it are retained during a store outage and the grace period
    /// after it, otherwise removed.
    void update(const ServerRegistrations& registrations, MonotonicTime now);
    /// The store became reachable or unreachable.
    void setStoreReachable(bool reachable, MonotonicTime now);
    /// Removes missing servers whose grace period is over, and accepts registrations that were not replaced in time.
    /// Returns whether the list changed.
    bool applyTimeouts(MonotonicTime now);
    [[nodiscard]] std::shared_ptr<const ServerList> servers() const;
    /// Whether update() was called.
    [[nodiscard]] bool hasList() const noexcept { return m_hasList; }

private:
    struct Entry {
        ServerRegistration latest; ///< The newest registration that is known.
        bool used = true; ///< False: the server is gone.
        std::optional<MonotonicTime> missingUntil; ///< End of its grace period; set while the server is not listed.
        MonotonicTime goneAt; ///< When it was last removed.
        std::optional<ServerRegistration> outdated; ///< An older registration, which the store has now.
        MonotonicTime outdatedSince; ///< Since when the store, while reachable, has had one of that run.
    };

    void listed(const ServerRegistration& registration, MonotonicTime now);
    void notListed(Entry& entry, MonotonicTime now) const;

    ServerDirectoryTimes m_times;
    std::map<std::string, Entry> m_entries; ///< By id; with servers that are gone, while late writes are possible.
    MonotonicTime m_graceEndsAt; ///< Missing servers are retained until then.
    bool m_storeReachable = false;
    bool m_hasList = false;
};

} // namespace jasminespread
