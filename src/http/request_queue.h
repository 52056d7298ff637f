#pragma once

#include "http/http_server.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace jasminespread {

/// The unanswered requests of one connection in the order in which they arrived, and answers that wait for the answers
/// to earlier requests. Not thread-safe.
class RequestQueue {
public:
    struct Delivery {
        std::uint64_t request = 0;
        RawRequest raw;
    };

    struct Ready {
        CallerAnswer answer;
        bool isHead = false;
        bool closes = false; ///< The connection ends with this answer.
    };

    /// Memory that a waiting request takes.
    [[nodiscard]] static std::size_t costOf(const RawRequest& raw);
    /// Adds a request that arrived behind all others.
    void add(std::uint64_t request, RawRequest&& raw, bool isHead, bool closes);
    /// Adds an answer without a request, e.g. to malformed input. The connection ends with it.
    void addRefusal(CallerAnswer&& answer);
    /// Takes the next request to handle. One behind unanswered requests is taken only when @p mayOverlap is true for it
    /// and was true for these: HTTP lets a server handle pipelined requests concurrently only if all may be repeated.
    /// An empty @p mayOverlap is false for all.
    [[nodiscard]] std::optional<Delivery> takeDeliverable(const std::function<bool(const RawRequest&)>& mayOverlap);
    /// Stores the answer to a request that was taken. Returns false when there is no such unanswered request.
    bool answer(std::uint64_t request, CallerAnswer&& answer);
    /// Takes the answer to the oldest request, if it was given.
    [[nodiscard]] std::optional<Ready> takeReady();

    /// Requests that were taken and not answered.
    [[nodiscard]] std::vector<std::uint64_t> unanswered() const;
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
    [[nodiscard]] bool empty() const noexcept { return m_entries.empty(); }
    /// Memory of requests that were not taken and of answers that wait.
    [[nodiscard]] std::size_t heldBytes() const noexcept { return m_heldBytes; }
    /// Memory of requests that were taken and not answered.
    [[nodiscard]] std::size_t takenBytes() const noexcept { return m_takenBytes; }

private:
    struct Entry {
        std::uint64_t request = 0; ///< 0: none.
        std::optional<RawRequest> raw; ///< Absent once it was taken.
        std::optional<CallerAnswer> answer;
        std::size_t heldBytes = 0;
        std::size_t takenBytes = 0;
        bool isHead = false;
        bool closes = false;
        bool overlaps = false; ///< Others may be handled before it is answered.
    };

    void hold(Entry& entry, std::size_t bytes);

    std::deque<Entry> m_entries;
    std::size_t m_heldBytes = 0;
    std::size_t m_takenBytes = 0;
};

} // namespace jasminespread
