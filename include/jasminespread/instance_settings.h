#pragma once

#include <jasminespread/error.h>
#include <jasminespread/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace jasminespread {

/// Settings of one entry daemon, read from YAML. docs/settings.md lists every field.
struct InstanceSettings {
    std::string instance;
    std::string region;
    std::string failureDomain;

    std::string callerAddress; ///< IP address and port; shared by all workers.
    std::string operatorAddress;
    std::string controlAddress;
    std::string forwardAddress; ///< Worker i listens on this port plus i.
    std::string platformUrl;
    std::uint32_t workers = 1;

    Milliseconds heartbeatInterval {200};
    Milliseconds suspectAfter {1000}; ///< Time without heartbeats after which a standby takes over.
    Milliseconds thirdPartyAfter {1500}; ///< Silence of both primary and standby until a third instance takes over.
    Milliseconds grantInterval {500};
    Milliseconds grantTimeout {300};
    Milliseconds driftMargin {100};
    Milliseconds clockSkewMargin {500}; ///< Largest assumed difference between wall clocks.
    Milliseconds storeTimeout {1000};
    Milliseconds storePollInterval {500};
    Milliseconds instanceListInterval {1000};
    Milliseconds confirmTimeout {3000}; ///< Time limit for an accepted configuration to come into force.
    Milliseconds shutdownTimeout {10'000};

    std::uint64_t maxBodyBytes = 1'048'576;
    std::uint32_t windowEntries = 65'536; ///< Request ids remembered per placement group.
    std::uint64_t windowBytes = 16'777'216; ///< Stored answers per placement group.
    std::uint32_t queueLimit = 256; ///< Waiting requests per worker and server.
    double retryBudget = 0.1; ///< Retries as a share of first attempts.
    std::uint32_t maxConcurrentRequests = 20'000; ///< Per worker; more are refused.

    std::string logLevel = "info";
    std::string logFile; ///< Empty: standard error.

    struct PeerAddress {
        std::string control;
        std::string forward;
    };
    /// Addresses that replace the listed ones, by peer instance; for example those of a relay.
    std::map<std::string, PeerAddress> addressOverrides;
};

/// Parses and checks settings. @p file names the source in errors. Unknown fields are errors. Thread-safe.
[[nodiscard]] Result<InstanceSettings> parseInstanceSettings(std::string_view yaml, const std::string& file);
/// Reads and parses the file at @p path. Fails with NotFound or InvalidInput. Thread-safe.
[[nodiscard]] Result<InstanceSettings> loadInstanceSettings(const std::string& path);

} // namespace jasminespread
