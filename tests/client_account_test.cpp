#include "http/client_account.h"
#include "http/http_server.h"
#include "http/request_reader.h"

#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

namespace jasminespread {
namespace {

using namespace std::chrono_literals;

const MonotonicTime now(1000s);

std::vector<std::uint64_t> numbersOf(const std::vector<ClientHolding>& clients)
{
    std::vector<std::uint64_t> numbers;
    numbers.reserve(clients.size());
    for (const ClientHolding& client : clients) {
        numbers.push_back(client.connection);
    }
    return numbers;
}

/// Guards against the refusal of an active upload in place of one that has stopped.
TEST(ClientEvictionPolicyTest, MostBytesForTheLongestTimeWithoutProgressGiveWayFirst)
{
    const std::vector<ClientHolding> clients {{0, 1, 400'000, now, false, false},
        {0, 2, 100'000, now - 10s, false, false}, {0, 3, 0, now - 60s, true, false},
        {1, 4, 90'000, now - 20s, false, false}};
    EXPECT_EQ(numbersOf(ClientEvictionPolicy::choose(clients, {90'000, 0}, now)), (std::vector<std::uint64_t> {4}));
    EXPECT_EQ(numbersOf(ClientEvictionPolicy::choose(clients, {90'001, 0}, now)), (std::vector<std::uint64_t> {4, 2}));
    EXPECT_EQ(
        numbersOf(ClientEvictionPolicy::choose(clients, {1 << 30, 0}, now)), (std::vector<std::uint64_t> {4, 2, 1}));
}

/// Guards against closing the connection of a request in work because it has been silent for long.
TEST(ClientEvictionPolicyTest, ConnectionsWithoutProgressGiveWayButNotThoseInWork)
{
    const std::vector<ClientHolding> clients {{0, 1, 0, now - 5s, false, false}, {0, 2, 0, now - 60s, true, false},
        {1, 3, 0, now - 9s, false, false}, {1, 4, 0, now, false, true}};
    EXPECT_EQ(numbersOf(ClientEvictionPolicy::choose(clients, {0, 2}, now)), (std::vector<std::uint64_t> {4, 3}));
    EXPECT_EQ(numbersOf(ClientEvictionPolicy::choose(clients, {0, 9}, now)), (std::vector<std::uint64_t> {4, 3, 1}));
}

/// A listener whose clients all hold the same number of bytes.
struct FakeListener {
    FakeListener(ClientAccount& charged, std::size_t clientBytes)
        : account(charged)
        , bytes(clientBytes)
    {
        number = account.addListener({"fake",
            [this](std::vector<ClientHolding>& listed) {
                ++listings;
                for (const std::uint64_t client : clients) {
                    listed.push_back({0, client, endable ? bytes : 0, now, !endable, false});
                }
            },
            [this](std::uint64_t client, bool) {
                std::erase(clients, client);
                account.charge(number, bytes, 0);
                account.closeConnection(number);
            }});
    }
    void add(std::uint64_t client)
    {
        clients.push_back(client);
        account.openConnection(number);
        account.charge(number, 0, bytes);
    }

    ClientAccount& account;
    std::size_t bytes;
    std::size_t number = 0;
    std::vector<std::uint64_t> clients;
    bool endable = true;
    unsigned listings = 0;
};

/// Guards against bounds that hold for each listener instead of the process.
TEST(ClientAccountTest, ListenersShareOneBound)
{
    ClientAccount account({1000, 100});
    FakeListener first(account, 100);
    FakeListener second(account, 100);
    for (std::uint64_t i = 0; i < 50; ++i) {
        FakeListener& listener = i % 2 == 0 ? first : second;
        listener.add(i);
        EXPECT_TRUE(account.makeRoomForBytes(0, now));
        EXPECT_LE(account.bytes(), 1000U);
    }
    EXPECT_EQ(account.usage()[0].bytes + account.usage()[1].bytes, account.bytes());
    EXPECT_GT(account.usage()[0].endedForMemory + account.usage()[1].endedForMemory, 0U);
    account.removeListener(first.number);
    EXPECT_EQ(account.bytes(), second.clients.size() * 100);
    EXPECT_EQ(account.connections(), second.clients.size());
    account.removeListener(second.number);
}

/// Guards against examining all clients for each request while none of them can give way.
TEST(ClientAccountTest, FutileAttemptsAreNotRepeatedForEachRequest)
{
    ClientAccount account({64'000, 1000});
    FakeListener listener(account, 100);
    listener.endable = false;
    for (std::uint64_t i = 0; i < 640; ++i) {
        listener.add(i);
    }
    for (int i = 0; i < 100; ++i) {
        EXPECT_FALSE(account.makeRoomForBytes(100, now));
    }
    EXPECT_EQ(listener.listings, 1U);
    listener.endable = true;
    account.charge(listener.number, 100, 0);
    account.charge(listener.number, 0, 2000);
    EXPECT_TRUE(account.makeRoomForBytes(0, now));
    account.removeListener(listener.number);
}

/// Guards against accepting beyond the bound, and against closing clients where none may give way.
TEST(ClientAccountTest, ConnectionsStayWithinTheirBound)
{
    ClientAccount account({1 << 20, 32});
    FakeListener listener(account, 10);
    for (std::uint64_t i = 0; i < 200; ++i) {
        ASSERT_TRUE(account.makeRoomForConnection(false, now));
        listener.add(i);
        EXPECT_LE(account.connections(), 32U);
    }
    EXPECT_TRUE(account.makeRoomForConnection(true, now));
    while (account.connections() < 32) {
        listener.add(1000);
    }
    listener.endable = false;
    EXPECT_FALSE(account.makeRoomForConnection(false, now));
    EXPECT_EQ(account.connections(), 32U);
    account.removeListener(listener.number);
}

/// Guards against an account that counts received bytes where short fields take 64 bytes each or more.
TEST(RequestReaderTest, ShortFieldsAreChargedByTheirMemory)
{
    RequestReader reader;
    std::string head = "GET / HTTP/1.1\r\nHost: a\r\n";
    for (int i = 0; i < 3000; ++i) {
        head += "a:b\r\n";
    }
    reader.append(head, now);
    EXPECT_TRUE(std::holds_alternative<RequestReader::Incomplete>(reader.next(HttpServerLimits(), now)));
    EXPECT_GE(reader.heldBytes(), 3000 * sizeof(HeaderField));
}

/// Guards against an upload of 360 kB in 15 s that is refused as too slow, and against one that never ends.
TEST(RequestReaderTest, BodiesMustArriveAtTheMinimumRate)
{
    const HttpServerLimits limits;
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 360000\r\n\r\n";
    RequestReader phone;
    RequestReader trickle;
    phone.append(head, now);
    trickle.append(head, now);
    for (int s = 0; s < 15; ++s) {
        const MonotonicTime at = now + std::chrono::seconds(s);
        phone.append(std::string(23'000, 'x'), at);
        trickle.append("x", at);
        EXPECT_TRUE(std::holds_alternative<RequestReader::Incomplete>(phone.next(limits, at)));
        EXPECT_TRUE(std::holds_alternative<RequestReader::Incomplete>(trickle.next(limits, at)));
        EXPECT_GT(phone.deadline(), at);
    }
    EXPECT_TRUE(phone.extendDeadline(limits, now + 15s));
    EXPECT_FALSE(trickle.extendDeadline(limits, now + 16s));
    EXPECT_FALSE(phone.extendDeadline(limits, now + limits.bodyTimeout));
}

} // namespace
} // namespace jasminespread
