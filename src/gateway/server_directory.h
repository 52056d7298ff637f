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
    /// Time without an outage in which a missing server may register again after one.
    Milliseconds gracePeriod {2000};
    /// How long the registration of a server that writes nothing more stays in the store.
    Milliseconds registrationExpiry {3000};
    /// Shortest outage of the store in which the registration of a running server can expire.
    Milliseconds shortestExpiringOutage {1500};
};

/// The servers to use, based on lists from the store. Registrations of running servers can expire during an outage of
/// the store. Whether there can have been one shows in how long the list was not confirmed: a call that failed does not
/// tell when the store was away, and one that was not made does not tell that it was there. A server that is missing
/// after an outage is retained for a grace period; one that vanishes from a list that was confirmed all the while has
/// left. The store may carry out a write late, after newer ones of the same server: such a registration changes
/// nothing, unless it stays in the store for longer than the registration of a server that does not run. Reads no clock
/// and does no I/O. Not thread-safe.
class ServerDirectory {
public:
    explicit ServerDirectory(ServerDirectoryTimes times) noexcept
        : m_times(times)
    {
    }

    /// Replaces the list by one that the store has at @p now. Servers that are missing from it are retained in the
    /// grace period after an outage, otherwise removed.
    void update(const ServerRegistrations& registrations, MonotonicTime now);
    /// The store had the list as it is at @p asOf, as an answer to this or another instance shows.
    void confirm(MonotonicTime asOf);
    /// The store was restored from an earlier copy. Lists from @p now on may lack servers that have registered since
    /// the copy was made; they are retained in the grace period, as after an outage.
    void onStoreRestored(MonotonicTime now) { m_graceEndsAt = now + m_times.gracePeriod; }
    /// Removes missing servers whose grace period is over, and accepts registrations that were not replaced in time;
    /// neither while the store may be away. Returns whether the list changed.
    bool applyTimeouts(MonotonicTime now);
    [[nodiscard]] std::shared_ptr<const ServerList> servers() const;
    /// Whether update() was called.
    [[nodiscard]] bool hasList() const noexcept { return m_hasList; }

private:
    struct Entry {
        ServerRegistration latest; ///< The newest registration that is known.
        bool used = true; ///< False: the server is gone.
        /// End of its grace period; set while the server is not listed. Outages later in that period prolong it by
        /// their length, so that the time without one stays limited.
        std::optional<MonotonicTime> missingUntil;
        MonotonicTime goneAt; ///< When it was last removed.
        /// Its registration was removed while the store was there; it neither expired in an outage nor was replaced by
        /// another writer.
        bool removed = false;
        std::optional<ServerRegistration> outdated; ///< An older registration, which the store has now.
        MonotonicTime outdatedSince; ///< Since when the store has had one of that run, without an outage.
    };

    [[nodiscard]] bool isOwn(const ServerRegistration& registration) const;
    void listed(const ServerRegistration& registration, MonotonicTime now);
    void notListed(Entry& entry, bool isOverwritten, MonotonicTime now) const;
    /// Whether the list has not been confirmed for so long that the store can have been away.
    [[nodiscard]] bool mayHaveBeenAway(MonotonicTime now) const noexcept
    {
        return m_confirmedAsOf && now - *m_confirmedAsOf >= m_times.shortestExpiringOutage;
    }

    ServerDirectoryTimes m_times;
    std::map<std::string, Entry> m_entries; ///< By id; with servers that are gone, while late writes are possible.
    std::optional<MonotonicTime> m_confirmedAsOf; ///< The list was complete up to this time.
    MonotonicTime m_graceEndsAt; ///< Servers that vanish are retained until then.
    bool m_hasList = false;
};

} // namespace jasminespread
