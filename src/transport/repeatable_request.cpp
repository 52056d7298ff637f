#include "transport/repeatable_request.h"

#include <utility>

namespace jasminespread {

void sendRepeatable(const std::shared_ptr<const BackendTransport>& transport, BackendRequest request,
    BackendTransport::Callback callback)
{
    BackendRequest repeated = request;
    repeated.needsNewConnection = true;
    transport->send(std::move(request),
        [weakTransport = std::weak_ptr<const BackendTransport>(transport), repeated = std::move(repeated),
            callback = std::move(callback)](BackendResult result) mutable {
            const std::shared_ptr<const BackendTransport> open = weakTransport.lock();
            const bool isLost = result.progress == BackendProgress::Broken && !result.timedOut;
            if (!open || !isLost || !result.connectionReused) {
                return callback(std::move(result));
            }
            open->send(std::move(repeated), std::move(callback));
        });
}

} // namespace jasminespread
