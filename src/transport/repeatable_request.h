#pragma once

#include <jasminespread/backend_transport.h>

#include <memory>

namespace jasminespread {

/// Sends a request that may be executed more than once. If the kept connection that it was sent on is lost without a
/// complete answer, the request is sent once more, on a new connection and with the same deadline. The callback runs as
/// that of BackendTransport::send() does, and not at all once @p transport has been destroyed. Call it on the
/// transport's thread.
void sendRepeatable(const std::shared_ptr<const BackendTransport>& transport, BackendRequest request,
    BackendTransport::Callback callback);

} // namespace jasminespread
