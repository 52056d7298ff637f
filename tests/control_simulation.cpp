#include "control_simulation.h"

#include <algorithm>

namespace jasminespread {
namespace {

constexpr Milliseconds linkDelay {1};
constexpr Milliseconds stepDuration {10};
constexpr Milliseconds tickInterval {50};

} // namespace

Configuration ledgerConfiguration(std::size_t servers)
{
    Configuration configuration;
    configuration.deployment = "test";
    configuration.author = "test";
    configuration.regions = {{"west", {"w1", "w2"}}};
    Service service;
    service.name = "ledger";
    service.grantCheck = GrantCheck::Checked;
    service.partitions = 8;
    service.groups = 2;
    service.classes = {{"standard", 1}};
    configuration.services = {service};
    for (std::size_t i = 1; i <= servers; ++i) {
        const std::string id = "s" + std::to_string(i);
        const std::string address = "127.0.0.1:" + std::to_string(9000 + i);
        configuration.servers.push_back({id, "ledger", "west", i % 2 == 0 ? "w2" : "w1", address});
    }
    return configuration;
}

ControlSimulation::ControlSimulation(
    Configuration initialConfiguration, std::vector<std::vector<std::string>> instancesOfRegion)
    : configuration(std::move(initialConfiguration))
{
    for (std::size_t region = 0; region < instancesOfRegion.size(); ++region) {
        const Region& configuredRegion = configuration.regions.at(region);
        for (std::size_t i = 0; i < instancesOfRegion[region].size(); ++i) {
            Instance& instance = instances[instancesOfRegion[region][i]];
            instance.settings.instance = instancesOfRegion[region][i];
            instance.settings.region = configuredRegion.name;
            instance.settings.failureDomain
                = configuredRegion.failureDomains[i % configuredRegion.failureDomains.size()];
        }
    }
    for (const BackendServer& server : configuration.servers) {
        servers[server.id];
    }
    for (const auto& [id, instance] : instances) {
        startInstance(id);
    }
}

WallTime ControlSimulation::wallTime() const
{
    return WallTime(std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()) + std::chrono::hours(400'000));
}

void ControlSimulation::startInstance(const std::string& id)
{
    Instance& instance = instances.at(id);
    instance.incarnation = 1000 + ++m_incarnationCounter;
    instance.paused = false;
    instance.shutdownFinished = false;
    instance.queuedEvents.clear();
    instance.routing.reset();
    instance.reducer = std::make_unique<ControlReducer>(instance.settings, instance.incarnation);
}

void ControlSimulation::resumeInstance(const std::string& id)
{
    Instance& instance = instances.at(id);
    instance.paused = false;
    std::vector<Event> waiting;
    waiting.swap(instance.queuedEvents);
    for (Event& event : waiting) {
        send(id, std::move(event));
    }
}

void ControlSimulation::unfreezeServer(const std::string& id)
{
    FakeBackendServer& server = servers.at(id);
    server.frozen = false;
    std::vector<std::function<void()>> waiting;
    waiting.swap(server.pendingMessages);
    for (const std::function<void()>& action : waiting) {
        action();
    }
}

void ControlSimulation::loadConfiguration()
{
    for (const auto& [id, instance] : instances) {
        OperatorRequested event;
        event.action = OperatorAction::Load;
        event.configuration = configuration;
        event.baseRevision = instance.routing ? instance.routing->revision : 0;
        event.changeId = "load-" + std::to_string(++m_changeCounter) + "-" + id;
        send(id, event);
    }
}

void ControlSimulation::requestAsOperator(const std::string& id, OperatorAction action, const std::string& argument)
{
    OperatorRequested event;
    event.action = action;
    event.argument = argument;
    send(id, event);
}

void ControlSimulation::send(const std::string& id, Event event)
{
    Instance& instance = instances.at(id);
    if (!instance.reducer) {
        return;
    }
    if (instance.paused) {
        instance.queuedEvents.push_back(std::move(event));
        return;
    }
    for (Effect& effect : instance.reducer->reduce({now, wallTime(), std::move(event)})) {
        perform(instance, effect);
    }
}

void ControlSimulation::run(Milliseconds duration)
{
    const MonotonicTime end = now + duration;
    while (now < end) {
        now += stepDuration;
        runScheduledActions();
        if (now.time_since_epoch() % tickInterval == Milliseconds(0)) {
            for (const auto& [id, instance] : instances) {
                if (!instance.paused) {
                    send(id, Tick {});
                }
            }
        }
        checkKeyOwners();
        checkSoleDispatchers();
        if (onStep) {
            onStep();
        }
    }
}

void ControlSimulation::schedule(Milliseconds delay, std::function<void()> action)
{
    m_schedule.push_back({now + delay, ++m_actionCounter, std::move(action)});
}

// Runs the due actions in order of time, with the clock set to the time of each.
void ControlSimulation::runScheduledActions()
{
    const MonotonicTime end = now;
    while (!m_schedule.empty()) {
        const auto next = std::ranges::min_element(
            m_schedule, {}, [](const ScheduledAction& scheduled) { return std::pair(scheduled.at, scheduled.order); });
        if (next->at > end) {
            break;
        }
        const ScheduledAction scheduled = std::move(*next);
        m_schedule.erase(next);
        now = std::max(now - stepDuration, scheduled.at);
        scheduled.action();
        now = end;
    }
}

void ControlSimulation::deliver(const std::string& id, std::uint64_t incarnation, Event event)
{
    if (instances.at(id).incarnation == incarnation) {
        send(id, std::move(event));
    }
}

void ControlSimulation::perform(Instance& instance, Effect& effect)
{
    const std::string id = instance.settings.instance;
    const MonotonicTime startedAt = now;
    if (std::get_if<ReadInstanceList>(&effect) != nullptr) {
        schedule(linkDelay, [this, id, requesterIncarnation = instance.incarnation] {
            deliver(id, requesterIncarnation, InstanceListReceived {listInstances()});
        });
    } else if (const ListObjects* listing = std::get_if<ListObjects>(&effect)) {
        ++storeReads[listing->kind];
        callStore(instance, [this, startedAt, kind = listing->kind](bool reached) {
            return StoreListed {kind, startedAt, reached ? list(kind) : StoreListResult {}};
        });
    } else if (const ReadObject* read = std::get_if<ReadObject>(&effect)) {
        ++storeReads[read->kind];
        callStore(instance, [this, startedAt, read = *read](bool reached) {
            StoreRead event {read.kind, read.name, startedAt, {}};
            if (reached) {
                const auto it = m_objects.find({read.kind, read.name});
                event.result.status = it != m_objects.end() ? StoreStatus::Ok : StoreStatus::NotFound;
                event.result.object = it != m_objects.end() ? it->second : StoredObject {};
            }
            return event;
        });
    } else if (const WriteObject* change = std::get_if<WriteObject>(&effect)) {
        ++storeWrites;
        callStore(instance, [this, startedAt, change = *change](bool reached) {
            const StoreWriteResult result = reached ? write(change) : StoreWriteResult {};
            return StoreWritten {change.kind, change.name, change.changeId, startedAt, result};
        });
    } else if (SendPeerMessage* message = std::get_if<SendPeerMessage>(&effect)) {
        message->envelope.mutable_sender()->set_id(id);
        message->envelope.mutable_sender()->set_incarnation(instance.incarnation);
        if (connected(id, message->to) && instances.contains(message->to)) {
            schedule(
                linkDelay, [this, message = *message] { send(message.to, PeerMessageReceived {message.envelope}); });
        }
    } else if (const SendGrants* grants = std::get_if<SendGrants>(&effect)) {
        sendGrants(instance, grants->batch);
    } else if (const PublishRouting* publish = std::get_if<PublishRouting>(&effect)) {
        instance.routing = publish->snapshot;
    } else if (const OperatorAnswer* answer = std::get_if<OperatorAnswer>(&effect)) {
        instance.lastOperatorAnswer = answer->body;
        instance.lastOperatorStatus = answer->status;
    } else if (const WriteLog* entry = std::get_if<WriteLog>(&effect)) {
        instance.logs.push_back(entry->event);
    } else if (std::get_if<ShutdownFinished>(&effect) != nullptr) {
        instance.shutdownFinished = true;
    }
}

// The call takes effect after storeDelay and its result arrives after another storeDelay. A lost answer to a write is
// reported after the store timeout.
void ControlSimulation::callStore(Instance& instance, std::function<Event(bool reached)> call)
{
    const std::string id = instance.settings.instance;
    const std::uint64_t incarnation = instance.incarnation;
    schedule(storeDelay, [this, id, incarnation, call = std::move(call)] {
        const bool reached = storeMode != StoreMode::Down && connected(id, "store");
        Event event = call(reached);
        Milliseconds delay = storeDelay;
        StoreWritten* written = std::get_if<StoreWritten>(&event);
        if (written != nullptr && storeMode == StoreMode::LoseWriteAnswers) {
            written->result = {StoreStatus::Unknown, 0};
            delay = instances.at(id).settings.storeTimeout;
        }
        schedule(delay, [this, id, incarnation, event = std::move(event)] { deliver(id, incarnation, event); });
    });
}

StoreWriteResult ControlSimulation::write(const WriteObject& effect)
{
    StoredObject& object = m_objects[{effect.kind, effect.name}];
    if (object.version != effect.expectedVersion) {
        return {StoreStatus::Conflict, 0};
    }
    object = {effect.name, ++m_objectVersion, effect.value};
    if (effect.kind == "group") {
        const GroupRecord record = decodeGroupRecord(effect.value).value();
        m_records[record.group] = record;
        for (const PartitionAssignment& assignment : record.partitions) {
            m_overridesOfToken.try_emplace({record.group, assignment.token}, record.overrides);
        }
    }
    return {StoreStatus::Ok, object.version};
}

StoreListResult ControlSimulation::list(const std::string& kind) const
{
    StoreListResult result {StoreStatus::Ok, m_objectVersion, {}};
    for (const auto& [name, object] : m_objects) {
        if (name.first == kind && object.version != 0) {
            result.objects.push_back(object);
        }
    }
    return result;
}

InstanceListResult ControlSimulation::listInstances() const
{
    InstanceListResult result {StoreStatus::Ok, {}};
    const auto stateOf = [&](const std::string& id) {
        const auto it = listedStates.find(id);
        return it != listedStates.end() ? it->second : ListedState::Live;
    };
    for (const auto& [id, instance] : instances) {
        result.entries.push_back({id, InstanceRole::Entry, instance.settings.region, instance.settings.failureDomain,
            stateOf(id), "127.0.0.1:" + id, "127.0.0.1:" + id});
    }
    for (const auto& [id, server] : servers) {
        result.entries.push_back({id, InstanceRole::Backend, "", "", stateOf(id), "", ""});
    }
    return result;
}

void ControlSimulation::sendGrants(Instance& instance, const GrantBatch& batch)
{
    const std::string id = instance.settings.instance;
    const std::uint64_t incarnation = instance.incarnation;
    const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
    const MonotonicTime sentAt = now;
    const auto answer = [this, id, incarnation, answered, sentAt, batch](std::optional<GrantReply> reply) {
        if (!std::exchange(*answered, true)) {
            deliver(id, incarnation, GrantAnswered {batch.server, batch, sentAt, std::move(reply)});
        }
    };
    schedule(instance.settings.grantTimeout, [answer] { answer(std::nullopt); });
    const std::function<void()> arrive = [this, id, batch, answer] {
        if (servers.at(batch.server).running && connected(id, batch.server)) {
            schedule(linkDelay, [answer, reply = servers.at(batch.server).answer(batch, now)] { answer(reply); });
        }
    };
    schedule(grantDelay ? grantDelay(batch.server) : linkDelay, [this, batch, arrive] {
        FakeBackendServer& server = servers.at(batch.server);
        if (server.frozen) {
            server.pendingMessages.push_back(arrive);
        } else {
            arrive();
        }
    });
}

// Only one server may execute requests for a key, under one token. A token covers the keys that its partition had when
// the token was written.
void ControlSimulation::checkKeyOwners()
{
    std::map<std::pair<GroupName, std::string>, std::set<std::string>> routesByKey;
    for (const auto& [id, server] : servers) {
        for (const auto& [group, lease] : server.groupLeases) {
            if (!server.running || lease.leaseUntil <= now) {
                continue;
            }
            for (const auto& [partition, token] : lease.tokens) {
                routesByKey[{group, "partition " + std::to_string(partition)}].insert(id);
                const std::map<std::string, std::uint32_t>& coveredOverrides = m_overridesOfToken.at({group, token});
                for (const auto& [key, ownPartition] : m_records.at(group).overrides) {
                    const bool isHashPartition
                        = partitionOf(key, configuration.services.front().partitions) == partition;
                    if ((isHashPartition && !coveredOverrides.contains(key))
                        || (coveredOverrides.contains(key) && ownPartition == partition)) {
                        routesByKey[{group, key}].insert(id + " partition " + std::to_string(partition));
                    }
                }
            }
        }
    }
    for (const auto& [subject, routes] : routesByKey) {
        if (routes.size() > 1) {
            m_violations.push_back(
                toText(subject.first) + " " + subject.second + ": " + *routes.begin() + " and " + *routes.rbegin());
        }
    }
}

// Servers that do not check grants require that a single instance dispatches to them.
void ControlSimulation::checkSoleDispatchers()
{
    for (const Service& service : configuration.services) {
        std::map<std::uint32_t, std::set<std::string>> dispatchers;
        for (const auto& [id, instance] : instances) {
            if (!instance.reducer || !instance.routing || service.grantCheck == GrantCheck::Checked) {
                continue;
            }
            for (const GroupRoute& group : instance.routing->services.at(service.name).groups) {
                for (const auto& [partition, route] : group.partitions) {
                    if (group.authorityUntil && route.server
                        && group.authorityUntil->load() > now.time_since_epoch().count()) {
                        dispatchers[partition].insert(id + " to " + instance.routing->servers[*route.server].id);
                    }
                }
            }
        }
        for (const auto& [partition, found] : dispatchers) {
            if (found.size() > 1) {
                m_violations.push_back("dispatchers " + *found.begin() + ", " + *found.rbegin());
            }
        }
    }
}

std::optional<GroupRecord> ControlSimulation::storedRecord(const GroupName& group) const
{
    const auto it = m_records.find(group);
    return it != m_records.end() ? std::optional(it->second) : std::nullopt;
}

bool ControlSimulation::wouldExecute(const std::string& server, const GroupName& group, std::uint32_t partition,
    std::optional<std::uint64_t> token) const
{
    const FakeBackendServer& backend = servers.at(server);
    const auto lease = backend.groupLeases.find(group);
    if (!backend.running || backend.frozen || lease == backend.groupLeases.end() || lease->second.leaseUntil <= now) {
        return false;
    }
    const auto it = lease->second.tokens.find(partition);
    return it != lease->second.tokens.end() && (!token || it->second == *token);
}

std::vector<std::string> ControlSimulation::executingServers(const GroupName& group, std::uint32_t partition) const
{
    std::vector<std::string> found;
    for (const auto& [id, server] : servers) {
        if (wouldExecute(id, group, partition)) {
            found.push_back(id);
        }
    }
    return found;
}

std::vector<std::string> ControlSimulation::authorityHolders(const GroupName& group) const
{
    std::vector<std::string> found;
    for (const auto& [id, instance] : instances) {
        if (!instance.reducer || !instance.routing) {
            continue;
        }
        const GroupRoute& route = instance.routing->services.at(group.service).groups.at(group.index);
        if (route.authorityUntil && route.authorityUntil->load() > now.time_since_epoch().count()) {
            found.push_back(id);
        }
    }
    return found;
}

KeyRoute ControlSimulation::route(const std::string& instance, const std::string& service, const std::string& key) const
{
    return routeKey(instances.at(instance).routing->services.at(service), key);
}

} // namespace jasminespread
