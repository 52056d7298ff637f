#include "control/authority_clock.h"

#include <gtest/gtest.h>

namespace jasminespread {
namespace {

constexpr Milliseconds lease {2000};
constexpr Milliseconds limit {10'000};

class AuthorityClockTest : public testing::Test {
protected:
    AuthorityClockTest() { clock.reset(lease, limit); }

    [[nodiscard]] MonotonicTime at(int milliseconds) const { return start + Milliseconds(milliseconds); }

    AuthorityClock clock;
    MonotonicTime start {std::chrono::hours(1)};
};

// Guards against authority without store evidence, or from store evidence older than a lease.
TEST_F(AuthorityClockTest, StartsWithoutAuthority)
{
    EXPECT_EQ(clock.deadline(), MonotonicTime());
    clock.recordStandbyEvidence(at(0));
    EXPECT_EQ(clock.deadline(), MonotonicTime());
    clock.recordStoreEvidence(at(0), at(2000));
    EXPECT_EQ(clock.deadline(), MonotonicTime());
    clock.recordStoreEvidence(at(1), at(2000));
    EXPECT_EQ(clock.deadline(), at(2001));
}

// Guards against a deadline that counts from the receipt of evidence instead of from the start of its request.
TEST_F(AuthorityClockTest, DeadlineCountsFromStartOfNewestEvidence)
{
    clock.recordStoreEvidence(at(0), at(100));
    EXPECT_EQ(clock.deadline(), at(2000));
    clock.recordStandbyEvidence(at(300));
    clock.recordStandbyEvidence(at(200));
    EXPECT_EQ(clock.deadline(), at(2300));
}

// Guards against standby evidence that restores a lapsed authority, including replies to requests sent before the
// lapse.
TEST_F(AuthorityClockTest, OnlyStoreEvidenceRestoresLapsedAuthority)
{
    clock.recordStoreEvidence(at(0), at(0));
    EXPECT_FALSE(clock.detectLapse(at(1999)));
    EXPECT_TRUE(clock.detectLapse(at(2000)));
    EXPECT_FALSE(clock.detectLapse(at(2001)));
    clock.recordStandbyEvidence(at(1900));
    EXPECT_EQ(clock.deadline(), MonotonicTime());
    clock.recordStoreEvidence(at(2100), at(2200));
    EXPECT_EQ(clock.deadline(), at(4100));
    clock.recordStandbyEvidence(at(2150));
    EXPECT_EQ(clock.deadline(), at(4100));
    clock.recordStandbyEvidence(at(2200));
    EXPECT_EQ(clock.deadline(), at(4200));
}

// Guards against an undetected lapse: evidence that arrives after a pause of the process must not hide that the
// deadline had passed.
TEST_F(AuthorityClockTest, StoreEvidenceAfterPauseDropsOldStandbyEvidence)
{
    clock.recordStoreEvidence(at(0), at(0));
    clock.recordStandbyEvidence(at(1000));
    clock.recordStoreEvidence(at(3500), at(3600));
    EXPECT_EQ(clock.deadline(), at(5500));
    clock.recordStandbyEvidence(at(3000));
    EXPECT_EQ(clock.deadline(), at(5500));
}

// Guards against counting replies of a replaced standby that are still in flight.
TEST_F(AuthorityClockTest, RepliesToRequestsBeforeDiscardAreIgnored)
{
    clock.recordStoreEvidence(at(0), at(0));
    clock.recordStandbyEvidence(at(900));
    clock.discardStandbyEvidence(at(1000));
    EXPECT_EQ(clock.deadline(), at(2000));
    clock.recordStandbyEvidence(at(950));
    EXPECT_EQ(clock.deadline(), at(2000));
    clock.recordStandbyEvidence(at(1001));
    EXPECT_EQ(clock.deadline(), at(3001));
}

// Guards against extension beyond the limit, on which takeovers by third parties rely.
TEST_F(AuthorityClockTest, StandbyEvidenceStopsCountingAtTheExtensionLimit)
{
    clock.recordStoreEvidence(at(0), at(0));
    for (int now = 0; now <= 11'900; now += 100) {
        ASSERT_FALSE(clock.detectLapse(at(now)));
        clock.recordStandbyEvidence(at(now));
    }
    EXPECT_EQ(clock.deadline(), at(12'000));
    EXPECT_TRUE(clock.detectLapse(at(12'000)));
}

// Guards against a primary that extends its authority after it has started to hand its group over.
TEST_F(AuthorityClockTest, FrozenClockIgnoresEvidence)
{
    clock.recordStoreEvidence(at(0), at(0));
    clock.setFrozen(true);
    clock.recordStandbyEvidence(at(500));
    clock.recordStoreEvidence(at(600), at(700));
    EXPECT_EQ(clock.deadline(), at(2000));
    clock.setFrozen(false);
    clock.recordStandbyEvidence(at(800));
    EXPECT_EQ(clock.deadline(), at(2800));
}

} // namespace
} // namespace jasminespread
