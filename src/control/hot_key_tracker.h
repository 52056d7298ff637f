#pragma once

#include <jasminespread/group_record.h>
#include <jasminespread/time.h>

#include <peer.pb.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace jasminespread {

/// Sums the rates of hot keys over all instances and decides which keys get a partition of their own.
class HotKeyTracker {
public:
    /// Group and owner of a key.
    struct KeyLocation {
        GroupName group;
        std::string owner;
    };
    /// Returns the location of a key; nothing when its group is not known.
    using LocateKey = std::function<std::optional<KeyLocation>(const std::string& service, const std::string& key)>;

    /// Stores the newest report of an instance in place of its earlier one for the same service.
    void receiveReport(MonotonicTime now, const std::string& instance, const wire::HotKeyReport& report);
    /// Starts to track a group that this instance begins to serve; the keys isolated in @p record stay isolated.
    void trackGroup(MonotonicTime now, const GroupRecord& record);
    /// Stops tracking a group that this instance no longer serves.
    void untrackGroup(const GroupName& group) { m_keys.erase(group); }
    /// Decides which keys to isolate or merge, at most once a second. @p servers: number of servers by service.
    void evaluate(MonotonicTime now, const LocateKey& locateKey, const std::map<std::string, std::size_t>& servers);
    /// Returns the reported requests/s of a key at the last evaluation.
    [[nodiscard]] double rateOf(const std::string& service, const std::string& key) const;
    /// Returns the reported requests/s of all hot keys of the service at the last evaluation.
    [[nodiscard]] double totalRateOf(const std::string& service) const;
    /// Returns the keys of the group that should have their own partitions.
    [[nodiscard]] std::set<std::string> isolatedKeys(const GroupName& group) const;

private:
    struct Report {
        MonotonicTime receivedAt;
        std::map<std::string, double> rates;
    };

    struct KeyState {
        bool isolated = false;
        /// Time since which the rate requires the opposite of the current state; nothing while it does not.
        std::optional<MonotonicTime> changeRequiredSince;
    };

    /// Reported requests/s of the hot keys of one service.
    struct ServiceRates {
        std::map<std::string, double> byKey;
        std::map<std::string, double> byServer;
        double total = 0;
    };

    void sumRates(MonotonicTime now, const LocateKey& locateKey);
    void evaluateKey(MonotonicTime now, const GroupName& group, const std::string& name, double rate, double hotRate);

    std::map<std::pair<std::string, std::string>, Report> m_reports; ///< By instance and service.
    std::map<GroupName, std::map<std::string, KeyState>> m_keys;
    std::map<std::string, ServiceRates> m_rates; ///< By service.
    std::optional<MonotonicTime> m_evaluatedAt;
};

} // namespace jasminespread
