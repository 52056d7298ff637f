#pragma once

#include "fake_backend_server.h"

#include <jasminespread/control_reducer.h>
#include <jasminespread/routing_table.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jasminespread {

/// Simulates several ControlReducers, an object store and backend servers with a manual clock.
class ControlSimulation {
public:
    struct Instance {
        InstanceSettings settings;
        std::uint64_t incarnation = 0;
        std::unique_ptr<ControlReducer> reducer; ///< Null while the process is stopped.
        bool paused = false;
        std::vector<Event> queuedEvents; ///< Events that arrived while paused.
        std::shared_ptr<const RoutingSnapshot> routing;
        std::string lastOperatorAnswer; ///< Body of the newest answer to an operator's request.
        unsigned lastOperatorStatus = 0;
        std::vector<LogEvent> logs;
        bool shutdownFinished = false;
    };

    enum class StoreMode : std::uint8_t { Up, Down, LoseWriteAnswers };

    ControlSimulation(Configuration configuration, std::vector<std::vector<std::string>> instancesOfRegion);

    /// @name Control
    /// @{
    void startInstance(const std::string& id);
    void stopInstance(const std::string& id) { instances.at(id).reducer.reset(); }
    void pauseInstance(const std::string& id) { instances.at(id).paused = true; }
    void resumeInstance(const std::string& id);
    void freezeServer(const std::string& id) { servers.at(id).frozen = true; }
    void unfreezeServer(const std::string& id);
    void cutLink(const std::string& a, const std::string& b) { cutLinks.insert({a, b}), cutLinks.insert({b, a}); }
    void restoreLinks() { cutLinks.clear(); }
    /// Requests at every instance to load the configuration. All but the first request may find it in force already.
    void loadConfiguration();
    void requestAsOperator(const std::string& id, OperatorAction action, const std::string& argument = "");
    void send(const std::string& id, Event event);
    /// Advances the clock in steps of 10 ms and calls onStep after each.
    void run(Milliseconds duration);
    /// @}

    /// @name Queries
    /// @{
    [[nodiscard]] std::optional<GroupRecord> storedRecord(const GroupName& group) const;
    /// True when the server would execute a request for the partition under this token.
    [[nodiscard]] bool wouldExecute(const std::string& server, const GroupName& group, std::uint32_t partition,
        std::optional<std::uint64_t> token = std::nullopt) const;
    /// Servers that would execute requests for the partition.
    [[nodiscard]] std::vector<std::string> executingServers(const GroupName& group, std::uint32_t partition) const;
    /// Instances whose authority deadline for the group has not passed.
    [[nodiscard]] std::vector<std::string> authorityHolders(const GroupName& group) const;
    /// Route of a key according to an instance.
    [[nodiscard]] KeyRoute route(const std::string& instance, const std::string& service, const std::string& key) const;
    /// Violations of exclusive ownership found since the start, one line each.
    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    /// @}

    Configuration configuration;
    MonotonicTime now {std::chrono::hours(1)};
    std::map<std::string, Instance> instances;
    std::map<std::string, FakeBackendServer> servers;
    std::map<std::string, ListedState> listedStates; ///< Overrides the state in the platform's list.
    std::set<std::pair<std::string, std::string>>
        cutLinks; ///< Interrupted links between instances, servers and "store".
    StoreMode storeMode = StoreMode::Up;
    Milliseconds storeDelay {5};
    std::uint32_t storeWrites = 0;
    std::map<std::string, std::uint32_t> storeReads; ///< Calls by kind of object.
    /// Returns the delay of a grant message to a server; if empty, the usual delay applies.
    std::function<Milliseconds(const std::string& server)> grantDelay;
    std::function<void()> onStep;

private:
    struct ScheduledAction {
        MonotonicTime at;
        std::uint64_t order;
        std::function<void()> action;
    };

    [[nodiscard]] WallTime wallTime() const;
    [[nodiscard]] bool connected(const std::string& a, const std::string& b) const
    {
        return !cutLinks.contains({a, b});
    }
    void schedule(Milliseconds delay, std::function<void()> action);
    void runScheduledActions();
    void deliver(const std::string& id, std::uint64_t incarnation, Event event);
    void perform(Instance& instance, Effect& effect);
    void callStore(Instance& instance, std::function<Event(bool reached)> call);
    [[nodiscard]] StoreWriteResult write(const WriteObject& effect);
    [[nodiscard]] StoreListResult list(const std::string& kind) const;
    [[nodiscard]] InstanceListResult listInstances() const;
    void sendGrants(Instance& instance, const GrantBatch& batch);
    void checkKeyOwners();
    void checkSoleDispatchers();

    std::vector<ScheduledAction> m_schedule;
    std::uint64_t m_actionCounter = 0;
    std::uint64_t m_objectVersion = 0;
    std::uint64_t m_incarnationCounter = 0;
    std::uint64_t m_changeCounter = 0;
    std::map<std::pair<std::string, std::string>, StoredObject> m_objects;
    std::map<GroupName, GroupRecord> m_records; ///< Decoded group objects of the store.
    /// Overrides in the record in which a token first appeared; they determine the keys that the token covers.
    std::map<std::pair<GroupName, std::uint64_t>, std::map<std::string, std::uint32_t>> m_overridesOfToken;
    std::vector<std::string> m_violations;
};

/// Returns a configuration with one checked service "ledger" (8 partitions, 2 groups) and servers s1 ... sN in region
/// "west".
[[nodiscard]] Configuration ledgerConfiguration(std::size_t servers);

} // namespace jasminespread
