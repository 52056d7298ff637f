#pragma once

#include <jasminespread/log_event.h>
#include <jasminespread/time.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jasminespread {

struct LogLine {
    LogLevel level = LogLevel::Info;
    std::chrono::system_clock::time_point at;
    std::string text;
};

/// Writes log lines on a thread of its own, so that a slow or stalled reader of the log delays nothing else. Lines
/// beyond the size of the queue are dropped and counted.
class LogWriter {
public:
    struct Hooks {
        /// Writes one line, and may block. Returns whether the line was written.
        std::function<bool(const LogLine&)> write;
        /// Returns the line that reports how many lines were lost since the last such report.
        std::function<LogLine(std::uint64_t lostLines)> makeLossReport;
    };

    /// @param maxQueuedBytes limits the text of the lines that wait.
    LogWriter(std::size_t maxQueuedBytes, Hooks hooks);
    /// Does not wait for lines that are not written. A write that blocks may go on until the end of the process.
    ~LogWriter();
    LogWriter(const LogWriter&) = delete;
    LogWriter& operator=(const LogWriter&) = delete;

    /// Queues a line. Never waits for a write. Thread-safe.
    void append(LogLine&& line);
    /// Waits until all lines are written, for up to @p maxWait. Returns whether they are. Thread-safe.
    bool flush(Milliseconds maxWait);
    /// Number of lines that were dropped or could not be written. Thread-safe.
    [[nodiscard]] std::uint64_t lostLines() const;

private:
    struct State;
    std::shared_ptr<State> m_state; ///< Shared with the thread, which may outlive the writer.
};

} // namespace jasminespread
