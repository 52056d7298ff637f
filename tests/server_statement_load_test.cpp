#include "support/pooled_service_model.h"

#include <gtest/gtest.h>

#include <iostream>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;
using test::PooledServiceLoad;
using test::PooledServiceModel;
using test::PooledServiceOutcome;

struct Sum {
    PooledServiceOutcome read;
    PooledServiceOutcome order;
    unsigned unwantedArrivals = 0;
    unsigned brokenAfterStatement = 0;
};

void add(PooledServiceOutcome& sum, const PooledServiceOutcome& outcome)
{
    sum.requests += outcome.requests;
    sum.inObjective += outcome.inObjective;
    sum.late += outcome.late;
    sum.refused += outcome.refused;
    sum.failed += outcome.failed;
}

double served(const PooledServiceOutcome& outcome)
{
    return static_cast<double>(outcome.inObjective + outcome.late) / outcome.requests;
}

Sum play(PooledServiceLoad load, bool serversState)
{
    constexpr std::uint64_t seeds = 10;
    load.serversState = serversState;
    Sum sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        PooledServiceModel model(load, seed);
        model.play(9s);
        add(sum.read, model.outcome(Repeatability::Idempotent));
        add(sum.order, model.outcome(Repeatability::NonIdempotent));
        sum.unwantedArrivals += model.unwantedArrivals();
        sum.brokenAfterStatement += model.brokenAfterStatement();
    }
    for (const auto& [kind, outcome] : {std::pair("read", sum.read), std::pair("order", sum.order)}) {
        std::cout << (serversState ? "stated " : "unstated ") << kind << ": requests " << outcome.requests
                  << " in objective " << outcome.inObjective << " late " << outcome.late << " refused "
                  << outcome.refused << " failed " << outcome.failed << "\n";
    }
    std::cout << "unwanted arrivals " << sum.unwantedArrivals << ", broken off after a statement "
              << sum.brokenAfterStatement << "\n";
    return sum;
}

/// Load: 160 requests a second at 12 servers of 6 slots, 64% of what they can do; a third of them refuses everything
/// for 2 s, so that the others are nearly full. Beside it the same servers without a Retry-After. Guards against pauses
/// that cost callers answers.
TEST(ServerStatementLoadTest, AWaveOfRefusalsCostsCallersNoMoreWithPauses)
{
    PooledServiceLoad load;
    load.requestsPerSecond = 160;
    load.refusingServers = 4;
    const Sum unstated = play(load, false);
    const Sum stated = play(load, true);
    EXPECT_GE(served(stated.read), served(unstated.read) - 0.01);
    EXPECT_GE(served(stated.order), served(unstated.order) - 0.01);
    EXPECT_GT(unstated.unwantedArrivals, 0U);
    EXPECT_EQ(stated.unwantedArrivals, 0U);
}

/// Load: the same; five servers leave one after the other while the store is away, so that all lists have them as
/// ready. Beside it servers that do not state it. Guards against requests that are cut off when their server ends.
TEST(ServerStatementLoadTest, ARollingShutdownWithoutTheStoreBreaksOffNothingThatServersAnnounce)
{
    PooledServiceLoad load;
    load.leavingServers = 5;
    const Sum unstated = play(load, false);
    const Sum stated = play(load, true);
    EXPECT_GE(served(stated.read), served(unstated.read) - 0.01);
    EXPECT_GE(served(stated.order), served(unstated.order) - 0.01);
    EXPECT_LT(stated.order.failed, unstated.order.failed);
    EXPECT_EQ(stated.brokenAfterStatement, 0U);
}

} // namespace
} // namespace jasminespread
