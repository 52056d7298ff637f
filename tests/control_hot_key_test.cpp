#include "control/hot_key_tracker.h"
#include "control_simulation.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace jasminespread {
namespace {

using testing::Contains;
using testing::IsEmpty;
using testing::SizeIs;

const GroupName ledger0 {"ledger", 0};

wire::HotKeyReport reportOf(const std::vector<std::pair<std::string, double>>& rates)
{
    wire::HotKeyReport report;
    report.set_service("ledger");
    for (const auto& [key, rate] : rates) {
        wire::HotKeyRate& row = *report.add_keys();
        row.set_key(key);
        row.set_requests_per_second(rate);
    }
    return report;
}

class HotKeyTrackerTest : public testing::Test {
protected:
    HotKeyTrackerTest()
    {
        GroupRecord record;
        record.group = ledger0;
        tracker.trackGroup(now, record);
    }

    /// Receives reports with the same rates from two instances every 5 s.
    void report(const std::vector<std::pair<std::string, double>>& rates, Milliseconds duration)
    {
        for (const MonotonicTime end = now + duration; now < end; now += Milliseconds(5000)) {
            tracker.receiveReport(now, "a", reportOf(rates));
            tracker.receiveReport(now, "b", reportOf(rates));
            tracker.evaluate(now,
                [](const std::string&, const std::string& key) {
                    return HotKeyTracker::KeyLocation {ledger0, "owner of " + key};
                },
                {{"ledger", 4}});
        }
    }

    HotKeyTracker tracker;
    MonotonicTime now {std::chrono::hours(1)};
};

// Guards against splits for short peaks, and against counting the rate of one instance only.
TEST_F(HotKeyTrackerTest, KeyIsIsolatedAfterThirtySeconds)
{
    report({{"meter-7", 15}}, Milliseconds(30'000));
    EXPECT_THAT(tracker.isolatedKeys(ledger0), IsEmpty());
    report({{"meter-7", 15}}, Milliseconds(5'000));
    EXPECT_THAT(tracker.isolatedKeys(ledger0), Contains("meter-7"));
}

// Guards against adding up separate short peaks, which would split and merge keys with every change of load.
TEST_F(HotKeyTrackerTest, PeakThatEndsDoesNotCount)
{
    report({{"meter-7", 15}}, Milliseconds(25'000));
    report({{"meter-7", 1}}, Milliseconds(5'000));
    report({{"meter-7", 15}}, Milliseconds(25'000));
    EXPECT_THAT(tracker.isolatedKeys(ledger0), IsEmpty());
}

// Guards against cooled keys that keep their partition, and against merging them before ten minutes.
TEST_F(HotKeyTrackerTest, CooledKeyIsMergedAfterTenMinutes)
{
    report({{"meter-7", 100}}, Milliseconds(40'000));
    ASSERT_THAT(tracker.isolatedKeys(ledger0), Contains("meter-7"));
    report({{"meter-7", 1}}, Milliseconds(590'000));
    EXPECT_THAT(tracker.isolatedKeys(ledger0), Contains("meter-7"));
    report({{"meter-7", 1}}, Milliseconds(20'000));
    EXPECT_THAT(tracker.isolatedKeys(ledger0), IsEmpty());
}

// Guards against a partition for each of many hot keys of a busy service.
TEST_F(HotKeyTrackerTest, NumberOfIsolatedKeysIsBounded)
{
    std::vector<std::pair<std::string, double>> rates;
    rates.reserve(10);
    for (int i = 0; i < 10; ++i) {
        rates.push_back({"meter-" + std::to_string(i), 100 + i});
    }
    report(rates, Milliseconds(60'000));
    EXPECT_THAT(tracker.isolatedKeys(ledger0), SizeIs(8));
}

// Guards against splitting keys of a service with little load.
TEST_F(HotKeyTrackerTest, KeyBelowRateFloorIsNotIsolated)
{
    report({{"meter-7", 5}}, Milliseconds(60'000));
    EXPECT_THAT(tracker.isolatedKeys(ledger0), IsEmpty());
}

// Guards against a new primary that immediately merges the keys isolated by its predecessor.
TEST(HotKeyControlTest, IsolatedKeyStaysAcrossTakeover)
{
    ControlSimulation simulation {ledgerConfiguration(3), {{"a", "b", "c"}}};
    simulation.run(Milliseconds(500));
    simulation.loadConfiguration();
    simulation.run(Milliseconds(3000));
    for (int i = 0; i < 14; ++i) {
        for (const auto& [id, instance] : simulation.instances) {
            simulation.send(id, HotKeysObserved {reportOf({{"meter-7", 40}})});
        }
        simulation.run(Milliseconds(3000));
    }
    const KeyRoute split = simulation.route("a", "ledger", "meter-7");
    EXPECT_GE(split.partition, 8U);
    ASSERT_TRUE(split.owner.server);
    const GroupName group = split.group->group;
    const std::string primary = simulation.storedRecord(group)->primary.id;
    simulation.stopInstance(primary);
    simulation.run(Milliseconds(5000));
    EXPECT_NE(simulation.storedRecord(group)->primary.id, primary);
    EXPECT_THAT(simulation.storedRecord(group)->overrides, Contains(testing::Key("meter-7")));
    EXPECT_THAT(simulation.executingServers(group, split.partition), SizeIs(1));
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

} // namespace
} // namespace jasminespread
