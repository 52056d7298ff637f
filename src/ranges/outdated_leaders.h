#pragma once

#include "ranges/range_event.h"

#include <jasminespread/time.h>

#include <map>
#include <string>
#include <vector>

namespace jasminespread {

/// Instances that still act as leader of an earlier term, because they cannot read the stored record. Whoever gets a
/// heartbeat of such an instance tells it who leads now. Reads no clock and does no I/O. Not thread-safe.
class OutdatedLeaders {
public:
    /// A heartbeat of an earlier term arrived from @p instance, whose control address is @p address. Returns whether
    /// the instance or its address is new.
    bool onHeartbeat(const std::string& instance, const std::string& address, MonotonicTime now);
    /// A message to @p instance was not sent, because the connection to it is not open yet.
    void onMessageDropped(const std::string& instance);
    /// Forgets instances without a recent heartbeat. Returns whether there were any.
    bool removeSilent(MonotonicTime now);
    /// Returns the instances that are to be told now; each one is returned again only after its next heartbeat, or
    /// after onMessageDropped().
    [[nodiscard]] std::vector<std::string> takeUntold();
    /// Adds the instances to @p peers, except those that it has already.
    void addTo(std::vector<RangePeer>& peers) const;

private:
    struct Leader {
        std::string address;
        MonotonicTime lastHeartbeatAt;
        bool untold = false;
    };

    std::map<std::string, Leader> m_leaders; ///< By instance id.
};

} // namespace jasminespread
