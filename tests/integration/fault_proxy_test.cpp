#include "http_call.h"
#include "process.h"

#include <jasminespread/time.h>

#include <gtest/gtest.h>

#include <filesystem>
#include <thread>
#include <unistd.h>

namespace jasminespread::test {

namespace {

/// A platform stand-in behind a fault proxy.
class FaultProxyTest : public testing::Test {
protected:
    void SetUp() override
    {
        const auto serves = [this] { return callDirectly().status == 200 && callThroughProxy().status == 200; };
        for (int i = 0; i < 100 && !serves(); ++i) {
            std::this_thread::sleep_for(Milliseconds(20));
        }
        ASSERT_EQ(callDirectly().status, 200U);
        ASSERT_EQ(callThroughProxy().status, 200U);
    }

    HttpResponse callDirectly() { return m_http.call("GET", "http://" + m_targetAddress + "/v1/instances"); }
    HttpResponse callThroughProxy() { return m_http.call("GET", "http://" + m_listenAddress + "/v1/instances"); }

    void setBehaviour(const std::string& behaviour)
    {
        ASSERT_EQ(m_http.call("PUT", "http://" + m_adminAddress + "/admin/behaviour", {}, behaviour).status, 200U);
    }

    static std::string buildPath(const std::string& name) { return std::string(BINARY_DIR) + "/" + name; }

    static std::string logFile(const std::string& name)
    {
        const std::string folder = buildPath("integration/proxy-" + std::to_string(::getpid()));
        std::filesystem::create_directories(folder);
        return folder + "/" + name + ".log";
    }

    std::string m_ip = "127.0.240." + std::to_string(1 + ::getpid() % 250);
    std::string m_targetAddress = m_ip + ":21000";
    std::string m_listenAddress = m_ip + ":21001";
    std::string m_adminAddress = m_ip + ":21002";
    HttpClient m_http;
    Process m_platform {{buildPath("platform-standin"), "--listen", m_targetAddress}, logFile("platform")};
    Process m_proxy {
        {buildPath("fault-proxy"), "--listen", m_listenAddress, "--target", m_targetAddress, "--admin", m_adminAddress},
        logFile("fault-proxy")};
};

} // namespace

// Guards against a `cut` mode that lets connections through or cannot be ended.
TEST_F(FaultProxyTest, CutsAndRestores)
{
    setBehaviour(R"({"mode":"cut"})");
    const HttpResponse response = callThroughProxy();
    EXPECT_EQ(response.status, 0U);
    EXPECT_FALSE(response.connected);
    setBehaviour("{}");
    EXPECT_EQ(callThroughProxy().status, 200U);
}

// Guards against a cut that is acknowledged before the open connections are reset: a request of the caller could begin
// on one of them.
TEST_F(FaultProxyTest, TheCutIsInForceWhenItIsAcknowledged)
{
    for (int i = 0; i < 200; ++i) {
        setBehaviour("{}");
        ASSERT_EQ(callThroughProxy().status, 200U) << "round " << i;
        setBehaviour(R"({"mode":"cut"})");
        ASSERT_FALSE(callThroughProxy().connected) << "round " << i;
    }
}

// Guards against a `black-hole` mode that answers, refuses connections or loses bytes instead of holding them back.
TEST_F(FaultProxyTest, StallsAndResumes)
{
    for (const char* stall : {"both", "to-server", "to-client"}) {
        setBehaviour(std::string(R"({"mode":"black-hole","stall":")") + stall + "\"}");
        const MonotonicTime start = monotonicNow();
        std::thread resume([this] {
            std::this_thread::sleep_for(Milliseconds(500));
            HttpClient http;
            EXPECT_EQ(http.call("PUT", "http://" + m_adminAddress + "/admin/behaviour", {}, "{}").status, 200U);
        });
        EXPECT_EQ(callThroughProxy().status, 200U) << stall;
        EXPECT_GE(monotonicNow() - start, Milliseconds(500)) << stall;
        resume.join();
    }
}

// Guards against a delay that is applied in one direction only.
TEST_F(FaultProxyTest, DelaysBothDirections)
{
    setBehaviour(R"({"delayMs":150})");
    const MonotonicTime start = monotonicNow();
    EXPECT_EQ(callThroughProxy().status, 200U);
    EXPECT_GE(monotonicNow() - start, Milliseconds(300));
}

// Guards against an answer that arrives complete although its connection should be reset or truncated.
TEST_F(FaultProxyTest, ResetsAndTruncates)
{
    // The limits of 20 bytes below end within the head of the answer, whose body is shorter than that.
    const std::size_t wholeSize = callThroughProxy().body.size();
    ASSERT_GT(wholeSize, 10U);
    for (const char* behaviour :
        {R"({"resetAfterToServer":20})", R"({"resetAfterToClient":20})", R"({"truncateAfter":20})"}) {
        setBehaviour(behaviour);
        EXPECT_LT(callThroughProxy().body.size(), wholeSize) << behaviour;
    }
    setBehaviour("{}");
    EXPECT_EQ(callThroughProxy().body.size(), wholeSize);
}

} // namespace jasminespread::test
