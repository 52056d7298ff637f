#include "configuration_samples.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace jasminespread {
namespace {

std::string decodingError(const std::string& text)
{
    return handleError(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(decodeConfiguration(text));
            return std::string();
        },
        [](const Error& error) { return describe(error); });
}

std::vector<std::string> errorMessages(const Configuration& configuration)
{
    std::vector<std::string> texts;
    for (const Error& error : checkConfiguration(configuration)) {
        texts.push_back(error.message);
    }
    return texts;
}

std::string withReplacement(std::string text, const std::string& from, const std::string& to)
{
    const std::size_t position = text.find(from);
    EXPECT_NE(position, std::string::npos) << from;
    return position == std::string::npos ? text : text.replace(position, from.size(), to);
}

} // namespace

// Guards against fields that are lost between the instance that stores a configuration and the instances that read it.
TEST(ConfigurationTest, JsonRoundTripKeepsEveryField)
{
    Configuration configuration = sampleConfiguration();
    configuration.revision = 18'446'744'073'709'551'615U;
    configuration.changeId = "c-1";
    configuration.services[0].lease = Milliseconds(2'500);
    configuration.services[0].objective = {0.95, Milliseconds(123), 0.9};
    configuration.weights = {3, 0.1, 7, 0.25};
    const Configuration decoded = handleError([&] { return decodeConfiguration(encodeConfiguration(configuration)); },
        [](const Error& error) {
            ADD_FAILURE() << describe(error);
            return Configuration();
        });
    EXPECT_EQ(decoded, configuration);
}

// Guards against accepting documents that are truncated, have values of another type or belong to a newer version.
TEST(ConfigurationTest, MalformedJsonIsRejected)
{
    const std::string valid = encodeConfiguration(sampleConfiguration());
    EXPECT_EQ(decodingError(valid), "");
    EXPECT_THAT(decodingError(valid.substr(0, valid.size() / 2)), testing::HasSubstr("not valid JSON"));
    EXPECT_THAT(decodingError("[]"), testing::HasSubstr("not a JSON object"));
    EXPECT_THAT(decodingError("{}"), testing::HasSubstr("\"deployment\" is missing"));
    EXPECT_THAT(decodingError(withReplacement(valid, "\"revision\":0", "\"revision\":-1")),
        testing::HasSubstr("\"revision\" is not a whole number"));
    EXPECT_THAT(decodingError(withReplacement(valid, "\"revision\":0", "\"rev\":0")), testing::HasSubstr("unknown"));
    EXPECT_THAT(decodingError(withReplacement(valid, "\"checked\"", "\"maybe\"")),
        testing::HasSubstr("\"services[0].grantCheck\" has the value \"maybe\""));
    EXPECT_THAT(decodingError(withReplacement(valid, "\"2s\"", "2")), testing::HasSubstr("\"services[0].lease\""));
}

// Guards against a check that stops at the first error or accepts references to undeclared names.
TEST(ConfigurationTest, CheckReportsEveryError)
{
    EXPECT_THAT(errorMessages(sampleConfiguration()), testing::IsEmpty());

    Configuration configuration = sampleConfiguration();
    configuration.servers[0].service = "desk";
    configuration.servers[1].failureDomain = "western-a";
    configuration.servers[1].address = "localhost:7002";
    configuration.services[0].groups = 97;
    configuration.services[0].objective.availability = 1;
    configuration.plannedStops[0].server = "ledger-9";
    configuration.hotKeys[0].key = "a\x01";
    configuration.refusalRules.push_back(configuration.refusalRules[0]);
    configuration.refusalRules[0].refuseAboveLoad = 1.5;
    configuration.weights.churn = -1;
    EXPECT_THAT(errorMessages(configuration),
        testing::ElementsAre(testing::HasSubstr("\"services[0].groups\" has the value \"97\""),
            testing::HasSubstr("\"services[0].objective.availability\""),
            testing::HasSubstr("\"servers[0].service\" has the value \"desk\""),
            testing::HasSubstr("\"servers[1].failureDomain\" has the value \"western-a\""),
            testing::HasSubstr("\"servers[1].address\" has the value \"localhost:7002\""),
            testing::HasSubstr("\"plannedStops[0].server\" has the value \"ledger-9\""),
            testing::HasSubstr("\"hotKeys[0].key\""), testing::HasSubstr("\"refusalRules[0].refuseAboveLoad\""),
            testing::HasSubstr("\"refusalRules[1].workClass\" has the value \"batch\""),
            testing::HasSubstr("\"weights.churn\"")));
}

// Guards against reporting a configuration as valid that the store then rejects because of its size.
TEST(ConfigurationTest, CheckLimitsDocumentSize)
{
    Configuration configuration = sampleConfiguration();
    for (int i = 0; i < 1'000; ++i) {
        configuration.hotKeys.push_back({"ledger", std::to_string(i) + std::string(1'000, 'x'), ""});
    }
    EXPECT_THAT(errorMessages(configuration), testing::ElementsAre(testing::HasSubstr("bytes as JSON")));
}

// Guards against conflict reports that omit a change made by another operator.
TEST(ConfigurationTest, DiffReportsEveryChange)
{
    const Configuration before = sampleConfiguration();
    Configuration after = before;
    after.revision = 7;
    after.author = "ben";
    after.changeId = "other";
    EXPECT_THAT(diffConfigurations(before, after), testing::IsEmpty());

    after.services[0].slotsPerServer = 8;
    std::swap(after.services[0].classes[0], after.services[0].classes[1]);
    after.services[0].classes.push_back({"report", 2});
    after.servers.erase(after.servers.begin());
    after.hotKeys.push_back({"ledger", "route 1", ""});
    after.weights.churn = 2;
    EXPECT_THAT(diffConfigurations(before, after),
        testing::ElementsAre("services[ledger].slotsPerServer: 6 -> 8",
            "services[ledger].classes (first): interactive -> batch",
            testing::StartsWith("servers[ledger-1]: removed {"), "weights.churn: 1E0 -> 2E0",
            "services[ledger].classes[report]: added {\"name\":\"report\",\"weight\":2}",
            "hotKeys[ledger/route 1]: added {\"service\":\"ledger\",\"key\":\"route 1\",\"server\":\"\"}"));
}

} // namespace jasminespread
