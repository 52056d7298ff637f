#pragma once

#include <jasminespread/group_record.h>

#include <peer.pb.h>

#include <cstdint>

namespace jasminespread {

/// @name Conversion between group records and peer messages
/// Views leave out the change id and the fields that only writers of the stored object need.
/// @{
[[nodiscard]] wire::GroupView toView(const GroupRecord& record, std::uint64_t version, std::int64_t servingSinceMs);
[[nodiscard]] GroupRecord fromView(const wire::GroupView& view);
[[nodiscard]] GroupName fromWire(const wire::GroupReference& group);
void toWire(const GroupName& group, wire::GroupReference& out);
/// @}

} // namespace jasminespread
