#include <main_loop.h>

#include <algorithm>
#include <csignal>
#include <glib-unix.h>

namespace jasminespread::standins {

namespace {

using Action = std::function<void()>;

gboolean runAction(gpointer data)
{
    (*static_cast<Action*>(data))();
    return G_SOURCE_REMOVE;
}

void deleteAction(gpointer data) { delete static_cast<Action*>(data); }

gboolean quit(gpointer loop)
{
    g_main_loop_quit(static_cast<GMainLoop*>(loop));
    return G_SOURCE_CONTINUE;
}

} // namespace

TimerId startTimer(Milliseconds delay, std::function<void()> action)
{
    return g_timeout_add_full(G_PRIORITY_DEFAULT, static_cast<guint>(std::max<Milliseconds::rep>(delay.count(), 0)),
        runAction, new Action(std::move(action)), deleteAction);
}

void stopTimer(TimerId timer) { g_source_remove(timer); }

void runMainLoop()
{
    GMainLoop* loop = g_main_loop_new(nullptr, false);
    const guint terminate = g_unix_signal_add(SIGTERM, quit, loop);
    const guint interrupt = g_unix_signal_add(SIGINT, quit, loop);
    g_main_loop_run(loop);
    g_source_remove(terminate);
    g_source_remove(interrupt);
    g_main_loop_unref(loop);
}

} // namespace jasminespread::standins
