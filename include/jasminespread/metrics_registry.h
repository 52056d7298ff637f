#pragma once

#include <jasminespread/enum_names.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace jasminespread {

enum class MetricType : std::uint8_t { Counter, Gauge, Histogram };

inline constexpr std::array<EnumName<MetricType>, 3> metricTypeNames {{
    {MetricType::Counter, "counter"},
    {MetricType::Gauge, "gauge"},
    {MetricType::Histogram, "histogram"},
}};

/// Sum of all cells with the same name and labels at one moment.
struct MetricSample {
    std::string labels; ///< In exposition form without braces.
    double value = 0; ///< Histograms: sum of the recorded seconds.
    std::vector<std::uint64_t> bucketCounts; ///< Histograms only; not cumulative.
};

struct MetricFamily {
    std::string name;
    MetricType type = MetricType::Counter;
    std::string help;
    std::vector<MetricSample> samples; ///< Sorted by labels.
};

/// Holds the metrics of one process. Each call to counter(), gauge() or histogram() makes a separate cell, so that
/// threads do not share cache lines; exposition() adds up the cells with the same name and labels.
class MetricsRegistry {
public:
    /// A cell that only grows. add() is thread-safe and wait-free.
    class Counter {
    public:
        virtual ~Counter() = default;
        virtual void add(std::uint64_t n = 1) noexcept = 0;
    };
    /// A cell whose value is replaced. Thread-safe and wait-free.
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
    /// as long as the registry. A name keeps the type and help of its first use; a cell of another type under that name
    /// can be used but is not exposed. Thread-safe.
    /// @{
    [[nodiscard]] Counter& counter(const std::string& name, const std::string& labels, const std::string& help);
    [[nodiscard]] Gauge& gauge(const std::string& name, const std::string& labels, const std::string& help);
    [[nodiscard]] Histogram& histogram(const std::string& name, const std::string& labels, const std::string& help);
    /// @}

    /// Upper bound in seconds of a bucket of every histogram; infinity for the last one. Thread-safe.
    [[nodiscard]] static double bucketUpperBound(std::size_t bucket) noexcept;
    /// Reads all metrics, sorted by name. Thread-safe.
    [[nodiscard]] std::vector<MetricFamily> read() const;
    /// Renders all metrics in the text exposition format. Thread-safe.
    [[nodiscard]] std::string exposition() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jasminespread
