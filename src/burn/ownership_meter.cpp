#include "burn/ownership_meter.h"

#include <chrono>
#include <utility>

namespace jasminespread {

OwnershipMeter::OwnershipMeter(MetricsRegistry& metrics)
    : m_metrics(metrics)
{
}

OwnershipMeter::ServiceCells& OwnershipMeter::cellsOf(const std::string& service)
{
    ServiceCells& cells = m_services[service];
    if (!cells.moves) {
        const std::string labels = "service=\"" + service + "\"";
        cells.moves = &m_metrics.counter(
            "jasminespread_partition_moves_total", labels, "Changes of partitions' owners that this instance saw.");
        cells.unavailableMs = &m_metrics.counter("jasminespread_partition_unavailable_milliseconds_total", labels,
            "Time without an owner, added up over partitions, that this instance saw.");
        cells.partitions
            = &m_metrics.gauge("jasminespread_partitions", labels, "Partitions, those of hot keys included.");
    }
    return cells;
}

void OwnershipMeter::advance(MonotonicTime now)
{
    if (m_snapshot) {
        const double elapsedMs = std::chrono::duration<double, std::milli>(now - m_countedUntil).count();
        for (auto& [name, cells] : m_services) {
            cells.restMs += elapsedMs * static_cast<double>(cells.withoutOwner);
            const auto whole = static_cast<std::uint64_t>(cells.restMs);
            cells.restMs -= static_cast<double>(whole);
            cells.unavailableMs->add(whole);
        }
    }
    m_countedUntil = now;
}

void OwnershipMeter::observe(MonotonicTime now, std::shared_ptr<const RoutingSnapshot> snapshot)
{
    advance(now);
    for (auto& [name, cells] : m_services) {
        cells.withoutOwner = 0;
    }
    for (const auto& [name, service] : snapshot->services) {
        ServiceCells& cells = cellsOf(name);
        std::uint64_t owned = 0;
        std::uint64_t total = service.settings.partitions;
        for (const GroupRoute& group : service.groups) {
            total += group.overrides.size();
            for (const auto& [partition, route] : group.partitions) {
                if (!route.server) {
                    continue;
                }
                ++owned;
                const std::string& owner = snapshot->servers[*route.server].id;
                std::string& last = cells.lastOwners[partition];
                if (last != owner) {
                    if (!last.empty()) {
                        cells.moves->add();
                    }
                    last = owner;
                }
            }
        }
        cells.withoutOwner = total > owned ? total - owned : 0;
        cells.partitions->set(static_cast<double>(total));
    }
    m_snapshot = std::move(snapshot);
}

} // namespace jasminespread
