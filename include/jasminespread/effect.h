#pragma once

#include <jasminespread/grant.h>
#include <jasminespread/instance_entry.h>
#include <jasminespread/log_event.h>
#include <jasminespread/routing_snapshot.h>

#include <peer.pb.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace jasminespread {

struct ReadInstanceList { };

struct ListObjects {
    std::string kind;
};

struct ReadObject {
    std::string kind;
    std::string name;
};

struct WriteObject {
    std::string kind;
    std::string name;
    std::uint64_t expectedVersion = 0;
    std::string value;
    std::string changeId;
};

struct SendPeerMessage {
    std::string to; ///< Instance id.
    wire::Envelope envelope; ///< The control loop fills in protocol version and sender.
};

/// Sets the known peers and how to reach them.
struct ConnectPeers {
    std::vector<InstanceEntry> peers;
};

struct SendGrants {
    GrantBatch batch;
};

struct PublishRouting {
    std::shared_ptr<const RoutingSnapshot> snapshot;
};

struct OperatorAnswer {
    std::uint64_t request = 0;
    unsigned status = 200; ///< HTTP status.
    std::string body; ///< JSON.
};

struct WriteLog {
    LogEvent event {};
    std::string details;
};

/// Adds to a counter, or sets a gauge.
struct RecordMetric {
    std::string name;
    std::string labels; ///< In exposition form without braces, for example `service="ledger"`.
    double value = 1;
    bool gauge = false;
};

/// Every group is handed over, or the shutdown timeout has passed: the process may exit.
struct ShutdownFinished { };

using Effect = std::variant<ReadInstanceList, ListObjects, ReadObject, WriteObject, SendPeerMessage, ConnectPeers,
    SendGrants, PublishRouting, OperatorAnswer, WriteLog, RecordMetric, ShutdownFinished>;

using Effects = std::vector<Effect>;

} // namespace jasminespread
