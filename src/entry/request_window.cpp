#include "entry/request_window.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace jasminespread {
namespace {

/// Larger answers are not stored, because each would displace many small ones.
constexpr std::uint64_t maxStoredAnswerBytes = 65'536;
constexpr std::uint64_t answerOverheadBytes = 128; ///< Estimated size of an answer without its strings.

std::uint64_t fingerprintOf(const CallerRequest& request)
{
    std::uint64_t hash = 0;
    for (const std::string* text : {&request.service, &request.key, &request.method, &request.target, &request.body}) {
        hash = XXH3_64bits_withSeed(text->data(), text->size(), hash ^ text->size());
    }
    return hash;
}

std::uint64_t storedSize(const RequestAnswer& answer)
{
    std::uint64_t n = answerOverheadBytes + answer.body.size() + answer.reason.size() + answer.server.size();
    for (const HeaderField& field : answer.headers) {
        n += field.name.size() + field.value.size();
    }
    return n;
}

} // namespace

RequestWindow::RequestWindow(const Limits& limits)
    : m_limits(limits)
{
}

RequestWindow::Admission RequestWindow::admit(
    const CallerRequest& request, std::uint64_t job, WallTime now, WallTime servingSince)
{
    const std::uint64_t fingerprint = fingerprintOf(request);
    const auto it = m_entries.find(request.id);
    if (it != m_entries.end()) {
        const Entry& entry = it->second;
        if (entry.fingerprint != fingerprint) {
            return makeAnswer(Outcome::NotRun, reason::idReused, "another request has this Jasminespread-Request-Id");
        }
        if (entry.running) {
            return Join {entry.job};
        }
        if (entry.answer) {
            return *entry.answer;
        }
        return makeAnswer(Outcome::Unknown, reason::answerNotKept,
            "a request with this id ran or may have run; its answer is no longer stored");
    }
    const WallTime issued = request.id.issuedAt();
    if (issued > now + m_limits.clockSkewMargin) {
        return makeAnswer(Outcome::NotRun, reason::futureId,
            "Jasminespread-Request-Id was issued in the future; set the caller's clock");
    }
    // An id that the entry generated for this request cannot have been used before.
    if (!request.idGeneratedByEntry) {
        // An earlier primary accepted ids up to one margin ahead of its clock, which itself may be one margin ahead.
        if (issued < servingSince + 2 * m_limits.clockSkewMargin) {
            return makeAnswer(Outcome::Unknown, reason::idBeforeServing,
                "the id is older than this primary; an earlier primary may have run the request");
        }
        if (m_newestEvictedIssueTime && issued <= *m_newestEvictedIssueTime + m_limits.clockSkewMargin) {
            return makeAnswer(Outcome::Unknown, reason::idEvicted,
                "the id is older than the ids that this primary remembers; the request may have run");
        }
    }
    if (!evictIfFull()) {
        return makeAnswer(
            Outcome::NotRun, reason::windowFull, "too many non-repeatable requests run in this placement group");
    }
    Entry& entry = m_entries[request.id];
    entry.fingerprint = fingerprint;
    entry.job = job;
    return Run {};
}

void RequestWindow::complete(const RequestId& id, const RequestAnswer& answer)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end() || !it->second.running) {
        return;
    }
    Entry& entry = it->second;
    entry.running = false;
    m_completedIds.push_back(id);
    const std::uint64_t bytes = storedSize(answer);
    if (bytes > std::min(maxStoredAnswerBytes, m_limits.bytes)) {
        return;
    }
    entry.answer = answer;
    entry.bytes = bytes;
    m_storedBytes += bytes;
    m_storedAnswerIds.push_back(id);
    dropOldestAnswers();
}

void RequestWindow::removeRunning(const RequestId& id)
{
    const auto it = m_entries.find(id);
    if (it != m_entries.end() && it->second.running) {
        m_entries.erase(it);
    }
}

/// When the window is full, evicts the request that completed first. Returns false when all recorded requests still
/// run.
bool RequestWindow::evictIfFull()
{
    if (m_entries.size() < m_limits.entries) {
        return true;
    }
    if (m_completedIds.empty()) {
        return false;
    }
    const RequestId id = m_completedIds.front();
    m_completedIds.pop_front();
    const auto it = m_entries.find(id);
    if (it->second.answer) {
        m_storedBytes -= it->second.bytes;
        // Answers are dropped and entries evicted in the same order, so this is the oldest stored answer.
        m_storedAnswerIds.pop_front();
    }
    m_entries.erase(it);
    m_newestEvictedIssueTime = std::max(m_newestEvictedIssueTime.value_or(id.issuedAt()), id.issuedAt());
    return true;
}

/// Drops the oldest answers beyond the byte limit; their ids stay recorded.
void RequestWindow::dropOldestAnswers()
{
    while (m_storedBytes > m_limits.bytes) {
        Entry& entry = m_entries.at(m_storedAnswerIds.front());
        m_storedAnswerIds.pop_front();
        m_storedBytes -= entry.bytes;
        entry.answer.reset();
        entry.bytes = 0;
    }
}

} // namespace jasminespread
