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

    // The check takes the 0 of a rewritten `<` for a null pointer.
    auto operator<=>(const GroupName&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Text form "<service>.<index>", used as the object's name in the store. Thread-safe.
[[nodiscard]] std::string toText(const GroupName& name);
/// Parses the text form; nothing when it is malformed. Thread-safe.
[[nodiscard]] std::optional<GroupName> parseGroupName(std::string_view text);

/// An instance in one of its lives.
struct InstanceReference {
    std::string id;
    std::uint64_t incarnation = 0;

    // The check takes the 0 of a rewritten `<` for a null pointer.
    auto operator<=>(const InstanceReference&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Owner and fence token of one partition. An empty owner means that nobody owns it.
struct PartitionAssignment {
    std::uint32_t partition = 0;
    std::string owner;
    std::uint64_t token = 0;

    bool operator==(const PartitionAssignment&) const = default;
};

/// The store's object of one placement group. Changed only by conditional update.
struct GroupRecord {
    GroupName group;
    std::string homeRegion;
    std::uint64_t term = 0;
    InstanceReference primary;
    std::optional<InstanceReference> standby;
    std::uint64_t nextToken = 1;
    std::vector<PartitionAssignment> partitions; ///< Sorted by partition.
    std::map<std::string, std::uint32_t> overrides; ///< Hot key to its own partition.
    /// Servers that have accepted no grant since a takeover by an instance that was not the standby. A superseded
    /// primary may extend their leases until the extension limit, so later primaries must wait for them as well.
    std::vector<std::string> unconfirmedServers;
    /// Ids of the superseded instances that may extend those leases; empty when unconfirmedServers is.
    std::vector<std::string> possibleGranters;
    std::string changeId; ///< Written by the last change; resolves a lost answer.

    bool operator==(const GroupRecord&) const = default;
};

/// Encodes as the JSON text kept in the store. Thread-safe.
[[nodiscard]] std::string encodeGroupRecord(const GroupRecord& record);
/// Decodes the JSON text kept in the store. Fails with InvalidInput. Thread-safe.
[[nodiscard]] Result<GroupRecord> decodeGroupRecord(std::string_view text);

} // namespace jasminespread
