#include "checker.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace jasminespread::test {

namespace {

using standins::ExecutionRecord;

ExecutionRecord execution(const std::string& id, const std::string& server, std::uint64_t token, std::int64_t commit)
{
    return {commit - 1, commit, server, "k", "readings.0", 3, token, 1, id, "POST", false};
}

CallerRecord call(const std::string& id, Outcome outcome)
{
    CallerRecord record;
    record.requestId = id;
    record.key = "k";
    record.entry = "entry-1";
    record.answered = true;
    record.outcome = outcome;
    record.answerKey = "k";
    record.answerRequestId = id;
    return record;
}

std::vector<ViolationKind> violationKinds(const History& history)
{
    std::vector<ViolationKind> result;
    for (const Violation& violation : findViolations(history)) {
        result.push_back(violation.kind);
    }
    return result;
}

using testing::ElementsAre;
using testing::IsEmpty;

} // namespace

// Guards against reporting a correct move of a key as a violation.
TEST(CheckerTest, AcceptsMovesInTokenOrder)
{
    EXPECT_THAT(violationKinds({{execution("b", "s2", 6, 20), execution("a", "s1", 5, 10), execution("c", "s1", 7, 30)},
                    {call("a", Outcome::Done), call("b", Outcome::Unknown), call("c", Outcome::Done),
                        call("d", Outcome::NotRun), call("e", Outcome::Unknown)},
                    {}}),
        IsEmpty());
}

// Guards against overlooking a previous owner that executes after the new one.
TEST(CheckerTest, ReportsLowerTokenAfterHigher)
{
    EXPECT_THAT(violationKinds(
                    {{execution("a", "s1", 5, 10), execution("b", "s2", 6, 20), execution("c", "s1", 5, 21)}, {}, {}}),
        ElementsAre(ViolationKind::OverlappingOwners));
}

// Guards against overlooking two owners with the same token.
TEST(CheckerTest, ReportsTwoServersWithOneToken)
{
    EXPECT_THAT(violationKinds({{execution("a", "s1", 5, 10), execution("b", "s2", 5, 20)}, {}, {}}),
        ElementsAre(ViolationKind::OverlappingOwners));
}

// Guards against overlooking a second execution of a non-repeatable request, and against reporting that of a repeatable
// one.
TEST(CheckerTest, ReportsNonRepeatableExecutedTwice)
{
    History history {{execution("a", "s1", 5, 10), execution("a", "s1", 5, 20)}, {call("a", Outcome::Unknown)}, {}};
    EXPECT_THAT(violationKinds(history), ElementsAre(ViolationKind::ExecutedTwice));
    history.calls[0].repeatable = true;
    EXPECT_THAT(violationKinds(history), IsEmpty());
}

// Guards against overlooking a `not-run` answer to a request that was executed.
TEST(CheckerTest, ReportsNotRunOutcomeOfExecutedRequest)
{
    EXPECT_THAT(violationKinds({{execution("a", "s1", 5, 10)}, {call("a", Outcome::NotRun)}, {}}),
        ElementsAre(ViolationKind::NotRunButExecuted));
}

// Guards against overlooking a `done` answer to a request that was not executed.
TEST(CheckerTest, ReportsDoneOutcomeWithoutExecution)
{
    EXPECT_THAT(violationKinds({{}, {call("a", Outcome::Done)}, {}}), ElementsAre(ViolationKind::DoneButNotExecuted));
}

// Guards against overlooking a caller without an answer. Callers of a killed or frozen instance are exempt.
TEST(CheckerTest, ReportsMissingAnswers)
{
    History history {{}, {call("a", Outcome::Unknown), call("b", Outcome::Unknown)}, {}};
    history.calls[0].answered = false;
    history.calls[1].outcome = std::nullopt;
    EXPECT_THAT(violationKinds(history), ElementsAre(ViolationKind::NoAnswer, ViolationKind::NoAnswer));
    history.disturbedEntries = {"entry-1"};
    EXPECT_THAT(violationKinds(history), IsEmpty());
}

// Guards against overlooking an answer that belongs to another request or key.
TEST(CheckerTest, ReportsAnswersOfOtherRequests)
{
    History history {{execution("a", "s1", 5, 10)}, {call("a", Outcome::Done)}, {}};
    history.calls[0].answerRequestId = "b";
    EXPECT_THAT(violationKinds(history), ElementsAre(ViolationKind::ForeignAnswer));
    history.calls[0].answerRequestId = "a";
    history.calls[0].answerKey = "other";
    EXPECT_THAT(violationKinds(history), ElementsAre(ViolationKind::ForeignAnswer));
}

} // namespace jasminespread::test
