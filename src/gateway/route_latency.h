#pragma once

#include <jasminespread/time.h>

#include <algorithm>

namespace jasminespread {

/// Usual latency of a route's requests at its service, over all servers. Not thread-safe.
class RouteLatency {
public:
    /// @param guess used until latencies are known.
    explicit RouteLatency(Milliseconds initialLatency) noexcept
        : m_ms(static_cast<double>(std::max<Milliseconds::rep>(1, initialLatency.count())))
    {
    }

    void observe(Milliseconds latency) noexcept
    {
        const double ms = static_cast<double>(latency.count());
        m_ms += (std::min(ms, m_ms * maxSampleRatio) - m_ms) * sampleWeight;
    }
    [[nodiscard]] Milliseconds typicalLatency() const noexcept
    {
        return Milliseconds(static_cast<Milliseconds::rep>(m_ms));
    }

private:
    /// About the last 30 latencies count.
    static constexpr double sampleWeight = 0.03;
    /// One long request does not change what is usual.
    static constexpr double maxSampleRatio = 4;

    double m_ms;
};

} // namespace jasminespread
