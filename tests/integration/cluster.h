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
    bool proxiesBetweenEntries = false; ///< Places fault proxies on all traffic between entry instances.
    bool proxiesToServers = false; ///< Places a fault proxy in front of each backend server, for grants and requests.
    unsigned slots = 16; ///< Of each backend server.
    unsigned serviceTimeMs = 3; ///< Of each backend server.
    std::vector<WorkClass> classes {{"default", 1}};
    std::vector<RefusalRule> refusalRules;
    std::string entrySettings; ///< Lines added to the settings of each entry daemon.
};

/// A platform, entry daemons and backend servers as processes, each with a loopback address of its own.
/// Fails by exception when the cluster cannot start.
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
    /// Sends a configuration to the operator API of @p entry.
    [[nodiscard]] HttpResponse load(HttpCaller& http, const std::string& entry, const Configuration& configuration,
        std::uint64_t base, const std::string& changeId) const;
    /// Revision in force at @p entry; 0 when it does not answer.
    [[nodiscard]] std::uint64_t revisionAt(const std::string& entry);
    /// Row of the group of @p key in the status of @p entry; throws when there is none.
    [[nodiscard]] boost::json::object groupOf(const std::string& entry, const std::string& key);
    [[nodiscard]] std::string ownerOf(const std::string& entry, const std::string& key);

    /// Replaces the platform's faults by @p body (JSON).
    void setPlatformFaults(const std::string& body);
    void setListed(const std::string& instance, const std::string& role, const std::string& state);
    void setServerState(const std::string& server, const std::string& body);
    /// Replaces the behaviour of the proxy in front of @p server.
    void setServerProxy(const std::string& server, const std::string& body);
    /// Replaces the behaviour of the proxies between two entry instances, in both directions.
    void setProxies(const std::string& first, const std::string& second, const std::string& body);

    /// A call counter of the platform.
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
    /// IP number and ports of @p entry, for tests that speak to its sockets directly.
    [[nodiscard]] std::string entryIp(const std::string& entry) const { return ip(m_hosts.at(entry)); }
    static constexpr unsigned callerPort = 21'010;
    static constexpr unsigned controlPort = 21'012;
    static constexpr unsigned forwardPort = 21'020;

    /// Bytes that the control and forward proxies passed from one entry instance to another; the smaller number.
    [[nodiscard]] std::uint64_t fewestProxyBytes(const std::string& from, const std::string& to);

    /// Execution records of all servers.
    [[nodiscard]] std::vector<standins::ExecutionRecord> executions() const;

private:
    [[nodiscard]] std::string ip(unsigned host) const;
    [[nodiscard]] std::string log(const std::string& name) const { return m_folder + "/" + name + ".log"; }
    [[nodiscard]] std::string record(const std::string& server) const { return m_folder + "/" + server + ".jsonl"; }
    [[nodiscard]] boost::json::object row(
        const std::string& id, const std::string& role, const std::string& state) const;
    void startPlatform();
    void startServer(unsigned index);
    void startEntry(unsigned index);
    void startProxy(unsigned host, unsigned port, const std::string& from, const std::string& to);
    void waitUntilServing();
    void put(const std::string& url, const std::string& body);
    [[nodiscard]] std::uint64_t counter(const std::string& address, const std::string& name);

    ClusterOptions m_options;
    unsigned m_network;
    std::string m_folder;
    HttpCaller m_http;
    std::unique_ptr<Process> m_platform;
    std::vector<std::unique_ptr<Process>> m_proxies;
    std::map<std::pair<std::string, std::string>, std::vector<std::string>> m_proxyAdmins; ///< By sender and receiver.
    std::map<std::string, std::unique_ptr<Process>> m_servers;
    std::map<std::string, std::unique_ptr<Process>> m_entries;
    std::map<std::string, unsigned> m_hosts; ///< Last part of the IP number by process name.
};

/// Waits until @p condition holds; false after @p limit.
[[nodiscard]] bool eventually(Milliseconds limit, const std::function<bool()>& condition);

} // namespace jasminespread::test
