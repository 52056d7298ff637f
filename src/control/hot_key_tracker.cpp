#include "control/hot_key_tracker.h"

#include <algorithm>

namespace jasminespread {
namespace {

constexpr Milliseconds evaluationInterval {1000};
constexpr Milliseconds reportValidity {15'000};
constexpr Milliseconds isolateAfter {30'000}; // Shorter peaks are over before a split pays off.
constexpr Milliseconds mergeAfter {600'000};
constexpr double hotShare = 0.3; // Of the load of the key's server, or of the mean server if that is more.
constexpr double hotRateFloor = 20; // Requests/s; a slower key is not worth a partition even on an idle server.
constexpr double mergeShare = 0.5; // Of the rate at which the key would be isolated.
constexpr std::size_t maxIsolatedPerGroup = 8;

} // namespace

void HotKeyTracker::receive(MonotonicTime now, const std::string& instance, const wire::HotKeyReport& report)
{
    Report& stored = m_reports[{instance, report.service()}];
    stored = {now, {}};
    for (const wire::HotKeyRate& key : report.keys()) {
        stored.rates[key.key()] = key.requests_per_second();
    }
}

void HotKeyTracker::adopt(MonotonicTime now, const GroupRecord& record)
{
    std::map<std::string, Key>& keys = m_keys[record.group];
    keys.clear();
    for (const auto& [key, partition] : record.overrides) {
        keys[key] = {true, now};
    }
}

void HotKeyTracker::sumRates(MonotonicTime now, const PlaceOf& placeOf)
{
    std::erase_if(m_reports, [&](const auto& entry) { return now - entry.second.receivedAt > reportValidity; });
    m_loads.clear();
    for (const auto& [source, report] : m_reports) {
        Load& load = m_loads[source.second];
        for (const auto& [key, rate] : report.rates) {
            load.ofKey[key] += rate;
            load.total += rate;
        }
    }
    for (auto& [service, load] : m_loads) {
        for (const auto& [key, rate] : load.ofKey) {
            if (const std::optional<Place> place = placeOf(service, key)) {
                load.ofServer[place->owner] += rate;
            }
        }
    }
}

double HotKeyTracker::rateOf(const std::string& service, const std::string& key) const
{
    const auto load = m_loads.find(service);
    if (load == m_loads.end()) {
        return 0;
    }
    const auto rate = load->second.ofKey.find(key);
    return rate != load->second.ofKey.end() ? rate->second : 0;
}

double HotKeyTracker::totalRateOf(const std::string& service) const
{
    const auto load = m_loads.find(service);
    return load != m_loads.end() ? load->second.total : 0;
}

void HotKeyTracker::evaluate(
    MonotonicTime now, const PlaceOf& placeOf, const std::map<std::string, std::size_t>& servers)
{
    if (m_evaluatedAt && now - *m_evaluatedAt < evaluationInterval) {
        return;
    }
    m_evaluatedAt = now;
    sumRates(now, placeOf);
    for (auto& [group, keys] : m_keys) {
        Load& load = m_loads[group.service];
        for (const auto& [key, rate] : load.ofKey) {
            const std::optional<Place> place = placeOf(group.service, key);
            if (place && place->group == group) {
                keys.try_emplace(key);
            }
        }
        const auto count = servers.find(group.service);
        const double mean = count != servers.end() && count->second > 0 ? load.total / count->second : 0;
        for (auto& [key, state] : keys) {
            const std::optional<Place> place = placeOf(group.service, key);
            const double ofServer = place ? load.ofServer[place->owner] : 0;
            const double hotRate = std::max(hotRateFloor, hotShare * std::max(ofServer, mean));
            evaluateKey(now, group, key, load.ofKey[key], hotRate);
        }
        std::erase_if(keys, [&](const auto& entry) { return !entry.second.isolated && !entry.second.since; });
    }
}

void HotKeyTracker::evaluateKey(
    MonotonicTime now, const GroupName& group, const std::string& name, double rate, double hotRate)
{
    Key& key = m_keys[group][name];
    const bool wantsChange = key.isolated ? rate < mergeShare * hotRate : rate >= hotRate;
    if (!wantsChange) {
        key.since.reset();
        return;
    }
    key.since = key.since.value_or(now);
    const bool room = isolated(group).size() < maxIsolatedPerGroup;
    if (now - *key.since >= (key.isolated ? mergeAfter : isolateAfter) && (key.isolated || room)) {
        key = {!key.isolated, std::nullopt};
    }
}

std::set<std::string> HotKeyTracker::isolated(const GroupName& group) const
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
