#pragma once

#include "control/churn_budget.h"
#include "control/placement.h"
#include "control/reduce_context.h"
#include "control/server_leases.h"

#include <jasminespread/group_record.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace jasminespread {

/// Operators' declarations that servers are gone or instances are lost, with the time of receipt. They are accepted as
/// proof. They are kept in memory only: an old declaration must not apply to a server or instance that has returned.
struct OperatorDeclarations {
    std::map<std::string, MonotonicTime> goneServers;
    std::map<std::string, MonotonicTime> lostInstances;
};

/// Input of the ownership decisions of one group besides its record.
struct OwnershipInput {
    const ServerLeases& leases;
    const OperatorDeclarations& declarations;
    const PlacementPolicy& placement;
    const std::map<std::string, double>& loadByServer; ///< Over all groups; an ordinary partition counts as 1.
    const std::map<std::uint32_t, double>& loadByPartition; ///< Partitions of this group whose load is not 1.
    const std::set<std::string>& hotKeys; ///< Keys that should have their own partitions in this group.
};

/// Decides for the primary of one group which partitions move. A partition gets a new owner only when its old owner
/// provably holds no valid grant for it any more.
class GroupOwnership {
public:
    /// Time until which grants of earlier primaries may be valid.
    struct EarlierGrants {
        MonotonicTime until; ///< On servers in general.
        MonotonicTime unconfirmedUntil; ///< On servers in GroupRecord::unconfirmedServers.
    };

    /// Starts a term. The owners in @p record are unconfirmed until they accept a grant of this term or the earlier
    /// grants have ended.
    void beginTerm(const GroupRecord& record, EarlierGrants earlierGrants);
    /// Removes unconfirmed servers that have accepted a grant of this term or on which the earlier grants have ended.
    /// Returns true when any were removed: earlier primaries may have run requests there until now, so the time from
    /// which non-repeatable requests are served must be reset.
    [[nodiscard]] bool removeConfirmedServers(
        const ReduceContext& context, const Service& service, const GroupRecord& record, const OwnershipInput& input);
    /// Makes the required owner changes in @p proposed as far as they are provably safe, and starts the releases for
    /// the others.
    void planChanges(
        const ReduceContext& context, const Service& service, const OwnershipInput& input, GroupRecord& proposed);

    /// True when the partition must no longer be granted to the owner in the record.
    [[nodiscard]] bool isReleasing(std::uint32_t partition) const { return m_releases.contains(partition); }
    /// True when grants of an earlier primary to the server may still be valid.
    [[nodiscard]] bool isUnconfirmed(const std::string& server) const { return m_unconfirmedServers.contains(server); }

private:
    /// State of one call of planChanges().
    struct PlanningRound {
        const ReduceContext& context;
        const Service& service;
        const OwnershipInput& input;
        GroupRecord& proposed;
        std::vector<PlacementServer> candidates;
        std::vector<std::uint32_t> unassigned;
        /// Partitions whose set of keys changes in this round; their owner stays.
        std::set<std::uint32_t> changedKeySets;
        /// Partitions that must be released before their set of keys changes.
        std::set<std::uint32_t> pendingKeySetChanges;
        std::map<std::uint32_t, std::string> preferredOwners;
    };

    enum class ReleasePurpose : std::uint8_t { Move, ChangeKeySet };

    struct Release {
        ReleasePurpose purpose;
        PartitionAssignment assignment; ///< The assignment to be ended.
        std::string target; ///< New owner; empty if the placement policy chooses it.
    };

    [[nodiscard]] MonotonicTime earlierGrantsEnd(const ReduceContext& context, const Service& service,
        const GroupRecord& record, const OperatorDeclarations& declarations, const std::string& server) const;
    [[nodiscard]] bool mayReassign(const PlanningRound& planning, const PartitionAssignment& assignment) const;
    void eraseFinishedReleases(const GroupRecord& record);
    void releaseForKeySetChange(PlanningRound& planning, const PartitionAssignment& assignment);
    void cancelObsoleteKeySetChanges(const PlanningRound& planning);
    void splitHotKeys(PlanningRound& planning);
    void mergeCooledKeys(PlanningRound& planning);
    void collectUnassigned(PlanningRound& planning);
    void releaseFromLeavingServers(PlanningRound& planning);
    void releaseForPreferredOwners(PlanningRound& planning);
    void releaseForBalance(PlanningRound& planning);
    [[nodiscard]] std::size_t remainingMoves() const;
    [[nodiscard]] static PlacementInput placementInput(const PlanningRound& planning);
    void assignOwners(PlanningRound& planning);
    /// Clears the lists of unconfirmed servers and possible granters once no server in them is unconfirmed.
    void clearUnconfirmedLists(PlanningRound& planning) const;

    EarlierGrants m_earlierGrants {};
    std::set<std::string> m_unconfirmedServers;
    std::map<std::uint32_t, Release> m_releases;
    ChurnBudget m_churnBudget;
    std::optional<MonotonicTime> m_rebalancedAt;
};

} // namespace jasminespread
