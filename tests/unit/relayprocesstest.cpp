#include "relay/relayprocess.h"
#include "memorystore.h"
#include "relay/upstreamdirectory.h"
#include "relayheaders.h"

#include <asio.hpp>

#include <catch2/catch.hpp>

#include <csignal>

using namespace hemlock;

namespace {

const HttpHeaders routeHeaders = {{"X-Hemlockflow-Attempt-Id", "a"}, {"Host", "h.example"}};

/// One entry process with a store that answers at once or, while it is down, reports a failure.
class RelayProcessFixture
{
protected:
    RelayProcessFixture()
    {
        this->transport.decodeRequest = platform::decodeRelayRequest;
        this->transport.encodeAttempt = platform::encodeRelayAttempt;
        this->transport.decodeAnswer = platform::decodeRelayAnswer;
        this->transport.decodeConfig = [this](const std::string &value) {
            this->decodedConfigs.push_back(value);
            RelayConfig config;
            config.version = std::stoll(value);
            if (this->upstreamAddress.empty())
                return config;
            RelayRoute route;
            route.name = "route";
            route.host = "h.example";
            route.pathPrefix = "/x";
            route.kind = CallKind::NonIdempotent;
            route.timeout = this->routeTimeout;
            route.latencyTarget = this->routeTimeout;
            route.targets = {{"service", 1.0}};
            RelayRoute streamRoute = route;
            streamRoute.name = "stream";
            streamRoute.pathPrefix = "/stream/";
            streamRoute.kind = CallKind::Stream;
            RelayRoute idempotentRoute = route;
            idempotentRoute.name = "idempotent";
            idempotentRoute.pathPrefix = "/idempotent/";
            idempotentRoute.kind = CallKind::Idempotent;
            idempotentRoute.maxAttempts = 2;
            config.routes = {route, streamRoute, idempotentRoute};
            return config;
        };
        this->transport.decodeUpstream = [this](const std::string &id, const std::string &) {
            Upstream upstream;
            upstream.id = id;
            upstream.service = "service";
            upstream.address = this->upstreamAddress;
            upstream.zone = {"zone-a"};
            upstream.state = this->upstreamState;
            upstream.slots = 4;
            return upstream;
        };
        this->kv.readPage =
            [this](const std::string &prefix, const std::string &, const std::function<void(const KvPage &)> &done) {
                ++this->reads;
                this->readTimes[prefix].push_back(std::chrono::steady_clock::now());
                KvPage page;
                if (!this->storeIsDown) {
                    page.range.status = KvStatus::Ok;
                    page.range.revision = ++this->revision;
                    page.range.era = this->era;
                    KvEntry entry;
                    entry.key = "config";
                    entry.value = this->configVersion;
                    if (entry.key.starts_with(prefix))
                        page.range.entries.push_back(entry);
                    for (const char *key : {"servers/upstream-1", "servers/upstream-2"}) {
                        entry.key = key;
                        if (!this->upstreamAddress.empty() && entry.key.starts_with(prefix))
                            page.range.entries.push_back(entry);
                    }
                }
                asio::post(this->loop, [done, page] { done(page); });
            };
        this->kv.waitForChanges = [this](const std::string &prefix,
                                         std::int64_t,
                                         std::chrono::milliseconds wait,
                                         std::function<void(const KvChanges &)> done) -> std::function<void()> {
            this->pollsDone[prefix] = done;
            this->changesDone = std::move(done);
            this->pollTimeouts[prefix] = wait;
            return [] {};
        };
        this->kv.ping = [this](const std::function<void(KvStatus, const std::string &)> &done) {
            done(this->storeIsDown ? KvStatus::Unknown : KvStatus::Ok, {});
        };
        this->kv.range = [](const std::string &, bool, const std::function<void(const KvRangeResult &)> &) {};
        this->kv.txn = [](const KvTxn &, const std::function<void(const KvTxnResult &)> &) {};
        this->kv.grantLease = [](std::chrono::seconds, const std::function<void(const KvLeaseResult &)> &) {};
        this->kv.keepLeaseAlive = [](std::int64_t, const std::function<void(const KvLeaseResult &)> &) {};
    }

    /// Returns free loopback addresses; all stay bound until the last is known, so that they differ.
    static std::vector<std::string> freeAddresses(std::size_t count)
    {
        asio::io_context loop;
        std::vector<asio::ip::tcp::acceptor> acceptors;
        std::vector<std::string> addresses;
        for (std::size_t i = 0; i < count; ++i) {
            acceptors.emplace_back(loop, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
            addresses.push_back("127.0.0.1:" + std::to_string(acceptors.back().local_endpoint().port()));
        }
        return addresses;
    }

    void start()
    {
        RelaySettings settings;
        settings.node = "vm-1";
        settings.zone = {"zone-a"};
        const auto addresses = freeAddresses(4);
        settings.callerAddress = addresses[0];
        settings.readinessAddress = addresses[1];
        settings.controlAddress = addresses[2];
        settings.peerAddress = addresses[3];
        settings.configKey = "config";
        settings.upstreamPrefix = "servers/";
        settings.upstreamUpdateDeadline = this->updateDeadline;
        settings.configUpdateDeadline = this->updateDeadline;
        settings.drainTime = this->drainTime;
        settings.startsWithRetries = this->isFirstStart;
        settings.reportsUsage = this->reportsUsage;
        this->settings = settings;
        this->process = std::make_unique<RelayProcess>(this->loop, settings, this->http, this->kv, this->transport);
        this->process->start();
    }

    int requestStatus(const std::string &address, const HttpHeaders &headers = {})
    {
        return this->request(address, headers).status;
    }

    HttpOutcome request(const std::string &address, const HttpHeaders &headers = {})
    {
        std::optional<HttpOutcome> result;
        this->startRequest(address, headers, result);
        while (!result && !this->loop.stopped())
            this->loop.run_one();
        return result.value_or(HttpOutcome{});
    }

    void startRequest(const std::string &address,
                      const HttpHeaders &headers,
                      std::optional<HttpOutcome> &result,
                      const std::string &path = "/x")
    {
        HttpCall call;
        call.url = endpointUrl(address) + path;
        call.headers = headers;
        this->client.start(call, {{}, {}, [&result](const HttpOutcome &outcome) { result = outcome; }});
    }

    /// Starts the process before an upstream that takes requests and answers them through openRequests.
    void startWithUpstream()
    {
        this->upstreamServer = std::make_unique<HttpServer>(
            this->loop, HttpServerSettings{}, [this](HttpRequest, HttpResponderPtr responder) {
                this->openRequests.push_back(std::move(responder));
            });
        this->upstreamAddress = this->upstreamServer->start();
        this->start();
        while (this->readinessStatus() != 200)
            continue;
    }

    /// Waits until the process has noticed a SIGTERM.
    void terminate()
    {
        std::raise(SIGTERM);
        while (this->readinessStatus() == 200)
            continue;
    }

    int readinessStatus()
    {
        return this->requestStatus(this->settings.readinessAddress);
    }

    void runUntil(const std::function<bool()> &condition)
    {
        while (!condition())
            this->loop.run_one();
    }

    /// Waits for a long poll of the upstreams and lets it fail.
    void failUpstreamPoll()
    {
        this->runUntil([this] { return this->pollsDone["servers/"] != nullptr; });
        std::exchange(this->pollsDone["servers/"], nullptr)(KvChanges{});
    }

    /// Takes the entries of all upstreams out of the store, and waits until they are read.
    void removeUpstreams()
    {
        this->upstreamAddress.clear();
        this->runUntil([this, known = this->readTimes["servers/"].size()] {
            return this->readTimes["servers/"].size() > known && !this->storeIsDown;
        });
        this->loop.run_for(std::chrono::milliseconds(50));
    }

    /// Whether a request of a caller reaches an upstream.
    bool reachesUpstream()
    {
        std::optional<HttpOutcome> result;
        this->startRequest(this->settings.callerAddress, routeHeaders, result);
        this->runUntil([this, &result] { return result || !this->openRequests.empty(); });
        return !this->openRequests.empty();
    }

    void deliverChanges(const std::vector<std::string> &keys, const std::string &value)
    {
        KvChanges changes;
        changes.status = KvStatus::Ok;
        changes.revision = ++this->revision;
        for (const std::string &key : keys) {
            KvEvent event;
            event.entry.key = key;
            event.entry.value = value;
            changes.events.push_back(event);
        }
        std::exchange(this->changesDone, nullptr)(changes);
    }

    asio::io_context loop{1};
    HttpClient http{this->loop};
    HttpClient client{this->loop};
    KvAccess kv;
    RelayTransport transport;
    RelaySettings settings;
    std::unique_ptr<RelayProcess> process;
    std::function<void(const KvChanges &)> changesDone; ///< Of the latest long poll.
    std::map<std::string, std::function<void(const KvChanges &)>> pollsDone; ///< Of the latest long polls, by prefix.
    std::map<std::string, std::chrono::milliseconds> pollTimeouts; ///< Of the latest long polls, by prefix.
    std::unique_ptr<HttpServer> upstreamServer;
    UpstreamState upstreamState = UpstreamState::Serving;
    std::string upstreamAddress; ///< Empty for no upstream and no route.
    std::vector<HttpResponderPtr> openRequests; ///< At the upstream.
    std::chrono::milliseconds routeTimeout{3000};
    std::chrono::milliseconds drainTime{8000};
    std::chrono::milliseconds updateDeadline{2000};
    bool isFirstStart = true; ///< Of the whole system.
    bool reportsUsage = false;
    std::string configVersion = "5";
    std::int64_t revision = 10;
    std::int64_t era = 0; ///< Of the store.
    std::vector<std::string> decodedConfigs;
    bool storeIsDown = false;
    int reads = 0;
    std::map<std::string, std::vector<std::chrono::steady_clock::time_point>> readTimes; ///< By prefix.
};

} // namespace

TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: no configuration is known yet: is not ready and answers 503, not 404")
{
    this->storeIsDown = true;
    this->start();
    this->runUntil([this] { return this->reads > 0; });
    CHECK(this->readinessStatus() == 503);
    CHECK(this->requestStatus(this->settings.callerAddress, routeHeaders) == 503);
}

TEST_CASE_METHOD(RelayProcessFixture, "RelayProcess: configuration was read: is ready, and an unknown route is 404")
{
    this->start();
    this->runUntil([this] { return this->changesDone != nullptr; });
    CHECK(this->readinessStatus() == 200);
    CHECK(this->requestStatus(this->settings.callerAddress, routeHeaders) == 404);
}

TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: store becomes unreachable: stays ready with the last configuration")
{
    this->start();
    this->runUntil([this] { return this->changesDone != nullptr; });
    this->storeIsDown = true;
    std::exchange(this->changesDone, nullptr)(KvChanges{});
    CHECK(this->readinessStatus() == 200);
}

TEST_CASE_METHOD(RelayProcessFixture, "RelayProcess: SIGTERM: becomes not ready and still answers requests")
{
    this->start();
    this->runUntil([this] { return this->changesDone != nullptr; });
    std::raise(SIGTERM);
    int ready = 200;
    while (ready == 200)
        ready = this->readinessStatus();
    CHECK(ready == 503);
    CHECK(this->requestStatus(this->settings.callerAddress, routeHeaders) == 404);
}

// Guards against calls that are passed on and cut by the exit of the process: the route allows more than is left.
TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: SIGTERM, then a call that may take longer than is left: it is refused and not sent")
{
    this->drainTime = std::chrono::milliseconds(3400);
    this->startWithUpstream();
    this->terminate();
    const HttpOutcome outcome = this->request(this->settings.callerAddress, routeHeaders);
    CHECK(outcome.status == 503);
    CHECK(outcome.body.find("\"stopping\"") != std::string::npos);
    CHECK(this->openRequests.empty());
}

// Guards against connections that end without an answer when the process exits.
TEST_CASE_METHOD(RelayProcessFixture, "RelayProcess: call is open when the process exits: its caller gets an answer")
{
    this->drainTime = std::chrono::milliseconds(1500);
    this->startWithUpstream();
    std::optional<HttpOutcome> result;
    this->startRequest(this->settings.callerAddress, routeHeaders, result);
    this->runUntil([this] { return !this->openRequests.empty(); });
    this->terminate();
    while (!result && !this->loop.stopped())
        this->loop.run_one();
    REQUIRE(result);
    CHECK(result->isComplete());
    CHECK(result->status == 504);
    CHECK(result->body.find("may-have-run") != std::string::npos);
}

// Guards against streams that are cut before the process exits.
TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: stream has begun when other calls have to end: it can still end whole")
{
    this->drainTime = std::chrono::milliseconds(1500);
    this->startWithUpstream();
    std::optional<HttpOutcome> stream;
    this->startRequest(this->settings.callerAddress, routeHeaders, stream, "/stream/x");
    this->runUntil([this] { return this->openRequests.size() == 1; });
    this->openRequests[0]->beginStream(
        200, {{"X-Hemlockflow-Attempt-Id", "a"}, {"X-Hemlockflow-Response-Signature", "signed"}});
    this->openRequests[0]->write("id: 1\ndata: a\n\n");
    std::optional<HttpOutcome> call;
    this->startRequest(this->settings.callerAddress, routeHeaders, call);
    this->runUntil([this] { return this->openRequests.size() == 2; });
    this->terminate();
    this->runUntil([&call] { return call.has_value(); });
    CHECK(call->status == 504);
    this->openRequests[0]->endStream();
    while (!stream && !this->loop.stopped())
        this->loop.run_one();
    REQUIRE(stream);
    CHECK(stream->isComplete());
    CHECK(stream->body == "id: 1\ndata: a\n\n");
}

TEST_CASE_METHOD(RelayProcessFixture, "RelayProcess: SIGTERM comes twice during a call: the call gets its answer")
{
    this->startWithUpstream();
    std::optional<HttpOutcome> result;
    this->startRequest(this->settings.callerAddress, routeHeaders, result);
    this->runUntil([this] { return !this->openRequests.empty(); });
    this->terminate();
    std::raise(SIGTERM);
    CHECK(this->readinessStatus() == 503);
    this->openRequests.front()->reply(
        200, {{"X-Hemlockflow-Attempt-Id", "a"}, {"X-Hemlockflow-Response-Signature", "signed"}}, "whole");
    this->runUntil([&result] { return result.has_value(); });
    CHECK(result->isComplete());
    CHECK(result->body == "whole");
}

// Guards against changes that are not applied until the store has made as many as it lost.
TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: store comes back from an older copy: a configuration written since is applied at once")
{
    this->era = 1;
    this->revision = 1000;
    this->start();
    this->runUntil([this] { return this->pollTimeouts.size() == 3; });
    REQUIRE(this->decodedConfigs == std::vector<std::string>{"5"});
    this->era = 2;
    this->revision = 10;
    this->configVersion = "7";
    KvChanges unknownRevision;
    unknownRevision.isCompacted = true;
    unknownRevision.era = 2;
    std::exchange(this->changesDone, nullptr)(unknownRevision);
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(1);
    this->runUntil([this, deadline] {
        return this->decodedConfigs.back() == "7" || std::chrono::steady_clock::now() >= deadline;
    });
    CHECK(this->decodedConfigs.back() == "7");
}

// Guards against a slow recovery after a power loss of all VMs in which the store comes back last.
TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: restarts while the store is down: is ready within two seconds of the store's recovery")
{
    this->start();
    this->runUntil([this] { return this->changesDone != nullptr; });
    this->process.reset();
    this->changesDone = nullptr;
    this->storeIsDown = true;
    const int readsBefore = this->reads;
    this->start();
    this->runUntil([this, readsBefore] { return this->reads > readsBefore + 3; });
    CHECK(this->readinessStatus() == 503);
    this->storeIsDown = false;
    const auto recoveryTime = std::chrono::steady_clock::now();
    while (this->readinessStatus() != 200 && std::chrono::steady_clock::now() - recoveryTime < std::chrono::seconds(5))
        continue;
    CHECK(std::chrono::steady_clock::now() - recoveryTime < std::chrono::seconds(2));
    CHECK(this->requestStatus(this->settings.callerAddress, routeHeaders) == 404);
}

// Guards against requests to upstreams whose shutdown notice is missed because the store never answers a long poll.
TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: long poll is never answered: it times out well before the update deadline")
{
    this->start();
    this->runUntil([this] { return this->pollTimeouts.size() == 3; });
    CHECK(this->pollTimeouts.at("servers/") <= std::chrono::milliseconds(1000));
    CHECK(this->pollTimeouts.at("config") <= std::chrono::milliseconds(1000));
}

TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: update deadline is longer: polls wait longer, which saves store calls")
{
    this->updateDeadline = std::chrono::milliseconds(3000);
    this->start();
    this->runUntil([this] { return this->pollTimeouts.size() == 3; });
    CHECK(this->pollTimeouts.at("servers/") > std::chrono::milliseconds(1000));
    CHECK(this->pollTimeouts.at("servers/") + KvAccess::responseGracePeriod < this->updateDeadline);
    CHECK(this->pollTimeouts.at("config") > std::chrono::milliseconds(1000));
    CHECK(this->pollTimeouts.at("config") + KvAccess::responseGracePeriod < this->updateDeadline);
}

// Guards against requests to upstreams that left during an outage: those that are missing afterwards stay in use for a
// while, which counts from when the VM notices the recovery.
TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: store is down: its recovery is noticed early enough for the outage grace period")
{
    constexpr std::chrono::milliseconds contactTime{3000};
    constexpr std::chrono::milliseconds readAndTickTime{200};
    this->storeIsDown = true;
    this->start();
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(4);
    while (std::chrono::steady_clock::now() < end)
        this->loop.run_one_for(std::chrono::milliseconds(20));
    const auto &times = this->readTimes.at("servers/");
    REQUIRE(times.size() > 2);
    auto longestGap = end - times.back();
    for (std::size_t i = 1; i < times.size(); ++i)
        longestGap = std::max(longestGap, times[i] - times[i - 1]);
    CHECK(longestGap + UpstreamDirectorySettings().outageGracePeriod + readAndTickTime < contactTime);
}

// Guards against requests to an upstream that has left, as two cut long polls count as an outage of the store.
TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: two long polls fail while the store works: an upstream that left gets no request")
{
    this->startWithUpstream();
    this->failUpstreamPoll();
    this->failUpstreamPoll();
    this->removeUpstreams();
    CHECK_FALSE(this->reachesUpstream());
}

TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: store was silent for seconds: an upstream whose entry is missing is still in use")
{
    this->startWithUpstream();
    this->runUntil([this] { return this->pollsDone["servers/"] != nullptr; });
    this->storeIsDown = true;
    this->loop.run_for(std::chrono::milliseconds(2500));
    this->storeIsDown = false;
    this->removeUpstreams();
    CHECK(this->reachesUpstream());
}

// Guards against a full retry budget after each start: what was spent before it still counts.
TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: first request after a start fails: is retried only in the first start of the system")
{
    this->isFirstStart = GENERATE(true, false);
    this->startWithUpstream();
    std::optional<HttpOutcome> result;
    this->startRequest(this->settings.callerAddress, routeHeaders, result, "/idempotent/x");
    std::size_t answered = 0;
    this->runUntil([this, &result, &answered] {
        while (answered < this->openRequests.size())
            this->openRequests[answered++]->reply(500, {{"X-Hemlockflow-Attempt-Id", "a"}}, "failed");
        return result.has_value();
    });
    CHECK(result->status == 500);
    CHECK(this->openRequests.size() == (this->isFirstStart ? 2 : 1));
    std::optional<HttpOutcome> metrics;
    this->startRequest(this->settings.controlAddress, {}, metrics, "/metrics");
    this->runUntil([&metrics] { return metrics.has_value(); });
    const std::string refused = "hemlock_retries_refused_total{service=\"service\",client_account=\"\",limit=";
    CHECK((metrics->body.find(refused + "\"budget\"} 1") != std::string::npos) == !this->isFirstStart);
}

namespace {

/// A process before an upstream that accepts connections and does not read from them, as behind a broken path.
class UnreadingUpstreamFixture : public RelayProcessFixture
{
protected:
    UnreadingUpstreamFixture()
    {
        this->updateDeadline = std::chrono::milliseconds(400);
        this->acceptor.open(asio::ip::tcp::v4());
        this->acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
        this->acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
        this->acceptor.listen();
        this->upstreamAddress = "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
        this->accept();
        this->start();
        while (this->readinessStatus() != 200)
            continue;
    }

    void accept()
    {
        this->acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            this->peers.push_back(std::move(socket));
            this->accept();
        });
    }

    /// Starts a call with a body that exceeds what the upstream's kernel takes without a reader.
    void startLongCall(const std::string &path, std::optional<HttpOutcome> &result)
    {
        HttpCall call;
        call.method = "POST";
        call.url = endpointUrl(this->settings.callerAddress) + path;
        call.headers = routeHeaders;
        call.body = std::string(std::size_t{1024} * 1024, 'x');
        this->client.start(call, {{}, {}, [&result](const HttpOutcome &outcome) { result = outcome; }});
        this->runUntil([this, known = this->peers.size()] { return this->peers.size() > known; });
    }

    void announceLeaving()
    {
        this->upstreamState = UpstreamState::Leaving;
        this->runUntil([this] { return this->changesDone != nullptr; });
        this->deliverChanges({"servers/upstream-1", "servers/upstream-2"}, "leaving");
    }

    asio::ip::tcp::acceptor acceptor{this->loop};
    std::vector<asio::ip::tcp::socket> peers; ///< Accepted connections.
};

} // namespace

// Guards against requests that reach an upstream long after it said that it leaves, once a broken path works again.
TEST_CASE_METHOD(UnreadingUpstreamFixture,
                 "RelayProcess: upstream leaves and has not received a request: the request is discarded")
{
    std::optional<HttpOutcome> result;
    this->startLongCall(GENERATE("/x", "/stream/x"), result);
    this->announceLeaving();
    this->runUntil([&result] { return result.has_value(); });
    CHECK(result->status == 502);
    CHECK(result->body.find("may-have-run") != std::string::npos);
    asio::error_code error;
    std::string bytes(std::size_t{64} * 1024, 0);
    while (!error)
        this->peers.at(0).read_some(asio::buffer(bytes), error);
    CHECK(error == asio::error::connection_reset);
}

TEST_CASE_METHOD(UnreadingUpstreamFixture,
                 "RelayProcess: upstream leaves and has received a request: its answer reaches the caller")
{
    std::optional<HttpOutcome> received;
    this->startRequest(this->settings.callerAddress, routeHeaders, received);
    this->runUntil([this] { return this->peers.size() == 1; });
    std::string head;
    bool isRead = false;
    asio::async_read_until(this->peers[0],
                           asio::dynamic_buffer(head),
                           "\r\n\r\n",
                           [&isRead](const asio::error_code &, std::size_t) { isRead = true; });
    this->runUntil([&isRead] { return isRead; });
    std::optional<HttpOutcome> unreceived;
    this->startLongCall("/x", unreceived);
    this->announceLeaving();
    this->runUntil([&unreceived] { return unreceived.has_value(); });
    CHECK_FALSE(received);
    const std::string answer = "HTTP/1.1 200 OK\r\nX-Hemlockflow-Attempt-Id: a\r\n"
                               "X-Hemlockflow-Response-Signature: signed\r\nContent-Length: 5\r\n\r\nwhole";
    asio::write(this->peers[0], asio::buffer(answer));
    this->runUntil([&received] { return received.has_value(); });
    CHECK(received->body == "whole");
}

namespace {

/// A process that holds the duties. The renewals of its lease are answered when the test says so.
class DutyHolderFixture : public RelayProcessFixture
{
protected:
    DutyHolderFixture()
    {
        this->reportsUsage = true;
        this->era = 1;
        this->memory.era = 1;
        this->transport.reportUsage =
            [](const DutyLease &, std::int64_t, const UsageCounts &, const std::function<void(DutyResult)> &done) {
                done(DutyResult::Accepted);
            };
        const KvAccess access = this->memory.access();
        this->kv.range = [this, access](const std::string &key, bool prefix, const auto &done) {
            access.range(key, prefix, done);
            this->runStore();
        };
        this->kv.txn = [this, access](const KvTxn &txn, const auto &done) {
            for (const KvCompare &compare : txn.compares)
                this->holderWrites += compare.key == holderKey && compare.modRevision != 0 ? 1 : 0;
            access.txn(txn, done);
            this->runStore();
        };
        this->kv.grantLease = [this, access](std::chrono::seconds ttl, const auto &done) {
            access.grantLease(ttl, done);
            this->runStore();
        };
        this->kv.keepLeaseAlive = [this](std::int64_t lease, const auto &done) {
            KvLeaseResult result{KvStatus::Ok, lease, std::chrono::seconds(3), {}, 0};
            const auto holder = this->memory.entries.find(holderKey);
            if (holder == this->memory.entries.end() || holder->second.lease != lease)
                return asio::post(this->loop, [done, result] { done(result); });
            this->renewals.push_back([this, done, result]() mutable {
                result.era = this->era;
                done(result);
            });
            if (this->answersRenewals)
                this->answerRenewals();
        };
    }

    void runStore()
    {
        asio::post(this->loop, [this] { this->memory.runAll(); });
    }

    void answerRenewals()
    {
        for (const auto &renewal : std::exchange(this->renewals, {}))
            asio::post(this->loop, renewal);
    }

    static constexpr const char *holderKey = "hemlock/duties/holder";
    MemoryStore memory; ///< Of all that is written.
    std::vector<std::function<void()>> renewals; ///< Not yet answered.
    bool answersRenewals = false; ///< Whether later renewals are answered at once.
    int holderWrites = 0; ///< Transactions on condition that this process holds the duties.
};

} // namespace

// Guards against a holder that stood still and takes the first answer of a restored store for the renewal of its claim.
TEST_CASE_METHOD(DutyHolderFixture,
                 "RelayProcess: answer to a late renewal tells of a restore: the process does not act on its old claim")
{
    this->start();
    this->runUntil([this] { return this->memory.entries.contains(holderKey); });
    this->loop.run_for(std::chrono::seconds(3));
    REQUIRE(this->renewals.size() == 1);
    this->era = 2;
    this->memory.era = 2;
    this->holderWrites = 0;
    this->answersRenewals = true;
    this->answerRenewals();
    this->loop.run_for(std::chrono::seconds(2));
    CHECK(this->holderWrites == 0);
}
