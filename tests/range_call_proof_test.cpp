#include "ranges/range_call_proof.h"

#include <gtest/gtest.h>

namespace jasminespread {
namespace {

constexpr const char* server = "10.0.0.1:80";

RangeCallEnded ended(GrantResult result, const std::string& handover = "")
{
    RangeCallEnded call;
    call.result = result;
    call.handover = handover;
    return call;
}

/// Guards against granting keys to another server while requests on them run: a copy of an earlier answer looked like
/// that to the release.
TEST(RangeCallProofTest, ACopyOfAnEarlierAnswerDoesNotEndALease)
{
    RangeCallProof proof;
    EXPECT_FALSE(proof.accepts(server, true, ended(GrantResult::Done), true)); // Copy of the answer to a grant.
    EXPECT_TRUE(proof.accepts(server, true, ended(GrantResult::Done, "h1"), true));
    EXPECT_FALSE(proof.accepts(server, true, ended(GrantResult::Done, "h1"), true)); // Copy of that to a release.
    EXPECT_TRUE(proof.accepts(server, true, ended(GrantResult::Done, "h2"), true));
    for (const bool isRelease : {false, true}) {
        EXPECT_FALSE(proof.accepts(server, isRelease, ended(GrantResult::OtherServer), true));
    }
}

/// Guards against the same when the copy is not of the latest answer: releases end in any order, on several
/// connections.
TEST(RangeCallProofTest, ACopyOfAnyEarlierAnswerDoesNotEndALease)
{
    RangeCallProof proof;
    EXPECT_TRUE(proof.accepts(server, true, ended(GrantResult::Done, "h1"), true));
    EXPECT_TRUE(proof.accepts(server, true, ended(GrantResult::Done, "h2"), true));
    EXPECT_TRUE(proof.accepts(server, true, ended(GrantResult::Done, "h3"), false)); // Of a repeated call.
    for (const char* earlier : {"h1", "h2", "h3"}) {
        EXPECT_FALSE(proof.accepts(server, true, ended(GrantResult::Done, earlier), true)) << earlier;
    }
    EXPECT_TRUE(proof.accepts("10.0.0.2:80", true, ended(GrantResult::Done, "h1"), true));
}

TEST(RangeCallProofTest, AnswersOnANewConnectionAndHarmlessOutcomesCount)
{
    RangeCallProof proof;
    EXPECT_TRUE(proof.accepts(server, true, ended(GrantResult::Done), false));
    EXPECT_TRUE(proof.accepts(server, false, ended(GrantResult::OtherServer), false));
    for (const GrantResult result :
        {GrantResult::Done, GrantResult::Fenced, GrantResult::Refused, GrantResult::NoAnswer, GrantResult::NotSent}) {
        EXPECT_TRUE(proof.accepts(server, false, ended(result), true));
    }
}

} // namespace
} // namespace jasminespread
