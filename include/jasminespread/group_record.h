#pragma once

#include <jasminespread/error.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminespread {

/// Names a placement group: a service and an index below its number of groups.
struct GroupName {
    std::string service;
    std::uint32_t index = 0;

    // clang-tidy takes the 0 in the rewritten `<` expression for a null pointer.
    auto operator<=>(const GroupName&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Text form "<service>.<index>", used as the object's name in the store. Thread-safe.
[[nodiscard]] std::string toText(const GroupName& name);
/// Parses the text form; nothing when it is malformed. Thread-safe.
[[nodiscard]] std::optional<GroupName> parseGroupName(std::string_view text);

/// One run of an instance's process: the instance id and the incarnation drawn at process start.
struct InstanceReference {
    std::string id;
    std::uint64_t incarnation = 0;

    // clang-tidy takes the 0 in the rewritten `<` expression for a null pointer.
    auto operator<=>(const InstanceReference&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Owner and fencing token of one partition. An empty owner means that no server owns it.
struct PartitionAssignment {
    std::uint32_t partition = 0;
    std::string owner;
    std::uint64_t token = 0;

    bool operator==(const PartitionAssignment&) const = default;
};

/// Stored state of one placement group. Changed only by conditional writes.
struct GroupRecord {
    GroupName group;
    std::string homeRegion;
    std::uint64_t term = 0;
    InstanceReference primary;
    std::optional<InstanceReference> standby;
    std::uint64_t nextToken = 1;
    std::vector<PartitionAssignment> partitions; ///< Sorted by partition.
    std::map<std::string, std::uint32_t> overrides; ///< Dedicated partition of each hot key.
    /// Servers that have accepted no grant since a takeover by an instance that was not the standby. A superseded
    /// primary may extend their leases until the extension limit, so later primaries must wait for them as well.
    std::vector<std::string> unconfirmedServers;
    /// Ids of the superseded instances that may extend those leases; empty when unconfirmedServers is.
    std::vector<std::string> possibleGranters;
    std::string changeId; ///< Id of the last change; tells after a lost answer whether the write took effect.

    bool operator==(const GroupRecord&) const = default;
};

/// Encodes the JSON text of the stored object. Thread-safe.
[[nodiscard]] std::string encodeGroupRecord(const GroupRecord& record);
/// Decodes the JSON text of the stored object. Fails with InvalidInput. Thread-safe.
[[nodiscard]] Result<GroupRecord> decodeGroupRecord(std::string_view text);

} // namespace jasminespread
