#include "ownership_ledger.h"

#include <algorithm>
#include <optional>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr Milliseconds maxOverlap = 500ms;

std::optional<KeyRange> intersectionOf(KeyRange a, KeyRange b)
{
    const KeyRange common {std::max(a.first, b.first), std::min(a.last, b.last)};
    return common.first <= common.last ? std::optional(common) : std::nullopt;
}

std::string nameOfServer(std::size_t server) { return "server " + std::to_string(server); }

} // namespace

std::string_view nameOf(OwnershipLedger::Rule rule) noexcept
{
    switch (rule) {
    case OwnershipLedger::Rule::HeldTwice:
        return "two servers hold the same keys for over half a second";
    case OwnershipLedger::Rule::ServedTwice:
        return "two servers hold the same keys and both begin requests on them";
    case OwnershipLedger::Rule::LowFence:
        return "a fencing token that is not above those of other servers";
    case OwnershipLedger::Rule::GivenAtWork:
        return "a key on which another server is at work was given away";
    }
    return "";
}

OwnershipLedger::OwnershipLedger(const std::vector<double>& clockRates, bool countsLateGrants, IsRouted isRouted)
    : m_countsLateGrants(countsLateGrants)
    , m_isRouted(std::move(isRouted))
    , m_overlaps(clockRates.size() * clockRates.size())
    , m_servedOverlaps(m_overlaps.size())
{
    for (const double rate : clockRates) {
        Server& server = m_servers.emplace_back();
        server.clockRate = rate;
        server.fences.assign(keyCount, 0);
        server.formerFences.assign(keyCount, 0);
    }
}

GrantResult OwnershipLedger::grant(
    std::size_t server, const GrantRange& call, MonotonicTime arrivedAt, MonotonicTime now)
{
    Server& holder = m_servers[server];
    const auto first = holder.fences.begin() + static_cast<std::ptrdiff_t>(call.range.first);
    const auto end = holder.fences.begin() + static_cast<std::ptrdiff_t>(call.range.last) + 1;
    if (std::any_of(first, end, [&](std::uint64_t fence) { return fence > call.fence; })) {
        return GrantResult::Fenced;
    }
    const auto length = std::chrono::duration_cast<Milliseconds>(call.leaseTime * holder.clockRate);
    const bool takenLate = arrivedAt < now;
    if (arrivedAt + length > now) {
        checkFences(server, call, now);
        if (!takenLate || m_countsLateGrants) {
            checkWork(server, call, now);
        }
        Lease lease {call.range, call.fence, arrivedAt + length, takenLate};
        std::vector<Lease> remaining;
        for (const Lease& other : holder.leases) {
            if (other.until <= now || !intersectionOf(other.range, call.range)) {
                remaining.push_back(other);
                continue;
            }
            if (other.range.first < call.range.first) {
                remaining.push_back(
                    {{other.range.first, call.range.first - 1}, other.fence, other.until, other.takenLate});
            }
            if (other.range.last > call.range.last) {
                remaining.push_back(
                    {{call.range.last + 1, other.range.last}, other.fence, other.until, other.takenLate});
            }
            // A late renewal neither shortens a hold nor excuses it.
            if (other.until > lease.until || (takenLate && !other.takenLate)) {
                const std::optional<KeyRange> common = intersectionOf(other.range, call.range);
                remaining.push_back({*common, call.fence, other.until, other.takenLate});
            }
        }
        remaining.push_back(lease);
        holder.leases = std::move(remaining);
        for (std::uint32_t key = call.range.first; key <= call.range.last; ++key) {
            holder.formerFences[key] = std::max(holder.formerFences[key], call.fence);
        }
    }
    std::fill(first, end, call.fence);
    check(now);
    return GrantResult::Done;
}

/// A renewal of a token that this process already had on the key is the same grant.
void OwnershipLedger::checkFences(std::size_t server, const GrantRange& call, MonotonicTime now)
{
    const Server& holder = m_servers[server];
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        if (i == server) {
            continue;
        }
        for (std::uint32_t key = call.range.first; key <= call.range.last; ++key) {
            if (m_servers[i].formerFences[key] >= call.fence && holder.fences[key] != call.fence) {
                report(Rule::LowFence, now, {key, key},
                    nameOfServer(server) + " took it with " + std::to_string(call.fence) + " after " + nameOfServer(i)
                        + " had it with " + std::to_string(m_servers[i].formerFences[key]));
                break;
            }
        }
    }
}

void OwnershipLedger::checkWork(std::size_t server, const GrantRange& call, MonotonicTime now)
{
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        if (i == server) {
            continue;
        }
        for (const Work& work : m_servers[i].work) {
            const std::optional<KeyRange> common = intersectionOf(work.range, call.range);
            if (common && work.until > now && work.holdUntil > now && (!work.takenLate || m_countsLateGrants)) {
                report(Rule::GivenAtWork, now, *common,
                    nameOfServer(server) + " got it while " + nameOfServer(i) + " is at work after a release");
            }
        }
        for (const Lease& lease : m_servers[i].leases) {
            const std::optional<KeyRange> common = intersectionOf(lease.range, call.range);
            if (common && lease.until > now && (!lease.takenLate || m_countsLateGrants) && m_isRouted(i, *common)) {
                report(Rule::GivenAtWork, now, *common,
                    nameOfServer(server) + " got it while " + nameOfServer(i) + " holds it and gets requests");
            }
        }
    }
}

MonotonicTime OwnershipLedger::release(std::size_t server, KeyRange range, Milliseconds workTime, MonotonicTime now)
{
    Server& holder = m_servers[server];
    std::vector<Lease> remaining;
    for (const Lease& lease : holder.leases) {
        const std::optional<KeyRange> common = intersectionOf(lease.range, range);
        if (!common || lease.until <= now) {
            remaining.push_back(lease);
            continue;
        }
        holder.work.push_back({*common, now + workTime, lease.until, lease.takenLate});
        if (lease.range.first < range.first) {
            remaining.push_back({{lease.range.first, range.first - 1}, lease.fence, lease.until, lease.takenLate});
        }
        if (lease.range.last > range.last) {
            remaining.push_back({{range.last + 1, lease.range.last}, lease.fence, lease.until, lease.takenLate});
        }
    }
    holder.leases = std::move(remaining);
    std::erase_if(holder.work, [now](const Work& work) { return work.until <= now; });
    MonotonicTime answeredAt = now;
    for (const Work& work : holder.work) {
        if (intersectionOf(work.range, range)) {
            // Work that outlasts its lease ends with it.
            answeredAt = std::max(answeredAt, std::min(work.until, work.holdUntil));
        }
    }
    check(now);
    return answeredAt;
}

void OwnershipLedger::stop(std::size_t server)
{
    m_servers[server].leases.clear();
    m_servers[server].work.clear();
    m_servers[server].fences.assign(keyCount, 0);
}

void OwnershipLedger::check(MonotonicTime now)
{
    for (Server& server : m_servers) {
        std::erase_if(server.leases, [now](const Lease& lease) { return lease.until <= now; });
    }
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        for (std::size_t j = i + 1; j < m_servers.size(); ++j) {
            checkPair(i, j, now);
        }
    }
}

void OwnershipLedger::checkPair(std::size_t first, std::size_t second, MonotonicTime now)
{
    Overlap& held = m_overlaps[first * m_servers.size() + second];
    Overlap& served = m_servedOverlaps[first * m_servers.size() + second];
    bool anyHeld = false;
    bool anyServed = false;
    KeyRange heldRange;
    KeyRange servedRange;
    for (const Lease& a : m_servers[first].leases) {
        for (const Lease& b : m_servers[second].leases) {
            const std::optional<KeyRange> common = intersectionOf(a.range, b.range);
            if (!common) {
                continue;
            }
            anyServed = true;
            servedRange = *common;
            served.firstServes = served.firstServes || m_isRouted(first, *common);
            served.secondServes = served.secondServes || m_isRouted(second, *common);
            if (m_countsLateGrants || (!a.takenLate && !b.takenLate)) {
                anyHeld = true;
                heldRange = *common;
            }
        }
    }
    const std::string servers = nameOfServer(first) + " and " + nameOfServer(second);
    if (!anyServed) {
        served = Overlap();
    } else if (served.firstServes && served.secondServes) {
        report(Rule::ServedTwice, now, servedRange, servers);
    }
    if (!anyHeld) {
        held = Overlap();
    } else if (!held.present) {
        held = {true, now, false, false};
    } else if (now - held.since > maxOverlap) {
        report(Rule::HeldTwice, now, heldRange, servers);
    }
}

void OwnershipLedger::report(Rule rule, MonotonicTime now, KeyRange range, std::string details)
{
    m_violations.push_back({rule, now, range, std::move(details)});
}

std::uint32_t OwnershipLedger::heldKeys(MonotonicTime now) const
{
    std::vector<bool> held(keyCount, false);
    for (const Server& server : m_servers) {
        for (const Lease& lease : server.leases) {
            if (lease.until > now) {
                std::fill(held.begin() + static_cast<std::ptrdiff_t>(lease.range.first),
                    held.begin() + static_cast<std::ptrdiff_t>(lease.range.last) + 1, true);
            }
        }
    }
    return static_cast<std::uint32_t>(std::count(held.begin(), held.end(), true));
}

} // namespace jasminespread
