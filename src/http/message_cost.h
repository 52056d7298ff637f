#pragma once

#include <jasminespread/backend_transport.h>

#include <cstddef>
#include <string>
#include <vector>

namespace jasminespread {

/// Memory that a text takes beyond its object, with the overhead of an allocation.
inline std::size_t heapCost(const std::string& text) noexcept
{
    constexpr std::size_t inlineCapacity = 15;
    constexpr std::size_t allocationOverhead = 17; // Terminator, malloc's header and its rounding.
    return text.capacity() > inlineCapacity ? text.capacity() + allocationOverhead : 0;
}

/// Memory that the texts of a field take beyond the object.
inline std::size_t heapCost(const HeaderField& field) noexcept { return heapCost(field.name) + heapCost(field.value); }

/// Memory that a list of fields takes: an object of 64 bytes for each field, however short it is.
inline std::size_t costOf(const std::vector<HeaderField>& fields) noexcept
{
    std::size_t n = fields.capacity() * sizeof(HeaderField);
    for (const HeaderField& field : fields) {
        n += heapCost(field);
    }
    return n;
}

} // namespace jasminespread
