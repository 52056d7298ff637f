#include "entry/hot_key_sketch.h"

#include <algorithm>

namespace jasminespread {

HotKeySketch::HotKeySketch(std::size_t capacity)
    : m_capacity(capacity)
{
    m_counts.reserve(capacity);
}

void HotKeySketch::add(std::string_view key)
{
    const auto it = m_counts.find(key);
    if (it != m_counts.end()) {
        m_keysByCount.erase({it->second.count, &it->first});
        ++it->second.count;
        m_keysByCount.emplace(it->second.count, &it->first);
        return;
    }
    Count count {1, 0};
    if (m_counts.size() >= m_capacity) {
        const auto leastFrequent = m_keysByCount.begin();
        const std::string* replaced = leastFrequent->second;
        count = {leastFrequent->first + 1, leastFrequent->first};
        m_keysByCount.erase(leastFrequent);
        m_counts.erase(m_counts.find(*replaced));
    }
    const auto added = m_counts.emplace(std::string(key), count).first;
    m_keysByCount.emplace(count.count, &added->first);
}

std::vector<HotKeySketch::KeyCount> HotKeySketch::takeTopKeys(std::size_t limit)
{
    std::vector<KeyCount> keys;
    keys.reserve(m_counts.size());
    for (const auto& [key, count] : m_counts) {
        keys.push_back({key, count.count - count.error});
    }
    m_keysByCount.clear();
    m_counts.clear();
    std::sort(keys.begin(), keys.end(),
        [](const KeyCount& a, const KeyCount& b) { return a.count != b.count ? a.count > b.count : a.key < b.key; });
    keys.resize(std::min(limit, keys.size()));
    return keys;
}

} // namespace jasminespread
