#pragma once

#include <sys/socket.h>

#include <optional>
#include <string>

namespace jasminespread {

/// A TCP address as the socket system calls take it.
struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t size = 0;

    [[nodiscard]] const sockaddr* get() const noexcept { return reinterpret_cast<const sockaddr*>(&storage); }
};

/// Parses "IP address:port", for IPv6 "[IP address]:port". Returns nothing when it is malformed. Thread-safe.
[[nodiscard]] std::optional<SocketAddress> parseSocketAddress(const std::string& text);

/// Returns the address of the other end of a TCP connection as "IP address:port", for IPv6 "[IP address]:port";
/// "unknown" when it has none. Thread-safe.
[[nodiscard]] std::string peerAddress(int descriptor);

} // namespace jasminespread
