#include "entry/class_queue.h"

#include <gtest/gtest.h>

namespace jasminespread {
namespace {

// Guards against starvation of a work class while another one floods the queue.
TEST(ClassQueueTest, AllClassesProgressByWeight)
{
    ClassQueue queue;
    for (std::uint64_t i = 0; i < 300; ++i) {
        queue.push("flood", 1, i);
    }
    for (std::uint64_t i = 1000; i < 1030; ++i) {
        queue.push("orders", 3, i);
    }
    std::size_t orders = 0;
    for (int i = 0; i < 40; ++i) {
        orders += *queue.pop() >= 1000 ? 1 : 0;
    }
    EXPECT_EQ(orders, 30U);
    EXPECT_EQ(queue.size(), 290U);
}

// Guards against reordering within a class, and against serving a removed request.
TEST(ClassQueueTest, KeepsOrderAndSkipsRemoved)
{
    ClassQueue queue;
    for (std::uint64_t i = 1; i <= 4; ++i) {
        queue.push("a", 1, i);
    }
    queue.remove("a", 2);
    queue.remove("b", 3);
    EXPECT_EQ(queue.pop(), 1U);
    EXPECT_EQ(queue.pop(), 3U);
    EXPECT_EQ(queue.pop(), 4U);
    EXPECT_FALSE(queue.pop());
}

} // namespace
} // namespace jasminespread
