// Case: an entry with missing fields, written by another writer under the id of an endpoint, brings the orders of one
// service to an endpoint of another.
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
    store.put("config", "main", configuration(5,
        {{"r-order", route("/order/", "non_idempotent", "cloth-ledger")}, {"r-bay", route("/bay/", "non_idempotent", "bay-desk")}},
        {{"cloth-ledger", service(false)}, {"bay-desk", service(false)}}));
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    std::atomic<unsigned> runs = 0;
    std::atomic<unsigned> misplaced = 0;
    for (int i = 0; i < 12; ++i) {
        endpoints.push_back(std::make_unique<Endpoint>(record, "i-" + std::to_string(i), i < 6 ? "cloth-ledger" : "bay-desk",
            "colombo-a", network + std::to_string(31 + i) + ":8080", false));
        endpoints.back()->onRun = [&](Endpoint& endpoint, const Message& request) {
            ++runs;
            const std::string wanted = request.target().rfind("/order/", 0) == 0 ? "cloth-ledger" : "bay-desk";
            if (endpoint.serviceName == wanted) return;
            ++misplaced;
            record.line("ROUTE: " + endpoint.id + " of " + endpoint.serviceName + " runs " + request.method() + " "
                + request.target() + " " + request.field("Request-Id"));
        };
    }
    const Beats beats(store, endpoints);
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (unsigned host : {21U, 22U}) {
        gateways.push_back(std::make_unique<Gateway>(folder.path, network, host, "colombo-a", "western", network + "1:8384"));
    }
    for (const auto& gateway : gateways) {
        if (!gateway->waitReady(15000)) return 2;
    }
    std::atomic<bool> done = false;
    std::atomic<unsigned> sent = 0;
    std::atomic<unsigned> served = 0;
    std::vector<std::thread> clients;
    for (unsigned c = 0; c < 12; ++c) {
        clients.emplace_back([&, c] {
            for (unsigned n = 0; !done; ++n) {
                const auto connection = Connection::open(gateways[c % 2]->front);
                const std::string id = "o-" + std::to_string(c) + "-" + std::to_string(n);
                const std::string path = (c < 9 ? "/order/" : "/bay/") + std::to_string(n);
                if (connection) {
                    ++sent;
                    const Outcome outcome = callOn(record, *connection, id, requestText("POST", path, id, {}, "fabric=blue"));
                    served += outcome.status == 200 ? 1 : 0;
                    if (outcome.status == 200 && c < 9 && outcome.answer->body.find("of i-1") == std::string::npos) {
                        const int server = std::atoi(outcome.answer->body.c_str() + std::strlen("answer of i-"));
                        if (server >= 6) record.line("client gets 200 for " + id + " (" + path + "): " + outcome.answer->body);
                    }
                }
                sleepMs(60);
            }
        });
    }
    sleepMs(6300);
    if (trouble) {
        const Endpoint& endpoint = *endpoints[6];
        beats.waitForNext();
        const json::object entry {{"service", "cloth-ledger"}, {"address", endpoint.address}, {"zone", endpoint.zone},
            {"slots", 6}, {"state", "ready"}};
        record.line("another writer writes servers/" + endpoint.id + ", an endpoint of bay-desk: " + json::serialize(entry)
            + " (version, warmupLeftMs, sequence and born are missing)");
        store.put("servers", endpoint.id, entry);
    }
    sleepMs(5000);
    done = true;
    for (std::thread& client : clients) client.join();
    const std::string summary = std::string(misplaced > 0 ? "BROKEN: " : "HELD: ") + std::to_string(misplaced)
        + " requests run by a service to which no configuration sends them; " + std::to_string(sent) + " sent, "
        + std::to_string(runs) + " runs, " + std::to_string(served) + " served";
    record.line(summary);
    std::puts(summary.c_str());
    return misplaced > 0 ? 1 : 0;
}
