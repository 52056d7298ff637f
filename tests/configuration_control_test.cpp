#include "configuration_samples.h"
#include "control/configuration_control.h"

#include <boost/json.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>

namespace jasminespread {
namespace {

constexpr Milliseconds storeDelay {5};
constexpr Milliseconds tickInterval {50};

/// Fault that the store applies to the next write.
enum class WriteFault {
    None,
    AnswerLostAfterEffect,
    AnswerLostBeforeEffect,
    DelayedBeyondAnswer,
    StoreDownAfterEffect
};

/// Simulates several instances, the messages between them and the store with a manual clock.
class InstanceSimulation {
public:
    struct Instance {
        InstanceSettings settings;
        std::uint64_t incarnation = 0;
        std::unique_ptr<ConfigurationControl> control;
        bool running = true;
        ListedState listedState = ListedState::Live;
        std::vector<std::uint64_t> revisions; ///< Revisions that were in force, in order.
    };

    void add(const std::string& id, const std::string& region)
    {
        Instance& instance = m_instances[id];
        instance.settings.instance = id;
        instance.settings.region = region;
        instance.incarnation = ++m_incarnationCounter;
        instance.control = std::make_unique<ConfigurationControl>(instance.settings, instance.incarnation);
    }

    /// Runs ticks, heartbeats and scheduled actions for @p duration.
    void run(Milliseconds duration)
    {
        const MonotonicTime end = m_now + duration;
        while (m_now < end) {
            const MonotonicTime nextTick = m_now + tickInterval;
            while (!m_schedule.empty() && m_schedule.begin()->first <= nextTick) {
                m_now = std::max(m_now, m_schedule.begin()->first);
                const std::function<void()> action = m_schedule.begin()->second;
                m_schedule.erase(m_schedule.begin());
                action();
            }
            m_now = nextTick;
            ++m_tickCount;
            for (auto& [id, instance] : m_instances) {
                if (instance.running) {
                    apply(id, Tick {});
                    if (m_tickCount % 4 == 0) {
                        sendHeartbeats(id);
                    }
                }
            }
        }
    }

    std::uint64_t load(
        const std::string& id, const Configuration& configuration, std::uint64_t base, const std::string& changeId)
    {
        OperatorRequested request;
        request.request = ++m_requestCounter;
        request.action = OperatorAction::Load;
        request.configuration = configuration;
        request.baseRevision = base;
        request.changeId = changeId;
        apply(id, request);
        return m_requestCounter;
    }

    std::uint64_t show(const std::string& id)
    {
        OperatorRequested request;
        request.request = ++m_requestCounter;
        request.action = OperatorAction::ShowConfiguration;
        apply(id, request);
        return m_requestCounter;
    }

    void apply(const std::string& id, Event event)
    {
        Instance& instance = m_instances.at(id);
        Effects effects = instance.control->reduce({m_now, WallTime(), std::move(event)}, peersOf(id));
        const std::uint64_t revision = instance.control->revision();
        if (instance.revisions.empty() || instance.revisions.back() != revision) {
            instance.revisions.push_back(revision);
        }
        for (Effect& effect : effects) {
            perform(id, effect);
        }
    }

    Instance& at(const std::string& id) { return m_instances.at(id); }

    unsigned status(std::uint64_t request) const
    {
        const std::map<std::uint64_t, OperatorAnswer>::const_iterator it = m_answers.find(request);
        return it == m_answers.end() ? 0 : it->second.status;
    }

    boost::json::object body(std::uint64_t request) const
    {
        return boost::json::parse(m_answers.at(request).body).as_object();
    }

    bool storeUp = true;
    std::string instanceWithoutStore; ///< Instance for which the store is unavailable.
    WriteFault nextWriteFault = WriteFault::None;
    std::function<bool(const std::string& from, const std::string& to)> connected
        = [](const std::string&, const std::string&) { return true; };
    StoredObject object;
    int storeReads = 0;
    std::vector<std::pair<std::string, std::string>> sentCopies; ///< Sender and receiver of each configuration sent.

private:
    void schedule(Milliseconds delay, std::function<void()> action)
    {
        m_schedule.emplace(m_now + delay, std::move(action));
    }

    std::vector<PeerInfo> peersOf(const std::string& id)
    {
        std::vector<PeerInfo> peers;
        for (const auto& [other, instance] : m_instances) {
            if (other != id) {
                PeerInfo peer;
                peer.entry.id = other;
                peer.entry.region = instance.settings.region;
                peer.incarnation = instance.incarnation;
                peer.live = instance.running && connected(other, id);
                peer.entry.state = instance.listedState;
                peer.ready = instance.control->revision() > 0;
                peer.configurationRevision = m_reportedRevisions[{id, other}];
                peers.push_back(peer);
            }
        }
        return peers;
    }

    void sendHeartbeats(const std::string& id)
    {
        for (const auto& [other, instance] : m_instances) {
            if (other != id) {
                SendPeerMessage send;
                send.to = other;
                send.envelope.mutable_heartbeat()->set_configuration_revision(m_instances.at(id).control->revision());
                perform(id, send);
            }
        }
    }

    void perform(const std::string& id, Effect effect)
    {
        if (SendPeerMessage* send = std::get_if<SendPeerMessage>(&effect)) {
            deliver(id, *send);
        } else if (std::holds_alternative<ReadObject>(effect)) {
            ++storeReads;
            const MonotonicTime startedAt = m_now;
            schedule(storeDelay, [this, id, startedAt] {
                StoreReadResult result {StoreStatus::Unavailable, {}};
                if (storeUp && id != instanceWithoutStore) {
                    result = {object.version == 0 ? StoreStatus::NotFound : StoreStatus::Ok, object};
                }
                apply(id, StoreRead {"config", "current", startedAt, result});
            });
        } else if (WriteObject* write = std::get_if<WriteObject>(&effect)) {
            performWrite(id, *write);
        } else if (OperatorAnswer* answer = std::get_if<OperatorAnswer>(&effect)) {
            EXPECT_TRUE(m_answers.emplace(answer->request, *answer).second) << "answered twice";
        }
    }

    void deliver(const std::string& id, SendPeerMessage send)
    {
        send.envelope.mutable_sender()->set_id(id);
        send.envelope.mutable_sender()->set_incarnation(m_instances.at(id).incarnation);
        if (send.envelope.has_configuration_revision()) {
            sentCopies.emplace_back(id, send.to);
        }
        const bool sameRegion = m_instances.at(id).settings.region == m_instances.at(send.to).settings.region;
        schedule(Milliseconds(sameRegion ? 1 : 12), [this, id, send] {
            if (!m_instances.at(send.to).running || !connected(id, send.to)) {
                return;
            }
            if (send.envelope.has_heartbeat()) {
                m_reportedRevisions[{send.to, id}] = send.envelope.heartbeat().configuration_revision();
            }
            apply(send.to, PeerMessageReceived {send.envelope});
        });
    }

    StoreWriteResult writeNow(const WriteObject& write)
    {
        if (!storeUp) {
            return {StoreStatus::Unavailable, 0};
        }
        if (object.version != write.expectedVersion) {
            return {StoreStatus::Conflict, 0};
        }
        object = {"current", ++m_objectVersion, write.value};
        return {StoreStatus::Ok, object.version};
    }

    void performWrite(const std::string& id, const WriteObject& write)
    {
        const WriteFault fault = std::exchange(nextWriteFault, WriteFault::None);
        const MonotonicTime startedAt = m_now;
        if (fault == WriteFault::DelayedBeyondAnswer) {
            // Takes effect after the read-back that follows the lost answer.
            schedule(storeDelay * 4, [this, write] { writeNow(write); });
        }
        schedule(storeDelay, [this, id, write, fault, startedAt] {
            StoreWriteResult result {StoreStatus::Unknown, 0};
            if (fault == WriteFault::None) {
                result = writeNow(write);
            } else if (fault == WriteFault::AnswerLostAfterEffect || fault == WriteFault::StoreDownAfterEffect) {
                writeNow(write);
                storeUp = fault != WriteFault::StoreDownAfterEffect;
            }
            apply(id, StoreWritten {"config", "current", write.changeId, startedAt, result});
        });
    }

    MonotonicTime m_now {Milliseconds(1'000'000)};
    int m_tickCount = 0;
    std::uint64_t m_incarnationCounter = 0;
    std::uint64_t m_requestCounter = 0;
    std::uint64_t m_objectVersion = 0;
    std::map<std::string, Instance> m_instances;
    std::multimap<MonotonicTime, std::function<void()>> m_schedule;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_reportedRevisions;
    std::map<std::uint64_t, OperatorAnswer> m_answers;
};

class ConfigurationControlTest : public testing::Test {
protected:
    void SetUp() override
    {
        simulation.add("w1", "western");
        simulation.add("w2", "western");
        simulation.add("c1", "central");
        simulation.add("c2", "central");
        simulation.run(Milliseconds(1'000));
    }

    /// Puts revision 1 in force at all instances.
    void loadFirstRevision()
    {
        const std::uint64_t request = simulation.load("w1", sampleConfiguration(), 0, "first");
        simulation.run(Milliseconds(1'000));
        ASSERT_EQ(simulation.status(request), 200U);
    }

    static Configuration withSlots(std::uint32_t slots, const std::string& author)
    {
        Configuration configuration = sampleConfiguration();
        configuration.services[0].slotsPerServer = slots;
        configuration.author = author;
        return configuration;
    }

    InstanceSimulation simulation;
};

} // namespace

// Guards against answering `accepted` before every instance has the revision in force.
TEST_F(ConfigurationControlTest, AcceptedMeansInForceEverywhere)
{
    const std::uint64_t request = simulation.load("c2", sampleConfiguration(), 0, "first");
    simulation.run(Milliseconds(1'000));
    ASSERT_EQ(simulation.status(request), 200U);
    for (const char* id : {"w1", "w2", "c1", "c2"}) {
        EXPECT_EQ(simulation.at(id).control->revision(), 1U) << id;
    }
    const boost::json::object body = simulation.body(request);
    EXPECT_EQ(body.at("result"), "accepted");
    EXPECT_EQ(body.at("revision"), 1);
    EXPECT_EQ(body.at("regions").at("western").at("confirmed"), boost::json::array({"w1", "w2"}));
    EXPECT_EQ(body.at("regions").at("central").at("missing"), boost::json::array());
}

// Guards against sending the document to another region once per instance.
TEST_F(ConfigurationControlTest, EachRegionGetsOneCopy)
{
    loadFirstRevision();
    EXPECT_EQ(std::count(simulation.sentCopies.begin(), simulation.sentCopies.end(),
                  std::pair<std::string, std::string>("w1", "c1")),
        1);
    EXPECT_EQ(std::count(simulation.sentCopies.begin(), simulation.sentCopies.end(),
                  std::pair<std::string, std::string>("w1", "c2")),
        0);
    EXPECT_EQ(simulation.sentCopies.size(), 3U);
}

// Guards against store reads that grow with the number of instances: only one instance per region reads.
TEST_F(ConfigurationControlTest, OneInstancePerRegionReadsTheStore)
{
    loadFirstRevision();
    const int before = simulation.storeReads;
    simulation.run(Milliseconds(20'000));
    EXPECT_LE(simulation.storeReads - before, 22);
    EXPECT_GE(simulation.storeReads - before, 18);
}

// Guards against answering an operator with a failure although the write took effect.
TEST_F(ConfigurationControlTest, LostAnswerAfterEffectIsResolvedByReadingBack)
{
    loadFirstRevision();
    simulation.nextWriteFault = WriteFault::AnswerLostAfterEffect;
    const std::uint64_t request = simulation.load("w1", withSlots(7, "ana"), 1, "second");
    simulation.run(Milliseconds(1'500));
    EXPECT_EQ(simulation.status(request), 200U);
    EXPECT_EQ(simulation.at("c2").control->inForce()->services[0].slotsPerServer, 7U);
}

// Guards against answering `accepted` for a write that did not reach the store.
TEST_F(ConfigurationControlTest, LostAnswerWithoutEffectIsWrittenAgain)
{
    loadFirstRevision();
    simulation.nextWriteFault = WriteFault::AnswerLostBeforeEffect;
    const std::uint64_t request = simulation.load("w1", withSlots(7, "ana"), 1, "second");
    simulation.run(Milliseconds(2'000));
    EXPECT_EQ(simulation.status(request), 200U);
    EXPECT_EQ(simulation.body(request).at("revision"), 2);
    EXPECT_EQ(simulation.object.version, 2U) << "written once";
}

// Guards against losing a change or applying it twice when its write takes effect after the read-back.
TEST_F(ConfigurationControlTest, WriteThatArrivesAfterReadBackIsFoundByConflict)
{
    loadFirstRevision();
    simulation.nextWriteFault = WriteFault::DelayedBeyondAnswer;
    const std::uint64_t request = simulation.load("w1", withSlots(7, "ana"), 1, "second");
    simulation.run(Milliseconds(2'000));
    EXPECT_EQ(simulation.status(request), 200U);
    EXPECT_EQ(simulation.object.version, 2U) << "written once";
    EXPECT_EQ(simulation.at("c1").control->revision(), 2U);
}

// Guards against answering `unavailable` (nothing was changed) when the write may have taken effect.
TEST_F(ConfigurationControlTest, LostAnswerWithStoreDownIsUnknown)
{
    loadFirstRevision();
    simulation.nextWriteFault = WriteFault::StoreDownAfterEffect;
    const std::uint64_t request = simulation.load("w1", withSlots(7, "ana"), 1, "second");
    simulation.run(Milliseconds(9'900));
    EXPECT_EQ(simulation.status(request), 0U);
    simulation.run(Milliseconds(300));
    EXPECT_EQ(simulation.status(request), 502U);
    EXPECT_EQ(simulation.body(request).at("result"), "unknown");
    simulation.storeUp = true;
    simulation.run(Milliseconds(3'000));
    EXPECT_EQ(simulation.at("c2").control->revision(), 2U);
}

// Guards against silently overwriting one of two concurrent changes.
TEST_F(ConfigurationControlTest, OneOfTwoConcurrentChangesIsAConflict)
{
    loadFirstRevision();
    const std::uint64_t ana = simulation.load("w1", withSlots(7, "ana"), 1, "by-ana");
    const std::uint64_t ben = simulation.load("c1", withSlots(9, "ben"), 1, "by-ben");
    simulation.run(Milliseconds(2'000));
    ASSERT_EQ(simulation.status(ana), 200U);
    ASSERT_EQ(simulation.status(ben), 409U);
    const boost::json::object body = simulation.body(ben);
    EXPECT_EQ(body.at("revision"), 2);
    EXPECT_EQ(body.at("author"), "ana");
    EXPECT_EQ(body.at("compared"), "base-to-current");
    EXPECT_EQ(body.at("differences"), boost::json::array({"services[ledger].slotsPerServer: 6 -> 7"}));
}

// Guards against taking a lost answer for success because the revision number has increased.
TEST_F(ConfigurationControlTest, LostWriteWithConcurrentChangeIsAConflict)
{
    loadFirstRevision();
    simulation.nextWriteFault = WriteFault::AnswerLostBeforeEffect;
    const std::uint64_t ana = simulation.load("w1", withSlots(7, "ana"), 1, "by-ana");
    const std::uint64_t ben = simulation.load("c1", withSlots(9, "ben"), 1, "by-ben");
    simulation.run(Milliseconds(2'000));
    EXPECT_EQ(simulation.status(ana), 409U);
    EXPECT_EQ(simulation.status(ben), 200U);
    EXPECT_EQ(simulation.at("w2").control->inForce()->author, "ben");
}

// Guards against answering that a write succeeded or failed when its answer is lost and a later revision has replaced
// the object that would show it.
TEST(ConfigurationControlEventsTest, LostWriteUnderLaterRevisionIsUnknown)
{
    InstanceSettings settings;
    settings.instance = "w1";
    settings.region = "western";
    ConfigurationControl control(settings, 7);
    MonotonicTime now {Milliseconds(1'000)};
    const auto apply = [&](Event event) {
        now += Milliseconds(10);
        return control.reduce({now, WallTime(), std::move(event)}, {});
    };
    const auto readOf = [&](std::uint64_t revision, const std::string& changeId) {
        Configuration configuration = sampleConfiguration();
        configuration.revision = revision;
        configuration.changeId = changeId;
        return StoreRead {"config", "current", now + Milliseconds(10),
            {StoreStatus::Ok, {"current", revision * 10, encodeConfiguration(configuration)}}};
    };
    (void)apply(readOf(1, "first"));
    ASSERT_EQ(control.revision(), 1U);

    OperatorRequested request;
    request.request = 1;
    request.action = OperatorAction::Load;
    request.configuration = sampleConfiguration();
    request.configuration->services[0].slotsPerServer = 7;
    request.baseRevision = 1;
    request.changeId = "second";
    (void)apply(request);
    const Effects writes = apply(readOf(1, "first"));
    ASSERT_TRUE(std::any_of(writes.begin(), writes.end(), [](const Effect& effect) {
        const WriteObject* write = std::get_if<WriteObject>(&effect);
        return write != nullptr && write->expectedVersion == 10;
    }));
    (void)apply(StoreWritten {"config", "current", "second", now, {StoreStatus::Unknown, 0}});
    const Effects answers = apply(readOf(3, "third"));
    const Effects::const_iterator it = std::find_if(answers.begin(), answers.end(),
        [](const Effect& effect) { return std::holds_alternative<OperatorAnswer>(effect); });
    ASSERT_NE(it, answers.end());
    EXPECT_EQ(std::get<OperatorAnswer>(*it).status, 502U);
    EXPECT_EQ(control.revision(), 3U);
}

// Guards against answering `unavailable` (nothing was changed) while the write is in flight, which takes effect.
TEST(ConfigurationControlEventsTest, WriteInFlightAtTheDeadlineIsUnknown)
{
    InstanceSettings settings;
    settings.instance = "w1";
    settings.region = "western";
    ConfigurationControl control(settings, 7);
    MonotonicTime now {Milliseconds(1'000)};
    const auto apply = [&](Milliseconds time, Event event) {
        now += time;
        return control.reduce({now, WallTime(), std::move(event)}, {});
    };
    const auto statusIn = [](const Effects& effects) {
        const auto it = std::find_if(effects.begin(), effects.end(),
            [](const Effect& effect) { return std::holds_alternative<OperatorAnswer>(effect); });
        return it == effects.end() ? 0 : std::get<OperatorAnswer>(*it).status;
    };
    const auto load = [&](std::uint64_t number) {
        OperatorRequested request;
        request.request = number;
        request.action = OperatorAction::Load;
        request.configuration = sampleConfiguration();
        request.changeId = "change-" + std::to_string(number);
        return apply(Milliseconds(10), request);
    };
    const auto absent = [&] { return StoreRead {"config", "current", now, {StoreStatus::NotFound, {}}}; };
    (void)load(1);
    EXPECT_EQ(statusIn(apply(Milliseconds(20'000), Tick {})), 503U) << "nothing was written yet";

    (void)load(2);
    const Effects writes = apply(Milliseconds(10), absent());
    ASSERT_TRUE(std::any_of(writes.begin(), writes.end(),
        [](const Effect& effect) { return std::holds_alternative<WriteObject>(effect); }));
    EXPECT_EQ(statusIn(apply(Milliseconds(20'000), Tick {})), 502U);
}

// Guards against a change based on an old revision that silently reverts a newer one.
TEST_F(ConfigurationControlTest, OldBaseRevisionIsAConflict)
{
    loadFirstRevision();
    simulation.load("w1", withSlots(7, "ana"), 1, "second");
    simulation.run(Milliseconds(1'000));
    const std::uint64_t request = simulation.load("c2", withSlots(8, "ben"), 1, "third");
    simulation.run(Milliseconds(1'000));
    EXPECT_EQ(simulation.status(request), 409U);
    EXPECT_EQ(simulation.at("c2").control->revision(), 2U);
}

// Guards against answering `accepted` while a region has not confirmed.
TEST_F(ConfigurationControlTest, SilentInstanceLeavesTheChangeUnconfirmed)
{
    loadFirstRevision();
    // Messages from c2 arrive, but c2 receives nothing from its peers or the store.
    simulation.instanceWithoutStore = "c2";
    simulation.connected = [](const std::string&, const std::string& to) { return to != "c2"; };
    const std::uint64_t request = simulation.load("w1", withSlots(7, "ana"), 1, "second");
    simulation.run(Milliseconds(2'900));
    EXPECT_EQ(simulation.status(request), 0U);
    simulation.run(Milliseconds(300));
    ASSERT_EQ(simulation.status(request), 202U);
    const boost::json::object body = simulation.body(request);
    EXPECT_EQ(body.at("result"), "stored-not-confirmed");
    EXPECT_EQ(body.at("regions").at("central").at("confirmed"), boost::json::array({"c1"}));
    EXPECT_EQ(body.at("regions").at("central").at("missing"), boost::json::array({"c2"}));
}

// Guards against answering `accepted` while a paused instance that the platform still lists as live may serve by an old
// revision.
TEST_F(ConfigurationControlTest, PausedInstanceIsMissingUntilThePlatformListsItAsGone)
{
    loadFirstRevision();
    simulation.at("c2").running = false;
    const std::uint64_t request = simulation.load("w1", withSlots(7, "ana"), 1, "second");
    simulation.run(Milliseconds(3'200));
    ASSERT_EQ(simulation.status(request), 202U);
    EXPECT_EQ(simulation.body(request).at("regions").at("central").at("missing"), boost::json::array({"c2"}));
    simulation.at("c2").listedState = ListedState::Gone;
    const std::uint64_t repeated = simulation.load("w1", withSlots(7, "ana"), 1, "second");
    simulation.run(Milliseconds(1'000));
    EXPECT_EQ(simulation.status(repeated), 200U);
}

// Guards against counting a region without live instances as confirmed.
TEST_F(ConfigurationControlTest, RegionWithoutLiveInstanceIsMissing)
{
    loadFirstRevision();
    simulation.at("c1").running = false;
    simulation.at("c2").running = false;
    const std::uint64_t request = simulation.load("w1", withSlots(7, "ana"), 1, "second");
    simulation.run(Milliseconds(3'200));
    ASSERT_EQ(simulation.status(request), 202U);
    EXPECT_EQ(simulation.body(request).at("regions").at("central").at("missing"), boost::json::array({"c1", "c2"}));
}

// Guards against returning to an older revision when its message arrives late.
TEST_F(ConfigurationControlTest, LateLowerRevisionIsIgnored)
{
    loadFirstRevision();
    const StoredObject first = simulation.object;
    simulation.load("w1", withSlots(7, "ana"), 1, "second");
    simulation.run(Milliseconds(1'000));
    PeerMessageReceived late;
    late.envelope.mutable_sender()->set_id("w1");
    late.envelope.mutable_sender()->set_incarnation(1);
    late.envelope.mutable_configuration_revision()->set_revision(1);
    late.envelope.mutable_configuration_revision()->set_document(first.value);
    simulation.apply("c2", late);
    simulation.run(Milliseconds(1'000));
    EXPECT_EQ(simulation.at("c2").control->revision(), 2U);
    EXPECT_EQ(simulation.at("c2").revisions, (std::vector<std::uint64_t> {0, 1, 2}));
}

// Guards against returning to an older revision when the stored object is restored from a copy.
TEST_F(ConfigurationControlTest, OlderStoredObjectIsIgnored)
{
    loadFirstRevision();
    const StoredObject first = simulation.object;
    simulation.load("w1", withSlots(7, "ana"), 1, "second");
    simulation.run(Milliseconds(1'000));
    simulation.object = first;
    simulation.run(Milliseconds(5'000));
    for (const char* id : {"w1", "w2", "c1", "c2"}) {
        EXPECT_EQ(simulation.at(id).control->revision(), 2U) << id;
    }
}

// Guards against an instance that has no configuration until the store is available.
TEST_F(ConfigurationControlTest, InstanceStartedWhileStoreIsDownLearnsFromPeer)
{
    loadFirstRevision();
    simulation.storeUp = false;
    simulation.add("c3", "central");
    const std::uint64_t early = simulation.show("c3");
    EXPECT_EQ(simulation.status(early), 503U) << "must not answer that no configuration exists";
    simulation.run(Milliseconds(1'000));
    EXPECT_EQ(simulation.at("c3").control->revision(), 1U);
}

// Guards against accepting a change that cannot be stored.
TEST_F(ConfigurationControlTest, StoreDownIsUnavailable)
{
    loadFirstRevision();
    simulation.storeUp = false;
    const std::uint64_t request = simulation.load("w1", withSlots(7, "ana"), 1, "second");
    simulation.run(Milliseconds(1'000));
    EXPECT_EQ(simulation.status(request), 503U);
    EXPECT_EQ(simulation.at("w1").control->revision(), 1U);
}

// Guards against a conflict between a change and its own repetition after a lost answer.
TEST_F(ConfigurationControlTest, RepeatedChangeIsAcceptedAgain)
{
    loadFirstRevision();
    const std::uint64_t first = simulation.load("w1", withSlots(7, "ana"), 1, "second");
    const std::uint64_t joined = simulation.load("w1", withSlots(7, "ana"), 1, "second");
    simulation.run(Milliseconds(1'000));
    const std::uint64_t repeated = simulation.load("c1", withSlots(7, "ana"), 1, "second");
    const std::uint64_t reused = simulation.load("c1", withSlots(9, "ben"), 2, "second");
    simulation.run(Milliseconds(1'000));
    EXPECT_EQ(simulation.status(first), 200U);
    EXPECT_EQ(simulation.status(joined), 200U);
    EXPECT_EQ(simulation.status(repeated), 200U);
    EXPECT_EQ(simulation.body(repeated).at("revision"), 2);
    EXPECT_EQ(simulation.status(reused), 400U) << "another change under the same id";
    EXPECT_EQ(simulation.object.version, 2U) << "written once";
}

// Guards against a revision that stays unknown because the instance that stored it failed before sending it.
TEST_F(ConfigurationControlTest, StoredRevisionIsDistributedWithoutItsWriter)
{
    loadFirstRevision();
    Configuration next = withSlots(7, "ana");
    next.revision = 2;
    next.changeId = "second";
    simulation.object = {"current", 50, encodeConfiguration(next)};
    simulation.run(Milliseconds(3'000));
    for (const char* id : {"w1", "w2", "c1", "c2"}) {
        EXPECT_EQ(simulation.at(id).control->revision(), 2U) << id;
    }
}

// Guards against overwriting a document that only a newer program version can decode.
TEST_F(ConfigurationControlTest, UnreadableStoredDocumentIsNotOverwritten)
{
    loadFirstRevision();
    simulation.object = {"current", 50, "{\"revision\":2,\"newField\":1}"};
    const std::uint64_t request = simulation.load("w1", withSlots(7, "ana"), 1, "second");
    simulation.run(Milliseconds(1'000));
    EXPECT_EQ(simulation.status(request), 503U);
    EXPECT_EQ(simulation.object.version, 50U);
}

// Guards against storing a configuration that no instance can put in force.
TEST_F(ConfigurationControlTest, InvalidConfigurationIsRefusedWithAllErrors)
{
    Configuration configuration = sampleConfiguration();
    configuration.servers[0].address = "localhost:1";
    configuration.servers[1].failureDomain = "western-a";
    const std::uint64_t request = simulation.load("w1", configuration, 0, "first");
    ASSERT_EQ(simulation.status(request), 400U);
    EXPECT_EQ(simulation.body(request).at("errors").as_array().size(), 2U);
    EXPECT_EQ(simulation.object.version, 0U);
}

// Guards against changes with which instances on different revisions would route a key to different servers.
TEST_F(ConfigurationControlTest, ChangesThatWouldSplitOwnershipAreRefused)
{
    loadFirstRevision();
    Configuration configuration = sampleConfiguration();
    configuration.services[0].partitions = 128;
    configuration.services[0].groups = 8;
    configuration.services[0].lease -= Milliseconds(500);
    configuration.services[0].extensionLimit -= Milliseconds(500);
    configuration.servers[0].address = "127.0.0.1:7009";
    const std::uint64_t request = simulation.load("w1", configuration, 1, "second");
    simulation.run(Milliseconds(1'000));
    ASSERT_EQ(simulation.status(request), 400U);
    EXPECT_EQ(simulation.body(request).at("errors").as_array().size(), 5U);
    EXPECT_EQ(simulation.object.version, 1U);
}

// Guards against an answer without the base revision 0, which operators need for the first load.
TEST_F(ConfigurationControlTest, ShowsRevisionZeroWhenTheStoreHasNone)
{
    const std::uint64_t empty = simulation.show("w1");
    EXPECT_EQ(simulation.status(empty), 200U);
    EXPECT_EQ(simulation.body(empty).at("revision"), 0);
    loadFirstRevision();
    const std::uint64_t shown = simulation.show("c2");
    EXPECT_EQ(simulation.body(shown).at("revision"), 1);
    EXPECT_EQ(simulation.body(shown).at("configuration").at("author"), "ana");
}

} // namespace jasminespread
