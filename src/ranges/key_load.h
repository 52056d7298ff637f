#pragma once

#include "ranges/key_range.h"

#include <jasminespread/time.h>

#include <cstdint>
#include <vector>

namespace jasminespread {

/// Recent requests per key of one service, older ones counting less. Not thread-safe.
class KeyLoad {
public:
    /// Adds @p requests for @p key.
    void add(std::uint16_t key, double requests);
    /// Lets everything that was added before count less, by the time since the last call.
    void decay(MonotonicTime now);
    /// Load of all keys of @p range.
    [[nodiscard]] double of(const KeyRange& range) const;
    [[nodiscard]] double ofKey(std::uint32_t key) const { return m_load.empty() ? 0 : m_load[key]; }
    [[nodiscard]] double total() const;

private:
    std::vector<float> m_load; ///< By key; empty until something is added.
    MonotonicTime m_decayedAt;
};

} // namespace jasminespread
