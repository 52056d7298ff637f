#pragma once

#include "http/client_eviction.h"

#include <jasminespread/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace jasminespread {

/// Account of the memory and connections that clients make a process hold, for all its listeners. When a bound is
/// reached, it ends the clients that ClientEvictionPolicy selects. Not thread-safe.
class ClientAccount {
public:
    struct Bounds {
        std::uint64_t bytes = std::numeric_limits<std::uint64_t>::max();
        std::size_t connections = std::numeric_limits<std::size_t>::max();
    };

    /// Access to the clients of a listener.
    struct Listener {
        std::string name;
        /// Appends what each of its clients holds that can be ended now.
        std::function<void(std::vector<ClientHolding>&)> list;
        /// Refuses the partial request of a connection, or closes the connection; always closes it where @p closes.
        /// Ignores connections that have ended.
        std::function<void(std::uint64_t connection, bool closes)> end;
    };

    /// What a listener's clients hold.
    struct Usage {
        std::string name;
        std::uint64_t bytes = 0;
        std::size_t connections = 0;
        std::uint64_t endedForMemory = 0; ///< Clients ended since the start of the process.
        std::uint64_t endedForConnections = 0;
        std::uint64_t refusedRequests = 0; ///< Complete requests that were refused for lack of memory.
    };

    explicit ClientAccount(const Bounds& bounds)
        : m_bounds(bounds)
    {
    }
    ClientAccount(const ClientAccount&) = delete;
    ClientAccount& operator=(const ClientAccount&) = delete;

    /// Returns the number by which the listener is charged. Precondition: the listener is removed before its hooks
    /// become invalid.
    [[nodiscard]] std::size_t addListener(Listener listener);
    /// Releases all that the listener holds.
    void removeListener(std::size_t listener);
    void setBounds(const Bounds& bounds) { m_bounds = bounds; }

    /// Replaces the bytes of one connection: @p before by @p after.
    void charge(std::size_t listener, std::uint64_t before, std::uint64_t after);
    void openConnection(std::size_t listener);
    void closeConnection(std::size_t listener);
    /// Ends clients until @p extraBytes more fit. Returns whether they do. Clients are examined again only after the
    /// account has grown notably since an attempt that freed too little.
    bool makeRoomForBytes(std::uint64_t extraBytes, MonotonicTime now);
    /// Ends idle clients if no further connection fits, or if @p descriptorsExhausted. Returns whether one fits.
    bool makeRoomForConnection(bool descriptorsExhausted, MonotonicTime now);
    /// Counts a complete request that was refused for lack of memory.
    void countRefusedRequest(std::size_t listener);

    [[nodiscard]] std::uint64_t bytes() const noexcept { return m_bytes; }
    [[nodiscard]] std::size_t connections() const noexcept { return m_connections; }
    [[nodiscard]] std::vector<Usage> usage() const;

private:
    struct Entry {
        Listener hooks;
        Usage usage;
    };

    void end(const ClientRelief& needed, MonotonicTime now);
    void beginPressure(const char* resource);
    void endPressure();

    Bounds m_bounds;
    std::map<std::size_t, Entry> m_listeners; ///< By number.
    std::size_t m_nextListener = 0;
    std::uint64_t m_bytes = 0;
    std::size_t m_connections = 0;
    std::uint64_t m_nextAttemptBytes = 0; ///< Clients are not examined again below this number of bytes.
    std::uint64_t m_endedInPressure = 0;
    bool m_underPressure = false;
    bool m_ending = false; ///< end() runs.
};

} // namespace jasminespread
