#pragma once

#include <jasminespread/time.h>

#include <cstdint>
#include <functional>
#include <string>

namespace jasminespread {

/// How far a request to an instance got.
enum class CallProgress : std::uint8_t {
    NotConnected, ///< No connection could be made; the instance saw nothing of the request.
    AnswerLost, ///< The request was sent at least in part, but no whole answer arrived.
    Answered
};

struct OperatorReply {
    CallProgress progress = CallProgress::NotConnected;
    unsigned status = 0; ///< HTTP status when answered.
    std::string body;
    std::string failure; ///< Reason when not answered.
};

struct OperatorCall {
    std::string server; ///< Operator address of an instance: IP number and port.
    std::string method;
    std::string target; ///< Path and query.
    std::string body; ///< JSON; empty for none.
};

/// Carries out one call and waits for its end.
using OperatorCaller = std::function<OperatorReply(const OperatorCall&)>;

/// Makes a caller over HTTP. A call without progress for @p timeout ends. Use on one thread.
[[nodiscard]] OperatorCaller makeHttpOperatorCaller(Milliseconds timeout);

} // namespace jasminespread
