// A small deployment: a store, gateways, one keyed service and clients that send requests with keys.
#pragma once

#include "world.hpp"

namespace world {

struct FleetSettings {
    std::string program;
    std::string folder;
    std::string record;
    unsigned endpoints = 8;
    unsigned gateways = 3;
    double requestsPerS = 80;
    Endpoint::Behaviour behaviour;
    std::string method = "GET";
    std::string kind = "idempotent";
};

class Fleet {
public:
    explicit Fleet(const FleetSettings& settings)
        : record(settings.record)
        , net("127." + std::to_string(20 + getpid() % 200) + "." + std::to_string(1 + getpid() / 200 % 250) + ".")
        , store(record)
        , m_settings(settings)
    {
        store.put("config", "main",
            json::object {{"version", 5}, {"routes", {{"plan", route("/plan/", settings.kind, "planner", 1500, 600)}}},
                {"services", {{"planner", {{"healthPath", "/health"}, {"maxConns", 110}, {"sharded", settings.behaviour.sharded}, {"warmS", 2.0}}}}},
                {"limits", limits()}});
        endpoints.reserve(64);
        for (unsigned i = 0; i < settings.endpoints; ++i) {
            add();
        }
        std::thread([this] { beats(); }).detach();
        for (unsigned i = 0; i < settings.gateways; ++i) {
            const std::string door = net + "1:" + std::to_string(8384 + i);
            store.listen(door);
            gateways.push_back(std::make_unique<Gateway>(settings.program, settings.folder,
                "edge-colombo-a-" + std::to_string(i + 1), net + std::to_string(101 + i), door));
            gateways.back()->start();
        }
        for (auto& gateway : gateways) {
            const double until = nowMs() + 8000;
            while (call(gateway->ready(), "GET /api/readiness HTTP/1.1\r\nHost: x\r\n", "", 500).status() != 200) {
                if (nowMs() > until) {
                    std::cerr << "a gateway is not ready\n";
                    std::exit(2);
                }
                sleepMs(50);
            }
        }
        record.line("all gateways are ready");
    }

    /// A new endpoint registers.
    void add()
    {
        const std::lock_guard lock(m_addMutex);
        const std::size_t i = endpoints.size();
        endpoints.push_back(std::make_unique<Endpoint>("i-" + hex(0x5a00 + i * 977).substr(8), "planner",
            net + std::to_string(11 + i) + ":8080", m_settings.behaviour, record));
        beat(*endpoints.back());
    }

    void beat(Endpoint& endpoint) { store.put("servers", endpoint.id, endpoint.beat()); }

    /// Sends requests for `ms`.
    void traffic(double ms)
    {
        const double end = nowMs() + ms;
        std::vector<std::thread> senders;
        for (int s = 0; s < 40; ++s) {
            senders.emplace_back([this, end, s] {
                std::mt19937_64 random(100 + s);
                const double gap = 40 * 1000 / m_settings.requestsPerS;
                double next = nowMs() + std::uniform_real_distribution<double>(0, gap)(random);
                while (next < end) {
                    sleepMs(std::max(0.0, next - nowMs()));
                    next = std::max(nowMs(), next + std::uniform_real_distribution<double>(0, 2 * gap)(random));
                    send(random);
                }
            });
        }
        for (std::thread& sender : senders) {
            sender.join();
        }
    }

    std::vector<Hold> allHolds()
    {
        std::vector<Hold> holds;
        for (auto& endpoint : endpoints) {
            const std::lock_guard lock(endpoint->mutex());
            holds.insert(holds.end(), endpoint->holds.begin(), endpoint->holds.end());
        }
        return holds;
    }
    std::vector<Run> allRuns()
    {
        std::vector<Run> runs;
        for (auto& endpoint : endpoints) {
            const std::lock_guard lock(endpoint->mutex());
            runs.insert(runs.end(), endpoint->runs.begin(), endpoint->runs.end());
        }
        return runs;
    }

    /// Name of the instance that leads according to the store.
    std::string leader()
    {
        const std::string text = store.leader();
        for (const auto& gateway : gateways) {
            if (text.find("\\\"instance\\\":\\\"" + gateway->node + "\\\"") != std::string::npos
                || text.find("\"instance\":\"" + gateway->node + "\"") != std::string::npos) {
                return gateway->node;
            }
        }
        return text;
    }

    Record record;
    const std::string net;
    Store store;
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::atomic<unsigned> sent {0};
    std::atomic<unsigned> served {0};
    std::atomic<unsigned> failed {0}; ///< Answered 502.
    std::atomic<std::uint32_t> hotWidth {2000}; ///< Number of the busy keys.
    std::atomic<unsigned> hotPercent {50}; ///< Share of the requests that are for the busy keys.
    std::atomic<std::uint32_t> hotKeys {30000}; ///< First of the busy keys, which are close to one another.

private:
    void beats()
    {
        for (;;) {
            for (std::size_t i = 0; i < endpoints.size(); ++i) {
                sleepMs(870.0 / static_cast<double>(endpoints.size()));
                if (endpoints[i]->alive) {
                    beat(*endpoints[i]);
                }
            }
        }
    }

    void send(std::mt19937_64& random)
    {
        const bool hot = random() % 100 < hotPercent;
        const auto key = static_cast<std::uint32_t>(hot ? (hotKeys + random() % hotWidth) % 65536 : random() % 65536);
        const std::string rid = hex(random());
        ++sent;
        const double at = nowMs();
        const Message answer = call(gateways[random() % gateways.size()]->front(),
            m_settings.method + " /plan/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + rid
                + "\r\nDeadline-Ms: 1500\r\nShard-Key: " + std::to_string(key) + "\r\n",
            "", 1600);
        served += answer.status() == 200 ? 1 : 0;
        failed += answer.status() == 502 ? 1 : 0;
        record.line("client " + rid + " key " + std::to_string(key) + " sent at " + std::to_string(static_cast<long>(at))
            + " answered " + std::to_string(answer.status()));
    }

    std::mutex m_addMutex;
    FleetSettings m_settings;
};

/// Lists spans of over half a second in which two endpoints that are up held the same keys, and ends everything. The
/// rule is broken if there are any or, where `broken` is given, if that is above 0.
inline int finish(Fleet& fleet, int broken = -1)
{
    const std::vector<Overlap> found = overlaps(fleet.allHolds(), 500);
    const std::vector<Run> runs = fleet.allRuns();
    for (const Overlap& o : found) {
        const auto begun = [&](const std::string& process) {
            return std::count_if(runs.begin(), runs.end(), [&](const Run& run) {
                return run.process == process && o.from <= run.key && run.key <= o.to && o.start <= run.start
                    && run.start < o.end;
            });
        };
        char text[250];
        std::snprintf(text, sizeof text,
            "OWNER: keys %u-%u held by %s and %s from %.0f to %.0f ms; requests begun meanwhile: %ld and %ld", o.from,
            o.to, o.a.c_str(), o.b.c_str(), o.start, o.end, static_cast<long>(begun(o.a)),
            static_cast<long>(begun(o.b)));
        fleet.record.line(text);
        std::cout << text << std::endl;
    }
    std::cout << "sent " << fleet.sent << ", served " << fleet.served << ", spans of over 0.5 s with two holders: "
              << found.size() << std::endl;
    fleet.record.flush();
    for (auto& gateway : fleet.gateways) {
        gateway->kill(SIGKILL);
    }
    const bool usable = fleet.served * 2 > fleet.sent;
    std::_Exit((broken < 0 ? !found.empty() : broken > 0) ? 1 : usable ? 0 : 2);
}

} // namespace world
