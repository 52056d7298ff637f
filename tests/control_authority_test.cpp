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
    void startGroups()
    {
        simulation.run(Milliseconds(500));
        simulation.loadConfiguration();
        simulation.run(Milliseconds(3000));
    }

    /// Partitions of both groups that no server executes.
    std::size_t countUnavailable()
    {
        std::size_t count = 0;
        for (std::uint32_t partition = 0; partition < 8; ++partition) {
            count += simulation.executingServers({"ledger", partition % 2}, partition).empty() ? 1 : 0;
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
    startGroups();
    ASSERT_TRUE(simulation.storedRecord(ledger0));
    EXPECT_EQ(simulation.storedRecord(ledger0)->term, 1U);
    ASSERT_TRUE(simulation.storedRecord(ledger0)->standby);
    EXPECT_NE(simulation.instances.at(simulation.storedRecord(ledger0)->primary.id).settings.failureDomain,
        simulation.instances.at(simulation.storedRecord(ledger0)->standby->id).settings.failureDomain);
    EXPECT_EQ(countUnavailable(), 0U);
    EXPECT_THAT(simulation.authorityHolders(ledger0), ElementsAre(simulation.storedRecord(ledger0)->primary.id));
    for (const auto& [id, instance] : simulation.instances) {
        EXPECT_TRUE(simulation.route(id, "ledger", "meter-7").owner.server) << id;
    }
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against steady state that costs store calls for each lease.
TEST_F(ControlAuthorityTest, SteadyStateNeedsFewStoreCalls)
{
    startGroups();
    simulation.storeReads.clear();
    simulation.storeWrites = 0;
    simulation.run(Milliseconds(30'000));
    EXPECT_EQ(simulation.storeWrites, 0U);
    EXPECT_LE(simulation.storeReads["group"], 4U * 4U);
    // One instance of the only region reads the configuration every 2 s.
    EXPECT_LE(simulation.storeReads["config"], 16U);
    EXPECT_EQ(countUnavailable(), 0U);
}

// Guards against a gap or two owners when the primary dies.
TEST_F(ControlAuthorityTest, StandbyTakesOverFromSilentPrimary)
{
    startGroups();
    const GroupRecord before = *simulation.storedRecord(ledger0);
    simulation.stopInstance(before.primary.id);
    std::size_t gaps = 0;
    simulation.onStep = [&] { gaps += countUnavailable(); };
    simulation.run(Milliseconds(3000));
    const GroupRecord after = *simulation.storedRecord(ledger0);
    EXPECT_EQ(after.term, before.term + 1);
    EXPECT_EQ(after.primary, *before.standby);
    EXPECT_EQ(gaps, 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against a paused primary that goes on granting after its lease, or keeps its authority after the takeover.
TEST_F(ControlAuthorityTest, PausedPrimaryStepsDownWhenItReturns)
{
    startGroups();
    const GroupRecord before = *simulation.storedRecord(ledger0);
    const std::string paused = before.primary.id;
    simulation.pauseInstance(paused);
    simulation.run(Milliseconds(5000));
    EXPECT_EQ(simulation.storedRecord(ledger0)->primary, *before.standby);
    simulation.resumeInstance(paused);
    EXPECT_THAT(simulation.authorityHolders(ledger0), ElementsAre(before.standby->id));
    simulation.run(Milliseconds(2000));
    EXPECT_THAT(simulation.authorityHolders(ledger0), ElementsAre(before.standby->id));
    EXPECT_EQ(routedPrimary(paused), before.standby->id);
    EXPECT_EQ(countUnavailable(), 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against groups that stay without a primary when primary and standby are lost together.
TEST_F(ControlAuthorityTest, ThirdInstanceTakesOverWhenBothAreLost)
{
    startGroups();
    const GroupRecord before = *simulation.storedRecord(ledger0);
    simulation.stopInstance(before.primary.id);
    simulation.stopInstance(before.standby->id);
    simulation.run(Milliseconds(4000));
    const GroupRecord after = *simulation.storedRecord(ledger0);
    EXPECT_EQ(after.term, before.term + 1);
    EXPECT_NE(after.primary.id, before.standby->id);
    EXPECT_THAT(simulation.authorityHolders(ledger0), ElementsAre(after.primary.id));
    EXPECT_EQ(countUnavailable(), 0U);
    simulation.run(Milliseconds(1000));
    EXPECT_THAT(simulation.storedRecord(ledger0)->unconfirmedServers, IsEmpty());
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against a third instance moving a partition that a cut-off primary and standby still extend.
TEST_F(ControlAuthorityTest, ThirdInstanceWaitsForUnreachableServer)
{
    startGroups();
    const GroupRecord before = *simulation.storedRecord(ledger0);
    const std::string server = before.partitions.front().owner;
    // Primary and standby keep the server; the others and the store do not reach them.
    for (const std::string& side : {before.primary.id, before.standby->id}) {
        simulation.cutLink(side, "store");
        for (const auto& [id, instance] : simulation.instances) {
            if (id != before.primary.id && id != before.standby->id) {
                simulation.cutLink(side, id);
                simulation.cutLink(id, server);
            }
        }
        for (const auto& [id, fake] : simulation.servers) {
            if (id != server) {
                simulation.cutLink(side, id);
            }
        }
    }
    simulation.run(Milliseconds(20'000));
    EXPECT_EQ(simulation.storedRecord(ledger0)->term, before.term + 1);
    EXPECT_EQ(simulation.storedRecord(ledger0)->partitions.front().owner, server);
    EXPECT_THAT(simulation.executingServers(ledger0, before.partitions.front().partition), ElementsAre(server));
    EXPECT_THAT(simulation.violations(), IsEmpty());

    const std::string newPrimary = simulation.storedRecord(ledger0)->primary.id;
    simulation.stopInstance(before.primary.id);
    simulation.stopInstance(before.standby->id);
    simulation.requestAsOperator(newPrimary, OperatorAction::DeclareInstanceLost, before.primary.id);
    EXPECT_EQ(simulation.instances.at(newPrimary).lastStatus, 200U);
    simulation.requestAsOperator(newPrimary, OperatorAction::DeclareInstanceLost, before.standby->id);
    simulation.run(Milliseconds(4000));
    EXPECT_NE(simulation.storedRecord(ledger0)->partitions.front().owner, server);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against leases that end although primary and standby can extend them, and against moves without the store.
TEST_F(ControlAuthorityTest, LeasesAreExtendedWhileStoreIsDown)
{
    startGroups();
    const GroupRecord before = *simulation.storedRecord(ledger0);
    simulation.storeMode = ControlSimulation::StoreMode::Down;
    std::size_t gaps = 0;
    simulation.onStep = [&] { gaps += countUnavailable(); };
    simulation.run(Milliseconds(40'000));
    EXPECT_EQ(gaps, 0U);
    simulation.storeMode = ControlSimulation::StoreMode::Up;
    simulation.run(Milliseconds(3000));
    EXPECT_EQ(*simulation.storedRecord(ledger0), before);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against backing that revives an authority which lapsed while the store was down.
TEST_F(ControlAuthorityTest, LapsedAuthorityIsNotRevivedByBacking)
{
    startGroups();
    const GroupRecord before = *simulation.storedRecord(ledger0);
    simulation.storeMode = ControlSimulation::StoreMode::Down;
    simulation.run(Milliseconds(2000));
    simulation.cutLink(before.primary.id, before.standby->id);
    simulation.run(Milliseconds(5000));
    EXPECT_THAT(simulation.authorityHolders(ledger0), IsEmpty());
    simulation.restoreLinks();
    simulation.run(Milliseconds(5000));
    EXPECT_THAT(simulation.authorityHolders(ledger0), IsEmpty());
    EXPECT_THAT(simulation.executingServers(ledger0, 0), IsEmpty());
    simulation.storeMode = ControlSimulation::StoreMode::Up;
    simulation.run(Milliseconds(3000));
    EXPECT_THAT(simulation.authorityHolders(ledger0), SizeIs(1));
    EXPECT_EQ(countUnavailable(), 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against extension beyond the limit after which a third instance treats unreachable servers as free.
TEST_F(ControlAuthorityTest, ExtensionEndsAtItsLimit)
{
    simulation.configuration.services.front().extensionLimit = Milliseconds(10'000);
    startGroups();
    simulation.storeMode = ControlSimulation::StoreMode::Down;
    simulation.run(Milliseconds(9'000));
    EXPECT_EQ(countUnavailable(), 0U);
    simulation.run(Milliseconds(13'000));
    EXPECT_EQ(countUnavailable(), 8U);
    EXPECT_THAT(simulation.authorityHolders(ledger0), IsEmpty());
}

// Guards against a takeover that is lost or repeated because the answer to its write was lost.
TEST_F(ControlAuthorityTest, LostStoreAnswerIsResolvedByReadingBack)
{
    startGroups();
    const GroupRecord before = *simulation.storedRecord(ledger0);
    simulation.storeMode = ControlSimulation::StoreMode::LoseWriteAnswers;
    simulation.stopInstance(before.primary.id);
    simulation.run(Milliseconds(5000));
    const GroupRecord after = *simulation.storedRecord(ledger0);
    EXPECT_EQ(after.primary, *before.standby);
    EXPECT_EQ(after.term, before.term + 1);
    EXPECT_THAT(simulation.authorityHolders(ledger0), ElementsAre(before.standby->id));
    EXPECT_EQ(countUnavailable(), 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against evidence of a replaced standby: its replies are still under way when the new one can take over.
TEST_F(ControlAuthorityTest, BackingOfReplacedStandbyDoesNotCount)
{
    startGroups();
    const GroupRecord before = *simulation.storedRecord(ledger0);
    simulation.cutLink(before.primary.id, before.standby->id);
    simulation.run(Milliseconds(1500));
    const GroupRecord changed = *simulation.storedRecord(ledger0);
    simulation.restoreLinks();
    // Either the standby has taken over or the primary has replaced it; the new standby can then take over at once.
    simulation.pauseInstance(changed.primary.id);
    simulation.run(Milliseconds(1500));
    simulation.resumeInstance(changed.primary.id);
    simulation.run(Milliseconds(3000));
    EXPECT_EQ(simulation.storedRecord(ledger0)->term, changed.term + 1);
    EXPECT_THAT(simulation.authorityHolders(ledger0), SizeIs(1));
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against a planned stop of an instance that leaves its groups without a primary until silence is noticed.
TEST_F(ControlAuthorityTest, StoppingInstanceHandsItsGroupsOver)
{
    startGroups();
    const GroupRecord before = *simulation.storedRecord(ledger0);
    std::size_t gaps = 0;
    simulation.onStep = [&] { gaps += countUnavailable(); };
    simulation.send(before.primary.id, ShutdownRequested {});
    simulation.run(Milliseconds(1000));
    const GroupRecord after = *simulation.storedRecord(ledger0);
    EXPECT_EQ(after.primary, *before.standby);
    EXPECT_EQ(after.term, before.term + 1);
    EXPECT_TRUE(simulation.instances.at(before.primary.id).finished);
    simulation.stopInstance(before.primary.id);
    simulation.run(Milliseconds(3000));
    EXPECT_EQ(gaps, 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against a stopping primary that loses its authority because the store does not answer the handover.
TEST_F(ControlAuthorityTest, StoppingInstanceServesWhileStoreIsDown)
{
    startGroups();
    const GroupRecord before = *simulation.storedRecord(ledger0);
    simulation.storeMode = ControlSimulation::StoreMode::Down;
    simulation.run(Milliseconds(3000));
    std::size_t gaps = 0;
    simulation.onStep = [&] { gaps += countUnavailable(); };
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
    startGroups();
    GroupRecord record = *simulation.storedRecord(ledger0);
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
    EXPECT_THAT(simulation.authorityHolders(ledger0), ElementsAre(primary));
    EXPECT_EQ(simulation.storedRecord(ledger0)->primary.id, primary);
}

// Guards against an instance that inherits authority from its earlier life.
TEST_F(ControlAuthorityTest, RestartedPrimaryInheritsNothing)
{
    startGroups();
    const GroupRecord before = *simulation.storedRecord(ledger0);
    simulation.stopInstance(before.primary.id);
    simulation.startInstance(before.primary.id);
    simulation.requestAsOperator(before.primary.id, OperatorAction::ShowStatus);
    simulation.loadConfiguration();
    simulation.run(Milliseconds(3000));
    EXPECT_EQ(simulation.storedRecord(ledger0)->primary, *before.standby);
    EXPECT_EQ(countUnavailable(), 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against a status report that operators cannot use.
TEST_F(ControlAuthorityTest, StatusNamesGroupsAndServers)
{
    startGroups();
    simulation.requestAsOperator("a", OperatorAction::ShowStatus);
    EXPECT_EQ(simulation.instances.at("a").lastStatus, 200U);
    EXPECT_THAT(simulation.instances.at("a").lastAnswer, testing::HasSubstr("\"group\":\"ledger.0\""));
    EXPECT_THAT(simulation.instances.at("a").lastAnswer, testing::HasSubstr("\"id\":\"s1\""));
    simulation.requestAsOperator("a", OperatorAction::DeclareServerGone, "s9");
    EXPECT_EQ(simulation.instances.at("a").lastStatus, 404U);
}

} // namespace
} // namespace jasminespread
