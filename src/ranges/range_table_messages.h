#pragma once

#include "ranges/key_range.h"

#include <jasminespread/time.h>

#include <peer.pb.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jasminespread {

/// Creates the table messages of a leader to each instance: the changes since the table that the instance has, or the
/// whole table if that one is no longer retained. Used for one term. Not thread-safe.
class RangeTableSender {
public:
    /// Adds a new table of a service. Precondition: its version is higher than those of all earlier tables of the
    /// service.
    void add(std::shared_ptr<const RangeTable> table);
    /// Applies the report of an instance, which lists the tables that it has. @p isNewProcess: tables sent before are
    /// lost.
    void onReport(
        const std::string& instance, const wire::InstanceReport& report, bool isNewProcess, MonotonicTime now);
    /// Returns the messages to send to an instance now, and marks them as sent.
    [[nodiscard]] std::vector<wire::RangeTableView> takeUpdates(const std::string& instance, MonotonicTime now);
    /// Messages to an instance were not sent: it has only what it reported.
    void onDropped(const std::string& instance);
    void forget(const std::string& instance) { m_instances.erase(instance); }

private:
    /// The table that an instance has reported or was sent.
    struct SentTable {
        std::uint64_t version = 0; ///< 0: no table of this term.
        std::uint64_t reportedVersion = 0; ///< The one that the instance last reported.
        MonotonicTime sentAt; ///< Unset if the instance reported it.
    };

    std::map<std::string, std::deque<std::shared_ptr<const RangeTable>>>
        m_tables; ///< By service; the last one is current.
    std::map<std::string, std::map<std::string, SentTable>> m_instances; ///< By instance and service.
};

/// Relation of a received table message to the table that the instance has.
enum class TableArrival : std::uint8_t {
    Newer,
    Older, ///< The same version or an older one.
    BaseMissing, ///< Changes to a table that the instance does not have.
    Unreadable ///< The ranges are out of order or exceed the highest key.
};

struct ReceivedTable {
    TableArrival arrival = TableArrival::Unreadable;
    std::shared_ptr<const RangeTable> table; ///< Set only if it is newer.
};

/// Decodes @p message. @p known is the instance's current table of the service, or nullptr. Thread-safe.
[[nodiscard]] ReceivedTable receiveTable(const wire::RangeTableView& message, const RangeTable* known);

} // namespace jasminespread
