#pragma once

#include <jasminespread/enum_names.h>

#include <cstdint>

namespace jasminespread {

/// Execution state of a request, as reported to its caller.
enum class Outcome : std::uint8_t {
    Done, ///< The backend server executed the request; the caller gets its complete answer.
    NotRun, ///< It is certain that no backend server has executed or will execute the request.
    Unknown ///< The request may have been executed.
};

inline constexpr std::array<EnumName<Outcome>, 3> outcomeNames {{
    {Outcome::Done, "done"},
    {Outcome::NotRun, "not-run"},
    {Outcome::Unknown, "unknown"},
}};

} // namespace jasminespread
