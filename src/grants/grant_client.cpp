#include "grants/grant_client.h"

#include "transport/repeatable_request.h"

#include <jasminespread/backend_transports.h>

#include <string>
#include <utility>

namespace jasminespread {

namespace {

constexpr std::uint64_t maxReplyBytes = 4'194'304;
constexpr std::uint32_t maxConnectionsPerServer = 2;
constexpr unsigned okStatus = 200;

std::optional<GrantReply> parseReply(const BackendResult& result, const std::string& server)
{
    if (result.progress != BackendProgress::Answered || result.status != okStatus) {
        return std::nullopt;
    }
    return handleError(
        [&]() -> Result<std::optional<GrantReply>> {
            BOOST_LEAF_AUTO(reply, decodeGrantReply(result.body));
            if (reply.server != server) {
                return std::optional<GrantReply>();
            }
            return std::optional<GrantReply>(std::move(reply));
        },
        [](const Error&) { return std::optional<GrantReply>(); });
}

} // namespace

struct GrantClient::State {
    Milliseconds timeout {0};
    std::shared_ptr<const BackendTransport> transport;
};

GrantClient::GrantClient(Milliseconds timeout)
    : m_state(std::make_unique<State>())
{
    m_state->timeout = timeout;
    m_state->transport = std::make_shared<const BackendTransport>(makeBeastBackendTransport({maxReplyBytes}));
}

GrantClient::~GrantClient() = default;

void GrantClient::send(const GrantBatch& batch, Callback callback)
{
    m_state->transport->setConnectionLimit(batch.address, maxConnectionsPerServer);
    BackendRequest request;
    request.address = batch.address;
    request.method = "POST";
    request.target = "/control/grants";
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = encodeGrantBatch(batch);
    request.deadline = monotonicNow() + m_state->timeout;
    sendRepeatable(m_state->transport, std::move(request),
        [server = batch.server, callback = std::move(callback)](
            const BackendResult& result) { callback(parseReply(result, server)); });
}

} // namespace jasminespread
