#include "gateway/server_directory.h"

#include <algorithm>

namespace jasminespread {

void ServerDirectory::update(const ServerList& servers, MonotonicTime now)
{
    const bool retainMissing = m_hasList && now < m_graceEndsAt;
    m_hasList = true;
    std::map<std::string, Entry> entries;
    for (const ListedServer& server : servers) {
        entries[server.identity.id] = Entry {server, std::nullopt};
    }
    if (retainMissing) {
        for (auto& [id, entry] : m_entries) {
            if (!entries.contains(id)) {
                entries[id] = Entry {std::move(entry.server), m_graceEndsAt};
            }
        }
    }
    m_entries = std::move(entries);
}

void ServerDirectory::setStoreReachable(bool reachable, MonotonicTime now)
{
    m_graceEndsAt = reachable ? now + m_gracePeriod : MonotonicTime::max();
}

bool ServerDirectory::removeExpired(MonotonicTime now)
{
    return std::erase_if(m_entries, [now](const auto& entry) {
        return entry.second.missingUntil && *entry.second.missingUntil <= now;
    }) > 0;
}

std::shared_ptr<const ServerList> ServerDirectory::servers() const
{
    auto list = std::make_shared<ServerList>();
    for (const auto& [id, entry] : m_entries) {
        list->push_back(entry.server);
        if (entry.missingUntil && entry.server.state == ListedServerState::Ready) {
            list->back().state = ListedServerState::Missing;
        }
    }
    return list;
}

std::optional<MonotonicTime> ServerDirectory::nextExpiry() const
{
    std::optional<MonotonicTime> next;
    for (const auto& [id, entry] : m_entries) {
        if (entry.missingUntil && (!next || *entry.missingUntil < *next)) {
            next = entry.missingUntil;
        }
    }
    return next;
}

} // namespace jasminespread
