#include "gateway/server_registration.h"

namespace jasminespread {

bool precedes(const ServerRegistration& a, const ServerRegistration& b) noexcept
{
    const std::uint64_t startA = a.server.identity.startedAtUnixMs;
    const std::uint64_t startB = b.server.identity.startedAtUnixMs;
    if (startA != startB) {
        return startA != 0 && startB != 0 && startA < startB;
    }
    return a.sequence != 0 && b.sequence != 0 && a.sequence < b.sequence;
}

} // namespace jasminespread
