#include <jasminespread/backend_transports.h>

#include "base/glib_pointer.h"
#include "support/http_peer.h"

#include <glib.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace jasminespread {
namespace {

using test::TestBackend;
using testing::HasSubstr;

class BackendTransportTest : public testing::Test {
protected:
    BackendTransportTest()
        : context(g_main_context_new())
    {
        g_main_context_push_thread_default(context);
        transport = makeBeastBackendTransport({100'000});
    }
    ~BackendTransportTest() override
    {
        transport = {};
        g_main_context_pop_thread_default(context);
        g_main_context_unref(context);
    }

    static BackendRequest makeRequest(const std::string& address, const std::string& method = "GET")
    {
        BackendRequest request;
        request.address = address;
        request.method = method;
        request.target = "/x";
        request.deadline = monotonicNow() + Milliseconds(5000);
        return request;
    }

    /// Runs the main loop until @p done or for @p limit.
    template <typename Condition> bool runUntil(Condition done, Milliseconds limit = Milliseconds(5000))
    {
        const MonotonicTime end = monotonicNow() + limit;
        while (!done() && monotonicNow() < end) {
            if (!g_main_context_iteration(context, FALSE)) {
                std::this_thread::sleep_for(std::chrono::microseconds(200));
            }
        }
        return done();
    }

    /// Blocks the main loop for @p length within one iteration, after @p delay.
    [[nodiscard]] GSourcePointer keepBusy(Milliseconds delay, Milliseconds length)
    {
        GSourcePointer source(g_timeout_source_new(static_cast<guint>(delay.count())));
        const auto block = [](gpointer data) -> gboolean {
            g_usleep(GPOINTER_TO_UINT(data) * 1000UL);
            return G_SOURCE_REMOVE;
        };
        g_source_set_callback(source.get(), block, GUINT_TO_POINTER(static_cast<guint>(length.count())), nullptr);
        g_source_attach(source.get(), context);
        return source;
    }

    BackendResult exchange(BackendRequest request)
    {
        std::optional<BackendResult> received;
        transport.send(std::move(request), [&](BackendResult result) { received = std::move(result); });
        EXPECT_TRUE(runUntil([&] { return received.has_value(); }));
        return received.value_or(BackendResult {});
    }

    GMainContext* context;
    BackendTransport transport;
};

// Guards against opening a connection per request, which costs about 1 ms each.
TEST_F(BackendTransportTest, ReusesConnections)
{
    TestBackend backend([](const std::string& request) { return TestBackend::answer(request.substr(0, 4)); });
    for (int i = 0; i < 10; ++i) {
        const BackendResult result = exchange(makeRequest(backend.address(), i % 2 == 0 ? "GET" : "POST"));
        EXPECT_EQ(result.progress, BackendProgress::Answered);
        EXPECT_EQ(result.body, i % 2 == 0 ? "GET " : "POST");
    }
    EXPECT_EQ(backend.connections(), 1);
    EXPECT_EQ(transport.connectionsOpened(), 1U);
}

// Guards against delivering the part of an answer that arrived before the connection ended.
TEST_F(BackendTransportTest, TruncatedAnswersAreBroken)
{
    const std::vector<std::string> answers {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345<cut>",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n<cut>", "HTTP/1.1 200 OK\r\nConten<cut>",
        "HTTP/1.1 200 OK\r\n\r\n12345<cut>", "<cut>", "garbage\r\n\r\n<cut>"};
    for (const std::string& answer : answers) {
        TestBackend backend([&](const std::string&) { return answer; });
        const BackendResult result = exchange(makeRequest(backend.address()));
        EXPECT_EQ(result.progress, BackendProgress::Broken) << answer;
        EXPECT_TRUE(result.body.empty()) << answer;
        EXPECT_FALSE(result.timedOut) << answer;
    }
}

// Guards against an answer that is taken for complete although its server closed within the head: such an answer has no
// length yet, and an answer without a length ends with its connection.
TEST_F(BackendTransportTest, AnAnswerThatEndsWithinItsHeadIsBroken)
{
    const std::vector<std::string> heads {
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\nConnection: close\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n\r\n"};
    for (const std::string& head : heads) {
        for (std::size_t n = 0; n < head.size(); ++n) {
            TestBackend backend([&](const std::string&) { return head.substr(0, n) + "<cut>"; });
            BackendRequest request = makeRequest(backend.address());
            request.acceptsCloseDelimitedAnswer = true;
            const BackendResult result = exchange(std::move(request));
            EXPECT_EQ(result.progress, BackendProgress::Broken) << head.substr(0, n);
            EXPECT_TRUE(result.body.empty()) << head.substr(0, n);
        }
    }
}

// Guards against rejecting answers in the other framings of HTTP/1.1.
TEST_F(BackendTransportTest, ReadsAllSelfDelimitingFramings)
{
    TestBackend backend([](const std::string& request) -> std::string {
        if (request.starts_with("HEAD")) {
            return "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n";
        }
        if (request.starts_with("PUT")) {
            return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
        }
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    });
    EXPECT_EQ(exchange(makeRequest(backend.address(), "HEAD")).progress, BackendProgress::Answered);
    EXPECT_EQ(exchange(makeRequest(backend.address(), "PUT")).status, 204U);
    EXPECT_EQ(exchange(makeRequest(backend.address())).body, "abcde");
    EXPECT_EQ(backend.connections(), 1);
}

// Guards against reading a refusal, or the id of another request, from the trailer of an answer.
TEST_F(BackendTransportTest, FieldsOfATrailerAreNotThoseOfTheHead)
{
    const std::string head
        = "HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\nRequest-Id: 1\r\nTrailer: Not-Executed\r\n\r\n";
    const std::vector<std::string> bodies {"3\r\nabc\r\n", "1\r\na\r\n" + std::string("2;x=y\r\nbc\r\n")};
    for (const std::string& body : bodies) {
        TestBackend backend([&](const std::string&) {
            return head + body + "0\r\nNot-Executed: 1\r\nJasminespread-Outcome: not-run\r\nRequest-Id: 2\r\n\r\n";
        });
        for (int i = 0; i < 2; ++i) {
            const BackendResult result = exchange(makeRequest(backend.address(), "POST"));
            EXPECT_EQ(result.status, 503U);
            EXPECT_EQ(result.body, "abc");
            EXPECT_EQ(result.headers.size(), 3U);
            for (const HeaderField& field : result.headers) {
                EXPECT_NE(field.name, "Not-Executed");
                EXPECT_NE(field.name, "Jasminespread-Outcome");
                EXPECT_NE(field.value, "2");
            }
        }
        EXPECT_EQ(backend.connections(), 1);
    }
}

// Guards against unbounded memory for an answer.
TEST_F(BackendTransportTest, AnswerBeyondTheLimitIsBroken)
{
    TestBackend backend([](const std::string&) { return TestBackend::answer(std::string(100'001, 'a')); });
    EXPECT_EQ(exchange(makeRequest(backend.address())).progress, BackendProgress::Broken);
    TestBackend fitting([](const std::string&) { return TestBackend::answer(std::string(100'000, 'a')); });
    EXPECT_EQ(exchange(makeRequest(fitting.address())).body.size(), 100'000U);
}

// Guards against reporting a request that was never sent as possibly executed.
TEST_F(BackendTransportTest, RefusedConnectionIsNotSent)
{
    const BackendResult result = exchange(makeRequest("127.0.0.1:" + std::to_string(test::freePorts(1))));
    EXPECT_EQ(result.progress, BackendProgress::NotSent);
    EXPECT_THAT(result.failure, HasSubstr("connect"));
}

// Guards against failing a request because its reused connection was already closed by the server.
TEST_F(BackendTransportTest, ClosedIdleConnectionIsReplaced)
{
    TestBackend backend([](const std::string&) { return TestBackend::answer("x") + "<cut>"; });
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(exchange(makeRequest(backend.address())).progress, BackendProgress::Answered);
        std::this_thread::sleep_for(Milliseconds(5));
    }
    EXPECT_EQ(backend.connections(), 5);
}

// Guards against writing a request after its sender has lost the permission to send it.
TEST_F(BackendTransportTest, NothingIsWrittenWithoutPermission)
{
    std::atomic<int> requests = 0;
    TestBackend backend([&](const std::string&) {
        ++requests;
        return TestBackend::answer("x");
    });
    BackendRequest request = makeRequest(backend.address());
    request.mayWrite = [] { return false; };
    const BackendResult withheld = exchange(std::move(request));
    EXPECT_EQ(withheld.progress, BackendProgress::NotSent);
    EXPECT_TRUE(withheld.withheld);
    EXPECT_EQ(exchange(makeRequest(backend.address())).progress, BackendProgress::Answered);
    EXPECT_EQ(requests, 1);
}

// Guards against "not sent" for a request of which the first bytes were written before the permission ended.
TEST_F(BackendTransportTest, ARequestWithheldAfterItsFirstBytesIsBroken)
{
    TestBackend backend([](const std::string&) { return TestBackend::answer("x"); });
    BackendRequest request = makeRequest(backend.address(), "POST");
    request.body.resize(20'000'000, 'a');
    request.mayWrite = [n = 0]() mutable { return ++n == 1; };
    const BackendResult result = exchange(std::move(request));
    EXPECT_EQ(result.progress, BackendProgress::Broken);
    EXPECT_TRUE(result.withheld);
}

// Guards against an interim answer that ends a request, whatever it states.
TEST_F(BackendTransportTest, AnInterimAnswerStatesNothing)
{
    const std::string interim = "HTTP/1.1 103 X\r\nNot-Executed: 1\r\nRequest-Id: 1\r\n\r\n";
    const std::string interims = interim + interim;
    for (const std::string& end : {TestBackend::answer("done"), std::string("<cut>")}) {
        TestBackend backend([&](const std::string&) { return interims + end; });
        const BackendResult result = exchange(makeRequest(backend.address(), "POST"));
        const bool isCut = end == "<cut>";
        EXPECT_EQ(result.progress, isCut ? BackendProgress::Broken : BackendProgress::Answered);
        EXPECT_EQ(result.status, isCut ? 0U : 200U);
        EXPECT_TRUE(std::none_of(result.headers.begin(), result.headers.end(),
            [](const HeaderField& field) { return field.name == "Not-Executed"; }));
    }
}

// Guards against another request on a connection on which the answer to an earlier one is still to come.
TEST_F(BackendTransportTest, AConnectionIsNotReusedBehindAnAnswerThatIsNotAccepted)
{
    TestBackend backend([](const std::string&) { return TestBackend::answer("x"); });
    for (const bool keeps : {true, false, true}) {
        BackendRequest request = makeRequest(backend.address());
        request.keepsConnection = [keeps](const BackendResult& result) { return result.body != "x" || keeps; };
        EXPECT_EQ(exchange(std::move(request)).body, "x");
    }
    EXPECT_EQ(backend.connections(), 2);
}

// Guards against a caller that waits beyond its deadline, and against a late answer reaching the next request.
TEST_F(BackendTransportTest, DeadlineEndsTheRequestAndItsConnection)
{
    std::atomic<int> requests = 0;
    TestBackend backend([&](const std::string&) {
        if (requests++ == 0) {
            std::this_thread::sleep_for(Milliseconds(150));
            return TestBackend::answer("late");
        }
        return TestBackend::answer("own");
    });
    BackendRequest request = makeRequest(backend.address());
    request.deadline = monotonicNow() + Milliseconds(50);
    const BackendResult late = exchange(std::move(request));
    EXPECT_EQ(late.progress, BackendProgress::Broken);
    EXPECT_TRUE(late.timedOut);
    EXPECT_EQ(exchange(makeRequest(backend.address())).body, "own");
}

// Guards against writing a request after its deadline when other work has blocked the main loop.
TEST_F(BackendTransportTest, NothingIsWrittenAfterTheDeadline)
{
    std::atomic<int> requests = 0;
    TestBackend backend([&](const std::string&) {
        ++requests;
        return TestBackend::answer("x");
    });
    const GSourcePointer busy = keepBusy(Milliseconds(0), Milliseconds(100));
    BackendRequest request = makeRequest(backend.address());
    request.deadline = monotonicNow() + Milliseconds(50);
    const BackendResult result = exchange(std::move(request));
    EXPECT_EQ(result.progress, BackendProgress::NotSent);
    EXPECT_TRUE(result.timedOut);
    EXPECT_EQ(exchange(makeRequest(backend.address())).progress, BackendProgress::Answered);
    EXPECT_EQ(requests, 1);
}

// Guards against discarding an answer that arrived in time when other work has blocked the main loop.
TEST_F(BackendTransportTest, AnswerReceivedButUnreadAtTheDeadlineIsDelivered)
{
    TestBackend backend([](const std::string&) { return TestBackend::answer("in time"); });
    ASSERT_EQ(exchange(makeRequest(backend.address())).progress, BackendProgress::Answered);
    const GSourcePointer busy = keepBusy(Milliseconds(0), Milliseconds(150));
    BackendRequest request = makeRequest(backend.address());
    request.deadline = monotonicNow() + Milliseconds(80);
    EXPECT_EQ(exchange(std::move(request)).body, "in time");
}

// Guards against exceeding the connection limit, and against requests that never get a connection.
TEST_F(BackendTransportTest, ConnectionLimitQueuesRequests)
{
    TestBackend backend([](const std::string&) {
        std::this_thread::sleep_for(Milliseconds(10));
        return TestBackend::answer("x");
    });
    transport.setConnectionLimit(backend.address(), 2);
    int answered = 0;
    for (int i = 0; i < 10; ++i) {
        transport.send(makeRequest(backend.address()),
            [&](const BackendResult& result) { answered += result.progress == BackendProgress::Answered ? 1 : 0; });
    }
    EXPECT_TRUE(runUntil([&] { return answered == 10; }));
    EXPECT_EQ(backend.connections(), 2);
}

// Guards against running callbacks of cancelled requests, and against their answers reaching other requests.
TEST_F(BackendTransportTest, CancelledRequestHasNoCallback)
{
    std::atomic<int> requests = 0;
    TestBackend backend([&](const std::string&) {
        std::this_thread::sleep_for(Milliseconds(requests++ == 0 ? 50 : 0));
        return TestBackend::answer("x");
    });
    bool called = false;
    const BackendTransport::Handle handle
        = transport.send(makeRequest(backend.address()), [&](const BackendResult&) { called = true; });
    runUntil([&] { return requests > 0; });
    transport.cancel(handle);
    EXPECT_EQ(exchange(makeRequest(backend.address())).progress, BackendProgress::Answered);
    runUntil([] { return false; }, Milliseconds(100));
    EXPECT_FALSE(called);
}

// Guards against losing a refusal that a server sends before it has read the whole request.
TEST_F(BackendTransportTest, EarlyAnswerIsRead)
{
    const int listener = test::bindLoopback(0);
    listen(listener, 1);
    std::thread server([listener] {
        const int fd = accept(listener, nullptr, nullptr);
        const std::string answer = "HTTP/1.1 503 X\r\nContent-Length: 0\r\nJasminespread-Outcome: not-run\r\n\r\n";
        ::send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
        std::this_thread::sleep_for(Milliseconds(100));
        close(fd);
    });
    BackendRequest request = makeRequest("127.0.0.1:" + std::to_string(test::portOf(listener)), "POST");
    request.body.resize(20'000'000, 'a');
    const BackendResult result = exchange(std::move(request));
    EXPECT_EQ(result.progress, BackendProgress::Answered);
    EXPECT_EQ(result.status, 503U);
    server.join();
    close(listener);
}

// Guards against reporting that a request did not run which does: the server refuses a request, gets it once more, and
// writes a second copy of the refusal while it runs it.
TEST_F(BackendTransportTest, ACopyOfARefusalDoesNotAnswerTheRepeatedRequest)
{
    int received = 0;
    TestBackend backend([&received](const std::string&) -> std::string {
        const std::string headers = "Request-Id: 7\r\n";
        const std::string refusal = TestBackend::answer("", headers + "Not-Executed: 1\r\n", 503);
        return ++received == 1 ? refusal : refusal + TestBackend::answer("done", headers);
    });
    const auto send = [&](bool repeated) {
        BackendRequest request = makeRequest(backend.address(), "POST");
        request.needsNewConnection = repeated;
        return exchange(std::move(request));
    };
    EXPECT_EQ(send(false).status, 503U);
    // On the kept connection the copy would come first.
    EXPECT_EQ(send(true).status, 503U);
    EXPECT_EQ(backend.connections(), 2);
}

// Guards against a request that needs a new connection waiting for ever while idle ones take up the limit.
TEST_F(BackendTransportTest, ANewConnectionReplacesAnIdleOneAtTheLimit)
{
    TestBackend backend([](const std::string&) { return TestBackend::answer("x"); });
    transport.setConnectionLimit(backend.address(), 1);
    EXPECT_EQ(exchange(makeRequest(backend.address())).status, 200U);
    BackendRequest request = makeRequest(backend.address());
    request.needsNewConnection = true;
    const BackendResult result = exchange(std::move(request));
    EXPECT_EQ(result.status, 200U);
    EXPECT_FALSE(result.connectionReused);
    EXPECT_EQ(backend.connections(), 2);
}

// Guards against handing a late second copy of an answer to the next request on the connection.
TEST_F(BackendTransportTest, ALateCopyOfAnAnswerIsDropped)
{
    int received = 0;
    TestBackend backend([&received](const std::string&) -> std::string {
        const std::string first = TestBackend::answer("first", "Request-Id: 1\r\n");
        return ++received == 1 ? first : first + TestBackend::answer("second", "Request-Id: 2\r\n");
    });
    for (const std::string id : {"1", "2"}) {
        BackendRequest request = makeRequest(backend.address());
        request.isMatchingAnswer = [id](const std::vector<HeaderField>& headers, bool) {
            return std::any_of(headers.begin(), headers.end(),
                [&id](const HeaderField& field) { return field.name == "Request-Id" && field.value == id; });
        };
        EXPECT_EQ(exchange(std::move(request)).body, id == "1" ? "first" : "second");
    }
    EXPECT_EQ(backend.connections(), 1);
}

} // namespace
} // namespace jasminespread
