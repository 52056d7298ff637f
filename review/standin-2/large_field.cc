// Case: a request whose head is within the configuration's maxHeaderBytes ends the process that reads it.
#include "world.hpp"

using namespace review;

int main(int argc, char** argv) {
    if (argc < 2) return 2;
    std::signal(SIGPIPE, SIG_IGN);
    startOfRun();
    Record record(std::string(argv[1]) + "/record.txt");
    const bool trouble = hasTrouble();
    const TemporaryFolder folder;
    const std::string network = freeNetwork();
    Store store(network + "1:8384");
    // The operator allows heads of 128 KiB; without trouble the fields stay small.
    store.put("config", "main", configuration(5, {{"r-order", route("/order/", "non_idempotent", "cloth-ledger")}},
        {{"cloth-ledger", service(false)}}, 131072));
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    std::atomic<unsigned> runs = 0;
    for (int i = 0; i < 2; ++i) {
        endpoints.push_back(std::make_unique<Endpoint>(record, "i-" + std::to_string(i), "cloth-ledger", "colombo-a",
            network + std::to_string(11 + i) + ":8080", false));
        endpoints.back()->workMs = 250;
        endpoints.back()->onRun = [&](Endpoint& e, const Message& m) {
            ++runs;
            record.line(e.id + " runs " + m.field("Request-Id"));
        };
        store.put("servers", endpoints.back()->id, endpoints.back()->entry());
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (unsigned host : {21U, 22U}) {
        gateways.push_back(std::make_unique<Gateway>(folder.path, network, host, "colombo-a", "western", network + "1:8384"));
    }
    for (const auto& gateway : gateways) {
        if (!gateway->waitReady(15000)) {
            std::fprintf(stderr, "a gateway did not become ready\n");
            return 2;
        }
    }
    sleepMs(4000);
    unsigned brokenOff = 0;
    unsigned ends = 0;
    for (int round = 0; round < 3; ++round) {
        for (const auto& gateway : gateways) {
            // Orders of other clients on kept connections.
            std::vector<std::thread> clients;
            std::atomic<unsigned> lost = 0;
            for (int i = 0; i < 6; ++i) {
                clients.emplace_back([&, i] {
                    const auto connection = Connection::open(gateway->front);
                    for (int n = 0; connection && n < 3; ++n) {
                        const std::string id = "o-" + std::to_string(round) + "-" + gateway->name().substr(5) + "-"
                            + std::to_string(i) + "-" + std::to_string(n);
                        record.line("client sends " + id + " to " + gateway->name());
                        const Outcome outcome = callOn(*connection, requestText("POST", "/order/1", id, {}, "fabric=blue"), 3000);
                        record.line("client gets " + (outcome.status ? std::to_string(outcome.status) : std::string("no answer, the connection ended")) + " for " + id);
                        if (outcome.status == 0) {
                            ++lost;
                            return;
                        }
                    }
                });
            }
            sleepMs(350);
            const std::string id = "large-" + std::to_string(round) + "-" + gateway->name().substr(5);
            const auto connection = Connection::open(gateway->front);
            if (connection) {
                const std::string token(trouble ? 70000 : 700, 't');
                record.line("client sends " + id + " with a field of " + std::to_string(token.size()) + " bytes to " + gateway->name());
                const Outcome outcome = callOn(*connection, requestText("POST", "/order/2", id, {{"Authorization", "Negotiate " + token}}, "fabric=red"));
                record.line("client gets " + (outcome.status ? std::to_string(outcome.status) : std::string("no answer")) + " for " + id);
            }
            for (std::thread& client : clients) client.join();
            brokenOff += lost;
            std::string how;
            sleepMs(100);
            if (gateway->hasEnded(how)) {
                ++ends;
                record.line(gateway->name() + " has ended by itself: " + how + "; the platform starts it again");
                sleepMs(500);
                gateway->start();
                if (!gateway->waitReady(15000)) return 2;
            }
        }
    }
    const bool broken = brokenOff > 3 || ends > 0;
    const std::string summary = std::string(broken ? "BROKEN" : "HELD") + ": " + std::to_string(ends)
        + " processes ended by themselves; " + std::to_string(brokenOff)
        + " orders on kept connections ended without an answer; " + std::to_string(runs) + " runs";
    record.line(summary);
    std::puts(summary.c_str());
    return broken ? 1 : 0;
}
