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

std::vector<ViolationKind> kinds(const History& history)
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

// Guards against a checker that reports a correct move of a key.
TEST(CheckerTest, AcceptsMovesInTokenOrder)
{
    EXPECT_THAT(kinds({{execution("b", "s2", 6, 20), execution("a", "s1", 5, 10), execution("c", "s1", 7, 30)},
                    {call("a", Outcome::Done), call("b", Outcome::Unknown), call("c", Outcome::Done),
                        call("d", Outcome::NotRun), call("e", Outcome::Unknown)},
                    {}}),
        IsEmpty());
}

// Guards against missing an old owner that executes after the new one.
TEST(CheckerTest, ReportsLowerTokenAfterHigher)
{
    EXPECT_THAT(
        kinds({{execution("a", "s1", 5, 10), execution("b", "s2", 6, 20), execution("c", "s1", 5, 21)}, {}, {}}),
        ElementsAre(ViolationKind::OverlappingOwners));
}

// Guards against missing two owners that hold one token.
TEST(CheckerTest, ReportsTwoServersWithOneToken)
{
    EXPECT_THAT(kinds({{execution("a", "s1", 5, 10), execution("b", "s2", 5, 20)}, {}, {}}),
        ElementsAre(ViolationKind::OverlappingOwners));
}

// Guards against missing a second execution, and against reporting one of a repeatable request.
TEST(CheckerTest, ReportsNonRepeatableExecutedTwice)
{
    History history {{execution("a", "s1", 5, 10), execution("a", "s1", 5, 20)}, {call("a", Outcome::Unknown)}, {}};
    EXPECT_THAT(kinds(history), ElementsAre(ViolationKind::ExecutedTwice));
    history.calls[0].repeatable = true;
    EXPECT_THAT(kinds(history), IsEmpty());
}

// Guards against missing a false `not-run`.
TEST(CheckerTest, ReportsNotRunThatRan)
{
    EXPECT_THAT(kinds({{execution("a", "s1", 5, 10)}, {call("a", Outcome::NotRun)}, {}}),
        ElementsAre(ViolationKind::NotRunButExecuted));
}

// Guards against missing a `done` without an execution.
TEST(CheckerTest, ReportsDoneThatDidNotRun)
{
    EXPECT_THAT(kinds({{}, {call("a", Outcome::Done)}, {}}), ElementsAre(ViolationKind::DoneButNotExecuted));
}

// Guards against missing a caller without an answer; callers of a killed instance are exempt.
TEST(CheckerTest, ReportsMissingAnswers)
{
    History history {{}, {call("a", Outcome::Unknown), call("b", Outcome::Unknown)}, {}};
    history.calls[0].answered = false;
    history.calls[1].outcome = std::nullopt;
    EXPECT_THAT(kinds(history), ElementsAre(ViolationKind::NoAnswer, ViolationKind::NoAnswer));
    history.disturbedEntries = {"entry-1"};
    EXPECT_THAT(kinds(history), IsEmpty());
}

// Guards against missing an answer that belongs to another request or key.
TEST(CheckerTest, ReportsAnswersOfOtherRequests)
{
    History history {{execution("a", "s1", 5, 10)}, {call("a", Outcome::Done)}, {}};
    history.calls[0].answerRequestId = "b";
    EXPECT_THAT(kinds(history), ElementsAre(ViolationKind::ForeignAnswer));
    history.calls[0].answerRequestId = "a";
    history.calls[0].answerKey = "other";
    EXPECT_THAT(kinds(history), ElementsAre(ViolationKind::ForeignAnswer));
}

} // namespace jasminespread::test
