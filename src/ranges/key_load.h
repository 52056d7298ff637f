#pragma once

#include "ranges/key_range.h"

#include <jasminespread/time.h>

#include <cstdint>
#include <vector>

namespace jasminespread {

/// Exponentially decayed request count per key of one service. Not thread-safe.
class KeyLoad {
public:
    /// Adds @p requests for @p key.
    void add(std::uint16_t key, double requests);
    /// Decays the counts by the time since the previous call.
    void decay(MonotonicTime now);
    /// Total load of the keys of @p range.
    [[nodiscard]] double of(const KeyRange& range) const;
    [[nodiscard]] double ofKey(std::uint32_t key) const { return m_load.empty() ? 0 : m_load[key]; }
    [[nodiscard]] double total() const;
    /// Rate of the requests, as long as it does not change.
    [[nodiscard]] double requestsPerSecond() const;

private:
    std::vector<float> m_load; ///< By key; empty until the first add().
    MonotonicTime m_decayedAt;
};

} // namespace jasminespread
