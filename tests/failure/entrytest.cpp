#include "entrycluster.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace hemlock;
using nlohmann::json;

namespace {

const std::string prompt = "Write a fitting plan for three kings and a shepherd";
const HttpHeaders requestId = {{"X-Request-Id", "request-1"}};

class EntryFixture : public EntryCluster
{
protected:
    /// Answer of a request without failures, for comparison.
    std::string expectedText(const Node &entry, int tokens)
    {
        const HttpOutcome outcome = this->complete(entry, prompt, tokens);
        REQUIRE(outcome.status == 200);
        return json::parse(outcome.body).at("choices").at(0).at("text");
    }

    /// Checks that event identifiers number the tokens from @p first without gaps or duplicates.
    static void checkNumbers(const CallerStream &stream, std::size_t first)
    {
        std::size_t number = first;
        for (const ServerSentEvent &event : stream.events) {
            if (!event.id.empty())
                CHECK(event.id.substr(0, event.id.find('.')) == std::to_string(number++));
        }
    }

    Node &engineOf(const Stream &stream, Node &one, Node &other)
    {
        return stream->lastEventId.ends_with("." + one.id) ? one : other;
    }

    HttpHeaders resumeHeaders(const Stream &stream) const
    {
        return {{"X-Request-Id", "request-1"}, {"Last-Event-ID", stream->lastEventId}};
    }
};

} // namespace

// Guards against tokens that are lost or sent twice when an engine crashes during a stream.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: engine killed during a stream: the caller gets each token once")
{
    Node &first = this->startEngine("a");
    Node &second = this->startEngine("b");
    const Node &entry = this->startEntry();
    this->applySnapshot();
    const std::string expected = this->expectedText(entry, 60);
    const Stream stream = this->openStream(entry, prompt, 60);
    this->waitForTokens(stream, 10);
    this->engineOf(stream, first, second).process->kill();
    this->waitForEnd(stream);
    CHECK(stream->isDone());
    CHECK(stream->text() == expected);
    checkNumbers(*stream, 1);
}

// Guards against losing an answer with its entry VM although the engine still holds the stream.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: entry process killed during a stream: the engine's stream is resumed")
{
    this->startEngine("a");
    const Node &entry = this->startEntry();
    const Node &other = this->startEntry();
    this->applySnapshot();
    const std::string expected = this->expectedText(other, 60);
    const Stream stream = this->openStream(entry, prompt, 60, requestId);
    this->waitForTokens(stream, 10);
    entry.process->kill();
    this->waitForEnd(stream);
    const std::size_t received = stream->texts.size();
    const Stream resumed = this->openStream(other, prompt, 60, this->resumeHeaders(stream));
    this->waitForEnd(resumed);
    CHECK(resumed->isDone());
    CHECK(stream->text() + resumed->text() == expected);
    checkNumbers(*resumed, received + 1);
    const json decisions = this->rpc(other, "explain", {{"request", "request-1"}}).at("decisions");
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0]["reason"] == "the caller resumes the stream of this engine");
}

// Guards against losing a stream when its entry VM and its engine are reclaimed at the same time.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: drained entry process and engine gone: a peer's copy is continued")
{
    this->modelService = "free";
    Node &first = this->startEngine("a");
    Node &second = this->startEngine("b");
    const Node &entry = this->startEntry();
    this->startEntry();
    const Node &other = this->startEntry();
    this->applySnapshot();
    const std::string expected = this->expectedText(other, 200);
    const Stream stream = this->openStream(entry, prompt, 200, requestId);
    this->waitForTokens(stream, 10);
    entry.process->signal(SIGTERM);
    entry.process->waitForEvent("streams-handed-over");
    this->engineOf(stream, first, second).process->kill();
    entry.process->kill();
    this->waitForEnd(stream);
    const Stream resumed = this->openStream(other, prompt, 200, this->resumeHeaders(stream));
    this->waitForEnd(resumed);
    CHECK(resumed->isDone());
    CHECK(stream->text() + resumed->text() == expected);
}

// Guards against an answer that mixes tokens of two different generation runs.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: stream held nowhere: it is generated again if deterministic")
{
    this->startEngine("a");
    const Node &entry = this->startEntry();
    this->applySnapshot();
    const std::string expected = this->expectedText(entry, 20);
    const HttpHeaders headers = {{"X-Request-Id", "request-1"}, {"Last-Event-ID", "5.engine-9"}};
    const Stream resumed = this->openStream(entry, prompt, 20, headers);
    this->waitForEnd(resumed);
    CHECK(resumed->isDone());
    checkNumbers(*resumed, 6);
    CHECK(expected.ends_with(resumed->text()));
    this->modelService = "free";
    const Stream refused = this->openStream(entry, prompt, 20, headers);
    this->waitForEnd(refused);
    CHECK(refused->outcome->status == 410);
}

// Guards against a graceful shutdown that aborts a stream or that accepts new callers.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: SIGTERM during a stream: the stream completes, then the process exits")
{
    this->startEngine("a");
    const Node &entry = this->startEntry({{"drainNoticeMs", 100}});
    this->applySnapshot();
    const Stream stream = this->openStream(entry, prompt, 100);
    this->waitForTokens(stream, 5);
    const auto health = [&] { return this->http.call({.url = "http://" + entry.address + "/healthz"}); };
    CHECK(health().status == 200);
    entry.process->signal(SIGTERM);
    entry.process->waitForEvent("draining");
    const HttpOutcome draining = health();
    CHECK(draining.status == 503);
    CHECK(draining.headers.value("Connection") == "close");
    this->waitForEnd(stream);
    CHECK(stream->isDone());
    CHECK(stream->texts.size() == 100);
    CHECK(entry.process->waitForExit() == 0);
}

// Guards against a request that crashes one engine after another, through one entry VM or several.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: request that crashes engines: two engines die, then it is refused")
{
    for (const char *zone : {"a", "b", "c", "d"})
        this->startEngine(zone, {{"crashMarker", "CRASH"}});
    const Node &entry = this->startEntry();
    const Node &other = this->startEntry();
    this->applySnapshot();
    const HttpOutcome refused = this->complete(entry, "CRASH", 5);
    CHECK(refused.status == 422);
    CHECK(errorCodeOf(refused) == "request-quarantined");
    CHECK(errorVerdictOf(refused) == "may-have-run");
    const HttpOutcome again = this->complete(entry, "CRASH", 5);
    CHECK(errorCodeOf(again) == "request-quarantined");
    CHECK(errorVerdictOf(again) == "not-run");
    this->rpc(other, "applyQuarantine", this->rpc(entry, "quarantineDelta", {{"after", 0}}));
    CHECK(errorCodeOf(this->complete(other, "CRASH", 5)) == "request-quarantined");
    // The two remaining engines serve other requests.
    CHECK(this->complete(entry, prompt, 5).status == 200);
    CHECK(this->rpc(entry, "report", json::object()).at("failures").size() == 2);
}

// Guards against engines that continue to generate for callers that have disconnected.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: caller disconnects: the engine's attempt is cancelled")
{
    const Node &engine = this->startEngine("a", {{"keepMs", 600000}});
    const Node &entry = this->startEntry();
    this->applySnapshot();
    const Stream stream = this->openStream(entry, prompt, 60000);
    this->waitForTokens(stream, 5);
    const auto inFlight = [&] { return this->http.fetch("http://" + engine.address + "/load").at("inFlight"); };
    CHECK(inFlight() == 1);
    this->closeStream(stream);
    this->http.waitFor([&] { return inFlight() == 0; });
    entry.process->waitForEvent("cancelled");
    CHECK(this->rpc(entry, "report", json::object()).at("openCalls") == 0);
}

// Guards against connections that are closed without an answer, and against refusals without a stable error code.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: requests that cannot be served: get their own codes and are not run")
{
    this->startService();
    const Node &entry = this->startEntry({{"maxBodyBytes", 4096}, {"maxPromptBytes", 1000}});
    const auto code = [&](const std::string &path, const std::string &body, const HttpHeaders &headers) {
        const HttpOutcome outcome = this->http.call(
            {.method = "POST", .url = "http://" + entry.address + path, .headers = headers, .body = body});
        CHECK(errorVerdictOf(outcome) == "not-run");
        return std::to_string(outcome.status) + " " + errorCodeOf(outcome);
    };
    const HttpHeaders key = {{"Authorization", "Bearer api key of the test"}};
    CHECK(code("/v1/completions", "{}", key) == "503 not-configured");
    this->applySnapshot();
    CHECK(code("/v1/completions", "{}", {}) == "401 unauthenticated");
    CHECK(code("/v1/completions", "{", key) == "400 malformed-json");
    CHECK(code("/v1/completions", std::string(5000, ' '), key) == "413 body-too-large");
    CHECK(code("/v1/completions", json{{"model", "fixed"}, {"prompt", std::string(1001, 'x')}}.dump(), key)
          == "413 prompt-too-large");
    CHECK(code("/v1/completions", R"({"model":"none","prompt":""})", key) == "404 unknown-service");
    CHECK(code("/v1/completions", R"({"model":"bookings","prompt":""})", key) == "400 wrong-service-kind");
    CHECK(code("/v1/completions", R"({"model":"fixed","prompt":""})", key) == "503 no-upstream");
    CHECK(code("/services/bookings/book", "{}", key) == "400 missing-idempotency-key");
    CHECK(code("/services/bookings", "{}", key) == "400 invalid-path");
    CHECK(code("/elsewhere", "{}", key) == "404 unknown-path");
    CHECK(this->serviceRuns() == 0);
}

// Guards against an entry process that does not apply admission control: rate limits, queues and concurrency limits.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: account over its limit: is refused as not run, with Retry-After")
{
    this->startEngine("a");
    const Node &entry = this->startEntry();
    this->tokensPerSecond = 10.0;
    this->applySnapshot();
    // The first request is admitted although it overdraws the token bucket.
    CHECK(this->complete(entry, prompt, 500).status == 200);
    const HttpOutcome refused = this->complete(entry, prompt, 500);
    CHECK(refused.status == 429);
    CHECK(errorCodeOf(refused) == "rate-limited");
    CHECK(errorVerdictOf(refused) == "not-run");
    CHECK_FALSE(refused.headers.value("Retry-After").empty());
}

// Guards against wrong metrics of a client account: tokens, verdicts and latencies.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: requests ended: metrics count them by service and account")
{
    this->startEngine("a");
    const Node &entry = this->startEntry();
    this->applySnapshot();
    CHECK(this->complete(entry, prompt, 7).status == 200);
    CHECK(this->complete(entry, prompt, 0).status == 400);
    const std::string text = this->http.call({.url = "http://" + entry.control + "/metrics"}).body;
    const std::string labels = R"({service="fixed",client_account="account")";
    const auto has = [&text](const std::string &line) { return text.find(line + "\n") != std::string::npos; };
    CHECK(has("hemlock_requests_total" + labels + R"(,verdict="ran",status="200"} 1)"));
    CHECK(has(R"(hemlock_requests_total{service="",client_account="",verdict="not-run",status="400"} 1)"));
    CHECK(has("hemlock_tokens_total" + labels + "} 7"));
    CHECK(has("hemlock_first_token_seconds_count" + labels + "} 1"));
    CHECK(has("hemlock_token_gap_seconds_count" + labels + "} 6"));
}

// Guards against work that continues after the caller's deadline, and against a stream that never ends.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: deadline passes during a stream: ends with an error event")
{
    this->startEngine("a");
    const Node &entry = this->startEntry();
    this->applySnapshot();
    const Stream stream = this->openStream(entry, prompt, 60000, {{"X-Deadline-Ms", "300"}});
    this->waitForEnd(stream);
    CHECK(stream->errorCode() == "deadline-exceeded");
}

// Guards against a call that runs twice, and against one that is not retried although it did not run.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: non-repeatable call: is retried only after it did not run")
{
    const Node &first = this->startService();
    const Node &second = this->startService();
    // With round-robin, two consecutive calls reach both services.
    const Node &entry = this->startEntry({{"policy", "round-robin"}});
    this->applySnapshot();
    for (const Node *service : {&first, &second})
        this->http.post("http://" + service->address + "/faults", {{"refuse", service == &first ? 1 : 0}});
    CHECK(this->callService(entry, "k1").status == 200);
    CHECK(this->callService(entry, "k2").status == 200);
    CHECK(this->serviceRuns() == 2);
    for (const Node *service : {&first, &second})
        this->http.post("http://" + service->address + "/faults", {{"refuse", 0}, {"closeAfter", 1}});
    const HttpOutcome unknown = this->callService(entry, "k3");
    CHECK(unknown.status == 502);
    CHECK(errorVerdictOf(unknown) == "may-have-run");
    CHECK(this->serviceRuns() == 3);
}
