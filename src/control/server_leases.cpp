#include "control/server_leases.h"

#include <algorithm>

namespace jasminespread {
namespace {

constexpr Milliseconds probeInterval {2000}; // Servers without a lease are only checked for being reachable.
// A released partition is out of service until its requests finish, so their end must be noticed soon.
constexpr Milliseconds busyInterval {50};
constexpr Milliseconds retryAfterFailure {100};
constexpr std::uint32_t lostAfterFailures = 2; // A single lost packet must not make a server count as lost.

bool contains(const std::vector<GrantedPartition>& partitions, std::uint32_t partition)
{
    return std::ranges::find(partitions, partition, &GrantedPartition::partition) != partitions.end();
}

} // namespace

void ServerLeases::configure(const Configuration& configuration)
{
    for (auto& [id, server] : m_servers) {
        server.configured = false;
    }
    for (const BackendServer& configuredServer : configuration.servers) {
        Server& server = m_servers[configuredServer.id];
        server.configured = true;
        if (!server.address.empty() && server.address != configuredServer.address) {
            server.nonce.clear();
            server.retryAt = std::max(server.retryAt, latestGrantEnd(configuredServer.id));
        }
        server.address = configuredServer.address;
        server.service = configuredServer.service;
    }
    std::erase_if(m_servers, [](const auto& entry) { return !entry.second.configured && entry.second.leases.empty(); });
}

void ServerLeases::setPartitions(const GroupName& group, std::uint64_t term, const std::string& server,
    Milliseconds leaseDuration, std::vector<GrantedPartition> partitions)
{
    const auto it = m_servers.find(server);
    if (it == m_servers.end()) {
        return;
    }
    std::map<GroupName, Lease>& leases = it->second.leases;
    const auto existing = leases.find(group);
    if (existing != leases.end() && existing->second.term == term && existing->second.partitions == partitions) {
        return;
    }
    if (existing == leases.end() && partitions.empty()) {
        return;
    }
    Lease& lease = leases[group];
    if (lease.term != term) {
        lease = Lease {};
    }
    lease.term = term;
    lease.leaseDuration = leaseDuration;
    lease.revision = ++m_revision;
    lease.partitions = std::move(partitions);
    lease.latestEndOfEarlierSets = lease.latestEnd;
    lease.sendFullSet = true;
    it->second.sendAtOnce = true;
}

void ServerLeases::dropGroup(const GroupName& group)
{
    for (auto& [id, server] : m_servers) {
        server.leases.erase(group);
    }
}

void ServerLeases::sendDueGrants(const ReduceContext& context, const AuthorityDeadlineOf& authorityDeadlineOf)
{
    for (auto& [id, server] : m_servers) {
        if (isDue(context, server)) {
            sendBatch(context, id, server, authorityDeadlineOf);
        }
    }
}

bool ServerLeases::isDue(const ReduceContext& context, const Server& server) const
{
    const bool active = hasActiveLeases(server);
    if (!active && !m_probedServices.contains(server.service)) {
        return false;
    }
    if (server.inFlight) {
        // The control loop reports an answer or a failure within the grant timeout; after much longer the report is
        // lost.
        return context.now - *server.sentAt > 4 * context.settings.grantTimeout;
    }
    if (context.now < server.retryAt) {
        return false;
    }
    Milliseconds interval = active ? context.settings.grantInterval : probeInterval;
    if (hasBusyPartitions(server)) {
        interval = busyInterval;
    }
    return server.sendAtOnce || server.consecutiveFailures == 1 || !server.sentAt
        || context.now - *server.sentAt >= interval;
}

void ServerLeases::sendBatch(
    const ReduceContext& context, const std::string& id, Server& server, const AuthorityDeadlineOf& authorityDeadlineOf)
{
    GrantBatch batch {id, server.address, context.self, server.nonce, {}};
    for (auto& [group, lease] : server.leases) {
        const MonotonicTime deadline = authorityDeadlineOf(group);
        const Milliseconds timeLeft = std::chrono::duration_cast<Milliseconds>(deadline - context.now);
        if (lease.released() || deadline <= context.now || timeLeft <= Milliseconds(0)) {
            continue;
        }
        GroupGrant grant {group, lease.term, lease.revision, std::min(lease.leaseDuration, timeLeft), std::nullopt};
        if (lease.sendFullSet) {
            grant.partitions = lease.partitions;
        }
        if (!server.nonce.empty()) {
            // The lease starts at the server when it issues the nonce, which is before the nonce arrives here.
            const MonotonicTime end = server.nonceReceivedAt + grant.lease + context.settings.driftMargin;
            lease.latestEnd = std::max(lease.latestEnd, end);
        }
        batch.grants.push_back(std::move(grant));
    }
    server.sendAtOnce = false;
    server.inFlight = true;
    server.sentAt = context.now;
    context.effects.push_back(SendGrants {std::move(batch)});
}

std::vector<GroupName> ServerLeases::receiveAnswer(const ReduceContext& context, const GrantAnswered& event)
{
    std::vector<GroupName> staleGroups;
    const auto it = m_servers.find(event.server);
    if (it == m_servers.end() || event.batch.granter != context.self) {
        return staleGroups;
    }
    Server& server = it->second;
    server.inFlight = false;
    if (event.reply) {
        receiveReply(context, server, event, staleGroups);
        return staleGroups;
    }
    ++server.consecutiveFailures;
    server.retryAt = context.now + retryAfterFailure;
    // The server may not have received the set and would then refuse a mere extension.
    for (auto& [group, lease] : server.leases) {
        lease.sendFullSet = true;
    }
    if (server.consecutiveFailures == lostAfterFailures) {
        context.log(LogEvent::ServerLost, event.server);
    }
    return staleGroups;
}

void ServerLeases::receiveReply(
    const ReduceContext& context, Server& server, const GrantAnswered& event, std::vector<GroupName>& staleGroups)
{
    if (server.consecutiveFailures >= lostAfterFailures) {
        context.log(LogEvent::ServerReturned, event.server);
    }
    if (server.incarnation != event.reply->incarnation) {
        server.incarnation = event.reply->incarnation;
        for (auto& [group, lease] : server.leases) {
            lease.sendFullSet = true;
        }
    }
    // A lease that was sent with an old nonce started when that nonce was issued. Renewing it at once with the new
    // nonce keeps at least the lease duration minus grantInterval at any time, enough for a standby to take over.
    const bool sentWithOldNonce = event.sentAt - server.nonceReceivedAt >= context.settings.grantInterval / 2;
    server.sendAtOnce = server.sendAtOnce || (sentWithOldNonce && !event.batch.grants.empty());
    server.consecutiveFailures = 0;
    server.state = event.reply->state;
    server.nonce = event.reply->nonce;
    server.nonceReceivedAt = context.now;
    for (const GroupGrantResult& result : event.reply->results) {
        const auto sentGrant = std::ranges::find(event.batch.grants, result.group, &GroupGrant::group);
        if (sentGrant != event.batch.grants.end()) {
            receiveResult(context, server, *sentGrant, result, staleGroups);
        }
    }
}

void ServerLeases::receiveResult(const ReduceContext& context, Server& server, const GroupGrant& sentGrant,
    const GroupGrantResult& result, std::vector<GroupName>& staleGroups)
{
    const auto it = server.leases.find(result.group);
    if (it == server.leases.end() || it->second.term != sentGrant.term) {
        return;
    }
    Lease& lease = it->second;
    switch (result.status) {
    case GrantStatus::Accepted:
        if (sentGrant.revision == lease.revision) {
            lease.sendFullSet = false;
            lease.acceptedRevision = sentGrant.revision;
            lease.busyPartitions = {result.busy.begin(), result.busy.end()};
        }
        lease.acceptedRevision = std::max(lease.acceptedRevision, sentGrant.revision);
        break;
    case GrantStatus::UnknownNonce:
    case GrantStatus::NeedFull:
        lease.sendFullSet = true;
        server.sendAtOnce = true;
        break;
    case GrantStatus::StaleTerm:
        lease.sendFullSet = true;
        staleGroups.push_back(result.group);
        context.log(LogEvent::GrantRefused,
            toText(result.group) + " already has the higher term " + std::to_string(result.term));
        break;
    }
}

bool ServerLeases::hasActiveLeases(const Server& server)
{
    return std::ranges::any_of(server.leases, [](const auto& entry) { return !entry.second.released(); });
}

bool ServerLeases::hasBusyPartitions(const Server& server)
{
    return std::ranges::any_of(server.leases, [](const auto& entry) { return !entry.second.busyPartitions.empty(); });
}

ServerLeases::ServerHealth ServerLeases::health(const std::string& server) const
{
    const auto it = m_servers.find(server);
    if (it == m_servers.end()) {
        return {false, true, ServerState::Serving};
    }
    return {it->second.incarnation != 0, it->second.consecutiveFailures >= lostAfterFailures, it->second.state};
}

bool ServerLeases::hasAcceptedTerm(const GroupName& group, const std::string& server) const
{
    const Lease* lease = find(group, server);
    return lease != nullptr && lease->acceptedRevision > 0;
}

bool ServerLeases::holdsPartition(
    const GroupName& group, const std::string& server, const GrantedPartition& granted) const
{
    const Lease* lease = find(group, server);
    return lease != nullptr && lease->acceptedRevision == lease->revision
        && std::ranges::find(lease->partitions, granted) != lease->partitions.end();
}

bool ServerLeases::releaseConfirmed(const GroupName& group, const std::string& server, std::uint32_t partition) const
{
    const Lease* lease = find(group, server);
    return lease != nullptr && lease->acceptedRevision == lease->revision && !contains(lease->partitions, partition)
        && !lease->busyPartitions.contains(partition);
}

MonotonicTime ServerLeases::latestGrantEnd(
    const GroupName& group, const std::string& server, std::uint32_t partition) const
{
    const Lease* lease = find(group, server);
    if (lease == nullptr) {
        return {};
    }
    return contains(lease->partitions, partition) ? lease->latestEnd : lease->latestEndOfEarlierSets;
}

MonotonicTime ServerLeases::latestGrantEnd(const std::string& server) const
{
    MonotonicTime end;
    const auto it = m_servers.find(server);
    if (it != m_servers.end()) {
        for (const auto& [group, lease] : it->second.leases) {
            end = std::max(end, lease.latestEnd);
        }
    }
    return end;
}

const ServerLeases::Lease* ServerLeases::find(const GroupName& group, const std::string& server) const
{
    const auto it = m_servers.find(server);
    if (it == m_servers.end()) {
        return nullptr;
    }
    const auto lease = it->second.leases.find(group);
    return lease != it->second.leases.end() ? &lease->second : nullptr;
}

} // namespace jasminespread
