#pragma once

#include <jasminespread/enum_names.h>

#include <cstdint>

namespace jasminespread {

/// What a caller is told about the execution of its request.
enum class Outcome : std::uint8_t {
    Done, ///< The backend server executed the request and its whole answer is passed on.
    NotRun, ///< Proven: no backend server executed it or will execute it.
    Unknown ///< It may have run.
};

inline constexpr std::array<EnumName<Outcome>, 3> outcomeNames {{
    {Outcome::Done, "done"},
    {Outcome::NotRun, "not-run"},
    {Outcome::Unknown, "unknown"},
}};

} // namespace jasminespread
