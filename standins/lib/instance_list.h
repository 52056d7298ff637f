#pragma once

#include <jasminespread/error.h>
#include <jasminespread/time.h>

#include <boost/json.hpp>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace jasminespread::standins {

/// The platform's list of instances. Changes become visible after a fixed lag. Not thread-safe.
class InstanceList {
public:
    explicit InstanceList(Milliseconds lag)
        : m_lag(lag)
    {
    }

    /// Replaces the whole list with a JSON array of rows, visible at once. Fails with InvalidInput.
    [[nodiscard]] Result<void> load(std::string_view text);
    /// Adds or replaces the row @p id. Fails with InvalidInput if the row lacks a valid role or state.
    [[nodiscard]] Result<void> put(const std::string& id, boost::json::object row, MonotonicTime now);
    /// Removes the row @p id. Returns false if it does not exist.
    bool remove(const std::string& id, MonotonicTime now);
    /// Returns the rows as they were one lag before @p now. Discards older snapshots, so @p now must not decrease.
    [[nodiscard]] boost::json::array visibleRows(MonotonicTime now);

private:
    using Rows = std::map<std::string, boost::json::object>;
    struct Snapshot {
        MonotonicTime validFrom;
        Rows rows;
    };

    Milliseconds m_lag;
    std::deque<Snapshot> m_history {Snapshot {MonotonicTime::min(), {}}}; ///< Oldest first, never empty.
};

} // namespace jasminespread::standins
