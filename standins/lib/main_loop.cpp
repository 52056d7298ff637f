#include <main_loop.h>

#include <algorithm>
#include <csignal>
#include <glib-unix.h>

namespace jasminespread::standins {

namespace {

using TimerAction = std::function<void()>;

gboolean runTimerAction(gpointer data)
{
    (*static_cast<TimerAction*>(data))();
    return G_SOURCE_REMOVE;
}

void deleteTimerAction(gpointer data) { delete static_cast<TimerAction*>(data); }

gboolean quitMainLoop(gpointer loop)
{
    g_main_loop_quit(static_cast<GMainLoop*>(loop));
    return G_SOURCE_CONTINUE;
}

} // namespace

TimerId startTimer(Milliseconds delay, std::function<void()> action)
{
    return g_timeout_add_full(G_PRIORITY_DEFAULT, static_cast<guint>(std::max<Milliseconds::rep>(delay.count(), 0)),
        runTimerAction, new TimerAction(std::move(action)), deleteTimerAction);
}

void cancelTimer(TimerId timer) { g_source_remove(timer); }

void runMainLoop()
{
    GMainLoop* loop = g_main_loop_new(nullptr, false);
    const guint terminateSource = g_unix_signal_add(SIGTERM, quitMainLoop, loop);
    const guint interruptSource = g_unix_signal_add(SIGINT, quitMainLoop, loop);
    g_main_loop_run(loop);
    g_source_remove(terminateSource);
    g_source_remove(interruptSource);
    g_main_loop_unref(loop);
}

} // namespace jasminespread::standins
