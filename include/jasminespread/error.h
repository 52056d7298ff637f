#pragma once

#include <jasminespread/enum_names.h>

#include <boost/leaf.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jasminespread {

/// Kinds of errors that callers of the library handle differently.
enum class ErrorKind : std::uint8_t {
    InvalidInput, ///< A file, argument or message is malformed or fails a check.
    NotFound,
    Conflict, ///< Another writer changed the object first.
    Unavailable, ///< A peer, a server or the platform does not answer; the operation had no effect.
    UnknownOutcome, ///< A change may or may not have taken effect.
    Unconfirmed, ///< A change is stored but not confirmed by every region.
    AddressInUse,
    Internal
};

inline constexpr std::array<EnumName<ErrorKind>, 8> errorKindNames {{
    {ErrorKind::InvalidInput, "invalid-input"},
    {ErrorKind::NotFound, "not-found"},
    {ErrorKind::Conflict, "conflict"},
    {ErrorKind::Unavailable, "unavailable"},
    {ErrorKind::UnknownOutcome, "unknown-outcome"},
    {ErrorKind::Unconfirmed, "unconfirmed"},
    {ErrorKind::AddressInUse, "address-in-use"},
    {ErrorKind::Internal, "internal"},
}};

/// Position in an input document. Line and column count from 1; 0 means unknown.
struct SourcePosition {
    std::string file;
    int line = 0;
    int column = 0;
};

/// A typed error. The message says what is wrong and names the remedy.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    std::optional<SourcePosition> position = std::nullopt;
};

/// Formats as "file:line:column: message", or the bare message without a position. Thread-safe.
[[nodiscard]] std::string describe(const Error& error);

template <typename T> using Result = boost::leaf::result<T>;

/// Makes a failed Result that carries an Error without a position. Thread-safe.
[[nodiscard]] inline boost::leaf::error_id fail(ErrorKind kind, std::string message)
{
    return boost::leaf::new_error(Error {kind, std::move(message)});
}

/// Makes a failed Result that carries an Error at a position in a document. Thread-safe.
[[nodiscard]] inline boost::leaf::error_id fail(
    ErrorKind kind, std::string message, std::optional<SourcePosition> position)
{
    return boost::leaf::new_error(Error {kind, std::move(message), std::move(position)});
}

/// Runs @p tryBlock (returning Result<T>) and passes an Error to @p handler (returning T). Thread-safe.
template <typename TryBlock, typename Handler> [[nodiscard]] auto handleError(TryBlock&& tryBlock, Handler&& handler)
{
    return boost::leaf::try_handle_all(
        std::forward<TryBlock>(tryBlock), [&](const Error& error) { return handler(error); },
        [&] {
            return handler(Error {ErrorKind::Internal, "unexpected error without details"});
        });
}

} // namespace jasminespread
