#include "log/log_writer.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

namespace jasminespread {

struct LogWriter::State {
    std::size_t maxQueuedBytes;
    Hooks hooks;
    mutable std::mutex mutex;
    std::condition_variable queued; ///< A line was queued, or the writer was destroyed.
    std::condition_variable written; ///< All lines are written.
    std::deque<LogLine> lines;
    std::size_t queuedBytes = 0;
    std::uint64_t lostLines = 0;
    std::uint64_t reportedLostLines = 0;
    bool writing = false;
    bool stopped = false;

    State(std::size_t maxBytes, Hooks callbacks)
        : maxQueuedBytes(maxBytes)
        , hooks(std::move(callbacks))
    {
    }

    [[nodiscard]] bool idle() const { return lines.empty() && !writing; }

    /// Writes a line without holding @p lock. Precondition: the lock is held; it is held again afterwards.
    void write(std::unique_lock<std::mutex>& lock, const LogLine& line, bool countsAsLost)
    {
        writing = true;
        lock.unlock();
        const bool done = hooks.write(line);
        lock.lock();
        writing = false;
        lostLines += done || !countsAsLost ? 0 : 1;
    }

    void run()
    {
        std::unique_lock<std::mutex> lock(mutex);
        while (!stopped) {
            queued.wait(lock, [this] { return stopped || !lines.empty(); });
            while (!stopped && !lines.empty()) {
                const LogLine line = std::move(lines.front());
                lines.pop_front();
                queuedBytes -= line.text.size();
                const std::uint64_t lostBefore = lostLines;
                write(lock, line, true);
                // While lines are lost, the report would be lost as well, or come once for each line.
                const bool recovered = lostLines == lostBefore && queuedBytes <= maxQueuedBytes / 2;
                if (recovered && lostLines > reportedLostLines) {
                    const std::uint64_t n = lostLines - std::exchange(reportedLostLines, lostLines);
                    write(lock, hooks.makeLossReport(n), false);
                }
            }
            written.notify_all();
        }
    }
};

LogWriter::LogWriter(std::size_t maxQueuedBytes, Hooks hooks)
    : m_state(std::make_shared<State>(maxQueuedBytes, std::move(hooks)))
{
    std::thread([state = m_state] { state->run(); }).detach();
}

LogWriter::~LogWriter()
{
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    m_state->stopped = true;
    m_state->queued.notify_one();
}

void LogWriter::append(LogLine&& line)
{
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    if (m_state->queuedBytes + line.text.size() > m_state->maxQueuedBytes) {
        ++m_state->lostLines;
        return;
    }
    m_state->queuedBytes += line.text.size();
    m_state->lines.push_back(std::move(line));
    if (m_state->lines.size() == 1) {
        m_state->queued.notify_one();
    }
}

bool LogWriter::flush(Milliseconds maxWait)
{
    std::unique_lock<std::mutex> lock(m_state->mutex);
    return m_state->written.wait_for(lock, maxWait, [this] { return m_state->idle(); });
}

std::uint64_t LogWriter::lostLines() const
{
    const std::lock_guard<std::mutex> lock(m_state->mutex);
    return m_state->lostLines;
}

} // namespace jasminespread
