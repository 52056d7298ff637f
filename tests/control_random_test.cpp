#include "control_simulation.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <random>

namespace jasminespread {
namespace {

using testing::IsEmpty;

constexpr Milliseconds recoveryTime {20'000}; // Longer than any wait that the faults can cause.

/// Draws random faults from a seed and applies them to a simulation.
class FaultSchedule {
public:
    FaultSchedule(ControlSimulation& simulation, std::uint32_t seed)
        : m_simulation(simulation)
        , m_random(seed)
    {
    }

    void applyRandomFault()
    {
        switch (draw(14)) {
        case 0:
            m_simulation.pauseInstance(randomInstance());
            break;
        case 1:
        case 2:
            m_simulation.resumeInstance(randomInstance());
            break;
        case 3:
            m_simulation.stopInstance(randomInstance());
            break;
        case 4:
            restart(randomInstance());
            break;
        case 5:
            m_simulation.freezeServer(randomServer());
            break;
        case 6:
            m_simulation.unfreezeServer(randomServer());
            break;
        case 7:
            m_simulation.cutLink(randomInstance(), randomInstance());
            break;
        case 8:
            m_simulation.cutLink(randomInstance(), draw(3) == 0 ? "store" : randomServer());
            break;
        case 9:
            m_simulation.restoreLinks();
            break;
        case 10:
            changeStoreFault();
            break;
        case 11:
            changeServerState(m_simulation.servers.at(randomServer()));
            break;
        case 12:
            toggleHotKey();
            break;
        case 13:
            changeGrantDelay();
            break;
        }
    }

    void endFaults()
    {
        m_simulation.restoreLinks();
        m_simulation.storeMode = ControlSimulation::StoreMode::Up;
        m_simulation.storeDelay = Milliseconds(5);
        m_simulation.grantDelay = nullptr;
        for (auto& [id, fake] : m_simulation.servers) {
            m_simulation.unfreezeServer(id);
            fake.running = true;
            fake.state = ServerState::Serving;
        }
        for (auto& [id, each] : m_simulation.instances) {
            m_simulation.resumeInstance(id);
            if (!each.reducer) {
                m_simulation.startInstance(id);
            }
        }
        m_simulation.loadConfiguration();
    }

    std::uint32_t draw(std::uint32_t below) { return m_random() % below; }

private:
    std::string randomInstance()
    {
        auto it = m_simulation.instances.begin();
        std::advance(it, draw(static_cast<std::uint32_t>(m_simulation.instances.size())));
        return it->first;
    }

    std::string randomServer()
    {
        auto it = m_simulation.servers.begin();
        std::advance(it, draw(static_cast<std::uint32_t>(m_simulation.servers.size())));
        return it->first;
    }

    void restart(const std::string& id)
    {
        m_simulation.startInstance(id);
        m_simulation.loadConfiguration();
    }

    void changeStoreFault()
    {
        constexpr ControlSimulation::StoreMode modes[]
            = {ControlSimulation::StoreMode::Up, ControlSimulation::StoreMode::Up, ControlSimulation::StoreMode::Down,
                ControlSimulation::StoreMode::LoseWriteAnswers};
        m_simulation.storeMode = modes[draw(4)];
        m_simulation.storeDelay = draw(4) == 0 ? Milliseconds(400) : Milliseconds(5);
    }

    void changeServerState(FakeBackendServer& fake)
    {
        if (draw(3) == 0) {
            fake.state = fake.state == ServerState::Serving ? ServerState::Draining : ServerState::Serving;
            return;
        }
        if (!fake.running) {
            // A restarted server has neither nonces nor leases.
            const std::uint64_t incarnation = fake.incarnation + 1;
            std::vector<std::function<void()>> waiting = std::move(fake.pendingMessages);
            fake = {};
            fake.incarnation = incarnation;
            fake.pendingMessages = std::move(waiting);
            return;
        }
        fake.running = false;
    }

    void toggleHotKey()
    {
        std::vector<HotKey>& hotKeys = m_simulation.configuration.hotKeys;
        const std::string key = "meter-" + std::to_string(draw(3));
        const auto it = std::ranges::find(hotKeys, key, &HotKey::key);
        if (it == hotKeys.end()) {
            hotKeys.push_back({"ledger", key, draw(2) == 0 ? "" : randomServer()});
        } else {
            hotKeys.erase(it);
        }
        m_simulation.loadConfiguration();
    }

    // Delays messages to servers by up to twice the lease, which also reorders them.
    void changeGrantDelay()
    {
        if (draw(2) == 0) {
            m_simulation.grantDelay = nullptr;
            return;
        }
        m_simulation.grantDelay
            = [this](const std::string&) { return draw(4) == 0 ? Milliseconds(draw(4000)) : Milliseconds(1); };
    }

    ControlSimulation& m_simulation;
    std::mt19937 m_random;
};

class ControlRandomTest : public testing::TestWithParam<std::uint32_t> {
protected:
    void run(GrantCheck grantCheck)
    {
        Configuration configuration = ledgerConfiguration(4);
        configuration.services.front().grantCheck = grantCheck;
        // Short enough for the test to wait until the limit.
        configuration.services.front().extensionLimit = Milliseconds(5000);
        ControlSimulation simulation {configuration, {{"a", "b", "c", "d", "e"}}};
        simulation.run(Milliseconds(500));
        simulation.loadConfiguration();
        simulation.run(Milliseconds(2000));
        FaultSchedule schedule {simulation, GetParam()};
        for (int i = 0; i < 150 && simulation.violations().empty(); ++i) {
            schedule.applyRandomFault();
            simulation.run(Milliseconds(50 + schedule.draw(1500)));
        }
        ASSERT_THAT(simulation.violations(), IsEmpty());
        schedule.endFaults();
        simulation.run(recoveryTime);
        EXPECT_THAT(simulation.violations(), IsEmpty());
        for (std::uint32_t partition = 0; partition < 8; ++partition) {
            EXPECT_EQ(simulation.executingServers({"ledger", partition % 2}, partition).size(), 1U) << partition;
        }
        EXPECT_EQ(simulation.authorityHolders({"ledger", 0}).size(), 1U);
    }
};

// Guards against sequences of faults that give a key two servers with valid leases, or leave it without a server after
// all faults have ended.
TEST_P(ControlRandomTest, CheckedServers) { run(GrantCheck::Checked); }

// Guards against two instances that dispatch the same partition to servers that do not check grants.
TEST_P(ControlRandomTest, UncheckedServers) { run(GrantCheck::Unchecked); }

// Seed 4 covers lapses with a short extension limit; seeds 15, 25, 104 and 185 cover a hot key withdrawn during its
// split.
INSTANTIATE_TEST_SUITE_P(Seeds, ControlRandomTest, testing::Values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 15, 25, 104, 185));

} // namespace
} // namespace jasminespread
