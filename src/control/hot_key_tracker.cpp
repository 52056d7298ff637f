#include "control/hot_key_tracker.h"

#include <algorithm>

namespace jasminespread {
namespace {

constexpr Milliseconds evaluationInterval {1000};
constexpr Milliseconds reportValidity {15'000};
constexpr Milliseconds isolationDelay {30'000}; // Shorter peaks end before a split pays off.
constexpr Milliseconds mergeDelay {600'000};
constexpr double hotShare = 0.3; // Fraction of the rate of the key's server or of the mean server, whichever is higher.
constexpr double hotRateFloor = 20; // Requests/s; a slower key is not worth a partition even on an idle server.
constexpr double mergeShare = 0.5; // Fraction of the rate at which the key would be isolated.
constexpr std::size_t maxIsolatedPerGroup = 8;

} // namespace

void HotKeyTracker::receiveReport(MonotonicTime now, const std::string& instance, const wire::HotKeyReport& report)
{
    Report& stored = m_reports[{instance, report.service()}];
    stored = {now, {}};
    for (const wire::HotKeyRate& key : report.keys()) {
        stored.rates[key.key()] = key.requests_per_second();
    }
}

void HotKeyTracker::trackGroup(MonotonicTime now, const GroupRecord& record)
{
    std::map<std::string, KeyState>& keys = m_keys[record.group];
    keys.clear();
    for (const auto& [key, partition] : record.overrides) {
        keys[key] = {true, now};
    }
}

void HotKeyTracker::sumRates(MonotonicTime now, const LocateKey& locateKey)
{
    std::erase_if(m_reports, [&](const auto& entry) { return now - entry.second.receivedAt > reportValidity; });
    m_rates.clear();
    for (const auto& [source, report] : m_reports) {
        ServiceRates& serviceRates = m_rates[source.second];
        for (const auto& [key, rate] : report.rates) {
            serviceRates.byKey[key] += rate;
            serviceRates.total += rate;
        }
    }
    for (auto& [service, serviceRates] : m_rates) {
        for (const auto& [key, rate] : serviceRates.byKey) {
            if (const std::optional<KeyLocation> location = locateKey(service, key)) {
                serviceRates.byServer[location->owner] += rate;
            }
        }
    }
}

double HotKeyTracker::rateOf(const std::string& service, const std::string& key) const
{
    const auto serviceRates = m_rates.find(service);
    if (serviceRates == m_rates.end()) {
        return 0;
    }
    const auto rate = serviceRates->second.byKey.find(key);
    return rate != serviceRates->second.byKey.end() ? rate->second : 0;
}

double HotKeyTracker::totalRateOf(const std::string& service) const
{
    const auto serviceRates = m_rates.find(service);
    return serviceRates != m_rates.end() ? serviceRates->second.total : 0;
}

void HotKeyTracker::evaluate(
    MonotonicTime now, const LocateKey& locateKey, const std::map<std::string, std::size_t>& servers)
{
    if (m_evaluatedAt && now - *m_evaluatedAt < evaluationInterval) {
        return;
    }
    m_evaluatedAt = now;
    sumRates(now, locateKey);
    for (auto& [group, keys] : m_keys) {
        ServiceRates& serviceRates = m_rates[group.service];
        for (const auto& [key, rate] : serviceRates.byKey) {
            const std::optional<KeyLocation> location = locateKey(group.service, key);
            if (location && location->group == group) {
                keys.try_emplace(key);
            }
        }
        const auto count = servers.find(group.service);
        const double meanServerRate
            = count != servers.end() && count->second > 0 ? serviceRates.total / count->second : 0;
        for (auto& [key, state] : keys) {
            const std::optional<KeyLocation> location = locateKey(group.service, key);
            const double serverRate = location ? serviceRates.byServer[location->owner] : 0;
            const double hotRate = std::max(hotRateFloor, hotShare * std::max(serverRate, meanServerRate));
            evaluateKey(now, group, key, serviceRates.byKey[key], hotRate);
        }
        std::erase_if(
            keys, [&](const auto& entry) { return !entry.second.isolated && !entry.second.changeRequiredSince; });
    }
}

void HotKeyTracker::evaluateKey(
    MonotonicTime now, const GroupName& group, const std::string& name, double rate, double hotRate)
{
    KeyState& key = m_keys[group][name];
    const bool changeRequired = key.isolated ? rate < mergeShare * hotRate : rate >= hotRate;
    if (!changeRequired) {
        key.changeRequiredSince.reset();
        return;
    }
    key.changeRequiredSince = key.changeRequiredSince.value_or(now);
    const bool belowLimit = isolatedKeys(group).size() < maxIsolatedPerGroup;
    if (now - *key.changeRequiredSince >= (key.isolated ? mergeDelay : isolationDelay)
        && (key.isolated || belowLimit)) {
        key = {!key.isolated, std::nullopt};
    }
}

std::set<std::string> HotKeyTracker::isolatedKeys(const GroupName& group) const
{
    std::set<std::string> names;
    const auto it = m_keys.find(group);
    if (it != m_keys.end()) {
        for (const auto& [name, key] : it->second) {
            if (key.isolated) {
                names.insert(name);
            }
        }
    }
    return names;
}

} // namespace jasminespread
