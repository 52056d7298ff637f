#pragma once

#include <cstdint>

namespace jasminespread {

/// Whether a field must, may or must not appear in a sheet or settings file that a user writes.
enum class FieldPresence : std::uint8_t {
    Required,
    Optional,
    SystemAssigned ///< Set by the system: rejected in YAML, present in JSON.
};

} // namespace jasminespread
