#include "relay/relaycall.h"
#include "httpserver.h"
#include "relayheaders.h"

#include <asio.hpp>

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

/// A quarter of the memory of the smallest VM.
constexpr std::size_t maxAcceptedBytes = std::size_t{40} * 1024 * 1024;

using UpstreamHandler = std::function<void(const HttpRequest &request, const HttpResponderPtr &responder)>;

/// An upstream on a loopback port that answers through a callback and records the requests it received.
class FakeUpstream
{
public:
    FakeUpstream(asio::io_context &loop, const std::string &id)
        : server(loop, {}, [this](HttpRequest request, const HttpResponderPtr &responder) {
            this->requests.push_back(request);
            this->handler(request, responder);
        })
    {
        this->upstream.id = id;
        this->upstream.address = this->server.start();
        this->upstream.zone = {"zone-a"};
        this->upstream.state = UpstreamState::Serving;
        this->upstream.slots = 4;
    }

    HttpServer server;
    Upstream upstream;
    UpstreamHandler handler;
    std::vector<HttpRequest> requests;
};

HttpHeaders answerHeaders(const HttpRequest &request)
{
    return {{"X-Hemlockflow-Attempt-Id", request.headers.value("X-Hemlockflow-Attempt-Id")},
            {"X-Hemlockflow-Response-Signature", "signed"}};
}

void answer(const HttpRequest &request, const HttpResponderPtr &responder)
{
    responder->reply(200, answerHeaders(request), "whole");
}

void answerNotExecuted(const HttpRequest &request, const HttpResponderPtr &responder)
{
    HttpHeaders headers = {{"X-Hemlockflow-Attempt-Id", request.headers.value("X-Hemlockflow-Attempt-Id")},
                           {"X-Hemlockflow-Not-Executed", "1"}};
    responder->reply(503, headers, "");
}

/// Turns a request away and wants none for this many seconds.
UpstreamHandler turnAway(const std::string &seconds)
{
    return [seconds](const HttpRequest &request, const HttpResponderPtr &responder) {
        HttpHeaders headers = answerHeaders(request);
        headers.add("X-Hemlockflow-Not-Executed", "1");
        headers.add("Retry-After", seconds);
        responder->reply(503, headers, "");
    };
}

/// Result of a call and the bytes of its answer.
struct CallerOutcome
{
    HttpOutcome outcome;
    std::string bytes;
};

/// One entry process between callers and two upstreams, with real sockets on one loop.
class RelayCallFixture
{
protected:
    RelayCallFixture()
    {
        for (FakeUpstream *fake : {&this->first, &this->second}) {
            fake->upstream.service = "service";
            fake->handler = answer;
        }
        this->transport.decodeRequest = platform::decodeRelayRequest;
        this->transport.encodeAttempt = platform::encodeRelayAttempt;
        this->transport.decodeAnswer = platform::decodeRelayAnswer;
        this->context.acceptsCall = [this](std::chrono::milliseconds, bool) { return this->isAccepting; };
        this->context.peerCount = [] { return std::size_t{0}; };
        this->context.now = [] { return std::chrono::steady_clock::now(); };
        this->context.wallTime = [] { return std::chrono::system_clock::now(); };
        this->context.upstreamListFreshness = [] { return UpstreamListFreshness{}; };
        this->context.connectionFailed = [this](const Upstream &) { ++this->failedConnections; };
        this->context.requestTrial = [this](const std::string &subject,
                                            const std::function<void(std::optional<Quarantine::Time>)> &done) {
            const auto now = std::chrono::steady_clock::now();
            this->quarantine.startTrial(subject, now);
            done(this->grantsTrials ? std::optional(now + this->trialLifetime) : std::nullopt);
        };
        this->context.promptSent = [](double) {};
        this->scheduler.applyUpstreams({this->first.upstream, this->second.upstream}, std::chrono::steady_clock::now());
        this->configure(CallKind::Idempotent, 2);
        this->address = this->entry.start();
    }

    void configure(CallKind kind, int maxAttempts, bool isResumable = false)
    {
        RelayRoute route;
        route.name = "route";
        route.host = "h.example";
        route.pathPrefix = "/p/";
        route.kind = kind;
        route.maxAttempts = maxAttempts;
        route.isResumable = isResumable;
        route.timeout = this->routeTimeout;
        route.latencyTarget = std::chrono::milliseconds(1000);
        route.targets = {{"service", 1.0}};
        RelayConfig config;
        config.version = 1;
        config.routes = {route};
        config.accounts = {{"account", {"key"}, {}, this->accountRate, 0.0, false, 1.0}};
        this->context.routes = std::make_shared<const RouteTable>(std::move(config));
    }

    HttpCall request() const
    {
        HttpCall call;
        call.method = "POST";
        call.omitsDefaultHeaders = true;
        call.url = endpointUrl(this->address) + "/p/x";
        call.headers = {{"Host", "h.example"},
                        {"Api-Key", "key"},
                        {"X-Hemlockflow-Attempt-Id", "attempt-1"},
                        {"X-Hemlockflow-Deadline-Ms", "3000"}};
        call.body = "body";
        return call;
    }

    HttpCall requestWithLongDeadline() const
    {
        HttpCall call = this->request();
        call.headers.remove("X-Hemlockflow-Deadline-Ms");
        call.headers.add("X-Hemlockflow-Deadline-Ms", "60000");
        return call;
    }

    CallerOutcome call(const HttpCall &request)
    {
        CallerOutcome result;
        bool isDone = false;
        HttpCallHooks hooks;
        hooks.data = [&result](std::string_view bytes) { result.bytes.append(bytes); };
        hooks.done = [&result, &isDone](const HttpOutcome &outcome) {
            result.outcome = outcome;
            isDone = true;
        };
        this->callers.start(request, std::move(hooks));
        this->runUntil([&isDone] { return isDone; });
        return result;
    }

    void runUntil(const std::function<bool()> &condition)
    {
        while (!condition())
            this->loop.run_one();
    }

    std::size_t sentCount() const
    {
        return this->first.requests.size() + this->second.requests.size();
    }

    /// Writes as fast as the connection accepts bytes, until it is closed or accepted far more than any limit.
    void writeEndlessly(const HttpResponderPtr &responder)
    {
        constexpr std::size_t chunk = std::size_t{256} * 1024;
        if (!responder->isConnected())
            return;
        if (this->writtenBytes > 2 * maxAcceptedBytes)
            return responder->endStream();
        if (responder->pendingBytes() < chunk) {
            responder->write(std::string(chunk, 'x'));
            this->writtenBytes += chunk;
        }
        asio::post(this->loop, [this, responder] { this->writeEndlessly(responder); });
    }

    /// Makes upstreams break off when they begin to answer a prompt with the part "bad"; others get two events.
    void crashOnBadPart()
    {
        this->setHandlers([this](const HttpRequest &request, const HttpResponderPtr &responder) {
            responder->beginStream(200, answerHeaders(request));
            if (request.headers.value("X-Hemlockflow-Prompt-Prefix").find("bad") != std::string::npos) {
                responder->write("id: 1\nda");
                return responder->abort();
            }
            responder->write("id: 1\ndata: a\n\n");
            auto rest = std::make_shared<asio::steady_timer>(this->loop, std::chrono::milliseconds(20));
            rest->async_wait([rest, responder](const asio::error_code &) {
                responder->write("id: 2\ndata: b\n\n");
                responder->endStream();
            });
        });
    }

    /// A request unlike any other, whose prompt has the given parts and a last one of its own.
    HttpCall requestWithParts(const std::string &parts)
    {
        const std::string number = std::to_string(++this->requestNumber);
        HttpCall call = this->request();
        call.headers.remove("X-Hemlockflow-Attempt-Id");
        call.headers.add("X-Hemlockflow-Attempt-Id", "attempt-" + number);
        call.headers.add("X-Hemlockflow-Prompt-Prefix", parts + ",1" + number + ":50");
        call.body = "body " + number;
        return call;
    }

    void setHandlers(const UpstreamHandler &handler)
    {
        this->first.handler = handler;
        this->second.handler = handler;
    }

    asio::io_context loop{1};
    FakeUpstream first{this->loop, "upstream-1"};
    FakeUpstream second{this->loop, "upstream-2"};
    HttpClient http{this->loop};
    HttpClient callers{this->loop};
    RelayTransport transport;
    RelayScheduler scheduler{{"zone-a"}, RandomEngine(1)};
    AccountQuota quota;
    RetryBudget retries;
    Quarantine quarantine;
    UsageLedger usage{std::chrono::milliseconds(5000)};
    Metrics metrics;
    RelayContext context{this->loop,
                         this->http,
                         this->transport,
                         this->scheduler,
                         this->quota,
                         this->retries,
                         this->quarantine,
                         this->usage,
                         this->metrics,
                         {},
                         nullptr,
                         std::chrono::seconds(10),
                         {},
                         {},
                         {},
                         {},
                         {},
                         {},
                         {}};
    std::set<std::shared_ptr<RelayCall>> calls;
    std::size_t endedCalls = 0;
    HttpServer entry{this->loop, {}, [this](HttpRequest request, const HttpResponderPtr &responder) {
                         auto relay =
                             std::make_shared<RelayCall>(this->context, responder, [this] { ++this->endedCalls; });
                         this->calls.insert(relay);
                         relay->start(std::move(request));
                     }};
    std::string address;
    std::chrono::milliseconds routeTimeout{3000};
    double accountRate = 0.0;
    bool isAccepting = true;
    bool grantsTrials = true;
    std::chrono::milliseconds trialLifetime{2000};
    std::size_t writtenBytes = 0; ///< Bytes of an endless answer.
    int failedConnections = 0;
    int requestNumber = 0; ///< Of the latest request with parts.
};

} // namespace

TEST_CASE_METHOD(RelayCallFixture, "RelayCall: upstream answers: status, body and signature come back unchanged")
{
    const auto result = this->call(this->request());
    CHECK(result.outcome.status == 200);
    CHECK(result.bytes == "whole");
    CHECK(result.outcome.headers.value("X-Hemlockflow-Response-Signature") == "signed");
    REQUIRE(this->sentCount() == 1);
    const HttpRequest &received =
        this->first.requests.empty() ? this->second.requests.front() : this->first.requests.front();
    CHECK(received.body == "body");
    CHECK(received.headers.value("X-Hemlockflow-Tenant") == "account");
    CHECK(std::stol(received.headers.value("X-Hemlockflow-Deadline-Ms")) <= 3000);
    CHECK_FALSE(received.headers.has("Content-Type"));
    CHECK(this->usage.ownCounts().begin()->second.at("account") == 1);
}

TEST_CASE_METHOD(
    RelayCallFixture,
    "RelayCall: upstream reports that it did not run the call: another one gets it, even if it is not idempotent")
{
    this->configure(CallKind::NonIdempotent, 2);
    int refusals = 0;
    this->setHandlers([&refusals](const HttpRequest &request, const HttpResponderPtr &responder) {
        if (refusals++ == 0)
            answerNotExecuted(request, responder);
        else
            answer(request, responder);
    });
    CHECK(this->call(this->request()).outcome.status == 200);
    CHECK(this->first.requests.size() == 1);
    CHECK(this->second.requests.size() == 1);
}

TEST_CASE_METHOD(RelayCallFixture, "RelayCall: no upstream ran the call: the caller gets 503 with Retry-After")
{
    this->configure(CallKind::NonIdempotent, 2);
    this->setHandlers(answerNotExecuted);
    const auto result = this->call(this->request());
    CHECK(result.outcome.status == 503);
    CHECK(result.outcome.headers.has("Retry-After"));
    CHECK(this->sentCount() == 2);
}

TEST_CASE_METHOD(RelayCallFixture,
                 "RelayCall: answer of a non-idempotent call is lost: it is neither retried nor reported as not run")
{
    this->configure(CallKind::NonIdempotent, 3);
    this->setHandlers([](const HttpRequest &, const HttpResponderPtr &responder) { responder->abort(); });
    const auto result = this->call(this->request());
    CHECK(result.outcome.status == 502);
    CHECK(this->sentCount() == 1);
    CHECK(this->failedConnections == 1);
}

TEST_CASE_METHOD(RelayCallFixture, "RelayCall: answer of an idempotent call is lost: another upstream gets it")
{
    int answers = 0;
    this->setHandlers([&answers](const HttpRequest &request, const HttpResponderPtr &responder) {
        if (answers++ == 0)
            responder->abort();
        else
            answer(request, responder);
    });
    CHECK(this->call(this->request()).outcome.status == 200);
    CHECK(this->sentCount() == 2);
}

// Guards against retries that are paid for and never sent.
TEST_CASE_METHOD(RelayCallFixture, "RelayCall: retry finds no other upstream until the deadline: it is not charged")
{
    this->routeTimeout = std::chrono::milliseconds(300);
    this->configure(CallKind::Idempotent, 3);
    this->retries = RetryBudget({.earnedPerRequest = 0.2, .earnedPerSecond = 0.0, .maxRetries = 10.0});
    this->setHandlers([](const HttpRequest &request, const HttpResponderPtr &responder) {
        responder->reply(500, answerHeaders(request), "failed");
    });
    CHECK(this->call(this->request()).outcome.status >= 500);
    REQUIRE(this->sentCount() == 2);
    CHECK(this->retries.balance({}, "service", std::chrono::steady_clock::now()) == Approx(9.0));
}

TEST_CASE_METHOD(RelayCallFixture, "RelayCall: answer has the identifier of another call: is not forwarded")
{
    this->configure(CallKind::NonIdempotent, 1);
    this->setHandlers([](const HttpRequest &, const HttpResponderPtr &responder) {
        HttpHeaders headers = {{"X-Hemlockflow-Attempt-Id", "other"}, {"X-Hemlockflow-Response-Signature", "signed"}};
        responder->reply(200, headers, "of another call");
    });
    const auto result = this->call(this->request());
    CHECK(result.outcome.status == 502);
    CHECK(result.bytes.find("of another call") == std::string::npos);
}

TEST_CASE_METHOD(RelayCallFixture, "RelayCall: success without a signature: counts as a failure")
{
    this->configure(CallKind::NonIdempotent, 1);
    this->setHandlers([](const HttpRequest &request, const HttpResponderPtr &responder) {
        HttpHeaders headers = {{"X-Hemlockflow-Attempt-Id", request.headers.value("X-Hemlockflow-Attempt-Id")}};
        responder->reply(200, headers, "unsigned");
    });
    CHECK(this->call(this->request()).outcome.status == 502);
}

TEST_CASE_METHOD(RelayCallFixture, "RelayCall: upstream fails a non-idempotent call: its answer is forwarded")
{
    this->configure(CallKind::NonIdempotent, 2);
    this->setHandlers([](const HttpRequest &request, const HttpResponderPtr &responder) {
        responder->reply(500, answerHeaders(request), "failed");
    });
    const auto result = this->call(this->request());
    CHECK(result.outcome.status == 500);
    CHECK(result.bytes == "failed");
    CHECK(this->sentCount() == 1);
}

TEST_CASE_METHOD(RelayCallFixture,
                 "RelayCall: upstream does not answer within the route's timeout: the caller gets 504")
{
    this->routeTimeout = std::chrono::milliseconds(100);
    this->configure(CallKind::NonIdempotent, 2);
    std::vector<HttpResponderPtr> openResponders;
    this->setHandlers([&openResponders](const HttpRequest &, const HttpResponderPtr &responder) {
        openResponders.push_back(responder);
    });
    CHECK(this->call(this->request()).outcome.status == 504);
    CHECK(this->sentCount() == 1);
}

TEST_CASE_METHOD(RelayCallFixture, "RelayCall: caller disconnects: the connection to the upstream is closed")
{
    bool isCancelled = false;
    std::vector<HttpResponderPtr> openResponders;
    this->setHandlers([&](const HttpRequest &, const HttpResponderPtr &responder) {
        responder->setDisconnectHook([&isCancelled] { isCancelled = true; });
        openResponders.push_back(responder);
    });
    const auto id = this->callers.start(this->request(), {{}, {}, [](const HttpOutcome &) {}});
    this->runUntil([this] { return this->sentCount() == 1; });
    this->callers.cancel(id);
    this->runUntil([&isCancelled] { return isCancelled; });
    CHECK(this->endedCalls == 1);
}

TEST_CASE_METHOD(RelayCallFixture,
                 "RelayCall: account exceeds its rate: the caller gets 429 with Retry-After, nothing is sent")
{
    this->accountRate = 0.001;
    this->configure(CallKind::Idempotent, 2);
    const auto result = this->call(this->request());
    CHECK(result.outcome.status == 429);
    CHECK(result.outcome.headers.has("Retry-After"));
    CHECK(this->sentCount() == 0);
}

TEST_CASE_METHOD(RelayCallFixture,
                 "RelayCall: unknown route, unknown key, no configuration, shutdown: each has its status")
{
    HttpCall unknownRouteCall = this->request();
    unknownRouteCall.url = endpointUrl(this->address) + "/q/x";
    CHECK(this->call(unknownRouteCall).outcome.status == 404);
    HttpCall callWithoutKey = this->request();
    callWithoutKey.headers.remove("Api-Key");
    CHECK(this->call(callWithoutKey).outcome.status == 401);
    this->isAccepting = false;
    CHECK(this->call(this->request()).outcome.status == 503);
    this->context.routes = nullptr;
    CHECK(this->call(this->request()).outcome.status == 503);
    CHECK(this->sentCount() == 0);
}

TEST_CASE_METHOD(RelayCallFixture,
                 "RelayCall: resumable stream breaks: continues after its last complete event in the same answer")
{
    this->configure(CallKind::Stream, 2, true);
    this->setHandlers([](const HttpRequest &request, const HttpResponderPtr &responder) {
        responder->beginStream(200, answerHeaders(request));
        if (request.headers.value("Last-Event-Id") == "2") {
            responder->write("id: 3\ndata: c\n\n");
            responder->endStream();
            return;
        }
        responder->write("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
        responder->abort();
    });
    const auto result = this->call(this->request());
    CHECK(result.outcome.isComplete());
    CHECK(result.bytes == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

TEST_CASE_METHOD(RelayCallFixture, "RelayCall: stream that is not resumable breaks: answer is incomplete")
{
    this->configure(CallKind::Stream, 2, false);
    this->setHandlers([](const HttpRequest &request, const HttpResponderPtr &responder) {
        responder->beginStream(200, answerHeaders(request));
        responder->write("id: 1\ndata: a\n\n");
        responder->abort();
    });
    const auto result = this->call(this->request());
    CHECK_FALSE(result.outcome.isComplete());
    CHECK(this->sentCount() == 1);
}

TEST_CASE_METHOD(RelayCallFixture, "RelayCall: stream ends within an event: answer is incomplete")
{
    this->configure(CallKind::Stream, 1, false);
    this->setHandlers([](const HttpRequest &request, const HttpResponderPtr &responder) {
        responder->beginStream(200, answerHeaders(request));
        responder->write("id: 1\ndata: a\n\nid: 2\nda");
        responder->endStream();
    });
    CHECK_FALSE(this->call(this->request()).outcome.isComplete());
}

TEST_CASE_METHOD(RelayCallFixture, "RelayCall: admitted request did not run: its units are refunded")
{
    for (FakeUpstream *fake : {&this->first, &this->second}) {
        fake->handler = [](const HttpRequest &, const HttpResponderPtr &responder) {
            responder->reply(503, {{"X-Hemlockflow-Attempt-Id", "attempt-1"}, {"X-Hemlockflow-Not-Executed", "1"}}, "");
        };
    }
    CHECK(this->call(this->request()).outcome.status == 503);
    CHECK(this->quota.totals().at("account") == 0.0);
}

TEST_CASE_METHOD(RelayCallFixture, "RelayCall: request ran: its units count")
{
    CHECK(this->call(this->request()).outcome.status == 200);
    CHECK(this->quota.totals().at("account") == 1.0);
}

// Guards against a faulty upstream that fills the memory of the process with an endless answer.
TEST_CASE_METHOD(RelayCallFixture,
                 "RelayCall: event of a stream is endless: the connection is closed and the caller gets 502")
{
    this->routeTimeout = std::chrono::seconds(60);
    this->configure(CallKind::Stream, 1);
    this->setHandlers([this](const HttpRequest &request, const HttpResponderPtr &responder) {
        responder->beginStream(200, answerHeaders(request));
        responder->write("id: 1\ndata: ");
        this->writeEndlessly(responder);
    });
    CHECK(this->call(this->requestWithLongDeadline()).outcome.status == 502);
    CHECK(this->writtenBytes < maxAcceptedBytes);
}

TEST_CASE_METHOD(
    RelayCallFixture,
    "RelayCall: error answer to a stream request is endless: the connection is closed and the caller gets 502")
{
    this->routeTimeout = std::chrono::seconds(60);
    this->configure(CallKind::Stream, 1);
    this->setHandlers([this](const HttpRequest &request, const HttpResponderPtr &responder) {
        responder->beginStream(500, answerHeaders(request));
        this->writeEndlessly(responder);
    });
    CHECK(this->call(this->requestWithLongDeadline()).outcome.status == 502);
    CHECK(this->writtenBytes < maxAcceptedBytes);
}

TEST_CASE_METHOD(RelayCallFixture, "RelayCall: answer is endless: the connection is closed and the caller gets 502")
{
    this->routeTimeout = std::chrono::seconds(60);
    this->configure(CallKind::NonIdempotent, 1);
    this->setHandlers([this](const HttpRequest &request, const HttpResponderPtr &responder) {
        responder->beginStream(200, answerHeaders(request));
        this->writeEndlessly(responder);
    });
    CHECK(this->call(this->requestWithLongDeadline()).outcome.status == 502);
    CHECK(this->writtenBytes < maxAcceptedBytes);
}

// Guards against a resumed stream that lacks the complete events received in the same bytes as an oversized event.
TEST_CASE_METHOD(RelayCallFixture,
                 "RelayCall: complete event arrives with an oversized one: is forwarded, the stream resumes after it")
{
    this->configure(CallKind::Stream, 2, true);
    this->setHandlers([this](const HttpRequest &request, const HttpResponderPtr &responder) {
        responder->beginStream(200, answerHeaders(request));
        if (request.headers.has("Last-Event-Id")) {
            responder->write("id: 2\ndata: b\n\n");
            return responder->endStream();
        }
        responder->write("id: 1\ndata: a\n\nid: 2\ndata: ");
        this->writeEndlessly(responder);
    });
    const auto result = this->call(this->requestWithLongDeadline());
    CHECK(result.outcome.isComplete());
    CHECK(result.bytes == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

namespace {

/// Writes a piece of a stream at each interval.
class SlowWriter : public std::enable_shared_from_this<SlowWriter>
{
public:
    SlowWriter(asio::io_context &loop, HttpResponderPtr responder, std::chrono::milliseconds interval)
        : timer(loop)
        , responder(std::move(responder))
        , interval(interval)
    {
    }

    /// @p nextPiece returns an empty string at the end of the stream.
    void run(const std::function<std::string()> &nextPiece)
    {
        this->timer.expires_after(this->interval);
        this->timer.async_wait([self = this->shared_from_this(), nextPiece](const asio::error_code &) {
            if (!self->responder->isConnected())
                return;
            std::string piece = nextPiece();
            if (piece.empty())
                return self->responder->endStream();
            self->responder->write(std::move(piece));
            self->run(nextPiece);
        });
    }

private:
    asio::steady_timer timer;
    HttpResponderPtr responder;
    std::chrono::milliseconds interval;
};

} // namespace

TEST_CASE_METHOD(RelayCallFixture, "RelayCall: stream is slow but goes on: is forwarded to its end")
{
    this->configure(CallKind::Stream, 1, false);
    int events = 0;
    this->setHandlers([this, &events](const HttpRequest &request, const HttpResponderPtr &responder) {
        responder->beginStream(200, answerHeaders(request));
        std::make_shared<SlowWriter>(this->loop, responder, std::chrono::milliseconds(150))->run([&events] {
            return ++events > 5 ? std::string() : "id: " + std::to_string(events) + "\ndata: a\n\n";
        });
    });
    const auto result = this->call(this->request());
    CHECK(result.outcome.isComplete());
    CHECK(result.bytes.ends_with("id: 5\ndata: a\n\n"));
}

// Bytes that complete no event do not extend the time of a stream.
TEST_CASE_METHOD(RelayCallFixture, "RelayCall: stalled stream sends a byte now and then: ends at its time limit")
{
    this->routeTimeout = std::chrono::milliseconds(400);
    this->configure(CallKind::Stream, 1, false);
    this->setHandlers([this](const HttpRequest &request, const HttpResponderPtr &responder) {
        responder->beginStream(200, answerHeaders(request));
        responder->write("id: 1\ndata: ");
        std::make_shared<SlowWriter>(this->loop, responder, std::chrono::milliseconds(20))->run([] {
            return std::string("x");
        });
    });
    const auto result = this->call(this->requestWithLongDeadline());
    CHECK((!result.outcome.isComplete() || result.outcome.status >= 500));
    CHECK(result.bytes.find("id: 1") == std::string::npos);
}

TEST_CASE_METHOD(RelayCallFixture,
                 "RelayCall: unlike requests crash upstreams by one prompt part: the next with it is not sent")
{
    this->configure(CallKind::Stream, 1);
    this->crashOnBadPart();
    CHECK(this->call(this->requestWithParts("5a:100,5b:10")).outcome.status == 200);
    CHECK(this->call(this->requestWithParts("5a:100,bad:10")).outcome.status == 502);
    CHECK(this->call(this->requestWithParts("5a:100,5c:10")).outcome.status == 200);
    CHECK(this->call(this->requestWithParts("5a:100,bad:10")).outcome.status == 502);
    CHECK(this->call(this->requestWithParts("5a:100,5d:10")).outcome.status == 200);
    const std::size_t sent = this->sentCount();
    const auto refused = this->call(this->requestWithParts("5a:100,bad:10"));
    CHECK(refused.outcome.status == 503);
    CHECK(refused.bytes.find("not-run") != std::string::npos);
    CHECK(this->sentCount() == sent);
    CHECK(this->call(this->requestWithParts("5a:100,5e:10")).outcome.status == 200);
}

TEST_CASE_METHOD(RelayCallFixture,
                 "RelayCall: upstreams crash while they stream an answer: the parts of its prompt are not blamed")
{
    this->configure(CallKind::Stream, 1);
    this->setHandlers([this](const HttpRequest &request, const HttpResponderPtr &responder) {
        responder->beginStream(200, answerHeaders(request));
        responder->write("id: 1\ndata: a\n\n");
        auto rest = std::make_shared<asio::steady_timer>(this->loop, std::chrono::milliseconds(20));
        rest->async_wait([this, rest, responder](const asio::error_code &) {
            responder->write("id: 2\ndata: b\n\n");
            rest->expires_after(std::chrono::milliseconds(20));
            rest->async_wait([rest, responder](const asio::error_code &) { responder->abort(); });
        });
    });
    for (int i = 0; i < 4; ++i)
        CHECK_FALSE(this->call(this->requestWithParts("5a:100,5b:10")).outcome.isComplete());
    CHECK(this->sentCount() == 4);
}

TEST_CASE_METHOD(RelayCallFixture,
                 "RelayCall: prompt part is refused while its request waits for an upstream: the request is not sent")
{
    this->configure(CallKind::Stream, 1);
    this->crashOnBadPart();
    std::vector<Upstream> busy = {this->first.upstream};
    busy.front().slots = 1;
    this->scheduler.applyUpstreams(busy, std::chrono::steady_clock::now());
    CallerOutcome waiting;
    bool isDone = false;
    // An upstream with one slot gets a second request to queue.
    for (int i = 0; i < 2; ++i)
        this->callers.start(this->requestWithParts("5a:100,5b:10"), {{}, {}, [](const HttpOutcome &) {}});
    this->runUntil([this] { return this->sentCount() == 2; });
    this->callers.start(this->requestWithParts("5c:100,bad:10"), {{}, {}, [&](const HttpOutcome &outcome) {
                                                                      waiting.outcome = outcome;
                                                                      isDone = true;
                                                                  }});
    this->runUntil([this] { return this->scheduler.waitingCount("service") == 1; });
    const auto now = std::chrono::steady_clock::now();
    this->quarantine.recordCrash("service/bad", this->first.upstream, now);
    this->quarantine.recordCrash("service/bad", this->second.upstream, now);
    this->runUntil([&isDone] { return isDone; });
    CHECK(waiting.outcome.status == 503);
    CHECK(this->sentCount() == 2);
}

TEST_CASE_METHOD(RelayCallFixture,
                 "RelayCall: upstream names a limit of requests a second: gets no more than it allows")
{
    constexpr int callCount = 40;
    constexpr std::size_t allowedIn4Seconds = 11;
    this->first.handler = [](const HttpRequest &request, const HttpResponderPtr &responder) {
        HttpHeaders headers = answerHeaders(request);
        headers.add("Server-Limit", "1");
        responder->reply(200, headers, "whole");
    };
    for (int i = 0; i < callCount; ++i)
        CHECK(this->call(this->request()).outcome.status == 200);
    CHECK(this->first.requests.size() >= 1);
    CHECK(this->first.requests.size() <= allowedIn4Seconds);
}

// Guards against trials at several VMs at once, and against one that starts after another VM may have got the next.
TEST_CASE_METHOD(RelayCallFixture, "RelayCall: trial of a prompt part is not granted or ran out: nothing is sent")
{
    this->configure(CallKind::Stream, 1);
    QuarantineSettings settings;
    settings.trialDelay = std::chrono::milliseconds(1);
    this->quarantine = Quarantine(settings);
    const auto crashTime = std::chrono::steady_clock::now() - std::chrono::seconds(10);
    for (const FakeUpstream *fake : {&this->first, &this->second})
        this->quarantine.recordCrash("service/bad", fake->upstream, crashTime);
    this->grantsTrials = GENERATE(true, false);
    this->trialLifetime = std::chrono::milliseconds(0);
    const auto refused = this->call(this->requestWithParts("bad:10"));
    CHECK(refused.outcome.status == 503);
    CHECK(refused.bytes.find("not-run") != std::string::npos);
    CHECK(this->sentCount() == 0);
}

// Guards against a trial of a sound part that fails because of another part of the same prompt.
TEST_CASE_METHOD(RelayCallFixture,
                 "RelayCall: trial of a prompt part is due: a request without another suspect part gets it")
{
    this->configure(CallKind::Stream, 1);
    this->crashOnBadPart();
    QuarantineSettings settings;
    settings.trialDelay = std::chrono::milliseconds(1);
    this->quarantine = Quarantine(settings);
    const auto crashTime = std::chrono::steady_clock::now() - std::chrono::seconds(1);
    for (const FakeUpstream *fake : {&this->first, &this->second})
        this->quarantine.recordCrash("service/5a", fake->upstream, crashTime);
    this->quarantine.recordCrash("service/bad", this->first.upstream, crashTime);
    CHECK(this->call(this->requestWithParts("5a:100,bad:10")).outcome.status == 503);
    CHECK(this->sentCount() == 0);
    CHECK(this->call(this->requestWithParts("5a:100,5b:10")).outcome.status == 200);
    CHECK(this->quarantine.permissionFor("service/5a", std::chrono::steady_clock::now())
          == Quarantine::Permission::Allowed);
}

// Guards against the text of an error in the middle of a stream, and against a stream that looks complete.
TEST_CASE_METHOD(RelayCallFixture,
                 "RelayCall: stream breaks off and the next upstream answers without events: ends as broken off")
{
    this->configure(CallKind::Stream, 2, true);
    const auto answerNext = GENERATE(
        as<std::function<void(const HttpHeaders &, const HttpResponderPtr &)>>(),
        [](const HttpHeaders &headers, const HttpResponderPtr &responder) {
            responder->reply(404, headers, "no such thing\n\n");
        },
        [](const HttpHeaders &headers, const HttpResponderPtr &responder) {
            responder->reply(500, headers, "id: 2\ndata: error\n\n");
        },
        [](HttpHeaders headers, const HttpResponderPtr &responder) {
            headers.add("Content-Type", "application/json");
            responder->reply(200, headers, "{}\n\n");
        });
    this->setHandlers([&answerNext](const HttpRequest &request, const HttpResponderPtr &responder) {
        if (request.headers.has("Last-Event-Id"))
            return answerNext(answerHeaders(request), responder);
        responder->beginStream(200, answerHeaders(request));
        responder->write("id: 1\ndata: a\n\n");
        responder->abort();
    });
    const auto result = this->call(this->request());
    CHECK(this->sentCount() == 2);
    CHECK_FALSE(result.outcome.isComplete());
    CHECK(result.bytes == "id: 1\ndata: a\n\n");
}

// The head alone counts: refusals, streams and answers that break off after it say so as well.
TEST_CASE_METHOD(RelayCallFixture,
                 "RelayCall: upstream says in an answer of any kind that it leaves: later requests go elsewhere")
{
    using Reply = std::function<void(HttpHeaders headers, const HttpResponderPtr &responder)>;
    const auto reply = GENERATE(
        as<Reply>(),
        [](const HttpHeaders &headers, const HttpResponderPtr &responder) { responder->reply(200, headers, "whole"); },
        [](const HttpHeaders &headers, const HttpResponderPtr &responder) { responder->reply(404, headers, "none"); },
        [](HttpHeaders headers, const HttpResponderPtr &responder) {
            headers.add("X-Hemlockflow-Not-Executed", "1");
            responder->reply(503, headers, "");
        },
        [](const HttpHeaders &headers, const HttpResponderPtr &responder) {
            responder->beginStream(200, headers);
            responder->write("id: 1\ndata: a\n\n");
            responder->abort();
        });
    this->configure(GENERATE(CallKind::Idempotent, CallKind::Stream), 2, true);
    this->first.handler = [&reply](const HttpRequest &request, const HttpResponderPtr &responder) {
        HttpHeaders headers = answerHeaders(request);
        headers.add("Server-Leaving", "1");
        reply(headers, responder);
    };
    this->second.handler = [](const HttpRequest &request, const HttpResponderPtr &responder) {
        responder->reply(200, answerHeaders(request), "id: 1\ndata: a\n\n");
    };
    for (int i = 0; i < 60 && this->first.requests.empty(); ++i)
        this->call(this->request());
    REQUIRE(this->first.requests.size() == 1);
    this->second.requests.clear();
    for (int i = 0; i < 20; ++i)
        CHECK(this->call(this->request()).outcome.status == 200);
    CHECK(this->first.requests.size() == 1);
    CHECK(this->second.requests.size() == 20);
}

TEST_CASE_METHOD(RelayCallFixture,
                 "RelayCall: answer to another request says that its upstream leaves: is not believed")
{
    this->setHandlers([](const HttpRequest &, const HttpResponderPtr &responder) {
        responder->reply(200, {{"X-Hemlockflow-Attempt-Id", "other"}, {"Server-Leaving", "1"}}, "whole");
    });
    this->call(this->request());
    CHECK(this->sentCount() == 2);
    CHECK_FALSE(this->scheduler.upstreams().isLeaving("upstream-1"));
    CHECK_FALSE(this->scheduler.upstreams().isLeaving("upstream-2"));
}

TEST_CASE_METHOD(RelayCallFixture,
                 "RelayCall: upstream says in the head of a stream that it leaves: the stream goes on")
{
    this->configure(CallKind::Stream, 2, true);
    this->setHandlers([this](const HttpRequest &request, const HttpResponderPtr &responder) {
        HttpHeaders headers = answerHeaders(request);
        headers.add("Server-Leaving", "1");
        responder->beginStream(200, headers);
        responder->write("id: 1\ndata: a\n\n");
        auto rest = std::make_shared<asio::steady_timer>(this->loop, std::chrono::milliseconds(20));
        rest->async_wait([rest, responder](const asio::error_code &) {
            responder->write("id: 2\ndata: b\n\n");
            responder->endStream();
        });
    });
    const auto result = this->call(this->request());
    CHECK(result.outcome.isComplete());
    CHECK(result.bytes == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(this->sentCount() == 1);
}

TEST_CASE_METHOD(RelayCallFixture, "RelayCall: upstream turns a request away for a time: others get the requests")
{
    this->configure(GENERATE(CallKind::NonIdempotent, CallKind::Idempotent), 2);
    this->first.handler = turnAway("30");
    for (int i = 0; i < 40; ++i)
        CHECK(this->call(this->request()).outcome.status == 200);
    CHECK(this->first.requests.size() == 1);
}

TEST_CASE_METHOD(RelayCallFixture,
                 "RelayCall: only upstream turns a request away for a time: callers get the true time, nothing is sent")
{
    this->configure(CallKind::Idempotent, GENERATE(1, 3));
    this->retries = RetryBudget({0.0, 0.0, 1.0});
    this->scheduler.applyUpstreams({this->first.upstream}, std::chrono::steady_clock::now());
    this->first.handler = turnAway("30");
    for (int i = 0; i < 5; ++i) {
        const auto refused = this->call(this->request()).outcome;
        CHECK(refused.status == 503);
        const int retryAfter = std::stoi(refused.headers.value("Retry-After"));
        CHECK(retryAfter > 20);
        CHECK(retryAfter <= 30);
    }
    CHECK(this->first.requests.size() == 1);
    CHECK(this->retries.tryRetry({}, "service", std::chrono::steady_clock::now()));
}

TEST_CASE_METHOD(RelayCallFixture, "RelayCall: answer that turns no request away has a retry time: nothing changes")
{
    const int status = GENERATE(200, 404, 429, 500);
    CAPTURE(status);
    this->configure(CallKind::NonIdempotent, 1);
    this->scheduler.applyUpstreams({this->first.upstream}, std::chrono::steady_clock::now());
    this->first.handler = [status](const HttpRequest &request, const HttpResponderPtr &responder) {
        HttpHeaders headers = answerHeaders(request);
        headers.add("Retry-After", "30");
        responder->reply(status, headers, "whole");
    };
    for (int i = 0; i < 5; ++i)
        this->call(this->request());
    CHECK(this->first.requests.size() == 5);
}

TEST_CASE_METHOD(RelayCallFixture, "RelayCall: upstream turns a request away with an invalid time: nothing changes")
{
    const std::string seconds = GENERATE("", "-3", "soon", "Sat, 05 Dec 2026 10:00:00 GMT");
    this->configure(CallKind::NonIdempotent, 1);
    this->scheduler.applyUpstreams({this->first.upstream}, std::chrono::steady_clock::now());
    this->first.handler = turnAway(seconds);
    for (int i = 0; i < 5; ++i)
        CHECK(this->call(this->request()).outcome.headers.value("Retry-After") == "1");
    CHECK(this->first.requests.size() == 5);
    CHECK(this->scheduler.notices().counts().invalid == 5);
}

// Guards against a resumed stream, or a retry, at an upstream that pauses.
TEST_CASE_METHOD(RelayCallFixture, "RelayCall: stream breaks off while the other upstream pauses: nothing more is sent")
{
    this->configure(CallKind::Stream, 5, true);
    this->retries = RetryBudget({0.0, 0.0, 1.0});
    this->setHandlers(turnAway("30"));
    this->scheduler.applyUpstreams({this->second.upstream}, std::chrono::steady_clock::now());
    this->call(this->request());
    this->scheduler.applyUpstreams({this->first.upstream, this->second.upstream}, std::chrono::steady_clock::now());
    this->first.handler = [](const HttpRequest &request, const HttpResponderPtr &responder) {
        responder->beginStream(200, answerHeaders(request));
        responder->write("id: 1\ndata: a\n\n");
        responder->abort();
    };
    const auto result = this->call(this->request());
    CHECK_FALSE(result.outcome.isComplete());
    CHECK(result.bytes == "id: 1\ndata: a\n\n");
    CHECK(this->first.requests.size() == 1);
    CHECK(this->second.requests.size() == 1);
    CHECK(this->retries.tryRetry({}, "service", std::chrono::steady_clock::now()));
}

namespace {

/// An entry process that may retry once.
class LastUpstreamFixture : public RelayCallFixture
{
protected:
    LastUpstreamFixture()
    {
        this->retries = RetryBudget({.earnedPerRequest = 0.0, .earnedPerSecond = 0.0, .maxRetries = 1.0});
    }

    void removeSecond()
    {
        this->scheduler.applyUpstreams({this->first.upstream}, std::chrono::steady_clock::now());
    }

    /// Whether the retry is still allowed.
    bool isRetryLeft()
    {
        return this->retries.tryRetry({}, "service", std::chrono::steady_clock::now());
    }
};

} // namespace

// Guards against callers that wait until their deadline for another upstream when there is none.
TEST_CASE_METHOD(LastUpstreamFixture,
                 "RelayCall: only upstream breaks off: the caller gets 502 before its deadline, and no retry is paid")
{
    this->removeSecond();
    this->setHandlers([](const HttpRequest &, const HttpResponderPtr &responder) { responder->abort(); });
    const auto result = this->call(this->request());
    CHECK(result.outcome.status == 502);
    CHECK(this->sentCount() == 1);
    CHECK(this->isRetryLeft());
}

TEST_CASE_METHOD(LastUpstreamFixture,
                 "RelayCall: only upstream did not run the call: the caller gets 503 at once, and no retry is paid")
{
    this->configure(GENERATE(CallKind::Idempotent, CallKind::NonIdempotent, CallKind::Stream), 2);
    this->removeSecond();
    this->setHandlers(answerNotExecuted);
    const auto result = this->call(this->request());
    CHECK(result.outcome.status == 503);
    CHECK(result.outcome.headers.has("Retry-After"));
    CHECK(result.bytes.find("\"not-run\"") != std::string::npos);
    CHECK(this->sentCount() == 1);
    CHECK(this->isRetryLeft());
}

TEST_CASE_METHOD(LastUpstreamFixture, "RelayCall: only upstream fails an idempotent call: its answer is forwarded")
{
    this->removeSecond();
    this->setHandlers([](const HttpRequest &request, const HttpResponderPtr &responder) {
        responder->reply(500, answerHeaders(request), "failed");
    });
    const auto result = this->call(this->request());
    CHECK(result.outcome.status == 500);
    CHECK(result.bytes == "failed");
    CHECK(this->isRetryLeft());
}

TEST_CASE_METHOD(LastUpstreamFixture,
                 "RelayCall: only upstream breaks a resumable stream off: it ends at once, and no retry is paid")
{
    this->configure(CallKind::Stream, 2, true);
    this->removeSecond();
    this->setHandlers([](const HttpRequest &request, const HttpResponderPtr &responder) {
        responder->beginStream(200, answerHeaders(request));
        responder->write("id: 1\ndata: a\n\n");
        responder->abort();
    });
    const auto result = this->call(this->request());
    CHECK_FALSE(result.outcome.isComplete());
    CHECK(result.outcome.failure == HttpFailure::Broken);
    CHECK(this->isRetryLeft());
}

TEST_CASE_METHOD(LastUpstreamFixture,
                 "RelayCall: last other upstream leaves while a retry waits for it: the caller gets 502")
{
    constexpr double requestsOfPeers = 100.0;
    const auto now = std::chrono::steady_clock::now();
    this->scheduler.upstreams().peerLoadReported("upstream-2", requestsOfPeers, 0.0, now);
    this->setHandlers([](const HttpRequest &, const HttpResponderPtr &responder) { responder->abort(); });
    std::optional<HttpOutcome> result;
    HttpCallHooks hooks;
    hooks.done = [&result](const HttpOutcome &outcome) { result = outcome; };
    this->callers.start(this->request(), std::move(hooks));
    this->runUntil([this] { return this->failedConnections == 1; });
    CHECK(this->scheduler.waitingCount("service") == 1);
    CHECK_FALSE(result);
    this->removeSecond();
    this->runUntil([&result] { return result.has_value(); });
    CHECK(result->status == 502);
    CHECK(this->sentCount() == 1);
}
