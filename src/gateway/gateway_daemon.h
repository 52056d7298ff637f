#pragma once

#include "gateway/gateway_ports.h"
#include "gateway/gateway_reducer.h"
#include "gateway/server_directory.h"

#include <jasminespread/backend_transport.h>
#include <jasminespread/error.h>
#include <jasminespread/time.h>

#include <cstdint>
#include <functional>
#include <string>

namespace jasminespread {

/// Settings of a gateway process.
struct GatewayDaemonSettings {
    std::string instance;
    std::string callerAddress; ///< IP address and port.
    std::string readinessAddress; ///< Answers the load balancer's readiness checks.
    std::string controlAddress; ///< Receives messages from other instances.
    bool isFirstStart = false; ///< The whole system starts for the first time.
    std::uint64_t memoryBytes = 0; ///< Memory that the process may use; 0: not limited.
    std::uint32_t maxDescriptors = 0; ///< File descriptors that the process may open; 0: not stated.
    std::uint32_t maxPipelinedRequests = HttpServerLimits().maxPipelinedRequests; ///< Per caller's connection.
    std::uint32_t maxPipelinedBytes = HttpServerLimits().maxPipelinedBytes; ///< Per caller's connection.
    /// Average rate at which a request's body must arrive; see HttpServerLimits.
    std::uint32_t minBodyBytesPerSecond = HttpServerLimits().minBodyBytesPerSecond;
    GatewayReducerSettings reducer;
    Milliseconds stopTimeout {6000}; ///< From the stop signal until the process is killed.
    /// How long service discovery lists a server that writes nothing more.
    Milliseconds registrationExpiry = ServerDirectoryTimes().registrationExpiry;
    /// Shortest outage of the store in which the registration of a running server can expire.
    Milliseconds shortestExpiringOutage = ServerDirectoryTimes().shortestExpiringOutage;
    Milliseconds maxHold {10'000}; ///< Longest time that a grant of a key range may last.
    double processorShare = 1; ///< Processor time that the process may use, in cores.
};

/// Runs a gateway on the calling thread until SIGTERM or SIGINT. @p makePorts gets the transport for the adapter's
/// calls. @p reload is called on SIGHUP to read the settings again; only stopTimeout is applied. Fails when it cannot
/// listen on an address. Precondition: called at most once per process.
[[nodiscard]] Result<void> runGatewayDaemon(const GatewayDaemonSettings& settings,
    const std::function<GatewayPorts(BackendTransport&)>& makePorts,
    const std::function<Result<GatewayDaemonSettings>()>& reload);

} // namespace jasminespread
