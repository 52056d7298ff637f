#include <jasminespread/control_reducer.h>

#include "control/configuration_control.h"
#include "control/group_authority.h"
#include "control/group_reader.h"
#include "control/group_view.h"
#include "control/hot_key_tracker.h"
#include "control/membership.h"
#include "control/routing_builder.h"
#include "control/status_report.h"

#include <algorithm>
#include <tuple>

namespace jasminespread {
namespace {

constexpr Milliseconds viewRequestInterval {50};
constexpr Milliseconds declarationValidity {10'000}; // A server that answers after this time counts as returned.

} // namespace

struct ControlReducer::State {
    State(InstanceSettings instanceSettings, std::uint64_t incarnation);

    [[nodiscard]] Effects reduce(const TimedEvent& event);

private:
    /// @name Events
    /// @{
    void handle(const ReduceContext& context, const Tick& event);
    void handle(const ReduceContext& context, const InstanceListReceived& event);
    void handle(const ReduceContext& context, const StoreListed& event);
    void handle(const ReduceContext& context, const StoreRead& event);
    void handle(const ReduceContext& context, const StoreWritten& event);
    void handle(const ReduceContext& context, const PeerMessageReceived& event);
    void handle(const ReduceContext& context, const GrantAnswered& event);
    void handle(const ReduceContext& context, const OperatorRequested& event);
    void handle(const ReduceContext& context, const HotKeysObserved& event);
    void handle(const ReduceContext& context, const RouteRefused& event);
    void handle(const ReduceContext& context, const ShutdownRequested& event);
    /// @}

    /// @name Peer messages
    /// @{
    void receiveHeartbeat(
        const ReduceContext& context, const wire::InstanceReference& sender, const wire::Heartbeat& heartbeat);
    void receiveHeartbeatReply(const wire::InstanceReference& sender, const wire::HeartbeatReply& reply);
    void answerViewRequest(
        const ReduceContext& context, const wire::InstanceReference& sender, const wire::ViewRequest& request);
    void recordDeclaration(MonotonicTime now, const wire::Declaration& declaration);
    void fillHeartbeat(const PeerInfo& peer, wire::Heartbeat& heartbeat) const;
    /// @}

    void answerDeclarationRequest(const ReduceContext& context, const OperatorRequested& request);
    void adoptConfiguration();
    [[nodiscard]] static bool needsDecision(const Event& event);
    void expireDeclarations(MonotonicTime now);
    void receiveStoredObject(const ReduceContext& context, const StoredObject& object, MonotonicTime startedAt);
    void decide(const ReduceContext& context);
    void decideGroups(const ReduceContext& context);
    void updateTrackedTerm(const GroupName& name, const GroupAuthority& group, MonotonicTime now);
    void publishRouting(const ReduceContext& context);
    void finishShutdown(const ReduceContext& context);
    [[nodiscard]] std::map<std::uint32_t, double> hotPartitionLoads(
        const Service& service, const GroupAuthority& group) const;
    [[nodiscard]] std::map<std::string, double> serverLoads(const Service& service) const;
    void evaluateHotKeys(MonotonicTime now);
    [[nodiscard]] std::set<std::string> hotKeysToIsolate(const Service& service, const GroupName& group) const;
    [[nodiscard]] std::optional<HotKeyTracker::KeyLocation> locateKey(
        const std::string& service, const std::string& key) const;
    [[nodiscard]] GroupAuthority* findGroup(const GroupName& name);

    InstanceSettings m_settings;
    InstanceReference m_self;
    Membership m_membership;
    ConfigurationControl m_configurationControl;
    std::uint64_t m_adoptedRevision = 0;
    ServerLeases m_leases;
    OperatorDeclarations m_declarations;
    PlacementPolicy m_placementPolicy = leastLoadedPlacement();
    HotKeyTracker m_hotKeys;
    std::map<GroupName, std::uint64_t> m_trackedTerms; ///< Term reported to m_hotKeys; 0 when not primary.
    GroupReader m_groupReader;
    std::map<GroupName, GroupAuthority> m_groups;
    std::map<GroupName, MonotonicTime> m_viewRequestedAt;
    std::tuple<std::uint64_t, std::uint64_t, std::uint64_t> m_publishedGenerations {};
    std::optional<MonotonicTime> m_stoppingSince;
    bool m_shutdownFinished = false;
};

ControlReducer::ControlReducer(InstanceSettings settings, std::uint64_t incarnation)
    : m_state(std::make_unique<State>(std::move(settings), incarnation))
{
}

ControlReducer::~ControlReducer() = default;

Effects ControlReducer::reduce(const TimedEvent& event) { return m_state->reduce(event); }

ControlReducer::State::State(InstanceSettings instanceSettings, std::uint64_t incarnation)
    : m_settings(std::move(instanceSettings))
    , m_self {m_settings.instance, incarnation}
    , m_membership(m_settings, m_self)
    , m_configurationControl(m_settings, incarnation)
{
}

Effects ControlReducer::State::reduce(const TimedEvent& event)
{
    Effects effects = m_configurationControl.reduce(event, m_membership.peers());
    adoptConfiguration();
    const ReduceContext context {event.now, event.wall, m_settings, m_self, m_membership,
        m_configurationControl.inForce(), m_stoppingSince.has_value(), effects};
    std::visit([&](const auto& concrete) { handle(context, concrete); }, event.event);
    if (needsDecision(event.event)) {
        decide(context);
    }
    return effects;
}

// Heartbeats and their replies are the most frequent events, so decisions on what they change wait for the next tick.
bool ControlReducer::State::needsDecision(const Event& event)
{
    if (const PeerMessageReceived* message = std::get_if<PeerMessageReceived>(&event)) {
        return message->envelope.has_group_view() || message->envelope.has_declaration();
    }
    return std::get_if<RouteRefused>(&event) == nullptr && std::get_if<HotKeysObserved>(&event) == nullptr;
}

void ControlReducer::State::adoptConfiguration()
{
    const Configuration* configuration = m_configurationControl.inForce();
    if (configuration == nullptr || configuration->revision == m_adoptedRevision) {
        return;
    }
    m_adoptedRevision = configuration->revision;
    m_leases.configure(*configuration);
    std::erase_if(m_groups, [&](const auto& entry) {
        const bool configured = std::ranges::any_of(configuration->services, [&](const Service& service) {
            return service.name == entry.first.service && entry.first.index < service.groups;
        });
        if (!configured) {
            m_leases.dropGroup(entry.first);
        }
        return !configured;
    });
    for (const Service& service : configuration->services) {
        for (std::uint32_t index = 0; index < service.groups; ++index) {
            const GroupName name {service.name, index};
            m_groups.try_emplace(name, name, service);
        }
    }
}

void ControlReducer::State::handle(const ReduceContext& context, const Tick&)
{
    m_membership.tick(
        context.now, [this](const PeerInfo& peer, wire::Heartbeat& heartbeat) { fillHeartbeat(peer, heartbeat); },
        context.effects);
    expireDeclarations(context.now);
    evaluateHotKeys(context.now);
}

void ControlReducer::State::fillHeartbeat(const PeerInfo& peer, wire::Heartbeat& heartbeat) const
{
    heartbeat.set_configuration_revision(m_configurationControl.revision());
    heartbeat.set_ready(m_configurationControl.inForce() != nullptr);
    const InstanceReference peerReference {peer.entry.id, peer.incarnation};
    for (const auto& [name, group] : m_groups) {
        if (!group.isPrimary()) {
            continue;
        }
        wire::GroupVersion& version = *heartbeat.add_group_versions();
        toWire(name, *version.mutable_group());
        version.set_object_version(group.publishedVersion());
        if (const std::optional<std::uint64_t> term = group.backingRequestTerm(peerReference)) {
            wire::BackingRequest& request = *heartbeat.add_backing_requests();
            toWire(name, *request.mutable_group());
            request.set_term(*term);
        }
    }
}

void ControlReducer::State::expireDeclarations(MonotonicTime now)
{
    std::erase_if(m_declarations.goneServers, [&](const auto& entry) {
        const ServerLeases::ServerHealth health = m_leases.health(entry.first);
        return health.contacted && !health.lost && now - entry.second > declarationValidity;
    });
    std::erase_if(m_declarations.lostInstances, [&](const auto& entry) {
        const PeerInfo* peer = m_membership.find(entry.first);
        return peer != nullptr && peer->live;
    });
}

void ControlReducer::State::handle(const ReduceContext& context, const InstanceListReceived& event)
{
    m_membership.receiveInstanceList(context.now, event.result, context.effects);
}

void ControlReducer::State::handle(const ReduceContext& context, const StoreListed& event)
{
    if (event.kind != "group") {
        return;
    }
    m_groupReader.listFinished(context, event.result.status);
    if (event.result.status != StoreStatus::Ok) {
        return;
    }
    std::set<std::string> seen;
    for (const StoredObject& object : event.result.objects) {
        seen.insert(object.name);
        receiveStoredObject(context, object, event.startedAt);
    }
    for (auto& [name, group] : m_groups) {
        if (!seen.contains(toText(name))) {
            group.noteAbsentInStore(event.startedAt);
        }
    }
}

void ControlReducer::State::receiveStoredObject(
    const ReduceContext& context, const StoredObject& object, MonotonicTime startedAt)
{
    const std::optional<GroupName> name = parseGroupName(object.name);
    GroupAuthority* group = name ? findGroup(*name) : nullptr;
    if (group == nullptr) {
        return;
    }
    const std::optional<GroupRecord> record = handleError(
        [&]() -> Result<std::optional<GroupRecord>> {
            BOOST_LEAF_AUTO(decoded, decodeGroupRecord(object.value));
            return std::optional(std::move(decoded));
        },
        [&](const Error& error) -> std::optional<GroupRecord> {
            context.log(LogEvent::PeerMessageRejected, object.name + ": " + describe(error));
            return std::nullopt;
        });
    if (record && record->group == *name) {
        group->receiveStoredRecord(context, *record, object.version, startedAt);
    }
}

void ControlReducer::State::handle(const ReduceContext& context, const StoreRead& event)
{
    const std::optional<GroupName> name = event.kind == "group" ? parseGroupName(event.name) : std::nullopt;
    GroupAuthority* group = name ? findGroup(*name) : nullptr;
    if (group == nullptr) {
        return;
    }
    if (event.result.status == StoreStatus::Ok) {
        StoredObject object = event.result.object;
        object.name = event.name;
        receiveStoredObject(context, object, event.startedAt);
    }
    group->readFinished(context, event.result.status);
}

void ControlReducer::State::handle(const ReduceContext& context, const StoreWritten& event)
{
    const std::optional<GroupName> name = event.kind == "group" ? parseGroupName(event.name) : std::nullopt;
    GroupAuthority* group = name ? findGroup(*name) : nullptr;
    if (group != nullptr) {
        group->writeFinished(context, event);
    }
}

void ControlReducer::State::handle(const ReduceContext& context, const PeerMessageReceived& event)
{
    const wire::Envelope& envelope = event.envelope;
    const wire::InstanceReference& sender = envelope.sender();
    if (!m_membership.acceptsSender(sender)) {
        context.log(LogEvent::PeerMessageRejected,
            "sender " + sender.id() + " is not in the instance list or is an earlier incarnation");
        return;
    }
    switch (envelope.message_case()) {
    case wire::Envelope::kHeartbeat:
        receiveHeartbeat(context, sender, envelope.heartbeat());
        break;
    case wire::Envelope::kHeartbeatReply:
        receiveHeartbeatReply(sender, envelope.heartbeat_reply());
        break;
    case wire::Envelope::kGroupView:
        if (GroupAuthority* group = findGroup(fromWire(envelope.group_view().group()))) {
            group->receiveView(context, envelope.group_view());
        }
        break;
    case wire::Envelope::kViewRequest:
        answerViewRequest(context, sender, envelope.view_request());
        break;
    case wire::Envelope::kConfigurationAck:
        m_membership.receiveConfigurationAck(sender.id(), envelope.configuration_ack().revision());
        break;
    case wire::Envelope::kHotKeyReport:
        m_hotKeys.receiveReport(context.now, sender.id(), envelope.hot_key_report());
        break;
    case wire::Envelope::kDeclaration:
        recordDeclaration(context.now, envelope.declaration());
        break;
    default:
        break;
    }
}

void ControlReducer::State::receiveHeartbeat(
    const ReduceContext& context, const wire::InstanceReference& sender, const wire::Heartbeat& heartbeat)
{
    m_membership.receiveHeartbeat(context.now, sender, heartbeat, context.effects);
    SendPeerMessage answer;
    answer.to = sender.id();
    wire::HeartbeatReply& reply = *answer.envelope.mutable_heartbeat_reply();
    reply.set_sequence(heartbeat.sequence());
    const InstanceReference primary {sender.id(), sender.incarnation()};
    for (const wire::BackingRequest& request : heartbeat.backing_requests()) {
        const GroupAuthority* group = findGroup(fromWire(request.group()));
        if (group != nullptr && group->backsPrimary(m_self, primary, request.term())) {
            *reply.add_backed() = request;
        }
    }
    context.effects.push_back(std::move(answer));
    SendPeerMessage viewRequest;
    viewRequest.to = sender.id();
    for (const wire::GroupVersion& version : heartbeat.group_versions()) {
        const GroupAuthority* group = findGroup(fromWire(version.group()));
        if (group != nullptr && group->version() < version.object_version()) {
            *viewRequest.envelope.mutable_view_request()->add_groups() = version.group();
        }
    }
    if (viewRequest.envelope.has_view_request()) {
        context.effects.push_back(std::move(viewRequest));
    }
}

void ControlReducer::State::receiveHeartbeatReply(
    const wire::InstanceReference& sender, const wire::HeartbeatReply& reply)
{
    const std::optional<MonotonicTime> requestedAt = m_membership.heartbeatSentAt(reply.sequence());
    if (!requestedAt) {
        return;
    }
    for (const wire::BackingRequest& backed : reply.backed()) {
        if (GroupAuthority* group = findGroup(fromWire(backed.group()))) {
            group->receiveBacking({sender.id(), sender.incarnation()}, backed.term(), *requestedAt);
            group->refreshSharedDeadline();
        }
    }
}

void ControlReducer::State::answerViewRequest(
    const ReduceContext& context, const wire::InstanceReference& sender, const wire::ViewRequest& request)
{
    std::set<GroupName> requestedGroups;
    for (const wire::GroupReference& group : request.groups()) {
        requestedGroups.insert(fromWire(group));
    }
    for (const auto& [name, group] : m_groups) {
        if (group.publishedRecord() != nullptr && (requestedGroups.empty() || requestedGroups.contains(name))) {
            SendPeerMessage answer;
            answer.to = sender.id();
            *answer.envelope.mutable_group_view() = group.publishedView();
            context.effects.push_back(std::move(answer));
        }
    }
}

void ControlReducer::State::recordDeclaration(MonotonicTime now, const wire::Declaration& declaration)
{
    if (!declaration.gone_server().empty()) {
        m_declarations.goneServers[declaration.gone_server()] = now;
    }
    if (!declaration.lost_instance().empty()) {
        m_declarations.lostInstances[declaration.lost_instance()] = now;
    }
}

void ControlReducer::State::handle(const ReduceContext& context, const GrantAnswered& event)
{
    for (const GroupName& name : m_leases.receiveAnswer(context, event)) {
        if (GroupAuthority* group = findGroup(name)) {
            group->suspectTakeover();
        }
    }
}

void ControlReducer::State::handle(const ReduceContext& context, const OperatorRequested& event)
{
    switch (event.action) {
    case OperatorAction::ShowStatus:
        context.effects.push_back(OperatorAnswer {event.request, 200, statusReport(context, m_groups, m_leases)});
        break;
    case OperatorAction::DeclareServerGone:
    case OperatorAction::DeclareInstanceLost:
        answerDeclarationRequest(context, event);
        break;
    case OperatorAction::Load:
    case OperatorAction::ShowConfiguration:
        break; // ConfigurationControl answers these.
    }
}

void ControlReducer::State::answerDeclarationRequest(const ReduceContext& context, const OperatorRequested& request)
{
    wire::Declaration declaration;
    bool known = false;
    if (request.action == OperatorAction::DeclareServerGone) {
        declaration.set_gone_server(request.argument);
        known = context.configuration != nullptr
            && std::ranges::find(context.configuration->servers, request.argument, &BackendServer::id)
                != context.configuration->servers.end();
    } else {
        declaration.set_lost_instance(request.argument);
        // A lost instance may no longer be listed. If its declaration matters, a group object still names it.
        known = m_membership.find(request.argument) != nullptr || std::ranges::any_of(m_groups, [&](const auto& entry) {
            const GroupRecord* record = entry.second.record();
            return record != nullptr
                && (record->primary.id == request.argument
                    || std::ranges::find(record->possibleGranters, request.argument) != record->possibleGranters.end());
        });
    }
    if (context.configuration == nullptr) {
        context.effects.push_back(OperatorAnswer {request.request, 503, R"({"result":"unavailable"})"});
        return;
    }
    if (!known) {
        context.effects.push_back(OperatorAnswer {request.request, 404, R"({"result":"unknown-name"})"});
        return;
    }
    recordDeclaration(context.now, declaration);
    for (const PeerInfo& peer : m_membership.peers()) {
        SendPeerMessage message;
        message.to = peer.entry.id;
        *message.envelope.mutable_declaration() = declaration;
        context.effects.push_back(std::move(message));
    }
    context.effects.push_back(OperatorAnswer {request.request, 200, R"({"result":"declared"})"});
}

// Every primary of the service gets the whole report, because keys are compared with the load of all servers.
void ControlReducer::State::handle(const ReduceContext& context, const HotKeysObserved& event)
{
    m_hotKeys.receiveReport(context.now, m_self.id, event.report);
    std::set<std::string> primaries;
    for (const auto& [name, group] : m_groups) {
        if (name.service == event.report.service() && group.record() != nullptr && !group.isPrimary()) {
            primaries.insert(group.record()->primary.id);
        }
    }
    primaries.erase(m_self.id);
    for (const std::string& primary : primaries) {
        SendPeerMessage message;
        message.to = primary;
        *message.envelope.mutable_hot_key_report() = event.report;
        context.effects.push_back(std::move(message));
    }
}

void ControlReducer::State::evaluateHotKeys(MonotonicTime now)
{
    const Configuration* configuration = m_configurationControl.inForce();
    if (configuration == nullptr) {
        return;
    }
    std::map<std::string, std::size_t> servers;
    for (const BackendServer& server : configuration->servers) {
        ++servers[server.service];
    }
    m_hotKeys.evaluate(
        now, [this](const std::string& service, const std::string& key) { return locateKey(service, key); }, servers);
}

std::optional<HotKeyTracker::KeyLocation> ControlReducer::State::locateKey(
    const std::string& service, const std::string& key) const
{
    const std::vector<Service>& services = m_configurationControl.inForce()->services;
    const auto configuredService = std::ranges::find(services, service, &Service::name);
    if (configuredService == services.end()) {
        return std::nullopt;
    }
    std::uint32_t partition = partitionOf(key, configuredService->partitions);
    const GroupName name {service, partition % configuredService->groups};
    const auto group = m_groups.find(name);
    if (group == m_groups.end() || group->second.record() == nullptr) {
        return std::nullopt;
    }
    const GroupRecord& record = *group->second.record();
    const auto overridden = record.overrides.find(key);
    if (overridden != record.overrides.end()) {
        partition = overridden->second;
    }
    const auto assignment = std::ranges::find(record.partitions, partition, &PartitionAssignment::partition);
    return HotKeyTracker::KeyLocation {name, assignment != record.partitions.end() ? assignment->owner : ""};
}

void ControlReducer::State::handle(const ReduceContext& context, const RouteRefused& event)
{
    const GroupAuthority* group = findGroup(event.group);
    if (group == nullptr || group->record() == nullptr || group->isPrimary()) {
        return;
    }
    const auto last = m_viewRequestedAt.find(event.group);
    if (last != m_viewRequestedAt.end() && context.now - last->second < viewRequestInterval) {
        return;
    }
    m_viewRequestedAt[event.group] = context.now;
    SendPeerMessage viewRequest;
    viewRequest.to = group->record()->primary.id;
    toWire(event.group, *viewRequest.envelope.mutable_view_request()->add_groups());
    context.effects.push_back(std::move(viewRequest));
}

void ControlReducer::State::handle(const ReduceContext& context, const ShutdownRequested&)
{
    if (!m_stoppingSince) {
        m_stoppingSince = context.now;
        m_membership.setLeaving();
    }
}

void ControlReducer::State::decide(const ReduceContext& context)
{
    if (context.configuration != nullptr) {
        decideGroups(context);
        publishRouting(context);
    }
    finishShutdown(context);
}

void ControlReducer::State::decideGroups(const ReduceContext& context)
{
    std::set<std::string> probedServices;
    bool readNeeded = false;
    bool readNeededNow = false;
    for (const Service& service : context.configuration->services) {
        const std::map<std::string, double> loads = serverLoads(service);
        for (std::uint32_t index = 0; index < service.groups; ++index) {
            GroupAuthority& group = m_groups.at({service.name, index});
            updateTrackedTerm({service.name, index}, group, context.now);
            const std::set<std::string> hotKeys = hotKeysToIsolate(service, {service.name, index});
            const std::map<std::uint32_t, double> partitionLoads
                = group.record() != nullptr ? hotPartitionLoads(service, group) : std::map<std::uint32_t, double>();
            group.decide(
                context, service, {m_leases, m_declarations, m_placementPolicy, loads, partitionLoads, hotKeys});
            group.updateLeases(context, m_leases);
            group.refreshSharedDeadline();
            readNeeded = readNeeded || group.needsStoreRead(context);
            readNeededNow = readNeededNow || group.needsStoreReadNow(context);
            if (group.isPrimary()) {
                probedServices.insert(service.name);
            }
        }
    }
    m_groupReader.tick(context, readNeeded, readNeededNow);
    m_leases.setProbedServices(std::move(probedServices));
    m_leases.sendDueGrants(context, [this](const GroupName& name) {
        const GroupAuthority* group = findGroup(name);
        return group != nullptr ? group->authorityUntil() : MonotonicTime();
    });
}

// A new primary keeps the hot keys isolated by its predecessor until their rates show that they have cooled down.
void ControlReducer::State::updateTrackedTerm(const GroupName& name, const GroupAuthority& group, MonotonicTime now)
{
    const std::uint64_t term = group.isPrimary() ? group.record()->term : 0;
    std::uint64_t& trackedTerm = m_trackedTerms[name];
    if (term == trackedTerm) {
        return;
    }
    trackedTerm = term;
    if (term == 0) {
        m_hotKeys.untrackGroup(name);
    } else {
        m_hotKeys.trackGroup(now, *group.record());
    }
}

// Load of the hot keys' partitions in multiples of the load of a mean partition. Instances report hot keys only, so the
// mean load is underestimated; the result is therefore limited to the load of a mean server.
std::map<std::uint32_t, double> ControlReducer::State::hotPartitionLoads(
    const Service& service, const GroupAuthority& group) const
{
    std::map<std::uint32_t, double> loads;
    const double meanRate = m_hotKeys.totalRateOf(service.name) / service.partitions;
    const auto servers
        = std::ranges::count(m_configurationControl.inForce()->servers, service.name, &BackendServer::service);
    const double highest = std::max(1.0, static_cast<double>(service.partitions) / std::max<double>(1, servers));
    for (const auto& [key, partition] : group.record()->overrides) {
        const double rate = m_hotKeys.rateOf(service.name, key);
        loads[partition] = meanRate > 0 ? std::clamp(rate / meanRate, 1.0, highest) : 1.0;
    }
    return loads;
}

std::map<std::string, double> ControlReducer::State::serverLoads(const Service& service) const
{
    std::map<std::string, double> loads;
    for (std::uint32_t index = 0; index < service.groups; ++index) {
        const GroupAuthority& group = m_groups.at({service.name, index});
        if (group.record() == nullptr) {
            continue;
        }
        const std::map<std::uint32_t, double> partitionLoads = hotPartitionLoads(service, group);
        for (const PartitionAssignment& assignment : group.record()->partitions) {
            const auto it = partitionLoads.find(assignment.partition);
            loads[assignment.owner] += it != partitionLoads.end() ? it->second : 1;
        }
    }
    return loads;
}

std::set<std::string> ControlReducer::State::hotKeysToIsolate(const Service& service, const GroupName& group) const
{
    std::set<std::string> keys = m_hotKeys.isolatedKeys(group);
    for (const HotKey& hotKey : m_configurationControl.inForce()->hotKeys) {
        if (hotKey.service == service.name
            && partitionOf(hotKey.key, service.partitions) % service.groups == group.index) {
            keys.insert(hotKey.key);
        }
    }
    return keys;
}

void ControlReducer::State::publishRouting(const ReduceContext& context)
{
    std::uint64_t generations = 0;
    for (const auto& [name, group] : m_groups) {
        generations += group.generation();
    }
    const std::tuple state(m_adoptedRevision, m_membership.generation(), generations);
    if (state == m_publishedGenerations) {
        return;
    }
    m_publishedGenerations = state;
    context.effects.push_back(PublishRouting {buildRouting(context, m_groups)});
}

void ControlReducer::State::finishShutdown(const ReduceContext& context)
{
    if (!m_stoppingSince || m_shutdownFinished) {
        return;
    }
    const bool handedOver = std::ranges::none_of(
        m_groups, [&](const auto& entry) { return entry.second.isPrimary() || entry.second.isStandby(m_self); });
    const bool noLivePeers = std::ranges::none_of(m_membership.peers(), &PeerInfo::live);
    // The second half of the shutdown time is for the requests in flight.
    const bool timeExpired = context.now - *m_stoppingSince >= m_settings.shutdownTimeout / 2;
    if (handedOver || noLivePeers || timeExpired) {
        m_shutdownFinished = true;
        context.effects.push_back(ShutdownFinished {});
    }
}

GroupAuthority* ControlReducer::State::findGroup(const GroupName& name)
{
    const auto it = m_groups.find(name);
    return it != m_groups.end() ? &it->second : nullptr;
}

} // namespace jasminespread
