#include "control/group_writer.h"

#include <algorithm>
#include <charconv>

namespace jasminespread {
namespace {

constexpr Milliseconds shortestRetryDelay {200};
constexpr std::uint32_t maxRetryDoublings = 4;

std::string makeChangeId(std::uint64_t incarnation, std::uint64_t number)
{
    char buf[16];
    const std::to_chars_result end = std::to_chars(buf, buf + sizeof buf, incarnation, 16);
    return std::string(buf, end.ptr) + "-" + std::to_string(number);
}

} // namespace

GroupWriter::GroupWriter(GroupName group)
    : m_group(std::move(group))
{
}

void GroupWriter::startWrite(
    const ReduceContext& context, GroupRecord record, std::uint64_t expectedVersion, ChangePurpose purpose)
{
    record.changeId = makeChangeId(context.self.incarnation, ++m_changeCounter);
    m_pending = PendingChange {std::move(record), expectedVersion, purpose, context.now};
    m_outcomeUnknown = false;
    m_readBackInFlight = false;
    sendWrite(context);
}

void GroupWriter::sendWrite(const ReduceContext& context)
{
    m_stage = Stage::Writing;
    m_sentAt = context.now;
    context.effects.push_back(WriteObject {"group", toText(m_group), m_pending->expectedVersion,
        encodeGroupRecord(m_pending->record), m_pending->record.changeId});
}

void GroupWriter::startReadBack(const ReduceContext& context)
{
    m_stage = Stage::ReadingBack;
    m_readBackInFlight = true;
    m_sentAt = context.now;
    context.effects.push_back(ReadObject {"group", toText(m_group)});
}

// The calls of all groups of an instance fail together while the store is down, so the retry delay grows
// exponentially.
Milliseconds GroupWriter::nextRetryDelay()
{
    const Milliseconds delay = shortestRetryDelay * (1U << m_consecutiveFailures);
    m_consecutiveFailures = std::min(m_consecutiveFailures + 1, maxRetryDoublings);
    return delay;
}

void GroupWriter::clearPending(MonotonicTime retryAt)
{
    m_pending.reset();
    m_retryAt = retryAt;
}

void GroupWriter::tick(const ReduceContext& context)
{
    if (!m_pending) {
        return;
    }
    // The control loop reports every result within the store timeout; after twice that time the report is lost.
    const bool answerLost = context.now - m_sentAt > 2 * context.settings.storeTimeout;
    if (m_stage == Stage::Writing && answerLost) {
        m_outcomeUnknown = true;
        startReadBack(context);
    } else if (m_stage == Stage::ReadingBack && (answerLost || (!m_readBackInFlight && context.now >= m_retryAt))) {
        startReadBack(context);
    }
}

std::optional<AppliedChange> GroupWriter::writeFinished(const ReduceContext& context, const StoreWritten& event)
{
    if (!m_pending || event.changeId != m_pending->record.changeId) {
        return std::nullopt;
    }
    switch (event.result.status) {
    case StoreStatus::Ok: {
        AppliedChange applied {m_pending->record, event.result.version, m_pending->purpose, event.startedAt};
        m_consecutiveFailures = 0;
        clearPending(context.now);
        return applied;
    }
    case StoreStatus::Unknown:
        m_outcomeUnknown = true;
        context.log(LogEvent::StoreOutcomeUnknown, toText(m_group));
        startReadBack(context);
        break;
    case StoreStatus::Conflict:
        startReadBack(context);
        break;
    case StoreStatus::Unavailable:
    case StoreStatus::NotFound:
        if (m_outcomeUnknown) {
            m_stage = Stage::ReadingBack;
            m_retryAt = context.now + nextRetryDelay();
        } else {
            clearPending(context.now + nextRetryDelay());
        }
        break;
    }
    return std::nullopt;
}

void GroupWriter::readBackFinished(const ReduceContext& context, StoreStatus status)
{
    if (!m_pending || m_stage != Stage::ReadingBack || !m_readBackInFlight) {
        return;
    }
    m_readBackInFlight = false;
    const bool readable = status == StoreStatus::Ok || status == StoreStatus::NotFound;
    if (!readable) {
        m_retryAt = context.now + nextRetryDelay();
    } else if (m_outcomeUnknown) {
        // observeStored() did not resolve the change, so the object is unchanged and the write can be repeated.
        sendWrite(context);
    } else {
        clearPending(context.now + nextRetryDelay());
    }
}

std::optional<AppliedChange> GroupWriter::observeStored(
    const GroupRecord& record, std::uint64_t version, MonotonicTime startedAt)
{
    if (!m_pending || version <= m_pending->expectedVersion) {
        return std::nullopt;
    }
    std::optional<AppliedChange> applied;
    if (record.changeId == m_pending->record.changeId) {
        m_consecutiveFailures = 0;
        applied = AppliedChange {m_pending->record, version, m_pending->purpose, startedAt};
    }
    clearPending({});
    return applied;
}

} // namespace jasminespread
