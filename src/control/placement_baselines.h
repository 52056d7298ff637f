#pragma once

#include "control/placement.h"

namespace jasminespread {

/// @name Policies for comparison
/// @{
/// Plain rendezvous hashing: each partition belongs to its highest-ranked server, regardless of load.
[[nodiscard]] PlacementPolicy rendezvousPlacement();
/// Hashing with bounded loads: each partition belongs to its highest-ranked server that has less than @p factor times
/// the mean load.
[[nodiscard]] PlacementPolicy boundedLoadPlacement(double factor);
/// @}

} // namespace jasminespread
