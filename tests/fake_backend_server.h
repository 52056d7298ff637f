#pragma once

#include <jasminespread/grant.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jasminespread {

/// A backend server that checks terms, revisions, nonces and leases of grants.
struct FakeBackendServer {
    /// Lease and partitions granted by the primary of one group.
    struct GroupLease {
        std::uint64_t term = 0;
        std::uint64_t revision = 0;
        MonotonicTime leaseUntil;
        std::map<std::uint32_t, std::uint64_t> tokens;
    };

    std::uint64_t incarnation = 1;
    bool running = true;
    bool frozen = false; ///< Neither reads nor answers; messages are held back.
    ServerState state = ServerState::Serving;
    std::map<std::string, MonotonicTime> nonces; ///< Time of issue by nonce.
    std::map<GroupName, GroupLease> groupLeases;
    std::map<std::uint32_t, MonotonicTime> busyUntil; ///< End of requests in flight, by partition.
    std::vector<std::function<void()>> pendingMessages;

    [[nodiscard]] GrantReply answer(const GrantBatch& batch, MonotonicTime now);

private:
    [[nodiscard]] GroupGrantResult apply(const GroupGrant& grant, MonotonicTime issuedAt, MonotonicTime now);
};

} // namespace jasminespread
