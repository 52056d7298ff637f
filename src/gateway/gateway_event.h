#pragma once

#include "gateway/gateway_configuration.h"
#include "gateway/gateway_request.h"
#include "gateway/listed_server.h"
#include "gateway/shared_retry_budget.h"
#include "ranges/key_range.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace jasminespread {

/// @name Events of the gateway's reducer
/// @{
struct RequestReceived {
    std::uint64_t caller = 0; ///< Unique among the requests that are not answered.
    GatewayRequest request;
};

/// A caller closed its connection before its answer.
struct CallerDisconnected {
    std::uint64_t caller = 0;
};

/// Ends a SendToServer effect with a whole answer.
struct ServerAnswered {
    std::uint64_t dispatch = 0;
    ServerAnswer answer;
};

/// How a send ended without an answer.
enum class SendFailure : std::uint8_t {
    MayHaveRun, ///< At least one byte of the request was written.
    NotSent, ///< The server could not be reached.
    Withheld ///< Nothing was written, because the caller had left or its time was over.
};

inline constexpr std::array<EnumName<SendFailure>, 3> sendFailureNames {{
    {SendFailure::MayHaveRun, "server-broke-off"},
    {SendFailure::NotSent, "server-unreachable"},
    {SendFailure::Withheld, "withheld"},
}};

/// Ends a SendToServer effect without an answer.
struct SendFailed {
    std::uint64_t dispatch = 0;
    SendFailure failure = SendFailure::NotSent;
    std::string cause;
};

struct GatewayConfigured {
    std::shared_ptr<const GatewayConfiguration> configuration;
};

struct ServersListed {
    std::shared_ptr<const ServerList> servers;
};

/// Routes of one keyed service changed.
struct RangeRoutesChanged {
    std::shared_ptr<const RangeTable> table;
};

/// Requests of all instances at busy servers, as known a moment ago.
struct ServerLoadsReported {
    std::map<std::string, std::uint32_t> inFlight; ///< By server; others are not busy.
};

/// The number of instances that share the budgets.
struct InstanceCountChanged {
    std::uint32_t instances = 1;
};

/// Time passes. Arrives every few milliseconds while requests wait.
struct GatewayTick { };

using GatewayEvent = std::variant<RequestReceived, CallerDisconnected, ServerAnswered, SendFailed, GatewayConfigured,
    ServersListed, RangeRoutesChanged, ServerLoadsReported, InstanceCountChanged, GatewayTick>;
/// @}

/// @name Effects of the gateway's reducer
/// @{

/// Who made an answer, and what it says about execution.
enum class AnswerOrigin : std::uint8_t {
    Server, ///< A backend server's answer, returned unchanged.
    Refusal, ///< The request was not run and will not be.
    Failure ///< The request may have run.
};

inline constexpr std::array<EnumName<AnswerOrigin>, 3> answerOriginNames {{
    {AnswerOrigin::Server, "server"},
    {AnswerOrigin::Refusal, "refusal"},
    {AnswerOrigin::Failure, "failure"},
}};

struct AnswerRequest {
    std::uint64_t caller = 0;
    std::string requestId;
    AnswerOrigin origin = AnswerOrigin::Refusal;
    unsigned status = 503;
    std::vector<HeaderField> headers;
    std::string body;
    Milliseconds retryAfter {0}; ///< When to come back; 0: not stated.
};

struct SendToServer {
    std::uint64_t dispatch = 0;
    std::uint64_t caller = 0; ///< Nothing is written once it has left.
    ListedServer server;
    std::shared_ptr<const GatewayRequest> request;
    Milliseconds timeLeft {0}; ///< How long the caller still waits.
    MonotonicTime deadline; ///< Same, as a time. Nothing is written after it.
};

/// Ends a dispatch and closes its connection, so that the server stops its work.
struct CancelSend {
    std::uint64_t dispatch = 0;
};

/// One decision about a request, for the log and the counters.
struct RecordDecision {
    std::string requestId;
    std::string route;
    std::string service;
    std::string server; ///< Empty when none was involved.
    std::string_view decision; ///< What was done.
    std::string reason; ///< Why, with the inputs that decided it.
    Milliseconds age {0}; ///< Of the request.
};

/// A request for a key arrived.
struct CountKey {
    std::string service;
    std::uint16_t key = 0;
};

using GatewayEffect = std::variant<AnswerRequest, SendToServer, CancelSend, RecordDecision, CountKey>;
using GatewayEffects = std::vector<GatewayEffect>;
/// @}

struct TimedGatewayEvent {
    MonotonicTime now;
    GatewayEvent event;
};

} // namespace jasminespread
