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
    enum class ChangeStage : std::uint8_t {
        ReadingBase, ///< Waiting for the store's object on which the change is to be based.
        Writing,
        ReadingBack, ///< A write was lost or met another version; the store's object shows what happened.
        Confirming ///< Stored; waiting for the regions.
    };

    /// One change that operators asked for.
    struct OperatorChange {
        std::vector<std::uint64_t> requests; ///< More than one when the same change id was sent again meanwhile.
        Configuration proposed;
        std::uint64_t baseRevision = 0;
        ChangeStage stage = ChangeStage::ReadingBase;
        MonotonicTime acceptReadsFrom; ///< Answers to reads that started earlier are too old.
        MonotonicTime nextReadBackAt = MonotonicTime::max();
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
    bool adoptDocument(const std::string& document, std::uint64_t objectVersion, const std::string& source);
    /// Sends the configuration in force to the peers of this region.
    void sendToOwnRegion();
    /// Sends it to the delegates of the other regions, so that each link between regions carries it once.
    void sendToOtherRegions();
    /// Sends it to one peer, unless that was done within the resend interval.
    void sendConfiguration(const std::string& to);
    void recordSent(const std::string& to);
    void sendAck(const std::string& to);
    /// Asks @p peer for its configuration if its revision is higher than the one in force.
    void requestIfNewer(std::uint64_t peerRevision, const std::string& peer);
    void recordPeerRevision(const wire::InstanceReference& peer, std::uint64_t peerRevision);
    void eraseRemovedPeers();
    /// @}

    /// @name Changes
    /// @{
    void startChange(const OperatorRequested& request);
    /// Attaches the request to a pending load with the same change id. Returns whether there is one.
    bool joinPendingChange(OperatorChange& change);
    /// Goes on with the confirmation if this change already took effect. Returns whether it did.
    bool recognizePastChange(OperatorChange& change);
    void readForChange(OperatorChange& change, ChangeStage stage);
    /// Writes the change or refuses it, by the store's object on which it is to be based.
    void continueFromBase(OperatorChange& change, const StoreRead& read);
    void writeChange(OperatorChange& change, std::uint64_t expectedVersion);
    /// Decides by the store's object whether a write with a lost or negative answer took effect.
    void resolveReadBack(OperatorChange& change, const StoreRead& read);
    /// Sends the stored revision to the regions and starts to wait for them.
    void startConfirmation(OperatorChange& change);
    /// Acts on the passing of time.
    void advanceChange(OperatorChange& change);
    /// Answers if every region has confirmed or the time for it is over.
    void checkConfirmation(OperatorChange& change);
    [[nodiscard]] bool hasConfirmed(const PeerInfo& peer, std::uint64_t wantedRevision) const;
    void refuseInvalid(OperatorChange& change, const std::vector<std::string>& errors);
    void refuseConflict(OperatorChange& change);
    void answerUnknown(OperatorChange& change, const std::string& message);
    void answerUnavailable(OperatorChange& change, const std::string& message);
    /// Answers all requests of the load and counts its result; the load is removed afterwards.
    void finishChange(OperatorChange& change, unsigned status, boost::json::object body);
    [[nodiscard]] const Configuration* pastByChangeId(const std::string& changeId) const;
    [[nodiscard]] const Configuration* pastByRevision(std::uint64_t wantedRevision) const;
    /// @}

    void log(LogEvent event, const std::string& details);
    [[nodiscard]] const PeerInfo* findPeer(const std::string& id) const;

    const InstanceSettings& m_settings;
    std::uint64_t m_incarnation;
    std::uint64_t m_changeIdCounter = 0;

    std::optional<Configuration> m_inForce;
    std::string m_document; ///< JSON form of the configuration in force.
    std::uint64_t m_objectVersion = 0;
    bool m_absentInStore = false; ///< The newest store answer said that there is no configuration.
    std::deque<Configuration>
        m_pastConfigurations; ///< Newest revisions that were in force; recognizes changes, explains conflicts.
    std::string m_rejectedDocument; ///< Newest document that failed the check; logged once.

    MonotonicTime m_nextReadAt; ///< The first event is always later, so that the first read is sent at once.
    MonotonicTime m_nextRequestAt;
    std::map<std::string, PeerProgress> m_peerProgress; ///< By peer id.
    std::vector<OperatorChange> m_changes;

    /// @name Valid during reduce()
    /// @{
    MonotonicTime m_now;
    const std::vector<PeerInfo>* m_peers = nullptr;
    Effects m_effects;
    /// @}
};

} // namespace jasminespread
