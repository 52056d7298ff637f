#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace jasminespread {

/// Waiting requests of one server, served by weighted round robin over classes of work. Not thread-safe.
class ClassQueue {
public:
    /// Adds a request to a class. @p weight is the class's share from now on; at least 1.
    void push(const std::string& workClass, std::uint32_t weight, std::uint64_t job);
    /// Takes the next request; nothing when the queue is empty.
    [[nodiscard]] std::optional<std::uint64_t> pop();
    /// Removes a request that no longer waits.
    void remove(const std::string& workClass, std::uint64_t job);
    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

private:
    struct ClassJobs {
        std::deque<std::uint64_t> jobs;
        std::int64_t weight = 1;
        std::int64_t credit = 0;
    };

    std::map<std::string, ClassJobs> m_classes; ///< Only classes with waiting requests.
    std::size_t m_size = 0;
};

} // namespace jasminespread
