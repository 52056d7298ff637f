#include "transport/transport_choice.h"

#include "transport/soup_backend_transport.h"

namespace jasminespread {

BackendTransport makeDefaultBackendTransport() { return makeSoupBackendTransport(); }

} // namespace jasminespread
