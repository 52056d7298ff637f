#pragma once

#include "ranges/range_event.h"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace jasminespread {

/// The keys that each simulated server holds and works on, as the calls that it executed imply. Reports when the rules
/// of ownership are broken. Not thread-safe.
class OwnershipLedger {
public:
    enum class Rule : std::uint8_t {
        HeldTwice, ///< Two servers hold the same keys for over half a second.
        ServedTwice, ///< Two servers hold the same keys, and both begin requests on them.
        LowFence, ///< A fencing token that is not above all those of the other servers.
        GivenAtWork ///< A server is given a key on which another one is at work, before that one's hold has expired.
    };

    struct Violation {
        Rule rule = Rule::HeldTwice;
        MonotonicTime at;
        KeyRange range;
        std::string details;
    };

    /// Whether an instance sends requests for some key of a range to a server.
    using IsRouted = std::function<bool(std::size_t server, KeyRange range)>;

    /// @p clockRates have one element per server: how much longer than requested its leases last.
    /// @param countsLateGrants whether a hold from a call that was executed late counts for HeldTwice and GivenAtWork.
    OwnershipLedger(const std::vector<double>& clockRates, bool countsLateGrants, IsRouted isRouted);

    /// A server executes a grant that arrived at @p arrivedAt.
    GrantResult grant(std::size_t server, const GrantRange& call, MonotonicTime arrivedAt, MonotonicTime now);
    /// A server executes a release. @p workTime is the remaining time of the work on the keys.
    /// @return when the server answers
    MonotonicTime release(std::size_t server, KeyRange range, Milliseconds workTime, MonotonicTime now);
    /// The process of the server has ended; another one begins with nothing.
    void stop(std::size_t server);
    /// Checks the holds; to be called often.
    void check(MonotonicTime now);
    [[nodiscard]] const std::vector<Violation>& violations() const { return m_violations; }
    [[nodiscard]] std::uint32_t heldKeys(MonotonicTime now) const;

private:
    struct Lease {
        KeyRange range;
        std::uint64_t fence = 0;
        MonotonicTime until;
        bool takenLate = false;
    };

    struct Work {
        KeyRange range;
        MonotonicTime until;
        MonotonicTime holdUntil; ///< When the lease would have expired without the release.
        bool takenLate = false;
    };

    struct Server {
        double clockRate = 1;
        std::vector<Lease> leases;
        std::vector<Work> work; ///< On keys that were released.
        std::vector<std::uint64_t> fences; ///< Highest fencing token that the process has accepted, by key.
        std::vector<std::uint64_t> formerFences; ///< The same of all processes under this id.
    };

    struct Overlap {
        bool present = false;
        MonotonicTime since;
        bool firstServes = false;
        bool secondServes = false;
    };

    void checkFences(std::size_t server, const GrantRange& call, MonotonicTime now);
    void checkWork(std::size_t server, const GrantRange& call, MonotonicTime now);
    void checkPair(std::size_t first, std::size_t second, MonotonicTime now);
    void report(Rule rule, MonotonicTime now, KeyRange range, std::string details);

    std::vector<Server> m_servers;
    bool m_countsLateGrants;
    IsRouted m_isRouted;
    std::vector<Overlap> m_overlaps; ///< Without holds that do not count for HeldTwice; by pair of servers.
    std::vector<Overlap> m_servedOverlaps; ///< With them.
    std::vector<Violation> m_violations;
};

[[nodiscard]] std::string_view nameOf(OwnershipLedger::Rule rule) noexcept;

} // namespace jasminespread
