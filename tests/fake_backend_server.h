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
    /// What one group granted.
    struct GroupLease {
        std::uint64_t term = 0;
        std::uint64_t revision = 0;
        MonotonicTime leaseUntil;
        std::map<std::uint32_t, std::uint64_t> tokens;
    };

    std::uint64_t incarnation = 1;
    bool running = true;
    bool frozen = false; ///< Neither reads nor answers; messages wait.
    ServerState state = ServerState::Serving;
    std::map<std::string, MonotonicTime> nonces; ///< With the time of issue.
    std::map<GroupName, GroupLease> groupLeases;
    std::map<std::uint32_t, MonotonicTime> busyUntil; ///< Requests in flight, by partition.
    std::vector<std::function<void()>> pendingMessages;

    [[nodiscard]] GrantReply answer(const GrantBatch& batch, MonotonicTime now);

private:
    [[nodiscard]] GroupGrantResult apply(const GroupGrant& grant, MonotonicTime issuedAt, MonotonicTime now);
};

} // namespace jasminespread
