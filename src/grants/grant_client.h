#pragma once

#include <jasminespread/grant.h>
#include <jasminespread/time.h>

#include <functional>
#include <memory>
#include <optional>

namespace jasminespread {

/// Sends grants to backend servers over persistent HTTP connections. Not thread-safe: constructed, used and
/// destroyed on one thread, whose default main context runs all callbacks.
class GrantClient {
public:
    using Callback = std::function<void(std::optional<GrantReply>)>;

    /// @param timeout longest duration of one call, including the connection setup.
    explicit GrantClient(Milliseconds timeout);
    /// Cancels the calls in flight; their callbacks do not run.
    ~GrantClient();
    GrantClient(const GrantClient&) = delete;
    GrantClient& operator=(const GrantClient&) = delete;

    /// Posts @p batch to its server and returns at once. The callback runs once, later. It gets nothing when no answer
    /// arrives in time, or when the answer is unreadable or comes from a server with another id.
    void send(const GrantBatch& batch, Callback callback);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jasminespread
