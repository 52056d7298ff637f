#include <jasminespread/metrics_registry.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <limits>
#include <thread>

namespace jasminespread {

using testing::HasSubstr;

// Guards against exposing the cell of only one thread, and against missing HELP and TYPE lines.
TEST(MetricsRegistryTest, AddsUpCellsWithTheSameLabels)
{
    MetricsRegistry registry;
    MetricsRegistry::Counter& first = registry.counter("requests_total", "service=\"desk\"", "Requests.");
    MetricsRegistry::Counter& second = registry.counter("requests_total", "service=\"desk\"", "Requests.");
    first.add(2);
    second.add(40);
    registry.gauge("queue_length", "", "Waiting\nrequests.").set(1.5);
    const std::string text = registry.exposition();
    EXPECT_EQ(text,
        "# HELP queue_length Waiting\\nrequests.\n# TYPE queue_length gauge\nqueue_length 1.5\n"
        "# HELP requests_total Requests.\n# TYPE requests_total counter\nrequests_total{service=\"desk\"} 42\n");
}

// Guards against losing values outside the bounds of the buckets, non-cumulative buckets and a wrong sum.
TEST(MetricsRegistryTest, HistogramBucketsAreCumulativeAndCoverAllValues)
{
    MetricsRegistry registry;
    MetricsRegistry::Histogram& cell = registry.histogram("latency_seconds", "service=\"desk\"", "Latency.");
    cell.record(0);
    cell.record(0.000'01);
    cell.record(0.5);
    cell.record(100);
    cell.record(-1);
    cell.record(std::numeric_limits<double>::quiet_NaN());
    const std::string text = registry.exposition();
    EXPECT_THAT(text, HasSubstr("# TYPE latency_seconds histogram\n"));
    EXPECT_THAT(text, HasSubstr("latency_seconds_bucket{service=\"desk\",le=\"5e-05\"} 4\n"));
    EXPECT_THAT(text, HasSubstr("latency_seconds_bucket{service=\"desk\",le=\"+Inf\"} 6\n"));
    EXPECT_THAT(text, HasSubstr("latency_seconds_count{service=\"desk\"} 6\n"));
    EXPECT_THAT(text, HasSubstr("latency_seconds_sum{service=\"desk\"} 100.50001\n"));

    const std::vector<MetricFamily> families = registry.read();
    ASSERT_EQ(families.size(), 1U);
    const std::vector<std::uint64_t>& counts = families[0].samples.at(0).bucketCounts;
    EXPECT_NEAR(MetricsRegistry::bucketUpperBound(counts.size() - 2), 60, 1e-6);
    for (std::size_t i = 1; i + 1 < counts.size(); ++i) {
        EXPECT_EQ(counts[i],
            MetricsRegistry::bucketUpperBound(i - 1) <= 0.5 && MetricsRegistry::bucketUpperBound(i) > 0.5 ? 1U : 0U);
    }
}

// Guards against lost updates when several threads record into one cell while another thread reads it.
TEST(MetricsRegistryTest, CountsEveryValueOfConcurrentThreads)
{
    MetricsRegistry registry;
    MetricsRegistry::Histogram& cell = registry.histogram("latency_seconds", "", "Latency.");
    MetricsRegistry::Counter& counter = registry.counter("requests_total", "", "Requests.");
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            for (int n = 0; n < 20'000; ++n) {
                cell.record(0.001);
                counter.add();
            }
        });
    }
    for (int n = 0; n < 20; ++n) {
        EXPECT_FALSE(registry.exposition().empty());
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    const std::string text = registry.exposition();
    EXPECT_THAT(text, HasSubstr("latency_seconds_count 80000\n"));
    EXPECT_THAT(text, HasSubstr("requests_total 80000\n"));
}

// Guards against exposing one name with two types, which makes a scraper reject the whole exposition.
TEST(MetricsRegistryTest, NameKeepsItsFirstType)
{
    MetricsRegistry registry;
    registry.counter("requests_total", "", "Requests.").add(3);
    registry.gauge("requests_total", "", "Requests.").set(9);
    EXPECT_EQ(
        registry.exposition(), "# HELP requests_total Requests.\n# TYPE requests_total counter\nrequests_total 3\n");
}

} // namespace jasminespread
