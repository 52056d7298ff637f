// Load tool: sends requests at a given rate, whether or not earlier ones were answered, and measures each latency from
// the moment at which the request should have started. See --help.
#include <jasminespread/time.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/program_options.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <csignal>
#include <deque>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace po = boost::program_options;
namespace http = boost::beast::http;
using namespace jasminespread;

namespace {

constexpr const char* program = "jasminespread-load";
/// Bounds the memory for latencies, which are all kept: 12 bytes each.
constexpr double maxRequests = 20'000'000;
constexpr std::size_t maxAnswerBytes = 4'194'304;
constexpr Milliseconds reconnectDelay {100};
/// Wait for an answer beyond the deadline that the entry knows.
constexpr Milliseconds answerMargin {2000};
constexpr Milliseconds timeoutCheckInterval {100};
/// Ranks by which the hot set moves on; coprime to usual numbers of keys.
constexpr std::uint64_t hotSetStep = 7919;

struct Options {
    std::vector<std::string> targets;
    std::string service;
    std::string path = "load";
    double rate = 1000;
    double seconds = 10;
    std::size_t connections = 64;
    std::size_t threads = 4;
    std::uint64_t keys = 10'000;
    double zipf = 1.0;
    double hotMoveSeconds = 0;
    double nonRepeatable = 0.1;
    std::size_t bodyBytes = 64;
    std::int64_t deadlineMs = 5000;
    std::string workClass;
    std::string csvFile;
    std::uint64_t seed = 1;
};

/// How a request ended: an outcome of the protocol, or no whole answer.
enum class End : std::uint8_t { Done, NotRun, Unknown, Other, NoAnswer, NotSent };
constexpr std::array<const char*, 6> endNames {"done", "not-run", "unknown", "other answer", "no answer", "not sent"};

struct Measurement {
    float startSecond; ///< Intended start.
    float latencyMs;
    End end;
};

struct Results {
    std::vector<Measurement> measurements;
    std::map<std::string, std::uint64_t> reasons; ///< By "<status> <outcome> <reason>".
    std::uint64_t connectionsBroken = 0;
};

/// Draws keys by Zipf's law; the ranks move over the keys as time passes.
class KeySource {
public:
    KeySource(std::uint64_t keys, double exponent)
    {
        double sum = 0;
        m_cumulative.reserve(keys);
        for (std::uint64_t rank = 1; rank <= keys; ++rank) {
            sum += 1 / std::pow(static_cast<double>(rank), exponent);
            m_cumulative.push_back(sum);
        }
    }

    template <typename Generator> std::uint64_t draw(Generator& generator, std::uint64_t epoch) const
    {
        std::uniform_real_distribution<double> distribution(0, m_cumulative.back());
        const auto it = std::lower_bound(m_cumulative.begin(), m_cumulative.end(), distribution(generator));
        const auto rank = static_cast<std::uint64_t>(it - m_cumulative.begin());
        return (rank + epoch * hotSetStep) % m_cumulative.size();
    }

private:
    std::vector<double> m_cumulative;
};

struct Arrival {
    MonotonicTime intended;
    bool repeatable = true;
    std::uint64_t key = 0;
};

struct Connection {
    int fd = -1;
    bool connected = false;
    bool watchesOutput = false; ///< Waits for room for the rest of a request.
    std::size_t target = 0;
    MonotonicTime reconnectAt {};
    std::optional<Arrival> current;
    MonotonicTime giveUpAt {};
    std::string unsent;
    std::string unparsed;
    std::optional<http::response_parser<http::string_body>> parser;
};

/// One thread: its share of the rate and of the connections.
class LoadThread {
public:
    LoadThread(const Options& options, const std::vector<sockaddr_in>& targets, const KeySource& keys,
        std::size_t index, MonotonicTime start)
        : m_options(options)
        , m_targets(targets)
        , m_keys(keys)
        , m_generator(options.seed * 1000 + index)
        , m_start(start)
        , m_interarrival(options.rate / static_cast<double>(options.threads))
        , m_connections((options.connections + options.threads - 1) / options.threads)
    {
        for (std::size_t i = 0; i < m_connections.size(); ++i) {
            m_connections[i].target = (index + i) % targets.size();
        }
    }
    ~LoadThread()
    {
        for (const Connection& connection : m_connections) {
            if (connection.fd >= 0) {
                close(connection.fd);
            }
        }
        close(m_timer);
        close(m_epoll);
    }
    LoadThread(const LoadThread&) = delete;
    LoadThread& operator=(const LoadThread&) = delete;

    void run()
    {
        epoll_event timerEvent {};
        timerEvent.events = EPOLLIN;
        timerEvent.data.u64 = m_connections.size();
        epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_timer, &timerEvent);
        const MonotonicTime end = m_start + toDuration(m_options.seconds);
        const MonotonicTime giveUp = end + Milliseconds(m_options.deadlineMs) + answerMargin;
        m_nextArrival = m_start + drawInterval();
        while (true) {
            const MonotonicTime now = monotonicNow();
            for (; m_nextArrival <= now && m_nextArrival < end; m_nextArrival += drawInterval()) {
                m_waiting.push_back(drawArrival(m_nextArrival));
            }
            checkTimes(now);
            sendWaiting();
            if (now >= giveUp || (now >= end && m_waiting.empty() && m_inFlight == 0)) {
                break;
            }
            waitForEvents(now >= end ? giveUp : m_nextArrival);
        }
        for (const Arrival& arrival : m_waiting) {
            record(arrival, End::NotSent);
        }
        for (Connection& connection : m_connections) {
            if (connection.current) {
                finish(connection, End::NoAnswer);
            }
        }
    }

    [[nodiscard]] const Results& results() const noexcept { return m_results; }

private:
    static MonotonicTime::duration toDuration(double seconds)
    {
        return std::chrono::duration_cast<MonotonicTime::duration>(std::chrono::duration<double>(seconds));
    }

    MonotonicTime::duration drawInterval() { return toDuration(m_interarrival(m_generator)); }

    Arrival drawArrival(MonotonicTime intended)
    {
        const double second = std::chrono::duration<double>(intended - m_start).count();
        const std::uint64_t epoch
            = m_options.hotMoveSeconds > 0 ? static_cast<std::uint64_t>(second / m_options.hotMoveSeconds) : 0;
        std::bernoulli_distribution nonRepeatable(m_options.nonRepeatable);
        return {intended, !nonRepeatable(m_generator), m_keys.draw(m_generator, epoch)};
    }

    void waitForEvents(MonotonicTime next)
    {
        const MonotonicTime now = monotonicNow();
        const auto wait = std::clamp<MonotonicTime::duration>(next - now, std::chrono::nanoseconds(1), reconnectDelay);
        itimerspec spec {};
        spec.it_value.tv_nsec = std::chrono::nanoseconds(wait).count();
        timerfd_settime(m_timer, 0, &spec, nullptr);
        std::array<epoll_event, 64> events {};
        const int count = epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), -1);
        for (int i = 0; i < count; ++i) {
            const epoll_event& event = events.at(static_cast<std::size_t>(i));
            if (event.data.u64 < m_connections.size()) {
                handle(m_connections[event.data.u64], event.events);
            }
        }
    }

    void checkTimes(MonotonicTime now)
    {
        if (now < m_nextCheck) {
            return;
        }
        m_nextCheck = now + timeoutCheckInterval;
        for (std::size_t i = 0; i < m_connections.size(); ++i) {
            Connection& connection = m_connections[i];
            if (connection.current && now >= connection.giveUpAt) {
                drop(connection);
            }
            if (connection.fd < 0 && now >= connection.reconnectAt) {
                open(connection, i);
            }
        }
    }

    void open(Connection& connection, std::size_t index)
    {
        connection.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (connection.fd < 0) {
            connection.reconnectAt = monotonicNow() + reconnectDelay;
            return;
        }
        const int on = 1;
        setsockopt(connection.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const sockaddr_in& target = m_targets[connection.target];
        (void)connect(connection.fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
        epoll_event event {};
        event.events = EPOLLIN | EPOLLOUT;
        event.data.u64 = index;
        epoll_ctl(m_epoll, EPOLL_CTL_ADD, connection.fd, &event);
    }

    /// Closes a connection. A request in flight ends without an answer.
    void drop(Connection& connection)
    {
        if (connection.current) {
            finish(connection, End::NoAnswer);
        }
        m_results.connectionsBroken += connection.connected ? 1 : 0;
        close(connection.fd);
        connection.fd = -1;
        connection.connected = false;
        connection.watchesOutput = false;
        connection.unsent.clear();
        connection.unparsed.clear();
        connection.reconnectAt = monotonicNow() + reconnectDelay;
        std::erase(m_idle, &connection);
    }

    void watch(Connection& connection, std::uint32_t events)
    {
        epoll_event event {};
        event.events = events;
        event.data.u64 = static_cast<std::uint64_t>(&connection - m_connections.data());
        epoll_ctl(m_epoll, EPOLL_CTL_MOD, connection.fd, &event);
    }

    void handle(Connection& connection, std::uint32_t events)
    {
        if (connection.fd < 0) {
            return;
        }
        if (!connection.connected) {
            int error = 0;
            socklen_t size = sizeof(error);
            getsockopt(connection.fd, SOL_SOCKET, SO_ERROR, &error, &size);
            if (error != 0 || (events & (EPOLLERR | EPOLLHUP)) != 0) {
                drop(connection);
                return;
            }
            connection.connected = true;
            watch(connection, EPOLLIN);
            m_idle.push_back(&connection);
            return;
        }
        if ((events & EPOLLOUT) != 0 && !flush(connection)) {
            return;
        }
        if ((events & (EPOLLIN | EPOLLERR | EPOLLHUP)) != 0) {
            receive(connection);
        }
    }

    void sendWaiting()
    {
        while (!m_waiting.empty() && !m_idle.empty()) {
            Connection& connection = *m_idle.front();
            m_idle.pop_front();
            connection.current = m_waiting.front();
            m_waiting.pop_front();
            ++m_inFlight;
            connection.giveUpAt = monotonicNow() + Milliseconds(m_options.deadlineMs) + answerMargin;
            connection.parser.emplace();
            connection.parser->body_limit(maxAnswerBytes);
            connection.parser->eager(true);
            connection.unsent = requestText(*connection.current);
            (void)flush(connection);
        }
    }

    [[nodiscard]] std::string requestText(const Arrival& arrival) const
    {
        std::string text = arrival.repeatable ? "GET" : "POST";
        text += " /v1/" + m_options.service + '/' + m_options.path
            + " HTTP/1.1\r\nHost: load\r\nJasminespread-Key: key-" + std::to_string(arrival.key)
            + "\r\nJasminespread-Deadline-Ms: " + std::to_string(m_options.deadlineMs) + "\r\n";
        if (!m_options.workClass.empty()) {
            text += "Jasminespread-Class: " + m_options.workClass + "\r\n";
        }
        if (!arrival.repeatable) {
            text += "Content-Length: " + std::to_string(m_options.bodyBytes) + "\r\n\r\n";
            text.append(m_options.bodyBytes, 'x');
        } else {
            text += "\r\n";
        }
        return text;
    }

    /// Writes what the socket takes. Returns false when the connection was dropped.
    bool flush(Connection& connection)
    {
        const ssize_t size
            = ::send(connection.fd, connection.unsent.data(), connection.unsent.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (size < 0 && errno != EAGAIN) {
            drop(connection);
            return false;
        }
        connection.unsent.erase(0, size > 0 ? static_cast<std::size_t>(size) : 0);
        const bool isWaiting = !connection.unsent.empty();
        if (isWaiting != connection.watchesOutput) {
            connection.watchesOutput = isWaiting;
            watch(connection, isWaiting ? EPOLLIN | EPOLLOUT : EPOLLIN);
        }
        return true;
    }

    void receive(Connection& connection)
    {
        const ssize_t size = recv(connection.fd, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
        if (size < 0 && errno == EAGAIN) {
            return;
        }
        if (size <= 0 || !connection.current) {
            drop(connection);
            return;
        }
        connection.unparsed.append(m_buffer.data(), static_cast<std::size_t>(size));
        boost::system::error_code ec;
        const std::size_t used = connection.parser->put(boost::asio::buffer(connection.unparsed), ec);
        connection.unparsed.erase(0, used);
        if (ec && ec != http::error::need_more) {
            drop(connection);
            return;
        }
        if (!connection.parser->is_done()) {
            return;
        }
        const bool keepAlive = connection.parser->keep_alive();
        finishAnswered(connection);
        if (keepAlive) {
            m_idle.push_back(&connection);
        } else {
            drop(connection);
        }
    }

    void finishAnswered(Connection& connection)
    {
        const http::response<http::string_body>& answer = connection.parser->get();
        const std::string outcome(answer["Jasminespread-Outcome"]);
        End end = End::Other;
        for (const End candidate : {End::Done, End::NotRun, End::Unknown}) {
            if (outcome == endNames.at(static_cast<std::size_t>(candidate))) {
                end = candidate;
            }
        }
        ++m_results.reasons[std::to_string(answer.result_int()) + " " + (outcome.empty() ? "-" : outcome) + " "
            + std::string(answer["Jasminespread-Reason"])];
        finish(connection, end);
    }

    void finish(Connection& connection, End end)
    {
        record(*connection.current, end);
        connection.current.reset();
        --m_inFlight;
    }

    void record(const Arrival& arrival, End end)
    {
        const std::chrono::duration<float> start = arrival.intended - m_start;
        const std::chrono::duration<float, std::milli> latency = monotonicNow() - arrival.intended;
        m_results.measurements.push_back({start.count(), latency.count(), end});
    }

    const Options& m_options;
    const std::vector<sockaddr_in>& m_targets;
    const KeySource& m_keys;
    std::mt19937_64 m_generator;
    MonotonicTime m_start;
    std::exponential_distribution<double> m_interarrival;
    MonotonicTime m_nextArrival {};
    MonotonicTime m_nextCheck {};
    std::vector<Connection> m_connections;
    std::deque<Connection*> m_idle; ///< The one idle for longest is used next, so that all targets get requests.
    std::deque<Arrival> m_waiting;
    std::size_t m_inFlight = 0;
    int m_epoll = epoll_create1(EPOLL_CLOEXEC);
    int m_timer = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
    std::array<char, 65'536> m_buffer {};
    Results m_results;
};

/// Latencies of answered requests, sorted.
class Latencies {
public:
    void add(float ms) { m_values.push_back(ms); }
    void sort() { std::sort(m_values.begin(), m_values.end()); }
    [[nodiscard]] float percentile(double share) const
    {
        if (m_values.empty()) {
            return 0;
        }
        const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(m_values.size())));
        return m_values[std::max<std::size_t>(rank, 1) - 1];
    }

private:
    std::vector<float> m_values;
};

struct Summary {
    std::array<std::uint64_t, endNames.size()> ends {};
    Latencies latencies;

    void add(const Measurement& measurement)
    {
        ++ends.at(static_cast<std::size_t>(measurement.end));
        if (measurement.end != End::NoAnswer && measurement.end != End::NotSent) {
            latencies.add(measurement.latencyMs);
        }
    }
};

void printTable(const Options& options, Results& results)
{
    Summary summary;
    for (const Measurement& measurement : results.measurements) {
        summary.add(measurement);
    }
    summary.latencies.sort();
    const double total = static_cast<double>(results.measurements.size());
    std::cout << std::fixed << std::setprecision(0) << "offered " << total << " requests in " << options.seconds
              << " s (" << total / options.seconds << "/s, wanted " << options.rate << "/s); "
              << results.connectionsBroken << " connections broken\n";
    std::cout << std::setprecision(2) << "latency from the intended start, ms: p50 "
              << summary.latencies.percentile(0.5) << "  p90 " << summary.latencies.percentile(0.9) << "  p99 "
              << summary.latencies.percentile(0.99) << "  p99.9 " << summary.latencies.percentile(0.999) << "  max "
              << summary.latencies.percentile(1) << '\n';
    for (std::size_t i = 0; i < endNames.size(); ++i) {
        std::cout << std::setw(12) << endNames.at(i) << std::setw(12) << summary.ends.at(i) << '\n';
    }
    std::cout << "answers by status, outcome and reason:\n";
    for (const auto& [reason, count] : results.reasons) {
        std::cout << std::setw(12) << count << "  " << reason << '\n';
    }
}

bool writeCsv(const std::string& file, const Results& results)
{
    std::map<std::uint64_t, Summary> seconds;
    for (const Measurement& measurement : results.measurements) {
        seconds[static_cast<std::uint64_t>(measurement.startSecond)].add(measurement);
    }
    std::ofstream out(file);
    out << "second,done,not_run,unknown,other,no_answer,not_sent,p50_ms,p99_ms,max_ms\n";
    for (auto& [second, summary] : seconds) {
        summary.latencies.sort();
        out << second;
        for (const std::uint64_t count : summary.ends) {
            out << ',' << count;
        }
        out << ',' << summary.latencies.percentile(0.5) << ',' << summary.latencies.percentile(0.99) << ','
            << summary.latencies.percentile(1) << '\n';
    }
    out.close();
    return !out.fail();
}

std::optional<sockaddr_in> parseTarget(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    sockaddr_in address {};
    address.sin_family = AF_INET;
    const unsigned long port = colon == std::string::npos ? 0 : std::strtoul(text.c_str() + colon + 1, nullptr, 10);
    if (port == 0 || port > 65'535 || inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) {
        return std::nullopt;
    }
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

/// Returns the first error in the options, or an empty text.
std::string checkOptions(const Options& options)
{
    if (options.targets.empty() || options.service.empty()) {
        return "--target and --service are required";
    }
    if (!(options.rate > 0) || !(options.seconds > 0) || options.rate * options.seconds > maxRequests) {
        return "--rate and --seconds must be positive and their product at most 20 million";
    }
    if (options.threads == 0 || options.threads > 64 || options.connections < options.threads
        || options.connections > 20'000) {
        return "--threads must be 1 to 64 and --connections at least as many and at most 20,000";
    }
    if (options.keys == 0 || options.keys > 10'000'000 || options.zipf < 0) {
        return "--keys must be 1 to 10 million and --zipf not negative";
    }
    if (options.nonRepeatable < 0 || options.nonRepeatable > 1 || options.deadlineMs <= 0) {
        return "--non-repeatable must be 0 to 1 and --deadline-ms positive";
    }
    return {};
}

Results runLoad(const Options& options, const std::vector<sockaddr_in>& targets)
{
    const KeySource keys(options.keys, options.zipf);
    const MonotonicTime start = monotonicNow() + Milliseconds(200);
    std::vector<std::unique_ptr<LoadThread>> parts;
    std::vector<std::thread> threads;
    threads.reserve(options.threads);
    for (std::size_t i = 0; i < options.threads; ++i) {
        LoadThread* part = parts.emplace_back(std::make_unique<LoadThread>(options, targets, keys, i, start)).get();
        threads.emplace_back([part] { part->run(); });
    }
    Results all;
    for (std::size_t i = 0; i < options.threads; ++i) {
        threads[i].join();
        const Results& part = parts[i]->results();
        all.measurements.insert(all.measurements.end(), part.measurements.begin(), part.measurements.end());
        for (const auto& [reason, count] : part.reasons) {
            all.reasons[reason] += count;
        }
        all.connectionsBroken += part.connectionsBroken;
    }
    return all;
}

} // namespace

int main(int argc, char** argv)
{
    Options options;
    po::options_description description("Options of jasminespread-load");
    description.add_options()("target", po::value(&options.targets)->value_name("IP:PORT"),
        "caller address of an entry instance; may be repeated")("service", po::value(&options.service), "service name")(
        "path", po::value(&options.path)->default_value(options.path), "path below the service")(
        "rate", po::value(&options.rate)->default_value(options.rate), "requests per second in total")(
        "seconds", po::value(&options.seconds)->default_value(options.seconds), "duration of the run")("connections",
        po::value(&options.connections)->default_value(options.connections),
        "connections in total")("threads", po::value(&options.threads)->default_value(options.threads), "threads")(
        "keys", po::value(&options.keys)->default_value(options.keys), "number of keys")("zipf",
        po::value(&options.zipf)->default_value(options.zipf), "exponent of Zipf's law; 0 is uniform")("hot-move",
        po::value(&options.hotMoveSeconds)->default_value(options.hotMoveSeconds),
        "seconds after which other keys become hot; 0 is never")("non-repeatable",
        po::value(&options.nonRepeatable)->default_value(options.nonRepeatable),
        "share of requests that may not be repeated (POST)")("body-bytes",
        po::value(&options.bodyBytes)->default_value(options.bodyBytes), "body size of these requests")("deadline-ms",
        po::value(&options.deadlineMs)->default_value(options.deadlineMs), "deadline given to the entry")(
        "class", po::value(&options.workClass), "class of work")("csv", po::value(&options.csvFile)->value_name("FILE"),
        "write one row per second to this file")("seed", po::value(&options.seed)->default_value(options.seed),
        "seed of the random numbers")("version", "print the version and exit")("help", "print this help and exit");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << program << ": " << error.what() << "; see --help\n";
        return 2;
    }
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    if (values.contains("version")) {
        std::cout << program << " " JASMINESPREAD_VERSION "\n";
        return 0;
    }
    const std::string error = checkOptions(options);
    if (!error.empty()) {
        std::cerr << program << ": " << error << "; see --help\n";
        return 2;
    }
    std::vector<sockaddr_in> targets;
    for (const std::string& text : options.targets) {
        const std::optional<sockaddr_in> target = parseTarget(text);
        if (!target) {
            std::cerr << program << ": \"" << text << "\" is not an IP number and port such as 10.0.0.1:8080\n";
            return 2;
        }
        targets.push_back(*target);
    }
    std::signal(SIGPIPE, SIG_IGN);
    Results results = runLoad(options, targets);
    printTable(options, results);
    if (!options.csvFile.empty() && !writeCsv(options.csvFile, results)) {
        std::cerr << program << ": cannot write " << options.csvFile << '\n';
        return 1;
    }
    return results.reasons.empty() ? 1 : 0;
}
