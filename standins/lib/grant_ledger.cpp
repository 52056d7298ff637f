#include <grant_ledger.h>

#include <algorithm>

namespace jasminespread::standins {

GrantLedger::GrantLedger(std::string server, std::uint64_t incarnation, std::function<std::string()> makeNonce)
    : m_server(std::move(server))
    , m_incarnation(incarnation)
    , m_makeNonce(std::move(makeNonce))
{
}

GrantReply GrantLedger::apply(const GrantBatch& batch, ServerState state, MonotonicTime now)
{
    const std::optional<MonotonicTime> issuedAt = nonceIssueTime(batch.granter, batch.nonce);
    GrantReply reply;
    reply.server = m_server;
    reply.incarnation = m_incarnation;
    reply.state = state;
    for (const GroupGrant& grant : batch.grants) {
        GroupState& group = m_groups[toText(grant.group)];
        const GrantStatus status = applyGrant(grant, issuedAt, group);
        std::vector<std::uint32_t> busy;
        for (const auto& [partition, withdrawal] : group.withdrawnPartitions) {
            busy.push_back(partition);
        }
        reply.results.push_back(
            {grant.group, status, group.currentGrant.term, group.currentGrant.revision, std::move(busy)});
    }
    reply.nonce = issueNonce(batch.granter, now);
    return reply;
}

GrantStatus GrantLedger::applyGrant(
    const GroupGrant& grant, const std::optional<MonotonicTime>& issuedAt, GroupState& group)
{
    CurrentGrant& currentGrant = group.currentGrant;
    if (grant.term < currentGrant.term) {
        return GrantStatus::StaleTerm;
    }
    if (!issuedAt) {
        return GrantStatus::UnknownNonce;
    }
    const bool isCurrentRevision = grant.term == currentGrant.term && grant.revision == currentGrant.revision;
    // An older revision of the same term comes from a delayed message; applying it would restore withdrawn partitions.
    const bool isOlderRevision = grant.term == currentGrant.term && grant.revision < currentGrant.revision;
    if (isOlderRevision || (!grant.partitions && !isCurrentRevision)) {
        return GrantStatus::NeedFull;
    }
    const MonotonicTime leaseEnd = *issuedAt + grant.lease;
    if (grant.partitions) {
        replacePartitions(grant, group);
    }
    currentGrant.leaseEnd = grant.term == currentGrant.term ? std::max(currentGrant.leaseEnd, leaseEnd) : leaseEnd;
    currentGrant.term = grant.term;
    currentGrant.revision = grant.revision;
    return GrantStatus::Accepted;
}

void GrantLedger::replacePartitions(const GroupGrant& grant, GroupState& group)
{
    std::map<std::uint32_t, std::uint64_t> tokens;
    for (const GrantedPartition& partition : *grant.partitions) {
        tokens[partition.partition] = partition.token;
        group.withdrawnPartitions.erase(partition.partition);
    }
    for (const auto& [partition, token] : group.currentGrant.tokens) {
        if (!tokens.contains(partition) && group.runningRequests.contains(partition)) {
            group.withdrawnPartitions[partition] = {token, group.currentGrant.leaseEnd};
        }
    }
    group.currentGrant.tokens = std::move(tokens);
}

const GrantLedger::GroupState* GrantLedger::findGroup(const GroupName& name) const
{
    const auto group = m_groups.find(toText(name));
    return group == m_groups.end() ? nullptr : &group->second;
}

ClaimResult GrantLedger::checkStart(const PartitionClaim& claim, MonotonicTime now) const
{
    const GroupState* group = findGroup(claim.group);
    if (!claim.repeatable && group != nullptr && group->currentGrant.term != claim.term) {
        return ClaimResult::NotOwner;
    }
    return checkCurrentGrant(claim, now);
}

ClaimResult GrantLedger::checkCurrentGrant(const PartitionClaim& claim, MonotonicTime now) const
{
    const GroupState* group = findGroup(claim.group);
    if (group == nullptr || group->currentGrant.term == 0) {
        return ClaimResult::NoLease;
    }
    const auto token = group->currentGrant.tokens.find(claim.partition);
    if (token == group->currentGrant.tokens.end() || token->second != claim.token) {
        return ClaimResult::NotOwner;
    }
    return now < group->currentGrant.leaseEnd ? ClaimResult::Valid : ClaimResult::NoLease;
}

ClaimResult GrantLedger::checkCommit(const PartitionClaim& claim, MonotonicTime now) const
{
    const GroupState* group = findGroup(claim.group);
    if (group != nullptr) {
        const auto withdrawal = group->withdrawnPartitions.find(claim.partition);
        if (withdrawal != group->withdrawnPartitions.end() && withdrawal->second.token == claim.token) {
            return now < withdrawal->second.leaseEnd ? ClaimResult::Valid : ClaimResult::NoLease;
        }
    }
    return checkCurrentGrant(claim, now);
}

void GrantLedger::beginRequest(const PartitionClaim& claim)
{
    ++m_groups[toText(claim.group)].runningRequests[claim.partition];
}

void GrantLedger::finishRequest(const PartitionClaim& claim)
{
    GroupState& group = m_groups[toText(claim.group)];
    const auto requestCount = group.runningRequests.find(claim.partition);
    if (requestCount != group.runningRequests.end() && --requestCount->second == 0) {
        group.runningRequests.erase(requestCount);
        group.withdrawnPartitions.erase(claim.partition);
    }
}

std::optional<MonotonicTime> GrantLedger::nonceIssueTime(
    const InstanceReference& granter, const std::string& nonce) const
{
    const auto nonces = m_nonces.find({granter.id, granter.incarnation});
    if (nonces == m_nonces.end()) {
        return std::nullopt;
    }
    const auto it = std::find_if(
        nonces->second.begin(), nonces->second.end(), [&](const Nonce& candidate) { return candidate.text == nonce; });
    return it == nonces->second.end() ? std::nullopt : std::optional<MonotonicTime>(it->issuedAt);
}

std::string GrantLedger::issueNonce(const InstanceReference& granter, MonotonicTime now)
{
    const GranterIncarnation granterIncarnation {granter.id, granter.incarnation};
    if (!m_nonces.contains(granterIncarnation) && m_nonces.size() == maxGranters) {
        const auto oldest = std::min_element(m_nonces.begin(), m_nonces.end(), [](const auto& left, const auto& right) {
            return left.second.back().issuedAt < right.second.back().issuedAt;
        });
        m_nonces.erase(oldest);
    }
    std::deque<Nonce>& nonces = m_nonces[granterIncarnation];
    nonces.push_back({m_makeNonce(), now});
    if (nonces.size() > noncesPerGranter) {
        nonces.pop_front();
    }
    return nonces.back().text;
}

} // namespace jasminespread::standins
