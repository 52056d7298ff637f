#include "cluster.h"

#include <jasminespread/routing_snapshot.h>

#include <algorithm>
#include <arpa/inet.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace jasminespread::test {

namespace json = boost::json;

namespace {

constexpr unsigned platformHost = 1;
constexpr unsigned firstEntryHost = 11;
constexpr unsigned firstServerHost = 101;
constexpr unsigned firstProxyHost = 201;

// Below the ephemeral port range, from which an outgoing connection could take a listening port.
constexpr unsigned platformPort = 21'000;
constexpr unsigned serverPort = 21'001;
constexpr unsigned serverProxyPort = 21'002;
constexpr unsigned callerPort = Cluster::callerPort;
constexpr unsigned operatorPort = 21'011;
constexpr unsigned controlPort = Cluster::controlPort;
constexpr unsigned forwardPort = Cluster::forwardPort;
constexpr unsigned proxyAdminOffset = 100;

constexpr Milliseconds startTimeout {10'000};

std::string networkIp(unsigned networkNumber, unsigned host)
{
    return "127.0." + std::to_string(networkNumber) + "." + std::to_string(host);
}

bool isPortFree(const std::string& ip, unsigned port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const bool free = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    return free;
}

/// Returns n of a network 127.0.<n>.0/24 that no other test run uses.
unsigned chooseNetwork()
{
    for (unsigned i = 0; i < 200; ++i) {
        const unsigned networkNumber = 20 + (static_cast<unsigned>(::getpid()) + i) % 200;
        if (isPortFree(networkIp(networkNumber, platformHost), platformPort)
            && isPortFree(networkIp(networkNumber, firstEntryHost), callerPort)) {
            return networkNumber;
        }
    }
    throw std::runtime_error(
        "all loopback networks 127.0.20.0/24 to 127.0.219.0/24 are in use; end the processes of earlier test runs");
}

std::string program(const std::string& name) { return std::string(BINARY_DIR) + "/" + name; }

std::string withPort(const std::string& ip, unsigned port) { return ip + ":" + std::to_string(port); }

} // namespace

bool waitUntil(Milliseconds timeout, const std::function<bool()>& condition)
{
    const MonotonicTime end = monotonicNow() + timeout;
    while (!condition()) {
        if (monotonicNow() >= end) {
            return false;
        }
        std::this_thread::sleep_for(Milliseconds(20));
    }
    return true;
}

Cluster::Cluster(ClusterOptions options)
    : m_options(std::move(options))
    , m_networkNumber(chooseNetwork())
    , m_folder(std::string(BINARY_DIR) + "/integration/" + std::to_string(::getpid()) + "-"
          + std::to_string(m_networkNumber))
{
    std::filesystem::remove_all(m_folder);
    std::filesystem::create_directories(m_folder);
    for (unsigned i = 0; i < m_options.entries; ++i) {
        m_hostNumbers[entryName(i)] = firstEntryHost + i;
    }
    for (unsigned i = 0; i < m_options.servers; ++i) {
        m_hostNumbers["server-" + std::to_string(i + 1)] = firstServerHost + i;
    }
    startPlatform();
    for (unsigned i = 0; i < m_options.servers; ++i) {
        startServer(i);
    }
    for (unsigned i = 0; i < m_options.entries; ++i) {
        startEntry(i);
    }
    for (const auto& [name, process] : m_entries) {
        const std::string url = "http://" + withPort(ip(m_hostNumbers.at(name)), operatorPort) + "/healthz";
        if (!waitUntil(startTimeout, [&] { return m_http.call("GET", url).status == 200; })) {
            throw std::runtime_error(name + " did not start; see " + logFile(name));
        }
    }
    waitUntilServing();
}

std::string Cluster::ip(unsigned host) const { return networkIp(m_networkNumber, host); }

json::object Cluster::instanceListRow(const std::string& id, const std::string& role, const std::string& state) const
{
    json::object result {{"id", id}, {"role", role}, {"state", state}, {"region", "seq"}};
    if (role == "entry") {
        const unsigned host = m_hostNumbers.at(id);
        result["failureDomain"] = host % 2 == 0 ? "seq-b" : "seq-a";
        result["controlAddress"] = withPort(ip(host), controlPort);
        result["operatorAddress"] = withPort(ip(host), operatorPort);
        result["forwardAddress"] = withPort(ip(host), forwardPort);
    }
    return result;
}

void Cluster::startPlatform()
{
    json::array rows;
    for (const auto& [id, host] : m_hostNumbers) {
        rows.push_back(instanceListRow(id, host < firstServerHost ? "entry" : "backend", "live"));
    }
    const std::string list = m_folder + "/instances.json";
    std::ofstream(list) << json::serialize(rows);
    m_platform = std::make_unique<Process>(
        std::vector<std::string> {program("platform-standin"), "--listen", withPort(ip(platformHost), platformPort),
            "--instances", list, "--list-lag-ms", "500"},
        logFile("platform"));
}

void Cluster::startServer(unsigned index)
{
    const std::string name = "server-" + std::to_string(index + 1);
    m_servers[name]
        = std::make_unique<Process>(std::vector<std::string> {program("backend-standin"), "--listen",
                                        withPort(ip(m_hostNumbers.at(name)), serverPort), "--id", name, "--slots",
                                        std::to_string(m_options.serverSlots), "--service-time-ms",
                                        std::to_string(m_options.serviceTimeMs), "--record", recordFile(name)},
            logFile(name));
    if (m_options.proxiesToServers) {
        const std::string ownIp = ip(m_hostNumbers.at(name));
        m_proxies.push_back(std::make_unique<Process>(
            std::vector<std::string> {program("fault-proxy"), "--listen", withPort(ownIp, serverProxyPort), "--target",
                withPort(ownIp, serverPort), "--admin", withPort(ownIp, serverProxyPort + proxyAdminOffset)},
            logFile("proxy-" + name)));
    }
}

void Cluster::startProxy(unsigned host, unsigned port, const std::string& from, const std::string& to)
{
    const std::string admin = withPort(ip(host), port + proxyAdminOffset);
    m_proxyAdmins[{from, to}].push_back(admin);
    // An instance accepts messages from the addresses of its peers only, so the proxy connects from the sender's
    // address.
    m_proxies.push_back(std::make_unique<Process>(
        std::vector<std::string> {program("fault-proxy"), "--listen", withPort(ip(host), port), "--target",
            withPort(ip(m_hostNumbers.at(to)), port), "--source", ip(m_hostNumbers.at(from)), "--admin", admin},
        logFile("proxy-" + from + "-" + to + "-" + std::to_string(port))));
}

void Cluster::startEntry(unsigned index)
{
    const std::string name = entryName(index);
    const std::string ownIp = ip(m_hostNumbers.at(name));
    const std::string file = m_folder + "/" + name + ".yaml";
    std::ofstream settings(file);
    settings << "instance: " << name
             << "\nregion: seq\nfailureDomain: " << (m_hostNumbers.at(name) % 2 == 0 ? "seq-b" : "seq-a")
             << "\ncallerAddress: " << withPort(ownIp, callerPort)
             << "\noperatorAddress: " << withPort(ownIp, operatorPort)
             << "\ncontrolAddress: " << withPort(ownIp, controlPort)
             << "\nforwardAddress: " << withPort(ownIp, forwardPort) << "\nplatformUrl: http://"
             << withPort(ip(platformHost), platformPort) << "\nworkers: 1\n"
             << m_options.entrySettings;
    if (m_options.proxiesBetweenEntries) {
        settings << "addressOverrides:\n";
        for (unsigned peer = 0; peer < m_options.entries; ++peer) {
            if (peer != index) {
                const unsigned host = firstProxyHost + index * m_options.entries + peer;
                startProxy(host, controlPort, name, entryName(peer));
                startProxy(host, forwardPort, name, entryName(peer));
                settings << "  " << entryName(peer) << ":\n    control: " << withPort(ip(host), controlPort)
                         << "\n    forward: " << withPort(ip(host), forwardPort) << "\n";
            }
        }
    }
    settings.close();
    m_entries[name] = std::make_unique<Process>(
        std::vector<std::string> {program("jasminespread-entry"), "--settings", file}, logFile(name));
}

Configuration Cluster::configuration() const
{
    Configuration configuration;
    configuration.deployment = "integration";
    configuration.author = "harness";
    configuration.regions = {{"seq", {"seq-a", "seq-b"}}};
    Service readings;
    readings.name = service;
    readings.grantCheck = GrantCheck::Checked;
    readings.partitions = 24;
    readings.groups = 3;
    readings.slotsPerServer = m_options.serverSlots;
    readings.connectionsPerServer = 64;
    readings.lease = m_options.lease;
    readings.classes = m_options.classes;
    configuration.services = {readings};
    configuration.refusalRules = m_options.refusalRules;
    for (unsigned i = 0; i < m_options.servers; ++i) {
        const std::string name = "server-" + std::to_string(i + 1);
        configuration.servers.push_back({name, service, "seq", i % 2 == 0 ? "seq-a" : "seq-b",
            withPort(ip(m_hostNumbers.at(name)), m_options.proxiesToServers ? serverProxyPort : serverPort)});
    }
    return configuration;
}

HttpResponse Cluster::loadConfiguration(HttpClient& http, const std::string& entry, const Configuration& configuration,
    std::uint64_t base, const std::string& changeId) const
{
    return http.call("PUT",
        "http://" + withPort(ip(m_hostNumbers.at(entry)), operatorPort)
            + "/v1/configuration?base=" + std::to_string(base) + "&change=" + changeId,
        {}, encodeConfiguration(configuration));
}

void Cluster::waitUntilServing()
{
    HttpResponse response;
    const bool loaded = waitUntil(startTimeout, [&] {
        response = loadConfiguration(m_http, entryName(0), configuration(), 0, "first-load");
        return response.status == 200 || response.status == 202 || response.status == 409;
    });
    if (!loaded) {
        throw std::runtime_error("entry-1 did not accept the configuration: status " + std::to_string(response.status)
            + " " + response.body);
    }
    for (const Callers::Entry& entry : callerEntries()) {
        for (unsigned i = 0; i < Callers::keyCount; ++i) {
            for (const bool repeatable : {true, false}) {
                CallerRecord call;
                const bool served = waitUntil(startTimeout, [&] {
                    call = callOnce(m_http, entry, service, Callers::key(i), repeatable, Callers::deadline);
                    return call.outcome == Outcome::Done;
                });
                if (!served) {
                    throw std::runtime_error(entry.id + " does not serve key " + call.key + ": status "
                        + std::to_string(call.status) + ", reason " + call.reason + "; see " + logFile(entry.id));
                }
            }
        }
    }
}

Callers::Entry Cluster::callerEntry(const std::string& name) const
{
    return {name, "http://" + withPort(ip(m_hostNumbers.at(name)), callerPort)};
}

std::vector<Callers::Entry> Cluster::callerEntries() const
{
    std::vector<Callers::Entry> result;
    for (const auto& [name, process] : m_entries) {
        result.push_back(callerEntry(name));
    }
    return result;
}

std::uint64_t Cluster::revisionAt(const std::string& entry)
{
    const HttpResponse response
        = m_http.call("GET", "http://" + withPort(ip(m_hostNumbers.at(entry)), operatorPort) + "/v1/status");
    return response.status == 200 ? json::parse(response.body).at("revision").to_number<std::uint64_t>() : 0;
}

json::object Cluster::groupOf(const std::string& entry, const std::string& key)
{
    const Service settings = configuration().services[0];
    const GroupName group {service, partitionOf(key, settings.partitions) % settings.groups};
    const HttpResponse response
        = m_http.call("GET", "http://" + withPort(ip(m_hostNumbers.at(entry)), operatorPort) + "/v1/status");
    const json::value status = json::parse(response.body);
    for (const json::value& candidate : status.at("groups").as_array()) {
        if (candidate.at("group").as_string() == toText(group)) {
            return candidate.as_object();
        }
    }
    throw std::runtime_error("no group " + toText(group) + " in the status of " + entry);
}

std::string Cluster::ownerOf(const std::string& entry, const std::string& key)
{
    const std::uint32_t partition = partitionOf(key, configuration().services[0].partitions);
    const json::object group = groupOf(entry, key);
    for (const json::value& owner : group.at("owners").as_array()) {
        if (owner.at("id").to_number<std::uint32_t>() == partition) {
            return std::string(owner.at("owner").as_string());
        }
    }
    throw std::runtime_error("no owner of key " + key + " in the status of " + entry);
}

void Cluster::putJson(const std::string& url, const std::string& body)
{
    const HttpResponse response = m_http.call("PUT", url, {}, body);
    if (response.status != 200) {
        throw std::runtime_error(
            url + " answered with status " + std::to_string(response.status) + " " + response.body);
    }
}

std::uint64_t Cluster::counter(const std::string& address, const std::string& name)
{
    const HttpResponse response = m_http.call("GET", "http://" + address + "/admin/counters");
    return json::parse(response.body).at(name).to_number<std::uint64_t>();
}

std::uint64_t Cluster::platformCounter(const std::string& name)
{
    return counter(withPort(ip(platformHost), platformPort), name);
}

std::uint64_t Cluster::serverCounter(const std::string& server, const std::string& name)
{
    return counter(withPort(ip(m_hostNumbers.at(server)), serverPort), name);
}

std::uint64_t Cluster::serverProxyCounter(const std::string& server, const std::string& name)
{
    return counter(withPort(ip(m_hostNumbers.at(server)), serverProxyPort + proxyAdminOffset), name);
}

double Cluster::metric(const std::string& entry, const std::string& name)
{
    const HttpResponse response
        = m_http.call("GET", "http://" + withPort(ip(m_hostNumbers.at(entry)), operatorPort) + "/metrics");
    if (response.status != 200) {
        throw std::runtime_error(entry + " returned no metrics: status " + std::to_string(response.status));
    }
    double sum = 0;
    std::istringstream lines(response.body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name + " ") || line.starts_with(name + "{")) {
            sum += std::stod(line.substr(line.rfind(' ') + 1));
        }
    }
    return sum;
}

double Cluster::metric(const std::string& name)
{
    double sum = 0;
    for (const auto& [entry, process] : m_entries) {
        if (process->running()) {
            sum += metric(entry, name);
        }
    }
    return sum;
}

std::vector<std::string> Cluster::serverNames() const
{
    std::vector<std::string> result;
    for (const auto& [name, process] : m_servers) {
        result.push_back(name);
    }
    return result;
}

std::uint64_t Cluster::minProxyBytes(const std::string& from, const std::string& to)
{
    std::uint64_t fewestBytes = UINT64_MAX;
    for (const std::string& admin : m_proxyAdmins.at({from, to})) {
        fewestBytes = std::min(fewestBytes, counter(admin, "bytesToServer"));
    }
    return fewestBytes;
}

void Cluster::setPlatformFaults(const std::string& body)
{
    putJson("http://" + withPort(ip(platformHost), platformPort) + "/admin/faults", body);
}

void Cluster::setListed(const std::string& instance, const std::string& role, const std::string& state)
{
    putJson("http://" + withPort(ip(platformHost), platformPort) + "/admin/instances/" + instance,
        json::serialize(instanceListRow(instance, role, state)));
}

void Cluster::setServerState(const std::string& server, const std::string& body)
{
    putJson("http://" + withPort(ip(m_hostNumbers.at(server)), serverPort) + "/admin/state", body);
}

void Cluster::setServerProxy(const std::string& server, const std::string& body)
{
    putJson("http://" + withPort(ip(m_hostNumbers.at(server)), serverProxyPort + proxyAdminOffset) + "/admin/behaviour",
        body);
}

void Cluster::setProxiesBetween(const std::string& first, const std::string& second, const std::string& body)
{
    for (const auto& [link, admins] : m_proxyAdmins) {
        if (link == std::pair(first, second) || link == std::pair(second, first)) {
            for (const std::string& admin : admins) {
                putJson("http://" + admin + "/admin/behaviour", body);
            }
        }
    }
}

std::vector<standins::ExecutionRecord> Cluster::executions() const
{
    std::vector<standins::ExecutionRecord> records;
    for (const auto& [name, process] : m_servers) {
        std::ifstream file(recordFile(name));
        for (std::string line; std::getline(file, line);) {
            records.push_back(handleError([&] { return standins::decodeExecutionRecord(line); },
                [](const Error& error) -> standins::ExecutionRecord { throw std::runtime_error(describe(error)); }));
        }
    }
    return records;
}

} // namespace jasminespread::test
