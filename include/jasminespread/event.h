#pragma once

#include <jasminespread/configuration.h>
#include <jasminespread/grant.h>
#include <jasminespread/instance_entry.h>
#include <jasminespread/object_store.h>
#include <jasminespread/time.h>

#include <peer.pb.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jasminespread {

/// Makes the reducer act on the passed time. Arrives at least every 50 ms.
struct Tick { };

struct InstanceListReceived {
    InstanceListResult result;
};

struct StoreListed {
    std::string kind;
    MonotonicTime startedAt; ///< Time just before the call was sent.
    StoreListResult result;
};

struct StoreRead {
    std::string kind;
    std::string name;
    MonotonicTime startedAt;
    StoreReadResult result;
};

struct StoreWritten {
    std::string kind;
    std::string name;
    std::string changeId;
    MonotonicTime startedAt;
    StoreWriteResult result;
};

struct PeerMessageReceived {
    wire::Envelope envelope;
};

struct GrantAnswered {
    std::string server;
    GrantBatch batch; ///< The batch that was sent.
    MonotonicTime sentAt;
    std::optional<GrantReply> reply; ///< Absent when no answer or an unreadable one arrived.
};

/// Command that an operator gives to an instance.
enum class OperatorAction : std::uint8_t {
    Load, ///< Replaces the configuration by `configuration`, based on `baseRevision`.
    ShowConfiguration,
    ShowStatus,
    DeclareServerGone, ///< `argument` names the server.
    DeclareInstanceLost ///< `argument` names the instance.
};

inline constexpr std::array<EnumName<OperatorAction>, 5> operatorActionNames {{
    {OperatorAction::Load, "load"},
    {OperatorAction::ShowConfiguration, "show-configuration"},
    {OperatorAction::ShowStatus, "show-status"},
    {OperatorAction::DeclareServerGone, "declare-server-gone"},
    {OperatorAction::DeclareInstanceLost, "declare-instance-lost"},
}};

struct OperatorRequested {
    std::uint64_t request = 0; ///< Answered by an OperatorAnswer effect with the same number.
    OperatorAction action = OperatorAction::ShowStatus;
    std::optional<Configuration> configuration;
    std::uint64_t baseRevision = 0;
    std::string changeId;
    std::string argument;
};

/// Hottest keys that the local workers have seen since the last report.
struct HotKeysObserved {
    wire::HotKeyReport report;
};

/// A backend server or a primary refused a request that a worker had sent along the local route to a group.
struct RouteRefused {
    GroupName group;
};

/// A stop of the process was requested: it hands its groups over, then stops.
struct ShutdownRequested { };

using Event = std::variant<Tick, InstanceListReceived, StoreListed, StoreRead, StoreWritten, PeerMessageReceived,
    GrantAnswered, OperatorRequested, HotKeysObserved, RouteRefused, ShutdownRequested>;

struct TimedEvent {
    MonotonicTime now;
    WallTime wall;
    Event event;
};

} // namespace jasminespread
