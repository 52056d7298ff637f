#include "gateway/server_availability.h"

#include <algorithm>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

/// Time from the start of a send until the request has arrived, with one retransmission.
constexpr Milliseconds arrivalMargin = 250ms;
/// Pause before an unreachable server is tried again; doubles with each failure in a row.
constexpr Milliseconds initialUnreachablePause = 300ms;
constexpr std::uint32_t maxPauseDoublings = 3;
/// After a requested pause the instances return within this share of it.
constexpr double returnSpreadShare = 0.2;
constexpr Milliseconds maxReturnSpread = 500ms;
/// When to look again whether the first request after a pause was answered.
constexpr Milliseconds firstAnswerCheckInterval = 60ms;

/// Whether a request that is sent at @p now can arrive later than @p limit after @p since.
bool mayArriveAfter(Milliseconds limit, MonotonicTime since, MonotonicTime now) noexcept
{
    return since == MonotonicTime::min() || now - since >= limit - std::min(arrivalMargin, limit);
}

} // namespace

void ServerAvailability::onListed(ListedServerState state, std::optional<MonotonicTime> changedAfter) noexcept
{
    m_listed = true;
    const bool draining = state == ListedServerState::Draining;
    if (draining && !m_listedDraining) {
        leaveSince(changedAfter.value_or(MonotonicTime::min()));
    }
    m_listedDraining = draining;
}

void ServerAvailability::onLeavingStated(MonotonicTime sentAt) noexcept
{
    leaveSince(sentAt);
    m_statedLeaving = true;
}

/// A state that was listed before and came back counts from the first time.
void ServerAvailability::leaveSince(MonotonicTime earliest) noexcept
{
    m_leavingSince = std::min(m_leavingSince.value_or(earliest), earliest);
}

void ServerAvailability::onPauseRequested(Milliseconds pause, double jitter, MonotonicTime now) noexcept
{
    const Milliseconds bounded = std::min(pause, maxServerPause);
    const Milliseconds spread
        = std::min(std::chrono::duration_cast<Milliseconds>(bounded * returnSpreadShare), maxReturnSpread);
    m_pausedUntil = std::max(m_pausedUntil, now + bounded + std::chrono::duration_cast<Milliseconds>(spread * jitter));
    m_awaitsFirstAnswer = true;
}

void ServerAvailability::onUnreachable(MonotonicTime now) noexcept
{
    m_unreachableUntil = now + initialUnreachablePause * (1U << std::min(m_consecutiveUnreachable, maxPauseDoublings));
    ++m_consecutiveUnreachable;
}

void ServerAvailability::onAnswered(MonotonicTime sentAt) noexcept
{
    m_consecutiveUnreachable = 0;
    // Requests from before the pause say nothing about the time after it.
    m_awaitsFirstAnswer = m_awaitsFirstAnswer && sentAt < m_pausedUntil;
}

void ServerAvailability::onSuspended(Milliseconds duration) noexcept
{
    if (m_leavingSince && *m_leavingSince != MonotonicTime::min()) {
        *m_leavingSince -= duration;
    }
    if (m_evacuatedSince && *m_evacuatedSince != MonotonicTime::min()) {
        *m_evacuatedSince -= duration;
    }
    m_pausedUntil -= duration;
    m_unreachableUntil -= duration;
}

bool ServerAvailability::onDispatched(MonotonicTime now) noexcept
{
    const bool first = m_awaitsFirstAnswer && now >= m_pausedUntil && !m_firstRequestInFlight;
    m_firstRequestInFlight = m_firstRequestInFlight || first;
    return first;
}

/// The blocks that also apply to a request that has been dispatched.
ServerAvailability::Decision ServerAvailability::lasting(RequestScope scope, MonotonicTime now) const noexcept
{
    if (!m_listed) {
        return {ServerBlock::NotListed, MonotonicTime::max()};
    }
    if (isLeaving()) {
        // The owner of a key serves on while the key is moved, because no other server can.
        if (scope == RequestScope::AnyServer || mayArriveAfter(m_drainTime, *m_leavingSince, now)) {
            return {ServerBlock::Leaving, MonotonicTime::max()};
        }
    }
    if (m_evacuatedSince
        && (scope == RequestScope::AnyServer || mayArriveAfter(m_evacuationTime, *m_evacuatedSince, now))) {
        return {ServerBlock::Evacuated, MonotonicTime::max()};
    }
    if (now < m_pausedUntil) {
        return {ServerBlock::Pausing, m_pausedUntil};
    }
    return {};
}

ServerAvailability::Decision ServerAvailability::decide(RequestScope scope, MonotonicTime now) const noexcept
{
    const Decision decision = lasting(scope, now);
    if (!decision.available()) {
        return decision;
    }
    if (m_awaitsFirstAnswer && m_firstRequestInFlight) {
        return {ServerBlock::AwaitingFirstAnswer, now + firstAnswerCheckInterval};
    }
    if (now < m_unreachableUntil) {
        return {ServerBlock::Unreachable, m_unreachableUntil};
    }
    return {};
}

bool ServerAvailability::maySend(RequestScope scope, MonotonicTime now) const noexcept
{
    return lasting(scope, now).available();
}

std::optional<Milliseconds> ServerAvailability::leavingFor(MonotonicTime now) const noexcept
{
    if (!isLeaving()) {
        return std::nullopt;
    }
    return *m_leavingSince == MonotonicTime::min() ? Milliseconds::max()
                                                   : std::chrono::duration_cast<Milliseconds>(now - *m_leavingSince);
}

} // namespace jasminespread
