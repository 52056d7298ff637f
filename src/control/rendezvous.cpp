#include "control/rendezvous.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace jasminespread {

std::uint64_t rendezvousScore(std::string_view item, std::string_view candidate) noexcept
{
    const std::uint64_t seed = XXH3_64bits(item.data(), item.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

} // namespace jasminespread
