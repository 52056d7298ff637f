#include "burn/ownership_meter.h"

#include <chrono>
#include <utility>

namespace jasminespread {

OwnershipMeter::OwnershipMeter(MetricsRegistry& metrics)
    : m_metrics(metrics)
{
}

OwnershipMeter::ServiceMetrics& OwnershipMeter::metricsOf(const std::string& service)
{
    ServiceMetrics& serviceMetrics = m_services[service];
    if (!serviceMetrics.moves) {
        const std::string labels = "service=\"" + service + "\"";
        serviceMetrics.moves = &m_metrics.counter(
            "jasminespread_partition_moves_total", labels, "Changes of partitions' owners that this instance saw.");
        serviceMetrics.unavailableMs = &m_metrics.counter("jasminespread_partition_unavailable_milliseconds_total",
            labels, "Time without an owner, added up over partitions, that this instance saw.");
        serviceMetrics.partitions
            = &m_metrics.gauge("jasminespread_partitions", labels, "Partitions, those of hot keys included.");
    }
    return serviceMetrics;
}

void OwnershipMeter::advance(MonotonicTime now)
{
    if (m_snapshot) {
        const double elapsedMs = std::chrono::duration<double, std::milli>(now - m_countedUntil).count();
        for (auto& [name, serviceMetrics] : m_services) {
            serviceMetrics.uncountedMs += elapsedMs * static_cast<double>(serviceMetrics.unownedPartitions);
            const auto wholeMs = static_cast<std::uint64_t>(serviceMetrics.uncountedMs);
            serviceMetrics.uncountedMs -= static_cast<double>(wholeMs);
            serviceMetrics.unavailableMs->add(wholeMs);
        }
    }
    m_countedUntil = now;
}

void OwnershipMeter::observe(MonotonicTime now, std::shared_ptr<const RoutingSnapshot> snapshot)
{
    advance(now);
    for (auto& [name, serviceMetrics] : m_services) {
        serviceMetrics.unownedPartitions = 0;
    }
    for (const auto& [name, service] : snapshot->services) {
        ServiceMetrics& serviceMetrics = metricsOf(name);
        std::uint64_t ownedPartitions = 0;
        std::uint64_t totalPartitions = service.settings.partitions;
        for (const GroupRoute& group : service.groups) {
            totalPartitions += group.overrides.size();
            for (const auto& [partition, route] : group.partitions) {
                if (!route.server) {
                    continue;
                }
                ++ownedPartitions;
                const std::string& owner = snapshot->servers[*route.server].id;
                std::string& lastOwner = serviceMetrics.lastOwners[partition];
                if (lastOwner != owner) {
                    if (!lastOwner.empty()) {
                        serviceMetrics.moves->add();
                    }
                    lastOwner = owner;
                }
            }
        }
        serviceMetrics.unownedPartitions = totalPartitions > ownedPartitions ? totalPartitions - ownedPartitions : 0;
        serviceMetrics.partitions->set(static_cast<double>(totalPartitions));
    }
    m_snapshot = std::move(snapshot);
}

} // namespace jasminespread
