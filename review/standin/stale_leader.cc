// Case 2: the store turns the leader away; later an endpoint crashes and starts again under its id.
// Usage: stale_leader GATEWAY FOLDER RECORD TROUBLE
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
    std::thread traffic([&] { fleet.traffic(80'000); });
    fleet.hotPercent = 40;
    std::thread drift([&] {
        for (unsigned step = 0; nowMs() < 78'000; ++step) {
            fleet.hotKeys = step * 7013 % 65536;
            sleepMs(2500);
        }
    });
    sleepMs(15'000);
    for (unsigned round = 0; round < 3; ++round) {
        const std::string leader = fleet.leader();
        Gateway* cut = nullptr;
        for (auto& gateway : fleet.gateways) {
            cut = gateway->node == leader ? gateway.get() : cut;
        }
        if (trouble && cut != nullptr) {
            fleet.record.line("the store turns " + leader + " away, which leads");
            fleet.store.turnAway(cut->store(), Store::Reset);
        }
        const double cutAt = nowMs();
        sleepMs(4000);
        fleet.record.line("leader in the store: " + fleet.leader());
        if (trouble) {
            // One that the next leader has told to release keys.
            Endpoint* endpoint = fleet.endpoints.front().get();
            for (auto& other : fleet.endpoints) {
                endpoint = other->releasesSince(cutAt + 2200) > endpoint->releasesSince(cutAt + 2200) ? other.get() : endpoint;
            }
            endpoint->crash();
            sleepMs(300);
            endpoint->startAgain(); // Registers at once.
            fleet.beat(*endpoint);
        }
        sleepMs(2600);
        if (trouble && cut != nullptr) {
            fleet.record.line("the store serves " + leader + " again");
            fleet.store.turnAway(cut->store(), Store::Serving);
        }
        sleepMs(11'000);
    }
    drift.join();
    traffic.join();
    // Only grants with a low fencing token count here; spans with two holders are listed as well.
    const std::vector<LowGrant> found = lowGrants(fleet.allHolds());
    for (const LowGrant& f : found) {
        char text[300];
        std::snprintf(text, sizeof text,
            "OWNER: %s takes keys %u-%u with fence %llu at %.0f ms; %s had keys %u-%u with fence %llu from %.0f ms",
            f.grant.process.c_str(), f.grant.from, f.grant.to, static_cast<unsigned long long>(f.grant.fence),
            f.grant.start, f.earlier.process.c_str(), f.earlier.from, f.earlier.to,
            static_cast<unsigned long long>(f.earlier.fence), f.earlier.start);
        fleet.record.line(text);
        std::cout << text << std::endl;
    }
    return finish(fleet, static_cast<int>(found.size()));
}
