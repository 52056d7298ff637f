#include "support/http_peer.h"

#include <jasminespread/worker_pool.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace jasminespread {
namespace {

using test::Connection;
using test::TestBackend;
using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

/// One instance with two workers that is primary of every group of the service "ledger".
class WorkerPoolTest : public testing::Test {
protected:
    WorkerPoolTest()
        : backend([this](const std::string& request) {
            const std::lock_guard<std::mutex> lock(mutex);
            requests.push_back(request);
            return handler ? handler(request) : TestBackend::answer("stored", "X-Kind: cloth\r\n");
        })
        , callerPort(test::freePorts(1))
    {
        settings.instance = "entry-1";
        settings.region = "western";
        settings.callerAddress = "127.0.0.1:" + std::to_string(callerPort);
        settings.forwardAddress = "127.0.0.1:" + std::to_string(test::freePorts(2));
        settings.workers = 2;
        settings.maxBodyBytes = 100'000;
        publish();
        pool = std::make_unique<WorkerPool>(settings, incarnation, table, metrics, WorkerPool::Hooks {{}, {}});
    }

    void publish()
    {
        auto snapshot = std::make_shared<RoutingSnapshot>();
        snapshot->ready = true;
        snapshot->self = {"entry-1", incarnation};
        snapshot->selfRegion = "western";
        snapshot->servers.push_back({"server-1", backend.address(), "western", 6, 110, GrantCheck::Checked});
        snapshot->instances.push_back({"entry-1", incarnation, "western", settings.forwardAddress, 2, true});
        ServiceRoute& service = snapshot->services["ledger"];
        service.settings.name = "ledger";
        service.settings.grantCheck = GrantCheck::Checked;
        service.settings.partitions = 8;
        service.settings.groups = 4;
        service.groups.resize(4);
        for (std::uint32_t i = 0; i < 4; ++i) {
            GroupRoute& group = service.groups[i];
            group.group = {"ledger", i};
            group.term = 3;
            group.primary = 0;
            group.authorityUntil = authority;
            group.servingSince = wallNow() - Milliseconds(1000);
            group.partitions[i] = {0, 41};
            group.partitions[i + 4] = {0, 42};
        }
        table.publish(snapshot);
    }

    void start()
    {
        const bool started = handleError(
            [this]() -> Result<bool> {
                BOOST_LEAF_CHECK(pool->start());
                return true;
            },
            [](const Error& error) {
                ADD_FAILURE() << error.message;
                return false;
            });
        ASSERT_TRUE(started);
    }

    static std::string request(
        const std::string& method, const std::string& target, const std::string& headers, const std::string& body = {})
    {
        return method + " " + target + " HTTP/1.1\r\nHost: x\r\n" + headers
            + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
    }

    static constexpr std::uint64_t incarnation = 77;
    std::mutex mutex;
    std::vector<std::string> requests;
    std::function<std::string(const std::string&)> handler;
    TestBackend backend;
    std::uint16_t callerPort;
    InstanceSettings settings;
    RoutingTable table;
    MetricsRegistry metrics;
    std::shared_ptr<AuthorityDeadline> authority
        = std::make_shared<AuthorityDeadline>((monotonicNow() + Milliseconds(60'000)).time_since_epoch().count());
    std::unique_ptr<WorkerPool> pool;
};

// Guards against losing the route's fence headers, or passing private headers in either direction.
TEST_F(WorkerPoolTest, RepeatableRequestReachesOwnerWithFenceHeaders)
{
    start();
    Connection caller(callerPort);
    const std::string answer = caller.exchange(request("GET", "/v1/ledger/orders/7?full=1",
        "Jasminespread-Key: loom\r\nConnection: X-Private\r\nX-Private: 1\r\nX-Kept: 2\r\n"
        "Jasminespread-Token: 999\r\n"));
    EXPECT_THAT(answer, StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(answer, HasSubstr("Jasminespread-Outcome: done"));
    EXPECT_THAT(answer, HasSubstr("Jasminespread-Server: server-1"));
    EXPECT_THAT(answer, HasSubstr("X-Kind: cloth"));
    EXPECT_THAT(answer, testing::EndsWith("stored"));
    ASSERT_EQ(requests.size(), 1U);
    EXPECT_THAT(requests[0], StartsWith("GET /orders/7?full=1 HTTP/1.1\r\n"));
    EXPECT_THAT(requests[0], HasSubstr("X-Kept: 2"));
    EXPECT_THAT(requests[0], HasSubstr("Jasminespread-Term: 3"));
    EXPECT_THAT(requests[0], HasSubstr("Jasminespread-Key: loom"));
    EXPECT_THAT(requests[0], HasSubstr("Jasminespread-Token: 4"));
    EXPECT_THAT(requests[0], Not(HasSubstr("X-Private")));
    EXPECT_THAT(requests[0], Not(HasSubstr("Jasminespread-Token: 999")));
}

// Guards against non-repeatable requests that get lost between the worker that takes them and the worker that holds
// the group's window: the keys cover all groups and therefore both workers.
TEST_F(WorkerPoolTest, NonRepeatableRequestsPassThroughThePrimarysWorker)
{
    start();
    for (int i = 0; i < 20; ++i) {
        Connection caller(callerPort);
        const std::string answer = caller.exchange(request(
            "POST", "/v1/ledger/orders", "Jasminespread-Key: key-" + std::to_string(i) + "\r\n", "three metres"));
        EXPECT_THAT(answer, StartsWith("HTTP/1.1 200"));
        EXPECT_THAT(answer, HasSubstr("Jasminespread-Outcome: done"));
    }
    ASSERT_EQ(requests.size(), 20U);
    EXPECT_THAT(requests[0], testing::EndsWith("three metres"));
}

// Guards against malformed requests that reach a server or get an unclear error.
TEST_F(WorkerPoolTest, MalformedRequestsAreRefusedWithReason)
{
    start();
    Connection caller(callerPort);
    EXPECT_THAT(caller.exchange(request("GET", "/v1/ledger/x", "")),
        testing::AllOf(StartsWith("HTTP/1.1 400"), HasSubstr("Jasminespread-Reason: missing-key"),
            HasSubstr("Jasminespread-Outcome: not-run")));
    EXPECT_THAT(caller.exchange(request("GET", "/v1/other/x", "Jasminespread-Key: a\r\n")),
        testing::AllOf(StartsWith("HTTP/1.1 404"), HasSubstr("Jasminespread-Reason: unknown-service")));
    EXPECT_THAT(
        caller.exchange(request("GET", "/v1/ledger/x", "Jasminespread-Key: a\r\nJasminespread-Request-Id: 12\r\n")),
        testing::AllOf(StartsWith("HTTP/1.1 400"), HasSubstr("Jasminespread-Reason: bad-request-id")));
    EXPECT_THAT(
        caller.exchange(request("GET", "/v1/ledger/x", "Jasminespread-Key: a\r\nJasminespread-Deadline-Ms: soon\r\n")),
        testing::AllOf(StartsWith("HTTP/1.1 400"), HasSubstr("Jasminespread-Reason: bad-deadline")));
    EXPECT_TRUE(requests.empty());
}

// Guards against buffering a body beyond the limit, whether or not its size is declared.
TEST_F(WorkerPoolTest, OversizedBodiesAreRefused)
{
    start();
    {
        Connection caller(callerPort);
        EXPECT_THAT(caller.exchange("POST /v1/ledger/x HTTP/1.1\r\nHost: x\r\nJasminespread-Key: a\r\n"
                                    "Content-Length: 100001\r\n\r\n"),
            testing::AllOf(StartsWith("HTTP/1.1 413"), HasSubstr("Jasminespread-Reason: body-too-large")));
    }
    Connection caller(callerPort);
    caller.write("POST /v1/ledger/x HTTP/1.1\r\nHost: x\r\nJasminespread-Key: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 11; ++i) {
        caller.write("2710\r\n" + std::string(10'000, 'a') + "\r\n");
    }
    EXPECT_THAT(
        caller.read(), testing::AllOf(StartsWith("HTTP/1.1 413"), HasSubstr("Jasminespread-Reason: body-too-large")));
    EXPECT_TRUE(requests.empty());
}

// Guards against two daemons that silently share a caller address through SO_REUSEPORT.
TEST_F(WorkerPoolTest, UsedCallerAddressFailsToStart)
{
    start();
    InstanceSettings other = settings;
    other.forwardAddress = "127.0.0.1:" + std::to_string(test::freePorts(2));
    WorkerPool second(other, 78, table, metrics, {});
    const ErrorKind kind = handleError(
        [&]() -> Result<ErrorKind> {
            BOOST_LEAF_CHECK(second.start());
            return ErrorKind::Internal;
        },
        [](const Error& error) { return error.kind; });
    EXPECT_EQ(kind, ErrorKind::AddressInUse);
}

// Guards against a stop that cuts off a running request or lets new connections in.
TEST_F(WorkerPoolTest, DrainFinishesRunningRequests)
{
    handler = [](const std::string&) {
        std::this_thread::sleep_for(Milliseconds(300));
        return TestBackend::answer("late but whole");
    };
    start();
    Connection caller(callerPort);
    caller.write(request("POST", "/v1/ledger/x", "Jasminespread-Key: a\r\n", "b"));
    std::this_thread::sleep_for(Milliseconds(100));
    EXPECT_EQ(pool->drain(Milliseconds(5000)), 0U);
    const std::string answer = caller.read();
    EXPECT_THAT(answer, testing::EndsWith("late but whole"));
    EXPECT_THAT(answer, HasSubstr("Connection: close"));
    EXPECT_FALSE(Connection(callerPort).connected());
}

} // namespace
} // namespace jasminespread
