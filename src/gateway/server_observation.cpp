#include "gateway/server_observation.h"

#include <algorithm>
#include <cmath>

namespace jasminespread {
namespace {

/// Weight of a new latency in the average, which covers about the last eight.
constexpr double latencyWeight = 0.12;
/// Weight of the age of an unanswered request, which is only a lower bound of its latency.
constexpr double unansweredWeight = 0.25;
constexpr double failureWeight = 0.25;
constexpr double successWeight = 0.1;
/// A latency counts as at most this multiple of the typical one, because the work per request varies.
constexpr double maxLatencyRatio = 6;

} // namespace

void DecayingValue::observe(double sample, double weight, MonotonicTime now) noexcept
{
    const double current = at(now);
    m_value = current + (sample - current) * weight;
    m_updatedAt = now;
}

double DecayingValue::at(MonotonicTime now) const noexcept
{
    const double ms = std::chrono::duration<double, std::milli>(now - m_updatedAt).count();
    return m_restingValue + (m_value - m_restingValue) * std::exp2(-std::max(0.0, ms) / m_halfLifeMs);
}

void ServerObservation::recordAnswer(Milliseconds latency, Milliseconds typicalLatency, MonotonicTime now) noexcept
{
    const double ratio
        = static_cast<double>(latency.count()) / std::max<double>(1, static_cast<double>(typicalLatency.count()));
    m_slowness.observe(std::min(ratio, maxLatencyRatio), latencyWeight, now);
    ++m_answers;
    m_latencyRatioSum += std::min(ratio, maxLatencyRatio);
    m_failures.observe(0, successWeight, now);
}

ServerObservation::Speed ServerObservation::takeSpeed() noexcept
{
    const Speed speed {m_answers, m_answers > 0 ? m_latencyRatioSum / m_answers : 1};
    m_answers = 0;
    m_latencyRatioSum = 0;
    return speed;
}

void ServerObservation::recordUnanswered(Milliseconds age, Milliseconds typicalLatency, MonotonicTime now) noexcept
{
    const double ratio
        = static_cast<double>(age.count()) / std::max<double>(1, static_cast<double>(typicalLatency.count()));
    if (ratio > slowness(now)) {
        m_slowness.observe(std::min(ratio, maxLatencyRatio), unansweredWeight, now);
    }
}

void ServerObservation::recordRefusal(MonotonicTime now) noexcept { m_failures.observe(1, failureWeight, now); }

void ServerObservation::recordFailure(MonotonicTime now) noexcept { m_failures.observe(1, failureWeight, now); }

} // namespace jasminespread
