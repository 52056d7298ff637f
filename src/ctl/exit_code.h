#pragma once

namespace jasminespread {

/// Exit codes of jasminespreadctl; docs/operators.md explains them.
enum class ExitCode : int {
    Accepted = 0,
    InternalError = 1,
    InvalidInput = 2,
    Conflict = 3,
    StoredNotConfirmed = 4,
    Unavailable = 5,
    UnknownOutcome = 6
};

} // namespace jasminespread
