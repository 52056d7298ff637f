#pragma once

#include "ownership_world.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jasminespread {

struct ExplorationSettings {
    std::size_t depth = 6; ///< Number of disruptions of an order.
    bool countsLateGrants = false; ///< See OwnershipLedger.
    bool copiesHideLateCalls = false; ///< See OwnershipWorldSettings, also for the next one.
    bool reusesShiftedConnections = true;
    std::size_t restores = 0; ///< Restores of the store, in addition to the other disruptions.
};

/// An order of disruptions under which a rule of ownership is broken.
struct BrokenOrder {
    std::uint64_t seed = 0;
    std::vector<Disruption> disruptions; ///< By time; without those that the failure does not need.
    OwnershipLedger::Violation violation;
    std::string description; ///< The disruptions, the violation and the last calls, one a line, with times.
};

/// Draws an order of disruptions from @p seed and plays it. An order that breaks a rule is shrunk: disruptions are
/// dropped while the same rule is still broken without them.
[[nodiscard]] std::optional<BrokenOrder> exploreOrder(std::uint64_t seed, const ExplorationSettings& settings);

} // namespace jasminespread
