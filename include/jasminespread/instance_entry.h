#pragma once

#include <jasminespread/enum_names.h>

#include <cstdint>
#include <string>

namespace jasminespread {

enum class InstanceRole : std::uint8_t { Entry, Backend };

inline constexpr std::array<EnumName<InstanceRole>, 2> instanceRoleNames {{
    {InstanceRole::Entry, "entry"},
    {InstanceRole::Backend, "backend"},
}};

/// State of an instance in the platform's list, which may be out of date.
enum class ListedState : std::uint8_t { Live, Leaving, Gone };

inline constexpr std::array<EnumName<ListedState>, 3> listedStateNames {{
    {ListedState::Live, "live"},
    {ListedState::Leaving, "leaving"},
    {ListedState::Gone, "gone"},
}};

/// One row of the platform's instance list. Backend servers have only id, role and state.
struct InstanceEntry {
    std::string id;
    InstanceRole role = InstanceRole::Entry;
    std::string region;
    std::string failureDomain;
    ListedState state = ListedState::Live;
    std::string controlAddress; ///< IP address and port of the peer control socket.
    std::string forwardAddress; ///< IP address and port of worker 0's forward socket; worker i adds i.

    bool operator==(const InstanceEntry&) const = default;
};

} // namespace jasminespread
