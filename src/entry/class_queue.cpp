#include "entry/class_queue.h"

#include <algorithm>

namespace jasminespread {

void ClassQueue::push(const std::string& workClass, std::uint32_t weight, std::uint64_t job)
{
    Lane& lane = m_lanes[workClass];
    lane.weight = std::max(1U, weight);
    lane.jobs.push_back(job);
    ++m_size;
}

std::optional<std::uint64_t> ClassQueue::pop()
{
    if (m_lanes.empty()) {
        return std::nullopt;
    }
    // Smooth weighted round robin: every class earns its weight per turn, the richest one is served and pays for it.
    std::int64_t total = 0;
    auto next = m_lanes.begin();
    for (auto it = m_lanes.begin(); it != m_lanes.end(); ++it) {
        it->second.credit += it->second.weight;
        total += it->second.weight;
        if (it->second.credit > next->second.credit) {
            next = it;
        }
    }
    Lane& lane = next->second;
    lane.credit -= total;
    const std::uint64_t job = lane.jobs.front();
    lane.jobs.pop_front();
    --m_size;
    if (lane.jobs.empty()) {
        m_lanes.erase(next);
    }
    return job;
}

void ClassQueue::remove(const std::string& workClass, std::uint64_t job)
{
    const auto it = m_lanes.find(workClass);
    if (it == m_lanes.end()) {
        return;
    }
    m_size -= std::erase(it->second.jobs, job);
    if (it->second.jobs.empty()) {
        m_lanes.erase(it);
    }
}

} // namespace jasminespread
