#include "configuration_codec.h"
#include "ingress_codec.h"
#include "store_client.h"

#include "gateway/gateway_reducer.h"
#include "http/http_server.h"
#include "support/http_peer.h"
#include "support/leading_authority.h"
#include "support/mutation.h"

#include <jasminespread/backend_transports.h>

#include <glib.h>

#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <optional>
#include <string>
#include <thread>

// Feeds each reader of foreign input with seeded mutations of valid input. A failure names its seed.
namespace jasminespread {
namespace {

using namespace std::chrono_literals;
using test::Mutation;
namespace json = boost::json;

constexpr std::uint64_t seedCount = 400;

constexpr std::string_view serverSpec
    = R"({"service":"a","address":"10.0.0.9:80","zone":"z","version":"v1","slots":6,"state":"ready","warmupLeftMs":0,)"
      R"("sequence":4,"born":17})";

std::string storeObject(const std::string& name, std::string_view spec)
{
    return R"({"metadata":{"name":")" + name + R"(","rev":5},"spec":)" + std::string(spec) + "}";
}

std::string page(const std::string& odd)
{
    return R"({"items":[)" + storeObject("i-1", serverSpec) + "," + odd + "," + storeObject("i-3", serverSpec)
        + R"(],"hasMore":false,"atRev":9})";
}

std::string events(const std::string& odd)
{
    const std::string before = R"({"events":[{"deleted":false,"object":)" + storeObject("i-1", serverSpec);
    return before + R"(},{"deleted":false,"object":)" + odd + R"(},{"deleted":false,"object":)"
        + storeObject("i-3", serverSpec) + R"(}],"atRev":9})";
}

/// A store that answers every call with one body.
class AnsweringStore {
public:
    explicit AnsweringStore(std::string body)
        : m_client(m_transport, "10.0.0.1:80")
    {
        m_transport.send = [body = std::move(body)](const BackendRequest&, const BackendTransport::Callback& callback) {
            BackendResult result;
            result.progress = BackendProgress::Answered;
            result.status = 200;
            result.body = body;
            callback(std::move(result));
            return BackendTransport::Handle(1);
        };
    }

    platform::ObjectPage list()
    {
        platform::ObjectPage listed;
        m_client.list("servers", "", false, [&listed](const platform::ObjectPage& found) { listed = found; });
        return listed;
    }

    platform::ObjectChanges watch()
    {
        platform::ObjectChanges watched;
        m_client.watch("servers", 4, 1ms, [&watched](const platform::ObjectChanges& found) { watched = found; });
        return watched;
    }

private:
    BackendTransport m_transport;
    platform::StoreClient m_client;
};

bool isUsable(const platform::PlatformObject& object)
{
    return platform::decodeServer(object.name, object.spec, {}).has_value();
}

TEST(MutatedInputTest, OddEntriesLeaveTheirNeighboursInUse)
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        Mutation mutation(seed);
        const std::string odd = mutation.below(2) == 0 ? storeObject("i-2", mutation.oddJson()) : mutation.oddJson();
        const platform::ObjectPage listed = AnsweringStore(page(odd)).list();
        ASSERT_EQ(listed.status, StoreStatus::Ok) << "seed " << seed;
        EXPECT_TRUE(isUsable(listed.objects.front()) && isUsable(listed.objects.back())) << "seed " << seed;
        const platform::ObjectChanges watched = AnsweringStore(events(odd)).watch();
        ASSERT_EQ(watched.status, StoreStatus::Ok) << "seed " << seed;
        EXPECT_TRUE(isUsable(watched.changes.front().object)) << "seed " << seed;
        const auto passedOn = platform::decodeChanges(platform::encodeChanges(watched.changes));
        ASSERT_TRUE(passedOn) << "seed " << seed;
        EXPECT_TRUE(isUsable(passedOn->back().object)) << "seed " << seed;
    }
}

TEST(MutatedInputTest, AnswersOfTheStore)
{
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        Mutation mutation(seed);
        for (const platform::PlatformObject& object :
            AnsweringStore(mutation.apply(page(storeObject("i-2", serverSpec)))).list().objects) {
            (void)isUsable(object);
        }
        (void)AnsweringStore(mutation.apply(events(storeObject("i-2", serverSpec)))).watch();
        (void)platform::decodeChanges(mutation.apply("[" + storeObject("i-2", serverSpec) + "]"));
    }
}

/// Guards against a stored configuration that cannot be served although it was accepted.
TEST(MutatedInputTest, Configurations)
{
    const std::string valid = R"({"version":7,"routes":{"r":{"host":"a","pathPrefix":"/","kind":"idempotent",
        "timeoutMs":1200,"targetLatencyMs":800,"priority":1,"maxAttempts":2,
        "trafficSplit":[{"service":"a","weight":90},{"service":"b","weight":10}]}},
        "services":{"a":{"healthPath":"/h","maxConns":110,"warmS":2.0},"b":{"maxConns":110}},
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
    const std::optional<ServerRegistration> server = platform::decodeServer("i-1", json::parse(serverSpec), {});
    std::size_t accepted = 0;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        Mutation mutation(seed);
        const std::string text = mutation.below(4) == 0 ? mutation.apply(valid) : mutation.replaceNumber(valid);
        boost::system::error_code ec;
        const json::value spec = json::parse(text, ec);
        const Result<GatewayConfiguration> decoded = platform::decodeConfiguration(spec);
        if (ec || !decoded) {
            continue;
        }
        ++accepted;
        GatewayReducer reducer({"z", "west", {0.2, 10s, 100}}, seed);
        MonotonicTime now {1h};
        (void)reducer.reduce({now, GatewayConfigured {std::make_shared<const GatewayConfiguration>(*decoded)}});
        (void)reducer.reduce({now, ServersListed {std::make_shared<const ServerList>(ServerList {server->server})}});
        GatewayRequest request;
        request.host = "a";
        request.path = "/x/";
        (void)reducer.reduce({now, RequestReceived {1, request}});
        for (int i = 0; i < 20 && reducer.nextWake(); ++i) {
            now = std::max(now, *reducer.nextWake());
            (void)reducer.reduce({now, GatewayTick {}});
        }
        EXPECT_EQ(reducer.requestsInFlight(), 0U) << "seed " << seed;
    }
    EXPECT_GT(accepted, seedCount / 10);
}

/// Runs the main context until @p done.
template <typename Condition> bool runContextUntil(Condition done, Milliseconds limit = 5000ms)
{
    const MonotonicTime end = monotonicNow() + limit;
    while (!done() && monotonicNow() < end) {
        if (!g_main_context_iteration(nullptr, FALSE)) {
            std::this_thread::sleep_for(100us);
        }
    }
    return done();
}

/// Sends a request with @p id to a server, as the gateway does, and waits for the result.
BackendResult exchange(const BackendTransport& transport, const std::string& address, const std::string& id)
{
    GatewayRequest request;
    request.id = id;
    request.method = "GET";
    request.target = "/";
    request.headers = {{"Request-Id", id}};
    SendToServer send;
    send.server.address = address;
    send.deadline = monotonicNow() + 5s;
    send.request = std::make_shared<const GatewayRequest>(request);
    std::optional<BackendResult> received;
    transport.send(platform::encodeSend(send), [&](BackendResult result) { received = std::move(result); });
    EXPECT_TRUE(runContextUntil([&] { return received.has_value(); }));
    return received.value_or(BackendResult());
}

TEST(MutatedInputTest, AnswersOfServers)
{
    std::uint64_t seed = 0;
    bool mutates = false;
    test::TestBackend backend([&seed, &mutates](const std::string& request) {
        const std::string id = request.substr(request.find("Request-Id: ") + 12, 1);
        const std::string valid = test::TestBackend::answer("body " + id, "Request-Id: " + id + "\r\n");
        return mutates ? Mutation(seed).apply(valid) + "<cut>" : valid;
    });
    BackendTransport transport = makeBeastBackendTransport({100'000});
    for (seed = 1; seed <= seedCount; ++seed) {
        const int closed = backend.closedAfterCut();
        mutates = true;
        EXPECT_NE(exchange(transport, backend.address(), "1").progress, BackendProgress::NotSent) << "seed " << seed;
        // A mutation can leave the answer valid. A request sent on its connection while the server closes that one
        // gets no answer.
        ASSERT_TRUE(runContextUntil([&] { return backend.closedAfterCut() > closed; })) << "seed " << seed;
        mutates = false;
        EXPECT_EQ(exchange(transport, backend.address(), "2").body, "body 2") << "seed " << seed;
    }
}

/// An answer with random framing, status and statements, which may break off.
struct RandomAnswer {
    explicit RandomAnswer(std::uint64_t seed)
        : random(seed)
    {
        constexpr std::array<unsigned, 4> statuses {200, 421, 500, 503};
        constexpr std::array<const char*, 9> values {"1", "0", "11", " 1", "true", "", "2.5", "-3", "99999999999999"};
        status = statuses[random.below(statuses.size())];
        body = std::string(random.below(40), 'x') + "end";
        id = random.below(4) == 0 ? "7" : "1";
        std::string head = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
        const auto addField = [&](const std::string& name, const std::string& value) {
            if (random.below(2) == 0) {
                head += name + ": " + value + "\r\n";
            }
        };
        head += "Request-Id: " + id + "\r\n";
        addField("Response-Seal", "s");
        addField("Not-Executed", "1");
        leaving = values[random.below(values.size())];
        head += "Server-Leaving: " + leaving + "\r\n";
        addField("Retry-After", values[random.below(values.size())]);
        addField("Retry-After", values[random.below(values.size())]);
        text = random.below(4) == 0 ? "HTTP/1.1 100 Continue\r\n\r\n" : "";
        switch (random.below(3)) {
        case 0:
            text += head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            break;
        case 1:
            text += head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body);
            break;
        default:
            text += head + "\r\n" + body;
            endsWithConnection = true;
        }
        headEnd = text.size() - (endsWithConnection ? body.size() : 0);
        if (random.below(2) == 0) {
            cutAt = random.below(text.size());
        }
    }

    std::string chunked(const std::string& content)
    {
        std::string result;
        for (std::size_t at = 0; at < content.size();) {
            const std::size_t n = 1 + random.below(std::min<std::size_t>(9, content.size() - at));
            result += std::to_string(n) + "\r\n" + content.substr(at, n) + "\r\n";
            at += n;
        }
        return result + "0\r\n\r\n";
    }

    Mutation random;
    unsigned status = 0;
    std::string id; ///< Of the request that it answers.
    std::string body;
    std::string leaving; ///< Value of Server-Leaving.
    std::string text;
    bool endsWithConnection = false; ///< It has no length.
    std::size_t headEnd = 0; ///< Length of what must have arrived for an answer without a length.
    std::optional<std::size_t> cutAt; ///< The server closes the connection after as many bytes.
};

/// Guards against an incomplete body that counts as whole, the answer of another request, and statements that nobody
/// made. Seeds for longer runs: JASMINESPREAD_FUZZ_FIRST and JASMINESPREAD_FUZZ_COUNT.
TEST(MutatedInputTest, AnswersThatBreakOffOrStateOddThings)
{
    const char* first = std::getenv("JASMINESPREAD_FUZZ_FIRST");
    const char* count = std::getenv("JASMINESPREAD_FUZZ_COUNT");
    const std::uint64_t begin = first == nullptr ? 1 : std::stoull(first);
    const std::uint64_t end = begin + (count == nullptr ? seedCount : std::stoull(count));
    std::optional<RandomAnswer> answer;
    test::TestBackend backend([&answer](const std::string&) {
        return answer->text.substr(0, answer->cutAt.value_or(answer->text.size())) + "<cut>";
    });
    BackendTransport transport = makeBeastBackendTransport({100'000});
    for (std::uint64_t seed = begin; seed < end; ++seed) {
        answer.emplace(seed);
        const int closed = backend.closedAfterCut();
        BackendResult result = exchange(transport, backend.address(), "1");
        ASSERT_TRUE(runContextUntil([&] { return backend.closedAfterCut() > closed; })) << "seed " << seed;
        const bool isComplete = !answer->cutAt || (answer->endsWithConnection && *answer->cutAt >= answer->headEnd);
        const bool isOwn = answer->id == "1";
        ASSERT_EQ(result.progress, isComplete && isOwn ? BackendProgress::Answered : BackendProgress::Broken)
            << "seed " << seed << "\n"
            << answer->text;
        if (result.progress != BackendProgress::Answered) {
            EXPECT_TRUE(result.body.empty()) << "seed " << seed;
            continue;
        }
        EXPECT_EQ(result.status, answer->status) << "seed " << seed;
        EXPECT_EQ(result.body, answer->body.substr(0, result.body.size())) << "seed " << seed;
        EXPECT_TRUE(answer->endsWithConnection || result.body == answer->body) << "seed " << seed;
        const ServerAnswer decoded = platform::decodeServerAnswer(std::move(result));
        const bool mayState = decoded.verified && decoded.execution != Execution::NotOwner;
        // Spaces around a field's value do not belong to it.
        const bool states = answer->leaving == "1" || answer->leaving == " 1";
        EXPECT_EQ(decoded.statesLeaving, mayState && states) << "seed " << seed;
        if (decoded.requestedPause) {
            EXPECT_EQ(answer->status, 503U) << "seed " << seed;
            EXPECT_GT(*decoded.requestedPause, 0ms) << "seed " << seed;
            EXPECT_LE(*decoded.requestedPause, 1h) << "seed " << seed;
        }
    }
}

TEST(MutatedInputTest, RequestsOfCallers)
{
    const std::string valid = "POST /a?b HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nDeadline-Ms: 900\r\nShard-Key: 4\r\n"
                              "Content-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\nHost: a\r\nDeadline-Ms: 1\r\n\r\n";
    std::unique_ptr<HttpServer> server;
    std::size_t arrived = 0;
    server = std::make_unique<HttpServer>(HttpServerLimits(),
        HttpServer::Hooks {[&](std::uint64_t request, RawRequest&& raw) {
                               ++arrived;
                               const auto decoded = platform::decodeRequest(std::move(raw));
                               server->answer(request, {decoded.index() == 0 ? 200U : 400U, {}, ""});
                           },
            [](std::uint64_t) {}, {}, [](const RawRequest& raw) { return raw.method == "GET"; }});
    const std::uint16_t port = test::freePorts(1);
    ASSERT_TRUE(server->listen("127.0.0.1:" + std::to_string(port)));
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        {
            const test::Connection caller(port);
            caller.write(Mutation(seed).apply(valid));
            for (int i = 0; i < 3; ++i) {
                g_main_context_iteration(nullptr, FALSE);
            }
        }
        arrived = 0;
        const test::Connection caller(port);
        caller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        EXPECT_TRUE(runContextUntil([&] { return arrived > 0; })) << "seed " << seed;
    }
    EXPECT_TRUE(runContextUntil([&] { return server->pending() == 0; }));
}

TEST(MutatedInputTest, MessagesOfOtherInstances)
{
    std::vector<std::string> valid;
    {
        test::LeadingAuthority leader;
        leader.listServers(3);
        leader.run(2000ms);
        leader.report(2);
        leader.run(500ms);
        for (const wire::Envelope& message : leader.messages) {
            valid.push_back(message.SerializeAsString());
        }
    }
    wire::Envelope report;
    report.mutable_instance_report()->set_address("10.0.0.2:7200");
    report.mutable_instance_report()->add_tables()->set_service(test::LeadingAuthority::service);
    valid.push_back(report.SerializeAsString());
    wire::Envelope change;
    change.mutable_range_leader_change()->set_term(2);
    change.mutable_range_leader_change()->mutable_leader()->set_id("edge-3");
    change.mutable_range_leader_change()->set_address("10.0.0.3:7200");
    valid.push_back(change.SerializeAsString());
    ASSERT_GT(valid.size(), 2U);
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        Mutation mutation(seed);
        test::LeadingAuthority instance;
        instance.listServers(3);
        if (mutation.below(2) == 0) {
            instance.run(2000ms);
        }
        for (int i = 0; i < 4; ++i) {
            wire::Envelope envelope;
            if (envelope.ParseFromString(mutation.apply(valid[mutation.below(valid.size())]))) {
                envelope.mutable_sender()->set_id("edge-" + std::to_string(2 + i));
                envelope.mutable_sender()->set_incarnation(2);
                instance.reduce(RangePeerMessage {std::move(envelope)});
            }
            instance.run(100ms);
        }
    }
}

} // namespace
} // namespace jasminespread
