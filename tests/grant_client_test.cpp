#include "grants/grant_client.h"
#include "loopback_address.h"

#include <gtest/gtest.h>

#include <libsoup/soup.h>

#include <functional>
#include <string>
#include <vector>

namespace jasminespread {

namespace {

/// Runs a backend server on the test's main context; m_answer produces its answers to grants.
class GrantClientTest : public testing::Test {
protected:
    GrantClientTest()
    {
        g_main_context_push_thread_default(m_context);
        m_server = soup_server_new(nullptr, nullptr);
        soup_server_add_handler(m_server, "/control/grants", onRequest, this, nullptr);
        m_address = freeLoopbackAddress();
        GSocketAddress* address = g_inet_socket_address_new_from_string(
            "127.0.0.1", static_cast<guint>(std::stoul(m_address.substr(m_address.rfind(':') + 1))));
        EXPECT_TRUE(soup_server_listen(m_server, address, static_cast<SoupServerListenOptions>(0), nullptr));
        g_object_unref(address);
        m_batch.server = "planner1";
        m_batch.address = m_address;
        m_batch.granter = {"a", 7};
        m_batch.grants.push_back({{"desk", 2}, 3, 1, Milliseconds(2000), {}});
        m_reply.server = "planner1";
        m_reply.incarnation = 5;
        m_reply.nonce = "n1";
    }
    ~GrantClientTest() override
    {
        soup_server_disconnect(m_server);
        g_object_unref(m_server);
        while (g_main_context_iteration(m_context, FALSE) != FALSE) { }
        g_main_context_pop_thread_default(m_context);
        g_main_context_unref(m_context);
    }

    static void onRequest(SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer data)
    {
        auto* self = static_cast<GrantClientTest*>(data);
        const SoupMessageBody* body = soup_server_message_get_request_body(message);
        self->m_bodies.emplace_back(body->data, static_cast<std::size_t>(body->length));
        GSocketAddress* remote = soup_server_message_get_remote_address(message);
        self->m_ports.push_back(g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(remote)));
        self->m_answer(message);
    }

    static void respond(SoupServerMessage* message, const std::string& text)
    {
        soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
        soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, text.data(), text.size());
    }

    /// Sends the batch and returns the reply.
    std::optional<GrantReply> call(GrantClient& client)
    {
        bool done = false;
        std::optional<GrantReply> result;
        client.send(m_batch, [&](std::optional<GrantReply> reply) {
            EXPECT_FALSE(done);
            done = true;
            result = std::move(reply);
        });
        EXPECT_FALSE(done);
        while (!done) {
            g_main_context_iteration(m_context, TRUE);
        }
        return result;
    }

    GMainContext* m_context = g_main_context_new();
    SoupServer* m_server = nullptr;
    std::string m_address;
    GrantBatch m_batch;
    GrantReply m_reply;
    std::vector<std::string> m_bodies;
    std::vector<unsigned> m_ports;
    std::function<void(SoupServerMessage*)> m_answer
        = [this](SoupServerMessage* message) { respond(message, encodeGrantReply(m_reply)); };
};

} // namespace

// Guards against losing content of a grant, and against opening a connection per grant.
TEST_F(GrantClientTest, SendsBatchAndReusesConnection)
{
    GrantClient client(Milliseconds(2000));
    EXPECT_EQ(call(client), m_reply);
    EXPECT_EQ(call(client), m_reply);
    EXPECT_EQ(m_bodies, std::vector<std::string>(2, encodeGrantBatch(m_batch)));
    EXPECT_EQ(m_ports.at(0), m_ports.at(1));
}

// Guards against accepting another server's answer as proof that this one released a partition.
TEST_F(GrantClientTest, DropsUnreadableAndForeignReplies)
{
    GrantClient client(Milliseconds(2000));
    m_reply.server = "planner2";
    EXPECT_FALSE(call(client));
    m_answer = [](SoupServerMessage* message) { respond(message, "not JSON"); };
    EXPECT_FALSE(call(client));
    m_answer = [](SoupServerMessage* message) { soup_server_message_set_status(message, 500, nullptr); };
    EXPECT_FALSE(call(client));
}

// Guards against calls that stay in flight forever because a server hangs.
TEST_F(GrantClientTest, EndsAfterTimeout)
{
    GrantClient client(Milliseconds(100));
    std::vector<SoupServerMessage*> paused;
    m_answer = [&](SoupServerMessage* message) {
        soup_server_message_pause(message);
        paused.push_back(message);
    };
    const MonotonicTime start = monotonicNow();
    EXPECT_FALSE(call(client));
    EXPECT_GE(monotonicNow() - start, Milliseconds(90));
    EXPECT_LT(monotonicNow() - start, Milliseconds(2000));
    EXPECT_EQ(paused.size(), 1U);
}

// Guards against running the callback within send(), which would re-enter the reducer, and against never running it.
TEST_F(GrantClientTest, ReportsUnusableAddressAsynchronously)
{
    GrantClient client(Milliseconds(100));
    m_batch.address = "not an address";
    EXPECT_FALSE(call(client));
    m_batch.address = freeLoopbackAddress();
    EXPECT_FALSE(call(client));
}

} // namespace jasminespread
