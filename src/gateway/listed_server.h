#pragma once

#include <jasminespread/enum_names.h>
#include <jasminespread/time.h>

#include <array>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace jasminespread {

enum class ListedServerState : std::uint8_t {
    Ready,
    Draining, ///< Shutting down; gets no new work.
    Missing ///< Its entry was absent when the store came back after an outage, and may reappear.
};

inline constexpr std::array<EnumName<ListedServerState>, 3> listedServerStateNames {{
    {ListedServerState::Ready, "ready"},
    {ListedServerState::Draining, "draining"},
    {ListedServerState::Missing, "missing"},
}};

/// Identifies one run of a backend server. A restart under the same id has another identity and owns no keys of the
/// earlier run.
struct ServerIdentity {
    std::string id;
    std::uint64_t startedAtUnixMs = 0; ///< 0: not reported.

    bool operator==(const ServerIdentity&) const = default;
    [[nodiscard]] bool operator<(const ServerIdentity& other) const
    {
        return std::tie(id, startedAtUnixMs) < std::tie(other.id, other.startedAtUnixMs);
    }
};

/// A backend server as service discovery lists it. The list lags behind the actual state.
struct ListedServer {
    ServerIdentity identity;
    std::string service;
    std::string address; ///< IP address and port.
    std::string failureDomain;
    std::string region;
    std::uint32_t slots = 1;
    ListedServerState state = ListedServerState::Ready;
    Milliseconds warmUpLeft {0}; ///< Remaining slow-start time as of the listing.

    bool operator==(const ListedServer&) const = default;
};

using ServerList = std::vector<ListedServer>;

} // namespace jasminespread
