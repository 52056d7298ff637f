#include "base/json_slices.h"

#include <gtest/gtest.h>

#include <string>

namespace jasminespread {
namespace {

std::vector<std::string> textsOf(std::string_view text)
{
    std::vector<std::string> texts;
    for (const JsonSlice& slice : splitJson(text).value_or(std::vector<JsonSlice>())) {
        texts.emplace_back(slice.text);
    }
    return texts;
}

TEST(JsonSlicesTest, SplitsTheOutermostLevel)
{
    EXPECT_EQ(textsOf(R"( [1, {"a":[2,3]}, "x,]\"y" , null] )"),
        (std::vector<std::string> {"1", R"({"a":[2,3]})", R"("x,]\"y")", "null"}));
    const std::optional<std::vector<JsonSlice>> fields = splitJson(R"({"a" : 1, "b,}": {"a": 2}, "a": [3]})");
    ASSERT_TRUE(fields);
    EXPECT_EQ(findSlice(*fields, "b,}"), R"({"a": 2})");
    EXPECT_EQ(findSlice(*fields, "a"), "[3]");
    EXPECT_FALSE(findSlice(*fields, "c"));
    EXPECT_TRUE(textsOf("[ ]").empty());
    EXPECT_TRUE(splitJson("{}"));
}

/// Guards against a slice that reaches beyond its member, and against reading behind the end of the text.
TEST(JsonSlicesTest, RefusesUnbalancedText)
{
    for (const char* text : {"", "  ", "7", "\"a\"", "[", "]", "[1", "[1}", "{\"a\":1]", "[\"a]", "[\"a\\", "[1]]",
             "[[1]", "{\"a\"}", "{a:1}", "{\"a\" 1}", "[1] [2]", "{\"a\":1}}"}) {
        EXPECT_FALSE(splitJson(text)) << text;
    }
}

/// Guards against a member that cannot be parsed making its neighbours unreadable, and against stack use by depth.
TEST(JsonSlicesTest, SeparatesMembersThatCannotBeParsed)
{
    const std::string deep = std::string(1'000'000, '[') + std::string(1'000'000, ']');
    EXPECT_EQ(textsOf("[1," + deep + ",1e99999999999,\"\x01\xff\",2]"),
        (std::vector<std::string> {"1", deep, "1e99999999999", "\"\x01\xff\"", "2"}));
}

} // namespace
} // namespace jasminespread
