#pragma once

#include "gateway/gateway_event.h"
#include "http/client_account.h"

#include <jasminespread/metrics_registry.h>

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jasminespread {

/// Counts what a gateway does (docs/metrics.md). Not thread-safe.
class GatewayMetrics {
public:
    /// Precondition: @p registry outlives this object.
    explicit GatewayMetrics(MetricsRegistry& registry)
        : m_registry(registry)
    {
    }

    void recordDecision(const RecordDecision& decision);
    /// Counts an answer in which a server asks for a pause, or first states that it is shutting down.
    void recordServerStatement(const RecordServerStatement& statement);
    /// Sets the number of log lines of this process that were lost.
    void setLostLogLines(std::uint64_t lines);
    /// Sets the number of evacuated failure domains.
    void setEvacuatedDomains(std::size_t domains);
    /// Sets this instance's permits for servers in their slow start.
    void setColdPermits(const ColdPermits& permits);
    /// Sets what the clients of each listener hold, and adds those that were ended since the last call.
    void setClientUsage(const std::vector<ClientAccount::Usage>& listeners);
    /// Counts a call to the platform's store.
    void recordStoreCall(std::string_view purpose);

private:
    struct ClientCells {
        MetricsRegistry::Gauge* bytes = nullptr;
        MetricsRegistry::Gauge* connections = nullptr;
        std::map<std::string_view, std::pair<MetricsRegistry::Counter*, std::uint64_t>> ended; ///< Cell and value.
    };

    MetricsRegistry& m_registry;
    MetricsRegistry::Counter* m_lostLogLines = nullptr;
    std::uint64_t m_knownLostLogLines = 0;
    std::map<std::pair<std::string, std::string_view>, MetricsRegistry::Counter*>
        m_decisions; ///< By service, decision.
    MetricsRegistry::Counter* m_requestedPauses = nullptr;
    MetricsRegistry::Counter* m_statedShutdowns = nullptr;
    MetricsRegistry::Gauge* m_evacuatedDomains = nullptr;
    MetricsRegistry::Gauge* m_coldPermits = nullptr;
    std::map<std::string, ClientCells> m_clients; ///< By listener.
    std::map<std::string, MetricsRegistry::Histogram*> m_seconds; ///< By service.
    std::map<std::string, MetricsRegistry::Counter*, std::less<>> m_storeCalls; ///< By purpose.
};

} // namespace jasminespread
