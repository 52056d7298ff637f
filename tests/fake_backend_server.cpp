#include "fake_backend_server.h"

#include <algorithm>

namespace jasminespread {

GrantReply FakeBackendServer::answer(const GrantBatch& batch, MonotonicTime now)
{
    const std::string issued = std::to_string(incarnation) + "-" + std::to_string(nonces.size());
    GrantReply reply {batch.server, incarnation, issued, state, {}};
    const auto nonce = nonces.find(batch.nonce);
    for (const GroupGrant& grant : batch.grants) {
        if (nonce == nonces.end()) {
            reply.results.push_back({grant.group, GrantStatus::UnknownNonce, 0, 0, {}});
        } else {
            reply.results.push_back(apply(grant, nonce->second, now));
        }
    }
    nonces[issued] = now;
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
    const bool sameSet = grant.term == group.term && grant.revision == group.revision;
    const bool newer = grant.term > group.term || grant.revision > group.revision;
    if (!sameSet && (!newer || !grant.partitions)) {
        result.status = GrantStatus::NeedFull;
        return result;
    }
    if (newer) {
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
