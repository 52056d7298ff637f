#pragma once

#include "entry/caller_request.h"

#include <jasminespread/backend_transport.h>
#include <jasminespread/enum_names.h>
#include <jasminespread/time.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jasminespread {

/// A caller's request after the adapter has decoded the platform's headers.
struct GatewayRequest {
    std::string id; ///< Set by the caller; unique for each of its attempts.
    std::string host;
    std::string method;
    std::string path; ///< Without the query.
    std::string target; ///< Path and query as received.
    std::vector<HeaderField> headers; ///< End-to-end fields, forwarded unchanged.
    std::string body;
    std::optional<Milliseconds> timeLeft; ///< How long the caller still waits; absent when not stated.
    std::optional<std::uint16_t> key; ///< Absent when the request carries no key.
    std::optional<MonotonicTime> arrivedAt; ///< When its last byte arrived; absent: when the reducer gets it.
};

/// What a backend server's answer says about whether the request was executed.
enum class Execution : std::uint8_t {
    MayHaveRun, ///< Also applies to every answer that makes no statement.
    NotRun, ///< The server rejected the request before executing it.
    NotOwner ///< Not run: another server owns the key, or now uses the address.
};

inline constexpr std::array<EnumName<Execution>, 3> executionNames {{
    {Execution::MayHaveRun, "may-have-run"},
    {Execution::NotRun, "not-run"},
    {Execution::NotOwner, "not-owner"},
}};

/// A backend server's answer after the adapter has decoded the platform's headers.
struct ServerAnswer {
    unsigned status = 0;
    std::vector<HeaderField> headers; ///< End-to-end fields, returned unchanged.
    std::string body;
    Execution execution = Execution::MayHaveRun;
    /// False for a success without proof that it is a backend server's own answer, complete and unchanged.
    bool verified = true;
    /// @name What the server states of itself, in an answer that is known to be its own
    /// @{
    bool statesLeaving = false; ///< It is shutting down.
    std::optional<Milliseconds> statedWarmUpLeft; ///< Remaining time of its slow start.
    std::optional<Milliseconds> requestedPause; ///< It wants no further requests for this time, which is positive.
    /// @}
};

} // namespace jasminespread
