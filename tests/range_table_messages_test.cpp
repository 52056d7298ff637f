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
        auto made = std::make_shared<RangeTable>();
        made->service = "planner";
        made->term = 3;
        made->version = version;
        made->routes
            = {{{0, 32'767}, {"a", 1}, "a:80", false}, {{32'768, highestKey}, {owner, 1}, owner + ":80", false}};
        return made;
    }

    static wire::InstanceReport report(std::uint64_t version, bool missed = false)
    {
        wire::InstanceReport made;
        if (version != 0) {
            wire::RangeTableVersion& has = *made.add_tables();
            has.set_service("planner");
            has.set_term(3);
            has.set_version(version);
        }
        made.set_missed_changes(missed);
        return made;
    }

    RangeTableSender m_sender;
};

/// Guards against instances that never get a route: the first table is sent before the connection stands, and is lost.
TEST_F(RangeTableMessagesTest, SendsALostFirstTableAgain)
{
    m_sender.add(table(1, "b"));
    ASSERT_EQ(m_sender.due("edge", start).size(), 1U);
    m_sender.reported("edge", report(0), false, start + 300ms);
    EXPECT_TRUE(m_sender.due("edge", start + 300ms).empty()) << "the table may be under way";
    m_sender.reported("edge", report(0), false, start + 600ms);
    const std::vector<wire::RangeTableView> again = m_sender.due("edge", start + 600ms);
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again.front().base_version(), 0U);
}

/// Guards against messages that grow with the table.
TEST_F(RangeTableMessagesTest, TellsOnlyWhatChanged)
{
    m_sender.add(table(1, "b"));
    const ReceivedTable first = receiveTable(m_sender.due("edge", start).front(), nullptr);
    ASSERT_EQ(first.arrival, TableArrival::Newer);
    m_sender.add(table(2, "c"));
    const std::vector<wire::RangeTableView> changes = m_sender.due("edge", start + 100ms);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().base_version(), 1U);
    EXPECT_EQ(changes.front().last_keys_size(), 1);
    const ReceivedTable second = receiveTable(changes.front(), first.table.get());
    ASSERT_EQ(second.arrival, TableArrival::Newer);
    EXPECT_EQ(second.table->routes, table(2, "c")->routes);
}

/// Guards against routes of a table that the instance does not have, and against reports without end: what is older
/// than the known table is nothing missed.
TEST_F(RangeTableMessagesTest, ChangesThatDoNotFitAreMissed)
{
    m_sender.add(table(1, "b"));
    (void)m_sender.due("edge", start);
    m_sender.add(table(2, "c"));
    const wire::RangeTableView toSecond = m_sender.due("edge", start).front();
    m_sender.add(table(3, "d"));
    const wire::RangeTableView toThird = m_sender.due("edge", start).front();
    EXPECT_EQ(receiveTable(toThird, table(1, "b").get()).arrival, TableArrival::Missed);
    EXPECT_EQ(receiveTable(toThird, nullptr).arrival, TableArrival::Missed);
    EXPECT_EQ(receiveTable(toSecond, table(3, "d").get()).arrival, TableArrival::Older);
    m_sender.reported("edge", report(1, true), false, start + 10ms);
    const std::vector<wire::RangeTableView> changes = m_sender.due("edge", start + 10ms);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().base_version(), 1U);
    EXPECT_EQ(receiveTable(changes.front(), table(1, "b").get()).table->routes, table(3, "d")->routes);
}

/// Guards against a table that is not kept any more, and against one of another term.
TEST_F(RangeTableMessagesTest, SendsTheWholeTableWhereItsBaseIsGone)
{
    for (std::uint64_t version = 1; version <= 40; ++version) {
        m_sender.add(table(version, version % 2 == 0 ? "b" : "c"));
    }
    m_sender.reported("edge", report(2), false, start);
    EXPECT_EQ(m_sender.due("edge", start).front().base_version(), 0U);
    wire::InstanceReport otherTerm = report(39);
    otherTerm.mutable_tables(0)->set_term(2);
    m_sender.reported("edge", otherTerm, true, start);
    EXPECT_EQ(m_sender.due("edge", start).front().base_version(), 0U);
}

TEST_F(RangeTableMessagesTest, RefusesRangesOutOfOrder)
{
    m_sender.add(table(1, "b"));
    wire::RangeTableView message = m_sender.due("edge", start).front();
    message.set_last_keys(1, 100);
    EXPECT_EQ(receiveTable(message, nullptr).arrival, TableArrival::Unreadable);
    message.set_last_keys(1, keyCount);
    EXPECT_EQ(receiveTable(message, nullptr).arrival, TableArrival::Unreadable);
}

} // namespace
} // namespace jasminespread
