#pragma once

#include "control/reduce_context.h"

#include <jasminespread/event.h>
#include <jasminespread/grant.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jasminespread {

/// The leases that this instance grants to backend servers, one per server and group.
class ServerLeases {
public:
    /// Returns the authority deadline of a group.
    using AuthorityDeadlineOf = std::function<MonotonicTime(const GroupName&)>;

    /// State of a server as seen in its answers to grants.
    struct ServerHealth {
        bool contacted = false; ///< At least one answer arrived.
        bool lost = false; ///< The last two grants got no answer.
        ServerState state = ServerState::Serving;
    };

    /// Replaces the set of configured servers. Servers that are no longer configured stay while they hold a lease. A
    /// server with a new address may be another process, so it gets no grant before those to the old address have
    /// ended.
    void configure(const Configuration& configuration);
    /// Sets the services whose servers are contacted even without a lease, to learn their health.
    void setProbedServices(std::set<std::string> services) { m_probedServices = std::move(services); }

    /// @name Leases
    /// @{
    /// Sets the partitions to grant to @p server. A changed set gets a new revision and is sent at once.
    void setPartitions(const GroupName& group, std::uint64_t term, const std::string& server,
        Milliseconds leaseDuration, std::vector<GrantedPartition> partitions);
    /// Removes all leases of a group that this instance no longer serves.
    void dropGroup(const GroupName& group);
    /// Sends the grant batches that are due.
    void sendDueGrants(const ReduceContext& context, const AuthorityDeadlineOf& authorityDeadlineOf);
    /// Handles a server's answer. Returns the groups for which the server has accepted a higher term.
    [[nodiscard]] std::vector<GroupName> receiveAnswer(const ReduceContext& context, const GrantAnswered& event);
    /// @}

    /// @name Queries
    /// @{
    /// Returns the state of a server; one that is neither configured nor holds a lease counts as lost.
    [[nodiscard]] ServerHealth health(const std::string& server) const;
    /// True when the server has accepted a grant of the group's current term.
    [[nodiscard]] bool hasAcceptedTerm(const GroupName& group, const std::string& server) const;
    /// True when the server has accepted the current set of partitions and the set contains @p granted.
    [[nodiscard]] bool holdsPartition(
        const GroupName& group, const std::string& server, const GrantedPartition& granted) const;
    /// True when the server has accepted the current set, which does not contain the partition, and reported that no
    /// request for the partition is in flight.
    [[nodiscard]] bool releaseConfirmed(
        const GroupName& group, const std::string& server, std::uint32_t partition) const;
    /// Time after which no grant of this instance to the server is valid for the partition.
    [[nodiscard]] MonotonicTime latestGrantEnd(
        const GroupName& group, const std::string& server, std::uint32_t partition) const;
    /// Time after which no grant of this instance to the server is valid for any group.
    [[nodiscard]] MonotonicTime latestGrantEnd(const std::string& server) const;
    /// @}

private:
    struct Lease {
        std::uint64_t term = 0;
        std::uint64_t revision = 0;
        Milliseconds leaseDuration {0};
        std::vector<GrantedPartition> partitions;
        MonotonicTime latestEnd; ///< Latest end of the grants sent in this term.
        MonotonicTime latestEndOfEarlierSets; ///< Latest end of the grants sent with an earlier set.
        std::uint64_t acceptedRevision = 0;
        std::set<std::uint32_t> busyPartitions; ///< Released partitions with requests in flight.
        bool sendFullSet = true;

        /// True when the server has accepted an empty set and has finished the requests for its former partitions.
        [[nodiscard]] bool released() const
        {
            return partitions.empty() && acceptedRevision == revision && busyPartitions.empty();
        }
    };

    struct Server {
        std::string address;
        std::string service;
        bool configured = true;
        std::string nonce;
        MonotonicTime nonceReceivedAt;
        std::uint64_t incarnation = 0; ///< 0 until the first answer.
        ServerState state = ServerState::Serving;
        std::uint32_t consecutiveFailures = 0; ///< Grants without an answer since the last answer.
        bool inFlight = false;
        bool sendAtOnce = false;
        std::optional<MonotonicTime> sentAt;
        MonotonicTime retryAt;
        std::map<GroupName, Lease> leases;
    };

    [[nodiscard]] bool isDue(const ReduceContext& context, const Server& server) const;
    static void sendBatch(const ReduceContext& context, const std::string& id, Server& server,
        const AuthorityDeadlineOf& authorityDeadlineOf);
    static void receiveReply(
        const ReduceContext& context, Server& server, const GrantAnswered& event, std::vector<GroupName>& staleGroups);
    static void receiveResult(const ReduceContext& context, Server& server, const GroupGrant& sentGrant,
        const GroupGrantResult& result, std::vector<GroupName>& staleGroups);
    [[nodiscard]] static bool hasActiveLeases(const Server& server);
    [[nodiscard]] static bool hasBusyPartitions(const Server& server);
    [[nodiscard]] const Lease* find(const GroupName& group, const std::string& server) const;

    std::map<std::string, Server> m_servers;
    /// Newest revision of any lease. It is shared by all groups, so that a group that is dropped and then served again
    /// in the same term does not reuse a revision that its servers know.
    std::uint64_t m_revision = 0;
    std::set<std::string> m_probedServices;
};

} // namespace jasminespread
