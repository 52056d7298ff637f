#include "cluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <iostream>
#include <set>
#include <thread>

namespace jasminespread::test {

namespace {

constexpr Milliseconds recoveryTarget {4000};
constexpr Milliseconds settleTime {1000};
// Time that the load balancer and the platform's instance list take to notice a lost instance.
constexpr Milliseconds detectionTime {1000};

void sleepFor(Milliseconds time) { std::this_thread::sleep_for(time); }

/// A cluster under closed-loop load. stopAndExpectNoViolations() checks the whole history at the end.
class Scenario {
public:
    explicit Scenario(ClusterOptions options = {})
        : m_cluster(std::move(options))
        , m_callers(m_cluster.callerEntries(), Cluster::service)
    {
        m_callers.start();
        sleepFor(settleTime);
    }

    Cluster& cluster() { return m_cluster; }
    Callers& callers() { return m_callers; }

    void killEntry(const std::string& name)
    {
        m_disturbed.insert(name);
        m_callers.setAvailable(name, false);
        m_cluster.entry(name).kill();
    }

    void freezeEntry(const std::string& name)
    {
        m_disturbed.insert(name);
        m_callers.setAvailable(name, false);
        m_cluster.entry(name).signal(SIGSTOP);
    }

    void resumeEntry(const std::string& name)
    {
        m_cluster.entry(name).signal(SIGCONT);
        m_callers.setAvailable(name, true);
    }

    /// Name of an entry instance that is not in @p others.
    std::string entryOtherThan(const std::set<std::string>& others)
    {
        for (const Callers::Entry& entry : m_cluster.callerEntries()) {
            if (!others.contains(entry.id)) {
                return entry.id;
            }
        }
        throw std::runtime_error("no entry instance is left besides the excluded ones");
    }

    /// Expects that since @p since no key was without a `done` answer for longer than @p limit. Prints the longest
    /// times.
    void expectServiceRestored(const std::string& event, MonotonicTime since, Milliseconds limit)
    {
        const std::vector<CallerRecord> calls = m_callers.records();
        for (const bool repeatable : {true, false}) {
            const Milliseconds gap = longestTimeWithoutService(calls, since, repeatable);
            std::cout << "longest time without service after " << event << ", "
                      << (repeatable ? "repeatable: " : "non-repeatable: ") << gap.count() << " ms\n";
            EXPECT_LE(gap.count(), limit.count()) << event;
        }
    }

    /// Stops the callers and expects no violation.
    void stopAndExpectNoViolations()
    {
        m_callers.stop();
        const History history {m_cluster.executions(), m_callers.records(), m_disturbed};
        std::map<std::string, std::size_t> counts;
        for (const CallerRecord& call : history.calls) {
            ++counts[call.outcome ? std::string(enumName(outcomeNames, *call.outcome)) + " " + call.reason
                                  : "no answer"];
        }
        std::cout << history.calls.size() << " calls, " << history.executions.size() << " executions\n";
        for (const auto& [name, count] : counts) {
            std::cout << "  " << name << ": " << count << "\n";
        }
        const std::vector<Violation> violations = findViolations(history);
        for (std::size_t i = 0; i < std::min<std::size_t>(violations.size(), 10); ++i) {
            std::cout << enumName(violationKindNames, violations[i].kind) << ": " << violations[i].text << "\n";
        }
        EXPECT_EQ(violations.size(), 0U);
        EXPECT_FALSE(history.executions.empty());
    }

private:
    Cluster m_cluster;
    Callers m_callers;
    std::set<std::string> m_disturbed;
};

std::uint64_t termOf(const boost::json::object& group) { return group.at("term").to_number<std::uint64_t>(); }

std::string stringOf(const boost::json::object& object, std::string_view name)
{
    const boost::json::value& value = object.at(name);
    return value.is_string() ? std::string(value.get_string()) : std::string();
}

} // namespace

// Guards against refused requests, double executions and wrong answers in a cluster without faults.
TEST(FailureTest, ServesWithoutFaults)
{
    Scenario scenario;
    sleepFor(Milliseconds(4000));
    scenario.callers().stop();
    const std::vector<CallerRecord> calls = scenario.callers().records();
    const std::ptrdiff_t done = std::count_if(
        calls.begin(), calls.end(), [](const CallerRecord& call) { return call.outcome == Outcome::Done; });
    EXPECT_GE(static_cast<double>(done), 0.99 * static_cast<double>(calls.size()));
    scenario.stopAndExpectNoViolations();
}

// Guards against keys that stay without an owner after their backend server was killed.
TEST(FailureTest, OwnerKilled)
{
    Scenario scenario;
    const std::string owner = scenario.cluster().ownerOf("entry-1", Callers::key(0));
    scenario.cluster().server(owner).kill();
    const MonotonicTime lostAt = monotonicNow();
    sleepFor(recoveryTarget + settleTime);
    EXPECT_NE(scenario.cluster().ownerOf("entry-1", Callers::key(0)), owner);
    scenario.expectServiceRestored("loss of the owner", lostAt, recoveryTarget);
    scenario.stopAndExpectNoViolations();
}

// Guards against a group whose partitions no instance grants after its primary was killed.
TEST(FailureTest, PrimaryKilled)
{
    Scenario scenario;
    const boost::json::object group = scenario.cluster().groupOf("entry-1", Callers::key(0));
    const std::string primary = stringOf(group, "primary");
    scenario.killEntry(primary);
    const MonotonicTime lostAt = monotonicNow();
    sleepFor(detectionTime);
    scenario.cluster().setListed(primary, "entry", "gone");
    sleepFor(recoveryTarget);
    const std::string other = scenario.entryOtherThan({primary});
    EXPECT_GT(termOf(scenario.cluster().groupOf(other, Callers::key(0))), termOf(group));
    scenario.expectServiceRestored("loss of the primary", lostAt, recoveryTarget);
    scenario.stopAndExpectNoViolations();
}

// Guards against a primary that continues to grant and dispatch after a pause during which the standby took over.
TEST(FailureTest, PrimaryPausedBeyondItsLease)
{
    Scenario scenario;
    const boost::json::object group = scenario.cluster().groupOf("entry-1", Callers::key(0));
    const std::string primary = stringOf(group, "primary");
    scenario.freezeEntry(primary);
    const MonotonicTime lostAt = monotonicNow();
    sleepFor(recoveryTarget + settleTime);
    const std::string other = scenario.entryOtherThan({primary});
    EXPECT_GT(termOf(scenario.cluster().groupOf(other, Callers::key(0))), termOf(group));
    scenario.expectServiceRestored("pause of the primary", lostAt, recoveryTarget);
    scenario.resumeEntry(primary);
    const MonotonicTime resumedAt = monotonicNow();
    sleepFor(recoveryTarget);
    scenario.expectServiceRestored("return of the primary", resumedAt, recoveryTarget);
    scenario.stopAndExpectNoViolations();
}

// Guards against a backend server that executes requests after a pause although its keys now have another owner.
TEST(FailureTest, ServerFrozenAndReturns)
{
    Scenario scenario;
    const std::string owner = scenario.cluster().ownerOf("entry-1", Callers::key(0));
    scenario.cluster().server(owner).signal(SIGSTOP);
    const MonotonicTime lostAt = monotonicNow();
    sleepFor(recoveryTarget + settleTime);
    EXPECT_NE(scenario.cluster().ownerOf("entry-1", Callers::key(0)), owner);
    scenario.expectServiceRestored("freeze of the owner", lostAt, recoveryTarget);
    scenario.cluster().server(owner).signal(SIGCONT);
    const MonotonicTime resumedAt = monotonicNow();
    sleepFor(recoveryTarget);
    scenario.expectServiceRestored("return of the owner", resumedAt, recoveryTarget);
    scenario.stopAndExpectNoViolations();
}

// Guards against owners that lose their leases, or that are replaced unsafely, during a store outage of 20 leases.
TEST(FailureTest, StoreDownWhileServerIsLost)
{
    constexpr Milliseconds lease {1000};
    constexpr Milliseconds outage = 20 * lease;
    ClusterOptions options;
    options.lease = lease;
    Scenario scenario(options);
    const std::string owner = scenario.cluster().ownerOf("entry-1", Callers::key(0));
    std::set<std::string> keysOfOtherServers;
    for (unsigned i = 0; i < Callers::keyCount; ++i) {
        if (scenario.cluster().ownerOf("entry-1", Callers::key(i)) != owner) {
            keysOfOtherServers.insert(Callers::key(i));
        }
    }
    ASSERT_FALSE(keysOfOtherServers.empty());
    scenario.cluster().setPlatformFaults(R"({"outage":"refuse"})");
    sleepFor(outage / 4);
    scenario.cluster().server(owner).kill();
    sleepFor(outage * 3 / 4);
    const std::int64_t lastSecond = (monotonicNow() - Milliseconds(1000)).time_since_epoch().count();
    for (const CallerRecord& call : scenario.callers().records()) {
        if (call.start >= lastSecond && call.outcome == Outcome::Done) {
            keysOfOtherServers.erase(call.key);
        }
    }
    EXPECT_EQ(keysOfOtherServers, std::set<std::string> {}) << "keys not served in the last second of the outage";
    EXPECT_GT(scenario.cluster().platformCounter("refused"), 0U);
    scenario.cluster().setPlatformFaults("{}");
    const MonotonicTime restoredAt = monotonicNow();
    sleepFor(recoveryTarget);
    scenario.expectServiceRestored("return of the store", restoredAt, recoveryTarget);
    scenario.stopAndExpectNoViolations();
}

// Guards against a store write that took effect but is treated as failed, or is repeated, because its answer was lost.
TEST(FailureTest, StoreAnswerLostAfterWrite)
{
    Scenario scenario;
    const std::string owner = scenario.cluster().ownerOf("entry-1", Callers::key(0));
    scenario.cluster().setPlatformFaults(R"({"loseWriteAnswers":3})");
    scenario.cluster().server(owner).kill();
    const MonotonicTime lostAt = monotonicNow();
    sleepFor(recoveryTarget + 2 * settleTime);
    EXPECT_EQ(scenario.cluster().platformCounter("lostAnswers"), 3U);
    scenario.expectServiceRestored("loss of the owner and of store answers", lostAt, recoveryTarget);
    scenario.stopAndExpectNoViolations();
}

// Guards against confirming both of two concurrent configuration changes, and against a revision that reverts.
TEST(FailureTest, TwoOperatorsRace)
{
    Scenario scenario;
    const std::uint64_t base = scenario.cluster().revisionAt("entry-1");
    const std::function<HttpResponse(const std::string&, double)> change
        = [&](const std::string& entry, double weight) {
              HttpClient http;
              Configuration configuration = scenario.cluster().configuration();
              configuration.author = "operator at " + entry;
              configuration.weights.churn = weight;
              return scenario.cluster().loadConfiguration(http, entry, configuration, base, "race-" + entry);
          };
    std::future<HttpResponse> first = std::async(std::launch::async, change, "entry-1", 2.0);
    std::future<HttpResponse> second = std::async(std::launch::async, change, "entry-2", 3.0);
    const HttpResponse answers[] = {first.get(), second.get()};
    const std::multiset<unsigned> statuses {answers[0].status, answers[1].status};
    EXPECT_EQ(statuses, (std::multiset<unsigned> {200, 409})) << answers[0].body << "\n" << answers[1].body;
    for (unsigned i = 0; i < 3; ++i) {
        const std::string entry = scenario.cluster().entryName(i);
        EXPECT_TRUE(waitUntil(Milliseconds(3000), [&] { return scenario.cluster().revisionAt(entry) == base + 1; }))
            << entry << " has revision " << scenario.cluster().revisionAt(entry);
    }
    sleepFor(settleTime);
    for (unsigned i = 0; i < 3; ++i) {
        EXPECT_EQ(scenario.cluster().revisionAt(scenario.cluster().entryName(i)), base + 1);
    }
    scenario.stopAndExpectNoViolations();
}

// Guards against wrong outcomes and double executions when two entry instances cannot reach each other.
TEST(FailureTest, EntryInstancesDisconnected)
{
    ClusterOptions options;
    options.proxiesBetweenEntries = true;
    Scenario scenario(options);
    const std::string primary = stringOf(scenario.cluster().groupOf("entry-1", Callers::key(0)), "primary");
    const std::string other = scenario.entryOtherThan({primary});
    EXPECT_GT(scenario.cluster().minProxyBytes(other, primary), 0U);
    scenario.cluster().setProxiesBetween(primary, other, R"({"mode":"cut"})");
    sleepFor(Milliseconds(4000));
    scenario.cluster().setProxiesBetween(primary, other, "{}");
    const MonotonicTime healedAt = monotonicNow();
    sleepFor(recoveryTarget);
    scenario.expectServiceRestored("end of the cut", healedAt, recoveryTarget);
    scenario.stopAndExpectNoViolations();
}

// Guards against a group that stays without a primary after its primary and standby were killed at the same time.
TEST(FailureTest, PrimaryAndStandbyKilled)
{
    constexpr Milliseconds doubleLossTarget {8000};
    ClusterOptions options;
    options.entries = 4;
    Scenario scenario(options);
    const boost::json::object group = scenario.cluster().groupOf("entry-1", Callers::key(0));
    const std::string primary = stringOf(group, "primary");
    const std::string standby = stringOf(group, "standby");
    ASSERT_FALSE(standby.empty());
    scenario.killEntry(primary);
    scenario.killEntry(standby);
    const MonotonicTime lostAt = monotonicNow();
    sleepFor(detectionTime);
    scenario.cluster().setListed(primary, "entry", "gone");
    scenario.cluster().setListed(standby, "entry", "gone");
    sleepFor(doubleLossTarget);
    const std::string other = scenario.entryOtherThan({primary, standby});
    EXPECT_GT(termOf(scenario.cluster().groupOf(other, Callers::key(0))), termOf(group));
    scenario.expectServiceRestored("loss of primary and standby", lostAt, doubleLossTarget);
    scenario.stopAndExpectNoViolations();
}

// Guards against a second owner made by a grant that reaches its server after the lease has ended.
TEST(FailureTest, GrantDelayedBeyondLease)
{
    Scenario scenario;
    const std::string owner = scenario.cluster().ownerOf("entry-1", Callers::key(0));
    scenario.cluster().setServerState(owner, R"({"grantDelayMs":3000})");
    const MonotonicTime delayedAt = monotonicNow();
    sleepFor(recoveryTarget + 2 * settleTime);
    EXPECT_NE(scenario.cluster().ownerOf("entry-1", Callers::key(0)), owner);
    scenario.expectServiceRestored("delay of grants", delayedAt, recoveryTarget);
    scenario.cluster().setServerState(owner, "{}");
    const MonotonicTime endedAt = monotonicNow();
    sleepFor(recoveryTarget);
    scenario.expectServiceRestored("end of the delay", endedAt, recoveryTarget);
    scenario.stopAndExpectNoViolations();
}

} // namespace jasminespread::test
