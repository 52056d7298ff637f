#include <jasminespread/http_object_store.h>

#include "base/json_slices.h"

#include <jasminespread/log_event.h>

#include <boost/json.hpp>
#include <libsoup/soup.h>

#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace jasminespread {

namespace {

// With libsoup's default of 2 connections per host, calls queued behind a slow one would time out.
constexpr int maxConnections = 64;

struct ObjectDeleter {
    void operator()(gpointer object) const noexcept { g_object_unref(object); }
};

template <typename T> using ObjectPointer = std::unique_ptr<T, ObjectDeleter>;

struct HttpAnswer {
    bool started = false; ///< The request may have reached the platform.
    unsigned status = 0; ///< 0: no complete answer arrived.
    std::string text; ///< Body as received.
    boost::json::value body; ///< Null when the text cannot be parsed.
};

using AnswerHandler = std::function<void(const HttpAnswer&)>;

struct Client {
    ObjectPointer<SoupSession> session;
    std::string baseUrl;
    Milliseconds timeout {0};
};

struct Call {
    std::shared_ptr<const Client> client; ///< Keeps the session alive until the call ends.
    ObjectPointer<SoupMessage> message;
    ObjectPointer<GCancellable> cancellable;
    GSource* timer = nullptr;
    bool started = false;
    AnswerHandler handler;

    Call() = default;
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;
    ~Call()
    {
        if (message) {
            g_signal_handlers_disconnect_by_data(message.get(), this);
        }
        if (timer != nullptr) {
            g_source_destroy(timer);
            g_source_unref(timer);
        }
    }
};

std::string escaped(const std::string& segment)
{
    char* text = g_uri_escape_string(segment.c_str(), nullptr, false);
    std::string result(text);
    g_free(text);
    return result;
}

void attach(GSource* source, GSourceFunc function, gpointer data)
{
    g_source_set_callback(source, function, data, nullptr);
    g_source_attach(source, g_main_context_get_thread_default());
}

void onStarting(SoupMessage* /*message*/, gpointer data) { static_cast<Call*>(data)->started = true; }

gboolean onTimeout(gpointer data)
{
    g_cancellable_cancel(static_cast<Call*>(data)->cancellable.get());
    return G_SOURCE_REMOVE;
}

void onAnswer(GObject* session, GAsyncResult* result, gpointer data)
{
    const std::unique_ptr<Call> call(static_cast<Call*>(data));
    GBytes* bytes = soup_session_send_and_read_finish(SOUP_SESSION(session), result, nullptr);
    HttpAnswer answer;
    answer.started = call->started;
    if (bytes != nullptr) {
        answer.status = soup_message_get_status(call->message.get());
        gsize size = 0;
        const char* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
        answer.text.assign(text == nullptr ? "" : text, text == nullptr ? 0 : size);
        boost::system::error_code ec;
        answer.body = boost::json::parse(answer.text, ec);
        g_bytes_unref(bytes);
    }
    call->handler(answer);
}

gboolean onInvalidUrl(gpointer data)
{
    const std::unique_ptr<Call> call(static_cast<Call*>(data));
    call->handler(HttpAnswer {});
    return G_SOURCE_REMOVE;
}

struct Header {
    const char* name;
    std::string value;
};

void startCall(const std::shared_ptr<const Client>& client, const char* method, const std::string& path,
    const std::optional<Header>& condition, const std::string* body, AnswerHandler handler)
{
    std::unique_ptr<Call> call = std::make_unique<Call>();
    call->client = client;
    call->handler = std::move(handler);
    call->message.reset(soup_message_new(method, (client->baseUrl + path).c_str()));
    if (!call->message) {
        GSource* idle = g_idle_source_new();
        attach(idle, onInvalidUrl, call.release());
        g_source_unref(idle);
        return;
    }
    SoupMessage* message = call->message.get();
    unsigned flags = SOUP_MESSAGE_NO_REDIRECT;
    if (body != nullptr) {
        // libsoup retries a PUT when a reused connection breaks. If the first one took effect, the retry would report a
        // conflict with this client's own write.
        flags |= SOUP_MESSAGE_NEW_CONNECTION;
        GBytes* bytes = g_bytes_new(body->data(), body->size());
        soup_message_set_request_body_from_bytes(message, "application/json", bytes);
        g_bytes_unref(bytes);
    }
    soup_message_set_flags(message, static_cast<SoupMessageFlags>(flags));
    if (condition) {
        soup_message_headers_replace(
            soup_message_get_request_headers(message), condition->name, condition->value.c_str());
    }
    call->cancellable.reset(g_cancellable_new());
    call->timer = g_timeout_source_new(static_cast<guint>(client->timeout.count()));
    attach(call->timer, onTimeout, call.get());
    g_signal_connect(message, "starting", G_CALLBACK(onStarting), call.get());
    GCancellable* cancellable = call->cancellable.get();
    soup_session_send_and_read_async(
        client->session.get(), message, G_PRIORITY_DEFAULT, cancellable, onAnswer, call.release());
}

const boost::json::object* objectOf(const boost::json::value& value) { return value.if_object(); }

std::optional<std::string> textField(const boost::json::object& object, std::string_view name)
{
    const boost::json::value* value = object.if_contains(name);
    if (value == nullptr || !value->is_string()) {
        return std::nullopt;
    }
    return std::string(value->get_string());
}

std::optional<std::uint64_t> numberField(const boost::json::object& object, std::string_view name)
{
    const boost::json::value* value = object.if_contains(name);
    if (value == nullptr || !value->is_number()) {
        return std::nullopt;
    }
    boost::system::error_code ec;
    const std::uint64_t number = value->to_number<std::uint64_t>(ec);
    return ec ? std::nullopt : std::optional<std::uint64_t>(number);
}

std::optional<StoredObject> storedObject(const boost::json::value& value, std::optional<std::string> name)
{
    const boost::json::object* object = objectOf(value);
    if (object == nullptr) {
        return std::nullopt;
    }
    if (!name) {
        name = textField(*object, "name");
    }
    const std::optional<std::uint64_t> version = numberField(*object, "version");
    std::optional<std::string> text = textField(*object, "value");
    if (!name || !version || !text) {
        return std::nullopt;
    }
    return StoredObject {std::move(*name), *version, std::move(*text)};
}

const boost::json::array* arrayField(const boost::json::value& body, std::string_view name)
{
    const boost::json::object* object = objectOf(body);
    const boost::json::value* value = object == nullptr ? nullptr : object->if_contains(name);
    return value == nullptr ? nullptr : value->if_array();
}

StoreListResult listResult(const HttpAnswer& answer)
{
    StoreListResult result;
    const boost::json::array* rows = arrayField(answer.body, "objects");
    if (answer.status != SOUP_STATUS_OK || rows == nullptr) {
        return result;
    }
    const std::optional<std::uint64_t> version = numberField(answer.body.get_object(), "version");
    if (!version) {
        return result;
    }
    std::vector<StoredObject> objects;
    for (const boost::json::value& row : *rows) {
        std::optional<StoredObject> object = storedObject(row, std::nullopt);
        if (!object) {
            return result;
        }
        objects.push_back(std::move(*object));
    }
    return {StoreStatus::Ok, *version, std::move(objects)};
}

StoreReadResult readResult(const HttpAnswer& answer, const std::string& name)
{
    if (answer.status == SOUP_STATUS_NOT_FOUND) {
        return {StoreStatus::NotFound, {}};
    }
    std::optional<StoredObject> object
        = answer.status == SOUP_STATUS_OK ? storedObject(answer.body, name) : std::nullopt;
    if (!object) {
        return {};
    }
    return {StoreStatus::Ok, std::move(*object)};
}

StoreWriteResult writeResult(const HttpAnswer& answer)
{
    if (!answer.started) {
        return {StoreStatus::Unavailable, 0};
    }
    if (answer.status == SOUP_STATUS_OK || answer.status == SOUP_STATUS_CREATED) {
        const boost::json::object* body = objectOf(answer.body);
        const std::optional<std::uint64_t> version = body == nullptr ? std::nullopt : numberField(*body, "version");
        return version ? StoreWriteResult {StoreStatus::Ok, *version} : StoreWriteResult {StoreStatus::Unknown, 0};
    }
    if (answer.status == SOUP_STATUS_PRECONDITION_FAILED) {
        return {StoreStatus::Conflict, 0};
    }
    // The platform sends 503 and client errors (4xx) without having executed the call.
    const bool refused
        = answer.status == SOUP_STATUS_SERVICE_UNAVAILABLE || (answer.status >= 400 && answer.status < 500);
    return {refused ? StoreStatus::Unavailable : StoreStatus::Unknown, 0};
}

std::optional<InstanceEntry> instanceEntry(const boost::json::value& value)
{
    const boost::json::object* row = objectOf(value);
    if (row == nullptr) {
        return std::nullopt;
    }
    InstanceEntry entry;
    entry.id = textField(*row, "id").value_or("");
    const std::optional<InstanceRole> role = enumValue(instanceRoleNames, textField(*row, "role").value_or(""));
    const std::optional<ListedState> state = enumValue(listedStateNames, textField(*row, "state").value_or(""));
    if (entry.id.empty() || !role || !state) {
        return std::nullopt;
    }
    entry.role = *role;
    entry.state = *state;
    entry.region = textField(*row, "region").value_or("");
    entry.failureDomain = textField(*row, "failureDomain").value_or("");
    entry.controlAddress = textField(*row, "controlAddress").value_or("");
    entry.forwardAddress = textField(*row, "forwardAddress").value_or("");
    return entry;
}

/// Rows that cannot be read are left out: they must not hide the other instances.
InstanceListResult instancesResult(const HttpAnswer& answer)
{
    InstanceListResult result;
    const std::optional<std::vector<JsonSlice>> fields = splitJson(answer.text);
    const std::optional<std::string_view> array = fields ? findSlice(*fields, "instances") : std::nullopt;
    const std::optional<std::vector<JsonSlice>> rows = array ? splitJson(*array) : std::nullopt;
    if (answer.status != SOUP_STATUS_OK || !rows) {
        return result;
    }
    for (const JsonSlice& row : *rows) {
        boost::system::error_code ec;
        const boost::json::value parsed = boost::json::parse(std::string_view(row.text), ec);
        std::optional<InstanceEntry> entry = ec ? std::nullopt : instanceEntry(parsed);
        if (entry) {
            result.entries.push_back(std::move(*entry));
        } else {
            logEvent(LogEvent::StoreObjectUnreadable, "a row of the instance list");
        }
    }
    result.status = StoreStatus::Ok;
    return result;
}

} // namespace

ObjectStore makeHttpObjectStore(const std::string& baseUrl, Milliseconds timeout)
{
    const std::shared_ptr<Client> client = std::make_shared<Client>();
    client->session.reset(
        soup_session_new_with_options("max-conns", maxConnections, "max-conns-per-host", maxConnections, nullptr));
    // The platform is addressed by IP address; proxies configured in the environment must not apply.
    soup_session_set_proxy_resolver(client->session.get(), nullptr);
    client->baseUrl = baseUrl;
    client->timeout = timeout;

    ObjectStore store;
    store.list = [client](const std::string& kind, std::function<void(StoreListResult)> callback) {
        startCall(client, "GET", "/v1/objects/" + escaped(kind), std::nullopt, nullptr,
            [callback = std::move(callback)](const HttpAnswer& answer) { callback(listResult(answer)); });
    };
    store.read = [client](
                     const std::string& kind, const std::string& name, std::function<void(StoreReadResult)> callback) {
        startCall(client, "GET", "/v1/objects/" + escaped(kind) + "/" + escaped(name), std::nullopt, nullptr,
            [name, callback = std::move(callback)](const HttpAnswer& answer) { callback(readResult(answer, name)); });
    };
    store.write = [client](const std::string& kind, const std::string& name, std::uint64_t expectedVersion,
                      const std::string& value, std::function<void(StoreWriteResult)> callback) {
        const Header condition = expectedVersion == 0 ? Header {"If-None-Match", "*"}
                                                      : Header {"If-Match", std::to_string(expectedVersion)};
        startCall(client, "PUT", "/v1/objects/" + escaped(kind) + "/" + escaped(name), condition, &value,
            [callback = std::move(callback)](const HttpAnswer& answer) { callback(writeResult(answer)); });
    };
    store.instances = [client](std::function<void(InstanceListResult)> callback) {
        startCall(client, "GET", "/v1/instances", std::nullopt, nullptr,
            [callback = std::move(callback)](const HttpAnswer& answer) { callback(instancesResult(answer)); });
    };
    return store;
}

} // namespace jasminespread
