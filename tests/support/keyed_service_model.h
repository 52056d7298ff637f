#pragma once

#include "ranges/range_keeper.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace jasminespread::test {

/// Load of a keyed service and the servers that carry it.
struct KeyedServiceLoad {
    double requestsPerSecond = 80;
    std::vector<double> slowness {1}; ///< Of the servers in turn: multiples of the work of a typical one.
    std::size_t servers = 12;
    Milliseconds registrationInterval {0}; ///< Time between the registrations of two servers, before the traffic.
    std::uint32_t slots = 3;
    double workMs = 220; ///< Mean.
    Milliseconds objective {600};
    Milliseconds deadline {1500};
    double workSpread = 0.5; ///< Standard deviation of the work's logarithm.
    double skew = 0.727; ///< Exponent of the Zipf distribution of the keys.
    std::uint32_t hotKeys = 0; ///< Number of hot keys; they change at the start of every period.
    bool hotKeysAreNeighbours = false;
    double hotShare = 0; ///< Share of the requests for hot keys while there are any.
    Milliseconds hotPeriod {5000}; ///< Hot keys last for one period of two.
};

/// What the callers of a keyed service get.
struct KeyedServiceOutcome {
    unsigned requests = 0;
    unsigned inObjective = 0;
    unsigned late = 0; ///< Answered after the objective and before the deadline.
    unsigned withoutAnswer = 0; ///< Neither: refused, or after the deadline.
    unsigned moves = 0; ///< Moves that balance the load.
};

/// Plays a load against RangeKeeper on a simulated clock, without network and gateway: callers send every request to
/// the owner of its key, each server executes requests in order of arrival in its slots. Not thread-safe.
class KeyedServiceModel {
public:
    KeyedServiceModel(const KeyedServiceLoad& load, std::uint64_t seed)
        : m_load(load)
        , m_random(seed)
        , m_keeper("planner", RangeTimes(), m_counters, m_effects)
    {
        m_counters.term = 1;
        for (std::size_t i = 0; i < load.servers; ++i) {
            m_servers[serverId(i)].slowness = load.slowness[i % load.slowness.size()];
        }
        double sum = 0;
        for (std::uint32_t rank = 1; rank <= keyCount; ++rank) {
            sum += std::pow(rank, -load.skew);
            m_cumulativeWeights.push_back(sum);
            m_keysByRank.push_back(static_cast<std::uint16_t>(rank - 1));
        }
        std::shuffle(m_keysByRank.begin(), m_keysByRank.end(), m_random);
        m_keeper.adopt(std::nullopt, 0, m_now);
    }

    /// Plays @p length of traffic, which begins 8 s after the first server has registered, and returns the outcome.
    KeyedServiceOutcome play(Milliseconds length)
    {
        const MonotonicTime trafficBegin = m_now + lead;
        m_nextArrival = trafficBegin;
        for (m_elapsed = -lead; m_elapsed < length; m_elapsed += step, m_now += step) {
            listServers();
            runDueSteps();
            if (m_now >= trafficBegin) {
                arrive();
            }
            if (m_elapsed % tickInterval == Milliseconds(0)) {
                m_keeper.step(m_now, true, true);
                execute();
            }
            if (m_elapsed % reportInterval == Milliseconds(0)) {
                report();
            }
        }
        for (const MonotonicTime end = m_now + m_load.deadline; m_now < end; m_now += step) {
            runDueSteps();
        }
        m_outcome.withoutAnswer = m_outcome.requests - m_outcome.inObjective - m_outcome.late;
        return m_outcome;
    }

private:
    static constexpr Milliseconds lead {8000};
    static constexpr Milliseconds step {5};
    static constexpr Milliseconds tickInterval {50};
    static constexpr Milliseconds reportInterval {300};
    static constexpr Milliseconds delay {25}; ///< Of a call to a server or to the store, and of a new table.
    static constexpr Milliseconds maxOwnerWait {300};

    struct Request {
        std::uint16_t key = 0;
        MonotonicTime arrivedAt;
    };

    struct Server {
        double slowness = 1;
        std::uint32_t running = 0;
        std::map<std::uint16_t, std::uint32_t> unfinished; ///< Requests by key.
        std::deque<Request> queue;
        std::uint32_t answers = 0; ///< Since the last report.
        double latencySumMs = 0;
    };

    static std::string serverId(std::size_t i) { return "i-" + std::to_string(1000 + i); }

    void listServers()
    {
        const Milliseconds interval = m_load.registrationInterval;
        const std::size_t registered = interval == Milliseconds(0)
            ? m_load.servers
            : std::min(m_load.servers, static_cast<std::size_t>((m_elapsed + lead) / interval) + 1);
        if (registered == m_registered) {
            return;
        }
        m_registered = registered;
        auto list = std::make_shared<ServerList>();
        for (std::size_t i = 0; i < registered; ++i) {
            ListedServer& server = list->emplace_back();
            server.identity = {serverId(i), 1};
            server.service = "planner";
            server.address = "10.0.0." + std::to_string(i) + ":80";
            server.slots = m_load.slots;
        }
        m_keeper.setServers(list);
    }

    double random() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void after(Milliseconds wait, std::function<void()> run) { m_schedule.emplace(m_now + wait, std::move(run)); }

    void runDueSteps()
    {
        while (!m_schedule.empty() && m_schedule.begin()->first <= m_now) {
            const std::function<void()> run = std::move(m_schedule.begin()->second);
            m_schedule.erase(m_schedule.begin());
            run();
        }
    }

    std::uint16_t chooseKey()
    {
        const auto period = m_elapsed / m_load.hotPeriod;
        if (m_load.hotKeys > 0 && period % 2 == 1 && random() < m_load.hotShare) {
            const auto i = static_cast<std::uint32_t>(random() * m_load.hotKeys);
            const std::uint32_t distance = m_load.hotKeysAreNeighbours ? 1 : 7919;
            return static_cast<std::uint16_t>(static_cast<std::uint32_t>(period) * 20'011 + i * distance);
        }
        const auto it = std::lower_bound(
            m_cumulativeWeights.begin(), m_cumulativeWeights.end(), random() * m_cumulativeWeights.back());
        return m_keysByRank[static_cast<std::size_t>(it - m_cumulativeWeights.begin())];
    }

    void arrive()
    {
        while (m_nextArrival <= m_now) {
            const double gapSeconds = std::exponential_distribution<double>(m_load.requestsPerSecond)(m_random);
            m_nextArrival
                += std::chrono::duration_cast<MonotonicTime::duration>(std::chrono::duration<double>(gapSeconds));
            const Request request {chooseKey(), m_now};
            ++m_unreportedKeys[request.key];
            ++m_outcome.requests;
            sendToOwner(request);
        }
    }

    void sendToOwner(const Request& request)
    {
        const RangeRoute* route = m_table ? findRangeRoute(*m_table, request.key) : nullptr;
        if (route != nullptr && !route->owner.id.empty()) {
            Server& server = m_servers.at(route->owner.id);
            ++server.unfinished[request.key];
            server.queue.push_back(request);
            return startRequests(server);
        }
        if (m_now - request.arrivedAt < (route != nullptr && route->moving ? m_load.deadline : maxOwnerWait)) {
            m_waiting.push_back(request);
        }
    }

    void startRequests(Server& server)
    {
        while (server.running < m_load.slots && !server.queue.empty()) {
            const Request request = server.queue.front();
            server.queue.pop_front();
            ++server.running;
            const double logMean = std::log(m_load.workMs) - m_load.workSpread * m_load.workSpread / 2;
            const double workMs
                = std::lognormal_distribution<double>(logMean, m_load.workSpread)(m_random) * server.slowness;
            after(Milliseconds(static_cast<int>(workMs)), [this, &server, request] { finish(server, request); });
        }
    }

    void finish(Server& server, const Request& request)
    {
        --server.running;
        if (--server.unfinished[request.key] == 0) {
            server.unfinished.erase(request.key);
        }
        const MonotonicTime::duration latency = m_now - request.arrivedAt;
        ++server.answers;
        server.latencySumMs += std::chrono::duration<double, std::milli>(latency).count();
        if (latency <= m_load.objective) {
            ++m_outcome.inObjective;
        } else if (latency <= m_load.deadline) {
            ++m_outcome.late;
        }
        startRequests(server);
    }

    void report()
    {
        for (const auto& [key, count] : std::exchange(m_unreportedKeys, {})) {
            m_keeper.addLoad(key, count);
        }
        for (auto& [id, server] : m_servers) {
            if (server.answers > 0) {
                const double meanMs = server.latencySumMs / server.answers;
                m_keeper.addSpeed({id, server.answers, meanMs / m_load.workMs, 0});
            }
            server.answers = 0;
            server.latencySumMs = 0;
        }
    }

    void execute()
    {
        for (RangeEffect& effect : std::exchange(m_effects, {})) {
            if (auto* write = std::get_if<WriteRecord>(&effect)) {
                const std::uint64_t version = write->expectedVersion + 1;
                after(delay, [this, version] { m_keeper.onRecordWritten({StoreStatus::Ok, version}); });
            } else if (auto* grant = std::get_if<GrantRange>(&effect)) {
                after(delay, [this, call = grant->callId] { endCall(call); });
            } else if (auto* release = std::get_if<ReleaseRange>(&effect)) {
                after(delay, [this, call = *release] { endRelease(call); });
            } else if (auto* published = std::get_if<PublishRanges>(&effect)) {
                after(delay, [this, table = published->table] { useTable(table); });
            } else if (auto* line = std::get_if<WriteRangeLog>(&effect)) {
                m_outcome.moves += line->event == LogEvent::PartitionMoved ? 1 : 0;
            }
        }
    }

    void endCall(std::uint64_t call)
    {
        (void)m_keeper.onCallEnded({call, GrantResult::Done, "", false}, m_now, true);
        execute();
    }

    /// A server answers a release when its requests for the range have ended.
    void endRelease(const ReleaseRange& release)
    {
        const Server& server = m_servers.at(release.server.identity.id);
        const auto it = server.unfinished.lower_bound(static_cast<std::uint16_t>(release.range.first));
        if (it != server.unfinished.end() && it->first <= release.range.last) {
            return after(step, [this, release] { endRelease(release); });
        }
        endCall(release.callId);
    }

    void useTable(std::shared_ptr<const RangeTable> table)
    {
        m_table = std::move(table);
        for (const Request& request : std::exchange(m_waiting, {})) {
            sendToOwner(request);
        }
    }

    KeyedServiceLoad m_load;
    std::mt19937_64 m_random;
    RangeCounters m_counters;
    RangeEffects m_effects;
    RangeKeeper m_keeper;
    MonotonicTime m_now {std::chrono::hours(1)};
    Milliseconds m_elapsed {0};
    std::size_t m_registered = 0; ///< Number of listed servers.
    MonotonicTime m_nextArrival;
    std::multimap<MonotonicTime, std::function<void()>> m_schedule;
    std::map<std::string, Server> m_servers; ///< By id.
    std::vector<double> m_cumulativeWeights; ///< Of the keys in m_keysByRank.
    std::vector<std::uint16_t> m_keysByRank;
    std::shared_ptr<const RangeTable> m_table;
    std::vector<Request> m_waiting; ///< Their key has no owner.
    std::map<std::uint16_t, std::uint32_t> m_unreportedKeys;
    KeyedServiceOutcome m_outcome;
};

} // namespace jasminespread::test
