#include "settings/text_values.h"

#include <gtest/gtest.h>

namespace jasminespread {

// Guards against reading a duration in the wrong unit, which would change leases by orders of magnitude.
TEST(TextValuesTest, DurationsNeedAUnit)
{
    EXPECT_EQ(parseDuration("200ms"), Milliseconds(200));
    EXPECT_EQ(parseDuration("2s"), Milliseconds(2'000));
    EXPECT_EQ(parseDuration("5m"), Milliseconds(300'000));
    EXPECT_EQ(parseDuration("2h"), Milliseconds(7'200'000));
    for (const char* text : {"", "200", "ms", "2 s", "-2s", "+2s", "1.5s", "2S", "2sec", "99999999999999999999ms",
             "9223372036854775807h"}) {
        EXPECT_FALSE(parseDuration(text)) << text;
    }
}

// Guards against a loss of precision when a document is written and read back.
TEST(TextValuesTest, DurationRoundTripIsExact)
{
    for (const std::int64_t n : {0, 1, 999, 1'000, 1'001, 60'000, 90'000, 7'200'000}) {
        EXPECT_EQ(parseDuration(formatDuration(Milliseconds(n))), Milliseconds(n));
    }
    EXPECT_EQ(formatDuration(Milliseconds(90'000)), "90s");
}

// Guards against planned stops at another time than the operator wrote, for example through a local time zone.
TEST(TextValuesTest, TimesAreUtc)
{
    const std::optional<WallTime> time = parseUtcTime("2026-12-04T18:30:00Z");
    ASSERT_TRUE(time);
    EXPECT_EQ(time->time_since_epoch().count(), 1'796'409'000'000);
    EXPECT_EQ(formatUtcTime(*time), "2026-12-04T18:30:00Z");
    EXPECT_EQ(formatUtcTime(*time + Milliseconds(50)), "2026-12-04T18:30:00.050Z");
    EXPECT_EQ(parseUtcTime("2026-12-04T18:30:00.05Z"), *time + Milliseconds(50));
    for (const char* text : {"2026-12-04T18:30:00", "2026-12-04T18:30:00+05:30", "2026-12-04 18:30:00Z",
             "2026-02-29T18:30:00Z", "2026-12-04T24:00:00Z", "2026-12-04T18:30:60Z", "2026-12-04T18:30:00.Z",
             "2026-12-04T18:30:00.1234Z", "2026-12-04T18:30Z", "Z", ""}) {
        EXPECT_FALSE(parseUtcTime(text)) << text;
    }
}

// Guards against accepting host names. The system resolves no names, so that a DNS outage cannot stop it.
TEST(TextValuesTest, AddressesNeedIpAddressAndPort)
{
    EXPECT_TRUE(isIpAddressAndPort("127.0.0.1:80"));
    EXPECT_TRUE(isIpAddressAndPort("[::1]:65535"));
    for (const char* text : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "::1:80",
             "127.0.0.1:+80", "127.0.0.256:80", ":80", "[]:80", ""}) {
        EXPECT_FALSE(isIpAddressAndPort(text)) << text;
    }
}

} // namespace jasminespread
