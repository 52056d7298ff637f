#include "http/request_queue.h"

#include <algorithm>
#include <utility>

namespace jasminespread {
namespace {

std::size_t sizeOf(const std::vector<HeaderField>& headers)
{
    std::size_t n = 0;
    for (const HeaderField& field : headers) {
        n += field.name.size() + field.value.size();
    }
    return n;
}

std::size_t sizeOf(const CallerAnswer& answer) { return sizeOf(answer.headers) + answer.body.size(); }

} // namespace

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
    hold(entry, raw.path.size() + (raw.query ? raw.query->size() : 0) + sizeOf(raw.headers) + raw.body.size());
    entry.raw = std::move(raw);
}

void RequestQueue::addRefusal(CallerAnswer&& answer)
{
    Entry& entry = m_entries.emplace_back();
    entry.closes = true;
    hold(entry, sizeOf(answer));
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
    hold(*it, sizeOf(answer));
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
