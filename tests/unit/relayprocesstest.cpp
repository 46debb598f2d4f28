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
                if (!this->storeIsOut) {
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
            this->waits[prefix] = wait;
            return [] {};
        };
        this->kv.ping = [this](const std::function<void(KvStatus, const std::string &)> &done) {
            done(this->storeIsOut ? KvStatus::Unknown : KvStatus::Ok, {});
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
        settings.callers = addresses[0];
        settings.readiness = addresses[1];
        settings.control = addresses[2];
        settings.peers = addresses[3];
        settings.configKey = "config";
        settings.upstreamPrefix = "servers/";
        settings.upstreamNewsBound = this->newsBound;
        settings.configNewsBound = this->newsBound;
        this->settings = settings;
        this->process = std::make_unique<RelayProcess>(this->loop, settings, this->http, this->kv, this->transport);
        this->process->start();
    }

    int statusOf(const std::string &address, const HttpHeaders &headers = {})
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

    int readiness()
    {
        return this->statusOf(this->settings.readiness);
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
    std::map<std::string, std::chrono::milliseconds> waits; ///< Of the latest waiting reads, by prefix.
    std::chrono::milliseconds newsBound{2000};
    std::string configVersion = "5";
    std::int64_t revision = 10;
    bool storeIsOut = false;
    int reads = 0;
};

const HttpHeaders named = {{"X-Hemlockflow-Attempt-Id", "a"}, {"Host", "h.example"}};

} // namespace

TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: no configuration is known yet: is not ready, and answers 503 rather than 404")
{
    this->storeIsOut = true;
    this->start();
    this->runUntil([this] { return this->reads > 0; });
    CHECK(this->readiness() == 503);
    CHECK(this->statusOf(this->settings.callers, named) == 503);
}

TEST_CASE_METHOD(RelayProcessFixture, "RelayProcess: configuration was read: is ready, and an unknown route is 404")
{
    this->start();
    this->runUntil([this] { return this->changesDone != nullptr; });
    CHECK(this->readiness() == 200);
    CHECK(this->statusOf(this->settings.callers, named) == 404);
}

TEST_CASE_METHOD(RelayProcessFixture, "RelayProcess: store goes away: stays ready with what it knows")
{
    this->start();
    this->runUntil([this] { return this->changesDone != nullptr; });
    this->storeIsOut = true;
    std::exchange(this->changesDone, nullptr)(KvChanges{});
    CHECK(this->readiness() == 200);
}

TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: SIGTERM: is not ready at once and still answers, on a connection that it closes")
{
    this->start();
    this->runUntil([this] { return this->changesDone != nullptr; });
    std::raise(SIGTERM);
    int ready = 200;
    while (ready == 200)
        ready = this->readiness();
    CHECK(ready == 503);
    CHECK(this->statusOf(this->settings.callers, named) == 404);
}

// The load is a loss of power of all VMs, from which the store comes back last.
TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: killed while the store is out: is ready within two seconds of the store's return")
{
    this->start();
    this->runUntil([this] { return this->changesDone != nullptr; });
    this->process.reset();
    this->changesDone = nullptr;
    this->storeIsOut = true;
    const int readsBefore = this->reads;
    this->start();
    this->runUntil([this, readsBefore] { return this->reads > readsBefore + 3; });
    CHECK(this->readiness() == 503);
    this->storeIsOut = false;
    const auto returned = std::chrono::steady_clock::now();
    while (this->readiness() != 200 && std::chrono::steady_clock::now() - returned < std::chrono::seconds(5))
        continue;
    CHECK(std::chrono::steady_clock::now() - returned < std::chrono::seconds(2));
    CHECK(this->statusOf(this->settings.callers, named) == 404);
}

// Guards against requests to upstreams whose leave is missed by a read that the store never answers.
TEST_CASE_METHOD(RelayProcessFixture,
                 "RelayProcess: waiting read is never answered: it is given up well before its news are due")
{
    this->start();
    this->runUntil([this] { return this->waits.size() == 3; });
    CHECK(this->waits.at("servers/") <= std::chrono::milliseconds(1000));
    CHECK(this->waits.at("config") <= std::chrono::milliseconds(1000));
}

TEST_CASE_METHOD(RelayProcessFixture, "RelayProcess: news are due later: reads wait longer, for a lower price")
{
    this->newsBound = std::chrono::milliseconds(3000);
    this->start();
    this->runUntil([this] { return this->waits.size() == 3; });
    CHECK(this->waits.at("servers/") > std::chrono::milliseconds(1000));
    CHECK(this->waits.at("servers/") + KvAccess::answerSlack < this->newsBound);
    CHECK(this->waits.at("config") > std::chrono::milliseconds(1000));
    CHECK(this->waits.at("config") + KvAccess::answerSlack < this->newsBound);
}
