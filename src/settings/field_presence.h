#pragma once

#include <cstdint>

namespace jasminespread {

/// Whether a field must, may or must not appear in a document that a user writes.
enum class FieldPresence : std::uint8_t {
    Required,
    Optional,
    Assigned ///< Set by the system: refused in YAML, present in JSON.
};

} // namespace jasminespread
