#include "fake_backend_server.h"

#include <algorithm>

namespace jasminespread {

GrantReply FakeBackendServer::answer(const GrantBatch& batch, MonotonicTime now)
{
    const std::string issuedNonce = std::to_string(incarnation) + "-" + std::to_string(nonces.size());
    GrantReply reply {batch.server, incarnation, issuedNonce, state, {}};
    const auto nonce = nonces.find(batch.nonce);
    for (const GroupGrant& grant : batch.grants) {
        if (nonce == nonces.end()) {
            reply.results.push_back({grant.group, GrantStatus::UnknownNonce, 0, 0, {}});
        } else {
            reply.results.push_back(apply(grant, nonce->second, now));
        }
    }
    nonces[issuedNonce] = now;
    return reply;
}

GroupGrantResult FakeBackendServer::apply(const GroupGrant& grant, MonotonicTime issuedAt, MonotonicTime now)
{
    GroupLease& group = groupLeases[grant.group];
    GroupGrantResult result {grant.group, GrantStatus::Accepted, group.term, group.revision, {}};
    if (grant.term < group.term) {
        result.status = GrantStatus::StaleTerm;
        return result;
    }
    const bool sameRevision = grant.term == group.term && grant.revision == group.revision;
    const bool isNewer = grant.term > group.term || grant.revision > group.revision;
    if (!sameRevision && (!isNewer || !grant.partitions)) {
        result.status = GrantStatus::NeedFull;
        return result;
    }
    if (isNewer) {
        group = {grant.term, grant.revision, {}, {}};
        for (const GrantedPartition& partition : *grant.partitions) {
            group.tokens[partition.partition] = partition.token;
        }
    }
    group.leaseUntil = std::max(group.leaseUntil, issuedAt + grant.lease);
    for (const auto& [partition, until] : busyUntil) {
        if (until > now && !group.tokens.contains(partition)) {
            result.busy.push_back(partition);
        }
    }
    result.term = group.term;
    result.revision = group.revision;
    return result;
}

} // namespace jasminespread
