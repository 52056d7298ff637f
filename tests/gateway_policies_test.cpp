#include "gateway/admission.h"
#include "gateway/gateway_configuration.h"
#include "gateway/server_observation.h"
#include "gateway/server_selection.h"
#include "gateway/shared_retry_budget.h"
#include "gateway/weighted_round_robin.h"

#include <gtest/gtest.h>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

constexpr MonotonicTime start {1h};

/// Guards against a traffic split that follows the weights only in the long run.
TEST(WeightedRoundRobinTest, SharesFollowTheWeights)
{
    WeightedRoundRobin roundRobin;
    const std::vector<RouteTarget> targets {{"a", 90}, {"b", 10}, {"c", 0}};
    std::vector<int> counts(targets.size(), 0);
    for (int i = 0; i < 200; ++i) {
        ++counts[roundRobin.next(targets, 0.3)];
    }
    EXPECT_NEAR(counts[0], 180, 2);
    EXPECT_NEAR(counts[1], 20, 2);
    EXPECT_EQ(counts[2], 0);
}

/// Guards against a part that gets all requests for a while after its weight was raised.
TEST(WeightedRoundRobinTest, SharesFollowChangedWeightsAtOnce)
{
    for (const double offset : {0.0, 0.3, 0.99}) {
        WeightedRoundRobin roundRobin;
        for (int i = 0; i < 501; ++i) {
            (void)roundRobin.next({{"a", 1000}, {"b", 1}}, offset);
        }
        std::vector<int> counts(2, 0);
        for (int i = 0; i < 20; ++i) {
            ++counts[roundRobin.next({{"a", 1}, {"b", 1}}, offset)];
        }
        EXPECT_NEAR(counts[0], 10, 2) << offset;
    }
}

/// Guards against choosing a route of another host, or one with a shorter prefix.
TEST(FindRouteTest, ChoosesTheLongestPrefixOfTheHost)
{
    GatewayConfiguration configuration;
    configuration.routes.resize(3);
    configuration.routes[0].host = "a.example";
    configuration.routes[0].pathPrefix = "/x/";
    configuration.routes[1].host = "a.example";
    configuration.routes[1].pathPrefix = "/x/y/";
    configuration.routes[2].host = "b.example";
    configuration.routes[2].pathPrefix = "/x/y/z/";
    EXPECT_EQ(findRoute(configuration, "A.Example:8080", "/x/y/z/1"), &configuration.routes[1]);
    EXPECT_EQ(findRoute(configuration, "a.example", "/x/1"), &configuration.routes[0]);
    EXPECT_EQ(findRoute(configuration, "a.example", "/xy/"), nullptr);
    EXPECT_EQ(findRoute(configuration, "c.example", "/x/"), nullptr);
}

/// Guards against retries beyond the shared limits: the budgets of all instances must not add up to more.
TEST(SharedRetryBudgetTest, SharesOfAllInstancesStayWithinTheLimits)
{
    constexpr std::uint32_t instances = 8;
    constexpr int requests = 400;
    const RetryBudgetLimits limits {0.2, 10s, 56};
    int retries = 0;
    for (std::uint32_t i = 0; i < instances; ++i) {
        SharedRetryBudget budget;
        budget.configure(limits, instances);
        // Uneven load: the first instance gets half of the requests.
        const int ownRequests = i == 0 ? requests / 2 : requests / 2 / static_cast<int>(instances - 1);
        for (int n = 0; n < ownRequests; ++n) {
            budget.addRequest(start + Milliseconds(n));
            while (budget.tryAcquire(start + Milliseconds(n))) {
                ++retries;
            }
        }
    }
    EXPECT_LE(retries, limits.ratio * requests + limits.slack);
    EXPECT_GE(retries, limits.ratio * requests * 0.8);
}

TEST(SharedRetryBudgetTest, BudgetIsRestoredAfterTheWindow)
{
    SharedRetryBudget budget;
    budget.configure({0.2, 10s, 10}, 1);
    while (budget.tryAcquire(start)) { }
    EXPECT_FALSE(budget.tryAcquire(start + 9s));
    EXPECT_TRUE(budget.tryAcquire(start + 11s));
}

ServerCandidate candidate(Distance distance, std::uint32_t inFlight, double slowness = 1, double failures = 0)
{
    ServerCandidate serverCandidate;
    serverCandidate.distance = distance;
    serverCandidate.slots = 6;
    serverCandidate.inFlight = inFlight;
    serverCandidate.maxInFlight = 20;
    serverCandidate.slowness = slowness;
    serverCandidate.failureShare = failures;
    return serverCandidate;
}

const RequestTiming timing {200ms, 600ms, 1500ms};

std::size_t choose(std::vector<ServerCandidate> candidates)
{
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].index = i;
    }
    return selectServer(candidates, timing, std::vector<double>(candidates.size(), 0.5))->index;
}

/// Guards against traffic between regions, which costs about a third of a request's value, while near servers have free
/// slots.
TEST(ServerSelectionTest, PrefersNearServersWithFreeSlots)
{
    EXPECT_EQ(choose({candidate(Distance::OtherRegion, 0), candidate(Distance::SameFailureDomain, 3)}), 1U);
    EXPECT_EQ(choose({candidate(Distance::SameRegion, 0), candidate(Distance::SameFailureDomain, 1)}), 1U);
}

/// Guards against always using near servers, which misses the latency objective when they are overloaded, slow or
/// failing.
TEST(ServerSelectionTest, ChoosesADistantServerWhenNearOnesAreOverloadedSlowOrFailing)
{
    EXPECT_EQ(choose({candidate(Distance::OtherRegion, 0), candidate(Distance::SameFailureDomain, 9)}), 0U);
    EXPECT_EQ(choose({candidate(Distance::OtherRegion, 0), candidate(Distance::SameFailureDomain, 0, 4)}), 0U);
    EXPECT_EQ(choose({candidate(Distance::OtherRegion, 0), candidate(Distance::SameFailureDomain, 0, 1, 0.6)}), 0U);
}

TEST(ServerSelectionTest, ChoosesNothingWhenAllServersAreAtTheirLimit)
{
    EXPECT_FALSE(selectServer({candidate(Distance::SameRegion, 20)}, timing, {0.5}));
    EXPECT_FALSE(selectServer({}, timing, {}));
}

/// Guards against avoiding a server for good after it was slow or failing for some seconds.
TEST(ServerObservationTest, SlownessAndFailuresDecay)
{
    ServerObservation observation;
    for (int i = 0; i < 20; ++i) {
        observation.recordAnswer(1200ms, 200ms, start);
    }
    for (int i = 0; i < 20; ++i) {
        observation.recordFailure(start);
    }
    EXPECT_GT(observation.slowness(start), 3);
    EXPECT_GT(observation.failureShare(start), 0.8);
    EXPECT_LT(observation.slowness(start + 20s), 1.2);
    EXPECT_LT(observation.failureShare(start + 20s), 0.05);
}

/// Guards against giving a slot to a request that cannot finish before its deadline.
TEST(AdmissionTest, RefusesRequestsThatWouldMissTheDeadline)
{
    EXPECT_TRUE(canFinishInTime(500ms, timing));
    EXPECT_FALSE(canFinishInTime(1400ms, timing));
}

/// Guards against admitting requests up to their deadline under overload, which makes all of them late: a request that
/// would take much longer than its objective is refused although its caller would still wait.
TEST(AdmissionTest, RefusesRequestsFarBeyondTheirObjective)
{
    const RequestTiming patient {200ms, 600ms, 6000ms};
    EXPECT_TRUE(canFinishInTime(800ms, patient));
    EXPECT_FALSE(canFinishInTime(1000ms, patient));
}

/// Guards against holding requests for a lost owner, whose replacement takes long; a planned move is short.
TEST(AdmissionTest, WaitsForAMoveButNotForALostOwner)
{
    EXPECT_GE(maxOwnerWait(timing, true), 1000ms);
    EXPECT_LE(maxOwnerWait(timing, false), 300ms);
    EXPECT_EQ(maxOwnerWait({200ms, 600ms, 100ms}, true), 0ms);
}

/// Guards against a Retry-After that is longer than callers honour, and against retries that arrive all at once.
TEST(AdmissionTest, RetryAfterIsShortAndSpread)
{
    const Milliseconds early = overloadRetryAfter(900ms, timing, 0);
    const Milliseconds late = overloadRetryAfter(900ms, timing, 0.99);
    EXPECT_LT(early, late);
    EXPECT_LE(late, timing.remainingTime / 3);
    EXPECT_GT(early, 0ms);
}

} // namespace
} // namespace jasminespread
