// Compares the throughput and latency of requests through an entry instance with direct requests to the backend server.
// Everything runs in one process on the loopback interface.

#include "support/metrics_and_log_stub.h"

#include <jasminespread/backend_transports.h>
#include <jasminespread/worker_pool.h>

#include <arpa/inet.h>
#include <boost/program_options.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <iostream>
#include <thread>
#include <unordered_map>

namespace jasminespread {
namespace {

constexpr int listenBacklog = 1024;
constexpr std::uint32_t partitions = 96;
constexpr std::uint32_t groups = 6;

int listenOnLoopback(std::uint16_t port, std::uint16_t& boundPort)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, listenBacklog) != 0) {
        close(fd);
        return -1;
    }
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    boundPort = ntohs(address.sin_port);
    return fd;
}

std::uint16_t freePort()
{
    std::uint16_t port = 0;
    close(listenOnLoopback(0, port));
    return port;
}

/// Backend server with one thread that answers each request immediately with the same body.
class FixedAnswerServer {
public:
    explicit FixedAnswerServer(std::size_t bodyBytes)
        : m_answer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
            + std::string(bodyBytes, 'a'))
        , m_listener(listenOnLoopback(0, m_port))
        , m_epoll(epoll_create1(EPOLL_CLOEXEC))
        , m_thread([this] { run(); })
    {
    }
    ~FixedAnswerServer()
    {
        m_stopping = true;
        m_thread.join();
        close(m_epoll);
        close(m_listener);
    }
    FixedAnswerServer(const FixedAnswerServer&) = delete;
    FixedAnswerServer& operator=(const FixedAnswerServer&) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_port; }

private:
    void addToEpoll(int fd)
    {
        epoll_event event {};
        event.events = EPOLLIN;
        event.data.fd = fd;
        epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event);
    }
    void run()
    {
        addToEpoll(m_listener);
        std::unordered_map<int, std::string> inputs;
        epoll_event events[64];
        while (!m_stopping) {
            const int n = epoll_wait(m_epoll, events, 64, 50);
            for (int i = 0; i < n; ++i) {
                const int fd = events[i].data.fd;
                if (fd == m_listener) {
                    const int accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
                    const int enabled = 1;
                    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
                    addToEpoll(accepted);
                } else if (!answerRequests(fd, inputs[fd])) {
                    inputs.erase(fd);
                    close(fd);
                }
            }
        }
        for (const auto& [fd, input] : inputs) {
            close(fd);
        }
    }
    bool answerRequests(int fd, std::string& input)
    {
        char buf[65536];
        const ssize_t n = recv(fd, buf, sizeof buf, 0);
        if (n <= 0) {
            return false;
        }
        input.append(buf, static_cast<std::size_t>(n));
        while (true) {
            const std::size_t end = input.find("\r\n\r\n");
            if (end == std::string::npos) {
                return true;
            }
            const std::size_t lengthHeader = input.find("Content-Length: ");
            const std::size_t length
                = lengthHeader < end ? std::strtoul(input.c_str() + lengthHeader + 16, nullptr, 10) : 0;
            if (input.size() < end + 4 + length) {
                return true;
            }
            input.erase(0, end + 4 + length);
            send(fd, m_answer.data(), m_answer.size(), MSG_NOSIGNAL);
        }
    }

    std::string m_answer;
    std::uint16_t m_port = 0;
    int m_listener;
    int m_epoll;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

/// Returns the first of 64 consecutive ports for the forward sockets of one instance. The ports are below the usual
/// ephemeral range, so that outgoing connections do not take them.
std::uint16_t nextForwardPort()
{
    static std::uint16_t port = static_cast<std::uint16_t>(10'000 + getpid() % 20'000);
    port = static_cast<std::uint16_t>(port + 64);
    return port;
}

struct LoadProfile {
    std::uint16_t port = 0;
    std::string method;
    unsigned callers = 1;
    double rate = 0; ///< Requests per second of all callers together; 0: each caller sends its next request
                     ///< when the previous answer has arrived.
    std::size_t bodyBytes = 0;
    Milliseconds duration {};
};

struct Measurement {
    double rate = 0;
    std::vector<double> latenciesUs;
    std::size_t failedRequests = 0;
};

/// Sends requests over one keep-alive connection. Latencies count from the scheduled start of each request.
void runCaller(const LoadProfile& load, unsigned caller, Measurement& measurement)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(load.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ++measurement.failedRequests;
        close(fd);
        return;
    }
    const MonotonicTime begin = monotonicNow();
    const MonotonicTime measurementStart = begin + load.duration / 5;
    const MonotonicTime end = measurementStart + load.duration;
    const auto interval = load.rate > 0
        ? std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 * load.callers / load.rate))
        : std::chrono::nanoseconds(0);
    MonotonicTime scheduledStart = begin + interval * caller / load.callers;
    std::string input;
    char buf[65536];
    for (std::uint64_t i = 0;; ++i) {
        if (load.rate > 0) {
            std::this_thread::sleep_until(scheduledStart);
        } else {
            scheduledStart = monotonicNow();
        }
        if (scheduledStart >= end) {
            break;
        }
        const std::string request = load.method
            + " /v1/ledger/orders HTTP/1.1\r\nHost: entry\r\nJasminespread-Key: key-"
            + std::to_string(std::uint64_t(caller) * 1'000'003 + i)
            + "\r\nContent-Length: " + std::to_string(load.bodyBytes) + "\r\n\r\n" + std::string(load.bodyBytes, 'b');
        send(fd, request.data(), request.size(), MSG_NOSIGNAL);
        std::size_t answerSize = 0;
        while (answerSize == 0 || input.size() < answerSize) {
            const ssize_t n = recv(fd, buf, sizeof buf, 0);
            if (n <= 0) {
                ++measurement.failedRequests;
                close(fd);
                return;
            }
            input.append(buf, static_cast<std::size_t>(n));
            const std::size_t headersEnd = input.find("\r\n\r\n");
            if (headersEnd != std::string::npos) {
                answerSize
                    = headersEnd + 4 + std::strtoul(input.c_str() + input.find("Content-Length: ") + 16, nullptr, 10);
            }
        }
        measurement.failedRequests += input.starts_with("HTTP/1.1 200") ? 0 : 1;
        input.erase(0, answerSize);
        if (scheduledStart >= measurementStart) {
            measurement.latenciesUs.push_back(
                std::chrono::duration<double, std::micro>(monotonicNow() - scheduledStart).count());
        }
        scheduledStart += interval;
    }
    close(fd);
}

Measurement measure(const LoadProfile& load)
{
    std::vector<Measurement> callerMeasurements(load.callers);
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < load.callers; ++i) {
        threads.emplace_back([&load, &callerMeasurements, i] { runCaller(load, i, callerMeasurements[i]); });
    }
    Measurement total;
    for (unsigned i = 0; i < load.callers; ++i) {
        threads[i].join();
        total.failedRequests += callerMeasurements[i].failedRequests;
        total.latenciesUs.insert(total.latenciesUs.end(), callerMeasurements[i].latenciesUs.begin(),
            callerMeasurements[i].latenciesUs.end());
    }
    std::sort(total.latenciesUs.begin(), total.latenciesUs.end());
    total.rate = static_cast<double>(total.latenciesUs.size()) / std::chrono::duration<double>(load.duration).count();
    return total;
}

double quantile(const Measurement& measurement, double share)
{
    if (measurement.latenciesUs.empty()) {
        return 0;
    }
    const auto n = static_cast<double>(measurement.latenciesUs.size() - 1);
    return measurement.latenciesUs[static_cast<std::size_t>(share * n)];
}

/// Data plane of an entry instance that is primary of all placement groups of the service "ledger".
class BenchmarkEntry {
public:
    BenchmarkEntry(std::uint16_t backendPort, std::uint32_t workers, std::function<BackendTransport()> makeTransport)
    {
        m_settings.instance = "entry-1";
        m_settings.workers = workers;
        m_settings.callerAddress = "127.0.0.1:" + std::to_string(m_port);
        m_settings.forwardAddress = "127.0.0.1:" + std::to_string(nextForwardPort());
        auto snapshot = std::make_shared<RoutingSnapshot>();
        snapshot->ready = true;
        snapshot->self = {"entry-1", 1};
        snapshot->servers.push_back(
            {"server-1", "127.0.0.1:" + std::to_string(backendPort), "western", 64, 110, GrantCheck::Checked});
        snapshot->instances.push_back({"entry-1", 1, "western", m_settings.forwardAddress, workers, true});
        ServiceRoute& service = snapshot->services["ledger"];
        service.settings.name = "ledger";
        service.settings.grantCheck = GrantCheck::Checked;
        service.settings.partitions = partitions;
        service.settings.groups = groups;
        service.groups.resize(groups);
        for (std::uint32_t i = 0; i < groups; ++i) {
            GroupRoute& group = service.groups[i];
            group.group = {"ledger", i};
            group.term = 1;
            group.primary = 0;
            group.authorityUntil = std::make_shared<AuthorityDeadline>(
                (monotonicNow() + std::chrono::hours(1)).time_since_epoch().count());
        }
        for (std::uint32_t partition = 0; partition < partitions; ++partition) {
            service.groups[partition % groups].partitions[partition] = {0, 1};
        }
        m_table.publish(snapshot);
        m_pool = std::make_unique<WorkerPool>(
            m_settings, 1, m_table, m_metrics, WorkerPool::Hooks {{}, std::move(makeTransport)});
    }

    [[nodiscard]] Result<void> start() { return m_pool->start(); }
    [[nodiscard]] std::uint16_t port() const { return m_port; }

private:
    std::uint16_t m_port = freePort();
    InstanceSettings m_settings;
    RoutingTable m_table;
    MetricsRegistry m_metrics;
    std::unique_ptr<WorkerPool> m_pool;
};

void printRow(const std::string& path, const LoadProfile& load, const Measurement& measurement)
{
    std::printf("| %s | %s | %u | %s | %.0f | %.0f | %.0f | %.0f | %zu |\n", path.c_str(), load.method.c_str(),
        load.callers, load.rate > 0 ? std::to_string(static_cast<int>(load.rate)).c_str() : "closed loop",
        measurement.rate, quantile(measurement, 0.5), quantile(measurement, 0.99), quantile(measurement, 0.999),
        measurement.failedRequests);
    std::fflush(stdout);
}

Result<int> run(const Milliseconds& duration, double rate, std::size_t bodyBytes, std::uint32_t workers,
    const std::string& onlyPath)
{
    FixedAnswerServer server(bodyBytes);
    BenchmarkEntry beast(server.port(), workers, [] { return makeBeastBackendTransport({1'048'576}); });
    BOOST_LEAF_CHECK(beast.start());
    const std::vector<std::pair<std::string, std::uint16_t>> paths {
        {"direct", server.port()}, {"Beast codec", beast.port()}};
    std::printf("| path | method | callers | offered/s | requests/s | median us | p99 us | p99.9 us | failed |\n"
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    std::vector<LoadProfile> loadProfiles;
    for (const unsigned callers : {1U, 8U, 32U}) {
        loadProfiles.push_back({0, "GET", callers, 0, 0, duration});
    }
    loadProfiles.push_back({0, "POST", 8, 0, bodyBytes, duration});
    loadProfiles.push_back({0, "GET", 32, rate, 0, duration});
    loadProfiles.push_back({0, "POST", 32, rate, bodyBytes, duration});
    for (LoadProfile& load : loadProfiles) {
        for (const auto& [path, port] : paths) {
            if (onlyPath.empty() || onlyPath == path) {
                load.port = port;
                printRow(path, load, measure(load));
            }
        }
    }
    return 0;
}

} // namespace
} // namespace jasminespread

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    long milliseconds = 2000;
    double rate = 4600;
    std::size_t bodyBytes = 200;
    std::uint32_t workers = 1;
    std::string onlyPath;
    options::options_description description("Options");
    description.add_options()("help", "show this text")("duration-ms",
        options::value(&milliseconds)->default_value(milliseconds),
        "duration of each measurement in milliseconds, after its warm-up")("rate",
        options::value(&rate)->default_value(rate),
        "requests per second of the measurements at a fixed rate")("body-bytes",
        options::value(&bodyBytes)->default_value(bodyBytes), "body size of answers and of POST requests")(
        "workers", options::value(&workers)->default_value(workers), "number of workers of each entry instance")(
        "only", options::value(&onlyPath), "measure only this path: direct or \"Beast codec\"");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    return jasminespread::handleError(
        [&] {
            return jasminespread::run(jasminespread::Milliseconds(milliseconds), rate, bodyBytes, workers, onlyPath);
        },
        [](const jasminespread::Error& error) {
            std::cerr << error.message << '\n';
            return 1;
        });
}
