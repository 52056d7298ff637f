#pragma once

#include <jasminespread/error.h>
#include <jasminespread/event.h>
#include <jasminespread/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jasminespread {

/// HTTP API of an instance for operators. Not thread-safe: construct, use and destroy it on one thread, whose default
/// main context runs it.
class OperatorApi {
public:
    struct Answer {
        unsigned status = 200;
        std::string contentType;
        std::string body;
    };
    struct Hooks {
        /// Receives a request, which a call of answer() must complete, inside the hook or later.
        std::function<void(OperatorRequested)> request;
        std::function<bool()> ready;
        std::function<std::string()> metrics;
        /// Renders the burn report in the given format ("text", "json" or "html"). Empty: the path answers 404.
        std::function<Answer(const std::string& format)> report;
    };

    /// @param timeout after which a request without an answer ends with an error.
    OperatorApi(std::string address, Milliseconds timeout, Hooks hooks);
    /// Closes all connections.
    ~OperatorApi();
    OperatorApi(const OperatorApi&) = delete;
    OperatorApi& operator=(const OperatorApi&) = delete;

    /// Starts listening. Fails with AddressInUse or InvalidInput.
    [[nodiscard]] Result<void> start();
    /// Answers request number @p request with a JSON body. Ignores numbers without a pending request.
    void answer(std::uint64_t request, unsigned status, const std::string& body);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace jasminespread
