#include "ranges/range_authority.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

const ServerIdentity coldServer {"s1", 7};

/// A leader and a follower that reports to it; the messages are passed on by the test.
class ColdServerPermitsTest : public testing::Test {
protected:
    ColdServerPermitsTest()
        : m_leader(LeaderRecord {0, "edge-1", 11, "10.0.0.1:7200", {}}, RangeTimes(), LeadershipTimes(), 1, limits)
        , m_follower(LeaderRecord {0, "edge-2", 12, "10.0.0.2:7200", {}}, RangeTimes(), LeadershipTimes(), 2, limits)
    {
        configure(m_leader, 4.5);
        while (m_leader.term() == 0 || !m_leader.isLeader()) {
            (void)step(m_leader);
            m_now += 50ms;
        }
        for (int i = 0; i < 8; ++i, m_now += 50ms) {
            exchange();
        }
    }

    void configure(RangeAuthority& authority, double rate)
    {
        auto configuration = std::make_shared<GatewayConfiguration>();
        configuration->services["ledger"] = GatewayService {"ledger", "/health", 100, false, 0ms, rate};
        (void)authority.reduce({m_now, RangeServicesConfigured {configuration}});
        ListedServer listed;
        listed.identity = coldServer;
        listed.service = "ledger";
        (void)authority.reduce({m_now, RangeServersListed {std::make_shared<const ServerList>(ServerList {listed})}});
    }

    /// Lets time pass at @p authority, answers its calls of the store, and returns the other effects.
    RangeEffects step(RangeAuthority& authority)
    {
        RangeEffects effects = authority.reduce({m_now, RangeTick {}});
        for (std::size_t i = 0; i < effects.size(); ++i) {
            RangeEffects more;
            if (const auto* read = std::get_if<ReadRecord>(&effects[i])) {
                const StoreReadResult result = m_record.value.empty() ? StoreReadResult {StoreStatus::NotFound, {}}
                                                                      : StoreReadResult {StoreStatus::Ok, m_record};
                more = authority.reduce({m_now, RecordRead {read->name, m_now, result}});
            } else if (const auto* write = std::get_if<WriteRecord>(&effects[i])) {
                m_record = {write->name, m_record.version + 1, write->value};
                more = authority.reduce(
                    {m_now, RecordWritten {write->name, m_now, {StoreStatus::Ok, m_record.version}}});
            }
            effects.insert(effects.end(), more.begin(), more.end());
        }
        return effects;
    }

    /// Passes messages of both instances on at once.
    void exchange()
    {
        for (const RangeEffect& effect : step(m_leader)) {
            if (const auto* sent = std::get_if<SendRangePeerMessage>(&effect)) {
                toFollower(sent->envelope);
            } else if (const auto* published = std::get_if<PublishColdPermits>(&effect)) {
                m_leaderPermits = *published;
            }
        }
        for (const RangeEffect& effect : step(m_follower)) {
            if (const auto* sent = std::get_if<SendRangePeerMessage>(&effect)) {
                m_reportSentAt = m_now;
                wire::Envelope envelope = sent->envelope;
                envelope.mutable_sender()->set_id("edge-2");
                envelope.mutable_sender()->set_incarnation(12);
                (void)m_leader.reduce({m_now, RangePeerMessage {envelope}});
            }
        }
    }

    void toFollower(wire::Envelope envelope)
    {
        envelope.mutable_sender()->set_id("edge-1");
        envelope.mutable_sender()->set_incarnation(11);
        if (envelope.has_range_leader_heartbeat()) {
            m_heartbeat = envelope;
        }
        for (const RangeEffect& effect : m_follower.reduce({m_now, RangePeerMessage {envelope}})) {
            if (const auto* published = std::get_if<PublishColdPermits>(&effect)) {
                m_permits = *published;
            }
        }
    }

    static inline const std::optional<ColdServerLimits> limits {ColdServerLimits {1.5, 8}};
    MonotonicTime m_now {1h};
    StoredObject m_record;
    RangeAuthority m_leader;
    RangeAuthority m_follower;
    std::optional<PublishColdPermits> m_leaderPermits;
    std::optional<PublishColdPermits> m_permits; ///< Latest ones that the follower published.
    std::optional<wire::Envelope> m_heartbeat; ///< Latest one to the follower.
    MonotonicTime m_reportSentAt;
};

/// Guards against permits for instances without demand, and against lost demand.
TEST_F(ColdServerPermitsTest, AnInstanceWithDemandGetsThePermit)
{
    ASSERT_TRUE(m_permits.has_value());
    EXPECT_TRUE(m_permits->permits.empty());
    (void)m_follower.reduce({m_now, ColdDemandsObserved {{{coldServer, 3}}}});
    for (int i = 0; i < 14; ++i, m_now += 50ms) {
        exchange();
    }
    EXPECT_EQ(m_permits->permits, (ColdPermits {{coldServer, 4}}));
    EXPECT_TRUE(m_leaderPermits->permits.empty());
    EXPECT_LE(m_permits->validUntil, m_reportSentAt + coldPermitTime);
}

/// Guards against a heartbeat that was on its way for long and would be valid for longer than the leader assumes.
TEST_F(ColdServerPermitsTest, ALateHeartbeatGivesNoTime)
{
    (void)m_follower.reduce({m_now, ColdDemandsObserved {{{coldServer, 3}}}});
    for (int i = 0; i < 14; ++i, m_now += 50ms) {
        exchange();
    }
    const MonotonicTime validUntil = m_permits->validUntil;
    m_now += 5s;
    toFollower(*m_heartbeat);
    EXPECT_LE(m_permits->validUntil, validUntil);
}

/// Guards against the answer to a report of an earlier process of the same id, whose clock may have been another.
TEST_F(ColdServerPermitsTest, TheAnswerToAnEarlierProcessGivesNoPermit)
{
    (void)m_follower.reduce({m_now, ColdDemandsObserved {{{coldServer, 3}}}});
    for (int i = 0; i < 14; ++i, m_now += 50ms) {
        exchange();
    }
    wire::Envelope envelope = *m_heartbeat;
    ASSERT_GE(envelope.range_leader_heartbeat().cold_permits_size(), 2);
    envelope.mutable_range_leader_heartbeat()->mutable_cold_permits(0)->set_requests(13);
    toFollower(envelope);
    EXPECT_LE(m_permits->validUntil, m_now);
}

/// Guards against permits of a leader that can no longer know that it leads.
TEST_F(ColdServerPermitsTest, ALeaderThatMayNotGrantIssuesNone)
{
    m_now += 2s; // A gap in its ticks: the process was suspended.
    (void)m_leader.reduce({m_now, ColdDemandsObserved {{{coldServer, 3}}}});
    for (const RangeEffect& effect : m_leader.reduce({m_now, RangeTick {}})) {
        if (const auto* published = std::get_if<PublishColdPermits>(&effect)) {
            EXPECT_TRUE(published->permits.empty());
        }
    }
}

} // namespace
} // namespace jasminespread
