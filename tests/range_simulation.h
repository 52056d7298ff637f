#pragma once

#include "gateway/server_directory.h"
#include "ranges/range_authority.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace jasminespread {

/// Simulates several range authorities, a store and backend servers on one simulated clock, with seeded random faults.
/// Checks that no two servers hold a key at the same time, and that the fencing token of a key increases from one
/// server to the next.
class RangeSimulation {
public:
    explicit RangeSimulation(std::uint64_t seed);

    enum class Scenario : std::uint8_t {
        Quiet,
        HotKeys, ///< The set of hot keys changes every two seconds.
        Faults ///< Hot keys and random faults, one every 200 to 1700 ms.
    };

    void simulate(Milliseconds length, Scenario scenario);
    /// Violated guarantees; empty if there are none.
    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    /// Number of keys that some server holds now.
    [[nodiscard]] std::uint32_t heldKeys() const;
    /// Fraction of the time since the previous call in which a key was held, averaged over all keys.
    [[nodiscard]] double heldFraction();

private:
    struct Lease {
        KeyRange range;
        std::uint64_t fence = 0;
        MonotonicTime until;
    };

    struct Server {
        ListedServer listed;
        std::uint64_t sequence = 1; ///< Of its latest registration.
        std::optional<ServerRegistration> lateWrite; ///< An earlier registration, which the store has now.
        bool running = true;
        bool unreachable = false; ///< Calls to it get no answer.
        double clockRate = 1;
        std::vector<Lease> leases;
        std::vector<std::uint64_t> highestFences; ///< Highest fencing token by key.
    };

    struct Instance {
        std::string name;
        std::uint64_t incarnation = 0;
        std::unique_ptr<RangeAuthority> authority; ///< Null while the process is not running.
        ServerDirectory directory {ServerDirectoryTimes()};
        std::map<std::string, MonotonicTime> peers; ///< When the connection to each one opens, by instance.
        bool cutFromStore = false;
        bool cutFromPeers = false;
        MonotonicTime pausedUntil;
        std::vector<std::function<void()>> delayedSteps; ///< Events that arrived while it was paused.
    };

    struct StoredObject {
        std::uint64_t version = 0;
        std::string value;
    };

    struct ScheduledStep {
        MonotonicTime at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator>(const ScheduledStep& other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    void schedule(Milliseconds delay, std::function<void()> run);
    void start(Instance& instance);
    void deliver(const std::string& instance, std::uint64_t incarnation, RangeEvent event);
    void tick(const std::string& instance, std::uint64_t incarnation);
    void execute(Instance& instance, RangeEffect& effect);
    void read(Instance& instance, const ReadRecord& effect);
    void write(Instance& instance, const WriteRecord& effect);
    void grant(Instance& instance, const GrantRange& effect);
    void release(Instance& instance, const ReleaseRange& effect);
    void send(Instance& instance, SendRangePeerMessage& effect);
    [[nodiscard]] StoreWriteResult store(const WriteRecord& effect);
    [[nodiscard]] GrantResult applyGrant(Server& server, const GrantRange& effect, MonotonicTime arrivedAt);
    void connect(Instance& instance, const ConnectRangePeers& effect);
    void writeLate(std::size_t serverIndex);
    void publishServerList();
    void injectFault();
    void checkLeases();
    [[nodiscard]] double random() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    [[nodiscard]] std::size_t choose(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random);
    }

    std::mt19937_64 m_random;
    MonotonicTime m_now;
    std::uint64_t m_order = 0;
    std::priority_queue<ScheduledStep, std::vector<ScheduledStep>, std::greater<>> m_schedule;
    std::vector<Instance> m_instances;
    std::vector<Server> m_servers;
    std::map<std::string, StoredObject> m_store;
    std::uint64_t m_version = 0;
    bool m_storeDown = false;
    double m_lostAnswerRate = 0; ///< Fraction of the store writes that are executed without an answer.
    double m_lateGrantRate = 0; ///< Fraction of the grants that are executed late without an answer.
    double m_resetRate = 0.02; ///< Fraction of the grants whose connection is reset although the server runs.
    std::vector<std::pair<std::string, std::uint64_t>> m_lastGrants; ///< Latest server and fencing token, by key.
    std::vector<std::string> m_violations;
    double m_heldTime = 0;
    double m_totalTime = 0;
    MonotonicTime m_checkedAt;
};

} // namespace jasminespread
