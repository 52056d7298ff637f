#pragma once

#include <cstdint>
#include <string_view>

namespace jasminespread {

/// Rendezvous hash: the candidate with the highest score ranks first for @p item. Equal on all instances.
[[nodiscard]] std::uint64_t rendezvousScore(std::string_view item, std::string_view candidate) noexcept;

} // namespace jasminespread
