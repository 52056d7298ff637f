#include "gateway/server_directory.h"

#include <algorithm>
#include <set>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

/// A write may be carried out late by up to this time, after its server is gone.
constexpr Milliseconds maxWriteDelay = 60s;

} // namespace

void ServerDirectory::update(const ServerRegistrations& registrations, MonotonicTime now)
{
    confirm(now);
    std::set<std::string> ids;
    std::set<std::string> overwritten;
    for (const ServerRegistration& registration : registrations) {
        const std::string& id = registration.server.identity.id;
        if (isOwn(registration)) {
            ids.insert(id);
            listed(registration, now);
        } else {
            overwritten.insert(id);
        }
    }
    for (auto& [id, entry] : m_entries) {
        if (!ids.contains(id)) {
            notListed(entry, overwritten.contains(id), now);
        }
    }
    std::erase_if(m_entries,
        [now](const auto& entry) { return !entry.second.used && now - entry.second.goneAt > maxWriteDelay; });
    m_hasList = true;
}

/// Whether the server of that id can have written it: one that reports its start always does, and keeps its service and
/// its address until the next one.
bool ServerDirectory::isOwn(const ServerRegistration& registration) const
{
    const auto it = m_entries.find(registration.server.identity.id);
    if (it == m_entries.end() || registration.isOverwritten) {
        return !registration.isOverwritten;
    }
    const ListedServer& written = registration.server;
    const ListedServer& known = it->second.latest.server;
    const bool isSameRun = written.identity == known.identity && known.identity.startedAtUnixMs != 0;
    return isSameRun ? written.service == known.service && written.address == known.address
                     : written.identity.startedAtUnixMs != 0 || known.identity.startedAtUnixMs == 0;
}

void ServerDirectory::listed(const ServerRegistration& registration, MonotonicTime now)
{
    const auto [it, isNew] = m_entries.try_emplace(registration.server.identity.id);
    Entry& entry = it->second;
    // The write that lists a server again after its removal may have been on its way for seconds.
    const bool isReturn = entry.removed && registration.server.identity == entry.latest.server.identity;
    if (!isNew && (isReturn || precedes(registration, entry.latest))) {
        if (!entry.outdated || entry.outdated->server.identity != registration.server.identity) {
            entry.outdatedSince = now;
        }
        entry.outdated = registration;
        return;
    }
    entry = Entry();
    entry.latest = registration;
}

void ServerDirectory::notListed(Entry& entry, bool isOverwritten, MonotonicTime now) const
{
    entry.outdated.reset();
    if (!entry.used) {
        return;
    }
    const MonotonicTime until = entry.missingUntil.value_or(m_graceEndsAt);
    if (now < until) {
        entry.missingUntil = until;
    } else {
        entry.used = false;
        entry.removed = !isOverwritten && !entry.missingUntil;
        entry.missingUntil.reset();
        entry.goneAt = now;
    }
}

void ServerDirectory::confirm(MonotonicTime asOf)
{
    if (mayHaveBeenAway(asOf)) {
        m_graceEndsAt = asOf + m_times.gracePeriod;
        for (auto& [id, entry] : m_entries) {
            if (entry.missingUntil) {
                *entry.missingUntil += asOf - *m_confirmedAsOf;
            }
            entry.outdatedSince = asOf; // The registration may have been replaced meanwhile.
        }
    }
    m_confirmedAsOf = std::max(m_confirmedAsOf.value_or(asOf), asOf);
}

bool ServerDirectory::applyTimeouts(MonotonicTime now)
{
    if (mayHaveBeenAway(now)) {
        return false;
    }
    bool changed = false;
    for (auto& [id, entry] : m_entries) {
        if (entry.missingUntil && *entry.missingUntil <= now) {
            entry.missingUntil.reset();
            entry.used = false;
            entry.goneAt = now;
            changed = true;
        }
        if (entry.outdated && now - entry.outdatedSince > m_times.registrationExpiry) {
            ServerRegistration registration = std::move(*entry.outdated);
            entry = Entry();
            entry.latest = std::move(registration);
            changed = true;
        }
    }
    return changed;
}

std::shared_ptr<const ServerList> ServerDirectory::servers() const
{
    auto list = std::make_shared<ServerList>();
    for (const auto& [id, entry] : m_entries) {
        if (!entry.used) {
            continue;
        }
        list->push_back(entry.latest.server);
        if (entry.missingUntil && entry.latest.server.state == ListedServerState::Ready) {
            list->back().state = ListedServerState::Missing;
        }
    }
    return list;
}

} // namespace jasminespread
