#pragma once

#include <jasminespread/enum_names.h>
#include <jasminespread/instance_entry.h>
#include <jasminespread/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jasminespread {

/// Result of one call to the platform's object API.
enum class StoreStatus : std::uint8_t {
    Ok,
    NotFound,
    Conflict, ///< A conditional write found another version; nothing was written.
    Unavailable, ///< Not connected, or refused before the call was executed; nothing was written.
    Unknown ///< The answer was lost; a write may have taken effect.
};

inline constexpr std::array<EnumName<StoreStatus>, 5> storeStatusNames {{
    {StoreStatus::Ok, "ok"},
    {StoreStatus::NotFound, "not-found"},
    {StoreStatus::Conflict, "conflict"},
    {StoreStatus::Unavailable, "unavailable"},
    {StoreStatus::Unknown, "unknown"},
}};

struct StoredObject {
    std::string name;
    std::uint64_t version = 0; ///< Increases across all objects of the store; 0 means that the object does not exist.
    std::string value;
};

struct StoreListResult {
    StoreStatus status = StoreStatus::Unavailable;
    std::uint64_t version = 0; ///< Highest version that the answer covers.
    std::vector<StoredObject> objects;
};

struct StoreReadResult {
    StoreStatus status = StoreStatus::Unavailable;
    StoredObject object;
    /// Era of the store that answered; it increases each time the store is restored from an earlier copy. Versions of
    /// different eras cannot be compared.
    std::uint64_t era = 0;
};

struct StoreWriteResult {
    StoreStatus status = StoreStatus::Unavailable;
    std::uint64_t version = 0; ///< With Ok: the new version.
    std::uint64_t era = 0; ///< Era of the store that answered.
};

struct InstanceListResult {
    StoreStatus status = StoreStatus::Unavailable;
    std::vector<InstanceEntry> entries;
};

/// The platform's object API as asynchronous functions. Each one starts a call and returns at once; the callback runs
/// once, later, on the main context of the calling thread. All functions must be called from one thread.
struct ObjectStore {
    std::function<void(const std::string& kind, std::function<void(StoreListResult)>)> list;
    std::function<void(const std::string& kind, const std::string& name, std::function<void(StoreReadResult)>)> read;
    /// Conditional write: @p expectedVersion 0 creates the object, any other value replaces exactly that version.
    std::function<void(const std::string& kind, const std::string& name, std::uint64_t expectedVersion,
        const std::string& value, std::function<void(StoreWriteResult)>)>
        write;
    std::function<void(std::function<void(InstanceListResult)>)> instances;
};

} // namespace jasminespread
