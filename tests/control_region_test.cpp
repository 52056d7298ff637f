#include "control_simulation.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace jasminespread {
namespace {

using testing::IsEmpty;

class ControlRegionTest : public testing::Test {
protected:
    static Configuration twoRegions()
    {
        Configuration configuration = ledgerConfiguration(6);
        configuration.regions.push_back({"east", {"e1", "e2"}});
        for (std::size_t i = 3; i < 6; ++i) {
            configuration.servers[i].region = "east";
            configuration.servers[i].failureDomain = "e1";
        }
        return configuration;
    }

    ControlRegionTest()
    {
        simulation.run(Milliseconds(500));
        simulation.loadConfiguration();
        simulation.run(Milliseconds(3000));
    }

    /// Cuts all links between the regions. The store is in "west".
    void cutRegionLinks()
    {
        for (const auto& [a, first] : simulation.instances) {
            for (const auto& [b, second] : simulation.instances) {
                if (first.settings.region != second.settings.region) {
                    simulation.cutLink(a, b);
                }
            }
            for (const BackendServer& server : simulation.configuration.servers) {
                if (first.settings.region != server.region) {
                    simulation.cutLink(a, server.id);
                }
            }
            if (first.settings.region != "west") {
                simulation.cutLink(a, "store");
            }
        }
    }

    std::size_t countUnavailable()
    {
        std::size_t count = 0;
        for (std::uint32_t partition = 0; partition < 8; ++partition) {
            count += simulation.executingServers({"ledger", partition % 2}, partition).empty() ? 1 : 0;
        }
        return count;
    }

    ControlSimulation simulation {twoRegions(), {{"a", "b", "c"}, {"d", "e", "f"}}};
};

// Guards against groups whose primary, standby or owners are outside their home region.
TEST_F(ControlRegionTest, GroupsStayInTheirHomeRegion)
{
    std::set<std::string> homes;
    for (std::uint32_t index = 0; index < 2; ++index) {
        const GroupRecord record = *simulation.storedRecord({"ledger", index});
        homes.insert(record.homeRegion);
        EXPECT_EQ(simulation.instances.at(record.primary.id).settings.region, record.homeRegion);
        EXPECT_EQ(simulation.instances.at(record.standby->id).settings.region, record.homeRegion);
        for (const PartitionAssignment& assignment : record.partitions) {
            const auto server
                = std::ranges::find(simulation.configuration.servers, assignment.owner, &BackendServer::id);
            EXPECT_EQ(server->region, record.homeRegion);
        }
    }
    EXPECT_EQ(homes, (std::set<std::string> {"east", "west"}));
}

// Guards against takeovers by other regions while a region is cut off, and against interruptions of its groups.
TEST_F(ControlRegionTest, CutOffRegionServesItsGroups)
{
    const GroupRecord before[] = {*simulation.storedRecord({"ledger", 0}), *simulation.storedRecord({"ledger", 1})};
    std::size_t outages = 0;
    simulation.onStep = [&] { outages += countUnavailable(); };
    cutRegionLinks();
    simulation.run(Milliseconds(30'000));
    simulation.restoreLinks();
    simulation.run(Milliseconds(5000));
    EXPECT_EQ(outages, 0U);
    EXPECT_EQ(*simulation.storedRecord({"ledger", 0}), before[0]);
    EXPECT_EQ(*simulation.storedRecord({"ledger", 1}), before[1]);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

} // namespace
} // namespace jasminespread
