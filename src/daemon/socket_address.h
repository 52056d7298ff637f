#pragma once

#include <jasminespread/error.h>

#include <gio/gio.h>

#include <memory>
#include <string>

namespace jasminespread {

struct SocketAddressUnref {
    void operator()(GSocketAddress* address) const noexcept { g_object_unref(address); }
};
using SocketAddressPtr = std::unique_ptr<GSocketAddress, SocketAddressUnref>;

/// Parses "ip:port" or "[ip]:port". Fails with InvalidInput; the message names @p settingName. Thread-safe.
[[nodiscard]] Result<SocketAddressPtr> parseSocketAddress(const std::string& text, const std::string& settingName);

} // namespace jasminespread
