#pragma once

#include "ranges/range_event.h"
#include "ranges/range_placement.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminespread {

/// Times of the leases on ranges. docs/ranges.md derives them from each other.
struct RangeTimes {
    Milliseconds leaseTime {2500}; ///< How long a grant is valid.
    Milliseconds renewalInterval {600}; ///< Time from sending a grant to sending its renewal.
    Milliseconds callTimeout {400}; ///< An unanswered call is reset after this time.
    Milliseconds networkMargin {200}; ///< Allowance for the network delay of a call and of its reset to the server.
    double clockDriftFactor = 1.02; ///< A slow server clock may stretch a lease by at most this factor.

    /// Time by which a grant that was sent at @p sentAt has expired, whether or not it was answered.
    [[nodiscard]] MonotonicTime leaseEnd(MonotonicTime sentAt) const noexcept
    {
        const auto stretchedLease = std::chrono::duration_cast<Milliseconds>(leaseTime * clockDriftFactor);
        return sentAt + callTimeout + networkMargin + stretchedLease;
    }
};

/// Number sequences of a leader; each number is unique within the term.
struct RangeCounters {
    std::uint64_t term = 0;
    std::uint64_t lastFence = 0;
    std::uint64_t lastCallId = 0;
    std::uint64_t lastTableVersion = 0;

    [[nodiscard]] bool isOfTerm(std::uint64_t fence) const noexcept { return fence >> fenceBits == term; }
    /// Returns a fencing token above all earlier ones of this and all earlier terms.
    [[nodiscard]] std::uint64_t nextFence() noexcept { return (term << fenceBits) + ++lastFence; }
    [[nodiscard]] std::uint64_t nextCallId() noexcept { return ++lastCallId; }
    /// Returns a table version; it also increases when the ranges of a service are adopted again within the term.
    [[nodiscard]] std::uint64_t nextTableVersion() noexcept { return ++lastTableVersion; }

private:
    /// Low bits of a fencing token, which count within the term; the term is in the bits above. Both together fit a
    /// JSON number.
    static constexpr unsigned fenceBits = 24;
};

/// Manages the exclusive leases on the key ranges of one service, for the leader of one term. It records a holder
/// before granting, grants only after every other possible holder has released the range or its lease has expired,
/// renews leases, and moves ranges between servers. Does no I/O; not thread-safe.
class RangeKeeper {
public:
    /// Preconditions: @p counters and @p effects outlive the keeper; adopt() is the first call.
    RangeKeeper(std::string service, RangeTimes times, RangeCounters& counters, RangeEffects& effects);

    /// Starts from the stored record of @p version. Its holders may have leases from an earlier leader until
    /// @p earlierLeaseEnd. Without a record (version 0) there are no leases.
    void adopt(const std::optional<RangesRecord>& record, std::uint64_t version, MonotonicTime earlierLeaseEnd);
    /// Leases that earlier leaders granted end at @p earlierLeaseEnd at the latest.
    void limitEarlierLeases(MonotonicTime earlierLeaseEnd);
    /// The store was restored from an earlier copy, so the stored record may lack the present holders. Until
    /// renewTerm() the keeper writes no record and grants only to the sole holders of ranges that it knows to have
    /// them.
    void onRecordLost(MonotonicTime now);
    /// The leader has begun a term of the new era (RangeCounters::term) and remembers its grants: writes the record
    /// again. Until @p unknownLeaseEnd, unknown leaders may have granted the ranges to other servers: the holders that
    /// the keeper knows get their grants with the token that they have accepted, which fails if another leader has
    /// granted with a higher one, and no other server gets a grant.
    void renewTerm(MonotonicTime unknownLeaseEnd);
    /// Grants to no server before @p unknownLeaseEnd, except to holders that are known since onRecordLost().
    void holdGrants(MonotonicTime unknownLeaseEnd) { m_unknownLeaseEnd = unknownLeaseEnd; }
    /// Whether the stored record is this keeper's and has been written in the present era.
    [[nodiscard]] bool isRecordStored() const noexcept
    {
        return !m_recordLost && m_recordedGeneration >= m_eraGeneration && m_recordedGeneration > 0;
    }
    void setServers(std::shared_ptr<const ServerList> servers);
    /// Servers that have stated that they are shutting down, whatever their listed state; they get no ranges.
    void setLeavingServers(std::set<ServerIdentity> servers) { m_leavingServers = std::move(servers); }
    /// Failure domains whose servers must get nothing. They get no ranges; those that they have move away as from a
    /// server that has stated that it is shutting down.
    void setEvacuatedDomains(std::set<std::string> domains) { m_evacuatedDomains = std::move(domains); }
    /// Servers in their slow start, which tolerate @p rate requests per second each. They get no ranges while another
    /// server is ready.
    void setColdServers(std::set<ServerIdentity> servers, double rate)
    {
        m_coldServers = std::move(servers);
        m_coldRate = rate;
    }
    void addLoad(std::uint16_t key, double requests) { m_load.add(key, requests); }
    /// Adds an instance's latency measurement of a server; that of another service's server has no effect.
    void addSpeed(const ObservedSpeed& speed);
    /// Does all work that is due. Sends grants and releases only if @p mayGrant, and moves ranges only if also
    /// @p storeAvailable.
    void step(MonotonicTime now, bool mayGrant, bool storeAvailable);
    /// What a call that has ended shows.
    enum class CallEnd : std::uint8_t {
        OtherKeeper, ///< The call does not belong to this keeper.
        Applied, ///< Its result was applied.
        LaterTerm ///< The same, and the server has accepted a grant of a leader of a later term.
    };

    /// Applies the result of a call and continues with its range only. Sends grants and releases only if @p mayGrant.
    CallEnd onCallEnded(const RangeCallEnded& event, MonotonicTime now, bool mayGrant);
    void onRecordWritten(const StoreWriteResult& result);
    /// Term of the stored record compared with this term.
    enum class ReadBackResult : std::uint8_t {
        NoOtherTerm, ///< This term's record, no record, or no answer.
        EarlierTerm, ///< An earlier leader wrote after this term adopted the record; adopt it again.
        LaterTerm ///< Another instance leads in a later term, or the record cannot be parsed.
    };

    /// Applies the result of reading the record again after a write with an unknown outcome or a conflict.
    [[nodiscard]] ReadBackResult onRecordReadBack(const StoreReadResult& result);

    [[nodiscard]] const std::string& service() const noexcept { return m_service; }
    [[nodiscard]] std::shared_ptr<const RangeTable> table() const noexcept { return m_table; }
    /// Latest time at which any holder's lease may still be valid.
    [[nodiscard]] MonotonicTime latestLeaseEnd() const;

private:
    struct Holder {
        RangeHolder process;
        std::uint64_t fence = 0; ///< Newest fencing token sent to it in this term; 0: none.
        MonotonicTime leaseEndBound; ///< Its lease has expired by then unless it is granted again.
        MonotonicTime unansweredGrantEnd; ///< A late execution of an unanswered grant expires by then.
        bool grantConfirmed = false; ///< It accepted a grant with `fence`.
        bool fromEarlierTerm = false; ///< It may have a lease granted in an earlier term.
        /// The keeper granted the range to it before the record was lost; it has the range unless it refuses `fence`.
        bool isRemembered = false;
        /// It may have the lease at another address, where it was listed before; what its present address answers does
        /// not end that lease.
        bool changedAddress = false;
        unsigned fencingAttempts = 0; ///< Grants sent to fence off an earlier leader.
    };

    struct RangeState {
        KeyRange range;
        std::vector<Holder> holders; ///< The last one is the intended owner if hasTarget.
        bool hasTarget = false;
        std::uint64_t requiredGeneration = 0; ///< The target is granted only after this generation is stored.
        std::string handover; ///< State of the previous owner, sent with the next grant.
        std::uint64_t callId = 0; ///< Call in flight; 0: none.
        bool callIsRelease = false;
        bool callHasNewFence = false; ///< It is the first one with its fencing token.
        RangeHolder callServer;
        MonotonicTime callSentAt;
        MonotonicTime leaseEndBeforeCall; ///< `leaseEndBound` of `callServer` without the grant in flight.
        MonotonicTime nextCallAt;
        unsigned failureScore = 0; ///< Sum over the consecutive grants without an answer.
        MonotonicTime rebalancedAt; ///< Last move for load balancing.
    };

    [[nodiscard]] const ListedServer* findListed(const ServerIdentity& identity) const;
    [[nodiscard]] bool mayServeRanges(
        const ServerIdentity& identity) const; ///< It is listed, not draining and not excluded.
    [[nodiscard]] bool mayKeepRanges(
        const ServerIdentity& identity) const; ///< The same, and it is neither shutting down nor evacuated.
    [[nodiscard]] bool mayReceiveRanges(const ServerIdentity& identity) const; ///< The same, and it is ready.
    [[nodiscard]] std::vector<RangeServer> placementServers() const;
    [[nodiscard]] std::vector<PlacedRange> placedRanges(const std::vector<RangeServer>& servers) const;
    /// Slots divided by the relative latency.
    [[nodiscard]] double effectiveCapacity(const ListedServer& server) const;
    void limitColdServers(std::vector<RangeServer>& servers) const;
    /// Capacity at which each of @p coldCount cold servers has its rate as its share, beside servers of @p capacity.
    [[nodiscard]] double coldCapacity(double capacity, std::size_t coldCount) const;
    void createRanges();
    void stepRange(RangeState& rangeState, bool mayGrant);
    void stepHeldRange(RangeState& rangeState);
    void chooseTarget(RangeState& rangeState);
    void setTarget(RangeState& rangeState, const RangeHolder& target);
    void revokeFrom(RangeState& rangeState, Holder& holder);
    void sendGrant(RangeState& rangeState, Holder& holder);
    void sendRelease(RangeState& rangeState, Holder& holder);
    void dropExpiredHolders(RangeState& rangeState);
    void replaceRestartedHolders(RangeState& rangeState);
    static void combineEqualHolders(RangeState& rangeState);
    [[nodiscard]] bool holdsGrants() const noexcept { return m_recordLost || m_now < m_unknownLeaseEnd; }
    [[nodiscard]] static bool isInCall(const RangeState& rangeState, const Holder& holder);
    void onGrantEnded(RangeState& rangeState, Holder& target, const RangeCallEnded& event);
    void onReleaseEnded(RangeState& rangeState, Holder& holder, const RangeCallEnded& event);
    void rebalance();
    void startMove(const RangeMove& planned, const std::vector<RangeServer>& servers);
    void mergeNeighbours();
    void syncRecord();
    [[nodiscard]] RangesRecord record() const;
    void applyCallResult(RangeState& rangeState, const RangeCallEnded& event);
    [[nodiscard]] RangeRoute routeOf(const RangeState& rangeState) const;
    [[nodiscard]] bool isPublished(const RangeState& rangeState) const;
    void publish();
    void log(LogEvent event, const RangeState& rangeState, const std::string& server, std::string_view reason);

    std::string m_service;
    RangeTimes m_times;
    RangeCounters& m_counters;
    RangeEffects& m_effects;
    MonotonicTime m_now;
    std::shared_ptr<const ServerList> m_servers;
    std::unordered_map<std::string, const ListedServer*> m_listed; ///< Servers of the service in `m_servers`, by id.
    std::set<ServerIdentity> m_leavingServers;
    std::set<std::string> m_evacuatedDomains;
    std::set<ServerIdentity> m_coldServers;
    double m_coldRate = 0; ///< Requests per second that each of them tolerates.
    std::map<ServerIdentity, MonotonicTime> m_excludedUntil; ///< Servers that failed to answer grants.
    std::vector<RangeState> m_ranges; ///< Sorted by key, without gaps; empty until there are servers.
    KeyLoad m_load;
    std::optional<LeastLoadedPlacement>
        m_placement; ///< Valid within one step; created when the first range needs a server.
    std::map<std::string, double> m_slowness; ///< Latency relative to the typical latency, by server id.
    MonotonicTime m_nextRebalanceAt;
    std::map<ServerIdentity, MonotonicTime> m_lastMoveAt; ///< Last move from or to a server.

    bool m_recordLost = false; ///< The store has a new era, and the leader has no term of that era yet.
    std::uint64_t m_eraGeneration = 0; ///< Generation from which on a stored record is of the present era.
    MonotonicTime m_unknownLeaseEnd; ///< Leases of unknown leaders have expired by then.
    std::uint64_t m_version = 0; ///< Version of the stored record.
    std::uint64_t m_generation = 1; ///< Of the holders; increases with each change that must be stored.
    std::uint64_t m_recordedGeneration = 0; ///< Latest one in the stored record; 0: this keeper has stored none.
    bool m_recordHasExpiredHolders = false; ///< The stored record lists holders whose leases have expired.
    std::uint64_t m_writingGeneration = 0; ///< The one that is being written; 0: no write in flight.
    std::string m_writingText;
    bool m_mustReadBack = false;
    bool m_readingBack = false;
    MonotonicTime m_nextWriteAt;

    std::shared_ptr<const RangeTable> m_table;
    MonotonicTime m_publishedAt;
};

} // namespace jasminespread
