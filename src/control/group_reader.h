#pragma once

#include "control/reduce_context.h"

#include <jasminespread/object_store.h>

#include <optional>

namespace jasminespread {

/// Decides when the list of all group objects is read.
class GroupReader {
public:
    /// Starts a read when one is due. @p wanted: poll at storePollInterval; @p urgent: read at once.
    void tick(const ReduceContext& context, bool wanted, bool urgent);
    /// Notes the end of a read and logs when the store stops or starts to answer.
    void listFinished(const ReduceContext& context, StoreStatus status);
    /// True when a list was read successfully since the start.
    [[nodiscard]] bool succeeded() const noexcept { return m_succeeded; }

private:
    std::optional<MonotonicTime> m_startedAt;
    bool m_inFlight = false;
    bool m_succeeded = false;
    bool m_available = true;
};

} // namespace jasminespread
