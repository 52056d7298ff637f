#include <jasminespread/sheet.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <set>
#include <sstream>

namespace jasminespread {
namespace {

Configuration readExample(const std::string& name)
{
    const std::string path = std::string(SOURCE_DIR) + "/examples/" + name;
    std::ifstream file(path);
    EXPECT_TRUE(file) << path;
    std::ostringstream text;
    text << file.rdbuf();
    const SheetResult result = parseSheet(text.str(), name);
    for (const Error& error : result.errors) {
        ADD_FAILURE() << describe(error);
    }
    return result.configuration.value_or(Configuration());
}

std::map<std::string, int> serversPerService(const Configuration& configuration)
{
    std::map<std::string, int> counts;
    for (const BackendServer& server : configuration.servers) {
        ++counts[server.service];
    }
    return counts;
}

/// Expects that every service has servers in every region.
void expectServersInEveryRegion(const Configuration& configuration)
{
    std::map<std::string, std::set<std::string>> regionsByService;
    for (const BackendServer& server : configuration.servers) {
        regionsByService[server.service].insert(server.region);
    }
    for (const Service& service : configuration.services) {
        EXPECT_EQ(regionsByService[service.name].size(), configuration.regions.size()) << service.name;
    }
}

} // namespace

// Guards against an example that the current version rejects, or whose size differs from what the user stated.
TEST(ExampleSheetsTest, SeatwrightIsValid)
{
    const Configuration configuration = readExample("seatwright.yaml");
    EXPECT_EQ(serversPerService(configuration),
        (std::map<std::string, int> {{"bay-desk", 12}, {"fabric-ledger", 12}, {"refit-planner", 12}}));
    expectServersInEveryRegion(configuration);
    for (const Service& service : configuration.services) {
        EXPECT_EQ(service.grantCheck, GrantCheck::Checked);
        EXPECT_EQ(service.slotsPerServer, 6U);
        EXPECT_EQ(service.connectionsPerServer, 110U);
    }
    EXPECT_GT(configuration.weights.unavailability, configuration.weights.churn);
    EXPECT_GT(configuration.weights.unavailability, configuration.weights.imbalance);
    EXPECT_THAT(configuration.plannedStops, testing::Not(testing::IsEmpty()));
    EXPECT_THAT(configuration.hotKeys, testing::Not(testing::IsEmpty()));
    EXPECT_THAT(configuration.refusalRules, testing::Not(testing::IsEmpty()));
}

// Guards against an invalid example or one of another size, for the user whose ticket servers do not check grants.
TEST(ExampleSheetsTest, DarkskyIsValid)
{
    const Configuration configuration = readExample("darksky.yaml");
    EXPECT_EQ(serversPerService(configuration),
        (std::map<std::string, int> {{"archive", 14}, {"calibration", 12}, {"field-tickets", 14}, {"readings", 12}}));
    expectServersInEveryRegion(configuration);
    for (const Service& service : configuration.services) {
        const bool checked = service.name != "field-tickets";
        EXPECT_EQ(service.grantCheck, checked ? GrantCheck::Checked : GrantCheck::Unchecked) << service.name;
        EXPECT_EQ(service.slotsPerServer, 4U);
        EXPECT_EQ(service.connectionsPerServer, 120U);
    }
    EXPECT_GT(configuration.weights.churn, configuration.weights.unavailability);
    EXPECT_GT(configuration.weights.churn, configuration.weights.imbalance);
}

// Guards against an invalid sheet in the walkthrough, whose first command loads it.
TEST(ExampleSheetsTest, SmallSeatwrightIsValid)
{
    const Configuration configuration = readExample("seatwright-small.yaml");
    EXPECT_EQ(configuration.regions.size(), 3U);
    EXPECT_EQ(serversPerService(configuration),
        (std::map<std::string, int> {{"bay-desk", 3}, {"fabric-ledger", 3}, {"refit-planner", 3}}));
    expectServersInEveryRegion(configuration);
}

} // namespace jasminespread
