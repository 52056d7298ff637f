#include "ranges/range_table_messages.h"

#include <gtest/gtest.h>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr MonotonicTime start {1h};

class RangeTableMessagesTest : public testing::Test {
protected:
    /// A table in which @p owner has the upper half of the keys.
    static std::shared_ptr<const RangeTable> table(std::uint64_t version, const std::string& owner)
    {
        auto created = std::make_shared<RangeTable>();
        created->service = "planner";
        created->term = 3;
        created->version = version;
        created->routes
            = {{{0, 32'767}, {"a", 1}, "a:80", false}, {{32'768, maxKey}, {owner, 1}, owner + ":80", false}};
        return created;
    }

    static wire::InstanceReport report(std::uint64_t version, bool missedChanges = false)
    {
        wire::InstanceReport created;
        if (version != 0) {
            wire::RangeTableVersion& has = *created.add_tables();
            has.set_service("planner");
            has.set_term(3);
            has.set_version(version);
        }
        created.set_missed_changes(missedChanges);
        return created;
    }

    RangeTableSender m_sender;
};

/// Guards against instances that never get routes: the first table is lost if it is sent before the connection is
/// established.
TEST_F(RangeTableMessagesTest, ResendsALostFirstTable)
{
    m_sender.add(table(1, "b"));
    ASSERT_EQ(m_sender.takeUpdates("edge", start).size(), 1U);
    m_sender.onReport("edge", report(0), false, start + 300ms);
    EXPECT_TRUE(m_sender.takeUpdates("edge", start + 300ms).empty()) << "the table may be in transit";
    m_sender.onReport("edge", report(0), false, start + 600ms);
    const std::vector<wire::RangeTableView> again = m_sender.takeUpdates("edge", start + 600ms);
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again.front().base_version(), 0U);
}

/// Guards against messages whose size grows with the table.
TEST_F(RangeTableMessagesTest, SendsOnlyTheChanges)
{
    m_sender.add(table(1, "b"));
    const ReceivedTable first = receiveTable(m_sender.takeUpdates("edge", start).front(), nullptr);
    ASSERT_EQ(first.arrival, TableArrival::Newer);
    m_sender.add(table(2, "c"));
    const std::vector<wire::RangeTableView> changes = m_sender.takeUpdates("edge", start + 100ms);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().base_version(), 1U);
    EXPECT_EQ(changes.front().last_keys_size(), 1);
    const ReceivedTable second = receiveTable(changes.front(), first.table.get());
    ASSERT_EQ(second.arrival, TableArrival::Newer);
    EXPECT_EQ(second.table->routes, table(2, "c")->routes);
}

/// Guards against changes applied to a table that the instance does not have, and against endless reports: a table
/// older than the known one is not a missed change.
TEST_F(RangeTableMessagesTest, ReportsChangesToAnUnknownBase)
{
    m_sender.add(table(1, "b"));
    (void)m_sender.takeUpdates("edge", start);
    m_sender.add(table(2, "c"));
    const wire::RangeTableView toSecond = m_sender.takeUpdates("edge", start).front();
    m_sender.add(table(3, "d"));
    const wire::RangeTableView toThird = m_sender.takeUpdates("edge", start).front();
    EXPECT_EQ(receiveTable(toThird, table(1, "b").get()).arrival, TableArrival::BaseMissing);
    EXPECT_EQ(receiveTable(toThird, nullptr).arrival, TableArrival::BaseMissing);
    EXPECT_EQ(receiveTable(toSecond, table(3, "d").get()).arrival, TableArrival::Older);
    m_sender.onReport("edge", report(1, true), false, start + 10ms);
    const std::vector<wire::RangeTableView> changes = m_sender.takeUpdates("edge", start + 10ms);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().base_version(), 1U);
    EXPECT_EQ(receiveTable(changes.front(), table(1, "b").get()).table->routes, table(3, "d")->routes);
}

/// Guards against changes relative to a table that is no longer retained, or to one of another term.
TEST_F(RangeTableMessagesTest, SendsTheWholeTableIfTheBaseIsNotRetained)
{
    for (std::uint64_t version = 1; version <= 40; ++version) {
        m_sender.add(table(version, version % 2 == 0 ? "b" : "c"));
    }
    m_sender.onReport("edge", report(2), false, start);
    EXPECT_EQ(m_sender.takeUpdates("edge", start).front().base_version(), 0U);
    wire::InstanceReport otherTerm = report(39);
    otherTerm.mutable_tables(0)->set_term(2);
    m_sender.onReport("edge", otherTerm, true, start);
    EXPECT_EQ(m_sender.takeUpdates("edge", start).front().base_version(), 0U);
}

TEST_F(RangeTableMessagesTest, RejectsRangesOutOfOrder)
{
    m_sender.add(table(1, "b"));
    wire::RangeTableView message = m_sender.takeUpdates("edge", start).front();
    message.set_last_keys(1, 100);
    EXPECT_EQ(receiveTable(message, nullptr).arrival, TableArrival::Unreadable);
    message.set_last_keys(1, keyCount);
    EXPECT_EQ(receiveTable(message, nullptr).arrival, TableArrival::Unreadable);
}

} // namespace
} // namespace jasminespread
