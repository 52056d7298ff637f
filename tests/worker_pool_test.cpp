#include "support/http_peer.h"

#include <jasminespread/request_id.h>
#include <jasminespread/worker_pool.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <zmq.h>

namespace jasminespread {
namespace {

using test::Connection;
using test::TestBackend;
using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

/// A second instance with its own routes, in which the fixture's instance is the primary.
struct SecondInstance {
    std::uint16_t callerPort = 0;
    RoutingTable table;
    std::unique_ptr<WorkerPool> pool;
};

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

    /// Starts the fixture's instance and a second one.
    std::unique_ptr<SecondInstance> startWithSecondInstance()
    {
        std::unique_ptr<SecondInstance> second = std::make_unique<SecondInstance>();
        second->callerPort = test::freePorts(1);
        InstanceSettings other = settings;
        other.instance = "entry-2";
        other.callerAddress = "127.0.0.1:" + std::to_string(second->callerPort);
        other.forwardAddress = "127.0.0.1:" + std::to_string(test::freePorts(2));
        start();
        auto routes = std::make_shared<RoutingSnapshot>(*table.current());
        routes->instances.push_back({"entry-2", 88, "western", other.forwardAddress, 2, true});
        table.publish(routes);
        routes = std::make_shared<RoutingSnapshot>(*routes);
        routes->self = {"entry-2", 88};
        second->table.publish(routes);
        second->pool = std::make_unique<WorkerPool>(other, 88, second->table, metrics, WorkerPool::Hooks {});
        EXPECT_TRUE(second->pool->start());
        return second;
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
    std::atomic<bool> releaseHandlers = false; ///< Blocking handlers wait for it.
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

// Guards against losing the fencing headers of the route, or passing on private headers in either direction.
TEST_F(WorkerPoolTest, RepeatableRequestReachesOwnerWithFencingHeaders)
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

// Guards against losing non-repeatable requests between the worker that receives them and the worker that holds the
// group's window. The keys cover all groups and therefore both workers.
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

// Guards against malformed requests that reach a server or get an error without a reason.
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
    EXPECT_THAT(Connection(callerPort)
                    .exchange(request(
                        "GET", "/v1/ledger/x", "Jasminespread-Key: a\r\nX-Long: " + std::string(17'000, 'a') + "\r\n")),
        testing::AllOf(StartsWith("HTTP/1.1 431"), HasSubstr("Jasminespread-Reason: headers-too-large")));
    EXPECT_TRUE(requests.empty());
}

// Guards against a HEAD answer with another length than that of GET, and against a duplicate Date header.
TEST_F(WorkerPoolTest, HeadKeepsLengthAndDateOfTheServer)
{
    handler = [](const std::string&) {
        return "HTTP/1.1 200 OK\r\nDate: Mon, 01 Jan 2024 00:00:00 GMT\r\nContent-Length: 1234\r\n\r\n";
    };
    start();
    Connection caller(callerPort);
    caller.write(request("HEAD", "/v1/ledger/x", "Jasminespread-Key: a\r\nConnection: close\r\n"));
    const std::string answer = caller.read();
    EXPECT_THAT(answer, HasSubstr("\r\nContent-Length: 1234\r\n"));
    EXPECT_THAT(answer, HasSubstr("\r\nDate: Mon, 01 Jan 2024 00:00:00 GMT\r\n"));
    EXPECT_EQ(answer.find("Date: "), answer.rfind("Date: "));
}

// Guards against buffering a body beyond the limit or of undeclared size.
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
    EXPECT_THAT(
        caller.read(), testing::AllOf(StartsWith("HTTP/1.1 411"), HasSubstr("Jasminespread-Reason: length-required")));
    EXPECT_TRUE(requests.empty());
}

// Guards against two daemons that silently share a caller address through SO_REUSEPORT.
TEST_F(WorkerPoolTest, StartFailsWhenCallerAddressIsInUse)
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

// Guards against a drain that cuts off a running request or accepts new connections.
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

// Guards against passing on a truncated answer as complete.
TEST_F(WorkerPoolTest, TruncatedAnswerIsNeverPassedOn)
{
    handler = [](const std::string&) { return "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart<cut>"; };
    start();
    Connection caller(callerPort);
    for (const char* method : {"GET", "POST"}) {
        const std::string answer = caller.exchange(request(method, "/v1/ledger/x", "Jasminespread-Key: a\r\n"));
        EXPECT_THAT(answer, StartsWith("HTTP/1.1 502"));
        EXPECT_THAT(answer, HasSubstr("Jasminespread-Outcome: unknown"));
        EXPECT_THAT(answer, Not(HasSubstr("part\n")));
    }
    EXPECT_EQ(std::count_if(
                  requests.begin(), requests.end(), [](const std::string& sent) { return sent.starts_with("POST"); }),
        1);
}

// Guards against work that continues for a caller that closed its connection.
TEST_F(WorkerPoolTest, DisconnectedCallerCancelsItsRequest)
{
    handler = [this](const std::string&) {
        while (!releaseHandlers) {
            std::this_thread::sleep_for(Milliseconds(1));
        }
        return TestBackend::answer("x");
    };
    start();
    Connection caller(callerPort);
    caller.write(request("GET", "/v1/ledger/x", "Jasminespread-Key: a\r\n"));
    std::this_thread::sleep_for(Milliseconds(100));
    caller.disconnect();
    EXPECT_EQ(pool->drain(Milliseconds(3000)), 0U);
    releaseHandlers = true;
}

// Guards against forwarded requests from addresses of no instance, which bypass the checks of the entry.
TEST_F(WorkerPoolTest, ForwardFromUnknownAddressIsDropped)
{
    start();
    wire::Envelope envelope;
    envelope.set_protocol_version(1);
    envelope.mutable_sender()->set_id("entry-1");
    envelope.mutable_sender()->set_incarnation(incarnation);
    const RequestId id = RequestId::generate(wallNow());
    wire::ForwardRequest& forward = *envelope.mutable_forward_request();
    forward.set_correlation(1);
    forward.set_reply_address("tcp://" + settings.forwardAddress);
    forward.set_service("ledger");
    forward.set_key("a");
    forward.set_request_id(id.bytes().data(), id.bytes().size());
    forward.set_method("POST");
    forward.set_target("/x");
    forward.set_remaining_ms(1000);
    forward.set_id_made_by_entry(true);
    const std::string bytes = envelope.SerializeAsString();

    void* context = zmq_ctx_new();
    for (const std::string source : {"127.0.0.2:0", "127.0.0.1:0"}) {
        const int linger = 1000;
        std::vector<void*> sockets;
        for (int worker = 0; worker < 2; ++worker) {
            const std::size_t colon = settings.forwardAddress.rfind(':');
            const int port = std::stoi(settings.forwardAddress.substr(colon + 1)) + worker;
            void* socket = zmq_socket(context, ZMQ_PUSH);
            zmq_setsockopt(socket, ZMQ_LINGER, &linger, sizeof linger);
            zmq_connect(socket, ("tcp://" + source + ";127.0.0.1:" + std::to_string(port)).c_str());
            zmq_send(socket, bytes.data(), bytes.size(), 0);
            sockets.push_back(socket);
        }
        std::this_thread::sleep_for(Milliseconds(200));
        {
            const std::lock_guard<std::mutex> lock(mutex);
            // Only one of the two workers serves the key's group.
            EXPECT_EQ(requests.size(), source.starts_with("127.0.0.2") ? 0U : 1U);
        }
        for (void* socket : sockets) {
            zmq_close(socket);
        }
    }
    zmq_ctx_term(context);
}

// Guards against losing requests or answers between two instances.
TEST_F(WorkerPoolTest, OtherInstanceForwardsToThePrimary)
{
    const std::unique_ptr<SecondInstance> second = startWithSecondInstance();
    const std::string id = RequestId::generate(wallNow() + Milliseconds(100)).text();
    for (int i = 0; i < 20; ++i) {
        // The last request repeats the id of the previous one through the other instance.
        Connection caller(i < 19 ? second->callerPort : callerPort);
        std::string headers = "Jasminespread-Key: key-" + std::to_string(std::min(i, 18)) + "\r\n";
        if (i >= 18) {
            headers += "Jasminespread-Request-Id: " + id + "\r\n";
        }
        const std::string answer = caller.exchange(request("POST", "/v1/ledger/x", headers, "body"));
        EXPECT_THAT(answer, StartsWith("HTTP/1.1 200"));
        EXPECT_THAT(answer, testing::EndsWith("stored"));
    }
    EXPECT_EQ(requests.size(), 19U);
}

// Guards against losing the answers to forwarded requests on a planned stop of the primary.
TEST_F(WorkerPoolTest, DrainAnswersForwardedRequests)
{
    handler = [](const std::string&) {
        std::this_thread::sleep_for(Milliseconds(30));
        return TestBackend::answer("whole");
    };
    const std::unique_ptr<SecondInstance> second = startWithSecondInstance();
    std::vector<std::unique_ptr<Connection>> callers;
    for (int i = 0; i < 10; ++i) {
        callers.push_back(std::make_unique<Connection>(second->callerPort));
        callers.back()->write(
            request("POST", "/v1/ledger/x", "Jasminespread-Key: key-" + std::to_string(i) + "\r\n", "body"));
    }
    std::this_thread::sleep_for(Milliseconds(100));
    EXPECT_EQ(pool->drain(Milliseconds(5000)), 0U);
    for (const std::unique_ptr<Connection>& caller : callers) {
        EXPECT_THAT(caller->read(), testing::AllOf(StartsWith("HTTP/1.1 200"), testing::EndsWith("whole")));
    }
}

// Guards against hot keys that are missing from the report.
TEST_F(WorkerPoolTest, ReportsHotKeys)
{
    start();
    Connection caller(callerPort);
    for (int i = 0; i < 30; ++i) {
        const std::string key = i % 3 == 0 ? "cold-" + std::to_string(i) : "hot";
        caller.exchange(request("GET", "/v1/ledger/x", "Jasminespread-Key: " + key + "\r\n"));
    }
    const std::vector<wire::HotKeyReport> reports = pool->takeHotKeys();
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports[0].service(), "ledger");
    ASSERT_GT(reports[0].keys_size(), 1);
    EXPECT_EQ(reports[0].keys(0).key(), "hot");
    EXPECT_GT(reports[0].keys(0).requests_per_second(), 10 * reports[0].keys(1).requests_per_second());
}

} // namespace
} // namespace jasminespread
