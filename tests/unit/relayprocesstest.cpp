#include "relay/relayprocess.h"
#include "relayheaders.h"

#include <asio.hpp>

#include <catch2/catch.hpp>

#include <csignal>

using namespace hemlock;

namespace {

/// One entry process over a store that answers at once, or not at all.
class RelayProcessFixture
{
protected:
    RelayProcessFixture()
    {
        this->transport.decodeRequest = platform::decodeRelayRequest;
        this->transport.encodeAttempt = platform::encodeRelayAttempt;
        this->transport.decodeAnswer = platform::decodeRelayAnswer;
        this->transport.decodeConfig = [](const std::string &value) {
            RelayConfig config;
            config.version = std::stoll(value);
            return config;
        };
        this->transport.decodeUpstream = [](const std::string &, const std::string &) -> Upstream {
            throw std::invalid_argument("no upstream");
        };
        this->kv.page =
            [this](const std::string &prefix, const std::string &, const std::function<void(const KvPage &)> &done) {
                ++this->reads;
                KvPage page;
                if (!this->storeIsDown) {
                    page.range.status = KvStatus::Ok;
                    page.range.revision = ++this->revision;
                    KvEntry entry;
                    entry.key = "config";
                    entry.value = this->configVersion;
                    if (entry.key.starts_with(prefix))
                        page.range.entries.push_back(entry);
                }
                asio::post(this->loop, [done, page] { done(page); });
            };
        this->kv.changes = [this](const std::string &prefix,
                                  std::int64_t,
                                  std::chrono::milliseconds wait,
                                  std::function<void(const KvChanges &)> done) -> std::function<void()> {
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

    /// Loopback addresses that are free; all are held until the last is known, so that they differ.
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
        this->settings = settings;
        this->process = std::make_unique<RelayProcess>(this->loop, settings, this->http, this->kv, this->transport);
        this->process->start();
    }

    int requestStatus(const std::string &address, const HttpHeaders &headers = {})
    {
        int status = 0;
        bool isDone = false;
        HttpCall call;
        call.url = endpointUrl(address) + "/x";
        call.headers = headers;
        this->client.start(call, {{}, {}, [&](const HttpOutcome &outcome) {
                                      status = outcome.status;
                                      isDone = true;
                                  }});
        while (!isDone)
            this->loop.run_one();
        return status;
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

    void change(const std::string &version)
    {
        KvChanges changes;
        changes.status = KvStatus::Ok;
        changes.revision = ++this->revision;
        KvEvent event;
        event.entry.key = "config";
        event.entry.value = version;
        changes.events.push_back(event);
        std::exchange(this->changesDone, nullptr)(changes);
    }

    asio::io_context loop{1};
    HttpClient http{this->loop};
    HttpClient client{this->loop};
    KvAccess kv;
    RelayTransport transport;
    RelaySettings settings;
    std::unique_ptr<RelayProcess> process;
    std::function<void(const KvChanges &)> changesDone;
    std::map<std::string, std::chrono::milliseconds> pollTimeouts; ///< Of the latest waiting reads, by prefix.
    std::chrono::milliseconds updateDeadline{2000};
    std::string configVersion = "5";
    std::int64_t revision = 10;
    bool storeIsDown = false;
    int reads = 0;
};

const HttpHeaders routeHeaders = {{"X-Hemlockflow-Attempt-Id", "a"}, {"Host", "h.example"}};

} // namespace

TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: no configuration is known yet: is not ready, and answers 503 rather than 404")
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

TEST_CASE_METHOD(RelayProcessFixture, "RelayProcess: store goes away: stays ready with what it knows")
{
    this->start();
    this->runUntil([this] { return this->changesDone != nullptr; });
    this->storeIsDown = true;
    std::exchange(this->changesDone, nullptr)(KvChanges{});
    CHECK(this->readinessStatus() == 200);
}

TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: SIGTERM: is not ready at once and still answers, on a connection that it closes")
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

// The load is a loss of power of all VMs, from which the store comes back last.
TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: killed while the store is out: is ready within two seconds of the store's return")
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

// Guards against requests to upstreams whose leave is missed by a read that the store never answers.
TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: waiting read is never answered: it is given up well before its news are due")
{
    this->start();
    this->runUntil([this] { return this->pollTimeouts.size() == 3; });
    CHECK(this->pollTimeouts.at("servers/") <= std::chrono::milliseconds(1000));
    CHECK(this->pollTimeouts.at("config") <= std::chrono::milliseconds(1000));
}

TEST_CASE_METHOD(RelayProcessFixture, "RelayProcess: news are due later: reads wait longer, for a lower price")
{
    this->updateDeadline = std::chrono::milliseconds(3000);
    this->start();
    this->runUntil([this] { return this->pollTimeouts.size() == 3; });
    CHECK(this->pollTimeouts.at("servers/") > std::chrono::milliseconds(1000));
    CHECK(this->pollTimeouts.at("servers/") + KvAccess::answerSlack < this->updateDeadline);
    CHECK(this->pollTimeouts.at("config") > std::chrono::milliseconds(1000));
    CHECK(this->pollTimeouts.at("config") + KvAccess::answerSlack < this->updateDeadline);
}
