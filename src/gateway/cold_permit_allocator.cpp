#include "gateway/cold_permit_allocator.h"

#include <algorithm>
#include <utility>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

/// How long a permit that was sent counts: it is used until it expires, and what was sent by it counts for another
/// second. The rest covers clocks that differ in speed.
constexpr Milliseconds inUseTime = coldPermitTime + 1000ms + 50ms;
/// Share of the earlier demand that counts with each report, so that the demand covers about the last second.
constexpr double demandDecay = 0.7;
constexpr double minDemand = 0.05;
/// Preference of the present holder of a share. Each move keeps a part of the rate unused for two seconds.
constexpr double holderPreference = 1.5;

} // namespace

void ColdPermitAllocator::onDemands(const std::string& instance, const ColdDemands& demands)
{
    for (auto& [server, shares] : m_runs) {
        const auto it = shares.find(instance);
        if (it != shares.end()) {
            it->second.demand *= demandDecay;
        }
    }
    for (const auto& [server, requests] : demands) {
        m_runs[server][instance].demand += requests;
    }
}

void ColdPermitAllocator::removeInstance(const std::string& instance)
{
    for (auto& [server, shares] : m_runs) {
        const auto it = shares.find(instance);
        if (it != shares.end()) {
            it->second.demand = 0;
            it->second.permit = 0;
        }
    }
}

void ColdPermitAllocator::allocate(const std::map<ServerIdentity, double>& rates, MonotonicTime now)
{
    for (auto& [server, shares] : m_runs) {
        for (auto& [instance, share] : shares) {
            std::erase_if(share.sentAt, [now](const auto& sent) { return now - sent.second > inUseTime; });
        }
        std::erase_if(
            shares, [](const auto& entry) { return entry.second.demand < minDemand && entry.second.sentAt.empty(); });
        const auto rate = rates.find(server);
        divide(shares, rate == rates.end() ? 0 : rate->second);
    }
    std::erase_if(m_runs, [](const auto& entry) { return entry.second.empty(); });
}

/// Gives out the rate in whole requests, each to the instance with the highest demand per share that it already has.
void ColdPermitAllocator::divide(Shares& shares, double rate) const
{
    // Two leaders that cannot reach each other stay within the bound together.
    const auto maxInUse = static_cast<std::uint32_t>((rate * m_limits.rateFactor + m_limits.slack) / 2);
    // A server with a rate below one would otherwise get nothing; the bound has room for one request.
    const std::uint32_t total = rate > 0 ? std::min(std::max(1U, static_cast<std::uint32_t>(rate)), maxInUse) : 0;
    std::map<std::string, std::uint32_t> before;
    std::uint32_t inUse = 0;
    for (auto& [instance, share] : shares) {
        before[instance] = std::exchange(share.permit, 0);
        inUse += share.inUse();
    }
    for (std::uint32_t i = 0; i < total; ++i) {
        Share* best = nullptr;
        double highest = 0;
        for (auto& [instance, share] : shares) {
            const bool needsMore = share.permit >= share.inUse();
            if (share.demand < minDemand || (needsMore && inUse >= maxInUse)) {
                continue;
            }
            const double preference = share.permit < before[instance] ? holderPreference : 1;
            const double priority = share.demand * preference / (share.permit + 1);
            if (priority > highest) {
                highest = priority;
                best = &share;
            }
        }
        if (best == nullptr) {
            return;
        }
        inUse += best->permit >= best->inUse() ? 1 : 0;
        ++best->permit;
    }
}

ColdPermits ColdPermitAllocator::take(const std::string& instance, MonotonicTime now)
{
    ColdPermits permits;
    for (auto& [server, shares] : m_runs) {
        const auto it = shares.find(instance);
        if (it != shares.end() && it->second.permit > 0) {
            it->second.sentAt[it->second.permit] = now;
            permits.push_back({server, it->second.permit});
        }
    }
    return permits;
}

} // namespace jasminespread
