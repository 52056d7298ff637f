#pragma once

#include <jasminespread/enum_names.h>
#include <jasminespread/time.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace jasminespread {

/// Severity of a log event.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

inline constexpr std::array<EnumName<LogLevel>, 4> logLevelNames {{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};

/// Numbered log events. Numbers are never reused. docs/log-events.md lists them; CI compares both.
/// 1xx process, 2xx configuration, 3xx membership, 4xx authority and placement, 5xx requests, 6xx platform.
enum class LogEvent : std::uint16_t {
    ProcessStarted = 100,
    ProcessStopping = 101,
    ProcessStopped = 102,
    StartFailed = 103,
    LoopStalled = 104,
    LogLinesLost = 105,
    ConfigurationInForce = 200,
    ConfigurationRejected = 201,
    ConfigurationUnconfirmed = 202,
    PeerLive = 300,
    PeerSilent = 301,
    PeerMessageRejected = 302,
    ServerListChanged = 303,
    ServerLeavingStated = 304,
    ServerPauseRequested = 305,
    DomainEvacuationChanged = 306,
    GroupTakenOver = 400,
    GroupLost = 401,
    AuthorityLapsed = 402,
    PartitionMoved = 403,
    ServerLost = 404,
    ServerReturned = 405,
    StandbyChanged = 406,
    GrantRefused = 407,
    RangeRecordUnreadable = 408,
    OutdatedLeaderFound = 409,
    RequestRejected = 500,
    BackendFailed = 501,
    LateAnswerDropped = 502,
    ForwardRejected = 503,
    RequestDecided = 504,
    SendDelayed = 505,
    MemoryLimitReached = 506,
    MessageUnreadable = 507,
    ClientPressureBegan = 508,
    ClientPressureEnded = 509,
    StoreUnavailable = 600,
    StoreAvailable = 601,
    StoreOutcomeUnknown = 602,
    FeedSourceChanged = 603,
    StoreObjectUnreadable = 604,
    StoreRestored = 605
};

struct LogEventInfo {
    LogEvent event;
    LogLevel level;
    std::string_view name;
    std::string_view meaning;
};

inline constexpr std::array<LogEventInfo, 42> logEventCatalogue {{
    {LogEvent::ProcessStarted, LogLevel::Info, "process-started", "The process listens on all its addresses."},
    {LogEvent::ProcessStopping, LogLevel::Info, "process-stopping",
        "A stop was requested; requests in flight are drained."},
    {LogEvent::ProcessStopped, LogLevel::Info, "process-stopped", "The process exits."},
    {LogEvent::StartFailed, LogLevel::Error, "start-failed", "The process cannot start."},
    {LogEvent::LoopStalled, LogLevel::Warning, "loop-stalled",
        "The event loop read no input for a while; which steps took the time."},
    {LogEvent::LogLinesLost, LogLevel::Warning, "log-lines-lost",
        "The log was not read, or could not be written, for a while; how many lines are missing."},
    {LogEvent::ConfigurationInForce, LogLevel::Info, "configuration-in-force",
        "A revision of the configuration came into force."},
    {LogEvent::ConfigurationRejected, LogLevel::Warning, "configuration-rejected",
        "A revision of the configuration was refused."},
    {LogEvent::ConfigurationUnconfirmed, LogLevel::Warning, "configuration-unconfirmed",
        "A stored revision was not confirmed by every region in time."},
    {LogEvent::PeerLive, LogLevel::Info, "peer-live", "Heartbeats of a peer arrive."},
    {LogEvent::PeerSilent, LogLevel::Warning, "peer-silent", "Heartbeats of a peer stopped."},
    {LogEvent::PeerMessageRejected, LogLevel::Warning, "peer-message-rejected",
        "A message from an unknown address or with unreadable content was dropped."},
    {LogEvent::ServerListChanged, LogLevel::Info, "server-list-changed",
        "A backend server was added, is leaving, or is no longer listed; how long ago that can have been at most."},
    {LogEvent::ServerLeavingStated, LogLevel::Info, "server-leaving-stated",
        "A backend server stated in an answer that it is shutting down; it gets no new work."},
    {LogEvent::ServerPauseRequested, LogLevel::Info, "server-pause-requested",
        "A backend server refused a request and asked for a pause; it gets no requests until its end."},
    {LogEvent::DomainEvacuationChanged, LogLevel::Info, "domain-evacuation-changed",
        "A failure domain is evacuated, or its evacuation was withdrawn; how long ago that can have been at most."},
    {LogEvent::GroupTakenOver, LogLevel::Info, "group-taken-over", "This instance became primary of a group."},
    {LogEvent::GroupLost, LogLevel::Warning, "group-lost", "Another instance became primary of a group."},
    {LogEvent::AuthorityLapsed, LogLevel::Warning, "authority-lapsed",
        "Neither the standby nor the store confirmed the authority of this primary for the length of a lease."},
    {LogEvent::PartitionMoved, LogLevel::Info, "partition-moved", "A partition changed its owner."},
    {LogEvent::ServerLost, LogLevel::Warning, "server-lost", "A backend server stopped answering grants."},
    {LogEvent::ServerReturned, LogLevel::Info, "server-returned", "A backend server answers grants again."},
    {LogEvent::StandbyChanged, LogLevel::Info, "standby-changed", "The standby of a group changed."},
    {LogEvent::GrantRefused, LogLevel::Warning, "grant-refused", "A backend server refused a grant."},
    {LogEvent::RangeRecordUnreadable, LogLevel::Error, "range-record-unreadable",
        "The stored owners of a service's keys cannot be read."},
    {LogEvent::OutdatedLeaderFound, LogLevel::Warning, "outdated-leader-found",
        "An instance acts as leader of an earlier term; it is told who leads now."},
    {LogEvent::RequestRejected, LogLevel::Warning, "request-rejected", "A malformed request was refused."},
    {LogEvent::BackendFailed, LogLevel::Warning, "backend-failed", "A request to a backend server failed."},
    {LogEvent::LateAnswerDropped, LogLevel::Info, "late-answer-dropped",
        "An answer matched no waiting request and was dropped."},
    {LogEvent::ForwardRejected, LogLevel::Warning, "forward-rejected",
        "A forwarded request from an unknown address or with unreadable content was dropped."},
    {LogEvent::RequestDecided, LogLevel::Info, "request-decided",
        "How a request was handled, by which server, and why."},
    {LogEvent::SendDelayed, LogLevel::Warning, "send-delayed",
        "A request waited for a connection to its backend server."},
    {LogEvent::MemoryLimitReached, LogLevel::Warning, "memory-limit-reached",
        "An answer was ended, because it or all in progress took too much memory."},
    {LogEvent::MessageUnreadable, LogLevel::Warning, "message-unreadable",
        "An answer of a server or the store cannot be read, or a request to it cannot be written; the connection is "
        "closed."},
    {LogEvent::ClientPressureBegan, LogLevel::Warning, "client-pressure-began",
        "Clients hold as much memory, or as many connections, as the process may give them; some are refused or "
        "closed."},
    {LogEvent::ClientPressureEnded, LogLevel::Info, "client-pressure-ended",
        "Clients hold notably less than the process may give them; how many were refused or closed."},
    {LogEvent::StoreUnavailable, LogLevel::Warning, "store-unavailable", "The platform's store stopped answering."},
    {LogEvent::StoreAvailable, LogLevel::Info, "store-available", "The platform's store answers again."},
    {LogEvent::StoreOutcomeUnknown, LogLevel::Warning, "store-outcome-unknown",
        "The answer to a store write was lost; the object is read back."},
    {LogEvent::FeedSourceChanged, LogLevel::Info, "feed-source-changed",
        "The instance now watches the store itself, or now relies on the leader's view."},
    {LogEvent::StoreObjectUnreadable, LogLevel::Warning, "store-object-unreadable",
        "An object of another writer cannot be parsed; the other objects are used."},
    {LogEvent::StoreRestored, LogLevel::Warning, "store-restored",
        "The platform's store was restored from an earlier copy; its latest writes are lost."},
}};

/// Sets up log4cplus. @p level is a name from logLevelNames; an empty @p file logs to standard error.
/// Precondition: called once, before other threads start.
void setUpLogging(std::string_view level, const std::string& file, const std::string& process);
/// Writes one numbered event. Never waits for the reader of the log or for the disk: lines beyond a queue of 4 MiB are
/// lost, and counted. Thread-safe.
void logEvent(LogEvent event, std::string_view details);
/// Number of log lines of this process that were lost. Thread-safe.
[[nodiscard]] std::uint64_t lostLogLines();
/// Waits until the lines that were logged are written, for up to @p maxWait. Returns whether they are. Thread-safe.
bool flushLog(Milliseconds maxWait);

} // namespace jasminespread
