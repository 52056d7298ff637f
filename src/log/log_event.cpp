#include <jasminespread/log_event.h>

#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <utility>

namespace jasminespread {

namespace {

// Lines queued for a slow log file or reader; log4cplus blocks the logging thread only while the queue is full.
constexpr unsigned maxQueuedLines = 8192;

struct LogState {
    log4cplus::Initializer initializer;
    log4cplus::Logger logger = log4cplus::Logger::getInstance("jasminespread");
    std::string process = "jasminespread";
    std::atomic<bool> ready {false};
};

LogState& logState()
{
    static LogState state;
    return state;
}

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

} // namespace

void setUpLogging(std::string_view level, const std::string& file, const std::string& process)
{
    LogState& state = logState();
    state.process = process;
    log4cplus::SharedAppenderPtr destination;
    if (file.empty()) {
        destination = log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true));
    } else {
        destination = log4cplus::SharedAppenderPtr(new log4cplus::FileAppender(file, std::ios_base::app, true, true));
    }
    destination->setLayout(std::make_unique<log4cplus::PatternLayout>("%d{%Y-%m-%dT%H:%M:%S.%q}Z %-5p %m%n"));
    log4cplus::SharedAppenderPtr asyncAppender(new log4cplus::AsyncAppender(destination, maxQueuedLines));
    state.logger.removeAllAppenders();
    state.logger.setAdditivity(false);
    state.logger.addAppender(asyncAppender);
    state.logger.setLogLevel(toLog4cplus(enumValue(logLevelNames, level).value_or(LogLevel::Info)));
    state.ready.store(true);
}

void logEvent(LogEvent event, std::string_view details)
{
    const auto it = std::find_if(logEventCatalogue.begin(), logEventCatalogue.end(),
        [&](const LogEventInfo& info) { return info.event == event; });
    LogState& state = logState();
    if (it == logEventCatalogue.end() || !state.ready.load()) {
        return;
    }
    const log4cplus::LogLevel level = toLog4cplus(it->level);
    if (!state.logger.isEnabledFor(level)) {
        return;
    }
    std::string line = std::to_string(static_cast<unsigned>(event));
    line += ' ';
    line += it->name;
    line += ' ';
    line += state.process;
    line += ' ';
    appendSingleLine(line, details);
    state.logger.forcedLog(level, line, __FILE__, __LINE__, "logEvent");
}

} // namespace jasminespread
