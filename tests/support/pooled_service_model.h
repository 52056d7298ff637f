#pragma once

#include "gateway/gateway_reducer.h"

#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace jasminespread::test {

/// Load of a pooled service and what its servers go through.
struct PooledServiceLoad {
    double requestsPerSecond = 120; ///< Over all instances; every third request is not idempotent.
    std::size_t instances = 4;
    std::size_t servers = 12;
    std::uint32_t slots = 6;
    double workMs = 290; ///< Mean.
    double workSpread = 0.5; ///< Standard deviation of the work's logarithm.
    Milliseconds objective {800};
    Milliseconds deadline {2000};
    std::size_t refusingServers = 0; ///< These refuse every request in a wave.
    Milliseconds waveAt {3000};
    Milliseconds waveLength {2000};
    Milliseconds requestedPause {1000};
    std::size_t leavingServers = 0; ///< These shut down one after the other while the lists have them as ready.
    Milliseconds firstLeavesAt {3000};
    Milliseconds leavingInterval {800};
    Milliseconds drainTime {2000}; ///< A server ends a little later than this after it began to leave.
    bool serversState = true; ///< Servers state that they leave, and the pause that they want.
};

/// What the callers of one kind of request get, and what reached servers that did not want it.
struct PooledServiceOutcome {
    unsigned requests = 0;
    unsigned inObjective = 0;
    unsigned late = 0; ///< Answered after the objective.
    unsigned refused = 0;
    unsigned failed = 0;
};

/// Plays a load against GatewayReducer on a simulated clock, without a network. Not thread-safe.
class PooledServiceModel {
public:
    PooledServiceModel(const PooledServiceLoad& load, std::uint64_t seed)
        : m_load(load)
        , m_random(seed)
        , m_servers(load.servers)
    {
        auto configuration = std::make_shared<GatewayConfiguration>();
        configuration->version = 1;
        configuration->services["ledger"] = GatewayService {"ledger", "/health", 110, false, Milliseconds(0)};
        for (const Repeatability repeatability : {Repeatability::Idempotent, Repeatability::NonIdempotent}) {
            HostRoute& route = configuration->routes.emplace_back();
            route.name = repeatability == Repeatability::Idempotent ? "read" : "order";
            route.host = "a.example";
            route.pathPrefix = "/" + route.name + "/";
            route.repeatability = repeatability;
            route.timeout = load.deadline;
            route.latencyObjective = load.objective;
            route.maxAttempts = 2;
            route.targets = {{"ledger", 1}};
        }
        auto servers = std::make_shared<ServerList>();
        for (std::size_t i = 0; i < load.servers; ++i) {
            ListedServer& listed = servers->emplace_back();
            listed.identity = {serverId(i), 1};
            listed.service = "ledger";
            listed.address = "10.0.0." + std::to_string(i) + ":80";
            listed.failureDomain = "a";
            listed.region = "west";
            listed.slots = load.slots;
        }
        for (std::size_t i = 0; i < load.instances; ++i) {
            m_instances.push_back(std::make_unique<GatewayReducer>(
                GatewayReducerSettings {"a", "west", {0.2, std::chrono::seconds(10), 56}, load.drainTime}, seed + i));
            apply(i, GatewayConfigured {configuration});
            apply(i, ServersListed {servers, Milliseconds(0)});
            apply(i, InstanceCountChanged {static_cast<std::uint32_t>(load.instances)});
        }
    }

    /// Plays @p length of traffic and the time until its last request has ended.
    void play(Milliseconds length)
    {
        std::exponential_distribution<double> gapMs(m_load.requestsPerSecond / 1000);
        double nextArrivalMs = gapMs(m_random);
        for (; m_elapsed < length + m_load.deadline; m_elapsed += step) {
            m_now += step;
            runServers();
            while (m_elapsed < length && nextArrivalMs <= static_cast<double>(m_elapsed.count())) {
                arrive();
                nextArrivalMs += gapMs(m_random);
            }
            for (std::size_t i = 0; i < m_instances.size(); ++i) {
                const std::optional<MonotonicTime> wake = m_instances[i]->nextWake();
                if (wake && *wake <= m_now) {
                    apply(i, GatewayTick {});
                }
            }
        }
    }

    /// Of the requests that may be repeated, or of the others.
    [[nodiscard]] const PooledServiceOutcome& outcome(Repeatability repeatability) const
    {
        return m_outcomes.at(repeatability);
    }
    /// Requests that reached a server between half a second after it had asked their instance for a pause and the end
    /// of the pause.
    [[nodiscard]] unsigned unwantedArrivals() const noexcept { return m_unwantedArrivals; }
    /// Requests that a server's end broke off although their instance had sent them after the server had told it that
    /// it leaves.
    [[nodiscard]] unsigned brokenAfterStatement() const noexcept { return m_brokenAfterStatement; }

private:
    struct Execution {
        std::size_t instance = 0;
        std::uint64_t dispatch = 0;
        Milliseconds sentAt {0}; ///< Since the begin.
        Milliseconds endsAt {0}; ///< Since the begin; of a waiting one: how long it takes.
    };

    struct Server {
        std::vector<Execution> running;
        std::deque<Execution> waiting;
        std::map<std::size_t, Milliseconds> pauseBegan; ///< Of the current pause, by instance.
        std::map<std::size_t, Milliseconds> firstStatementAt; ///< That it leaves; by instance.
    };

    struct Caller {
        Milliseconds sentAt {0};
        Repeatability repeatability = Repeatability::Idempotent;
    };

    static constexpr Milliseconds step {5};
    static constexpr Milliseconds exitDelay {300}; ///< From the end of the drain time to the end of a leaving server.

    static std::string serverId(std::size_t index) { return "i-" + std::to_string(100 + index); }
    static std::size_t indexOf(const std::string& id) { return std::stoul(id.substr(2)) - 100; }

    [[nodiscard]] bool refuses(std::size_t server) const
    {
        return server < m_load.refusingServers && m_elapsed >= m_load.waveAt
            && m_elapsed < m_load.waveAt + m_load.waveLength;
    }

    [[nodiscard]] Milliseconds leavesAt(std::size_t server) const
    {
        return server < m_load.leavingServers ? m_load.firstLeavesAt + m_load.leavingInterval * static_cast<int>(server)
                                              : Milliseconds::max() / 2;
    }

    [[nodiscard]] bool hasEnded(std::size_t server) const
    {
        return m_elapsed >= leavesAt(server) + m_load.drainTime + exitDelay;
    }

    void arrive()
    {
        const std::uint64_t number = ++m_lastCaller;
        const Repeatability repeatability = number % 3 == 0 ? Repeatability::NonIdempotent : Repeatability::Idempotent;
        m_callers[number] = {m_elapsed, repeatability};
        ++m_outcomes[repeatability].requests;
        GatewayRequest request;
        request.id = "r" + std::to_string(number);
        request.host = "a.example";
        request.method = "GET";
        request.path = repeatability == Repeatability::Idempotent ? "/read/x" : "/order/x";
        request.timeLeft = m_load.deadline;
        apply(m_random() % m_instances.size(), RequestReceived {number, std::move(request)});
    }

    void runServers()
    {
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            Server& server = m_servers[i];
            const bool ended = hasEnded(i);
            std::vector<Execution> done;
            for (std::size_t k = 0; k < server.running.size();) {
                if (ended || server.running[k].endsAt <= m_elapsed) {
                    done.push_back(server.running[k]);
                    server.running.erase(server.running.begin() + static_cast<std::ptrdiff_t>(k));
                } else {
                    ++k;
                }
            }
            while (!server.waiting.empty() && server.running.size() < m_load.slots && !ended) {
                server.running.push_back(server.waiting.front());
                server.running.back().endsAt += m_elapsed;
                server.waiting.pop_front();
            }
            for (const Execution& execution : done) {
                if (ended) {
                    const auto statement = server.firstStatementAt.find(execution.instance);
                    const bool wasTold = statement != server.firstStatementAt.end();
                    m_brokenAfterStatement += wasTold && execution.sentAt > statement->second ? 1 : 0;
                    apply(execution.instance, SendFailed {execution.dispatch, SendFailure::MayHaveRun, "ended"});
                } else {
                    reply(i, execution, 200);
                }
            }
        }
    }

    void reply(std::size_t server, const Execution& execution, unsigned status)
    {
        ServerAnswer answer;
        answer.status = status;
        if (status != 200) {
            answer.execution = jasminespread::Execution::NotRun;
        }
        if (m_load.serversState) {
            answer.statesLeaving = m_elapsed >= leavesAt(server);
            if (answer.statesLeaving) {
                m_servers[server].firstStatementAt.try_emplace(execution.instance, m_elapsed);
            }
            if (refuses(server)) {
                answer.requestedPause = m_load.requestedPause;
            }
        }
        apply(execution.instance, ServerAnswered {execution.dispatch, std::move(answer)});
    }

    void receive(std::size_t instance, const SendToServer& sent)
    {
        const std::size_t index = indexOf(sent.server.identity.id);
        Server& server = m_servers[index];
        std::lognormal_distribution<double> work(
            std::log(m_load.workMs) - m_load.workSpread * m_load.workSpread / 2, m_load.workSpread);
        const Execution execution {
            instance, sent.dispatch, m_elapsed, Milliseconds(static_cast<std::int64_t>(work(m_random)))};
        if (hasEnded(index)) {
            return apply(instance, SendFailed {sent.dispatch, SendFailure::NotSent, "refused"});
        }
        if (refuses(index)) {
            Milliseconds& pauseBegan = server.pauseBegan.try_emplace(instance, m_elapsed).first->second;
            if (m_elapsed >= pauseBegan + m_load.requestedPause) {
                pauseBegan = m_elapsed;
            }
            m_unwantedArrivals += m_elapsed > pauseBegan + Milliseconds(500) ? 1 : 0;
            return reply(index, execution, 503);
        }
        if (server.running.size() < m_load.slots) {
            server.running.push_back(execution);
            server.running.back().endsAt += m_elapsed;
        } else if (server.waiting.size() < m_load.slots) {
            server.waiting.push_back(execution);
        } else {
            reply(index, execution, 503);
        }
    }

    void cancel(std::uint64_t dispatch, std::size_t instance)
    {
        const auto isCancelled = [&](const Execution& execution) {
            return execution.dispatch == dispatch && execution.instance == instance;
        };
        for (Server& server : m_servers) {
            std::erase_if(server.running, isCancelled);
            std::erase_if(server.waiting, isCancelled);
        }
    }

    void apply(std::size_t instance, GatewayEvent event)
    {
        for (const GatewayEffect& effect : m_instances[instance]->reduce({m_now, std::move(event)})) {
            if (const auto* sent = std::get_if<SendToServer>(&effect)) {
                receive(instance, *sent);
            } else if (const auto* cancelled = std::get_if<CancelSend>(&effect)) {
                cancel(cancelled->dispatch, instance);
            } else if (const auto* answered = std::get_if<AnswerRequest>(&effect)) {
                count(*answered);
            }
        }
    }

    void count(const AnswerRequest& answer)
    {
        const Caller& caller = m_callers.at(answer.caller);
        PooledServiceOutcome& outcome = m_outcomes[caller.repeatability];
        if (answer.origin == AnswerOrigin::Refusal) {
            ++outcome.refused;
        } else if (answer.origin == AnswerOrigin::Failure) {
            ++outcome.failed;
        } else {
            ++(m_elapsed - caller.sentAt <= m_load.objective ? outcome.inObjective : outcome.late);
        }
    }

    PooledServiceLoad m_load;
    std::mt19937_64 m_random;
    MonotonicTime m_now {std::chrono::hours(1)};
    Milliseconds m_elapsed {0}; ///< Since the begin.
    std::vector<std::unique_ptr<GatewayReducer>> m_instances;
    std::vector<Server> m_servers;
    std::map<std::uint64_t, Caller> m_callers;
    std::uint64_t m_lastCaller = 0;
    std::map<Repeatability, PooledServiceOutcome> m_outcomes;
    unsigned m_unwantedArrivals = 0;
    unsigned m_brokenAfterStatement = 0;
};

} // namespace jasminespread::test
