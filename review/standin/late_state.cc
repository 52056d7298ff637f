// Case: an endpoint's registration that got no answer is carried out seconds later, after the endpoint reported that it
// is draining. Usage: late_state GATEWAY FOLDER RECORD TROUBLE
#include "fleet.hpp"

int main(int argc, char** argv)
{
    using namespace world;
    if (argc < 5) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    FleetSettings settings;
    settings.program = argv[1];
    settings.folder = argv[2];
    settings.record = argv[3];
    settings.method = "POST";
    settings.kind = "non_idempotent";
    settings.behaviour.sharded = false;
    settings.behaviour.workMs = 290;
    settings.requestsPerS = 60;
    const bool trouble = std::string(argv[4]) != "0";
    constexpr double drainMs = 2000;
    Fleet fleet(settings);
    std::thread traffic([&] { fleet.traffic(72'000); });
    sleepMs(4000);
    unsigned late = 0;
    for (unsigned round = 0; round < 6; ++round) {
        Endpoint& endpoint = *fleet.endpoints[round];
        const json::value beat = endpoint.beat();
        if (trouble) {
            fleet.record.line("store: a beat of " + endpoint.process() + " gets no answer: " + json::serialize(beat));
        }
        sleepMs(3200); // The store is stable again.
        fleet.add();
        {
            const std::lock_guard lock(endpoint.mutex());
            endpoint.state = "draining";
        }
        fleet.beat(endpoint);
        const double acknowledgedAt = nowMs();
        fleet.record.line("store: acknowledges that " + endpoint.process() + " is draining");
        sleepMs(2600);
        if (trouble) {
            fleet.record.line("store: carries out the beat without an answer, 5.8 s after it was sent");
            fleet.store.put("servers", endpoint.id, beat);
        }
        sleepMs(650);
        endpoint.crash(); // It has served for drainMs and 1.25 s longer, and exits.
        fleet.store.remove("servers", endpoint.id);
        const std::lock_guard lock(endpoint.mutex());
        for (const auto& [at, id] : endpoint.arrivals) {
            if (at > acknowledgedAt + drainMs) {
                char text[200];
                std::snprintf(text, sizeof text, "DRAIN: request %s reaches %s %.0f ms after the acknowledgement",
                    id.c_str(), endpoint.process().c_str(), at - acknowledgedAt);
                fleet.record.line(text);
                std::cout << text << std::endl;
                ++late;
            }
        }
    }
    traffic.join();
    std::cout << "sent " << fleet.sent << ", served " << fleet.served << ", answered 502: " << fleet.failed << ", requests later than drainMs: " << late << std::endl;
    fleet.record.flush();
    for (auto& gateway : fleet.gateways) {
        gateway->kill(SIGKILL);
    }
    std::_Exit(late > 0 ? 1 : fleet.served * 2 > fleet.sent ? 0 : 2);
}
