#pragma once

#include <jasminespread/backend_transport.h>

namespace jasminespread {

/// Makes a transport over a libsoup session that works on the calling thread's default main context.
[[nodiscard]] BackendTransport makeSoupBackendTransport();

} // namespace jasminespread
