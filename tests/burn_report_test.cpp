#include <jasminespread/burn_report.h>

#include "burn/metric_labels.h"
#include "burn/ownership_meter.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace jasminespread {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::Not;

namespace {

const MonotonicTime start {std::chrono::hours(100)};
const WallTime wall {Milliseconds(1'796'000'123'000)};

/// Returns one service "desk" with an availability target of 99.9%, a latency target of 99% within 500 ms, and two
/// partitions, owned by the servers s1 and s2.
RoutingSnapshot deskSnapshot()
{
    RoutingSnapshot snapshot;
    snapshot.servers = {ServerRoute {"s1", "", "", 1, 1, {}}, ServerRoute {"s2", "", "", 1, 1, {}}};
    ServiceRoute service;
    service.settings.name = "desk";
    service.settings.partitions = 2;
    service.settings.groups = 1;
    GroupRoute group;
    group.partitions[0] = {0, 1};
    group.partitions[1] = {1, 2};
    service.groups.push_back(group);
    snapshot.services["desk"] = service;
    return snapshot;
}

/// Records metrics of synthetic requests and samples them into a history.
class BurnHistoryTest : public testing::Test {
protected:
    void addRequests(const std::string& outcome, const std::string& reason, const std::string& server, std::uint64_t n)
    {
        m_metrics
            .counter("jasminespread_requests_total",
                "service=\"desk\",outcome=\"" + outcome + "\",reason=\"" + reason + "\",server=\"" + server + "\"", "")
            .add(n);
    }
    void addLatencies(double seconds, int n)
    {
        MetricsRegistry::Histogram& latencyHistogram
            = m_metrics.histogram("jasminespread_request_seconds", "service=\"desk\"", "");
        for (int i = 0; i < n; ++i) {
            latencyHistogram.record(seconds);
        }
    }
    void addSampleAt(std::chrono::seconds elapsed) { m_history.add(start + elapsed, m_metrics.read(), m_snapshot); }
    ServiceBurn report() { return m_history.report("a", wall, m_snapshot).services.at(0); }

    MetricsRegistry m_metrics;
    RoutingSnapshot m_snapshot = deskSnapshot();
    BurnHistory m_history;
};

} // namespace

// Guards against requests that count in a window that does not contain them, and against wrong burn rates.
TEST_F(BurnHistoryTest, ComputesBurnRatePerWindow)
{
    using namespace std::chrono_literals;
    addSampleAt(0s);
    addRequests("done", "", "s1", 9990);
    addRequests("unknown", "connection-broken", "s1", 10);
    addSampleAt(4h);
    addRequests("done", "", "s2", 900);
    addRequests("not-run", "queue-full", "s2", 100);
    addSampleAt(4h + 50min);
    addSampleAt(4h + 55min);
    addSampleAt(5h);
    const ObjectiveReport availability = report().objectives.at(0);
    EXPECT_EQ(availability.kind, ObjectiveKind::Availability);
    // There were no requests in the last 5 minutes.
    EXPECT_EQ(availability.windows[0].requests, 0U);
    EXPECT_FALSE(availability.windows[0].burnRate);
    EXPECT_EQ(availability.windows[1].requests, 1000U);
    EXPECT_NEAR(availability.windows[1].burnRate.value(), 100, 1e-6);
    EXPECT_EQ(availability.windows[3].requests, 11'000U);
    EXPECT_EQ(availability.windows[3].bad, 110U);
    EXPECT_NEAR(availability.windows[3].burnRate.value(), 10, 1e-6);
    EXPECT_EQ(availability.windows[3].covered, Milliseconds(5h));
    EXPECT_NEAR(availability.budgetLeft.value(), -9, 1e-6);
    EXPECT_EQ(availability.state, BurnState::SlowBurn);
}

// Guards against an alert that continues after the errors have stopped, and against a fast burn that is not reported.
TEST_F(BurnHistoryTest, FastBurnNeedsBothWindows)
{
    using namespace std::chrono_literals;
    addSampleAt(0s);
    addRequests("done", "", "s1", 900);
    addRequests("unknown", "connection-broken", "s1", 100);
    addSampleAt(1min);
    EXPECT_EQ(report().objectives.at(0).state, BurnState::FastBurn);
    addRequests("done", "", "s1", 100);
    addSampleAt(2min);
    addSampleAt(10min);
    addRequests("done", "", "s1", 1);
    addSampleAt(11min);
    EXPECT_NE(report().objectives.at(0).state, BurnState::FastBurn);
}

// Guards against division by zero and made-up values when there are no requests.
TEST_F(BurnHistoryTest, ReportsNoDataWithoutRequests)
{
    EXPECT_EQ(report().objectives.at(0).state, BurnState::NoData);
    addSampleAt(std::chrono::seconds(0));
    addSampleAt(std::chrono::seconds(60));
    const ServiceBurn burn = report();
    for (const ObjectiveReport& objective : burn.objectives) {
        EXPECT_EQ(objective.state, BurnState::NoData);
        EXPECT_FALSE(objective.budgetLeft);
        EXPECT_FALSE(objective.windows[3].burnRate);
    }
    EXPECT_FALSE(burn.imbalance);
    EXPECT_TRUE(burn.causes.empty());
    BurnReport emptyReport = m_history.report("a", wall, m_snapshot);
    EXPECT_THAT(renderBurnText(emptyReport), HasSubstr("- (no requests)"));
    EXPECT_THAT(renderBurnHtml(emptyReport), Not(HasSubstr("nan")));
}

// Guards against refusals by a configured rule and caller errors using up the error budget.
TEST_F(BurnHistoryTest, RefusalRulesAndCallerErrorsDoNotUseBudget)
{
    addSampleAt(std::chrono::seconds(0));
    addRequests("not-run", "refused-by-rule", "", 50);
    addRequests("not-run", "missing-key", "", 50);
    addRequests("done", "", "s1", 50);
    addSampleAt(std::chrono::seconds(60));
    const ServiceBurn burn = report();
    EXPECT_EQ(burn.objectives.at(0).windows[0].requests, 100U);
    EXPECT_EQ(burn.objectives.at(0).windows[0].bad, 0U);
    EXPECT_TRUE(burn.causes.empty());
}

// Guards against slow requests that are not counted as bad, and fast requests that are.
TEST_F(BurnHistoryTest, CountsRequestsAboveLatencyThreshold)
{
    addSampleAt(std::chrono::seconds(0));
    addLatencies(0.010, 97);
    addLatencies(2.0, 3);
    addSampleAt(std::chrono::seconds(60));
    const ObjectiveReport objective = report().objectives.at(1);
    EXPECT_EQ(objective.kind, ObjectiveKind::Latency);
    EXPECT_EQ(objective.windows[0].requests, 100U);
    EXPECT_EQ(objective.windows[0].bad, 3U);
    EXPECT_NEAR(objective.windows[0].burnRate.value(), 3, 1e-6);
}

// Guards against causes that are not sorted by frequency, and an imbalance that ignores idle servers.
TEST_F(BurnHistoryTest, RanksCausesAndComputesImbalance)
{
    addSampleAt(std::chrono::seconds(0));
    addRequests("done", "", "s1", 90);
    addRequests("unknown", "connection-broken", "s1", 3);
    addRequests("not-run", "queue-full", "", 7);
    addSampleAt(std::chrono::seconds(60));
    const ServiceBurn burn = report();
    EXPECT_THAT(burn.causes,
        ElementsAre(BurnCause {"not-run", "queue-full", "", 7}, BurnCause {"unknown", "connection-broken", "s1", 3}));
    EXPECT_THAT(burn.loads, ElementsAre(ServerLoad {"s1", 93}, ServerLoad {"s2", 0}));
    EXPECT_NEAR(burn.imbalance.value(), 2, 1e-9);
    EXPECT_EQ(burn.points.size(), burnPointCount);
    EXPECT_EQ(burn.points.back().requests, 100U);
    EXPECT_EQ(burn.points.back().unavailable, 10U);
}

// Guards against memory that grows with the number of reports, and against reports that lack the latest requests.
TEST_F(BurnHistoryTest, FrequentSamplesReplaceNewestSample)
{
    addSampleAt(std::chrono::seconds(0));
    for (int i = 1; i <= 25; ++i) {
        addRequests("done", "", "s1", 1);
        addSampleAt(std::chrono::seconds(i));
        ASSERT_EQ(report().objectives.at(0).windows[0].requests, static_cast<std::uint64_t>(i));
    }
    EXPECT_EQ(report().points.back().requests, 25U);
}

// Guards against merged reports that lose requests, or that add up the partition moves and unowned time which every
// instance observes.
TEST_F(BurnHistoryTest, MergesReportsOfSeveralInstances)
{
    addSampleAt(std::chrono::seconds(0));
    addRequests("done", "", "s1", 90);
    addRequests("unknown", "connection-broken", "s2", 10);
    addLatencies(2.0, 4);
    addSampleAt(std::chrono::seconds(60));
    BurnReport first = m_history.report("a", wall, m_snapshot);
    BurnReport second = m_history.report("b", wall + Milliseconds(2000), m_snapshot);
    first.services[0].partitionMoves = 4;
    second.services[0].partitionMoves = 3;
    second.services[0].unavailableSeconds = 1.5;
    const BurnReport merged = mergeBurnReports({first, second});
    EXPECT_THAT(merged.instances, ElementsAre("a", "b"));
    EXPECT_EQ(merged.at, wall + Milliseconds(2000));
    ASSERT_EQ(merged.services.size(), 1U);
    const ServiceBurn& burn = merged.services[0];
    EXPECT_EQ(burn.objectives.at(0).windows[0].requests, 200U);
    EXPECT_EQ(burn.objectives.at(0).windows[0].bad, 20U);
    EXPECT_NEAR(burn.objectives.at(0).windows[0].burnRate.value(), 100, 1e-6);
    EXPECT_EQ(burn.objectives.at(1).windows[0].bad, 8U);
    EXPECT_THAT(burn.causes, ElementsAre(BurnCause {"unknown", "connection-broken", "s2", 20}));
    EXPECT_THAT(burn.loads, ElementsAre(ServerLoad {"s1", 180}, ServerLoad {"s2", 20}));
    EXPECT_NEAR(burn.imbalance.value(), 1.8, 1e-9);
    EXPECT_EQ(burn.partitionMoves, 4U);
    EXPECT_EQ(burn.unavailableSeconds, 1.5);
    EXPECT_EQ(burn.points.back().requests, 200U);
}

// Guards against a JSON encoding that loses fields, and against accepting reports of an incompatible version.
TEST_F(BurnHistoryTest, JsonRoundTripKeepsEveryField)
{
    addSampleAt(std::chrono::seconds(0));
    addRequests("done", "", "s1", 90);
    addRequests("unknown", "connection-broken", "s2", 10);
    addSampleAt(std::chrono::seconds(60));
    const BurnReport original = m_history.report("a", wall, m_snapshot);
    const auto decode = [](const std::string& text) {
        return handleError(
            [&]() -> Result<std::optional<BurnReport>> {
                BOOST_LEAF_AUTO(report, decodeBurnReport(text));
                return std::optional<BurnReport>(report);
            },
            [](const Error& error) {
                EXPECT_EQ(error.kind, ErrorKind::InvalidInput);
                return std::optional<BurnReport>();
            });
    };
    EXPECT_EQ(decode(encodeBurnReport(original)), original);
    BurnReport otherVersion = original;
    otherVersion.services[0].points.pop_back();
    EXPECT_FALSE(decode(encodeBurnReport(otherVersion)));
    EXPECT_FALSE(decode("{"));
    EXPECT_FALSE(decode("{}"));
}

// Guards against HTML injection through names from the configuration or from callers.
TEST_F(BurnHistoryTest, HtmlEscapesNamesAndHasNoExternalReferences)
{
    addSampleAt(std::chrono::seconds(0));
    addRequests("unknown", "<script>", "s&1", 10);
    addSampleAt(std::chrono::seconds(60));
    const std::string html = renderBurnHtml(m_history.report("a", wall, m_snapshot));
    EXPECT_THAT(html, Not(HasSubstr("<script>")));
    EXPECT_THAT(html, HasSubstr("&lt;script&gt;"));
    EXPECT_THAT(html, HasSubstr("s&amp;1"));
    EXPECT_THAT(html, HasSubstr("<svg"));
    EXPECT_THAT(html, Not(HasSubstr("http://")));
    EXPECT_THAT(html, Not(HasSubstr("src=")));
}

// Guards against commas, quotes or line breaks in a label value that corrupt the labels after it.
TEST(MetricLabelsTest, ParsesEscapedValues)
{
    const std::map<std::string, std::string> labels = parseMetricLabels("a=\"x,y=\\\"z\\\"\",b=\"1\\n2\"");
    EXPECT_EQ(labels, (std::map<std::string, std::string> {{"a", "x,y=\"z\""}, {"b", "1\n2"}}));
    EXPECT_TRUE(parseMetricLabels("").empty());
    EXPECT_TRUE(parseMetricLabels("broken").empty());
}

// Guards against missing a move when the partition has no owner in between, and against losing unowned time or counting
// it twice.
TEST(OwnershipMeterTest, CountsMovesAndTimeWithoutOwner)
{
    MetricsRegistry metrics;
    OwnershipMeter meter(metrics);
    const auto snapshot = std::make_shared<RoutingSnapshot>(deskSnapshot());
    meter.observe(start, snapshot);
    const auto unownedSnapshot = std::make_shared<RoutingSnapshot>(*snapshot);
    unownedSnapshot->services["desk"].groups[0].partitions[0].server.reset();
    meter.observe(start + std::chrono::seconds(10), unownedSnapshot);
    const auto movedSnapshot = std::make_shared<RoutingSnapshot>(*snapshot);
    movedSnapshot->services["desk"].groups[0].partitions[0].server = 1;
    meter.advance(start + std::chrono::seconds(11));
    meter.observe(start + std::chrono::milliseconds(12'500), movedSnapshot);
    meter.observe(start + std::chrono::seconds(20), movedSnapshot);
    const std::string text = metrics.exposition();
    EXPECT_THAT(text, HasSubstr("jasminespread_partition_moves_total{service=\"desk\"} 1\n"));
    EXPECT_THAT(text, HasSubstr("jasminespread_partition_unavailable_milliseconds_total{service=\"desk\"} 2500\n"));
    EXPECT_THAT(text, HasSubstr("jasminespread_partitions{service=\"desk\"} 2\n"));
}

} // namespace jasminespread
