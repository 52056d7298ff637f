#pragma once

#include <jasminespread/configuration.h>
#include <jasminespread/effect.h>
#include <jasminespread/event.h>
#include <jasminespread/impl/peer_info.h>
#include <jasminespread/instance_settings.h>

#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jasminespread {

/// Keeps the configuration in force, distributes it between instances and carries out operators' changes.
///
/// A change goes through these stages: read the store's object, write it on condition that it has not changed, resolve
/// a lost answer by reading back, then wait until every region confirms the new revision.
///
/// Pure: it reads no clock, draws no random numbers and does no I/O. Not thread-safe.
class ConfigurationControl {
public:
    /// @param incarnation random number of this process start; seeds change ids of requests that bring none.
    /// Precondition: @p settings outlives this object.
    ConfigurationControl(const InstanceSettings& settings, std::uint64_t incarnation);

    /// Applies one event; events that do not concern the configuration are ignored.
    /// @param peers all known entry instances without this one.
    /// Precondition: event times never go backwards.
    [[nodiscard]] Effects reduce(const TimedEvent& event, const std::vector<PeerInfo>& peers);

    /// The configuration in force, or null. Valid until the next call of reduce().
    [[nodiscard]] const Configuration* inForce() const noexcept;
    /// Revision of the configuration in force; 0 when there is none. Never falls.
    [[nodiscard]] std::uint64_t revision() const noexcept;

private:
    enum class LoadStage : std::uint8_t {
        ReadingBase, ///< Waiting for the store's object on which the change is to be based.
        Writing,
        ReadingBack, ///< A write was lost or met another version; the store's object shows what happened.
        Confirming ///< Stored; waiting for the regions.
    };

    /// One change that operators asked for.
    struct Load {
        std::vector<std::uint64_t> requests; ///< More than one when the same change id was sent again meanwhile.
        Configuration proposed;
        std::uint64_t baseRevision = 0;
        LoadStage stage = LoadStage::ReadingBase;
        MonotonicTime readNotBefore; ///< Answers to reads that started earlier are too old.
        MonotonicTime readAgainAt = MonotonicTime::max();
        MonotonicTime writtenAt; ///< When the newest write was sent.
        MonotonicTime deadline;
        std::uint64_t expectedVersion = 0; ///< Version on which the write is conditional.
        bool outcomeUnknown = false; ///< At least one write may have taken effect.
    };

    /// What is known of a peer's revision beyond PeerInfo.
    struct PeerProgress {
        std::uint64_t incarnation = 0;
        std::uint64_t revision = 0; ///< Newest revision that this incarnation reported.
        std::uint64_t sentRevision = 0; ///< Newest revision sent to it, directly or through a delegate, at sentAt.
        MonotonicTime sentAt;
    };

    /// @name Events
    /// @{
    void onStoreRead(const StoreRead& read);
    void onStoreWritten(const StoreWritten& written);
    void onPeerMessage(const wire::Envelope& envelope);
    void onOperatorRequest(const OperatorRequested& request);
    /// @}

    /// @name Distribution
    /// @{
    void readWhenDue();
    /// The instance of a region that reads the store and relays for the others: the lowest live ready id or, while
    /// none is ready, the lowest live id. Empty when no instance of the region is live.
    [[nodiscard]] std::string delegateOf(const std::string& region) const;
    [[nodiscard]] bool isDelegate() const { return delegateOf(m_settings.region) == m_settings.instance; }
    /// Brings a document into force if it is valid and newer. Returns whether it did.
    bool adopt(const std::string& document, std::uint64_t objectVersion, const std::string& source);
    /// Sends the configuration in force to the peers of this region.
    void sendToOwnRegion();
    /// Sends it to the delegates of the other regions, so that each link between regions carries it once.
    void sendToOtherRegions();
    /// Sends it to one peer, unless that was done within the resend interval.
    void sendConfiguration(const std::string& to);
    void noteSent(const std::string& to);
    void sendAck(const std::string& to);
    /// Asks @p peer for its configuration if its revision is higher than the one in force.
    void askIfHigher(std::uint64_t theirs, const std::string& peer);
    void noteRevision(const wire::InstanceReference& peer, std::uint64_t theirs);
    void forgetRemovedPeers();
    /// @}

    /// @name Changes
    /// @{
    void startLoad(const OperatorRequested& request);
    /// Attaches the request to a pending load with the same change id. Returns whether there is one.
    bool joinPendingLoad(Load& load);
    /// Goes on with the confirmation if this change already took effect. Returns whether it did.
    bool recognizePastChange(Load& load);
    void readForLoad(Load& load, LoadStage stage);
    /// Writes the change or refuses it, by the store's object on which it is to be based.
    void continueAfterRead(Load& load, const StoreRead& read);
    void writeLoad(Load& load, std::uint64_t expectedVersion);
    /// Decides by the store's object whether a write with a lost or negative answer took effect.
    void resolveReadBack(Load& load, const StoreRead& read);
    /// Sends the stored revision to the regions and starts to wait for them.
    void confirmLoad(Load& load);
    /// Acts on the passing of time.
    void advanceLoad(Load& load);
    /// Answers if every region has confirmed or the time for it is over.
    void checkConfirmation(Load& load);
    [[nodiscard]] bool hasConfirmed(const PeerInfo& peer, std::uint64_t wanted) const;
    void refuseInvalid(Load& load, const std::vector<std::string>& errors);
    void refuseConflict(Load& load);
    void answerUnknown(Load& load, const std::string& message);
    void answerUnavailable(Load& load, const std::string& message);
    /// Answers all requests of the load and counts its result; the load is removed afterwards.
    void finish(Load& load, unsigned status, boost::json::object body);
    [[nodiscard]] const Configuration* pastByChangeId(const std::string& changeId) const;
    [[nodiscard]] const Configuration* pastByRevision(std::uint64_t wanted) const;
    /// @}

    void log(LogEvent event, const std::string& details);
    [[nodiscard]] const PeerInfo* findPeer(const std::string& id) const;

    const InstanceSettings& m_settings;
    std::uint64_t m_incarnation;
    std::uint64_t m_changeCounter = 0;

    std::optional<Configuration> m_inForce;
    std::string m_document; ///< JSON form of the configuration in force.
    std::uint64_t m_objectVersion = 0;
    bool m_absentInStore = false; ///< The newest store answer said that there is no configuration.
    std::deque<Configuration> m_past; ///< Newest revisions that were in force; recognizes changes, explains conflicts.
    std::string m_rejectedDocument; ///< Newest document that failed the check; logged once.

    MonotonicTime m_nextRead; ///< The first event is always later, so that the first read is sent at once.
    MonotonicTime m_nextRequest;
    std::map<std::string, PeerProgress> m_progress; ///< By peer id.
    std::vector<Load> m_loads;

    /// @name Valid during reduce()
    /// @{
    MonotonicTime m_now;
    const std::vector<PeerInfo>* m_peers = nullptr;
    Effects m_effects;
    /// @}
};

} // namespace jasminespread
