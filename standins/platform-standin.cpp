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
constexpr Milliseconds maxWatch {60'000};

using Exchange = std::shared_ptr<HttpExchange>;

enum class Outage : std::uint8_t { None, Refuse, Drop };

constexpr std::array<EnumName<Outage>, 3> outageNames {{
    {Outage::None, "none"},
    {Outage::Refuse, "refuse"},
    {Outage::Drop, "drop"},
}};

struct Faults {
    Outage outage = Outage::None; ///< Of the object API.
    Outage listOutage = Outage::None; ///< Of the instance list.
    Milliseconds slow {0}; ///< Added before each call is carried out.
    std::uint64_t loseWriteAnswers = 0; ///< Answers of writes to drop after the write took effect.
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

class Platform {
public:
    explicit Platform(Milliseconds listLag)
        : m_instances(listLag)
        , m_server([this](const Exchange& exchange) { handle(exchange); })
    {
    }

    Result<void> start(const std::string& address, const std::string& instanceFile)
    {
        if (!instanceFile.empty()) {
            std::ifstream file(instanceFile);
            if (!file) {
                return fail(ErrorKind::NotFound, "cannot read " + instanceFile);
            }
            std::ostringstream text;
            text << file.rdbuf();
            BOOST_LEAF_CHECK(m_instances.load(text.str()));
        }
        return m_server.listen(address);
    }

private:
    struct Watch {
        Exchange exchange;
        std::string kind;
        std::uint64_t after = 0;
        TimerId timer = 0;
    };

    void handle(const Exchange& exchange)
    {
        const std::string path = exchange->path();
        if (path.starts_with("/admin/")) {
            admin(exchange, path.substr(7));
            return;
        }
        const Outage outage = path == "/v1/instances" ? m_faults.listOutage : m_faults.outage;
        if (outage == Outage::Drop) {
            ++m_counters.refused;
            exchange->drop();
        } else if (outage == Outage::Refuse) {
            ++m_counters.refused;
            exchange->answer(503, errorBody("outage"));
        } else if (m_faults.slow.count() > 0) {
            startTimer(m_faults.slow, [this, exchange, path] { dispatch(exchange, path); });
        } else {
            dispatch(exchange, path);
        }
    }

    void dispatch(const Exchange& exchange, const std::string& path)
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
            exchange->answer(404, errorBody("no such resource"));
            return;
        }
        const std::string rest = path.substr(prefix.size());
        const std::size_t slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        if (slash == std::string::npos && method == "GET") {
            list(exchange, kind);
        } else if (slash != std::string::npos && method == "GET") {
            read(exchange, kind, rest.substr(slash + 1));
        } else if (slash != std::string::npos && method == "PUT") {
            write(exchange, kind, rest.substr(slash + 1));
        } else {
            exchange->answer(405, errorBody("method not allowed"));
        }
    }

    void read(const Exchange& exchange, const std::string& kind, const std::string& name)
    {
        ++m_counters.read;
        const ObjectTable::Object* object = m_objects.find(kind, name);
        if (object == nullptr) {
            exchange->answer(404, errorBody("no such object"));
        } else {
            exchange->answer(
                200, json::serialize(json::object {{"version", object->version}, {"value", object->value}}));
        }
    }

    void write(const Exchange& exchange, const std::string& kind, const std::string& name)
    {
        ++m_counters.write;
        const std::optional<std::string> match = exchange->header("If-Match");
        const std::optional<std::string> noneMatch = exchange->header("If-None-Match");
        if (match.has_value() == noneMatch.has_value() || (noneMatch && *noneMatch != "*")) {
            exchange->answer(428, errorBody("send either If-Match: <version> or If-None-Match: *"));
            return;
        }
        const std::string value = exchange->body();
        if (value.size() > maxValueBytes) {
            exchange->answer(413, errorBody("value is larger than 1 MB"));
            return;
        }
        const std::uint64_t expected = match ? parseNumber(*match) : 0;
        if (m_objects.put(kind, name, expected, value) == ObjectTable::WriteOutcome::Conflict) {
            ++m_counters.conflict;
            const ObjectTable::Object* current = m_objects.find(kind, name);
            const ObjectTable::Object none;
            const ObjectTable::Object& shown = current == nullptr ? none : *current;
            exchange->answer(412, json::serialize(json::object {{"version", shown.version}, {"value", shown.value}}));
            return;
        }
        const std::uint64_t version = m_objects.latestVersion();
        if (m_faults.loseWriteAnswers > 0) {
            --m_faults.loseWriteAnswers;
            ++m_counters.lostAnswers;
            exchange->drop();
        } else {
            exchange->answer(200, json::serialize(json::object {{"version", version}}));
        }
        wakeWatches(kind);
    }

    void list(const Exchange& exchange, const std::string& kind)
    {
        const std::uint64_t after = parseNumber(exchange->queryParameter("after").value_or("0"));
        const Milliseconds wait = std::min(
            Milliseconds(static_cast<Milliseconds::rep>(parseNumber(exchange->queryParameter("waitMs").value_or("0")))),
            maxWatch);
        ++(wait.count() > 0 ? m_counters.watch : m_counters.list);
        if (wait.count() == 0 || !m_objects.list(kind, after).empty()) {
            answerList(exchange, kind, after);
            return;
        }
        const auto watch = m_watches.insert(m_watches.end(), Watch {exchange, kind, after, 0});
        watch->timer = startTimer(wait, [this, watch] {
            answerList(watch->exchange, watch->kind, watch->after);
            m_watches.erase(watch);
        });
    }

    void answerList(const Exchange& exchange, const std::string& kind, std::uint64_t after)
    {
        json::array objects;
        for (const ObjectTable::NamedObject& row : m_objects.list(kind, after)) {
            objects.push_back(
                json::object {{"name", row.name}, {"version", row.object.version}, {"value", row.object.value}});
        }
        exchange->answer(200,
            json::serialize(json::object {{"version", m_objects.latestVersion()}, {"objects", std::move(objects)}}));
    }

    void wakeWatches(const std::string& kind)
    {
        for (auto it = m_watches.begin(); it != m_watches.end();) {
            if (it->kind != kind) {
                ++it;
                continue;
            }
            cancelTimer(it->timer);
            answerList(it->exchange, it->kind, it->after);
            it = m_watches.erase(it);
        }
    }

    void admin(const Exchange& exchange, const std::string& path)
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
            const bool found = m_instances.remove(path.substr(10), monotonicNow());
            exchange->answer(found ? 200 : 404, "{}");
        } else {
            exchange->answer(404, errorBody("no such admin resource"));
        }
    }

    void putInstance(const Exchange& exchange, const std::string& id, const json::object& row)
    {
        const std::string problem = handleError(
            [&]() -> Result<std::string> {
                BOOST_LEAF_CHECK(m_instances.put(id, row, monotonicNow()));
                return std::string();
            },
            [](const Error& error) { return describe(error); });
        exchange->answer(problem.empty() ? 200 : 400, problem.empty() ? "{}" : errorBody(problem));
    }

    void setFaults(const Exchange& exchange, const json::object& body)
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
                faults.listOutage = *outage;
            } else if (name == "slowMs" && value.is_number() && !ec) {
                faults.slow = Milliseconds(static_cast<Milliseconds::rep>(number));
            } else if (name == "loseWriteAnswers" && value.is_number() && !ec) {
                faults.loseWriteAnswers = number;
            } else {
                exchange->answer(400, errorBody("bad fault field \"" + std::string(name) + "\""));
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
    std::uint32_t lag = 0;
    options::options_description description("platform-standin: object API and instance list in memory");
    options::options_description_easy_init add = description.add_options();
    add("help", "show this text");
    add("listen", options::value(&listen)->required(), "address, <ip number>:<port>");
    add("instances", options::value(&instances), "JSON file with the initial rows of the instance list");
    add("list-lag-ms", options::value(&lag)->default_value(0), "how long changes of the list stay hidden");
    if (const std::optional<int> status = parseArguments("platform-standin", description, argc, argv)) {
        return *status;
    }
    Platform platform {Milliseconds(lag)};
    return runProgram("platform-standin", [&] { return platform.start(listen, instances); });
}

} // namespace

} // namespace jasminespread::standins

int main(int argc, char** argv) { return jasminespread::standins::run(argc, argv); }
