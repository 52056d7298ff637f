#include "ranges/key_load.h"

#include <cmath>
#include <numbers>
#include <numeric>

namespace jasminespread {
namespace {

/// Hot keys change within seconds; a shorter half-life would follow the noise of single requests.
constexpr double halfLifeMs = 1000;
/// Smaller loads become 0, which avoids slow arithmetic on denormal numbers for long idle keys.
constexpr float negligibleLoad = 0.001F;

} // namespace

void KeyLoad::add(std::uint16_t key, double requests)
{
    if (m_load.empty()) {
        m_load.assign(keyCount, 0);
    }
    m_load[key] += static_cast<float>(requests);
}

void KeyLoad::decay(MonotonicTime now)
{
    const double ms = std::chrono::duration<double, std::milli>(now - m_decayedAt).count();
    m_decayedAt = now;
    const auto factor = static_cast<float>(std::exp2(-ms / halfLifeMs));
    for (float& load : m_load) {
        load = load < negligibleLoad ? 0 : load * factor;
    }
}

double KeyLoad::of(const KeyRange& range) const
{
    if (m_load.empty()) {
        return 0;
    }
    return std::accumulate(m_load.begin() + range.first, m_load.begin() + range.last + 1, 0.0);
}

double KeyLoad::total() const { return std::accumulate(m_load.begin(), m_load.end(), 0.0); }

double KeyLoad::requestsPerSecond() const
{
    // The decayed count of a steady rate is that of the requests of halfLifeMs / ln 2.
    return total() * std::numbers::ln2 * 1000 / halfLifeMs;
}

} // namespace jasminespread
