#include "ctl/operator_call.h"
#include "daemon/control_loop.h"
#include "loopback_address.h"

#include <jasminespread/burn_report.h>

#include <gtest/gtest.h>

#include <atomic>
#include <glib.h>
#include <thread>

namespace jasminespread {

namespace {

/// Runs a control loop with a reducer given as a function, and a store that answers on the next loop iteration.
class ControlLoopTest : public testing::Test {
protected:
    ControlLoopTest()
    {
        m_settings.instance = "a";
        m_settings.operatorAddress = freeLoopbackAddress();
        m_settings.controlAddress = freeLoopbackAddress();
        m_settings.shutdownTimeout = Milliseconds(200);
        m_hooks.makeStore = [this] { return makeStore(); };
        m_hooks.takeHotKeys = [] { return std::vector<wire::HotKeyReport>(); };
        m_hooks.shutdownFinished = [this] {
            ++m_shutdowns;
            m_loop->quit();
        };
    }

    ObjectStore makeStore()
    {
        ObjectStore store;
        store.instances = [this](const std::function<void(InstanceListResult)>& callback) {
            m_loop->post([callback] { callback(InstanceListResult {StoreStatus::Ok, {}}); });
        };
        store.read
            = [this](const std::string&, const std::string&, const std::function<void(StoreReadResult)>& callback) {
                  m_loop->post([callback] { callback(StoreReadResult {StoreStatus::NotFound, {}}); });
              };
        return store;
    }

    void run()
    {
        m_loop.emplace(m_settings, 7, m_table, m_metrics, m_hooks);
        ASSERT_TRUE(m_loop->start());
        m_loop->run();
    }

    InstanceSettings m_settings;
    RoutingTable m_table;
    MetricsRegistry m_metrics;
    ControlLoop::Hooks m_hooks;
    std::optional<ControlLoop> m_loop;
    int m_shutdowns = 0;
};

} // namespace

// Guards against store answers without the start time of the call, on which authority over groups depends, and against
// event times that go backwards.
TEST_F(ControlLoopTest, StoreAnswersCarryCallStartTime)
{
    bool requested = false;
    MonotonicTime requestedAt {};
    MonotonicTime lastEventTime {};
    std::optional<StoreRead> answer;
    m_hooks.reduce = [&](const TimedEvent& event) -> Effects {
        EXPECT_GE(event.now, lastEventTime);
        lastEventTime = event.now;
        if (!requested && std::holds_alternative<Tick>(event.event)) {
            requested = true;
            requestedAt = event.now;
            return {ReadObject {"group", "desk.0"}, ReadInstanceList {}};
        }
        if (const auto* read = std::get_if<StoreRead>(&event.event)) {
            answer = *read;
            EXPECT_LE(read->startedAt, event.now);
        }
        if (std::holds_alternative<InstanceListReceived>(event.event)) {
            m_loop->quit();
        }
        return {};
    };
    run();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->kind, "group");
    EXPECT_EQ(answer->name, "desk.0");
    EXPECT_EQ(answer->result.status, StoreStatus::NotFound);
    EXPECT_GE(answer->startedAt, requestedAt);
}

// Guards against a report that lacks the requests since the last sample, which the timer takes every 10 s.
TEST_F(ControlLoopTest, ReportIncludesRequestsSinceLastSample)
{
    const auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->services["desk"].settings.name = "desk";
    m_table.publish(snapshot);
    std::thread client;
    OperatorReply reply;
    std::atomic<bool> answered = false;
    m_hooks.reduce = [&](const TimedEvent&) -> Effects {
        if (!client.joinable()) {
            m_metrics
                .counter(
                    "jasminespread_requests_total", "service=\"desk\",outcome=\"done\",reason=\"\",server=\"s1\"", "")
                .add(3);
            client = std::thread([&] {
                reply = makeHttpOperatorCaller(Milliseconds(5000))(
                    {m_settings.operatorAddress, "GET", "/v1/report?format=json", ""});
                answered = true;
            });
        }
        if (answered) {
            m_loop->quit();
        }
        return {};
    };
    run();
    client.join();
    ASSERT_EQ(reply.status, 200U) << reply.failure;
    const BurnReport report = handleError([&] { return decodeBurnReport(reply.body); },
        [](const Error& error) {
            ADD_FAILURE() << describe(error);
            return BurnReport();
        });
    ASSERT_EQ(report.services.size(), 1U);
    EXPECT_EQ(report.services[0].points.back().requests, 3U);
}

// Guards against ticks that arrive too rarely for leases, or stop.
TEST_F(ControlLoopTest, TicksArriveEvery50Milliseconds)
{
    std::vector<MonotonicTime> ticks;
    m_hooks.reduce = [&](const TimedEvent& event) -> Effects {
        ticks.push_back(event.now);
        if (ticks.size() == 11) {
            m_loop->quit();
        }
        return {};
    };
    run();
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(ticks.back() - ticks.front());
    EXPECT_GE(elapsed.count(), 450);
    EXPECT_LE(elapsed.count(), 2000);
}

// Guards against losing refused routes that worker threads report.
TEST_F(ControlLoopTest, AcceptsRefusedRoutesFromOtherThreads)
{
    std::thread worker;
    bool started = false;
    m_hooks.reduce = [&](const TimedEvent& event) -> Effects {
        if (!started) {
            started = true;
            worker = std::thread([this] { m_loop->reportRefusedRoute(GroupName {"desk", 3}); });
        }
        if (const auto* refused = std::get_if<RouteRefused>(&event.event)) {
            EXPECT_EQ(refused->group, (GroupName {"desk", 3}));
            m_loop->quit();
        }
        return {};
    };
    run();
    worker.join();
}

// Guards against a process that never stops because the reducer cannot hand its groups over.
TEST_F(ControlLoopTest, ShutdownFinishesOnceWithoutReducer)
{
    int requests = 0;
    bool requested = false;
    m_hooks.reduce = [&](const TimedEvent& event) -> Effects {
        if (std::holds_alternative<ShutdownRequested>(event.event)) {
            ++requests;
        }
        if (!requested) {
            requested = true;
            m_loop->requestShutdown();
            m_loop->requestShutdown();
        }
        return {};
    };
    run();
    EXPECT_EQ(requests, 1);
    EXPECT_EQ(m_shutdowns, 1);
}

// Guards against losing snapshots and metrics of the reducer.
TEST_F(ControlLoopTest, PublishesSnapshotsAndMetrics)
{
    m_hooks.reduce = [&](const TimedEvent&) -> Effects {
        auto snapshot = std::make_shared<RoutingSnapshot>();
        snapshot->revision = 12;
        m_loop->quit();
        return {PublishRouting {snapshot}, RecordMetric {"moves_total", "service=\"desk\"", 2, false},
            RecordMetric {"peers_live", "", 4, true}, RecordMetric {"moves_total", "service=\"desk\"", 1, false}};
    };
    run();
    EXPECT_EQ(m_table.current()->revision, 12U);
    const std::string text = m_metrics.exposition();
    EXPECT_NE(text.find("moves_total{service=\"desk\"} 3\n"), std::string::npos);
    EXPECT_NE(text.find("peers_live 4\n"), std::string::npos);
}

} // namespace jasminespread
