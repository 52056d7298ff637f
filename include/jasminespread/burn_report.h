#pragma once

#include <jasminespread/enum_names.h>
#include <jasminespread/error.h>
#include <jasminespread/metrics_registry.h>
#include <jasminespread/routing_snapshot.h>
#include <jasminespread/time.h>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminespread {

/// Windows over which burn rates are computed. The first two form the fast alert, the last two the slow one.
inline constexpr std::array<Milliseconds, 4> burnWindowLengths {
    Milliseconds(300'000), Milliseconds(3'600'000), Milliseconds(1'800'000), Milliseconds(21'600'000)};
/// Burn rates that both windows of an alert must exceed. With a budget for 30 days, the fast one uses up 2% of it in
/// 1 h, the slow one 5% in 6 h.
inline constexpr double fastBurnRate = 14.4;
inline constexpr double slowBurnRate = 6;

/// Length and number of the BurnPoint intervals; together they span the longest window.
inline constexpr Milliseconds burnPointLength {300'000};
inline constexpr std::size_t burnPointCount = 72;

enum class ObjectiveKind : std::uint8_t { Availability, Latency };

inline constexpr std::array<EnumName<ObjectiveKind>, 2> objectiveKindNames {{
    {ObjectiveKind::Availability, "availability"},
    {ObjectiveKind::Latency, "latency"},
}};

enum class BurnState : std::uint8_t {
    NoData, ///< No requests in the longest window.
    Ok,
    SlowBurn, ///< The slow alert's windows both exceed slowBurnRate.
    FastBurn ///< The fast alert's windows both exceed fastBurnRate.
};

inline constexpr std::array<EnumName<BurnState>, 4> burnStateNames {{
    {BurnState::NoData, "no-data"},
    {BurnState::Ok, "ok"},
    {BurnState::SlowBurn, "slow-burn"},
    {BurnState::FastBurn, "fast-burn"},
}};

struct BurnWindow {
    Milliseconds length {0};
    Milliseconds covered {0}; ///< Shorter than the length while the instance has run for less time.
    std::uint64_t requests = 0;
    std::uint64_t bad = 0; ///< Requests that miss the objective.
    std::optional<double> burnRate; ///< Share of bad requests relative to the allowed share; absent without requests.

    bool operator==(const BurnWindow&) const = default;
};

struct ObjectiveReport {
    ObjectiveKind kind = ObjectiveKind::Availability;
    double target = 0; ///< Share of requests that must meet the objective.
    Milliseconds threshold {0}; ///< Latency objectives only.
    std::vector<BurnWindow> windows {burnWindowLengths.size()}; ///< One for each of burnWindowLengths.
    /// Share of the longest window's budget that is left; negative when overspent, absent without requests.
    std::optional<double> budgetLeft;
    BurnState state = BurnState::NoData;

    bool operator==(const ObjectiveReport&) const = default;
};

/// Requests of the 1 h window that missed the availability objective, by outcome, reason and server.
struct BurnCause {
    std::string outcome;
    std::string reason;
    std::string server; ///< Empty when no server was involved.
    std::uint64_t requests = 0;

    bool operator==(const BurnCause&) const = default;
};

struct ServerLoad {
    std::string server;
    std::uint64_t requests = 0; ///< In the 1 h window.

    bool operator==(const ServerLoad&) const = default;
};

/// One interval of the charts, burnPointLength long.
struct BurnPoint {
    std::uint64_t requests = 0;
    std::uint64_t unavailable = 0; ///< Requests that missed the availability objective.
    std::uint64_t measured = 0; ///< Requests with a latency.
    std::uint64_t slow = 0; ///< Of these, requests that missed the latency objective.

    bool operator==(const BurnPoint&) const = default;
};

struct ServiceBurn {
    std::string service;
    std::vector<ObjectiveReport> objectives;
    std::vector<BurnCause> causes; ///< Most frequent first.
    std::vector<ServerLoad> loads; ///< Servers that own a partition or got requests, sorted by id.
    std::optional<double> imbalance; ///< Largest load divided by the mean load; absent without requests.
    std::uint64_t partitions = 0;
    std::uint64_t partitionMoves = 0; ///< Changes of owner in the 1 h window.
    double unavailableSeconds = 0; ///< Partition-seconds without an owner in the 1 h window.
    std::vector<BurnPoint> points; ///< Oldest first; burnPointCount entries.

    bool operator==(const ServiceBurn&) const = default;
};

/// Error budget burn, server load, partition moves and unavailability per service, of one instance or of several.
struct BurnReport {
    std::vector<std::string> instances;
    WallTime at;
    std::vector<ServiceBurn> services;

    bool operator==(const BurnReport&) const = default;
};

/// Collects samples of an instance's metrics and computes reports from them. Keeps the samples that the longest window
/// needs. Not thread-safe.
class BurnHistory {
public:
    /// Minimum time between two stored samples.
    static constexpr Milliseconds sampleInterval {10'000};

    BurnHistory();
    ~BurnHistory();
    BurnHistory(const BurnHistory&) = delete;
    BurnHistory& operator=(const BurnHistory&) = delete;

    /// Adds a sample. It replaces the newest one if that followed its predecessor by less than sampleInterval, so that
    /// reports on demand do not enlarge the history. Latencies are compared with the objectives in @p snapshot.
    /// Precondition: times never go backwards.
    void add(MonotonicTime now, const std::vector<MetricFamily>& metrics, const RoutingSnapshot& snapshot);
    /// Computes the report of the services of @p snapshot up to the newest sample.
    [[nodiscard]] BurnReport report(const std::string& instance, WallTime wall, const RoutingSnapshot& snapshot) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// @name Reports
/// All functions are thread-safe. Decoding fails with InvalidInput.
/// @{
/// Merges reports that several instances made at about the same time. Requests are added up; of partition moves and of
/// the time without an owner, which every instance sees in full, the largest value counts.
[[nodiscard]] BurnReport mergeBurnReports(const std::vector<BurnReport>& reports);
[[nodiscard]] std::string encodeBurnReport(const BurnReport& report);
[[nodiscard]] Result<BurnReport> decodeBurnReport(std::string_view json);
[[nodiscard]] std::string renderBurnText(const BurnReport& report);
/// Renders one page without references to other files.
[[nodiscard]] std::string renderBurnHtml(const BurnReport& report);
/// @}

} // namespace jasminespread
