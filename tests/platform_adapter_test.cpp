#include "configuration_codec.h"
#include "grant_calls.h"
#include "ingress_codec.h"
#include "platform_settings.h"
#include "store_client.h"

#include "http/http_server.h"
#include "http/request_reader.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace jasminespread::platform {
namespace {

using namespace std::chrono_literals;
namespace json = boost::json;

constexpr const char* settingsText = "grants=invoke\n"
                                     "self.node=edge-colombo-a-1\n"
                                     "self.ip=10.1.0.18\n"
                                     "self.zone=colombo-a\n"
                                     "self.region=western\n"
                                     "network.listen.front=10.1.0.18:8381\n"
                                     "network.listen.ready=10.1.0.18:8388\n"
                                     "network.internalPorts=7200,7215\n"
                                     "network.zones.kandy-a=central\n"
                                     "platform.platform.address=10.200.1.7:8384\n"
                                     "terms.bounds.retryBudgetRatio=0.2\n"
                                     "terms.bounds.budgetSlack=56\n"
                                     "terms.bounds.graceS=6\n"
                                     "terms.bounds.somethingNew=true\n";

std::string parseErrorOf(const std::string& text)
{
    return handleError(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(parsePlatformSettings(text, "settings.conf"));
            return std::string();
        },
        [](const Error& error) { return describe(error); });
}

TEST(PlatformSettingsTest, ParsesTheSettingsThatTheGatewayUses)
{
    const Result<PlatformSettings> settings = parsePlatformSettings(settingsText, "settings.conf");
    ASSERT_TRUE(settings);
    EXPECT_EQ(settings->instance, "edge-colombo-a-1");
    EXPECT_EQ(settings->controlAddress, "10.1.0.18:7200");
    EXPECT_EQ(settings->regions.at("kandy-a"), "central");
    EXPECT_EQ(settings->regions.at("colombo-a"), "western");
    EXPECT_EQ(settings->stopTimeout, 6000ms);
    EXPECT_DOUBLE_EQ(settings->retrySlack, 56);
}

/// Guards against errors that do not name the position and the remedy.
TEST(PlatformSettingsTest, ErrorsNameFileLineAndRemedy)
{
    EXPECT_EQ(parseErrorOf("self.node=a\nterms.bounds.graceS=soon\n"),
        "settings.conf:2:21: the value \"soon\" of terms.bounds.graceS cannot be used; correct it");
    EXPECT_EQ(parseErrorOf("self.node\n"), "settings.conf:1:1: a line needs the form name=value; correct it");
    EXPECT_NE(parseErrorOf("self.node=a\n").find("self.zone is missing"), std::string::npos);
}

json::value configuration()
{
    return json::parse(R"({"version":7,"baseVersion":5,"routes":{
        "r-1":{"host":"Hulo84.example","pathPrefix":"/x/","kind":"non_idempotent","timeoutMs":1200,"targetLatencyMs":800,
               "priority":1,"service":"wuno96b","maxAttempts":2},
        "r-2":{"host":"jepu9.example","pathPrefix":"/y/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":600,
               "priority":2,"trafficSplit":[{"service":"a","weight":90},{"service":"b","weight":10}],"maxAttempts":2}},
        "services":{"a":{"healthPath":"/health","maxConns":110,"sharded":true,"warmS":2.0,"warmupPerS":4.5,"grants":"invoke"},
                    "b":{"healthPath":"/health","maxConns":110}},
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})");
}

TEST(PlatformConfigurationTest, DecodesRoutesSplitsAndServices)
{
    const Result<GatewayConfiguration> decoded = decodeConfiguration(configuration());
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->version, 7U);
    ASSERT_EQ(decoded->routes.size(), 2U);
    EXPECT_EQ(decoded->routes[0].host, "hulo84.example");
    EXPECT_EQ(decoded->routes[0].repeatability, Repeatability::NonIdempotent);
    EXPECT_EQ(decoded->routes[1].targets.size(), 2U);
    EXPECT_TRUE(decoded->services.at("a").keyed);
    EXPECT_EQ(decoded->services.at("a").warmUp, 2000ms);
    EXPECT_FALSE(decoded->services.at("b").keyed);
    EXPECT_EQ(decoded->services.at("a").warmUpRate, 4.5);
    EXPECT_EQ(decoded->services.at("b").warmUpRate, 0);
    EXPECT_EQ(decoded->limits.idleTimeout, 15'000ms);
}

TEST(PlatformConfigurationTest, RejectsMalformedConfigurations)
{
    EXPECT_FALSE(decodeConfiguration(json::parse(R"({"version":"7"})")));
    EXPECT_FALSE(decodeConfiguration(json::value("text")));
}

const std::map<std::string, std::string> regions {{"colombo-a", "western"}};
constexpr const char* serverText = R"({"service":"a","address":"10.128.0.9:8080","zone":"colombo-a","version":"v1",
    "slots":6,"state":"ready","warmupLeftMs":120,"sequence":4,"born":1789})";

TEST(PlatformServerTest, DecodesAnEntry)
{
    const std::optional<ServerRegistration> decoded = decodeServer("i-1", json::parse(serverText), regions);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->sequence, 4U);
    const ListedServer* server = &decoded->server;
    EXPECT_EQ(server->identity, (ServerIdentity {"i-1", 1789}));
    EXPECT_EQ(server->region, "western");
    EXPECT_EQ(server->warmUpLeft, 120ms);
}

/// Guards against using malformed entries, which come from other writers.
TEST(PlatformServerTest, IgnoresMalformedEntries)
{
    for (const char* field : {"service", "address", "zone", "version", "slots", "state", "warmupLeftMs", "sequence"}) {
        json::object fields = json::parse(serverText).as_object();
        fields.erase(field);
        EXPECT_FALSE(decodeServer("i-1", fields, regions)) << field;
        for (const json::value& odd : {json::value(json::array()), json::value(true), json::value(nullptr)}) {
            fields[field] = odd;
            EXPECT_FALSE(decodeServer("i-1", fields, regions)) << field;
        }
    }
    json::object fields = json::parse(serverText).as_object();
    fields["state"] = "resting";
    EXPECT_FALSE(decodeServer("i-1", fields, regions));
    fields["state"] = "ready";
    fields["sequence"] = "4";
    EXPECT_FALSE(decodeServer("i-1", fields, regions));
    EXPECT_FALSE(decodeServer("i-1", json::value("garbage"), regions));
    EXPECT_FALSE(decodeServer("i-1", json::value(nullptr), regions));
}

/// Guards against numbers of other writers that do not fit: 2^32 slots would be read as none, and a sum of points in
/// time with a duration could exceed its type.
TEST(PlatformServerTest, NumbersOutOfRangeNameNoServer)
{
    const json::object valid = json::parse(serverText).as_object();
    const auto decodes = [&valid](const char* field, const char* value) {
        json::object fields = valid;
        fields[field] = json::parse(value);
        return decodeServer("i-1", fields, regions).has_value();
    };
    for (const char* slots : {"4294967296", "0", "-1", "1e999", "6.5", "99999999999999999999999"}) {
        EXPECT_FALSE(decodes("slots", slots)) << slots;
    }
    for (const char* address : {R"("10.0.0.1:65536")", R"("10.0.0.1:0")", R"("10.0.0.1:-1")",
             R"("10.0.0.1:99999999999")", R"("10.0.0.1")", R"("10.0.0.1:")", R"("10.0.0.999:80")", R"("host:80")"}) {
        EXPECT_FALSE(decodes("address", address)) << address;
    }
    for (const char* startedAt : {"1e999", "18446744073709551615", "99999999999999999999999", "\"now\""}) {
        EXPECT_FALSE(decodes("born", startedAt)) << startedAt;
    }
    json::object fields = valid;
    fields["warmupLeftMs"] = 9'000'000'000'000'000'000;
    EXPECT_LE(decodeServer("i-1", fields, regions).value().server.warmUpLeft, 24h);
}

/// Guards against names that end a header field or a log line.
TEST(PlatformServerTest, IgnoresNamesThatCannotBeSent)
{
    const json::value fields = json::parse(serverText);
    for (const std::string& id :
        {std::string("i-1\r\nX: 1"), std::string("i 1"), std::string("\xff"), std::string(), std::string(256, 'i')}) {
        EXPECT_FALSE(decodeServer(id, fields, regions)) << id;
    }
}

/// Guards against undefined conversions, whose results differ between processors.
TEST(PlatformConfigurationTest, DurationsAndWeightsHaveBounds)
{
    const auto decodeWith = [](const char* route, const char* field, const char* value) {
        json::value changed = configuration();
        changed.as_object()["routes"].as_object()[route].as_object()[field] = json::parse(value);
        return decodeConfiguration(changed);
    };
    for (const char* value : {"1e999", "1e300", "99999999999999999999999"}) {
        const Result<GatewayConfiguration> decoded = decodeWith("r-1", "timeoutMs", value);
        ASSERT_TRUE(decoded) << value;
        EXPECT_EQ(decoded->routes[0].timeout, 24h);
    }
    EXPECT_FALSE(decodeWith("r-1", "timeoutMs", "-1"));
    EXPECT_FALSE(decodeWith("r-2", "trafficSplit", R"([{"service":"a","weight":1e999}])"));
    EXPECT_FALSE(decodeWith("r-2", "trafficSplit", R"([{"service":"a","weight":-1}])"));
}

/// Guards against a route that loses its home regions because they cannot be read.
TEST(PlatformConfigurationTest, ReadsHomeRegions)
{
    const auto decodeWith = [](const char* value) {
        json::value changed = configuration();
        changed.as_object()["routes"].as_object()["r-1"].as_object()["allowedRegions"] = json::parse(value);
        return decodeConfiguration(changed);
    };
    EXPECT_THAT(
        decodeWith(R"(["north","centre"])").value().routes[0].homeRegions, testing::ElementsAre("north", "centre"));
    EXPECT_TRUE(decodeWith("[]").value().routes[0].homeRegions.empty());
    EXPECT_TRUE(decodeWith("null").value().routes[0].homeRegions.empty());
    EXPECT_FALSE(decodeWith("\"north\""));
    EXPECT_FALSE(decodeWith("[1]"));
}

RawRequest rawRequest()
{
    RawRequest raw;
    raw.method = "GET";
    raw.path = "/x/1";
    raw.query = "a=b";
    raw.headers = {{"Host", "a.example"}, {"Request-Id", "9c41"}, {"Deadline-Ms", "1500"}, {"Shard-Key", "17"},
        {"Connection", "keep-alive, X-Private"}, {"X-Private", "1"}, {"X-Own", "2"}, {"Expect-Instance", "forged"}};
    return raw;
}

/// Guards against a request that reaches the server with another target than the caller sent.
TEST(PlatformIngressTest, ForwardsTheTargetAsItCame)
{
    for (const std::string target : {"/x/1", "/x/1?", "/x/1?a=b", "/x/1??", "/x/1?a?"}) {
        RequestReader reader;
        reader.append("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n", monotonicNow());
        std::variant<RequestReader::Incomplete, RequestReader::Request, RequestReader::Refusal> read
            = reader.next(HttpServerLimits(), monotonicNow());
        ASSERT_TRUE(std::holds_alternative<RequestReader::Request>(read)) << target;
        const std::variant<GatewayRequest, CallerAnswer> decoded
            = decodeRequest(std::move(std::get<RequestReader::Request>(read).raw));
        EXPECT_EQ(std::get<GatewayRequest>(decoded).target, target);
    }
}

TEST(PlatformIngressTest, DecodesTheHeadersOfACaller)
{
    const std::variant<GatewayRequest, CallerAnswer> decoded = decodeRequest(rawRequest());
    const GatewayRequest& request = std::get<GatewayRequest>(decoded);
    EXPECT_EQ(request.id, "9c41");
    EXPECT_EQ(request.target, "/x/1?a=b");
    EXPECT_EQ(request.timeLeft, 1500ms);
    EXPECT_EQ(request.key, 17);
    EXPECT_TRUE(findHeader(request.headers, "X-Own"));
    EXPECT_TRUE(findHeader(request.headers, "Request-Id"));
    // Hop-by-hop fields, and fields that the gateway sets itself, are not forwarded.
    EXPECT_FALSE(findHeader(request.headers, "X-Private"));
    EXPECT_FALSE(findHeader(request.headers, "Expect-Instance"));
}

TEST(PlatformIngressTest, AnswersMalformedHeadersWith400)
{
    for (const auto& [name, value] : {std::pair("Deadline-Ms", "soon"), std::pair("Shard-Key", "65536")}) {
        RawRequest raw = rawRequest();
        for (HeaderField& field : raw.headers) {
            field.value = field.name == name ? value : field.value;
        }
        const std::variant<GatewayRequest, CallerAnswer> decoded = decodeRequest(std::move(raw));
        ASSERT_TRUE(std::holds_alternative<CallerAnswer>(decoded)) << name;
        EXPECT_EQ(std::get<CallerAnswer>(decoded).status, 400U);
    }
}

/// Guards against a request being served by another server at a reused address, and against a deadline beyond the
/// caller's.
TEST(PlatformIngressTest, SendsCarryTheServerIdAndTheTimeLeft)
{
    std::variant<GatewayRequest, CallerAnswer> decoded = decodeRequest(rawRequest());
    SendToServer send;
    send.server.identity.id = "i-7";
    send.request = std::make_shared<const GatewayRequest>(std::get<GatewayRequest>(decoded));
    send.timeLeft = 900ms;
    const BackendRequest encoded = encodeSend(send);
    EXPECT_EQ(findHeader(encoded.headers, "Expect-Instance"), "i-7");
    EXPECT_EQ(findHeader(encoded.headers, "Deadline-Ms"), "900");
    EXPECT_EQ(findHeader(encoded.headers, "Host"), "a.example");
    EXPECT_TRUE(encoded.isMatchingAnswer({{"Request-Id", "9c41"}}, true));
    EXPECT_FALSE(encoded.isMatchingAnswer({{"Request-Id", "other"}}, false));
    EXPECT_FALSE(encoded.needsNewConnection);
}

/// Guards against a second copy of an earlier refusal being taken for the refusal of a request that runs. Without an id
/// it can be told apart only on a connection that carried no other request.
TEST(PlatformIngressTest, AnswersWithoutTheIdOfTheRequestMayBeCopies)
{
    std::variant<GatewayRequest, CallerAnswer> decoded = decodeRequest(rawRequest());
    SendToServer send;
    send.request = std::make_shared<const GatewayRequest>(std::get<GatewayRequest>(decoded));
    const BackendRequest encoded = encodeSend(send);
    EXPECT_TRUE(encoded.isMatchingAnswer({}, false));
    EXPECT_FALSE(encoded.isMatchingAnswer({}, true));
    for (const bool reused : {false, true}) {
        EXPECT_FALSE(encoded.isMatchingAnswer({{"Request-Id", "9c41"}, {"Request-Id", "other"}}, reused));
        EXPECT_FALSE(encoded.isMatchingAnswer({{"Request-Id", "other"}, {"Request-Id", "9c41"}}, reused));
        EXPECT_TRUE(encoded.isMatchingAnswer({{"Request-Id", "9c41"}, {"Request-Id", "9c41"}}, reused));
    }
    send.repeated = true;
    EXPECT_TRUE(encodeSend(send).needsNewConnection);
    send.repeated = false;
    std::get<GatewayRequest>(decoded).id.clear();
    send.request = std::make_shared<const GatewayRequest>(std::get<GatewayRequest>(decoded));
    EXPECT_TRUE(encodeSend(send).needsNewConnection);
}

BackendResult answeredWith(unsigned status, std::vector<HeaderField> headers)
{
    BackendResult result;
    result.progress = BackendProgress::Answered;
    result.status = status;
    result.headers = std::move(headers);
    return result;
}

/// Guards against reading a "not run" or a success from an answer that does not state it.
TEST(PlatformIngressTest, DecodesExecutionFromAnAnswer)
{
    const std::vector<HeaderField> sealedHeaders {{"Request-Id", "1"}, {"Response-Seal", "s"}};
    EXPECT_EQ(decodeServerAnswer(answeredWith(503, {})).execution, Execution::MayHaveRun);
    EXPECT_EQ(decodeServerAnswer(answeredWith(503, {{"Not-Executed", "1"}})).execution, Execution::NotRun);
    EXPECT_EQ(decodeServerAnswer(answeredWith(421, {})).execution, Execution::NotOwner);
    for (const unsigned refusal : {400U, 408U, 429U, 503U}) {
        EXPECT_EQ(decodeServerAnswer(answeredWith(refusal, {{"Not-Executed", "1"}})).execution, Execution::NotRun);
    }
    // A request that ends with one of these counts as run.
    for (const unsigned run : {500U, 504U}) {
        EXPECT_EQ(decodeServerAnswer(answeredWith(run, {{"Not-Executed", "1"}})).execution, Execution::MayHaveRun);
    }
    // A success contradicts the statement.
    std::vector<HeaderField> contradicting = sealedHeaders;
    contradicting.push_back({"Not-Executed", "1"});
    EXPECT_EQ(decodeServerAnswer(answeredWith(200, contradicting)).execution, Execution::MayHaveRun);
    EXPECT_FALSE(decodeServerAnswer(answeredWith(200, contradicting)).verified);
    EXPECT_TRUE(decodeServerAnswer(answeredWith(200, sealedHeaders)).verified);
    EXPECT_FALSE(decodeServerAnswer(answeredWith(200, {{"Request-Id", "1"}})).verified);
    EXPECT_FALSE(decodeServerAnswer(answeredWith(200, {{"Response-Seal", "s"}})).verified);
    EXPECT_EQ(findHeader(decodeServerAnswer(answeredWith(200, sealedHeaders)).headers, "Response-Seal"), "s");
}

/// Guards against a server that leaves because of an odd value, or because of an answer that is not its own.
TEST(PlatformIngressTest, OnlyAServersOwnAnswerStatesThatItLeaves)
{
    const HeaderField id {"Request-Id", "1"};
    const HeaderField seal {"Response-Seal", "s"};
    const auto statesLeaving = [](unsigned status, const std::vector<HeaderField>& headers) {
        return decodeServerAnswer(answeredWith(status, headers)).statesLeaving;
    };
    EXPECT_TRUE(statesLeaving(200, {id, seal, {"Server-Leaving", "1"}}));
    EXPECT_TRUE(statesLeaving(500, {id, {"server-leaving", "1"}}));
    EXPECT_TRUE(statesLeaving(503, {id, {"Not-Executed", "1"}, {"Server-Leaving", "1"}}));
    for (const char* odd : {"", "0", "10", "-1", "true", "1, 1", "1;0"}) {
        EXPECT_FALSE(statesLeaving(200, {id, seal, {"Server-Leaving", odd}})) << odd;
    }
    EXPECT_FALSE(statesLeaving(200, {id, {"Server-Leaving", "1"}})); // Not verified.
    EXPECT_FALSE(statesLeaving(500, {{"Server-Leaving", "1"}}));
    EXPECT_FALSE(statesLeaving(421, {id, {"Server-Leaving", "1"}}));
    EXPECT_FALSE(statesLeaving(200, {id, seal}));
    // The caller gets the field as the server sent it.
    EXPECT_EQ(findHeader(
                  decodeServerAnswer(answeredWith(200, {id, seal, {"Server-Leaving", "1"}})).headers, "Server-Leaving"),
        "1");
}

/// Guards against a server that counts as cold because of an odd value, or because of an answer that is not its own.
TEST(PlatformIngressTest, ReadsTheSlowStartThatAServerStates)
{
    const HeaderField id {"Request-Id", "1"};
    const HeaderField seal {"Response-Seal", "s"};
    const auto warmUp = [&](const std::string& value) {
        return decodeServerAnswer(answeredWith(200, {id, seal, {"Warmup-Ms", value}})).statedWarmUpLeft;
    };
    EXPECT_EQ(warmUp("2500"), 2500ms);
    EXPECT_EQ(warmUp("9000000000000000000"), 10min);
    for (const char* odd : {"", "0", "-1", "1.5", "2 s", "99999999999999999999"}) {
        EXPECT_EQ(warmUp(odd), std::nullopt) << odd;
    }
    EXPECT_EQ(decodeServerAnswer(answeredWith(200, {id, {"Warmup-Ms", "9"}})).statedWarmUpLeft, std::nullopt);
    EXPECT_EQ(decodeServerAnswer(answeredWith(421, {id, {"Warmup-Ms", "9"}})).statedWarmUpLeft, std::nullopt);
}

/// Guards against pauses that no server asked for, and against values that stop the parser or overflow.
TEST(PlatformIngressTest, ReadsThePauseThatAServerAsksFor)
{
    const HeaderField id {"Request-Id", "1"};
    const auto pause = [&](const std::string& value) {
        return decodeServerAnswer(answeredWith(503, {id, {"Not-Executed", "1"}, {"Retry-After", value}}))
            .requestedPause;
    };
    EXPECT_EQ(pause("2"), 2000ms);
    EXPECT_EQ(pause("0.25"), 250ms);
    EXPECT_EQ(pause(".5"), 500ms);
    EXPECT_EQ(pause("0.0001"), 1ms);
    EXPECT_EQ(pause("99999999999999999999"), 1h);
    EXPECT_EQ(pause(std::string(400, '9')), 1h);
    for (const char* odd : {"", "0", "0.0", "-1", "+1", "1e3", "nan", "inf", "1,5", "1.5.", "0x10", "1 s", " 1", ".",
             "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        EXPECT_EQ(pause(odd), std::nullopt) << odd;
    }
    const auto pauseOf = [](unsigned status, const std::vector<HeaderField>& headers) {
        return decodeServerAnswer(answeredWith(status, headers)).requestedPause;
    };
    EXPECT_EQ(pauseOf(503, {id, {"Retry-After", "1"}, {"Retry-After", "x"}, {"Retry-After", "3"}}), 3000ms);
    EXPECT_EQ(pauseOf(503, {{"Retry-After", "1"}}), std::nullopt);
    EXPECT_EQ(pauseOf(429, {id, {"Retry-After", "1"}}), std::nullopt);
    EXPECT_EQ(pauseOf(500, {id, {"Retry-After", "1"}}), std::nullopt);
}

TEST(PlatformIngressTest, EncodesRetryAfter)
{
    AnswerRequest refusal;
    refusal.requestId = "9c41";
    refusal.retryAfter = 250ms;
    const CallerAnswer answer = encodeAnswer(std::move(refusal));
    EXPECT_EQ(answer.status, 503U);
    EXPECT_EQ(findHeader(answer.headers, "Retry-After"), "0.250");
    EXPECT_EQ(findHeader(answer.headers, "Request-Id"), "9c41");
}

TEST(PlatformGrantTest, EncodesGrantsAndReleases)
{
    const GrantRange grant {1, {{"i-1", 5}, "10.0.0.1:80"}, {4096, 8191}, 12, 4000ms, "5c0e"};
    const BackendRequest encoded = encodeGrant(grant, MonotonicTime(1s));
    EXPECT_EQ(encoded.target, "/api/grant");
    EXPECT_EQ(json::parse(encoded.body),
        json::parse(R"({"from":4096,"to":8191,"fence":12,"holdMs":4000,"handover":"5c0e"})"));
    EXPECT_EQ(findHeader(encoded.headers, "Expect-Instance"), "i-1");
    const ReleaseRange release {2, {{"i-1", 5}, "10.0.0.1:80"}, {4096, 8191}, 12};
    EXPECT_EQ(json::parse(encodeRelease(release, MonotonicTime(1s)).body),
        json::parse(R"({"from":4096,"to":8191,"fence":12})"));
}

/// Guards against decoding an unknown outcome as a known one.
TEST(PlatformGrantTest, DecodesEveryOutcome)
{
    EXPECT_EQ(decodeGrantAnswer(1, answeredWith(200, {{"Handover", "h"}})).handover, "h");
    EXPECT_EQ(decodeGrantAnswer(1, answeredWith(200, {})).result, GrantResult::Done);
    EXPECT_EQ(decodeGrantAnswer(1, answeredWith(409, {})).result, GrantResult::Fenced);
    EXPECT_EQ(decodeGrantAnswer(1, answeredWith(421, {})).result, GrantResult::OtherServer);
    EXPECT_EQ(decodeGrantAnswer(1, answeredWith(400, {})).result, GrantResult::Refused);
    EXPECT_EQ(decodeGrantAnswer(1, answeredWith(500, {})).result, GrantResult::NoAnswer);
    EXPECT_EQ(decodeGrantAnswer(1, BackendResult()).result, GrantResult::NotSent);
    BackendResult withheld;
    withheld.withheld = true;
    EXPECT_EQ(decodeGrantAnswer(1, withheld).result, GrantResult::Withheld);
    withheld.progress = BackendProgress::Broken; // Withheld after its first bytes.
    EXPECT_EQ(decodeGrantAnswer(1, withheld).result, GrantResult::NoAnswer);
    BackendResult unanswered;
    unanswered.progress = BackendProgress::Broken;
    unanswered.timedOut = true;
    EXPECT_EQ(decodeGrantAnswer(1, unanswered).result, GrantResult::NoAnswer);
    EXPECT_FALSE(decodeGrantAnswer(1, unanswered).wasReset);
    unanswered.timedOut = false;
    EXPECT_EQ(decodeGrantAnswer(1, unanswered).result, GrantResult::NoAnswer);
    EXPECT_TRUE(decodeGrantAnswer(1, unanswered).wasReset);
}

/// Guards against one deeply nested entry, or one with a number that is too large, hiding all other servers.
TEST(StoreClientTest, AnEntryThatCannotBeParsedDoesNotHideTheOthers)
{
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    for (const std::string& odd : {deep, std::string("1e99999999999"), std::string("\"\x01\""), std::string("nul")}) {
        BackendTransport transport;
        transport.send = [&odd](const BackendRequest& request, const BackendTransport::Callback& callback) {
            const std::string objects[] {R"({"metadata":{"name":"a","rev":5},"spec":)" + odd + "}",
                R"({"metadata":{"name":"b","rev":6},"spec":{"x":1}})"};
            BackendResult result;
            result.progress = BackendProgress::Answered;
            result.status = 200;
            result.body = request.target.find("watch") == std::string::npos
                ? R"({"items":[)" + objects[0] + "," + objects[1] + R"(],"atRev":9})"
                : R"({"events":[{"deleted":false,"object":)" + objects[0] + R"(},{"deleted":false,"object":)"
                    + objects[1] + R"(}],"atRev":9})";
            callback(result);
            return BackendTransport::Handle(1);
        };
        StoreClient store(transport, "10.0.0.1:80");
        ObjectPage page;
        store.list("servers", "", false, [&page](const ObjectPage& found) { page = found; });
        ASSERT_EQ(page.status, StoreStatus::Ok);
        ASSERT_EQ(page.objects.size(), 2U);
        EXPECT_TRUE(page.objects[0].spec.is_null());
        EXPECT_EQ(page.objects[1].name, "b");
        ObjectChanges changes;
        store.watch("servers", 4, 1ms, [&changes](const ObjectChanges& found) { changes = found; });
        ASSERT_EQ(changes.status, StoreStatus::Ok);
        ASSERT_EQ(changes.changes.size(), 2U);
        const std::optional<std::vector<ObjectChange>> passedOn = decodeChanges(encodeChanges(changes.changes));
        ASSERT_TRUE(passedOn);
        EXPECT_EQ(passedOn->at(1).object.spec, json::parse(R"({"x":1})"));
    }
}

/// Guards against reading "nothing was written" from an answer that does not state it, or from none.
TEST(StoreClientTest, OnlyUnsentAndRefusedWritesAreKnownToHaveNoEffect)
{
    BackendResult result;
    BackendTransport transport;
    transport.send = [&result](const BackendRequest&, const BackendTransport::Callback& callback) {
        callback(result);
        return BackendTransport::Handle(1);
    };
    StoreClient store(transport, "10.0.0.1:80");
    const auto writeStatus = [&](BackendProgress progress, unsigned status, const std::string& body = "") {
        result.progress = progress;
        result.status = status;
        result.body = body;
        std::optional<StoreStatus> written;
        store.records().write("jasminespread", "r", 5, "v", [&](const StoreWriteResult& end) { written = end.status; });
        return written;
    };
    EXPECT_EQ(writeStatus(BackendProgress::NotSent, 0), StoreStatus::Unavailable);
    EXPECT_EQ(writeStatus(BackendProgress::Answered, 503), StoreStatus::Unavailable);
    EXPECT_EQ(writeStatus(BackendProgress::Answered, 429), StoreStatus::Unavailable);
    EXPECT_EQ(writeStatus(BackendProgress::Answered, 409), StoreStatus::Conflict);
    EXPECT_EQ(writeStatus(BackendProgress::Broken, 0), StoreStatus::Unknown);
    for (const unsigned status : {202U, 301U, 400U, 408U, 421U, 500U, 502U, 504U}) {
        EXPECT_EQ(writeStatus(BackendProgress::Answered, status), StoreStatus::Unknown) << status;
    }
    EXPECT_EQ(writeStatus(BackendProgress::Answered, 200, "{"), StoreStatus::Unknown);
    EXPECT_EQ(writeStatus(BackendProgress::Answered, 200, R"({"metadata":{"name":"r","rev":6},"spec":"v"})"),
        StoreStatus::Ok);
}

/// Guards against one unreadable entry of another writer hiding all other servers.
TEST(StoreClientTest, AnUnreadableEntryDoesNotHideTheOthers)
{
    BackendTransport transport;
    transport.send = [](const BackendRequest&, const BackendTransport::Callback& callback) {
        BackendResult result;
        result.progress = BackendProgress::Answered;
        result.status = 200;
        result.body = "{\"items\":[{\"metadata\":{\"name\":\"a\",\"rev\":5},\"spec\":{\"x\":\"\xff\xfe\"}},"
                      "{\"metadata\":5},{\"metadata\":{\"name\":\"b\",\"rev\":6},\"spec\":{}}],\"atRev\":9}";
        callback(result);
        return BackendTransport::Handle(1);
    };
    StoreClient store(transport, "10.0.0.1:80");
    ObjectPage page;
    store.list("servers", "", false, [&page](const ObjectPage& found) { page = found; });
    ASSERT_EQ(page.status, StoreStatus::Ok);
    ASSERT_EQ(page.objects.size(), 2U);
    EXPECT_EQ(page.objects[1].name, "b");
    EXPECT_EQ(page.storeRevision, 9U);
}

} // namespace
} // namespace jasminespread::platform
