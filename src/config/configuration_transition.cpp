#include "config/configuration_transition.h"

#include <map>

namespace jasminespread {
namespace {

void checkService(const Service& before, const Service& after, std::vector<Error>& errors)
{
    const auto checkCount = [&](const char* field, std::uint32_t from, std::uint32_t to) {
        if (from != to) {
            errors.push_back({ErrorKind::InvalidInput,
                "field \"" + std::string(field) + "\" of service \"" + after.name + "\" cannot change from "
                    + std::to_string(from) + " to " + std::to_string(to)
                    + " while keys are owned; keep it or declare a service with another name"});
        }
    };
    checkCount("partitions", before.partitions, after.partitions);
    checkCount("groups", before.groups, after.groups);
    // A new primary waits for leases of the length that it knows; longer ones may still run.
    const auto checkNotLowered = [&](const char* field, Milliseconds from, Milliseconds to) {
        if (to < from) {
            errors.push_back({ErrorKind::InvalidInput,
                "field \"" + std::string(field) + "\" of service \"" + after.name + "\" cannot fall from "
                    + std::to_string(from.count()) + "ms to " + std::to_string(to.count())
                    + "ms while grants of the longer time run; keep it or declare a service with another name"});
        }
    };
    checkNotLowered("lease", before.lease, after.lease);
    checkNotLowered("extensionLimit", before.extensionLimit, after.extensionLimit);
}

void checkServer(const BackendServer& before, const BackendServer& after, std::vector<Error>& errors)
{
    if (before.service != after.service || before.address != after.address) {
        errors.push_back({ErrorKind::InvalidInput,
            "server \"" + after.id + "\" cannot change from service \"" + before.service + "\" at " + before.address
                + " to service \"" + after.service + "\" at " + after.address
                + ", because the old process may still own keys under this id; declare the new process under another "
                  "id"});
    }
}

} // namespace

std::vector<Error> checkTransition(const Configuration& before, const Configuration& after)
{
    std::map<std::string, const Service*> services;
    for (const Service& service : before.services) {
        services.emplace(service.name, &service);
    }
    std::map<std::string, const BackendServer*> servers;
    for (const BackendServer& server : before.servers) {
        servers.emplace(server.id, &server);
    }
    std::vector<Error> errors;
    for (const Service& service : after.services) {
        if (const auto it = services.find(service.name); it != services.end()) {
            checkService(*it->second, service, errors);
        }
    }
    for (const BackendServer& server : after.servers) {
        if (const auto it = servers.find(server.id); it != servers.end()) {
            checkServer(*it->second, server, errors);
        }
    }
    return errors;
}

} // namespace jasminespread
