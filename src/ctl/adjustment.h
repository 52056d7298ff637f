#pragma once

#include "ctl/command_line.h"

#include <jasminespread/configuration.h>

namespace jasminespread {

/// Returns a copy of @p current to which a command has added, or from which it has removed, a hot key, planned stop,
/// refusal rule or backend server. Validates the result. Fails with InvalidInput. Thread-safe.
/// Precondition: @p invocation holds such a command with the required arguments.
[[nodiscard]] Result<Configuration> adjustConfiguration(const Configuration& current, const Invocation& invocation);

} // namespace jasminespread
