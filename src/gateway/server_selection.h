#pragma once

#include <jasminespread/time.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace jasminespread {

/// Where a backend server is, seen from this instance.
enum class Distance : std::uint8_t { SameFailureDomain, SameRegion, OtherRegion };

/// One backend server that could serve a request, with what this instance knows of it.
struct ServerCandidate {
    std::size_t index = 0; ///< The caller's own reference.
    Distance distance = Distance::SameFailureDomain;
    std::uint32_t slots = 1;
    std::uint32_t inFlight = 0; ///< Requests of this instance.
    std::uint32_t otherInstancesInFlight = 0; ///< Requests of other instances, as known a moment ago.
    std::uint32_t maxInFlight = 1; ///< This instance's share of the server's connections.
    double slowness = 1; ///< Latency relative to the typical one.
    double failureShare = 0; ///< From 0 to 1.
};

/// What a request needs.
struct RequestTiming {
    Milliseconds typicalLatency {0}; ///< Usual latency of such requests.
    Milliseconds latencyObjective {0};
    Milliseconds remainingTime {0}; ///< Time left until the caller gives up.
};

struct SelectedServer {
    std::size_t index = 0;
    Milliseconds expected {0}; ///< Latency that the choice is based on.
};

/// Latency to expect of @p candidate for one more request. Thread-safe.
[[nodiscard]] Milliseconds expectedLatency(const ServerCandidate& candidate, Milliseconds typicalLatency) noexcept;

/// Chooses the server with the lowest expected cost: latency, failures, and the price of distance. Answers an overload
/// of the near servers by going further away only when that gains more than the longer way costs. @p jitter in [0, 1)
/// breaks ties so that instances do not all choose the same server. Returns nothing when no candidate can take the
/// request. Thread-safe.
[[nodiscard]] std::optional<SelectedServer> selectServer(
    const std::vector<ServerCandidate>& candidates, const RequestTiming& timing, const std::vector<double>& jitter);

} // namespace jasminespread
