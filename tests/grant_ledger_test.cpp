#include <grant_ledger.h>

#include <gtest/gtest.h>

namespace jasminespread::standins {

namespace {

const GroupName group {"refit-planner", 0};
const InstanceReference entry1 {"entry-1", 11};
const InstanceReference entry2 {"entry-2", 22};
constexpr Milliseconds lease {2000};

MonotonicTime at(int milliseconds) { return MonotonicTime(Milliseconds(milliseconds)); }

PartitionClaim claimOf(std::uint32_t partition, std::uint64_t token) { return {group, 1, partition, token, true}; }

class GrantLedgerTest : public testing::Test {
protected:
    using Partitions = std::optional<std::vector<GrantedPartition>>;

    GrantReply send(const InstanceReference& granter, const std::string& nonce, std::uint64_t term,
        std::uint64_t revision, Partitions partitions, MonotonicTime now)
    {
        GrantBatch batch;
        batch.granter = granter;
        batch.nonce = nonce;
        batch.grants.push_back({group, term, revision, lease, std::move(partitions)});
        return m_ledger.apply(batch, ServerState::Serving, now);
    }

    /// Makes first contact at @p now and returns the issued nonce.
    std::string nonce(const InstanceReference& granter, MonotonicTime now)
    {
        GrantBatch batch;
        batch.granter = granter;
        return m_ledger.apply(batch, ServerState::Serving, now).nonce;
    }

    int m_lastNonce = 0;
    GrantLedger m_ledger {"backend-1", 7, [this] { return "n" + std::to_string(++m_lastNonce); }};
};

GrantStatus statusOf(const GrantReply& reply) { return reply.results.at(0).status; }

} // namespace

// Guards against a delayed grant that gives a lease beyond the time that the granter assumes.
TEST_F(GrantLedgerTest, CountsLeaseFromIssueOfNonce)
{
    const std::string first = nonce(entry1, at(0));
    EXPECT_EQ(statusOf(send(entry1, first, 1, 1, {{{3, 5}}}, at(1900))), GrantStatus::Accepted);
    EXPECT_EQ(m_ledger.checkStart(claimOf(3, 5), at(1999)), ClaimResult::Valid);
    EXPECT_EQ(m_ledger.checkStart(claimOf(3, 5), at(2000)), ClaimResult::NoLease);
}

// Guards against a grant delayed beyond its lease time that makes an expired owner valid again.
TEST_F(GrantLedgerTest, GrantDelayedBeyondItsLengthGivesNoLease)
{
    const std::string first = nonce(entry1, at(0));
    EXPECT_EQ(statusOf(send(entry1, first, 1, 1, {{{3, 5}}}, at(5000))), GrantStatus::Accepted);
    EXPECT_EQ(m_ledger.checkStart(claimOf(3, 5), at(5000)), ClaimResult::NoLease);
}

// Guards against a renewal with an old nonce that shortens a lease granted with a newer one.
TEST_F(GrantLedgerTest, OldNonceDoesNotShortenLease)
{
    const std::string first = nonce(entry1, at(0));
    const std::string second = send(entry1, first, 1, 1, {{{3, 5}}}, at(500)).nonce;
    EXPECT_EQ(statusOf(send(entry1, second, 1, 1, std::nullopt, at(600))), GrantStatus::Accepted);
    EXPECT_EQ(statusOf(send(entry1, first, 1, 1, std::nullopt, at(700))), GrantStatus::Accepted);
    EXPECT_EQ(m_ledger.checkStart(claimOf(3, 5), at(2499)), ClaimResult::Valid);
    EXPECT_EQ(m_ledger.checkStart(claimOf(3, 5), at(2500)), ClaimResult::NoLease);
}

// Guards against grants without a nonce, or with a nonce that is invented, another granter's, or issued to another
// incarnation.
TEST_F(GrantLedgerTest, RefusesUnknownNonces)
{
    const std::string first = nonce(entry1, at(0));
    EXPECT_EQ(statusOf(send(entry1, "", 1, 1, {{{3, 5}}}, at(1))), GrantStatus::UnknownNonce);
    EXPECT_EQ(statusOf(send(entry1, "invented", 1, 1, {{{3, 5}}}, at(1))), GrantStatus::UnknownNonce);
    EXPECT_EQ(statusOf(send(entry2, first, 1, 1, {{{3, 5}}}, at(1))), GrantStatus::UnknownNonce);
    EXPECT_EQ(statusOf(send({"entry-1", 12}, first, 1, 1, {{{3, 5}}}, at(1))), GrantStatus::UnknownNonce);
    EXPECT_EQ(m_ledger.checkStart(claimOf(3, 5), at(1)), ClaimResult::NoLease);
    EXPECT_EQ(statusOf(send(entry1, first, 1, 1, {{{3, 5}}}, at(1))), GrantStatus::Accepted);
}

// Guards against unbounded memory and against accepting very old nonces.
TEST_F(GrantLedgerTest, KeepsOnlyTheNewestNonces)
{
    const std::string first = nonce(entry1, at(0));
    const std::string second = nonce(entry1, at(0));
    for (std::size_t i = 1; i < GrantLedger::noncesPerGranter; ++i) {
        EXPECT_FALSE(nonce(entry1, at(1)).empty());
    }
    EXPECT_EQ(statusOf(send(entry1, first, 1, 1, {{{3, 5}}}, at(2))), GrantStatus::UnknownNonce);
    EXPECT_EQ(statusOf(send(entry1, second, 1, 1, {{{3, 5}}}, at(2))), GrantStatus::UnknownNonce);
}

// Guards against a superseded primary that continues to grant after a takeover.
TEST_F(GrantLedgerTest, RefusesLowerTerm)
{
    const std::string first = nonce(entry1, at(0));
    const std::string other = nonce(entry2, at(0));
    EXPECT_EQ(statusOf(send(entry1, first, 1, 9, {{{3, 5}}}, at(1))), GrantStatus::Accepted);
    EXPECT_EQ(statusOf(send(entry2, other, 2, 1, {{{3, 6}}}, at(2))), GrantStatus::Accepted);
    const GrantReply reply = send(entry1, first, 1, 10, {{{3, 5}}}, at(3));
    EXPECT_EQ(statusOf(reply), GrantStatus::StaleTerm);
    EXPECT_EQ(reply.results[0].term, 2U);
    EXPECT_EQ(m_ledger.checkStart(claimOf(3, 5), at(3)), ClaimResult::NotOwner);
    EXPECT_EQ(m_ledger.checkStart(claimOf(3, 6), at(3)), ClaimResult::Valid);
}

// Guards against executing one request id twice, for a superseded primary and for its successor: after a takeover the
// token of a partition that did not move is still valid.
TEST_F(GrantLedgerTest, NonRepeatableRequestNeedsTheTermOfTheLease)
{
    const std::string first = nonce(entry1, at(0));
    const std::string other = nonce(entry2, at(0));
    EXPECT_EQ(statusOf(send(entry1, first, 1, 1, {{{3, 5}}}, at(1))), GrantStatus::Accepted);
    EXPECT_EQ(m_ledger.checkStart({group, 1, 3, 5, false}, at(1)), ClaimResult::Valid);
    EXPECT_EQ(statusOf(send(entry2, other, 2, 1, {{{3, 5}}}, at(2))), GrantStatus::Accepted);
    EXPECT_EQ(m_ledger.checkStart({group, 1, 3, 5, false}, at(3)), ClaimResult::NotOwner);
    EXPECT_EQ(m_ledger.checkStart({group, 1, 3, 5, true}, at(3)), ClaimResult::Valid);
    EXPECT_EQ(m_ledger.checkStart({group, 2, 3, 5, false}, at(3)), ClaimResult::Valid);
    // The request started before the takeover, so the successor treats its id as possibly executed.
    EXPECT_EQ(m_ledger.checkCommit({group, 1, 3, 5, false}, at(3)), ClaimResult::Valid);
}

// Guards against a new term that inherits the longer lease of an earlier primary.
TEST_F(GrantLedgerTest, NewTermReplacesLease)
{
    const std::string early = nonce(entry2, at(0));
    const std::string late = nonce(entry1, at(1500));
    EXPECT_EQ(statusOf(send(entry1, late, 1, 1, {{{3, 5}}}, at(1500))), GrantStatus::Accepted);
    EXPECT_EQ(statusOf(send(entry2, early, 2, 1, {{{3, 5}}}, at(1600))), GrantStatus::Accepted);
    EXPECT_EQ(m_ledger.checkStart(claimOf(3, 5), at(2000)), ClaimResult::NoLease);
}

// Guards against extending the lease of a set that the server does not hold after a restart, a new term or a lost
// message.
TEST_F(GrantLedgerTest, RequestsWholeSet)
{
    const std::string first = nonce(entry1, at(0));
    EXPECT_EQ(statusOf(send(entry1, first, 1, 1, std::nullopt, at(1))), GrantStatus::NeedFull);
    EXPECT_EQ(statusOf(send(entry1, first, 1, 1, {{{3, 5}}}, at(1))), GrantStatus::Accepted);
    EXPECT_EQ(statusOf(send(entry1, first, 1, 2, std::nullopt, at(1))), GrantStatus::NeedFull);
    const GrantReply reply = send(entry1, first, 2, 1, std::nullopt, at(1));
    EXPECT_EQ(statusOf(reply), GrantStatus::NeedFull);
    EXPECT_EQ(reply.results[0].term, 1U);
    EXPECT_EQ(reply.results[0].revision, 1U);
    EXPECT_EQ(m_ledger.checkStart(claimOf(3, 5), at(2)), ClaimResult::Valid);
}

// Guards against a reordered grant that restores a withdrawn partition.
TEST_F(GrantLedgerTest, RefusesOlderRevision)
{
    const std::string first = nonce(entry1, at(0));
    EXPECT_EQ(statusOf(send(entry1, first, 1, 2, {{{3, 5}}}, at(1))), GrantStatus::Accepted);
    EXPECT_EQ(statusOf(send(entry1, first, 1, 1, {{{3, 5}, {4, 6}}}, at(2))), GrantStatus::NeedFull);
    EXPECT_EQ(m_ledger.checkStart(claimOf(4, 6), at(2)), ClaimResult::NotOwner);
}

// Guards against reporting a partition as released while one of its requests still runs.
TEST_F(GrantLedgerTest, ReportsBusyUntilRunningRequestsEnd)
{
    const std::string first = nonce(entry1, at(0));
    EXPECT_EQ(statusOf(send(entry1, first, 1, 1, {{{3, 5}, {4, 6}}}, at(1))), GrantStatus::Accepted);
    m_ledger.beginRequest(claimOf(3, 5));
    m_ledger.beginRequest(claimOf(4, 6));
    EXPECT_EQ(send(entry1, first, 1, 2, {{{4, 6}}}, at(2)).results[0].busy, (std::vector<std::uint32_t> {3}));
    EXPECT_EQ(m_ledger.checkStart(claimOf(3, 5), at(3)), ClaimResult::NotOwner);
    EXPECT_EQ(m_ledger.checkCommit(claimOf(3, 5), at(3)), ClaimResult::Valid);
    m_ledger.finishRequest(claimOf(3, 5));
    EXPECT_TRUE(send(entry1, first, 1, 2, std::nullopt, at(4)).results[0].busy.empty());
}

// Guards against renewals of the remaining set that extend the lease of a withdrawn partition.
TEST_F(GrantLedgerTest, WithdrawnPartitionKeepsItsLeaseEnd)
{
    const std::string first = nonce(entry1, at(0));
    const std::string second = send(entry1, first, 1, 1, {{{3, 5}}}, at(1000)).nonce;
    m_ledger.beginRequest(claimOf(3, 5));
    EXPECT_EQ(statusOf(send(entry1, second, 1, 2, {{{4, 6}}}, at(1100))), GrantStatus::Accepted);
    EXPECT_EQ(m_ledger.checkStart(claimOf(4, 6), at(2900)), ClaimResult::Valid);
    EXPECT_EQ(m_ledger.checkCommit(claimOf(3, 5), at(1999)), ClaimResult::Valid);
    EXPECT_EQ(m_ledger.checkCommit(claimOf(3, 5), at(2000)), ClaimResult::NoLease);
}

// Guards against a commit with an old token after the partition was granted again with a new one.
TEST_F(GrantLedgerTest, ReturnedPartitionRefusesOldToken)
{
    const std::string first = nonce(entry1, at(0));
    EXPECT_EQ(statusOf(send(entry1, first, 1, 1, {{{3, 5}}}, at(1))), GrantStatus::Accepted);
    m_ledger.beginRequest(claimOf(3, 5));
    EXPECT_EQ(statusOf(send(entry1, first, 1, 2, std::vector<GrantedPartition> {}, at(2))), GrantStatus::Accepted);
    EXPECT_EQ(statusOf(send(entry1, first, 1, 3, {{{3, 7}}}, at(3))), GrantStatus::Accepted);
    EXPECT_EQ(m_ledger.checkCommit(claimOf(3, 5), at(4)), ClaimResult::NotOwner);
    EXPECT_EQ(m_ledger.checkCommit(claimOf(3, 7), at(4)), ClaimResult::Valid);
}

} // namespace jasminespread::standins
