#include "gateway/server_availability.h"

#include <gtest/gtest.h>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr MonotonicTime start {1h};

/// A ready server with a drain time of 2 s.
class ServerAvailabilityTest : public testing::Test {
protected:
    ServerAvailabilityTest() { m_server.onListed(ListedServerState::Ready, std::nullopt); }

    [[nodiscard]] ServerBlock newWork(Milliseconds after) const
    {
        return m_server.decide(RequestScope::AnyServer, start + after).block;
    }

    [[nodiscard]] ServerBlock ownedKeys(Milliseconds after) const
    {
        return m_server.decide(RequestScope::OwnerOnly, start + after).block;
    }

    ServerAvailability m_server {2000ms};
};

TEST_F(ServerAvailabilityTest, AServerThatIsNotListedGetsNothing)
{
    EXPECT_EQ(newWork(0ms), ServerBlock::None);
    m_server.onUnlisted();
    EXPECT_EQ(newWork(0ms), ServerBlock::NotListed);
    EXPECT_EQ(ownedKeys(0ms), ServerBlock::NotListed);
}

/// Guards against a drain time that counts from when the instance learned of the state.
TEST_F(ServerAvailabilityTest, TheDrainTimeCountsFromTheEarliestTimeOfTheListing)
{
    m_server.onListed(ListedServerState::Draining, start - 1500ms);
    EXPECT_EQ(newWork(0ms), ServerBlock::Leaving);
    EXPECT_EQ(ownedKeys(0ms), ServerBlock::None);
    EXPECT_EQ(ownedKeys(500ms), ServerBlock::Leaving);
}

/// Guards against a new drain time for a server that was draining before the instance started.
TEST_F(ServerAvailabilityTest, AServerThatIsDrainingInTheFirstListGetsNothing)
{
    ServerAvailability server(2000ms);
    server.onListed(ListedServerState::Draining, std::nullopt);
    EXPECT_EQ(server.decide(RequestScope::OwnerOnly, start).block, ServerBlock::Leaving);
    EXPECT_EQ(server.leavingFor(start), Milliseconds::max());
}

/// Guards against lists that alternate between two states and begin the drain time anew each time.
TEST_F(ServerAvailabilityTest, AStateThatComesBackCountsFromTheFirstTime)
{
    m_server.onListed(ListedServerState::Draining, start);
    m_server.onListed(ListedServerState::Ready, start + 1s);
    EXPECT_EQ(newWork(1s), ServerBlock::None);
    m_server.onListed(ListedServerState::Draining, start + 1500ms);
    EXPECT_EQ(ownedKeys(1900ms), ServerBlock::Leaving);
}

/// Guards against a later or older list that makes a server ready which has said itself that it leaves.
TEST_F(ServerAvailabilityTest, NoListUndoesWhatTheServerStated)
{
    m_server.onLeavingStated(start);
    m_server.onListed(ListedServerState::Ready, start + 500ms);
    EXPECT_EQ(newWork(600ms), ServerBlock::Leaving);
    EXPECT_EQ(ownedKeys(600ms), ServerBlock::None);
    EXPECT_EQ(ownedKeys(2000ms), ServerBlock::Leaving);
    EXPECT_EQ(m_server.decide(RequestScope::AnyServer, start).until, MonotonicTime::max());
}

TEST_F(ServerAvailabilityTest, TheEarlierOfListingAndStatementCounts)
{
    m_server.onListed(ListedServerState::Draining, start);
    m_server.onLeavingStated(start + 1s);
    EXPECT_EQ(ownedKeys(1900ms), ServerBlock::Leaving);
}

/// Guards against requests during a pause, also those that waited for a connection when it began.
TEST_F(ServerAvailabilityTest, APauseBlocksAllRequestsUntilItsEnd)
{
    m_server.onPauseRequested(1000ms, 0.5, start);
    EXPECT_EQ(newWork(999ms), ServerBlock::Pausing);
    EXPECT_EQ(ownedKeys(999ms), ServerBlock::Pausing);
    EXPECT_FALSE(m_server.maySend(RequestScope::OwnerOnly, start + 999ms));
    EXPECT_EQ(m_server.decide(RequestScope::AnyServer, start).until, start + 1100ms);
    EXPECT_EQ(newWork(1100ms), ServerBlock::None);
}

/// Guards against a shorter pause of a later answer that ends a longer one.
TEST_F(ServerAvailabilityTest, AShorterPauseDoesNotEndALongerOne)
{
    m_server.onPauseRequested(2000ms, 0, start);
    m_server.onPauseRequested(100ms, 0, start + 50ms);
    EXPECT_EQ(newWork(1999ms), ServerBlock::Pausing);
}

/// Guards against a server that is lost for long by one answer.
TEST_F(ServerAvailabilityTest, APauseIsBounded)
{
    m_server.onPauseRequested(1h, 0.99, start);
    EXPECT_EQ(newWork(maxServerPause + 500ms), ServerBlock::None);
}

/// Guards against all waiting requests at once when a pause ends.
TEST_F(ServerAvailabilityTest, OneRequestGoesFirstAfterAPause)
{
    m_server.onPauseRequested(1000ms, 0, start);
    EXPECT_FALSE(m_server.onDispatched(start));
    EXPECT_TRUE(m_server.onDispatched(start + 1s));
    EXPECT_EQ(newWork(1010ms), ServerBlock::AwaitingFirstAnswer);
    EXPECT_TRUE(m_server.maySend(RequestScope::AnyServer, start + 1010ms));
    // A request from before the pause is answered now, which says nothing about the server's room.
    m_server.onAnswered(start - 10ms);
    EXPECT_EQ(newWork(1020ms), ServerBlock::AwaitingFirstAnswer);
    // The first request ends without an answer: the next one is the first.
    m_server.onFirstRequestEnded();
    EXPECT_EQ(newWork(1100ms), ServerBlock::None);
    EXPECT_TRUE(m_server.onDispatched(start + 1100ms));
    m_server.onFirstRequestEnded();
    m_server.onAnswered(start + 1100ms);
    EXPECT_FALSE(m_server.onDispatched(start + 1200ms));
    EXPECT_EQ(newWork(1200ms), ServerBlock::None);
}

TEST_F(ServerAvailabilityTest, PausesGrowWhileAServerIsUnreachable)
{
    m_server.onUnreachable(start);
    EXPECT_EQ(newWork(200ms), ServerBlock::Unreachable);
    EXPECT_EQ(newWork(300ms), ServerBlock::None);
    m_server.onUnreachable(start + 300ms);
    EXPECT_EQ(newWork(800ms), ServerBlock::Unreachable);
    m_server.onAnswered(start);
    m_server.onUnreachable(start + 1s);
    EXPECT_EQ(newWork(1300ms), ServerBlock::None);
}

/// Guards against a drain time that stands still while the machine is suspended.
TEST_F(ServerAvailabilityTest, TimeInSuspensionCounts)
{
    m_server.onListed(ListedServerState::Draining, start);
    EXPECT_EQ(ownedKeys(100ms), ServerBlock::None);
    m_server.onSuspended(5s);
    EXPECT_EQ(ownedKeys(100ms), ServerBlock::Leaving);
}

} // namespace
} // namespace jasminespread
