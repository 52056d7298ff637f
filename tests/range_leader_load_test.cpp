#include "support/leading_authority.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t serverCount = 190;
constexpr std::size_t instanceCount = 76;
/// Processor time that control may take: 1% of a core.
constexpr Milliseconds controlBudgetPerSecond = 10ms;

std::chrono::nanoseconds threadTime()
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

/// Guards against a leader whose answers of grants keep it from reading requests.
TEST_F(RangeLeaderLoadTest, RenewalsStayWithinTheBudgetOfControl)
{
    m_leader.run(10s);
    ASSERT_GE(m_leader.answeredGrants, serverCount);
    m_leader.answeredGrants = 0;
    const std::chrono::nanoseconds before = threadTime();
    m_leader.run(4s);
    const std::chrono::nanoseconds used = threadTime() - before;
    EXPECT_GE(m_leader.answeredGrants, serverCount * 4);
    EXPECT_LE(used, 4 * controlBudgetPerSecond) << m_leader.answeredGrants << " answers";
}

/// Guards against a leader that tells every instance each of many changes of owners that come at once.
TEST_F(RangeLeaderLoadTest, TellsInstancesManyNewOwnersTogether)
{
    for (int i = 0; i < 200 && m_leader.unansweredGrants.empty(); ++i, m_leader.now += 50ms) {
        m_leader.reduce(RangeTick {});
    }
    ASSERT_EQ(m_leader.unansweredGrants.size(), serverCount);
    for (std::size_t i = 2; i <= instanceCount; ++i) {
        m_leader.report(i);
    }
    m_leader.messages.clear();
    const std::chrono::nanoseconds before = threadTime();
    for (const std::uint64_t call : std::exchange(m_leader.unansweredGrants, {})) {
        m_leader.now += 1ms;
        m_leader.reduce(RangeCallEnded {call, GrantResult::Done, "", false});
    }
    const std::chrono::nanoseconds used = threadTime() - before;
    const auto tableMessages = std::count_if(m_leader.messages.begin(), m_leader.messages.end(),
        [](const wire::Envelope& envelope) { return envelope.has_range_table_view(); });
    // One table for each 50 ms of these answers, at most.
    const std::size_t tables = serverCount / 50 + 1;
    EXPECT_LE(static_cast<std::size_t>(tableMessages), tables * (instanceCount - 1));
    EXPECT_LE(used, controlBudgetPerSecond);
}

/// Guards against a leader that stands still while it finds new owners for the keys of many servers lost at once.
TEST_F(RangeLeaderLoadTest, ReplacesManyLostServersWithinTheBudgetOfControl)
{
    m_leader.run(10s);
    for (std::uint32_t key = 0; key < keyCount; key += 7) {
        m_leader.reduce(KeysCounted {test::LeadingAuthority::service, {{static_cast<std::uint16_t>(key), 1}}});
    }
    m_leader.run(1s);
    const std::chrono::nanoseconds before = threadTime();
    m_leader.listServers(serverCount * 2 / 3);
    m_leader.run(50ms);
    EXPECT_LE(threadTime() - before, controlBudgetPerSecond);
}

} // namespace
} // namespace jasminespread
