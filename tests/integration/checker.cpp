#include "checker.h"

#include <algorithm>
#include <map>

namespace jasminespread::test {

using standins::ExecutionRecord;

namespace {

std::string describe(const ExecutionRecord& record)
{
    return record.requestId + " on " + record.server + " token " + std::to_string(record.token) + " term "
        + std::to_string(record.term) + " partition " + record.group + "/" + std::to_string(record.partition)
        + " committed at " + std::to_string(record.commitNs);
}

std::string describe(const CallerRecord& call)
{
    return call.requestId + " key " + call.key + " via " + call.entry + (call.repeatable ? "" : " (non-repeatable)")
        + " status " + std::to_string(call.status) + " reason \"" + call.reason + "\" started at "
        + std::to_string(call.start) + " ended at " + std::to_string(call.end);
}

Violation overlapViolation(const std::string& key, const std::string& earlier, const ExecutionRecord& later)
{
    return {ViolationKind::OverlappingOwners, "key " + key + ": " + earlier + " before " + describe(later)};
}

using Executions = std::map<std::string, std::vector<const ExecutionRecord*>>;

void checkOwners(const Executions& byKey, std::vector<Violation>& violations)
{
    for (const auto& [key, records] : byKey) {
        std::vector<const ExecutionRecord*> ordered = records;
        std::stable_sort(ordered.begin(), ordered.end(),
            [](const ExecutionRecord* left, const ExecutionRecord* right) { return left->commitNs < right->commitNs; });
        std::map<std::uint64_t, std::string> ownerOfToken;
        const ExecutionRecord* highest = nullptr;
        for (const ExecutionRecord* record : ordered) {
            const std::string& firstOwner = ownerOfToken.try_emplace(record->token, record->server).first->second;
            if (firstOwner != record->server) {
                violations.push_back(overlapViolation(key, firstOwner, *record));
            }
            if (highest != nullptr && record->token < highest->token) {
                violations.push_back(overlapViolation(key, describe(*highest), *record));
            } else {
                highest = record;
            }
        }
    }
}

void checkCall(const CallerRecord& call, const std::vector<const ExecutionRecord*>& executions, bool disturbed,
    std::vector<Violation>& violations)
{
    if (!call.repeatable && executions.size() > 1) {
        violations.push_back(
            {ViolationKind::ExecutedTwice, describe(*executions[0]) + " and " + describe(*executions[1])});
    }
    if (!call.answered || !call.outcome) {
        if (!disturbed) {
            violations.push_back({ViolationKind::NoAnswer, describe(call)});
        }
        return;
    }
    if (*call.outcome == Outcome::NotRun && !executions.empty()) {
        violations.push_back(
            {ViolationKind::NotRunButExecuted, describe(call) + " but " + describe(*executions.front())});
    }
    if (*call.outcome == Outcome::Done && executions.empty()) {
        violations.push_back({ViolationKind::DoneButNotExecuted, describe(call)});
    }
    if (*call.outcome == Outcome::Done && (call.answerKey != call.key || call.answerRequestId != call.requestId)) {
        violations.push_back({ViolationKind::ForeignAnswer,
            describe(call) + " got the answer of " + call.answerRequestId + " for key " + call.answerKey});
    }
}

} // namespace

std::vector<Violation> findViolations(const History& history)
{
    Executions byKey;
    Executions byRequest;
    for (const ExecutionRecord& record : history.executions) {
        byKey[record.key].push_back(&record);
        byRequest[record.requestId].push_back(&record);
    }
    std::vector<Violation> violations;
    checkOwners(byKey, violations);
    for (const CallerRecord& call : history.calls) {
        checkCall(call, byRequest[call.requestId], history.disturbedEntries.contains(call.entry), violations);
    }
    return violations;
}

} // namespace jasminespread::test
