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

void GroupWriter::start(
    const ReduceContext& context, GroupRecord record, std::uint64_t expectedVersion, ChangePurpose purpose)
{
    record.changeId = makeChangeId(context.self.incarnation, ++m_changes);
    m_pending = Pending {std::move(record), expectedVersion, purpose, context.now};
    m_uncertain = false;
    m_readInFlight = false;
    send(context);
}

void GroupWriter::send(const ReduceContext& context)
{
    m_stage = Stage::Writing;
    m_sentAt = context.now;
    context.effects.push_back(WriteObject {"group", toText(m_group), m_pending->expectedVersion,
        encodeGroupRecord(m_pending->record), m_pending->record.changeId});
}

void GroupWriter::readBack(const ReduceContext& context)
{
    m_stage = Stage::ReadingBack;
    m_readInFlight = true;
    m_sentAt = context.now;
    context.effects.push_back(ReadObject {"group", toText(m_group)});
}

// All groups of an instance fail together when the store is down, so they must not repeat their calls too fast.
Milliseconds GroupWriter::nextRetryDelay()
{
    const Milliseconds delay = shortestRetryDelay * (1U << m_failures);
    m_failures = std::min(m_failures + 1, maxRetryDoublings);
    return delay;
}

void GroupWriter::clear(MonotonicTime retryAt)
{
    m_pending.reset();
    m_retryAt = retryAt;
}

void GroupWriter::tick(const ReduceContext& context)
{
    if (!m_pending) {
        return;
    }
    // The shell answers every call within the store timeout; twice that means that the answer is lost.
    const bool answerLost = context.now - m_sentAt > 2 * context.settings.storeTimeout;
    if (m_stage == Stage::Writing && answerLost) {
        m_uncertain = true;
        readBack(context);
    } else if (m_stage == Stage::ReadingBack && (answerLost || (!m_readInFlight && context.now >= m_retryAt))) {
        readBack(context);
    }
}

std::optional<AppliedChange> GroupWriter::written(const ReduceContext& context, const StoreWritten& event)
{
    if (!m_pending || event.changeId != m_pending->record.changeId) {
        return std::nullopt;
    }
    switch (event.result.status) {
    case StoreStatus::Ok: {
        AppliedChange applied {m_pending->record, event.result.version, m_pending->purpose, event.startedAt};
        m_failures = 0;
        clear(context.now);
        return applied;
    }
    case StoreStatus::Unknown:
        m_uncertain = true;
        context.log(LogEvent::StoreOutcomeUnknown, toText(m_group));
        readBack(context);
        break;
    case StoreStatus::Conflict:
        readBack(context);
        break;
    case StoreStatus::Unavailable:
    case StoreStatus::NotFound:
        if (m_uncertain) {
            m_stage = Stage::ReadingBack;
            m_retryAt = context.now + nextRetryDelay();
        } else {
            clear(context.now + nextRetryDelay());
        }
        break;
    }
    return std::nullopt;
}

void GroupWriter::read(const ReduceContext& context, StoreStatus status)
{
    if (!m_pending || m_stage != Stage::ReadingBack || !m_readInFlight) {
        return;
    }
    m_readInFlight = false;
    const bool readable = status == StoreStatus::Ok || status == StoreStatus::NotFound;
    if (!readable) {
        m_retryAt = context.now + nextRetryDelay();
    } else if (m_uncertain) {
        // observe() did not resolve the change, so the object is unchanged.
        send(context);
    } else {
        clear(context.now + nextRetryDelay());
    }
}

std::optional<AppliedChange> GroupWriter::observe(
    const GroupRecord& record, std::uint64_t version, MonotonicTime startedAt)
{
    if (!m_pending || version <= m_pending->expectedVersion) {
        return std::nullopt;
    }
    std::optional<AppliedChange> applied;
    if (record.changeId == m_pending->record.changeId) {
        m_failures = 0;
        applied = AppliedChange {m_pending->record, version, m_pending->purpose, startedAt};
    }
    clear({});
    return applied;
}

} // namespace jasminespread
