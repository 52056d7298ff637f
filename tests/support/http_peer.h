#pragma once

#include <jasminespread/time.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace jasminespread::test {

inline sockaddr_in loopbackAddress(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Binds a TCP socket to @p port (0: any) on loopback; -1 when it is in use.
inline int bindLoopback(std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address = loopbackAddress(port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

inline std::uint16_t portOf(int fd)
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

/// Returns the first of @p count consecutive free loopback ports. They lie below the kernel's ephemeral port range,
/// from which an outgoing connection could take a port between this check and its use.
inline std::uint16_t freePorts(std::uint16_t count)
{
    static std::mt19937 random {std::random_device()()};
    std::uniform_int_distribution<int> candidates(10'000, 32'000);
    while (true) {
        const auto first = static_cast<std::uint16_t>(candidates(random));
        std::vector<int> fds;
        for (std::uint16_t i = 0; i < count; ++i) {
            fds.push_back(bindLoopback(static_cast<std::uint16_t>(first + i)));
        }
        const bool free = std::find(fds.begin(), fds.end(), -1) == fds.end();
        for (const int fd : fds) {
            if (fd >= 0) {
                close(fd);
            }
        }
        if (free) {
            return first;
        }
    }
}

/// A blocking client connection with a receive timeout of 10 s.
class Connection {
public:
    explicit Connection(std::uint16_t port)
        : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const timeval limit {10, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        sockaddr_in address = loopbackAddress(port);
        m_connected = connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    }
    ~Connection() { disconnect(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    [[nodiscard]] bool connected() const { return m_connected; }
    void disconnect()
    {
        if (m_fd >= 0) {
            close(m_fd);
            m_fd = -1;
        }
    }
    void write(const std::string& text) const
    {
        std::size_t done = 0;
        while (done < text.size()) {
            const ssize_t n = send(m_fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
            if (n <= 0) {
                return;
            }
            done += static_cast<std::size_t>(n);
        }
    }
    /// Reads one answer with a Content-Length, or until the connection closes. Empty when nothing arrived.
    std::string read()
    {
        while (true) {
            const std::size_t end = m_buf.find("\r\n\r\n");
            if (end != std::string::npos) {
                const std::size_t at = m_buf.find("Content-Length: ");
                const std::size_t length = at < end ? std::strtoul(m_buf.c_str() + at + 16, nullptr, 10) : 0;
                if (m_buf.size() >= end + 4 + length) {
                    std::string answer = m_buf.substr(0, end + 4 + length);
                    m_buf.erase(0, answer.size());
                    return answer;
                }
            }
            char bytes[16384];
            const ssize_t n = recv(m_fd, bytes, sizeof bytes, 0);
            if (n <= 0) {
                return std::exchange(m_buf, {});
            }
            m_buf.append(bytes, static_cast<std::size_t>(n));
        }
    }
    std::string exchange(const std::string& text)
    {
        write(text);
        return read();
    }

private:
    int m_fd;
    bool m_connected = false;
    std::string m_buf;
};

/// A backend server controlled by a test: a thread per connection reads requests with a Content-Length or without a
/// body, and writes what the handler returns. An empty string closes the connection.
class TestBackend {
public:
    using Handler = std::function<std::string(const std::string& request)>;

    explicit TestBackend(Handler handler)
        : m_handler(std::move(handler))
        , m_listener(bindLoopback(0))
    {
        listen(m_listener, 128);
        m_port = portOf(m_listener);
        m_acceptor = std::thread([this] { acceptAll(); });
    }
    ~TestBackend()
    {
        m_stopping = true;
        shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            for (const int fd : m_connections) {
                shutdown(fd, SHUT_RDWR);
            }
        }
        for (std::thread& thread : m_threads) {
            thread.join();
        }
        for (const int fd : m_connections) {
            close(fd);
        }
        close(m_listener);
    }
    TestBackend(const TestBackend&) = delete;
    TestBackend& operator=(const TestBackend&) = delete;

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    [[nodiscard]] std::uint16_t port() const { return m_port; }
    [[nodiscard]] int connections() const { return m_accepted; }
    /// Number of connections that it closed after a cut answer.
    [[nodiscard]] int closedAfterCut() const { return m_closedAfterCut; }

    static std::string answer(const std::string& body, const std::string& headers = {}, int status = 200)
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n"
            + headers + "\r\n" + body;
    }

private:
    void acceptAll()
    {
        while (!m_stopping) {
            const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            ++m_accepted;
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_connections.push_back(fd);
            m_threads.emplace_back([this, fd] { serve(fd); });
        }
    }
    void serve(int fd)
    {
        std::string buf;
        while (true) {
            std::size_t end = 0;
            std::size_t length = 0;
            while ((end = buf.find("\r\n\r\n")) == std::string::npos
                || buf.size() < end + 4 + (length = contentLength(buf, end))) {
                char bytes[16384];
                const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
                if (n <= 0) {
                    return;
                }
                buf.append(bytes, static_cast<std::size_t>(n));
            }
            const std::string answer = m_handler(buf.substr(0, end + 4 + length));
            buf.erase(0, end + 4 + length);
            if (answer.empty()) {
                shutdown(fd, SHUT_RDWR);
                return;
            }
            // Truncates the answer at this marker and closes the connection.
            const std::size_t cut = answer.find("<cut>");
            send(fd, answer.data(), std::min(cut, answer.size()), MSG_NOSIGNAL);
            if (cut != std::string::npos) {
                shutdown(fd, SHUT_RDWR);
                ++m_closedAfterCut;
                return;
            }
        }
    }
    static std::size_t contentLength(const std::string& buf, std::size_t end)
    {
        const std::size_t at = buf.find("Content-Length: ");
        return at < end ? std::strtoul(buf.c_str() + at + 16, nullptr, 10) : 0;
    }

    Handler m_handler;
    int m_listener;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_accepted = 0;
    std::atomic<int> m_closedAfterCut = 0;
    std::mutex m_mutex;
    std::vector<int> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace jasminespread::test
