#pragma once

#include <jasminespread/error.h>
#include <jasminespread/instance_settings.h>

namespace jasminespread {

/// Runs an entry instance on the calling thread, which becomes its control thread. After SIGTERM or SIGINT it hands its
/// groups over and drains its requests, then returns. Fails with AddressInUse or InvalidInput when it cannot start.
/// Precondition: setUpLogging() was called; no other thread of the process handles these signals.
[[nodiscard]] Result<void> runEntryDaemon(const InstanceSettings& settings);

} // namespace jasminespread
