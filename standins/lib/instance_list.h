#pragma once

#include <jasminespread/error.h>
#include <jasminespread/time.h>

#include <boost/json.hpp>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace jasminespread::standins {

/// The platform's list of instances, shown as it was some time ago. Not thread-safe.
class InstanceList {
public:
    explicit InstanceList(Milliseconds lag)
        : m_lag(lag)
    {
    }

    /// Replaces the whole list without lag, from a JSON array of rows. Fails with InvalidInput.
    [[nodiscard]] Result<void> load(std::string_view text);
    /// Adds or replaces the row @p id. Fails with InvalidInput when the row lacks a valid role or state.
    [[nodiscard]] Result<void> put(const std::string& id, boost::json::object row, MonotonicTime now);
    /// Removes the row @p id. Returns false when there is none.
    bool remove(const std::string& id, MonotonicTime now);
    /// Returns the rows as they were `lag` before @p now.
    [[nodiscard]] boost::json::array shown(MonotonicTime now);

private:
    using Rows = std::map<std::string, boost::json::object>;
    struct Snapshot {
        MonotonicTime since;
        Rows rows;
    };

    Milliseconds m_lag;
    std::deque<Snapshot> m_history {Snapshot {MonotonicTime::min(), {}}}; ///< Oldest first, never empty.
};

} // namespace jasminespread::standins
