#include "base/deadline_timer.h"

#include <gtest/gtest.h>

#include <optional>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

// Guards against a late callback that runs before input that arrived ahead of its deadline.
TEST(DeadlineTimerTest, HandlesInputFirstWhenLate)
{
    std::string order;
    DeadlineTimer timer([&] { order += "timer "; });
    const GSourcePointer input(g_timeout_source_new(0));
    g_source_set_callback(
        input.get(),
        [](gpointer data) -> gboolean {
            *static_cast<std::string*>(data) += "input ";
            return G_SOURCE_REMOVE;
        },
        &order, nullptr);
    g_source_attach(input.get(), nullptr);
    timer.arm(monotonicNow() - 50ms);
    while (order.find("timer") == std::string::npos) {
        g_main_context_iteration(nullptr, TRUE);
    }
    EXPECT_EQ(order, "input timer ");
}

// Guards against a timer whose callback is deferred forever.
TEST(DeadlineTimerTest, IsDeferredByOneIterationOnly)
{
    int calls = 0;
    DeadlineTimer timer([&] { ++calls; });
    timer.arm(monotonicNow() - 50ms);
    g_main_context_iteration(nullptr, FALSE);
    EXPECT_EQ(calls, 0);
    timer.arm(monotonicNow() - 50ms);
    g_main_context_iteration(nullptr, FALSE);
    EXPECT_EQ(calls, 1);
    g_main_context_iteration(nullptr, FALSE);
    EXPECT_EQ(calls, 1);
}

} // namespace
} // namespace jasminespread
