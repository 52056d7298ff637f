#pragma once

#include "ranges/range_authority.h"
#include "ranges/range_keeper.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace jasminespread::test {

/// A range authority with a store that answers at once and servers that accept every grant. It leads after run().
class LeadingAuthority {
public:
    explicit LeadingAuthority(double fitness = 1)
        : m_authority(LeaderRecord {0, "edge-1", 7, "10.0.0.1:7200", {}}, RangeTimes(), timesWithFitness(fitness), 1)
    {
        auto configuration = std::make_shared<GatewayConfiguration>();
        configuration->services[service] = {service, "/health", 100, true, std::chrono::milliseconds(0)};
        reduce(RangeServicesConfigured {std::move(configuration)});
    }

    /// Puts the first @p count servers in the server list.
    void listServers(std::size_t count)
    {
        auto servers = std::make_shared<ServerList>();
        for (std::size_t i = 0; i < count; ++i) {
            ListedServer& server = servers->emplace_back();
            server.identity = {"i-" + std::to_string(1000000 + i), 1};
            server.service = service;
            server.address = "10.7." + std::to_string(i) + ".14:8382";
            server.slots = 4;
        }
        reduce(RangeServersListed {std::move(servers)});
    }

    /// Sends a report of instance edge-@p index to the leader. @p leaving: servers that it reports as shutting down.
    void report(std::size_t index, double fitness = 1, const std::vector<ServerIdentity>& leaving = {})
    {
        wire::Envelope envelope;
        envelope.mutable_sender()->set_id("edge-" + std::to_string(index));
        envelope.mutable_sender()->set_incarnation(index);
        wire::InstanceReport& report = *envelope.mutable_instance_report();
        report.set_address("10.0.0." + std::to_string(index) + ":7200");
        report.set_store_reachable(true);
        report.set_fitness(static_cast<float>(fitness));
        for (const ServerIdentity& server : leaving) {
            wire::ServerReference& reported = *report.add_leaving_servers();
            reported.set_id(server.id);
            reported.set_born_at(server.startedAtUnixMs);
        }
        reduce(RangePeerMessage {std::move(envelope)});
    }

    /// Stores a record of the next term, as a successor does. Precondition: this instance leads.
    void succeed(const std::string& instance, std::uint64_t incarnation, const std::string& address)
    {
        StoredObject& stored = m_records.at(std::string(leaderRecordName));
        stored = {stored.name, ++m_version,
            encodeLeaderRecord({m_authority.term() + 1, instance, incarnation, address, {"edge-1"}})};
    }

    /// Remembers the records of the store as a copy.
    void copyStore() { m_copy = {m_records, m_version}; }
    /// Returns the store to the copy and begins a new era.
    void restoreStore()
    {
        std::tie(m_records, m_version) = m_copy;
        ++m_era;
    }

    [[nodiscard]] std::uint64_t term() const { return m_authority.term(); }

    /// Handles one event, answers the resulting store calls, and records the resulting grants and messages.
    void reduce(RangeEvent&& event)
    {
        for (RangeEffect& effect : m_authority.reduce({now, std::move(event)})) {
            if (auto* read = std::get_if<ReadRecord>(&effect)) {
                reduce(RecordRead {read->name, now, readRecord(read->name)});
            } else if (auto* write = std::get_if<WriteRecord>(&effect); write != nullptr && !storeAvailable) {
                reduce(RecordWritten {write->name, now, {StoreStatus::Unavailable, 0}});
            } else if (write != nullptr) {
                m_records[write->name] = {write->name, ++m_version, write->value};
                reduce(RecordWritten {write->name, now, {StoreStatus::Ok, m_version, m_era}, write->era});
            } else if (auto* grant = std::get_if<GrantRange>(&effect)) {
                unansweredGrants.push_back(grant->callId);
                grants.push_back(*grant);
            } else if (auto* release = std::get_if<ReleaseRange>(&effect)) {
                unansweredGrants.push_back(release->callId);
            } else if (auto* published = std::get_if<PublishRanges>(&effect)) {
                table = published->table;
            } else if (auto* sent = std::get_if<SendRangePeerMessage>(&effect)) {
                if (unreachableInstances.contains(sent->to)) {
                    reduce(RangeMessageDropped {sent->to});
                } else {
                    messages.push_back(std::move(sent->envelope));
                }
            }
        }
    }

    /// Advances the clock in ticks of 50 ms and answers all grants at each tick.
    void run(Milliseconds duration)
    {
        for (const MonotonicTime end = now + duration; now < end; now += Milliseconds(50)) {
            reduce(RangeTick {});
            answerGrants();
        }
    }

    void answerGrants(GrantResult result = GrantResult::Done)
    {
        for (const std::uint64_t call : std::exchange(unansweredGrants, {})) {
            reduce(RangeCallEnded {call, result, "", false});
            ++answeredGrants;
        }
    }

    static inline const std::string service = "archive";
    MonotonicTime now {std::chrono::hours(1)};
    std::vector<std::uint64_t> unansweredGrants; ///< Call ids of grants and releases that were not answered yet.
    std::vector<GrantRange> grants; ///< All that were sent.
    std::shared_ptr<const RangeTable> table; ///< The latest one; null before the first.
    std::vector<wire::Envelope> messages; ///< Sent to other instances.
    std::size_t answeredGrants = 0;
    std::set<std::string> unreachableInstances; ///< Messages to them are dropped.
    bool storeAvailable = true; ///< Otherwise the store turns all calls of this instance away.

private:
    static LeadershipTimes timesWithFitness(double fitness)
    {
        LeadershipTimes times;
        times.fitness = fitness;
        return times;
    }

    [[nodiscard]] StoreReadResult readRecord(const std::string& name) const
    {
        if (!storeAvailable) {
            return {StoreStatus::Unavailable, {}};
        }
        const auto it = m_records.find(name);
        if (it == m_records.end()) {
            return {StoreStatus::NotFound, {}, m_era};
        }
        return {StoreStatus::Ok, it->second, m_era};
    }

    RangeAuthority m_authority;
    std::map<std::string, StoredObject> m_records;
    std::pair<std::map<std::string, StoredObject>, std::uint64_t> m_copy;
    std::uint64_t m_era = 0;
    std::uint64_t m_version = 0;
};

} // namespace jasminespread::test
