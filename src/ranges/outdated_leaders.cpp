#include "ranges/outdated_leaders.h"

#include <algorithm>

namespace jasminespread {
namespace {

/// Several heartbeat intervals: one heartbeat may be lost.
constexpr Milliseconds maxSilence {1000};

} // namespace

bool OutdatedLeaders::onHeartbeat(const std::string& instance, const std::string& address, MonotonicTime now)
{
    Leader& leader = m_leaders[instance];
    const bool isNew = leader.address != address;
    leader = {address, now, true};
    return isNew;
}

void OutdatedLeaders::onMessageDropped(const std::string& instance)
{
    const auto it = m_leaders.find(instance);
    if (it != m_leaders.end()) {
        it->second.untold = true;
    }
}

bool OutdatedLeaders::removeSilent(MonotonicTime now)
{
    return std::erase_if(m_leaders, [now](const auto& entry) {
        return now - entry.second.lastHeartbeatAt > maxSilence;
    }) > 0;
}

std::vector<std::string> OutdatedLeaders::takeUntold()
{
    std::vector<std::string> untold;
    for (auto& [instance, leader] : m_leaders) {
        if (leader.untold) {
            leader.untold = false;
            untold.push_back(instance);
        }
    }
    return untold;
}

void OutdatedLeaders::addTo(std::vector<RangePeer>& peers) const
{
    for (const auto& [instance, leader] : m_leaders) {
        const auto isSame = [&id = instance](const RangePeer& peer) { return peer.id == id; };
        if (std::none_of(peers.begin(), peers.end(), isSame)) {
            peers.push_back({instance, leader.address});
        }
    }
}

} // namespace jasminespread
