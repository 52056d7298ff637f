#include <jasminespread/grant.h>

#include <gtest/gtest.h>

namespace jasminespread {

namespace {

constexpr std::uint64_t largest = ~std::uint64_t {0};

/// Returns the error kind of a failed decode, or nothing when it succeeded.
template <typename T> std::optional<ErrorKind> failureOf(Result<T> (*decode)(std::string_view), std::string_view text)
{
    return handleError(
        [&]() -> Result<std::optional<ErrorKind>> {
            BOOST_LEAF_CHECK(decode(text));
            return std::optional<ErrorKind>();
        },
        [](const Error& error) { return std::optional<ErrorKind>(error.kind); });
}

template <typename T> T decoded(Result<T> (*decode)(std::string_view), std::string_view text)
{
    return handleError([&] { return decode(text); },
        [](const Error& error) {
            ADD_FAILURE() << describe(error);
            return T {};
        });
}

} // namespace

// Guards against rounding 64-bit numbers, and against confusing an empty set with an absent one.
TEST(GrantCodecTest, BatchKeepsLargeNumbersAndAbsentSets)
{
    GrantBatch batch;
    batch.granter = {"entry-1", largest};
    batch.nonce = "n\"1";
    batch.grants.push_back({{"refit-planner", 3}, largest - 1, 7, Milliseconds(2000), {{{5, largest}, {6, 1}}}});
    batch.grants.push_back({{"refit-planner", 4}, 1, 8, Milliseconds(1), std::vector<GrantedPartition> {}});
    batch.grants.push_back({{"refit-planner", 5}, 1, 9, Milliseconds(2000), std::nullopt});
    EXPECT_EQ(decoded(&decodeGrantBatch, encodeGrantBatch(batch)), batch);
}

// Guards against a reply that loses busy partitions or the status of a group.
TEST(GrantCodecTest, ReplyKeepsEveryField)
{
    GrantReply reply {"backend-1", largest, "nonce", ServerState::Cold, {}};
    reply.results.push_back({{"ledger", 0}, GrantStatus::Accepted, 4, 5, {1, 4'294'967'295}});
    reply.results.push_back({{"ledger", 1}, GrantStatus::NeedFull, 6, 0, {}});
    reply.results.push_back({{"ledger", 2}, GrantStatus::StaleTerm, largest, 0, {}});
    reply.results.push_back({{"ledger", 3}, GrantStatus::UnknownNonce, 0, 0, {}});
    EXPECT_EQ(decoded(&decodeGrantReply, encodeGrantReply(reply)), reply);
}

// Guards against acting on a malformed grant: each text lacks a field or has a value of a wrong type or range.
TEST(GrantCodecTest, RefusesMalformedBatches)
{
    const std::string_view texts[] = {
        "",
        "{",
        "[]",
        R"({"incarnation":1,"nonce":"","grants":[]})",
        R"({"instance":"a","incarnation":-1,"nonce":"","grants":[]})",
        R"({"instance":"a","incarnation":1.5,"nonce":"","grants":[]})",
        R"({"instance":"a","incarnation":"1","nonce":"","grants":[]})",
        R"({"instance":"a","incarnation":1,"nonce":7,"grants":[]})",
        R"({"instance":"a","incarnation":1,"nonce":"","grants":{}})",
        R"({"instance":"a","incarnation":1,"nonce":"","grants":[1]})",
        R"({"instance":"a","incarnation":1,"nonce":"","grants":[{"group":"g","term":1,"revision":1,"leaseMs":1}]})",
        R"({"instance":"a","incarnation":1,"nonce":"","grants":[{"group":"g.0","term":1,"revision":1,"leaseMs":-1}]})",
        R"({"instance":"a","incarnation":1,"nonce":"","grants":[{"group":"g.0","term":1,"leaseMs":1}]})",
        R"({"instance":"a","incarnation":1,"nonce":"","grants":
            [{"group":"g.0","term":1,"revision":1,"leaseMs":1,"partitions":null}]})",
        R"({"instance":"a","incarnation":1,"nonce":"","grants":
            [{"group":"g.0","term":1,"revision":1,"leaseMs":1,"partitions":[{"id":4294967296,"token":1}]}]})",
        R"({"instance":"a","incarnation":1,"nonce":"","grants":
            [{"group":"g.0","term":1,"revision":1,"leaseMs":1,"partitions":[{"id":1}]}]})",
    };
    for (const std::string_view text : texts) {
        EXPECT_EQ(failureOf(&decodeGrantBatch, text), ErrorKind::InvalidInput) << text;
    }
}

// Guards against accepting a malformed reply as proof that a server released a partition.
TEST(GrantCodecTest, RefusesMalformedReplies)
{
    const std::string_view texts[] = {
        R"({"server":"s","incarnation":1,"nonce":"n","state":"serving"})",
        R"({"server":"s","incarnation":1,"nonce":"n","state":"asleep","results":[]})",
        R"({"server":"s","incarnation":1,"nonce":"n","state":"serving","results":
            [{"group":"g.0","status":"accepted","term":1,"revision":1}]})",
        R"({"server":"s","incarnation":1,"nonce":"n","state":"serving","results":
            [{"group":"g.0","status":"ok","term":1,"revision":1,"busy":[]}]})",
        R"({"server":"s","incarnation":1,"nonce":"n","state":"serving","results":
            [{"group":"g.0","status":"accepted","term":1,"revision":1,"busy":["1"]}]})",
    };
    for (const std::string_view text : texts) {
        EXPECT_EQ(failureOf(&decodeGrantReply, text), ErrorKind::InvalidInput) << text;
    }
}

} // namespace jasminespread
