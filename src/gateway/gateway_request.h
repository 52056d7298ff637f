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

/// A request of a caller after the adapter decoded the platform's headers.
struct GatewayRequest {
    std::string id; ///< The caller's; unique for each attempt of a caller.
    std::string host;
    std::string method;
    std::string path; ///< Without the query.
    std::string target; ///< Path and query as received.
    std::vector<HeaderField> headers; ///< End-to-end fields, forwarded unchanged.
    std::string body;
    std::optional<Milliseconds> timeLeft; ///< How long the caller waits; absent when it does not say.
    std::optional<std::uint16_t> key; ///< Absent when the caller sent none.
};

/// What a backend server's answer says about execution.
enum class Execution : std::uint8_t {
    MayHaveRun, ///< Also every answer that does not say otherwise.
    NotRun, ///< The server refused before it began.
    NotOwner ///< Not run, because another server owns the key or has the address.
};

inline constexpr std::array<EnumName<Execution>, 3> executionNames {{
    {Execution::MayHaveRun, "may-have-run"},
    {Execution::NotRun, "not-run"},
    {Execution::NotOwner, "not-owner"},
}};

/// A backend server's answer after the adapter decoded the platform's headers.
struct ServerAnswer {
    unsigned status = 0;
    std::vector<HeaderField> headers; ///< End-to-end fields, returned unchanged.
    std::string body;
    Execution execution = Execution::MayHaveRun;
    bool genuine = true; ///< False: a success without the signs of a backend server's own, complete answer.
};

} // namespace jasminespread
