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
};

class Fleet {
public:
    explicit Fleet(const FleetSettings& settings)
        : record(settings.record)
        , net("127." + std::to_string(20 + getpid() % 200) + "." + std::to_string(1 + getpid() / 200 % 250) + ".")
        , store(net + "1:8384", record)
        , m_settings(settings)
        , m_random(7)
    {
        store.put("config", "main",
            json::object {{"version", 5}, {"routes", {{"plan", route("/plan/", "idempotent", "planner", 1500, 600)}}},
                {"services", {{"planner", {{"healthPath", "/health"}, {"maxConns", 110}, {"sharded", true}, {"warmS", 2.0}}}}},
                {"limits", limits()}});
        endpoints.reserve(64);
        for (unsigned i = 0; i < settings.endpoints; ++i) {
            add();
        }
        std::thread([this] { beats(); }).detach();
        for (unsigned i = 0; i < settings.gateways; ++i) {
            gateways.push_back(std::make_unique<Gateway>(settings.program, settings.folder,
                "edge-colombo-a-" + std::to_string(i + 1), net + std::to_string(101 + i), net + "1:8384"));
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

    Record record;
    const std::string net;
    Store store;
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::atomic<unsigned> sent {0};
    std::atomic<unsigned> served {0};
    std::atomic<std::uint32_t> hotWidth {3000};
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
        const std::uint32_t key = hot ? (hotKeys + random() % hotWidth) % 65536 : static_cast<std::uint32_t>(random() % 65536);
        const std::string rid = hex(random());
        ++sent;
        const double at = nowMs();
        const Message answer = call(gateways[random() % gateways.size()]->front(),
            "GET /plan/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + rid
                + "\r\nDeadline-Ms: 1500\r\nShard-Key: " + std::to_string(key) + "\r\n",
            "", 1600);
        served += answer.status() == 200 ? 1 : 0;
        record.line("client " + rid + " key " + std::to_string(key) + " sent at " + std::to_string(static_cast<long>(at))
            + " answered " + std::to_string(answer.status()));
    }

    FleetSettings m_settings;
    std::mt19937_64 m_random;
};

} // namespace world
