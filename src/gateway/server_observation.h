#pragma once

#include <jasminespread/time.h>

#include <cstdint>

namespace jasminespread {

/// A value that returns towards its resting value while nothing is observed. Not thread-safe.
class DecayingValue {
public:
    /// @param rest value without observations.
    /// @param halfLife time after which half of the distance to @p rest is gone.
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

/// What this instance saw of one backend server: its speed, failures and load. Not thread-safe.
class ServerObservation {
public:
    void recordStart() noexcept { ++m_inFlight; }
    /// A request ended after @p latency; other servers need @p typical for such requests.
    void recordAnswer(Milliseconds latency, Milliseconds typicalLatency, MonotonicTime now) noexcept;
    /// A request was given up after @p age without an answer.
    void recordAbandoned(Milliseconds age, Milliseconds typicalLatency, MonotonicTime now) noexcept;
    /// The server refused a request before it ran.
    void recordRefusal(MonotonicTime now) noexcept;
    /// The server failed a request that may have run.
    void recordFailure(MonotonicTime now) noexcept;
    /// No connection could be opened, or the server at the address is another one.
    void recordUnreachable(MonotonicTime now) noexcept;
    void recordEnd() noexcept { --m_inFlight; }

    /// Answers and their mean latency in multiples of the typical one, since the last call.
    struct Speed {
        std::uint32_t answers = 0;
        double slowness = 1;
    };
    [[nodiscard]] Speed takeSpeed() noexcept;

    [[nodiscard]] std::uint32_t inFlight() const noexcept { return m_inFlight; }
    /// Latency relative to the typical one; 1 is typical.
    [[nodiscard]] double slowness(MonotonicTime now) const noexcept { return m_slowness.at(now); }
    /// Share of requests that fail or are refused, from 0 to 1.
    [[nodiscard]] double failureShare(MonotonicTime now) const noexcept { return m_failures.at(now); }
    [[nodiscard]] bool isReachable(MonotonicTime now) const noexcept { return now >= m_unreachableUntil; }

private:
    DecayingValue m_slowness {1, Milliseconds(4000)};
    DecayingValue m_failures {0, Milliseconds(2500)};
    std::uint32_t m_answers = 0; ///< Since the last takeSpeed().
    double m_latencyRatioSum = 0; ///< Sum over them.
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_unreachableInARow = 0; ///< In a row.
    MonotonicTime m_unreachableUntil;
};

} // namespace jasminespread
