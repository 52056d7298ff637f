#include "base/glib_pointer.h"
#include "base/loop_monitor.h"

#include <gtest/gtest.h>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

// Guards against loop iterations that block for long and are not reported.
TEST(LoopMonitorTest, ReportsLongIterationWithItsSteps)
{
    std::vector<std::pair<Milliseconds, std::string>> reports;
    LoopMonitor monitor(nullptr, 40ms,
        [&](Milliseconds iterationTime, const std::string& steps) { reports.emplace_back(iterationTime, steps); });
    const auto runIteration = [] { g_main_context_iteration(nullptr, FALSE); };
    runIteration();
    runIteration();
    EXPECT_TRUE(reports.empty());
    {
        const LoopMonitor::Step outer(monitor, "outer");
        const LoopMonitor::Step inner(monitor, "inner");
        g_usleep(50'000);
    }
    runIteration();
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_GE(reports[0].first, 50ms);
    EXPECT_EQ(reports[0].second.rfind("outer:", 0), 0U) << reports[0].second;
    EXPECT_EQ(reports[0].second.find("inner"), std::string::npos);
}

// Guards against input that is taken for new although it waited unread during a long loop iteration.
TEST(LoopMonitorTest, BoundsTheArrivalTimeOfInput)
{
    LoopMonitor monitor(nullptr, 1s, [](Milliseconds, const std::string&) {});
    const auto maxInputAgeAfter = [&](Milliseconds iterationTime, bool mayBlock) {
        g_main_context_iteration(nullptr, FALSE);
        g_usleep(static_cast<gulong>(iterationTime.count()) * 1000);
        const GSourcePointer timer(g_timeout_source_new(mayBlock ? 60 : 0));
        MonotonicTime::duration maxInputAge {};
        const auto measure = [&] { maxInputAge = monotonicNow() - monitor.inputArrivedAfter(); };
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
        return maxInputAge;
    };
    EXPECT_GE(maxInputAgeAfter(50ms, false), 50ms);
    EXPECT_LT(maxInputAgeAfter(50ms, true), 50ms);
}

} // namespace
} // namespace jasminespread
