#pragma once

#include "control/reduce_context.h"

#include <jasminespread/object_store.h>

#include <optional>

namespace jasminespread {

/// Decides when to read the list of all group objects from the store.
class GroupReader {
public:
    /// Starts a read if one is due. @p readNeeded: poll every storePollInterval; @p readNeededNow: read at once
    /// and, while the store is available, again every 100 ms.
    void tick(const ReduceContext& context, bool readNeeded, bool readNeededNow);
    /// Handles the end of a read; logs when the store becomes available or unavailable.
    void listFinished(const ReduceContext& context, StoreStatus status);
    /// True when at least one read since the start succeeded.
    [[nodiscard]] bool succeeded() const noexcept { return m_succeeded; }

private:
    std::optional<MonotonicTime> m_startedAt;
    bool m_inFlight = false;
    bool m_succeeded = false;
    bool m_available = true;
};

} // namespace jasminespread
