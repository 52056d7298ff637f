#pragma once

// No-op definitions of the metrics registry and of logEvent() for programs that do not link the real ones. Include this
// header in one source file per program only.
#include <jasminespread/log_event.h>
#include <jasminespread/metrics_registry.h>

namespace jasminespread {
namespace {

class NullCounter : public MetricsRegistry::Counter {
    void add(std::uint64_t) noexcept override { }
};
class NullGauge : public MetricsRegistry::Gauge {
    void set(double) noexcept override { }
};
class NullHistogram : public MetricsRegistry::Histogram {
    void record(double) noexcept override { }
};

NullCounter nullCounter;
NullGauge nullGauge;
NullHistogram nullHistogram;

} // namespace

struct MetricsRegistry::State { };

MetricsRegistry::MetricsRegistry() = default;
MetricsRegistry::~MetricsRegistry() = default;

MetricsRegistry::Counter& MetricsRegistry::counter(const std::string&, const std::string&, const std::string&)
{
    return nullCounter;
}

MetricsRegistry::Gauge& MetricsRegistry::gauge(const std::string&, const std::string&, const std::string&)
{
    return nullGauge;
}

MetricsRegistry::Histogram& MetricsRegistry::histogram(const std::string&, const std::string&, const std::string&)
{
    return nullHistogram;
}

std::string MetricsRegistry::exposition() const { return {}; }

void logEvent(LogEvent, std::string_view) { }

} // namespace jasminespread
