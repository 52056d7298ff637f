#pragma once

#include "gateway/cold_servers.h"
#include "gateway/gateway_configuration.h"
#include "gateway/listed_server.h"
#include "gateway/server_loads.h"
#include "ranges/feed_source_selector.h"
#include "ranges/key_range.h"
#include "ranges/range_record.h"

#include <jasminespread/log_event.h>
#include <jasminespread/object_store.h>
#include <jasminespread/time.h>

#include <peer.pb.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace jasminespread {

/// @name Events of the range authority
/// @{

/// Periodic timer event; at least one every 100 ms.
struct RangeTick { };

struct RangeServersListed {
    std::shared_ptr<const ServerList> servers;
};

/// The failure domains whose servers must get nothing.
struct RangeEvacuationsListed {
    std::set<std::string> failureDomains;
};

struct RangeServicesConfigured {
    std::shared_ptr<const GatewayConfiguration> configuration;
};

/// Result of a ReadRecord effect.
struct RecordRead {
    std::string name;
    MonotonicTime startedAt;
    StoreReadResult result;
};

/// Result of a WriteRecord effect.
struct RecordWritten {
    std::string name;
    MonotonicTime startedAt;
    StoreWriteResult result;
    std::uint64_t baseEra = 0; ///< WriteRecord::era.
};

/// Outcome of a grant or release call.
enum class GrantResult : std::uint8_t {
    Done,
    Fenced, ///< The server has already accepted a higher fencing token.
    OtherServer, ///< Another server now uses the address, so the called process has ended.
    Refused, ///< The server rejected the call as malformed.
    NoAnswer, ///< The server may have executed the call, or may still execute it.
    NotSent, ///< No byte was sent: the server does not execute the call.
    Withheld ///< Not sent, because this instance reached its own deadline for sending it.
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

/// Result of a GrantRange or ReleaseRange effect.
struct RangeCallEnded {
    std::uint64_t callId = 0;
    GrantResult result = GrantResult::NoAnswer;
    std::string handover; ///< State that the server returned with a release, for the next owner.
    /// For a call without an answer: the connection was refused or reset, which also happens when the server has a
    /// long queue. False: the call timed out.
    bool wasReset = false;
    /// The call was sent once before, and that send was not answered: the server may have executed it, or may still.
    bool earlierSendMayArrive = false;
};

struct RangePeerMessage {
    wire::Envelope envelope;
};

/// Request counts by key for one service, as routed by this instance since the previous event.
struct KeysCounted {
    std::string service;
    std::vector<std::pair<std::uint16_t, std::uint32_t>> counts;
};

/// Latency and load of a server, as measured by this instance.
struct ObservedSpeed {
    std::string server;
    std::uint32_t answers = 0;
    double slowness = 1; ///< Mean latency relative to the typical latency.
    std::uint32_t inFlight = 0; ///< Requests of this instance that are queued or running on the server.
};

/// Server measurements of this instance since the previous event.
struct SpeedsObserved {
    std::vector<ObservedSpeed> speeds;
};

/// What this instance sent, or would have sent, to cold servers since the previous event.
struct ColdDemandsObserved {
    ColdDemands demands;
};

/// The listed servers that have stated in answers to this instance that they are shutting down.
struct LeavingServersObserved {
    std::set<ServerIdentity> servers;
};

/// The store became reachable or unreachable from this instance.
struct StoreReachabilityChanged {
    bool reachable = false;
};

/// This instance's copy of a feed is up to date as of a revision.
struct FeedRevisionConfirmed {
    std::string feed;
    FeedRevision revision;
    bool fromStore = false; ///< Confirmed by the store; false: by the leader.
    Milliseconds maxReadDelay {0}; ///< Upper bound of the time the answer waited before it was read.
};

/// The store reported changes of a feed.
struct FeedChanged {
    FeedChange change;
};

/// Shutdown of the process was requested.
struct RangeStopRequested { };

/// A SendRangePeerMessage was not sent, because there is no connection to the instance yet or any more.
struct RangeMessageDropped {
    std::string to; ///< Instance id.
};

using RangeEvent = std::variant<RangeTick, RangeServersListed, RangeEvacuationsListed, RangeServicesConfigured,
    RecordRead, RecordWritten, RangeCallEnded, RangePeerMessage, KeysCounted, SpeedsObserved, ColdDemandsObserved,
    LeavingServersObserved, StoreReachabilityChanged, FeedRevisionConfirmed, FeedChanged, RangeStopRequested,
    RangeMessageDropped>;

/// `now` includes time in which the machine was suspended; otherwise leases would seem valid after they expired.
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
    std::uint64_t expectedVersion = 0; ///< 0: the record must not exist yet.
    std::string value;
    std::uint64_t era = 0; ///< Era of the store that `expectedVersion` belongs to.
};

struct GrantRange {
    std::uint64_t callId = 0;
    RangeHolder server;
    KeyRange range;
    std::uint64_t fence = 0; ///< Fencing token.
    Milliseconds leaseTime {0};
    std::string handover; ///< State from the previous owner's release; empty: none.
};

struct ReleaseRange {
    std::uint64_t callId = 0;
    RangeHolder server;
    KeyRange range;
    std::uint64_t fence = 0;
};

struct SendRangePeerMessage {
    std::string to; ///< Instance id.
    wire::Envelope envelope; ///< The transport fills in protocol version and sender.
};

struct RangePeer {
    std::string id;
    std::string address;

    bool operator==(const RangePeer&) const = default;
};

/// Replaces the set of instances that messages can be sent to.
struct ConnectRangePeers {
    std::vector<RangePeer> peers;
};

struct PublishRanges {
    std::shared_ptr<const RangeTable> table;
};

/// In-flight requests of all instances on busy servers, from the latest reports.
struct PublishLoads {
    ServerLoads inFlight;
};

/// Publishes this instance's permits for cold servers; they replace all earlier ones.
struct PublishColdPermits {
    ColdPermits permits;
    MonotonicTime validUntil; ///< By the clock of the events.
};

/// Publishes the number of running instances.
struct PublishInstanceCount {
    std::uint32_t instanceCount = 1;
};

/// Switches the source of the feeds.
struct SelectFeedSource {
    FeedSource source = FeedSource::Store;
};

/// Applies feed changes that were received from the leader.
struct ApplyFeedChange {
    FeedChange change;
};

/// Fetches the changes of one feed from the store.
struct FetchFeed {
    std::string feed;
};

struct WriteRangeLog {
    LogEvent event {};
    std::string details;
};

using RangeEffect = std::variant<ReadRecord, WriteRecord, GrantRange, ReleaseRange, SendRangePeerMessage,
    ConnectRangePeers, PublishRanges, PublishLoads, PublishColdPermits, PublishInstanceCount, SelectFeedSource,
    ApplyFeedChange, FetchFeed, WriteRangeLog>;
using RangeEffects = std::vector<RangeEffect>;
/// @}

} // namespace jasminespread
