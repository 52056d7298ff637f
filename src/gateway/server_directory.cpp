#include "gateway/server_directory.h"

#include <algorithm>

namespace jasminespread {

void ServerDirectory::list(const ServerList& servers, MonotonicTime now)
{
    const bool keepMissing = m_listed && now < m_returnEnds;
    m_listed = true;
    std::map<std::string, Entry> entries;
    for (const ListedServer& server : servers) {
        entries[server.identity.id] = Entry {server, std::nullopt};
    }
    if (keepMissing) {
        for (auto& [id, entry] : m_entries) {
            if (!entries.contains(id)) {
                entries[id] = Entry {std::move(entry.server), m_returnEnds};
            }
        }
    }
    m_entries = std::move(entries);
}

void ServerDirectory::setReachable(bool reachable, MonotonicTime now)
{
    m_returnEnds = reachable ? now + m_returnTime : MonotonicTime::max();
}

bool ServerDirectory::expire(MonotonicTime now)
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
