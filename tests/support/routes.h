#pragma once

#include <jasminespread/routing_snapshot.h>

#include <memory>
#include <string>

namespace jasminespread::test {

/// Incarnation of the local instance in makeRoutes().
inline constexpr std::uint64_t localIncarnation = 77;

/// Routes of the local instance "entry-1" and the peer "entry-2", one worker each, and the servers "server-1" and
/// "server-2". The service "ledger" has one group with one partition, owned by server-1 with token 41 in term 3. The
/// local instance is its primary, with authority until @p authority.
inline std::shared_ptr<RoutingSnapshot> makeRoutes(GrantCheck check, std::shared_ptr<AuthorityDeadline> authority)
{
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->ready = true;
    snapshot->self = {"entry-1", localIncarnation};
    snapshot->liveInstances = 2;
    snapshot->servers.push_back({"server-1", "127.0.0.1:1001", "western", 4, 110, check});
    snapshot->servers.push_back({"server-2", "127.0.0.1:1002", "western", 4, 110, check});
    snapshot->instances.push_back({"entry-1", localIncarnation, "western", "127.0.0.1:2001", 1, true});
    snapshot->instances.push_back({"entry-2", 88, "western", "127.0.0.2:2001", 1, true});
    ServiceRoute& service = snapshot->services["ledger"];
    service.settings.name = "ledger";
    service.settings.grantCheck = check;
    service.settings.partitions = 1;
    service.settings.groups = 1;
    service.settings.defaultDeadline = Milliseconds(1000);
    service.groups.resize(1);
    GroupRoute& group = service.groups[0];
    group.group = {"ledger", 0};
    group.term = 3;
    group.primary = 0;
    group.authorityUntil = std::move(authority);
    group.servingSince = WallTime(Milliseconds(1'796'000'000'000));
    group.partitions[0] = {0, 41};
    return snapshot;
}

} // namespace jasminespread::test
