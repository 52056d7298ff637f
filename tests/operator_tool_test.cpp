#include "configuration_samples.h"
#include "ctl/operator_tool.h"

#include <jasminespread/sheet.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

namespace jasminespread {
namespace {

/// Runs commands against simulated instances whose answers the test defines.
class OperatorToolTest : public testing::Test {
protected:
    void SetUp() override
    {
        std::string pattern = testing::TempDir() + "sheet-XXXXXX";
        const int fd = mkstemp(pattern.data());
        ASSERT_GE(fd, 0);
        close(fd);
        m_path = pattern;
        currentConfiguration = sampleConfiguration();
        currentConfiguration.revision = 4;
        currentConfiguration.changeId = "fourth";
        writeFile(writeSheet(sampleConfiguration()));
    }

    void TearDown() override { unlink(m_path.c_str()); }

    void writeFile(const std::string& text) { std::ofstream(m_path) << text; }

    int run(std::vector<std::string> words)
    {
        out.str("");
        errors.str("");
        for (std::string& word : words) {
            word = word == "SHEET" ? m_path : word;
        }
        const auto makeCaller = [this](Milliseconds) {
            return [this](const OperatorCall& call) {
                calls.push_back(call);
                return answerCall(call);
            };
        };
        return runOperatorTool(words, makeCaller, out, errors);
    }

    /// Runs the load command against an instance that answers with @p status and @p body.
    int runLoadWithAnswer(unsigned status, const std::string& body, bool json = false)
    {
        answerCall = [=](const OperatorCall&) { return makeAnswer(status, body); };
        std::vector<std::string> words {"load", "SHEET", "--base", "4", "--server", "127.0.0.1:1"};
        if (json) {
            words.insert(words.end(), {"--output", "json"});
        }
        return run(words);
    }

    static OperatorReply makeAnswer(unsigned status, const std::string& body)
    {
        return {CallProgress::Answered, status, body, ""};
    }

    /// Answers GET requests with the current configuration and accepts all changes.
    OperatorReply serve(const OperatorCall& call)
    {
        if (call.method == "GET") {
            return makeAnswer(
                200, "{\"revision\":4,\"configuration\":" + encodeConfiguration(currentConfiguration) + "}");
        }
        return makeAnswer(200, "{\"result\":\"accepted\",\"revision\":5,\"regions\":{}}");
    }

    Configuration lastSentConfiguration()
    {
        return handleError([&] { return decodeConfiguration(calls.back().body); },
            [](const Error& error) {
                ADD_FAILURE() << describe(error);
                return Configuration();
            });
    }

    Configuration currentConfiguration;
    std::function<OperatorReply(const OperatorCall&)> answerCall
        = [this](const OperatorCall& call) { return serve(call); };
    std::vector<OperatorCall> calls;
    std::ostringstream out;
    std::ostringstream errors;

private:
    std::string m_path;
};

} // namespace

// Guards against exit codes that misreport the outcome of a change to scripts.
TEST_F(OperatorToolTest, ExitCodeReflectsOutcome)
{
    EXPECT_EQ(runLoadWithAnswer(200, R"({"result":"accepted","revision":5,"regions":{}})"), 0);
    EXPECT_EQ(runLoadWithAnswer(400, R"({"result":"invalid","errors":["a","b"]})"), 2);
    EXPECT_EQ(errors.str(), "invalid: a\ninvalid: b\n");
    EXPECT_EQ(
        runLoadWithAnswer(409, R"({"result":"conflict","revision":5,"author":"ben","differences":["x: 1 -> 2"]})"), 3);
    EXPECT_THAT(errors.str(), testing::AllOf(testing::HasSubstr("revision 5 by ben"), testing::HasSubstr("x: 1 -> 2")));
    EXPECT_THAT(errors.str(), testing::Not(testing::HasSubstr("earlier attempt")));
    EXPECT_EQ(run({"load", "SHEET", "--base", "4", "--change", "x", "--server", "127.0.0.1:1"}), 3);
    EXPECT_THAT(errors.str(), testing::HasSubstr("earlier attempt"));
    EXPECT_EQ(runLoadWithAnswer(202,
                  R"({"result":"stored-not-confirmed","revision":5,)"
                  R"("regions":{"central":{"confirmed":["c1"],"missing":["c2"]}}})"),
        4);
    EXPECT_THAT(errors.str(), testing::HasSubstr("central: confirmed by c1; missing: c2"));
    EXPECT_EQ(runLoadWithAnswer(503, R"({"result":"unavailable","message":"store"})"), 5);
    EXPECT_EQ(runLoadWithAnswer(502, R"({"result":"unknown","message":"lost"})"), 6);
    EXPECT_THAT(errors.str(), testing::HasSubstr("--change "));
    EXPECT_EQ(runLoadWithAnswer(500, "not JSON"), 6) << "an answer without a result does not show the outcome";
    EXPECT_EQ(runLoadWithAnswer(200, "{"), 6);
    for (const unsigned status : {409U, 503U}) {
        EXPECT_EQ(runLoadWithAnswer(status, "by a proxy"), 6) << "no instance states that nothing was changed";
        EXPECT_THAT(errors.str(), testing::HasSubstr("--change "));
    }
}

// Guards against JSON output without the change id that is needed to repeat a change.
TEST_F(OperatorToolTest, JsonOutputIsOneObjectWithChangeId)
{
    EXPECT_EQ(runLoadWithAnswer(502, R"({"result":"unknown","message":"lost"})", true), 6);
    EXPECT_EQ(boost::json::parse(out.str()).at("result"), "unknown");
    EXPECT_FALSE(boost::json::parse(out.str()).at("change").as_string().empty());
    EXPECT_EQ(runLoadWithAnswer(200, R"({"result":"accepted","revision":5,"regions":{}})", true), 0);
    EXPECT_EQ(boost::json::parse(out.str()).at("revision"), 5);
    EXPECT_EQ(errors.str(), "");
}

// Guards against sending a change to a second instance after the first one may have executed it.
TEST_F(OperatorToolTest, NextInstanceIsTriedOnlyWithoutConnection)
{
    const std::vector<std::string> words {
        "load", "SHEET", "--base", "4", "--server", "127.0.0.1:1", "--server", "127.0.0.1:2"};
    answerCall = [this](const OperatorCall& call) {
        return call.operatorAddress == "127.0.0.1:1" ? OperatorReply {CallProgress::NotConnected, 0, "", "refused"}
                                                     : serve(call);
    };
    EXPECT_EQ(run(words), 0);
    EXPECT_EQ(calls.size(), 2U);

    calls.clear();
    answerCall = [](const OperatorCall&) { return OperatorReply {CallProgress::AnswerLost, 0, "", "closed"}; };
    EXPECT_EQ(run(words), 6);
    EXPECT_EQ(calls.size(), 1U);

    answerCall = [](const OperatorCall&) { return OperatorReply {CallProgress::NotConnected, 0, "", "refused"}; };
    EXPECT_EQ(run(words), 5);
}

// Guards against overwriting a revision that the operator has not seen.
TEST_F(OperatorToolTest, LoadSendsBaseAndChangeId)
{
    EXPECT_EQ(run({"load", "SHEET", "--server", "127.0.0.1:1"}), 2) << "--base is missing";
    EXPECT_EQ(run({"load", "SHEET", "--server", "127.0.0.1:1", "--base", "x"}), 2);
    EXPECT_THAT(calls, testing::IsEmpty());
    EXPECT_EQ(
        run({"load", "SHEET", "--server", "127.0.0.1:1", "--base", "3", "--change", "a b", "--author", "mei"}), 0);
    EXPECT_EQ(calls.back().target, "/v1/configuration?base=3&change=a%20b");
    EXPECT_EQ(lastSentConfiguration().author, "mei");
    EXPECT_EQ(run({"load", "SHEET", "--server", "127.0.0.1:1", "--base", "current"}), 0);
    EXPECT_THAT(calls.back().target, testing::StartsWith("/v1/configuration?base=4&change="));
}

// Guards against an adjustment that changes unrelated settings or omits the base revision.
TEST_F(OperatorToolTest, AdjustmentsChangeOnlyTheirTarget)
{
    struct Row {
        std::vector<std::string> words;
        std::vector<std::string> differences;
    };
    const std::vector<Row> rows {
        {{"hotkey", "add", "ledger", "route 1", "ledger-1"},
            {R"(hotKeys[ledger/route 1]: added {"service":"ledger","key":"route 1","server":"ledger-1"})"}},
        {{"hotkey", "add", "ledger", "route 138"}, {R"(hotKeys[ledger/route 138].server: "ledger-2" -> "")"}},
        {{"hotkey", "remove", "ledger", "route 138"},
            {R"(hotKeys[ledger/route 138]: removed {"service":"ledger","key":"route 138","server":"ledger-2"})"}},
        {{"stop", "add", "ledger-2", "2026-12-04T18:30:00Z", "--drain", "1m"},
            {R"(plannedStops[ledger-2]: added {"server":"ledger-2","stopAt":"2026-12-04T18:30:00Z","drain":"1m"})"}},
        {{"stop", "remove", "ledger-1"},
            {R"(plannedStops[ledger-1]: removed {"server":"ledger-1","stopAt":"2026-11-30T00:55:23Z","drain":"20s"})"}},
        {{"rule", "add", "ledger", "0.75", "--class", "batch"},
            {"refusalRules[ledger/batch].refuseAboveLoad: 5E-1 -> 7.5E-1"}},
        {{"rule", "remove", "ledger", "--class", "batch"},
            {R"(refusalRules[ledger/batch]: removed {"service":"ledger","workClass":"batch","refuseAboveLoad":5E-1})"}},
        {{"pool", "add", "ledger-3", "ledger", "western", "western-b", "127.0.0.1:7003"},
            {R"(servers[ledger-3]: added {"id":"ledger-3","service":"ledger","region":"western",)"
             R"("failureDomain":"western-b","address":"127.0.0.1:7003"})"}},
        {{"pool", "remove", "ledger-1"},
            {R"(servers[ledger-1]: removed {"id":"ledger-1","service":"ledger","region":"western",)"
             R"("failureDomain":"western-a","address":"127.0.0.1:7001"})",
                R"(plannedStops[ledger-1]: removed {"server":"ledger-1","stopAt":"2026-11-30T00:55:23Z","drain":"20s"})"}},
    };
    for (Row row : rows) {
        row.words.insert(row.words.end(), {"--server", "127.0.0.1:1"});
        ASSERT_EQ(run(row.words), 0) << errors.str();
        EXPECT_THAT(diffConfigurations(currentConfiguration, lastSentConfiguration()),
            testing::ElementsAreArray(row.differences));
        EXPECT_THAT(calls.back().target, testing::HasSubstr("?base=4&"));
    }
}

// Guards against reporting success for an adjustment whose target does not exist, and against sending invalid ones.
TEST_F(OperatorToolTest, RejectedAdjustmentsAreNotSent)
{
    const std::vector<std::vector<std::string>> rows {
        {"hotkey", "remove", "ledger", "no such key"},
        {"hotkey", "add", "desk", "key"},
        {"stop", "add", "ledger-1", "tomorrow"},
        {"stop", "remove", "ledger-2"},
        {"rule", "add", "ledger", "high"},
        {"rule", "add", "ledger", "0.5", "--class", "none"},
        {"rule", "remove", "ledger"},
        {"pool", "add", "ledger-1", "ledger", "western", "western-a", "127.0.0.1:7009"},
        {"pool", "add", "ledger-9", "ledger", "western", "western-a", "127.0.0.1:7001"},
        {"pool", "remove", "ledger-9"},
    };
    for (std::vector<std::string> words : rows) {
        words.insert(words.end(), {"--server", "127.0.0.1:1"});
        EXPECT_EQ(run(words), 2) << words[0] << " " << words[1] << " " << words[2];
        EXPECT_NE(errors.str(), "");
        EXPECT_EQ(calls.back().method, "GET");
    }
}

// Guards against applying an adjustment twice when the first answer was lost.
TEST_F(OperatorToolTest, RepeatedAdjustmentIsSentUnchanged)
{
    EXPECT_EQ(run({"hotkey", "remove", "ledger", "gone", "--change", "fourth", "--server", "127.0.0.1:1"}), 0);
    EXPECT_EQ(calls.back().target, "/v1/configuration?base=3&change=fourth");
    EXPECT_THAT(diffConfigurations(currentConfiguration, lastSentConfiguration()), testing::IsEmpty());
}

// Guards against a sheet printed by show that load rejects or parses differently.
TEST_F(OperatorToolTest, ShownSheetCanBeLoaded)
{
    currentConfiguration.hotKeys.push_back({"ledger", "null", ""});
    currentConfiguration.hotKeys.push_back({"ledger", "- a: \"b\" # සිංහල", ""});
    currentConfiguration.services[0].objective.availability = 0.1 + 0.2;
    ASSERT_EQ(run({"show", "--server", "127.0.0.1:1"}), 0);
    EXPECT_THAT(out.str(), testing::StartsWith("# revision 4, change fourth\n"));
    const SheetResult result = parseSheet(out.str(), "shown");
    ASSERT_TRUE(result.configuration) << describe(result.errors.front()) << out.str();
    Configuration expected = currentConfiguration;
    expected.revision = 0;
    expected.changeId = "";
    EXPECT_EQ(*result.configuration, expected);
}

// Guards against errors without a remedy while no configuration has been loaded.
TEST_F(OperatorToolTest, MissingConfigurationIsExplained)
{
    answerCall = [](const OperatorCall&) { return makeAnswer(200, R"({"revision":0,"configuration":null})"); };
    EXPECT_EQ(run({"show", "--server", "127.0.0.1:1"}), 0);
    EXPECT_THAT(out.str(), testing::HasSubstr("revision 0"));
    EXPECT_EQ(run({"hotkey", "add", "ledger", "k", "--server", "127.0.0.1:1"}), 2);
    EXPECT_THAT(errors.str(), testing::HasSubstr("load a sheet"));
}

// Guards against commands that call the wrong endpoint or hide the instance's error message.
TEST_F(OperatorToolTest, OtherCommandsUseTheirEndpoints)
{
    answerCall
        = [](const OperatorCall&) { return makeAnswer(200, R"({"instance":"w1","peers":[{"id":"c1"}],"groups":[]})"); };
    EXPECT_EQ(run({"status", "--server", "127.0.0.1:1"}), 0);
    EXPECT_EQ(calls.back().target, "/v1/status");
    EXPECT_EQ(out.str(), "instance: w1\npeers:\n  -\n    id: c1\ngroups: []\n");
    EXPECT_EQ(run({"report", "--format", "html", "--server", "127.0.0.1:1"}), 0);
    EXPECT_EQ(calls.back().target, "/v1/report?format=html");
    EXPECT_EQ(run({"report", "--output", "json", "--server", "127.0.0.1:1"}), 0);
    EXPECT_EQ(calls.back().target, "/v1/report?format=json");
    EXPECT_EQ(run({"declare-gone", "ledger-1", "--server", "127.0.0.1:1"}), 0);
    EXPECT_EQ(calls.back().method + " " + calls.back().target, "POST /v1/servers/ledger-1/gone");
    EXPECT_EQ(run({"declare-lost", "w/2", "--server", "127.0.0.1:1"}), 0);
    EXPECT_EQ(calls.back().target, "/v1/instances/w%2F2/lost");
    answerCall = [](const OperatorCall&) { return makeAnswer(404, R"({"message":"no server ledger-9"})"); };
    EXPECT_EQ(run({"declare-gone", "ledger-9", "--server", "127.0.0.1:1"}), 2);
    EXPECT_THAT(errors.str(), testing::HasSubstr("no server ledger-9"));
}

// Guards against contacting an instance when the command line is invalid.
TEST_F(OperatorToolTest, InvalidCommandLinesAreRejected)
{
    const std::vector<std::vector<std::string>> rows {{"lod"}, {"hotkey"}, {"hotkey", "drop"}, {"validate"},
        {"validate", "a", "b"}, {"show"}, {"show", "--server", "localhost:1"}, {"show", "--serv", "127.0.0.1:1"},
        {"show", "--output", "xml", "--server", "127.0.0.1:1"}, {"show", "--timeout", "5", "--server", "127.0.0.1:1"},
        {"report", "--format", "pdf", "--server", "127.0.0.1:1"}};
    for (const std::vector<std::string>& words : rows) {
        EXPECT_EQ(run(words), 2) << testing::PrintToString(words);
        EXPECT_THAT(errors.str(), testing::StartsWith("jasminespreadctl: "));
    }
    EXPECT_THAT(calls, testing::IsEmpty());
}

// Guards against a report of several instances that covers only the first one, counts an instance twice, or does not
// name the instances that are missing.
TEST_F(OperatorToolTest, ReportMergesInstances)
{
    answerCall = [](const OperatorCall& call) {
        if (call.operatorAddress == "127.0.0.1:3") {
            return OperatorReply {CallProgress::NotConnected, 0, "", "refused"};
        }
        if (call.operatorAddress == "127.0.0.1:4") {
            return makeAnswer(200, "{}");
        }
        BurnReport report;
        report.instances = {call.operatorAddress == "127.0.0.1:1" ? "w1" : "w2"};
        ServiceBurn service;
        service.service = "ledger";
        service.loads = {{"ledger-1", 5}};
        service.points.resize(burnPointCount);
        report.services = {service};
        return makeAnswer(200, encodeBurnReport(report));
    };
    std::vector<std::string> words {"report", "--format", "json"};
    for (const char* server : {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:1"}) {
        words.insert(words.end(), {"--server", server});
    }
    EXPECT_EQ(run(words), 0) << errors.str();
    EXPECT_THAT(errors.str(),
        testing::AllOf(testing::HasSubstr("incomplete: no report from 127.0.0.1:3: refused\n"),
            testing::HasSubstr("incomplete: no report from 127.0.0.1:4: "), testing::Not(testing::HasSubstr("0.1:1"))));
    const BurnReport merged = handleError([&] { return decodeBurnReport(out.str()); },
        [](const Error& error) {
            ADD_FAILURE() << describe(error);
            return BurnReport();
        });
    EXPECT_THAT(merged.instances, testing::ElementsAre("w1", "w2"));
    ASSERT_EQ(merged.services.size(), 1U);
    EXPECT_THAT(merged.services[0].loads, testing::ElementsAre(ServerLoad {"ledger-1", 10}));
    words[2] = "html";
    EXPECT_EQ(run(words), 0);
    EXPECT_THAT(out.str(), testing::AllOf(testing::HasSubstr("<html"), testing::HasSubstr("ledger")));
    EXPECT_EQ(run({"report", "--server", "127.0.0.1:3", "--server", "127.0.0.1:4"}), 5);
    EXPECT_EQ(out.str(), "");
    EXPECT_THAT(errors.str(), testing::HasSubstr("unavailable: no report from 127.0.0.1:3: refused\n"));
}

// Guards against commands without help text.
TEST_F(OperatorToolTest, EveryCommandHasHelp)
{
    EXPECT_EQ(run({"--help"}), 0);
    const std::string generalHelp = out.str();
    for (const EnumName<Command>& row : commandNames) {
        const std::string name(row.name);
        EXPECT_THAT(generalHelp, testing::HasSubstr("  " + name + " "));
        std::istringstream stream(name);
        std::vector<std::string> words {std::istream_iterator<std::string>(stream), {}};
        words.emplace_back("--help");
        EXPECT_EQ(run(words), 0) << name << errors.str();
        EXPECT_THAT(out.str(), testing::StartsWith("Usage: jasminespreadctl " + name));
    }
}

// Guards against commands and exit codes that docs/operators.md does not explain.
TEST(OperatorsPageTest, ListsEveryCommand)
{
    std::ifstream file(std::string(SOURCE_DIR) + "/docs/operators.md");
    std::ostringstream page;
    page << file.rdbuf();
    for (const EnumName<Command>& row : commandNames) {
        EXPECT_THAT(page.str(), testing::HasSubstr("`" + std::string(row.name))) << row.name;
    }
    for (int code = 0; code <= static_cast<int>(ExitCode::UnknownOutcome); ++code) {
        EXPECT_THAT(page.str(), testing::HasSubstr("\n| " + std::to_string(code) + " | "));
    }
}

// Guards against sending a sheet with errors, and against needing an instance to validate or compare sheets.
TEST_F(OperatorToolTest, ValidateAndDiffNeedNoInstance)
{
    EXPECT_EQ(run({"validate", "SHEET"}), 0);
    EXPECT_EQ(out.str(), "valid\n");
    EXPECT_EQ(run({"diff", "SHEET", "SHEET"}), 0);
    EXPECT_EQ(out.str(), "no differences\n");
    EXPECT_THAT(calls, testing::IsEmpty());
    currentConfiguration.services[0].slotsPerServer = 9;
    EXPECT_EQ(run({"diff", "SHEET", "--server", "127.0.0.1:1"}), 0);
    EXPECT_EQ(out.str(), "services[ledger].slotsPerServer: 9 -> 6\n");
    calls.clear();
    writeFile("deployment: x\n");
    EXPECT_EQ(run({"validate", "SHEET", "--output", "json"}), 2);
    EXPECT_EQ(boost::json::parse(out.str()).at("errors").as_array().size(), 2U);
    EXPECT_EQ(run({"load", "SHEET", "--base", "0", "--server", "127.0.0.1:1"}), 2);
    EXPECT_EQ(run({"validate", "/nonexistent"}), 2);
    EXPECT_THAT(calls, testing::IsEmpty());
}

namespace {

/// A TCP server on a free port that accepts one connection, reads from it once, sends a fixed text and closes it.
class SingleAnswerServer {
public:
    explicit SingleAnswerServer(std::string text)
        : m_text(std::move(text))
        , m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        EXPECT_EQ(bind(m_listener, reinterpret_cast<const sockaddr*>(&address), size), 0);
        EXPECT_EQ(getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size), 0);
        EXPECT_EQ(listen(m_listener, 4), 0);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { serve(); });
    }

    ~SingleAnswerServer()
    {
        m_thread.join();
        close(m_listener);
    }

    SingleAnswerServer(const SingleAnswerServer&) = delete;
    SingleAnswerServer& operator=(const SingleAnswerServer&) = delete;

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    void serve()
    {
        const int connection = accept(m_listener, nullptr, nullptr);
        std::array<char, 4096> buf {};
        EXPECT_GT(recv(connection, buf.data(), buf.size(), 0), 0);
        send(connection, m_text.data(), m_text.size(), MSG_NOSIGNAL);
        close(connection);
    }

    std::string m_text;
    int m_listener;
    std::uint16_t m_port = 0;
    std::thread m_thread;
};

} // namespace

// Guards against treating a lost answer as a refused connection, after which the tool would try another instance.
TEST(OperatorCallerTest, DistinguishesLostAnswersFromRefusedConnections)
{
    const OperatorCaller caller = makeHttpOperatorCaller(Milliseconds(5'000));
    std::string address;
    {
        const SingleAnswerServer server("HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}");
        address = server.address();
        const OperatorReply reply = caller({address, "PUT", "/v1/configuration", "{}"});
        EXPECT_EQ(reply.progress, CallProgress::Answered);
        EXPECT_EQ(reply.status, 202U);
        EXPECT_EQ(reply.body, "{}");
    }
    EXPECT_EQ(caller({address, "PUT", "/", "{}"}).progress, CallProgress::NotConnected);
    for (const char* text : {"", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{}"}) {
        const SingleAnswerServer server(text);
        EXPECT_EQ(caller({server.address(), "PUT", "/", "{}"}).progress, CallProgress::AnswerLost) << text;
    }
}

} // namespace jasminespread
