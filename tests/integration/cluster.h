#pragma once

#include "callers.h"
#include "checker.h"
#include "http_call.h"
#include "process.h"

#include <jasminespread/configuration.h>

#include <boost/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jasminespread::test {

struct ClusterOptions {
    unsigned entries = 3;
    unsigned servers = 3;
    Milliseconds lease {2000};
    bool proxiesBetweenEntries = false; ///< Routes all traffic between entry instances through fault proxies.
    bool proxiesToServers = false; ///< Places a fault proxy in front of each backend server, for grants and requests.
    unsigned serverSlots = 16; ///< Concurrent requests per backend server.
    unsigned serviceTimeMs = 3; ///< Time that a backend server takes per request.
    std::vector<WorkClass> classes {{"default", 1}};
    std::vector<RefusalRule> refusalRules;
    std::string entrySettings; ///< Lines added to the settings of each entry daemon.
};

/// Runs a platform stand-in, entry daemons and backend servers as processes, each on its own loopback address.
/// The constructor returns when every entry instance serves all keys of Callers, and throws when the cluster cannot
/// start.
class Cluster {
public:
    static constexpr const char* service = "readings";

    explicit Cluster(ClusterOptions options);

    [[nodiscard]] std::string entryName(unsigned index) const { return "entry-" + std::to_string(index + 1); }
    [[nodiscard]] Process& entry(const std::string& name) { return *m_entries.at(name); }
    [[nodiscard]] Process& server(const std::string& name) { return *m_servers.at(name); }
    [[nodiscard]] Callers::Entry callerEntry(const std::string& name) const;
    [[nodiscard]] std::vector<Callers::Entry> callerEntries() const;

    [[nodiscard]] Configuration configuration() const;
    /// Sends @p configuration to the operator API of @p entry as a change of revision @p base.
    [[nodiscard]] HttpResponse loadConfiguration(HttpClient& http, const std::string& entry,
        const Configuration& configuration, std::uint64_t base, const std::string& changeId) const;
    /// Configuration revision in force at @p entry; 0 when the instance does not answer.
    [[nodiscard]] std::uint64_t revisionAt(const std::string& entry);
    /// Status that @p entry reports for the group of @p key; throws when it reports none.
    [[nodiscard]] boost::json::object groupOf(const std::string& entry, const std::string& key);
    /// Backend server that owns @p key according to @p entry; throws when there is none.
    [[nodiscard]] std::string ownerOf(const std::string& entry, const std::string& key);

    /// Replaces the faults that the platform stand-in injects by @p body (JSON).
    void setPlatformFaults(const std::string& body);
    /// Sets the state of an instance in the platform's instance list.
    void setListed(const std::string& instance, const std::string& role, const std::string& state);
    /// Replaces the behaviour of a backend server by @p body (JSON).
    void setServerState(const std::string& server, const std::string& body);
    /// Replaces the behaviour of the proxy in front of @p server by @p body (JSON).
    void setServerProxy(const std::string& server, const std::string& body);
    /// Replaces the behaviour of the proxies between two entry instances, in both directions, by @p body (JSON).
    void setProxiesBetween(const std::string& first, const std::string& second, const std::string& body);

    /// A call counter of the platform stand-in.
    [[nodiscard]] std::uint64_t platformCounter(const std::string& name);
    /// A counter of a backend server.
    [[nodiscard]] std::uint64_t serverCounter(const std::string& server, const std::string& name);
    /// A counter of the proxy in front of @p server.
    [[nodiscard]] std::uint64_t serverProxyCounter(const std::string& server, const std::string& name);
    /// Sum of a metric of @p entry over all its labels.
    [[nodiscard]] double metric(const std::string& entry, const std::string& name);
    /// Sum of a metric over all labels and all running entry instances.
    [[nodiscard]] double metric(const std::string& name);
    [[nodiscard]] std::vector<std::string> serverNames() const;
    /// IP address and ports of @p entry, for tests that connect to its sockets directly.
    [[nodiscard]] std::string entryIp(const std::string& entry) const { return ip(m_hostNumbers.at(entry)); }
    static constexpr unsigned callerPort = 21'010;
    static constexpr unsigned controlPort = 21'012;
    static constexpr unsigned forwardPort = 21'020;

    /// Bytes passed from one entry instance to another by the control proxy or the forward proxy, whichever is fewer.
    [[nodiscard]] std::uint64_t minProxyBytes(const std::string& from, const std::string& to);

    /// Execution records of all backend servers.
    [[nodiscard]] std::vector<standins::ExecutionRecord> executions() const;

private:
    [[nodiscard]] std::string ip(unsigned host) const;
    [[nodiscard]] std::string logFile(const std::string& name) const { return m_folder + "/" + name + ".log"; }
    [[nodiscard]] std::string recordFile(const std::string& server) const { return m_folder + "/" + server + ".jsonl"; }
    [[nodiscard]] boost::json::object instanceListRow(
        const std::string& id, const std::string& role, const std::string& state) const;
    void startPlatform();
    void startServer(unsigned index);
    void startEntry(unsigned index);
    void startProxy(unsigned host, unsigned port, const std::string& from, const std::string& to);
    void waitUntilServing();
    void putJson(const std::string& url, const std::string& body);
    [[nodiscard]] std::uint64_t counter(const std::string& address, const std::string& name);

    ClusterOptions m_options;
    unsigned m_networkNumber;
    std::string m_folder;
    HttpClient m_http;
    std::unique_ptr<Process> m_platform;
    std::vector<std::unique_ptr<Process>> m_proxies;
    std::map<std::pair<std::string, std::string>, std::vector<std::string>>
        m_proxyAdmins; ///< Admin addresses by sender and receiver.
    std::map<std::string, std::unique_ptr<Process>> m_servers;
    std::map<std::string, std::unique_ptr<Process>> m_entries;
    std::map<std::string, unsigned> m_hostNumbers; ///< Last octet of the IP address by process name.
};

/// Polls @p condition until it holds. Returns false after @p timeout.
[[nodiscard]] bool waitUntil(Milliseconds timeout, const std::function<bool()>& condition);

} // namespace jasminespread::test
