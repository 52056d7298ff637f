#include "config/configuration_transition.h"

#include <map>

namespace jasminespread {
namespace {

void checkService(const Service& before, const Service& after, std::vector<Error>& errors)
{
    const auto checkUnchanged = [&](const char* field, std::uint32_t from, std::uint32_t to) {
        if (from != to) {
            errors.push_back({ErrorKind::InvalidInput,
                "field \"" + std::string(field) + "\" of service \"" + after.name + "\" cannot change from "
                    + std::to_string(from) + " to " + std::to_string(to)
                    + " while servers own keys; keep it or declare a service with another name"});
        }
    };
    checkUnchanged("partitions", before.partitions, after.partitions);
    checkUnchanged("groups", before.groups, after.groups);
    // A new primary waits only for the lease time of its own revision; leases with a longer time could still be valid.
    const auto checkNotReduced = [&](const char* field, Milliseconds from, Milliseconds to) {
        if (to < from) {
            errors.push_back({ErrorKind::InvalidInput,
                "field \"" + std::string(field) + "\" of service \"" + after.name + "\" cannot be reduced from "
                    + std::to_string(from.count()) + "ms to " + std::to_string(to.count())
                    + "ms while grants with the longer time are valid; keep it or declare a service with another "
                      "name"});
        }
    };
    checkNotReduced("lease", before.lease, after.lease);
    checkNotReduced("extensionLimit", before.extensionLimit, after.extensionLimit);
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
    std::map<std::string, const Service*> servicesBefore;
    for (const Service& service : before.services) {
        servicesBefore.emplace(service.name, &service);
    }
    std::map<std::string, const BackendServer*> serversBefore;
    for (const BackendServer& server : before.servers) {
        serversBefore.emplace(server.id, &server);
    }
    std::vector<Error> errors;
    for (const Service& service : after.services) {
        if (const auto it = servicesBefore.find(service.name); it != servicesBefore.end()) {
            checkService(*it->second, service, errors);
        }
    }
    for (const BackendServer& server : after.servers) {
        if (const auto it = serversBefore.find(server.id); it != serversBefore.end()) {
            checkServer(*it->second, server, errors);
        }
    }
    return errors;
}

} // namespace jasminespread
