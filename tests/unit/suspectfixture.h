#pragma once

#include "httpserver.h"
#include "memorystore.h"
#include "relay/relayprocess.h"
#include "relayheaders.h"

#include <asio.hpp>

#include <catch2/catch.hpp>

namespace hemlock {

/// One entry process with a store in memory and two upstreams. They crash as they begin to answer the prompt part
/// "bad", and at the body "deadly" before they answer.
class SuspectFixture
{
protected:
    SuspectFixture()
    {
        this->transport.decodeRequest = platform::decodeRelayRequest;
        this->transport.encodeAttempt = platform::encodeRelayAttempt;
        this->transport.decodeAnswer = platform::decodeRelayAnswer;
        this->transport.decodeConfig = [this](const std::string &) {
            RelayRoute stream;
            stream.host = "h.example";
            stream.pathPrefix = "/";
            stream.kind = CallKind::Stream;
            stream.maxAttempts = 1;
            stream.latencyTarget = std::chrono::seconds(1);
            stream.targets = {{"service", 1.0}};
            RelayRoute lookup = stream;
            lookup.pathPrefix = "/lookup/";
            lookup.kind = CallKind::Idempotent;
            lookup.maxAttempts = 2;
            RelayConfig config;
            config.version = 1;
            config.routes = {stream, lookup};
            if (this->hasAccounts)
                config.accounts = {{"account", {"key"}, {}, 0.0, 0.0, false, 1.0}};
            return config;
        };
        this->transport.decodeUpstream = [this](const std::string &id, const std::string &) {
            Upstream upstream;
            upstream.id = id;
            upstream.service = "service";
            upstream.address = this->upstreamAddresses.at(id);
            upstream.zone = {"zone-a"};
            upstream.state = UpstreamState::Serving;
            upstream.slots = 4;
            return upstream;
        };
        for (auto &upstream : this->upstreams) {
            const std::string id = "u" + std::to_string(this->upstreamAddresses.size() + 1);
            this->upstreamAddresses[id] = upstream.start();
            this->store.executeTxn({{}, {{"servers/" + id, "up", 0}}, {}, {}});
        }
        this->store.executeTxn({{}, {{"config", "1", 0}}, {}, {}});
    }

    void handleAttempt(const HttpRequest &request, const HttpResponderPtr &responder)
    {
        ++this->sentCount;
        if (request.body == "deadly")
            return responder->abort();
        responder->beginStream(200,
                               {{"X-Hemlockflow-Attempt-Id", request.headers.value("X-Hemlockflow-Attempt-Id")},
                                {"X-Hemlockflow-Response-Signature", "signed"}});
        if (request.headers.value("X-Hemlockflow-Prompt-Prefix").find("bad") != std::string::npos)
            return responder->abort();
        responder->write("id: 1\ndata: a\n\n");
        responder->endStream();
    }

    /// The memory store with its calls executed by the loop, and no changes for long polls.
    KvAccess access()
    {
        KvAccess access = this->store.access();
        const auto run = [this] { asio::post(this->loop, [this] { this->store.runAll(); }); };
        access.txn = [run, call = access.txn](const KvTxn &txn, const std::function<void(const KvTxnResult &)> &done) {
            call(txn, done);
            run();
        };
        access.grantLease = [run, call = access.grantLease](std::chrono::seconds ttl,
                                                            const std::function<void(const KvLeaseResult &)> &done) {
            call(ttl, done);
            run();
        };
        access.readPage =
            [this](const std::string &prefix, const std::string &, const std::function<void(const KvPage &)> &done) {
                const KvPage page{this->store.executeRange(prefix, true), false};
                asio::post(this->loop, [done, page] { done(page); });
            };
        access.waitForChanges = [this](const std::string &,
                                       std::int64_t,
                                       std::chrono::milliseconds,
                                       const std::function<void(const KvChanges &)> &) -> std::function<void()> {
            ++this->longPolls;
            return [] {};
        };
        access.ping = [](const std::function<void(KvStatus, const std::string &)> &done) { done(KvStatus::Ok, {}); };
        return access;
    }

    /// Starts the process, or restarts it, and waits until it watches the store.
    void start()
    {
        this->process.reset();
        RelaySettings settings;
        settings.node = "vm-1";
        settings.zone = {"zone-a"};
        asio::io_context addresses;
        std::vector<asio::ip::tcp::acceptor> acceptors;
        for (std::string *address :
             {&settings.callerAddress, &settings.readinessAddress, &settings.controlAddress, &settings.peerAddress}) {
            acceptors.emplace_back(addresses, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
            *address = "127.0.0.1:" + std::to_string(acceptors.back().local_endpoint().port());
        }
        acceptors.clear();
        settings.configKey = "config";
        settings.upstreamPrefix = "servers/";
        this->callerAddress = settings.callerAddress;
        this->longPolls = 0;
        this->process =
            std::make_unique<RelayProcess>(this->loop, settings, this->http, this->access(), this->transport);
        this->process->start();
        constexpr int watchedPrefixes = 3;
        this->runFor(std::chrono::seconds(5), [this] { return this->longPolls == watchedPrefixes; });
        REQUIRE(this->longPolls == watchedPrefixes);
    }

    /// Runs the loop until the condition holds, or until the time is over.
    void runFor(std::chrono::seconds time, const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (!condition() && std::chrono::steady_clock::now() < end)
            this->loop.run_one_until(end);
    }

    int statusWithPart(const std::string &part)
    {
        const std::string number = std::to_string(++this->requestNumber);
        HttpCall call;
        call.method = "POST";
        call.url = endpointUrl(this->callerAddress) + "/x";
        call.headers = {{"Host", "h.example"},
                        {"X-Hemlockflow-Attempt-Id", "attempt-" + number},
                        {"X-Hemlockflow-Prompt-Prefix", part + ":100,1" + number + ":50"},
                        {"X-Hemlockflow-Deadline-Ms", "3000"}};
        call.body = "body " + number;
        return this->statusOf(call);
    }

    /// Status of a lookup; those with the same body are copies of each other.
    int statusOfLookup(const std::string &body)
    {
        HttpCall call;
        call.method = "POST";
        call.url = endpointUrl(this->callerAddress) + "/lookup/x";
        call.headers = {{"Host", "h.example"},
                        {"Api-Key", "key"},
                        {"X-Hemlockflow-Attempt-Id", "attempt-" + std::to_string(++this->requestNumber)},
                        {"X-Hemlockflow-Deadline-Ms", "3000"}};
        call.body = body;
        return this->statusOf(call);
    }

    int statusOf(const HttpCall &call)
    {
        std::optional<int> status;
        this->client.start(call, {{}, {}, [&status](const HttpOutcome &outcome) { status = outcome.status; }});
        this->runFor(std::chrono::seconds(5), [&status] { return status.has_value(); });
        return status.value_or(0);
    }

    bool hasSuspectRecord() const
    {
        return std::any_of(this->store.entries.begin(), this->store.entries.end(), [](const auto &entry) {
            return entry.first.starts_with("hemlock/suspects/");
        });
    }

    asio::io_context loop{1};
    HttpClient http{this->loop};
    HttpClient client{this->loop};
    MemoryStore store;
    RelayTransport transport;
    HttpServer upstreams[2]{
        {this->loop, {}, [this](const HttpRequest &r, const HttpResponderPtr &a) { this->handleAttempt(r, a); }},
        {this->loop, {}, [this](const HttpRequest &r, const HttpResponderPtr &a) { this->handleAttempt(r, a); }}};
    std::map<std::string, std::string> upstreamAddresses;
    std::unique_ptr<RelayProcess> process;
    std::string callerAddress;
    bool hasAccounts = false; ///< Whether requests need the key "key".
    int longPolls = 0;
    int requestNumber = 0;
    int sentCount = 0;
};

} // namespace hemlock
