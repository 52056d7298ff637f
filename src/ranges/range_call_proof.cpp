#include "ranges/range_call_proof.h"

#include <algorithm>

namespace jasminespread {
namespace {

/// Handovers that are remembered for one address: far more than releases whose copies can still be on their way.
constexpr std::size_t maxHandovers = 200;

} // namespace

bool RangeCallProof::accepts(
    const std::string& address, bool isRelease, const RangeCallEnded& ended, bool connectionReused)
{
    if (!isRelease || ended.result != GrantResult::Done) {
        return !connectionReused || ended.result != GrantResult::OtherServer;
    }
    std::deque<std::string>& handovers = m_handovers[address];
    const bool isNew
        = !ended.handover.empty() && std::find(handovers.begin(), handovers.end(), ended.handover) == handovers.end();
    if (isNew) {
        handovers.push_back(ended.handover);
        if (handovers.size() > maxHandovers) {
            handovers.pop_front();
        }
    }
    return isNew || !connectionReused;
}

} // namespace jasminespread
