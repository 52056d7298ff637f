#pragma once

#include <jasminespread/time.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace jasminespread {

/// Where a backend server is relative to this instance.
enum class Distance : std::uint8_t { SameFailureDomain, SameRegion, OtherRegion };

/// One backend server that could serve a request, with what this instance knows about it.
struct ServerCandidate {
    std::size_t index = 0; ///< Returned in SelectedServer::index; assigned by the calling code.
    Distance distance = Distance::SameFailureDomain;
    std::uint32_t slots = 1;
    std::uint32_t inFlight = 0; ///< Requests from this instance.
    std::uint32_t otherInstancesInFlight = 0; ///< Requests from other instances, as of their last reports.
    std::uint32_t maxInFlight = 1; ///< This instance's share of the server's connections.
    double slowness = 1; ///< Latency in multiples of the typical one.
    double failureShare = 0; ///< From 0 to 1.
};

/// Times that decide where and whether a request is sent.
struct RequestTiming {
    Milliseconds typicalLatency {0}; ///< Typical latency of requests of this route and service.
    Milliseconds latencyObjective {0};
    Milliseconds remainingTime {0}; ///< Until the request's deadline.
};

struct SelectedServer {
    std::size_t index = 0;
    Milliseconds expectedLatency {0}; ///< Expected latency of the request at this server.
};

/// Expected latency of one more request at @p candidate, including its queue. Thread-safe.
[[nodiscard]] Milliseconds estimateLatency(const ServerCandidate& candidate, Milliseconds typicalLatency) noexcept;

/// Chooses the server with the lowest expected cost, which combines latency, failures and distance: a more distant
/// server is chosen only when its lower latency outweighs the cost of the distance. @p jitter has one value in [0, 1)
/// per candidate; it breaks ties, so that instances do not all choose the same server. Returns nothing when every
/// candidate is at its maximum of requests in flight. Thread-safe.
[[nodiscard]] std::optional<SelectedServer> selectServer(
    const std::vector<ServerCandidate>& candidates, const RequestTiming& timing, const std::vector<double>& jitter);

} // namespace jasminespread
