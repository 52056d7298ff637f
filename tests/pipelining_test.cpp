#include "http/http_server.h"

#include "base/glib_pointer.h"
#include "base/socket_address.h"
#include "support/http_peer.h"

#include <glib.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cerrno>
#include <optional>
#include <thread>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;
using testing::ElementsAre;

/// A server whose requests the test answers, and one caller with one connection.
class PipeliningTest : public testing::Test {
protected:
    PipeliningTest()
        : m_context(g_main_context_new())
    {
        g_main_context_push_thread_default(m_context);
        makeServer({});
    }

    ~PipeliningTest() override
    {
        disconnect();
        m_server.reset();
        g_main_context_pop_thread_default(m_context);
        g_main_context_unref(m_context);
    }

    void makeServer(const HttpServerLimits& limits)
    {
        disconnect();
        m_server = std::make_unique<HttpServer>(limits,
            HttpServer::Hooks {[this](std::uint64_t request, RawRequest&& raw) { onRequest(request, std::move(raw)); },
                [this](std::uint64_t request) { m_disconnected.push_back(m_paths.at(request)); }, {},
                [](const RawRequest& raw) { return raw.method == "GET"; }});
        const std::uint16_t port = test::freePorts(1);
        EXPECT_TRUE(m_server->listen("127.0.0.1:" + std::to_string(port)));
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = test::loopbackAddress(port);
        EXPECT_EQ(connect(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
    }

    void onRequest(std::uint64_t request, RawRequest&& raw)
    {
        m_paths[request] = raw.path;
        m_requests[raw.path] = request;
        m_arrived.push_back(raw.path);
        m_arrivedAt[raw.path] = raw.arrivedAt.value_or(MonotonicTime());
        char here = 0;
        m_lowestStack = std::min(m_lowestStack, &here);
        m_highestStack = std::max(m_highestStack, &here);
        if (m_answerAtOnce) {
            answer(raw.path);
        }
    }

    void answer(const std::string& path) { m_server->answer(m_requests.at(path), {200, {}, path + m_padding}); }

    void send(const std::string& text) const
    {
        EXPECT_EQ(::send(m_fd, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
    }

    static std::string request(const std::string& path, const std::string& method = "GET", const std::string& head = "")
    {
        return method + " " + path + " HTTP/1.1\r\nHost: a\r\n" + head + "\r\n";
    }

    void disconnect()
    {
        if (m_fd >= 0) {
            close(m_fd);
            m_fd = -1;
        }
    }

    /// Runs the server until nothing happens any more, and returns all that the caller received since the last call.
    std::string run(Milliseconds quiet = 30ms)
    {
        std::string received;
        MonotonicTime end = monotonicNow() + quiet;
        while (monotonicNow() < end) {
            char bytes[65536];
            const ssize_t n = m_fd < 0 ? -1 : recv(m_fd, bytes, sizeof bytes, MSG_DONTWAIT);
            m_closed = m_closed || n == 0;
            received.append(bytes, static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
            if (g_main_context_iteration(m_context, FALSE) || n > 0) {
                end = monotonicNow() + quiet;
            } else {
                std::this_thread::sleep_for(200us);
            }
        }
        return received;
    }

    /// Paths, as the bodies of answers have them, with "close" behind an answer that closes the connection.
    static std::vector<std::string> bodiesIn(std::string text)
    {
        std::vector<std::string> bodies;
        for (std::size_t end = text.find("\r\n\r\n"); end != std::string::npos; end = text.find("\r\n\r\n")) {
            const std::string head = text.substr(0, end);
            const std::size_t length = std::strtoul(head.c_str() + head.find("Content-Length: ") + 16, nullptr, 10);
            bodies.push_back(text.substr(end + 4, length));
            if (head.find("Connection: close") != std::string::npos) {
                bodies.emplace_back("close");
            }
            text.erase(0, end + 4 + length);
        }
        EXPECT_EQ(text, "");
        return bodies;
    }

    GMainContext* m_context;
    std::unique_ptr<HttpServer> m_server;
    int m_fd = -1;
    bool m_closed = false;
    bool m_answerAtOnce = false;
    std::string m_padding; ///< Appended to the body of each answer.
    std::map<std::uint64_t, std::string> m_paths;
    std::map<std::string, std::uint64_t> m_requests; ///< By path.
    std::map<std::string, MonotonicTime> m_arrivedAt; ///< By path.
    std::vector<std::string> m_arrived; ///< Paths in the order in which the server got them.
    std::vector<std::string> m_disconnected; ///< Paths of requests whose caller disconnected.
    char* m_lowestStack = reinterpret_cast<char*>(~std::uintptr_t {0});
    char* m_highestStack = nullptr;
};

/// Guards against an answer to HEAD with the length 0, or with two lengths, in place of that of the answer to GET.
TEST_F(PipeliningTest, AnAnswerToHeadHasTheLengthThatItWasGivenOrNone)
{
    send(request("/1", "HEAD"));
    (void)run();
    answer("/1");
    EXPECT_EQ(run().find("Content-Length"), std::string::npos);
    send(request("/2", "HEAD"));
    (void)run();
    m_server->answer(m_requests.at("/2"), {200, {{"Content-Length", "1234"}}, ""});
    const std::string answered = run();
    EXPECT_NE(answered.find("\r\nContent-Length: 1234\r\n"), std::string::npos);
    EXPECT_EQ(answered.find("Content-Length"), answered.rfind("Content-Length"));
}

/// Guards against each pipelined request waiting for the one before it, and against answers out of order.
TEST_F(PipeliningTest, HandlesRequestsConcurrentlyAndAnswersThemInOrder)
{
    send(request("/1") + request("/2") + request("/3").substr(0, 9));
    EXPECT_EQ(run(), "");
    EXPECT_THAT(m_arrived, ElementsAre("/1", "/2"));
    send(request("/3").substr(9));
    EXPECT_EQ(run(), "");
    EXPECT_THAT(m_arrived, ElementsAre("/1", "/2", "/3"));
    answer("/3");
    answer("/2");
    EXPECT_EQ(run(), "");
    EXPECT_EQ(m_server->pending(), 3U);
    answer("/1");
    EXPECT_THAT(bodiesIn(run()), ElementsAre("/1", "/2", "/3"));
    EXPECT_EQ(m_server->pending(), 0U);
    answer("/2"); // Ignored: it was answered.
    EXPECT_EQ(run(), "");
}

/// Guards against running an order beside other requests of its connection: the answer before it could close the
/// connection, and the caller would send the order again.
TEST_F(PipeliningTest, RequestsThatMayNotBeRepeatedRunAlone)
{
    send(request("/1") + request("/order", "POST", "Content-Length: 0\r\n") + request("/2"));
    (void)run();
    EXPECT_THAT(m_arrived, ElementsAre("/1"));
    answer("/1");
    EXPECT_THAT(bodiesIn(run()), ElementsAre("/1"));
    EXPECT_THAT(m_arrived, ElementsAre("/1", "/order"));
    answer("/order");
    EXPECT_THAT(bodiesIn(run()), ElementsAre("/order"));
    EXPECT_THAT(m_arrived, ElementsAre("/1", "/order", "/2"));
}

/// Guards against a time limit that begins when a request is handled: the caller counts from when it sent it.
TEST_F(PipeliningTest, ARequestThatWaitsKeepsItsTimeOfArrival)
{
    send(request("/1") + request("/order", "POST", "Content-Length: 0\r\n"));
    (void)run();
    const MonotonicTime before = monotonicNow();
    send(request("/2"));
    (void)run();
    answer("/1");
    (void)run();
    answer("/order");
    (void)run();
    EXPECT_LE(m_arrivedAt.at("/1"), m_arrivedAt.at("/order"));
    EXPECT_LT(m_arrivedAt.at("/order"), before);
    EXPECT_GE(m_arrivedAt.at("/2"), before);
}

/// Guards against work for a caller that has left.
TEST_F(PipeliningTest, ACallerThatLeavesCancelsAllItsRequests)
{
    send(request("/1") + request("/2") + request("/3"));
    (void)run();
    answer("/2");
    disconnect();
    (void)run();
    EXPECT_THAT(m_disconnected, ElementsAre("/1", "/3"));
    EXPECT_EQ(m_server->pending(), 0U);
    answer("/1");
    answer("/3");
}

/// Guards against handling requests behind an answer that closes the connection: the caller sends them again.
TEST_F(PipeliningTest, NothingBehindAClosingRequestIsHandled)
{
    send(request("/1") + request("/2", "GET", "Connection: close\r\n") + request("/3"));
    (void)run();
    EXPECT_THAT(m_arrived, ElementsAre("/1", "/2"));
    answer("/2");
    answer("/1");
    EXPECT_THAT(bodiesIn(run()), ElementsAre("/1", "/2", "close"));
    EXPECT_TRUE(m_closed);
    EXPECT_THAT(m_arrived, ElementsAre("/1", "/2"));
}

/// Guards against a refusal of malformed input overtaking the answers to the requests before it.
TEST_F(PipeliningTest, MalformedInputIsRefusedInOrder)
{
    send(request("/1") + "nonsense\r\n\r\n" + request("/2"));
    EXPECT_EQ(run(), "");
    EXPECT_THAT(m_arrived, ElementsAre("/1"));
    answer("/1");
    const std::vector<std::string> bodies = bodiesIn(run());
    ASSERT_EQ(bodies.size(), 3U);
    EXPECT_EQ(bodies[0], "/1");
    EXPECT_EQ(bodies[2], "close");
    EXPECT_THAT(m_arrived, ElementsAre("/1"));
}

/// Guards against a planned stop that cuts off requests which were read: the last of them carries the close.
TEST_F(PipeliningTest, AStopAnswersAllRequestsThatWereRead)
{
    send(request("/1") + request("/2"));
    (void)run();
    m_server->drain(3000ms);
    send(request("/3") + "GET /4 HT"); // The last one stays incomplete.
    (void)run();
    EXPECT_THAT(m_arrived, ElementsAre("/1", "/2", "/3"));
    answer("/2");
    EXPECT_EQ(run(), "");
    answer("/1");
    EXPECT_THAT(bodiesIn(run()), ElementsAre("/1", "/2"));
    answer("/3");
    EXPECT_THAT(bodiesIn(run()), ElementsAre("/3", "close"));
    EXPECT_TRUE(m_closed);
    EXPECT_THAT(m_arrived, ElementsAre("/1", "/2", "/3"));
}

/// Guards against the same for requests that arrived and could not be read yet, because too many were unanswered.
TEST_F(PipeliningTest, AStopAnswersRequestsBeyondTheLimits)
{
    HttpServerLimits limits;
    limits.maxPipelinedRequests = 1;
    makeServer(limits);
    send(request("/1") + request("/2") + request("/3"));
    (void)run();
    m_server->drain(3000ms);
    for (const std::string path : {"/1", "/2"}) {
        answer(path);
        EXPECT_THAT(bodiesIn(run()), ElementsAre(path));
    }
    answer("/3");
    EXPECT_THAT(bodiesIn(run()), ElementsAre("/3", "close"));
    EXPECT_TRUE(m_closed);
}

/// Guards against a stop that leaves a waiting order unanswered, or answers it without having run it.
TEST_F(PipeliningTest, AStopAnswersARequestThatWaits)
{
    send(request("/1") + request("/order", "POST", "Content-Length: 0\r\n"));
    (void)run();
    m_server->drain(3000ms);
    EXPECT_EQ(m_server->pending(), 2U);
    answer("/1");
    EXPECT_THAT(bodiesIn(run()), ElementsAre("/1"));
    answer("/order");
    EXPECT_THAT(bodiesIn(run()), ElementsAre("/order", "close"));
}

/// Guards against unbounded memory for one connection, and against bytes that stay unread for ever.
TEST_F(PipeliningTest, RequestsAndBytesOfAConnectionAreBounded)
{
    HttpServerLimits limits;
    limits.maxPipelinedRequests = 3;
    makeServer(limits);
    std::string text;
    for (int i = 0; i < 5; ++i) {
        text += request("/" + std::to_string(i));
    }
    send(text);
    (void)run();
    EXPECT_THAT(m_arrived, ElementsAre("/0", "/1", "/2"));
    answer("/0");
    (void)run();
    EXPECT_THAT(m_arrived, ElementsAre("/0", "/1", "/2", "/3"));

    limits.maxPipelinedRequests = 100;
    limits.maxPipelinedBytes = 10'000;
    makeServer(limits);
    m_arrived.clear();
    send(request("/a") + request("/b"));
    (void)run();
    m_server->answer(m_requests.at("/b"), {200, {}, std::string(10'000, 'x')});
    send(request("/c"));
    (void)run();
    EXPECT_THAT(m_arrived, ElementsAre("/a", "/b"));
    answer("/a");
    (void)run();
    EXPECT_THAT(m_arrived, ElementsAre("/a", "/b", "/c"));
}

/// Guards against a caller that reads no answers filling the memory with them, and against requests that stay unread
/// after it has read them.
TEST_F(PipeliningTest, ACallerThatDoesNotReadIsNotReadEither)
{
    constexpr std::size_t count = 100;
    m_answerAtOnce = true;
    m_padding = std::string(200'000, 'x');
    for (std::size_t i = 0; i < count; ++i) {
        send(request("/" + std::to_string(i)));
    }
    for (int i = 0; i < 1000; ++i) {
        g_main_context_iteration(m_context, FALSE);
    }
    EXPECT_LT(m_arrived.size(), count);
    EXPECT_EQ(bodiesIn(run()).size(), count);
}

/// Guards against nested calls: a caller that writes many tiny requests at once, each answered immediately, must not
/// use up the stack.
TEST_F(PipeliningTest, ImmediateAnswersUseNoStack)
{
    m_answerAtOnce = true;
    std::string text;
    int count = 0;
    while (text.size() < HttpServerLimits().maxHeaderBytes) {
        text += "GET /" + std::to_string(count++) + " HTTP/1.1\r\nHost: a\r\n\r\n";
    }
    send(text);
    EXPECT_EQ(bodiesIn(run()).size(), static_cast<std::size_t>(count));
    EXPECT_LT(m_highestStack - m_lowestStack, 4096);
}

/// Guards against an interim answer between the answers to earlier requests.
TEST_F(PipeliningTest, TheInterimAnswerWaitsForEarlierAnswers)
{
    send(request("/1") + request("/2", "PUT", "Content-Length: 1\r\nExpect: 100-continue\r\n"));
    EXPECT_EQ(run(), "");
    answer("/1");
    const std::string received = run();
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    ASSERT_TRUE(received.ends_with(interim));
    EXPECT_THAT(bodiesIn(received.substr(0, received.size() - interim.size())), ElementsAre("/1"));
    send("x");
    (void)run();
    answer("/2");
    EXPECT_THAT(bodiesIn(run()), ElementsAre("/2"));
}

/// Guards against a slow request head that stays unanswered behind others, or ends them.
TEST_F(PipeliningTest, ARequestThatArrivesTooSlowlyIsRefusedInOrder)
{
    HttpServerLimits limits;
    limits.headerTimeout = 50ms;
    makeServer(limits);
    send(request("/1") + "GET /2 HTT");
    EXPECT_EQ(run(150ms), "");
    answer("/1");
    const std::string received = run();
    EXPECT_NE(received.find("HTTP/1.1 408"), std::string::npos);
    EXPECT_EQ(bodiesIn(received).front(), "/1");
}

} // namespace
} // namespace jasminespread
