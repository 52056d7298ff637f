#include "control/group_ownership.h"

#include "control/membership.h"
#include "control/server_suitability.h"

#include <jasminespread/routing_snapshot.h>

#include <algorithm>

namespace jasminespread {
namespace {

// Partitions of a group that are out of service at once for planned moves. More would need fewer store writes, but
// each move takes about as long as its release and write.
constexpr std::size_t maxConcurrentMoves = 4;

// Views of other groups' moves must arrive between two rounds, or several groups fill the same server.
constexpr Milliseconds rebalanceInterval {10'000};

PartitionAssignment* findAssignment(GroupRecord& record, std::uint32_t partition)
{
    const auto it = std::ranges::find(record.partitions, partition, &PartitionAssignment::partition);
    return it != record.partitions.end() ? &*it : nullptr;
}

/// Lowest unused partition id for a hot key. Ids of different groups differ.
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
        if (server.service == service.name && usable(context, input.leases, input.declarations, server.id)) {
            const auto it = input.loadOfServer.find(server.id);
            candidates.push_back({server.id, server.region, it != input.loadOfServer.end() ? it->second : 0});
        }
    }
    return candidates;
}

std::map<std::uint32_t, std::string> preferredOwners(const Configuration& configuration, const GroupRecord& record)
{
    std::map<std::uint32_t, std::string> preferred;
    for (const HotKey& hotKey : configuration.hotKeys) {
        const auto it = record.overrides.find(hotKey.key);
        if (hotKey.service == record.group.service && !hotKey.server.empty() && it != record.overrides.end()) {
            preferred[it->second] = hotKey.server;
        }
    }
    return preferred;
}

} // namespace

void GroupOwnership::begin(const GroupRecord& record, EarlierGrants earlier)
{
    m_earlier = earlier;
    m_releases.clear();
    m_unconfirmed = {record.unconfirmedServers.begin(), record.unconfirmedServers.end()};
    for (const PartitionAssignment& assignment : record.partitions) {
        if (!assignment.owner.empty()) {
            m_unconfirmed.insert(assignment.owner);
        }
    }
}

MonotonicTime GroupOwnership::earlierBound(const ReduceContext& context, const Service& service,
    const GroupRecord& record, const Declarations& declarations, const std::string& server) const
{
    if (std::ranges::find(record.unconfirmedServers, server) == record.unconfirmedServers.end()) {
        return m_earlier.until;
    }
    const Milliseconds lease = service.lease + context.settings.driftMargin;
    MonotonicTime bound = m_earlier.unconfirmedUntil;
    const auto gone = declarations.goneServers.find(server);
    if (gone != declarations.goneServers.end()) {
        bound = std::min(bound, gone->second + lease);
    }
    MonotonicTime allLostAt;
    bool allLost = !record.possibleGranters.empty();
    for (const std::string& granter : record.possibleGranters) {
        const auto lost = declarations.lostInstances.find(granter);
        allLost = allLost && lost != declarations.lostInstances.end();
        if (allLost) {
            allLostAt = std::max(allLostAt, lost->second);
        }
    }
    return allLost ? std::max(m_earlier.until, std::min(bound, allLostAt + lease)) : bound;
}

bool GroupOwnership::updateConfirmed(
    const ReduceContext& context, const Service& service, const GroupRecord& record, const OwnershipInput& input)
{
    const std::size_t erased = std::erase_if(m_unconfirmed, [&](const std::string& server) {
        const bool accepted = service.grantCheck == GrantCheck::Checked && input.leases.confirmed(record.group, server);
        return accepted || context.now > earlierBound(context, service, record, input.declarations, server);
    });
    return erased > 0;
}

bool GroupOwnership::freed(const Planning& planning, const PartitionAssignment& assignment) const
{
    const std::string& owner = assignment.owner;
    if (owner.empty()) {
        return true;
    }
    if (planning.service.grantCheck == GrantCheck::Unchecked) {
        return declaredGone(planning.context, planning.input.declarations, owner);
    }
    if (unconfirmed(owner)) {
        return false;
    }
    const ServerLeases& leases = planning.input.leases;
    const GroupName& group = planning.proposed.group;
    const bool releaseWanted = releasing(assignment.partition);
    if (releaseWanted && leases.releasedByAnswer(group, owner, assignment.partition)) {
        return true;
    }
    const bool boundPassed = planning.context.now > leases.bound(group, owner, assignment.partition);
    return boundPassed && (releaseWanted || leases.health(owner).lost);
}

void GroupOwnership::plan(
    const ReduceContext& context, const Service& service, const OwnershipInput& input, GroupRecord& proposed)
{
    Planning planning {context, service, input, proposed, findCandidates(context, service, input), {}, {}, {}, {}};
    forgetFinishedReleases(proposed);
    if (service.grantCheck == GrantCheck::Checked) {
        mergeKeys(planning);
        splitKeys(planning);
        forgetUnwantedRekeying(planning);
        planning.preferred = preferredOwners(*context.configuration, proposed);
        releaseFromLeavingServers(planning);
        releaseForPreferredOwners(planning);
        releaseForBalance(planning);
    }
    collectOwnerless(planning);
    assignOwners(planning);
    clearConfirmed(planning);
}

void GroupOwnership::forgetFinishedReleases(const GroupRecord& record)
{
    std::erase_if(m_releases, [&](const auto& entry) {
        return std::ranges::find(record.partitions, entry.second.assignment) == record.partitions.end();
    });
}

void GroupOwnership::releaseToRekey(Planning& planning, const PartitionAssignment& assignment)
{
    m_releases.insert_or_assign(assignment.partition, Release {ReleasePurpose::ChangeKeys, assignment, ""});
    planning.toRekey.insert(assignment.partition);
}

// A hot key can be withdrawn while its partition is being released; the owner then gets the partition back.
void GroupOwnership::forgetUnwantedRekeying(const Planning& planning)
{
    std::erase_if(m_releases, [&](const auto& entry) {
        return entry.second.purpose == ReleasePurpose::ChangeKeys && !planning.toRekey.contains(entry.first)
            && !planning.rekeyed.contains(entry.first);
    });
}

// One write adds the override, raises the token of the hash partition and assigns the key's own partition, so that a
// stale route to the hash partition is refused.
void GroupOwnership::splitKeys(Planning& planning)
{
    GroupRecord& record = planning.proposed;
    for (const std::string& key : planning.input.hotKeys) {
        PartitionAssignment* source = findAssignment(record, partitionOf(key, planning.service.partitions));
        if (source == nullptr || record.overrides.contains(key)) {
            continue;
        }
        if (!freed(planning, *source)) {
            releaseToRekey(planning, *source);
            continue;
        }
        source->token = record.nextToken++;
        planning.rekeyed.insert(source->partition);
        const std::uint32_t own = unusedPartition(planning.service, record);
        record.overrides[key] = own;
        record.partitions.push_back({own, "", record.nextToken++});
    }
    std::ranges::sort(record.partitions, {}, &PartitionAssignment::partition);
}

void GroupOwnership::mergeKeys(Planning& planning)
{
    GroupRecord& record = planning.proposed;
    const std::map<std::string, std::uint32_t> overrides = record.overrides;
    for (const auto& [key, own] : overrides) {
        PartitionAssignment* target = findAssignment(record, partitionOf(key, planning.service.partitions));
        const PartitionAssignment* source = findAssignment(record, own);
        if (planning.input.hotKeys.contains(key) || target == nullptr || source == nullptr) {
            continue;
        }
        const bool targetFreed = freed(planning, *target);
        const bool sourceFreed = freed(planning, *source);
        if (!targetFreed || !sourceFreed) {
            releaseToRekey(planning, *target);
            releaseToRekey(planning, *source);
            continue;
        }
        target->token = record.nextToken++;
        planning.rekeyed.insert(target->partition);
        record.overrides.erase(key);
        std::erase_if(record.partitions, [own = own](const PartitionAssignment& row) { return row.partition == own; });
    }
}

std::size_t GroupOwnership::roomForMoves() const
{
    const std::size_t moves = std::ranges::count_if(
        m_releases, [](const auto& entry) { return entry.second.purpose == ReleasePurpose::Move; });
    return moves < maxConcurrentMoves ? maxConcurrentMoves - moves : 0;
}

void GroupOwnership::releaseFromLeavingServers(Planning& planning)
{
    if (planning.candidates.empty()) {
        return;
    }
    std::size_t room = roomForMoves();
    for (const PartitionAssignment& assignment : planning.proposed.partitions) {
        const bool move = !assignment.owner.empty() && !releasing(assignment.partition)
            && mustLeave(planning.context, planning.input.leases, assignment.owner);
        if (move && room > 0) {
            m_releases.insert_or_assign(assignment.partition, Release {ReleasePurpose::Move, assignment, ""});
            --room;
        }
    }
}

// Operators ask for these moves, so they cost no churn budget.
void GroupOwnership::releaseForPreferredOwners(Planning& planning)
{
    std::size_t room = roomForMoves();
    for (const auto& [partition, server] : planning.preferred) {
        const PartitionAssignment* assignment = findAssignment(planning.proposed, partition);
        const bool candidate
            = std::ranges::find(planning.candidates, server, &PlacementServer::id) != planning.candidates.end();
        if (assignment != nullptr && candidate && !assignment->owner.empty() && assignment->owner != server
            && !releasing(partition) && room > 0) {
            m_releases.insert_or_assign(partition, Release {ReleasePurpose::Move, *assignment, server});
            --room;
        }
    }
}

void GroupOwnership::releaseForBalance(Planning& planning)
{
    const ReduceContext& context = planning.context;
    const PlacementWeights& weights = context.configuration->weights;
    m_churn.refill(context.now, weights.churnPerHour * static_cast<double>(planning.proposed.partitions.size()));
    if (!m_rebalancedAt) {
        m_rebalancedAt = context.now;
    }
    const bool settled = m_releases.empty() && m_unconfirmed.empty()
        && std::ranges::none_of(planning.proposed.partitions, [&](const PartitionAssignment& assignment) {
               return assignment.owner.empty() || planning.input.leases.health(assignment.owner).lost;
           });
    if (!settled || context.now - *m_rebalancedAt < rebalanceInterval) {
        return;
    }
    m_rebalancedAt = context.now;
    const std::size_t budget = std::min(maxConcurrentMoves, m_churn.available());
    const Owners moves = planning.input.placement.rebalance(placementInput(planning), budget);
    m_churn.spend(moves.size());
    for (const auto& [partition, target] : moves) {
        const PartitionAssignment& assignment = *findAssignment(planning.proposed, partition);
        m_releases.insert_or_assign(partition, Release {ReleasePurpose::Move, assignment, target});
    }
}

PlacementInput GroupOwnership::placementInput(const Planning& planning)
{
    const GroupRecord& record = planning.proposed;
    return {record.group, record.homeRegion, planning.candidates, record.partitions, planning.ownerless,
        planning.preferred, planning.input.loadOfPartition, planning.context.configuration->weights};
}

void GroupOwnership::collectOwnerless(Planning& planning)
{
    for (const PartitionAssignment& assignment : planning.proposed.partitions) {
        const auto it = m_releases.find(assignment.partition);
        const bool changesKeys = it != m_releases.end() && it->second.purpose == ReleasePurpose::ChangeKeys
            && it->second.assignment == assignment;
        const bool lost = !assignment.owner.empty() && planning.input.leases.health(assignment.owner).lost;
        const bool stays = planning.rekeyed.contains(assignment.partition) || (changesKeys && !lost);
        if (!stays && freed(planning, assignment)) {
            planning.ownerless.push_back(assignment.partition);
        }
    }
}

void GroupOwnership::assignOwners(Planning& planning)
{
    if (planning.ownerless.empty()) {
        return;
    }
    GroupRecord& record = planning.proposed;
    PlacementInput input = placementInput(planning);
    for (const auto& [partition, release] : m_releases) {
        if (!release.target.empty()) {
            input.preferred[partition] = release.target;
        }
    }
    const Owners owners = planning.input.placement.assign(input);
    for (const std::uint32_t partition : planning.ownerless) {
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

void GroupOwnership::clearConfirmed(Planning& planning) const
{
    GroupRecord& record = planning.proposed;
    const bool anyUnconfirmed = std::ranges::any_of(
        record.unconfirmedServers, [&](const std::string& server) { return unconfirmed(server); });
    if (!anyUnconfirmed) {
        record.unconfirmedServers.clear();
        record.possibleGranters.clear();
    }
}

} // namespace jasminespread
