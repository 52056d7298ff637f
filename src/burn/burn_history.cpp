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

/// Reasons of requests that the caller gave up or that no server could execute. They do not count for the availability
/// objective.
constexpr std::array<std::string_view, 14> callerReasons {reason::badPath, reason::missingKey, reason::badKey,
    reason::badRequestId, reason::badDeadline, reason::badRepeatable, reason::badClass, reason::badMethod,
    reason::bodyTooLarge, reason::headersTooLarge, reason::unknownService, reason::futureId, reason::idReused,
    reason::cancelled};

enum class SeriesKind : std::uint8_t { Requests, Measured, Slow, Moves, UnavailableMs };

/// A value that only grows, of one service.
struct Series {
    SeriesKind kind = SeriesKind::Requests;
    std::string outcome;
    std::string reason;
    std::string server;

    bool operator<(const Series& other) const
    {
        return std::tie(kind, outcome, reason, server)
            < std::tie(other.kind, other.outcome, other.reason, other.server);
    }
};

using Values = std::vector<std::uint64_t>;

struct Sample {
    MonotonicTime at;
    std::map<std::string, Values> services; ///< Values by index of the service's series.
};

bool countsForAvailability(const Series& series)
{
    return std::find(callerReasons.begin(), callerReasons.end(), series.reason) == callerReasons.end();
}

bool missesAvailability(const Series& series)
{
    return countsForAvailability(series) && series.outcome != enumName(outcomeNames, Outcome::Done)
        && series.reason != reason::refusedByRule;
}

std::string labelOf(const std::map<std::string, std::string>& labels, const char* name)
{
    const auto it = labels.find(name);
    return it == labels.end() ? std::string() : it->second;
}

} // namespace

struct BurnHistory::State {
    struct ServiceState {
        std::map<Series, std::size_t> series;
        std::vector<std::uint64_t> lastBuckets;
        double slow = 0;
    };

    std::map<std::string, ServiceState> services;
    std::deque<Sample> samples;

    void set(Sample& sample, const std::string& service, const Series& series, std::uint64_t value)
    {
        std::map<Series, std::size_t>& known = services[service].series;
        const std::size_t index = known.try_emplace(series, known.size()).first->second;
        Values& values = sample.services[service];
        values.resize(std::max(values.size(), index + 1));
        values[index] += value;
    }

    /// Counts the requests above the latency threshold among those recorded since the last sample. The bucket that
    /// holds the threshold counts in proportion.
    void addLatencies(Sample& sample, const std::string& service, const Values& buckets, Milliseconds threshold)
    {
        ServiceState& state = services[service];
        state.lastBuckets.resize(buckets.size());
        const double limit = std::chrono::duration<double>(threshold).count();
        double slow = 0;
        std::uint64_t measured = 0;
        for (std::size_t i = 0; i < buckets.size(); ++i) {
            const double count = static_cast<double>(buckets[i] - std::min(buckets[i], state.lastBuckets[i]));
            const double low = i == 0 ? 0 : MetricsRegistry::bucketUpperBound(i - 1);
            const double high = MetricsRegistry::bucketUpperBound(i);
            if (low >= limit) {
                slow += count;
            } else if (high > limit) {
                slow += std::isinf(high) ? count : count * (high - limit) / (high - low);
            }
            measured += buckets[i];
        }
        state.slow += slow;
        state.lastBuckets = buckets;
        set(sample, service, {SeriesKind::Measured, {}, {}, {}}, measured);
        set(sample, service, {SeriesKind::Slow, {}, {}, {}}, static_cast<std::uint64_t>(std::llround(state.slow)));
    }

    /// Returns the newest sample that is at least @p age older than the newest one, or else the oldest one.
    [[nodiscard]] const Sample& sampleBefore(Milliseconds age) const
    {
        const MonotonicTime time = samples.back().at - age;
        const auto it = std::upper_bound(samples.begin(), samples.end(), time,
            [](const MonotonicTime& limit, const Sample& sample) { return limit < sample.at; });
        return it == samples.begin() ? samples.front() : *std::prev(it);
    }

    [[nodiscard]] static std::uint64_t valueAt(const Sample& sample, const std::string& service, std::size_t index)
    {
        const auto it = sample.services.find(service);
        return it == sample.services.end() || index >= it->second.size() ? 0 : it->second[index];
    }

    /// Growth of every series of @p service from @p first to @p last.
    template <typename Visitor>
    void visitGrowth(const Sample& first, const Sample& last, const std::string& service, Visitor visitor) const
    {
        const auto it = services.find(service);
        if (it == services.end()) {
            return;
        }
        for (const auto& [series, index] : it->second.series) {
            const std::uint64_t before = valueAt(first, service, index);
            const std::uint64_t after = valueAt(last, service, index);
            visitor(series, after - std::min(before, after));
        }
    }

    [[nodiscard]] BurnPoint growth(const Sample& first, const Sample& last, const std::string& service) const
    {
        BurnPoint point;
        visitGrowth(first, last, service, [&](const Series& series, std::uint64_t count) {
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

    [[nodiscard]] ObjectiveReport objective(const ServiceRoute& route, ObjectiveKind kind) const
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
            const auto covered = std::chrono::duration_cast<Milliseconds>(samples.back().at - first.at);
            window.covered = std::min(covered, window.length);
            const BurnPoint point = growth(first, samples.back(), route.settings.name);
            window.requests = isLatency ? point.measured : point.requests;
            window.bad = isLatency ? point.slow : point.unavailable;
        }
        computeBurn(result);
        return result;
    }

    void addLastHour(ServiceBurn& burn, const ServiceRoute& route, const RoutingSnapshot& snapshot) const
    {
        std::map<std::string, std::uint64_t> loads;
        for (const GroupRoute& group : route.groups) {
            for (const auto& [partition, owner] : group.partitions) {
                if (owner.server) {
                    loads.try_emplace(snapshot.servers[*owner.server].id, 0);
                }
            }
            burn.partitions += group.overrides.size();
        }
        burn.partitions += route.settings.partitions;
        visitGrowth(sampleBefore(burnWindowLengths[1]), samples.back(), burn.service,
            [&](const Series& series, std::uint64_t count) {
                if (series.kind == SeriesKind::Moves) {
                    burn.partitionMoves += count;
                } else if (series.kind == SeriesKind::UnavailableMs) {
                    burn.unavailableSeconds += static_cast<double>(count) / 1000;
                } else if (series.kind == SeriesKind::Requests && count > 0) {
                    if (!series.server.empty()) {
                        loads[series.server] += count;
                    }
                    if (missesAvailability(series)) {
                        burn.causes.push_back({series.outcome, series.reason, series.server, count});
                    }
                }
            });
        for (const auto& [server, requests] : loads) {
            burn.loads.push_back({server, requests});
        }
        sortCauses(burn.causes);
        burn.imbalance = imbalanceOf(burn.loads);
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
    sample.at = now;
    std::map<std::string, Values> latencies;
    for (const MetricFamily& family : metrics) {
        const bool isRequests = family.name == requestsMetric;
        const bool isMoves = family.name == movesMetric;
        const bool isLatency = family.name == latencyMetric && family.type == MetricType::Histogram;
        if (!isRequests && !isMoves && !isLatency && family.name != unavailableMetric) {
            continue;
        }
        for (const MetricSample& metric : family.samples) {
            const std::map<std::string, std::string> labels = parseMetricLabels(metric.labels);
            const std::string service = labelOf(labels, "service");
            if (isLatency) {
                Values& buckets = latencies[service];
                buckets.resize(std::max(buckets.size(), metric.bucketCounts.size()));
                for (std::size_t i = 0; i < metric.bucketCounts.size(); ++i) {
                    buckets[i] += metric.bucketCounts[i];
                }
                continue;
            }
            Series series;
            series.kind = isRequests ? SeriesKind::Requests : isMoves ? SeriesKind::Moves : SeriesKind::UnavailableMs;
            if (isRequests) {
                series.outcome = labelOf(labels, "outcome");
                series.reason = labelOf(labels, "reason");
                series.server = labelOf(labels, "server");
            }
            state.set(sample, service, series, static_cast<std::uint64_t>(metric.value));
        }
    }
    for (const auto& [service, buckets] : latencies) {
        const auto it = snapshot.services.find(service);
        const Milliseconds threshold
            = it == snapshot.services.end() ? Objective().latency : it->second.settings.objective.latency;
        state.addLatencies(sample, service, buckets, threshold);
    }
    const std::size_t kept = state.samples.size();
    if (kept >= 2 && state.samples[kept - 1].at - state.samples[kept - 2].at < sampleInterval) {
        state.samples.pop_back();
    }
    state.samples.push_back(std::move(sample));
    // One sample at or before the start of the longest window stays.
    const MonotonicTime oldest = now - burnWindowLengths.back();
    while (state.samples.size() > 2 && state.samples[1].at <= oldest) {
        state.samples.pop_front();
    }
}

BurnReport BurnHistory::report(const std::string& instance, WallTime wall, const RoutingSnapshot& snapshot) const
{
    const State& state = *m_state;
    BurnReport result;
    result.instances.push_back(instance);
    result.at = wall;
    std::set<std::string> names;
    for (const auto& [name, route] : snapshot.services) {
        names.insert(name);
    }
    for (const std::string& name : names) {
        const ServiceRoute& route = snapshot.services.at(name);
        ServiceBurn burn;
        burn.service = name;
        burn.objectives
            = {state.objective(route, ObjectiveKind::Availability), state.objective(route, ObjectiveKind::Latency)};
        burn.points.resize(burnPointCount);
        if (!state.samples.empty()) {
            state.addLastHour(burn, route, snapshot);
            for (std::size_t i = 0; i < burnPointCount; ++i) {
                const auto age = static_cast<Milliseconds::rep>(burnPointCount - i);
                burn.points[i] = state.growth(
                    state.sampleBefore(burnPointLength * age), state.sampleBefore(burnPointLength * (age - 1)), name);
            }
        }
        result.services.push_back(std::move(burn));
    }
    return result;
}

} // namespace jasminespread
