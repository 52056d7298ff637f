#pragma once

#include <jasminespread/error.h>

#include <iostream>

namespace jasminespread {

/// Exit codes of the daemons; --help lists them.
enum ExitCode : int { Success = 0, Failure = 1, BadInput = 2, AddressTaken = 3 };

/// Prints @p error to standard error, after the name of @p program, and returns the exit code for it. Thread-safe.
inline int reportError(const char* program, const Error& error)
{
    std::cerr << program << ": " << describe(error) << '\n';
    switch (error.kind) {
    case ErrorKind::InvalidInput:
    case ErrorKind::NotFound:
        return BadInput;
    case ErrorKind::AddressInUse:
        return AddressTaken;
    default:
        return Failure;
    }
}

} // namespace jasminespread
