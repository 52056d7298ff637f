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
    settings.behaviour.workMs = 220;
    settings.requestsPerS = 140;
    std::mutex mutex;
    std::map<std::string, unsigned> answers;
    std::string marked; ///< The endpoint that sent an answer twice last.
    std::set<std::string> faulty;
    settings.behaviour.extraLate = [&](const Endpoint& endpoint, const Message& m) {
        const std::lock_guard lock(mutex);
        unsigned& count = answers[endpoint.id];
        ++count;
        // At most 3 of 100 answers (x = 0.03) of at most 60 of 100 endpoints, for 5 s at a time: here the answer to
        // the release that ends first of several.
        const bool active = static_cast<long>(nowMs()) % 6000 < 5000;
        if (active && faulty.contains(endpoint.id) && count >= 34 && m.target() == "/api/release"
            && endpoint.releasesInProgress > 0) {
            count -= 34;
            marked = endpoint.id;
            return trouble;
        }
        return false;
    };
    Fleet fleet(settings);
    fleet.hotPercent = 60;
    std::thread traffic([&] { fleet.traffic(95'000); });
    sleepMs(5000);
    unsigned next = 0;
    while (nowMs() < 88'000) {
        // The busy keys move to those of one endpoint, whose load is divided then. Every second endpoint is faulty.
        Endpoint& endpoint = *fleet.endpoints[next % fleet.endpoints.size()];
        next += 2;
        if (!endpoint.alive || endpoint.state != "ready") {
            next = next < 2 * fleet.endpoints.size() ? next : 0;
            continue;
        }
        {
            const std::lock_guard lock(mutex);
            faulty.insert(endpoint.id);
        }
        {
            const std::lock_guard lock(mutex);
            marked.clear();
        }
        std::uint32_t widest = 0;
        {
            const std::lock_guard lock(endpoint.mutex());
            for (const Hold& h : endpoint.holds) {
                if (h.end > nowMs() && h.to - h.from > widest) {
                    widest = h.to - h.from;
                    fleet.hotKeys = h.from + (h.to - h.from) / 2 - std::min<std::uint32_t>(1500, (h.to - h.from) / 2);
                }
            }
        }
        const double until = nowMs() + 4000;
        bool sentTwice = false;
        while (nowMs() < until && !sentTwice) {
            sleepMs(50);
            const std::lock_guard lock(mutex);
            sentTwice = marked == endpoint.id;
        }
        if (!sentTwice) {
            continue;
        }
        sleepMs(500);
        // It leaves as planned, and another one comes.
        fleet.record.line("endpoint " + endpoint.process() + " reports draining");
        endpoint.state = "draining";
        fleet.beat(endpoint);
        fleet.add();
        sleepMs(5000);
        endpoint.crash();
        fleet.store.remove("servers", endpoint.id);
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
