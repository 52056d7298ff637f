#include <jasminespread/sheet.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace jasminespread {
namespace {

// Line numbers in the table below refer to this text.
const std::string validSheet = R"(deployment: seatwright
regions:
  - name: western
    failureDomains: [western-a, western-b]
  - name: central
    failureDomains: [central-a]
services:
  - name: ledger
    grantCheck: checked
    lease: 2s
    classes:
      - {name: orders, weight: 4}
      - {name: stock}
    objective: {availability: 0.99}
servers:
  - id: ledger-1
    service: ledger
    region: western
    failureDomain: western-a
    address: 127.0.0.1:7001
  - id: ledger-2
    service: ledger
    region: central
    failureDomain: central-a
    address: 127.0.0.1:7002
plannedStops:
  - server: ledger-1
    stopAt: 2026-12-05T20:30:00Z
hotKeys:
  - {service: ledger, key: route-138, server: ledger-2}
refusalRules:
  - {service: ledger, workClass: stock, refuseAboveLoad: 0.6}
weights: {churn: 2}
)";

struct BadSheet {
    const char* original; ///< Text of the valid sheet that the row replaces.
    const char* replacement;
    int line;
    int column;
    const char* message; ///< Part of the message.
};

const BadSheet badSheets[] = {
    // Syntax
    {"[western-a, western-b]", "[western-a, western-b", 5, 9, "not valid YAML"},
    {"deployment: seatwright", "deployment: 'seatwright", 1, 13, "...\", which is not a valid name"},
    {"deployment: seatwright", "deployment: *name", 1, 13, "not valid YAML"},
    {"regions:\n", "\tregions:\n", 2, 1, "not valid YAML"},
    // Structure
    {"deployment: seatwright\n", "", 1, 1, "\"deployment\" is missing"},
    {"deployment: seatwright", "deployment:", 1, 1, "\"deployment\" has no value"},
    {"deployment: seatwright", "deployment: [a]", 1, 13, "\"deployment\" is a map or a list"},
    {"deployment: seatwright", "deployment: a\nrevision: 7", 2, 1, "\"revision\" is unknown"},
    {"deployment: seatwright", "deployment: a\ndeployment: b", 2, 1, "\"deployment\" appears twice, first in line 1"},
    {"deployment: seatwright", "deployment: a\n? [x]\n: y", 2, 3, "field name that is not text"},
    {"weights: {churn: 2}", "weights: 2", 33, 10, "\"weights\" is not a map"},
    {"weights: {churn: 2}", "weights: {churns: 2}", 33, 11, "\"weights.churns\" is unknown"},
    {"[central-a]", "central-a", 6, 21, "\"regions[1].failureDomains\" is not a list"},
    {"  - {name: stock}", "  - stock", 13, 9, "\"services[0].classes[1]\" is not a map"},
    {"    service: ledger\n    region: western\n", "    service: ledger\n    regio: western\n", 18, 5,
        "\"servers[0].regio\" is unknown"},
    {"    address: 127.0.0.1:7001\n", "", 16, 5, "\"servers[0].address\" is missing"},
    // Values of a wrong type
    {"weight: 4", "weight: four", 12, 32, "\"four\", which is not a whole number"},
    {"weight: 4", "weight: -4", 12, 32, "\"-4\", which is not a whole number"},
    {"weight: 4", "weight: 4294967296", 12, 32, "\"4294967296\", which is not a whole number"},
    {"churn: 2", "churn: .nan", 33, 18, "\".nan\", which is not a number"},
    {"churn: 2", "churn: 1e999", 33, 18, "\"1e999\", which is not a number"},
    {"lease: 2s", "lease: 2000", 10, 12, "\"2000\", which is not a duration"},
    {"lease: 2s", "lease: 2 s", 10, 12, "\"2 s\", which is not a duration"},
    {"grantCheck: checked", "grantCheck: yes", 9, 17, "\"yes\", which is not one of: checked, unchecked"},
    {"2026-12-05T20:30:00Z", "2026-12-05 20:30", 28, 13, "\"2026-12-05 20:30\", which is not a time in UTC"},
    {"2026-12-05T20:30:00Z", "2026-02-30T20:30:00Z", 28, 13, "which is not a time in UTC"},
    {"2026-12-05T20:30:00Z", "1970-01-01T00:00:00Z", 28, 13, "which is not after 1970"},
    // Ranges
    {"lease: 2s", "lease: 10ms", 10, 12, "\"10ms\", which is outside 1s to 1m"},
    {"lease: 2s", "extensionLimit: 1s", 10, 21, "\"1s\", which is outside 2s to 168h"},
    {"lease: 2s", "partitions: 0", 10, 17, "\"0\", which is outside 1 to 65536"},
    {"lease: 2s", "groups: 97", 10, 13, "\"97\", which is outside 1 to 96"},
    {"lease: 2s", "slotsPerServer: 0", 10, 21, "\"0\", which is outside"},
    {"lease: 2s", "connectionsPerServer: 0", 10, 27, "\"0\", which is outside"},
    {"lease: 2s", "defaultDeadline: 0s", 10, 22, "\"0ms\", which is outside"},
    {"weight: 4", "weight: 0", 12, 32, "\"0\", which is outside"},
    {"availability: 0.99", "availability: 99", 14, 31, "which is not between 0 and 1"},
    {"availability: 0.99", "latencyShare: 1", 14, 31, "which is not between 0 and 1"},
    {"refuseAboveLoad: 0.6", "refuseAboveLoad: 60", 32, 58, "which is outside 0 to 1"},
    {"churn: 2", "churn: -1", 33, 18, "which is outside 0 to 1000"},
    {"churn: 2", "churnPerHour: 2", 33, 25, "which is outside 0 to 1"},
    // Names and addresses
    {"deployment: seatwright", "deployment: seat wright", 1, 13, "\"seat wright\", which is not a valid name"},
    {"127.0.0.1:7001", "localhost:7001", 20, 14, "\"localhost:7001\", which is not an IP address and port"},
    {"127.0.0.1:7001", "127.0.0.1", 20, 14, "\"127.0.0.1\", which is not an IP address and port"},
    {"127.0.0.1:7002", "127.0.0.1:7001", 25, 14, "already the address of an earlier entry"},
    {"key: route-138", "key: \"a\\x01b\"", 30, 28, "\"hotKeys[0].key\" is not a valid key"},
    {"key: route-138", "key: ''", 30, 28, "\"hotKeys[0].key\" is not a valid key"},
    // References and uniqueness
    {"  - name: central", "  - name: western", 5, 11, "already the name of an earlier entry"},
    {"[central-a]", "[western-a]", 6, 22, "already the name of an earlier entry"},
    {"{name: stock}", "{name: orders}", 13, 16, "already the name of an earlier entry"},
    {"id: ledger-2", "id: ledger-1", 21, 9, "already the id of an earlier entry"},
    {"failureDomain: western-a", "failureDomain: central-a", 19, 20, "not a declared failure domain of region"},
    {"    region: western", "    region: northern", 18, 13, "\"northern\", which is not a declared region"},
    {"server: ledger-1", "server: ledger-9", 27, 13, "\"ledger-9\", which is not a declared server"},
    {"server: ledger-2}", "server: ledger-9}", 30, 47, "not a declared server of service \"ledger\""},
    {"workClass: stock", "workClass: stocks", 32, 34, "\"stocks\", which is not a declared class of service"},
    {"hotKeys:\n", "hotKeys:\n  - {service: ledger, key: route-138}\n", 31, 28, "already a hot key"},
    {"refusalRules:\n", "refusalRules:\n  - {service: ledger, workClass: stock, refuseAboveLoad: 1}\n", 33, 34,
        "already has a refusal rule"},
};

SheetResult parseBadSheet(const BadSheet& bad)
{
    std::string sheet = validSheet;
    const std::size_t offset = sheet.find(bad.original);
    EXPECT_NE(offset, std::string::npos) << bad.original;
    if (offset != std::string::npos) {
        sheet.replace(offset, std::string(bad.original).size(), bad.replacement);
    }
    return parseSheet(sheet, "morning.yaml");
}

} // namespace

// Guards against rows of the table whose error comes from the unchanged sheet, not from their replacement.
TEST(SheetErrorsTest, UnchangedSheetIsValid)
{
    const SheetResult result = parseSheet(validSheet, "morning.yaml");
    EXPECT_TRUE(result.configuration);
    EXPECT_THAT(result.errors, testing::IsEmpty());
}

// Guards against invalid sheets that are accepted, or rejected without the position and the reason.
TEST(SheetErrorsTest, EachErrorHasPositionAndReason)
{
    for (const BadSheet& bad : badSheets) {
        const SheetResult result = parseBadSheet(bad);
        EXPECT_FALSE(result.configuration) << bad.replacement;
        std::string all;
        bool found = false;
        for (const Error& error : result.errors) {
            all += describe(error) + "\n";
            found = found
                || (error.position && error.position->file == "morning.yaml" && error.position->line == bad.line
                    && error.position->column == bad.column && error.message.find(bad.message) != std::string::npos);
        }
        EXPECT_TRUE(found) << "expected " << bad.line << ":" << bad.column << ": " << bad.message << "\ngot " << all;
    }
}

// Guards against reporting only one error at a time, and against returning a part of an invalid sheet.
TEST(SheetErrorsTest, AllErrorsAreReportedInOrder)
{
    std::string sheet = validSheet;
    sheet.replace(sheet.find("127.0.0.1:7002"), 14, "nowhere");
    sheet.replace(sheet.find("lease: 2s"), 9, "lease: soon");
    sheet.replace(sheet.find("deployment"), 10, "deploymen");
    const SheetResult result = parseSheet(sheet, "morning.yaml");
    EXPECT_FALSE(result.configuration);
    std::vector<int> lines;
    for (const Error& error : result.errors) {
        lines.push_back(error.position->line);
    }
    EXPECT_EQ(lines, (std::vector<int> {1, 1, 10, 25}));
}

// Guards against a crash or an empty configuration for documents that are not sheets.
TEST(SheetErrorsTest, OtherDocumentsAreRejected)
{
    for (const char* text : {"", "~", "7", "- a\n- b\n", "%YAML 9", "\xff\xfe\x00", "{}", "---\n---\n", "a: &a [*a]"}) {
        const SheetResult result = parseSheet(text, "morning.yaml");
        EXPECT_FALSE(result.configuration) << text;
        EXPECT_THAT(result.errors, testing::Not(testing::IsEmpty())) << text;
    }
    const std::string deep(100'000, '[');
    EXPECT_FALSE(parseSheet(deep, "morning.yaml").configuration);
    EXPECT_FALSE(parseSheet("a: " + std::string(1'000'000, 'x'), "morning.yaml").configuration);
}

} // namespace jasminespread
