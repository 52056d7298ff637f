#pragma once

#include <jasminespread/time.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace jasminespread {

/// What one client's connection makes the process hold.
struct ClientHolding {
    std::size_t listener = 0;
    std::uint64_t connection = 0;
    std::size_t endableBytes = 0; ///< Freed when its partial request is refused or its connection is closed.
    MonotonicTime progressedAt; ///< Last time that it sent or read something.
    bool inWork = false; ///< One of its requests was passed on and is not answered.
    bool lingering = false; ///< It has got its last answer.
};

/// What is to be freed.
struct ClientRelief {
    std::uint64_t bytes = 0;
    std::size_t connections = 0;
};

/// Selects the clients that give way when a process reaches its bounds. Reads no clock and does no I/O.
class ClientEvictionPolicy {
public:
    /// Returns those of @p clients to refuse or close, until @p needed is freed or none is left. For memory: those with
    /// the largest product of bytes and time without progress. For connections: those that have their last answer, then
    /// those without progress for the longest time; clients in work are never chosen.
    [[nodiscard]] static std::vector<ClientHolding> choose(
        std::vector<ClientHolding> clients, const ClientRelief& needed, MonotonicTime now);
};

} // namespace jasminespread
