#pragma once

#include <jasminespread/enum_names.h>
#include <jasminespread/error.h>
#include <jasminespread/group_record.h>
#include <jasminespread/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminespread {

struct GrantedPartition {
    std::uint32_t partition = 0;
    std::uint64_t token = 0;

    bool operator==(const GrantedPartition&) const = default;
};

/// Grant of one group's partitions to one backend server.
struct GroupGrant {
    GroupName group;
    std::uint64_t term = 0;
    std::uint64_t revision = 0; ///< Increases within a term whenever the set of partitions changes.
    Milliseconds lease {0}; ///< The server counts it from the time at which it issued the echoed nonce.
    /// All granted partitions; absent to extend the lease of the set of this revision.
    std::optional<std::vector<GrantedPartition>> partitions;

    bool operator==(const GroupGrant&) const = default;
};

/// All grants of one primary to one server in one message.
struct GrantBatch {
    std::string server;
    std::string address;
    InstanceReference granter;
    std::string nonce; ///< Newest nonce received from the server; empty on first contact.
    std::vector<GroupGrant> grants;

    bool operator==(const GrantBatch&) const = default;
};

enum class GrantStatus : std::uint8_t {
    Accepted,
    StaleTerm, ///< The server has accepted a higher term.
    UnknownNonce, ///< Repeat with the nonce of this reply.
    NeedFull ///< The server does not hold this revision; repeat with the whole set.
};

inline constexpr std::array<EnumName<GrantStatus>, 4> grantStatusNames {{
    {GrantStatus::Accepted, "accepted"},
    {GrantStatus::StaleTerm, "stale-term"},
    {GrantStatus::UnknownNonce, "unknown-nonce"},
    {GrantStatus::NeedFull, "need-full"},
}};

struct GroupGrantResult {
    GroupName group;
    GrantStatus status = GrantStatus::Accepted;
    std::uint64_t term = 0; ///< Highest term that the server accepted.
    std::uint64_t revision = 0; ///< Revision that the server holds in that term.
    std::vector<std::uint32_t> busy; ///< Partitions no longer granted that still have requests in flight.

    bool operator==(const GroupGrantResult&) const = default;
};

/// State that a backend server reports about itself.
enum class ServerState : std::uint8_t { Serving, Draining, Cold };

inline constexpr std::array<EnumName<ServerState>, 3> serverStateNames {{
    {ServerState::Serving, "serving"},
    {ServerState::Draining, "draining"},
    {ServerState::Cold, "cold"},
}};

struct GrantReply {
    std::string server;
    std::uint64_t incarnation = 0;
    std::string nonce; ///< Issued by the server while it handled this message.
    ServerState state = ServerState::Serving;
    std::vector<GroupGrantResult> results;

    bool operator==(const GrantReply&) const = default;
};

/// @name JSON codec of the grant messages
/// Decoding fails with InvalidInput. All functions are thread-safe.
/// @{
[[nodiscard]] std::string encodeGrantBatch(const GrantBatch& batch);
[[nodiscard]] Result<GrantBatch> decodeGrantBatch(std::string_view text);
[[nodiscard]] std::string encodeGrantReply(const GrantReply& reply);
[[nodiscard]] Result<GrantReply> decodeGrantReply(std::string_view text);
/// @}

} // namespace jasminespread
