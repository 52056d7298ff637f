#include <jasminespread/request_id.h>

#include <gtest/gtest.h>

namespace jasminespread {

// Guards against losing bits of the time of issue, which decides whether an old id is refused.
TEST(RequestIdTest, KeepsTimeOfIssueThroughText)
{
    const WallTime now {Milliseconds(1'796'000'123'456)};
    const RequestId id = RequestId::generate(now);
    const std::optional<RequestId> parsed = RequestId::parse(id.text());
    ASSERT_TRUE(parsed);
    EXPECT_EQ(*parsed, id);
    EXPECT_EQ(parsed->issuedAt(), now);
}

// Guards against accepting ids without a time of issue (UUIDs of other versions) or malformed text.
TEST(RequestIdTest, RefusesOtherVersionsAndMalformedText)
{
    EXPECT_FALSE(RequestId::parse("6fa459ea-ee8a-4ca4-894e-db77e160355e"));
    EXPECT_FALSE(RequestId::parse("0190163d-8694-739b-aea5-966c26f8ad9"));
    EXPECT_FALSE(RequestId::parse("0190163d-8694-739b-aea5-966c26f8ad9g"));
    EXPECT_FALSE(RequestId::parse("0190163d86947-39b-aea5-966c26f8ad91-"));
    EXPECT_FALSE(RequestId::parse(""));
}

} // namespace jasminespread
