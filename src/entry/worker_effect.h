#pragma once

#include "entry/caller_request.h"

#include <jasminespread/backend_transport.h>
#include <jasminespread/log_event.h>
#include <jasminespread/outcome.h>
#include <jasminespread/routing_snapshot.h>

#include <peer.pb.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace jasminespread {

struct AnswerCaller {
    std::uint64_t caller = 0;
    RequestId id;
    RequestAnswer answer;
};

/// Sends a request to a backend server. A BackendFinished event follows unless the dispatch is cancelled.
struct SendToBackend {
    std::uint64_t dispatch = 0;
    BackendRequest request;
};

struct CancelDispatch {
    std::uint64_t dispatch = 0;
};

/// Forwards a request to a worker of the primary. The worker sets the reply address and reports a failure with a
/// ForwardNotSent event.
struct SendForward {
    std::string address; ///< IP address and port of the worker's forward socket.
    wire::ForwardRequest request;
};

struct SendForwardCancel {
    std::string address;
    std::uint64_t correlation = 0;
};

struct SendForwardAnswer {
    std::string address; ///< Reply address of the forwarded request.
    wire::ForwardAnswer answer;
    MonotonicTime expires; ///< The answer may be dropped afterwards.
};

/// A backend server or a primary refused the local route to a group.
struct ReportRefusedRoute {
    GroupName group;
};

struct RecordRequest {
    std::string service; ///< Empty when the request named no known service.
    Outcome outcome = Outcome::Done;
    std::string reason;
    double seconds = 0;
    std::string server = {}; ///< Empty when the request reached no backend server.
};

/// Data path counters without labels.
enum class WorkerCounter : std::uint8_t { LateAnswers, RouteRefusals, Expired, Joined, CallersDisconnected };

struct IncrementCounter {
    WorkerCounter counter {};
};

struct CountRetry {
    std::string service;
};

struct WriteWorkerLog {
    LogEvent event {};
    std::string details;
};

using WorkerEffect = std::variant<AnswerCaller, SendToBackend, CancelDispatch, SendForward, SendForwardCancel,
    SendForwardAnswer, ReportRefusedRoute, RecordRequest, IncrementCounter, CountRetry, WriteWorkerLog>;

using WorkerEffects = std::vector<WorkerEffect>;

} // namespace jasminespread
