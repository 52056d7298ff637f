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
    /// Returns the group and the owner of a key.
    struct KeyLocation {
        GroupName group;
        std::string owner;
    };
    using LocateKey = std::function<std::optional<KeyLocation>(const std::string& service, const std::string& key)>;

    /// Takes the newest report of an instance; it replaces the earlier one for the same service.
    void receiveReport(MonotonicTime now, const std::string& instance, const wire::HotKeyReport& report);
    /// Keeps the isolated keys of a group that this instance begins to serve.
    void trackGroup(MonotonicTime now, const GroupRecord& record);
    /// Forgets a group that this instance no longer serves.
    void untrackGroup(const GroupName& group) { m_keys.erase(group); }
    /// Decides anew, at most once a second. @p servers: number of servers that share the load of each service.
    void evaluate(MonotonicTime now, const LocateKey& locateKey, const std::map<std::string, std::size_t>& servers);
    /// Reported requests/s of a key at the last evaluation.
    [[nodiscard]] double rateOf(const std::string& service, const std::string& key) const;
    /// Reported requests/s of all hot keys of the service at the last evaluation.
    [[nodiscard]] double totalRateOf(const std::string& service) const;
    /// Keys of the group that shall have their own partitions.
    [[nodiscard]] std::set<std::string> isolatedKeys(const GroupName& group) const;

private:
    struct Report {
        MonotonicTime receivedAt;
        std::map<std::string, double> rates;
    };

    struct KeyState {
        bool isolated = false;
        /// Since when the rate asks for the opposite of the present state; nothing while it does not.
        std::optional<MonotonicTime> changeWantedSince;
    };

    /// Requests per second that are known of one service.
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
