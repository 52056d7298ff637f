#pragma once

#include "entry/caller_request.h"

#include <jasminespread/error.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jasminespread {

/// HTTP server of one worker for the caller protocol. Call all methods except checkAddressFree() on the worker's
/// thread.
class CallerListener {
public:
    struct Hooks {
        std::function<void(std::uint64_t caller, RawRequest&& request)> requestReceived;
        /// The connection closed before answer() was called.
        std::function<void(std::uint64_t caller)> callerDisconnected;
        /// The listener itself refused a request that is malformed, too large or too slow.
        std::function<void(std::string_view reasonCode)> requestRefused;
    };

    CallerListener(std::uint64_t maxBodyBytes, Hooks hooks);
    ~CallerListener();
    CallerListener(const CallerListener&) = delete;
    CallerListener& operator=(const CallerListener&) = delete;

    /// Fails with AddressInUse when another process listens on @p address. Needed because the workers listen with
    /// SO_REUSEPORT, which lets processes of the same user share an address by mistake. Thread-safe.
    [[nodiscard]] static Result<void> checkAddressFree(const std::string& address);

    /// Listens on @p address (IP address and port) with SO_REUSEPORT. Serves on the thread's default main context.
    [[nodiscard]] Result<void> listen(const std::string& address);
    /// From now on, closes each connection after its next answer, and idle connections after a time limit.
    void closeAfterAnswers();
    /// Closes the listening socket unless its backlog holds a connection, which closing would reset. Returns whether
    /// the socket is closed.
    bool stopListening();
    /// Sends an answer to a caller, without a request id header when @p id is default-constructed. Ignores unknown
    /// callers.
    void answer(std::uint64_t caller, const RequestId& id, RequestAnswer&& answer);
    /// Number of requests whose headers have arrived and whose answers are not completely sent.
    [[nodiscard]] std::size_t pending() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jasminespread
