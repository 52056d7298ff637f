#include "ownership_exploration.h"

#include <algorithm>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr Milliseconds firstDisruption = 3000ms;
constexpr int disruptedMs = 10'000;
constexpr Milliseconds runTime = 22'000ms;
constexpr int nearMs = 1500; ///< Half of the disruptions follow the previous one within this time.
constexpr std::size_t printedSteps = 40;

int chooseUpTo(std::mt19937_64& random, int max) { return std::uniform_int_distribution<int>(0, max)(random); }

Milliseconds chooseLength(std::mt19937_64& random, Disruption::Kind kind)
{
    switch (kind) {
    case Disruption::Kind::ServerRestarts:
        return Milliseconds(50 + chooseUpTo(random, chooseUpTo(random, 1) == 0 ? 500 : 4800));
    case Disruption::Kind::RegistrationLate:
        return Milliseconds(1000 + chooseUpTo(random, 5000));
    default:
        return Milliseconds(300 + chooseUpTo(random, 6700));
    }
}

std::vector<Disruption> drawDisruptions(std::mt19937_64& random, std::size_t depth, std::size_t restores)
{
    std::vector<Disruption> disruptions;
    Milliseconds previous = firstDisruption;
    for (std::size_t i = 0; i < depth; ++i) {
        Disruption& disruption = disruptions.emplace_back();
        disruption.kind = static_cast<Disruption::Kind>(chooseUpTo(random, drawnKindCount - 1));
        disruption.at = chooseUpTo(random, 1) == 0 ? previous + Milliseconds(chooseUpTo(random, nearMs))
                                                   : firstDisruption + Milliseconds(chooseUpTo(random, disruptedMs));
        previous = disruption.at;
        disruption.length = chooseLength(random, disruption.kind);
        const bool concernsServer = disruption.kind <= Disruption::Kind::AnswersDoubled;
        const std::size_t targets = concernsServer ? OwnershipWorld::serverCount : OwnershipWorld::instanceCount;
        disruption.target = static_cast<std::size_t>(chooseUpTo(random, static_cast<int>(targets) - 1));
        disruption.seed = random();
    }
    for (std::size_t i = 0; i < restores; ++i) {
        Disruption& disruption = disruptions.emplace_back();
        disruption.kind = Disruption::Kind::StoreRestored;
        disruption.at = firstDisruption + Milliseconds(chooseUpTo(random, disruptedMs));
        disruption.length = Milliseconds(chooseUpTo(random, 5000));
        disruption.target = static_cast<std::size_t>(chooseUpTo(random, OwnershipWorld::instanceCount - 1));
        disruption.seed = random();
    }
    std::stable_sort(
        disruptions.begin(), disruptions.end(), [](const Disruption& a, const Disruption& b) { return a.at < b.at; });
    return disruptions;
}

std::optional<OwnershipLedger::Violation> play(
    const OwnershipWorldSettings& settings, const std::vector<Disruption>& disruptions)
{
    OwnershipWorld world(settings, disruptions);
    world.run(runTime);
    return world.violations().empty() ? std::nullopt : std::optional(world.violations().front());
}

std::vector<Disruption> shrink(
    const OwnershipWorldSettings& settings, std::vector<Disruption> disruptions, OwnershipLedger::Rule rule)
{
    for (std::size_t i = 0; i < disruptions.size();) {
        std::vector<Disruption> fewer = disruptions;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
        const std::optional<OwnershipLedger::Violation> violation = play(settings, fewer);
        if (violation && violation->rule == rule) {
            disruptions = std::move(fewer);
            i = 0;
        } else {
            ++i;
        }
    }
    return disruptions;
}

} // namespace

std::optional<BrokenOrder> exploreOrder(std::uint64_t seed, const ExplorationSettings& settings)
{
    std::mt19937_64 random(seed);
    OwnershipWorldSettings worldSettings;
    worldSettings.seed = seed;
    worldSettings.hotKeys = chooseUpTo(random, 1) == 0;
    worldSettings.countsLateGrants = settings.countsLateGrants;
    worldSettings.copiesHideLateCalls = settings.copiesHideLateCalls;
    worldSettings.reusesShiftedConnections = settings.reusesShiftedConnections;
    const std::vector<Disruption> drawn = drawDisruptions(random, settings.depth, settings.restores);
    const std::optional<OwnershipLedger::Violation> violation = play(worldSettings, drawn);
    if (!violation) {
        return std::nullopt;
    }
    BrokenOrder broken;
    broken.seed = seed;
    broken.disruptions = shrink(worldSettings, drawn, violation->rule);
    worldSettings.traced = true;
    OwnershipWorld world(worldSettings, broken.disruptions);
    world.run(runTime);
    broken.violation = world.violations().front();
    broken.description = "seed " + std::to_string(seed) + (worldSettings.hotKeys ? ", hot keys" : "") + "\n";
    for (const Disruption& disruption : broken.disruptions) {
        broken.description += "  " + describe(disruption) + "\n";
    }
    broken.description += "broken at " + std::to_string(world.elapsed(broken.violation.at).count()) + " ms, keys "
        + std::to_string(broken.violation.range.first) + "-" + std::to_string(broken.violation.range.last) + ": "
        + std::string(nameOf(broken.violation.rule)) + " (" + broken.violation.details + ")\nlast steps:\n";
    const std::vector<std::string>& trace = world.trace();
    for (std::size_t i = trace.size() - std::min(trace.size(), printedSteps); i < trace.size(); ++i) {
        broken.description += "  " + trace[i] + "\n";
    }
    return broken;
}

} // namespace jasminespread
