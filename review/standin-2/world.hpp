// Stand-ins of review 2 for the platform's store, its endpoints and its daemons' machines: what PROTOCOL.md says of a
// sound one. A case derives its faults from them.
#pragma once

#include "net.hpp"

#include <boost/json.hpp>

#include <condition_variable>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

namespace json = boost::json;

/// Whether the run has its disruption (TROUBLE=0: it has not).
inline bool hasTrouble() {
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

/// A free part of the loopback network: 127.a.b.
inline std::string freeNetwork() {
    for (int i = 0; i < 200; ++i) {
        const unsigned n = static_cast<unsigned>(getpid()) * 7U + static_cast<unsigned>(i) * 131U;
        const std::string prefix = "127." + std::to_string(100 + n % 100) + "." + std::to_string(1 + n / 100 % 250) + ".";
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = addressOf(prefix + "1:8384");
        const bool isFree = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(fd);
        if (isFree) return prefix;
    }
    std::exit(2);
}

/// The platform's store: objects by kind and name, conditional writes, lists and watches.
class Store {
public:
    explicit Store(const std::string& address) : m_server(address, [this](Connection& c) { serve(c); }) { }

    /// A write of the operator or of an endpoint.
    void put(const std::string& kind, const std::string& name, const json::value& spec) {
        const std::lock_guard lock(m_mutex);
        store(kind, name, spec);
    }
    /// An endpoint's beat: the entry changes when more than its sequence changes.
    void beat(const std::string& name, const json::value& spec) {
        const std::lock_guard lock(m_mutex);
        const auto it = m_objects["servers"].find(name);
        if (it != m_objects["servers"].end() && it->second.spec.is_object()) {
            json::object known = it->second.spec.as_object();
            json::object said = spec.as_object();
            const bool hasSequence = known.contains("sequence") && known.at("sequence").is_int64();
            known.erase("sequence");
            said.erase("sequence");
            if (hasSequence && known == said) return;
        }
        store("servers", name, spec);
    }
    /// @param cutsWatches whether the watches that wait are cut off instead of answered.
    void remove(const std::string& kind, const std::string& name, bool cutsWatches = false) {
        const std::lock_guard lock(m_mutex);
        m_watchCut += cutsWatches ? 1 : 0;
        const auto it = m_objects[kind].find(name);
        if (it == m_objects[kind].end()) return;
        ++m_revision;
        m_history.push_back({m_revision, kind, json::object {{"object", encode(name, it->second)}, {"deleted", true}}});
        m_objects[kind].erase(it);
        m_changed.notify_all();
    }

private:
    struct Object {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        json::value spec;
    };
    struct Change {
        std::uint64_t revision;
        std::string kind;
        json::value event;
    };

    static json::value encode(const std::string& name, const Object& object) {
        return json::object {{"metadata",
                                 {{"name", name}, {"rev", object.revision}, {"createRev", object.created},
                                     {"finalizers", json::array()}, {"deleting", false}}},
            {"spec", object.spec}, {"status", nullptr}};
    }

    void store(const std::string& kind, const std::string& name, const json::value& spec) {
        Object& object = m_objects[kind][name];
        if (object.revision != 0 && object.spec == spec) return; // A PUT that changes nothing.
        object.spec = spec;
        object.revision = ++m_revision;
        if (object.created == 0) object.created = m_revision;
        m_history.push_back({m_revision, kind, json::object {{"object", encode(name, object)}, {"deleted", false}}});
        m_changed.notify_all();
    }

    static std::string queryValue(const std::string& query, const std::string& name) {
        std::size_t at = 0;
        while (at < query.size()) {
            const std::size_t end = std::min(query.find('&', at), query.size());
            const std::string part = query.substr(at, end - at);
            if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
            at = end + 1;
        }
        return {};
    }

    void serve(Connection& connection) {
        while (!m_server.stopping()) {
            const std::optional<Message> request = connection.read(200);
            if (!request) {
                if (connection.ended()) return;
                continue;
            }
            const auto [status, body] = answer(*request);
            if (status == 0) return; // The watch is cut off.
            if (!connection.write(answerText(status, {{"Content-Type", "application/json"}}, json::serialize(body)))) return;
        }
    }

    std::pair<int, json::value> answer(const Message& request) {
        const std::string target = request.target();
        const std::size_t question = target.find('?');
        const std::string path = target.substr(0, question);
        const std::string query = question == std::string::npos ? "" : target.substr(question + 1);
        const std::string base = "/api/objects/";
        if (path.rfind(base, 0) != 0) return {404, json::object()};
        const std::string rest = path.substr(base.size());
        const std::size_t slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
        std::unique_lock lock(m_mutex);
        if (request.method() == "GET" && !queryValue(query, "watch").empty()) {
            const std::uint64_t from = std::stoull(queryValue(query, "watch"));
            const std::string wait = queryValue(query, "waitMs");
            const auto until = Clock::now() + milliseconds(wait.empty() ? 0 : std::stol(wait));
            const unsigned cut = m_watchCut;
            for (;;) {
                if (cut != m_watchCut) return {0, nullptr};
                json::array events;
                for (const Change& change : m_history) {
                    if (change.revision > from && change.kind == kind) events.push_back(change.event);
                }
                if (!events.empty() || m_server.stopping() || m_changed.wait_until(lock, until) == std::cv_status::timeout) {
                    return {200, json::object {{"events", events}, {"atRev", m_revision}}};
                }
            }
        }
        std::map<std::string, Object>& objects = m_objects[kind];
        if (request.method() == "GET" && name.empty()) {
            json::array items;
            for (const auto& [id, object] : objects) items.push_back(encode(id, object));
            return {200, json::object {{"items", items}, {"hasMore", false}, {"atRev", m_revision}}};
        }
        if (request.method() == "GET") {
            const auto it = objects.find(name);
            return it == objects.end() ? std::pair<int, json::value>(404, json::object()) : std::pair(200, encode(name, it->second));
        }
        const json::object body = json::parse(request.body).as_object();
        const json::object& metadata = body.at("metadata").as_object();
        const std::string id(metadata.at("name").as_string());
        const auto it = objects.find(id);
        if (request.method() == "POST") {
            if (it != objects.end()) return {409, encode(id, it->second)};
        } else if (it == objects.end()) {
            return {404, json::object()};
        } else if (metadata.contains("rev") && metadata.at("rev").to_number<std::uint64_t>() != it->second.revision) {
            return {409, encode(id, it->second)};
        }
        store(kind, id, body.at("spec"));
        return {200, encode(id, objects[id])};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Change> m_history;
    std::uint64_t m_revision = 100;
    unsigned m_watchCut = 0;
    Server m_server;
};

/// A gateway process, started with the command of deploy/system.toml in the repository's root.
class Gateway {
public:
    Gateway(const std::string& folder, const std::string& network, unsigned host, const std::string& zone,
        const std::string& region, const std::string& storeAddress)
        : m_name("edge-" + zone + "-" + std::to_string(host)) {
        const std::string ip = network + std::to_string(host);
        front = ip + ":8381";
        ready = ip + ":8388";
        m_settings = folder + "/settings-" + std::to_string(host);
        m_log = folder + "/log-" + std::to_string(host);
        std::ofstream(m_settings)
            << "grants=invoke\nself.node=" << m_name << "\nself.role=gateway\nself.machineClass=edge\nself.serves=edge\n"
            << "self.ip=" << ip << "\nself.zone=" << zone << "\nself.region=" << region
            << "\nself.countsAsLoss=false\nself.bootstrap=true\nself.limits.cpuShare=0.2\nself.limits.cores=1\n"
            << "self.limits.memoryMb=260\nself.limits.maxFds=4100\nself.limits.linkMbps=1000.0\nself.limits.diskMb=0\n"
            << "network.listen.front=" << front << "\nnetwork.listen.ready=" << ready
            << "\nnetwork.internalPorts=7200,7215\nnetwork.zones.colombo-a=western\nnetwork.zones.kandy-a=central\n"
            << "network.zones.galle-a=southern\nplatform.discovery=platform\nplatform.entry=vip\n"
            << "platform.heartbeatMs=870\nplatform.platform.address=" << storeAddress
            << "\nplatform.platform.form=objects\nplatform.platform.writesPerS=400\nplatform.platform.readsPerS=2000\n"
            << "platform.platform.historyS=20\nplatform.platform.valueBytes=1048576\nplatform.platform.ttlMinMs=1000\n"
            << "terms.contracts=base,drain,config,cost,retry,recover,own,platform\nterms.tolerate.machines=2\n"
            << "terms.tolerate.zones=0\nterms.tolerate.regions=0\nterms.bounds.seedLagS=3\nterms.bounds.addrReuseS=2\n"
            << "terms.bounds.stableWindowMs=3000\nterms.bounds.ackMs=4000\nterms.bounds.catchupS=4\n"
            << "terms.bounds.drainMs=2000\nterms.bounds.graceS=6\nterms.bounds.lossSlackMs=200\n"
            << "terms.bounds.configApplyMs=2000\nterms.bounds.downgradeSlackMs=250\nterms.bounds.maxStretchMs=5000\n"
            << "terms.bounds.retryBudgetRatio=0.2\nterms.bounds.budgetWindowS=10\nterms.bounds.budgetSlack=56\n"
            << "terms.bounds.recoverS=15\nterms.bounds.holdMaxMs=10000\nterms.bounds.thawMs=300\n";
        start();
    }
    ~Gateway() { stop(); }

    void start() {
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with the case, however that ends.
            const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            setenv("JASMINESPREAD_NODE_FILE", m_settings.c_str(), 1);
            execl("target/jasminespread-gateway", "target/jasminespread-gateway", static_cast<char*>(nullptr));
            _exit(127);
        }
    }
    /// Whether the process has ended by itself since the last call of start(); how, in @p how.
    bool hasEnded(std::string& how) {
        int status = 0;
        if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid) return false;
        m_pid = -1;
        how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status)) : "exit code " + std::to_string(WEXITSTATUS(status));
        return true;
    }
    void signal(int number) const {
        if (m_pid > 0) kill(m_pid, number);
    }
    void stop() {
        if (m_pid <= 0) return;
        kill(m_pid, SIGCONT);
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
    [[nodiscard]] bool isReady() const {
        const auto connection = Connection::open(ready, 300);
        if (!connection || !connection->write("GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")) return false;
        const std::optional<Message> answer = connection->read(500);
        return answer && answer->status() == 200;
    }
    bool waitReady(long ms) const {
        for (const long until = elapsedMs() + ms; elapsedMs() < until; sleepMs(50)) {
            if (isReady()) return true;
        }
        return false;
    }
    [[nodiscard]] const std::string& name() const { return m_name; }
    [[nodiscard]] const std::string& log() const { return m_log; }

    std::string front;
    std::string ready;

private:
    std::string m_name;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
};

/// A temporary folder that is removed at the end.
struct TemporaryFolder {
    TemporaryFolder() {
        char name[] = "/tmp/review-2-XXXXXX";
        if (mkdtemp(name) == nullptr) std::exit(2);
        path = name;
    }
    ~TemporaryFolder() {
        if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(path);
    }
    std::string path;
};

inline json::object route(const std::string& prefix, const char* kind, const char* service) {
    return json::object {{"host", "nony93.example"}, {"pathPrefix", prefix}, {"kind", kind}, {"timeoutMs", 3000},
        {"targetLatencyMs", 800}, {"priority", 1}, {"service", service}, {"maxAttempts", 2}};
}

inline json::object configuration(std::uint64_t version, const json::object& routes, const json::object& services,
    std::uint64_t maxHeaderBytes = 16384) {
    return json::object {{"version", version}, {"routes", routes}, {"services", services},
        {"limits",
            {{"maxHeaderBytes", maxHeaderBytes}, {"maxBodyBytes", 67108864}, {"headerTimeoutMs", 3000},
                {"idleTimeoutMs", 15000}}}};
}

inline json::object service(bool sharded) {
    json::object fields {{"healthPath", "/health"}, {"maxConns", 110}, {"protocol", "h1"}, {"tls", false}};
    if (sharded) {
        fields["sharded"] = true;
        fields["warmS"] = 2.0;
        fields["grants"] = "invoke";
    }
    return fields;
}

/// An endpoint without keys or with them, as PROTOCOL.md says. serve() may be replaced by a case.
class Endpoint {
public:
    struct KeyState {
        std::uint64_t highest = 0; ///< Highest fencing token seen.
        std::uint64_t fence = 0; ///< Of the grant that is held.
        Clock::time_point until; ///< End of the hold.
    };

    Endpoint(Record& record, std::string id, std::string service, std::string zone, std::string address, bool keyed)
        : id(std::move(id)), serviceName(std::move(service)), zone(std::move(zone)), address(std::move(address)),
          keys(keyed ? 65536 : 0), m_record(record), m_server(this->address, [this](Connection& c) { serve(c); }) { }
    virtual ~Endpoint() { m_server.stop(); }

    [[nodiscard]] json::value entry(const std::string& state = "ready") const {
        return json::object {{"service", serviceName}, {"address", address}, {"zone", zone}, {"version", "v1"},
            {"slots", 6}, {"state", state}, {"warmupLeftMs", 0}, {"sequence", ++sequence}, {"born", born}};
    }

    /// Called for each grant when it takes effect, under the lock of the keys.
    std::function<void(Endpoint&, std::uint32_t from, std::uint32_t to, std::uint64_t fence, bool late)> onTaken;
    /// Called when a request begins to run.
    std::function<void(Endpoint&, const Message&)> onRun;

    std::string id;
    std::string serviceName;
    std::string zone;
    std::string address;
    std::uint64_t born = 1764000000000;
    mutable std::atomic<int> sequence = 3;
    long workMs = 40;
    std::atomic<bool> ended = false; ///< Its process has ended: connections close, and work on them is lost.
    std::atomic<bool> silent = false; ///< It has left the store and writes no beats.
    std::mutex keysMutex;
    std::vector<KeyState> keys;
    std::atomic<unsigned> answers = 0;

protected:
    virtual void serve(Connection& connection) {
        for (unsigned n = 0; !m_server.stopping() && !ended;) {
            const std::optional<Message> request = connection.read(ended ? 0 : 50);
            if (!request) {
                if (connection.ended()) return;
                continue;
            }
            if (!handle(connection, *request, n++)) return;
        }
    }

    /// Answers one request; @p earlier is how many the connection carried before. False: the connection ends.
    virtual bool handle(Connection& connection, const Message& request, unsigned /*earlier*/) {
        const std::string answer = answerTo(request);
        return !ended && connection.write(answer);
    }

    /// Handles a request as a sound endpoint does and returns the answer.
    std::string answerTo(const Message& request) {
        ++answers;
        Fields echo;
        if (request.has("Request-Id")) echo.emplace_back("Request-Id", request.field("Request-Id"));
        if (request.has("Expect-Instance") && request.field("Expect-Instance") != id) {
            echo.emplace_back("Not-Executed", "1");
            echo.emplace_back("Instance-Id", id);
            return answerText(421, echo);
        }
        if (request.target() == "/health") return answerText(200, {{"Instance-Id", id}});
        if (request.target() == "/api/grant") return answerText(grant(request.body, Clock::now(), false) ? 200 : 409);
        if (request.target() == "/api/release") return answerText(200, {{"Handover", release(request.body)}});
        if (!request.has("Request-Id")) return answerText(400, {{"Not-Executed", "1"}});
        if (!keys.empty()) {
            const auto key = std::stoul(request.field("Shard-Key"));
            const std::lock_guard lock(keysMutex);
            if (keys[key].until <= Clock::now()) {
                echo.emplace_back("Not-Executed", "1");
                return answerText(421, echo);
            }
            if (onRun) onRun(*this, request);
        } else if (onRun) {
            onRun(*this, request);
        }
        m_record.line(id + " runs " + request.field("Request-Id"));
        sleepMs(workMs);
        echo.emplace_back("Response-Seal", "seal." + request.field("Request-Id") + "." + id);
        return answerText(200, echo, "answer of " + id + " to " + request.field("Request-Id"));
    }

    /// Takes keys; the hold counts from the arrival of the call. False: a higher token was seen.
    bool grant(const std::string& body, Clock::time_point arrivedAt, bool late) {
        const json::object call = json::parse(body).as_object();
        const auto from = call.at("from").to_number<std::uint32_t>();
        const auto to = call.at("to").to_number<std::uint32_t>();
        const auto fence = call.at("fence").to_number<std::uint64_t>();
        const auto until = arrivedAt + milliseconds(call.at("holdMs").to_number<std::int64_t>());
        const std::lock_guard lock(keysMutex);
        bool refused = false;
        for (std::uint32_t key = from; key <= to; ++key) refused = refused || keys[key].highest > fence;
        if (!refused && until > Clock::now()) {
            for (std::uint32_t key = from; key <= to; ++key) {
                keys[key].highest = fence;
                keys[key].fence = fence;
                keys[key].until = std::max(late ? keys[key].until : until, until);
            }
            if (onTaken) onTaken(*this, from, to, fence, late);
        }
        m_record.line(id + " is granted " + std::to_string(from) + "-" + std::to_string(to) + " fence "
            + std::to_string(fence) + (late ? " (carried out late)" : "") + (refused ? ": 409" : ": 200"));
        return !refused;
    }

    std::string release(const std::string& body) {
        const json::object call = json::parse(body).as_object();
        const auto from = call.at("from").to_number<std::uint32_t>();
        const auto to = call.at("to").to_number<std::uint32_t>();
        const auto fence = call.at("fence").to_number<std::uint64_t>();
        {
            const std::lock_guard lock(keysMutex);
            for (std::uint32_t key = from; key <= to; ++key) {
                keys[key].highest = std::max(keys[key].highest, fence);
                keys[key].until = Clock::time_point();
            }
        }
        m_record.line(id + " releases " + std::to_string(from) + "-" + std::to_string(to) + " fence " + std::to_string(fence));
        sleepMs(workMs); // The work that was running on the keys ends.
        return id + "-" + std::to_string(++m_handovers);
    }

    Record& m_record;
    std::atomic<unsigned> m_handovers = 0;
    Server m_server;
};

/// Writes the beats of endpoints until its end.
class Beats {
public:
    Beats(Store& store, const std::vector<std::unique_ptr<Endpoint>>& endpoints) : m_thread([this, &store, &endpoints] {
        while (!m_done) {
            for (const auto& endpoint : endpoints) {
                if (!endpoint->silent) store.beat(endpoint->id, endpoint->entry());
            }
            ++m_rounds;
            for (int i = 0; i < 87 && !m_done; ++i) sleepMs(10);
        }
    }) { }
    ~Beats() {
        m_done = true;
        m_thread.join();
    }
    /// Waits until the endpoints have just written.
    void waitForNext() const {
        for (const unsigned before = m_rounds; m_rounds == before;) sleepMs(2);
    }

private:
    std::atomic<bool> m_done = false;
    std::atomic<unsigned> m_rounds = 0;
    std::thread m_thread;
};

/// One request of a client on a connection of its own; the status, 0 for none.
struct Outcome {
    int status = 0;
    std::optional<Message> answer;
};

inline std::string requestText(const std::string& method, const std::string& path, const std::string& id,
    const Fields& fields = {}, const std::string& body = "", long deadlineMs = 2000) {
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: nony93.example\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
    if (!body.empty() || method != "GET") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

/// Sends a request and awaits its answer; both stand in the record.
inline Outcome callOn(Record& record, Connection& connection, const std::string& id, const std::string& text, long deadlineMs = 2000) {
    Outcome outcome;
    const long sentAt = elapsedMs();
    if (connection.write(text)) {
        outcome.answer = connection.read(deadlineMs);
        outcome.status = outcome.answer ? outcome.answer->status() : 0;
    }
    record.line("client: " + id + ", sent at " + std::to_string(sentAt) + ", gets "
        + (outcome.status ? std::to_string(outcome.status) : std::string("no answer")));
    return outcome;
}

} // namespace review
