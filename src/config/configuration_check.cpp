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
constexpr std::size_t maxKeyBytes = 1024; // A key is sent in an HTTP header.
constexpr std::uint32_t maxPartitions = 65'536;
constexpr std::uint32_t maxGroups = 4'096;
constexpr std::uint32_t maxPartitionsPerGroup = 4'096; // Keeps a group's record well below maxStoredBytes.
constexpr std::uint32_t maxSlotsOrConnections = 100'000;
constexpr std::uint32_t maxWeight = 1'000;
constexpr Milliseconds minLease {1'000}; // Leaves time for two renewals at the default grantInterval.
constexpr Milliseconds maxLease {60'000};
constexpr Milliseconds maxExtensionLimit {7 * 24 * 3'600'000};
constexpr Milliseconds maxDeadline {3'600'000};
constexpr Milliseconds maxDrain {24 * 3'600'000};
constexpr std::size_t maxStoredBytes = 1'000'000; // The store rejects larger objects.

std::string indexedPath(std::string_view list, std::size_t index)
{
    return std::string(list) + "[" + std::to_string(index) + "]";
}

/// Restricts names to characters that are safe in URL paths, object names and metric labels.
bool isValidName(std::string_view text)
{
    const auto isAllowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    };
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), isAllowed);
}

/// Whether the text is UTF-8 without control characters. Peers reject messages in other encodings, and HTTP headers
/// cannot carry control characters.
bool isPrintable(std::string_view text)
{
    const auto isControl = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
    return g_utf8_validate(text.data(), static_cast<gssize>(text.size()), nullptr) != FALSE
        && std::none_of(text.begin(), text.end(), isControl);
}

class ConfigurationChecker {
public:
    explicit ConfigurationChecker(const Configuration& configuration)
        : m_configuration(configuration)
    {
    }

    std::vector<FieldError> run()
    {
        checkName("deployment", m_configuration.deployment);
        if (!isPrintable(m_configuration.author)) {
            addError("author", "is not printable UTF-8 text; remove control characters");
        }
        checkRegions();
        checkServices();
        checkServers();
        checkPlannedStops();
        checkHotKeys();
        checkRefusalRules();
        checkWeights();
        if (m_errors.empty()) {
            checkDocumentSize();
        }
        return std::move(m_errors);
    }

private:
    void addError(std::string path, std::string message) { m_errors.push_back({std::move(path), std::move(message)}); }

    void addValueError(std::string path, const std::string& value, const std::string& message)
    {
        addError(std::move(path), "has the value \"" + excerpt(value) + "\", which " + message);
    }

    void checkName(const std::string& path, const std::string& name)
    {
        if (!isValidName(name)) {
            addValueError(path, name,
                "is not a valid name; use 1 to " + std::to_string(maxNameLength) + " letters, digits, \"-\" or \"_\"");
        }
    }

    template <typename NameContainer>
    void checkDeclared(
        const std::string& path, const std::string& name, const NameContainer& declared, const std::string& kind)
    {
        if (!declared.contains(name)) {
            addValueError(path, name, "is not a declared " + kind + "; declare it or correct the name");
        }
    }

    template <typename NameContainer>
    void checkUnique(const std::string& path, const std::string& fieldValue, NameContainer& earlierValues,
        const std::string& fieldName)
    {
        if (!earlierValues.insert(fieldValue).second) {
            addValueError(
                path, fieldValue, "is already the " + fieldName + " of an earlier entry; keep only one of them");
        }
    }

    void checkRange(const std::string& path, std::uint64_t value, std::uint64_t min, std::uint64_t max)
    {
        if (value < min || value > max) {
            addValueError(path, std::to_string(value),
                "is outside " + std::to_string(min) + " to " + std::to_string(max) + "; choose a value in this range");
        }
    }

    void checkRange(const std::string& path, Milliseconds value, Milliseconds min, Milliseconds max)
    {
        if (value < min || value > max) {
            addValueError(path, formatDuration(value),
                "is outside " + formatDuration(min) + " to " + formatDuration(max) + "; choose a value in this range");
        }
    }

    void checkShare(const std::string& path, double value)
    {
        if (!(value >= 0 && value <= 1)) {
            addValueError(path, std::to_string(value), "is outside 0 to 1; write a share, for example 0.9");
        }
    }

    void checkRegions()
    {
        if (m_configuration.regions.empty()) {
            addError("regions", "is empty; declare at least one region");
        }
        std::set<std::string> domains;
        for (std::size_t i = 0; i < m_configuration.regions.size(); ++i) {
            const Region& region = m_configuration.regions[i];
            const std::string path = indexedPath("regions", i);
            checkName(path + ".name", region.name);
            checkUnique(path + ".name", region.name, m_regionNames, "name");
            if (region.failureDomains.empty()) {
                addError(path + ".failureDomains", "is empty; declare at least one failure domain");
            }
            for (std::size_t j = 0; j < region.failureDomains.size(); ++j) {
                const std::string& domain = region.failureDomains[j];
                const std::string domainPath = indexedPath(path + ".failureDomains", j);
                checkName(domainPath, domain);
                checkUnique(domainPath, domain, domains, "name");
                m_failureDomainsByRegion[region.name].insert(domain);
            }
        }
    }

    void checkServices()
    {
        if (m_configuration.services.empty()) {
            addError("services", "is empty; declare at least one service");
        }
        std::set<std::string> names;
        for (std::size_t i = 0; i < m_configuration.services.size(); ++i) {
            const Service& service = m_configuration.services[i];
            const std::string path = indexedPath("services", i);
            checkName(path + ".name", service.name);
            checkUnique(path + ".name", service.name, names, "name");
            checkCounts(path, service);
            checkRange(path + ".lease", service.lease, minLease, maxLease);
            checkRange(path + ".extensionLimit", service.extensionLimit, service.lease, maxExtensionLimit);
            checkRange(path + ".defaultDeadline", service.defaultDeadline, Milliseconds(1), maxDeadline);
            checkClasses(path, service);
            checkObjective(path + ".objective", service.objective);
        }
    }

    void checkCounts(const std::string& path, const Service& service)
    {
        checkRange(path + ".partitions", service.partitions, 1, maxPartitions);
        checkRange(path + ".groups", service.groups, 1, std::min(service.partitions, maxGroups));
        if (service.groups > 0 && service.partitions / service.groups > maxPartitionsPerGroup) {
            addError(path + ".groups",
                "leaves more than " + std::to_string(maxPartitionsPerGroup)
                    + " partitions in each group; declare more groups");
        }
        checkRange(path + ".slotsPerServer", service.slotsPerServer, 1, maxSlotsOrConnections);
        checkRange(path + ".connectionsPerServer", service.connectionsPerServer, 1, maxSlotsOrConnections);
    }

    void checkClasses(const std::string& path, const Service& service)
    {
        std::set<std::string>& names = m_classNamesByService[service.name];
        for (std::size_t j = 0; j < service.classes.size(); ++j) {
            const std::string classPath = indexedPath(path + ".classes", j);
            checkName(classPath + ".name", service.classes[j].name);
            checkUnique(classPath + ".name", service.classes[j].name, names, "name");
            checkRange(classPath + ".weight", service.classes[j].weight, 1, maxWeight);
        }
    }

    void checkObjective(const std::string& path, const Objective& objective)
    {
        const auto checkExclusiveShare = [&](const std::string& field, double value) {
            // The burn rate is the share of bad requests divided by one minus the objective, which must not become 0.
            if (!(value > 0 && value < 1)) {
                addValueError(
                    path + field, std::to_string(value), "is not between 0 and 1; write a share, for example 0.999");
            }
        };
        checkExclusiveShare(".availability", objective.availability);
        checkExclusiveShare(".latencyShare", objective.latencyShare);
        checkRange(path + ".latency", objective.latency, Milliseconds(1), maxDeadline);
    }

    void checkServers()
    {
        std::set<std::string> ids;
        std::set<std::string> addresses;
        for (std::size_t i = 0; i < m_configuration.servers.size(); ++i) {
            const BackendServer& server = m_configuration.servers[i];
            const std::string path = indexedPath("servers", i);
            checkName(path + ".id", server.id);
            checkUnique(path + ".id", server.id, ids, "id");
            checkDeclared(path + ".service", server.service, m_classNamesByService, "service");
            checkDeclared(path + ".region", server.region, m_regionNames, "region");
            if (m_regionNames.contains(server.region)) {
                checkDeclared(path + ".failureDomain", server.failureDomain, m_failureDomainsByRegion[server.region],
                    "failure domain of region \"" + server.region + "\"");
            }
            if (!isIpAddressAndPort(server.address)) {
                addValueError(
                    path + ".address", server.address, "is not an IP address and port; write it as 127.0.0.1:8080");
            } else {
                checkUnique(path + ".address", server.address, addresses, "address");
            }
            m_serviceByServer.emplace(server.id, server.service);
        }
    }

    void checkPlannedStops()
    {
        std::set<std::string> servers;
        for (std::size_t i = 0; i < m_configuration.plannedStops.size(); ++i) {
            const PlannedStop& stop = m_configuration.plannedStops[i];
            const std::string path = indexedPath("plannedStops", i);
            checkDeclared(path + ".server", stop.server, m_serviceByServer, "server");
            checkUnique(path + ".server", stop.server, servers, "server");
            checkRange(path + ".drain", stop.drain, Milliseconds(0), maxDrain);
            // A time of 0 is the default value, which stands for a missing field.
            if (stop.stopAt <= WallTime()) {
                addValueError(path + ".stopAt", formatUtcTime(stop.stopAt),
                    "is not after 1970; write the time of the stop as 2026-12-04T18:30:00Z");
            }
        }
    }

    void checkHotKeys()
    {
        std::set<std::pair<std::string, std::string>> keys;
        for (std::size_t i = 0; i < m_configuration.hotKeys.size(); ++i) {
            const HotKey& hotKey = m_configuration.hotKeys[i];
            const std::string path = indexedPath("hotKeys", i);
            checkDeclared(path + ".service", hotKey.service, m_classNamesByService, "service");
            if (hotKey.key.empty() || hotKey.key.size() > maxKeyBytes || !isPrintable(hotKey.key)) {
                addError(path + ".key",
                    "is not a valid key; use 1 to " + std::to_string(maxKeyBytes)
                        + " bytes of UTF-8 text without control characters");
            }
            if (!keys.emplace(hotKey.service, hotKey.key).second) {
                addValueError(path + ".key", hotKey.key, "is already a hot key of this service; keep only one of them");
            }
            if (hotKey.server.empty()) {
                continue;
            }
            const std::map<std::string, std::string>::const_iterator it = m_serviceByServer.find(hotKey.server);
            if (it == m_serviceByServer.end() || it->second != hotKey.service) {
                addValueError(path + ".server", hotKey.server,
                    "is not a declared server of service \"" + hotKey.service
                        + "\"; correct it, or remove it to let the placement policy choose a server");
            }
        }
    }

    void checkRefusalRules()
    {
        std::set<std::pair<std::string, std::string>> rules;
        for (std::size_t i = 0; i < m_configuration.refusalRules.size(); ++i) {
            const RefusalRule& rule = m_configuration.refusalRules[i];
            const std::string path = indexedPath("refusalRules", i);
            checkDeclared(path + ".service", rule.service, m_classNamesByService, "service");
            if (!rule.workClass.empty() && m_classNamesByService.contains(rule.service)) {
                checkDeclared(path + ".workClass", rule.workClass, m_classNamesByService[rule.service],
                    "class of service \"" + rule.service + "\"");
            }
            if (!rules.emplace(rule.service, rule.workClass).second) {
                addValueError(path + ".workClass", rule.workClass,
                    "already has a refusal rule in this service; keep only one of them");
            }
            checkShare(path + ".refuseAboveLoad", rule.refuseAboveLoad);
        }
    }

    void checkWeights()
    {
        const PlacementWeights& weights = m_configuration.weights;
        const auto checkWeight = [&](const std::string& path, double value) {
            if (!(value >= 0 && value <= maxWeight)) {
                addValueError(path, std::to_string(value),
                    "is outside 0 to " + std::to_string(maxWeight) + "; choose a value in this range");
            }
        };
        checkWeight("weights.imbalance", weights.imbalance);
        checkWeight("weights.churn", weights.churn);
        checkWeight("weights.unavailability", weights.unavailability);
        checkShare("weights.churnPerHour", weights.churnPerHour);
    }

    void checkDocumentSize()
    {
        const std::size_t size = encodeConfiguration(m_configuration).size();
        if (size > maxStoredBytes) {
            addError("",
                "the configuration has " + std::to_string(size) + " bytes as JSON, but the store accepts at most "
                    + std::to_string(maxStoredBytes) + " bytes; remove entries");
        }
    }

    const Configuration& m_configuration;
    std::vector<FieldError> m_errors;
    std::set<std::string> m_regionNames;
    std::map<std::string, std::set<std::string>> m_failureDomainsByRegion;
    std::map<std::string, std::set<std::string>> m_classNamesByService; ///< Has an entry for every service.
    std::map<std::string, std::string> m_serviceByServer;
};

} // namespace

std::vector<FieldError> findFieldErrors(const Configuration& configuration)
{
    return ConfigurationChecker(configuration).run();
}

std::vector<Error> checkConfiguration(const Configuration& configuration)
{
    std::vector<Error> errors;
    for (const FieldError& fieldError : findFieldErrors(configuration)) {
        const std::string prefix = fieldError.path.empty() ? "" : "field \"" + fieldError.path + "\" ";
        errors.push_back({ErrorKind::InvalidInput, prefix + fieldError.message});
    }
    return errors;
}

} // namespace jasminespread
