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

/// Holds the configuration in force, distributes it between instances and executes operators' changes.
///
/// A change reads the stored object, writes it conditionally on its version, resolves a lost answer by reading it back,
/// and then waits until every region has confirmed the new revision.
///
/// Pure: it reads no clock, draws no random numbers and does no I/O. Not thread-safe.
class ConfigurationControl {
public:
    /// @param incarnation random number of this process start; part of the change ids of requests without one.
    /// Precondition: @p settings outlives this object.
    ConfigurationControl(const InstanceSettings& settings, std::uint64_t incarnation);

    /// Handles one event; events that do not concern the configuration are ignored.
    /// @param peers all known entry instances except this one.
    /// Precondition: event times never go backwards.
    [[nodiscard]] Effects reduce(const TimedEvent& event, const std::vector<PeerInfo>& peers);

    /// Returns the configuration in force, or null. The pointer is valid until the next call of reduce().
    [[nodiscard]] const Configuration* inForce() const noexcept;
    /// Returns the revision of the configuration in force, or 0 without one. Never decreases.
    [[nodiscard]] std::uint64_t revision() const noexcept;

private:
    enum class ChangeStage : std::uint8_t {
        ReadingBase, ///< Waiting for the stored object, to check the change against it.
        Writing,
        ReadingBack, ///< A write failed or its answer was lost; the stored object shows the outcome.
        Confirming ///< Stored; waiting for the regions to confirm.
    };

    /// A change requested by operators.
    struct OperatorChange {
        std::vector<std::uint64_t> requests; ///< Several if the same change id was sent again meanwhile.
        Configuration proposed;
        std::uint64_t baseRevision = 0;
        ChangeStage stage = ChangeStage::ReadingBase;
        MonotonicTime acceptReadsFrom; ///< Results of reads that started earlier are ignored.
        MonotonicTime nextReadBackAt = MonotonicTime::max();
        MonotonicTime writtenAt; ///< When the newest write was sent.
        MonotonicTime deadline;
        std::uint64_t expectedVersion = 0; ///< Stored version that the write requires.
        bool outcomeUnknown = false; ///< At least one write may have taken effect.
    };

    /// State of the distribution to a peer, in addition to PeerInfo.
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
    /// Returns the instance that reads the store and relays the configuration for its region: the lowest id of the live
    /// and ready instances or, while none is ready, of the live ones. Leaving peers do not count. Empty when the region
    /// has no such instance.
    [[nodiscard]] std::string delegateOf(const std::string& region) const;
    [[nodiscard]] bool isDelegate() const { return delegateOf(m_settings.region) == m_settings.instance; }
    /// Puts a document in force if it is valid and newer. Returns true if it did.
    bool adoptDocument(const std::string& document, std::uint64_t objectVersion, const std::string& source);
    /// Sends the configuration in force to the peers of this region.
    void sendToOwnRegion();
    /// Sends the configuration in force to the delegates of the other regions, so that it crosses each link between
    /// regions once.
    void sendToOtherRegions();
    /// Sends the configuration in force to one peer, unless this was done within the resend interval.
    void sendConfiguration(const std::string& to);
    void recordSent(const std::string& to);
    void sendAck(const std::string& to);
    /// Requests the configuration of @p peer if its revision is higher than the one in force.
    void requestIfNewer(std::uint64_t peerRevision, const std::string& peer);
    void recordPeerRevision(const wire::InstanceReference& peer, std::uint64_t peerRevision);
    void eraseRemovedPeers();
    /// @}

    /// @name Changes
    /// @{
    void startChange(const OperatorRequested& request);
    /// Adds the request to a pending change with the same change id. Returns true if there is one.
    bool joinPendingChange(OperatorChange& change);
    /// Starts the confirmation if this change has already taken effect; refuses it if another change has used its id.
    /// Returns true in both cases.
    bool recognizePastChange(OperatorChange& change);
    void readForChange(OperatorChange& change, ChangeStage stage);
    /// Checks the change against the stored object and then writes or refuses it.
    void continueFromBase(OperatorChange& change, const StoreRead& read);
    void writeChange(OperatorChange& change, std::uint64_t expectedVersion);
    /// Determines from the stored object whether a write with a lost or negative answer took effect.
    void resolveReadBack(OperatorChange& change, const StoreRead& read);
    /// Sends the stored revision to the regions and starts to wait for their confirmation.
    void startConfirmation(OperatorChange& change);
    /// Handles timeouts and due reads.
    void advanceChange(OperatorChange& change);
    /// Answers once every region has confirmed or the time for it is over.
    void checkConfirmation(OperatorChange& change);
    [[nodiscard]] bool hasConfirmed(const PeerInfo& peer, std::uint64_t proposedRevision) const;
    void refuseInvalid(OperatorChange& change, const std::vector<std::string>& errors);
    void refuseConflict(OperatorChange& change);
    void answerUnknown(OperatorChange& change, const std::string& message);
    void answerUnavailable(OperatorChange& change, const std::string& message);
    /// Answers all requests of the change and counts its result; the change is removed afterwards.
    void finishChange(OperatorChange& change, unsigned status, boost::json::object body);
    [[nodiscard]] const Configuration* findPastByChangeId(const std::string& changeId) const;
    [[nodiscard]] const Configuration* findPastByRevision(std::uint64_t pastRevision) const;
    /// @}

    void log(LogEvent event, const std::string& details);
    [[nodiscard]] const PeerInfo* findPeer(const std::string& id) const;

    const InstanceSettings& m_settings;
    std::uint64_t m_incarnation;
    std::uint64_t m_changeIdCounter = 0;

    std::optional<Configuration> m_inForce;
    std::string m_document; ///< JSON form of the configuration in force.
    std::uint64_t m_objectVersion = 0;
    bool m_absentInStore = false; ///< The newest successful store read found no configuration.
    /// Newest revisions that were in force, to recognize repeated changes and to explain conflicts.
    std::deque<Configuration> m_pastConfigurations;
    std::string m_rejectedDocument; ///< Newest document that was rejected, so that it is logged once.

    MonotonicTime m_nextReadAt; ///< Initially in the past, so that the first read is sent at once.
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
