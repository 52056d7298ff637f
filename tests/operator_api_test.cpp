#include "daemon/operator_api.h"
#include "loopback_address.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <libsoup/soup.h>

namespace jasminespread {

using testing::HasSubstr;

namespace {

struct HttpAnswer {
    unsigned status = 0;
    std::string body;
};

class OperatorApiTest : public testing::Test {
protected:
    OperatorApiTest() { g_main_context_push_thread_default(m_context); }
    ~OperatorApiTest() override
    {
        m_api.reset();
        g_object_unref(m_session);
        g_main_context_pop_thread_default(m_context);
        g_main_context_unref(m_context);
    }

    void start(Milliseconds timeout)
    {
        m_api.emplace(m_address, timeout,
            OperatorApi::Hooks {[this](OperatorRequested request) { m_requests.push_back(std::move(request)); },
                [this] { return m_ready; }, [] { return std::string("metric 1\n"); }, nullptr});
        ASSERT_TRUE(m_api->start());
    }

    /// Sends a request and runs the main context until the answer arrives. Calls @p onRequest after each iteration once
    /// the API has received a request.
    HttpAnswer call(const char* method, const std::string& target, const std::string& body = {},
        const std::function<void()>& onRequest = nullptr)
    {
        SoupMessage* message = soup_message_new(method, ("http://" + m_address + target).c_str());
        if (!body.empty()) {
            GBytes* bytes = g_bytes_new(body.data(), body.size());
            soup_message_set_request_body_from_bytes(message, "application/json", bytes);
            g_bytes_unref(bytes);
        }
        struct Pending {
            bool done = false;
            HttpAnswer answer;
        } pending;
        soup_session_send_and_read_async(
            m_session, message, G_PRIORITY_DEFAULT, nullptr,
            [](GObject* source, GAsyncResult* result, gpointer data) {
                auto* call = static_cast<Pending*>(data);
                call->done = true;
                GBytes* bytes = soup_session_send_and_read_finish(SOUP_SESSION(source), result, nullptr);
                if (bytes) {
                    std::size_t size = 0;
                    const auto* text = static_cast<const char*>(g_bytes_get_data(bytes, &size));
                    call->answer.body.assign(text ? text : "", size);
                    g_bytes_unref(bytes);
                }
            },
            &pending);
        while (!pending.done) {
            g_main_context_iteration(m_context, TRUE);
            if (onRequest && !m_requests.empty()) {
                onRequest();
            }
        }
        pending.answer.status = soup_message_get_status(message);
        g_object_unref(message);
        return pending.answer;
    }

    GMainContext* m_context = g_main_context_new();
    SoupSession* m_session = soup_session_new();
    std::string m_address = freeLoopbackAddress();
    bool m_ready = false;
    std::vector<OperatorRequested> m_requests;
    std::optional<OperatorApi> m_api;
};

} // namespace

// Guards against an answer that reaches the wrong client or loses its status or body.
TEST_F(OperatorApiTest, PassesRequestsOnAndAnswersThem)
{
    start(Milliseconds(5000));
    const auto answerRequest = [this] { m_api->answer(m_requests.back().request, 404, "{\"result\":\"not-found\"}"); };
    const HttpAnswer answer = call("POST", "/v1/servers/meter-7/gone", {}, answerRequest);
    EXPECT_EQ(answer.status, 404U);
    EXPECT_EQ(answer.body, "{\"result\":\"not-found\"}");
    ASSERT_EQ(m_requests.size(), 1U);
    EXPECT_EQ(m_requests[0].action, OperatorAction::DeclareServerGone);
    EXPECT_EQ(m_requests[0].argument, "meter-7");
    // A second answer to the same request has no effect.
    m_api->answer(m_requests[0].request, 200, "{}");
}

// Guards against readiness reported before a configuration is in force, and missing paths and methods.
TEST_F(OperatorApiTest, ServesHealthReadinessAndMetrics)
{
    start(Milliseconds(5000));
    EXPECT_EQ(call("GET", "/healthz").status, 200U);
    EXPECT_EQ(call("GET", "/readyz").status, 503U);
    m_ready = true;
    EXPECT_EQ(call("GET", "/readyz").status, 200U);
    EXPECT_EQ(call("GET", "/metrics").body, "metric 1\n");
    EXPECT_EQ(call("POST", "/metrics").status, 405U);
    EXPECT_EQ(call("GET", "/v1/servers/meter-7/gone").status, 405U);
    EXPECT_EQ(call("GET", "/v1/nothing").status, 404U);
    EXPECT_EQ(call("POST", "/v1/servers/a/b/gone").status, 404U);
    EXPECT_EQ(call("GET", "/v1/report").status, 404U);
    EXPECT_TRUE(m_requests.empty());
}

// Guards against malformed changes that reach the reducer, and against errors that do not name the field.
TEST_F(OperatorApiTest, RefusesMalformedChanges)
{
    start(Milliseconds(5000));
    const HttpAnswer noBase = call("PUT", "/v1/configuration?base=seven&change=c1", "not JSON");
    EXPECT_EQ(noBase.status, 400U);
    EXPECT_THAT(noBase.body, HasSubstr("\"result\":\"invalid\""));
    EXPECT_THAT(noBase.body, HasSubstr("base"));
    EXPECT_EQ(call("PUT", "/v1/configuration?base=7", "{}").status, 400U);
    EXPECT_EQ(call("PUT", "/v1/configuration?base=7&change=c1").status, 400U);
    EXPECT_TRUE(m_requests.empty());
}

// Guards against buffering bodies of unbounded size.
TEST_F(OperatorApiTest, RefusesLargeBody)
{
    start(Milliseconds(5000));
    EXPECT_EQ(call("PUT", "/v1/configuration?base=7&change=c1", std::string(1'000'001, ' ')).status, 413U);
    EXPECT_TRUE(m_requests.empty());
}

// Guards against requests that wait forever, and against reporting a change without an answer as not made.
TEST_F(OperatorApiTest, UnansweredRequestsTimeOut)
{
    start(Milliseconds(100));
    const HttpAnswer read = call("GET", "/v1/status");
    EXPECT_EQ(read.status, 503U);
    EXPECT_THAT(read.body, HasSubstr("\"result\":\"unavailable\""));
    const HttpAnswer change = call("POST", "/v1/instances/seat-w1-a/lost");
    EXPECT_EQ(change.status, 502U);
    EXPECT_THAT(change.body, HasSubstr("\"result\":\"unknown\""));
}

// Guards against a second daemon on the same operator address that starts without an error.
TEST_F(OperatorApiTest, ReportsAddressInUse)
{
    start(Milliseconds(100));
    OperatorApi other(m_address, Milliseconds(100), {});
    const ErrorKind kind = handleError(
        [&]() -> Result<ErrorKind> {
            BOOST_LEAF_CHECK(other.start());
            return ErrorKind::Internal;
        },
        [](const Error& error) { return error.kind; });
    EXPECT_EQ(kind, ErrorKind::AddressInUse);
}

} // namespace jasminespread
