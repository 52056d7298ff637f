#pragma once

#include <jasminespread/grant.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jasminespread::standins {

/// Ownership under which a request was routed: the partition of its key with the granting term and fencing token.
struct PartitionClaim {
    GroupName group;
    std::uint64_t term = 0;
    std::uint32_t partition = 0;
    std::uint64_t token = 0;
    bool repeatable = false;
};

enum class ClaimResult : std::uint8_t { Valid, NotOwner, NoLease };

/// Grants held by a backend server. Does no I/O and reads no clock: times are arguments. Not thread-safe.
///
/// A partition withdrawn by a grant accepts no new requests. Requests already running for it may still commit until the
/// lease in force at the withdrawal ends; later renewals do not extend that lease. The partition is reported as busy
/// until those requests end.
class GrantLedger {
public:
    /// Nonces stored per granter incarnation; at one renewal every 500 ms they cover 32 s, far longer than a lease.
    static constexpr std::size_t noncesPerGranter = 64;
    /// Bounds memory when granters restart often.
    static constexpr std::size_t maxGranters = 256;

    /// @param makeNonce returns a different text on every call.
    GrantLedger(std::string server, std::uint64_t incarnation, std::function<std::string()> makeNonce);

    /// Applies a grant message received at @p now. The returned reply contains a new nonce issued at @p now.
    [[nodiscard]] GrantReply apply(const GrantBatch& batch, ServerState state, MonotonicTime now);
    /// Returns whether a request with @p claim may start at @p now. A non-repeatable request must carry the term of the
    /// lease, because a superseded primary does not know which request ids its successor has executed.
    [[nodiscard]] ClaimResult checkStart(const PartitionClaim& claim, MonotonicTime now) const;
    /// Counts a request as running. Precondition: checkStart() returned Valid. Ended by finishRequest() with the same
    /// claim.
    void beginRequest(const PartitionClaim& claim);
    /// Returns whether a running request with @p claim may commit at @p now.
    [[nodiscard]] ClaimResult checkCommit(const PartitionClaim& claim, MonotonicTime now) const;
    /// Ends a request counted by beginRequest().
    void finishRequest(const PartitionClaim& claim);

private:
    using GranterIncarnation = std::pair<std::string, std::uint64_t>;

    struct CurrentGrant {
        std::uint64_t term = 0;
        std::uint64_t revision = 0;
        MonotonicTime leaseEnd;
        std::map<std::uint32_t, std::uint64_t> tokens; ///< By partition.
    };
    struct WithdrawnPartition {
        std::uint64_t token = 0;
        MonotonicTime leaseEnd;
    };
    struct GroupState {
        CurrentGrant currentGrant;
        std::map<std::uint32_t, WithdrawnPartition> withdrawnPartitions; ///< Only partitions with running requests.
        std::map<std::uint32_t, std::size_t> runningRequests; ///< Number of requests by partition.
    };
    struct Nonce {
        std::string text;
        MonotonicTime issuedAt;
    };

    [[nodiscard]] std::optional<MonotonicTime> nonceIssueTime(
        const InstanceReference& granter, const std::string& nonce) const;
    std::string issueNonce(const InstanceReference& granter, MonotonicTime now);
    [[nodiscard]] static GrantStatus applyGrant(
        const GroupGrant& grant, const std::optional<MonotonicTime>& issuedAt, GroupState& group);
    static void replacePartitions(const GroupGrant& grant, GroupState& group);
    [[nodiscard]] const GroupState* findGroup(const GroupName& name) const;
    [[nodiscard]] ClaimResult checkCurrentGrant(const PartitionClaim& claim, MonotonicTime now) const;

    std::string m_server;
    std::uint64_t m_incarnation;
    std::function<std::string()> m_makeNonce;
    std::map<std::string, GroupState> m_groups; ///< By toText() of the group name.
    std::map<GranterIncarnation, std::deque<Nonce>> m_nonces; ///< Oldest first.
};

} // namespace jasminespread::standins
