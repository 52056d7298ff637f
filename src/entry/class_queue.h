#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace jasminespread {

/// Queue of the requests that wait for one server, scheduled by weighted round robin across work classes. Not
/// thread-safe.
class ClassQueue {
public:
    /// Adds a request to a class and sets the scheduling weight of the class to @p weight; 0 counts as 1.
    void push(const std::string& workClass, std::uint32_t weight, std::uint64_t job);
    /// Removes and returns the next request, or nothing when the queue is empty.
    [[nodiscard]] std::optional<std::uint64_t> pop();
    /// Removes a request that no longer needs a slot. Does nothing when it is not queued.
    void remove(const std::string& workClass, std::uint64_t job);
    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

private:
    struct ClassJobs {
        std::deque<std::uint64_t> jobs;
        std::int64_t weight = 1;
        std::int64_t credit = 0;
    };

    std::map<std::string, ClassJobs> m_classes; ///< Only classes with queued requests.
    std::size_t m_size = 0;
};

} // namespace jasminespread
