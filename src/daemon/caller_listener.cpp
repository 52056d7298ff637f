#include "daemon/caller_listener.h"

#include "http/http_server.h"

#include <jasminespread/log_event.h>

#include <utility>

namespace jasminespread {
namespace {

/// Callers keep connections open between requests; those idle for this long are closed.
constexpr Milliseconds idleTimeout {75'000};
constexpr Milliseconds headerTimeout {10'000};

HttpServerLimits limitsFor(std::uint64_t maxBodyBytes)
{
    HttpServerLimits limits;
    limits.maxBodyBytes = maxBodyBytes;
    limits.headerTimeout = headerTimeout;
    limits.idleTimeout = idleTimeout;
    limits.acceptChunked = false; // The caller protocol requires Content-Length.
    return limits;
}

std::string_view refusalReason(unsigned status)
{
    switch (status) {
    case 411:
        return reason::lengthRequired;
    case 413:
        return reason::bodyTooLarge;
    case 431:
        return reason::headersTooLarge;
    default:
        return reason::badFraming;
    }
}

} // namespace

struct CallerListener::State {
    State(std::uint64_t maxBodyBytes, Hooks hooks)
        : onRefused(std::move(hooks.requestRefused))
        , server(limitsFor(maxBodyBytes),
              {std::move(hooks.requestReceived), std::move(hooks.callerDisconnected),
                  [this](CallerAnswer& answer, const std::string& caller) { onInputRefused(answer, caller); }})
    {
    }

    void onInputRefused(CallerAnswer& answer, const std::string& caller) const
    {
        logEvent(LogEvent::RequestRejected,
            "address=" + caller + " status=" + std::to_string(answer.status) + " why=" + answer.body);
        const std::string_view reasonCode = refusalReason(answer.status);
        answer.headers.push_back({"Jasminespread-Outcome", std::string(enumName(outcomeNames, Outcome::NotRun))});
        answer.headers.push_back({"Jasminespread-Reason", std::string(reasonCode)});
        onRefused(reasonCode);
    }

    std::function<void(std::string_view)> onRefused;
    HttpServer server;
};

CallerListener::CallerListener(std::uint64_t maxBodyBytes, Hooks hooks)
    : m_state(std::make_unique<State>(maxBodyBytes, std::move(hooks)))
{
}

CallerListener::~CallerListener() = default;

Result<void> CallerListener::checkAddressFree(const std::string& address)
{
    HttpServer probe(HttpServerLimits(), {});
    return probe.listen(address);
}

Result<void> CallerListener::listen(const std::string& address) { return m_state->server.listen(address, true); }

void CallerListener::closeAfterAnswers() { m_state->server.drain(idleTimeout); }

bool CallerListener::stopListening()
{
    if (m_state->server.hasBacklog()) {
        return false;
    }
    m_state->server.stopListening();
    return true;
}

void CallerListener::answer(std::uint64_t caller, const RequestId& id, RequestAnswer&& answer)
{
    CallerAnswer encoded;
    encoded.status = answer.status;
    encoded.headers = std::move(answer.headers);
    encoded.body = std::move(answer.body);
    encoded.headers.push_back({"Jasminespread-Outcome", std::string(enumName(outcomeNames, answer.outcome))});
    if (!answer.reason.empty()) {
        encoded.headers.push_back({"Jasminespread-Reason", std::move(answer.reason)});
    }
    if (id != RequestId()) {
        encoded.headers.push_back({"Jasminespread-Request-Id", id.text()});
    }
    if (!answer.server.empty()) {
        encoded.headers.push_back({"Jasminespread-Server", std::move(answer.server)});
    }
    m_state->server.answer(caller, std::move(encoded));
}

std::size_t CallerListener::pending() const noexcept { return m_state->server.pending(); }

} // namespace jasminespread
