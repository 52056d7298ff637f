#pragma once

#include "ranges/range_authority.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace jasminespread {

/// Several range authorities, a store and backend servers in one simulated time, with seeded faults. Checks that no two
/// servers hold a key at the same time and that fences of a key rise from server to server.
class RangeSimulation {
public:
    explicit RangeSimulation(std::uint64_t seed);

    enum class Day : std::uint8_t {
        Quiet,
        HotKeys, ///< Other keys are hot every two seconds.
        Faults ///< Besides hot keys, a fault every few hundred milliseconds.
    };

    void play(Milliseconds length, Day day);
    /// What broke; empty while all is well.
    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    /// Number of keys that a server holds now.
    [[nodiscard]] std::uint32_t heldKeys() const;
    /// Part of the time in which a key was held, over all keys, since the last call.
    [[nodiscard]] double heldShare();

private:
    struct Hold {
        KeyRange range;
        std::uint64_t fence = 0;
        MonotonicTime until;
    };

    struct Server {
        ListedServer listed;
        bool up = true;
        bool cut = false; ///< No call reaches it.
        double clockRate = 1;
        std::vector<Hold> holds;
        std::vector<std::uint64_t> seen; ///< Highest fence by key.
    };

    struct Node {
        std::string name;
        std::uint64_t incarnation = 0;
        std::unique_ptr<RangeAuthority> authority; ///< Empty while it is down.
        bool cutFromStore = false;
        bool cutFromPeers = false;
        MonotonicTime pausedUntil;
        std::vector<std::function<void()>> held; ///< What arrived during the pause.
    };

    struct StoredObject {
        std::uint64_t version = 0;
        std::string value;
    };

    struct Due {
        MonotonicTime at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator>(const Due& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
    };

    void after(Milliseconds delay, std::function<void()> run);
    void start(Node& node);
    void deliver(const std::string& node, std::uint64_t incarnation, RangeEvent event);
    void tick(const std::string& node, std::uint64_t incarnation);
    void execute(Node& node, RangeEffect& effect);
    void read(Node& node, const ReadRecord& effect);
    void write(Node& node, const WriteRecord& effect);
    void grant(Node& node, const GrantRange& effect);
    void release(Node& node, const ReleaseRange& effect);
    void send(Node& node, SendRangePeer& effect);
    [[nodiscard]] StoreWriteResult store(const WriteRecord& effect);
    [[nodiscard]] GrantResult takeGrant(Server& server, const GrantRange& effect, MonotonicTime arrivedAt);
    void listServers();
    void fault();
    void check();
    [[nodiscard]] double random() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    [[nodiscard]] std::size_t choose(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random);
    }

    std::mt19937_64 m_random;
    MonotonicTime m_now;
    std::uint64_t m_order = 0;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> m_due;
    std::vector<Node> m_nodes;
    std::vector<Server> m_servers;
    std::map<std::string, StoredObject> m_store;
    std::uint64_t m_version = 0;
    bool m_storeDown = false;
    double m_lostAnswers = 0; ///< Share of store writes that are done and not answered.
    double m_lateGrants = 0; ///< Share of grants that are not answered and carried out late.
    double m_resets = 0.02; ///< Part of the grants whose connection a living server resets.
    std::vector<std::pair<std::string, std::uint64_t>> m_lastFence; ///< Server and fence by key.
    std::vector<std::string> m_violations;
    double m_heldTime = 0;
    double m_allTime = 0;
    MonotonicTime m_checkedAt;
};

} // namespace jasminespread
