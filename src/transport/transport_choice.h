#pragma once

#include <jasminespread/backend_transport.h>

namespace jasminespread {

/// Makes the transport that workers use, on the calling thread's default main context.
[[nodiscard]] BackendTransport makeDefaultBackendTransport();

} // namespace jasminespread
