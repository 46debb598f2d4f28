#include "operatorconfig.h"
#include "platformsettings.h"
#include "relayheaders.h"
#include "settings.h"
#include "upstreamentry.h"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace hemlock;
using nlohmann::json;

namespace {

class PlatformAdapterFixture
{
protected:
    static json settings()
    {
        return {{"node-name", "frontend-1"},
                {"zone", "zone-a"},
                {"ip", "10.1.0.14"},
                {"port-range", {7600, 7615}},
                {"bootstrap", true},
                {"heartbeat-ms", 1500},
                {"listen", {{"front", "10.1.0.14:8221"}, {"ready", "10.1.0.14:8224"}, {"control", "10.1.0.14:8229"}}},
                {"bounds", {{"retry-slack", 60}, {"retry-ratio", 0.2}, {"usage-window-s", 5}, {"grace-s", 8}}},
                {"platform", {{"address", "10.200.1.7:8225"}}},
                {"cloud", {{"address", "10.200.0.35:8225"}, {"duties", {"usage_report"}}}}};
    }

    static json route()
    {
        return {{"name", "r"},
                {"hostname", "h.example"},
                {"path-prefix", "/p/"},
                {"kind", "streaming"},
                {"timeout-ms", 12000},
                {"target-latency-ms", 1000},
                {"priority", 1},
                {"max-attempts", 2},
                {"public", false},
                {"resumable", true},
                {"service", "s"}};
    }

    static HttpRequest request()
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/p/2f?x=1";
        request.path = "/p/2f";
        request.headers = {{"Host", "h.example"},
                           {"X-Hemlockflow-Attempt-Id", "9c41"},
                           {"X-Hemlockflow-Token-Usage", "1460,80"},
                           {"X-Hemlockflow-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
                           {"X-Hemlockflow-Deadline-Ms", "12000"},
                           {"Api-Key", "secret"},
                           {"X-Hemlockflow-Tenant", "forged"},
                           {"X-Hemlockflow-Hold", "forged"},
                           {"Kv-From", "forged"},
                           {"Connection", "close, X-Hop"},
                           {"X-Hop", "1"},
                           {"X-Own", "2"}};
        request.body = "{}";
        return request;
    }
};

} // namespace

TEST_CASE("decodeRelayAnswer: upstream names a rate limit: only a positive number is one")
{
    const auto limitOf = [](const std::string &value) {
        return platform::decodeRelayAnswer({{"Server-Limit", value}}).rateLimit;
    };
    CHECK(limitOf("1").value_or(0.0) == 1.0);
    CHECK(limitOf(" 0.75 ").value_or(0.0) == 0.75);
    for (const char *invalid : {"", "0", "-1", "nan", "inf", "1e9", "99999999999", "1,5", "1 per second", "0x10"}) {
        CAPTURE(invalid);
        CHECK_FALSE(limitOf(invalid));
    }
    CHECK(platform::decodeRelayAnswer({{"Server-Limit", "x"}}).namesRateLimit);
    CHECK_FALSE(platform::decodeRelayAnswer({}).namesRateLimit);
}

TEST_CASE("decodeRelayAnswer: upstream says that it leaves: other values than the agreed ones are reported")
{
    const auto answerWith = [](const std::string &value) {
        return platform::decodeRelayAnswer({{"Server-Leaving", value}});
    };
    CHECK(answerWith("1").isUpstreamLeaving);
    CHECK(answerWith(" 1 ").invalidNotices.empty());
    CHECK_FALSE(answerWith("0").isUpstreamLeaving);
    CHECK(answerWith("0").invalidNotices.empty());
    for (const char *invalid :
         {"", "-1", "2", "true", "1,1", "99999999999999999999", "Sat, 05 Dec 2026 10:00:00 GMT"}) {
        CAPTURE(invalid);
        CHECK_FALSE(answerWith(invalid).isUpstreamLeaving);
        CHECK(answerWith(invalid).invalidNotices == std::vector<std::string>{"leaving"});
    }
    CHECK_FALSE(platform::decodeRelayAnswer({}).isUpstreamLeaving);
    CHECK(platform::decodeRelayAnswer({}).invalidNotices.empty());
    CHECK(platform::decodeRelayAnswer({{"Server-Limit", "x"}}).invalidNotices == std::vector<std::string>{"limit"});
}

TEST_CASE("decodeRelayAnswer: upstream wants a pause: seconds are decoded, bounded or reported as invalid")
{
    const auto answerWith = [](const std::string &value) {
        return platform::decodeRelayAnswer({{"Retry-After", value}});
    };
    CHECK(answerWith("3").pause == std::chrono::milliseconds(3000));
    CHECK(answerWith(" 0.25 ").pause == std::chrono::milliseconds(250));
    CHECK(answerWith("0").pause == std::chrono::milliseconds(0));
    CHECK_FALSE(answerWith("600").isPauseInvalid);
    for (const char *tooLong : {"601", "31536000", "99999999999999999999"}) {
        CAPTURE(tooLong);
        CHECK(answerWith(tooLong).pause == std::chrono::minutes(10));
        CHECK(answerWith(tooLong).isPauseInvalid);
    }
    for (const char *invalid : {"", "-1", "nan", "inf", "1e9", "3 s", "1,5", "0x10", "Sat, 05 Dec 2026 10:00:00 GMT"}) {
        CAPTURE(invalid);
        CHECK_FALSE(answerWith(invalid).pause);
        CHECK(answerWith(invalid).isPauseInvalid);
    }
    CHECK_FALSE(platform::decodeRelayAnswer({}).pause);
    CHECK_FALSE(platform::decodeRelayAnswer({}).isPauseInvalid);
}

TEST_CASE_METHOD(PlatformAdapterFixture, "parsePlatformSettings: valid settings: are mapped to the relay settings")
{
    const auto parsed = platform::parsePlatformSettings(settings());
    CHECK(parsed.relay.node == "frontend-1");
    CHECK(parsed.relay.callerAddress == "10.1.0.14:8221");
    CHECK(parsed.relay.peerAddress == "10.1.0.14:7600");
    CHECK(parsed.storeAddress == "10.200.1.7:8225");
    CHECK(parsed.relay.reportsUsage);
    CHECK_FALSE(parsed.relay.ordersUpstreams);
    CHECK(parsed.relay.drainTime == std::chrono::seconds(8));
    CHECK(parsed.relay.upstreamHeartbeat == std::chrono::milliseconds(1500));
    CHECK(parsed.relay.isFirstStart);
}

// Guards against restarted processes that retry as if nothing had been spent before.
TEST_CASE_METHOD(PlatformAdapterFixture,
                 "parsePlatformSettings: first start or a restart: only the first one begins with saved-up retries")
{
    json json = settings();
    CHECK(platform::parsePlatformSettings(json).relay.startsWithRetries);
    CHECK(platform::parsePlatformSettings(json).relay.retryWindow == std::chrono::seconds(10));
    json["bounds"]["retry-window-s"] = 12.5;
    json["bootstrap"] = false;
    CHECK_FALSE(platform::parsePlatformSettings(json).relay.startsWithRetries);
    CHECK(platform::parsePlatformSettings(json).relay.retryWindow == std::chrono::milliseconds(12500));
    json.erase("bootstrap");
    CHECK_FALSE(platform::parsePlatformSettings(json).relay.startsWithRetries);
}

TEST_CASE_METHOD(PlatformAdapterFixture, "parsePlatformSettings: unknown field: is ignored")
{
    json json = settings();
    json["new-field"] = {1, 2};
    CHECK_NOTHROW(platform::parsePlatformSettings(json));
}

TEST_CASE_METHOD(PlatformAdapterFixture, "parsePlatformSettings: field is missing or malformed: the error names it")
{
    json missing = settings();
    missing["listen"].erase("ready");
    CHECK_THROWS_WITH(platform::parsePlatformSettings(missing), Catch::Contains("ready"));
    json malformed = settings();
    malformed["platform"]["address"] = "10.200.1.7";
    CHECK_THROWS_WITH(platform::parsePlatformSettings(malformed), Catch::Contains("address"));
    CHECK_THROWS_AS(platform::parsePlatformSettings(json::array()), SettingsError);
}

TEST_CASE_METHOD(PlatformAdapterFixture,
                 "decodeOperatorConfig: route with one service or a traffic split: has a target for each service")
{
    json split = route();
    split.erase("service");
    split["traffic-split"] = {{{"service", "a"}, {"weight", 90}}, {{"service", "b"}, {"weight", 10}}};
    const json document = {{"version", 7},
                           {"routes", {route(), split}},
                           {"services", {{{"name", "s"}, {"engine", {{"kv-cache-tokens", 500000}}}}}},
                           {"tenants", {{{"name", "t"}, {"api-keys", {"k"}}, {"unit", "token_stream"}}}}};
    const RelayConfig config = platform::decodeOperatorConfig(document.dump());
    CHECK(config.version == 7);
    REQUIRE(config.routes.size() == 2);
    CHECK(config.routes[0].kind == CallKind::Stream);
    CHECK(config.routes[0].targets.size() == 1);
    CHECK(config.routes[1].targets.size() == 2);
    CHECK(config.services[0].isModel);
    CHECK(config.accounts[0].countsTokens);
}

TEST_CASE_METHOD(PlatformAdapterFixture, "decodeOperatorConfig: unknown route kind: throws")
{
    json unknown = route();
    unknown["kind"] = "sometimes";
    const json document = {{"version", 7}, {"routes", {unknown}}, {"services", json::array()}};
    CHECK_THROWS(platform::decodeOperatorConfig(document.dump()));
}

TEST_CASE_METHOD(PlatformAdapterFixture,
                 "decodeUpstreamEntry: valid entry: is decoded with its state, incarnation and reclaimability")
{
    const json entry = {{"service", "s"},
                        {"address", "10.2.0.1:80"},
                        {"zone", "zone-a"},
                        {"slots", 64},
                        {"state", "draining"},
                        {"born", 1700000000000},
                        {"spot", true}};
    const Upstream upstream = platform::decodeUpstreamEntry("i-1", entry.dump());
    CHECK(upstream.id == "i-1");
    CHECK(upstream.state == UpstreamState::Leaving);
    CHECK(upstream.isReclaimable);
    CHECK(upstream.incarnation == "1700000000000");
}

TEST_CASE_METHOD(PlatformAdapterFixture, "decodeUpstreamEntry: missing, mistyped or unknown value: throws")
{
    const json entry = {
        {"service", "s"}, {"address", "10.2.0.1:80"}, {"zone", "zone-a"}, {"slots", 64}, {"state", "ready"}};
    for (const char *name : {"service", "address", "zone", "slots", "state"}) {
        json missing = entry;
        missing.erase(name);
        CHECK_THROWS(platform::decodeUpstreamEntry("i-1", missing.dump()));
        json mistyped = entry;
        mistyped[name] = json::array();
        CHECK_THROWS(platform::decodeUpstreamEntry("i-1", mistyped.dump()));
    }
    json unknown = entry;
    unknown["state"] = "dancing";
    CHECK_THROWS(platform::decodeUpstreamEntry("i-1", unknown.dump()));
    CHECK_THROWS(platform::decodeUpstreamEntry("i-1", "not json"));
}

// Guards against a process that ends, or an upstream with nonsensical limits, by an entry of another writer.
TEST_CASE_METHOD(PlatformAdapterFixture, "decodeUpstreamEntry: number, port or nesting out of range: throws")
{
    const json entry = {{"service", "s"},
                        {"address", "10.2.0.1:80"},
                        {"zone", "zone-a"},
                        {"slots", 64},
                        {"state", "ready"},
                        {"born", 1700000000000}};
    const auto decode = [&entry](const std::string &name, const std::string &value) {
        json changed = entry;
        changed[name] = "VALUE";
        std::string text = changed.dump();
        text.replace(text.find("\"VALUE\""), std::string("\"VALUE\"").size(), value);
        return platform::decodeUpstreamEntry("i-1", text);
    };
    CHECK_NOTHROW(decode("slots", "64"));
    for (const std::string slots : {"-1", "0", "1e300", "1e400", "4294967360", "18446744073709551615", "true", "6.5"})
        CHECK_THROWS(decode("slots", slots));
    for (const std::string port : {"0", "70000", "80x", "-80", "", "99999999999999999999"})
        CHECK_THROWS(decode("address", "\"10.2.0.1:" + port + "\""));
    CHECK_THROWS(decode("address", "\":80\""));
    CHECK_NOTHROW(decode("born", "0"));
    for (const std::string born : {"-1", "1e300", "\"1700000000000\"", "[]"})
        CHECK_THROWS(decode("born", born));
    constexpr std::size_t levels = 100000;
    const std::string nested = std::string(levels, '[') + std::string(levels, ']');
    CHECK_THROWS(decode("born", nested));
    CHECK_NOTHROW(decode("unknown", nested));
    CHECK_THROWS(decode("service", "\"" + std::string(1000000, 's') + "\""));
    CHECK_THROWS(decode("zone", "\"\xff\""));
}

TEST_CASE_METHOD(PlatformAdapterFixture,
                 "decodeRelayRequest: caller's request: is decoded without the header fields that are not forwarded")
{
    const auto decoded = platform::decodeRelayRequest(request());
    const auto &relayed = std::get<RelayRequest>(decoded);
    CHECK(relayed.attemptId == "9c41");
    CHECK(relayed.apiKey == "secret");
    CHECK(relayed.target == "/p/2f?x=1");
    CHECK(*relayed.promptTokens == 1460.0);
    CHECK(relayed.answerTokens == 80.0);
    REQUIRE(relayed.parts.size() == 3);
    CHECK(relayed.parts[0].id == 0x5c1e07a2);
    CHECK(relayed.parts[2].tokens == 250.0);
    for (const char *dropped :
         {"Api-Key", "X-Hemlockflow-Tenant", "X-Hemlockflow-Hold", "Kv-From", "Connection", "X-Hop"})
        CHECK_FALSE(relayed.headers.has(dropped));
    CHECK(relayed.headers.value("X-Own") == "2");
    CHECK(relayed.headers.value("X-Hemlockflow-Prompt-Prefix") == "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
}

TEST_CASE_METHOD(PlatformAdapterFixture, "decodeRelayRequest: request without an attempt identifier: has status 400")
{
    HttpRequest withoutId = request();
    withoutId.headers.remove("X-Hemlockflow-Attempt-Id");
    const auto decoded = platform::decodeRelayRequest(withoutId);
    CHECK(std::get<RequestError>(decoded).status == 400);
}

TEST_CASE_METHOD(PlatformAdapterFixture,
                 "encodeRelayAttempt: attempt: has header fields for the upstream, the account and the remaining time")
{
    const auto decoded = platform::decodeRelayRequest(request());
    RelayAttempt attempt;
    attempt.upstreamId = "i-1";
    attempt.address = "10.2.0.1:80";
    attempt.clientAccount = "account";
    attempt.timeLeft = std::chrono::milliseconds(900);
    attempt.lastEventId = "12";
    const HttpCall call = platform::encodeRelayAttempt(std::get<RelayRequest>(decoded), attempt);
    CHECK(call.target == "/p/2f?x=1");
    CHECK(call.sentBody() == "{}");
    CHECK(call.headers.value("X-Hemlockflow-Expect-Instance") == "i-1");
    CHECK(call.headers.value("X-Hemlockflow-Tenant") == "account");
    CHECK(call.headers.value("X-Hemlockflow-Deadline-Ms") == "900");
    CHECK(call.headers.value("X-Hemlockflow-Attempt-Id") == "9c41");
    CHECK(call.headers.value("Last-Event-Id") == "12");
    CHECK_FALSE(call.headers.has("Api-Key"));
}

TEST_CASE_METHOD(
    PlatformAdapterFixture,
    "decodeRelayAnswer: header fields of an answer: attempt, execution, signature and keep-alive are decoded")
{
    const HttpHeaders head = {{"X-Hemlockflow-Attempt-Id", "9c41"},
                              {"X-Hemlockflow-Not-Executed", "1"},
                              {"Keep-Alive", "timeout=7, max=100"}};
    const RelayAnswer answer = platform::decodeRelayAnswer(head);
    CHECK(answer.attemptId == "9c41");
    CHECK(answer.isNotExecuted);
    CHECK_FALSE(answer.isSigned);
    CHECK(answer.keepAlive == std::chrono::seconds(7));
}
