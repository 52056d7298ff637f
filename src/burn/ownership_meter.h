#pragma once

#include <jasminespread/metrics_registry.h>
#include <jasminespread/routing_snapshot.h>
#include <jasminespread/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jasminespread {

/// Counts changes of partition owners and the time during which partitions have no owner, as observed by this instance.
/// Not thread-safe; owned by the control thread.
class OwnershipMeter {
public:
    /// Precondition: @p metrics outlives the meter.
    explicit OwnershipMeter(MetricsRegistry& metrics);

    /// Records that @p snapshot describes the ownership from @p now on. Precondition: @p now never decreases between
    /// calls.
    void observe(MonotonicTime now, std::shared_ptr<const RoutingSnapshot> snapshot);
    /// Adds the time without an owner up to @p now to the counters. Precondition: as for observe().
    void advance(MonotonicTime now);

private:
    struct ServiceMetrics {
        MetricsRegistry::Counter* moves = nullptr;
        MetricsRegistry::Counter* unavailableMs = nullptr;
        MetricsRegistry::Gauge* partitions = nullptr;
        std::uint64_t unownedPartitions = 0;
        double uncountedMs = 0; ///< Fraction of a millisecond that is not in the counter yet.
        std::map<std::uint32_t, std::string> lastOwners; ///< Server ids by partition.
    };

    ServiceMetrics& metricsOf(const std::string& service);

    MetricsRegistry& m_metrics;
    std::map<std::string, ServiceMetrics> m_services;
    std::shared_ptr<const RoutingSnapshot> m_snapshot;
    MonotonicTime m_countedUntil {};
};

} // namespace jasminespread
