// Compares placement policies over one seeded sequence of server joins, losses, planned stops and hot-key changes.

#include "control/churn_budget.h"
#include "control/placement.h"
#include "control/placement_baselines.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <random>
#include <set>

namespace {

using namespace jasminespread;

constexpr std::uint32_t partitions = 96;
constexpr std::size_t initialServers = 12;
constexpr double keysPerPartition = 10'000;
constexpr double hotKeyLoad = 4; // In units of the load of an ordinary partition.
constexpr std::size_t hotKeys = 6;
constexpr Milliseconds eventInterval {3'600'000};
constexpr int rebalanceRounds = 6; // Between two events.

/// @name Time without an owner
/// Model values from design section 9 and the delays of the simulation in tests/.
/// @{
constexpr double secondsWithoutOwnerAfterLoss = 2.2;
constexpr double secondsWithoutOwnerInMove = 0.03;
/// @}

enum class EventKind : std::uint8_t { Join, Loss, PlannedStop, HotKeyChange };

constexpr std::array<EnumName<EventKind>, 4> eventNames {{
    {EventKind::Join, "join"},
    {EventKind::Loss, "loss"},
    {EventKind::PlannedStop, "planned-stop"},
    {EventKind::HotKeyChange, "hot-key-change"},
}};

struct FleetEvent {
    EventKind kind;
    std::string server; ///< The server that joins, is lost or stops.
};

struct Measures {
    double imbalanceSum = 0;
    double worstImbalance = 0;
    std::size_t samples = 0;
    std::size_t moves = 0; ///< Without those that a loss or stop forces on every policy.
    std::size_t forcedMoves = 0;
    double unavailableKeySeconds = 0;
};

std::vector<FleetEvent> drawEvents(std::uint32_t seed, std::size_t count)
{
    std::mt19937 random(seed);
    std::vector<std::string> running;
    for (std::size_t i = 0; i < initialServers; ++i) {
        running.push_back("s" + std::to_string(i));
    }
    std::size_t next = initialServers;
    std::vector<FleetEvent> events;
    while (events.size() < count) {
        const std::uint32_t roll = random() % 10;
        if (roll < 4) {
            events.push_back({EventKind::HotKeyChange, ""});
        } else if (running.size() < initialServers - 2 || (roll < 7 && running.size() < initialServers + 2)) {
            running.push_back("s" + std::to_string(next++));
            events.push_back({EventKind::Join, running.back()});
        } else {
            const std::size_t index = random() % running.size();
            events.push_back({roll < 9 ? EventKind::PlannedStop : EventKind::Loss, running[index]});
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }
    return events;
}

/// A service of one group under one policy.
class Fleet {
public:
    Fleet(PlacementPolicy policy, bool limited)
        : m_policy(std::move(policy))
        , m_limited(limited)
    {
        for (std::size_t i = 0; i < initialServers; ++i) {
            m_servers.insert("s" + std::to_string(i));
        }
        for (std::uint32_t partition = 0; partition < partitions + hotKeys; ++partition) {
            m_input.assignments.push_back({partition, "", 0});
            if (partition >= partitions) {
                m_input.partitionLoads[partition] = hotKeyLoad;
            }
        }
        m_input.group = {"service", 0};
        assignOwnerless();
        m_measures = {};
    }

    void apply(const FleetEvent& event)
    {
        switch (event.kind) {
        case EventKind::Join:
            m_servers.insert(event.server);
            break;
        case EventKind::Loss:
            m_servers.erase(event.server);
            addUnavailable(event.server, secondsWithoutOwnerAfterLoss);
            break;
        case EventKind::PlannedStop:
            m_servers.erase(event.server);
            addUnavailable(event.server, secondsWithoutOwnerInMove);
            break;
        case EventKind::HotKeyChange:
            changeHotKeys();
            break;
        }
        assignOwnerless();
        sample();
        for (int round = 0; round < rebalanceRounds; ++round) {
            m_now += eventInterval / rebalanceRounds;
            rebalance();
            sample();
        }
    }

    [[nodiscard]] const Measures& measures() const { return m_measures; }

private:
    static double keysOf(const PartitionAssignment& assignment)
    {
        return assignment.partition < partitions ? keysPerPartition : 1;
    }

    void addUnavailable(const std::string& server, double seconds)
    {
        for (const PartitionAssignment& assignment : m_input.assignments) {
            if (assignment.owner == server) {
                m_measures.unavailableKeySeconds += keysOf(assignment) * seconds;
            }
        }
    }

    // All hot keys of the moment get new partitions; the policies differ in where they put them.
    void changeHotKeys()
    {
        for (PartitionAssignment& assignment : m_input.assignments) {
            if (assignment.partition >= partitions) {
                m_input.partitionLoads.erase(assignment.partition);
                assignment.partition += hotKeys;
                assignment.owner.clear();
                m_input.partitionLoads[assignment.partition] = hotKeyLoad;
            }
        }
    }

    void refreshServers()
    {
        m_input.servers.clear();
        for (const std::string& server : m_servers) {
            double load = 0;
            for (const PartitionAssignment& assignment : m_input.assignments) {
                load += assignment.owner == server ? m_input.loadOf(assignment.partition) : 0;
            }
            m_input.servers.push_back({server, "", load});
        }
    }

    void assignOwnerless()
    {
        m_input.unassigned.clear();
        for (PartitionAssignment& assignment : m_input.assignments) {
            if (!m_servers.contains(assignment.owner)) {
                assignment.owner.clear();
                m_input.unassigned.push_back(assignment.partition);
            }
        }
        refreshServers();
        const PartitionOwners owners = m_policy.assign(m_input);
        m_measures.forcedMoves += owners.size();
        setOwners(owners);
        m_input.unassigned.clear();
    }

    void rebalance()
    {
        m_budget.refill(m_now, m_input.weights.churnPerHour * static_cast<double>(m_input.assignments.size()));
        refreshServers();
        const std::size_t allowed = m_limited ? m_budget.available() : m_input.assignments.size();
        const PartitionOwners moves = m_policy.rebalance(m_input, allowed);
        m_budget.spend(m_limited ? moves.size() : 0);
        m_measures.moves += moves.size();
        for (const PartitionAssignment& assignment : m_input.assignments) {
            if (moves.contains(assignment.partition)) {
                m_measures.unavailableKeySeconds += keysOf(assignment) * secondsWithoutOwnerInMove;
            }
        }
        setOwners(moves);
    }

    void setOwners(const PartitionOwners& owners)
    {
        for (PartitionAssignment& assignment : m_input.assignments) {
            const auto it = owners.find(assignment.partition);
            if (it != owners.end()) {
                assignment.owner = it->second;
            }
        }
    }

    void sample()
    {
        std::map<std::string, double> loads;
        double total = 0;
        for (const PartitionAssignment& assignment : m_input.assignments) {
            loads[assignment.owner] += m_input.loadOf(assignment.partition);
            total += m_input.loadOf(assignment.partition);
        }
        double max = 0;
        for (const auto& [server, load] : loads) {
            max = std::max(max, load);
        }
        const double imbalance = max / (total / static_cast<double>(m_servers.size()));
        m_measures.imbalanceSum += imbalance;
        m_measures.worstImbalance = std::max(m_measures.worstImbalance, imbalance);
        ++m_measures.samples;
    }

    PlacementPolicy m_policy;
    bool m_limited;
    std::set<std::string> m_servers;
    PlacementInput m_input;
    ChurnBudget m_budget;
    MonotonicTime m_now {std::chrono::hours(1)};
    Measures m_measures;
};

void report(const std::string& name, PlacementPolicy policy, bool limited, const std::vector<FleetEvent>& events)
{
    Fleet fleet(std::move(policy), limited);
    for (const FleetEvent& event : events) {
        fleet.apply(event);
    }
    const Measures& measures = fleet.measures();
    const double count = static_cast<double>(events.size());
    std::printf("| %s | %.2f | %.2f | %.2f | %.2f | %.0f |\n", name.c_str(),
        measures.imbalanceSum / static_cast<double>(measures.samples), measures.worstImbalance,
        static_cast<double>(measures.moves) / count, static_cast<double>(measures.forcedMoves) / count,
        measures.unavailableKeySeconds);
}

int run(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::uint32_t seed = 1;
    std::size_t count = 500;
    options::options_description description("Compares placement policies over one seeded sequence of events");
    description.add_options()("help", "print this text")("seed", options::value(&seed), "seed of the sequence")(
        "events", options::value(&count), "number of events");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    const std::vector<FleetEvent> events = drawEvents(seed, count);
    std::printf("seed %u, %zu events:", seed, count);
    for (const EnumName<EventKind>& row : eventNames) {
        std::printf(" %s %td", std::string(row.name).c_str(), std::ranges::count(events, row.value, &FleetEvent::kind));
    }
    std::printf(
        "\n\n| policy | mean max/mean | worst max/mean | moves per event | forced moves per event | unavailable "
        "key-seconds |\n| --- | --- | --- | --- | --- | --- |\n");
    report("least loaded, churn budget", leastLoadedPlacement(), true, events);
    report("least loaded, no budget", leastLoadedPlacement(), false, events);
    report("rendezvous hashing", rendezvousPlacement(), false, events);
    report("bounded loads, factor 1.25", boundedLoadPlacement(1.25), false, events);
    report("bounded loads, factor 1.1", boundedLoadPlacement(1.1), false, events);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "placement-comparison: " << error.what() << "; see --help\n";
        return 2;
    }
}
