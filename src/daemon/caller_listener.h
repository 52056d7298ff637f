#pragma once

#include "entry/caller_request.h"

#include <jasminespread/error.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jasminespread {

/// The HTTP server of one worker for callers of the product's own protocol. All methods except checkAddressFree belong
/// to the worker's thread.
class CallerListener {
public:
    struct Hooks {
        std::function<void(std::uint64_t caller, RawRequest&& request)> requestReceived;
        /// The connection closed before answer() was called.
        std::function<void(std::uint64_t caller)> callerDisconnected;
        /// The listener refused a request by itself because it is malformed, too large or too slow.
        std::function<void(std::string_view reasonCode)> requestRefused;
    };

    CallerListener(std::uint64_t maxBodyBytes, Hooks hooks);
    ~CallerListener();
    CallerListener(const CallerListener&) = delete;
    CallerListener& operator=(const CallerListener&) = delete;

    /// Fails with AddressInUse when another process listens on @p address. Needed because the workers listen with
    /// SO_REUSEPORT, which lets processes of the same user share an address by mistake. Thread-safe.
    [[nodiscard]] static Result<void> checkAddressFree(const std::string& address);

    /// Listens on @p address (IP number and port) with SO_REUSEPORT. Serves on the thread's default main context.
    [[nodiscard]] Result<void> listen(const std::string& address);
    /// Makes every answer from now on close its connection.
    void closeAfterAnswers();
    /// Closes the listening socket unless a connection waits in its backlog, which closing would reset. Returns
    /// whether it is closed.
    bool stopListening();
    /// Answers a caller; a default-made @p id stands for none. Unknown callers are ignored.
    void answer(std::uint64_t caller, const RequestId& id, RequestAnswer&& answer);
    /// Number of requests whose headers arrived and that are not fully answered yet.
    [[nodiscard]] std::size_t pending() const noexcept;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jasminespread
