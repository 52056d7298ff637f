#pragma once

#include "ranges/range_event.h"
#include "ranges/range_placement.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jasminespread {

/// Times of grants. docs/ranges.md derives them from one another.
struct RangeTimes {
    Milliseconds hold {2500}; ///< Length of a grant.
    Milliseconds renewal {600}; ///< From one grant to its renewal.
    Milliseconds callTimeout {400}; ///< A call without an answer is reset after this time.
    Milliseconds margin {200}; ///< For the way of a call, and of its reset, to the server.
    double slowestClock = 1.02; ///< A server's clock may measure a hold this much too long.

    /// Time from sending a grant after which it holds nothing, whether or not it was answered.
    [[nodiscard]] MonotonicTime holdEnd(MonotonicTime sentAt) const noexcept
    {
        const auto measured = std::chrono::duration_cast<Milliseconds>(hold * slowestClock);
        return sentAt + callTimeout + margin + measured;
    }
};

/// Numbers that the leader gives out; unique within its term.
struct RangeNumbers {
    std::uint64_t term = 0;
    std::uint64_t fences = 0;
    std::uint64_t calls = 0;
    std::uint64_t tables = 0;

    /// A fence above all earlier ones of this term and of all earlier terms.
    [[nodiscard]] std::uint64_t nextFence() noexcept { return (term << fenceBits) + ++fences; }
    [[nodiscard]] std::uint64_t nextCall() noexcept { return ++calls; }
    /// Version of a table; rises although the ranges of a service are adopted anew within the term.
    [[nodiscard]] std::uint64_t nextTable() noexcept { return ++tables; }

private:
    /// Fences of one term; the term stands above them, so that both fit a JSON number.
    static constexpr unsigned fenceBits = 24;
};

/// Keeps each key of one service with one server, for the leader of one term: records holders before it grants, grants
/// only after every other possible holder released the range or its hold has ended, renews, and moves ranges.
/// Pure; not thread-safe.
class RangeKeeper {
public:
    /// Preconditions: @p numbers and @p effects outlive the keeper; adopt() is called before all else.
    RangeKeeper(std::string service, RangeTimes times, RangeNumbers& numbers, RangeEffects& effects);

    /// Begins with the holders that were recorded as @p version, which may hold their ranges until @p heldUntil by
    /// grants of an earlier leader. Without a record (version 0) nobody holds anything.
    void adopt(const std::optional<RangesRecord>& record, std::uint64_t version, MonotonicTime heldUntil);
    /// Earlier leaders' grants end at @p heldUntil at the latest.
    void limitEarlierHolds(MonotonicTime heldUntil);
    void setServers(std::shared_ptr<const ServerList> servers);
    void addLoad(std::uint16_t key, double requests) { m_load.add(key, requests); }
    /// An instance saw a server of any service answer at this speed.
    void addSpeed(const ObservedSpeed& speed);
    /// Takes every step that is due. Grants and releases are sent only while @p mayGrant.
    void step(MonotonicTime now, bool mayGrant, bool storeAnswers);
    /// Takes the next step of the call's range, without a look at the others; grants and releases are sent only while
    /// @p mayGrant. True when the call was this keeper's. A Fenced result means that another leader may have a higher
    /// term.
    bool callEnded(const RangeCallEnded& event, MonotonicTime now, bool mayGrant);
    void written(const StoreWriteResult& result);
    /// Whose record was found when it was read back.
    enum class Found : std::uint8_t {
        Own, ///< Or none, or no answer.
        Earlier, ///< An earlier leader wrote after this term adopted the record: it has to be adopted again.
        Later ///< Another instance leads by a later term.
    };

    /// Result of reading the record back after a write with an unknown outcome or a conflict.
    [[nodiscard]] Found readBack(const StoreReadResult& result);

    [[nodiscard]] const std::string& service() const noexcept { return m_service; }
    [[nodiscard]] std::shared_ptr<const RangeTable> table() const noexcept { return m_table; }
    /// Time at which the last hold that this keeper granted ends.
    [[nodiscard]] MonotonicTime lastHoldEnd() const;

private:
    struct Holder {
        RangeHolder who;
        std::uint64_t fence = 0; ///< Newest one sent to it in this term; 0: none.
        MonotonicTime mayHoldUntil; ///< It holds nothing afterwards unless it is granted again.
        MonotonicTime unansweredUntil; ///< A grant without an answer may be carried out late, and ends by then.
        bool granted = false; ///< It answered a grant of `fence`.
        bool earlier = false; ///< It may hold by a grant of an earlier term.
        unsigned fencingTries = 0; ///< Grants that were to fence off an earlier leader.
    };

    struct Owned {
        KeyRange range;
        std::vector<Holder> holders; ///< The last one is the target while hasTarget.
        bool hasTarget = false;
        std::uint64_t neededGeneration = 0; ///< The record must have this one before the target is granted.
        std::string handover;
        std::uint64_t call = 0; ///< In flight; 0: none.
        bool callIsRelease = false;
        RangeHolder callTo;
        MonotonicTime callSentAt;
        MonotonicTime heldBeforeCall; ///< mayHoldUntil of `callTo` without the grant in flight.
        MonotonicTime nextCallAt;
        unsigned misses = 0; ///< Weight of the grants without an answer, in a row.
        MonotonicTime movedAt; ///< Last change of target by choice.
    };

    [[nodiscard]] const ListedServer* listed(const ServerIdentity& life) const;
    [[nodiscard]] bool isUsable(const ServerIdentity& life) const; ///< May keep what it has.
    [[nodiscard]] bool isEligible(const ServerIdentity& life) const; ///< May get more.
    [[nodiscard]] std::vector<RangeServer> placementServers() const;
    [[nodiscard]] std::vector<PlacedRange> placedRanges(const std::vector<RangeServer>& servers) const;
    /// Slots, less where the server is slow.
    [[nodiscard]] double capacityOf(const ListedServer& server) const;
    void createRanges();
    void stepRange(Owned& owned, bool mayGrant);
    void chooseTarget(Owned& owned);
    void setTarget(Owned& owned, const RangeHolder& target);
    void freeFrom(Owned& owned, Holder& holder);
    void sendGrant(Owned& owned, Holder& holder);
    void sendRelease(Owned& owned, Holder& holder);
    void dropEnded(Owned& owned);
    void finishGrant(Owned& owned, Holder& target, const RangeCallEnded& event);
    void finishRelease(Owned& owned, Holder& holder, const RangeCallEnded& event);
    void rebalance();
    void move(const RangeMove& move, const std::vector<RangeServer>& servers);
    void mergeNeighbours();
    void writeRecord();
    [[nodiscard]] RangesRecord record() const;
    void endCall(Owned& owned, const RangeCallEnded& event);
    [[nodiscard]] RangeRoute routeOf(const Owned& owned) const;
    [[nodiscard]] bool isPublished(const Owned& owned) const;
    void publish();
    void log(LogEvent event, const Owned& owned, const std::string& server, std::string_view why);

    std::string m_service;
    RangeTimes m_times;
    RangeNumbers& m_numbers;
    RangeEffects& m_effects;
    MonotonicTime m_now;
    std::shared_ptr<const ServerList> m_servers;
    std::unordered_map<std::string, const ListedServer*> m_listed; ///< Servers of the service in `m_servers`, by id.
    std::map<ServerIdentity, MonotonicTime> m_lostUntil; ///< Servers that did not answer grants.
    std::vector<Owned> m_ranges; ///< In order, without gaps; empty until there are servers.
    KeyLoad m_load;
    std::optional<LeastLoaded> m_leastLoaded; ///< During one step, once a range needs a server.
    std::map<std::string, double> m_slowness; ///< Of servers, in multiples of the usual latency.
    MonotonicTime m_rebalanceAt;
    std::map<ServerIdentity, MonotonicTime> m_movedAt; ///< Servers that took part in a move.

    std::uint64_t m_version = 0; ///< Of the stored record.
    std::uint64_t m_generation = 1; ///< Rises when a holder is added.
    std::uint64_t m_recordedGeneration = 0;
    bool m_recordIsWide = false; ///< It names holders that hold nothing any more.
    std::uint64_t m_writingGeneration = 0; ///< 0: no write in flight.
    std::string m_writingText;
    bool m_mustReadBack = false;
    bool m_readingBack = false;
    MonotonicTime m_nextWriteAt;

    std::shared_ptr<const RangeTable> m_table;
    MonotonicTime m_publishedAt;
};

} // namespace jasminespread
