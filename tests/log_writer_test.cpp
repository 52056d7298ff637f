#include "log/log_writer.h"

#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t maxQueuedBytes = 100;

/// A destination whose reader can stall, and whose disk can be full.
class LogWriterTest : public testing::Test {
protected:
    LogWriterTest()
        : m_writer(maxQueuedBytes,
            {[this](const LogLine& line) { return write(line); },
                [](std::uint64_t lines) {
                    return LogLine {LogLevel::Warning, {}, "lost " + std::to_string(lines)};
                }})
    {
    }
    ~LogWriterTest() override { setStalled(false); }

    bool write(const LogLine& line)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_changed.wait(lock, [this] { return !m_stalled; });
        if (!m_full) {
            m_written.push_back(line.text);
        }
        return !m_full;
    }

    void setStalled(bool stalled)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stalled = stalled;
        m_changed.notify_all();
    }

    void append(const std::string& text) { m_writer.append({LogLevel::Info, {}, text}); }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stalled = false;
    std::atomic<bool> m_full = false;
    std::vector<std::string> m_written;
    LogWriter m_writer;
};

/// Guards against a caller that waits for the reader of the log, and against lines that are missing without a count.
TEST_F(LogWriterTest, LinesBeyondTheQueueAreCounted)
{
    setStalled(true);
    append("first"); // Leaves the queue; its write does not return.
    EXPECT_FALSE(m_writer.flush(50ms));
    const std::string tenBytes = "0123456789";
    for (int i = 0; i < 25; ++i) {
        append(tenBytes);
    }
    EXPECT_EQ(m_writer.lostLines(), 15U);
    setStalled(false);
    EXPECT_TRUE(m_writer.flush(5s));
    EXPECT_EQ(m_written.size(), 1U + 10U + 1U);
    EXPECT_EQ(std::count(m_written.begin(), m_written.end(), tenBytes), 10);
    EXPECT_EQ(std::count(m_written.begin(), m_written.end(), "lost 15"), 1);
    append("later");
    EXPECT_TRUE(m_writer.flush(5s));
    EXPECT_EQ(m_written.back(), "later");
    EXPECT_EQ(m_writer.lostLines(), 15U);
}

/// Guards against lines that a full disk loses without a count.
TEST_F(LogWriterTest, LinesThatCannotBeWrittenAreCounted)
{
    m_full = true;
    for (const char* line : {"a", "b", "c"}) {
        append(line);
    }
    EXPECT_TRUE(m_writer.flush(5s));
    EXPECT_EQ(m_writer.lostLines(), 3U);
    m_full = false;
    append("d");
    EXPECT_TRUE(m_writer.flush(5s));
    EXPECT_EQ(m_written, (std::vector<std::string> {"d", "lost 3"}));
}

} // namespace
} // namespace jasminespread
