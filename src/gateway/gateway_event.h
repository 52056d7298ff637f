#pragma once

#include "gateway/cold_servers.h"
#include "gateway/gateway_configuration.h"
#include "gateway/gateway_request.h"
#include "gateway/listed_server.h"
#include "gateway/server_loads.h"
#include "gateway/shared_retry_budget.h"
#include "ranges/key_range.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace jasminespread {

/// @name Events of the gateway's reducer
/// @{
struct RequestReceived {
    std::uint64_t caller = 0; ///< Unique among unanswered requests.
    GatewayRequest request;
};

/// A caller closed its connection before it was answered.
struct CallerDisconnected {
    std::uint64_t caller = 0;
};

/// A SendToServer effect ended with a complete answer.
struct ServerAnswered {
    std::uint64_t dispatch = 0; ///< SendToServer::dispatch.
    ServerAnswer answer;
};

/// Why a send ended without an answer.
enum class SendFailure : std::uint8_t {
    MayHaveRun, ///< At least one byte of the request was written.
    NotSent, ///< No byte was written, e.g. because the connection could not be opened.
    Withheld, ///< Not sent on purpose: its deadline had passed, or GatewayReducer::maySend() was false.
    CallerLeft ///< Not sent on purpose: the caller had disconnected.
};

inline constexpr std::array<EnumName<SendFailure>, 4> sendFailureNames {{
    {SendFailure::MayHaveRun, "server-broke-off"},
    {SendFailure::NotSent, "server-unreachable"},
    {SendFailure::Withheld, "withheld"},
    {SendFailure::CallerLeft, "caller-left"},
}};

/// A SendToServer effect ended without an answer.
struct SendFailed {
    std::uint64_t dispatch = 0; ///< SendToServer::dispatch.
    SendFailure failure = SendFailure::NotSent;
    std::string cause; ///< For the log.
};

struct GatewayConfigured {
    std::shared_ptr<const GatewayConfiguration> configuration;
};

struct ServersListed {
    std::shared_ptr<const ServerList> servers;
    /// Upper bound of the time since the changes in this list were made; nothing when it is unknown.
    std::optional<Milliseconds> maxChangeAge {};
};

/// The failure domains whose servers must get nothing, as the store lists them.
struct EvacuationsListed {
    std::set<std::string> failureDomains;
    /// Upper bound of the time since the changes in this list were made; nothing when it is unknown.
    std::optional<Milliseconds> maxChangeAge {};
};

/// The range table of one keyed service changed.
struct RangeTableChanged {
    std::shared_ptr<const RangeTable> table;
};

/// Requests in flight from all instances at busy servers, as of recent reports.
struct ServerLoadsReported {
    ServerLoads inFlight;
};

/// The number of instances that share the retry budgets.
struct InstanceCountChanged {
    std::uint32_t instances = 1;
};

/// The leader's permits for cold servers; they replace all earlier ones.
struct ColdPermitsReceived {
    ColdPermits permits;
    MonotonicTime validUntil;
};

/// The machine was suspended, which the clock of the events does not count.
struct MachineSuspended {
    Milliseconds duration {0};
};

/// A stop of this instance was requested.
struct InstanceStopping {
    MonotonicTime lateFrom; ///< From here on callers are expected to use other instances.
    MonotonicTime answersUntil; ///< All requests must be answered by then.
};

/// Lets timers expire; sent at GatewayReducer::nextWake().
struct GatewayTick { };

using GatewayEvent = std::variant<RequestReceived, CallerDisconnected, ServerAnswered, SendFailed, GatewayConfigured,
    ServersListed, EvacuationsListed, RangeTableChanged, ServerLoadsReported, InstanceCountChanged, ColdPermitsReceived,
    MachineSuspended, InstanceStopping, GatewayTick>;
/// @}

/// @name Effects of the gateway's reducer
/// @{

/// Who produced an answer, and whether the request may have been executed.
enum class AnswerOrigin : std::uint8_t {
    Server, ///< A backend server; its answer is returned unchanged.
    Refusal, ///< The gateway; the request was not executed and will not be.
    Failure ///< The gateway; the request may have been executed.
};

inline constexpr std::array<EnumName<AnswerOrigin>, 3> answerOriginNames {{
    {AnswerOrigin::Server, "server"},
    {AnswerOrigin::Refusal, "refusal"},
    {AnswerOrigin::Failure, "failure"},
}};

/// Answers a caller's request.
struct AnswerRequest {
    std::uint64_t caller = 0;
    std::string requestId;
    AnswerOrigin origin = AnswerOrigin::Refusal;
    unsigned status = 503;
    std::vector<HeaderField> headers;
    std::string body;
    Milliseconds retryAfter {0}; ///< When the caller should retry; 0: not stated.
};

/// Sends a request to a backend server.
struct SendToServer {
    std::uint64_t dispatch = 0; ///< Number of this send; unique.
    std::uint64_t caller = 0; ///< Nothing is written after it has disconnected.
    ListedServer server;
    std::shared_ptr<const GatewayRequest> request;
    Milliseconds timeLeft {0}; ///< Until the deadline.
    MonotonicTime deadline; ///< When the caller stops waiting. Nothing is written after it.
    /// The request was dispatched to this address before: a second copy of that answer would carry the same id.
    bool repeated = false;
};

/// Cancels a send and closes its connection, so that the server can stop working on it.
struct CancelSend {
    std::uint64_t dispatch = 0; ///< SendToServer::dispatch.
};

/// RecordDecision::decision of a request that got the answer of a backend server.
inline constexpr std::string_view answeredDecision = "answered";

/// A server stated something of itself in an answer that changes whether it gets requests.
struct RecordServerStatement {
    ServerIdentity server;
    std::string requestId; ///< The request that it answered.
    std::optional<Milliseconds> pause; ///< The pause that it asks for; nothing: it is shutting down.
};

/// Logs one decision about a request.
struct RecordDecision {
    std::string requestId;
    std::string route;
    std::string service;
    std::string server; ///< Empty when no server was involved.
    std::string_view decision; ///< What was done.
    std::string reason; ///< Why, with the values that led to it.
    Milliseconds age {0}; ///< Time since the request arrived.
};

/// Counts a request for a key, so that the range authority can balance the load of the keys.
struct CountKey {
    std::string service;
    std::uint16_t key = 0;
};

using GatewayEffect
    = std::variant<AnswerRequest, SendToServer, CancelSend, RecordDecision, RecordServerStatement, CountKey>;
using GatewayEffects = std::vector<GatewayEffect>;
/// @}

struct TimedGatewayEvent {
    MonotonicTime now;
    GatewayEvent event;
};

} // namespace jasminespread
