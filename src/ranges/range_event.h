#pragma once

#include "gateway/gateway_configuration.h"
#include "gateway/listed_server.h"
#include "ranges/key_range.h"
#include "ranges/range_record.h"
#include "ranges/feed_source_selector.h"

#include <jasminespread/log_event.h>
#include <jasminespread/object_store.h>
#include <jasminespread/time.h>

#include <peer.pb.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace jasminespread {

/// @name Events of the range authority
/// @{

/// Time passes. Arrives at least every 100 ms.
struct RangeTick { };

struct RangeServersListed {
    std::shared_ptr<const ServerList> servers;
};

struct RangeServicesConfigured {
    std::shared_ptr<const GatewayConfiguration> configuration;
};

/// Ends a ReadRecord effect.
struct RecordRead {
    std::string name;
    MonotonicTime startedAt;
    StoreReadResult result;
};

/// Ends a WriteRecord effect.
struct RecordWritten {
    std::string name;
    MonotonicTime startedAt;
    StoreWriteResult result;
};

/// How a grant or release call ended.
enum class GrantResult : std::uint8_t {
    Done,
    Fenced, ///< The server has seen a higher fence.
    OtherServer, ///< Another server has the address: the one that was meant has ended.
    Refused, ///< The call was malformed in the server's eyes.
    NoAnswer, ///< It may have been carried out, or may be later.
    NotSent, ///< No byte of it was written: it is not carried out.
    Withheld ///< The same, because this instance was too late with it.
};

inline constexpr std::array<EnumName<GrantResult>, 7> grantResultNames {{
    {GrantResult::Done, "done"},
    {GrantResult::Fenced, "fenced"},
    {GrantResult::OtherServer, "other-server"},
    {GrantResult::Refused, "refused"},
    {GrantResult::NoAnswer, "no-answer"},
    {GrantResult::NotSent, "not-sent"},
    {GrantResult::Withheld, "withheld"},
}};

/// Ends a GrantRange or ReleaseRange effect.
struct RangeCallEnded {
    std::uint64_t call = 0;
    GrantResult result = GrantResult::NoAnswer;
    std::string handover; ///< Of a release.
    /// Without an answer: the connection was refused or reset, as a server does whose queue is long. False: silence.
    bool wasReset = false;
};

struct RangePeerMessage {
    wire::Envelope envelope;
};

/// Requests of this instance by key since the last report, for one service.
struct KeysCounted {
    std::string service;
    std::vector<std::pair<std::uint16_t, std::uint32_t>> counts;
};

/// How fast a server answered this instance's requests.
struct ObservedSpeed {
    std::string server;
    std::uint32_t answers = 0;
    double slowness = 1; ///< Mean latency in multiples of the usual one.
    std::uint32_t inFlight = 0; ///< Requests of this instance that wait or run there.
};

/// Speeds of servers since the last report.
struct SpeedsObserved {
    std::vector<ObservedSpeed> speeds;
};

/// The store began to answer this instance, or stopped.
struct StoreReached {
    bool reachable = false;
};

/// The state of a feed is known as of a revision.
struct FeedAnswered {
    std::string feed;
    FeedRevision revision;
    bool byStore = false; ///< The store said so; false: the leader.
    Milliseconds unread {0}; ///< The answer may have lain unread for so long.
};

/// The store reported changes of a feed.
struct FeedChanged {
    FeedChange change;
};

/// The process is to stop.
struct RangeStopRequested { };

using RangeEvent
    = std::variant<RangeTick, RangeServersListed, RangeServicesConfigured, RecordRead, RecordWritten, RangeCallEnded,
        RangePeerMessage, KeysCounted, SpeedsObserved, StoreReached, FeedAnswered, FeedChanged, RangeStopRequested>;

/// `now` counts time in which the machine was suspended, so that a hold is never thought to last longer than it does.
struct TimedRangeEvent {
    MonotonicTime now;
    RangeEvent event;
};
/// @}

/// @name Effects of the range authority
/// @{
struct ReadRecord {
    std::string name;
};

struct WriteRecord {
    std::string name;
    std::uint64_t expectedVersion = 0; ///< 0 creates.
    std::string value;
};

struct GrantRange {
    std::uint64_t call = 0;
    RangeHolder server;
    KeyRange range;
    std::uint64_t fence = 0;
    Milliseconds hold {0};
    std::string handover; ///< Empty: none.
};

struct ReleaseRange {
    std::uint64_t call = 0;
    RangeHolder server;
    KeyRange range;
    std::uint64_t fence = 0;
};

struct SendRangePeer {
    std::string to; ///< Instance id.
    wire::Envelope envelope; ///< The shell fills protocol version and sender.
};

struct RangePeer {
    std::string id;
    std::string address;

    bool operator==(const RangePeer&) const = default;
};

/// Replaces the instances that messages can be sent to.
struct ConnectRangePeers {
    std::vector<RangePeer> peers;
};

struct PublishRanges {
    std::shared_ptr<const RangeTable> table;
};

/// Requests of all instances at busy servers, as of the last reports.
struct PublishLoads {
    std::map<std::string, std::uint32_t> inFlight; ///< By server; others are not busy.
};

struct PublishInstances {
    std::uint32_t instances = 1;
};

/// Changes where the feeds are followed.
struct FollowFeeds {
    FeedSource source = FeedSource::Store;
};

/// Changes of a feed arrived from the leader.
struct ApplyFeedChange {
    FeedChange change;
};

/// Asks the store for the changes of one feed.
struct FetchFeed {
    std::string feed;
};

struct WriteRangeLog {
    LogEvent event {};
    std::string details;
};

using RangeEffect = std::variant<ReadRecord, WriteRecord, GrantRange, ReleaseRange, SendRangePeer, ConnectRangePeers,
    PublishRanges, PublishLoads, PublishInstances, FollowFeeds, ApplyFeedChange, FetchFeed, WriteRangeLog>;
using RangeEffects = std::vector<RangeEffect>;
/// @}

} // namespace jasminespread
