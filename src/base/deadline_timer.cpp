#include "base/deadline_timer.h"

#include <algorithm>
#include <utility>

namespace jasminespread {
namespace {

/// A callback that is later than this is deferred once.
constexpr Milliseconds allowedDelay {5};

gboolean dispatch(GSource*, GSourceFunc callback, gpointer data) { return callback(data); }

GSourceFuncs timerFunctions {nullptr, nullptr, dispatch, nullptr, nullptr, nullptr};

} // namespace

DeadlineTimer::DeadlineTimer(std::function<void()> onDeadline)
    : m_callback(std::move(onDeadline))
    , m_source(g_source_new(&timerFunctions, sizeof(GSource)))
{
    g_source_set_callback(m_source.get(), onDue, this, nullptr);
    g_source_attach(m_source.get(), g_main_context_get_thread_default());
}

void DeadlineTimer::arm(std::optional<MonotonicTime> deadline)
{
    m_deadline = deadline;
    // GLib's monotonic time is the steady clock in microseconds.
    setReadyTime(deadline
            ? std::max<gint64>(0, std::chrono::ceil<std::chrono::microseconds>(deadline->time_since_epoch()).count())
            : -1);
}

void DeadlineTimer::armNow()
{
    m_deadline.reset();
    setReadyTime(0);
}

void DeadlineTimer::setReadyTime(gint64 microseconds)
{
    if (microseconds != m_readyTime) {
        m_readyTime = microseconds;
        g_source_set_ready_time(m_source.get(), microseconds);
    }
}

gboolean DeadlineTimer::onDue(gpointer data)
{
    DeadlineTimer& timer = *static_cast<DeadlineTimer*>(data);
    const bool late = timer.m_deadline && monotonicNow() - *timer.m_deadline > allowedDelay;
    if (late && !std::exchange(timer.m_deferred, true)) {
        return G_SOURCE_CONTINUE; // Still due in the next iteration.
    }
    timer.m_deferred = false;
    timer.arm(std::nullopt);
    timer.m_callback();
    return G_SOURCE_CONTINUE;
}

} // namespace jasminespread
