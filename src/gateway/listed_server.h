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
    Draining, ///< It leaves, and gets no new work.
    Missing ///< Its entry is missing right after the store was away, and may come back.
};

inline constexpr std::array<EnumName<ListedServerState>, 3> listedServerStateNames {{
    {ListedServerState::Ready, "ready"},
    {ListedServerState::Draining, "draining"},
    {ListedServerState::Missing, "missing"},
}};

/// One life of a backend server. A restart under the same id is another life, which holds nothing of the earlier one.
struct ServerLife {
    std::string id;
    std::uint64_t bornAt = 0; ///< Start of the process, in milliseconds of the Unix epoch; 0 when not stated.

    bool operator==(const ServerLife&) const = default;
    [[nodiscard]] bool operator<(const ServerLife& other) const
    {
        return std::tie(id, bornAt) < std::tie(other.id, other.bornAt);
    }
};

/// A backend server as discovery lists it. The list lags.
struct ListedServer {
    ServerLife life;
    std::string service;
    std::string address; ///< IP number and port.
    std::string failureDomain;
    std::string region;
    std::uint32_t slots = 1;
    ListedServerState state = ListedServerState::Ready;
    Milliseconds warmUpLeft {0}; ///< How much longer it is slow after its start, when it was listed.

    bool operator==(const ListedServer&) const = default;
};

using ServerList = std::vector<ListedServer>;

} // namespace jasminespread
