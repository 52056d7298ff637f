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
        for (int i = 0; i < 100 && direct().status != 200; ++i) {
            std::this_thread::sleep_for(Milliseconds(20));
        }
        ASSERT_EQ(direct().status, 200U);
        ASSERT_EQ(through().status, 200U);
    }

    HttpResponse direct() { return m_http.call("GET", "http://" + m_target + "/v1/instances"); }
    HttpResponse through() { return m_http.call("GET", "http://" + m_listen + "/v1/instances"); }

    void set(const std::string& behaviour)
    {
        ASSERT_EQ(m_http.call("PUT", "http://" + m_admin + "/admin/behaviour", {}, behaviour).status, 200U);
    }

    static std::string path(const std::string& name) { return std::string(BINARY_DIR) + "/" + name; }

    static std::string logFile(const std::string& name)
    {
        const std::string folder = path("integration/proxy-" + std::to_string(::getpid()));
        std::filesystem::create_directories(folder);
        return folder + "/" + name + ".log";
    }

    std::string m_ip = "127.0.240." + std::to_string(1 + ::getpid() % 250);
    std::string m_target = m_ip + ":21000";
    std::string m_listen = m_ip + ":21001";
    std::string m_admin = m_ip + ":21002";
    HttpCaller m_http;
    Process m_platform {{path("platform-standin"), "--listen", m_target}, logFile("platform")};
    Process m_proxy {
        {path("fault-proxy"), "--listen", m_listen, "--target", m_target, "--admin", m_admin}, logFile("fault-proxy")};
};

} // namespace

// Guards against a cut that lets connections through or does not end.
TEST_F(FaultProxyTest, CutsAndRestores)
{
    set(R"({"mode":"cut"})");
    const HttpResponse cut = through();
    EXPECT_EQ(cut.status, 0U);
    EXPECT_FALSE(cut.connected);
    set("{}");
    EXPECT_EQ(through().status, 200U);
}

// Guards against a black hole that answers, refuses connections or loses bytes for good.
TEST_F(FaultProxyTest, StallsAndResumes)
{
    for (const char* stall : {"both", "to-server", "to-client"}) {
        set(std::string(R"({"mode":"black-hole","stall":")") + stall + "\"}");
        const MonotonicTime start = monotonicNow();
        std::thread resume([this] {
            std::this_thread::sleep_for(Milliseconds(500));
            HttpCaller http;
            EXPECT_EQ(http.call("PUT", "http://" + m_admin + "/admin/behaviour", {}, "{}").status, 200U);
        });
        EXPECT_EQ(through().status, 200U) << stall;
        EXPECT_GE(monotonicNow() - start, Milliseconds(500)) << stall;
        resume.join();
    }
}

// Guards against delays that are not applied in both directions.
TEST_F(FaultProxyTest, Delays)
{
    set(R"({"delayMs":150})");
    const MonotonicTime start = monotonicNow();
    EXPECT_EQ(through().status, 200U);
    EXPECT_GE(monotonicNow() - start, Milliseconds(300));
}

// Guards against an answer that arrives whole although it should be reset or truncated.
TEST_F(FaultProxyTest, ResetsAndTruncates)
{
    // The head of the answer is longer than this, its body shorter.
    const std::size_t whole = through().body.size();
    ASSERT_GT(whole, 10U);
    for (const char* behaviour :
        {R"({"resetAfterToServer":20})", R"({"resetAfterToClient":20})", R"({"truncateAfter":20})"}) {
        set(behaviour);
        EXPECT_LT(through().body.size(), whole) << behaviour;
    }
    set("{}");
    EXPECT_EQ(through().body.size(), whole);
}

} // namespace jasminespread::test
