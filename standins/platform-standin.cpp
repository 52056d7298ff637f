#include <http_server.h>
#include <instance_list.h>
#include <main_loop.h>
#include <object_table.h>
#include <program.h>

#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include <charconv>
#include <deque>
#include <fstream>
#include <iostream>
#include <list>
#include <sstream>

namespace jasminespread::standins {

namespace json = boost::json;

namespace {

constexpr std::size_t maxValueBytes = 1'000'000;
constexpr Milliseconds maxWatchTime {60'000};

using ExchangePointer = std::shared_ptr<HttpExchange>;

enum class Outage : std::uint8_t { None, Refuse, Drop };

constexpr std::array<EnumName<Outage>, 3> outageNames {{
    {Outage::None, "none"},
    {Outage::Refuse, "refuse"},
    {Outage::Drop, "drop"},
}};

struct Faults {
    Outage outage = Outage::None; ///< Applies to the object API.
    Outage instanceListOutage = Outage::None; ///< Applies to the instance list.
    Milliseconds requestDelay {0}; ///< Waiting time before each request is processed.
    std::uint64_t writeAnswersToLose = 0; ///< Number of writes that take effect, but get no answer.
};

struct Counters {
    std::uint64_t list = 0;
    std::uint64_t watch = 0;
    std::uint64_t read = 0;
    std::uint64_t write = 0;
    std::uint64_t conflict = 0;
    std::uint64_t refused = 0;
    std::uint64_t lostAnswers = 0;
    std::uint64_t instances = 0;
};

std::uint64_t parseNumber(const std::string& text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string errorBody(const std::string& message) { return json::serialize(json::object {{"error", message}}); }

class PlatformStandin {
public:
    explicit PlatformStandin(Milliseconds listLag)
        : m_instances(listLag)
        , m_server([this](const ExchangePointer& exchange) { handleRequest(exchange); })
    {
    }

    Result<void> start(const std::string& address, const std::string& instanceFile)
    {
        if (!instanceFile.empty()) {
            std::ifstream file(instanceFile);
            if (!file) {
                return fail(ErrorKind::NotFound, "cannot read the instance list from " + instanceFile);
            }
            std::ostringstream text;
            text << file.rdbuf();
            BOOST_LEAF_CHECK(m_instances.load(text.str()));
        }
        return m_server.listen(address);
    }

private:
    struct Watch {
        ExchangePointer exchange;
        std::string kind;
        std::uint64_t afterVersion = 0;
        TimerId timer = 0;
    };

    void handleRequest(const ExchangePointer& exchange)
    {
        const std::string path = exchange->path();
        if (path.starts_with("/admin/")) {
            handleAdmin(exchange, path.substr(7));
            return;
        }
        const Outage outage = path == "/v1/instances" ? m_faults.instanceListOutage : m_faults.outage;
        if (outage == Outage::Drop) {
            ++m_counters.refused;
            exchange->drop();
        } else if (outage == Outage::Refuse) {
            ++m_counters.refused;
            exchange->answer(503, errorBody("outage"));
        } else if (m_faults.requestDelay.count() > 0) {
            startTimer(m_faults.requestDelay, [this, exchange, path] { routeRequest(exchange, path); });
        } else {
            routeRequest(exchange, path);
        }
    }

    void routeRequest(const ExchangePointer& exchange, const std::string& path)
    {
        const std::string method = exchange->method();
        constexpr std::string_view prefix = "/v1/objects/";
        if (path == "/v1/instances" && method == "GET") {
            ++m_counters.instances;
            exchange->answer(
                200, json::serialize(json::object {{"instances", m_instances.visibleRows(monotonicNow())}}));
            return;
        }
        if (!path.starts_with(prefix)) {
            exchange->answer(404, errorBody("no resource at this path"));
            return;
        }
        const std::string objectPath = path.substr(prefix.size());
        const std::size_t slash = objectPath.find('/');
        const std::string kind = objectPath.substr(0, slash);
        if (slash == std::string::npos && method == "GET") {
            list(exchange, kind);
        } else if (slash != std::string::npos && method == "GET") {
            read(exchange, kind, objectPath.substr(slash + 1));
        } else if (slash != std::string::npos && method == "PUT") {
            write(exchange, kind, objectPath.substr(slash + 1));
        } else {
            exchange->answer(405, errorBody("method not allowed; use GET for lists and objects, PUT for objects"));
        }
    }

    void read(const ExchangePointer& exchange, const std::string& kind, const std::string& name)
    {
        ++m_counters.read;
        const ObjectTable::Object* object = m_objects.find(kind, name);
        if (object == nullptr) {
            exchange->answer(404, errorBody("object does not exist"));
        } else {
            exchange->answer(
                200, json::serialize(json::object {{"version", object->version}, {"value", object->value}}));
        }
    }

    void write(const ExchangePointer& exchange, const std::string& kind, const std::string& name)
    {
        ++m_counters.write;
        const std::optional<std::string> ifMatch = exchange->header("If-Match");
        const std::optional<std::string> ifNoneMatch = exchange->header("If-None-Match");
        if (ifMatch.has_value() == ifNoneMatch.has_value() || (ifNoneMatch && *ifNoneMatch != "*")) {
            exchange->answer(428, errorBody("send either If-Match: <version> or If-None-Match: *"));
            return;
        }
        const std::string value = exchange->body();
        if (value.size() > maxValueBytes) {
            exchange->answer(413, errorBody("value is larger than 1 MB"));
            return;
        }
        const std::uint64_t expectedVersion = ifMatch ? parseNumber(*ifMatch) : 0;
        if (m_objects.put(kind, name, expectedVersion, value) == ObjectTable::WriteOutcome::Conflict) {
            ++m_counters.conflict;
            const ObjectTable::Object* current = m_objects.find(kind, name);
            const ObjectTable::Object missingObject;
            const ObjectTable::Object& currentObject = current == nullptr ? missingObject : *current;
            exchange->answer(412,
                json::serialize(json::object {{"version", currentObject.version}, {"value", currentObject.value}}));
            return;
        }
        const std::uint64_t version = m_objects.latestVersion();
        if (m_faults.writeAnswersToLose > 0) {
            --m_faults.writeAnswersToLose;
            ++m_counters.lostAnswers;
            exchange->drop();
        } else {
            exchange->answer(200, json::serialize(json::object {{"version", version}}));
        }
        answerWatches(kind);
    }

    void list(const ExchangePointer& exchange, const std::string& kind)
    {
        const std::uint64_t afterVersion = parseNumber(exchange->queryParameter("after").value_or("0"));
        const Milliseconds waitTime = std::min(
            Milliseconds(static_cast<Milliseconds::rep>(parseNumber(exchange->queryParameter("waitMs").value_or("0")))),
            maxWatchTime);
        ++(waitTime.count() > 0 ? m_counters.watch : m_counters.list);
        if (waitTime.count() == 0 || !m_objects.list(kind, afterVersion).empty()) {
            answerList(exchange, kind, afterVersion);
            return;
        }
        const auto watch = m_watches.insert(m_watches.end(), Watch {exchange, kind, afterVersion, 0});
        watch->timer = startTimer(waitTime, [this, watch] {
            answerList(watch->exchange, watch->kind, watch->afterVersion);
            m_watches.erase(watch);
        });
    }

    void answerList(const ExchangePointer& exchange, const std::string& kind, std::uint64_t afterVersion)
    {
        json::array objects;
        for (const ObjectTable::NamedObject& row : m_objects.list(kind, afterVersion)) {
            objects.push_back(
                json::object {{"name", row.name}, {"version", row.object.version}, {"value", row.object.value}});
        }
        exchange->answer(200,
            json::serialize(json::object {{"version", m_objects.latestVersion()}, {"objects", std::move(objects)}}));
    }

    void answerWatches(const std::string& kind)
    {
        for (auto it = m_watches.begin(); it != m_watches.end();) {
            if (it->kind != kind) {
                ++it;
                continue;
            }
            cancelTimer(it->timer);
            answerList(it->exchange, it->kind, it->afterVersion);
            it = m_watches.erase(it);
        }
    }

    void handleAdmin(const ExchangePointer& exchange, const std::string& path)
    {
        const std::string method = exchange->method();
        boost::system::error_code ec;
        const json::value body = json::parse(exchange->body(), ec);
        const json::object object = !ec && body.is_object() ? body.get_object() : json::object {};
        if (path == "counters" && method == "GET") {
            exchange->answer(200, counters());
        } else if (path == "faults" && method == "PUT") {
            setFaults(exchange, object);
        } else if (path.starts_with("instances/") && method == "PUT") {
            putInstance(exchange, path.substr(10), object);
        } else if (path.starts_with("instances/") && method == "DELETE") {
            const bool removed = m_instances.remove(path.substr(10), monotonicNow());
            exchange->answer(removed ? 200 : 404, "{}");
        } else {
            exchange->answer(404, errorBody("no admin resource at this path with this method"));
        }
    }

    void putInstance(const ExchangePointer& exchange, const std::string& id, const json::object& row)
    {
        const std::string errorText = handleError(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(m_instances.put(id, row, monotonicNow()));
                return std::string();
            },
            [](const Error& error) { return describe(error); });
        exchange->answer(errorText.empty() ? 200 : 400, errorText.empty() ? "{}" : errorBody(errorText));
    }

    void setFaults(const ExchangePointer& exchange, const json::object& body)
    {
        Faults faults;
        for (const auto& [name, value] : body) {
            boost::system::error_code ec;
            const std::uint64_t number = value.is_number() ? value.to_number<std::uint64_t>(ec) : 0;
            const std::optional<Outage> outage
                = value.is_string() ? enumValue(outageNames, value.get_string()) : std::nullopt;
            if (name == "outage" && outage) {
                faults.outage = *outage;
            } else if (name == "listOutage" && outage) {
                faults.instanceListOutage = *outage;
            } else if (name == "slowMs" && value.is_number() && !ec) {
                faults.requestDelay = Milliseconds(static_cast<Milliseconds::rep>(number));
            } else if (name == "loseWriteAnswers" && value.is_number() && !ec) {
                faults.writeAnswersToLose = number;
            } else {
                exchange->answer(
                    400, errorBody("unknown fault or invalid value in field \"" + std::string(name) + "\""));
                return;
            }
        }
        m_faults = faults;
        exchange->answer(200, "{}");
    }

    [[nodiscard]] std::string counters() const
    {
        return json::serialize(
            json::object {{"list", m_counters.list}, {"watch", m_counters.watch}, {"read", m_counters.read},
                {"write", m_counters.write}, {"conflict", m_counters.conflict}, {"refused", m_counters.refused},
                {"lostAnswers", m_counters.lostAnswers}, {"instances", m_counters.instances}});
    }

    ObjectTable m_objects;
    InstanceList m_instances;
    Faults m_faults;
    Counters m_counters;
    std::list<Watch> m_watches;
    HttpServer m_server;
};

int run(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::string listen;
    std::string instances;
    std::uint32_t listLagMs = 0;
    options::options_description description(
        "platform-standin: in-memory object store API and instance list for tests");
    options::options_description_easy_init add = description.add_options();
    add("help", "show this text");
    add("listen", options::value(&listen)->required(), "address to listen on, <IP address>:<port>");
    add("instances", options::value(&instances), "JSON file with the initial rows of the instance list");
    add("list-lag-ms", options::value(&listLagMs)->default_value(0),
        "time until a change of the instance list becomes visible");
    if (const std::optional<int> status = parseArguments("platform-standin", description, argc, argv)) {
        return *status;
    }
    PlatformStandin platform {Milliseconds(listLagMs)};
    return runProgram("platform-standin", [&] { return platform.start(listen, instances); });
}

} // namespace

} // namespace jasminespread::standins

int main(int argc, char** argv) { return jasminespread::standins::run(argc, argv); }
