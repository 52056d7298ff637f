#pragma once

#include "gateway/cold_permit_allocator.h"
#include "ranges/outdated_leaders.h"
#include "ranges/range_event.h"
#include "ranges/range_keeper.h"
#include "ranges/range_leadership.h"
#include "ranges/range_table_messages.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jasminespread {

/// Reducer that assigns key ranges to servers, one per instance. As leader it grants the ranges of all keyed services
/// and sends the routes to the other instances. As follower it reports to the leader and takes over when the leader's
/// heartbeats stop. Reads no clock and does no I/O. Not thread-safe.
class RangeAuthority {
public:
    RangeAuthority(LeaderRecord self, RangeTimes rangeTimes, LeadershipTimes leadershipTimes, std::uint64_t seed,
        std::optional<ColdServerLimits> coldLimits = std::nullopt);

    /// Applies one event and returns the effects for the caller to execute, in order.
    /// Precondition: event times never decrease.
    [[nodiscard]] RangeEffects reduce(TimedRangeEvent event);
    [[nodiscard]] bool isLeader() const noexcept { return m_leadership.role() == RangeLeadership::Role::Leader; }
    [[nodiscard]] std::uint64_t term() const noexcept;
    /// Whether a route table is known for each of @p services.
    [[nodiscard]] bool hasRangeTables(const std::vector<std::string>& services) const;
    /// FeedSourceSelector::confirmedAsOf() of @p feed, by the clock of the events.
    [[nodiscard]] std::optional<MonotonicTime> feedConfirmedAsOf(const std::string& feed) const
    {
        return m_feedSelector.confirmedAsOf(feed);
    }

private:
    /// Another instance that reports to this one.
    struct Member {
        std::uint64_t incarnation = 0;
        std::string address;
        MonotonicTime lastReportAt;
        bool leaving = false;
        bool storeReachable = false;
        double fitness = 0; ///< Fitness to lead, from 0 to 1.
        std::map<std::string, std::uint32_t> inFlight; ///< Its requests in flight, by server id.
        std::uint64_t coldReportSentAtMs = 0; ///< Of its latest report, by its own clock; 0: not stated.
        std::uint32_t coldReportTag = 0; ///< Goes back with that time.
        bool awaitsHeartbeat = false; ///< It is new, or the latest message to it was not sent.
    };

    /// A keyed service whose ranges this instance grants as leader.
    struct KeyedService {
        std::unique_ptr<RangeKeeper> keeper;
        bool adopted = false;
        bool readInFlight = false;
        MonotonicTime nextReadAt;
    };

    void handle(RangeTick&& event);
    void handle(RangeServersListed&& event);
    void handle(RangeEvacuationsListed&& event);
    void handle(RangeServicesConfigured&& event);
    void handle(RecordRead&& event);
    void handle(RecordWritten&& event);
    void handle(RangeCallEnded&& event);
    void handle(RangePeerMessage&& event);
    void handle(KeysCounted&& event);
    void handle(SpeedsObserved&& event);
    void handle(ColdDemandsObserved&& event);
    void handle(LeavingServersObserved&& event);
    void handle(StoreReachabilityChanged&& event);
    void handle(FeedRevisionConfirmed&& event);
    void handle(FeedChanged&& event);
    void handle(RangeStopRequested&& event);
    void handle(RangeMessageDropped&& event);

    void receive(const wire::RangeLeaderHeartbeat& message, const wire::InstanceReference& sender);
    void receive(const wire::InstanceReport& message, const wire::InstanceReference& sender);
    void receive(const wire::RangeTableView& message);
    void receive(const wire::FeedChange& message);
    void receive(const wire::RangeLeaderChange& message);

    void learnEra(std::uint64_t era);
    void applyLeadership();
    void beginTerm();
    void renewTerm();
    void adoptLeaderRecord();
    [[nodiscard]] bool areRecordsStored() const;
    void endTerm();
    void announceNextLeader();
    [[nodiscard]] wire::Envelope makeLeaderChange(const LeaderRecord& leader) const;
    void tellOutdatedLeaders();
    void onEarlierLeaderStopped();
    void stepServices();
    void stepService(const std::string& service, KeyedService& keyedService);
    void publishTable(const std::string& service, const KeyedService& keyedService);
    void handleReadBack(KeyedService& keyedService, const StoreReadResult& result);
    void adopt(const std::string& service, KeyedService& keyedService, const StoreReadResult& result);
    void sendHeartbeats();
    void sendAwaitedHeartbeats();
    [[nodiscard]] wire::RangeLeaderHeartbeat makeHeartbeat(const ServerLoads& busy) const;
    void updateColdServers();
    [[nodiscard]] double warmUpRateOf(const std::string& service) const;
    void allocateColdPermits();
    [[nodiscard]] bool mayIssueColdPermits() const;
    void addColdPermits(const std::string& to, const Member& member, wire::RangeLeaderHeartbeat& heartbeat);
    void receiveColdPermits(const wire::RangeLeaderHeartbeat& message);
    void receiveColdDemands(const wire::InstanceReport& message, const std::string& sender, Member& member);
    void sendHeartbeat(const std::string& to, Member& member, const wire::RangeLeaderHeartbeat& heartbeat);
    void sendReport();
    void connectPeers();
    void updateFeedSource();
    void sendTableUpdates(const std::string& to);
    void updateMembers();
    [[nodiscard]] MonotonicTime earlierLeaseEnd() const;
    [[nodiscard]] std::string chooseSuccessor() const;
    [[nodiscard]] std::map<std::string, Member>::const_iterator fittestMember() const;
    void addReportedLoads(const wire::InstanceReport& report);
    [[nodiscard]] ServerLoads busyServers() const;
    void addSpeed(const ObservedSpeed& speed);
    void addLeavingServers(const std::set<ServerIdentity>& servers);
    void log(LogEvent event, std::string details) { m_effects.emplace_back(WriteRangeLog {event, std::move(details)}); }

    LeaderRecord m_self;
    RangeTimes m_rangeTimes;
    LeadershipTimes m_leadershipTimes;
    RangeLeadership m_leadership;
    MonotonicTime m_now;
    RangeEffects m_effects;
    std::shared_ptr<const ServerList> m_servers;
    std::set<std::string> m_keyedServices;
    bool m_configured = false;
    bool m_stopping = false;
    bool m_storeReachable = false;
    bool m_storeAnswered = false; ///< Since the start of the process.

    std::uint64_t m_term = 0; ///< Term in which this instance leads; 0: none.
    RangeCounters m_counters;
    std::map<std::string, KeyedService> m_services;
    RangeTableSender m_tableSender; ///< Of the term in which this instance leads.
    std::map<std::string, Member> m_members; ///< By instance id, without this instance.
    std::set<std::string> m_unconfirmedLeaders; ///< Earlier leaders that may still grant.
    bool m_superseded = false; ///< A server has accepted a grant of a later term; its leader is not known yet.
    MonotonicTime m_earlierLeadersStoppedAt; ///< When the latest of them was confirmed to have stopped.
    std::uint64_t m_era = 0; ///< Newest known era of the store.
    /// The store has a new era, and this leader knows all grants of its term: no other leader can have moved a range.
    bool m_remembersGrants = false;
    MonotonicTime m_unknownLeaseEnd; ///< Leases that unknown leaders granted before this term have expired by then.
    MonotonicTime m_nextHeartbeatAt;
    MonotonicTime m_nextReportAt;
    MonotonicTime m_nextStepAt;
    MonotonicTime m_nextSuccessionCheckAt;
    std::vector<RangePeer> m_peers;
    OutdatedLeaders m_outdatedLeaders;
    FeedSourceSelector m_feedSelector;
    bool m_tableBaseMissing = false; ///< Table changes did not apply to the known table; set in the next report.
    FeedSource m_feedSource = FeedSource::Store;
    std::uint32_t m_instanceCount = 0;

    std::map<std::string, std::shared_ptr<const RangeTable>> m_knownTables; ///< Newest table, by service.
    std::set<std::string> m_evacuatedDomains; ///< Failure domains whose servers must get nothing.
    std::set<ServerIdentity> m_ownLeavingServers; ///< Servers that have stated so in answers to this instance.
    std::set<ServerIdentity> m_leavingServers; ///< Stated to any instance, as known in the term that this one leads.
    std::map<std::string, std::uint32_t> m_ownInFlight; ///< Requests in flight of this instance, by server id.
    std::optional<ColdServerLimits> m_coldLimits; ///< Nothing: requests to cold servers are not limited.
    std::map<std::string, double> m_warmUpRates; ///< Of the services with a limited rate, by name.
    ColdPermitAllocator m_coldPermits; ///< Of the term in which this instance leads.
    std::map<ServerIdentity, MonotonicTime> m_coldUntil; ///< End of the slow starts, as listed.
    std::set<ServerIdentity> m_coldServers; ///< As listed, or reported by an instance.
    ColdDemands m_unreportedColdDemands;
    std::map<std::string, ObservedSpeed> m_unreportedSpeeds; ///< Not reported yet, by server id.
    std::map<std::string, std::map<std::uint16_t, std::uint32_t>>
        m_unreportedCounts; ///< Not reported yet, by service and key.
};

} // namespace jasminespread
