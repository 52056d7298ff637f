#include "http/http_server.h"
#include "http/message_parser.h"
#include "http/request_reader.h"
#include "support/http_peer.h"
#include "support/main_context_fixture.h"

#include <jasminespread/backend_transports.h>

#include <gtest/gtest.h>

#include <optional>
#include <thread>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;
using test::TestBackend;

/// Longer than a field that Beast's container of fields can hold.
constexpr std::size_t longFieldBytes = 65'540;

class FaultyPeerTest : public test::MainContextFixture {
protected:
    static BackendRequest orderTo(const TestBackend& backend)
    {
        BackendRequest request = requestTo(backend, "POST", "/order");
        request.body = "fabric=blue";
        request.acceptsCloseDelimitedAnswer = true;
        return request;
    }
};

/// Guards against a process that ends because one server's answer has a field that cannot be kept, in the head or
/// behind the body: the orders in flight at other servers would get no answer.
TEST_F(FaultyPeerTest, AnOddAnswerEndsOnlyItsConnection)
{
    const std::string chunked = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n";
    const std::string filler(longFieldBytes, 'x');
    std::string manyFields;
    for (unsigned i = 0; i < 20'000; ++i) {
        manyFields += "X: 1\r\n";
    }
    const std::pair<const char*, std::string> forms[] = {
        {"value in the trailer", chunked + "X: " + filler + "\r\n\r\n"},
        {"name in the trailer", chunked + filler + ": x\r\n\r\n"},
        {"fields of the trailer", chunked + manyFields + "\r\n"},
        {"value in the head", "HTTP/1.1 200 X\r\nX: " + filler + "\r\n\r\n"},
        {"name in the head", "HTTP/1.1 200 X\r\n" + filler + ": x\r\n\r\n"},
        {"value in an interim head", "HTTP/1.1 103 X\r\nX: " + filler + "\r\n\r\n"},
    };
    for (const auto& [form, bytes] : forms) {
        TestBackend odd([&bytes = bytes](const std::string&) { return bytes; });
        std::atomic<bool> answers = false;
        TestBackend sound([&answers](const std::string&) {
            const MonotonicTime end = monotonicNow() + 10s; // In case that the test ends before it sets the flag.
            while (!answers && monotonicNow() < end) {
                std::this_thread::sleep_for(1ms);
            }
            return TestBackend::answer("done");
        });
        const BackendTransport transport = makeBeastBackendTransport({100'000});
        std::optional<BackendResult> oddResult;
        std::optional<BackendResult> soundResult;
        transport.send(orderTo(sound), [&](BackendResult received) { soundResult = std::move(received); });
        transport.send(orderTo(odd), [&](BackendResult received) { oddResult = std::move(received); });
        EXPECT_TRUE(runUntil([&] { return oddResult.has_value(); })) << form;
        answers = true;
        ASSERT_TRUE(runUntil([&] { return soundResult.has_value(); })) << form;
        EXPECT_EQ(soundResult->progress, BackendProgress::Answered) << form;
        ASSERT_TRUE(oddResult) << form;
        EXPECT_EQ(oddResult->progress, BackendProgress::Broken) << form; // It may have been executed.
        EXPECT_FALSE(oddResult->timedOut) << form;
    }
}

/// Guards against a process that ends because of one caller's request. @see AnOddAnswerEndsOnlyItsConnection
TEST_F(FaultyPeerTest, AnOddRequestEndsOnlyItsConnection)
{
    HttpServerLimits limits;
    limits.maxHeaderBytes = 65'536;
    std::vector<std::uint64_t> requests;
    HttpServer server(
        limits, {[&](std::uint64_t request, RawRequest&&) { requests.push_back(request); }, [](std::uint64_t) {}, {}});
    const std::uint16_t port = test::freePorts(1);
    ASSERT_TRUE(server.listen("127.0.0.1:" + std::to_string(port)));
    test::Connection sound(port);
    sound.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return requests.size() == 1; }));
    const std::string filler(longFieldBytes, 'x');
    const std::string chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n";
    const std::tuple<const char*, std::string, std::string> forms[] = {
        {"value in the trailer", chunked + "X: " + filler + "\r\n\r\n", "431"},
        {"name in the trailer", chunked + filler + ": x\r\n\r\n", "431"},
        {"value in the head", "GET / HTTP/1.1\r\nHost: a\r\nX: " + filler + "\r\n\r\n", "431"},
        {"body of TRACE", "TRACE / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab", "400"},
    };
    for (const auto& [form, bytes, status] : forms) {
        test::Connection odd(port);
        std::string answer;
        std::atomic<bool> answered = false;
        std::thread exchange([&, &text = bytes] {
            answer = odd.exchange(text);
            answered = true;
        });
        EXPECT_TRUE(runUntil([&] { return answered.load(); })) << form;
        exchange.join();
        EXPECT_EQ(answer.substr(0, 13), "HTTP/1.1 " + status + " ") << form;
    }
    EXPECT_EQ(requests.size(), 1U);
    server.answer(requests.front(), {200, {}, "done"});
    EXPECT_NE(sound.read().find("done"), std::string::npos);
}

/// Guards against a limit of the configuration that the reader does not follow: it ended the process for a field above
/// 64 KiB.
TEST_F(FaultyPeerTest, AFieldIsAsLongAsTheConfiguredLimitAllows)
{
    HttpServerLimits limits;
    limits.maxHeaderBytes = 300'000;
    const std::string value(200'000, 'v');
    RequestReader reader;
    reader.append("GET /a HTTP/1.1\r\nHost: a\r\nX: " + value + "\r\n\r\n", monotonicNow());
    const auto next = reader.next(limits, monotonicNow());
    ASSERT_TRUE(std::holds_alternative<RequestReader::Request>(next));
    const RawRequest& raw = std::get<RequestReader::Request>(next).raw;
    std::string received;
    TestBackend backend([&received](const std::string& request) {
        received = request;
        return TestBackend::answer("done");
    });
    BackendRequest request = orderTo(backend);
    request.headers = raw.headers;
    const BackendTransport transport = makeBeastBackendTransport({100'000});
    std::optional<BackendResult> result;
    transport.send(std::move(request), [&](BackendResult answer) { result = std::move(answer); });
    ASSERT_TRUE(runUntil([&] { return result.has_value(); }));
    EXPECT_EQ(result->progress, BackendProgress::Answered);
    EXPECT_NE(received.find("\r\nX: " + value + "\r\n"), std::string::npos);
}

/// Guards against a request that is split into two, or refused for what its server is not to blame for.
TEST_F(FaultyPeerTest, ARequestThatCannotBeWrittenIsNotSent)
{
    unsigned received = 0;
    TestBackend backend([&received](const std::string&) {
        ++received;
        return TestBackend::answer("done");
    });
    const BackendTransport transport = makeBeastBackendTransport({100'000});
    const std::vector<std::function<void(BackendRequest&)>> changes {
        [](BackendRequest& request) {
            request.headers.push_back({"X", "1\r\nY: 2"});
        },
        [](BackendRequest& request) {
            request.headers.push_back({"X: 1\r\nY", "2"});
        },
        [](BackendRequest& request) { request.target = "/a HTTP/1.1\r\n\r\nGET /b"; },
        [](BackendRequest& request) { request.method = "GET /b"; },
        [](BackendRequest& request) { request.method.clear(); },
    };
    for (const auto& change : changes) {
        BackendRequest request = orderTo(backend);
        change(request);
        std::optional<BackendResult> result;
        transport.send(std::move(request), [&](BackendResult answer) { result = std::move(answer); });
        ASSERT_TRUE(runUntil([&] { return result.has_value(); }));
        EXPECT_EQ(result->progress, BackendProgress::NotSent);
        EXPECT_TRUE(result->withheld);
    }
    EXPECT_EQ(received, 0U);
}

/// Guards against an error of a container or of Beast that leaves the reader of a message.
TEST(MessageParserTest, AnExceptionWhileReadingIsAFailureOfTheMessage)
{
    // The body is reserved at once, and is longer than a string can be.
    MessageParser<false> parser(65'536, std::numeric_limits<std::uint64_t>::max());
    std::string input = "HTTP/1.1 200 X\r\nContent-Length: 9223372036854775807\r\n\r\nabc";
    EXPECT_TRUE(parser.read(input).has_value());
}

} // namespace
} // namespace jasminespread
