#pragma once

#include "entry/caller_request.h"

#include <jasminespread/backend_transport.h>
#include <jasminespread/group_record.h>
#include <jasminespread/routing_snapshot.h>
#include <jasminespread/time.h>

#include <peer.pb.h>

#include <cstdint>
#include <memory>
#include <variant>

namespace jasminespread {

/// A valid request arrived on a caller's connection.
struct CallerRequestReceived {
    std::uint64_t caller = 0; ///< Number of the waiting caller, unique within the worker.
    CallerRequest request;
};

/// A caller closed its connection before it was answered.
struct CallerConnectionClosed {
    std::uint64_t caller = 0;
};

struct ForwardReceived {
    InstanceReference sender;
    wire::ForwardRequest request;
};

struct ForwardCancelled {
    InstanceReference sender;
    std::uint64_t correlation = 0;
};

struct ForwardAnswered {
    wire::ForwardAnswer answer;
};

/// A SendForward effect failed, and nothing was sent.
struct ForwardNotSent {
    std::uint64_t correlation = 0;
};

/// Result of a SendToBackend effect.
struct BackendFinished {
    std::uint64_t dispatch = 0;
    BackendResult result;
};

struct RoutesChanged {
    std::shared_ptr<const RoutingSnapshot> snapshot;
};

/// Timer event, which arrives every few milliseconds.
struct WorkerTick { };

using WorkerEvent = std::variant<CallerRequestReceived, CallerConnectionClosed, ForwardReceived, ForwardCancelled,
    ForwardAnswered, ForwardNotSent, BackendFinished, RoutesChanged, WorkerTick>;

struct TimedWorkerEvent {
    MonotonicTime now;
    WallTime wallNow;
    WorkerEvent event;
};

} // namespace jasminespread
