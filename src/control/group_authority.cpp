#include "control/group_authority.h"

#include "control/group_view.h"
#include "control/instance_choice.h"
#include "control/membership.h"

#include <algorithm>
#include <set>

namespace jasminespread {
namespace {

constexpr Milliseconds storeReadValidity {1000}; // Takeover decisions need a read that is at most this old.
// Time for the peers' first heartbeats, so that all instances compute the same ranks.
constexpr Milliseconds creationDelay {500};
// Added per rank: an instance creates the group only if higher-ranked ones have not.
constexpr Milliseconds creationStagger {2000};
constexpr Milliseconds takeoverStagger {500}; // Added per rank.
// An instance that hears no other third party is probably cut off itself.
constexpr Milliseconds isolatedTakeoverDelay {5000};
constexpr Milliseconds maxPublishDelay {500}; // An unresponsive owner must not delay other changes.

std::int64_t nanoseconds(MonotonicTime time) { return time.time_since_epoch().count(); }

void addName(std::vector<std::string>& names, const std::string& name)
{
    if (std::ranges::find(names, name) == names.end()) {
        names.push_back(name);
    }
}

/// Marks all owners as unconfirmed: the superseded primary may extend their grants until its extension limit.
void markOwnersUnconfirmed(const GroupRecord& before, GroupRecord& record)
{
    for (const PartitionAssignment& assignment : before.partitions) {
        if (!assignment.owner.empty()) {
            addName(record.unconfirmedServers, assignment.owner);
        }
    }
    if (!record.unconfirmedServers.empty()) {
        addName(record.possibleGranters, before.primary.id);
        addName(record.possibleGranters, before.standby->id);
    }
}

} // namespace

GroupAuthority::GroupAuthority(GroupName group, const Service& service)
    : m_group(std::move(group))
    , m_writer(m_group)
{
    applyServiceSettings(service);
}

void GroupAuthority::applyServiceSettings(const Service& service)
{
    m_grantCheck = service.grantCheck;
    m_lease = service.lease;
    m_longestLease = std::max(m_longestLease, service.lease);
    m_longestExtensionLimit = std::max(m_longestExtensionLimit, service.extensionLimit);
}

void GroupAuthority::decide(const ReduceContext& context, const Service& service, const OwnershipInput& input)
{
    applyServiceSettings(service);
    m_writer.tick(context);
    if (m_primary) {
        decideAsPrimary(context, service, input);
        return;
    }
    if (context.stopping || !m_writer.ready(context.now) || !hasRecentRead(context)) {
        return;
    }
    if (!m_record) {
        if (mayCreate(context, service)) {
            create(context, service, input);
        }
    } else if (m_recordFromStore && takeoverPossible(context)) {
        // Only the standby can extend the superseded primary's authority. If this instance is the standby, it stops
        // backing the primary now. Without a standby, the authority ends a lease after the newest store evidence.
        const bool authorityCannotBeExtended = isStandby(context.self) || !m_record->standby;
        takeOver(
            context, authorityCannotBeExtended ? ChangePurpose::StandbyTakeover : ChangePurpose::ThirdPartyTakeover);
    }
}

bool GroupAuthority::hasRecentRead(const ReduceContext& context) const
{
    return m_readStartedAt && context.now - *m_readStartedAt < storeReadValidity;
}

bool GroupAuthority::takeoverPossible(const ReduceContext& context) const
{
    if (!m_record || m_primary || context.stopping || context.configuration == nullptr) {
        return false;
    }
    if (isStandby(context.self)) {
        return context.membership.silence(m_record->primary, context.now) >= context.settings.suspectAfter;
    }
    return thirdPartyMayTakeOver(context);
}

bool GroupAuthority::thirdPartyMayTakeOver(const ReduceContext& context) const
{
    const Membership& membership = context.membership;
    if (context.settings.region != m_record->homeRegion) {
        return false;
    }
    Milliseconds silence = membership.silence(m_record->primary, context.now);
    if (m_record->standby) {
        silence = std::min(silence, membership.silence(*m_record->standby, context.now));
    }
    Milliseconds delay = context.settings.thirdPartyAfter;
    if (silence < delay) {
        return false;
    }
    delay += rankInRegion(context, m_group) * takeoverStagger;
    const auto isThirdParty = [&](const PeerInfo& peer) {
        return peer.entry.id != m_record->primary.id && (!m_record->standby || peer.entry.id != m_record->standby->id);
    };
    const bool thirdPartiesListed = std::ranges::any_of(membership.peers(), isThirdParty);
    const bool thirdPartiesLive = std::ranges::any_of(
        membership.peers(), [&](const PeerInfo& peer) { return isThirdParty(peer) && peer.live; });
    if (thirdPartiesListed && !thirdPartiesLive) {
        delay += isolatedTakeoverDelay;
    }
    return silence >= delay;
}

bool GroupAuthority::mayCreate(const ReduceContext& context, const Service& service) const
{
    if (!m_absentSince || homeRegionOf(*context.configuration, service, m_group.index) != context.settings.region) {
        return false;
    }
    return context.now - *m_absentSince >= creationDelay + rankInRegion(context, m_group) * creationStagger;
}

void GroupAuthority::create(const ReduceContext& context, const Service& service, const OwnershipInput& input)
{
    GroupRecord record;
    record.group = m_group;
    record.homeRegion = context.settings.region;
    record.term = 1;
    record.primary = context.self;
    record.standby = chooseStandby(context, m_group, record.homeRegion, context.self);
    for (std::uint32_t partition = m_group.index; partition < service.partitions; partition += service.groups) {
        record.partitions.push_back({partition, "", record.nextToken++});
    }
    m_ownership.beginTerm(record, {});
    m_ownership.planChanges(context, service, input, record);
    m_writer.startWrite(context, std::move(record), 0, ChangePurpose::Create);
}

// The pending write makes backsPrimary() return false, so the superseded primary gets no new evidence from
// its standby.
void GroupAuthority::takeOver(const ReduceContext& context, ChangePurpose purpose)
{
    GroupRecord record = *m_record;
    ++record.term;
    record.primary = context.self;
    record.standby = chooseStandby(context, m_group, record.homeRegion, context.self);
    if (purpose == ChangePurpose::ThirdPartyTakeover) {
        markOwnersUnconfirmed(*m_record, record);
    }
    m_writer.startWrite(context, std::move(record), m_version, purpose);
}

void GroupAuthority::decideAsPrimary(const ReduceContext& context, const Service& service, const OwnershipInput& input)
{
    if (m_clock.detectLapse(context.now)) {
        context.addToCounter("jasminespread_authority_lapses_total", "service=\"" + m_group.service + "\"");
        context.log(LogEvent::AuthorityLapsed, toText(m_group));
    }
    if (m_ownership.removeConfirmedServers(context, service, *m_record, input)) {
        m_servingSince = context.wall;
        ++m_generation;
    }
    if (m_publishedVersion != m_version && (acceptedByOwners(input) || context.now - m_adoptedAt >= maxPublishDelay)) {
        publish(context);
    }
    if (!m_recordFromStore || !m_writer.ready(context.now)) {
        return;
    }
    if (context.stopping) {
        handOver(context);
    } else {
        proposeUpdate(context, service, input);
    }
}

void GroupAuthority::proposeUpdate(const ReduceContext& context, const Service& service, const OwnershipInput& input)
{
    GroupRecord proposed = *m_record;
    m_ownership.planChanges(context, service, input, proposed);
    // Changing the standby discards the evidence from the old one, so recent store evidence is needed first.
    if (standbyMustChange(context) && m_clock.recentlyConfirmedByStore(context.now)) {
        proposed.standby = chooseStandby(context, m_group, proposed.homeRegion, context.self);
    }
    if (proposed == *m_record) {
        return;
    }
    if (proposed.standby != m_record->standby) {
        m_clock.discardStandbyEvidence(context.now);
    }
    m_writer.startWrite(context, std::move(proposed), m_version, ChangePurpose::Update);
}

bool GroupAuthority::standbyMustChange(const ReduceContext& context) const
{
    if (!m_record->standby) {
        return chooseStandby(context, m_group, m_record->homeRegion, context.self).has_value();
    }
    const PeerInfo* peer = context.membership.find(m_record->standby->id);
    return peer == nullptr || peer->leaving
        || context.membership.silence(*m_record->standby, context.now) >= context.settings.suspectAfter;
}

void GroupAuthority::handOver(const ReduceContext& context)
{
    // Ends a failed attempt; until the next one the authority may be extended again.
    m_clock.setFrozen(false);
    m_handingOver = false;
    // A write whose outcome stays unknown would end the authority, so the store must have answered recently.
    if (!m_clock.recentlyConfirmedByStore(context.now)) {
        return;
    }
    std::optional<InstanceReference> successor = m_record->standby;
    if (!successor || standbyMustChange(context)) {
        successor = chooseStandby(context, m_group, m_record->homeRegion, context.self);
    }
    if (!successor) {
        return;
    }
    GroupRecord record = *m_record;
    ++record.term;
    record.primary = *successor;
    record.standby = chooseStandby(context, m_group, record.homeRegion, *successor);
    // The successor assumes that no evidence after this write extends the authority of this instance.
    m_clock.setFrozen(true);
    m_handingOver = true;
    m_writer.startWrite(context, std::move(record), m_version, ChangePurpose::Handover);
}

void GroupAuthority::receiveStoredRecord(
    const ReduceContext& context, const GroupRecord& record, std::uint64_t version, MonotonicTime startedAt)
{
    m_absentSince.reset();
    if (version < m_version) {
        return;
    }
    const std::optional<AppliedChange> applied = m_writer.observeStored(record, version, startedAt);
    if (applied) {
        applyChange(context, *applied);
    } else if (version > m_version) {
        adoptRecord(context, record, version, std::nullopt);
    } else if (!m_recordFromStore) {
        m_record = record;
    }
    m_recordFromStore = true;
    m_readStartedAt = std::max(m_readStartedAt.value_or(startedAt), startedAt);
    m_takeoverSuspected = false;
    if (m_primary) {
        m_clock.recordStoreEvidence(startedAt, context.now);
    }
}

void GroupAuthority::noteAbsentInStore(MonotonicTime startedAt)
{
    if (!m_record) {
        m_absentSince = std::min(m_absentSince.value_or(startedAt), startedAt);
        m_readStartedAt = startedAt;
    }
    m_takeoverSuspected = false;
}

void GroupAuthority::receiveView(const ReduceContext& context, const wire::GroupView& view)
{
    if (view.object_version() <= m_version) {
        return;
    }
    GroupRecord record = fromView(view);
    if (record.primary == context.self) {
        // A view does not list the servers that an earlier primary may still use, so a term starts only from the stored
        // object.
        m_takeoverSuspected = true;
        return;
    }
    adoptRecord(context, std::move(record), view.object_version(), std::nullopt);
    m_recordFromStore = false;
}

void GroupAuthority::writeFinished(const ReduceContext& context, const StoreWritten& event)
{
    const std::optional<AppliedChange> applied = m_writer.writeFinished(context, event);
    if (applied) {
        applyChange(context, *applied);
    }
}

void GroupAuthority::applyChange(const ReduceContext& context, const AppliedChange& change)
{
    if (change.version > m_version) {
        adoptRecord(context, change.record, change.version, change.purpose);
        m_recordFromStore = true;
        m_readStartedAt = std::max(m_readStartedAt.value_or(change.startedAt), change.startedAt);
    }
    if (m_primary && m_version == change.version) {
        m_clock.recordStoreEvidence(change.startedAt, context.now);
    }
}

void GroupAuthority::adoptRecord(const ReduceContext& context, GroupRecord record, std::uint64_t version,
    std::optional<ChangePurpose> ownChangePurpose)
{
    const bool newTerm = !m_record || m_record->term != record.term;
    const bool newStandby = !m_record || m_record->standby != record.standby;
    const std::optional<GroupRecord> before = std::move(m_record);
    m_record = std::move(record);
    m_version = version;
    m_adoptedAt = context.now;
    m_absentSince.reset();
    const bool isOwn = m_record->primary == context.self;
    if (isOwn && (newTerm || !m_primary)) {
        becomePrimary(context, ownChangePurpose);
    } else if (isOwn && newStandby) {
        m_clock.discardStandbyEvidence(context.now);
        context.log(
            LogEvent::StandbyChanged, toText(m_group) + " " + (m_record->standby ? m_record->standby->id : "none"));
    } else if (!isOwn && m_primary) {
        stepDown(context);
    }
    if (isOwn && before) {
        reportMoves(context, *before);
    }
    if (!isOwn || newTerm) {
        publish(context);
    }
    if (!isOwn && ownChangePurpose == ChangePurpose::Handover) {
        broadcastView(context);
    }
}

void GroupAuthority::reportMoves(const ReduceContext& context, const GroupRecord& before) const
{
    for (const PartitionAssignment& assignment : m_record->partitions) {
        const auto it = std::ranges::find(before.partitions, assignment.partition, &PartitionAssignment::partition);
        const std::string from = it != before.partitions.end() ? it->owner : "";
        if (!from.empty() && from != assignment.owner) {
            context.log(LogEvent::PartitionMoved,
                toText(m_group) + " partition " + std::to_string(assignment.partition) + " from " + from + " to "
                    + assignment.owner);
            context.addToCounter("jasminespread_partition_moves_total", "service=\"" + m_group.service + "\"");
        }
    }
}

void GroupAuthority::becomePrimary(const ReduceContext& context, std::optional<ChangePurpose> ownChangePurpose)
{
    m_primary = true;
    m_handingOver = false;
    m_clock.reset(m_lease, m_longestExtensionLimit);
    m_sharedDeadline = std::make_shared<AuthorityDeadline>(0);
    m_servingSince = context.wall;
    GroupOwnership::EarlierGrants earlierGrants {};
    if (ownChangePurpose != ChangePurpose::Create) {
        earlierGrants.until = context.now + m_longestLease + context.settings.driftMargin;
        earlierGrants.unconfirmedUntil = earlierGrants.until + m_longestExtensionLimit;
    }
    m_ownership.beginTerm(*m_record, earlierGrants);
    context.addToCounter("jasminespread_group_takeovers_total", "service=\"" + m_group.service + "\"");
    context.log(LogEvent::GroupTakenOver, toText(m_group) + " term " + std::to_string(m_record->term));
}

void GroupAuthority::stepDown(const ReduceContext& context)
{
    m_primary = false;
    m_handingOver = false;
    m_clock.reset(m_lease, m_longestExtensionLimit);
    m_sharedDeadline->store(0);
    m_sharedDeadline.reset();
    context.log(LogEvent::GroupLost, toText(m_group) + " to " + m_record->primary.id);
}

void GroupAuthority::receiveBacking(const InstanceReference& standby, std::uint64_t term, MonotonicTime requestedAt)
{
    if (backingRequestTerm(standby) == term) {
        m_clock.recordStandbyEvidence(requestedAt);
    }
}

std::optional<std::uint64_t> GroupAuthority::backingRequestTerm(const InstanceReference& peer) const
{
    if (!m_primary || m_handingOver || m_record->standby != peer) {
        return std::nullopt;
    }
    const GroupWriter::PendingChange* pending = m_writer.pending();
    if (pending != nullptr && pending->record.standby != m_record->standby) {
        return std::nullopt;
    }
    return m_record->term;
}

bool GroupAuthority::backsPrimary(
    const InstanceReference& self, const InstanceReference& primary, std::uint64_t term) const
{
    return isStandby(self) && m_record->primary == primary && m_record->term == term && m_writer.pending() == nullptr;
}

bool GroupAuthority::isStandby(const InstanceReference& self) const { return m_record && m_record->standby == self; }

void GroupAuthority::updateLeases(const ReduceContext& context, ServerLeases& leases)
{
    if (!m_primary) {
        if (m_hasServerLeases) {
            leases.dropGroup(m_group);
            m_hasServerLeases = false;
        }
        return;
    }
    m_hasServerLeases = true;
    std::map<std::string, std::vector<GrantedPartition>> partitions;
    for (const BackendServer& server : context.configuration->servers) {
        if (server.service == m_group.service) {
            partitions[server.id];
        }
    }
    const GroupWriter::PendingChange* pending = m_writer.pending();
    for (const PartitionAssignment& assignment : m_record->partitions) {
        if (assignment.owner.empty()) {
            continue;
        }
        std::vector<GrantedPartition>& granted = partitions[assignment.owner];
        // A pending change may or may not have taken effect, so the partition is granted to neither owner.
        const bool affectedByPending = pending != nullptr
            && std::ranges::find(pending->record.partitions, assignment) == pending->record.partitions.end();
        if (!affectedByPending && !m_ownership.isReleasing(assignment.partition)) {
            granted.push_back({assignment.partition, assignment.token});
        }
    }
    for (auto& [server, granted] : partitions) {
        leases.setPartitions(m_group, m_record->term, server, m_lease, std::move(granted));
    }
}

void GroupAuthority::refreshSharedDeadline() const
{
    if (m_sharedDeadline) {
        m_sharedDeadline->store(nanoseconds(m_clock.deadline()));
    }
}

bool GroupAuthority::acceptedByOwners(const OwnershipInput& input) const
{
    if (m_grantCheck == GrantCheck::Unchecked) {
        return true;
    }
    return std::ranges::all_of(m_record->partitions, [&](const PartitionAssignment& assignment) {
        const bool unchanged = m_publishedRecord
            && std::ranges::find(m_publishedRecord->partitions, assignment) != m_publishedRecord->partitions.end();
        return unchanged || assignment.owner.empty()
            || input.leases.holdsPartition(m_group, assignment.owner, {assignment.partition, assignment.token});
    });
}

void GroupAuthority::publish(const ReduceContext& context)
{
    m_publishedRecord = m_record;
    m_publishedVersion = m_version;
    ++m_generation;
    if (m_primary) {
        broadcastView(context);
    }
}

void GroupAuthority::broadcastView(const ReduceContext& context) const
{
    const wire::GroupView message = publishedView();
    for (const PeerInfo& peer : context.membership.peers()) {
        SendPeerMessage send;
        send.to = peer.entry.id;
        *send.envelope.mutable_group_view() = message;
        context.effects.push_back(std::move(send));
    }
}

wire::GroupView GroupAuthority::publishedView() const
{
    return toView(*m_publishedRecord, m_publishedVersion, m_servingSince.time_since_epoch().count());
}

bool GroupAuthority::needsStoreRead(const ReduceContext& context) const
{
    if (!m_record || m_takeoverSuspected) {
        return true;
    }
    if (m_primary) {
        return context.stopping || !m_recordFromStore || !m_clock.extendedByStandby(context.now)
            || standbyMustChange(context);
    }
    return takeoverPossible(context);
}

bool GroupAuthority::needsStoreReadNow(const ReduceContext& context) const
{
    if (m_takeoverSuspected) {
        return true;
    }
    if (m_primary) {
        const bool changePending = context.stopping || standbyMustChange(context);
        return !m_recordFromStore || (changePending && !m_clock.recentlyConfirmedByStore(context.now));
    }
    return takeoverPossible(context) && (!m_recordFromStore || !hasRecentRead(context));
}

} // namespace jasminespread
