#pragma once

#include <jasminespread/configuration.h>

#include <string>

namespace jasminespread {

/// A valid configuration with two regions, one service and two servers.
[[nodiscard]] inline Configuration sampleConfiguration()
{
    Configuration configuration;
    configuration.deployment = "seatwright";
    configuration.author = "ana";
    configuration.regions = {{"central", {"central-a"}}, {"western", {"western-a", "western-b"}}};
    Service service;
    service.name = "ledger";
    service.grantCheck = GrantCheck::Checked;
    service.classes = {{"interactive", 4}, {"batch", 1}};
    configuration.services = {service};
    configuration.servers = {{"ledger-1", "ledger", "western", "western-a", "127.0.0.1:7001"},
        {"ledger-2", "ledger", "central", "central-a", "127.0.0.1:7002"}};
    configuration.plannedStops = {{"ledger-1", WallTime(Milliseconds(1'796'000'123'000)), Milliseconds(20'000)}};
    configuration.hotKeys = {{"ledger", "route 138", "ledger-2"}};
    configuration.refusalRules = {{"ledger", "batch", 0.5}};
    return configuration;
}

} // namespace jasminespread
