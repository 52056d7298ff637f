#pragma once

#include <jasminespread/object_store.h>

#include <string>

namespace jasminespread {

/// Makes an ObjectStore that calls the platform over HTTP with libsoup.
/// Precondition: @p baseUrl is "http://ip:port"; the calling thread's default main context runs all callbacks.
/// A call that takes longer than @p timeout ends as Unavailable (reads) or Unknown (writes).
[[nodiscard]] ObjectStore makeHttpObjectStore(const std::string& baseUrl, Milliseconds timeout);

} // namespace jasminespread
