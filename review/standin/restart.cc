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
    std::thread traffic([&] { fleet.traffic(70'000); });
    // Some keys are busier than others, are close to one another, and change; so an endpoint has several ranges.
    fleet.hotPercent = 40;
    fleet.hotWidth = 3000;
    std::thread drift([&] {
        for (unsigned step = 0; nowMs() < 69'000; ++step) {
            fleet.hotKeys = step * 7013 % 65536;
            sleepMs(2500);
        }
    });
    sleepMs(15'000);
    for (unsigned round = 0; round < 9; ++round) {
        if (trouble) {
            // The one with the most ranges.
            Endpoint* endpoint = fleet.endpoints.front().get();
            for (auto& other : fleet.endpoints) {
                endpoint = other->rangesHeld() > endpoint->rangesHeld() ? other.get() : endpoint;
            }
            fleet.record.line("ranges held: " + std::to_string(endpoint->rangesHeld()));
            endpoint->crash();
            sleepMs(400);
            endpoint->startAgain(); // Registers at once.
            fleet.beat(*endpoint);
        }
        sleepMs(5500);
    }
    drift.join();
    traffic.join();
    return finish(fleet);
}
