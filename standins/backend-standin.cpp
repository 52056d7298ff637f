#include <execution_record.h>
#include <grant_ledger.h>
#include <http_server.h>
#include <main_loop.h>
#include <program.h>

#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <fcntl.h>
#include <iostream>
#include <map>
#include <random>
#include <unistd.h>

namespace jasminespread::standins {

namespace json = boost::json;

namespace {

using Exchange = std::shared_ptr<HttpExchange>;

struct BackendOptions {
    std::string listen;
    std::string id;
    std::uint32_t slots = 6;
    std::uint32_t serviceTimeMs = 5;
    std::uint32_t coldStartMs = 0;
    std::string recordFile;
    bool unchecked = false;
};

/// Behaviour that tests change while the server runs.
struct Behaviour {
    bool draining = false;
    bool refuseWhileDraining = false;
    double shedding = 0; ///< Share of requests refused with `overload`.
    Milliseconds extraDelay {0};
    Milliseconds grantDelay {0}; ///< Held between receipt of a grant and its application.
    std::optional<std::string> health; ///< What /health answers instead of the truth.
    std::optional<std::uint64_t> healthInFlight;
};

struct Counters {
    std::uint64_t executed = 0;
    std::uint64_t refused = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t expired = 0;
    std::uint64_t grants = 0;
};

struct RunningRequest {
    Exchange exchange;
    PartitionClaim claim;
    ExecutionRecord record;
    MonotonicTime deadline;
    std::size_t answerBytes = 0;
    TimerId timer = 0;
};

std::optional<std::uint64_t> numberHeader(const HttpExchange& exchange, const std::string& name)
{
    const std::optional<std::string> text = exchange.header(name);
    std::uint64_t number = 0;
    if (!text || text->empty()) {
        return std::nullopt;
    }
    const std::from_chars_result parsed = std::from_chars(text->data(), text->data() + text->size(), number);
    return parsed.ec == std::errc() && parsed.ptr == text->data() + text->size() ? std::optional<std::uint64_t>(number)
                                                                                 : std::nullopt;
}

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::int64_t nanoseconds(MonotonicTime time) { return time.time_since_epoch().count(); }

class Backend {
public:
    explicit Backend(BackendOptions options)
        : m_options(std::move(options))
        , m_coldUntil(monotonicNow() + Milliseconds(m_options.coldStartMs))
        , m_incarnation(randomNumber() | 1U)
        , m_ledger(m_options.id, m_incarnation,
              [this] { return std::to_string(m_incarnation) + "-" + std::to_string(++m_lastNonce); })
        , m_server([this](const Exchange& exchange) { handle(exchange); })
    {
    }

    ~Backend()
    {
        if (m_recordFile >= 0) {
            ::close(m_recordFile);
        }
    }

    Backend(const Backend&) = delete;
    Backend& operator=(const Backend&) = delete;

    Result<void> start()
    {
        if (!m_options.recordFile.empty()) {
            m_recordFile = ::open(m_options.recordFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
            if (m_recordFile < 0) {
                return fail(ErrorKind::InvalidInput,
                    "cannot open " + m_options.recordFile + ": " + std::generic_category().message(errno));
            }
        }
        return m_server.listen(m_options.listen);
    }

private:
    void handle(const Exchange& exchange)
    {
        const std::string path = exchange->path();
        const std::string method = exchange->method();
        if (path == "/control/grants" && method == "POST" && !m_options.unchecked) {
            receiveGrants(exchange);
        } else if (path == "/control/cancel" && method == "POST") {
            cancel(exchange);
        } else if (path == "/health" && method == "GET") {
            exchange->answer(200, health());
        } else if (path == "/admin/state" && method == "PUT") {
            setBehaviour(exchange);
        } else if (path == "/admin/counters" && method == "GET") {
            exchange->answer(200, counters());
        } else if (path.starts_with("/control/") || path.starts_with("/admin/")) {
            exchange->answer(404, R"({"error":"no such resource"})");
        } else {
            execute(exchange);
        }
    }

    [[nodiscard]] ServerState state() const
    {
        if (m_behaviour.draining) {
            return ServerState::Draining;
        }
        return monotonicNow() < m_coldUntil ? ServerState::Cold : ServerState::Serving;
    }

    void receiveGrants(const Exchange& exchange)
    {
        const std::string text = exchange->body();
        if (m_behaviour.grantDelay.count() > 0) {
            startTimer(m_behaviour.grantDelay, [this, exchange, text] { applyGrants(exchange, text); });
        } else {
            applyGrants(exchange, text);
        }
    }

    void applyGrants(const Exchange& exchange, const std::string& text)
    {
        ++m_counters.grants;
        handleError(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(batch, decodeGrantBatch(text));
                exchange->answer(200, encodeGrantReply(m_ledger.apply(batch, state(), monotonicNow())));
                return {};
            },
            [&](const Error& error) {
                exchange->answer(400, json::serialize(json::object {{"error", describe(error)}}));
            });
    }

    /// Refuses before execution.
    void refuse(const Exchange& exchange, unsigned status, const std::string& reason)
    {
        ++m_counters.refused;
        const std::string id = exchange->header("Jasminespread-Request-Id").value_or("");
        exchange->answer(status, json::serialize(json::object {{"reason", reason}, {"requestId", id}}),
            {{"Jasminespread-Outcome", "not-run"}, {"Jasminespread-Reason", reason},
                {"Jasminespread-Server", m_options.id}});
    }

    void refuse(const Exchange& exchange, ClaimResult result)
    {
        refuse(exchange, 409, result == ClaimResult::NoLease ? "no-lease" : "not-owner");
    }

    [[nodiscard]] static bool isRepeatable(const HttpExchange& exchange)
    {
        return exchange.header("Jasminespread-Repeatable").value_or(std::string()) == "yes";
    }

    /// Reads the claim of a request; nothing when a header is missing or malformed.
    [[nodiscard]] static std::optional<PartitionClaim> readClaim(const HttpExchange& exchange)
    {
        const std::optional<GroupName> group
            = parseGroupName(exchange.header("Jasminespread-Group").value_or(std::string()));
        const std::optional<std::uint64_t> partition = numberHeader(exchange, "Jasminespread-Partition");
        const std::optional<std::uint64_t> token = numberHeader(exchange, "Jasminespread-Token");
        const std::optional<std::uint64_t> term = numberHeader(exchange, "Jasminespread-Term");
        if (!group || !partition || *partition > UINT32_MAX || !token || !term) {
            return std::nullopt;
        }
        return PartitionClaim {*group, *term, static_cast<std::uint32_t>(*partition), *token, isRepeatable(exchange)};
    }

    void execute(const Exchange& exchange)
    {
        const MonotonicTime now = monotonicNow();
        const std::optional<PartitionClaim> claim = readClaim(*exchange);
        if (!claim && !m_options.unchecked) {
            refuse(exchange, 409, "not-owner");
            return;
        }
        if (claim && !m_options.unchecked) {
            const ClaimResult result = m_ledger.checkStart(*claim, now);
            if (result != ClaimResult::Valid) {
                refuse(exchange, result);
                return;
            }
        }
        if (m_behaviour.draining && m_behaviour.refuseWhileDraining) {
            refuse(exchange, 503, "draining");
            return;
        }
        if (now < m_coldUntil) {
            refuse(exchange, 503, "cold");
            return;
        }
        m_shedding += m_behaviour.shedding;
        if (m_shedding >= 1) {
            m_shedding -= 1;
            refuse(exchange, 503, "overload");
            return;
        }
        if (m_running.size() >= m_options.slots) {
            refuse(exchange, 503, "overload");
            return;
        }
        const std::optional<std::uint64_t> remaining = numberHeader(*exchange, "Jasminespread-Deadline-Ms");
        const Milliseconds serviceTime = Milliseconds(m_options.serviceTimeMs) + m_behaviour.extraDelay;
        if (remaining == std::uint64_t {0}) {
            ++m_counters.expired;
            refuse(exchange, 503, "deadline");
            return;
        }
        begin(exchange, claim.value_or(PartitionClaim {}), now, serviceTime, remaining);
    }

    void begin(const Exchange& exchange, const PartitionClaim& claim, MonotonicTime now, Milliseconds serviceTime,
        std::optional<std::uint64_t> remaining)
    {
        RunningRequest request;
        request.exchange = exchange;
        request.claim = claim;
        request.deadline = MonotonicTime::max();
        if (remaining && *remaining < maxDeadlineMs) {
            request.deadline = now + Milliseconds(static_cast<Milliseconds::rep>(*remaining));
        }
        const std::string method = exchange->method();
        request.record = {nanoseconds(now), 0, m_options.id, exchange->header("Jasminespread-Key").value_or(""),
            exchange->header("Jasminespread-Group").value_or(""), claim.partition, claim.token, claim.term,
            exchange->header("Jasminespread-Request-Id").value_or(""), method, isRepeatable(*exchange)};
        const std::optional<std::string> bytes = exchange->queryParameter("answerBytes");
        if (bytes) {
            std::from_chars(bytes->data(), bytes->data() + bytes->size(), request.answerBytes);
        }
        m_ledger.beginRequest(claim);
        const std::uint64_t number = ++m_lastRequest;
        // A request that cannot finish in time gives its slot back at its deadline.
        const Milliseconds wait = std::min(serviceTime, std::chrono::ceil<Milliseconds>(request.deadline - now));
        request.timer = startTimer(wait, [this, number] { commit(number); });
        m_running.emplace(number, std::move(request));
        exchange->onDisconnect([this, number] { abort(number, "cancelled"); });
    }

    /// Takes a request out of its slot. Precondition: it is running.
    RunningRequest end(std::uint64_t number)
    {
        const auto it = m_running.find(number);
        RunningRequest request = std::move(it->second);
        m_running.erase(it);
        m_ledger.finishRequest(request.claim);
        return request;
    }

    void commit(std::uint64_t number)
    {
        const auto it = m_running.find(number);
        // The same clock reading decides about the lease and is recorded, so that a pause of the process between the
        // check and the write of the record shows as a late line, not as a late execution.
        const MonotonicTime now = monotonicNow();
        const ClaimResult result
            = m_options.unchecked ? ClaimResult::Valid : m_ledger.checkCommit(it->second.claim, now);
        RunningRequest request = end(number);
        if (result != ClaimResult::Valid) {
            refuse(request.exchange, result);
            return;
        }
        if (now >= request.deadline) {
            ++m_counters.expired;
            refuse(request.exchange, 503, "deadline");
            return;
        }
        request.record.commitNs = nanoseconds(now);
        append(request.record);
        ++m_counters.executed;
        json::object body {{"key", request.record.key}, {"requestId", request.record.requestId},
            {"server", m_options.id}, {"partition", request.record.partition}, {"token", request.record.token}};
        if (request.answerBytes > 0) {
            body["padding"] = std::string(request.answerBytes, 'x');
        }
        request.exchange->answer(200, json::serialize(body),
            {{"Jasminespread-Outcome", "done"}, {"Jasminespread-Request-Id", request.record.requestId},
                {"Jasminespread-Server", m_options.id}});
    }

    void append(const ExecutionRecord& record) const
    {
        if (m_recordFile < 0) {
            return;
        }
        const std::string line = encodeExecutionRecord(record) + "\n";
        if (::write(m_recordFile, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
            std::cerr << "backend-standin: cannot append to " << m_options.recordFile << ": "
                      << std::generic_category().message(errno) << "\n";
            std::abort();
        }
    }

    /// Ends a running request without execution.
    void abort(std::uint64_t number, const std::string& reason)
    {
        const auto it = m_running.find(number);
        if (it == m_running.end()) {
            return;
        }
        cancelTimer(it->second.timer);
        const RunningRequest request = end(number);
        ++m_counters.cancelled;
        refuse(request.exchange, 503, reason);
    }

    void cancel(const Exchange& exchange)
    {
        boost::system::error_code ec;
        const json::value body = json::parse(exchange->body(), ec);
        const json::value* id = !ec && body.is_object() ? body.get_object().if_contains("requestId") : nullptr;
        if (id == nullptr || !id->is_string()) {
            exchange->answer(400, R"({"error":"requestId is missing"})");
            return;
        }
        std::vector<std::uint64_t> numbers;
        for (const auto& [number, request] : m_running) {
            if (request.record.requestId == id->get_string()) {
                numbers.push_back(number);
            }
        }
        for (const std::uint64_t number : numbers) {
            abort(number, "cancelled");
        }
        exchange->answer(200, json::serialize(json::object {{"cancelled", !numbers.empty()}}));
    }

    [[nodiscard]] std::string health() const
    {
        return json::serialize(
            json::object {{"state", m_behaviour.health.value_or(std::string(enumName(serverStateNames, state())))},
                {"inFlight", m_behaviour.healthInFlight.value_or(m_running.size())}, {"slots", m_options.slots}});
    }

    [[nodiscard]] std::string counters() const
    {
        return json::serialize(json::object {{"executed", m_counters.executed}, {"refused", m_counters.refused},
            {"cancelled", m_counters.cancelled}, {"expired", m_counters.expired}, {"grants", m_counters.grants},
            {"inFlight", m_running.size()}});
    }

    void setBehaviour(const Exchange& exchange)
    {
        try {
            const json::value body = json::parse(exchange->body());
            Behaviour behaviour;
            for (const auto& [name, value] : body.as_object()) {
                if (name == "draining") {
                    behaviour.draining = value.as_bool();
                } else if (name == "refuseWhileDraining") {
                    behaviour.refuseWhileDraining = value.as_bool();
                } else if (name == "shedding") {
                    behaviour.shedding = value.to_number<double>();
                } else if (name == "extraDelayMs") {
                    behaviour.extraDelay = Milliseconds(value.to_number<std::uint32_t>());
                } else if (name == "grantDelayMs") {
                    behaviour.grantDelay = Milliseconds(value.to_number<std::uint32_t>());
                } else if (name == "health") {
                    behaviour.health = std::string(value.as_string());
                } else if (name == "healthInFlight") {
                    behaviour.healthInFlight = value.to_number<std::uint64_t>();
                } else {
                    throw std::invalid_argument("unknown field " + std::string(name));
                }
            }
            m_behaviour = behaviour;
            exchange->answer(200, "{}");
        } catch (const std::exception& error) {
            exchange->answer(400, json::serialize(json::object {{"error", error.what()}}));
        }
    }

    static constexpr std::uint64_t maxDeadlineMs = 86'400'000; ///< Longer deadlines count as none.

    BackendOptions m_options;
    MonotonicTime m_coldUntil;
    std::uint64_t m_incarnation;
    std::uint64_t m_lastNonce = 0;
    GrantLedger m_ledger;
    Behaviour m_behaviour;
    Counters m_counters;
    double m_shedding = 0;
    std::uint64_t m_lastRequest = 0;
    std::map<std::uint64_t, RunningRequest> m_running;
    int m_recordFile = -1;
    HttpServer m_server;
};

int run(int argc, char** argv)
{
    namespace options = boost::program_options;
    BackendOptions settings;
    options::options_description description("backend-standin: a backend server that records what it executes");
    options::options_description_easy_init add = description.add_options();
    add("help", "show this text");
    add("listen", options::value(&settings.listen)->required(), "address, <ip number>:<port>");
    add("id", options::value(&settings.id)->required(), "id of this server");
    add("slots", options::value(&settings.slots)->default_value(6), "requests executed at the same time");
    add("service-time-ms", options::value(&settings.serviceTimeMs)->default_value(5), "time to execute a request");
    add("cold-start-ms", options::value(&settings.coldStartMs)->default_value(0),
        "time after the start in which requests are refused as cold");
    add("record", options::value(&settings.recordFile), "file to append a line to for each executed request");
    add("unchecked", options::bool_switch(&settings.unchecked), "check no grants");
    if (const std::optional<int> status = parseArguments("backend-standin", description, argc, argv)) {
        return *status;
    }
    Backend backend(settings);
    return runProgram("backend-standin", [&] { return backend.start(); });
}

} // namespace

} // namespace jasminespread::standins

int main(int argc, char** argv) { return jasminespread::standins::run(argc, argv); }
