#include "gateway/gateway_metrics.h"

namespace jasminespread {

void GatewayMetrics::recordDecision(const RecordDecision& decision)
{
    const std::string service = "service=\"" + decision.service + '"';
    MetricsRegistry::Counter*& counter = m_decisions[{decision.service, decision.decision}];
    if (counter == nullptr) {
        counter = &m_registry.counter("jasminespread_gateway_decisions_total",
            service + ",decision=\"" + std::string(decision.decision) + '"', "Decisions about requests.");
    }
    counter->add();
    if (decision.decision != answeredDecision) {
        return;
    }
    MetricsRegistry::Histogram*& seconds = m_seconds[decision.service];
    if (seconds == nullptr) {
        seconds = &m_registry.histogram("jasminespread_gateway_request_seconds", service,
            "Time from the arrival of a request to the answer of its backend server.");
    }
    seconds->record(std::chrono::duration<double>(decision.age).count());
}

void GatewayMetrics::recordServerStatement(const RecordServerStatement& statement)
{
    MetricsRegistry::Counter*& counter = statement.pause ? m_requestedPauses : m_statedShutdowns;
    if (counter == nullptr) {
        counter = &m_registry.counter("jasminespread_gateway_server_statements_total",
            statement.pause ? "statement=\"pause\"" : "statement=\"leaving\"",
            "Answers in which a server asked for a pause, or first stated that it is shutting down.");
    }
    counter->add();
}

void GatewayMetrics::setLostLogLines(std::uint64_t lines)
{
    if (m_lostLogLines == nullptr) {
        m_lostLogLines = &m_registry.counter("jasminespread_log_lines_lost_total", "",
            "Log lines that were lost, because the log was not read or could not be written.");
    }
    m_lostLogLines->add(lines - std::exchange(m_knownLostLogLines, lines));
}

void GatewayMetrics::setEvacuatedDomains(std::size_t domains)
{
    if (m_evacuatedDomains == nullptr) {
        m_evacuatedDomains = &m_registry.gauge(
            "jasminespread_gateway_evacuated_domains", "", "Failure domains whose servers must get nothing.");
    }
    m_evacuatedDomains->set(static_cast<double>(domains));
}

void GatewayMetrics::setColdPermits(const ColdPermits& permits)
{
    if (m_coldPermits == nullptr) {
        m_coldPermits = &m_registry.gauge("jasminespread_gateway_cold_permits", "",
            "Requests that this instance may send to servers in their slow start in any second.");
    }
    double requests = 0;
    for (const ColdPermit& permit : permits) {
        requests += permit.requests;
    }
    m_coldPermits->set(requests);
}

void GatewayMetrics::setClientUsage(const std::vector<ClientAccount::Usage>& listeners)
{
    for (const ClientAccount::Usage& usage : listeners) {
        const std::string listener = "listener=\"" + usage.name + '"';
        ClientCells& cells = m_clients[usage.name];
        if (cells.bytes == nullptr) {
            cells.bytes = &m_registry.gauge(
                "jasminespread_gateway_client_bytes", listener, "Memory that clients make the process hold.");
            cells.connections = &m_registry.gauge(
                "jasminespread_gateway_client_connections", listener, "Open connections of clients.");
        }
        cells.bytes->set(static_cast<double>(usage.bytes));
        cells.connections->set(static_cast<double>(usage.connections));
        for (const auto& [reason, total] : {std::pair<std::string_view, std::uint64_t>("memory", usage.endedForMemory),
                 {"connections", usage.endedForConnections}, {"complete-request", usage.refusedRequests}}) {
            auto& [counter, known] = cells.ended[reason];
            if (counter == nullptr) {
                counter = &m_registry.counter("jasminespread_gateway_clients_ended_total",
                    listener + ",reason=\"" + std::string(reason) + '"',
                    "Clients that were refused or closed for lack of memory or connections.");
            }
            counter->add(total - std::exchange(known, total));
        }
    }
}

void GatewayMetrics::recordStoreCall(std::string_view purpose)
{
    auto it = m_storeCalls.find(purpose);
    if (it == m_storeCalls.end()) {
        const std::string label = "purpose=\"" + std::string(purpose) + '"';
        it = m_storeCalls
                 .emplace(purpose,
                     &m_registry.counter(
                         "jasminespread_gateway_store_calls_total", label, "Calls to the platform's store by purpose."))
                 .first;
    }
    it->second->add();
}

} // namespace jasminespread
