#pragma once

#include <jasminespread/instance_entry.h>
#include <jasminespread/time.h>

#include <cstdint>
#include <string>

namespace jasminespread {

/// Local view of another entry instance.
struct PeerInfo {
    InstanceEntry entry;
    std::uint64_t incarnation = 0; ///< 0 until the first heartbeat.
    MonotonicTime lastHeard; ///< Receipt of the newest heartbeat of this incarnation.
    bool live = false; ///< A heartbeat arrived within InstanceSettings::suspectAfter.
    bool ready = false;
    bool leaving = false;
    std::uint32_t workers = 1;
    std::uint64_t configurationRevision = 0; ///< Revision in force there, from heartbeats and acknowledgements.
};

} // namespace jasminespread
