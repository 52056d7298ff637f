#include "config/configuration_check.h"

#include "settings/text_values.h"

#include <glib.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace jasminespread {
namespace {

constexpr std::size_t maxNameLength = 63;
constexpr std::size_t maxKeyLength = 1024; // Bytes; keys travel in an HTTP header.
constexpr std::uint32_t maxPartitions = 65'536;
constexpr std::uint32_t maxGroups = 4'096;
constexpr std::uint32_t maxPartitionsPerGroup = 4'096; // Keeps a group's object well below the store's 1 MB.
constexpr std::uint32_t maxPerServer = 100'000;
constexpr std::uint32_t maxWeight = 1'000;
constexpr Milliseconds minLease {1'000}; // Two renewals of the default grantInterval.
constexpr Milliseconds maxLease {60'000};
constexpr Milliseconds maxExtensionLimit {7 * 24 * 3'600'000};
constexpr Milliseconds maxDeadline {3'600'000};
constexpr Milliseconds maxDrain {24 * 3'600'000};
constexpr std::size_t maxDocumentBytes = 1'000'000; // Largest value that the store takes.

std::string indexed(std::string_view list, std::size_t i) { return std::string(list) + "[" + std::to_string(i) + "]"; }

/// Names appear in URL paths, object names and metric labels.
bool isName(std::string_view text)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    };
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

/// Peers refuse messages whose text is not UTF-8; control characters cannot be sent in HTTP headers.
bool isPrintable(std::string_view text)
{
    const auto control = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
    return g_utf8_validate(text.data(), static_cast<gssize>(text.size()), nullptr) != FALSE
        && std::none_of(text.begin(), text.end(), control);
}

class Checker {
public:
    explicit Checker(const Configuration& configuration)
        : m_configuration(configuration)
    {
    }

    std::vector<ConfigurationFault> run()
    {
        checkName("deployment", m_configuration.deployment);
        if (!isPrintable(m_configuration.author)) {
            add("author", "is not printable UTF-8 text; remove control characters");
        }
        checkRegions();
        checkServices();
        checkServers();
        checkPlannedStops();
        checkHotKeys();
        checkRefusalRules();
        checkWeights();
        if (m_faults.empty()) {
            checkSize();
        }
        return std::move(m_faults);
    }

private:
    void add(std::string path, std::string message) { m_faults.push_back({std::move(path), std::move(message)}); }

    void addValue(std::string path, const std::string& value, const std::string& message)
    {
        add(std::move(path), "has the value \"" + excerpt(value) + "\", which " + message);
    }

    void checkName(const std::string& path, const std::string& name)
    {
        if (!isName(name)) {
            addValue(path, name,
                "is not a name; use 1 to " + std::to_string(maxNameLength) + " letters, digits, \"-\" or \"_\"");
        }
    }

    template <typename Names>
    void checkKnown(const std::string& path, const std::string& name, const Names& names, const std::string& what)
    {
        if (!names.contains(name)) {
            addValue(path, name, "is not a declared " + what + "; declare it or correct the name");
        }
    }

    template <typename Names>
    void checkUnique(const std::string& path, const std::string& name, Names& names, const std::string& what)
    {
        if (!names.insert(name).second) {
            addValue(path, name, "is already the " + what + " of an earlier entry; keep one of them");
        }
    }

    void checkRange(const std::string& path, std::uint64_t value, std::uint64_t min, std::uint64_t max)
    {
        if (value < min || value > max) {
            addValue(path, std::to_string(value),
                "is outside " + std::to_string(min) + " to " + std::to_string(max) + "; choose a value inside");
        }
    }

    void checkRange(const std::string& path, Milliseconds value, Milliseconds min, Milliseconds max)
    {
        if (value < min || value > max) {
            addValue(path, formatDuration(value),
                "is outside " + formatDuration(min) + " to " + formatDuration(max) + "; choose a value inside");
        }
    }

    void checkShare(const std::string& path, double value)
    {
        if (!(value >= 0 && value <= 1)) {
            addValue(path, std::to_string(value), "is outside 0 to 1; write a share, for example 0.9");
        }
    }

    void checkRegions()
    {
        if (m_configuration.regions.empty()) {
            add("regions", "is empty; declare at least one region");
        }
        std::set<std::string> domains;
        for (std::size_t i = 0; i < m_configuration.regions.size(); ++i) {
            const Region& region = m_configuration.regions[i];
            const std::string path = indexed("regions", i);
            checkName(path + ".name", region.name);
            checkUnique(path + ".name", region.name, m_regions, "name");
            if (region.failureDomains.empty()) {
                add(path + ".failureDomains", "is empty; declare at least one failure domain");
            }
            for (std::size_t j = 0; j < region.failureDomains.size(); ++j) {
                const std::string& domain = region.failureDomains[j];
                const std::string domainPath = indexed(path + ".failureDomains", j);
                checkName(domainPath, domain);
                checkUnique(domainPath, domain, domains, "name");
                m_domains[region.name].insert(domain);
            }
        }
    }

    void checkServices()
    {
        if (m_configuration.services.empty()) {
            add("services", "is empty; declare at least one service");
        }
        std::set<std::string> names;
        for (std::size_t i = 0; i < m_configuration.services.size(); ++i) {
            const Service& service = m_configuration.services[i];
            const std::string path = indexed("services", i);
            checkName(path + ".name", service.name);
            checkUnique(path + ".name", service.name, names, "name");
            checkSizes(path, service);
            checkRange(path + ".lease", service.lease, minLease, maxLease);
            checkRange(path + ".extensionLimit", service.extensionLimit, service.lease, maxExtensionLimit);
            checkRange(path + ".defaultDeadline", service.defaultDeadline, Milliseconds(1), maxDeadline);
            checkClasses(path, service);
            checkObjective(path + ".objective", service.objective);
        }
    }

    void checkSizes(const std::string& path, const Service& service)
    {
        checkRange(path + ".partitions", service.partitions, 1, maxPartitions);
        checkRange(path + ".groups", service.groups, 1, std::min(service.partitions, maxGroups));
        if (service.groups > 0 && service.partitions / service.groups > maxPartitionsPerGroup) {
            add(path + ".groups",
                "leaves more than " + std::to_string(maxPartitionsPerGroup)
                    + " partitions in one group; declare more groups");
        }
        checkRange(path + ".slotsPerServer", service.slotsPerServer, 1, maxPerServer);
        checkRange(path + ".connectionsPerServer", service.connectionsPerServer, 1, maxPerServer);
    }

    void checkClasses(const std::string& path, const Service& service)
    {
        std::set<std::string>& names = m_classes[service.name];
        for (std::size_t j = 0; j < service.classes.size(); ++j) {
            const std::string classPath = indexed(path + ".classes", j);
            checkName(classPath + ".name", service.classes[j].name);
            checkUnique(classPath + ".name", service.classes[j].name, names, "name");
            checkRange(classPath + ".weight", service.classes[j].weight, 1, maxWeight);
        }
    }

    void checkObjective(const std::string& path, const Objective& objective)
    {
        const auto checkOpenShare = [&](const std::string& field, double value) {
            // Burn rates divide by one minus the objective.
            if (!(value > 0 && value < 1)) {
                addValue(
                    path + field, std::to_string(value), "is not between 0 and 1; write a share, for example 0.999");
            }
        };
        checkOpenShare(".availability", objective.availability);
        checkOpenShare(".latencyShare", objective.latencyShare);
        checkRange(path + ".latency", objective.latency, Milliseconds(1), maxDeadline);
    }

    void checkServers()
    {
        std::set<std::string> ids;
        std::set<std::string> addresses;
        for (std::size_t i = 0; i < m_configuration.servers.size(); ++i) {
            const BackendServer& server = m_configuration.servers[i];
            const std::string path = indexed("servers", i);
            checkName(path + ".id", server.id);
            checkUnique(path + ".id", server.id, ids, "id");
            checkKnown(path + ".service", server.service, m_classes, "service");
            checkKnown(path + ".region", server.region, m_regions, "region");
            if (m_regions.contains(server.region)) {
                checkKnown(path + ".failureDomain", server.failureDomain, m_domains[server.region],
                    "failure domain of region \"" + server.region + "\"");
            }
            if (!isIpAddressAndPort(server.address)) {
                addValue(path + ".address", server.address, "is not an IP number and port; write it as 127.0.0.1:8080");
            } else {
                checkUnique(path + ".address", server.address, addresses, "address");
            }
            m_serviceOfServer.emplace(server.id, server.service);
        }
    }

    void checkPlannedStops()
    {
        std::set<std::string> servers;
        for (std::size_t i = 0; i < m_configuration.plannedStops.size(); ++i) {
            const PlannedStop& stop = m_configuration.plannedStops[i];
            const std::string path = indexed("plannedStops", i);
            checkKnown(path + ".server", stop.server, m_serviceOfServer, "server");
            checkUnique(path + ".server", stop.server, servers, "server");
            checkRange(path + ".drain", stop.drain, Milliseconds(0), maxDrain);
            // A time of 0 is what a document without the field decodes to.
            if (stop.stopAt <= WallTime()) {
                addValue(path + ".stopAt", formatUtcTime(stop.stopAt),
                    "is not after 1970; write the time of the stop as 2026-12-04T18:30:00Z");
            }
        }
    }

    void checkHotKeys()
    {
        std::set<std::pair<std::string, std::string>> keys;
        for (std::size_t i = 0; i < m_configuration.hotKeys.size(); ++i) {
            const HotKey& hotKey = m_configuration.hotKeys[i];
            const std::string path = indexed("hotKeys", i);
            checkKnown(path + ".service", hotKey.service, m_classes, "service");
            if (hotKey.key.empty() || hotKey.key.size() > maxKeyLength || !isPrintable(hotKey.key)) {
                add(path + ".key",
                    "is not a key; use 1 to " + std::to_string(maxKeyLength)
                        + " bytes of UTF-8 without control characters");
            }
            if (!keys.emplace(hotKey.service, hotKey.key).second) {
                addValue(path + ".key", hotKey.key, "is already a hot key of that service; keep one of them");
            }
            if (hotKey.server.empty()) {
                continue;
            }
            const std::map<std::string, std::string>::const_iterator it = m_serviceOfServer.find(hotKey.server);
            if (it == m_serviceOfServer.end() || it->second != hotKey.service) {
                addValue(path + ".server", hotKey.server,
                    "is not a declared server of service \"" + hotKey.service
                        + "\"; correct it or leave it out to let the placement policy choose");
            }
        }
    }

    void checkRefusalRules()
    {
        std::set<std::pair<std::string, std::string>> rules;
        for (std::size_t i = 0; i < m_configuration.refusalRules.size(); ++i) {
            const RefusalRule& rule = m_configuration.refusalRules[i];
            const std::string path = indexed("refusalRules", i);
            checkKnown(path + ".service", rule.service, m_classes, "service");
            if (!rule.workClass.empty() && m_classes.contains(rule.service)) {
                checkKnown(path + ".workClass", rule.workClass, m_classes[rule.service],
                    "class of service \"" + rule.service + "\"");
            }
            if (!rules.emplace(rule.service, rule.workClass).second) {
                addValue(path + ".workClass", rule.workClass,
                    "already has a refusal rule in that service; keep one of them");
            }
            checkShare(path + ".refuseAboveLoad", rule.refuseAboveLoad);
        }
    }

    void checkWeights()
    {
        const PlacementWeights& weights = m_configuration.weights;
        const auto checkWeight = [&](const std::string& path, double value) {
            if (!(value >= 0 && value <= maxWeight)) {
                addValue(path, std::to_string(value),
                    "is outside 0 to " + std::to_string(maxWeight) + "; choose a value inside");
            }
        };
        checkWeight("weights.imbalance", weights.imbalance);
        checkWeight("weights.churn", weights.churn);
        checkWeight("weights.unavailability", weights.unavailability);
        checkShare("weights.churnPerHour", weights.churnPerHour);
    }

    void checkSize()
    {
        const std::size_t size = encodeConfiguration(m_configuration).size();
        if (size > maxDocumentBytes) {
            add("",
                "the configuration takes " + std::to_string(size) + " bytes as JSON, and the store takes at most "
                    + std::to_string(maxDocumentBytes) + "; remove entries");
        }
    }

    const Configuration& m_configuration;
    std::vector<ConfigurationFault> m_faults;
    std::set<std::string> m_regions;
    std::map<std::string, std::set<std::string>> m_domains; ///< By region.
    std::map<std::string, std::set<std::string>> m_classes; ///< By service; holds every service.
    std::map<std::string, std::string> m_serviceOfServer;
};

} // namespace

std::vector<ConfigurationFault> findFaults(const Configuration& configuration) { return Checker(configuration).run(); }

std::vector<Error> checkConfiguration(const Configuration& configuration)
{
    std::vector<Error> errors;
    for (const ConfigurationFault& fault : findFaults(configuration)) {
        const std::string prefix = fault.path.empty() ? "" : "field \"" + fault.path + "\" ";
        errors.push_back({ErrorKind::InvalidInput, prefix + fault.message});
    }
    return errors;
}

} // namespace jasminespread
