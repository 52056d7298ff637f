#pragma once

#include "base/glib_pointer.h"

#include <jasminespread/time.h>

#include <functional>
#include <optional>

namespace jasminespread {

/// Runs a callback at a given time on a main context. When the loop was busy past that time, the callback is deferred
/// by one loop iteration, so that input that arrived in the meantime is handled first: it may be what the deadline
/// waits for. Not thread-safe.
class DeadlineTimer {
public:
    /// @p onDeadline runs on the thread's default main context. It may arm the timer again.
    explicit DeadlineTimer(std::function<void()> onDeadline);
    ~DeadlineTimer() = default;
    DeadlineTimer(const DeadlineTimer&) = delete;
    DeadlineTimer& operator=(const DeadlineTimer&) = delete;

    /// Replaces the time of the next callback; without a time, none is due.
    void arm(std::optional<MonotonicTime> deadline);
    /// Runs the callback in the next loop iteration, without waiting for input to be handled.
    void armNow();

private:
    void setReadyTime(gint64 microseconds);
    static gboolean onDue(gpointer data);

    std::function<void()> m_callback;
    std::optional<MonotonicTime> m_deadline;
    bool m_deferred = false; ///< The callback that is due was deferred once.
    gint64 m_readyTime = -1; ///< As set in the GSource, in microseconds.
    GSourcePointer m_source;
};

} // namespace jasminespread
