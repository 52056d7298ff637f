#pragma once

#include <cstdint>

namespace jasminespread {

enum class ErrorKind : std::uint8_t;
enum class LogEvent : std::uint16_t;
enum class Outcome : std::uint8_t;
enum class StoreStatus : std::uint8_t;

struct BackendRequest;
struct BackendResult;
struct BackendTransport;
struct Configuration;
struct Error;
struct GrantBatch;
struct GrantReply;
struct GroupName;
struct GroupRecord;
struct InstanceEntry;
struct InstanceSettings;
struct ObjectStore;
struct RoutingSnapshot;
struct StoredObject;
struct TimedEvent;

class ControlReducer;
class MetricsRegistry;
class RequestId;
class RoutingTable;

} // namespace jasminespread
