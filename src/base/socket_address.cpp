#include "base/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <charconv>
#include <cstdint>

namespace jasminespread {

std::optional<SocketAddress> parseSocketAddress(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const std::from_chars_result parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
        return std::nullopt;
    }
    SocketAddress address;
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        auto* native = reinterpret_cast<sockaddr_in6*>(&address.storage);
        native->sin6_family = AF_INET6;
        native->sin6_port = htons(port);
        address.size = sizeof *native;
        return inet_pton(AF_INET6, host.c_str(), &native->sin6_addr) == 1 ? std::optional(address) : std::nullopt;
    }
    auto* native = reinterpret_cast<sockaddr_in*>(&address.storage);
    native->sin_family = AF_INET;
    native->sin_port = htons(port);
    address.size = sizeof *native;
    return inet_pton(AF_INET, host.c_str(), &native->sin_addr) == 1 ? std::optional(address) : std::nullopt;
}

std::string peerAddress(int descriptor)
{
    sockaddr_storage storage {};
    socklen_t size = sizeof storage;
    std::array<char, INET6_ADDRSTRLEN> host {};
    if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&storage), &size) != 0) {
        return "unknown";
    }
    if (storage.ss_family == AF_INET6) {
        const auto* native = reinterpret_cast<const sockaddr_in6*>(&storage);
        inet_ntop(AF_INET6, &native->sin6_addr, host.data(), host.size());
        return '[' + std::string(host.data()) + "]:" + std::to_string(ntohs(native->sin6_port));
    }
    const auto* native = reinterpret_cast<const sockaddr_in*>(&storage);
    inet_ntop(AF_INET, &native->sin_addr, host.data(), host.size());
    return std::string(host.data()) + ':' + std::to_string(ntohs(native->sin_port));
}

} // namespace jasminespread
