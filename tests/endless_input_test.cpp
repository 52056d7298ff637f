#include "http/http_server.h"
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

constexpr std::uint64_t maxBodyBytes = 1'000'000;
constexpr std::uint64_t maxTotalBytes = 300'000;
constexpr std::size_t manyBytes = 8'000'000;

std::string longBody(std::size_t length, char c)
{
    std::string body;
    body.resize(length, c);
    return body;
}

class EndlessInputTest : public test::MainContextFixture { };

/// Guards against a process that keeps what a server sends without end, in every part of an answer: it must not last
/// until the deadline of the request.
TEST_F(EndlessInputTest, AnAnswerWithoutEndIsEndedInEveryPart)
{
    const std::string chunked = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(manyBytes, 'a');
    const std::pair<const char*, std::string> forms[] = {
        {"status line", "HTTP/1.1 200 " + filler},
        {"head", "HTTP/1.1 200 X\r\nA: " + filler},
        {"sized body", "HTTP/1.1 200 X\r\nContent-Length: 900000000\r\n\r\n" + filler},
        {"chunk", chunked + "7fffffff\r\n" + filler},
        {"chunk extension", chunked + "5;a=" + filler},
        {"trailer", chunked + "0\r\nA: " + filler},
    };
    for (const auto& [part, bytes] : forms) {
        TestBackend backend([&bytes = bytes](const std::string&) { return bytes; });
        const BackendTransport transport = makeBeastBackendTransport({maxBodyBytes, manyBytes});
        std::optional<BackendResult> result;
        transport.send(requestTo(backend, "GET", "/x"), [&](BackendResult received) { result = std::move(received); });
        ASSERT_TRUE(runUntil([&] { return result.has_value(); })) << part;
        EXPECT_EQ(result->progress, BackendProgress::Broken) << part;
        EXPECT_FALSE(result->timedOut) << part;
    }
}

/// Guards against a process that runs out of memory by several long answers, and against the loss of other answers: the
/// longest one ends.
TEST_F(EndlessInputTest, TheLongestAnswerEndsWhenAllTakeTooMuch)
{
    TestBackend endless([](const std::string&) {
        return "HTTP/1.1 200 X\r\nContent-Length: 900000\r\n\r\n" + std::string(250'000, 'a');
    });
    TestBackend sound([](const std::string&) { return TestBackend::answer(std::string(100'000, 'b')); });
    const BackendTransport transport = makeBeastBackendTransport({maxBodyBytes, maxTotalBytes});
    std::optional<BackendResult> longest;
    transport.send(requestTo(endless, "GET", "/x"), [&](BackendResult received) { longest = std::move(received); });
    EXPECT_FALSE(runUntil([&] { return longest.has_value(); }, 500ms));
    for (int i = 0; i < 3; ++i) {
        std::optional<BackendResult> other;
        transport.send(requestTo(sound, "GET", "/x"), [&](BackendResult received) { other = std::move(received); });
        ASSERT_TRUE(runUntil([&] { return other.has_value(); }));
        EXPECT_EQ(other->progress, BackendProgress::Answered);
        EXPECT_EQ(other->body.size(), 100'000U);
    }
    ASSERT_TRUE(longest);
    EXPECT_EQ(longest->progress, BackendProgress::Broken);
    EXPECT_FALSE(longest->timedOut);
}

/// Guards against the same from callers, whose chunked bodies have lines of their own.
TEST(RequestReaderTest, ALineWithoutEndInABodyIsRefused)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string& start : {std::string("5;a="), std::string("0\r\nA: ")}) {
        RequestReader reader;
        const HttpServerLimits limits;
        reader.append(head + start + std::string(2UL * limits.maxHeaderBytes, 'a'), monotonicNow());
        const auto next = reader.next(limits, monotonicNow());
        ASSERT_TRUE(std::holds_alternative<RequestReader::Refusal>(next)) << start;
        EXPECT_EQ(std::get<RequestReader::Refusal>(next).status, 431U);
    }
}

/// Guards against a process that runs out of memory by callers' bodies: the longest incomplete request is refused with
/// a status that says truly that it has not run; a request in work and later ones are served.
TEST_F(EndlessInputTest, TheLongestIncompleteRequestIsRefusedWhenAllTakeTooMuch)
{
    HttpServerLimits limits;
    limits.maxTotalBytes = maxTotalBytes;
    limits.maxBodyBytes = maxBodyBytes;
    std::vector<std::uint64_t> requests;
    HttpServer server(
        limits, {[&](std::uint64_t request, RawRequest&&) { requests.push_back(request); }, [](std::uint64_t) {}, {}});
    const std::uint16_t port = test::freePorts(1);
    ASSERT_TRUE(server.listen("127.0.0.1:" + std::to_string(port)));
    const auto post = [](std::size_t length) {
        return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
    };
    test::Connection inWork(port);
    inWork.write(post(100'000) + std::string(100'000, 'a'));
    ASSERT_TRUE(runUntil([&] { return requests.size() == 1; }));
    test::Connection longest(port);
    longest.write(post(900'000) + std::string(150'000, 'b'));
    EXPECT_FALSE(runUntil([&] { return false; }, 100ms));
    test::Connection other(port);
    other.write(post(90'000) + std::string(90'000, 'c'));
    ASSERT_TRUE(runUntil([&] { return requests.size() == 2; }));
    for (const std::uint64_t request : requests) {
        server.answer(request, {200, {}, "done"});
    }
    EXPECT_FALSE(runUntil([&] { return false; }, 100ms));
    EXPECT_NE(longest.read().find("HTTP/1.1 503 "), std::string::npos);
    EXPECT_NE(inWork.read().find("HTTP/1.1 200 "), std::string::npos);
    EXPECT_NE(other.read().find("HTTP/1.1 200 "), std::string::npos);
}

/// Guards against a process that runs out of memory by answers that a caller does not read.
TEST_F(EndlessInputTest, ACallerThatReadsNothingIsDisconnectedWhenAllTakeTooMuch)
{
    HttpServerLimits limits;
    limits.maxTotalBytes = 40'000'000;
    std::vector<std::uint64_t> requests;
    HttpServer server(
        limits, {[&](std::uint64_t request, RawRequest&&) { requests.push_back(request); }, [](std::uint64_t) {}, {}});
    const std::uint16_t port = test::freePorts(1);
    ASSERT_TRUE(server.listen("127.0.0.1:" + std::to_string(port)));
    const std::string get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    test::Connection silent(port);
    silent.write(get);
    ASSERT_TRUE(runUntil([&] { return requests.size() == 1; }));
    server.answer(requests[0], {200, {}, longBody(30'000'000, 'a')});
    test::Connection reading(port);
    reading.write(get);
    ASSERT_TRUE(runUntil([&] { return requests.size() == 2; }));
    EXPECT_EQ(server.pending(), 2U);
    server.answer(requests[1], {200, {}, longBody(20'000'000, 'b')});
    EXPECT_EQ(server.pending(), 1U);
    std::string received;
    std::thread reader([&] { received = reading.read(); });
    EXPECT_TRUE(runUntil([&] { return server.pending() == 0; }));
    reader.join();
    EXPECT_NE(received.find(std::string(1000, 'b')), std::string::npos);
    EXPECT_GT(received.size(), 20'000'000U);
}

/// Guards against a server that stops at such a limit, because the connection to end is the one in whose turn the limit
/// was reached.
TEST_F(EndlessInputTest, AnAnswerToAnotherConnectionMayReachTheLimit)
{
    HttpServerLimits limits;
    limits.maxTotalBytes = 20'000'000;
    limits.maxPipelinedBytes = 100'000'000;
    std::map<std::string, std::uint64_t> requests;
    HttpServer* running = nullptr;
    HttpServer server(limits,
        {[&](std::uint64_t request, RawRequest&& raw) {
             requests[raw.path] = request;
             if (raw.path == "/second") {
                 running->answer(requests.at("/other"), {200, {}, longBody(10'000'000, 'b')});
             }
         },
            [](std::uint64_t) {}, {}, [](const RawRequest&) { return true; }});
    running = &server;
    const std::uint16_t port = test::freePorts(1);
    ASSERT_TRUE(server.listen("127.0.0.1:" + std::to_string(port)));
    const auto get = [](const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"; };
    test::Connection silent(port);
    silent.write(get("/first"));
    ASSERT_TRUE(runUntil([&] { return requests.contains("/first"); }));
    server.answer(requests.at("/first"), {200, {}, longBody(17'000'000, 'a')});
    test::Connection other(port);
    other.write(get("/other"));
    ASSERT_TRUE(runUntil([&] { return requests.contains("/other"); }));
    silent.write(get("/second"));
    ASSERT_TRUE(runUntil([&] { return requests.contains("/second"); }));
    EXPECT_FALSE(runUntil([&] { return false; }, 100ms));
    EXPECT_LE(server.pending(), 2U);
}

} // namespace
} // namespace jasminespread
