#include <instance_list.h>
#include <object_table.h>

#include <gtest/gtest.h>

namespace jasminespread::standins {

namespace {

MonotonicTime at(int milliseconds) { return MonotonicTime(Milliseconds(milliseconds)); }

bool succeeds(const std::function<Result<void>()>& action)
{
    return handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(action());
            return true;
        },
        [](const Error&) { return false; });
}

} // namespace

// Guards against a stand-in that accepts a write with an outdated expected version.
TEST(ObjectTableTest, WritesOnlyTheExpectedVersion)
{
    ObjectTable table;
    EXPECT_EQ(table.put("group", "a.0", 0, "1"), ObjectTable::WriteOutcome::Written);
    EXPECT_EQ(table.put("group", "a.0", 0, "2"), ObjectTable::WriteOutcome::Conflict);
    EXPECT_EQ(table.put("config", "current", 0, "c"), ObjectTable::WriteOutcome::Written);
    EXPECT_EQ(table.put("group", "a.0", 1, "3"), ObjectTable::WriteOutcome::Written);
    EXPECT_EQ(table.put("group", "a.0", 1, "4"), ObjectTable::WriteOutcome::Conflict);
    EXPECT_EQ(table.put("group", "b.0", 5, "5"), ObjectTable::WriteOutcome::Conflict);
    EXPECT_EQ(table.find("group", "a.0")->value, "3");
    EXPECT_EQ(table.find("group", "a.0")->version, 3U);
    EXPECT_EQ(table.find("group", "b.0"), nullptr);
    EXPECT_EQ(table.list("group", 0).size(), 1U);
    EXPECT_TRUE(table.list("group", 3).empty());
}

// Guards against a list without lag, which would hide faults in programs that read it.
TEST(InstanceListTest, ShowsChangesAfterTheLag)
{
    InstanceList list(Milliseconds(100));
    EXPECT_TRUE(succeeds([&] { return list.load(R"([{"id":"entry-1","role":"entry","state":"live"}])"); }));
    EXPECT_EQ(list.visibleRows(at(0)).size(), 1U);
    EXPECT_TRUE(succeeds([&] { return list.put("entry-2", {{"role", "entry"}, {"state", "live"}}, at(10)); }));
    EXPECT_TRUE(list.remove("entry-1", at(20)));
    EXPECT_FALSE(list.remove("entry-1", at(20)));
    EXPECT_EQ(list.visibleRows(at(109)).size(), 1U);
    EXPECT_EQ(list.visibleRows(at(110)).size(), 2U);
    const boost::json::array rows = list.visibleRows(at(120));
    ASSERT_EQ(rows.size(), 1U);
    EXPECT_EQ(rows[0].at("id").as_string(), "entry-2");
}

// Guards against rows without a role or a valid state.
TEST(InstanceListTest, RefusesInvalidRows)
{
    InstanceList list(Milliseconds(0));
    EXPECT_FALSE(succeeds([&] { return list.load("{}"); }));
    EXPECT_FALSE(succeeds([&] { return list.load(R"([{"role":"entry","state":"live"}])"); }));
    EXPECT_FALSE(succeeds([&] { return list.load(R"([{"id":"a","role":"entry","state":"asleep"}])"); }));
}

} // namespace jasminespread::standins
