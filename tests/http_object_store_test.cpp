#include <http_server.h>
#include <main_loop.h>

#include <jasminespread/http_object_store.h>

#include <glib.h>
#include <gtest/gtest.h>

namespace jasminespread::standins {

namespace {

constexpr Milliseconds timeout {200};

using Exchange = std::shared_ptr<HttpExchange>;

class HttpObjectStoreTest : public testing::Test {
protected:
    void SetUp() override
    {
        const bool listening = handleError(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(m_server.listen("127.0.0.1:0"));
                return true;
            },
            [](const Error& error) {
                ADD_FAILURE() << describe(error);
                return false;
            });
        ASSERT_TRUE(listening);
        m_store = makeHttpObjectStore("http://127.0.0.1:" + std::to_string(m_server.port()), timeout);
    }

    /// Starts a call and runs the main context until its callback has run.
    template <typename T> T wait(const std::function<void(std::function<void(T)>)>& start)
    {
        std::optional<T> result;
        start([&](T value) { result = std::move(value); });
        EXPECT_FALSE(result) << "callback ran before the call returned";
        while (!result) {
            g_main_context_iteration(nullptr, true);
        }
        return *result;
    }

    StoreWriteResult write(std::uint64_t expectedVersion)
    {
        return wait<StoreWriteResult>([&](std::function<void(StoreWriteResult)> callback) {
            m_store.write("group", "ledger.0", expectedVersion, R"({"a":1})", std::move(callback));
        });
    }

    StoreReadResult read()
    {
        return wait<StoreReadResult>([&](std::function<void(StoreReadResult)> callback) {
            m_store.read("group", "ledger.0", std::move(callback));
        });
    }

    StoreListResult list()
    {
        return wait<StoreListResult>(
            [&](std::function<void(StoreListResult)> callback) { m_store.list("group", std::move(callback)); });
    }

    InstanceListResult instances()
    {
        return wait<InstanceListResult>(
            [&](std::function<void(InstanceListResult)> callback) { m_store.instances(std::move(callback)); });
    }

    HttpServer::Handler m_handler;
    HttpServer m_server {[this](const Exchange& exchange) { m_handler(exchange); }};
    ObjectStore m_store;
};

} // namespace

// Guards against a write without its condition, which would overwrite another instance's change.
TEST_F(HttpObjectStoreTest, WritesConditionally)
{
    m_handler = [](const Exchange& exchange) {
        EXPECT_EQ(exchange->method(), "PUT");
        EXPECT_EQ(exchange->path(), "/v1/objects/group/ledger.0");
        EXPECT_EQ(exchange->body(), R"({"a":1})");
        const bool create = exchange->header("If-None-Match") == "*";
        EXPECT_EQ(exchange->header("If-Match"), create ? std::nullopt : std::optional<std::string>("7"));
        exchange->answer(create ? 200 : 412, R"({"version":8,"value":""})");
    };
    const StoreWriteResult created = write(0);
    EXPECT_EQ(created.status, StoreStatus::Ok);
    EXPECT_EQ(created.version, 8U);
    EXPECT_EQ(write(7).status, StoreStatus::Conflict);
}

// Guards against reporting a write as not executed when its answer was lost.
TEST_F(HttpObjectStoreTest, WriteWithoutWholeAnswerIsUnknown)
{
    m_handler = [](const Exchange& exchange) { exchange->drop(); };
    EXPECT_EQ(write(7).status, StoreStatus::Unknown);
    m_handler = [](const Exchange& exchange) { exchange->answer(200, "{}"); };
    EXPECT_EQ(write(7).status, StoreStatus::Unknown);
    m_handler = [](const Exchange& exchange) { exchange->answer(500, "{}"); };
    EXPECT_EQ(write(7).status, StoreStatus::Unknown);
    Exchange held;
    m_handler = [&held](const Exchange& exchange) { held = exchange; };
    EXPECT_EQ(write(7).status, StoreStatus::Unknown);
    held->drop();
}

// Guards against treating a write that the platform never executed as possibly executed.
TEST_F(HttpObjectStoreTest, RefusedWriteIsUnavailable)
{
    m_handler = [](const Exchange& exchange) { exchange->answer(503, "{}"); };
    EXPECT_EQ(write(7).status, StoreStatus::Unavailable);
    m_store = makeHttpObjectStore("http://127.0.0.1:1", timeout);
    EXPECT_EQ(write(7).status, StoreStatus::Unavailable);
    m_store = makeHttpObjectStore("not a url", timeout);
    EXPECT_EQ(write(7).status, StoreStatus::Unavailable);
}

// Guards against the HTTP library retrying a write when a reused connection breaks: the retry would report a conflict
// with the write that took effect.
TEST_F(HttpObjectStoreTest, WriteIsSentOnce)
{
    int writes = 0;
    m_handler = [&writes](const Exchange& exchange) {
        if (exchange->method() == "GET") {
            exchange->answer(200, R"({"version":1,"value":""})");
        } else if (++writes == 1) {
            exchange->drop();
        } else {
            exchange->answer(412, R"({"version":2,"value":""})");
        }
    };
    EXPECT_EQ(read().status, StoreStatus::Ok);
    EXPECT_EQ(write(1).status, StoreStatus::Unknown);
    EXPECT_EQ(writes, 1);
}

// Guards against mistaking a failed read for a result, and against losing digits of the version.
TEST_F(HttpObjectStoreTest, ReadsObjects)
{
    m_handler
        = [](const Exchange& exchange) { exchange->answer(200, R"({"version":18446744073709551615,"value":"v"})"); };
    const StoreReadResult found = read();
    EXPECT_EQ(found.status, StoreStatus::Ok);
    EXPECT_EQ(found.object.name, "ledger.0");
    EXPECT_EQ(found.object.version, ~std::uint64_t {0});
    EXPECT_EQ(found.object.value, "v");
    m_handler = [](const Exchange& exchange) { exchange->answer(404, "{}"); };
    EXPECT_EQ(read().status, StoreStatus::NotFound);
    m_handler = [](const Exchange& exchange) { exchange->answer(200, R"({"version":"1","value":"v"})"); };
    EXPECT_EQ(read().status, StoreStatus::Unavailable);
    m_handler = [](const Exchange& exchange) { exchange->drop(); };
    EXPECT_EQ(read().status, StoreStatus::Unavailable);
}

// Guards against dropping unreadable rows of a list: their objects would seem not to exist.
TEST_F(HttpObjectStoreTest, ListsObjects)
{
    m_handler = [](const Exchange& exchange) {
        EXPECT_EQ(exchange->path(), "/v1/objects/group");
        exchange->answer(200, R"({"version":9,"objects":[{"name":"a.0","version":3,"value":"x"}]})");
    };
    const StoreListResult listed = list();
    EXPECT_EQ(listed.status, StoreStatus::Ok);
    EXPECT_EQ(listed.version, 9U);
    ASSERT_EQ(listed.objects.size(), 1U);
    EXPECT_EQ(listed.objects[0].name, "a.0");
    m_handler = [](const Exchange& exchange) { exchange->answer(200, R"({"version":9,"objects":[{"name":"a.0"}]})"); };
    EXPECT_EQ(list().status, StoreStatus::Unavailable);
}

// Guards against losing fields of the instance list, and against accepting rows without role or state.
TEST_F(HttpObjectStoreTest, ReadsInstanceList)
{
    m_handler = [](const Exchange& exchange) {
        EXPECT_EQ(exchange->path(), "/v1/instances");
        exchange->answer(200, R"({"instances":[{"id":"backend-1","role":"backend","state":"gone"},
            {"id":"entry-1","role":"entry","state":"live","region":"seq","failureDomain":"seq-1",
             "controlAddress":"127.0.1.1:1","operatorAddress":"127.0.1.1:2","forwardAddress":"127.0.1.1:3"}]})");
    };
    const InstanceListResult result = instances();
    EXPECT_EQ(result.status, StoreStatus::Ok);
    const std::vector<InstanceEntry> expected {
        {"backend-1", InstanceRole::Backend, "", "", ListedState::Gone, "", ""},
        {"entry-1", InstanceRole::Entry, "seq", "seq-1", ListedState::Live, "127.0.1.1:1", "127.0.1.1:3"},
    };
    EXPECT_EQ(result.entries, expected);
    m_handler = [](const Exchange& exchange) { exchange->answer(200, R"({"instances":7})"); };
    EXPECT_EQ(instances().status, StoreStatus::Unavailable);
}

// Guards against one row of another writer hiding all instances, and against using such a row.
TEST_F(HttpObjectStoreTest, UnreadableRowsDoNotHideTheOtherInstances)
{
    const std::string deep = std::string(64, '[') + std::string(64, ']');
    for (const std::string& odd : {std::string(R"({"id":"x"})"), deep, std::string("1e99999999999"), std::string("7"),
             std::string(R"({"id":"x","role":"entry","state":"asleep"})")}) {
        m_handler = [&odd](const Exchange& exchange) {
            exchange->answer(200, R"({"instances":[)" + odd + R"(,{"id":"entry-1","role":"entry","state":"live"}]})");
        };
        const InstanceListResult result = instances();
        EXPECT_EQ(result.status, StoreStatus::Ok) << odd;
        ASSERT_EQ(result.entries.size(), 1U) << odd;
        EXPECT_EQ(result.entries[0].id, "entry-1");
    }
}

} // namespace jasminespread::standins
