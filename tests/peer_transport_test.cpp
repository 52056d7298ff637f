#include "loopback_address.h"
#include "peer/peer_transport.h"

#include <jasminespread/time.h>

#include <gtest/gtest.h>

#include <functional>
#include <thread>
#include <zmq.h>

namespace jasminespread {

namespace {

InstanceSettings settingsOf(const std::string& id, const std::string& host)
{
    InstanceSettings settings;
    settings.instance = id;
    settings.controlAddress = freeLoopbackAddress(host);
    return settings;
}

InstanceEntry entryOf(const InstanceSettings& settings)
{
    InstanceEntry entry;
    entry.id = settings.instance;
    entry.controlAddress = settings.controlAddress;
    return entry;
}

class PeerTransportTest : public testing::Test {
protected:
    ~PeerTransportTest() override { g_main_context_unref(m_context); }

    /// Runs the main context until @p done returns true, for at most 5 s. Does not call @p done again after that.
    bool runUntil(const std::function<bool()>& done)
    {
        const MonotonicTime end = monotonicNow() + std::chrono::seconds(5);
        while (monotonicNow() < end) {
            if (done()) {
                return true;
            }
            if (!g_main_context_iteration(m_context, FALSE)) {
                g_usleep(1000);
            }
        }
        return false;
    }

    /// Sends raw bytes to @p address from the IP address @p from.
    static void sendRaw(const std::string& from, const std::string& address, const std::string& bytes)
    {
        void* context = zmq_ctx_new();
        void* push = zmq_socket(context, ZMQ_PUSH);
        const int linger = 2000;
        zmq_setsockopt(push, ZMQ_LINGER, &linger, sizeof(linger));
        ASSERT_EQ(zmq_connect(push, ("tcp://" + from + ":0;" + address).c_str()), 0);
        ASSERT_GE(zmq_send(push, bytes.data(), bytes.size(), 0), 0);
        zmq_close(push);
        zmq_ctx_term(context);
    }

    static std::string bytesOf(std::uint32_t version)
    {
        wire::Envelope envelope;
        envelope.set_protocol_version(version);
        envelope.mutable_sender()->set_id("a");
        envelope.mutable_sender()->set_incarnation(1);
        envelope.mutable_heartbeat()->set_sequence(1);
        return envelope.SerializeAsString();
    }

    GMainContext* m_context = g_main_context_new();
    MetricsRegistry m_metrics;
    InstanceSettings m_first = settingsOf("a", "127.0.0.2");
    InstanceSettings m_second = settingsOf("b", "127.0.0.3");
    std::vector<wire::Envelope> m_received;
    PeerTransport m_sender {m_first, 71, m_metrics, [](const wire::Envelope&) {}};
    PeerTransport m_receiver {
        m_second, 72, m_metrics, [this](wire::Envelope envelope) { m_received.push_back(std::move(envelope)); }};
};

} // namespace

// Guards against messages that arrive without their content or with a wrong sender, incarnation or version.
TEST_F(PeerTransportTest, DeliversEnvelopeWithSenderAndVersion)
{
    ASSERT_TRUE(m_sender.start(m_context));
    ASSERT_TRUE(m_receiver.start(m_context));
    m_sender.setPeers({entryOf(m_first), entryOf(m_second)});
    m_receiver.setPeers({entryOf(m_first), entryOf(m_second)});
    wire::Envelope envelope;
    envelope.mutable_heartbeat()->set_sequence(9);
    ASSERT_TRUE(runUntil([&] { return m_sender.send("b", envelope); }));
    ASSERT_TRUE(runUntil([&] { return !m_received.empty(); }));
    EXPECT_EQ(m_received[0].protocol_version(), peerProtocolVersion);
    EXPECT_EQ(m_received[0].sender().id(), "a");
    EXPECT_EQ(m_received[0].sender().incarnation(), 71U);
    EXPECT_EQ(m_received[0].heartbeat().sequence(), 9U);
    EXPECT_FALSE(m_sender.send("unknown", envelope));
}

// Guards against a main loop that sleeps while messages wait, because ZMQ_FD only signals changes.
TEST_F(PeerTransportTest, WakesSleepingMainLoopForEveryMessage)
{
    ASSERT_TRUE(m_receiver.start(m_context));
    m_receiver.setPeers({entryOf(m_first)});
    for (std::size_t i = 1; i <= 20; ++i) {
        std::thread sender([&] { sendRaw("127.0.0.2", m_second.controlAddress, bytesOf(peerProtocolVersion)); });
        GSource* timeoutSource = g_timeout_source_new(5000);
        g_source_set_callback(
            timeoutSource, [](gpointer) -> gboolean { return G_SOURCE_REMOVE; }, nullptr, nullptr);
        g_source_attach(timeoutSource, m_context);
        while (m_received.size() < i && !g_source_is_destroyed(timeoutSource)) {
            g_main_context_iteration(m_context, TRUE);
        }
        sender.join();
        g_source_destroy(timeoutSource);
        g_source_unref(timeoutSource);
        ASSERT_EQ(m_received.size(), i);
    }
}

// Guards against accepting messages from unlisted addresses, undecodable bytes and messages of other versions.
TEST_F(PeerTransportTest, DropsUnlistedAddressGarbageAndOtherVersions)
{
    ASSERT_TRUE(m_receiver.start(m_context));
    m_receiver.setPeers({entryOf(m_first)});
    sendRaw("127.0.0.9", m_second.controlAddress, bytesOf(peerProtocolVersion));
    ASSERT_TRUE(runUntil([&] { return m_receiver.rejectedMessages() == 1; }));
    sendRaw("127.0.0.2", m_second.controlAddress, "\xff\xff garbage");
    ASSERT_TRUE(runUntil([&] { return m_receiver.rejectedMessages() == 2; }));
    sendRaw("127.0.0.2", m_second.controlAddress, bytesOf(peerProtocolVersion + 1));
    ASSERT_TRUE(runUntil([&] { return m_receiver.rejectedMessages() == 3; }));
    EXPECT_TRUE(m_received.empty());
    // The same bytes are accepted from a listed address with the right version, so the drops above had the intended
    // reasons.
    sendRaw("127.0.0.2", m_second.controlAddress, bytesOf(peerProtocolVersion));
    ASSERT_TRUE(runUntil([&] { return m_received.size() == 1; }));
    EXPECT_EQ(m_receiver.rejectedMessages(), 3U);
}

// Guards against an oversized message that is buffered or prevents the delivery of later messages.
TEST_F(PeerTransportTest, DropsOversizedMessageAndDeliversTheNext)
{
    ASSERT_TRUE(m_receiver.start(m_context));
    m_receiver.setPeers({entryOf(m_first)});
    sendRaw("127.0.0.2", m_second.controlAddress, std::string(5'000'000, 'x'));
    sendRaw("127.0.0.2", m_second.controlAddress, bytesOf(peerProtocolVersion));
    ASSERT_TRUE(runUntil([&] { return m_received.size() == 1; }));
}

// Guards against dropping messages from a relay whose address is set in addressOverrides.
TEST_F(PeerTransportTest, UsesAndAcceptsOverriddenAddress)
{
    m_first.addressOverrides["c"] = {m_second.controlAddress, ""};
    m_second.addressOverrides["a"] = {"127.0.0.7:1", ""};
    std::vector<wire::Envelope> received;
    PeerTransport sender(m_first, 71, m_metrics, [](const wire::Envelope&) {});
    PeerTransport receiver(
        m_second, 72, m_metrics, [&](wire::Envelope envelope) { received.push_back(std::move(envelope)); });
    ASSERT_TRUE(receiver.start(m_context));
    receiver.setPeers({});
    sendRaw("127.0.0.7", m_second.controlAddress, bytesOf(peerProtocolVersion));
    ASSERT_TRUE(runUntil([&] { return received.size() == 1; }));

    InstanceEntry relayed;
    relayed.id = "c";
    relayed.controlAddress = "127.0.0.4:1";
    sender.setPeers({relayed});
    receiver.setPeers({entryOf(m_first)});
    wire::Envelope envelope;
    envelope.mutable_heartbeat()->set_sequence(5);
    ASSERT_TRUE(runUntil([&] { return sender.send("c", envelope); }));
    ASSERT_TRUE(runUntil([&] { return received.size() == 2; })) << receiver.rejectedMessages() << " dropped";
}

// Guards against a second daemon that starts without an error on the same control address.
TEST_F(PeerTransportTest, ReportsAddressInUse)
{
    ASSERT_TRUE(m_receiver.start(m_context));
    PeerTransport other(m_second, 73, m_metrics, [](const wire::Envelope&) {});
    const ErrorKind kind = handleError(
        [&]() -> Result<ErrorKind> {
            BOOST_LEAF_CHECK(other.start(m_context));
            return ErrorKind::Internal;
        },
        [](const Error& error) { return error.kind; });
    EXPECT_EQ(kind, ErrorKind::AddressInUse);
}

} // namespace jasminespread
