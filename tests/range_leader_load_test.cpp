#include "ranges/range_authority.h"
#include "ranges/range_keeper.h"

#include <gtest/gtest.h>

#include <ctime>
#include <utility>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr std::string_view service = "archive";
constexpr std::size_t serverCount = 190;
constexpr std::size_t instanceCount = 76;
/// Processor time that control may take: 1% of a core.
constexpr Milliseconds controlBudgetPerSecond = 10ms;

std::chrono::nanoseconds threadTime()
{
    timespec used {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

/// An authority that leads and keeps a service of many servers, against a store that answers at once.
class RangeLeaderLoadTest : public testing::Test {
protected:
    RangeLeaderLoadTest()
        : m_authority(LeaderRecord {0, "edge-1", 7, "10.0.0.1:7200", {}}, RangeTimes(), LeadershipTimes(), 1)
    {
        auto configuration = std::make_shared<GatewayConfiguration>();
        configuration->services[std::string(service)] = {std::string(service), "/health", 100, true, 0ms};
        reduce(RangeServicesConfigured {std::move(configuration)});
        auto servers = std::make_shared<ServerList>();
        for (std::size_t i = 0; i < serverCount; ++i) {
            ListedServer& server = servers->emplace_back();
            server.life = {"i-" + std::to_string(1000000 + i), 1};
            server.service = service;
            server.address = "10.7." + std::to_string(i) + ".14:8382";
            server.slots = 4;
        }
        reduce(RangeServersListed {std::move(servers)});
    }

    /// Applies one event, answers what it asks of the store, and keeps the grants that it sends.
    void reduce(RangeEvent&& event)
    {
        for (RangeEffect& effect : m_authority.reduce({m_now, std::move(event)})) {
            if (auto* read = std::get_if<ReadRecord>(&effect)) {
                const auto it = m_records.find(read->name);
                StoreReadResult result;
                result.status = it == m_records.end() ? StoreStatus::NotFound : StoreStatus::Ok;
                if (it != m_records.end()) {
                    result.object = it->second;
                }
                reduce(RecordRead {read->name, m_now, std::move(result)});
            } else if (auto* write = std::get_if<WriteRecord>(&effect)) {
                StoredObject& object = m_records[write->name];
                object = {write->name, ++m_version, write->value};
                reduce(RecordWritten {write->name, m_now, {StoreStatus::Ok, m_version}});
            } else if (auto* grant = std::get_if<GrantRange>(&effect)) {
                m_grants.push_back(grant->call);
            } else if (auto* sent = std::get_if<SendRangePeer>(&effect)) {
                m_tableMessages += sent->envelope.has_range_table_view() ? 1 : 0;
            }
        }
    }

    /// The other instances report to the leader.
    void report()
    {
        for (std::size_t i = 2; i < instanceCount + 1; ++i) {
            wire::Envelope envelope;
            envelope.mutable_sender()->set_id("edge-" + std::to_string(i));
            envelope.mutable_sender()->set_incarnation(i);
            wire::InstanceReport& report = *envelope.mutable_instance_report();
            report.set_address("10.0.0." + std::to_string(i) + ":7200");
            report.set_store_reachable(true);
            reduce(RangePeerMessage {std::move(envelope)});
        }
    }

    void run(Milliseconds length)
    {
        for (const MonotonicTime end = m_now + length; m_now < end; m_now += 50ms) {
            reduce(RangeTick {});
            for (const std::uint64_t call : std::exchange(m_grants, {})) {
                reduce(RangeCallEnded {call, GrantResult::Done, "", false});
                ++m_answers;
            }
        }
    }

    RangeAuthority m_authority;
    MonotonicTime m_now {1h};
    std::map<std::string, StoredObject> m_records;
    std::uint64_t m_version = 0;
    std::vector<std::uint64_t> m_grants;
    std::size_t m_answers = 0;
    std::size_t m_tableMessages = 0;
};

/// Guards against a leader whose answers of grants keep it from reading requests.
TEST_F(RangeLeaderLoadTest, RenewalsStayWithinTheBudgetOfControl)
{
    run(10s);
    ASSERT_GE(m_answers, serverCount);
    m_answers = 0;
    const std::chrono::nanoseconds before = threadTime();
    run(4s);
    const std::chrono::nanoseconds used = threadTime() - before;
    EXPECT_GE(m_answers, serverCount * 4);
    EXPECT_LE(used, 4 * controlBudgetPerSecond) << m_answers << " answers";
}

/// Guards against a leader that tells every instance each of many changes of owners that come at once.
TEST_F(RangeLeaderLoadTest, TellsInstancesManyNewOwnersTogether)
{
    for (int i = 0; i < 200 && m_grants.empty(); ++i, m_now += 50ms) {
        reduce(RangeTick {});
    }
    ASSERT_EQ(m_grants.size(), serverCount);
    report();
    m_tableMessages = 0;
    const std::chrono::nanoseconds before = threadTime();
    for (const std::uint64_t call : std::exchange(m_grants, {})) {
        m_now += 1ms;
        reduce(RangeCallEnded {call, GrantResult::Done, "", false});
    }
    const std::chrono::nanoseconds used = threadTime() - before;
    // One table for each 50 ms of these answers, at most.
    const std::size_t tables = serverCount / 50 + 1;
    EXPECT_LE(m_tableMessages, tables * (instanceCount - 1));
    EXPECT_LE(used, controlBudgetPerSecond);
}

} // namespace
} // namespace jasminespread
