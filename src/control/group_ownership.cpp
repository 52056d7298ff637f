#include "control/group_ownership.h"

#include "control/membership.h"
#include "control/server_suitability.h"

#include <jasminespread/routing_snapshot.h>

#include <algorithm>

namespace jasminespread {
namespace {

// Partitions of a group that planned moves take out of service at the same time. A higher limit would save store
// writes, but would leave more partitions without service for about the duration of a release and a write.
constexpr std::size_t maxConcurrentMoves = 4;

// The views with the moves of other groups must arrive between two rounds, or several groups move partitions to the
// same server.
constexpr Milliseconds rebalanceInterval {10'000};

PartitionAssignment* findAssignment(GroupRecord& record, std::uint32_t partition)
{
    const auto it = std::ranges::find(record.partitions, partition, &PartitionAssignment::partition);
    return it != record.partitions.end() ? &*it : nullptr;
}

/// Returns the lowest unused partition id for a hot key. Different groups use different ids.
std::uint32_t unusedPartition(const Service& service, const GroupRecord& record)
{
    const std::uint32_t rounds = (service.partitions + service.groups - 1) / service.groups;
    std::uint32_t partition = rounds * service.groups + record.group.index;
    while (
        std::ranges::find(record.partitions, partition, &PartitionAssignment::partition) != record.partitions.end()) {
        partition += service.groups;
    }
    return partition;
}

std::vector<PlacementServer> findCandidates(
    const ReduceContext& context, const Service& service, const OwnershipInput& input)
{
    std::vector<PlacementServer> candidates;
    for (const BackendServer& server : context.configuration->servers) {
        if (server.service == service.name
            && mayReceivePartitions(context, input.leases, input.declarations, server.id)) {
            const auto it = input.loadByServer.find(server.id);
            candidates.push_back({server.id, server.region, it != input.loadByServer.end() ? it->second : 0});
        }
    }
    return candidates;
}

std::map<std::uint32_t, std::string> findPreferredOwners(const Configuration& configuration, const GroupRecord& record)
{
    std::map<std::uint32_t, std::string> preferredOwners;
    for (const HotKey& hotKey : configuration.hotKeys) {
        const auto it = record.overrides.find(hotKey.key);
        if (hotKey.service == record.group.service && !hotKey.server.empty() && it != record.overrides.end()) {
            preferredOwners[it->second] = hotKey.server;
        }
    }
    return preferredOwners;
}

} // namespace

void GroupOwnership::beginTerm(const GroupRecord& record, EarlierGrants earlierGrants)
{
    m_earlierGrants = earlierGrants;
    m_releases.clear();
    m_unconfirmedServers = {record.unconfirmedServers.begin(), record.unconfirmedServers.end()};
    for (const PartitionAssignment& assignment : record.partitions) {
        if (!assignment.owner.empty()) {
            m_unconfirmedServers.insert(assignment.owner);
        }
    }
}

MonotonicTime GroupOwnership::earlierGrantsEnd(const ReduceContext& context, const Service& service,
    const GroupRecord& record, const OperatorDeclarations& declarations, const std::string& server) const
{
    if (std::ranges::find(record.unconfirmedServers, server) == record.unconfirmedServers.end()) {
        return m_earlierGrants.until;
    }
    const Milliseconds lease = service.lease + context.settings.driftMargin;
    MonotonicTime latestEnd = m_earlierGrants.unconfirmedUntil;
    const auto gone = declarations.goneServers.find(server);
    if (gone != declarations.goneServers.end()) {
        latestEnd = std::min(latestEnd, gone->second + lease);
    }
    MonotonicTime allLostSince;
    bool allLost = !record.possibleGranters.empty();
    for (const std::string& granter : record.possibleGranters) {
        const auto lost = declarations.lostInstances.find(granter);
        allLost = allLost && lost != declarations.lostInstances.end();
        if (allLost) {
            allLostSince = std::max(allLostSince, lost->second);
        }
    }
    return allLost ? std::max(m_earlierGrants.until, std::min(latestEnd, allLostSince + lease)) : latestEnd;
}

bool GroupOwnership::removeConfirmedServers(
    const ReduceContext& context, const Service& service, const GroupRecord& record, const OwnershipInput& input)
{
    const std::size_t erased = std::erase_if(m_unconfirmedServers, [&](const std::string& server) {
        const bool accepted
            = service.grantCheck == GrantCheck::Checked && input.leases.hasAcceptedTerm(record.group, server);
        return accepted || context.now > earlierGrantsEnd(context, service, record, input.declarations, server);
    });
    return erased > 0;
}

bool GroupOwnership::mayReassign(const PlanningRound& planning, const PartitionAssignment& assignment) const
{
    const std::string& owner = assignment.owner;
    if (owner.empty()) {
        return true;
    }
    if (planning.service.grantCheck == GrantCheck::Unchecked) {
        return isKnownGone(planning.context, planning.input.declarations, owner);
    }
    if (isUnconfirmed(owner)) {
        return false;
    }
    const ServerLeases& leases = planning.input.leases;
    const GroupName& group = planning.proposed.group;
    // A restarted server no longer knows the newer term, so a superseded primary may grant to it until its grants end.
    if (planning.context.now <= m_earlierGrants.until) {
        return false;
    }
    const bool releaseStarted = isReleasing(assignment.partition);
    if (releaseStarted && leases.releaseConfirmed(group, owner, assignment.partition)) {
        return true;
    }
    const bool grantsEnded = planning.context.now > leases.latestGrantEnd(group, owner, assignment.partition);
    return grantsEnded && (releaseStarted || leases.health(owner).lost);
}

void GroupOwnership::planChanges(
    const ReduceContext& context, const Service& service, const OwnershipInput& input, GroupRecord& proposed)
{
    PlanningRound planning {context, service, input, proposed, findCandidates(context, service, input), {}, {}, {}, {}};
    eraseFinishedReleases(proposed);
    if (service.grantCheck == GrantCheck::Checked) {
        mergeCooledKeys(planning);
        splitHotKeys(planning);
        cancelObsoleteKeySetChanges(planning);
        planning.preferredOwners = findPreferredOwners(*context.configuration, proposed);
        releaseFromLeavingServers(planning);
        releaseForPreferredOwners(planning);
        releaseForBalance(planning);
    }
    collectUnassigned(planning);
    assignOwners(planning);
    clearUnconfirmedLists(planning);
}

void GroupOwnership::eraseFinishedReleases(const GroupRecord& record)
{
    std::erase_if(m_releases, [&](const auto& entry) {
        return std::ranges::find(record.partitions, entry.second.assignment) == record.partitions.end();
    });
}

void GroupOwnership::releaseForKeySetChange(PlanningRound& planning, const PartitionAssignment& assignment)
{
    m_releases.insert_or_assign(assignment.partition, Release {ReleasePurpose::ChangeKeySet, assignment, ""});
    planning.pendingKeySetChanges.insert(assignment.partition);
}

// When a hot key is withdrawn during the release of its partition, the owner gets the partition back.
void GroupOwnership::cancelObsoleteKeySetChanges(const PlanningRound& planning)
{
    std::erase_if(m_releases, [&](const auto& entry) {
        return entry.second.purpose == ReleasePurpose::ChangeKeySet
            && !planning.pendingKeySetChanges.contains(entry.first) && !planning.changedKeySets.contains(entry.first);
    });
}

// A single write adds the override, raises the fencing token of the hash partition and assigns the key's own partition,
// so that servers refuse stale routes to the hash partition.
void GroupOwnership::splitHotKeys(PlanningRound& planning)
{
    GroupRecord& record = planning.proposed;
    for (const std::string& key : planning.input.hotKeys) {
        PartitionAssignment* source = findAssignment(record, partitionOf(key, planning.service.partitions));
        if (source == nullptr || record.overrides.contains(key)) {
            continue;
        }
        if (!mayReassign(planning, *source)) {
            releaseForKeySetChange(planning, *source);
            continue;
        }
        source->token = record.nextToken++;
        planning.changedKeySets.insert(source->partition);
        const std::uint32_t ownPartition = unusedPartition(planning.service, record);
        record.overrides[key] = ownPartition;
        record.partitions.push_back({ownPartition, "", record.nextToken++});
    }
    std::ranges::sort(record.partitions, {}, &PartitionAssignment::partition);
}

void GroupOwnership::mergeCooledKeys(PlanningRound& planning)
{
    GroupRecord& record = planning.proposed;
    const std::map<std::string, std::uint32_t> overrides = record.overrides;
    for (const auto& [key, ownPartition] : overrides) {
        PartitionAssignment* target = findAssignment(record, partitionOf(key, planning.service.partitions));
        const PartitionAssignment* source = findAssignment(record, ownPartition);
        if (planning.input.hotKeys.contains(key) || target == nullptr || source == nullptr) {
            continue;
        }
        const bool targetReassignable = mayReassign(planning, *target);
        const bool sourceReassignable = mayReassign(planning, *source);
        if (!targetReassignable || !sourceReassignable) {
            releaseForKeySetChange(planning, *target);
            releaseForKeySetChange(planning, *source);
            continue;
        }
        target->token = record.nextToken++;
        planning.changedKeySets.insert(target->partition);
        record.overrides.erase(key);
        std::erase_if(record.partitions,
            [ownPartition = ownPartition](const PartitionAssignment& row) { return row.partition == ownPartition; });
    }
}

std::size_t GroupOwnership::remainingMoves() const
{
    const std::size_t moves = std::ranges::count_if(
        m_releases, [](const auto& entry) { return entry.second.purpose == ReleasePurpose::Move; });
    return moves < maxConcurrentMoves ? maxConcurrentMoves - moves : 0;
}

void GroupOwnership::releaseFromLeavingServers(PlanningRound& planning)
{
    if (planning.candidates.empty()) {
        return;
    }
    std::size_t remaining = remainingMoves();
    for (const PartitionAssignment& assignment : planning.proposed.partitions) {
        const bool move = !assignment.owner.empty() && !isReleasing(assignment.partition)
            && mustReleasePartitions(planning.context, planning.input.leases, assignment.owner);
        if (move && remaining > 0) {
            m_releases.insert_or_assign(assignment.partition, Release {ReleasePurpose::Move, assignment, ""});
            --remaining;
        }
    }
}

// Operators request these moves, so they do not count against the churn budget.
void GroupOwnership::releaseForPreferredOwners(PlanningRound& planning)
{
    std::size_t remaining = remainingMoves();
    for (const auto& [partition, server] : planning.preferredOwners) {
        const PartitionAssignment* assignment = findAssignment(planning.proposed, partition);
        const bool candidate
            = std::ranges::find(planning.candidates, server, &PlacementServer::id) != planning.candidates.end();
        if (assignment != nullptr && candidate && !assignment->owner.empty() && assignment->owner != server
            && !isReleasing(partition) && remaining > 0) {
            m_releases.insert_or_assign(partition, Release {ReleasePurpose::Move, *assignment, server});
            --remaining;
        }
    }
}

void GroupOwnership::releaseForBalance(PlanningRound& planning)
{
    const ReduceContext& context = planning.context;
    const PlacementWeights& weights = context.configuration->weights;
    m_churnBudget.refill(context.now, weights.churnPerHour * static_cast<double>(planning.proposed.partitions.size()));
    if (!m_rebalancedAt) {
        m_rebalancedAt = context.now;
    }
    const bool stable = m_releases.empty() && m_unconfirmedServers.empty()
        && std::ranges::none_of(planning.proposed.partitions, [&](const PartitionAssignment& assignment) {
               return assignment.owner.empty() || planning.input.leases.health(assignment.owner).lost;
           });
    if (!stable || context.now - *m_rebalancedAt < rebalanceInterval) {
        return;
    }
    m_rebalancedAt = context.now;
    const std::size_t budget = std::min(maxConcurrentMoves, m_churnBudget.available());
    const PartitionOwners moves = planning.input.placement.rebalance(placementInput(planning), budget);
    m_churnBudget.spend(moves.size());
    for (const auto& [partition, target] : moves) {
        const PartitionAssignment& assignment = *findAssignment(planning.proposed, partition);
        m_releases.insert_or_assign(partition, Release {ReleasePurpose::Move, assignment, target});
    }
}

PlacementInput GroupOwnership::placementInput(const PlanningRound& planning)
{
    const GroupRecord& record = planning.proposed;
    return {record.group, record.homeRegion, planning.candidates, record.partitions, planning.unassigned,
        planning.preferredOwners, planning.input.loadByPartition, planning.context.configuration->weights};
}

void GroupOwnership::collectUnassigned(PlanningRound& planning)
{
    for (const PartitionAssignment& assignment : planning.proposed.partitions) {
        const auto it = m_releases.find(assignment.partition);
        const bool keySetChangePending = it != m_releases.end() && it->second.purpose == ReleasePurpose::ChangeKeySet
            && it->second.assignment == assignment;
        const bool lost = !assignment.owner.empty() && planning.input.leases.health(assignment.owner).lost;
        const bool ownerStays
            = planning.changedKeySets.contains(assignment.partition) || (keySetChangePending && !lost);
        if (!ownerStays && mayReassign(planning, assignment)) {
            planning.unassigned.push_back(assignment.partition);
        }
    }
}

void GroupOwnership::assignOwners(PlanningRound& planning)
{
    if (planning.unassigned.empty()) {
        return;
    }
    GroupRecord& record = planning.proposed;
    PlacementInput input = placementInput(planning);
    for (const auto& [partition, release] : m_releases) {
        if (!release.target.empty()) {
            input.preferredOwners[partition] = release.target;
        }
    }
    const PartitionOwners owners = planning.input.placement.assign(input);
    for (const std::uint32_t partition : planning.unassigned) {
        PartitionAssignment& assignment = *findAssignment(record, partition);
        const auto owner = owners.find(partition);
        if (owner == owners.end() || owner->second == assignment.owner) {
            m_releases.erase(partition);
            continue;
        }
        assignment.owner = owner->second;
        assignment.token = record.nextToken++;
    }
}

void GroupOwnership::clearUnconfirmedLists(PlanningRound& planning) const
{
    GroupRecord& record = planning.proposed;
    const bool stillUnconfirmed = std::ranges::any_of(
        record.unconfirmedServers, [&](const std::string& server) { return isUnconfirmed(server); });
    if (!stillUnconfirmed) {
        record.unconfirmedServers.clear();
        record.possibleGranters.clear();
    }
}

} // namespace jasminespread
