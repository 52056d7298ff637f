#include "support/gateway_reducer_fixture.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <set>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

/// Guards against traffic to another region while a near server is free.
TEST_F(GatewayReducerTest, ChoosesTheNearServer)
{
    const GatewayEffects effects = sendRequest(1, "/read/x");
    ASSERT_NE(find<SendToServer>(effects), nullptr);
    EXPECT_EQ(find<SendToServer>(effects)->server.identity.id, "near");
    EXPECT_EQ(find<SendToServer>(effects)->timeLeft, 800ms);
}

/// An instance that has started at m_now and knows neither routes nor servers yet.
class StartingGatewayTest : public GatewayReducerTest {
protected:
    StartingGatewayTest() { (void)m_fresh.reduce({m_now, GatewayTick {}}); }

    GatewayEffects arrive(std::uint64_t caller, Milliseconds timeLeft)
    {
        GatewayRequest request;
        request.host = "a.example";
        request.method = "GET";
        request.path = "/read/x";
        request.timeLeft = timeLeft;
        return m_fresh.reduce({m_now, RequestReceived {caller, request}});
    }

    static void expectRefusal(const GatewayEffects& effects)
    {
        ASSERT_NE(find<AnswerRequest>(effects), nullptr);
        EXPECT_EQ(find<AnswerRequest>(effects)->status, 503U);
        EXPECT_GT(find<AnswerRequest>(effects)->retryAfter, 0ms);
        EXPECT_EQ(find<SendToServer>(effects), nullptr);
    }

    GatewayReducer m_fresh {{"domain-a", "west", {}}, 1};
};

/// Guards against status 404 from an instance that has not loaded its routes yet, and against waits for a configuration
/// that does not come.
TEST_F(StartingGatewayTest, Answers503WithoutConfiguration)
{
    EXPECT_EQ(find<AnswerRequest>(arrive(1, 800ms)), nullptr);
    EXPECT_EQ(m_fresh.nextWake(), m_now + 300ms);
    m_now += 300ms;
    expectRefusal(m_fresh.reduce({m_now, GatewayTick {}}));
    expectRefusal(arrive(2, 800ms));
    EXPECT_EQ(m_fresh.requestsInFlight(), 0U);
}

/// Guards against refusals in the tenths of a second that an instance needs to load routes and servers.
TEST_F(StartingGatewayTest, ServesRequestsThatArrivedWhileItLoads)
{
    (void)arrive(1, 800ms);
    (void)arrive(2, 800ms);
    (void)m_fresh.reduce({m_now, CallerDisconnected {2}});
    m_now += 60ms;
    auto configuration = std::make_shared<GatewayConfiguration>();
    configuration->version = 5;
    configuration->services["ledger"] = GatewayService {"ledger", "/health", 100, false, 0ms};
    configuration->routes.push_back(route("read", "/read/", "ledger", Repeatability::Idempotent, 2));
    EXPECT_TRUE(m_fresh.reduce({m_now, GatewayConfigured {configuration}}).empty());
    m_now += 40ms;
    const GatewayEffects effects = m_fresh.reduce(
        {m_now, ServersListed {std::make_shared<const ServerList>(ServerList {server("near", "domain-a", "west")})}});
    ASSERT_NE(find<SendToServer>(effects), nullptr);
    EXPECT_EQ(find<SendToServer>(effects)->caller, 1U);
    EXPECT_EQ(find<SendToServer>(effects)->timeLeft, 700ms);
    EXPECT_EQ(m_fresh.requestsInFlight(), 1U);
}

/// Guards against a wait that leaves the caller no time.
TEST_F(StartingGatewayTest, RefusesARequestThatCannotWaitForTheLoad) { expectRefusal(arrive(1, 300ms)); }

TEST_F(GatewayReducerTest, Answers404WithoutRoute)
{
    EXPECT_EQ(find<AnswerRequest>(sendRequest(1, "/other/"))->status, 404U);
}

/// Guards against executing a non-idempotent request twice: after the connection broke it may have run.
TEST_F(GatewayReducerTest, DoesNotRetryANonIdempotentRequestThatMayHaveRun)
{
    const GatewayEffects sent = sendRequest(1, "/order/x");
    const GatewayEffects effects
        = apply(SendFailed {find<SendToServer>(sent)->dispatch, SendFailure::MayHaveRun, "reset"});
    EXPECT_EQ(find<SendToServer>(effects), nullptr);
    ASSERT_NE(find<AnswerRequest>(effects), nullptr);
    EXPECT_EQ(find<AnswerRequest>(effects)->status, 502U);
}

/// Guards against failing a non-idempotent request that certainly did not run.
TEST_F(GatewayReducerTest, RetriesANonIdempotentRequestThatWasNotSent)
{
    const GatewayEffects sent = sendRequest(1, "/order/x");
    const GatewayEffects unsent
        = apply(SendFailed {find<SendToServer>(sent)->dispatch, SendFailure::NotSent, "refused"});
    ASSERT_NE(find<SendToServer>(unsent), nullptr);
    EXPECT_EQ(find<SendToServer>(unsent)->server.identity.id, "far");
    const GatewayEffects done = apply(ServerAnswered {find<SendToServer>(unsent)->dispatch, answer(200)});
    EXPECT_EQ(find<AnswerRequest>(done)->status, 200U);
}

/// Guards against reporting "not run" for an idempotent request whose first attempt may have run.
TEST_F(GatewayReducerTest, DoesNotReportNotRunAfterABrokenConnection)
{
    const GatewayEffects first = sendRequest(1, "/read/x");
    const GatewayEffects second
        = apply(SendFailed {find<SendToServer>(first)->dispatch, SendFailure::MayHaveRun, "reset"});
    ASSERT_NE(find<SendToServer>(second), nullptr);
    const GatewayEffects refused
        = apply(ServerAnswered {find<SendToServer>(second)->dispatch, answer(503, Execution::NotRun)});
    ASSERT_NE(find<AnswerRequest>(refused), nullptr);
    EXPECT_EQ(find<AnswerRequest>(refused)->origin, AnswerOrigin::Failure);
    EXPECT_EQ(find<AnswerRequest>(refused)->status, 502U);
}

/// Guards against more attempts than the route allows.
TEST_F(GatewayReducerTest, RespectsMaxAttempts)
{
    configure(2, 1);
    const GatewayEffects sent = sendRequest(1, "/read/x");
    const GatewayEffects effects
        = apply(ServerAnswered {find<SendToServer>(sent)->dispatch, answer(503, Execution::NotRun)});
    EXPECT_EQ(find<SendToServer>(effects), nullptr);
    ASSERT_NE(find<AnswerRequest>(effects), nullptr);
    EXPECT_EQ(find<AnswerRequest>(effects)->origin, AnswerOrigin::Refusal);
}

/// Guards against delivering a success that did not come from a backend server.
TEST_F(GatewayReducerTest, DoesNotDeliverAnUnverifiedSuccess)
{
    configure(2, 1);
    const GatewayEffects sent = sendRequest(1, "/read/x");
    ServerAnswer unverified = answer(200);
    unverified.verified = false;
    const GatewayEffects effects = apply(ServerAnswered {find<SendToServer>(sent)->dispatch, unverified});
    EXPECT_EQ(find<AnswerRequest>(effects)->status, 502U);
}

/// Guards against replacing a server's own failure by one of the gateway.
TEST_F(GatewayReducerTest, ReturnsAServerFailureUnchanged)
{
    const GatewayEffects sent = sendRequest(1, "/order/x");
    const GatewayEffects effects = apply(ServerAnswered {find<SendToServer>(sent)->dispatch, answer(500)});
    ASSERT_NE(find<AnswerRequest>(effects), nullptr);
    EXPECT_EQ(find<AnswerRequest>(effects)->origin, AnswerOrigin::Server);
    EXPECT_EQ(find<AnswerRequest>(effects)->body, "whole");
}

/// Guards against passing on the status of a server that executed the request as a promise that it did not.
TEST_F(GatewayReducerTest, AStatusThatPromisesNotRunNeedsTheServersStatement)
{
    std::uint64_t caller = 0;
    for (const unsigned status : {408U, 429U, 503U}) {
        const GatewayEffects sent = sendRequest(++caller, "/order/x");
        ServerAnswer executed = answer(status);
        executed.headers = {{"Response-Seal", "s"}};
        const GatewayEffects effects = apply(ServerAnswered {find<SendToServer>(sent)->dispatch, executed});
        EXPECT_EQ(find<SendToServer>(effects), nullptr) << status;
        ASSERT_NE(find<AnswerRequest>(effects), nullptr) << status;
        EXPECT_EQ(find<AnswerRequest>(effects)->origin, AnswerOrigin::Failure) << status;
        EXPECT_EQ(find<AnswerRequest>(effects)->status, 502U) << status;
        EXPECT_TRUE(find<AnswerRequest>(effects)->headers.empty()) << status;
    }
}

/// Guards against taking such an answer for a success: it would not be tried again, nor count against its server.
TEST_F(GatewayReducerTest, AnUnprovenPromiseIsTriedAgainWhereThatIsAllowed)
{
    for (const unsigned status : {408U, 429U, 503U}) {
        const GatewayEffects first = sendRequest(status, "/read/x");
        const GatewayEffects second = apply(ServerAnswered {find<SendToServer>(first)->dispatch, answer(status)});
        ASSERT_NE(find<SendToServer>(second), nullptr) << status;
        const GatewayEffects done = apply(ServerAnswered {find<SendToServer>(second)->dispatch, answer(200)});
        EXPECT_EQ(find<AnswerRequest>(done)->status, 200U) << status;
    }
}

/// Guards against a failure of requests that no server has executed.
TEST_F(GatewayReducerTest, ARequestThatAllServersProvablyRefusedIsRefused)
{
    for (const auto& [status, execution] : {std::pair(503U, Execution::NotRun), std::pair(421U, Execution::NotOwner)}) {
        const GatewayEffects first = sendRequest(status, "/order/x");
        const GatewayEffects second
            = apply(ServerAnswered {find<SendToServer>(first)->dispatch, answer(status, execution)});
        ASSERT_NE(find<SendToServer>(second), nullptr) << status;
        const GatewayEffects refused
            = apply(ServerAnswered {find<SendToServer>(second)->dispatch, answer(status, execution)});
        ASSERT_NE(find<AnswerRequest>(refused), nullptr) << status;
        EXPECT_EQ(find<AnswerRequest>(refused)->origin, AnswerOrigin::Refusal) << status;
        EXPECT_EQ(find<AnswerRequest>(refused)->status, 503U) << status;
        m_now += 5s;
    }
}

/// Guards against passing on a promise for an idempotent request that another server may have executed before.
TEST_F(GatewayReducerTest, AnUnprovenPromiseOfTheLastServerIsNotPassedOn)
{
    const GatewayEffects first = sendRequest(1, "/read/x");
    const GatewayEffects second = apply(ServerAnswered {find<SendToServer>(first)->dispatch, answer(503)});
    ASSERT_NE(find<SendToServer>(second), nullptr);
    const GatewayEffects effects
        = apply(ServerAnswered {find<SendToServer>(second)->dispatch, answer(503, Execution::NotRun)});
    ASSERT_NE(find<AnswerRequest>(effects), nullptr);
    EXPECT_EQ(find<AnswerRequest>(effects)->status, 502U);
}

/// Guards against the same when attempts are left and no other server is.
TEST_F(GatewayReducerTest, ReturnsAServerFailureUnchangedWhenNoServerIsLeft)
{
    configure(2, 3);
    const GatewayEffects first = sendRequest(1, "/read/x");
    const GatewayEffects second = apply(ServerAnswered {find<SendToServer>(first)->dispatch, answer(500)});
    ASSERT_NE(find<SendToServer>(second), nullptr);
    const GatewayEffects last = apply(ServerAnswered {find<SendToServer>(second)->dispatch, answer(504)});
    ASSERT_NE(find<AnswerRequest>(last), nullptr);
    EXPECT_EQ(find<AnswerRequest>(last)->origin, AnswerOrigin::Server);
    EXPECT_EQ(find<AnswerRequest>(last)->status, 504U);
}

/// Guards against unneeded work after a caller has disconnected, and against cancelling a non-idempotent request
/// halfway.
TEST_F(GatewayReducerTest, CancelsIdempotentRequestsOfADisconnectedCaller)
{
    const GatewayEffects read = sendRequest(1, "/read/x");
    EXPECT_NE(find<CancelSend>(apply(CallerDisconnected {1})), nullptr);
    const GatewayEffects nonIdempotent = sendRequest(2, "/order/x");
    EXPECT_EQ(find<CancelSend>(apply(CallerDisconnected {2})), nullptr);
    const GatewayEffects done = apply(ServerAnswered {find<SendToServer>(nonIdempotent)->dispatch, answer(200)});
    EXPECT_EQ(find<AnswerRequest>(done), nullptr);
    EXPECT_EQ(m_reducer.requestsInFlight(), 0U);
}

/// Guards against work for a caller that left while its non-idempotent request waited for a connection.
TEST_F(GatewayReducerTest, ARequestThatWaitsForAConnectionIsNotSentAfterItsCallerLeft)
{
    const GatewayEffects sent = sendRequest(1, "/order/x");
    const std::uint64_t dispatch = find<SendToServer>(sent)->dispatch;
    EXPECT_TRUE(m_reducer.maySend(dispatch, m_now));
    (void)apply(CallerDisconnected {1});
    EXPECT_FALSE(m_reducer.maySend(dispatch, m_now));
    (void)apply(SendFailed {dispatch, SendFailure::Withheld, ""});
    EXPECT_EQ(m_reducer.requestsInFlight(), 0U);
}

/// Guards against retrying a withheld send, or counting it as a failure of its server.
TEST_F(GatewayReducerTest, EndsARequestWhoseSendWasWithheld)
{
    const GatewayEffects disconnected
        = apply(SendFailed {find<SendToServer>(sendRequest(1, "/read/x"))->dispatch, SendFailure::CallerLeft, ""});
    EXPECT_EQ(find<SendToServer>(disconnected), nullptr);
    EXPECT_EQ(m_reducer.requestsInFlight(), 0U);
    const GatewayEffects sent = sendRequest(2, "/read/x");
    m_now += 800ms;
    const GatewayEffects late = apply(SendFailed {find<SendToServer>(sent)->dispatch, SendFailure::Withheld, ""});
    ASSERT_NE(find<AnswerRequest>(late), nullptr);
    EXPECT_EQ(find<AnswerRequest>(late)->status, 503U);
    m_now += 1ms;
    EXPECT_EQ(
        find<SendToServer>(sendRequest(3, "/read/x"))->server.identity, find<SendToServer>(sent)->server.identity);
}

/// Guards against a caller that gets no answer by its deadline.
TEST_F(GatewayReducerTest, AnswersAtTheDeadline)
{
    (void)sendRequest(1, "/order/x");
    m_now += 801ms;
    const GatewayEffects effects = apply(GatewayTick {});
    ASSERT_NE(find<AnswerRequest>(effects), nullptr);
    EXPECT_EQ(find<AnswerRequest>(effects)->status, 504U);
    EXPECT_NE(find<CancelSend>(effects), nullptr);
}

/// Guards against a late, older configuration replacing the current one.
TEST_F(GatewayReducerTest, IgnoresAnOlderConfiguration)
{
    configure(5, 2);
    auto older = std::make_shared<GatewayConfiguration>();
    older->version = 4;
    (void)apply(GatewayConfigured {older});
    EXPECT_NE(find<SendToServer>(sendRequest(1, "/read/x")), nullptr);
}

/// Guards against new requests to a server that is shutting down.
TEST_F(GatewayReducerTest, SendsNothingToADrainingServer)
{
    ListedServer draining = server("near", "domain-a", "west");
    draining.state = ListedServerState::Draining;
    list({draining, server("far", "domain-c", "east")});
    EXPECT_EQ(find<SendToServer>(sendRequest(1, "/read/x"))->server.identity.id, "far");
}

/// Guards against using servers with expired entries beside listed ones, and against using none at all.
TEST_F(GatewayReducerTest, UsesMissingServersOnlyWithoutOthers)
{
    ListedServer missing = server("near", "domain-a", "west");
    missing.state = ListedServerState::Missing;
    list({missing, server("far", "domain-c", "east")});
    EXPECT_EQ(find<SendToServer>(sendRequest(1, "/read/x"))->server.identity.id, "far");
    list({missing});
    EXPECT_EQ(find<SendToServer>(sendRequest(2, "/read/x"))->server.identity.id, "near");
}

/// Requests for keys of the service "planner".
class KeyedGatewayTest : public GatewayReducerTest {
protected:
    KeyedGatewayTest()
    {
        listOwner(ListedServerState::Ready);
        routeTo({"owner", 1}, 1);
    }

    void listOwner(ListedServerState state, std::optional<Milliseconds> maxChangeAge = 0ms)
    {
        ListedServer owner = server("owner", "domain-a", "west");
        owner.service = "planner";
        owner.state = state;
        list({owner}, maxChangeAge);
    }

    GatewayEffects routeTo(const ServerIdentity& identity, std::uint64_t version)
    {
        auto table = std::make_shared<RangeTable>();
        table->service = "planner";
        table->term = 1;
        table->version = version;
        table->routes.push_back({{0, maxKey}, identity, "10.0.0.1:80"});
        return apply(RangeTableChanged {table});
    }
};

TEST_F(KeyedGatewayTest, SendsToTheOwner)
{
    const GatewayEffects effects = sendRequest(1, "/plan/x", 42);
    EXPECT_EQ(find<SendToServer>(effects)->server.identity.id, "owner");
    EXPECT_EQ(find<CountKey>(effects)->key, 42U);
}

/// Guards against refusing a request while its key moves: it waits and goes to the new owner.
TEST_F(KeyedGatewayTest, WaitsWhileTheKeyMoves)
{
    (void)routeTo({}, 2);
    EXPECT_EQ(find<SendToServer>(sendRequest(1, "/plan/x", 42)), nullptr);
    m_now += 50ms;
    EXPECT_NE(find<SendToServer>(routeTo({"owner", 1}, 3)), nullptr);
}

/// Guards against holding a request up to its deadline: without an owner it is refused with a Retry-After.
TEST_F(KeyedGatewayTest, RefusesWhenTheKeyStaysWithoutOwner)
{
    (void)routeTo({}, 2);
    (void)sendRequest(1, "/plan/x", 42);
    GatewayEffects effects;
    for (int i = 0; i < 10 && find<AnswerRequest>(effects) == nullptr; ++i) {
        m_now += 60ms;
        effects = apply(GatewayTick {});
    }
    ASSERT_NE(find<AnswerRequest>(effects), nullptr);
    EXPECT_EQ(find<AnswerRequest>(effects)->origin, AnswerOrigin::Refusal);
    EXPECT_GT(find<AnswerRequest>(effects)->retryAfter, 0ms);
}

/// Guards against requests to a restarted owner, which owns no keys of its earlier run.
TEST_F(KeyedGatewayTest, SendsNothingToARestartedOwner)
{
    (void)routeTo({"owner", 0}, 2);
    EXPECT_EQ(find<SendToServer>(sendRequest(1, "/plan/x", 42)), nullptr);
}

/// Guards against requests to an owner that has been draining for long, when the move of its keys is late.
TEST_F(KeyedGatewayTest, StopsSendingToADrainingOwner)
{
    listOwner(ListedServerState::Draining, 800ms);
    m_now += 500ms;
    EXPECT_NE(find<SendToServer>(sendRequest(1, "/plan/x", 42)), nullptr);
    m_now += 600ms;
    EXPECT_EQ(find<SendToServer>(sendRequest(2, "/plan/x", 42)), nullptr);
}

/// Guards against a send that was decided in time, waited for a connection and would arrive after the drain time.
TEST_F(KeyedGatewayTest, ARequestThatWaitedTooLongForADrainingOwnerIsWithheld)
{
    listOwner(ListedServerState::Draining, 1600ms);
    const GatewayEffects sent = sendRequest(1, "/plan/x", 42);
    ASSERT_NE(find<SendToServer>(sent), nullptr);
    const std::uint64_t dispatch = find<SendToServer>(sent)->dispatch;
    EXPECT_TRUE(m_reducer.maySend(dispatch, m_now + 100ms));
    m_now += 200ms;
    EXPECT_FALSE(m_reducer.maySend(dispatch, m_now));
    const GatewayEffects withheld = apply(SendFailed {dispatch, SendFailure::Withheld, ""});
    EXPECT_EQ(find<SendToServer>(withheld), nullptr);
    // It waits for the next owner as one that arrives now does.
    m_now += 50ms;
    ListedServer next = server("next", "domain-a", "west");
    next.service = "planner";
    list({next});
    EXPECT_NE(find<SendToServer>(routeTo({"next", 1}, 2)), nullptr);
}

/// Guards against work for a leaving server that was chosen before it left and got its connection afterwards.
TEST_F(GatewayReducerTest, ARequestThatWaitedWhileItsServerBeganToDrainGoesToAnother)
{
    const GatewayEffects sent = sendRequest(1, "/order/x");
    ASSERT_EQ(find<SendToServer>(sent)->server.identity.id, "near");
    ListedServer draining = server("near", "domain-a", "west");
    draining.state = ListedServerState::Draining;
    list({draining, server("far", "domain-c", "east")});
    const std::uint64_t dispatch = find<SendToServer>(sent)->dispatch;
    EXPECT_FALSE(m_reducer.maySend(dispatch, m_now));
    const GatewayEffects again = apply(SendFailed {dispatch, SendFailure::Withheld, ""});
    ASSERT_NE(find<SendToServer>(again), nullptr);
    EXPECT_EQ(find<SendToServer>(again)->server.identity.id, "far");
}

/// Guards against requests in flight of a server's earlier run that are subtracted from those of its next run.
TEST_F(GatewayReducerTest, ARestartUnderTheSameIdKeepsTheCountOfRequestsInFlight)
{
    const GatewayEffects sent = sendRequest(1, "/read/x");
    ASSERT_EQ(find<SendToServer>(sent)->server.identity.id, "near");
    ListedServer restarted = server("near", "domain-a", "west");
    restarted.identity.startedAtUnixMs = 2;
    list({restarted});
    (void)apply(SendFailed {find<SendToServer>(sent)->dispatch, SendFailure::MayHaveRun, "reset"});
    for (const ObservedSpeed& speed : m_reducer.takeSpeeds()) {
        EXPECT_LE(speed.inFlight, 1U) << speed.server;
    }
    EXPECT_NE(find<SendToServer>(sendRequest(2, "/read/x")), nullptr);
}

/// Guards against a server that is used again although it has left: a list lacks it and a later one has it as ready.
TEST_F(KeyedGatewayTest, AnOwnerThatWasDrainingBeforeItWasUnlistedKeepsItsDrainTime)
{
    listOwner(ListedServerState::Draining, 500ms);
    m_now += 1s;
    list({});
    m_now += 1s;
    listOwner(ListedServerState::Draining);
    EXPECT_EQ(find<SendToServer>(sendRequest(1, "/plan/x", 42)), nullptr);
}

/// Guards against a range table of an earlier leader replacing a newer one.
TEST_F(KeyedGatewayTest, IgnoresAnOlderRangeTable)
{
    (void)routeTo({"owner", 1}, 5);
    (void)routeTo({}, 4);
    EXPECT_NE(find<SendToServer>(sendRequest(1, "/plan/x", 42)), nullptr);
}

/// Guards against a second copy of the first refusal answering the request while the owner runs it: both carry its id.
TEST_F(KeyedGatewayTest, ARequestThatTheOwnerRefusedIsRepeatedOnANewConnection)
{
    const GatewayEffects first = sendRequest(1, "/plan/x", 42);
    EXPECT_FALSE(find<SendToServer>(first)->repeated);
    const GatewayEffects second
        = apply(ServerAnswered {find<SendToServer>(first)->dispatch, answer(503, Execution::NotRun)});
    ASSERT_NE(find<SendToServer>(second), nullptr);
    EXPECT_EQ(find<SendToServer>(second)->server.identity.id, "owner");
    EXPECT_TRUE(find<SendToServer>(second)->repeated);
}

/// What servers state of themselves in their answers.
class ServerStatementTest : public KeyedGatewayTest {
protected:
    ServerStatementTest() { listAll(); }

    /// Two pooled servers and the owner of all keys, all ready.
    void listAll()
    {
        ListedServer owner = server("owner", "domain-a", "west");
        owner.service = "planner";
        list({server("near", "domain-a", "west"), server("far", "domain-c", "east"), owner});
    }

    static ServerAnswer leavingAnswer()
    {
        ServerAnswer leaving = answer(200);
        leaving.statesLeaving = true;
        return leaving;
    }

    static ServerAnswer refusalWithPause(Milliseconds pause)
    {
        ServerAnswer refusal = answer(503, Execution::NotRun);
        refusal.requestedPause = pause;
        return refusal;
    }

    /// Server that a new request goes to; empty: none.
    std::string serverOf(std::uint64_t caller, const std::string& path, std::optional<std::uint16_t> key = std::nullopt)
    {
        const GatewayEffects effects = sendRequest(caller, path, key);
        const SendToServer* sent = find<SendToServer>(effects);
        return sent == nullptr ? "" : sent->server.identity.id;
    }

    /// Sends a request and answers it with @p answer; returns the effects of the answer.
    GatewayEffects exchange(std::uint64_t caller, const std::string& path, ServerAnswer answer,
        std::optional<std::uint16_t> key = std::nullopt)
    {
        const GatewayEffects effects = sendRequest(caller, path, key);
        return apply(ServerAnswered {find<SendToServer>(effects)->dispatch, std::move(answer)});
    }
};

/// Guards against new work for a server that has said itself that it leaves while every list has it as ready.
TEST_F(ServerStatementTest, AServerThatStatesThatItLeavesGetsNoNewWork)
{
    const GatewayEffects earlier = sendRequest(1, "/order/x");
    const GatewayEffects effects = exchange(2, "/read/x", leavingAnswer());
    EXPECT_EQ(find<AnswerRequest>(effects)->status, 200U);
    ASSERT_NE(find<RecordServerStatement>(effects), nullptr);
    EXPECT_EQ(find<RecordServerStatement>(effects)->server.id, "near");
    EXPECT_EQ(serverOf(3, "/read/x"), "far");
    EXPECT_THAT(m_reducer.leavingServers(), testing::ElementsAre(ServerIdentity {"near", 1}));
    listAll();
    EXPECT_EQ(serverOf(4, "/read/x"), "far");
    list({});
    listAll();
    EXPECT_EQ(serverOf(5, "/read/x"), "far");
    // A request that was sent before is let finish.
    EXPECT_EQ(find<CancelSend>(effects), nullptr);
    EXPECT_EQ(
        find<AnswerRequest>(apply(ServerAnswered {find<SendToServer>(earlier)->dispatch, leavingAnswer()}))->status,
        200U);
}

/// Guards against a statement of an earlier run that stops requests to the server after it has started again.
TEST_F(ServerStatementTest, ARestartUnderTheSameIdEndsWhatTheServerStated)
{
    const GatewayEffects earlier = sendRequest(1, "/order/x");
    (void)exchange(2, "/read/x", leavingAnswer());
    ListedServer restarted = server("near", "domain-a", "west");
    restarted.identity.startedAtUnixMs = 2;
    list({restarted, server("far", "domain-c", "east")});
    EXPECT_EQ(serverOf(3, "/read/x"), "near");
    EXPECT_TRUE(m_reducer.leavingServers().empty());
    (void)apply(ServerAnswered {find<SendToServer>(earlier)->dispatch, leavingAnswer()});
    EXPECT_EQ(serverOf(4, "/read/x"), "near");
}

/// Guards against requests to a leaving owner later than the drain time after it said so, with the store away.
TEST_F(ServerStatementTest, AnOwnerThatStatesThatItLeavesServesOnWithinTheDrainTime)
{
    (void)exchange(1, "/plan/x", leavingAnswer(), 42);
    m_now += 1500ms;
    EXPECT_EQ(serverOf(2, "/plan/x", 42), "owner");
    m_now += 500ms;
    EXPECT_EQ(serverOf(3, "/plan/x", 42), "");
}

/// Guards against requests to a server in the time for which it wants none: they go elsewhere.
TEST_F(ServerStatementTest, ARefusedRequestGoesElsewhereDuringThePause)
{
    const GatewayEffects effects = exchange(1, "/order/x", refusalWithPause(2s));
    ASSERT_NE(find<SendToServer>(effects), nullptr);
    EXPECT_EQ(find<SendToServer>(effects)->server.identity.id, "far");
    for (std::uint64_t caller = 2; caller < 20; ++caller) {
        const GatewayEffects sent = sendRequest(caller, "/read/x");
        ASSERT_NE(find<SendToServer>(sent), nullptr);
        EXPECT_EQ(find<SendToServer>(sent)->server.identity.id, "far");
        (void)apply(ServerAnswered {find<SendToServer>(sent)->dispatch, answer(200)});
        m_now += 100ms;
    }
}

/// Guards against waiting for a pause, or a return of all callers at once, when every server of a service pauses.
TEST_F(ServerStatementTest, WhenAllServersPauseRequestsAreRefusedUntilAfterThePause)
{
    const GatewayEffects first = exchange(1, "/order/x", refusalWithPause(2s));
    const GatewayEffects second = apply(ServerAnswered {find<SendToServer>(first)->dispatch, refusalWithPause(3s)});
    ASSERT_NE(find<AnswerRequest>(second), nullptr);
    EXPECT_EQ(find<AnswerRequest>(second)->origin, AnswerOrigin::Refusal);
    std::set<Milliseconds> retryTimes;
    for (std::uint64_t caller = 2; caller < 12; ++caller) {
        const GatewayEffects effects = sendRequest(caller, "/read/x");
        ASSERT_NE(find<AnswerRequest>(effects), nullptr);
        EXPECT_EQ(find<AnswerRequest>(effects)->status, 503U);
        EXPECT_GE(find<AnswerRequest>(effects)->retryAfter, 2s);
        retryTimes.insert(find<AnswerRequest>(effects)->retryAfter);
    }
    EXPECT_GT(retryTimes.size(), 5U);
}

/// Guards against more than one request at a time to a server whose pause has just ended.
TEST_F(ServerStatementTest, AfterThePauseOneRequestGoesFirst)
{
    (void)exchange(1, "/read/x", refusalWithPause(1s));
    m_now += 1300ms;
    const GatewayEffects first = sendRequest(2, "/read/x");
    ASSERT_EQ(find<SendToServer>(first)->server.identity.id, "near");
    EXPECT_EQ(serverOf(3, "/read/x"), "far");
    (void)apply(ServerAnswered {find<SendToServer>(first)->dispatch, answer(200)});
    EXPECT_EQ(serverOf(4, "/read/x"), "near");
}

/// Guards against refusing a request for a key whose owner takes it again in time, and against sending it earlier.
TEST_F(ServerStatementTest, ARequestForAKeyWaitsForAShortPauseOfItsOwner)
{
    const GatewayEffects refused = exchange(1, "/plan/x", refusalWithPause(200ms), 42);
    EXPECT_EQ(find<SendToServer>(refused), nullptr);
    EXPECT_EQ(find<AnswerRequest>(refused), nullptr);
    m_now += 190ms;
    EXPECT_EQ(find<SendToServer>(apply(GatewayTick {})), nullptr);
    m_now += 60ms;
    const GatewayEffects sent = apply(GatewayTick {});
    ASSERT_NE(find<SendToServer>(sent), nullptr);
    EXPECT_EQ(find<SendToServer>(sent)->server.identity.id, "owner");
}

/// Guards against holding requests that the owner cannot take in time, and more than it can take after the pause.
TEST_F(ServerStatementTest, RequestsForAKeyAreRefusedAtOnceWhenThePauseIsTooLongOrTooManyWait)
{
    (void)exchange(1, "/plan/x", refusalWithPause(200ms), 42);
    unsigned refused = 0;
    for (std::uint64_t caller = 2; caller < 12; ++caller) {
        const GatewayEffects effects = sendRequest(caller, "/plan/x", 42);
        EXPECT_EQ(find<SendToServer>(effects), nullptr);
        refused += find<AnswerRequest>(effects) == nullptr ? 0 : 1;
    }
    EXPECT_EQ(refused, 5U); // Six wait, as many as the owner has slots.
    (void)apply(CallerDisconnected {2});
    EXPECT_EQ(find<AnswerRequest>(sendRequest(12, "/plan/x", 42)), nullptr);
    m_now += 300ms;
    const GatewayEffects first = apply(GatewayTick {});
    ASSERT_NE(find<SendToServer>(first), nullptr);
    const GatewayEffects longer = apply(ServerAnswered {find<SendToServer>(first)->dispatch, refusalWithPause(5s)});
    EXPECT_EQ(find<SendToServer>(longer), nullptr);
    const GatewayEffects late = sendRequest(13, "/plan/x", 42);
    ASSERT_NE(find<AnswerRequest>(late), nullptr);
    EXPECT_GE(find<AnswerRequest>(late)->retryAfter, 5s);
}

/// Guards against giving a server more time than is left for a request that waited behind others of its connection.
TEST_F(GatewayReducerTest, TheTimeOfARequestCountsFromItsArrival)
{
    GatewayRequest request;
    request.id = "r1";
    request.host = "a.example";
    request.path = "/order/x";
    request.timeLeft = 800ms;
    request.arrivedAt = m_now - 500ms;
    const GatewayEffects sent = apply(RequestReceived {1, request});
    ASSERT_NE(find<SendToServer>(sent), nullptr);
    EXPECT_EQ(find<SendToServer>(sent)->timeLeft, 300ms);
    request.arrivedAt = m_now - 900ms;
    const GatewayEffects refused = apply(RequestReceived {2, request});
    EXPECT_EQ(find<SendToServer>(refused), nullptr);
    ASSERT_NE(find<AnswerRequest>(refused), nullptr);
    EXPECT_EQ(find<AnswerRequest>(refused)->origin, AnswerOrigin::Refusal);
}

} // namespace
} // namespace jasminespread
