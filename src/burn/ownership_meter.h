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

/// Counts changes of partitions' owners and the time that partitions have no owner, as this instance sees them. Not
/// thread-safe; owned by the control thread.
class OwnershipMeter {
public:
    /// Precondition: @p metrics outlives the meter.
    explicit OwnershipMeter(MetricsRegistry& metrics);

    /// Takes @p snapshot as the state of ownership from @p now on. Precondition: times never go backwards.
    void observe(MonotonicTime now, std::shared_ptr<const RoutingSnapshot> snapshot);
    /// Counts the time up to @p now.
    void advance(MonotonicTime now);

private:
    struct ServiceCells {
        MetricsRegistry::Counter* moves = nullptr;
        MetricsRegistry::Counter* unavailableMs = nullptr;
        MetricsRegistry::Gauge* partitions = nullptr;
        std::uint64_t withoutOwner = 0;
        double restMs = 0; ///< Part of a millisecond that is not counted yet.
        std::map<std::uint32_t, std::string> lastOwners;
    };

    ServiceCells& cellsOf(const std::string& service);

    MetricsRegistry& m_metrics;
    std::map<std::string, ServiceCells> m_services;
    std::shared_ptr<const RoutingSnapshot> m_snapshot;
    MonotonicTime m_countedUntil {};
};

} // namespace jasminespread
