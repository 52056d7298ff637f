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

} // namespace
} // namespace jasminespread
