#pragma once

#include "gateway/gateway_ports.h"
#include "gateway/gateway_reducer.h"

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
    std::string callerAddress; ///< IP number and port.
    std::string readinessAddress;
    std::string controlAddress; ///< For messages between instances.
    std::uint64_t maxAnswerBytes = 67'108'864; ///< Largest body that a backend server may answer.
    GatewayReducerSettings reducer;
    Milliseconds stopTimeout {6000}; ///< From the request to stop to the forced end.
    Milliseconds maxHold {10'000}; ///< Of a grant of keys.
    double processorShare = 1; ///< Of a core, that the process may use.
};

/// Runs a gateway until SIGTERM or SIGINT: one thread, one main loop. @p makePorts gets the transport for its calls.
/// @p reload is called on SIGHUP and returns the settings that may change while the process runs.
/// Precondition: called once in the process.
[[nodiscard]] Result<void> runGatewayDaemon(const GatewayDaemonSettings& settings,
    const std::function<GatewayPorts(BackendTransport&)>& makePorts,
    const std::function<Result<GatewayDaemonSettings>()>& reload);

} // namespace jasminespread
