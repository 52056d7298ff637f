#include "entry/concurrency_limiter.h"

#include <gtest/gtest.h>

namespace jasminespread {
namespace {

const MonotonicTime start {std::chrono::hours(1)};

void fill(ConcurrencyLimiter& limiter)
{
    while (limiter.hasSlot()) {
        limiter.acquire();
    }
}

// Guards against many workers that together exceed a server's slots from the start, and against a limit of 0.
TEST(ConcurrencyLimiterTest, StartsAtItsShareWithAFloorOfOne)
{
    ConcurrencyLimiter limiter;
    limiter.configure(3.9, 6);
    fill(limiter);
    EXPECT_EQ(limiter.inUse(), 3U);
    ConcurrencyLimiter small;
    small.configure(0.075, 6);
    fill(small);
    EXPECT_EQ(small.inUse(), 1U);
}

// Guards against slots that idle while other workers do not use theirs, and against growth beyond the slots.
TEST(ConcurrencyLimiterTest, GrowsWhileFullUpToTheHighestLimit)
{
    ConcurrencyLimiter limiter;
    limiter.configure(1, 4);
    for (int i = 0; i < 100; ++i) {
        fill(limiter);
        limiter.release(SlotResult::Success, start);
    }
    fill(limiter);
    EXPECT_EQ(limiter.inUse(), 4U);
}

// Guards against growth without evidence: one request at a time shows nothing about four.
TEST(ConcurrencyLimiterTest, DoesNotGrowWhileItIsNotReached)
{
    ConcurrencyLimiter limiter;
    limiter.configure(2, 4);
    for (int i = 0; i < 100; ++i) {
        limiter.acquire();
        limiter.release(SlotResult::Success, start);
    }
    EXPECT_EQ(limiter.limit(), 2.0);
}

// Guards against a collapse of the limit when one overload refuses many requests at once.
TEST(ConcurrencyLimiterTest, OneOverloadDecreasesOnce)
{
    ConcurrencyLimiter limiter;
    limiter.configure(10, 10);
    fill(limiter);
    for (int i = 0; i < 10; ++i) {
        limiter.release(SlotResult::Overloaded, start);
    }
    EXPECT_DOUBLE_EQ(limiter.limit(), 7.0);
    limiter.acquire();
    limiter.release(SlotResult::Overloaded, start + Milliseconds(20));
    EXPECT_DOUBLE_EQ(limiter.limit(), 4.9);
}

// Guards against full load on a server that has just started.
TEST(ConcurrencyLimiterTest, SlowStartAfterUnavailability)
{
    ConcurrencyLimiter limiter;
    limiter.configure(8, 16);
    limiter.acquire();
    limiter.release(SlotResult::Unavailable, start);
    EXPECT_EQ(limiter.limit(), 1.0);
    std::vector<std::uint32_t> rounds;
    for (int round = 0; round < 5; ++round) {
        fill(limiter);
        const std::uint32_t inUse = limiter.inUse();
        rounds.push_back(inUse);
        for (std::uint32_t i = 0; i < inUse; ++i) {
            limiter.release(SlotResult::Success, start);
        }
    }
    EXPECT_EQ(rounds.front(), 1U);
    EXPECT_EQ(rounds[1], 2U);
    EXPECT_GE(rounds.back(), 4U);
    EXPECT_LE(rounds.back(), 8U);
}

} // namespace
} // namespace jasminespread
