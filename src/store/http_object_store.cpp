#include <jasminespread/http_object_store.h>

#include "base/json_slices.h"
#include "transport/repeatable_request.h"

#include <jasminespread/backend_transports.h>
#include <jasminespread/log_event.h>

#include <boost/json.hpp>
#include <glib.h>

#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace jasminespread {

namespace {

/// Calls beyond it wait for a connection.
constexpr std::uint32_t maxConnections = 64;

/// @name HTTP statuses of the platform
/// @{
constexpr unsigned okStatus = 200;
constexpr unsigned createdStatus = 201;
constexpr unsigned notFoundStatus = 404;
constexpr unsigned preconditionFailedStatus = 412;
constexpr unsigned serviceUnavailableStatus = 503;
/// @}

struct HttpAnswer {
    bool started = false; ///< The request may have reached the platform.
    unsigned status = 0; ///< 0: no complete answer arrived.
    std::string text; ///< Body as received.
    boost::json::value body; ///< Null when the text cannot be parsed.
};

using AnswerHandler = std::function<void(const HttpAnswer&)>;

struct Client {
    std::shared_ptr<const BackendTransport> transport;
    std::string address;
    Milliseconds timeout {0};
};

std::string escaped(const std::string& segment)
{
    char* text = g_uri_escape_string(segment.c_str(), nullptr, false);
    std::string result(text);
    g_free(text);
    return result;
}

HttpAnswer answerOf(BackendResult&& result)
{
    HttpAnswer answer;
    answer.started = result.progress != BackendProgress::NotSent;
    if (result.progress == BackendProgress::Answered) {
        answer.status = result.status;
        answer.text = std::move(result.body);
        boost::system::error_code ec;
        answer.body = boost::json::parse(answer.text, ec);
    }
    return answer;
}

void startCall(const Client& client, const char* method, const std::string& path,
    const std::optional<HeaderField>& condition, const std::string* body, AnswerHandler handler)
{
    BackendRequest request;
    request.address = client.address;
    request.method = method;
    request.target = path;
    request.deadline = monotonicNow() + client.timeout;
    if (condition) {
        request.headers.push_back(*condition);
    }
    const auto callback
        = [handler = std::move(handler)](BackendResult result) { handler(answerOf(std::move(result))); };
    if (body == nullptr) {
        return sendRepeatable(client.transport, std::move(request), callback);
    }
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = *body;
    // A write is sent once: a second one would report a conflict with the first.
    request.needsNewConnection = true;
    client.transport->send(std::move(request), callback);
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
    if (answer.status != okStatus || rows == nullptr) {
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
    if (answer.status == notFoundStatus) {
        return {StoreStatus::NotFound, {}};
    }
    std::optional<StoredObject> object = answer.status == okStatus ? storedObject(answer.body, name) : std::nullopt;
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
    if (answer.status == okStatus || answer.status == createdStatus) {
        const boost::json::object* body = objectOf(answer.body);
        const std::optional<std::uint64_t> version = body == nullptr ? std::nullopt : numberField(*body, "version");
        return version ? StoreWriteResult {StoreStatus::Ok, *version} : StoreWriteResult {StoreStatus::Unknown, 0};
    }
    if (answer.status == preconditionFailedStatus) {
        return {StoreStatus::Conflict, 0};
    }
    // The platform sends 503 and client errors (4xx) without having executed the call.
    const bool refused = answer.status == serviceUnavailableStatus || (answer.status >= 400 && answer.status < 500);
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
    if (answer.status != okStatus || !rows) {
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
    constexpr std::string_view scheme = "http://";
    const BackendTransport transport = makeBeastBackendTransport({});
    const std::shared_ptr<Client> client = std::make_shared<Client>();
    client->transport = std::make_shared<const BackendTransport>(transport);
    client->address = baseUrl.starts_with(scheme) ? baseUrl.substr(scheme.size()) : baseUrl;
    client->timeout = timeout;
    transport.setConnectionLimit(client->address, maxConnections);

    ObjectStore store;
    store.list = [client](const std::string& kind, std::function<void(StoreListResult)> callback) {
        startCall(*client, "GET", "/v1/objects/" + escaped(kind), std::nullopt, nullptr,
            [callback = std::move(callback)](const HttpAnswer& answer) { callback(listResult(answer)); });
    };
    store.read = [client](
                     const std::string& kind, const std::string& name, std::function<void(StoreReadResult)> callback) {
        startCall(*client, "GET", "/v1/objects/" + escaped(kind) + "/" + escaped(name), std::nullopt, nullptr,
            [name, callback = std::move(callback)](const HttpAnswer& answer) { callback(readResult(answer, name)); });
    };
    store.write = [client](const std::string& kind, const std::string& name, std::uint64_t expectedVersion,
                      const std::string& value, std::function<void(StoreWriteResult)> callback) {
        const HeaderField condition = expectedVersion == 0 ? HeaderField {"If-None-Match", "*"}
                                                           : HeaderField {"If-Match", std::to_string(expectedVersion)};
        startCall(*client, "PUT", "/v1/objects/" + escaped(kind) + "/" + escaped(name), condition, &value,
            [callback = std::move(callback)](const HttpAnswer& answer) { callback(writeResult(answer)); });
    };
    store.instances = [client](std::function<void(InstanceListResult)> callback) {
        startCall(*client, "GET", "/v1/instances", std::nullopt, nullptr,
            [callback = std::move(callback)](const HttpAnswer& answer) { callback(instancesResult(answer)); });
    };
    return store;
}

} // namespace jasminespread
