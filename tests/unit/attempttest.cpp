#include "attempt.h"

#include "httpserver.h"
#include "upstreampool.h"

#include <asio.hpp>

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

/// An HTTP server in the same event loop acts as the upstream; the test provides its handler.
class AttemptFixture
{
protected:
    void startUpstream(HttpHandler handler)
    {
        this->server = std::make_unique<HttpServer>(
            this->loop, HttpServerSettings{}, [this, handler](HttpRequest request, const HttpResponderPtr &responder) {
                this->connections.push_back(request.remoteAddress);
                handler(std::move(request), responder);
            });
        this->upstream.id = "u1";
        this->upstream.address = this->server->start();
    }

    /// Runs one exchange to its end and returns its outcome.
    HttpOutcome run(bool isStream = false)
    {
        const auto attempt = std::make_shared<Attempt>(this->loop, this->http, this->pool, this->upstream, "attempt-1");
        std::optional<HttpOutcome> ended;
        AttemptHooks hooks;
        if (isStream)
            hooks.data = [this](std::string_view bytes) { this->received += bytes; };
        hooks.done = [&ended](const HttpOutcome &outcome) { ended = outcome; };
        attempt->start({.method = "POST", .body = "{}"}, "/path", std::move(hooks));
        CHECK(this->pool.inFlight().at("u1") == 1);
        while (!ended)
            this->loop.run_one();
        CHECK(this->pool.inFlight().empty());
        return *ended;
    }

    asio::io_context loop;
    HttpClient http{this->loop};
    UpstreamPool pool;
    Upstream upstream;
    std::unique_ptr<HttpServer> server;
    std::vector<std::string> connections; ///< Remote address of each request, which identifies its connection.
    std::string received; ///< Bytes passed to the data callback.
};

} // namespace

// Guards against delivering the late response of another request on a reused connection.
TEST_CASE_METHOD(AttemptFixture,
                 "Attempt: answer with another attempt's identifier: is discarded and the connection closed")
{
    std::string answeredAttemptId = "attempt-0";
    this->startUpstream([&answeredAttemptId](const HttpRequest &request, const HttpResponderPtr &responder) {
        CHECK(request.headers.value("X-Attempt-Id") == "attempt-1");
        responder->reply(200, {{"X-Attempt-Id", answeredAttemptId}}, "answer");
    });
    for (const bool isStream : {false, true}) {
        const HttpOutcome outcome = this->run(isStream);
        CHECK(outcome.verdict == Verdict::MayHaveRun);
        CHECK(outcome.body.empty());
        CHECK(this->received.empty());
    }
    answeredAttemptId = "attempt-1";
    CHECK(this->run().body == "answer");
    CHECK(this->run().body == "answer");
    REQUIRE(this->connections.size() == 4);
    CHECK(this->connections[1] != this->connections[0]);
    CHECK(this->connections[2] != this->connections[1]);
    // A response with the expected identifier keeps the connection open for reuse.
    CHECK(this->connections[3] == this->connections[2]);
}

// Guards against failing a call that the upstream has explicitly reported as not run and that could be retried.
TEST_CASE_METHOD(AttemptFixture, "Attempt: refusal by the upstream: counts as not run, other answers as ran")
{
    std::string body = R"({"verdict":"not-run"})";
    int status = 503;
    this->startUpstream(
        [&](const HttpRequest &, const HttpResponderPtr &responder) { responder->reply(status, {}, body); });
    CHECK(this->run().verdict == Verdict::NotRun);
    CHECK(this->run(true).verdict == Verdict::NotRun);
    status = 200;
    CHECK(this->run().verdict == Verdict::Ran);
    status = 503;
    body = "busy";
    CHECK(this->run().verdict == Verdict::Ran);
    CHECK(this->pool.takeFailures().empty());
}

// Guards against exchanges that continue, and in-flight counts that remain, after their call has ended.
TEST_CASE_METHOD(AttemptFixture, "Attempt: destroyed during the exchange: the connection closes and no callback runs")
{
    HttpResponderPtr open;
    bool isClosed = false;
    this->startUpstream([&](const HttpRequest &, const HttpResponderPtr &responder) {
        responder->setDisconnectHook([&isClosed] { isClosed = true; });
        open = responder;
    });
    auto attempt = std::make_shared<Attempt>(this->loop, this->http, this->pool, this->upstream, "attempt-1");
    bool isDone = false;
    attempt->start({}, "/path", {.done = [&isDone](const HttpOutcome &) { isDone = true; }});
    while (!open)
        this->loop.run_one();
    attempt.reset();
    CHECK(this->pool.inFlight().empty());
    while (!isClosed)
        this->loop.run_one();
    CHECK_FALSE(isDone);
}
