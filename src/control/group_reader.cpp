#include "control/group_reader.h"

namespace jasminespread {
namespace {

// In the steady state, store evidence only has to stay well within the extension limit.
constexpr Milliseconds idleInterval {10'000};
constexpr Milliseconds urgentInterval {100};

} // namespace

void GroupReader::tick(const ReduceContext& context, bool readNeeded, bool readNeededNow)
{
    Milliseconds interval = idleInterval;
    if (m_inFlight) {
        // The control loop reports the result within the store timeout; after twice that time the report is lost.
        interval = 2 * context.settings.storeTimeout;
    } else if (readNeededNow && m_available) {
        interval = urgentInterval;
    } else if (readNeeded || readNeededNow || !m_succeeded) {
        interval = context.settings.storePollInterval;
    }
    if (m_startedAt && context.now - *m_startedAt < interval) {
        return;
    }
    m_startedAt = context.now;
    m_inFlight = true;
    context.effects.push_back(ListObjects {"group"});
}

void GroupReader::listFinished(const ReduceContext& context, StoreStatus status)
{
    m_inFlight = false;
    const bool available = status == StoreStatus::Ok;
    m_succeeded = m_succeeded || available;
    if (available != m_available) {
        context.log(available ? LogEvent::StoreAvailable : LogEvent::StoreUnavailable, "group objects");
    }
    m_available = available;
}

} // namespace jasminespread
