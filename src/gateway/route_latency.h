#pragma once

#include <jasminespread/time.h>

#include <algorithm>

namespace jasminespread {

/// Typical latency of a route's requests at a service over all servers, as a moving average. Not thread-safe.
class RouteLatency {
public:
    /// @param initialLatency the typical latency until some are observed.
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
    /// The average covers about the last 30 latencies.
    static constexpr double sampleWeight = 0.03;
    /// Limits the effect of a single long request.
    static constexpr double maxSampleRatio = 4;

    double m_ms;
};

} // namespace jasminespread
