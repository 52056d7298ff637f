// HTTP over blocking sockets for the stand-ins of review 2: messages, connections, a server with one thread a
// connection, and the record of a run.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <strings.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline Clock::time_point startOfRun() {
    static const Clock::time_point start = Clock::now();
    return start;
}
inline long elapsedMs() {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - startOfRun()).count();
}
inline void sleepMs(long ms) { std::this_thread::sleep_for(milliseconds(ms)); }

/// Writes record.txt: one line an event, with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path) : m_file(std::fopen(path.c_str(), "w")) { }
    ~Record() {
        if (m_file) std::fclose(m_file);
    }
    void line(const std::string& text) {
        const std::lock_guard lock(m_mutex);
        if (m_file) {
            std::fprintf(m_file, "%6ld %s\n", elapsedMs(), text.c_str());
            std::fflush(m_file);
        }
    }

private:
    std::mutex m_mutex;
    std::FILE* m_file;
};

struct Message {
    std::string start; ///< Request line or status line.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    [[nodiscard]] std::string field(const char* name) const {
        for (const auto& [key, value] : fields) {
            if (strcasecmp(key.c_str(), name) == 0) return value;
        }
        return {};
    }
    [[nodiscard]] bool has(const char* name) const {
        for (const auto& entry : fields) {
            if (strcasecmp(entry.first.c_str(), name) == 0) return true;
        }
        return false;
    }
    [[nodiscard]] std::string method() const { return start.substr(0, start.find(' ')); }
    [[nodiscard]] std::string target() const {
        const std::size_t a = start.find(' ');
        const std::size_t b = start.find(' ', a + 1);
        return a == std::string::npos ? std::string() : start.substr(a + 1, b - a - 1);
    }
    [[nodiscard]] int status() const { return start.size() > 11 ? std::atoi(start.c_str() + 9) : 0; }
};

inline sockaddr_in addressOf(const std::string& text) {
    sockaddr_in address {};
    address.sin_family = AF_INET;
    const std::size_t colon = text.rfind(':');
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    return address;
}

/// One TCP connection. Not thread-safe, except close of the descriptor at the end.
class Connection {
public:
    explicit Connection(int fd) : m_fd(fd) {
        const int one = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    ~Connection() {
        if (m_fd >= 0) ::close(m_fd);
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    static std::unique_ptr<Connection> open(const std::string& to, long timeoutMs = 1000) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const sockaddr_in address = addressOf(to);
        auto connection = std::make_unique<Connection>(fd);
        if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 && errno != EINPROGRESS) {
            return nullptr;
        }
        pollfd wait {fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (poll(&wait, 1, static_cast<int>(timeoutMs)) <= 0
            || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            return nullptr;
        }
        return connection;
    }

    bool write(const std::string& text, long timeoutMs = 5000) {
        std::size_t written = 0;
        while (written < text.size()) {
            const ssize_t n = ::send(m_fd, text.data() + written, text.size() - written, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n > 0) {
                written += static_cast<std::size_t>(n);
                continue;
            }
            pollfd wait {m_fd, POLLOUT, 0};
            if ((errno != EAGAIN && errno != EINTR) || poll(&wait, 1, static_cast<int>(timeoutMs)) <= 0) return false;
        }
        return true;
    }

    /// Reads the next message; nothing at the end of the connection, or after the time.
    std::optional<Message> read(long timeoutMs, bool isAnswerToHead = false) {
        const Clock::time_point until = Clock::now() + milliseconds(timeoutMs);
        for (;;) {
            if (std::optional<Message> message = parse(isAnswerToHead)) return message;
            if (m_ended || !fill(until)) return std::nullopt;
        }
    }
    [[nodiscard]] bool ended() const { return m_ended; }
    [[nodiscard]] int descriptor() const { return m_fd; }
    void resetAtEnd() const {
        const linger reset {1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }

private:
    bool fill(Clock::time_point until) {
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        pollfd wait {m_fd, POLLIN, 0};
        if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0) return false;
        char buffer[65536];
        const ssize_t n = recv(m_fd, buffer, sizeof buffer, MSG_DONTWAIT);
        if (n > 0) {
            m_input.append(buffer, static_cast<std::size_t>(n));
            return true;
        }
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) return true;
        m_ended = true;
        return false;
    }

    std::optional<Message> parse(bool isAnswerToHead) {
        const std::size_t end = m_input.find("\r\n\r\n");
        if (end == std::string::npos) return std::nullopt;
        Message message;
        std::size_t at = m_input.find("\r\n");
        message.start = m_input.substr(0, at);
        at += 2;
        while (at < end) {
            const std::size_t lineEnd = m_input.find("\r\n", at);
            const std::string line = m_input.substr(at, lineEnd - at);
            const std::size_t colon = line.find(':');
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ') ++value;
            message.fields.emplace_back(line.substr(0, colon), line.substr(value));
            at = lineEnd + 2;
        }
        std::size_t position = end + 4;
        if (!isAnswerToHead && strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0) {
            for (;;) {
                const std::size_t lineEnd = m_input.find("\r\n", position);
                if (lineEnd == std::string::npos) return std::nullopt;
                const std::size_t size = std::strtoul(m_input.c_str() + position, nullptr, 16);
                if (m_input.size() < lineEnd + 2 + size + 2) return std::nullopt;
                message.body += m_input.substr(lineEnd + 2, size);
                position = lineEnd + 2 + size + 2;
                if (size == 0) break;
            }
        } else if (!isAnswerToHead) {
            const std::size_t length = std::strtoul(message.field("Content-Length").c_str(), nullptr, 10);
            if (m_input.size() < position + length) return std::nullopt;
            message.body = m_input.substr(position, length);
            position += length;
        }
        m_input.erase(0, position);
        return message;
    }

    int m_fd;
    bool m_ended = false;
    std::string m_input;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string answerText(int status, const Fields& fields = {}, const std::string& body = "") {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Listens and runs a handler for each connection in a thread of its own, which must end when stopping() is true.
class Server {
public:
    using Handler = std::function<void(Connection&)>;

    Server(const std::string& address, Handler handler) : m_handler(std::move(handler)) {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        const sockaddr_in to = addressOf(address);
        if (bind(m_listener, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 || listen(m_listener, 512) != 0) {
            std::fprintf(stderr, "cannot listen on %s: %s\n", address.c_str(), std::strerror(errno));
            std::exit(2);
        }
        m_thread = std::thread([this] { accept(); });
    }
    ~Server() { stop(); }
    void stop() {
        if (m_stopping.exchange(true)) return;
        m_thread.join();
        ::close(m_listener);
        for (int i = 0; i < 300 && m_open > 0; ++i) sleepMs(10);
    }
    [[nodiscard]] bool stopping() const { return m_stopping; }

private:
    void accept() {
        while (!m_stopping) {
            pollfd wait {m_listener, POLLIN, 0};
            if (poll(&wait, 1, 50) <= 0) continue;
            const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) continue;
            ++m_open;
            std::thread([this, fd] {
                {
                    Connection connection(fd);
                    m_handler(connection);
                }
                --m_open;
            }).detach();
        }
    }

    Handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_open = 0;
    std::thread m_thread;
};

} // namespace review
