#include "control/group_view.h"
#include "control_simulation.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace jasminespread {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;
using testing::SizeIs;

const GroupName ledger0 {"ledger", 0};
const GroupName ledger1 {"ledger", 1};

class ControlAuthorityTest : public testing::Test {
protected:
    /// Runs until the groups exist and all servers have their leases.
    void settle()
    {
        simulation.run(Milliseconds(500));
        simulation.load();
        simulation.run(Milliseconds(3000));
    }

    /// Partitions of both groups that no server executes.
    std::size_t unavailable()
    {
        std::size_t count = 0;
        for (std::uint32_t partition = 0; partition < 8; ++partition) {
            count += simulation.holders({"ledger", partition % 2}, partition).empty() ? 1 : 0;
        }
        return count;
    }

    /// Primary of ledger.0 in the routes of an instance.
    std::string routedPrimary(const std::string& instance)
    {
        const RoutingSnapshot& routing = *simulation.instances.at(instance).routing;
        const std::optional<std::uint32_t> primary = routing.services.at("ledger").groups.at(0).primary;
        return primary ? routing.instances.at(*primary).id : "";
    }

    ControlSimulation simulation {ledgerConfiguration(4), {{"a", "b", "c", "d"}}};
};

// Guards against groups that are never created, or created twice with different primaries.
TEST_F(ControlAuthorityTest, GroupsAreCreatedAndServed)
{
    settle();
    ASSERT_TRUE(simulation.stored(ledger0));
    EXPECT_EQ(simulation.stored(ledger0)->term, 1U);
    ASSERT_TRUE(simulation.stored(ledger0)->standby);
    EXPECT_NE(simulation.instances.at(simulation.stored(ledger0)->primary.id).settings.failureDomain,
        simulation.instances.at(simulation.stored(ledger0)->standby->id).settings.failureDomain);
    EXPECT_EQ(unavailable(), 0U);
    EXPECT_THAT(simulation.authorities(ledger0), ElementsAre(simulation.stored(ledger0)->primary.id));
    for (const auto& [id, instance] : simulation.instances) {
        EXPECT_TRUE(simulation.route(id, "ledger", "meter-7").owner.server) << id;
    }
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against steady state that costs store calls for each lease.
TEST_F(ControlAuthorityTest, SteadyStateNeedsFewStoreCalls)
{
    settle();
    simulation.storeReads.clear();
    simulation.storeWrites = 0;
    simulation.run(Milliseconds(30'000));
    EXPECT_EQ(simulation.storeWrites, 0U);
    EXPECT_LE(simulation.storeReads["group"], 4U * 4U);
    // One instance of the only region reads the configuration every 2 s.
    EXPECT_LE(simulation.storeReads["config"], 16U);
    EXPECT_EQ(unavailable(), 0U);
}

// Guards against a gap or two owners when the primary dies.
TEST_F(ControlAuthorityTest, StandbyTakesOverFromSilentPrimary)
{
    settle();
    const GroupRecord before = *simulation.stored(ledger0);
    simulation.stop(before.primary.id);
    std::size_t gaps = 0;
    simulation.onStep = [&] { gaps += unavailable(); };
    simulation.run(Milliseconds(3000));
    const GroupRecord after = *simulation.stored(ledger0);
    EXPECT_EQ(after.term, before.term + 1);
    EXPECT_EQ(after.primary, *before.standby);
    EXPECT_EQ(gaps, 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against a paused primary that goes on granting after its lease, or keeps its authority after the takeover.
TEST_F(ControlAuthorityTest, PausedPrimaryStepsDownWhenItReturns)
{
    settle();
    const GroupRecord before = *simulation.stored(ledger0);
    const std::string paused = before.primary.id;
    simulation.pause(paused);
    simulation.run(Milliseconds(5000));
    EXPECT_EQ(simulation.stored(ledger0)->primary, *before.standby);
    simulation.resume(paused);
    EXPECT_THAT(simulation.authorities(ledger0), ElementsAre(before.standby->id));
    simulation.run(Milliseconds(2000));
    EXPECT_THAT(simulation.authorities(ledger0), ElementsAre(before.standby->id));
    EXPECT_EQ(routedPrimary(paused), before.standby->id);
    EXPECT_EQ(unavailable(), 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against groups that stay without a primary when primary and standby are lost together.
TEST_F(ControlAuthorityTest, ThirdInstanceTakesOverWhenBothAreLost)
{
    settle();
    const GroupRecord before = *simulation.stored(ledger0);
    simulation.stop(before.primary.id);
    simulation.stop(before.standby->id);
    simulation.run(Milliseconds(4000));
    const GroupRecord after = *simulation.stored(ledger0);
    EXPECT_EQ(after.term, before.term + 1);
    EXPECT_NE(after.primary.id, before.standby->id);
    EXPECT_THAT(simulation.authorities(ledger0), ElementsAre(after.primary.id));
    EXPECT_EQ(unavailable(), 0U);
    simulation.run(Milliseconds(1000));
    EXPECT_THAT(simulation.stored(ledger0)->unconfirmedServers, IsEmpty());
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against a third instance moving a partition that a cut-off primary and standby still extend.
TEST_F(ControlAuthorityTest, ThirdInstanceWaitsForUnreachableServer)
{
    settle();
    const GroupRecord before = *simulation.stored(ledger0);
    const std::string server = before.partitions.front().owner;
    // Primary and standby keep the server; the others and the store do not reach them.
    for (const std::string& side : {before.primary.id, before.standby->id}) {
        simulation.cut(side, "store");
        for (const auto& [id, instance] : simulation.instances) {
            if (id != before.primary.id && id != before.standby->id) {
                simulation.cut(side, id);
                simulation.cut(id, server);
            }
        }
        for (const auto& [id, fake] : simulation.servers) {
            if (id != server) {
                simulation.cut(side, id);
            }
        }
    }
    simulation.run(Milliseconds(20'000));
    EXPECT_EQ(simulation.stored(ledger0)->term, before.term + 1);
    EXPECT_EQ(simulation.stored(ledger0)->partitions.front().owner, server);
    EXPECT_THAT(simulation.holders(ledger0, before.partitions.front().partition), ElementsAre(server));
    EXPECT_THAT(simulation.violations(), IsEmpty());

    const std::string taker = simulation.stored(ledger0)->primary.id;
    simulation.stop(before.primary.id);
    simulation.stop(before.standby->id);
    simulation.request(taker, OperatorAction::DeclareInstanceLost, before.primary.id);
    EXPECT_EQ(simulation.instances.at(taker).lastStatus, 200U);
    simulation.request(taker, OperatorAction::DeclareInstanceLost, before.standby->id);
    simulation.run(Milliseconds(4000));
    EXPECT_NE(simulation.stored(ledger0)->partitions.front().owner, server);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against leases that end although primary and standby can extend them, and against moves without the store.
TEST_F(ControlAuthorityTest, LeasesAreExtendedWhileStoreIsDown)
{
    settle();
    const GroupRecord before = *simulation.stored(ledger0);
    simulation.storeMode = ControlSimulation::StoreMode::Down;
    std::size_t gaps = 0;
    simulation.onStep = [&] { gaps += unavailable(); };
    simulation.run(Milliseconds(40'000));
    EXPECT_EQ(gaps, 0U);
    simulation.storeMode = ControlSimulation::StoreMode::Up;
    simulation.run(Milliseconds(3000));
    EXPECT_EQ(*simulation.stored(ledger0), before);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against backing that revives an authority which lapsed while the store was down.
TEST_F(ControlAuthorityTest, LapsedAuthorityIsNotRevivedByBacking)
{
    settle();
    const GroupRecord before = *simulation.stored(ledger0);
    simulation.storeMode = ControlSimulation::StoreMode::Down;
    simulation.run(Milliseconds(2000));
    simulation.cut(before.primary.id, before.standby->id);
    simulation.run(Milliseconds(5000));
    EXPECT_THAT(simulation.authorities(ledger0), IsEmpty());
    simulation.heal();
    simulation.run(Milliseconds(5000));
    EXPECT_THAT(simulation.authorities(ledger0), IsEmpty());
    EXPECT_THAT(simulation.holders(ledger0, 0), IsEmpty());
    simulation.storeMode = ControlSimulation::StoreMode::Up;
    simulation.run(Milliseconds(3000));
    EXPECT_THAT(simulation.authorities(ledger0), SizeIs(1));
    EXPECT_EQ(unavailable(), 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against extension beyond the limit after which a third instance treats unreachable servers as free.
TEST_F(ControlAuthorityTest, ExtensionEndsAtItsLimit)
{
    simulation.configuration.services.front().extensionLimit = Milliseconds(10'000);
    settle();
    simulation.storeMode = ControlSimulation::StoreMode::Down;
    simulation.run(Milliseconds(9'000));
    EXPECT_EQ(unavailable(), 0U);
    simulation.run(Milliseconds(13'000));
    EXPECT_EQ(unavailable(), 8U);
    EXPECT_THAT(simulation.authorities(ledger0), IsEmpty());
}

// Guards against a takeover that is lost or repeated because the answer to its write was lost.
TEST_F(ControlAuthorityTest, LostStoreAnswerIsResolvedByReadingBack)
{
    settle();
    const GroupRecord before = *simulation.stored(ledger0);
    simulation.storeMode = ControlSimulation::StoreMode::LoseWriteAnswers;
    simulation.stop(before.primary.id);
    simulation.run(Milliseconds(5000));
    const GroupRecord after = *simulation.stored(ledger0);
    EXPECT_EQ(after.primary, *before.standby);
    EXPECT_EQ(after.term, before.term + 1);
    EXPECT_THAT(simulation.authorities(ledger0), ElementsAre(before.standby->id));
    EXPECT_EQ(unavailable(), 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against evidence of a replaced standby: its replies are still under way when the new one can take over.
TEST_F(ControlAuthorityTest, BackingOfReplacedStandbyDoesNotCount)
{
    settle();
    const GroupRecord before = *simulation.stored(ledger0);
    simulation.cut(before.primary.id, before.standby->id);
    simulation.run(Milliseconds(1500));
    const GroupRecord changed = *simulation.stored(ledger0);
    simulation.heal();
    // Either the standby has taken over or the primary has replaced it; the new standby can then take over at once.
    simulation.pause(changed.primary.id);
    simulation.run(Milliseconds(1500));
    simulation.resume(changed.primary.id);
    simulation.run(Milliseconds(3000));
    EXPECT_EQ(simulation.stored(ledger0)->term, changed.term + 1);
    EXPECT_THAT(simulation.authorities(ledger0), SizeIs(1));
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against a planned stop of an instance that leaves its groups without a primary until silence is noticed.
TEST_F(ControlAuthorityTest, StoppingInstanceHandsItsGroupsOver)
{
    settle();
    const GroupRecord before = *simulation.stored(ledger0);
    std::size_t gaps = 0;
    simulation.onStep = [&] { gaps += unavailable(); };
    simulation.send(before.primary.id, ShutdownRequested {});
    simulation.run(Milliseconds(1000));
    const GroupRecord after = *simulation.stored(ledger0);
    EXPECT_EQ(after.primary, *before.standby);
    EXPECT_EQ(after.term, before.term + 1);
    EXPECT_TRUE(simulation.instances.at(before.primary.id).finished);
    simulation.stop(before.primary.id);
    simulation.run(Milliseconds(3000));
    EXPECT_EQ(gaps, 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against a stopping primary that loses its authority because the store does not answer the handover.
TEST_F(ControlAuthorityTest, StoppingInstanceServesWhileStoreIsDown)
{
    settle();
    const GroupRecord before = *simulation.stored(ledger0);
    simulation.storeMode = ControlSimulation::StoreMode::Down;
    simulation.run(Milliseconds(3000));
    std::size_t gaps = 0;
    simulation.onStep = [&] { gaps += unavailable(); };
    simulation.send(before.primary.id, ShutdownRequested {});
    simulation.run(Milliseconds(4500));
    EXPECT_EQ(gaps, 0U);
    EXPECT_FALSE(simulation.instances.at(before.primary.id).finished);
    simulation.run(Milliseconds(1000));
    EXPECT_TRUE(simulation.instances.at(before.primary.id).finished);
}

// Guards against a term that starts from a view, which lacks what the stored object says about earlier primaries.
TEST_F(ControlAuthorityTest, ViewAloneMakesNoPrimary)
{
    settle();
    GroupRecord record = *simulation.stored(ledger0);
    const std::string primary = record.primary.id;
    const std::string other = primary == "a" ? "b" : "a";
    record.primary = {other, simulation.instances.at(other).incarnation};
    ++record.term;
    PeerMessageReceived event;
    event.envelope.mutable_sender()->set_id(primary);
    event.envelope.mutable_sender()->set_incarnation(simulation.instances.at(primary).incarnation);
    *event.envelope.mutable_group_view() = toView(record, 1000, 0);
    simulation.send(other, event);
    simulation.run(Milliseconds(1000));
    EXPECT_THAT(simulation.authorities(ledger0), ElementsAre(primary));
    EXPECT_EQ(simulation.stored(ledger0)->primary.id, primary);
}

// Guards against an instance that inherits authority from its earlier life.
TEST_F(ControlAuthorityTest, RestartedPrimaryInheritsNothing)
{
    settle();
    const GroupRecord before = *simulation.stored(ledger0);
    simulation.stop(before.primary.id);
    simulation.start(before.primary.id);
    simulation.request(before.primary.id, OperatorAction::ShowStatus);
    simulation.load();
    simulation.run(Milliseconds(3000));
    EXPECT_EQ(simulation.stored(ledger0)->primary, *before.standby);
    EXPECT_EQ(unavailable(), 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against a status report that operators cannot use.
TEST_F(ControlAuthorityTest, StatusNamesGroupsAndServers)
{
    settle();
    simulation.request("a", OperatorAction::ShowStatus);
    EXPECT_EQ(simulation.instances.at("a").lastStatus, 200U);
    EXPECT_THAT(simulation.instances.at("a").lastAnswer, testing::HasSubstr("\"group\":\"ledger.0\""));
    EXPECT_THAT(simulation.instances.at("a").lastAnswer, testing::HasSubstr("\"id\":\"s1\""));
    simulation.request("a", OperatorAction::DeclareServerGone, "s9");
    EXPECT_EQ(simulation.instances.at("a").lastStatus, 404U);
}

} // namespace
} // namespace jasminespread
