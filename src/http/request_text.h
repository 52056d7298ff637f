#pragma once

#include <jasminespread/backend_transport.h>

#include <optional>
#include <string>

namespace jasminespread {

/// Returns the bytes of an HTTP/1.1 request; its framing is that of the body, whatever the fields say. Nothing when a
/// part of it would be read as something else, e.g. a field with a line break. Thread-safe.
[[nodiscard]] std::optional<std::string> requestText(const BackendRequest& request);

} // namespace jasminespread
