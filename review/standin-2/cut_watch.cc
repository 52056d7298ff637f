// Case: the store cuts off the watch that waits as an endpoint's entry is removed. The leader keeps the endpoint as the
// owner of its keys beyond drainMs, and orders that reach it then are broken off as it ends.
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
    store.put("config", "main", configuration(5, {{"r-bay", route("/bay/", "non_idempotent", "refit-planner")}},
        {{"refit-planner", service(true)}}));
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    std::atomic<long> removedAt = 0;
    std::mutex mutex;
    std::set<std::string> lateOrders;
    std::atomic<unsigned> late = 0;
    std::atomic<unsigned> brokenOff = 0;
    std::atomic<long> latest = 0;
    for (int i = 0; i < 4; ++i) {
        endpoints.push_back(std::make_unique<Endpoint>(record, "i-" + std::string(1, static_cast<char>('a' + i)),
            "refit-planner", "colombo-a", network + std::to_string(31 + i) + ":8080", true));
        endpoints.back()->workMs = 250;
    }
    endpoints[0]->onRun = [&](Endpoint& endpoint, const Message& request) {
        if (removedAt == 0) return;
        const long after = elapsedMs() - removedAt;
        latest = std::max(latest.load(), after);
        if (after <= 2000) return;
        ++late;
        {
            const std::lock_guard lock(mutex);
            lateOrders.insert(request.field("Request-Id"));
        }
        record.line("DRAIN: " + request.field("Request-Id") + " reaches " + endpoint.id + " " + std::to_string(after) + " ms after its entry was removed");
    };
    const Beats beats(store, endpoints);
    std::vector<std::unique_ptr<Gateway>> gateways;
    gateways.push_back(std::make_unique<Gateway>(folder.path, network, 21, "colombo-a", "western", network + "1:8384"));
    if (!gateways[0]->waitReady(15000)) return 2;
    std::atomic<bool> done = false;
    std::atomic<unsigned> served = 0;
    std::vector<std::thread> clients;
    for (unsigned c = 0; c < 30; ++c) {
        clients.emplace_back([&, c] {
            sleepMs(c * 9); // The clients are not in step.
            for (unsigned n = 0; !done; ++n) {
                const auto connection = Connection::open(gateways[0]->front);
                const std::string id = "b-" + std::to_string(c) + "-" + std::to_string(n);
                const unsigned key = (n * 7919U + c * 16001U) % 65536U;
                if (connection) {
                    const int status = callOn(record, *connection, id, requestText("POST", "/bay/1", id, {{"Shard-Key", std::to_string(key)}}, "bay=4")).status;
                    served += status == 200 ? 1 : 0;
                    const std::lock_guard lock(mutex);
                    if (status != 200 && status != 503) record.line("client gets " + std::to_string(status) + " for " + id);
                    brokenOff += status != 200 && lateOrders.contains(id) ? 1 : 0;
                }
                sleepMs(35);
            }
        });
    }
    sleepMs(8000);
    endpoints[0]->silent = true; // Planned work: it leaves without reporting draining.
    store.remove("servers", "i-a", trouble);
    removedAt = elapsedMs();
    record.line(std::string("the entry of i-a is removed (planned work)") + (trouble ? ", the watches that wait are cut off" : ""));
    // It serves for drainMs and a little longer, and then ends.
    while (elapsedMs() < removedAt + 2200) sleepMs(5);
    endpoints[0]->ended = true;
    record.line("i-a ends");
    sleepMs(5000);
    done = true;
    for (std::thread& client : clients) client.join();
    const std::string summary = std::string(late > 0 ? "BROKEN: " : "HELD: ") + std::to_string(late)
        + " orders reached the endpoint later than 2000 ms after its entry was removed, the last one after "
        + std::to_string(latest) + " ms; " + std::to_string(brokenOff) + " of them were broken off as it ended; " + std::to_string(served) + " served";
    record.line(summary);
    std::puts(summary.c_str());
    return late > 0 ? 1 : 0;
}
