#include "support/leading_authority.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <random>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

/// Returns what the leader sends to the other instances for changes with @p payload.
std::optional<wire::Envelope> forward(const std::string& payload)
{
    test::LeadingAuthority leader;
    leader.listServers(1);
    leader.run(2000ms);
    leader.report(2);
    leader.messages.clear();
    leader.reduce(FeedChanged {{"servers", 10, 20, payload}});
    for (const wire::Envelope& message : leader.messages) {
        if (message.has_feed_change()) {
            return message;
        }
    }
    return std::nullopt;
}

RangeEffects receive(wire::Envelope envelope)
{
    RangeAuthority instance(LeaderRecord {0, "edge-2", 2, "10.0.0.2:7200", {}}, RangeTimes(), LeadershipTimes(), 1);
    envelope.mutable_sender()->set_id("edge-1");
    envelope.mutable_sender()->set_incarnation(7);
    return instance.reduce({MonotonicTime(1h), RangePeerMessage {std::move(envelope)}});
}

/// Guards against each instance asking the store for changes that the leader could pass on: many servers that register
/// at once are a change of several kilobytes.
TEST(FeedForwardingTest, LargeChangesArePassedOnDeflated)
{
    std::string payload;
    for (int i = 0; i < 100; ++i) {
        payload += R"({"deleted":false,"object":{"metadata":{"name":"i-)" + std::to_string(i * 7919)
            + R"(","rev":5},"spec":{"service":"planner","address":"10.1.0.4:80","slots":6,"state":"ready"}}},)";
    }
    const std::optional<wire::Envelope> message = forward(payload);
    ASSERT_TRUE(message);
    EXPECT_LT(message->ByteSizeLong() * 4, payload.size());
    const RangeEffects effects = receive(*message);
    ASSERT_EQ(effects.size(), 1U);
    const FeedChange& change = std::get<ApplyFeedChange>(effects[0]).change;
    EXPECT_EQ(change.payload, payload);
    EXPECT_EQ(change.baseRevision, 10U);
    EXPECT_EQ(change.revision, 20U);
}

/// Guards against a change that fills the link of the leader, and against a damaged one being applied.
TEST(FeedForwardingTest, OtherChangesAreFetchedFromTheStore)
{
    std::mt19937 random(7);
    std::string payload(20'000, ' ');
    std::generate(payload.begin(), payload.end(), [&random] { return static_cast<char>(random()); });
    std::optional<wire::Envelope> message = forward(payload);
    ASSERT_TRUE(message);
    EXPECT_LT(message->ByteSizeLong(), 100U);
    EXPECT_TRUE(std::holds_alternative<FetchFeed>(receive(*message).at(0)));
    message->mutable_feed_change()->set_deflated_payload("damaged");
    EXPECT_TRUE(std::holds_alternative<FetchFeed>(receive(*message).at(0)));
}

} // namespace
} // namespace jasminespread
