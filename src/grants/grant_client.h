#pragma once

#include <jasminespread/grant.h>
#include <jasminespread/time.h>

#include <functional>
#include <memory>
#include <optional>

namespace jasminespread {

/// Sends grants to backend servers over HTTP with connections that stay open. Not thread-safe: constructed, used and
/// destroyed on one thread, whose default main context runs all callbacks.
class GrantClient {
public:
    using Callback = std::function<void(std::optional<GrantReply>)>;

    /// @param timeout longest time for one call, connecting included.
    explicit GrantClient(Milliseconds timeout);
    /// Cancels the calls in flight; their callbacks do not run.
    ~GrantClient();
    GrantClient(const GrantClient&) = delete;
    GrantClient& operator=(const GrantClient&) = delete;

    /// Posts @p batch to its server and returns at once. The callback runs once, later. It gets nothing when no answer
    /// came in time, or when the answer could not be read or came from a server with another id.
    void send(const GrantBatch& batch, Callback callback);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace jasminespread
