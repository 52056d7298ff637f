#include "control/server_leases.h"

#include <algorithm>

namespace jasminespread {
namespace {

constexpr Milliseconds probeInterval {2000}; // Servers without a lease need only be known to answer.
constexpr Milliseconds busyInterval {50}; // A released partition is out of service until its requests end.
constexpr Milliseconds retryAfterFailure {100};
constexpr std::uint32_t failuresOfLostServer = 2; // One lost packet must not count as a lost server.

bool contains(const std::vector<GrantedPartition>& partitions, std::uint32_t partition)
{
    return std::ranges::find(partitions, partition, &GrantedPartition::partition) != partitions.end();
}

} // namespace

void ServerLeases::configure(const Configuration& configuration)
{
    for (auto& [id, server] : m_servers) {
        server.declared = false;
    }
    for (const BackendServer& declared : configuration.servers) {
        Server& server = m_servers[declared.id];
        server.declared = true;
        if (!server.address.empty() && server.address != declared.address) {
            server.nonce.clear();
            server.retryAt = std::max(server.retryAt, bound(declared.id));
        }
        server.address = declared.address;
        server.service = declared.service;
    }
    std::erase_if(m_servers, [](const auto& entry) { return !entry.second.declared && entry.second.leases.empty(); });
}

void ServerLeases::setPartitions(const GroupName& group, std::uint64_t term, const std::string& server,
    Milliseconds length, std::vector<GrantedPartition> partitions)
{
    const auto it = m_servers.find(server);
    if (it == m_servers.end()) {
        return;
    }
    std::map<GroupName, Lease>& leases = it->second.leases;
    const auto known = leases.find(group);
    if (known != leases.end() && known->second.term == term && known->second.partitions == partitions) {
        return;
    }
    if (known == leases.end() && partitions.empty()) {
        return;
    }
    Lease& lease = leases[group];
    if (lease.term != term) {
        lease = Lease {};
    }
    lease.term = term;
    lease.length = length;
    lease.revision = ++m_revision;
    lease.partitions = std::move(partitions);
    lease.earlierSetsBound = lease.bound;
    lease.sendFull = true;
    it->second.urgent = true;
}

void ServerLeases::dropGroup(const GroupName& group)
{
    for (auto& [id, server] : m_servers) {
        server.leases.erase(group);
    }
}

void ServerLeases::send(const ReduceContext& context, const AuthorityOf& authorityOf)
{
    for (auto& [id, server] : m_servers) {
        if (due(context, server)) {
            sendBatch(context, id, server, authorityOf);
        }
    }
}

bool ServerLeases::due(const ReduceContext& context, const Server& server) const
{
    const bool active = activeLeases(server);
    if (!active && !m_probed.contains(server.service)) {
        return false;
    }
    if (server.inFlight) {
        // The shell answers within the grant timeout; much later the answer itself is lost.
        return context.now - *server.sentAt > 4 * context.settings.grantTimeout;
    }
    if (context.now < server.retryAt) {
        return false;
    }
    Milliseconds interval = active ? context.settings.grantInterval : probeInterval;
    if (busyLeases(server)) {
        interval = busyInterval;
    }
    return server.urgent || server.failures == 1 || !server.sentAt || context.now - *server.sentAt >= interval;
}

void ServerLeases::sendBatch(
    const ReduceContext& context, const std::string& id, Server& server, const AuthorityOf& authorityOf)
{
    GrantBatch batch {id, server.address, context.self, server.nonce, {}};
    for (auto& [group, lease] : server.leases) {
        const MonotonicTime deadline = authorityOf(group);
        const Milliseconds left = std::chrono::duration_cast<Milliseconds>(deadline - context.now);
        if (lease.released() || deadline <= context.now || left <= Milliseconds(0)) {
            continue;
        }
        GroupGrant grant {group, lease.term, lease.revision, std::min(lease.length, left), std::nullopt};
        if (lease.sendFull) {
            grant.partitions = lease.partitions;
        }
        if (!server.nonce.empty()) {
            // The server counts the lease from the issue of the nonce, which was before its receipt here.
            const MonotonicTime end = server.nonceReceivedAt + grant.lease + context.settings.driftMargin;
            lease.bound = std::max(lease.bound, end);
        }
        batch.grants.push_back(std::move(grant));
    }
    server.urgent = false;
    server.inFlight = true;
    server.sentAt = context.now;
    context.effects.push_back(SendGrants {std::move(batch)});
}

std::vector<GroupName> ServerLeases::receive(const ReduceContext& context, const GrantAnswered& event)
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
    ++server.failures;
    server.retryAt = context.now + retryAfterFailure;
    // The server may have missed the set, and an extension alone would then be refused.
    for (auto& [group, lease] : server.leases) {
        lease.sendFull = true;
    }
    if (server.failures == failuresOfLostServer) {
        context.log(LogEvent::ServerLost, event.server);
    }
    return staleGroups;
}

void ServerLeases::receiveReply(
    const ReduceContext& context, Server& server, const GrantAnswered& event, std::vector<GroupName>& staleGroups)
{
    if (server.failures >= failuresOfLostServer) {
        context.log(LogEvent::ServerReturned, event.server);
    }
    if (server.incarnation != event.reply->incarnation) {
        server.incarnation = event.reply->incarnation;
        for (auto& [group, lease] : server.leases) {
            lease.sendFull = true;
        }
    }
    // The lease runs from the issue of an old nonce. Renewing it at once with the fresh one keeps at least
    // L - grantInterval of it at any time, which lasts until a standby has taken over.
    const bool nonceWasOld = event.sentAt - server.nonceReceivedAt >= context.settings.grantInterval / 2;
    server.urgent = server.urgent || (nonceWasOld && !event.batch.grants.empty());
    server.failures = 0;
    server.state = event.reply->state;
    server.nonce = event.reply->nonce;
    server.nonceReceivedAt = context.now;
    for (const GroupGrantResult& result : event.reply->results) {
        const auto sent = std::ranges::find(event.batch.grants, result.group, &GroupGrant::group);
        if (sent != event.batch.grants.end()) {
            receiveResult(context, server, *sent, result, staleGroups);
        }
    }
}

void ServerLeases::receiveResult(const ReduceContext& context, Server& server, const GroupGrant& sent,
    const GroupGrantResult& result, std::vector<GroupName>& staleGroups)
{
    const auto it = server.leases.find(result.group);
    if (it == server.leases.end() || it->second.term != sent.term) {
        return;
    }
    Lease& lease = it->second;
    switch (result.status) {
    case GrantStatus::Accepted:
        if (sent.revision == lease.revision) {
            lease.sendFull = false;
            lease.acceptedRevision = sent.revision;
            lease.busy = {result.busy.begin(), result.busy.end()};
        }
        lease.acceptedRevision = std::max(lease.acceptedRevision, sent.revision);
        break;
    case GrantStatus::UnknownNonce:
    case GrantStatus::NeedFull:
        lease.sendFull = true;
        server.urgent = true;
        break;
    case GrantStatus::StaleTerm:
        lease.sendFull = true;
        staleGroups.push_back(result.group);
        context.log(LogEvent::GrantRefused, toText(result.group) + " has term " + std::to_string(result.term));
        break;
    }
}

bool ServerLeases::activeLeases(const Server& server)
{
    return std::ranges::any_of(server.leases, [](const auto& entry) { return !entry.second.released(); });
}

bool ServerLeases::busyLeases(const Server& server)
{
    return std::ranges::any_of(server.leases, [](const auto& entry) { return !entry.second.busy.empty(); });
}

ServerLeases::ServerHealth ServerLeases::health(const std::string& server) const
{
    const auto it = m_servers.find(server);
    if (it == m_servers.end()) {
        return {false, true, ServerState::Serving};
    }
    return {it->second.incarnation != 0, it->second.failures >= failuresOfLostServer, it->second.state};
}

bool ServerLeases::confirmed(const GroupName& group, const std::string& server) const
{
    const Lease* lease = find(group, server);
    return lease != nullptr && lease->acceptedRevision > 0;
}

bool ServerLeases::holds(const GroupName& group, const std::string& server, const GrantedPartition& granted) const
{
    const Lease* lease = find(group, server);
    return lease != nullptr && lease->acceptedRevision == lease->revision
        && std::ranges::find(lease->partitions, granted) != lease->partitions.end();
}

bool ServerLeases::releasedByAnswer(const GroupName& group, const std::string& server, std::uint32_t partition) const
{
    const Lease* lease = find(group, server);
    return lease != nullptr && lease->acceptedRevision == lease->revision && !contains(lease->partitions, partition)
        && !lease->busy.contains(partition);
}

MonotonicTime ServerLeases::bound(const GroupName& group, const std::string& server, std::uint32_t partition) const
{
    const Lease* lease = find(group, server);
    if (lease == nullptr) {
        return {};
    }
    return contains(lease->partitions, partition) ? lease->bound : lease->earlierSetsBound;
}

MonotonicTime ServerLeases::bound(const std::string& server) const
{
    MonotonicTime end;
    const auto it = m_servers.find(server);
    if (it != m_servers.end()) {
        for (const auto& [group, lease] : it->second.leases) {
            end = std::max(end, lease.bound);
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
