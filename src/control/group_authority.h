#pragma once

#include "control/authority_clock.h"
#include "control/group_ownership.h"
#include "control/group_writer.h"
#include "control/reduce_context.h"

#include <jasminespread/event.h>
#include <jasminespread/routing_snapshot.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace jasminespread {

/// State and decisions of this instance for one placement group.
///
/// The primary of a group grants its partitions to servers and changes its record in the store. The standby takes over
/// when the primary is silent. Until then it backs the primary: its replies to heartbeats confirm that it has not
/// started to take over, which extends the primary's authority. When both fail, another instance of the home region
/// takes over.
class GroupAuthority {
public:
    GroupAuthority(GroupName group, const Service& service);

    /// @name Events
    /// Each function appends its effects to the context.
    /// @{
    /// Takes all decisions that are due. Precondition: @p service is the group's service in context.configuration.
    void decide(const ReduceContext& context, const Service& service, const OwnershipInput& input);
    /// Handles the group's object as seen by a store read that started at @p startedAt.
    void receiveStoredRecord(
        const ReduceContext& context, const GroupRecord& record, std::uint64_t version, MonotonicTime startedAt);
    /// Handles a list of all objects, started at @p startedAt, that does not contain the group.
    void noteAbsentInStore(MonotonicTime startedAt);
    /// Handles a peer's copy of the group record.
    void receiveView(const ReduceContext& context, const wire::GroupView& view);
    /// Handles the result of this instance's write of the group's object.
    void writeFinished(const ReduceContext& context, const StoreWritten& event);
    /// Handles the end of a read of the group's object. Precondition: receiveStoredRecord() has handled the object, if
    /// there is one.
    void readFinished(const ReduceContext& context, StoreStatus status) { m_writer.readBackFinished(context, status); }
    /// Handles the confirmation that @p standby backs this instance as primary of @p term, in reply to the heartbeat
    /// sent at @p requestedAt.
    void receiveBacking(const InstanceReference& standby, std::uint64_t term, MonotonicTime requestedAt);
    /// @}

    /// @name Leases
    /// @{
    /// Passes the partitions to be granted to each server to @p leases.
    void updateLeases(const ReduceContext& context, ServerLeases& leases);
    /// Copies the authority deadline to the object that workers read.
    void refreshSharedDeadline() const;
    /// Returns the authority deadline, or the epoch of the clock unless this instance is the primary with authority.
    [[nodiscard]] MonotonicTime authorityUntil() const { return m_primary ? m_clock.deadline() : MonotonicTime(); }
    /// Returns the deadline for workers, which refreshSharedDeadline() updates; null unless this instance is the
    /// primary.
    [[nodiscard]] std::shared_ptr<const AuthorityDeadline> sharedDeadline() const { return m_sharedDeadline; }
    /// @}

    /// @name Backing
    /// @{
    /// Returns the term for which to request backing from @p peer, or nothing when it is not the standby.
    [[nodiscard]] std::optional<std::uint64_t> backingRequestTerm(const InstanceReference& peer) const;
    /// True when this instance is the standby of @p primary in @p term and has not started to take over.
    [[nodiscard]] bool backsPrimary(
        const InstanceReference& self, const InstanceReference& primary, std::uint64_t term) const;
    /// @}

    /// @name State
    /// @{
    [[nodiscard]] const GroupRecord* record() const noexcept { return m_record ? &*m_record : nullptr; }
    [[nodiscard]] std::uint64_t version() const noexcept { return m_version; }
    /// The record for routing and for peers: the newest one whose changes the owners have accepted.
    [[nodiscard]] const GroupRecord* publishedRecord() const noexcept
    {
        return m_publishedRecord ? &*m_publishedRecord : nullptr;
    }
    [[nodiscard]] std::uint64_t publishedVersion() const noexcept { return m_publishedVersion; }
    [[nodiscard]] wire::GroupView publishedView() const;
    [[nodiscard]] bool isPrimary() const noexcept { return m_primary; }
    [[nodiscard]] bool isStandby(const InstanceReference& self) const;
    /// Returns the time from which this primary executes non-repeatable requests.
    [[nodiscard]] WallTime servingSince() const noexcept { return m_servingSince; }
    /// True when no request may be dispatched to the server because grants of earlier primaries may still be valid
    /// there.
    [[nodiscard]] bool blocksDispatch(const std::string& server) const
    {
        return m_primary && m_ownership.isUnconfirmed(server);
    }
    /// Increases whenever the routing of this group changes.
    [[nodiscard]] std::uint64_t generation() const noexcept { return m_generation; }
    /// True when decisions need a recent read of the store.
    [[nodiscard]] bool needsStoreRead(const ReduceContext& context) const;
    /// True when the store must be read at once instead of at the next poll.
    [[nodiscard]] bool needsStoreReadNow(const ReduceContext& context) const;
    /// Handles a server that has accepted a higher term, which means that another instance may have taken over.
    void suspectTakeover() { m_takeoverSuspected = true; }
    /// @}

private:
    [[nodiscard]] bool hasRecentRead(const ReduceContext& context) const;
    [[nodiscard]] bool takeoverPossible(const ReduceContext& context) const;
    [[nodiscard]] bool thirdPartyMayTakeOver(const ReduceContext& context) const;
    [[nodiscard]] bool mayCreate(const ReduceContext& context, const Service& service) const;
    [[nodiscard]] bool standbyMustChange(const ReduceContext& context) const;
    [[nodiscard]] bool acceptedByOwners(const OwnershipInput& input) const;

    void applyServiceSettings(const Service& service);
    void adoptRecord(const ReduceContext& context, GroupRecord record, std::uint64_t version,
        std::optional<ChangePurpose> ownChangePurpose);
    void applyChange(const ReduceContext& context, const AppliedChange& change);
    void becomePrimary(const ReduceContext& context, std::optional<ChangePurpose> ownChangePurpose);
    void reportMoves(const ReduceContext& context, const GroupRecord& before) const;
    void stepDown(const ReduceContext& context);
    void create(const ReduceContext& context, const Service& service, const OwnershipInput& input);
    void takeOver(const ReduceContext& context, ChangePurpose purpose);
    void handOver(const ReduceContext& context);
    void decideAsPrimary(const ReduceContext& context, const Service& service, const OwnershipInput& input);
    void proposeUpdate(const ReduceContext& context, const Service& service, const OwnershipInput& input);
    void publish(const ReduceContext& context);
    void broadcastView(const ReduceContext& context) const;

    GroupName m_group;
    GrantCheck m_grantCheck = GrantCheck::Unchecked;
    Milliseconds m_lease {0};
    /// @name Longest configured values since the start
    /// An earlier primary may still use the longer value of an older configuration, so waits use the longest one.
    /// @{
    Milliseconds m_longestLease {0};
    Milliseconds m_longestExtensionLimit {0};
    /// @}
    std::optional<GroupRecord> m_record;
    std::uint64_t m_version = 0;
    bool m_recordFromStore = false; ///< m_record is the complete stored object, not a peer's view.
    std::optional<MonotonicTime> m_readStartedAt; ///< Start of the newest read that showed m_record or no object.
    std::optional<MonotonicTime> m_absentSince;
    bool m_takeoverSuspected = false;

    bool m_primary = false;
    bool m_hasServerLeases = false; ///< ServerLeases holds leases of this group.
    bool m_handingOver = false;
    AuthorityClock m_clock;
    GroupWriter m_writer;
    GroupOwnership m_ownership;
    std::shared_ptr<AuthorityDeadline> m_sharedDeadline;
    WallTime m_servingSince;

    std::optional<GroupRecord> m_publishedRecord;
    std::uint64_t m_publishedVersion = 0;
    MonotonicTime m_adoptedAt; ///< When m_record was adopted.
    std::uint64_t m_generation = 1;
};

} // namespace jasminespread
