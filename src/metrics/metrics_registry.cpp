#include <jasminespread/metrics_registry.h>

#include <boost/histogram.hpp>

#include <array>
#include <atomic>
#include <charconv>
#include <cmath>
#include <map>
#include <mutex>

namespace jasminespread {

namespace {

namespace bh = boost::histogram;

constexpr double firstEdgeSeconds = 50e-6;
constexpr double lastEdgeSeconds = 60;
/// Buckets between these edges, without underflow and overflow; each is 34% wider than the one before.
constexpr int innerBuckets = 48;

using DurationAxis = bh::axis::regular<double, bh::axis::transform::log>;
using DurationStorage = bh::dense_storage<bh::accumulators::count<std::uint64_t, true>>;
using DurationHistogram = bh::histogram<std::tuple<DurationAxis>, DurationStorage>;

class CounterCell final : public MetricsRegistry::Counter {
public:
    void add(std::uint64_t n) noexcept override { m_value.fetch_add(n, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const noexcept { return m_value.load(std::memory_order_relaxed); }

private:
    alignas(64) std::atomic<std::uint64_t> m_value {0};
};

class GaugeCell final : public MetricsRegistry::Gauge {
public:
    void set(double value) noexcept override { m_value.store(value, std::memory_order_relaxed); }
    [[nodiscard]] double value() const noexcept { return m_value.load(std::memory_order_relaxed); }

private:
    alignas(64) std::atomic<double> m_value {0};
};

class HistogramCell final : public MetricsRegistry::Histogram {
public:
    void record(double seconds) noexcept override
    {
        // Records NaN as 0, like negative values, because every comparison with it is false.
        const double recordedSeconds = seconds > 0 ? seconds : 0;
        m_histogram(recordedSeconds);
        const double clampedSeconds = std::min(recordedSeconds, maxRecordedSeconds);
        m_sumNanoseconds.fetch_add(static_cast<std::uint64_t>(clampedSeconds * 1e9), std::memory_order_relaxed);
    }
    [[nodiscard]] const DurationHistogram& histogram() const noexcept { return m_histogram; }
    [[nodiscard]] double sum() const noexcept
    {
        return static_cast<double>(m_sumNanoseconds.load(std::memory_order_relaxed)) * 1e-9;
    }

private:
    /// Keeps the conversion to nanoseconds within 64 bits; no request lasts longer than a day.
    static constexpr double maxRecordedSeconds = 86'400;

    DurationHistogram m_histogram {
        std::make_tuple(DurationAxis(innerBuckets, firstEdgeSeconds, lastEdgeSeconds)), DurationStorage()};
    alignas(64) std::atomic<std::uint64_t> m_sumNanoseconds {0};
};

template <typename Cell> struct LabelledCell {
    std::string labels;
    std::unique_ptr<Cell> cell;
};

struct Family {
    MetricType type = MetricType::Counter;
    std::string help;
    std::vector<LabelledCell<CounterCell>> counters;
    std::vector<LabelledCell<GaugeCell>> gauges;
    std::vector<LabelledCell<HistogramCell>> histograms;
};

template <typename Cell> Cell& addCell(std::vector<LabelledCell<Cell>>& cells, const std::string& labels)
{
    cells.push_back({labels, std::make_unique<Cell>()});
    return *cells.back().cell;
}

std::string formatNumber(double value)
{
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    std::array<char, 64> buf {};
    const std::to_chars_result result = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    return {buf.data(), result.ptr};
}

/// Formats the label of a bucket bound with six digits, so that rounding errors of the logarithm do not appear in it.
std::string formatBound(double value)
{
    if (std::isinf(value)) {
        return "+Inf";
    }
    std::array<char, 64> buf {};
    const std::to_chars_result result
        = std::to_chars(buf.data(), buf.data() + buf.size(), value, std::chars_format::general, 6);
    return {buf.data(), result.ptr};
}

/// Escapes backslashes and line breaks as the text exposition format requires in help texts.
std::string escapeHelp(const std::string& help)
{
    std::string text;
    for (const char c : help) {
        if (c == '\\') {
            text += "\\\\";
        } else if (c == '\n') {
            text += "\\n";
        } else {
            text += c;
        }
    }
    return text;
}

void appendLine(std::string& text, const std::string& name, const std::string& labels, const std::string& value)
{
    text += name;
    if (!labels.empty()) {
        text += '{' + labels + '}';
    }
    text += ' ' + value + '\n';
}

void appendHistogram(std::string& text, const std::string& name, const MetricSample& sample)
{
    const std::string separator = sample.labels.empty() ? "" : ",";
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < sample.bucketCounts.size(); ++i) {
        cumulative += sample.bucketCounts[i];
        appendLine(text, name + "_bucket",
            sample.labels + separator + "le=\"" + formatBound(MetricsRegistry::bucketUpperBound(i)) + "\"",
            std::to_string(cumulative));
    }
    appendLine(text, name + "_sum", sample.labels, formatNumber(sample.value));
    appendLine(text, name + "_count", sample.labels, std::to_string(cumulative));
}

} // namespace

struct MetricsRegistry::State {
    mutable std::mutex mutex;
    std::map<std::string, Family> families;
    /// Cells whose name is already registered with another type: they can be used but are not exposed.
    Family typeConflicts;

    Family& findOrAddFamily(const std::string& name, MetricType type, const std::string& help)
    {
        const auto [it, inserted] = families.try_emplace(name);
        if (inserted) {
            it->second.type = type;
            it->second.help = help;
        }
        return it->second.type == type ? it->second : typeConflicts;
    }
};

MetricsRegistry::MetricsRegistry()
    : m_state(std::make_unique<State>())
{
}

MetricsRegistry::~MetricsRegistry() = default;

MetricsRegistry::Counter& MetricsRegistry::counter(
    const std::string& name, const std::string& labels, const std::string& help)
{
    const std::scoped_lock lock(m_state->mutex);
    return addCell(m_state->findOrAddFamily(name, MetricType::Counter, help).counters, labels);
}

MetricsRegistry::Gauge& MetricsRegistry::gauge(
    const std::string& name, const std::string& labels, const std::string& help)
{
    const std::scoped_lock lock(m_state->mutex);
    return addCell(m_state->findOrAddFamily(name, MetricType::Gauge, help).gauges, labels);
}

MetricsRegistry::Histogram& MetricsRegistry::histogram(
    const std::string& name, const std::string& labels, const std::string& help)
{
    const std::scoped_lock lock(m_state->mutex);
    return addCell(m_state->findOrAddFamily(name, MetricType::Histogram, help).histograms, labels);
}

double MetricsRegistry::bucketUpperBound(std::size_t bucket) noexcept
{
    static const DurationAxis axis(innerBuckets, firstEdgeSeconds, lastEdgeSeconds);
    // Bucket 0 is the underflow of the axis, and the last bucket is its overflow.
    return bucket > innerBuckets ? std::numeric_limits<double>::infinity() : axis.value(static_cast<double>(bucket));
}

std::vector<MetricFamily> MetricsRegistry::read() const
{
    const std::scoped_lock lock(m_state->mutex);
    std::vector<MetricFamily> result;
    for (const auto& [name, family] : m_state->families) {
        std::map<std::string, MetricSample> samples;
        for (const LabelledCell<CounterCell>& cell : family.counters) {
            samples[cell.labels].value += static_cast<double>(cell.cell->value());
        }
        for (const LabelledCell<GaugeCell>& cell : family.gauges) {
            samples[cell.labels].value += cell.cell->value();
        }
        for (const LabelledCell<HistogramCell>& cell : family.histograms) {
            MetricSample& sample = samples[cell.labels];
            sample.bucketCounts.resize(innerBuckets + 2);
            for (std::size_t i = 0; i < sample.bucketCounts.size(); ++i) {
                sample.bucketCounts[i] += cell.cell->histogram().at(static_cast<int>(i) - 1).value();
            }
            sample.value += cell.cell->sum();
        }
        MetricFamily& resultFamily = result.emplace_back(MetricFamily {name, family.type, family.help, {}});
        for (auto& [labels, sample] : samples) {
            sample.labels = labels;
            resultFamily.samples.push_back(std::move(sample));
        }
    }
    return result;
}

std::string MetricsRegistry::exposition() const
{
    std::string text;
    for (const MetricFamily& family : read()) {
        text += "# HELP " + family.name + ' ' + escapeHelp(family.help) + '\n';
        text += "# TYPE " + family.name + ' ' + std::string(enumName(metricTypeNames, family.type)) + '\n';
        for (const MetricSample& sample : family.samples) {
            if (family.type == MetricType::Histogram) {
                appendHistogram(text, family.name, sample);
            } else {
                appendLine(text, family.name, sample.labels, formatNumber(sample.value));
            }
        }
    }
    return text;
}

} // namespace jasminespread
