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

constexpr std::uint32_t ordinaryPartitionCount = 96;
constexpr std::size_t initialServerCount = 12;
constexpr double keysPerPartition = 10'000;
constexpr double hotKeyLoad = 4; // In units of the load of an ordinary partition.
constexpr std::size_t hotKeyCount = 6;
constexpr Milliseconds eventInterval {3'600'000};
constexpr int rebalanceRounds = 6; // Rounds between two events.

/// @name Time without an owner
/// Values of the model in design section 9 and of the delays in the simulation in tests/.
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

struct PolicyMetrics {
    double imbalanceSum = 0;
    double worstImbalance = 0;
    std::size_t samples = 0;
    std::size_t moves = 0; ///< Without forced moves.
    std::size_t forcedMoves = 0; ///< Assignments of unowned partitions, needed under every policy.
    double unavailableKeySeconds = 0;
};

std::vector<FleetEvent> generateEvents(std::uint32_t seed, std::size_t eventCount)
{
    std::mt19937 generator(seed);
    std::vector<std::string> running;
    for (std::size_t i = 0; i < initialServerCount; ++i) {
        running.push_back("s" + std::to_string(i));
    }
    std::size_t nextServer = initialServerCount;
    std::vector<FleetEvent> events;
    while (events.size() < eventCount) {
        const std::uint32_t choice = generator() % 10;
        if (choice < 4) {
            events.push_back({EventKind::HotKeyChange, ""});
        } else if (running.size() < initialServerCount - 2 || (choice < 7 && running.size() < initialServerCount + 2)) {
            running.push_back("s" + std::to_string(nextServer++));
            events.push_back({EventKind::Join, running.back()});
        } else {
            const std::size_t index = generator() % running.size();
            events.push_back({choice < 9 ? EventKind::PlannedStop : EventKind::Loss, running[index]});
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }
    return events;
}

/// Backend servers of a service with one group, placed by one policy.
class Fleet {
public:
    Fleet(PlacementPolicy policy, bool usesChurnBudget)
        : m_policy(std::move(policy))
        , m_usesChurnBudget(usesChurnBudget)
    {
        for (std::size_t i = 0; i < initialServerCount; ++i) {
            m_servers.insert("s" + std::to_string(i));
        }
        for (std::uint32_t partition = 0; partition < ordinaryPartitionCount + hotKeyCount; ++partition) {
            m_input.assignments.push_back({partition, "", 0});
            if (partition >= ordinaryPartitionCount) {
                m_input.partitionLoads[partition] = hotKeyLoad;
            }
        }
        m_input.group = {"service", 0};
        assignUnownedPartitions();
        m_metrics = {};
    }

    void apply(const FleetEvent& event)
    {
        switch (event.kind) {
        case EventKind::Join:
            m_servers.insert(event.server);
            break;
        case EventKind::Loss:
            m_servers.erase(event.server);
            addUnavailability(event.server, secondsWithoutOwnerAfterLoss);
            break;
        case EventKind::PlannedStop:
            m_servers.erase(event.server);
            addUnavailability(event.server, secondsWithoutOwnerInMove);
            break;
        case EventKind::HotKeyChange:
            changeHotKeys();
            break;
        }
        assignUnownedPartitions();
        sampleImbalance();
        for (int round = 0; round < rebalanceRounds; ++round) {
            m_now += eventInterval / rebalanceRounds;
            rebalance();
            sampleImbalance();
        }
    }

    [[nodiscard]] const PolicyMetrics& metrics() const { return m_metrics; }

private:
    static double keyCount(const PartitionAssignment& assignment)
    {
        return assignment.partition < ordinaryPartitionCount ? keysPerPartition : 1;
    }

    void addUnavailability(const std::string& server, double seconds)
    {
        for (const PartitionAssignment& assignment : m_input.assignments) {
            if (assignment.owner == server) {
                m_metrics.unavailableKeySeconds += keyCount(assignment) * seconds;
            }
        }
    }

    // Replaces all hot keys: each gets a new partition without an owner, which the policy must place.
    void changeHotKeys()
    {
        for (PartitionAssignment& assignment : m_input.assignments) {
            if (assignment.partition >= ordinaryPartitionCount) {
                m_input.partitionLoads.erase(assignment.partition);
                assignment.partition += hotKeyCount;
                assignment.owner.clear();
                m_input.partitionLoads[assignment.partition] = hotKeyLoad;
            }
        }
    }

    void updateServerLoads()
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

    void assignUnownedPartitions()
    {
        m_input.unassigned.clear();
        for (PartitionAssignment& assignment : m_input.assignments) {
            if (!m_servers.contains(assignment.owner)) {
                assignment.owner.clear();
                m_input.unassigned.push_back(assignment.partition);
            }
        }
        updateServerLoads();
        const PartitionOwners owners = m_policy.assign(m_input);
        m_metrics.forcedMoves += owners.size();
        setOwners(owners);
        m_input.unassigned.clear();
    }

    void rebalance()
    {
        m_budget.refill(m_now, m_input.weights.churnPerHour * static_cast<double>(m_input.assignments.size()));
        updateServerLoads();
        const std::size_t allowedMoves = m_usesChurnBudget ? m_budget.available() : m_input.assignments.size();
        const PartitionOwners moves = m_policy.rebalance(m_input, allowedMoves);
        m_budget.spend(m_usesChurnBudget ? moves.size() : 0);
        m_metrics.moves += moves.size();
        for (const PartitionAssignment& assignment : m_input.assignments) {
            if (moves.contains(assignment.partition)) {
                m_metrics.unavailableKeySeconds += keyCount(assignment) * secondsWithoutOwnerInMove;
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

    void sampleImbalance()
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
        m_metrics.imbalanceSum += imbalance;
        m_metrics.worstImbalance = std::max(m_metrics.worstImbalance, imbalance);
        ++m_metrics.samples;
    }

    PlacementPolicy m_policy;
    bool m_usesChurnBudget;
    std::set<std::string> m_servers;
    PlacementInput m_input;
    ChurnBudget m_budget;
    MonotonicTime m_now {std::chrono::hours(1)};
    PolicyMetrics m_metrics;
};

void printRow(
    const std::string& name, PlacementPolicy policy, bool usesChurnBudget, const std::vector<FleetEvent>& events)
{
    Fleet fleet(std::move(policy), usesChurnBudget);
    for (const FleetEvent& event : events) {
        fleet.apply(event);
    }
    const PolicyMetrics& metrics = fleet.metrics();
    const double eventCount = static_cast<double>(events.size());
    std::printf("| %s | %.2f | %.2f | %.2f | %.2f | %.0f |\n", name.c_str(),
        metrics.imbalanceSum / static_cast<double>(metrics.samples), metrics.worstImbalance,
        static_cast<double>(metrics.moves) / eventCount, static_cast<double>(metrics.forcedMoves) / eventCount,
        metrics.unavailableKeySeconds);
}

int run(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::uint32_t seed = 1;
    std::size_t eventCount = 500;
    options::options_description description("Compares placement policies over one seeded sequence of events");
    description.add_options()("help", "print this help and exit")("seed", options::value(&seed),
        "seed of the event sequence")("events", options::value(&eventCount), "number of events");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    const std::vector<FleetEvent> events = generateEvents(seed, eventCount);
    std::printf("seed %u, %zu events:", seed, eventCount);
    for (const EnumName<EventKind>& row : eventNames) {
        std::printf(" %s %td", std::string(row.name).c_str(), std::ranges::count(events, row.value, &FleetEvent::kind));
    }
    std::printf(
        "\n\n| policy | mean max/mean | worst max/mean | moves per event | forced moves per event | unavailable "
        "key-seconds |\n| --- | --- | --- | --- | --- | --- |\n");
    printRow("least loaded, churn budget", leastLoadedPlacement(), true, events);
    printRow("least loaded, no budget", leastLoadedPlacement(), false, events);
    printRow("rendezvous hashing", rendezvousPlacement(), false, events);
    printRow("bounded loads, factor 1.25", boundedLoadPlacement(1.25), false, events);
    printRow("bounded loads, factor 1.1", boundedLoadPlacement(1.1), false, events);
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
