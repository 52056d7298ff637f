// Case: an entry that names no endpoint, written by another writer under the id of the owner of keys, makes the leader
// take the owner's lease as ended. The keys go to another endpoint while the owner still holds them.
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
    store.put("config", "main", configuration(5, {{"r-schedule", route("/schedule/", "idempotent", "refit-planner")}},
        {{"refit-planner", service(true)}}));
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    for (int i = 0; i < 4; ++i) {
        endpoints.push_back(std::make_unique<Endpoint>(record, "i-" + std::string(1, static_cast<char>('a' + i)),
            "refit-planner", "colombo-a", network + std::to_string(31 + i) + ":8080", true));
        endpoints.back()->workMs = 150;
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
    std::atomic<unsigned> served = 0;
    std::vector<std::thread> clients;
    for (unsigned c = 0; c < 6; ++c) {
        clients.emplace_back([&, c] {
            for (unsigned n = 0; !done; ++n) {
                const auto connection = Connection::open(gateways[c % 2]->front);
                const std::string id = "s-" + std::to_string(c) + "-" + std::to_string(n);
                const unsigned key = (n * 7919U + c * 16001U) % 65536U;
                if (connection) {
                    served += callOn(record, *connection, id, requestText("GET", "/schedule/1", id, {{"Shard-Key", std::to_string(key)}})).status == 200 ? 1 : 0;
                }
                sleepMs(60);
            }
        });
    }
    // Two endpoints that hold the same keys, looked at every 10 ms.
    long longest = 0;
    std::thread observer([&] {
        std::map<std::pair<std::size_t, std::size_t>, long> since;
        while (!done) {
            for (std::size_t a = 0; a < endpoints.size(); ++a) {
                for (std::size_t b = a + 1; b < endpoints.size(); ++b) {
                    const std::scoped_lock lock(endpoints[a]->keysMutex, endpoints[b]->keysMutex);
                    const auto now = Clock::now();
                    long first = -1;
                    for (std::size_t key = 0; key < 65536 && first < 0; key += 16) {
                        if (endpoints[a]->keys[key].until > now && endpoints[b]->keys[key].until > now) first = static_cast<long>(key);
                    }
                    const auto pair = std::make_pair(a, b);
                    if (first < 0) {
                        if (since.contains(pair)) record.line(endpoints[a]->id + " and " + endpoints[b]->id + " no longer hold the same keys, after " + std::to_string(elapsedMs() - since[pair]) + " ms");
                        since.erase(pair);
                        continue;
                    }
                    if (!since.contains(pair)) {
                        since[pair] = elapsedMs();
                        record.line(endpoints[a]->id + " and " + endpoints[b]->id + " both hold key " + std::to_string(first));
                    }
                    longest = std::max(longest, elapsedMs() - since[pair]);
                }
            }
            sleepMs(10);
        }
    });
    sleepMs(6000);
    if (trouble) {
        const Endpoint& owner = *endpoints[0];
        const json::object entry {{"service", owner.serviceName}, {"address", endpoints[1]->address}, {"zone", owner.zone},
            {"slots", 6}, {"state", "ready"}, {"warmupLeftMs", 0}, {"sequence", "1"}, {"born", owner.born + 60000}};
        record.line("another writer writes servers/" + owner.id + ": " + json::serialize(entry)
            + " (version is missing, sequence is a text)");
        store.put("servers", owner.id, entry);
    }
    sleepMs(6000);
    done = true;
    observer.join();
    for (std::thread& client : clients) client.join();
    const bool broken = longest > 500;
    const std::string summary = std::string(broken ? "BROKEN: " : "HELD: ") + "two endpoints held the same keys for "
        + std::to_string(longest) + " ms at most; " + std::to_string(served) + " requests served";
    record.line(summary);
    std::puts(summary.c_str());
    return broken ? 1 : 0;
}
