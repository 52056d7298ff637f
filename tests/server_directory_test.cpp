#include "gateway/server_directory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr MonotonicTime start {1h};
constexpr ServerDirectoryTimes times {2000ms, 3500ms};

ServerRegistration registrationOf(
    std::uint64_t startedAtUnixMs, std::uint64_t sequence, ListedServerState state = ListedServerState::Ready)
{
    ServerRegistration registration;
    registration.server.identity = {"a", startedAtUnixMs};
    registration.server.service = "planner";
    registration.server.address = "10.0.0.1:80";
    registration.server.state = state;
    registration.sequence = sequence;
    return registration;
}

class ServerRegistrationTest : public testing::Test {
protected:
    ServerRegistrationTest()
        : m_directory(times)
    {
    }

    void list(const ServerRegistrations& registrations, Milliseconds at)
    {
        m_directory.update(registrations, start + at);
    }

    /// The store confirms the list again and again.
    void confirm(Milliseconds from, Milliseconds to)
    {
        for (Milliseconds at = from; at <= to; at += 100ms) {
            m_directory.confirm(start + at);
        }
    }

    [[nodiscard]] ServerList servers() const { return *m_directory.servers(); }

    ServerDirectory m_directory;
};

/// Guards against requests to a draining server: a write of its earlier state is carried out after the newer one.
TEST_F(ServerRegistrationTest, ALateWriteDoesNotUndoANewerOne)
{
    list({registrationOf(100, 7)}, 0ms);
    const ServerRegistration draining = registrationOf(100, 9, ListedServerState::Draining);
    list({draining}, 100ms);
    confirm(100ms, 2600ms);
    list({registrationOf(100, 7)}, 2600ms);
    EXPECT_EQ(servers(), ServerList {draining.server});
    list({registrationOf(100, 12, ListedServerState::Draining)}, 3300ms);
    confirm(3300ms, 20s);
    EXPECT_FALSE(m_directory.applyTimeouts(start + 20s));
    EXPECT_EQ(servers(), ServerList {draining.server});
}

/// Guards against requests to a server whose entry was removed: a late write of it creates the entry again.
TEST_F(ServerRegistrationTest, ALateWriteDoesNotBringBackAServerThatIsGone)
{
    list({registrationOf(100, 9, ListedServerState::Draining)}, 0ms);
    list({}, 1s);
    EXPECT_TRUE(servers().empty());
    confirm(1s, 4s);
    list({registrationOf(100, 8)}, 4s);
    EXPECT_TRUE(servers().empty());
    confirm(4s, 6600ms);
    list({}, 6600ms);
    confirm(6600ms, 20s);
    EXPECT_FALSE(m_directory.applyTimeouts(start + 20s));
    EXPECT_TRUE(servers().empty());
}

/// The same for a late write that is newer than what was known: an entry changes only when more than its sequence does.
/// A server that runs stays listed for longer than such a write.
TEST_F(ServerRegistrationTest, ALateWriteWithAHigherSequenceDoesNotBringBackAServerThatIsGone)
{
    list({registrationOf(100, 9)}, 0ms);
    list({}, 1s);
    list({registrationOf(100, 12)}, 1500ms);
    confirm(1500ms, 4100ms);
    EXPECT_FALSE(m_directory.applyTimeouts(start + 4100ms));
    EXPECT_TRUE(servers().empty());
    list({}, 4200ms);
    confirm(4200ms, 9s);
    EXPECT_FALSE(m_directory.applyTimeouts(start + 9s));
    EXPECT_TRUE(servers().empty());
    list({registrationOf(100, 20)}, 10s); // It runs, and its registration had expired.
    confirm(10s, 13s);
    EXPECT_FALSE(m_directory.applyTimeouts(start + 13s));
    confirm(13s, 13'600ms);
    EXPECT_TRUE(m_directory.applyTimeouts(start + 13'600ms));
    EXPECT_EQ(servers(), ServerList {registrationOf(100, 20).server});
}

/// Guards against the identity and the state of a run that has ended, which a late write lists again.
TEST_F(ServerRegistrationTest, ALateWriteOfAnEarlierRunChangesNothing)
{
    list({registrationOf(100, 50)}, 0ms);
    list({registrationOf(200, 1)}, 500ms);
    EXPECT_EQ(servers().front().identity.startedAtUnixMs, 200U);
    list({registrationOf(100, 51, ListedServerState::Draining)}, 1s);
    EXPECT_EQ(servers(), ServerList {registrationOf(200, 1).server});
}

/// Guards against a server that stays unused because its clock was set back before it started again.
TEST_F(ServerRegistrationTest, AnEarlierStartTimeThatStaysListedIsAccepted)
{
    list({registrationOf(200, 50)}, 0ms);
    list({registrationOf(100, 1)}, 1s);
    list({registrationOf(100, 2)}, 2s); // Also counts as the run that is listed since 1 s.
    confirm(2s, 4400ms);
    EXPECT_FALSE(m_directory.applyTimeouts(start + 4400ms));
    EXPECT_EQ(servers().front().identity.startedAtUnixMs, 200U);
    EXPECT_TRUE(m_directory.applyTimeouts(start + 4600ms));
    EXPECT_EQ(servers().front().identity.startedAtUnixMs, 100U);
}

/// Guards against accepting a late write that the store has replaced while it could not be reached.
TEST_F(ServerRegistrationTest, TheTimeOfAnOutageDoesNotCount)
{
    list({registrationOf(200, 50, ListedServerState::Draining)}, 0ms);
    list({registrationOf(100, 1)}, 1s);
    EXPECT_FALSE(m_directory.applyTimeouts(start + 20s));
    confirm(20s, 23s);
    EXPECT_FALSE(m_directory.applyTimeouts(start + 23s));
    EXPECT_EQ(servers().front().identity.startedAtUnixMs, 200U);
}

/// Guards against orders at a server of another service, and against the loss of what is known of a server: an entry of
/// another writer has its id.
TEST_F(ServerRegistrationTest, AnEntryThatTheServerCannotHaveWrittenNamesNoServer)
{
    ServerRegistration unreadable;
    unreadable.server.identity.id = "a";
    unreadable.isOverwritten = true;
    ServerRegistration withoutStart = registrationOf(0, 9);
    ServerRegistration otherService = registrationOf(100, 9);
    otherService.server.service = "ledger";
    ServerRegistration otherAddress = registrationOf(100, 9);
    otherAddress.server.address = "10.0.0.2:80";
    for (const ServerRegistration& odd : {unreadable, withoutStart, otherService, otherAddress}) {
        m_directory = ServerDirectory(times);
        list({registrationOf(100, 7)}, 0ms);
        list({odd}, 100ms);
        EXPECT_TRUE(servers().empty());
        list({registrationOf(100, 8)}, 900ms);
        EXPECT_EQ(servers(), ServerList {registrationOf(100, 8).server});
    }
    m_directory = ServerDirectory(times);
    list({unreadable}, 0ms); // Its server is not known.
    EXPECT_TRUE(servers().empty());
}

/// Guards against order of arrival: whatever is listed late or twice, the newest registration that was listed counts.
TEST_F(ServerRegistrationTest, TheNewestCountsInEveryOrder)
{
    for (std::uint64_t seed = 1; seed <= 5000; ++seed) {
        std::mt19937_64 random(seed);
        ServerRegistrations written;
        for (std::uint64_t run = 1; run <= 3; ++run) {
            for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
                const auto state = random() % 3 == 0 ? ListedServerState::Draining : ListedServerState::Ready;
                written.push_back(registrationOf(run * 100, sequence, state));
            }
        }
        ServerRegistrations arrivals = written;
        arrivals.insert(arrivals.end(), written.begin(), written.end());
        std::shuffle(arrivals.begin(), arrivals.end(), random);
        ServerDirectory directory(times);
        const ServerRegistration* newest = nullptr;
        MonotonicTime now = start;
        for (const ServerRegistration& arrival : arrivals) {
            now += 100ms;
            directory.update({arrival}, now);
            newest = newest == nullptr || precedes(*newest, arrival) ? &arrival : newest;
            ASSERT_EQ(*directory.servers(), ServerList {newest->server}) << "seed " << seed;
        }
    }
}

} // namespace
} // namespace jasminespread
