#pragma once

#include <jasminespread/configuration.h>

#include <string>
#include <vector>

namespace jasminespread {

/// A broken rule at one field of a configuration.
struct ConfigurationFault {
    std::string path; ///< For example "servers[2].region".
    std::string message; ///< Reads on after the path and names the remedy.
};

/// Checks references, ranges and uniqueness; returns every fault in the order of the fields. Thread-safe.
[[nodiscard]] std::vector<ConfigurationFault> findFaults(const Configuration& configuration);

} // namespace jasminespread
