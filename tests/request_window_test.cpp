#include "entry/request_window.h"

#include <gtest/gtest.h>

namespace jasminespread {
namespace {

const WallTime servingSince {Milliseconds(1'796'000'000'000)};
const WallTime now = servingSince + Milliseconds(60'000);

CallerRequest makeRequest(WallTime issued)
{
    CallerRequest request;
    request.service = "ledger";
    request.key = "loom";
    request.method = "POST";
    request.target = "/orders";
    request.id = RequestId::generate(issued);
    return request;
}

RequestAnswer done(const std::string& body)
{
    RequestAnswer answer;
    answer.outcome = Outcome::Done;
    answer.status = 201;
    answer.body = body;
    return answer;
}

std::string refusalOf(const RequestWindow::Admission& admission)
{
    const RequestAnswer* answer = std::get_if<RequestAnswer>(&admission);
    return answer == nullptr ? "none" : answer->reason;
}

Outcome outcomeOf(const RequestWindow::Admission& admission) { return std::get<RequestAnswer>(admission).outcome; }

bool runs(const RequestWindow::Admission& admission) { return std::holds_alternative<RequestWindow::Run>(admission); }

// Guards against a repeated id that runs a second time while the first attempt runs.
TEST(RequestWindowTest, RepeatedIdJoinsRunningRequest)
{
    RequestWindow window({});
    const CallerRequest request = makeRequest(now);
    EXPECT_TRUE(runs(window.admit(request, 7, now, servingSince)));
    const RequestWindow::Admission second = window.admit(request, 8, now, servingSince);
    ASSERT_TRUE(std::holds_alternative<RequestWindow::Join>(second));
    EXPECT_EQ(std::get<RequestWindow::Join>(second).job, 7U);
}

// Guards against a repeated id that runs again after its first attempt ended.
TEST(RequestWindowTest, RepeatedIdGetsStoredAnswer)
{
    RequestWindow window({});
    const CallerRequest request = makeRequest(now);
    EXPECT_TRUE(runs(window.admit(request, 7, now, servingSince)));
    window.complete(request.id, done("order 12"));
    const RequestWindow::Admission second = window.admit(request, 8, now, servingSince);
    ASSERT_TRUE(std::holds_alternative<RequestAnswer>(second));
    EXPECT_EQ(std::get<RequestAnswer>(second).body, "order 12");
    EXPECT_EQ(outcomeOf(second), Outcome::Done);
}

// Guards against a caller that can never repeat a request which provably did not run.
TEST(RequestWindowTest, ForgottenIdRunsAgain)
{
    RequestWindow window({});
    const CallerRequest request = makeRequest(now);
    EXPECT_TRUE(runs(window.admit(request, 7, now, servingSince)));
    window.removeRunning(request.id);
    EXPECT_TRUE(runs(window.admit(request, 8, now, servingSince)));
}

// Guards against the answer of one request reaching another that uses the same id.
TEST(RequestWindowTest, OtherRequestWithSameIdIsRefused)
{
    RequestWindow window({});
    CallerRequest request = makeRequest(now);
    EXPECT_TRUE(runs(window.admit(request, 7, now, servingSince)));
    window.complete(request.id, done("order 12"));
    request.key = "another";
    const RequestWindow::Admission second = window.admit(request, 8, now, servingSince);
    EXPECT_EQ(refusalOf(second), "id-reused");
    EXPECT_EQ(outcomeOf(second), Outcome::NotRun);
}

// Guards against a request that an earlier primary ran running again here.
TEST(RequestWindowTest, IdOlderThanServingStartIsUnknown)
{
    RequestWindow window({});
    const Milliseconds margin {1000}; // Twice the clock skew margin.
    const RequestWindow::Admission old
        = window.admit(makeRequest(servingSince + margin - Milliseconds(1)), 1, now, servingSince);
    EXPECT_EQ(refusalOf(old), "id-before-serving");
    EXPECT_EQ(outcomeOf(old), Outcome::Unknown);
    EXPECT_TRUE(runs(window.admit(makeRequest(servingSince + margin), 2, now, servingSince)));
}

// Guards against refusing requests for the first half second of a primary that nobody can have sent before.
TEST(RequestWindowTest, IdMadeByEntryIsExemptFromServingStart)
{
    RequestWindow window({});
    CallerRequest request = makeRequest(servingSince);
    request.idGeneratedByEntry = true;
    EXPECT_TRUE(runs(window.admit(request, 1, servingSince, servingSince)));
    window.complete(request.id, done("x"));
    request.idGeneratedByEntry = false;
    EXPECT_EQ(outcomeOf(window.admit(request, 2, servingSince, servingSince)), Outcome::Done);
}

// Guards against a request running again after the window forgot its id.
TEST(RequestWindowTest, EvictedIdIsUnknown)
{
    RequestWindow window({.entries = 2, .bytes = 10'000, .clockSkewMargin = Milliseconds(500)});
    const CallerRequest first = makeRequest(now - Milliseconds(1000));
    EXPECT_TRUE(runs(window.admit(first, 1, now, servingSince)));
    window.complete(first.id, done("1"));
    for (std::uint64_t i = 2; i < 4; ++i) {
        const CallerRequest next = makeRequest(now);
        EXPECT_TRUE(runs(window.admit(next, i, now, servingSince)));
        window.complete(next.id, done("n"));
    }
    EXPECT_EQ(window.size(), 2U);
    const RequestWindow::Admission repeated = window.admit(first, 4, now, servingSince);
    EXPECT_EQ(refusalOf(repeated), "id-evicted");
    EXPECT_EQ(outcomeOf(repeated), Outcome::Unknown);
    EXPECT_EQ(refusalOf(window.admit(makeRequest(now - Milliseconds(500)), 5, now, servingSince)), "id-evicted");
    EXPECT_TRUE(runs(window.admit(makeRequest(now - Milliseconds(499)), 6, now, servingSince)));
}

// Guards against storing ids of a wrong clock, which would make the eviction rule refuse honest ids.
TEST(RequestWindowTest, FutureIdIsNotRunAndNotStored)
{
    RequestWindow window({});
    const RequestWindow::Admission future = window.admit(makeRequest(now + Milliseconds(501)), 1, now, servingSince);
    EXPECT_EQ(refusalOf(future), "future-id");
    EXPECT_EQ(outcomeOf(future), Outcome::NotRun);
    EXPECT_EQ(window.size(), 0U);
    EXPECT_TRUE(runs(window.admit(makeRequest(now + Milliseconds(500)), 2, now, servingSince)));
}

// Guards against evicting a running request, whose repeat would run beside it.
TEST(RequestWindowTest, RunningRequestsAreNeverEvicted)
{
    RequestWindow window({.entries = 2, .bytes = 10'000, .clockSkewMargin = Milliseconds(500)});
    EXPECT_TRUE(runs(window.admit(makeRequest(now), 1, now, servingSince)));
    EXPECT_TRUE(runs(window.admit(makeRequest(now), 2, now, servingSince)));
    const RequestWindow::Admission third = window.admit(makeRequest(now), 3, now, servingSince);
    EXPECT_EQ(refusalOf(third), "window-full");
    EXPECT_EQ(outcomeOf(third), Outcome::NotRun);
}

// Guards against unbounded memory, and against answering `done` with an answer that is gone.
TEST(RequestWindowTest, StoredAnswersAreBoundedInBytes)
{
    RequestWindow window({.entries = 1000, .bytes = 10'000, .clockSkewMargin = Milliseconds(500)});
    const CallerRequest first = makeRequest(now);
    EXPECT_TRUE(runs(window.admit(first, 1, now, servingSince)));
    window.complete(first.id, done(std::string(3000, 'a')));
    CallerRequest last;
    for (std::uint64_t i = 2; i < 20; ++i) {
        last = makeRequest(now);
        EXPECT_TRUE(runs(window.admit(last, i, now, servingSince)));
        window.complete(last.id, done(std::string(3000, 'b')));
        EXPECT_LE(window.storedBytes(), 10'000U);
    }
    const RequestWindow::Admission repeated = window.admit(first, 30, now, servingSince);
    EXPECT_EQ(refusalOf(repeated), "answer-not-kept");
    EXPECT_EQ(outcomeOf(repeated), Outcome::Unknown);
    EXPECT_EQ(outcomeOf(window.admit(last, 31, now, servingSince)), Outcome::Done);
}

} // namespace
} // namespace jasminespread
