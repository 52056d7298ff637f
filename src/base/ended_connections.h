#pragma once

#include <libsoup/soup.h>

namespace jasminespread {

/// Makes @p server close an idle keep-alive connection once its client has closed it. libsoup 3.2 does not, so every
/// such connection would hold a file descriptor until the process runs out of them. Must be called before the server
/// listens, on the thread that runs it.
void closeEndedConnections(SoupServer* server);

} // namespace jasminespread
