#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace jasminespread {

/// Finds the most frequent keys of a stream in bounded memory by the space-saving algorithm: a new key takes the place
/// of the rarest one and inherits its count as error. Every key with more than 1 / capacity of all requests is found.
/// Not thread-safe.
class HotKeySketch {
public:
    struct KeyCount {
        std::string key;
        std::uint64_t count = 0; ///< A lower bound of the real count.
    };

    /// Precondition: @p capacity is at least 1.
    explicit HotKeySketch(std::size_t capacity);

    void add(std::string_view key);
    /// Returns at most @p limit keys, most frequent first, and starts anew.
    [[nodiscard]] std::vector<KeyCount> takeTopKeys(std::size_t limit);
    [[nodiscard]] std::size_t size() const noexcept { return m_counts.size(); }

private:
    struct StringHash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view>()(text); }
    };
    struct Count {
        std::uint64_t count = 0;
        std::uint64_t error = 0; ///< Inherited from the replaced key.
    };
    using Counts = std::unordered_map<std::string, Count, StringHash, std::equal_to<>>;

    std::size_t m_capacity;
    Counts m_counts;
    std::set<std::pair<std::uint64_t, const std::string*>> m_keysByCount; ///< Count and key in m_counts, rarest first.
};

} // namespace jasminespread
