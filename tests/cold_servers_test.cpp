#include "gateway/cold_permit_allocator.h"
#include "gateway/cold_server_gate.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

const ServerIdentity server {"s1", 7};
constexpr ColdServerLimits usualLimits {1.5, 8};
constexpr double usualRate = 4.5;
constexpr Milliseconds step {10};
constexpr Milliseconds messageInterval {300};

/// Instances that send to one cold server by the permits of one or two leaders. Messages take random times and some are
/// lost; instances start again or leave; leaders change, and two of them issue permits at the same time.
class ColdServerModel {
public:
    ColdServerModel(std::uint64_t seed, ColdServerLimits limits, double rate)
        : m_random(seed)
        , m_limits(limits)
        , m_rate(rate)
        , m_instances(14)
    {
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            restart(m_instances[i]);
        }
    }

    void play(Milliseconds duration)
    {
        for (const MonotonicTime end = m_now + duration; m_now < end; m_now += step) {
            changeSomething();
            for (std::size_t i = 0; i < m_leaders.size(); ++i) {
                lead(i);
            }
            for (Instance& instance : m_instances) {
                act(instance);
            }
        }
    }

    /// Highest number of requests that the server got within one second.
    [[nodiscard]] std::size_t highest() const
    {
        std::vector<MonotonicTime> sent = m_sent;
        std::sort(sent.begin(), sent.end());
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < sent.size(); ++last) {
            while (sent[last] - sent[first] >= 1000ms) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    [[nodiscard]] std::size_t sent() const { return m_sent.size(); }

private:
    struct Heartbeat {
        MonotonicTime arrivesAt;
        std::uint64_t term = 0;
        ColdPermits permits;
        MonotonicTime reportSentAt;
    };

    struct Instance {
        std::string name; ///< Of the process.
        ColdServerGate gate;
        std::size_t leader = 0;
        std::uint64_t term = 0;
        bool active = true;
        MonotonicTime nextReportAt;
        std::vector<Heartbeat> heartbeats; ///< On their way.
        std::vector<MonotonicTime> waiting; ///< Dispatch times of requests that wait for a connection.
    };

    struct Report {
        MonotonicTime arrivesAt;
        Instance* sender = nullptr;
        std::string name;
        ColdDemands demands;
        MonotonicTime sentAt;
    };

    struct Leader {
        std::uint64_t term = 0;
        ColdPermitAllocator allocator;
        MonotonicTime nextHeartbeatAt;
        std::vector<Report> reports; ///< On their way.
        std::map<std::string, std::pair<Instance*, MonotonicTime>> members; ///< With when the latest report was sent.
    };

    [[nodiscard]] bool chance(double probability) { return m_random() % 10'000 < probability * 10'000; }
    [[nodiscard]] Milliseconds delay() { return Milliseconds(m_random() % (chance(0.1) ? 2500 : 120)); }

    void restart(Instance& instance)
    {
        instance = Instance();
        instance.name = "process-" + std::to_string(++m_processes);
        instance.leader = m_random() % m_leaders.size();
        instance.nextReportAt = m_now + Milliseconds(m_random() % messageInterval.count());
    }

    void changeSomething()
    {
        if (chance(0.01)) {
            restart(m_instances[m_random() % m_instances.size()]);
        }
        if (chance(0.005)) {
            Instance& instance = m_instances[m_random() % m_instances.size()];
            instance.active = !instance.active;
        }
        if (chance(0.02)) {
            Instance& instance = m_instances[m_random() % m_instances.size()];
            instance.leader = m_random() % m_leaders.size();
        }
        if (m_now >= m_nextLeaderAt) {
            // Permits of the replaced leader have expired before those of a third one are in use.
            m_nextLeaderAt = m_now + 6000ms;
            m_newest = 1 - m_newest;
            m_leaders[m_newest] = Leader();
            m_leaders[m_newest].allocator = ColdPermitAllocator(m_limits);
            m_leaders[m_newest].term = ++m_terms;
            m_leaders[m_newest].nextHeartbeatAt = m_now + 2500ms;
        }
    }

    void lead(std::size_t index)
    {
        Leader& leader = m_leaders[index];
        for (const Report& report : leader.reports) {
            if (report.arrivesAt <= m_now && report.sender->name == report.name) {
                leader.allocator.onDemands(report.name, report.demands);
                leader.members[report.name] = {report.sender, report.sentAt};
            }
        }
        std::erase_if(leader.reports, [this](const Report& report) { return report.arrivesAt <= m_now; });
        if (m_now < leader.nextHeartbeatAt) {
            return;
        }
        leader.nextHeartbeatAt = m_now + messageInterval;
        leader.allocator.allocate({{server, m_rate}}, m_now);
        for (const auto& [name, member] : leader.members) {
            const auto& [instance, reportSentAt] = member;
            if (instance->name != name) {
                leader.allocator.removeInstance(name);
                continue;
            }
            const ColdPermits permits = leader.allocator.take(name, m_now);
            if (!chance(0.15)) {
                instance->heartbeats.push_back({m_now + delay(), leader.term, permits, reportSentAt});
            }
        }
    }

    void act(Instance& instance)
    {
        for (const Heartbeat& heartbeat : instance.heartbeats) {
            if (heartbeat.arrivesAt <= m_now && heartbeat.term >= instance.term) {
                instance.term = heartbeat.term;
                instance.gate.setPermits(heartbeat.permits, heartbeat.reportSentAt + coldPermitTime);
            }
        }
        std::erase_if(instance.heartbeats, [this](const Heartbeat& heartbeat) { return heartbeat.arrivesAt <= m_now; });
        if (m_now >= instance.nextReportAt) {
            instance.nextReportAt = m_now + messageInterval;
            Report report {m_now + delay(), &instance, instance.name, instance.gate.takeDemands(), m_now};
            if (!chance(0.15)) {
                m_leaders[instance.leader].reports.push_back(std::move(report));
            }
        }
        if (instance.active && chance(0.15)) {
            instance.gate.addDemand(server);
            if (instance.gate.mayDispatch(server, m_now)) {
                instance.gate.onDispatched(server, m_now);
                instance.waiting.push_back(m_now);
            }
        }
        std::erase_if(instance.waiting, [&](MonotonicTime dispatchedAt) {
            if (!chance(0.2)) {
                return false;
            }
            if (instance.gate.maySend(server, dispatchedAt, m_now)) {
                m_sent.push_back(m_now);
            }
            return true;
        });
    }

    std::mt19937_64 m_random;
    ColdServerLimits m_limits;
    double m_rate;
    MonotonicTime m_now {1h};
    std::vector<Instance> m_instances;
    std::array<Leader, 2> m_leaders;
    std::size_t m_newest = 0;
    std::uint64_t m_terms = 0;
    std::uint64_t m_processes = 0;
    MonotonicTime m_nextLeaderAt;
    std::vector<MonotonicTime> m_sent;
};

/// Guards against more requests than a cold server tolerates, from all instances together in any second.
TEST(ColdServersTest, TheBoundHoldsWithTwoLeadersAndLostMessages)
{
    struct Case {
        ColdServerLimits limits;
        double rate = 0;
        std::size_t bound = 0;
    };
    // The second one leaves no room for shares that are in use twice while they move.
    for (const auto& [limits, rate, bound] : {Case {{1.5, 8}, 4.5, 14}, Case {{2, 0}, 6, 12}}) {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            ColdServerModel model(seed, limits, rate);
            model.play(60s);
            EXPECT_LE(model.highest(), bound) << "seed " << seed;
            EXPECT_GT(model.sent(), 60U) << "seed " << seed; // One per second at least: the permits are used.
        }
    }
}

std::uint32_t permitOf(ColdPermitAllocator& allocator, const std::string& instance, MonotonicTime now)
{
    const ColdPermits permits = allocator.take(instance, now);
    return permits.empty() ? 0 : permits.front().requests;
}

/// Guards against shares that stay with an instance that does not use them.
TEST(ColdServersTest, UnusedSharesMoveToInstancesWithDemand)
{
    ColdPermitAllocator allocator(usualLimits);
    MonotonicTime now {1h};
    allocator.onDemands("a", {{server, 5}});
    allocator.allocate({{server, usualRate}}, now);
    EXPECT_EQ(permitOf(allocator, "a", now), 4U);
    for (int i = 0; i < 20; ++i, now += messageInterval) {
        allocator.onDemands("a", {});
        allocator.onDemands("b", {{server, 3}});
        allocator.allocate({{server, usualRate}}, now);
        (void)allocator.take("a", now);
        (void)allocator.take("b", now);
    }
    EXPECT_EQ(permitOf(allocator, "a", now), 0U);
    EXPECT_EQ(permitOf(allocator, "b", now), 4U);
}

/// Guards against permits beyond half of the bound while those of a lost instance may still be in use.
TEST(ColdServersTest, ThePermitsOfALostInstanceCountUntilTheyHaveExpired)
{
    ColdPermitAllocator allocator(usualLimits);
    MonotonicTime now {1h};
    allocator.onDemands("a", {{server, 5}});
    allocator.allocate({{server, usualRate}}, now);
    EXPECT_EQ(permitOf(allocator, "a", now), 4U);
    allocator.removeInstance("a");
    allocator.onDemands("b", {{server, 5}});
    now += messageInterval;
    allocator.allocate({{server, usualRate}}, now);
    EXPECT_EQ(permitOf(allocator, "b", now), 3U); // Half of the bound is 7.
    now += 2s;
    allocator.allocate({{server, usualRate}}, now);
    EXPECT_EQ(permitOf(allocator, "b", now), 4U);
}

/// Guards against a permit that is used after it has expired, for another run, or in time that a suspension hides.
TEST(ColdServersTest, WithoutAValidPermitNothingIsSent)
{
    ColdServerGate gate;
    const MonotonicTime now {1h};
    EXPECT_FALSE(gate.mayDispatch(server, now));
    gate.setPermits({{server, 2}}, now + 1s);
    EXPECT_TRUE(gate.mayDispatch(server, now));
    EXPECT_FALSE(gate.mayDispatch({"s1", 8}, now));
    EXPECT_FALSE(gate.mayDispatch(server, now + 1s));
    gate.onSuspended(600ms);
    EXPECT_FALSE(gate.mayDispatch(server, now + 400ms));
}

} // namespace
} // namespace jasminespread
