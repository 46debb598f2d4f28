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
    /// The whole answer of an undisturbed request.
    std::string expectedText(const Node &entry, int tokens)
    {
        const HttpOutcome outcome = this->complete(entry, prompt, tokens);
        REQUIRE(outcome.status == 200);
        return json::parse(outcome.body).at("choices").at(0).at("text");
    }

    /// Identifiers count the tokens from @p first without gap or repetition.
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

// Guards against tokens that are lost or sent twice when an engine dies within a stream.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: engine killed within a stream: the caller gets each token once")
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

// Guards against an answer that is lost with its entry VM although the engine still holds the stream.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: entry process killed within a stream: the engine's stream is resumed")
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
    const Stream rest = this->openStream(other, prompt, 60, this->resumeHeaders(stream));
    this->waitForEnd(rest);
    CHECK(rest->isDone());
    CHECK(stream->text() + rest->text() == expected);
    checkNumbers(*rest, received + 1);
    const json decisions = this->rpc(other, "explain", {{"request", "request-1"}}).at("decisions");
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0]["reason"] == "the caller resumes the stream of this engine");
}

// Guards against a stream that is lost when its entry VM and its engine are reclaimed together.
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
    const Stream rest = this->openStream(other, prompt, 200, this->resumeHeaders(stream));
    this->waitForEnd(rest);
    CHECK(rest->isDone());
    CHECK(stream->text() + rest->text() == expected);
}

// Guards against an answer that is joined from two different generations.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: nobody holds the stream: it is generated again if deterministic")
{
    this->startEngine("a");
    const Node &entry = this->startEntry();
    this->applySnapshot();
    const std::string expected = this->expectedText(entry, 20);
    const HttpHeaders headers = {{"X-Request-Id", "request-1"}, {"Last-Event-ID", "5.engine-9"}};
    const Stream rest = this->openStream(entry, prompt, 20, headers);
    this->waitForEnd(rest);
    CHECK(rest->isDone());
    checkNumbers(*rest, 6);
    CHECK(expected.ends_with(rest->text()));
    this->modelService = "free";
    const Stream refused = this->openStream(entry, prompt, 20, headers);
    this->waitForEnd(refused);
    CHECK(refused->outcome->status == 410);
}

// Guards against a graceful shutdown that cuts off a stream or that takes new callers.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: SIGTERM within a stream: the stream ends whole, then the process exits")
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

// Guards against a request that takes down one engine after another, at one entry VM or at several.
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
    // Two engines are left and serve other requests.
    CHECK(this->complete(entry, prompt, 5).status == 200);
    CHECK(this->rpc(entry, "report", json::object()).at("failures").size() == 2);
}

// Guards against engines that go on generating for callers who have left.
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

// Guards against callers whose connection closes without a word, and against refusals without a stable code.
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

// Guards against limits, queues and concurrency that the entry process has but does not use.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: account over its limit: is refused as not run, with a time to come back")
{
    this->startEngine("a");
    const Node &entry = this->startEntry();
    this->tokensPerSecond = 10.0;
    this->applySnapshot();
    // The bucket goes into debt by one request.
    CHECK(this->complete(entry, prompt, 500).status == 200);
    const HttpOutcome refused = this->complete(entry, prompt, 500);
    CHECK(refused.status == 429);
    CHECK(errorCodeOf(refused) == "rate-limited");
    CHECK(errorVerdictOf(refused) == "not-run");
    CHECK_FALSE(refused.headers.value("Retry-After").empty());
}

// Guards against figures that operators read wrongly: tokens, verdicts and latencies of one client account.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: requests ended: the metrics count them by service and account")
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

// Guards against work that goes on after the caller's deadline, and against an answer that never comes.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: deadline passes within a stream: ends with an error event")
{
    this->startEngine("a");
    const Node &entry = this->startEntry();
    this->applySnapshot();
    const Stream stream = this->openStream(entry, prompt, 60000, {{"X-Deadline-Ms", "300"}});
    this->waitForEnd(stream);
    CHECK(stream->errorCode() == "deadline-exceeded");
}

// Guards against a call that runs twice, and against one that is given up although it did not run.
TEST_CASE_METHOD(EntryFixture, "hemlock-entry: call that may not repeat: is retried only after it did not run")
{
    const Node &first = this->startService();
    const Node &second = this->startService();
    // Two calls in turn reach both services.
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
