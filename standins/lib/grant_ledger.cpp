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
    const std::optional<MonotonicTime> issuedAt = issueTime(batch.granter, batch.nonce);
    GrantReply reply;
    reply.server = m_server;
    reply.incarnation = m_incarnation;
    reply.state = state;
    for (const GroupGrant& grant : batch.grants) {
        Group& group = m_groups[toText(grant.group)];
        const GrantStatus status = applyGrant(grant, issuedAt, group);
        std::vector<std::uint32_t> busy;
        for (const auto& [partition, withdrawn] : group.withdrawn) {
            busy.push_back(partition);
        }
        reply.results.push_back({grant.group, status, group.holding.term, group.holding.revision, std::move(busy)});
    }
    reply.nonce = issueNonce(batch.granter, now);
    return reply;
}

GrantStatus GrantLedger::applyGrant(const GroupGrant& grant, const std::optional<MonotonicTime>& issuedAt, Group& group)
{
    Holding& holding = group.holding;
    if (grant.term < holding.term) {
        return GrantStatus::StaleTerm;
    }
    if (!issuedAt) {
        return GrantStatus::UnknownNonce;
    }
    const bool held = grant.term == holding.term && grant.revision == holding.revision;
    // A set of an older revision of the term is a delayed message; applying it would restore withdrawn partitions.
    const bool overtaken = grant.term == holding.term && grant.revision < holding.revision;
    if (overtaken || (!grant.partitions && !held)) {
        return GrantStatus::NeedFull;
    }
    const MonotonicTime leaseUntil = *issuedAt + grant.lease;
    if (grant.partitions) {
        replaceSet(grant, group);
    }
    holding.leaseUntil = grant.term == holding.term ? std::max(holding.leaseUntil, leaseUntil) : leaseUntil;
    holding.term = grant.term;
    holding.revision = grant.revision;
    return GrantStatus::Accepted;
}

void GrantLedger::replaceSet(const GroupGrant& grant, Group& group)
{
    std::map<std::uint32_t, std::uint64_t> tokens;
    for (const GrantedPartition& partition : *grant.partitions) {
        tokens[partition.partition] = partition.token;
        group.withdrawn.erase(partition.partition);
    }
    for (const auto& [partition, token] : group.holding.tokens) {
        if (!tokens.contains(partition) && group.running.contains(partition)) {
            group.withdrawn[partition] = {token, group.holding.leaseUntil};
        }
    }
    group.holding.tokens = std::move(tokens);
}

const GrantLedger::Group* GrantLedger::find(const GroupName& name) const
{
    const auto group = m_groups.find(toText(name));
    return group == m_groups.end() ? nullptr : &group->second;
}

ClaimResult GrantLedger::check(const PartitionClaim& claim, MonotonicTime now) const
{
    const Group* group = find(claim.group);
    if (!claim.repeatable && group != nullptr && group->holding.term != claim.term) {
        return ClaimResult::NotOwner;
    }
    return checkHolding(claim, now);
}

ClaimResult GrantLedger::checkHolding(const PartitionClaim& claim, MonotonicTime now) const
{
    const Group* group = find(claim.group);
    if (group == nullptr || group->holding.term == 0) {
        return ClaimResult::NoLease;
    }
    const auto token = group->holding.tokens.find(claim.partition);
    if (token == group->holding.tokens.end() || token->second != claim.token) {
        return ClaimResult::NotOwner;
    }
    return now < group->holding.leaseUntil ? ClaimResult::Valid : ClaimResult::NoLease;
}

ClaimResult GrantLedger::checkCommit(const PartitionClaim& claim, MonotonicTime now) const
{
    const Group* group = find(claim.group);
    if (group != nullptr) {
        const auto withdrawn = group->withdrawn.find(claim.partition);
        if (withdrawn != group->withdrawn.end() && withdrawn->second.token == claim.token) {
            return now < withdrawn->second.leaseUntil ? ClaimResult::Valid : ClaimResult::NoLease;
        }
    }
    return checkHolding(claim, now);
}

void GrantLedger::begin(const PartitionClaim& claim) { ++m_groups[toText(claim.group)].running[claim.partition]; }

void GrantLedger::finish(const PartitionClaim& claim)
{
    Group& group = m_groups[toText(claim.group)];
    const auto running = group.running.find(claim.partition);
    if (running != group.running.end() && --running->second == 0) {
        group.running.erase(running);
        group.withdrawn.erase(claim.partition);
    }
}

std::optional<MonotonicTime> GrantLedger::issueTime(const InstanceReference& granter, const std::string& nonce) const
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
    const GranterKey key {granter.id, granter.incarnation};
    if (!m_nonces.contains(key) && m_nonces.size() == maxGranters) {
        const auto oldest = std::min_element(m_nonces.begin(), m_nonces.end(), [](const auto& left, const auto& right) {
            return left.second.back().issuedAt < right.second.back().issuedAt;
        });
        m_nonces.erase(oldest);
    }
    std::deque<Nonce>& nonces = m_nonces[key];
    nonces.push_back({m_makeNonce(), now});
    if (nonces.size() > noncesPerGranter) {
        nonces.pop_front();
    }
    return nonces.back().text;
}

} // namespace jasminespread::standins
