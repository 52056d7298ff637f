#include <jasminespread/group_record.h>

#include <gtest/gtest.h>

namespace jasminespread {
namespace {

GroupRecord fullRecord()
{
    GroupRecord record;
    record.group = {"ledger", 3};
    record.homeRegion = "west";
    record.term = 7;
    record.primary = {"a", 0xffff'ffff'ffff'fff1};
    record.standby = InstanceReference {"b", 2};
    record.nextToken = 12;
    record.partitions = {{3, "s1", 9}, {9, "", 4}, {98, "s2", 11}};
    record.overrides = {{"meter \"7\"\n", 98}};
    record.unconfirmedServers = {"s2"};
    record.possibleGranters = {"c", "d"};
    record.changeId = "3e9-4";
    return record;
}

std::optional<ErrorKind> errorOf(std::string_view text)
{
    return handleError(
        [&]() -> Result<std::optional<ErrorKind>> {
            BOOST_LEAF_CHECK(decodeGroupRecord(text));
            return std::optional<ErrorKind>();
        },
        [](const Error& error) { return std::optional(error.kind); });
}

// Guards against fields that encoding loses or rounds, for example incarnations above 2^53.
TEST(GroupRecordTest, DecodesToTheEncodedRecord)
{
    GroupRecord record = fullRecord();
    EXPECT_EQ(decodeGroupRecord(encodeGroupRecord(record)).value(), record);
    record.standby.reset();
    record.unconfirmedServers.clear();
    record.possibleGranters.clear();
    EXPECT_EQ(decodeGroupRecord(encodeGroupRecord(record)).value(), record);
}

// Guards against decoding a damaged object as an empty record.
TEST(GroupRecordTest, DamagedTextIsRefused)
{
    const std::string text = encodeGroupRecord(fullRecord());
    EXPECT_FALSE(errorOf(text));
    EXPECT_EQ(errorOf(""), ErrorKind::InvalidInput);
    EXPECT_EQ(errorOf("[]"), ErrorKind::InvalidInput);
    EXPECT_EQ(errorOf(text.substr(0, text.size() / 2)), ErrorKind::InvalidInput);
    EXPECT_EQ(errorOf(R"({"service":"ledger","index":-1})"), ErrorKind::InvalidInput);
}

} // namespace
} // namespace jasminespread
