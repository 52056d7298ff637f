// Case 2: a faulty endpoint sends second, late copies of its answers while ranges move.
// Usage: extra_answer GATEWAY FOLDER RECORD TROUBLE
#include "fleet.hpp"

int main(int argc, char** argv)
{
    using namespace world;
    if (argc < 5) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    const bool trouble = std::string(argv[4]) != "0";
    FleetSettings settings;
    settings.program = argv[1];
    settings.folder = argv[2];
    settings.record = argv[3];
    settings.endpoints = 8;
    settings.behaviour.workMs = 220;
    settings.requestsPerS = 110;
    std::mutex mutex;
    std::map<std::string, unsigned> answers;
    std::set<std::string> marked; ///< Endpoints that sent an answer twice.
    std::set<std::string> faulty;
    settings.behaviour.extraLate = [&](const Endpoint& endpoint, const Message& m) {
        const std::lock_guard lock(mutex);
        unsigned& count = answers[endpoint.id];
        ++count;
        // At most 3 of 100 answers (x = 0.03) of at most 60 of 100 endpoints, for 5 s at a time: here the answer to a
        // release that ends while another one goes on.
        const bool active = static_cast<long>(nowMs()) % 6000 < 5000;
        if (active && faulty.contains(endpoint.id) && count >= 34 && m.target() == "/api/release"
            && endpoint.releasesInProgress == 1) {
            count -= 34;
            marked.insert(endpoint.id);
            return trouble;
        }
        return false;
    };
    Fleet fleet(settings);
    const unsigned hot = 40;
    fleet.hotWidth = 3000;
    std::thread traffic([&] { fleet.traffic(108'000); });
    sleepMs(5000);
    unsigned next = 0;
    while (nowMs() < 104'000) {
        // The busy keys move to those of one endpoint, whose load is divided then. Every second endpoint is faulty.
        next = next < fleet.endpoints.size() ? next : 0;
        Endpoint& endpoint = *fleet.endpoints[next];
        next += 2;
        if (!endpoint.alive || endpoint.state != "ready") {
            sleepMs(20);
            continue;
        }
        {
            const std::lock_guard lock(mutex);
            faulty.insert(endpoint.id);
            marked.erase(endpoint.id);
        }
        fleet.hotWidth = 3000;
        std::uint32_t widest = 0;
        {
            const std::lock_guard lock(endpoint.mutex());
            for (const Hold& h : endpoint.holds) {
                if (h.end > nowMs() && h.to - h.from > widest) {
                    widest = h.to - h.from;
                    fleet.hotKeys = h.from + widest / 2 - std::min(fleet.hotWidth / 2, widest / 2);
                }
            }
        }
        fleet.hotPercent = hot;
        const double until = nowMs() + 3500;
        bool sentTwice = false;
        while (nowMs() < until && !sentTwice) {
            sleepMs(50);
            const std::lock_guard lock(mutex);
            sentTwice = marked.contains(endpoint.id);
        }
        if (!sentTwice) {
            continue;
        }
        // The busy keys change again: to the second of the ranges that it still has.
        const std::vector<std::pair<std::uint32_t, std::uint32_t>> held = endpoint.heldRanges();
        if (held.size() >= 2) {
            fleet.hotKeys = held[1].first;
            fleet.hotWidth = std::min<std::uint32_t>(3000, held[1].second - held[1].first + 1);
        }
        sleepMs(100);
        // It leaves as planned, and another one comes.
        fleet.record.line("endpoint " + endpoint.process() + " reports draining");
        {
            const std::lock_guard lock(endpoint.mutex());
            endpoint.state = "draining";
        }
        fleet.beat(endpoint);
        fleet.add();
        std::thread([&fleet, &endpoint] {
            sleepMs(3000);
            endpoint.crash();
            fleet.store.remove("servers", endpoint.id);
        }).detach();
        sleepMs(1000);
    }
    traffic.join();
    const std::vector<EarlyGrant> found = earlyGrants(fleet.allHolds(), fleet.allRuns());
    for (const EarlyGrant& e : found) {
        char text[300];
        std::snprintf(text, sizeof text,
            "OWNER: keys %u-%u given to %s at %.1f ms; %s was at work on key %u from %.1f to %.1f ms", e.grant.from,
            e.grant.to, e.grant.process.c_str(), e.grant.start, e.run.process.c_str(), e.run.key, e.run.start,
            e.run.end);
        fleet.record.line(text);
        std::cout << text << std::endl;
    }
    std::cout << "sent " << fleet.sent << ", served " << fleet.served << ", early grants: " << found.size() << std::endl;
    fleet.record.flush();
    for (auto& gateway : fleet.gateways) {
        gateway->kill(SIGKILL);
    }
    std::_Exit(!found.empty() ? 1 : fleet.served * 2 > fleet.sent ? 0 : 2);
}
