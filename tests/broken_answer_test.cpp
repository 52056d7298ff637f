#include "ctl/operator_call.h"
#include "grants/grant_client.h"
#include "support/broken_answers.h"
#include "support/early_server.h"
#include "support/main_context_fixture.h"

#include <jasminespread/backend_transports.h>
#include <jasminespread/http_object_store.h>

#include <gtest/gtest.h>

#include <cctype>
#include <optional>
#include <thread>
#include <tuple>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;
using test::EarlyServer;
using test::TestBackend;

class BrokenAnswerTest : public test::MainContextFixture {
protected:
    static BackendRequest order(const std::string& address, std::size_t bodyBytes)
    {
        BackendRequest request;
        request.address = address;
        request.method = "POST";
        request.target = "/order";
        request.body.resize(bodyBytes, 'a');
        request.deadline = monotonicNow() + 2s;
        request.acceptsCloseDelimitedAnswer = true;
        return request;
    }

    /// Returns the result of a request to @p server, of which the rest is written when the server has ended the
    /// connection.
    BackendResult uploadBeyondTheEnd(const EarlyServer& server)
    {
        BackendRequest request = order(server.address(), 20'000'000);
        request.mayWrite = [&server, writes = 0]() mutable {
            const MonotonicTime end = monotonicNow() + 5s;
            for (++writes; writes == 2 && server.ended() == 0 && monotonicNow() < end;) {
                std::this_thread::sleep_for(1ms);
            }
            return true;
        };
        return exchange(std::move(request));
    }

    BackendResult exchange(BackendRequest request)
    {
        std::optional<BackendResult> received;
        m_transport.send(std::move(request), [&](BackendResult result) { received = std::move(result); });
        EXPECT_TRUE(runUntil([&] { return received.has_value(); }));
        return received.value_or(BackendResult {});
    }

    BackendTransport m_transport = makeBeastBackendTransport({100'000});
};

// Guards against taking the part of an answer that arrived before a reset for a complete one: a write that fails clears
// the error of the socket, and the next read then reports an orderly end.
TEST_F(BrokenAnswerTest, AResetWhileTheRequestIsWrittenDoesNotCompleteTheAnswer)
{
    const EarlyServer server("HTTP/1.1 200 OK\r\n\r\nthe first part", EarlyServer::End::Reset);
    const BackendResult result = uploadBeyondTheEnd(server);
    EXPECT_EQ(result.progress, BackendProgress::Broken);
    EXPECT_EQ(result.body, "");
    EXPECT_FALSE(result.timedOut);
}

// Guards against the same behind a request that was written as a whole.
TEST_F(BrokenAnswerTest, AResetBehindTheRequestDoesNotCompleteTheAnswer)
{
    const EarlyServer server("HTTP/1.1 200 OK\r\n\r\nthe first part", EarlyServer::End::Reset);
    const BackendResult result = exchange(order(server.address(), 10));
    EXPECT_EQ(result.progress, BackendProgress::Broken);
    EXPECT_EQ(result.body, "");
}

// Guards against losing a whole answer whose server does not read the rest of the request.
TEST_F(BrokenAnswerTest, AnAnswerThatEndsBeforeTheResetIsComplete)
{
    const EarlyServer server("HTTP/1.1 200 OK\r\n\r\nthe whole answer", EarlyServer::End::CloseThenReset);
    const BackendResult result = uploadBeyondTheEnd(server);
    EXPECT_EQ(result.progress, BackendProgress::Answered);
    EXPECT_EQ(result.body, "the whole answer");
}

// Guards against passing on an answer whose status is none, and against a request that waits for its deadline behind
// such an answer.
TEST_F(BrokenAnswerTest, AnAnswerWithoutAValidStatusEndsItsRequestAtOnce)
{
    const std::string rest = " X\r\nContent-Length: 5\r\n\r\nhello";
    const std::tuple<const char*, std::string, std::string> forms[] = {
        {"with a length", "", rest},
        {"without a body", "", " X\r\nContent-Length: 0\r\n\r\n"},
        {"without a length", "", " X\r\n\r\nhello<cut>"},
        {"before a valid answer", "", " X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200" + rest},
        {"behind an interim answer", "HTTP/1.1 103 X\r\n\r\n", " X\r\n\r\n"},
    };
    for (const std::string status : {"000", "001", "099", "600", "999"}) {
        for (const auto& [form, before, behind] : forms) {
            std::string bytes = before;
            bytes.append("HTTP/1.1 ").append(status).append(behind);
            TestBackend backend([&bytes](const std::string&) { return bytes; });
            const BackendResult result = exchange(order(backend.address(), 10));
            EXPECT_EQ(result.progress, BackendProgress::Broken) << status << " " << form;
            EXPECT_FALSE(result.timedOut) << status << " " << form;
        }
    }
}

// Guards against reading on in another protocol: an upgrade is never asked for.
TEST_F(BrokenAnswerTest, AnAnswerThatSwitchesProtocolsEndsItsRequestAtOnce)
{
    const std::string head = "HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n";
    for (const std::string& rest : {std::string(), std::string("x"), TestBackend::answer("hello")}) {
        TestBackend backend([&](const std::string&) { return head + rest; });
        const BackendResult result = exchange(order(backend.address(), 10));
        EXPECT_EQ(result.progress, BackendProgress::Broken) << rest;
        EXPECT_FALSE(result.timedOut) << rest;
    }
}

// Guards against passing on an answer with a line that cannot be read, or with a body that a misread line delimits.
TEST_F(BrokenAnswerTest, AnAnswerWithALineThatCannotBeReadIsBroken)
{
    for (const test::BrokenAnswer& answer : test::answersWithBrokenLines("Request-Id: 1\r\n", "hello")) {
        TestBackend backend([&answer](const std::string&) { return answer.bytes + "<cut>"; });
        const BackendResult result = exchange(order(backend.address(), 10));
        EXPECT_EQ(result.progress, BackendProgress::Broken) << answer.form;
        EXPECT_FALSE(result.timedOut) << answer.form;
    }
}

// Guards against a byte in the name of a field that is taken for a part of it.
TEST_F(BrokenAnswerTest, OnlyTheCharactersOfATokenFormAName)
{
    const std::string others = "!#$%&'*+-.^_`|~";
    for (unsigned byte = 0; byte < 256; ++byte) {
        const char c = static_cast<char>(byte);
        const bool isAlphanumeric = byte < 128 && std::isalnum(static_cast<int>(byte)) != 0;
        const bool isToken = isAlphanumeric || others.find(c) != std::string::npos;
        const std::string name = std::string("X") + c + "Y";
        TestBackend backend([&name](const std::string&) { return TestBackend::answer("hello", name + ": 1\r\n"); });
        const BackendResult result = exchange(order(backend.address(), 10));
        // A colon ends the name.
        const bool isRead = isToken || c == ':';
        EXPECT_EQ(result.progress, isRead ? BackendProgress::Answered : BackendProgress::Broken) << byte;
        EXPECT_FALSE(result.timedOut) << byte;
    }
}

// Guards against a body that the caller takes for the server's although it is still encoded: the encodings of a
// transfer are not passed on, and none but "chunked" is understood.
TEST_F(BrokenAnswerTest, AnAnswerInAnUnknownTransferEncodingIsBroken)
{
    const std::string length = "Content-Length: 5\r\n";
    const std::string chunks = "5\r\nhello\r\n0\r\n\r\n";
    const std::pair<std::string, std::string> forms[] = {
        {"Transfer-Encoding: gzip\r\n", "hello"},
        {"Transfer-Encoding: gzip\r\n" + length, "hello"},
        {"Transfer-Encoding: identity\r\n" + length, "hello"},
        {"Transfer-Encoding: gzip, chunked\r\n", chunks},
        {"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", chunks},
        {"Transfer-Encoding: chunked, gzip\r\n", "hello"},
        {"Transfer-Encoding: chunked, chunked\r\n", chunks},
        {"Transfer-Encoding: chunked;a=b\r\n", chunks},
        {"Transfer-Encoding:\r\n" + length, "hello"},
        {"Transfer-Encoding: chunked\r\n" + length, chunks},
        {length + "Transfer-Encoding: chunked\r\n", chunks},
    };
    for (const auto& [fields, body] : forms) {
        std::string bytes = "HTTP/1.1 200 X\r\n";
        bytes.append(fields).append("\r\n").append(body).append("<cut>");
        TestBackend backend([&bytes](const std::string&) { return bytes; });
        const BackendResult result = exchange(order(backend.address(), 10));
        EXPECT_EQ(result.progress, BackendProgress::Broken) << fields << result.body;
    }
    TestBackend backend(
        [&](const std::string&) { return "HTTP/1.1 200 X\r\ntransfer-encoding:  Chunked \r\n\r\n" + chunks; });
    EXPECT_EQ(exchange(order(backend.address(), 10)).body, "hello");
}

// Guards against a record, or the outcome of a write, that is taken from an answer that cannot be read.
TEST_F(BrokenAnswerTest, TheStoreStatesNothingInAnAnswerThatCannotBeRead)
{
    const std::string body = R"({"version":8,"value":"v","objects":[],"instances":[]})";
    for (const test::BrokenAnswer& answer : test::answersWithBrokenLines("", body)) {
        TestBackend backend([&answer](const std::string&) { return answer.bytes + "<cut>"; });
        const ObjectStore store = makeHttpObjectStore("http://" + backend.address(), 2000ms);
        std::optional<StoreReadResult> read;
        store.read("group", "a.0", [&](StoreReadResult result) { read = std::move(result); });
        std::optional<StoreListResult> list;
        store.list("group", [&](StoreListResult result) { list = std::move(result); });
        std::optional<InstanceListResult> instances;
        store.instances([&](InstanceListResult result) { instances = std::move(result); });
        std::optional<StoreWriteResult> write;
        store.write("group", "a.0", 7, "{}", [&](StoreWriteResult result) { write = result; });
        ASSERT_TRUE(runUntil([&] { return read && list && instances && write; })) << answer.form;
        EXPECT_EQ(read->status, StoreStatus::Unavailable) << answer.form;
        EXPECT_EQ(list->status, StoreStatus::Unavailable) << answer.form;
        EXPECT_EQ(instances->status, StoreStatus::Unavailable) << answer.form;
        EXPECT_EQ(write->status, StoreStatus::Unknown) << answer.form;
    }
}

// Guards against a grant that counts as confirmed by an answer that cannot be read.
TEST_F(BrokenAnswerTest, AnAnswerThatCannotBeReadConfirmsNoGrant)
{
    GrantBatch batch;
    batch.server = "planner1";
    batch.granter = {"a", 7};
    batch.grants.push_back({{"desk", 2}, 3, 1, 2000ms, {}});
    GrantReply reply;
    reply.server = batch.server;
    reply.incarnation = 5;
    reply.nonce = "n1";
    for (const test::BrokenAnswer& answer : test::answersWithBrokenLines("", encodeGrantReply(reply))) {
        TestBackend backend([&answer](const std::string&) { return answer.bytes + "<cut>"; });
        batch.address = backend.address();
        GrantClient client(2000ms);
        bool ended = false;
        std::optional<GrantReply> received;
        client.send(batch, [&](std::optional<GrantReply> end) {
            ended = true;
            received = std::move(end);
        });
        ASSERT_TRUE(runUntil([&] { return ended; })) << answer.form;
        EXPECT_FALSE(received) << answer.form;
    }
}

// Guards against telling an operator what an instance did not state.
TEST_F(BrokenAnswerTest, AnAnswerThatCannotBeReadIsLostForOperators)
{
    const OperatorCaller call = makeHttpOperatorCaller(2000ms);
    for (const test::BrokenAnswer& answer : test::answersWithBrokenLines("", "{}")) {
        TestBackend backend([&answer](const std::string&) { return answer.bytes + "<cut>"; });
        const OperatorReply reply = call({backend.address(), "POST", "/v1/configuration", "{}"});
        EXPECT_EQ(reply.progress, CallProgress::AnswerLost) << answer.form;
        EXPECT_FALSE(reply.failure.empty()) << answer.form;
        EXPECT_EQ(reply.body, "") << answer.form;
    }
}

} // namespace
} // namespace jasminespread
