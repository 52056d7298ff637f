#pragma once

#include "control/reduce_context.h"

#include <jasminespread/group_record.h>

#include <cstddef>
#include <optional>
#include <string>

namespace jasminespread {

/// Number of live and ready instances of this instance's region that rank before it for the group.
[[nodiscard]] std::size_t rankInRegion(const ReduceContext& context, const GroupName& group);
/// The best standby in the region for a group whose primary is @p primary: live, ready and not leaving, if possible
/// in another failure domain than the primary. Nothing when there is none.
[[nodiscard]] std::optional<InstanceReference> chooseStandby(
    const ReduceContext& context, const GroupName& group, const std::string& region, const InstanceReference& primary);

} // namespace jasminespread
