#pragma once

#include "checker.h"

#include <jasminespread/time.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace jasminespread::test {

/// Closed-loop callers, as behind a balancer: each sends to the entry instances in turn and leaves out those that the
/// balancer found lost. Half of them send repeatable requests, half non-repeatable ones.
class Callers {
public:
    struct Entry {
        std::string id;
        std::string url; ///< "http://ip:port"
    };

    static constexpr unsigned keyCount = 16;
    static constexpr Milliseconds deadline {1000};
    static constexpr Milliseconds pause {25}; ///< Between an answer and the next request.

    Callers(std::vector<Entry> entries, std::string service);
    ~Callers();
    Callers(const Callers&) = delete;
    Callers& operator=(const Callers&) = delete;

    void start();
    /// Stops sending and waits for outstanding answers.
    void stop();
    /// Leaves the entry instance out, or takes it in again.
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

class HttpCaller;

/// Parts of a request that most tests leave at their defaults.
struct CallExtras {
    std::string requestId; ///< Empty: a fresh id.
    std::string workClass; ///< Empty: none is named.
    std::string body = "{}"; ///< Of non-repeatable requests.
    std::size_t answerBytes = 0; ///< Padding that the backend server adds to its answer.
};

/// Sends one request and returns what the caller saw.
[[nodiscard]] CallerRecord callOnce(HttpCaller& http, const Callers::Entry& entry, const std::string& service,
    const std::string& key, bool repeatable, Milliseconds deadline, const CallExtras& extras = {});

/// Longest time without a `done` answer for any key, from @p since to the end of the newest call.
[[nodiscard]] Milliseconds longestGap(const std::vector<CallerRecord>& calls, MonotonicTime since, bool repeatable);

} // namespace jasminespread::test
