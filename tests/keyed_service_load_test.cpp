#include "support/keyed_service_model.h"

#include <gtest/gtest.h>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;
using test::KeyedServiceLoad;
using test::KeyedServiceModel;
using test::KeyedServiceOutcome;

/// Shares of the requests over several seeds.
struct Shares {
    double inObjective = 0;
    double withoutAnswer = 0;
};

Shares play(const KeyedServiceLoad& load, std::uint64_t seeds, Milliseconds length)
{
    Shares shares;
    double requests = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const KeyedServiceOutcome outcome = KeyedServiceModel(load, seed).play(length);
        requests += outcome.requests;
        shares.inObjective += outcome.inObjective;
        shares.withoutAnswer += outcome.withoutAnswer;
    }
    return {shares.inObjective / requests, shares.withoutAnswer / requests};
}

/// Servers register one after the other, as at the start of a deployment; the first one is given all keys. The plainer
/// case beside it: all register at once.
void expectNoLossByRegistrationOrder(KeyedServiceLoad load, Milliseconds interval, std::uint64_t seeds)
{
    const Shares together = play(load, seeds, 5s);
    load.registrationInterval = interval;
    const Shares inTurn = play(load, seeds, 5s);
    EXPECT_GE(inTurn.inObjective, together.inObjective - 0.03);
    EXPECT_LE(inTurn.withoutAnswer, together.withoutAnswer + 0.01);
}

/// Load: the first 5 s of traffic at 12 servers of 3 slots, of which a quarter is twice as slow, at 60% of what they
/// can do. Guards against keys that stay with the first server until their requests show that it has too much work.
TEST(KeyedServiceLoadTest, IdleKeysAreDividedBeforeTheFirstRequests)
{
    KeyedServiceLoad load;
    load.slowness = {0.67, 1, 1, 2};
    expectNoLossByRegistrationOrder(load, 80ms, 10);
}

/// Load: the same at 210 servers of 6 slots with requests of 1.2 s.
TEST(KeyedServiceLoadTest, IdleKeysOfALargeServiceAreDividedBeforeTheFirstRequests)
{
    KeyedServiceLoad load;
    load.slowness = {0.67, 1, 1, 2};
    load.servers = 210;
    load.slots = 6;
    load.requestsPerSecond = 570;
    load.workMs = 1200;
    load.objective = 3000ms;
    load.deadline = 8000ms;
    expectNoLossByRegistrationOrder(load, 5ms, 2);
}

} // namespace
} // namespace jasminespread
