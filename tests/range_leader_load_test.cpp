#include "support/leading_authority.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t serverCount = 190;
constexpr std::size_t instanceCount = 76;
/// Processor time for range management: 1% of a core.
constexpr Milliseconds controlBudgetPerSecond = 10ms;

std::chrono::nanoseconds threadProcessorTime()
{
    timespec used {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

class RangeLeaderLoadTest : public testing::Test {
protected:
    RangeLeaderLoadTest() { m_leader.listServers(serverCount); }

    test::LeadingAuthority m_leader;
};

/// Guards against a leader that is so busy with answers to grants that its requests wait.
TEST_F(RangeLeaderLoadTest, RenewalsStayWithinTheControlBudget)
{
    m_leader.run(10s);
    ASSERT_GE(m_leader.answeredGrants, serverCount);
    m_leader.answeredGrants = 0;
    const std::chrono::nanoseconds before = threadProcessorTime();
    m_leader.run(4s);
    const std::chrono::nanoseconds used = threadProcessorTime() - before;
    EXPECT_GE(m_leader.answeredGrants, serverCount * 4);
    EXPECT_LE(used, 4 * controlBudgetPerSecond) << m_leader.answeredGrants << " answers";
}

/// Guards against one table message per instance for each of many owner changes that happen at once.
TEST_F(RangeLeaderLoadTest, BatchesManyOwnerChanges)
{
    for (int i = 0; i < 200 && m_leader.unansweredGrants.empty(); ++i, m_leader.now += 50ms) {
        m_leader.reduce(RangeTick {});
    }
    ASSERT_EQ(m_leader.unansweredGrants.size(), serverCount);
    for (std::size_t i = 2; i <= instanceCount; ++i) {
        m_leader.report(i);
    }
    m_leader.messages.clear();
    const std::chrono::nanoseconds before = threadProcessorTime();
    for (const std::uint64_t call : std::exchange(m_leader.unansweredGrants, {})) {
        m_leader.now += 1ms;
        m_leader.reduce(RangeCallEnded {call, GrantResult::Done, "", false});
    }
    const std::chrono::nanoseconds used = threadProcessorTime() - before;
    const auto tableMessages = std::count_if(m_leader.messages.begin(), m_leader.messages.end(),
        [](const wire::Envelope& envelope) { return envelope.has_range_table_view(); });
    // At most one table per 50 ms; the answers arrive at 1 ms intervals.
    const std::size_t tables = serverCount / 50 + 1;
    EXPECT_LE(static_cast<std::size_t>(tableMessages), tables * (instanceCount - 1));
    EXPECT_LE(used, controlBudgetPerSecond);
}

/// Guards against a leader that is blocked while it assigns the ranges of many servers that were lost at once.
TEST_F(RangeLeaderLoadTest, ReplacesManyLostServersWithinTheControlBudget)
{
    m_leader.run(10s);
    for (std::uint32_t key = 0; key < keyCount; key += 7) {
        m_leader.reduce(KeysCounted {test::LeadingAuthority::service, {{static_cast<std::uint16_t>(key), 1}}});
    }
    m_leader.run(1s);
    const std::chrono::nanoseconds before = threadProcessorTime();
    m_leader.listServers(serverCount * 2 / 3);
    m_leader.run(50ms);
    EXPECT_LE(threadProcessorTime() - before, controlBudgetPerSecond);
}

} // namespace
} // namespace jasminespread
