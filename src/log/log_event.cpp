#include <jasminespread/log_event.h>

#include "log/log_writer.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <functional>
#include <memory>
#include <utility>

namespace jasminespread {

namespace {

/// Text of the lines that wait for a slow log file or reader.
constexpr std::size_t maxQueuedBytes = 4'194'304;
/// A process that ends by returning from main waits this long for its last lines.
constexpr Milliseconds exitFlushTime {500};
constexpr const char* loggerName = "jasminespread";

struct LogState {
    log4cplus::Initializer initializer;
    LogLevel level = LogLevel::Info;
    std::string process = "jasminespread";
    std::unique_ptr<LogWriter> writer;
    std::atomic<bool> ready {false};
};

/// Never destroyed, because the writer's thread may be within a write at the end of the process.
LogState& logState()
{
    static LogState& state = *new LogState();
    return state;
}

/// A file appender that tells whether its last line was written, e.g. whether the disk had room.
class CheckedFileAppender : public log4cplus::FileAppender {
public:
    using FileAppender::FileAppender;

    [[nodiscard]] bool lastLineWritten() const { return m_lastLineWritten; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        m_lastLineWritten = out.good() || reopen();
        if (m_lastLineWritten) {
            FileAppender::append(event);
            m_lastLineWritten = out.good();
        }
    }

private:
    bool m_lastLineWritten = false;
};

log4cplus::LogLevel toLog4cplus(LogLevel level) noexcept
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

/// Appends @p text with control characters replaced by spaces, so that details cannot forge further log lines.
void appendSingleLine(std::string& line, std::string_view text)
{
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        line += byte < 0x20 || byte == 0x7f ? ' ' : c;
    }
}

std::string lineOf(const LogEventInfo& info, std::string_view details)
{
    std::string line = std::to_string(static_cast<unsigned>(info.event));
    line += ' ';
    line += info.name;
    line += ' ';
    line += logState().process;
    line += ' ';
    appendSingleLine(line, details);
    return line;
}

const LogEventInfo* findInfo(LogEvent event)
{
    const auto it = std::find_if(logEventCatalogue.begin(), logEventCatalogue.end(),
        [&](const LogEventInfo& info) { return info.event == event; });
    return it == logEventCatalogue.end() ? nullptr : &*it;
}

LogLine makeLossReport(std::uint64_t lostLines)
{
    const LogEventInfo& info = *findInfo(LogEvent::LogLinesLost);
    return {info.level, std::chrono::system_clock::now(), lineOf(info, "lines=" + std::to_string(lostLines))};
}

log4cplus::spi::InternalLoggingEvent toLog4cplus(const LogLine& line)
{
    const auto at = std::chrono::time_point_cast<log4cplus::helpers::Time::duration>(line.at);
    return {loggerName, toLog4cplus(line.level), "", {}, line.text, "", "", at, "", 0};
}

/// Returns a function that writes a line to @p appender, and returns whether @p isWritten of it.
template <typename Appender, typename IsWritten>
std::function<bool(const LogLine&)> writeTo(std::unique_ptr<Appender> appender, IsWritten isWritten)
{
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%d{%Y-%m-%dT%H:%M:%S.%q}Z %-5p %m%n"));
    const log4cplus::helpers::SharedObjectPtr<Appender> shared(appender.release());
    return [shared, isWritten](const LogLine& line) {
        shared->doAppend(toLog4cplus(line));
        return isWritten(*shared);
    };
}

} // namespace

void setUpLogging(std::string_view level, const std::string& file, const std::string& process)
{
    LogState& state = logState();
    state.process = process;
    state.level = enumValue(logLevelNames, level).value_or(LogLevel::Info);
    LogWriter::Hooks hooks;
    hooks.makeLossReport = makeLossReport;
    if (file.empty()) {
        hooks.write = writeTo(std::make_unique<log4cplus::ConsoleAppender>(true, true),
            [](const log4cplus::ConsoleAppender&) { return true; });
    } else {
        hooks.write = writeTo(std::make_unique<CheckedFileAppender>(file, std::ios_base::app, true, true),
            [](const CheckedFileAppender& appender) { return appender.lastLineWritten(); });
    }
    state.writer = std::make_unique<LogWriter>(maxQueuedBytes, std::move(hooks));
    std::atexit([] { (void)flushLog(exitFlushTime); });
    state.ready.store(true);
}

void logEvent(LogEvent event, std::string_view details)
{
    const LogEventInfo* info = findInfo(event);
    const LogState& state = logState();
    if (info != nullptr && state.ready.load() && info->level >= state.level) {
        state.writer->append({info->level, std::chrono::system_clock::now(), lineOf(*info, details)});
    }
}

std::uint64_t lostLogLines() { return logState().ready.load() ? logState().writer->lostLines() : 0; }

bool flushLog(Milliseconds maxWait) { return !logState().ready.load() || logState().writer->flush(maxWait); }

} // namespace jasminespread
