#include "burn/burn_arithmetic.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <tuple>

namespace jasminespread {

void evaluateObjective(ObjectiveReport& objective)
{
    const double allowedShare = 1 - objective.target;
    for (BurnWindow& window : objective.windows) {
        window.burnRate.reset();
        if (window.requests == 0) {
            continue;
        }
        const double badShare = static_cast<double>(window.bad) / static_cast<double>(window.requests);
        if (window.bad == 0) {
            window.burnRate = 0;
        } else if (allowedShare > 0) {
            window.burnRate = badShare / allowedShare;
        } else {
            // A target of 100% leaves no error budget, so a single bad request makes the burn rate unbounded.
            window.burnRate = std::numeric_limits<double>::max();
        }
    }
    const std::vector<BurnWindow>& windows = objective.windows;
    const auto exceedsRate
        = [&](std::size_t window, double rate) { return windows[window].burnRate.value_or(0) > rate; };
    objective.budgetLeft.reset();
    if (windows[3].burnRate) {
        objective.budgetLeft = 1 - *windows[3].burnRate;
    }
    if (!windows[3].burnRate) {
        objective.state = BurnState::NoData;
    } else if (exceedsRate(0, fastBurnRate) && exceedsRate(1, fastBurnRate)) {
        objective.state = BurnState::FastBurn;
    } else if (exceedsRate(2, slowBurnRate) && exceedsRate(3, slowBurnRate)) {
        objective.state = BurnState::SlowBurn;
    } else {
        objective.state = BurnState::Ok;
    }
}

void sortCauses(std::vector<BurnCause>& causes)
{
    std::sort(causes.begin(), causes.end(), [](const BurnCause& a, const BurnCause& b) {
        return std::tie(b.requests, a.outcome, a.reason, a.server)
            < std::tie(a.requests, b.outcome, b.reason, b.server);
    });
}

std::optional<double> computeImbalance(const std::vector<ServerLoad>& loads)
{
    std::uint64_t sum = 0;
    std::uint64_t largest = 0;
    for (const ServerLoad& load : loads) {
        sum += load.requests;
        largest = std::max(largest, load.requests);
    }
    if (sum == 0) {
        return std::nullopt;
    }
    return static_cast<double>(largest) * static_cast<double>(loads.size()) / static_cast<double>(sum);
}

namespace {

void mergeObjectives(std::vector<ObjectiveReport>& into, const std::vector<ObjectiveReport>& from)
{
    for (const ObjectiveReport& objective : from) {
        const auto it = std::find_if(
            into.begin(), into.end(), [&](const ObjectiveReport& other) { return other.kind == objective.kind; });
        if (it == into.end()) {
            into.push_back(objective);
            continue;
        }
        for (std::size_t i = 0; i < objective.windows.size(); ++i) {
            BurnWindow& window = it->windows[i];
            window.requests += objective.windows[i].requests;
            window.bad += objective.windows[i].bad;
            window.covered = std::max(window.covered, objective.windows[i].covered);
        }
        evaluateObjective(*it);
    }
}

void mergeService(ServiceBurn& into, const ServiceBurn& from)
{
    mergeObjectives(into.objectives, from.objectives);
    std::map<std::tuple<std::string, std::string, std::string>, std::uint64_t> causes;
    for (const std::vector<BurnCause>* list :
        std::initializer_list<const std::vector<BurnCause>*> {&into.causes, &from.causes}) {
        for (const BurnCause& cause : *list) {
            causes[{cause.outcome, cause.reason, cause.server}] += cause.requests;
        }
    }
    into.causes.clear();
    for (const auto& [key, requests] : causes) {
        into.causes.push_back({std::get<0>(key), std::get<1>(key), std::get<2>(key), requests});
    }
    sortCauses(into.causes);
    std::map<std::string, std::uint64_t> loads;
    for (const std::vector<ServerLoad>* list :
        std::initializer_list<const std::vector<ServerLoad>*> {&into.loads, &from.loads}) {
        for (const ServerLoad& load : *list) {
            loads[load.server] += load.requests;
        }
    }
    into.loads.clear();
    for (const auto& [server, requests] : loads) {
        into.loads.push_back({server, requests});
    }
    into.imbalance = computeImbalance(into.loads);
    into.partitions = std::max(into.partitions, from.partitions);
    into.partitionMoves = std::max(into.partitionMoves, from.partitionMoves);
    into.unavailableSeconds = std::max(into.unavailableSeconds, from.unavailableSeconds);
    into.points.resize(std::max(into.points.size(), from.points.size()));
    for (std::size_t i = 0; i < from.points.size(); ++i) {
        into.points[i].requests += from.points[i].requests;
        into.points[i].unavailable += from.points[i].unavailable;
        into.points[i].measured += from.points[i].measured;
        into.points[i].slow += from.points[i].slow;
    }
}

} // namespace

BurnReport mergeBurnReports(const std::vector<BurnReport>& reports)
{
    BurnReport result;
    std::map<std::string, ServiceBurn> services;
    std::set<std::string> instances;
    for (const BurnReport& report : reports) {
        instances.insert(report.instances.begin(), report.instances.end());
        result.at = std::max(result.at, report.at);
        for (const ServiceBurn& burn : report.services) {
            const auto [it, isNew] = services.try_emplace(burn.service, burn);
            if (!isNew) {
                mergeService(it->second, burn);
            }
        }
    }
    result.instances.assign(instances.begin(), instances.end());
    for (auto& [name, burn] : services) {
        result.services.push_back(std::move(burn));
    }
    return result;
}

} // namespace jasminespread
