#pragma once

#include <jasminespread/object_store.h>

#include <string>

namespace jasminespread {

/// Makes an ObjectStore that calls the platform over HTTP. An answer that cannot be read is none.
/// Precondition: @p baseUrl is "http://ip:port"; the calling thread's default main context runs all callbacks. No
/// callback runs after the last copy of the store has been destroyed.
/// A call that takes longer than @p timeout ends as Unavailable (reads) or Unknown (writes).
[[nodiscard]] ObjectStore makeHttpObjectStore(const std::string& baseUrl, Milliseconds timeout);

} // namespace jasminespread
