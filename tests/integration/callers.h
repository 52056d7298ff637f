#pragma once

#include "checker.h"

#include <jasminespread/time.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jasminespread::test {

/// Closed-loop callers, as behind a load balancer: each sends in turn to the entry instances that the balancer
/// considers available. Half of them send repeatable requests, half non-repeatable ones.
class Callers {
public:
    struct Entry {
        std::string id;
        std::string url; ///< "http://ip:port"
    };

    static constexpr unsigned keyCount = 16;
    static constexpr Milliseconds deadline {1000};
    static constexpr Milliseconds thinkTime {25}; ///< Pause between an answer and the next request.

    Callers(std::vector<Entry> entries, std::string service);
    ~Callers();
    Callers(const Callers&) = delete;
    Callers& operator=(const Callers&) = delete;

    void start();
    /// Stops sending and waits for the answers in flight.
    void stop();
    /// Takes an entry instance out of the rotation, or back into it. Thread-safe.
    void setAvailable(const std::string& entry, bool available);
    /// Calls recorded so far. Thread-safe.
    [[nodiscard]] std::vector<CallerRecord> records() const;
    [[nodiscard]] static std::string key(unsigned index) { return "meter-" + std::to_string(index); }

private:
    void run(unsigned index);
    [[nodiscard]] std::size_t chooseEntry(std::size_t& next) const;

    std::vector<Entry> m_entries;
    std::string m_service;
    std::vector<std::atomic<bool>> m_available;
    std::atomic<bool> m_stopping {false};
    std::vector<std::thread> m_threads;
    mutable std::mutex m_mutex;
    std::vector<CallerRecord> m_records;
};

class HttpClient;

/// Optional properties of a request.
struct CallOptions {
    std::string requestId; ///< A new id is generated when empty.
    std::string workClass; ///< No class header is sent when empty.
    std::string body = "{}"; ///< Sent with non-repeatable requests only.
    std::size_t answerBytes = 0; ///< Padding in bytes that the backend server adds to its answer.
};

/// Sends one request and returns what the caller observed.
[[nodiscard]] CallerRecord callOnce(HttpClient& http, const Callers::Entry& entry, const std::string& service,
    const std::string& key, bool repeatable, Milliseconds deadline, const CallOptions& callOptions = {});

/// Longest time that any key went without a `done` answer, from @p since to the end of the latest call.
[[nodiscard]] Milliseconds longestTimeWithoutService(
    const std::vector<CallerRecord>& calls, MonotonicTime since, bool repeatable);

} // namespace jasminespread::test
