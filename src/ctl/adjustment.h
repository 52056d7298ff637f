#pragma once

#include "ctl/command_line.h"

#include <jasminespread/configuration.h>

namespace jasminespread {

/// Applies a command that adds or removes hot keys, planned stops, refusal rules or servers to the configuration in
/// force. The result is checked. Fails with InvalidInput. Thread-safe.
/// Precondition: the invocation's command is one of these and has its arguments.
[[nodiscard]] Result<Configuration> adjustConfiguration(const Configuration& current, const Invocation& invocation);

} // namespace jasminespread
