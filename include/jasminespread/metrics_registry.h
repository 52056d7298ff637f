#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace jasminespread {

/// Holds the metrics of one process. Each call to counter(), gauge() or histogram() makes a cell of its own, so that
/// threads do not share cache lines; exposition() adds up the cells with the same name and labels.
class MetricsRegistry {
public:
    /// A cell that only grows. add() is thread-safe and wait-free.
    class Counter {
    public:
        virtual ~Counter() = default;
        virtual void add(std::uint64_t n = 1) noexcept = 0;
    };
    /// A cell that is set. Thread-safe and wait-free.
    class Gauge {
    public:
        virtual ~Gauge() = default;
        virtual void set(double value) noexcept = 0;
    };
    /// Distribution of durations. Thread-safe and wait-free.
    class Histogram {
    public:
        virtual ~Histogram() = default;
        virtual void record(double seconds) noexcept = 0;
    };

    MetricsRegistry();
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry&) = delete;
    MetricsRegistry& operator=(const MetricsRegistry&) = delete;

    /// @name Cells
    /// @p labels is in exposition form without braces, for example `service="ledger",outcome="done"`. The cells live
    /// as long as the registry. Thread-safe.
    /// @{
    [[nodiscard]] Counter& counter(const std::string& name, const std::string& labels, const std::string& help);
    [[nodiscard]] Gauge& gauge(const std::string& name, const std::string& labels, const std::string& help);
    [[nodiscard]] Histogram& histogram(const std::string& name, const std::string& labels, const std::string& help);
    /// @}

    /// Renders all metrics in the text exposition format. Thread-safe.
    [[nodiscard]] std::string exposition() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jasminespread
