#pragma once

#include <jasminespread/configuration.h>

#include <string>
#include <vector>

namespace jasminespread {

/// A field of a configuration that breaks a rule.
struct FieldError {
    std::string path; ///< For example "servers[2].region"; empty for the whole document.
    std::string message; ///< Continues the sentence that starts with the path; names the remedy.
};

/// Checks references, ranges and uniqueness; returns every error in the order of the checks. Thread-safe.
[[nodiscard]] std::vector<FieldError> findFieldErrors(const Configuration& configuration);

} // namespace jasminespread
