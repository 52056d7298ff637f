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

using ExchangePointer = std::shared_ptr<HttpExchange>;

struct BackendOptions {
    std::string listen;
    std::string id;
    std::uint32_t slots = 6;
    std::uint32_t serviceTimeMs = 5;
    std::uint32_t coldStartMs = 0;
    std::string recordPath;
    bool grantCheckDisabled = false;
};

/// Behaviour that PUT /admin/state replaces at run time.
struct Behaviour {
    bool draining = false;
    bool refuseWhileDraining = false;
    double sheddingShare = 0; ///< Share of requests refused with `overload`.
    Milliseconds extraServiceTime {0};
    Milliseconds grantDelay {0}; ///< Delay between the receipt of a grant and its application.
    std::optional<std::string> reportedState; ///< Reported by /health instead of the actual state.
    std::optional<std::uint64_t> reportedInFlight; ///< Reported by /health instead of the actual number.
};

struct Counters {
    std::uint64_t executed = 0;
    std::uint64_t refused = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t expired = 0;
    std::uint64_t grants = 0;
};

struct RunningRequest {
    ExchangePointer exchange;
    PartitionClaim claim;
    ExecutionRecord record;
    MonotonicTime deadline;
    std::size_t answerBytes = 0;
    TimerId timer = 0;
};

std::optional<std::uint64_t> numericHeader(const HttpExchange& exchange, const std::string& name)
{
    const std::optional<std::string> text = exchange.header(name);
    std::uint64_t number = 0;
    if (!text || text->empty()) {
        return std::nullopt;
    }
    const std::from_chars_result parseResult = std::from_chars(text->data(), text->data() + text->size(), number);
    return parseResult.ec == std::errc() && parseResult.ptr == text->data() + text->size()
        ? std::optional<std::uint64_t>(number)
        : std::nullopt;
}

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::int64_t nanoseconds(MonotonicTime time) { return time.time_since_epoch().count(); }

class BackendStandin {
public:
    explicit BackendStandin(BackendOptions options)
        : m_options(std::move(options))
        , m_coldUntil(monotonicNow() + Milliseconds(m_options.coldStartMs))
        , m_incarnation(randomNumber() | 1U)
        , m_ledger(m_options.id, m_incarnation,
              [this] { return std::to_string(m_incarnation) + "-" + std::to_string(++m_lastNonce); })
        , m_server([this](const ExchangePointer& exchange) { dispatch(exchange); })
    {
    }

    ~BackendStandin()
    {
        if (m_recordDescriptor >= 0) {
            ::close(m_recordDescriptor);
        }
    }

    BackendStandin(const BackendStandin&) = delete;
    BackendStandin& operator=(const BackendStandin&) = delete;

    Result<void> start()
    {
        if (!m_options.recordPath.empty()) {
            m_recordDescriptor = ::open(m_options.recordPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
            if (m_recordDescriptor < 0) {
                return fail(ErrorKind::InvalidInput,
                    "cannot open " + m_options.recordPath + ": " + std::generic_category().message(errno));
            }
        }
        return m_server.listen(m_options.listen);
    }

private:
    void dispatch(const ExchangePointer& exchange)
    {
        const std::string path = exchange->path();
        const std::string method = exchange->method();
        if (path == "/control/grants" && method == "POST" && !m_options.grantCheckDisabled) {
            handleGrants(exchange);
        } else if (path == "/control/cancel" && method == "POST") {
            handleCancel(exchange);
        } else if (path == "/health" && method == "GET") {
            exchange->answer(200, healthBody());
        } else if (path == "/admin/state" && method == "PUT") {
            setBehaviour(exchange);
        } else if (path == "/admin/counters" && method == "GET") {
            exchange->answer(200, countersBody());
        } else if (path.starts_with("/control/") || path.starts_with("/admin/")) {
            exchange->answer(404, R"({"error":"no resource at this path with this method"})");
        } else {
            handleRequest(exchange);
        }
    }

    [[nodiscard]] ServerState currentState() const
    {
        if (m_behaviour.draining) {
            return ServerState::Draining;
        }
        return monotonicNow() < m_coldUntil ? ServerState::Cold : ServerState::Serving;
    }

    void handleGrants(const ExchangePointer& exchange)
    {
        const std::string text = exchange->body();
        if (m_behaviour.grantDelay.count() > 0) {
            startTimer(m_behaviour.grantDelay, [this, exchange, text] { applyGrants(exchange, text); });
        } else {
            applyGrants(exchange, text);
        }
    }

    void applyGrants(const ExchangePointer& exchange, const std::string& text)
    {
        ++m_counters.grants;
        handleError(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(batch, decodeGrantBatch(text));
                exchange->answer(200, encodeGrantReply(m_ledger.apply(batch, currentState(), monotonicNow())));
                return {};
            },
            [&](const Error& error) {
                exchange->answer(400, json::serialize(json::object {{"error", describe(error)}}));
            });
    }

    /// Answers a request that was not executed.
    void refuse(const ExchangePointer& exchange, unsigned status, const std::string& reason)
    {
        ++m_counters.refused;
        const std::string id = exchange->header("Jasminespread-Request-Id").value_or("");
        exchange->answer(status, json::serialize(json::object {{"reason", reason}, {"requestId", id}}),
            {{"Jasminespread-Outcome", "not-run"}, {"Jasminespread-Reason", reason}, {"Jasminespread-Request-Id", id},
                {"Jasminespread-Server", m_options.id}});
    }

    void refuse(const ExchangePointer& exchange, ClaimResult claimResult)
    {
        refuse(exchange, 409, claimResult == ClaimResult::NoLease ? "no-lease" : "not-owner");
    }

    [[nodiscard]] static bool isRepeatable(const HttpExchange& exchange)
    {
        return exchange.header("Jasminespread-Repeatable").value_or(std::string()) == "yes";
    }

    /// Reads the claim from the request headers. Returns nothing if a header is missing or malformed.
    [[nodiscard]] static std::optional<PartitionClaim> readClaim(const HttpExchange& exchange)
    {
        const std::optional<GroupName> group
            = parseGroupName(exchange.header("Jasminespread-Group").value_or(std::string()));
        const std::optional<std::uint64_t> partition = numericHeader(exchange, "Jasminespread-Partition");
        const std::optional<std::uint64_t> token = numericHeader(exchange, "Jasminespread-Token");
        const std::optional<std::uint64_t> term = numericHeader(exchange, "Jasminespread-Term");
        if (!group || !partition || *partition > UINT32_MAX || !token || !term) {
            return std::nullopt;
        }
        return PartitionClaim {*group, *term, static_cast<std::uint32_t>(*partition), *token, isRepeatable(exchange)};
    }

    void handleRequest(const ExchangePointer& exchange)
    {
        const MonotonicTime now = monotonicNow();
        const std::optional<PartitionClaim> claim = readClaim(*exchange);
        if (!claim && !m_options.grantCheckDisabled) {
            refuse(exchange, 409, "not-owner");
            return;
        }
        if (claim && !m_options.grantCheckDisabled) {
            const ClaimResult claimResult = m_ledger.checkStart(*claim, now);
            if (claimResult != ClaimResult::Valid) {
                refuse(exchange, claimResult);
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
        m_sheddingAccumulator += m_behaviour.sheddingShare;
        if (m_sheddingAccumulator >= 1) {
            m_sheddingAccumulator -= 1;
            refuse(exchange, 503, "overload");
            return;
        }
        if (m_runningRequests.size() >= m_options.slots) {
            refuse(exchange, 503, "overload");
            return;
        }
        const std::optional<std::uint64_t> remainingMs = numericHeader(*exchange, "Jasminespread-Deadline-Ms");
        const Milliseconds serviceTime = Milliseconds(m_options.serviceTimeMs) + m_behaviour.extraServiceTime;
        if (remainingMs == std::uint64_t {0}) {
            ++m_counters.expired;
            refuse(exchange, 503, "deadline");
            return;
        }
        startRequest(exchange, claim.value_or(PartitionClaim {}), now, serviceTime, remainingMs);
    }

    void startRequest(const ExchangePointer& exchange, const PartitionClaim& claim, MonotonicTime now,
        Milliseconds serviceTime, std::optional<std::uint64_t> remainingMs)
    {
        RunningRequest request;
        request.exchange = exchange;
        request.claim = claim;
        request.deadline = MonotonicTime::max();
        if (remainingMs && *remainingMs < maxDeadlineMs) {
            request.deadline = now + Milliseconds(static_cast<Milliseconds::rep>(*remainingMs));
        }
        const std::string method = exchange->method();
        request.record = {nanoseconds(now), 0, m_options.id, exchange->header("Jasminespread-Key").value_or(""),
            exchange->header("Jasminespread-Group").value_or(""), claim.partition, claim.token, claim.term,
            exchange->header("Jasminespread-Request-Id").value_or(""), method, isRepeatable(*exchange)};
        const std::optional<std::string> requestedBytes = exchange->queryParameter("answerBytes");
        if (requestedBytes) {
            std::from_chars(
                requestedBytes->data(), requestedBytes->data() + requestedBytes->size(), request.answerBytes);
        }
        m_ledger.beginRequest(claim);
        const std::uint64_t requestNumber = ++m_lastRequestNumber;
        // A request that cannot complete in time releases its slot at its deadline.
        const Milliseconds timerDelay = std::min(serviceTime, std::chrono::ceil<Milliseconds>(request.deadline - now));
        request.timer = startTimer(timerDelay, [this, requestNumber] { completeRequest(requestNumber); });
        m_runningRequests.emplace(requestNumber, std::move(request));
        exchange->onDisconnect([this, requestNumber] { cancelRequest(requestNumber, "cancelled"); });
    }

    /// Removes a request from its slot and from the grant ledger. Precondition: the request is running.
    RunningRequest removeRunning(std::uint64_t requestNumber)
    {
        const auto it = m_runningRequests.find(requestNumber);
        RunningRequest request = std::move(it->second);
        m_runningRequests.erase(it);
        m_ledger.finishRequest(request.claim);
        return request;
    }

    void completeRequest(std::uint64_t requestNumber)
    {
        const auto it = m_runningRequests.find(requestNumber);
        // The recorded time is the clock reading used for the lease check. A pause of the process between the check and
        // the write then delays the line in the file, but does not look like an execution after the end of the lease.
        const MonotonicTime now = monotonicNow();
        const ClaimResult claimResult
            = m_options.grantCheckDisabled ? ClaimResult::Valid : m_ledger.checkCommit(it->second.claim, now);
        RunningRequest request = removeRunning(requestNumber);
        if (claimResult != ClaimResult::Valid) {
            refuse(request.exchange, claimResult);
            return;
        }
        if (now >= request.deadline) {
            ++m_counters.expired;
            refuse(request.exchange, 503, "deadline");
            return;
        }
        request.record.commitNs = nanoseconds(now);
        appendRecord(request.record);
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

    void appendRecord(const ExecutionRecord& record) const
    {
        if (m_recordDescriptor < 0) {
            return;
        }
        const std::string line = encodeExecutionRecord(record) + "\n";
        if (::write(m_recordDescriptor, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
            std::cerr << "backend-standin: cannot append to " << m_options.recordPath << ": "
                      << std::generic_category().message(errno) << "\n";
            std::abort();
        }
    }

    /// Ends a running request without committing it. Does nothing if it is not running.
    void cancelRequest(std::uint64_t requestNumber, const std::string& reason)
    {
        const auto it = m_runningRequests.find(requestNumber);
        if (it == m_runningRequests.end()) {
            return;
        }
        cancelTimer(it->second.timer);
        const RunningRequest request = removeRunning(requestNumber);
        ++m_counters.cancelled;
        refuse(request.exchange, 503, reason);
    }

    void handleCancel(const ExchangePointer& exchange)
    {
        boost::system::error_code ec;
        const json::value body = json::parse(exchange->body(), ec);
        const json::value* id = !ec && body.is_object() ? body.get_object().if_contains("requestId") : nullptr;
        if (id == nullptr || !id->is_string()) {
            exchange->answer(400, R"({"error":"body must be a JSON object with the string requestId"})");
            return;
        }
        std::vector<std::uint64_t> requestNumbers;
        for (const auto& [requestNumber, request] : m_runningRequests) {
            if (request.record.requestId == id->get_string()) {
                requestNumbers.push_back(requestNumber);
            }
        }
        for (const std::uint64_t requestNumber : requestNumbers) {
            cancelRequest(requestNumber, "cancelled");
        }
        exchange->answer(200, json::serialize(json::object {{"cancelled", !requestNumbers.empty()}}));
    }

    [[nodiscard]] std::string healthBody() const
    {
        return json::serialize(json::object {
            {"state", m_behaviour.reportedState.value_or(std::string(enumName(serverStateNames, currentState())))},
            {"inFlight", m_behaviour.reportedInFlight.value_or(m_runningRequests.size())}, {"slots", m_options.slots}});
    }

    [[nodiscard]] std::string countersBody() const
    {
        return json::serialize(json::object {{"executed", m_counters.executed}, {"refused", m_counters.refused},
            {"cancelled", m_counters.cancelled}, {"expired", m_counters.expired}, {"grants", m_counters.grants},
            {"inFlight", m_runningRequests.size()}});
    }

    void setBehaviour(const ExchangePointer& exchange)
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
                    behaviour.sheddingShare = value.to_number<double>();
                } else if (name == "extraDelayMs") {
                    behaviour.extraServiceTime = Milliseconds(value.to_number<std::uint32_t>());
                } else if (name == "grantDelayMs") {
                    behaviour.grantDelay = Milliseconds(value.to_number<std::uint32_t>());
                } else if (name == "health") {
                    behaviour.reportedState = std::string(value.as_string());
                } else if (name == "healthInFlight") {
                    behaviour.reportedInFlight = value.to_number<std::uint64_t>();
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

    static constexpr std::uint64_t maxDeadlineMs = 86'400'000; ///< Longer deadlines are treated as no deadline.

    BackendOptions m_options;
    MonotonicTime m_coldUntil;
    std::uint64_t m_incarnation;
    std::uint64_t m_lastNonce = 0;
    GrantLedger m_ledger;
    Behaviour m_behaviour;
    Counters m_counters;
    double m_sheddingAccumulator = 0;
    std::uint64_t m_lastRequestNumber = 0;
    std::map<std::uint64_t, RunningRequest> m_runningRequests;
    int m_recordDescriptor = -1;
    HttpServer m_server;
};

int run(int argc, char** argv)
{
    namespace options = boost::program_options;
    BackendOptions settings;
    options::options_description description("backend-standin: test backend server that records each executed request");
    options::options_description_easy_init add = description.add_options();
    add("help", "show this text");
    add("listen", options::value(&settings.listen)->required(), "address to listen on, <IP address>:<port>");
    add("id", options::value(&settings.id)->required(), "id of this server");
    add("slots", options::value(&settings.slots)->default_value(6), "maximum number of concurrent requests");
    add("service-time-ms", options::value(&settings.serviceTimeMs)->default_value(5), "execution time of a request");
    add("cold-start-ms", options::value(&settings.coldStartMs)->default_value(0),
        "time after the start during which requests are refused with reason cold");
    add("record", options::value(&settings.recordPath),
        "file to which one line of JSON is appended for each executed request");
    add("unchecked", options::bool_switch(&settings.grantCheckDisabled),
        "execute requests without checking grants, and serve no grant calls");
    if (const std::optional<int> status = parseArguments("backend-standin", description, argc, argv)) {
        return *status;
    }
    BackendStandin backend(settings);
    return runProgram("backend-standin", [&] { return backend.start(); });
}

} // namespace

} // namespace jasminespread::standins

int main(int argc, char** argv) { return jasminespread::standins::run(argc, argv); }
