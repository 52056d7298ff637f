#pragma once

#include "ranges/range_event.h"

#include <deque>
#include <map>
#include <string>

namespace jasminespread {

/// Tells whether the answer to a grant or release proves its outcome. These answers carry no id, so a late second copy
/// of an earlier answer on the same connection looks like the answer to the next call. Outcomes that end a lease are
/// accepted only from a connection that carried no other call, or with a handover that no earlier answer had; any other
/// outcome leaves the lease to its time limit. Not thread-safe.
class RangeCallProof {
public:
    /// @p address is that of the server that @p ended comes from. When this returns false, the call has to be repeated
    /// on a new connection and this one closed: the answer to this call may come next on it. Precondition: called for
    /// every answer, also that of a repeated call.
    [[nodiscard]] bool accepts(
        const std::string& address, bool isRelease, const RangeCallEnded& ended, bool connectionReused);

private:
    std::map<std::string, std::deque<std::string>> m_handovers; ///< Of earlier answers, latest last, by address.
};

} // namespace jasminespread
