#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jasminespread {

/// Finds the most frequent keys of a stream in bounded memory with the Space-Saving algorithm: a new key replaces the
/// least frequent one and inherits its count as the error bound. Finds every key with more than 1 / capacity of all
/// requests. Not thread-safe.
class HotKeySketch {
public:
    struct KeyCount {
        std::string key;
        std::uint64_t count = 0; ///< Lower bound of the true count.
    };

    /// Precondition: @p capacity is at least 1.
    explicit HotKeySketch(std::size_t capacity);

    void add(std::string_view key);
    /// Returns at most @p limit keys, most frequent first, and resets the sketch.
    [[nodiscard]] std::vector<KeyCount> takeTopKeys(std::size_t limit);
    [[nodiscard]] std::size_t size() const noexcept { return m_counts.size(); }

private:
    struct StringHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view>()(text); }
    };
    struct Count {
        std::uint64_t count = 0;
        std::uint64_t error = 0; ///< Possible overestimate, inherited from the replaced key.
    };
    using Counts = std::unordered_map<std::string, Count, StringHash, std::equal_to<>>;

    std::size_t m_capacity;
    Counts m_counts;
    /// Count and pointer to the key in m_counts, least frequent first.
    std::set<std::pair<std::uint64_t, const std::string*>> m_keysByCount;
};

} // namespace jasminespread
