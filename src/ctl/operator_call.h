#pragma once

#include <jasminespread/time.h>

#include <cstdint>
#include <functional>
#include <string>

namespace jasminespread {

/// Progress of a request to an instance when the call ended.
enum class CallProgress : std::uint8_t {
    NotConnected, ///< No connection could be established; no part of the request was sent.
    AnswerLost, ///< The request was sent at least in part, but no complete answer was received.
    Answered
};

struct OperatorReply {
    CallProgress progress = CallProgress::NotConnected;
    unsigned status = 0; ///< HTTP status when answered.
    std::string body;
    std::string failure; ///< Reason why there is no answer; empty when answered.
};

struct OperatorCall {
    std::string operatorAddress; ///< Operator address of an instance: IP address and port.
    std::string method;
    std::string target; ///< Path and query.
    std::string body; ///< JSON; empty if the request has no body.
};

/// Sends one request and blocks until it is answered or has failed.
using OperatorCaller = std::function<OperatorReply(const OperatorCall&)>;

/// Returns a caller that uses HTTP. A call that takes longer than @p timeout fails, and an answer that cannot be read
/// is lost. Thread-safe.
[[nodiscard]] OperatorCaller makeHttpOperatorCaller(Milliseconds timeout);

} // namespace jasminespread
