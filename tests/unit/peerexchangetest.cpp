#include "relay/peerexchange.h"

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <catch2/catch.hpp>

#include <memory>

using namespace hemlock;

namespace {

/// Entry VMs in one process that exchange datagrams over the loopback interface.
class PeerExchangeFixture
{
protected:
    struct Vm
    {
        Vm(asio::io_context &loop, const PeerExchangeSettings &settings)
            : usage(std::chrono::seconds(5))
            , scheduler({settings.zone}, RandomEngine(3))
            , registry({}, "nodes/", settings.node, settings.address, settings.zone, settings.address)
            , exchange(
                  loop,
                  settings,
                  {this->quota, this->usage, this->quarantine, this->scheduler, this->clock, this->registry},
                  [] { return std::chrono::steady_clock::now(); },
                  [] { return std::chrono::system_clock::now(); })
        {
            Upstream upstream;
            upstream.id = "m1";
            upstream.service = "model";
            upstream.state = UpstreamState::Serving;
            upstream.slots = 16;
            this->scheduler.setModelServices({"model"});
            this->scheduler.applyUpstreams({upstream}, std::chrono::steady_clock::now());
        }

        AccountQuota quota;
        UsageLedger usage;
        Quarantine quarantine;
        RelayScheduler scheduler;
        MedianClock clock;
        PeerRegistry registry;
        PeerExchange exchange;
    };

    /// Starts VMs in three availability zones, each with the records of all others, and runs them for 900 ms.
    void startFleet(int vmsPerZone)
    {
        std::vector<PeerExchangeSettings> allSettings;
        std::vector<std::unique_ptr<asio::ip::udp::socket>> reservedSockets;
        for (int i = 0; i < 3 * vmsPerZone; ++i) {
            reservedSockets.push_back(std::make_unique<asio::ip::udp::socket>(
                this->loop, asio::ip::udp::endpoint(asio::ip::make_address("127.0.0.1"), 0)));
            const std::string name = "vm-" + std::to_string(i);
            allSettings.push_back({name,
                                   "run-" + name,
                                   "zone-" + std::to_string(i / vmsPerZone),
                                   "127.0.0.1:" + std::to_string(reservedSockets.back()->local_endpoint().port())});
        }
        reservedSockets.clear();
        for (const PeerExchangeSettings &settings : allSettings) {
            this->vms.push_back(std::make_unique<Vm>(this->loop, settings));
            for (const PeerExchangeSettings &peer : allSettings) {
                const nlohmann::json record = {{"address", peer.address}, {"zone", peer.zone}};
                this->vms.back()->registry.recordChanged(
                    "nodes/" + peer.node, record.dump(), std::chrono::steady_clock::now());
            }
        }
        for (const auto &vm : this->vms)
            vm->exchange.start();
        this->runFor(std::chrono::milliseconds(900));
    }

    void runFor(std::chrono::milliseconds time)
    {
        this->loop.restart();
        this->loop.run_for(time);
    }

    bool tryTake(std::size_t vm, double units)
    {
        return this->vms[vm]->quota.tryTake(
            "account", this->limit, units, this->vms.size() - 1, std::chrono::steady_clock::now());
    }

    static std::string fingerprint(const std::string &request)
    {
        return requestFingerprint("account", "/path", request);
    }

    void crash(std::size_t vm, const std::string &request, const std::string &upstreamId)
    {
        Upstream upstream;
        upstream.id = upstreamId;
        upstream.zone = {"zone-" + upstreamId};
        this->vms[vm]->quarantine.recordCrash(fingerprint(request), upstream, std::chrono::steady_clock::now());
    }

    static void submit(Vm &vm, const std::string &id, double tokens)
    {
        RelayTicket ticket;
        ticket.id = id;
        ticket.service = "model";
        ticket.promptTokens = tokens;
        ticket.latestStart = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        RelayTicketHooks hooks;
        hooks.start = [](const Upstream &, const RouteDecision &) {};
        hooks.refuse = [](const RequestError &) {};
        vm.scheduler.submit(ticket, std::move(hooks), std::chrono::steady_clock::now());
    }

    asio::io_context loop{1};
    std::vector<std::unique_ptr<Vm>> vms;
    QuotaLimit limit{1.0, 1000.0};
};

} // namespace

TEST_CASE_METHOD(PeerExchangeFixture, "PeerExchange: small fleet, one VM uses up a limit: the others refuse")
{
    this->startFleet(2);
    CHECK(this->tryTake(0, 5000.0));
    this->runFor(std::chrono::milliseconds(300));
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm)
        CHECK_FALSE(this->tryTake(vm, 1.0));
}

// Covers a flood of one account that reaches the VMs of one zone only.
TEST_CASE_METHOD(PeerExchangeFixture,
                 "PeerExchange: large fleet, one VM uses up a limit: VMs of all zones refuse within 1.5 s")
{
    this->startFleet(5);
    CHECK(this->tryTake(3, 5000.0));
    this->runFor(std::chrono::milliseconds(1500));
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm)
        CHECK_FALSE(this->tryTake(vm, 1.0));
}

TEST_CASE_METHOD(PeerExchangeFixture,
                 "PeerExchange: large fleet, one VM uses a part of a limit: other VMs admit the rest")
{
    this->startFleet(5);
    CHECK(this->tryTake(3, 600.0));
    this->runFor(std::chrono::milliseconds(1500));
    CHECK(this->tryTake(14, 380.0));
    this->runFor(std::chrono::milliseconds(1500));
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm)
        CHECK(this->tryTake(vm, 1.0));
}

TEST_CASE_METHOD(PeerExchangeFixture, "PeerExchange: large fleet: every VM counts the demand of all zones exactly once")
{
    this->startFleet(5);
    for (const auto &vm : this->vms)
        submit(*vm, "r", 1000.0);
    this->runFor(std::chrono::milliseconds(1500));
    for (const auto &vm : this->vms)
        CHECK(vm->exchange.demand().at("model") == Approx(14000.0));
}

TEST_CASE_METHOD(PeerExchangeFixture, "PeerExchange: large fleet: loads of all zones count exactly once at an upstream")
{
    this->startFleet(5);
    for (const auto &vm : this->vms)
        submit(*vm, "r", 100.0);
    this->runFor(std::chrono::milliseconds(1500));
    for (const auto &vm : this->vms) {
        const auto view = vm->scheduler.upstreams().viewOf("m1");
        REQUIRE(view);
        CHECK(view->load() == Approx(15.0));
        CHECK(view->pendingTokens == Approx(1500.0));
    }
}

TEST_CASE_METHOD(PeerExchangeFixture, "PeerExchange: large fleet: the duty holder receives the usage of all VMs")
{
    this->startFleet(5);
    const auto time = std::chrono::system_clock::now();
    for (const auto &vm : this->vms) {
        vm->exchange.setDutyHolder("vm-7");
        vm->usage.count("account", time);
    }
    this->runFor(std::chrono::milliseconds(1500));
    CHECK(this->vms[7]->usage.totalCounts(this->vms[7]->usage.windowAt(time)).at("account") == 15);
}

TEST_CASE_METHOD(PeerExchangeFixture, "PeerExchange: large fleet, reporters of a zone stop: other VMs report for it")
{
    this->startFleet(5);
    this->vms[0].reset();
    this->vms[1].reset();
    this->runFor(std::chrono::milliseconds(1000));
    CHECK(this->vms[3]->quota.tryTake("account", this->limit, 5000.0, 14, std::chrono::steady_clock::now()));
    this->runFor(std::chrono::milliseconds(1500));
    for (std::size_t vm = 2; vm < this->vms.size(); ++vm)
        CHECK_FALSE(this->tryTake(vm, 1.0));
}

// Guards against peer updates that saturate small links after many attempts broke off.
TEST_CASE_METHOD(
    PeerExchangeFixture,
    "PeerExchange: large fleet, many attempts break off: messages leave nine tenths of a 10 Mbit/s link free")
{
    this->startFleet(5);
    constexpr double bytesPerSecond = 10e6 / 8.0 / 10.0;
    std::uint64_t sentBefore = 0;
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        for (int i = 0; i < 10; ++i)
            this->crash(vm, "request-" + std::to_string(vm) + "-" + std::to_string(i), "m" + std::to_string(i));
        sentBefore = std::max(sentBefore, this->vms[vm]->exchange.traffic().sentBytes);
    }
    constexpr std::chrono::milliseconds time{2000};
    this->runFor(time);
    for (const auto &vm : this->vms) {
        const auto sent = static_cast<double>(vm->exchange.traffic().sentBytes - sentBefore);
        CHECK(sent < bytesPerSecond * std::chrono::duration<double>(time).count());
    }
}

TEST_CASE_METHOD(
    PeerExchangeFixture,
    "PeerExchange: large fleet, many attempts break off: a request that crashed two upstreams is refused everywhere")
{
    this->startFleet(5);
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        for (int i = 0; i < 10; ++i)
            this->crash(vm, "request-" + std::to_string(vm) + "-" + std::to_string(i), "m" + std::to_string(i));
    }
    this->crash(4, "poison", "m1");
    this->crash(9, "poison", "m2");
    this->runFor(std::chrono::milliseconds(2000));
    for (const auto &vm : this->vms)
        CHECK(vm->quarantine.permissionFor(fingerprint("poison"), std::chrono::steady_clock::now())
              == Quarantine::Permission::Refused);
}

// Covers a part of prompts that crashes one upstream in each of two zones, beside many other suspects.
TEST_CASE_METHOD(PeerExchangeFixture,
                 "PeerExchange: large fleet, prompt part crashed two upstreams: is refused everywhere within 2 s")
{
    this->startFleet(5);
    const auto now = std::chrono::steady_clock::now();
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        for (int i = 0; i < 10; ++i)
            this->vms[vm]->quarantine.recordCrash(
                "model/" + std::to_string(100 * vm + static_cast<std::size_t>(i)), {.id = "m0"}, now);
    }
    this->vms[4]->quarantine.recordCrash("model/bad", {.id = "m1", .zone = {"zone-m1"}}, now);
    this->vms[9]->quarantine.recordCrash("model/bad", {.id = "m2", .zone = {"zone-m2"}}, now);
    this->runFor(std::chrono::milliseconds(2000));
    for (const auto &vm : this->vms)
        CHECK(vm->quarantine.permissionFor("model/bad", std::chrono::steady_clock::now())
              == Quarantine::Permission::Refused);
}

TEST_CASE_METHOD(PeerExchangeFixture, "PeerExchange: one VM hears that an upstream leaves: no VM uses it any more")
{
    this->startFleet(GENERATE(2, 5));
    const auto upstream = this->vms[0]->scheduler.upstreams().find("m1");
    REQUIRE(upstream);
    UpstreamNotice notice;
    notice.isLeaving = true;
    this->vms[0]->scheduler.recordNotice(*upstream, notice, std::chrono::steady_clock::now());
    this->runFor(std::chrono::milliseconds(1000));
    for (const auto &vm : this->vms)
        CHECK(vm->scheduler.upstreams().isLeaving("m1"));
}
