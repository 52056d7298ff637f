#pragma once

#include <libsoup/soup.h>

namespace jasminespread {

/// Makes @p server close an idle keep-alive connection when its client has closed it. libsoup 3.2 does not, so that
/// every such connection would keep a file descriptor until the process has none left. Must be called before the
/// server listens, on the thread that runs it.
void closeEndedConnections(SoupServer* server);

} // namespace jasminespread
