#include "gateway/server_directory.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr MonotonicTime start {1h};
constexpr Milliseconds confirmationInterval = 500ms;

/// An outage of 1.5 s can let registrations expire.
constexpr ServerDirectoryTimes times {2000ms, 3000ms, 1500ms};

ServerRegistration listed(const std::string& id)
{
    ServerRegistration registration;
    registration.server.identity = {id, 1};
    return registration;
}

/// Guards against losing all servers when the store comes back from an outage before their entries do.
TEST(ServerDirectoryTest, RetainsEntriesThatExpiredDuringAStoreOutage)
{
    ServerDirectory directory(times);
    directory.update({listed("a"), listed("b")}, start);
    directory.update({listed("a")}, start + 9s);
    ASSERT_EQ(directory.servers()->size(), 2U);
    EXPECT_EQ(directory.servers()->back().state, ListedServerState::Missing);
    EXPECT_FALSE(directory.applyTimeouts(start + 10'900ms));
    directory.update({listed("a"), listed("b")}, start + 10'950ms); // Reappears just in time.
    EXPECT_FALSE(directory.applyTimeouts(start + 12s));
    EXPECT_EQ(directory.servers()->back().state, ListedServerState::Ready);
}

/// Guards against requests to a server whose entry does not reappear.
TEST(ServerDirectoryTest, RemovesEntriesThatDoNotReappear)
{
    ServerDirectory directory(times);
    directory.update({listed("a"), listed("b")}, start);
    directory.update({listed("a")}, start + 9s);
    directory.confirm(start + 10s);
    EXPECT_TRUE(directory.applyTimeouts(start + 11s));
    EXPECT_EQ(directory.servers()->size(), 1U);
    directory.confirm(start + 11s);
    directory.update({}, start + 12s); // Without an outage a missing entry is removed at once.
    EXPECT_TRUE(directory.servers()->empty());
}

/// Guards against the removal of servers that registered after the copy was made from which the store was restored.
TEST(ServerDirectoryTest, RetainsEntriesThatARestoredStoreLacks)
{
    ServerDirectory directory(times);
    directory.update({listed("a"), listed("b")}, start);
    directory.onStoreRestored(start + 1s);
    directory.update({listed("a")}, start + 1s);
    ASSERT_EQ(directory.servers()->size(), 2U);
    EXPECT_EQ(directory.servers()->back().state, ListedServerState::Missing);
    directory.confirm(start + 2s);
    EXPECT_TRUE(directory.applyTimeouts(start + 3s));
    EXPECT_EQ(directory.servers()->size(), 1U);
}

/// A directory with the servers "a" and "b", whose list has been confirmed for 5 s.
class ServerGraceTest : public testing::Test {
protected:
    ServerGraceTest()
        : m_directory(times)
    {
        m_directory.update({listed("a"), listed("b")}, start);
        confirm(0ms, 5000ms);
    }

    /// The store confirms the list again and again.
    void confirm(Milliseconds from, Milliseconds to)
    {
        for (Milliseconds at = from; at <= to; at += confirmationInterval) {
            m_directory.confirm(start + at);
            (void)m_directory.applyTimeouts(start + at);
        }
    }

    [[nodiscard]] bool isUsed(const std::string& id) const
    {
        const std::shared_ptr<const ServerList> servers = m_directory.servers();
        return std::any_of(
            servers->begin(), servers->end(), [&id](const ListedServer& server) { return server.identity.id == id; });
    }

    ServerDirectory m_directory;
};

/// Guards against requests to a server that has left, for as long as it serves and longer: a watch of the store was cut
/// off as its registration was removed.
TEST_F(ServerGraceTest, AServerThatVanishesBesideAFailedCallHasLeft)
{
    m_directory.update({listed("a")}, start + 5200ms);
    EXPECT_FALSE(isUsed("b"));
}

/// Guards against the same by a further failed call in each grace period.
TEST_F(ServerGraceTest, FailedCallsDoNotProlongAGracePeriod)
{
    m_directory.update({listed("a")}, start + 9s); // After an outage of 4 s.
    EXPECT_TRUE(isUsed("b"));
    for (Milliseconds at = 9500ms; at < 11s; at += confirmationInterval) {
        m_directory.confirm(start + at);
        m_directory.update({listed("a")}, start + at);
        EXPECT_TRUE(isUsed("b"));
    }
    EXPECT_TRUE(m_directory.applyTimeouts(start + 11s));
    EXPECT_FALSE(isUsed("b"));
}

/// Guards against servers that stay unused for long after an outage: they register again a little later than expected.
TEST_F(ServerGraceTest, AServerThatExpiredInAnOutageIsUsedAsSoonAsItReturns)
{
    m_directory.update({listed("a")}, start + 9s);
    confirm(9s, 11'500ms);
    EXPECT_FALSE(isUsed("b"));
    m_directory.update({listed("a"), listed("b")}, start + 11'600ms);
    EXPECT_TRUE(isUsed("b"));
}

/// Guards against the loss of servers that could not register yet, since the store went away again.
TEST_F(ServerGraceTest, TheTimeOfAnotherOutageDoesNotCountInAGracePeriod)
{
    m_directory.update({listed("a")}, start + 9s);
    confirm(9s, 9500ms);
    EXPECT_FALSE(m_directory.applyTimeouts(start + 12s));
    m_directory.update({listed("a")}, start + 13'500ms); // After another outage of 4 s.
    confirm(13'500ms, 14'500ms);
    EXPECT_TRUE(isUsed("b"));
    confirm(15s, 15s);
    EXPECT_FALSE(isUsed("b"));
}

/// Guards against a grace period without end by outages that alternate with short returns.
TEST_F(ServerGraceTest, TheTimeWithoutAnOutageIsLimitedWhateverHappensBetween)
{
    Milliseconds at = 5000ms;
    Milliseconds available {0};
    while (available < 10s && (at == 5000ms || isUsed("b"))) {
        at += 1600ms;
        m_directory.update({listed("a")}, start + at);
        confirm(at, at + confirmationInterval);
        at += confirmationInterval;
        available += confirmationInterval;
    }
    EXPECT_EQ(available, times.gracePeriod);
}

/// Guards against a grace period that begins with the process itself.
TEST(ServerDirectoryTest, AStartBeginsNoGracePeriod)
{
    ServerDirectory directory(times);
    directory.update({listed("a"), listed("b")}, start);
    directory.update({listed("a")}, start + 300ms);
    EXPECT_EQ(directory.servers()->size(), 1U);
}

/// Guards against a difference between the instances: the store turns one away while another one's calls show that the
/// store was there.
TEST_F(ServerGraceTest, AnInstanceThatIsTurnedAwayKnowsByOthersThatTheStoreWasThere)
{
    confirm(5s, 15s);
    m_directory.update({listed("a")}, start + 15'100ms);
    EXPECT_FALSE(isUsed("b"));
}

/// Guards against the other difference: an instance that made no call in the outage learns of the missing server from
/// another one.
TEST_F(ServerGraceTest, AnOutageCountsForAnInstanceThatMadeNoCallInIt)
{
    m_directory.update({listed("a")}, start + 9s);
    EXPECT_TRUE(isUsed("b"));
}

} // namespace
} // namespace jasminespread
