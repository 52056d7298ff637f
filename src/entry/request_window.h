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

/// Deduplication window of one placement group at its primary: records non-repeatable requests by id, so that none runs
/// twice. Not thread-safe.
class RequestWindow {
public:
    struct Limits {
        std::size_t entries = 65'536;
        std::uint64_t bytes = 16'777'216; ///< Limit on the total size of stored answers.
        Milliseconds clockSkewMargin {500};
    };

    /// The request is new and is now recorded as running.
    struct Run { };
    /// A request with this id is running; its answer applies to both.
    struct Join {
        std::uint64_t job = 0;
    };
    using Admission = std::variant<Run, Join, RequestAnswer>;

    explicit RequestWindow(const Limits& limits);

    /// Decides whether @p request runs, joins a running request, or gets the returned answer. @p job identifies it in
    /// later joins. @p servingSince is the time from which this primary runs requests of the group.
    [[nodiscard]] Admission admit(const CallerRequest& request, std::uint64_t job, WallTime now, WallTime servingSince);
    /// Records that a running request ran or may have run, and stores its answer unless it is too large. Ignores
    /// unknown ids.
    void complete(const RequestId& id, const RequestAnswer& answer);
    /// Removes a request recorded as running that provably did not run, so that its id can be used again.
    void removeRunning(const RequestId& id);

    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
    [[nodiscard]] std::size_t runningCount() const noexcept { return m_entries.size() - m_completedIds.size(); }
    [[nodiscard]] std::uint64_t storedBytes() const noexcept { return m_storedBytes; }

private:
    struct Entry {
        std::uint64_t fingerprint = 0; ///< Hash of all fields in which a repeat must equal the first request.
        std::uint64_t job = 0;
        bool running = true;
        std::optional<RequestAnswer> answer; ///< Absent while running and when it is not stored.
        std::uint64_t bytes = 0; ///< Size of the stored answer.
    };

    [[nodiscard]] bool evictIfFull();
    void dropOldestAnswers();

    Limits m_limits;
    std::unordered_map<RequestId, Entry, RequestIdHash> m_entries;
    std::deque<RequestId> m_completedIds; ///< In order of completion, which is the order of eviction.
    std::deque<RequestId> m_storedAnswerIds; ///< Ids with a stored answer, oldest first.
    std::uint64_t m_storedBytes = 0;
    std::optional<WallTime> m_newestEvictedIssueTime; ///< Latest time of issue among evicted ids.
};

} // namespace jasminespread
