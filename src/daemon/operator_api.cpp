#include "daemon/operator_api.h"

#include "base/ended_connections.h"
#include "daemon/socket_address.h"

#include <boost/json.hpp>
#include <libsoup/soup.h>

#include <charconv>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace jasminespread {

namespace {

/// The store accepts values of up to 1 MB, so a larger configuration could not be stored.
constexpr goffset maxBodyBytes = 1'000'000;
constexpr std::size_t maxChangeIdLength = 128;

constexpr const char* jsonType = "application/json";
constexpr const char* textType = "text/plain; charset=utf-8";

/// Returns the body of an error answer: {result, errors: [text]}.
std::string errorBody(std::string_view result, const std::vector<std::string>& errors)
{
    boost::json::array texts;
    for (const std::string& error : errors) {
        texts.emplace_back(error);
    }
    return boost::json::serialize(boost::json::object {{"result", result}, {"errors", std::move(texts)}});
}

void respond(SoupServerMessage* message, unsigned status, const char* type, std::string_view body)
{
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, type, SOUP_MEMORY_COPY, body.data(), body.size());
}

std::string queryValue(GHashTable* query, const char* name)
{
    const auto* value = query ? static_cast<const char*>(g_hash_table_lookup(query, name)) : nullptr;
    return value ? value : "";
}

/// Returns the id in "<prefix><id><suffix>" when @p path has this form and the id is one path segment.
std::optional<std::string> idFromPath(std::string_view path, std::string_view prefix, std::string_view suffix)
{
    if (path.size() <= prefix.size() + suffix.size() || !path.starts_with(prefix) || !path.ends_with(suffix)) {
        return std::nullopt;
    }
    const std::string_view id = path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
    if (id.find('/') != std::string_view::npos) {
        return std::nullopt;
    }
    return std::string(id);
}

} // namespace

struct OperatorApi::State {
    struct PendingRequest {
        SoupServerMessage* message = nullptr;
        OperatorAction action = OperatorAction::ShowStatus;
        GSource* timer = nullptr;
        gulong finishedHandler = 0;
    };
    struct TimeoutTarget {
        State* state;
        std::uint64_t request;
    };

    std::string address;
    Milliseconds timeout;
    Hooks hooks;
    SoupServer* server = nullptr;
    std::map<std::uint64_t, PendingRequest> pendingRequests;
    std::uint64_t nextRequest = 1;

    /// Removes a pending request and returns its message, or nullptr when there is none. The calling function owns the
    /// returned reference.
    SoupServerMessage* removePending(std::uint64_t request)
    {
        const auto it = pendingRequests.find(request);
        if (it == pendingRequests.end()) {
            return nullptr;
        }
        const PendingRequest pending = it->second;
        pendingRequests.erase(it);
        g_source_destroy(pending.timer);
        g_source_unref(pending.timer);
        g_signal_handler_disconnect(pending.message, pending.finishedHandler);
        return pending.message;
    }

    void finishRequest(std::uint64_t request, unsigned status, std::string_view body)
    {
        SoupServerMessage* message = removePending(request);
        if (message) {
            respond(message, status, jsonType, body);
            soup_server_message_unpause(message);
            g_object_unref(message);
        }
    }

    static gboolean onTimeout(gpointer data)
    {
        const TimeoutTarget target = *static_cast<TimeoutTarget*>(data);
        const auto it = target.state->pendingRequests.find(target.request);
        if (it == target.state->pendingRequests.end()) {
            return G_SOURCE_REMOVE;
        }
        // A change without an answer may have been made, so only reads are reported as not done.
        const bool isRead
            = it->second.action == OperatorAction::ShowStatus || it->second.action == OperatorAction::ShowConfiguration;
        target.state->finishRequest(target.request, isRead ? SOUP_STATUS_SERVICE_UNAVAILABLE : SOUP_STATUS_BAD_GATEWAY,
            errorBody(isRead ? "unavailable" : "unknown",
                {isRead ? "the instance did not answer in time; repeat the request"
                        : "the instance did not answer in time; the change may have been made, so look at "
                          "/v1/configuration or /v1/status before you repeat it"}));
        return G_SOURCE_REMOVE;
    }

    /// The client disconnected, or the connection broke.
    static void onFinished(SoupServerMessage* message, gpointer data)
    {
        State& state = *static_cast<State*>(data);
        for (const auto& [request, pending] : state.pendingRequests) {
            if (pending.message == message) {
                g_object_unref(state.removePending(request));
                return;
            }
        }
    }

    void awaitAnswer(SoupServerMessage* message, OperatorRequested event)
    {
        const std::uint64_t request = nextRequest++;
        PendingRequest pending;
        pending.message = SOUP_SERVER_MESSAGE(g_object_ref(message));
        pending.action = event.action;
        pending.timer = g_timeout_source_new(static_cast<guint>(timeout.count()));
        g_source_set_callback(pending.timer, onTimeout, new TimeoutTarget {this, request},
            [](gpointer data) { delete static_cast<TimeoutTarget*>(data); });
        g_source_attach(pending.timer, g_main_context_get_thread_default());
        pending.finishedHandler = g_signal_connect(message, "finished", G_CALLBACK(onFinished), this);
        pendingRequests[request] = pending;
        soup_server_message_pause(message);
        event.request = request;
        hooks.request(std::move(event));
    }

    void loadConfiguration(SoupServerMessage* message, GHashTable* query)
    {
        OperatorRequested event;
        event.action = OperatorAction::Load;
        event.changeId = queryValue(query, "change");
        const std::string base = queryValue(query, "base");
        const std::from_chars_result parsed
            = std::from_chars(base.data(), base.data() + base.size(), event.baseRevision);
        std::vector<std::string> errors;
        if (parsed.ec != std::errc() || parsed.ptr != base.data() + base.size()) {
            errors.emplace_back("query parameter base must be the revision that the change is based on");
        }
        if (event.changeId.empty() || event.changeId.size() > maxChangeIdLength) {
            errors.emplace_back("query parameter change must be a change id of 1 to 128 characters");
        }
        const SoupMessageBody* body = soup_server_message_get_request_body(message);
        const std::string_view text(body->data ? body->data : "", static_cast<std::size_t>(body->length));
        event.configuration = handleError(
            [&]() -> Result<std::optional<Configuration>> {
                BOOST_LEAF_AUTO(configuration, decodeConfiguration(text));
                return std::optional<Configuration>(std::move(configuration));
            },
            [&](const Error& error) {
                errors.push_back(describe(error));
                return std::optional<Configuration>();
            });
        if (event.configuration) {
            for (const Error& error : checkConfiguration(*event.configuration)) {
                errors.push_back(describe(error));
            }
        }
        if (!errors.empty()) {
            respond(message, SOUP_STATUS_BAD_REQUEST, jsonType, errorBody("invalid", errors));
            return;
        }
        awaitAnswer(message, std::move(event));
    }

    void requestAction(SoupServerMessage* message, OperatorAction action, std::string argument = {})
    {
        OperatorRequested event;
        event.action = action;
        event.argument = std::move(argument);
        awaitAnswer(message, std::move(event));
    }

    static void rejectMethod(SoupServerMessage* message, const char* allowed)
    {
        soup_message_headers_replace(soup_server_message_get_response_headers(message), "Allow", allowed);
        respond(message, SOUP_STATUS_METHOD_NOT_ALLOWED, jsonType,
            errorBody("invalid", {std::string("this path allows only ") + allowed}));
    }

    void showReport(SoupServerMessage* message, GHashTable* query)
    {
        const std::string format = queryValue(query, "format");
        const Answer answer = hooks.report(format.empty() ? "text" : format);
        respond(message, answer.status, answer.contentType.c_str(), answer.body);
    }

    void handle(SoupServerMessage* message, std::string_view path, GHashTable* query)
    {
        const std::string_view method = soup_server_message_get_method(message);
        const bool isGet = method == "GET" || method == "HEAD";
        const std::optional<std::string> goneServer = idFromPath(path, "/v1/servers/", "/gone");
        const std::optional<std::string> lostInstance = idFromPath(path, "/v1/instances/", "/lost");
        if (path == "/v1/configuration") {
            if (method == "PUT") {
                loadConfiguration(message, query);
            } else if (isGet) {
                requestAction(message, OperatorAction::ShowConfiguration);
            } else {
                rejectMethod(message, "GET, HEAD, PUT");
            }
        } else if (goneServer || lostInstance) {
            if (method != "POST") {
                rejectMethod(message, "POST");
            } else if (goneServer) {
                requestAction(message, OperatorAction::DeclareServerGone, *goneServer);
            } else {
                requestAction(message, OperatorAction::DeclareInstanceLost, *lostInstance);
            }
        } else if (path != "/v1/status" && path != "/metrics" && path != "/healthz" && path != "/readyz"
            && !(path == "/v1/report" && hooks.report)) {
            respond(message, SOUP_STATUS_NOT_FOUND, jsonType,
                errorBody("not-found", {"no such path: " + std::string(path) + "; docs/design.md lists the paths"}));
        } else if (!isGet) {
            rejectMethod(message, "GET, HEAD");
        } else if (path == "/v1/status") {
            requestAction(message, OperatorAction::ShowStatus);
        } else if (path == "/metrics") {
            respond(message, SOUP_STATUS_OK, "text/plain; version=0.0.4; charset=utf-8", hooks.metrics());
        } else if (path == "/healthz") {
            respond(message, SOUP_STATUS_OK, textType, "running\n");
        } else if (path == "/readyz") {
            const bool ready = hooks.ready();
            respond(message, ready ? SOUP_STATUS_OK : SOUP_STATUS_SERVICE_UNAVAILABLE, textType,
                ready ? "ready\n" : "not ready\n");
        } else {
            showReport(message, query);
        }
    }

    /// Runs when the headers have arrived: refuses bodies that are too large or of unknown length before they are
    /// buffered.
    static void onHeaders(SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer)
    {
        SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
        const SoupEncoding encoding = soup_message_headers_get_encoding(headers);
        const bool hasUnknownLength = encoding != SOUP_ENCODING_NONE && encoding != SOUP_ENCODING_CONTENT_LENGTH;
        if (!hasUnknownLength && soup_message_headers_get_content_length(headers) <= maxBodyBytes) {
            return;
        }
        soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
        soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection", "close");
        if (hasUnknownLength) {
            respond(message, SOUP_STATUS_LENGTH_REQUIRED, jsonType,
                errorBody("invalid", {"the request needs a Content-Length header"}));
        } else {
            respond(message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, jsonType,
                errorBody("invalid", {"the body must not exceed " + std::to_string(maxBodyBytes) + " bytes"}));
        }
    }

    static void onRequest(SoupServer*, SoupServerMessage* message, const char* path, GHashTable* query, gpointer data)
    {
        static_cast<State*>(data)->handle(message, path, query);
    }
};

OperatorApi::OperatorApi(std::string address, Milliseconds timeout, Hooks hooks)
    : m_state(std::make_unique<State>())
{
    m_state->address = std::move(address);
    m_state->timeout = timeout;
    m_state->hooks = std::move(hooks);
}

OperatorApi::~OperatorApi()
{
    while (!m_state->pendingRequests.empty()) {
        g_object_unref(m_state->removePending(m_state->pendingRequests.begin()->first));
    }
    if (m_state->server) {
        soup_server_disconnect(m_state->server);
        g_object_unref(m_state->server);
    }
}

Result<void> OperatorApi::start()
{
    State& state = *m_state;
    BOOST_LEAF_AUTO(socketAddress, parseSocketAddress(state.address, "operatorAddress"));
    state.server = soup_server_new("server-header", "jasminespread", nullptr);
    closeEndedConnections(state.server);
    soup_server_add_early_handler(state.server, nullptr, State::onHeaders, &state, nullptr);
    soup_server_add_handler(state.server, nullptr, State::onRequest, &state, nullptr);
    GError* error = nullptr;
    if (!soup_server_listen(state.server, socketAddress.get(), static_cast<SoupServerListenOptions>(0), &error)) {
        const bool inUse = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_ADDRESS_IN_USE);
        const std::string reason = error->message;
        g_error_free(error);
        return fail(inUse ? ErrorKind::AddressInUse : ErrorKind::InvalidInput,
            "operator address " + state.address + ": " + reason
                + "; set operatorAddress to a free IP address and port of this machine");
    }
    return {};
}

void OperatorApi::answer(std::uint64_t request, unsigned status, const std::string& body)
{
    m_state->finishRequest(request, status, body);
}

} // namespace jasminespread
