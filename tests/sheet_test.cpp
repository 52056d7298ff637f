#include <jasminespread/sheet.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace jasminespread {
namespace {

const std::string smallSheet = R"(deployment: darksky
author: mei
regions:
  - name: seq
    failureDomains: [seq-a]
services:
  - name: readings
    grantCheck: checked
    lease: 3s
servers:
  - id: readings-1
    service: readings
    region: seq
    failureDomain: seq-a
    address: 127.0.0.1:7001
plannedStops:
  - server: readings-1
    stopAt: 2026-12-04T18:30:00Z
)";

} // namespace

// Guards against sheet values that do not reach the configuration.
TEST(SheetTest, ReadsFieldsAndDefaults)
{
    const SheetResult result = parseSheet(smallSheet, "sheet.yaml");
    ASSERT_TRUE(result.configuration) << describe(result.errors.front());
    const Configuration& configuration = *result.configuration;
    EXPECT_EQ(configuration.revision, 0U);
    EXPECT_EQ(configuration.author, "mei");
    EXPECT_EQ(configuration.services[0].grantCheck, GrantCheck::Checked);
    EXPECT_EQ(configuration.services[0].lease, Milliseconds(3'000));
    EXPECT_EQ(configuration.services[0].partitions, 96U);
    EXPECT_EQ(configuration.plannedStops[0].drain, Milliseconds(30'000));
    EXPECT_EQ(configuration.plannedStops[0].stopAt.time_since_epoch().count(), 1'796'409'000'000);
}

// Guards against relying on servers to check grants when the sheet does not declare that they do.
TEST(SheetTest, GrantCheckDefaultsToUnchecked)
{
    std::string sheet = smallSheet;
    sheet.erase(sheet.find("    grantCheck: checked\n"), std::string("    grantCheck: checked\n").size());
    const SheetResult result = parseSheet(sheet, "sheet.yaml");
    ASSERT_TRUE(result.configuration);
    EXPECT_EQ(result.configuration->services[0].grantCheck, GrantCheck::Unchecked);
}

} // namespace jasminespread
