#include "http/client_eviction.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace jasminespread {
namespace {

/// Added to the time without progress, so that among clients that are all active the one that holds the most is chosen.
constexpr Milliseconds baseAge {1000};

} // namespace

std::vector<ClientHolding> ClientEvictionPolicy::choose(
    std::vector<ClientHolding> clients, const ClientRelief& needed, MonotonicTime now)
{
    if (needed.connections > 0) {
        std::erase_if(clients, [](const ClientHolding& client) { return client.inWork; });
        std::sort(clients.begin(), clients.end(), [](const ClientHolding& a, const ClientHolding& b) {
            return std::tuple(!a.lingering, a.progressedAt, a.listener, a.connection)
                < std::tuple(!b.lingering, b.progressedAt, b.listener, b.connection);
        });
        clients.resize(std::min(clients.size(), needed.connections));
        return clients;
    }
    const auto score = [now](const ClientHolding& client) {
        const Milliseconds age = baseAge + std::chrono::duration_cast<Milliseconds>(now - client.progressedAt);
        return static_cast<double>(client.endableBytes) * static_cast<double>(age.count());
    };
    std::erase_if(clients, [](const ClientHolding& client) { return client.endableBytes == 0; });
    std::sort(clients.begin(), clients.end(), [&score](const ClientHolding& a, const ClientHolding& b) {
        return std::tuple(-score(a), a.listener, a.connection) < std::tuple(-score(b), b.listener, b.connection);
    });
    std::uint64_t freed = 0;
    auto end = clients.begin();
    for (; end != clients.end() && freed < needed.bytes; ++end) {
        freed += end->endableBytes;
    }
    clients.erase(end, clients.end());
    return clients;
}

} // namespace jasminespread
