#pragma once

#include <jasminespread/time.h>

#include <cstdint>

namespace jasminespread {

/// A moving average that decays towards a resting value over time. Not thread-safe.
class DecayingValue {
public:
    /// @param restingValue value without observations.
    /// @param halfLife time in which the distance to @p restingValue halves.
    DecayingValue(double restingValue, Milliseconds halfLife) noexcept
        : m_restingValue(restingValue)
        , m_halfLifeMs(static_cast<double>(halfLife.count()))
        , m_value(restingValue)
    {
    }

    /// Moves the value towards @p sample; a @p weight of 1 replaces it.
    void observe(double sample, double weight, MonotonicTime now) noexcept;
    [[nodiscard]] double at(MonotonicTime now) const noexcept;

private:
    double m_restingValue;
    double m_halfLifeMs;
    double m_value;
    MonotonicTime m_updatedAt;
};

/// What this instance observed of one backend server: its speed, failures and requests in flight. Not thread-safe.
class ServerObservation {
public:
    /// A request was sent. recordEnd() must follow, besides any of the outcomes below.
    void recordStart() noexcept { ++m_inFlight; }
    /// A request was answered after @p latency; @p typicalLatency is that of such requests over all servers.
    void recordAnswer(Milliseconds latency, Milliseconds typicalLatency, MonotonicTime now) noexcept;
    /// A request has had no answer for @p age: its deadline has passed, or a hedge request is due.
    void recordUnanswered(Milliseconds age, Milliseconds typicalLatency, MonotonicTime now) noexcept;
    /// The server rejected a request without executing it.
    void recordRefusal(MonotonicTime now) noexcept;
    /// A request failed that the server may have executed.
    void recordFailure(MonotonicTime now) noexcept;
    void recordEnd() noexcept { --m_inFlight; }

    /// Number of answers and their mean latency in multiples of the typical one.
    struct Speed {
        std::uint32_t answers = 0;
        double slowness = 1;
    };
    /// Returns the speed since the last call.
    [[nodiscard]] Speed takeSpeed() noexcept;

    [[nodiscard]] std::uint32_t inFlight() const noexcept { return m_inFlight; }
    /// Latency in multiples of the typical one.
    [[nodiscard]] double slowness(MonotonicTime now) const noexcept { return m_slowness.at(now); }
    /// Share of requests that fail or are rejected, from 0 to 1.
    [[nodiscard]] double failureShare(MonotonicTime now) const noexcept { return m_failures.at(now); }

private:
    DecayingValue m_slowness {1, Milliseconds(4000)};
    DecayingValue m_failures {0, Milliseconds(2500)};
    std::uint32_t m_answers = 0; ///< Since the last call of takeSpeed().
    double m_latencyRatioSum = 0; ///< Of these answers: sum of latencies in multiples of the typical one.
    std::uint32_t m_inFlight = 0;
};

} // namespace jasminespread
