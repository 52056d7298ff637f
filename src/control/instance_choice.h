#pragma once

#include "control/reduce_context.h"

#include <jasminespread/group_record.h>

#include <cstddef>
#include <optional>
#include <string>

namespace jasminespread {

/// Returns the number of live and ready instances of this region that rank before this instance for the group.
[[nodiscard]] std::size_t rankInRegion(const ReduceContext& context, const GroupName& group);
/// Returns the best standby in @p region for a group whose primary is @p primary: an instance that is live, ready and
/// not leaving, if possible in another failure domain than the primary. Returns nothing if there is no such instance.
[[nodiscard]] std::optional<InstanceReference> chooseStandby(
    const ReduceContext& context, const GroupName& group, const std::string& region, const InstanceReference& primary);

} // namespace jasminespread
