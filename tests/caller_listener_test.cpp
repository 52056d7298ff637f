#include "daemon/caller_listener.h"
#include "loopback_address.h"

#include <gio/gio.h>
#include <gmock/gmock.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>

namespace jasminespread {

namespace {

std::ptrdiff_t openFileDescriptors()
{
    const std::filesystem::directory_iterator directory("/proc/self/fd");
    return std::distance(begin(directory), end(directory));
}

/// A listener on the test's thread that answers every request at once.
class CallerListenerTest : public testing::Test {
protected:
    void SetUp() override
    {
        const std::string address = freeLoopbackAddress();
        m_port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
        const bool listening = handleError(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(m_listener.listen(address));
                return true;
            },
            [](const Error&) { return false; });
        ASSERT_TRUE(listening);
    }

    /// Returns the descriptor of a non-blocking connection.
    [[nodiscard]] int connectCaller() const
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(m_port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int connected = ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        EXPECT_TRUE(connected == 0 || errno == EINPROGRESS);
        return fd;
    }

    /// Sends one request and returns its answer, or an empty string when the connection closed first.
    static std::string exchange(int fd)
    {
        const std::string_view text = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
        const gint64 limit = g_get_monotonic_time() + 5 * G_TIME_SPAN_SECOND;
        while (::send(fd, text.data(), text.size(), MSG_NOSIGNAL) < 0 && g_get_monotonic_time() < limit) {
            g_main_context_iteration(nullptr, false);
        }
        std::string answer;
        while (!answer.ends_with("\r\n\r\nbody") && g_get_monotonic_time() < limit) {
            g_main_context_iteration(nullptr, false);
            char buffer[1024];
            const ssize_t n = ::recv(fd, buffer, sizeof buffer, 0);
            if (n == 0 || (n < 0 && errno != EAGAIN)) {
                return {};
            }
            answer.append(buffer, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
        }
        return answer;
    }

    static void iterateWhile(const std::function<bool()>& condition)
    {
        const gint64 limit = g_get_monotonic_time() + 2 * G_TIME_SPAN_SECOND;
        while (condition() && g_get_monotonic_time() < limit) {
            g_main_context_iteration(nullptr, false);
        }
    }

private:
    std::uint16_t m_port = 0;
    CallerListener m_listener {1024,
        {[this](std::uint64_t caller, RawRequest&&) {
             RequestAnswer answer;
             answer.status = 200;
             answer.body = "body";
             m_listener.answer(caller, RequestId(), std::move(answer));
         },
            [](std::uint64_t) {}, [](std::string_view) {}}};
};

} // namespace

// Guards against a leak of file descriptors by connections that stay open after their callers closed them.
TEST_F(CallerListenerTest, ClosesIdleConnectionsThatCallersClosed)
{
    const std::ptrdiff_t before = openFileDescriptors();
    for (int i = 0; i < 50; ++i) {
        const int fd = connectCaller();
        EXPECT_THAT(exchange(fd), testing::HasSubstr("200 OK"));
        EXPECT_THAT(exchange(fd), testing::HasSubstr("200 OK"));
        ::close(fd);
    }
    // The main context may have opened a descriptor of its own.
    iterateWhile([&] { return openFileDescriptors() > before + 1; });
    EXPECT_LE(openFileDescriptors(), before + 1);
}

// Guards against closing a connection as ended while its caller sends the next request.
TEST_F(CallerListenerTest, KeepsConnectionsOfActiveCallers)
{
    const int fd = connectCaller();
    for (int i = 0; i < 200; ++i) {
        ASSERT_THAT(exchange(fd), testing::HasSubstr("200 OK")) << "request " << i;
    }
    ::close(fd);
}

} // namespace jasminespread
