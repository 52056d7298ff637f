#pragma once

#include "gateway/server_directory.h"
#include "ownership_ledger.h"
#include "ranges/range_authority.h"
#include "ranges/range_call_proof.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace jasminespread {

struct Disruption {
    enum class Kind : std::uint8_t {
        ServerRestarts, ///< A server ends and starts again under its id after `length`.
        ServerDrains, ///< A server is listed as draining for `length`.
        RegistrationLate, ///< A registration of a server is carried out once more after `length`.
        GrantsLost, ///< Grants to a server are not executed, or executed without an answer.
        GrantsLate, ///< Grants to a server get no answer and are executed seconds later.
        ReleasesLost, ///< Releases at a server are lost, late, or executed without an answer.
        AnswersDoubled, ///< A second copy of an answer of a server arrives in place of the next one.
        StoreRejects, ///< The store turns an instance away.
        StoreWritesLate, ///< Writes of an instance get no answer; they are executed at once or seconds later.
        PeersCut, ///< Messages between the instances are lost.
        InstancePauses,
        InstanceRestarts, ///< An instance is killed and starts again after a second.
        StoreRestored, ///< The store returns to its state `length` earlier; an instance sees that late.
    };

    Kind kind = Kind::ServerRestarts;
    Milliseconds at {0};
    Milliseconds length {0};
    std::size_t target = 0; ///< Index of the server or instance.
    std::uint64_t seed = 0; ///< Of the choices within the disruption.
};

inline constexpr std::size_t disruptionKindCount = 13;
/// Kinds that every exploration draws; restores are drawn apart, so that earlier seeds give the same orders.
inline constexpr std::size_t drawnKindCount = 12;
[[nodiscard]] std::string describe(const Disruption& disruption);

struct OwnershipWorldSettings {
    std::uint64_t seed = 0; ///< Of clock rates, delays of the instances, and hot keys.
    bool hotKeys = false; ///< The set of hot keys changes every two seconds.
    bool countsLateGrants = false; ///< See OwnershipLedger.
    /// Whether a call that takes another call's answer on its connection may itself be lost or executed late.
    bool copiesHideLateCalls = false;
    /// Whether a connection on which a copy was accepted takes further calls, as with the transport of the gateway.
    bool reusesShiftedConnections = true;
    bool traced = false;
};

/// Runs two instances' range authorities, three servers of one keyed service and a store on a simulated clock through a
/// given order of disruptions. Equal inputs give equal runs.
class OwnershipWorld {
public:
    static constexpr std::size_t instanceCount = 2;
    static constexpr std::size_t serverCount = 3;

    OwnershipWorld(OwnershipWorldSettings settings, const std::vector<Disruption>& disruptions);

    /// Runs until @p length after the start, or the first violation.
    void run(Milliseconds length);
    [[nodiscard]] const std::vector<OwnershipLedger::Violation>& violations() const { return m_ledger.violations(); }
    /// Calls to the servers, restarts and changes of the leader, if the settings ask for them.
    [[nodiscard]] const std::vector<std::string>& trace() const { return m_trace; }
    [[nodiscard]] std::uint32_t heldKeys() const { return m_ledger.heldKeys(m_now); }
    [[nodiscard]] Milliseconds elapsed(MonotonicTime time) const;

private:
    /// A kept connection from an instance to a server, which has one call at a time.
    struct Connection {
        std::uint64_t process = 0; ///< Start time of the server's process.
        bool open = true;
        std::uint64_t calls = 0; ///< How many it has carried.
        std::function<bool(const RangeCallEnded&)> keeps; ///< Whether it takes further calls behind this answer.
        std::function<void(RangeCallEnded)> waiting; ///< Takes the next answer; empty: the connection is idle.
        std::deque<std::function<void()>> unread; ///< Calls that the server has not answered, the oldest in progress.
        bool shifted = false; ///< A call took a copy, so the next answer is that of an earlier call.
        std::optional<RangeCallEnded> copy; ///< A second copy of an earlier answer, which arrives after the next call.
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    struct Server {
        ListedServer listed;
        std::uint64_t sequence = 0;
        bool running = true;
        std::optional<ServerRegistration> stored; ///< In the store.
        MonotonicTime storedAt;
    };

    struct Instance {
        std::string name;
        std::uint64_t incarnation = 0;
        std::unique_ptr<RangeAuthority> authority; ///< Null while the process is not running.
        std::unique_ptr<ServerDirectory> directory;
        std::unique_ptr<RangeCallProof> proof;
        std::vector<std::deque<ConnectionPtr>> idle; ///< By server.
        std::vector<std::vector<std::weak_ptr<Connection>>> connections; ///< All of them, by server.
        std::map<std::string, MonotonicTime> peers; ///< When the connection to each one opens.
        std::shared_ptr<const RangeTable> table;
        std::shared_ptr<const ServerList> list;
        bool rejected = false; ///< By the store.
        MonotonicTime pausedUntil;
        std::vector<std::function<void()>> delayedSteps; ///< Arrived while it was paused.
        std::mt19937_64* lateWrites = nullptr; ///< Set while its writes get no answer.
        std::uint64_t reportedTerm = 0;
    };

    struct CallFaults {
        std::mt19937_64 random;
        Disruption::Kind kind {};
        std::size_t server = 0;
        MonotonicTime until;
    };

    /// How a call to a server is disrupted.
    struct CallFate {
        bool answered = true;
        std::optional<Milliseconds> executedAfter {Milliseconds(0)}; ///< Empty: never.
    };

    struct Call {
        GrantRange grant;
        bool isRelease = false;
        MonotonicTime decidedAt;
    };

    struct ScheduledStep {
        MonotonicTime at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator>(const ScheduledStep& other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    void schedule(Milliseconds delay, std::function<void()> run);
    void restoreStore(Milliseconds age);
    void begin(const Disruption& disruption);
    void start(std::size_t instance);
    void tick(std::size_t instance, std::uint64_t incarnation);
    void deliver(std::size_t instance, std::uint64_t incarnation, RangeEvent event);
    void deliverStep(std::size_t instance, std::uint64_t incarnation, std::function<void()> step);
    void execute(std::size_t instance, RangeEffect& effect);
    void read(std::size_t instance, const ReadRecord& effect);
    void write(std::size_t instance, const WriteRecord& effect);
    [[nodiscard]] StoreWriteResult store(const WriteRecord& effect);
    void connectPeers(std::size_t instance, const ConnectRangePeers& effect);
    void sendToPeer(std::size_t instance, SendRangePeerMessage& effect);
    void sendCall(std::size_t instance, const Call& call);
    void transmit(std::size_t instance, const Call& call, bool needsNewConnection,
        const std::function<bool(const RangeCallEnded&, bool reused)>& accepts,
        const std::function<void(const RangeCallEnded&)>& done);
    void arrive(std::size_t instance, const Call& call, const ConnectionPtr& connection, const CallFate& fate);
    void executeCall(const Call& call, std::size_t server, MonotonicTime arrivedAt,
        const std::function<void(const RangeCallEnded&)>& answer);
    void onAnswer(std::size_t instance, std::size_t server, const ConnectionPtr& connection, RangeCallEnded answer);
    [[nodiscard]] CallFate chooseFate(std::size_t server, bool isRelease);
    [[nodiscard]] bool isDoubled(std::size_t server);
    void resetConnections(std::size_t instance, std::size_t server);
    void setRejected(std::size_t instance, bool rejected);
    void registerServer(std::size_t server);
    void storeRegistration(std::size_t server, const ServerRegistration& registration);
    void publishServers();
    void publishServers(std::size_t instance);
    void updateDirectory(Instance& instance, const ServerRegistrations& registrations);
    [[nodiscard]] bool isRouted(std::size_t server, KeyRange range) const;
    [[nodiscard]] std::size_t indexOf(const std::string& serverId) const;
    void countKeys();
    void note(const std::string& text);

    OwnershipWorldSettings m_settings;
    std::mt19937_64 m_random;
    MonotonicTime m_start;
    MonotonicTime m_now;
    std::uint64_t m_order = 0;
    std::priority_queue<ScheduledStep, std::vector<ScheduledStep>, std::greater<>> m_schedule;
    std::vector<Instance> m_instances;
    std::vector<Server> m_servers;
    std::deque<CallFaults> m_callFaults;
    std::deque<std::mt19937_64> m_writeRandoms;
    std::map<std::string, std::pair<std::uint64_t, std::string>> m_records; ///< Version and value, by name.
    std::uint64_t m_version = 0;
    struct Copy {
        std::map<std::string, std::pair<std::uint64_t, std::string>> records;
        std::uint64_t version = 0;
    };
    std::map<MonotonicTime, Copy> m_copies; ///< State of the records after each write, by time.
    std::uint64_t m_era = 0;
    unsigned m_peerCuts = 0;
    std::uint64_t m_handovers = 0;
    OwnershipLedger m_ledger;
    std::vector<std::string> m_trace;
};

} // namespace jasminespread
