#pragma once

#include "ranges/range_event.h"
#include "ranges/range_lease_manager.h"
#include "ranges/range_leadership.h"
#include "ranges/range_table_messages.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jasminespread {

/// The decision core for key ranges of one instance. As leader it grants the ranges of all keyed services and tells
/// the other instances who owns what; as follower it reports to the leader and takes over when that is silent.
/// Reads no clock and does no I/O. Not thread-safe.
class RangeAuthority {
public:
    RangeAuthority(LeaderRecord self, RangeTimes rangeTimes, LeadershipTimes leadershipTimes, std::uint64_t seed);

    /// Applies one event and returns what the shell must do, in order.
    /// Precondition: event times never go backwards.
    [[nodiscard]] RangeEffects reduce(TimedRangeEvent event);
    [[nodiscard]] bool isLeader() const noexcept { return m_leadership.role() == RangeLeadership::Role::Leader; }
    [[nodiscard]] std::uint64_t term() const noexcept;
    /// Whether a table is known for each of @p services.
    [[nodiscard]] bool knowsRanges(const std::vector<std::string>& services) const;

private:
    struct Member {
        std::uint64_t incarnation = 0;
        std::string address;
        MonotonicTime heardAt;
        bool leaving = false;
        bool reachesStore = false;
        double fitness = 0; ///< To lead, from 0 to 1.
        std::map<std::string, std::uint32_t> inFlight; ///< By server.
    };

    /// A keyed service of which this instance is the leader.
    struct Kept {
        std::unique_ptr<RangeKeeper> keeper;
        bool adopted = false;
        bool reading = false;
        MonotonicTime nextReadAt;
    };

    void handle(RangeTick&& event);
    void handle(RangeServersListed&& event);
    void handle(RangeServicesConfigured&& event);
    void handle(RecordRead&& event);
    void handle(RecordWritten&& event);
    void handle(RangeCallEnded&& event);
    void handle(RangePeerMessage&& event);
    void handle(KeysCounted&& event);
    void handle(SpeedsObserved&& event);
    void handle(StoreReached&& event);
    void handle(FeedAnswered&& event);
    void handle(FeedChanged&& event);
    void handle(RangeStopRequested&& event);

    void receive(const wire::RangeLeaderHeartbeat& message, const wire::InstanceReference& sender);
    void receive(const wire::InstanceReport& message, const wire::InstanceReference& sender);
    void receive(const wire::RangeTableView& message);
    void receive(const wire::FeedChange& message);

    void followLeadership();
    void beginTerm();
    void endTerm();
    void confirmEarlier();
    void stepKeepers();
    void stepKept(const std::string& service, Kept& kept);
    void shareTable(const std::string& service, const Kept& kept);
    void readBack(Kept& kept, const StoreReadResult& result);
    void adopt(const std::string& service, Kept& kept, const StoreReadResult& result);
    void sendHeartbeats();
    void sendReport();
    void connectPeers();
    void followFeeds();
    void sendTables(const std::string& to);
    void countMembers();
    [[nodiscard]] MonotonicTime earlierHoldEnd() const;
    [[nodiscard]] std::string successor() const;
    [[nodiscard]] std::map<std::string, Member>::const_iterator fittestMember() const;
    void addLoads(const wire::InstanceReport& report);
    [[nodiscard]] std::map<std::string, std::uint32_t> busyServers() const;
    void addSpeed(const ObservedSpeed& speed);
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
    bool m_reachesStore = false;

    std::uint64_t m_term = 0; ///< Of the term that this instance leads; 0: none.
    RangeNumbers m_numbers;
    std::map<std::string, Kept> m_kept;
    RangeTableSender m_sender; ///< Of the term that this instance leads.
    std::map<std::string, Member> m_members; ///< By instance id; other than this one.
    std::set<std::string> m_unconfirmed; ///< Earlier leaders that may still grant.
    MonotonicTime m_earlierStoppedAt; ///< When the last of them was known to have stopped.
    MonotonicTime m_nextHeartbeatAt;
    MonotonicTime m_nextReportAt;
    MonotonicTime m_nextStepAt;
    std::vector<RangePeer> m_peers;
    ViewSharing m_view;
    bool m_missedChanges = false; ///< Changes of a table did not fit; to be reported.
    FeedSource m_feedSource = FeedSource::Store;
    std::uint32_t m_instances = 0;

    std::map<std::string, std::shared_ptr<const RangeTable>> m_tables; ///< Newest, by service.
    std::map<std::string, std::uint32_t> m_inFlight; ///< Of this instance, by server.
    std::map<std::string, ObservedSpeed> m_speeds; ///< Not reported yet, by server.
    std::map<std::string, std::map<std::uint16_t, std::uint32_t>> m_counts; ///< Not reported yet, by service and key.
};

} // namespace jasminespread
