#pragma once

#include "control/reduce_context.h"

#include <jasminespread/event.h>
#include <jasminespread/group_record.h>

#include <cstdint>
#include <optional>
#include <string>

namespace jasminespread {

/// Reason for writing a group object.
enum class ChangePurpose : std::uint8_t { Create, StandbyTakeover, ThirdPartyTakeover, Update, Handover };

/// A change that has taken effect in the store.
struct AppliedChange {
    GroupRecord record;
    std::uint64_t version = 0;
    ChangePurpose purpose = ChangePurpose::Update;
    MonotonicTime startedAt; ///< Start of the write or of the read that showed its effect.
};

/// Writes one group's object, one change at a time. After a write with unknown outcome it reads the object back and
/// compares the change id. Such a write can still take effect later, so it stays pending until a higher version is
/// seen; while the object is unchanged, the writer repeats the conditional write.
class GroupWriter {
public:
    struct PendingChange {
        GroupRecord record;
        std::uint64_t expectedVersion = 0;
        ChangePurpose purpose = ChangePurpose::Update;
        MonotonicTime startedAt;
    };

    explicit GroupWriter(GroupName group);

    /// The change whose outcome is not known yet; null when idle.
    [[nodiscard]] const PendingChange* pending() const noexcept { return m_pending ? &*m_pending : nullptr; }
    /// True when idle and not backing off after a failure.
    [[nodiscard]] bool ready(MonotonicTime now) const { return !m_pending && now >= m_retryAt; }

    /// Starts to write a change. Precondition: ready().
    void startWrite(
        const ReduceContext& context, GroupRecord record, std::uint64_t expectedVersion, ChangePurpose purpose);
    /// Repeats reads that failed and handles lost answers.
    void tick(const ReduceContext& context);
    /// Handles the result of a write. Returns the change if it took effect.
    [[nodiscard]] std::optional<AppliedChange> writeFinished(const ReduceContext& context, const StoreWritten& event);
    /// Handles the end of this writer's read-back. Precondition: observeStored() has handled the object, if there is
    /// one.
    void readBackFinished(const ReduceContext& context, StoreStatus status);
    /// Compares the pending change with an object seen by any read of the store. Returns the change if it took effect.
    [[nodiscard]] std::optional<AppliedChange> observeStored(
        const GroupRecord& record, std::uint64_t version, MonotonicTime startedAt);

private:
    enum class Stage : std::uint8_t { Writing, ReadingBack };

    void sendWrite(const ReduceContext& context);
    void startReadBack(const ReduceContext& context);
    void clearPending(MonotonicTime retryAt);
    [[nodiscard]] Milliseconds nextRetryDelay();

    GroupName m_group;
    std::optional<PendingChange> m_pending;
    Stage m_stage = Stage::Writing;
    bool m_outcomeUnknown = false; ///< At least one attempt of the pending change had an unknown outcome.
    bool m_readBackInFlight = false;
    MonotonicTime m_sentAt;
    MonotonicTime m_retryAt;
    std::uint32_t m_consecutiveFailures = 0; ///< Failed store calls in a row.
    std::uint64_t m_changeCounter = 0;
};

} // namespace jasminespread
