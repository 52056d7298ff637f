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
    /// Loads the configuration and runs until the groups exist and all servers have their leases.
    void startGroups()
    {
        simulation.run(Milliseconds(500));
        simulation.loadConfiguration();
        simulation.run(Milliseconds(3000));
    }

    /// Number of partitions of both groups for which no server executes requests.
    std::size_t countUnavailable()
    {
        std::size_t count = 0;
        for (std::uint32_t partition = 0; partition < 8; ++partition) {
            count += simulation.executingServers({"ledger", partition % 2}, partition).empty() ? 1 : 0;
        }
        return count;
    }

    /// Primary of ledger.0 according to the routing of an instance.
    std::string routedPrimary(const std::string& instance)
    {
        const RoutingSnapshot& routing = *simulation.instances.at(instance).routing;
        const std::optional<std::uint32_t> primary = routing.services.at("ledger").groups.at(0).primary;
        return primary ? routing.instances.at(*primary).id : "";
    }

    ControlSimulation simulation {ledgerConfiguration(4), {{"a", "b", "c", "d"}}};
};

// Guards against groups that are not created, or are created twice with different primaries.
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

// Guards against store calls per lease in the steady state.
TEST_F(ControlAuthorityTest, SteadyStateNeedsFewStoreCalls)
{
    startGroups();
    simulation.storeReads.clear();
    simulation.storeWrites = 0;
    simulation.run(Milliseconds(30'000));
    EXPECT_EQ(simulation.storeWrites, 0U);
    EXPECT_LE(simulation.storeReads["group"], 4U * 4U);
    // Only one instance per region reads the configuration, every 2 s.
    EXPECT_LE(simulation.storeReads["config"], 16U);
    EXPECT_EQ(countUnavailable(), 0U);
}

// Guards against interrupted service or two owners when the primary fails.
TEST_F(ControlAuthorityTest, StandbyTakesOverFromSilentPrimary)
{
    startGroups();
    const GroupRecord before = *simulation.storedRecord(ledger0);
    simulation.stopInstance(before.primary.id);
    std::size_t outages = 0;
    simulation.onStep = [&] { outages += countUnavailable(); };
    simulation.run(Milliseconds(3000));
    const GroupRecord after = *simulation.storedRecord(ledger0);
    EXPECT_EQ(after.term, before.term + 1);
    EXPECT_EQ(after.primary, *before.standby);
    EXPECT_EQ(outages, 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against a paused primary that still grants leases or keeps its authority after the takeover.
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

// Guards against groups that stay without a primary when primary and standby fail together.
TEST_F(ControlAuthorityTest, ThirdPartyTakesOverWhenPrimaryAndStandbyFail)
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

// Guards against a third party that moves a partition whose lease a cut-off primary and standby still extend.
TEST_F(ControlAuthorityTest, ThirdPartyWaitsForUnreachableServer)
{
    startGroups();
    const GroupRecord before = *simulation.storedRecord(ledger0);
    const std::string server = before.partitions.front().owner;
    // Primary and standby still reach the server, but neither the store nor the other instances and servers.
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
    EXPECT_EQ(simulation.instances.at(newPrimary).lastOperatorStatus, 200U);
    simulation.requestAsOperator(newPrimary, OperatorAction::DeclareInstanceLost, before.standby->id);
    simulation.run(Milliseconds(4000));
    EXPECT_NE(simulation.storedRecord(ledger0)->partitions.front().owner, server);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against leases that end while primary and standby can extend them, and against changes without the store.
TEST_F(ControlAuthorityTest, LeasesAreExtendedWhileStoreIsDown)
{
    startGroups();
    const GroupRecord before = *simulation.storedRecord(ledger0);
    simulation.storeMode = ControlSimulation::StoreMode::Down;
    std::size_t outages = 0;
    simulation.onStep = [&] { outages += countUnavailable(); };
    simulation.run(Milliseconds(40'000));
    EXPECT_EQ(outages, 0U);
    simulation.storeMode = ControlSimulation::StoreMode::Up;
    simulation.run(Milliseconds(3000));
    EXPECT_EQ(*simulation.storedRecord(ledger0), before);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against backing that restores an authority that lapsed while the store was down.
TEST_F(ControlAuthorityTest, BackingDoesNotRestoreLapsedAuthority)
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

// Guards against extension beyond the limit, after which a third party moves the partitions of unreachable servers.
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

// Guards against a takeover that is abandoned or repeated because the answer to its write was lost.
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

// Guards against counting the backing of a replaced standby, whose replies are in flight when the new standby can
// already take over.
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

// Guards against a planned stop that leaves the groups of the instance without a primary until its silence is detected.
TEST_F(ControlAuthorityTest, StoppingInstanceHandsItsGroupsOver)
{
    startGroups();
    const GroupRecord before = *simulation.storedRecord(ledger0);
    std::size_t outages = 0;
    simulation.onStep = [&] { outages += countUnavailable(); };
    simulation.send(before.primary.id, ShutdownRequested {});
    simulation.run(Milliseconds(1000));
    const GroupRecord after = *simulation.storedRecord(ledger0);
    EXPECT_EQ(after.primary, *before.standby);
    EXPECT_EQ(after.term, before.term + 1);
    EXPECT_TRUE(simulation.instances.at(before.primary.id).shutdownFinished);
    simulation.stopInstance(before.primary.id);
    simulation.run(Milliseconds(3000));
    EXPECT_EQ(outages, 0U);
    EXPECT_THAT(simulation.violations(), IsEmpty());
}

// Guards against a stopping primary that loses its authority because the store does not answer the handover write.
TEST_F(ControlAuthorityTest, StoppingInstanceServesWhileStoreIsDown)
{
    startGroups();
    const GroupRecord before = *simulation.storedRecord(ledger0);
    simulation.storeMode = ControlSimulation::StoreMode::Down;
    simulation.run(Milliseconds(3000));
    std::size_t outages = 0;
    simulation.onStep = [&] { outages += countUnavailable(); };
    simulation.send(before.primary.id, ShutdownRequested {});
    simulation.run(Milliseconds(4500));
    EXPECT_EQ(outages, 0U);
    EXPECT_FALSE(simulation.instances.at(before.primary.id).shutdownFinished);
    simulation.run(Milliseconds(1000));
    EXPECT_TRUE(simulation.instances.at(before.primary.id).shutdownFinished);
}

// Guards against a term that starts from a peer's view, which lacks what the stored object records about earlier
// primaries.
TEST_F(ControlAuthorityTest, ViewAloneDoesNotStartATerm)
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

// Guards against an instance that keeps the authority of its earlier incarnation.
TEST_F(ControlAuthorityTest, RestartedPrimaryHasNoAuthority)
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

// Guards against a status report without groups and servers, and against declarations for unknown servers.
TEST_F(ControlAuthorityTest, StatusNamesGroupsAndServers)
{
    startGroups();
    simulation.requestAsOperator("a", OperatorAction::ShowStatus);
    EXPECT_EQ(simulation.instances.at("a").lastOperatorStatus, 200U);
    EXPECT_THAT(simulation.instances.at("a").lastOperatorAnswer, testing::HasSubstr("\"group\":\"ledger.0\""));
    EXPECT_THAT(simulation.instances.at("a").lastOperatorAnswer, testing::HasSubstr("\"id\":\"s1\""));
    simulation.requestAsOperator("a", OperatorAction::DeclareServerGone, "s9");
    EXPECT_EQ(simulation.instances.at("a").lastOperatorStatus, 404U);
}

} // namespace
} // namespace jasminespread
