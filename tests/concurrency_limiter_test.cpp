#include "entry/concurrency_limiter.h"

#include <jasminespread/instance_settings.h>

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <vector>

namespace jasminespread {
namespace {

const MonotonicTime start {std::chrono::hours(1)};

void acquireAllSlots(ConcurrencyLimiter& limiter)
{
    while (limiter.hasSlot()) {
        limiter.acquire();
    }
}

// Guards against workers that together exceed a server's slots from the start, and against a limit of 0.
TEST(ConcurrencyLimiterTest, StartsAtInitialLimitOfAtLeastOne)
{
    ConcurrencyLimiter limiter;
    limiter.configure(3.9, 6);
    acquireAllSlots(limiter);
    EXPECT_EQ(limiter.inUse(), 3U);
    ConcurrencyLimiter small;
    small.configure(0.075, 6);
    acquireAllSlots(small);
    EXPECT_EQ(small.inUse(), 1U);
}

// Guards against slots that stay idle because other workers do not use their share, and against growth beyond the
// slots.
TEST(ConcurrencyLimiterTest, GrowsWhileFullUpToMaxLimit)
{
    ConcurrencyLimiter limiter;
    limiter.configure(1, 4);
    for (int i = 0; i < 100; ++i) {
        acquireAllSlots(limiter);
        limiter.release(SlotResult::Success, start);
    }
    acquireAllSlots(limiter);
    EXPECT_EQ(limiter.inUse(), 4U);
}

// Guards against growth without evidence: success with one concurrent request does not show that four succeed.
TEST(ConcurrencyLimiterTest, DoesNotGrowUnlessReached)
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
    acquireAllSlots(limiter);
    for (int i = 0; i < 10; ++i) {
        limiter.release(SlotResult::Overloaded, start);
    }
    EXPECT_DOUBLE_EQ(limiter.limit(), 8.5);
    limiter.acquire();
    limiter.release(SlotResult::Overloaded, start + Milliseconds(20));
    EXPECT_DOUBLE_EQ(limiter.limit(), 7.225);
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
        acquireAllSlots(limiter);
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

// Three workers saturate one server with 12 slots. Guards against limits that grow as fast after an overload as before
// it: the server then refuses so many requests that the retry budget is used up and requests of high weight fail.
TEST(ConcurrencyLimiterTest, SaturatedWorkersKeepTheSlotsBusyWithFewRefusals)
{
    constexpr unsigned slots = 12;
    constexpr Milliseconds meanWorkTime {40};
    constexpr Milliseconds duration {7000};
    std::mt19937 random(1);
    std::uniform_int_distribution<int> workMs(20, 60);
    std::vector<ConcurrencyLimiter> workers(3);
    for (ConcurrencyLimiter& worker : workers) {
        worker.configure(slots / 3.0, slots);
    }
    std::multimap<MonotonicTime, std::size_t> running; // End of the work, worker.
    unsigned completed = 0;
    unsigned refused = 0;
    for (MonotonicTime now = start; now < start + duration; now += Milliseconds(1)) {
        while (!running.empty() && running.begin()->first <= now) {
            workers[running.begin()->second].release(SlotResult::Success, now);
            running.erase(running.begin());
            ++completed;
        }
        for (std::size_t n = 0; n < workers.size(); ++n) {
            const std::size_t i = (n + completed) % workers.size();
            while (workers[i].hasSlot()) {
                workers[i].acquire();
                if (running.size() < slots) {
                    running.emplace(now + Milliseconds(workMs(random)), i);
                } else {
                    ++refused;
                    workers[i].release(SlotResult::Overloaded, now);
                    break;
                }
            }
        }
    }
    const double capacity = static_cast<double>(slots) * duration / meanWorkTime;
    EXPECT_GE(completed, 0.95 * capacity);
    EXPECT_LE(refused, InstanceSettings().retryBudget * capacity);
}

} // namespace
} // namespace jasminespread
