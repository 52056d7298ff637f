// Case 1: endpoints of a keyed service crash and start again under the id and at the address that they had.
// Usage: restart GATEWAY FOLDER RECORD TROUBLE
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
    const bool trouble = std::string(argv[4]) != "0";
    Fleet fleet(settings);
    std::thread traffic([&] { fleet.traffic(66'000); });
    // Some keys are busier than others, are close to one another, and change; so an endpoint has several ranges.
    fleet.hotPercent = 40;
    std::thread drift([&] {
        for (unsigned step = 0; nowMs() < 64'000; ++step) {
            fleet.hotKeys = step * 7013 % 65536;
            sleepMs(2500);
        }
    });
    sleepMs(15'000);
    for (unsigned round = 0; round < 7; ++round) {
        if (trouble) {
            Endpoint& endpoint = *fleet.endpoints[round + 1];
            endpoint.crash();
            sleepMs(400);
            endpoint.startAgain(); // Registers at once.
            fleet.beat(endpoint);
        }
        sleepMs(6500);
    }
    drift.join();
    traffic.join();
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
    std::_Exit(!found.empty() ? 1 : usable ? 0 : 2);
}
