#include "base/glib_pointer.h"
#include "base/loop_monitor.h"

#include <gtest/gtest.h>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

// Guards against turns that stall the loop and leave no trace.
TEST(LoopMonitorTest, ReportsALongTurnAndItsSteps)
{
    std::vector<std::pair<Milliseconds, std::string>> reports;
    LoopMonitor monitor(
        nullptr, 40ms, [&](Milliseconds turn, const std::string& steps) { reports.emplace_back(turn, steps); });
    const auto runTurn = [] { g_main_context_iteration(nullptr, FALSE); };
    runTurn();
    runTurn();
    EXPECT_TRUE(reports.empty());
    {
        const LoopMonitor::Step outer(monitor, "outer");
        const LoopMonitor::Step inner(monitor, "inner");
        g_usleep(50'000);
    }
    runTurn();
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_GE(reports[0].first, 50ms);
    EXPECT_EQ(reports[0].second.rfind("outer:", 0), 0U) << reports[0].second;
    EXPECT_EQ(reports[0].second.find("inner"), std::string::npos);
}

// Guards against input that counts as new although it lay unread during a long turn.
TEST(LoopMonitorTest, TellsHowLongInputMayHaveLainUnread)
{
    LoopMonitor monitor(nullptr, 1s, [](Milliseconds, const std::string&) {});
    const auto unreadAfter = [&](Milliseconds turn, bool mayBlock) {
        g_main_context_iteration(nullptr, FALSE);
        g_usleep(static_cast<gulong>(turn.count()) * 1000);
        const GSourcePointer timer(g_timeout_source_new(mayBlock ? 60 : 0));
        MonotonicTime::duration unread {};
        const auto measure = [&] { unread = monotonicNow() - monitor.inputArrivedAfter(); };
        const std::function<void()> callback = measure;
        g_source_set_callback(
            timer.get(),
            [](gpointer data) -> gboolean {
                (*static_cast<const std::function<void()>*>(data))();
                return G_SOURCE_REMOVE;
            },
            const_cast<std::function<void()>*>(&callback), nullptr);
        g_source_attach(timer.get(), nullptr);
        g_main_context_iteration(nullptr, mayBlock ? TRUE : FALSE);
        return unread;
    };
    EXPECT_GE(unreadAfter(50ms, false), 50ms);
    EXPECT_LT(unreadAfter(50ms, true), 50ms);
}

} // namespace
} // namespace jasminespread
