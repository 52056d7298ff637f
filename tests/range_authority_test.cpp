#include "ranges/range_authority.h"
#include "ranges/range_keeper.h"
#include "ranges/range_leadership.h"
#include "ranges/range_placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr MonotonicTime start {1h};

class RangeKeeperTest : public testing::Test {
protected:
    RangeKeeperTest()
        : m_keeper("planner", m_times, m_counters, m_effects)
    {
        m_counters.term = 3;
    }

    static ListedServer server(const std::string& id, ListedServerState state = ListedServerState::Ready)
    {
        ListedServer listed;
        listed.identity = {id, 1};
        listed.service = "planner";
        listed.address = id + ":80";
        listed.slots = 6;
        listed.state = state;
        return listed;
    }

    static RangeHolder holder(const std::string& id) { return {{id, 1}, id + ":80"}; }

    void listServers(ServerList servers)
    {
        m_keeper.setServers(std::make_shared<const ServerList>(std::move(servers)));
    }

    /// Does one step and returns the new effects.
    RangeEffects step(Milliseconds elapsed = 0ms)
    {
        m_now += elapsed;
        m_keeper.step(m_now, true, true);
        return std::exchange(m_effects, {});
    }

    /// Does one step; a write of the record succeeds at once.
    RangeEffects stepAndStore(Milliseconds elapsed = 0ms)
    {
        RangeEffects effects = step(elapsed);
        if (find<WriteRecord>(effects) != nullptr) {
            m_keeper.onRecordWritten({StoreStatus::Ok, ++m_version});
            const RangeEffects more = step();
            effects.insert(effects.end(), more.begin(), more.end());
        }
        return effects;
    }

    RangeEffects finishCall(std::uint64_t call, GrantResult result, const std::string& handover = "")
    {
        (void)m_keeper.onCallEnded({call, result, handover}, m_now, true);
        return stepAndStore();
    }

    /// Steps until @p server is granted a range, and ends the other calls as @p resultOf says. Returns when
    /// that grant is sent; MonotonicTime() if it is not within 10 s.
    template <typename ResultOf> MonotonicTime timeOfGrantTo(const std::string& server, ResultOf resultOf)
    {
        for (int i = 0; i < 200; ++i) {
            for (const RangeEffect& effect : stepAndStore(50ms)) {
                if (const auto* grant = std::get_if<GrantRange>(&effect)) {
                    if (grant->server == holder(server)) {
                        return m_now;
                    }
                    (void)m_keeper.onCallEnded({grant->callId, resultOf(), ""}, m_now, true);
                } else if (const auto* release = std::get_if<ReleaseRange>(&effect)) {
                    (void)m_keeper.onCallEnded({release->callId, resultOf(), "state"}, m_now, true);
                }
            }
        }
        return MonotonicTime();
    }

    template <typename T> static const T* find(const RangeEffects& effects)
    {
        const auto it = std::find_if(effects.begin(), effects.end(),
            [](const RangeEffect& effect) { return std::holds_alternative<T>(effect); });
        return it == effects.end() ? nullptr : &std::get<T>(*it);
    }

    RangeTimes m_times;
    RangeCounters m_counters;
    RangeEffects m_effects;
    RangeKeeper m_keeper;
    MonotonicTime m_now = start;
    std::uint64_t m_version = 10;
};

/// Guards against a lease holder that a later leader does not know about.
TEST_F(RangeKeeperTest, RecordsAHolderBeforeItsFirstGrant)
{
    m_keeper.adopt(std::nullopt, 0, start);
    listServers({server("a")});
    const RangeEffects first = step();
    ASSERT_NE(find<WriteRecord>(first), nullptr);
    EXPECT_EQ(find<GrantRange>(first), nullptr);
    m_keeper.onRecordWritten({StoreStatus::Unavailable, 0});
    EXPECT_EQ(find<GrantRange>(step(100ms)), nullptr);
    EXPECT_NE(find<WriteRecord>(step(200ms)), nullptr);
    m_keeper.onRecordWritten({StoreStatus::Ok, 11});
    EXPECT_NE(find<GrantRange>(step()), nullptr);
}

/// Guards against two owners if the recorded holder is unreachable: its lease must expire before the next grant.
TEST_F(RangeKeeperTest, WaitsForTheLeaseOfAnUnreachableHolder)
{
    const MonotonicTime earlierLeaseEnd = start + 5s;
    m_keeper.adopt(RangesRecord {2, {{{0, maxKey}, {holder("lost")}}}}, 5, earlierLeaseEnd);
    listServers({server("b")});
    MonotonicTime granted;
    for (int i = 0; i < 300 && granted == MonotonicTime(); ++i) {
        RangeEffects effects = stepAndStore(50ms);
        for (const RangeEffect& effect : effects) {
            if (const auto* grant = std::get_if<GrantRange>(&effect)) {
                if (grant->server == holder("b")) {
                    granted = m_now;
                } else {
                    (void)m_keeper.onCallEnded({grant->callId, GrantResult::NoAnswer, ""}, m_now, true);
                }
            } else if (const auto* release = std::get_if<ReleaseRange>(&effect)) {
                (void)m_keeper.onCallEnded({release->callId, GrantResult::NoAnswer, ""}, m_now, true);
            }
        }
    }
    EXPECT_GE(granted, earlierLeaseEnd);
    EXPECT_LE(granted, earlierLeaseEnd + 1s);
}

/// Guards against a server that counts as lost because the leader was too late to send the grants.
TEST_F(RangeKeeperTest, KeepsAServerWhoseGrantsWereWithheld)
{
    m_keeper.adopt(std::nullopt, 0, start);
    listServers({server("a")});
    RangeEffects effects = stepAndStore();
    for (int i = 0; i < 8; ++i) {
        ASSERT_NE(find<GrantRange>(effects), nullptr) << i;
        EXPECT_EQ(find<GrantRange>(effects)->server, holder("a"));
        (void)m_keeper.onCallEnded({find<GrantRange>(effects)->callId, GrantResult::Withheld, ""}, m_now, true);
        effects = stepAndStore(100ms);
        EXPECT_EQ(find<WriteRangeLog>(effects), nullptr) << i;
    }
}

/// Guards against keys without an owner: a server with a long queue resets new connections but is not lost.
TEST_F(RangeKeeperTest, KeepsAServerThatResetsConnections)
{
    m_keeper.adopt(std::nullopt, 0, start);
    listServers({server("a"), server("b")});
    RangeEffects effects = stepAndStore();
    std::map<std::string, KeyRange> owned;
    std::vector<std::uint64_t> calls;
    const auto collect = [&] {
        calls.clear();
        for (const RangeEffect& effect : effects) {
            if (const auto* grant = std::get_if<GrantRange>(&effect)) {
                owned[grant->server.identity.id] = grant->range;
                calls.push_back(grant->callId);
            }
        }
    };
    collect();
    for (const std::uint64_t call : calls) {
        (void)m_keeper.onCallEnded({call, GrantResult::Done, ""}, m_now, true);
    }
    const std::map<std::string, KeyRange> before = owned;
    for (int i = 0; i < 5; ++i) {
        do {
            effects = stepAndStore(50ms);
        } while (find<GrantRange>(effects) == nullptr);
        collect();
        for (const std::uint64_t call : calls) {
            (void)m_keeper.onCallEnded({call, GrantResult::NotSent, "", true}, m_now, true);
        }
    }
    EXPECT_EQ(owned, before);
}

/// Guards against a long time without an owner: a grant that was not sent must not extend the lease of a lost server.
TEST_F(RangeKeeperTest, UnsentGrantsDoNotExtendALease)
{
    m_keeper.adopt(std::nullopt, 0, start);
    listServers({server("a")});
    RangeEffects effects = stepAndStore();
    const MonotonicTime grantedAt = m_now;
    (void)finishCall(find<GrantRange>(effects)->callId, GrantResult::Done);
    listServers({server("a"), server("b")});
    MonotonicTime movedAt;
    for (int i = 0; i < 200 && movedAt == MonotonicTime(); ++i) {
        effects = stepAndStore(50ms);
        for (const RangeEffect& effect : effects) {
            if (const auto* grant = std::get_if<GrantRange>(&effect)) {
                if (grant->server == holder("b")) {
                    movedAt = m_now;
                } else {
                    (void)m_keeper.onCallEnded({grant->callId, GrantResult::NotSent, "", true}, m_now, true);
                }
            } else if (const auto* release = std::get_if<ReleaseRange>(&effect)) {
                (void)m_keeper.onCallEnded({release->callId, GrantResult::NotSent, "", true}, m_now, true);
            }
        }
    }
    EXPECT_GE(movedAt, m_times.leaseEnd(grantedAt));
    EXPECT_LE(movedAt, m_times.leaseEnd(grantedAt) + 200ms);
}

/// Guards against instances that stay on an old table: ranges can be adopted again within a term, and later tables must
/// have higher versions.
TEST_F(RangeKeeperTest, TableVersionsIncreaseWhenRangesAreAdoptedAgain)
{
    m_keeper.adopt(std::nullopt, 0, start);
    listServers({server("a"), server("b")});
    (void)stepAndStore();
    (void)stepAndStore(1s);
    const std::uint64_t before = m_keeper.table()->version;
    RangeKeeper readopted("planner", m_times, m_counters, m_effects);
    readopted.adopt(std::nullopt, 0, start);
    readopted.setServers(std::make_shared<const ServerList>(ServerList {server("a")}));
    readopted.step(m_now, true, true);
    EXPECT_GT(readopted.table()->version, before);
}

/// Guards against a delayed call of a superseded leader: the holder gets a higher fencing token before its release.
TEST_F(RangeKeeperTest, FencesAHolderOfAnEarlierTermBeforeItsRelease)
{
    m_keeper.adopt(RangesRecord {2, {{{0, maxKey}, {holder("a")}}}}, 5, start + 30s);
    listServers({server("a", ListedServerState::Draining), server("b")});
    const RangeEffects fencing = stepAndStore();
    ASSERT_NE(find<GrantRange>(fencing), nullptr);
    EXPECT_EQ(find<GrantRange>(fencing)->server, holder("a"));
    const std::uint64_t fence = find<GrantRange>(fencing)->fence;
    const RangeEffects releasing = finishCall(find<GrantRange>(fencing)->callId, GrantResult::Done);
    ASSERT_NE(find<ReleaseRange>(releasing), nullptr);
    const RangeEffects granting = finishCall(find<ReleaseRange>(releasing)->callId, GrantResult::Done, "state");
    ASSERT_NE(find<GrantRange>(granting), nullptr);
    EXPECT_EQ(find<GrantRange>(granting)->server, holder("b"));
    EXPECT_EQ(find<GrantRange>(granting)->handover, "state");
    EXPECT_GT(find<GrantRange>(granting)->fence, fence);
}

/// Guards against two owners of a key: a server that started again under its id may have taken a renewal that was sent
/// to its earlier process, so it must release the range before another server gets it.
TEST_F(RangeKeeperTest, ARestartedServerReleasesBeforeItsKeysMove)
{
    m_keeper.adopt(std::nullopt, 0, start);
    listServers({server("a")});
    RangeEffects effects = stepAndStore();
    ASSERT_NE(find<GrantRange>(effects), nullptr);
    (void)finishCall(find<GrantRange>(effects)->callId, GrantResult::Done);
    effects = stepAndStore(m_times.renewalInterval);
    ASSERT_NE(find<GrantRange>(effects), nullptr);
    (void)finishCall(find<GrantRange>(effects)->callId, GrantResult::Done); // Taken by the process that started again.
    ListedServer restarted = server("a", ListedServerState::Draining);
    restarted.identity.startedAtUnixMs = 2;
    listServers({restarted, server("b")});
    effects = stepAndStore(50ms);
    EXPECT_EQ(find<GrantRange>(effects), nullptr);
    ASSERT_NE(find<ReleaseRange>(effects), nullptr);
    EXPECT_EQ(find<ReleaseRange>(effects)->server.identity, restarted.identity);
    effects = finishCall(find<ReleaseRange>(effects)->callId, GrantResult::Done);
    ASSERT_NE(find<GrantRange>(effects), nullptr);
    EXPECT_EQ(find<GrantRange>(effects)->server, holder("b"));
}

/// The same for a server that does not answer after its restart, and for a leader that took over meanwhile.
TEST_F(RangeKeeperTest, TheLeaseOfARestartedServerThatDoesNotAnswerExpiresFirst)
{
    const MonotonicTime earlierLeaseEnd = start + 3s;
    m_keeper.adopt(RangesRecord {2, {{{0, maxKey}, {holder("a")}}}}, 5, earlierLeaseEnd);
    ListedServer restarted = server("a", ListedServerState::Draining);
    restarted.identity.startedAtUnixMs = 2;
    listServers({restarted, server("b")});
    const MonotonicTime grantedAt = timeOfGrantTo("b", [] { return GrantResult::NoAnswer; });
    EXPECT_GE(grantedAt, earlierLeaseEnd);
}

/// Guards against two owners of a key: an entry lists a server at another address, where another server answers. Its
/// process at the address before may run, and have the lease, until that expires.
TEST_F(RangeKeeperTest, TheLeaseAtAnEarlierAddressOutlastsWhatAnotherAddressAnswers)
{
    m_keeper.adopt(std::nullopt, 0, start);
    listServers({server("a")});
    RangeEffects effects = stepAndStore();
    ASSERT_NE(find<GrantRange>(effects), nullptr);
    (void)finishCall(find<GrantRange>(effects)->callId, GrantResult::Done);
    const MonotonicTime leaseEnd = m_times.leaseEnd(m_now);
    ListedServer moved = server("a");
    moved.identity.startedAtUnixMs = 2;
    moved.address = "10.0.0.99:80";
    listServers({moved, server("b")});
    unsigned answers = 0;
    const MonotonicTime grantedAt = timeOfGrantTo("b", [&] {
        ++answers;
        return GrantResult::OtherServer;
    });
    EXPECT_GT(answers, 0U);
    EXPECT_GE(grantedAt, leaseEnd);
}

/// Guards against keys without an owner: a faulty server returned a handover that no server can read.
TEST_F(RangeKeeperTest, AGrantThatIsRefusedIsRepeatedWithoutItsHandover)
{
    m_keeper.adopt(std::nullopt, 0, start);
    listServers({server("a")});
    (void)finishCall(find<GrantRange>(stepAndStore())->callId, GrantResult::Done);
    listServers({server("a", ListedServerState::Draining), server("b")});
    RangeEffects effects = stepAndStore(50ms);
    ASSERT_NE(find<ReleaseRange>(effects), nullptr);
    effects = finishCall(find<ReleaseRange>(effects)->callId, GrantResult::Done, "\xff");
    ASSERT_NE(find<GrantRange>(effects), nullptr);
    EXPECT_EQ(find<GrantRange>(effects)->handover, "\xff");
    (void)finishCall(find<GrantRange>(effects)->callId, GrantResult::Refused);
    effects = stepAndStore(150ms);
    ASSERT_NE(find<GrantRange>(effects), nullptr);
    EXPECT_EQ(find<GrantRange>(effects)->server, holder("b"));
    EXPECT_TRUE(find<GrantRange>(effects)->handover.empty());
}

/// Guards against keys that change hands after a restart although the server is ready: it gets them again with a higher
/// fencing token, once the process that runs now is recorded.
TEST_F(RangeKeeperTest, ARestartedServerKeepsItsKeysWithAHigherFence)
{
    m_keeper.adopt(std::nullopt, 0, start);
    listServers({server("a")});
    RangeEffects effects = stepAndStore();
    ASSERT_NE(find<GrantRange>(effects), nullptr);
    const std::uint64_t fence = find<GrantRange>(effects)->fence;
    (void)finishCall(find<GrantRange>(effects)->callId, GrantResult::Done);
    ListedServer restarted = server("a");
    restarted.identity.startedAtUnixMs = 2;
    listServers({restarted, server("b")});
    effects = stepAndStore(50ms);
    ASSERT_NE(find<WriteRecord>(effects), nullptr);
    EXPECT_NE(find<WriteRecord>(effects)->value.find("\"born\":2"), std::string::npos);
    ASSERT_NE(find<GrantRange>(effects), nullptr);
    EXPECT_EQ(find<GrantRange>(effects)->server.identity, restarted.identity);
    EXPECT_GT(find<GrantRange>(effects)->fence, fence);
}

/// Guards against keys that stay with a server which has said itself that it leaves while the store lists it as ready.
TEST_F(RangeKeeperTest, MovesTheKeysOfAServerThatStatesThatItLeaves)
{
    m_keeper.adopt(std::nullopt, 0, start);
    listServers({server("a")});
    const RangeEffects granting = stepAndStore();
    ASSERT_NE(find<GrantRange>(granting), nullptr);
    (void)finishCall(find<GrantRange>(granting)->callId, GrantResult::Done);
    listServers({server("a"), server("b")});
    m_keeper.setLeavingServers({{"a", 1}});
    const RangeEffects releasing = stepAndStore(50ms);
    ASSERT_NE(find<ReleaseRange>(releasing), nullptr);
    const RangeEffects granted = finishCall(find<ReleaseRange>(releasing)->callId, GrantResult::Done, "state");
    ASSERT_NE(find<GrantRange>(granted), nullptr);
    EXPECT_EQ(find<GrantRange>(granted)->server, holder("b"));
    EXPECT_EQ(find<GrantRange>(granted)->handover, "state");
}

/// Guards against keys that stay in an evacuated failure domain, and against keys that are given to it.
TEST_F(RangeKeeperTest, MovesTheKeysOutOfAnEvacuatedFailureDomain)
{
    ListedServer first = server("a");
    first.failureDomain = "north";
    ListedServer second = server("b");
    second.failureDomain = "south";
    m_keeper.adopt(std::nullopt, 0, start);
    listServers({first});
    const RangeEffects granting = stepAndStore();
    ASSERT_NE(find<GrantRange>(granting), nullptr);
    (void)finishCall(find<GrantRange>(granting)->callId, GrantResult::Done);
    m_keeper.setEvacuatedDomains({"north", "south"});
    listServers({first, second});
    EXPECT_EQ(find<ReleaseRange>(stepAndStore(50ms)), nullptr); // No other server may get the keys.
    m_keeper.setEvacuatedDomains({"north"});
    const RangeEffects releasing = stepAndStore(50ms);
    ASSERT_NE(find<ReleaseRange>(releasing), nullptr);
    const RangeEffects granted = finishCall(find<ReleaseRange>(releasing)->callId, GrantResult::Done, "state");
    ASSERT_NE(find<GrantRange>(granted), nullptr);
    EXPECT_EQ(find<GrantRange>(granted)->server, holder("b"));
}

/// Guards against keys that are given to a server in its slow start, and against keys that nobody serves because all
/// servers are in it.
TEST_F(RangeKeeperTest, ColdServersGetNoKeysWhileAnotherOneIsReady)
{
    m_keeper.adopt(std::nullopt, 0, start);
    listServers({server("a"), server("b")});
    m_keeper.setColdServers({{"a", 1}}, 4.5);
    for (const RangeEffect& effect : stepAndStore()) {
        if (const auto* grant = std::get_if<GrantRange>(&effect)) {
            EXPECT_EQ(grant->server, holder("b"));
            EXPECT_EQ(grant->range.size(), keyCount);
            (void)m_keeper.onCallEnded({grant->callId, GrantResult::Done, ""}, m_now, true);
        }
    }
    ASSERT_NE(m_keeper.table(), nullptr);
    // The owner of all keys becomes cold and keeps them, because there is no warm one.
    m_keeper.setColdServers({{"a", 1}, {"b", 1}}, 4.5);
    EXPECT_EQ(find<ReleaseRange>(stepAndStore(50ms)), nullptr);
    // Its share of the load is more than it tolerates.
    m_keeper.setColdServers({{"b", 1}}, 4.5);
    for (std::uint32_t key = 0; key < keyCount; key += 64) {
        m_keeper.addLoad(static_cast<std::uint16_t>(key), 1);
    }
    EXPECT_EQ(timeOfGrantTo("a", [] { return GrantResult::Done; }) != MonotonicTime(), true);
}

/// Guards against keys that lose their owner before the next one can be recorded, or without a next one.
TEST_F(RangeKeeperTest, AServerThatStatesThatItLeavesServesOnUntilTheNextOwnerIsRecorded)
{
    m_keeper.adopt(std::nullopt, 0, start);
    listServers({server("a")});
    const RangeEffects granting = stepAndStore();
    ASSERT_NE(find<GrantRange>(granting), nullptr);
    (void)finishCall(find<GrantRange>(granting)->callId, GrantResult::Done);
    m_keeper.setLeavingServers({{"a", 1}});
    (void)stepAndStore(100ms);
    EXPECT_EQ(m_keeper.table()->routes.front().owner.id, "a");
    listServers({server("a"), server("b")});
    const RangeEffects writing = step(100ms); // The store does not answer.
    EXPECT_NE(find<WriteRecord>(writing), nullptr);
    EXPECT_EQ(find<ReleaseRange>(writing), nullptr);
    EXPECT_EQ(find<ReleaseRange>(step(500ms)), nullptr);
    EXPECT_EQ(m_keeper.table()->routes.front().owner.id, "a");
}

/// Guards against overwriting a record that an earlier leader wrote after this leader read it.
TEST_F(RangeKeeperTest, DetectsARecordOfAnotherTerm)
{
    const RangesRecord record {2, {{{0, maxKey}, {holder("a")}}}};
    m_keeper.adopt(record, 5, start + 3s);
    listServers({server("a")});
    ASSERT_NE(find<WriteRecord>(step()), nullptr);
    m_keeper.onRecordWritten({StoreStatus::Conflict, 0});
    ASSERT_NE(find<ReadRecord>(step(200ms)), nullptr);
    EXPECT_EQ(m_keeper.onRecordReadBack({StoreStatus::Ok, {"ranges-planner", 6, encodeRangesRecord(record)}}),
        RangeKeeper::ReadBackResult::EarlierTerm);
    EXPECT_EQ(
        m_keeper.onRecordReadBack({StoreStatus::Ok, {"ranges-planner", 6, encodeRangesRecord({4, record.ranges})}}),
        RangeKeeper::ReadBackResult::LaterTerm);
}

/// Guards against keys that stay with a draining server, or without an owner, for too long.
TEST_F(RangeKeeperTest, MovesTheKeysOfADrainingServerAtOnce)
{
    m_keeper.adopt(std::nullopt, 0, start);
    listServers({server("a")});
    const RangeEffects granting = stepAndStore();
    (void)finishCall(find<GrantRange>(granting)->callId, GrantResult::Done);
    listServers({server("a", ListedServerState::Draining), server("b")});
    const RangeEffects releasing = stepAndStore(1ms);
    ASSERT_NE(find<ReleaseRange>(releasing), nullptr);
    const MonotonicTime releasedAt = m_now;
    RangeEffects next = finishCall(find<ReleaseRange>(releasing)->callId, GrantResult::Done);
    while (find<GrantRange>(next) == nullptr && m_now < releasedAt + 1s) {
        next = stepAndStore(10ms);
    }
    EXPECT_LE(m_now, releasedAt + 100ms);
    EXPECT_EQ(find<GrantRange>(next)->server, holder("b"));
}

/// Guards against an unanswered grant that the server executes after the release.
TEST_F(RangeKeeperTest, WaitsForAnUnansweredGrantToExpire)
{
    m_keeper.adopt(std::nullopt, 0, start);
    listServers({server("a")});
    const RangeEffects granting = stepAndStore();
    const MonotonicTime sentAt = m_now;
    m_now += m_times.callTimeout;
    (void)finishCall(find<GrantRange>(granting)->callId, GrantResult::NoAnswer);
    listServers({server("a", ListedServerState::Draining), server("b")});
    RangeEffects effects = stepAndStore(100ms);
    ASSERT_NE(find<ReleaseRange>(effects), nullptr);
    effects = finishCall(find<ReleaseRange>(effects)->callId, GrantResult::Done);
    while (find<GrantRange>(effects) == nullptr && m_now < sentAt + 10s) {
        effects = stepAndStore(50ms);
    }
    EXPECT_GE(m_now, m_times.leaseEnd(sentAt));
}

/// Guards against releases one after the other without a pause, while an earlier grant may still arrive.
TEST_F(RangeKeeperTest, PausesBetweenReleasesWhileAnEarlierGrantMayArrive)
{
    m_keeper.adopt(std::nullopt, 0, start);
    listServers({server("a")});
    const RangeEffects granting = stepAndStore();
    const MonotonicTime sentAt = m_now;
    m_now += m_times.callTimeout;
    (void)finishCall(find<GrantRange>(granting)->callId, GrantResult::NoAnswer);
    listServers({server("a", ListedServerState::Draining), server("b")});
    unsigned releases = 0;
    RangeEffects effects = stepAndStore(100ms);
    while (find<GrantRange>(effects) == nullptr && releases < 1000 && m_now < sentAt + 10s) {
        if (const ReleaseRange* release = find<ReleaseRange>(effects)) {
            ++releases;
            effects = finishCall(release->callId, GrantResult::Done);
        } else {
            effects = stepAndStore(1ms);
        }
    }
    EXPECT_GE(m_now, m_times.leaseEnd(sentAt));
    EXPECT_LE(m_now, m_times.leaseEnd(sentAt) + 10ms); // The pause does not delay the next owner.
    EXPECT_GT(releases, 1U);
    EXPECT_LE(releases, 20U);
}

/// Guards against two owners: a grant was sent, its answer proved nothing, and the repeated call was not sent.
TEST_F(RangeKeeperTest, AGrantThatWasSentBeforeAnUnsentOneMayBeExecuted)
{
    for (const GrantResult result : {GrantResult::NotSent, GrantResult::Withheld}) {
        SCOPED_TRACE(enumName(grantResultNames, result));
        RangeKeeper keeper("planner", m_times, m_counters, m_effects);
        keeper.adopt(std::nullopt, 0, start);
        const auto stepAndWrite = [&](Milliseconds elapsed) {
            m_now += elapsed;
            keeper.step(m_now, true, true);
            keeper.onRecordWritten({StoreStatus::Ok, ++m_version});
            keeper.step(m_now, true, true);
            return std::exchange(m_effects, {});
        };
        keeper.setServers(std::make_shared<const ServerList>(ServerList {server("a")}));
        RangeEffects effects = stepAndWrite(0ms);
        const MonotonicTime sentAt = m_now;
        RangeCallEnded ended {find<GrantRange>(effects)->callId, result, ""};
        ended.earlierSendMayArrive = true;
        (void)keeper.onCallEnded(ended, m_now, true);
        keeper.setServers(std::make_shared<const ServerList>(ServerList {server("b")}));
        MonotonicTime movedAt;
        while (movedAt == MonotonicTime() && m_now < sentAt + 10s) {
            for (const RangeEffect& effect : stepAndWrite(50ms)) {
                if (const auto* grant = std::get_if<GrantRange>(&effect)) {
                    movedAt = m_now;
                    EXPECT_EQ(grant->server, holder("b"));
                } else if (const auto* release = std::get_if<ReleaseRange>(&effect)) {
                    (void)keeper.onCallEnded({release->callId, GrantResult::NoAnswer, ""}, m_now, true);
                }
            }
        }
        EXPECT_GE(movedAt, m_times.leaseEnd(sentAt));
    }
}

/// Guards against two owners: a copy answered the first send of a grant, which the server executes after the release.
TEST_F(RangeKeeperTest, WaitsForTheFirstSendOfARepeatedGrantToExpire)
{
    m_keeper.adopt(std::nullopt, 0, start);
    listServers({server("a")});
    const RangeEffects granting = stepAndStore();
    const MonotonicTime sentAt = m_now;
    RangeCallEnded granted {find<GrantRange>(granting)->callId, GrantResult::Done, ""};
    granted.earlierSendMayArrive = true;
    (void)m_keeper.onCallEnded(granted, m_now, true);
    listServers({server("a", ListedServerState::Draining), server("b")});
    RangeEffects effects = stepAndStore(100ms);
    ASSERT_NE(find<ReleaseRange>(effects), nullptr);
    effects = finishCall(find<ReleaseRange>(effects)->callId, GrantResult::Done);
    while (find<GrantRange>(effects) == nullptr && m_now < sentAt + 10s) {
        effects = stepAndStore(50ms);
    }
    EXPECT_GE(m_now, m_times.leaseEnd(sentAt));
}

class RangeLeadershipTest : public testing::Test {
protected:
    RangeLeadershipTest()
        : m_leadership({}, {0, "self", 9, "10.0.0.1:7200", {}}, 1)
    {
    }

    RecordRead readAnswer(const LeaderRecord& record, std::uint64_t version) const
    {
        return {std::string(leaderRecordName), m_now,
            {StoreStatus::Ok, {std::string(leaderRecordName), version, encodeLeaderRecord(record)}}};
    }

    RecordWritten writeAnswer(StoreStatus status) const { return {std::string(leaderRecordName), m_now, {status, 8}}; }

    /// Lets time pass until the instance tries to become the first leader.
    void beginFirstElection()
    {
        ASSERT_TRUE(m_leadership.step(m_now).read);
        m_leadership.onRead({std::string(leaderRecordName), m_now, {StoreStatus::NotFound, {}}});
        m_now += 1s; // The first election waits for fitter instances, and another one may have been elected meanwhile.
        ASSERT_TRUE(m_leadership.step(m_now).read);
        m_leadership.onRead({std::string(leaderRecordName), m_now, {StoreStatus::NotFound, {}}});
        ASSERT_TRUE(m_leadership.step(m_now).write);
    }

    void becomeLeader()
    {
        beginFirstElection();
        m_leadership.onWritten(writeAnswer(StoreStatus::Ok));
    }

    MonotonicTime m_now = start;
    RangeLeadership m_leadership;
};

TEST_F(RangeLeadershipTest, TakesOverWhenHeartbeatsStop)
{
    (void)m_leadership.step(m_now);
    m_leadership.onRead(readAnswer({4, "other", 2, "10.0.0.2:7200", {}}, 7));
    m_now += m_leadership.takeoverTimeout() - 1ms;
    EXPECT_FALSE(m_leadership.step(m_now).write);
    m_now += 1ms;
    const RangeLeadership::Step step = m_leadership.step(m_now);
    ASSERT_TRUE(step.write);
    EXPECT_EQ(step.write->expectedVersion, 7U);
    const Result<LeaderRecord> record = parseLeaderRecord(step.write->value);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->term, 5U);
    EXPECT_EQ(record->unconfirmedLeaders, std::vector<std::string> {"other"});
}

/// Guards against a leader on the smallest machine, which lacks the processor time to renew the grants of a large
/// service.
TEST(RangeLeadershipFitnessTest, AFitInstanceTakesOverFirst)
{
    const auto takeoverDelay = [](double fitness, std::uint64_t seed, bool afterLoss) {
        LeadershipTimes times;
        times.fitness = fitness;
        RangeLeadership leadership(times, LeaderRecord {0, "a", 1, "10.0.0.1:7200", {}}, seed);
        StoreReadResult stored;
        stored.status = StoreStatus::NotFound;
        if (afterLoss) {
            stored.status = StoreStatus::Ok;
            stored.object = {std::string(leaderRecordName), 4, encodeLeaderRecord({3, "b", 2, "10.0.0.2:7200", {}})};
        }
        for (MonotonicTime now = start; now < start + 5s; now += 10ms) {
            const RangeLeadership::Step due = leadership.step(now);
            if (due.write) {
                return now - start;
            }
            if (due.read) {
                leadership.onRead({std::string(leaderRecordName), now, stored});
            }
        }
        return MonotonicTime::duration(5s);
    };
    for (const bool afterLoss : {false, true}) {
        for (std::uint64_t seed = 1; seed < 20; ++seed) {
            EXPECT_LT(takeoverDelay(1, seed, afterLoss), takeoverDelay(0.2, seed + 100, afterLoss));
            EXPECT_LE(takeoverDelay(0, seed, afterLoss), 1600ms) << "the lease times rely on this bound";
        }
    }
}

/// Guards against two owners: an instance that knows the leader only from heartbeats must, when it takes over, still
/// record the earlier leaders that may grant.
TEST_F(RangeLeadershipTest, KeepsUnconfirmedLeadersOfATermKnownByHeartbeat)
{
    (void)m_leadership.step(m_now);
    m_leadership.onRead({std::string(leaderRecordName), m_now, {StoreStatus::NotFound, {}}});
    m_leadership.onHeartbeat(7, "other", 2, "10.0.0.2:7200", m_now);
    m_now += m_leadership.takeoverTimeout();
    ASSERT_TRUE(m_leadership.step(m_now).read);
    m_leadership.onRead(readAnswer({7, "other", 2, "10.0.0.2:7200", {"paused"}}, 9));
    const RangeLeadership::Step step = m_leadership.step(m_now);
    ASSERT_TRUE(step.write);
    const Result<LeaderRecord> record = parseLeaderRecord(step.write->value);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->unconfirmedLeaders, (std::vector<std::string> {"paused", "other"}));
}

/// Guards against two leaders after a write whose answer was lost: the record must be read to learn the outcome.
TEST_F(RangeLeadershipTest, ReadsTheRecordAfterALostAnswer)
{
    beginFirstElection();
    m_leadership.onWritten(writeAnswer(StoreStatus::Unknown));
    EXPECT_NE(m_leadership.role(), RangeLeadership::Role::Leader);
    m_now += 1s;
    ASSERT_TRUE(m_leadership.step(m_now).read);
    m_leadership.onRead(readAnswer({1, "self", 9, "10.0.0.1:7200", {}}, 3));
    EXPECT_EQ(m_leadership.role(), RangeLeadership::Role::Leader);
}

/// Guards against grants of a leader that has not verified its record for a long time.
TEST_F(RangeLeadershipTest, StopsGrantingWhenTheLeaderLeaseExpires)
{
    becomeLeader();
    EXPECT_TRUE(m_leadership.mayGrant(m_now + 11s));
    EXPECT_FALSE(m_leadership.mayGrant(m_now + 13s));
}

/// Guards against grants right after a suspension, during which another instance may have taken over.
TEST_F(RangeLeadershipTest, VerifiesTheRecordAfterASuspension)
{
    becomeLeader();
    m_now += 5s;
    m_leadership.suspendGrants(m_now);
    EXPECT_FALSE(m_leadership.mayGrant(m_now));
    ASSERT_TRUE(m_leadership.step(m_now).read);
    m_leadership.onRead(readAnswer({1, "self", 9, "10.0.0.1:7200", {}}, 8));
    EXPECT_TRUE(m_leadership.mayGrant(m_now));
}

TEST_F(RangeLeadershipTest, StepsDownForALaterTerm)
{
    becomeLeader();
    m_leadership.onHeartbeat(2, "other", 5, "10.0.0.2:7200", m_now);
    EXPECT_EQ(m_leadership.role(), RangeLeadership::Role::Follower);
    EXPECT_FALSE(m_leadership.mayGrant(m_now));
}

/// Guards against two owners and decreasing fencing tokens: a leader that learns of its own term only after a later
/// term has begun must not adopt and overwrite the later leader's record.
TEST(RangeAuthorityTest, DoesNotAdoptARecordOfALaterTerm)
{
    RangeAuthority authority({0, "a", 1, "10.0.0.1:7200", {}}, RangeTimes(), LeadershipTimes(), 1);
    const auto configuration = std::make_shared<GatewayConfiguration>();
    configuration->services["planner"] = GatewayService {"planner", "/health", 100, true, 0ms};
    ListedServer server;
    server.identity = {"s", 1};
    server.service = "planner";
    server.slots = 4;
    (void)authority.reduce({start, RangeServicesConfigured {configuration}});
    (void)authority.reduce({start, RangeServersListed {std::make_shared<const ServerList>(ServerList {server})}});
    const std::string later = encodeRangesRecord({9, {{{0, maxKey}, {{{"s", 1}, "10.0.0.9:80"}}}}});
    unsigned rangesRead = 0;
    bool leaderReadAgain = false;
    for (MonotonicTime now = start; now < start + 1500ms; now += 50ms) {
        std::vector<RangeEvent> events {RangeTick {}};
        for (std::size_t i = 0; i < events.size(); ++i) {
            for (const RangeEffect& effect : authority.reduce({now, std::move(events[i])})) {
                if (const auto* read = std::get_if<ReadRecord>(&effect)) {
                    const bool isLeader = read->name == leaderRecordName;
                    leaderReadAgain = leaderReadAgain || (isLeader && rangesRead > 0);
                    rangesRead += isLeader ? 0 : 1;
                    StoreReadResult result {StoreStatus::NotFound, {}};
                    if (!isLeader) {
                        result = {StoreStatus::Ok, {read->name, 40, later}};
                    }
                    if (!leaderReadAgain) {
                        events.push_back(RecordRead {read->name, now, result});
                    }
                } else if (const auto* write = std::get_if<WriteRecord>(&effect)) {
                    ASSERT_EQ(write->name, leaderRecordName) << "the record of a later term was overwritten";
                    events.push_back(RecordWritten {write->name, now, {StoreStatus::Ok, 8}});
                } else {
                    EXPECT_FALSE(std::holds_alternative<GrantRange>(effect));
                }
            }
        }
    }
    EXPECT_GT(rangesRead, 0U);
    EXPECT_TRUE(leaderReadAgain);
}

std::vector<RangeServer> servers(std::size_t n)
{
    std::vector<RangeServer> created;
    for (std::size_t i = 0; i < n; ++i) {
        created.push_back({{"s" + std::to_string(i), 1}, 6, true});
    }
    return created;
}

using PlacedRanges = std::vector<PlacedRange>;

PlacedRanges placeEvenly(const std::vector<RangeServer>& all)
{
    PlacedRanges ranges;
    for (const RangeMove& move : divideKeys(all)) {
        ranges.push_back({move.range, move.to, true});
    }
    return ranges;
}

PlacedRanges::iterator rangeOf(PlacedRanges& ranges, std::uint32_t key)
{
    return std::find_if(
        ranges.begin(), ranges.end(), [key](const PlacedRange& range) { return range.range.contains(key); });
}

/// Moves a part of one range; returns the index of its previous server.
std::size_t applyMove(PlacedRanges& ranges, const RangeMove& move)
{
    const PlacedRange whole = *rangeOf(ranges, move.range.first);
    ranges.erase(rangeOf(ranges, move.range.first));
    ranges.push_back({move.range, move.to, true});
    if (whole.range.first < move.range.first) {
        ranges.push_back({{whole.range.first, move.range.first - 1}, whole.server, true});
    }
    if (whole.range.last > move.range.last) {
        ranges.push_back({{move.range.last + 1, whole.range.last}, whole.server, true});
    }
    return *whole.server;
}

/// Load of the most loaded of @p n servers, relative to the mean.
double maxRelativeLoad(const PlacedRanges& ranges, const KeyLoad& load, std::size_t n)
{
    std::vector<double> loads(n, 0);
    for (const PlacedRange& range : ranges) {
        loads[*range.server] += load.of(range.range);
    }
    return *std::max_element(loads.begin(), loads.end()) / (load.total() / static_cast<double>(n));
}

TEST(RangePlacementTest, DividesAllKeys)
{
    const std::vector<RangeMove> moves = divideKeys(servers(7));
    ASSERT_EQ(moves.size(), 7U);
    std::uint32_t next = 0;
    for (const RangeMove& move : moves) {
        EXPECT_EQ(move.range.first, next);
        next = move.range.last + 1;
    }
    EXPECT_EQ(next, keyCount);
}

/// Load: 44% of the requests are for 200 neighbouring keys. Without moves one server has more than three times the mean
/// load; after a few rounds of moves every server has less than twice the mean.
TEST(RangePlacementTest, SpreadsHotNeighbouringKeys)
{
    KeyLoad load;
    for (std::uint32_t key = 0; key < keyCount; key += 64) {
        load.add(static_cast<std::uint16_t>(key), 0.1);
    }
    for (std::uint16_t key = 3000; key < 3200; ++key) {
        load.add(key, 0.4);
    }
    const std::vector<RangeServer> all = servers(12);
    PlacedRanges ranges = placeEvenly(all);
    EXPECT_GT(maxRelativeLoad(ranges, load, all.size()), 3);
    for (int round = 0; round < 6; ++round) {
        for (const RangeMove& move : planMoves(all, ranges, load)) {
            applyMove(ranges, move);
        }
    }
    EXPECT_LT(maxRelativeLoad(ranges, load, all.size()), 2);
}

/// Load: a large service at the start of its traffic; half of the requests are for 300 neighbouring keys on one server.
/// Guards against so few moves per round that a large service stays unbalanced for many seconds.
TEST(RangePlacementTest, SpreadsHotKeysOverALargeServiceAtOnce)
{
    KeyLoad load;
    for (std::uint32_t key = 0; key < keyCount; key += 64) {
        load.add(static_cast<std::uint16_t>(key), 0.3);
    }
    for (std::uint16_t key = 3000; key < 3300; ++key) {
        load.add(key, 1);
    }
    std::vector<RangeServer> all = servers(142);
    PlacedRanges ranges = placeEvenly(all);
    EXPECT_GT(maxRelativeLoad(ranges, load, all.size()), 40);
    for (const RangeMove& move : planMoves(all, ranges, load)) {
        applyMove(ranges, move);
    }
    EXPECT_LT(maxRelativeLoad(ranges, load, all.size()), 10);
}

/// Load: one key suddenly gets a quarter of the requests, more than its server can process. Guards against moves of
/// that key, each of which delays its callers by a second and only overloads another server. The other keys of its
/// server must move instead.
TEST(RangePlacementTest, MovesTheNeighboursOfAHotKey)
{
    constexpr std::uint32_t hotKey = 44111;
    constexpr double requestsPerSecond = 160;
    constexpr std::size_t n = 14;
    std::mt19937 random(3);
    std::uniform_int_distribution<std::uint32_t> anyKey(0, maxKey);
    KeyLoad load;
    std::vector<RangeServer> all = servers(n);
    std::vector<MonotonicTime> movedAt(n);
    PlacedRanges ranges = placeEvenly(all);
    const std::size_t hotServer = *rangeOf(ranges, hotKey)->server;
    unsigned hotMoves = 0;
    for (MonotonicTime now = start; now < start + 9s; now += 300ms) {
        load.decay(now);
        for (int i = 0; i < static_cast<int>(requestsPerSecond * 0.3); ++i) {
            const bool hot = now >= start + 3s && random() % 4 == 0;
            load.add(static_cast<std::uint16_t>(hot ? hotKey : anyKey(random)), 1);
        }
        for (std::size_t i = 0; i < n; ++i) {
            all[i].canMoveRanges = now - movedAt[i] >= 1s;
        }
        for (const RangeMove& move : planMoves(all, ranges, load)) {
            hotMoves += move.range.contains(hotKey) ? 1 : 0;
            movedAt[applyMove(ranges, move)] = now;
            movedAt[move.to] = now;
        }
    }
    double neighbours = 0;
    for (const PlacedRange& range : ranges) {
        if (range.server == hotServer) {
            neighbours += load.of(range.range);
        }
    }
    neighbours -= load.ofKey(hotKey);
    EXPECT_EQ(hotMoves, 0U);
    EXPECT_LT(neighbours, 0.3 * load.total() / n);
}

/// Load: even. Guards against moves that delay callers without any benefit.
TEST(RangePlacementTest, PlansNoMovesForAnEvenLoad)
{
    KeyLoad load;
    for (std::uint32_t key = 0; key < keyCount; key += 64) {
        load.add(static_cast<std::uint16_t>(key), 0.1);
    }
    const std::vector<RangeServer> all = servers(12);
    PlacedRanges ranges = placeEvenly(all);
    EXPECT_TRUE(planMoves(all, ranges, load).empty());
}

/// Guards against a new server that gets no keys.
TEST(RangePlacementTest, GivesKeysToANewServer)
{
    KeyLoad load;
    load.add(100, 50);
    const std::vector<RangeServer> all = servers(3);
    const std::vector<PlacedRange> ranges {{{0, 30'000}, 0, true}, {{30'001, maxKey}, 1, true}};
    const std::vector<RangeMove> moves = planMoves(all, ranges, load);
    ASSERT_FALSE(moves.empty());
    EXPECT_EQ(moves.front().to, 2U);
}

/// Guards against moves to a server that may only give ranges, and against one that keeps what it cannot serve.
TEST(RangePlacementTest, AServerThatReceivesNothingGivesToTheOthers)
{
    KeyLoad load;
    for (std::uint32_t key = 0; key < keyCount; key += 16) {
        load.add(static_cast<std::uint16_t>(key), 1);
    }
    std::vector<RangeServer> all = servers(3);
    all[0].canReceiveRanges = false;
    all[0].capacity = 0.1;
    const std::vector<PlacedRange> ranges {
        {{0, 20'000}, 0, true}, {{20'001, 40'000}, 1, true}, {{40'001, maxKey}, 2, true}};
    const std::vector<RangeMove> moves = planMoves(all, ranges, load);
    ASSERT_FALSE(moves.empty());
    for (const RangeMove& move : moves) {
        EXPECT_NE(move.to, 0U);
        EXPECT_LE(move.range.last, 20'000U);
    }
    EXPECT_NE(LeastLoadedPlacement(all, {}, load).assign({0, 10})->identity, all[0].identity);
}

TEST(RangeRecordTest, EncodingRoundTrips)
{
    const RangesRecord record {
        3, {{{0, 9}, {{{"a", 5}, "1:1"}}}, {{10, maxKey}, {{{"a", 5}, "1:1"}, {{"b", 0}, "2:2"}}}}};
    const Result<RangesRecord> parsed = parseRangesRecord(encodeRangesRecord(record));
    ASSERT_TRUE(parsed);
    EXPECT_EQ(*parsed, record);
    EXPECT_FALSE(parseRangesRecord(R"({"term":1,"ranges":[{"from":5,"to":65535,"holders":[]}]})"));
    EXPECT_FALSE(parseRangesRecord("text"));
    const LeaderRecord leader {7, "a", ~0ULL, "1:1", {"b"}};
    const Result<LeaderRecord> parsedLeader = parseLeaderRecord(encodeLeaderRecord(leader));
    ASSERT_TRUE(parsedLeader);
    EXPECT_EQ(*parsedLeader, leader);
}

} // namespace
} // namespace jasminespread
