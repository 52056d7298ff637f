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
        Holding& holding = m_holdings[grant.group];
        const GrantStatus status = applyGrant(grant, issuedAt, holding);
        reply.results.push_back({grant.group, status, holding.term, holding.revision, busyPartitions(grant.group)});
    }
    reply.nonce = issueNonce(batch.granter, now);
    return reply;
}

GrantStatus GrantLedger::applyGrant(
    const GroupGrant& grant, const std::optional<MonotonicTime>& issuedAt, Holding& holding)
{
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
        replaceSet(grant, holding);
    }
    holding.leaseUntil = grant.term == holding.term ? std::max(holding.leaseUntil, leaseUntil) : leaseUntil;
    holding.term = grant.term;
    holding.revision = grant.revision;
    return GrantStatus::Accepted;
}

void GrantLedger::replaceSet(const GroupGrant& grant, Holding& holding)
{
    std::map<std::uint32_t, std::uint64_t> tokens;
    for (const GrantedPartition& partition : *grant.partitions) {
        tokens[partition.partition] = partition.token;
        const auto withdrawn = m_withdrawn.find({grant.group, partition.partition});
        if (withdrawn != m_withdrawn.end()) {
            m_withdrawn.erase(withdrawn);
        }
    }
    for (const auto& [partition, token] : holding.tokens) {
        if (!tokens.contains(partition) && m_running.contains({grant.group, partition})) {
            m_withdrawn[{grant.group, partition}] = {token, holding.leaseUntil};
        }
    }
    holding.tokens = std::move(tokens);
}

ClaimResult GrantLedger::check(const PartitionClaim& claim, MonotonicTime now) const
{
    const auto holding = m_holdings.find(claim.group);
    if (holding == m_holdings.end() || holding->second.term == 0) {
        return ClaimResult::NoLease;
    }
    const auto token = holding->second.tokens.find(claim.partition);
    if (token == holding->second.tokens.end() || token->second != claim.token) {
        return ClaimResult::NotOwner;
    }
    return now < holding->second.leaseUntil ? ClaimResult::Valid : ClaimResult::NoLease;
}

ClaimResult GrantLedger::checkCommit(const PartitionClaim& claim, MonotonicTime now) const
{
    const auto withdrawn = m_withdrawn.find({claim.group, claim.partition});
    if (withdrawn != m_withdrawn.end() && withdrawn->second.token == claim.token) {
        return now < withdrawn->second.leaseUntil ? ClaimResult::Valid : ClaimResult::NoLease;
    }
    return check(claim, now);
}

void GrantLedger::begin(const PartitionClaim& claim) { ++m_running[{claim.group, claim.partition}]; }

void GrantLedger::finish(const PartitionClaim& claim)
{
    const PartitionKey key {claim.group, claim.partition};
    const auto running = m_running.find(key);
    if (running != m_running.end() && --running->second == 0) {
        m_running.erase(running);
        m_withdrawn.erase(key);
    }
}

std::vector<std::uint32_t> GrantLedger::busyPartitions(const GroupName& group) const
{
    std::vector<std::uint32_t> busy;
    for (auto it = m_withdrawn.lower_bound({group, 0}); it != m_withdrawn.end() && it->first.first == group; ++it) {
        busy.push_back(it->first.second);
    }
    return busy;
}

std::optional<MonotonicTime> GrantLedger::issueTime(const InstanceReference& granter, const std::string& nonce) const
{
    const auto nonces = m_nonces.find(granter);
    if (nonces == m_nonces.end()) {
        return std::nullopt;
    }
    const auto it = std::find_if(
        nonces->second.begin(), nonces->second.end(), [&](const Nonce& candidate) { return candidate.text == nonce; });
    return it == nonces->second.end() ? std::nullopt : std::optional<MonotonicTime>(it->issuedAt);
}

std::string GrantLedger::issueNonce(const InstanceReference& granter, MonotonicTime now)
{
    if (!m_nonces.contains(granter) && m_nonces.size() == maxGranters) {
        const auto oldest = std::min_element(m_nonces.begin(), m_nonces.end(), [](const auto& left, const auto& right) {
            return left.second.back().issuedAt < right.second.back().issuedAt;
        });
        m_nonces.erase(oldest);
    }
    std::deque<Nonce>& nonces = m_nonces[granter];
    nonces.push_back({m_makeNonce(), now});
    if (nonces.size() > noncesPerGranter) {
        nonces.pop_front();
    }
    return nonces.back().text;
}

} // namespace jasminespread::standins
