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

/// Decides what each instance is told about the owners of keys: the changes since the table that it has, or all of it
/// where that table is not kept any more. For the leader of one term. Not thread-safe.
class RangeTableSender {
public:
    /// Adds a newer table of its service. Precondition: its version is above those of all earlier ones of the service.
    void add(std::shared_ptr<const RangeTable> table);
    /// An instance told which tables it has. @p restarted: what was sent to it before is lost.
    void reported(const std::string& instance, const wire::InstanceReport& report, bool restarted, MonotonicTime now);
    /// What to send to an instance now; counts as sent.
    [[nodiscard]] std::vector<wire::RangeTableView> due(const std::string& instance, MonotonicTime now);
    void forget(const std::string& instance) { m_instances.erase(instance); }

private:
    /// A table that an instance has, or was sent.
    struct Known {
        std::uint64_t version = 0; ///< 0: none of this term.
        MonotonicTime sentAt; ///< Not set when the instance reported it.
    };

    std::map<std::string, std::deque<std::shared_ptr<const RangeTable>>>
        m_tables; ///< By service; the last one is current.
    std::map<std::string, std::map<std::string, Known>> m_instances; ///< By instance and service.
};

/// What a message about owners means for the table that an instance has.
enum class TableArrival : std::uint8_t {
    Newer,
    Older, ///< Nothing new.
    Missed, ///< Changes to a table that the instance does not have.
    Unreadable
};

struct ReceivedTable {
    TableArrival arrival = TableArrival::Unreadable;
    std::shared_ptr<const RangeTable> table; ///< Only where it is newer.
};

/// Decodes @p message. @p known is the table of its service that the instance has, or nullptr. Thread-safe.
[[nodiscard]] ReceivedTable receiveTable(const wire::RangeTableView& message, const RangeTable* known);

} // namespace jasminespread
