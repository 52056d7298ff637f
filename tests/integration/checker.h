#pragma once

#include <execution_record.h>

#include <jasminespread/outcome.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jasminespread::test {

/// One request as its caller observed it. Times are CLOCK_MONOTONIC in nanoseconds.
struct CallerRecord {
    std::string requestId;
    std::string key;
    std::string entry; ///< Entry instance that the request was sent to.
    bool repeatable = false;
    std::int64_t start = 0;
    std::int64_t end = 0;
    bool answered = false; ///< A complete answer arrived.
    unsigned status = 0;
    std::optional<Outcome> outcome; ///< Outcome that the answer names, if any.
    std::string reason;
    std::string answerKey; ///< Key in the body of a `done` answer.
    std::string answerRequestId; ///< Request id in the body of a `done` answer.
    std::size_t answerPadding = 0; ///< Padding in bytes that the backend server added to the answer.
};

enum class ViolationKind : std::uint8_t {
    OverlappingOwners, ///< A request with a lower token committed after one with a higher token, or two servers used
                       ///< the same token.
    ExecutedTwice, ///< A non-repeatable request was executed more than once.
    NotRunButExecuted,
    DoneButNotExecuted,
    NoAnswer, ///< A caller of an undisturbed entry instance got no answer, or one without an outcome.
    ForeignAnswer ///< A `done` answer belongs to another request.
};

inline constexpr std::array<EnumName<ViolationKind>, 6> violationKindNames {{
    {ViolationKind::OverlappingOwners, "overlapping-owners"},
    {ViolationKind::ExecutedTwice, "executed-twice"},
    {ViolationKind::NotRunButExecuted, "not-run-but-executed"},
    {ViolationKind::DoneButNotExecuted, "done-but-not-executed"},
    {ViolationKind::NoAnswer, "no-answer"},
    {ViolationKind::ForeignAnswer, "foreign-answer"},
}};

struct Violation {
    ViolationKind kind;
    std::string text;
};

struct History {
    std::vector<standins::ExecutionRecord> executions;
    std::vector<CallerRecord> calls;
    std::set<std::string>
        disturbedEntries; ///< Entry instances that were killed or frozen; their callers may get no answer.
};

/// Returns all violations of the delivery and ownership guarantees in @p history. An empty history has none.
[[nodiscard]] std::vector<Violation> findViolations(const History& history);

} // namespace jasminespread::test
