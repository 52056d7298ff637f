// Measures the resource use of one instance's control reducer: processor time and bytes per second by number of peers,
// and processor time and memory by number of placement groups. docs/CAPACITY.md uses the results.
#include <jasminespread/control_reducer.h>

#include <boost/program_options.hpp>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <unistd.h>

namespace jasminespread {
namespace {

constexpr std::uint64_t selfIncarnation = 1;
constexpr Milliseconds tickInterval {50};
constexpr Milliseconds warmUpDuration {3000};
constexpr Milliseconds measuredDuration {10'000};
constexpr std::uint32_t regionCount = 7;
constexpr std::uint32_t failureDomainCount = 23;
constexpr std::uint32_t partitionsPerGroup = 32;
constexpr std::uint32_t serversPerRegion = 12;

struct ClusterSize {
    std::uint32_t instances = 10;
    std::uint32_t groups = 4;
};

struct ResourceUse {
    double cpuPercent = 0; ///< Share of one core.
    double sentBytesPerSecond = 0;
    double receivedBytesPerSecond = 0;
    double grantsPerSecond = 0;
    double storeCallsPerSecond = 0;
    double residentMegabytes = 0; ///< Growth of the resident set during SimulatedEnvironment::run().
};

double threadCpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

double residentMegabytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

std::string regionName(std::uint32_t i) { return "region" + std::to_string(i % regionCount); }

std::string instanceName(std::uint32_t i) { return "instance" + std::to_string(i); }

/// Simulates everything around one reducer: peers that answer heartbeats, backend servers that accept grants, and a
/// store that answers at once.
class SimulatedEnvironment {
public:
    explicit SimulatedEnvironment(const ClusterSize& size)
        : m_size(size)
        , m_reducer(settings(), selfIncarnation)
    {
        storeConfiguration();
        storeGroups();
    }

    ResourceUse run()
    {
        const double residentMegabytesBefore = residentMegabytes();
        applyEvent(Event(InstanceListReceived {listInstances()}));
        advanceTime(warmUpDuration);
        m_resourceUse = {};
        m_cpuSeconds = 0;
        advanceTime(measuredDuration);
        const double seconds = std::chrono::duration<double>(measuredDuration).count();
        m_resourceUse.cpuPercent = 100 * m_cpuSeconds / seconds;
        m_resourceUse.sentBytesPerSecond /= seconds;
        m_resourceUse.receivedBytesPerSecond /= seconds;
        m_resourceUse.grantsPerSecond /= seconds;
        m_resourceUse.storeCallsPerSecond /= seconds;
        m_resourceUse.residentMegabytes = residentMegabytes() - residentMegabytesBefore;
        return m_resourceUse;
    }

private:
    static InstanceSettings settings()
    {
        InstanceSettings instanceSettings;
        instanceSettings.instance = instanceName(0);
        instanceSettings.region = regionName(0);
        instanceSettings.failureDomain = "domain0";
        return instanceSettings;
    }

    void storeConfiguration()
    {
        Configuration configuration;
        configuration.deployment = "capacity";
        configuration.revision = 1;
        Service service;
        service.name = "service";
        service.grantCheck = GrantCheck::Checked;
        service.groups = m_size.groups;
        service.partitions = m_size.groups * partitionsPerGroup;
        service.classes = {{"default", 1}};
        configuration.services.push_back(service);
        for (std::uint32_t i = 0; i < regionCount; ++i) {
            Region region {regionName(i), {}};
            for (std::uint32_t domain = i; domain < failureDomainCount; domain += regionCount) {
                region.failureDomains.push_back("domain" + std::to_string(domain));
            }
            configuration.regions.push_back(region);
        }
        for (std::uint32_t i = 0; i < serversPerRegion; ++i) {
            configuration.servers.push_back({"server" + std::to_string(i), "service", regionName(0), "domain0",
                "127.0.0.1:" + std::to_string(9000 + i)});
        }
        m_store["config"]["current"] = {"current", 1, encodeConfiguration(configuration)};
    }

    void storeGroups()
    {
        for (std::uint32_t i = 0; i < m_size.groups; ++i) {
            GroupRecord record;
            record.group = {"service", i};
            record.homeRegion = regionName(0);
            record.term = 1;
            record.primary = {instanceName(0), selfIncarnation};
            record.standby = InstanceReference {instanceName(regionCount), 1 + regionCount};
            record.nextToken = partitionsPerGroup + 1;
            for (std::uint32_t k = 0; k < partitionsPerGroup; ++k) {
                record.partitions.push_back(
                    {k * m_size.groups + i, "server" + std::to_string(k % serversPerRegion), k + 1});
            }
            const std::string name = toText(record.group);
            m_store["group"][name] = {name, 2 + i, encodeGroupRecord(record)};
        }
    }

    InstanceListResult listInstances() const
    {
        InstanceListResult result {StoreStatus::Ok, {}};
        for (std::uint32_t i = 0; i < m_size.instances; ++i) {
            result.entries.push_back({instanceName(i), InstanceRole::Entry, regionName(i),
                "domain" + std::to_string(i % failureDomainCount), ListedState::Live, "127.0.0.1:1", "127.0.0.1:2"});
        }
        return result;
    }

    void advanceTime(Milliseconds duration)
    {
        const MonotonicTime end = m_now + duration;
        while (m_now < end) {
            m_now += tickInterval;
            applyEvent(Event(Tick {}));
            if (++m_tickCount % 4 == 0) {
                receiveHeartbeats();
            }
        }
    }

    void receiveHeartbeats()
    {
        for (std::uint32_t i = 1; i < m_size.instances; ++i) {
            wire::Envelope envelope = envelopeFrom(i);
            wire::Heartbeat& heartbeat = *envelope.mutable_heartbeat();
            heartbeat.set_sequence(m_tickCount);
            heartbeat.set_configuration_revision(1);
            heartbeat.set_workers(1);
            heartbeat.set_ready(true);
            receiveMessage(std::move(envelope));
        }
    }

    static wire::Envelope envelopeFrom(std::uint32_t i)
    {
        wire::Envelope envelope;
        envelope.set_protocol_version(1);
        envelope.mutable_sender()->set_id(instanceName(i));
        envelope.mutable_sender()->set_incarnation(1 + i);
        return envelope;
    }

    void receiveMessage(wire::Envelope envelope)
    {
        m_resourceUse.receivedBytesPerSecond += static_cast<double>(envelope.ByteSizeLong());
        applyEvent(Event(PeerMessageReceived {std::move(envelope)}));
    }

    /// Applies one event to the reducer, adds up the processor time, and executes the resulting effects.
    void applyEvent(const Event& event)
    {
        const double cpuSecondsBefore = threadCpuSeconds();
        Effects effects = m_reducer.reduce({m_now, WallTime(Milliseconds(1'800'000'000'000)), event});
        m_cpuSeconds += threadCpuSeconds() - cpuSecondsBefore;
        for (Effect& effect : effects) {
            std::visit([this](auto& alternative) { execute(alternative); }, effect);
        }
    }

    void execute(SendPeerMessage& effect)
    {
        m_resourceUse.sentBytesPerSecond += static_cast<double>(effect.envelope.ByteSizeLong());
        if (!effect.envelope.has_heartbeat()) {
            return;
        }
        const auto i = static_cast<std::uint32_t>(std::stoul(effect.to.substr(std::string("instance").size())));
        wire::Envelope reply = envelopeFrom(i);
        reply.mutable_heartbeat_reply()->set_sequence(effect.envelope.heartbeat().sequence());
        *reply.mutable_heartbeat_reply()->mutable_backed() = effect.envelope.heartbeat().backing_requests();
        receiveMessage(std::move(reply));
    }

    void execute(SendGrants& effect)
    {
        m_resourceUse.grantsPerSecond += 1;
        GrantReply reply {effect.batch.server, 7, "nonce" + std::to_string(++m_nonceCount), ServerState::Serving, {}};
        for (const GroupGrant& grant : effect.batch.grants) {
            const GrantStatus status = effect.batch.nonce.empty() ? GrantStatus::UnknownNonce : GrantStatus::Accepted;
            reply.results.push_back({grant.group, status, grant.term, grant.revision, {}});
        }
        applyEvent(Event(GrantAnswered {effect.batch.server, effect.batch, m_now, reply}));
    }

    void execute(ReadInstanceList&) { applyEvent(Event(InstanceListReceived {listInstances()})); }

    void execute(ListObjects& effect)
    {
        m_resourceUse.storeCallsPerSecond += 1;
        StoreListResult result {StoreStatus::Ok, m_size.groups + 2, {}};
        for (const auto& [name, object] : m_store[effect.kind]) {
            result.objects.push_back(object);
        }
        applyEvent(Event(StoreListed {effect.kind, m_now, result}));
    }

    void execute(ReadObject& effect)
    {
        m_resourceUse.storeCallsPerSecond += 1;
        const StoredObject object = m_store[effect.kind][effect.name];
        const StoreStatus status = object.version == 0 ? StoreStatus::NotFound : StoreStatus::Ok;
        applyEvent(Event(StoreRead {effect.kind, effect.name, m_now, {status, object}}));
    }

    void execute(WriteObject& effect)
    {
        m_resourceUse.storeCallsPerSecond += 1;
        StoredObject& object = m_store[effect.kind][effect.name];
        object = {effect.name, ++m_writeCount + 1'000'000, effect.value};
        applyEvent(
            Event(StoreWritten {effect.kind, effect.name, effect.changeId, m_now, {StoreStatus::Ok, object.version}}));
    }

    template <typename IgnoredEffect> void execute(IgnoredEffect&) { }

    ClusterSize m_size;
    ControlReducer m_reducer;
    MonotonicTime m_now {std::chrono::seconds(1000)};
    std::map<std::string, std::map<std::string, StoredObject>> m_store;
    ResourceUse m_resourceUse;
    double m_cpuSeconds = 0;
    std::uint64_t m_tickCount = 0;
    std::uint64_t m_nonceCount = 0;
    std::uint64_t m_writeCount = 0;
};

void printRow(const ClusterSize& size, std::vector<ResourceUse> runs)
{
    const auto byCpu = [](const ResourceUse& a, const ResourceUse& b) { return a.cpuPercent < b.cpuPercent; };
    std::sort(runs.begin(), runs.end(), byCpu);
    const ResourceUse& median = runs[runs.size() / 2];
    std::cout << std::fixed << std::setprecision(3) << size.instances << '\t' << size.groups << '\t'
              << median.cpuPercent << '\t' << runs.front().cpuPercent << ".." << runs.back().cpuPercent << '\t'
              << std::setprecision(1) << median.sentBytesPerSecond / 1000 << '\t'
              << median.receivedBytesPerSecond / 1000 << '\t' << median.grantsPerSecond << '\t'
              << median.storeCallsPerSecond << '\t' << runs.front().residentMegabytes << '\n';
}

void measure(const std::vector<ClusterSize>& sizes, int repeats)
{
    for (const ClusterSize& size : sizes) {
        std::vector<ResourceUse> runs;
        runs.reserve(static_cast<std::size_t>(repeats));
        for (int i = 0; i < repeats; ++i) {
            runs.push_back(SimulatedEnvironment(size).run());
        }
        printRow(size, runs);
    }
}

} // namespace
} // namespace jasminespread

int main(int argc, char** argv)
{
    using namespace jasminespread;
    int repeats = 5;
    boost::program_options::options_description options("capacity-benchmark: resource use of the control reducer");
    options.add_options()("help", "show this text")("repeats",
        boost::program_options::value<int>(&repeats)->default_value(repeats), "runs per cluster size, at least 1");
    boost::program_options::variables_map values;
    try {
        boost::program_options::store(boost::program_options::parse_command_line(argc, argv, options), values);
        boost::program_options::notify(values);
    } catch (const boost::program_options::error& error) {
        std::cerr << "capacity-benchmark: " << error.what() << "; see --help\n";
        return 2;
    }
    if (values.count("help") != 0 || repeats < 1) {
        std::cout << options;
        return values.count("help") != 0 ? 0 : 2;
    }
    std::cout << "peers\tgroups\tcpu%\tspread\tsent kB/s\treceived kB/s\tgrants/s\tstore calls/s\tMB\n";
    measure({{10, 4}, {50, 4}, {200, 4}, {600, 4}, {1200, 4}}, repeats);
    measure({{10, 1}, {10, 16}, {10, 64}, {10, 256}}, repeats);
    return 0;
}
