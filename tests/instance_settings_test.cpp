#include <jasminespread/instance_settings.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace jasminespread {
namespace {

const std::string requiredSettings = R"(instance: w1
region: western
failureDomain: western-a
callerAddress: 127.0.0.1:8000
operatorAddress: 127.0.0.1:8001
controlAddress: 127.0.0.1:8002
forwardAddress: 127.0.0.1:8010
platformUrl: http://127.0.0.1:9000
)";

std::string settingsError(const std::string& yaml)
{
    return handleError(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parseInstanceSettings(yaml, "w1.yaml"));
            return std::string();
        },
        [](const Error& error) { return describe(error); });
}

} // namespace

// Guards against settings that are ignored or read in another unit.
TEST(InstanceSettingsTest, ReadsEveryKindOfField)
{
    const InstanceSettings settings = handleError(
        [&] {
            return parseInstanceSettings(requiredSettings
                    + "workers: 3\nsuspectAfter: 900ms\nmaxBodyBytes: 2048\nretryBudget: 0.25\nlogLevel: debug\n"
                      "addressOverrides:\n  c1: {control: 127.0.0.1:1, forward: 127.0.0.1:2}\n",
                "w1.yaml");
        },
        [](const Error& error) {
            ADD_FAILURE() << describe(error);
            return InstanceSettings();
        });
    EXPECT_EQ(settings.instance, "w1");
    EXPECT_EQ(settings.forwardAddress, "127.0.0.1:8010");
    EXPECT_EQ(settings.workers, 3U);
    EXPECT_EQ(settings.suspectAfter, Milliseconds(900));
    EXPECT_EQ(settings.thirdPartyAfter, Milliseconds(1500)) << "default";
    EXPECT_EQ(settings.maxBodyBytes, 2048U);
    EXPECT_EQ(settings.retryBudget, 0.25);
    EXPECT_EQ(settings.addressOverrides.at("c1").forward, "127.0.0.1:2");
}

// Guards against reporting only one error per start of the process.
TEST(InstanceSettingsTest, ReportsAllErrorsWithPositionAndRemedy)
{
    const std::string error = settingsError(
        requiredSettings + "workers: 0\nheartbeatInterval: 200\nunknownThing: 1\nworkers: 2\nlogLevel: loud\n");
    EXPECT_EQ(error,
        "w1.yaml:9:10: field \"workers\" has the value \"0\", which is outside 1 to 64; choose a value in this range\n"
        "w1.yaml:10:20: field \"heartbeatInterval\" has the value \"200\", which is not a duration; write a whole "
        "number and a unit: 200ms, 2s, 5m or 2h\n"
        "w1.yaml:11:1: field \"unknownThing\" is unknown; remove it or use one of: instance, region, failureDomain, "
        "callerAddress, operatorAddress, controlAddress, forwardAddress, platformUrl, workers, heartbeatInterval, "
        "suspectAfter, thirdPartyAfter, grantInterval, grantTimeout, driftMargin, clockSkewMargin, storeTimeout, "
        "storePollInterval, instanceListInterval, confirmTimeout, shutdownTimeout, maxBodyBytes, windowEntries, "
        "windowBytes, queueLimit, retryBudget, maxConcurrentRequests, logLevel, logFile, addressOverrides\n"
        "w1.yaml:12:1: field \"workers\" appears twice, first in line 9; keep one of them\n"
        "w1.yaml:13:11: field \"logLevel\" has the value \"loud\", which is not one of: debug, info, warning, error");
}

// Guards against a process that starts with values that break its protocols, such as timers of zero length.
TEST(InstanceSettingsTest, RejectsUnusableValues)
{
    EXPECT_THAT(settingsError("instance: w1\n"), testing::HasSubstr("\"region\" is missing"));
    EXPECT_THAT(
        settingsError(requiredSettings + "suspectAfter: 300ms\n"), testing::HasSubstr("\"suspectAfter\" is shorter"));
    EXPECT_THAT(
        settingsError(requiredSettings + "thirdPartyAfter: 1s\n"), testing::HasSubstr("\"thirdPartyAfter\" is not"));
    EXPECT_THAT(settingsError(requiredSettings + "grantInterval: 0ms\n"), testing::HasSubstr("outside 1ms to 1h"));
    EXPECT_THAT(settingsError(requiredSettings + "retryBudget: 2\n"), testing::HasSubstr("\"retryBudget\""));
    EXPECT_THAT(settingsError(requiredSettings + "addressOverrides: {c1: {control: here}}\n"),
        testing::AllOf(testing::HasSubstr("\"addressOverrides.c1.forward\" is missing"),
            testing::HasSubstr("\"addressOverrides.c1.control\" has the value \"here\"")));
    EXPECT_THAT(settingsError("a: [1"), testing::HasSubstr("not valid YAML"));
    EXPECT_THAT(settingsError(""), testing::HasSubstr("not a map"));
    EXPECT_EQ(settingsError(requiredSettings), "");
}

// Guards against reporting a missing file as a malformed one.
TEST(InstanceSettingsTest, MissingFileIsNotFound)
{
    const ErrorKind kind = handleError(
        [&]() -> Result<ErrorKind> {
            BOOST_LEAF_CHECK(loadInstanceSettings("/nonexistent/settings.yaml"));
            return ErrorKind::Internal;
        },
        [](const Error& error) { return error.kind; });
    EXPECT_EQ(kind, ErrorKind::NotFound);
}

} // namespace jasminespread
