#pragma once

#include "base/socket_address.h"
#include "support/http_peer.h"

#include <jasminespread/time.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace jasminespread::test {

/// A server that answers each request as soon as it has read the first bytes, and reads nothing more.
class EarlyServer {
public:
    enum class End : std::uint8_t {
        Reset, ///< Resets the connection behind the answer.
        CloseThenReset ///< Closes its side in order behind the answer, and then resets the connection.
    };

    /// Returns the bytes of the answer to the request that begins with @p request. Runs on the server's thread.
    using Answer = std::function<std::string(const std::string& request)>;

    /// Listens on @p address.
    EarlyServer(std::string address, Answer answer, End end)
        : m_address(std::move(address))
        , m_answer(std::move(answer))
        , m_end(end)
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int receiveBuffer = 4096; // Of the connections, too, so that a long request does not fit.
        setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        const std::optional<SocketAddress> at = parseSocketAddress(m_address);
        m_listens = bind(m_listener, at->get(), at->size) == 0 && listen(m_listener, 128) == 0;
        m_thread = std::thread([this] { run(); });
    }
    /// Listens on a free loopback port and sends the same answer to each request.
    EarlyServer(std::string answer, End end)
        : EarlyServer(
            "127.0.0.1:" + std::to_string(freePorts(1)),
            [answer = std::move(answer)](const std::string&) { return answer; }, end)
    {
    }
    ~EarlyServer()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }
    EarlyServer(const EarlyServer&) = delete;
    EarlyServer& operator=(const EarlyServer&) = delete;

    [[nodiscard]] const std::string& address() const { return m_address; }
    [[nodiscard]] bool listens() const { return m_listens; }
    /// Number of connections that it has ended.
    [[nodiscard]] unsigned ended() const { return m_ended; }

private:
    void run()
    {
        for (int fd = 0; (fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;) {
            std::array<char, 2048> bytes {};
            const ssize_t n = recv(fd, bytes.data(), bytes.size(), 0);
            const std::string answer = m_answer(std::string(bytes.data(), n > 0 ? static_cast<std::size_t>(n) : 0));
            (void)::send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
            if (m_end == End::CloseThenReset) {
                shutdown(fd, SHUT_WR);
            }
            const linger reset {1, 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            close(fd);
            ++m_ended;
        }
    }

    std::string m_address;
    Answer m_answer;
    End m_end;
    int m_listener;
    bool m_listens = false;
    std::atomic<unsigned> m_ended = 0;
    std::thread m_thread;
};

} // namespace jasminespread::test
