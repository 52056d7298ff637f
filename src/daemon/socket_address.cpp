#include "daemon/socket_address.h"

#include <charconv>

namespace jasminespread {

Result<SocketAddressPtr> parseSocketAddress(const std::string& text, const std::string& settingName)
{
    const std::size_t colon = text.rfind(':');
    std::string host = text.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char* first = text.data() + (colon == std::string::npos ? text.size() : colon + 1);
    const std::from_chars_result parsed = std::from_chars(first, text.data() + text.size(), port);
    GSocketAddress* address = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size()
        ? g_inet_socket_address_new_from_string(host.c_str(), port)
        : nullptr;
    if (!address) {
        return fail(ErrorKind::InvalidInput,
            settingName + " \"" + text + "\" is not an IP address and port such as 10.0.0.1:8080");
    }
    return SocketAddressPtr(address);
}

} // namespace jasminespread
