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

/// Leases that this instance grants, per backend server and group.
class ServerLeases {
public:
    /// Returns the authority deadline of a group.
    using AuthorityOf = std::function<MonotonicTime(const GroupName&)>;

    /// What a server's answers to grants show.
    struct ServerHealth {
        bool contacted = false; ///< At least one answer arrived.
        bool lost = false; ///< The last two grants were not answered.
        ServerState state = ServerState::Serving;
    };

    /// Takes over the declared servers. Servers no longer declared stay while they hold a lease. A server with a new
    /// address may be another process, so it gets no grant before those of the old address have ended.
    void configure(const Configuration& configuration);
    /// Names the services whose servers are contacted even without a lease, to learn their health.
    void probe(std::set<std::string> services) { m_probed = std::move(services); }

    /// @name Leases
    /// @{
    /// Sets the partitions to be granted to @p server; a changed set gets a new revision and is sent at once.
    void setPartitions(const GroupName& group, std::uint64_t term, const std::string& server, Milliseconds length,
        std::vector<GrantedPartition> partitions);
    /// Forgets all leases of a group that this instance no longer serves.
    void dropGroup(const GroupName& group);
    /// Sends the batches that are due.
    void send(const ReduceContext& context, const AuthorityOf& authorityOf);
    /// Returns the groups for which the server has accepted a higher term.
    [[nodiscard]] std::vector<GroupName> receive(const ReduceContext& context, const GrantAnswered& event);
    /// @}

    /// @name Questions
    /// @{
    [[nodiscard]] ServerHealth health(const std::string& server) const;
    /// True when the server accepted a grant of the group's present term.
    [[nodiscard]] bool confirmed(const GroupName& group, const std::string& server) const;
    /// True when the server accepted the present set, which contains the partition with this token.
    [[nodiscard]] bool holds(const GroupName& group, const std::string& server, const GrantedPartition& granted) const;
    /// True when the server accepted the present set, which lacks the partition, and reported it not busy.
    [[nodiscard]] bool releasedByAnswer(
        const GroupName& group, const std::string& server, std::uint32_t partition) const;
    /// Time after which no grant of this instance to the server includes the partition.
    [[nodiscard]] MonotonicTime bound(const GroupName& group, const std::string& server, std::uint32_t partition) const;
    /// Time after which no grant of this instance to the server is valid, for any group.
    [[nodiscard]] MonotonicTime bound(const std::string& server) const;
    /// @}

private:
    struct Lease {
        std::uint64_t term = 0;
        std::uint64_t revision = 0;
        Milliseconds length {0};
        std::vector<GrantedPartition> partitions;
        MonotonicTime bound; ///< End of every grant sent in this term.
        MonotonicTime earlierSetsBound; ///< End of every grant sent with an earlier set.
        std::uint64_t acceptedRevision = 0;
        std::set<std::uint32_t> busy;
        bool sendFull = true;

        /// True when the server has accepted that it has no partitions and finished their requests.
        [[nodiscard]] bool released() const
        {
            return partitions.empty() && acceptedRevision == revision && busy.empty();
        }
    };

    struct Server {
        std::string address;
        std::string service;
        bool declared = true;
        std::string nonce;
        MonotonicTime nonceReceivedAt;
        std::uint64_t incarnation = 0; ///< 0: never answered.
        ServerState state = ServerState::Serving;
        std::uint32_t failures = 0; ///< Unanswered grants since the last answer.
        bool inFlight = false;
        bool urgent = false;
        std::optional<MonotonicTime> sentAt;
        MonotonicTime retryAt;
        std::map<GroupName, Lease> leases;
    };

    [[nodiscard]] bool due(const ReduceContext& context, const Server& server) const;
    static void sendBatch(
        const ReduceContext& context, const std::string& id, Server& server, const AuthorityOf& authorityOf);
    static void receiveReply(
        const ReduceContext& context, Server& server, const GrantAnswered& event, std::vector<GroupName>& staleGroups);
    static void receiveResult(const ReduceContext& context, Server& server, const GroupGrant& sent,
        const GroupGrantResult& result, std::vector<GroupName>& staleGroups);
    [[nodiscard]] static bool activeLeases(const Server& server);
    [[nodiscard]] static bool busyLeases(const Server& server);
    [[nodiscard]] const Lease* find(const GroupName& group, const std::string& server) const;

    std::map<std::string, Server> m_servers;
    /// Newest revision of any lease. Shared, so that a group that is dropped and served again in the same term does not
    /// start with a revision that its servers have seen.
    std::uint64_t m_revision = 0;
    std::set<std::string> m_probed;
};

} // namespace jasminespread
