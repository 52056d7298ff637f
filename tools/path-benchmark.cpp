// Measures the path caller -> entry instance -> backend server on loopback against calling the server directly.

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

int listenOn(std::uint16_t port, std::uint16_t& bound)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
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
    bound = ntohs(address.sin_port);
    return fd;
}

std::uint16_t freePort()
{
    std::uint16_t port = 0;
    close(listenOn(0, port));
    return port;
}

/// A backend server that answers every request at once with the same body. One thread.
class FixedServer {
public:
    explicit FixedServer(std::size_t bodyBytes)
        : m_answer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
            + std::string(bodyBytes, 'a'))
        , m_listener(listenOn(0, m_port))
        , m_epoll(epoll_create1(EPOLL_CLOEXEC))
        , m_thread([this] { run(); })
    {
    }
    ~FixedServer()
    {
        m_stopping = true;
        m_thread.join();
        close(m_epoll);
        close(m_listener);
    }
    FixedServer(const FixedServer&) = delete;
    FixedServer& operator=(const FixedServer&) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_port; }

private:
    void watch(int fd)
    {
        epoll_event event {};
        event.events = EPOLLIN;
        event.data.fd = fd;
        epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event);
    }
    void run()
    {
        watch(m_listener);
        std::unordered_map<int, std::string> inputs;
        epoll_event events[64];
        while (!m_stopping) {
            const int n = epoll_wait(m_epoll, events, 64, 50);
            for (int i = 0; i < n; ++i) {
                const int fd = events[i].data.fd;
                if (fd == m_listener) {
                    const int accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
                    const int one = 1;
                    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
                    watch(accepted);
                } else if (!serve(fd, inputs[fd])) {
                    inputs.erase(fd);
                    close(fd);
                }
            }
        }
        for (const auto& [fd, input] : inputs) {
            close(fd);
        }
    }
    bool serve(int fd, std::string& input)
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
            const std::size_t at = input.find("Content-Length: ");
            const std::size_t length = at < end ? std::strtoul(input.c_str() + at + 16, nullptr, 10) : 0;
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

/// Start of a row of ports for forward sockets, below the range of outgoing connections.
std::uint16_t nextForwardPort()
{
    static std::uint16_t port = static_cast<std::uint16_t>(10'000 + getpid() % 20'000);
    port = static_cast<std::uint16_t>(port + 64);
    return port;
}

struct Load {
    std::uint16_t port = 0;
    std::string method;
    unsigned callers = 1;
    double rate = 0; ///< Requests per second over all callers; 0: each caller sends as soon as it has its answer.
    std::size_t bodyBytes = 0;
    Milliseconds duration {};
};

struct Measured {
    double rate = 0;
    std::vector<double> microseconds;
    std::size_t failed = 0;
};

/// Sends requests over one keep-alive connection. Latency counts from the intended start.
void call(const Load& load, unsigned caller, Measured& measured)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(load.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ++measured.failed;
        close(fd);
        return;
    }
    const MonotonicTime begin = monotonicNow();
    const MonotonicTime warm = begin + load.duration / 5;
    const MonotonicTime end = warm + load.duration;
    const auto interval = load.rate > 0
        ? std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 * load.callers / load.rate))
        : std::chrono::nanoseconds(0);
    MonotonicTime intended = begin + interval * caller / load.callers;
    std::string input;
    char buf[65536];
    for (std::uint64_t i = 0;; ++i) {
        if (load.rate > 0) {
            std::this_thread::sleep_until(intended);
        } else {
            intended = monotonicNow();
        }
        if (intended >= end) {
            break;
        }
        const std::string request = load.method
            + " /v1/ledger/orders HTTP/1.1\r\nHost: entry\r\nJasminespread-Key: key-"
            + std::to_string(std::uint64_t(caller) * 1'000'003 + i)
            + "\r\nContent-Length: " + std::to_string(load.bodyBytes) + "\r\n\r\n" + std::string(load.bodyBytes, 'b');
        send(fd, request.data(), request.size(), MSG_NOSIGNAL);
        std::size_t whole = 0;
        while (whole == 0 || input.size() < whole) {
            const ssize_t n = recv(fd, buf, sizeof buf, 0);
            if (n <= 0) {
                ++measured.failed;
                close(fd);
                return;
            }
            input.append(buf, static_cast<std::size_t>(n));
            const std::size_t headersEnd = input.find("\r\n\r\n");
            if (headersEnd != std::string::npos) {
                whole = headersEnd + 4 + std::strtoul(input.c_str() + input.find("Content-Length: ") + 16, nullptr, 10);
            }
        }
        measured.failed += input.starts_with("HTTP/1.1 200") ? 0 : 1;
        input.erase(0, whole);
        if (intended >= warm) {
            measured.microseconds.push_back(
                std::chrono::duration<double, std::micro>(monotonicNow() - intended).count());
        }
        intended += interval;
    }
    close(fd);
}

Measured measure(const Load& load)
{
    std::vector<Measured> parts(load.callers);
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < load.callers; ++i) {
        threads.emplace_back([&load, &parts, i] { call(load, i, parts[i]); });
    }
    Measured total;
    for (unsigned i = 0; i < load.callers; ++i) {
        threads[i].join();
        total.failed += parts[i].failed;
        total.microseconds.insert(total.microseconds.end(), parts[i].microseconds.begin(), parts[i].microseconds.end());
    }
    std::sort(total.microseconds.begin(), total.microseconds.end());
    total.rate = static_cast<double>(total.microseconds.size()) / std::chrono::duration<double>(load.duration).count();
    return total;
}

double quantile(const Measured& measured, double share)
{
    if (measured.microseconds.empty()) {
        return 0;
    }
    const auto n = static_cast<double>(measured.microseconds.size() - 1);
    return measured.microseconds[static_cast<std::size_t>(share * n)];
}

/// An entry instance that is primary of all groups of the service "ledger".
class Entry {
public:
    Entry(std::uint16_t backendPort, std::uint32_t workers, std::function<BackendTransport()> makeTransport)
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

void report(const std::string& path, const Load& load, const Measured& measured)
{
    std::printf("| %s | %s | %u | %s | %.0f | %.0f | %.0f | %.0f | %zu |\n", path.c_str(), load.method.c_str(),
        load.callers, load.rate > 0 ? std::to_string(static_cast<int>(load.rate)).c_str() : "closed loop",
        measured.rate, quantile(measured, 0.5), quantile(measured, 0.99), quantile(measured, 0.999), measured.failed);
    std::fflush(stdout);
}

Result<int> run(
    const Milliseconds& duration, double rate, std::size_t bodyBytes, std::uint32_t workers, const std::string& only)
{
    FixedServer server(bodyBytes);
    Entry soup(server.port(), workers, [] { return makeSoupBackendTransport(); });
    Entry beast(server.port(), workers, [] { return makeBeastBackendTransport(1'048'576); });
    BOOST_LEAF_CHECK(soup.start());
    BOOST_LEAF_CHECK(beast.start());
    const std::vector<std::pair<std::string, std::uint16_t>> paths {
        {"direct", server.port()}, {"libsoup client", soup.port()}, {"Beast codec", beast.port()}};
    std::printf("| path | method | callers | offered/s | requests/s | median us | p99 us | p99.9 us | failed |\n"
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    std::vector<Load> loads;
    for (const unsigned callers : {1U, 8U, 32U}) {
        loads.push_back({0, "GET", callers, 0, 0, duration});
    }
    loads.push_back({0, "POST", 8, 0, bodyBytes, duration});
    loads.push_back({0, "GET", 32, rate, 0, duration});
    loads.push_back({0, "POST", 32, rate, bodyBytes, duration});
    for (Load& load : loads) {
        for (const auto& [path, port] : paths) {
            if (only.empty() || only == path) {
                load.port = port;
                report(path, load, measure(load));
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
    std::string only;
    options::options_description description("Options");
    description.add_options()("help", "show this text")("duration-ms",
        options::value(&milliseconds)->default_value(milliseconds), "length of each measurement after its warm-up")(
        "rate", options::value(&rate)->default_value(rate), "offered requests/s of the paced measurements")(
        "body-bytes", options::value(&bodyBytes)->default_value(bodyBytes), "size of bodies")(
        "workers", options::value(&workers)->default_value(workers), "workers of each entry instance")(
        "only", options::value(&only), "measure only this path: direct, \"libsoup client\" or \"Beast codec\"");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    return jasminespread::handleError(
        [&] { return jasminespread::run(jasminespread::Milliseconds(milliseconds), rate, bodyBytes, workers, only); },
        [](const jasminespread::Error& error) {
            std::cerr << error.message << '\n';
            return 1;
        });
}
