#pragma once

#include "control/reduce_context.h"

#include <jasminespread/event.h>
#include <jasminespread/group_record.h>

#include <cstdint>
#include <optional>
#include <string>

namespace jasminespread {

/// Why a group object is written.
enum class ChangePurpose : std::uint8_t { Create, StandbyTakeover, ThirdPartyTakeover, Update, Handover };

/// A change that took effect.
struct AppliedChange {
    GroupRecord record;
    std::uint64_t version = 0;
    ChangePurpose purpose = ChangePurpose::Update;
    MonotonicTime startedAt; ///< Start of the write or of the read that showed its effect.
};

/// Writes one group's object, one change at a time, and resolves unknown outcomes by reading back the change id.
/// A write of unknown outcome can still take effect later, so it stays pending until a higher version is seen: an
/// unchanged object makes the writer repeat the write.
class GroupWriter {
public:
    struct PendingChange {
        GroupRecord record;
        std::uint64_t expectedVersion = 0;
        ChangePurpose purpose = ChangePurpose::Update;
        MonotonicTime startedAt;
    };

    explicit GroupWriter(GroupName group);

    /// The change whose effect is not known yet; null when idle.
    [[nodiscard]] const PendingChange* pending() const noexcept { return m_pending ? &*m_pending : nullptr; }
    /// True when idle and not backing off after a failure.
    [[nodiscard]] bool ready(MonotonicTime now) const { return !m_pending && now >= m_retryAt; }

    /// Precondition: ready().
    void startWrite(
        const ReduceContext& context, GroupRecord record, std::uint64_t expectedVersion, ChangePurpose purpose);
    /// Repeats reads and covers lost answers.
    void tick(const ReduceContext& context);
    [[nodiscard]] std::optional<AppliedChange> writeFinished(const ReduceContext& context, const StoreWritten& event);
    /// Handles the end of this writer's own read. Precondition: observeStored() saw the object that was read, if any.
    void readBackFinished(const ReduceContext& context, StoreStatus status);
    /// Compares the pending change with an object seen in the store, by any read.
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
    bool m_outcomeUnknown = false; ///< An attempt of the pending change had an unknown outcome.
    bool m_readBackInFlight = false;
    MonotonicTime m_sentAt;
    MonotonicTime m_retryAt;
    std::uint32_t m_consecutiveFailures = 0; ///< Failed calls in a row.
    std::uint64_t m_changeCounter = 0;
};

} // namespace jasminespread
