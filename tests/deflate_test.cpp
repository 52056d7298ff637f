#include "base/deflate.h"

#include "support/mutation.h"

#include <gtest/gtest.h>

namespace jasminespread {
namespace {

std::string sampleText()
{
    std::string text;
    for (int i = 0; i < 3000; ++i) {
        text += R"({"name":"i-)" + std::to_string(i * 7919) + R"(","state":"ready"},)";
    }
    return text;
}

TEST(DeflateTest, RestoresTheText)
{
    for (const std::string& text : {std::string(), std::string("a"), std::string("\0\xff", 2), sampleText()}) {
        EXPECT_EQ(inflate(deflate(text), text.size()), text);
    }
    EXPECT_LT(deflate(sampleText()).size() * 4, sampleText().size());
}

/// Guards against a message that takes up the memory of its receiver, and against reading beyond its end.
TEST(DeflateTest, RefusesWhatIsTooLargeOrMalformed)
{
    const std::string text = sampleText();
    EXPECT_FALSE(inflate(deflate(text), text.size() - 1));
    EXPECT_FALSE(inflate(deflate(std::string(8'000'000, 'x')), 1'000'000));
    EXPECT_FALSE(inflate("", 100));
    EXPECT_FALSE(inflate(deflate(text) + "x", text.size()));
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        const std::optional<std::string> restored = inflate(test::Mutation(seed).apply(deflate(text)), text.size());
        EXPECT_TRUE(!restored || restored->size() <= text.size()) << "seed " << seed;
    }
}

} // namespace
} // namespace jasminespread
