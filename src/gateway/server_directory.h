#pragma once

#include "gateway/listed_server.h"

#include <jasminespread/time.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace jasminespread {

/// Servers to use, from a listing whose entries can lapse while the store is away although the servers live: a server
/// that is missing right after the store came back is kept for a while. Pure; not thread-safe.
class ServerDirectory {
public:
    /// @param returnTime how long after the store's return a missing entry may still come back.
    explicit ServerDirectory(Milliseconds gracePeriod) noexcept
        : m_gracePeriod(gracePeriod)
    {
    }

    void update(const ServerList& servers, MonotonicTime now);
    /// The store began to answer, or stopped.
    void setStoreReachable(bool reachable, MonotonicTime now);
    /// Removes servers whose time to come back is over. Returns whether the list changed.
    bool removeExpired(MonotonicTime now);
    [[nodiscard]] std::shared_ptr<const ServerList> servers() const;
    /// Next time at which expire() removes a server.
    [[nodiscard]] std::optional<MonotonicTime> nextExpiry() const;
    [[nodiscard]] bool hasList() const noexcept { return m_hasList; }

private:
    struct Entry {
        ListedServer server;
        std::optional<MonotonicTime> missingUntil; ///< Set while it is not listed.
    };

    Milliseconds m_gracePeriod;
    std::map<std::string, Entry> m_entries; ///< By id.
    MonotonicTime m_graceEndsAt; ///< Missing entries are kept until then.
    bool m_hasList = false;
};

} // namespace jasminespread
