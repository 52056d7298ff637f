#pragma once

#include "base/glib_pointer.h"

#include <jasminespread/time.h>

#include <functional>
#include <optional>

namespace jasminespread {

/// Calls back at a time, from a main context. A callback that is late because the loop was busy lets the input that
/// came in the meantime be handled first, for one turn of the loop: what lies unread may be what the deadline waits
/// for. Not thread-safe.
class DeadlineTimer {
public:
    /// Runs on the thread's default main context. @p due may arm the timer again.
    explicit DeadlineTimer(std::function<void()> due);
    ~DeadlineTimer() = default;
    DeadlineTimer(const DeadlineTimer&) = delete;
    DeadlineTimer& operator=(const DeadlineTimer&) = delete;

    /// Replaces the time of the next call; nothing: none.
    void arm(std::optional<MonotonicTime> at);
    /// Calls back in the next turn, without regard to input.
    void armNow();

private:
    void setReadyTime(gint64 microseconds);
    static gboolean onDue(gpointer data);

    std::function<void()> m_due;
    std::optional<MonotonicTime> m_at;
    bool m_yielded = false; ///< Input was let first since the time passed.
    gint64 m_readyTime = -1; ///< As set in the source.
    GSourcePointer m_source;
};

} // namespace jasminespread
