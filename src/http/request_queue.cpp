#include "http/request_queue.h"

#include "http/message_cost.h"

#include <algorithm>
#include <utility>

namespace jasminespread {
namespace {

/// Entry of the queue, with room for its growth.
constexpr std::size_t entryCost = 512;

std::size_t memoryOf(const CallerAnswer& answer) { return entryCost + costOf(answer.headers) + heapCost(answer.body); }

} // namespace

std::size_t RequestQueue::costOf(const RawRequest& raw)
{
    return entryCost + heapCost(raw.path) + (raw.query ? heapCost(*raw.query) : 0) + jasminespread::costOf(raw.headers)
        + heapCost(raw.body);
}

void RequestQueue::hold(Entry& entry, std::size_t bytes)
{
    m_heldBytes = m_heldBytes - entry.heldBytes + bytes;
    entry.heldBytes = bytes;
}

void RequestQueue::add(std::uint64_t request, RawRequest&& raw, bool isHead, bool closes)
{
    Entry& entry = m_entries.emplace_back();
    entry.request = request;
    entry.isHead = isHead;
    entry.closes = closes;
    hold(entry, costOf(raw));
    entry.raw = std::move(raw);
}

void RequestQueue::addRefusal(CallerAnswer&& answer)
{
    Entry& entry = m_entries.emplace_back();
    entry.closes = true;
    hold(entry, memoryOf(answer));
    entry.answer = std::move(answer);
}

std::optional<RequestQueue::Delivery> RequestQueue::takeDeliverable(
    const std::function<bool(const RawRequest&)>& mayOverlap)
{
    for (Entry& entry : m_entries) {
        if (entry.raw) {
            entry.overlaps = mayOverlap && mayOverlap(*entry.raw);
            if (&entry != &m_entries.front() && !entry.overlaps) {
                return std::nullopt;
            }
            Delivery delivery {entry.request, std::move(*entry.raw)};
            entry.raw.reset();
            entry.takenBytes = entry.heldBytes;
            m_takenBytes += entry.takenBytes;
            hold(entry, 0);
            return delivery;
        }
        if (!entry.answer && !entry.overlaps) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

bool RequestQueue::answer(std::uint64_t request, CallerAnswer&& answer)
{
    const auto it = std::find_if(m_entries.begin(), m_entries.end(),
        [request](const Entry& entry) { return entry.request == request && !entry.raw && !entry.answer; });
    if (it == m_entries.end()) {
        return false;
    }
    m_takenBytes -= std::exchange(it->takenBytes, 0);
    hold(*it, memoryOf(answer));
    it->answer = std::move(answer);
    return true;
}

std::optional<RequestQueue::Ready> RequestQueue::takeReady()
{
    if (m_entries.empty() || !m_entries.front().answer) {
        return std::nullopt;
    }
    Entry& entry = m_entries.front();
    Ready ready {std::move(*entry.answer), entry.isHead, entry.closes};
    hold(entry, 0);
    m_entries.pop_front();
    return ready;
}

std::vector<std::uint64_t> RequestQueue::unanswered() const
{
    std::vector<std::uint64_t> requests;
    for (const Entry& entry : m_entries) {
        if (!entry.raw && !entry.answer) {
            requests.push_back(entry.request);
        }
    }
    return requests;
}

} // namespace jasminespread
