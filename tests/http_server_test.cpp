#include <http_server.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <filesystem>
#include <glib.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jasminespread::standins {

namespace {

std::ptrdiff_t countOpenDescriptors()
{
    const std::filesystem::directory_iterator descriptorDirectory("/proc/self/fd");
    return std::distance(begin(descriptorDirectory), end(descriptorDirectory));
}

/// Sends one request on a new connection and closes the connection after the answer.
void requestOnce(unsigned port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int connected = ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    ASSERT_TRUE(connected == 0 || errno == EINPROGRESS);
    const std::string_view request = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
    while (::send(fd, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
        g_main_context_iteration(nullptr, false);
    }
    std::string answer;
    while (answer.find("\r\n\r\n{}") == std::string::npos) {
        g_main_context_iteration(nullptr, false);
        char buffer[1024];
        const ssize_t n = ::recv(fd, buffer, sizeof buffer, 0);
        ASSERT_NE(n, 0);
        answer.append(buffer, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
    }
    ::close(fd);
}

} // namespace

// Guards against running out of file descriptors because connections stay open after their clients closed them.
TEST(HttpServerTest, ClosesIdleConnectionsThatClientsClosed)
{
    HttpServer server([](const std::shared_ptr<HttpExchange>& exchange) { exchange->answer(200, "{}"); });
    const bool listening = handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(server.listen("127.0.0.1:0"));
            return true;
        },
        [](const Error&) { return false; });
    ASSERT_TRUE(listening);
    requestOnce(server.port());
    const std::ptrdiff_t before = countOpenDescriptors();
    for (int i = 0; i < 20; ++i) {
        requestOnce(server.port());
    }
    const gint64 limit = g_get_monotonic_time() + G_TIME_SPAN_SECOND;
    while (countOpenDescriptors() > before && g_get_monotonic_time() < limit) {
        g_main_context_iteration(nullptr, false);
    }
    EXPECT_LE(countOpenDescriptors(), before);
}

} // namespace jasminespread::standins
