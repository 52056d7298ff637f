#include "entry/class_queue.h"

#include <algorithm>

namespace jasminespread {

void ClassQueue::push(const std::string& workClass, std::uint32_t weight, std::uint64_t job)
{
    ClassJobs& classJobs = m_classes[workClass];
    classJobs.weight = std::max(1U, weight);
    classJobs.jobs.push_back(job);
    ++m_size;
}

std::optional<std::uint64_t> ClassQueue::pop()
{
    if (m_classes.empty()) {
        return std::nullopt;
    }
    // Smooth weighted round robin: each class gains its weight as credit; the class with the most credit is served and
    // loses the total weight.
    std::int64_t totalWeight = 0;
    auto selected = m_classes.begin();
    for (auto it = m_classes.begin(); it != m_classes.end(); ++it) {
        it->second.credit += it->second.weight;
        totalWeight += it->second.weight;
        if (it->second.credit > selected->second.credit) {
            selected = it;
        }
    }
    ClassJobs& classJobs = selected->second;
    classJobs.credit -= totalWeight;
    const std::uint64_t job = classJobs.jobs.front();
    classJobs.jobs.pop_front();
    --m_size;
    if (classJobs.jobs.empty()) {
        m_classes.erase(selected);
    }
    return job;
}

void ClassQueue::remove(const std::string& workClass, std::uint64_t job)
{
    const auto it = m_classes.find(workClass);
    if (it == m_classes.end()) {
        return;
    }
    m_size -= std::erase(it->second.jobs, job);
    if (it->second.jobs.empty()) {
        m_classes.erase(it);
    }
}

} // namespace jasminespread
