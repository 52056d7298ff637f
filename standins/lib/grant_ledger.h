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

/// What a request claims about the partition of its key.
struct PartitionClaim {
    GroupName group;
    std::uint64_t term = 0;
    std::uint32_t partition = 0;
    std::uint64_t token = 0;
    bool repeatable = false;
};

enum class ClaimResult : std::uint8_t { Valid, NotOwner, NoLease };

/// Grants that a backend server holds. Pure: times are arguments. Not thread-safe.
///
/// A partition that a grant withdraws takes no new requests. Requests that already run for it may still commit until
/// the lease that held at the withdrawal ends; later renewals do not extend it. Until they end the partition is
/// reported busy.
class GrantLedger {
public:
    /// Nonces kept per granter incarnation; at one renewal every 500 ms they reach back 32 s, far beyond a lease.
    static constexpr std::size_t noncesPerGranter = 64;
    /// Bounds memory against granters that restart often.
    static constexpr std::size_t maxGranters = 256;

    /// @param makeNonce returns a text that it never returned before.
    GrantLedger(std::string server, std::uint64_t incarnation, std::function<std::string()> makeNonce);

    /// Applies a grant message received at @p now and returns the reply, with a fresh nonce issued at @p now.
    [[nodiscard]] GrantReply apply(const GrantBatch& batch, ServerState state, MonotonicTime now);
    /// Tells whether a request with @p claim may start at @p now. One that may not be repeated must carry the term of
    /// the lease: a superseded primary does not know which ids its successor ran.
    [[nodiscard]] ClaimResult check(const PartitionClaim& claim, MonotonicTime now) const;
    /// Marks a request as running after a valid check. Ended by finish() with the same claim.
    void begin(const PartitionClaim& claim);
    /// Tells whether a running request with @p claim may commit at @p now.
    [[nodiscard]] ClaimResult checkCommit(const PartitionClaim& claim, MonotonicTime now) const;
    void finish(const PartitionClaim& claim);

private:
    using GranterKey = std::pair<std::string, std::uint64_t>;

    struct Holding {
        std::uint64_t term = 0;
        std::uint64_t revision = 0;
        MonotonicTime leaseUntil;
        std::map<std::uint32_t, std::uint64_t> tokens; ///< By partition.
    };
    struct Withdrawn {
        std::uint64_t token = 0;
        MonotonicTime leaseUntil;
    };
    struct Group {
        Holding holding;
        std::map<std::uint32_t, Withdrawn> withdrawn; ///< Only partitions with running requests.
        std::map<std::uint32_t, std::size_t> running; ///< Requests by partition.
    };
    struct Nonce {
        std::string text;
        MonotonicTime issuedAt;
    };

    [[nodiscard]] std::optional<MonotonicTime> issueTime(
        const InstanceReference& granter, const std::string& nonce) const;
    std::string issueNonce(const InstanceReference& granter, MonotonicTime now);
    [[nodiscard]] static GrantStatus applyGrant(
        const GroupGrant& grant, const std::optional<MonotonicTime>& issuedAt, Group& group);
    static void replaceSet(const GroupGrant& grant, Group& group);
    [[nodiscard]] const Group* find(const GroupName& name) const;
    [[nodiscard]] ClaimResult checkHolding(const PartitionClaim& claim, MonotonicTime now) const;

    std::string m_server;
    std::uint64_t m_incarnation;
    std::function<std::string()> m_makeNonce;
    std::map<std::string, Group> m_groups; ///< By text form of the name.
    std::map<GranterKey, std::deque<Nonce>> m_nonces; ///< Oldest first.
};

} // namespace jasminespread::standins
