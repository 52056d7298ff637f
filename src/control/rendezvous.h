#pragma once

#include <cstdint>
#include <string_view>

namespace jasminespread {

/// Rendezvous hash: the candidate with the highest score ranks first for @p item. All instances compute the same score.
[[nodiscard]] std::uint64_t rendezvousScore(std::string_view item, std::string_view candidate) noexcept;

} // namespace jasminespread
