#include <jasminespread/burn_report.h>
#include <jasminespread/outcome.h>

#include "burn/burn_arithmetic.h"
#include "burn/metric_labels.h"
#include "entry/caller_request.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <set>
#include <tuple>

namespace jasminespread {

namespace {

constexpr const char* requestsMetric = "jasminespread_requests_total";
constexpr const char* latencyMetric = "jasminespread_request_seconds";
constexpr const char* movesMetric = "jasminespread_partition_moves_total";
constexpr const char* unavailableMetric = "jasminespread_partition_unavailable_milliseconds_total";

/// Reasons of requests that the caller cancelled or that are invalid, so that no server could execute them. They are
/// excluded from the availability objective.
constexpr std::array<std::string_view, 14> excludedReasons {reason::badPath, reason::missingKey, reason::badKey,
    reason::badRequestId, reason::badDeadline, reason::badRepeatable, reason::badClass, reason::badMethod,
    reason::bodyTooLarge, reason::headersTooLarge, reason::unknownService, reason::futureId, reason::idReused,
    reason::cancelled};

enum class SeriesKind : std::uint8_t { Requests, Measured, Slow, Moves, UnavailableMs };

/// Identifies a monotonically increasing counter within a service.
struct SeriesKey {
    SeriesKind kind = SeriesKind::Requests;
    std::string outcome;
    std::string reason;
    std::string server;

    bool operator<(const SeriesKey& other) const
    {
        return std::tie(kind, outcome, reason, server)
            < std::tie(other.kind, other.outcome, other.reason, other.server);
    }
};

using CounterValues = std::vector<std::uint64_t>;

struct Sample {
    MonotonicTime takenAt;
    std::map<std::string, CounterValues> services; ///< Indexed as in the service's seriesIndexes.
};

bool countsForAvailability(const SeriesKey& series)
{
    return std::find(excludedReasons.begin(), excludedReasons.end(), series.reason) == excludedReasons.end();
}

bool missesAvailability(const SeriesKey& series)
{
    return countsForAvailability(series) && series.outcome != enumName(outcomeNames, Outcome::Done)
        && series.reason != reason::refusedByRule;
}

std::string labelValue(const std::map<std::string, std::string>& labels, const char* name)
{
    const auto it = labels.find(name);
    return it == labels.end() ? std::string() : it->second;
}

} // namespace

struct BurnHistory::State {
    struct ServiceState {
        std::map<SeriesKey, std::size_t> seriesIndexes;
        std::vector<std::uint64_t> lastBuckets;
        double slowTotal = 0; ///< Requests above the threshold since the start.
    };

    std::map<std::string, ServiceState> services;
    std::deque<Sample> samples;

    /// Adds @p value to a series of the sample; label sets that differ only in other labels share a series.
    void addToSeries(Sample& sample, const std::string& service, const SeriesKey& series, std::uint64_t value)
    {
        std::map<SeriesKey, std::size_t>& indexes = services[service].seriesIndexes;
        const std::size_t index = indexes.try_emplace(series, indexes.size()).first->second;
        CounterValues& values = sample.services[service];
        values.resize(std::max(values.size(), index + 1));
        values[index] += value;
    }

    /// Adds the requests recorded since the last sample that exceeded the latency threshold. Of the bucket that
    /// contains the threshold, a share is counted by linear interpolation.
    void addLatencies(Sample& sample, const std::string& service, const CounterValues& buckets, Milliseconds threshold)
    {
        ServiceState& state = services[service];
        state.lastBuckets.resize(buckets.size());
        const double thresholdSeconds = std::chrono::duration<double>(threshold).count();
        double slow = 0;
        std::uint64_t measured = 0;
        for (std::size_t i = 0; i < buckets.size(); ++i) {
            const double count = static_cast<double>(buckets[i] - std::min(buckets[i], state.lastBuckets[i]));
            const double lowerBound = i == 0 ? 0 : MetricsRegistry::bucketUpperBound(i - 1);
            const double upperBound = MetricsRegistry::bucketUpperBound(i);
            if (lowerBound >= thresholdSeconds) {
                slow += count;
            } else if (upperBound > thresholdSeconds) {
                slow += std::isinf(upperBound) ? count
                                               : count * (upperBound - thresholdSeconds) / (upperBound - lowerBound);
            }
            measured += buckets[i];
        }
        state.slowTotal += slow;
        state.lastBuckets = buckets;
        addToSeries(sample, service, {SeriesKind::Measured, {}, {}, {}}, measured);
        addToSeries(
            sample, service, {SeriesKind::Slow, {}, {}, {}}, static_cast<std::uint64_t>(std::llround(state.slowTotal)));
    }

    /// Returns the most recent sample taken at least @p age before the last sample, or the oldest sample if there is
    /// none. Precondition: there is a sample.
    [[nodiscard]] const Sample& sampleBefore(Milliseconds age) const
    {
        const MonotonicTime cutoff = samples.back().takenAt - age;
        const auto it = std::upper_bound(samples.begin(), samples.end(), cutoff,
            [](const MonotonicTime& bound, const Sample& sample) { return bound < sample.takenAt; });
        return it == samples.begin() ? samples.front() : *std::prev(it);
    }

    [[nodiscard]] static std::uint64_t valueAt(const Sample& sample, const std::string& service, std::size_t index)
    {
        const auto it = sample.services.find(service);
        return it == sample.services.end() || index >= it->second.size() ? 0 : it->second[index];
    }

    /// Calls @p visitor(series, increase) for every series of @p service with its increase from @p first to @p last.
    template <typename Visitor>
    void visitIncreases(const Sample& first, const Sample& last, const std::string& service, Visitor visitor) const
    {
        const auto it = services.find(service);
        if (it == services.end()) {
            return;
        }
        for (const auto& [series, index] : it->second.seriesIndexes) {
            const std::uint64_t before = valueAt(first, service, index);
            const std::uint64_t after = valueAt(last, service, index);
            visitor(series, after - std::min(before, after));
        }
    }

    /// Returns the requests of @p service between two samples.
    [[nodiscard]] BurnPoint burnPointBetween(const Sample& first, const Sample& last, const std::string& service) const
    {
        BurnPoint point;
        visitIncreases(first, last, service, [&](const SeriesKey& series, std::uint64_t count) {
            switch (series.kind) {
            case SeriesKind::Requests:
                point.requests += countsForAvailability(series) ? count : 0;
                point.unavailable += missesAvailability(series) ? count : 0;
                break;
            case SeriesKind::Measured:
                point.measured += count;
                break;
            case SeriesKind::Slow:
                point.slow += count;
                break;
            case SeriesKind::Moves:
            case SeriesKind::UnavailableMs:
                break;
            }
        });
        return point;
    }

    [[nodiscard]] ObjectiveReport reportObjective(const ServiceRoute& route, ObjectiveKind kind) const
    {
        const Objective& settings = route.settings.objective;
        const bool isLatency = kind == ObjectiveKind::Latency;
        ObjectiveReport result;
        result.kind = kind;
        result.target = isLatency ? settings.latencyShare : settings.availability;
        result.threshold = isLatency ? settings.latency : Milliseconds(0);
        for (std::size_t i = 0; i < burnWindowLengths.size(); ++i) {
            BurnWindow& window = result.windows[i];
            window.length = burnWindowLengths[i];
            if (samples.empty()) {
                continue;
            }
            const Sample& first = sampleBefore(window.length);
            const auto covered = std::chrono::duration_cast<Milliseconds>(samples.back().takenAt - first.takenAt);
            window.covered = std::min(covered, window.length);
            const BurnPoint point = burnPointBetween(first, samples.back(), route.settings.name);
            window.requests = isLatency ? point.measured : point.requests;
            window.bad = isLatency ? point.slow : point.unavailable;
        }
        evaluateObjective(result);
        return result;
    }

    /// Fills in the values that cover the 1 h window. Precondition: there is a sample.
    void addLastHour(ServiceBurn& burn, const ServiceRoute& route, const RoutingSnapshot& snapshot) const
    {
        std::map<std::string, std::uint64_t> requestsByServer;
        for (const GroupRoute& group : route.groups) {
            for (const auto& [partition, owner] : group.partitions) {
                if (owner.server) {
                    requestsByServer.try_emplace(snapshot.servers[*owner.server].id, 0);
                }
            }
            burn.partitions += group.overrides.size();
        }
        burn.partitions += route.settings.partitions;
        visitIncreases(sampleBefore(burnWindowLengths[1]), samples.back(), burn.service,
            [&](const SeriesKey& series, std::uint64_t count) {
                if (series.kind == SeriesKind::Moves) {
                    burn.partitionMoves += count;
                } else if (series.kind == SeriesKind::UnavailableMs) {
                    burn.unavailableSeconds += static_cast<double>(count) / 1000;
                } else if (series.kind == SeriesKind::Requests && count > 0) {
                    if (!series.server.empty()) {
                        requestsByServer[series.server] += count;
                    }
                    if (missesAvailability(series)) {
                        burn.causes.push_back({series.outcome, series.reason, series.server, count});
                    }
                }
            });
        for (const auto& [server, requests] : requestsByServer) {
            burn.loads.push_back({server, requests});
        }
        sortCauses(burn.causes);
        burn.imbalance = computeImbalance(burn.loads);
    }
};

BurnHistory::BurnHistory()
    : m_state(std::make_unique<State>())
{
}

BurnHistory::~BurnHistory() = default;

void BurnHistory::add(MonotonicTime now, const std::vector<MetricFamily>& metrics, const RoutingSnapshot& snapshot)
{
    State& state = *m_state;
    Sample sample;
    sample.takenAt = now;
    std::map<std::string, CounterValues> bucketsByService;
    for (const MetricFamily& family : metrics) {
        const bool isRequests = family.name == requestsMetric;
        const bool isMoves = family.name == movesMetric;
        const bool isLatency = family.name == latencyMetric && family.type == MetricType::Histogram;
        if (!isRequests && !isMoves && !isLatency && family.name != unavailableMetric) {
            continue;
        }
        for (const MetricSample& metric : family.samples) {
            const std::map<std::string, std::string> labels = parseMetricLabels(metric.labels);
            const std::string service = labelValue(labels, "service");
            if (isLatency) {
                CounterValues& buckets = bucketsByService[service];
                buckets.resize(std::max(buckets.size(), metric.bucketCounts.size()));
                for (std::size_t i = 0; i < metric.bucketCounts.size(); ++i) {
                    buckets[i] += metric.bucketCounts[i];
                }
                continue;
            }
            SeriesKey series;
            series.kind = isRequests ? SeriesKind::Requests : isMoves ? SeriesKind::Moves : SeriesKind::UnavailableMs;
            if (isRequests) {
                series.outcome = labelValue(labels, "outcome");
                series.reason = labelValue(labels, "reason");
                series.server = labelValue(labels, "server");
            }
            state.addToSeries(sample, service, series, static_cast<std::uint64_t>(metric.value));
        }
    }
    for (const auto& [service, buckets] : bucketsByService) {
        const auto it = snapshot.services.find(service);
        const Milliseconds threshold
            = it == snapshot.services.end() ? Objective().latency : it->second.settings.objective.latency;
        state.addLatencies(sample, service, buckets, threshold);
    }
    const std::size_t sampleCount = state.samples.size();
    if (sampleCount >= 2
        && state.samples[sampleCount - 1].takenAt - state.samples[sampleCount - 2].takenAt < sampleInterval) {
        state.samples.pop_back();
    }
    state.samples.push_back(std::move(sample));
    // Keep one sample at or before the start of the longest window, as the baseline of that window.
    const MonotonicTime windowStart = now - burnWindowLengths.back();
    while (state.samples.size() > 2 && state.samples[1].takenAt <= windowStart) {
        state.samples.pop_front();
    }
}

BurnReport BurnHistory::report(const std::string& instance, WallTime wall, const RoutingSnapshot& snapshot) const
{
    const State& state = *m_state;
    BurnReport result;
    result.instances.push_back(instance);
    result.at = wall;
    std::set<std::string> serviceNames;
    for (const auto& [name, route] : snapshot.services) {
        serviceNames.insert(name);
    }
    for (const std::string& name : serviceNames) {
        const ServiceRoute& route = snapshot.services.at(name);
        ServiceBurn burn;
        burn.service = name;
        burn.objectives = {state.reportObjective(route, ObjectiveKind::Availability),
            state.reportObjective(route, ObjectiveKind::Latency)};
        burn.points.resize(burnPointCount);
        if (!state.samples.empty()) {
            state.addLastHour(burn, route, snapshot);
            for (std::size_t i = 0; i < burnPointCount; ++i) {
                const auto intervalsBack = static_cast<Milliseconds::rep>(burnPointCount - i);
                burn.points[i] = state.burnPointBetween(state.sampleBefore(burnPointLength * intervalsBack),
                    state.sampleBefore(burnPointLength * (intervalsBack - 1)), name);
            }
        }
        result.services.push_back(std::move(burn));
    }
    return result;
}

} // namespace jasminespread
