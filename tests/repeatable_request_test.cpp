#include "support/main_context_fixture.h"
#include "transport/repeatable_request.h"

#include <jasminespread/backend_transports.h>

#include <gtest/gtest.h>

#include <memory>
#include <optional>

namespace jasminespread {
namespace {

using test::TestBackend;

class RepeatableRequestTest : public test::MainContextFixture {
protected:
    BackendResult exchange(const TestBackend& backend)
    {
        std::optional<BackendResult> received;
        sendRepeatable(
            m_transport, requestTo(backend, "GET", "/x"), [&](BackendResult result) { received = std::move(result); });
        EXPECT_TRUE(runUntil([&] { return received.has_value(); }));
        return received.value_or(BackendResult {});
    }

    std::shared_ptr<const BackendTransport> m_transport
        = std::make_shared<const BackendTransport>(makeBeastBackendTransport({}));
};

// Guards against a call that fails because the server closed the kept connection as it was sent.
TEST_F(RepeatableRequestTest, IsSentOnceMoreWhenItsKeptConnectionIsLost)
{
    int received = 0;
    TestBackend backend([&received](const std::string&) { return ++received == 2 ? "" : TestBackend::answer("x"); });
    EXPECT_EQ(exchange(backend).body, "x");
    EXPECT_EQ(exchange(backend).body, "x");
    EXPECT_EQ(received, 3);
    EXPECT_EQ(backend.connections(), 2);
}

// Guards against repeating a call for ever, and against repeating one that a server did not answer.
TEST_F(RepeatableRequestTest, IsNotRepeatedOnANewConnection)
{
    int received = 0;
    TestBackend backend([&received](const std::string&) { return ++received == 1 ? TestBackend::answer("x") : ""; });
    EXPECT_EQ(exchange(backend).progress, BackendProgress::Answered);
    EXPECT_EQ(exchange(backend).progress, BackendProgress::Broken);
    EXPECT_EQ(received, 3);
    EXPECT_EQ(exchange(backend).progress, BackendProgress::Broken);
    EXPECT_EQ(received, 4);
}

// Guards against a callback that uses what its owner has destroyed together with the transport.
TEST_F(RepeatableRequestTest, NoCallbackRunsAfterItsTransportIsGone)
{
    TestBackend backend([](const std::string&) { return TestBackend::answer("x"); });
    sendRepeatable(m_transport, requestTo(backend, "GET", "/x"), [](const BackendResult&) { ADD_FAILURE(); });
    m_transport.reset();
    (void)runUntil([] { return false; }, Milliseconds(50));
}

} // namespace
} // namespace jasminespread
