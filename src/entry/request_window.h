#pragma once

#include "entry/caller_request.h"

#include <jasminespread/request_id.h>
#include <jasminespread/time.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <variant>

namespace jasminespread {

/// Remembers the non-repeatable requests of one placement group at its primary, so that none runs twice.
/// Not thread-safe.
class RequestWindow {
public:
    struct Limits {
        std::size_t entries = 65'536;
        std::uint64_t bytes = 16'777'216; ///< Of all stored answers.
        Milliseconds clockSkewMargin {500};
    };

    /// The request is new; it is now remembered as running.
    struct Run { };
    /// A request with this id runs already.
    struct Join {
        std::uint64_t job = 0;
    };
    using Admission = std::variant<Run, Join, RequestAnswer>;

    explicit RequestWindow(const Limits& limits);

    /// Decides about @p request. @p job identifies it for later joins. @p servingSince is the time from which this
    /// primary runs requests of the group.
    [[nodiscard]] Admission admit(const CallerRequest& request, std::uint64_t job, WallTime now, WallTime servingSince);
    /// Stores the outcome of a running request that ran or may have run, with its answer while it is small.
    /// Unknown ids are ignored.
    void complete(const RequestId& id, const RequestAnswer& answer);
    /// Removes a running request that provably did not run, so that its id can be used again.
    void removeRunning(const RequestId& id);

    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
    [[nodiscard]] std::size_t runningCount() const noexcept { return m_entries.size() - m_completedIds.size(); }
    [[nodiscard]] std::uint64_t storedBytes() const noexcept { return m_storedBytes; }

private:
    struct Entry {
        std::uint64_t fingerprint = 0; ///< Of everything that makes two requests with one id the same.
        std::uint64_t job = 0;
        bool running = true;
        std::optional<RequestAnswer> answer; ///< Absent while running and when it was not kept.
        std::uint64_t bytes = 0; ///< Of the kept answer.
    };

    [[nodiscard]] bool evictIfFull();
    void dropOldestAnswers();

    Limits m_limits;
    std::unordered_map<RequestId, Entry, RequestIdHash> m_entries;
    std::deque<RequestId> m_completedIds; ///< In order of completion: the order of eviction.
    std::deque<RequestId> m_storedAnswerIds; ///< Ids whose answer is kept, oldest first.
    std::uint64_t m_storedBytes = 0;
    std::optional<WallTime> m_newestEvictedIssueTime; ///< Latest time of issue among evicted ids.
};

} // namespace jasminespread
