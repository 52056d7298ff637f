#include "ranges/range_call_proof.h"

namespace jasminespread {

bool RangeCallProof::accepts(
    const std::string& address, bool isRelease, const RangeCallEnded& ended, bool connectionReused)
{
    if (!isRelease || ended.result != GrantResult::Done) {
        return !connectionReused || ended.result != GrantResult::OtherServer;
    }
    std::string& lastHandover = m_lastHandovers[address];
    const bool isNew = !ended.handover.empty() && ended.handover != lastHandover;
    if (isNew) {
        lastHandover = ended.handover;
    }
    return isNew || !connectionReused;
}

} // namespace jasminespread
