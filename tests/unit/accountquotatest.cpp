#include "relay/accountquota.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace hemlock;

namespace {

/// Entry VMs that share the limit of one account and exchange their totals every 100 ms.
class AccountQuotaFixture
{
protected:
    static constexpr std::chrono::milliseconds step{10};

    explicit AccountQuotaFixture(std::size_t vms = 6)
    {
        for (std::size_t i = 0; i < vms; ++i)
            this->addVm(true);
    }

    void addVm(bool startsFull)
    {
        QuotaSettings settings;
        settings.extraRate = 0.0;
        settings.startsFull = startsFull;
        this->vms.emplace_back(settings);
        this->runs.push_back("run-" + std::to_string(++this->lastRun));
    }

    void restart(std::size_t vm)
    {
        QuotaSettings settings;
        settings.extraRate = 0.0;
        settings.startsFull = false;
        this->vms[vm] = AccountQuota(settings);
        this->runs[vm] = "run-" + std::to_string(++this->lastRun);
    }

    /// Sends requests to each VM for the given time; returns the admitted units.
    double offerLoad(double unitsPerSecondAndVm, double unitsPerRequest, std::chrono::milliseconds time)
    {
        double passed = 0.0;
        this->passedUntilStep.assign(1, 0.0);
        for (auto end = this->now + time; this->now < end; this->now += step) {
            for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
                this->pendingUnits[vm] += unitsPerSecondAndVm * std::chrono::duration<double>(step).count();
                while (this->pendingUnits[vm] >= unitsPerRequest) {
                    this->pendingUnits[vm] -= unitsPerRequest;
                    if (this->vms[vm].tryTake("account", this->limit, unitsPerRequest, this->vms.size() - 1, this->now))
                        passed += unitsPerRequest;
                }
            }
            this->passedUntilStep.push_back(passed);
            if (++this->steps % this->stepsPerExchange == 0 && !this->isPartitioned)
                this->exchange();
        }
        return passed;
    }

    /// Most units that were admitted in any span of this length during the last offerLoad().
    double mostAdmittedIn(std::chrono::milliseconds span) const
    {
        const auto steps = static_cast<std::size_t>(span / step);
        double most = 0.0;
        for (std::size_t i = 0; i < this->passedUntilStep.size(); ++i) {
            const std::size_t end = std::min(i + steps, this->passedUntilStep.size() - 1);
            most = std::max(most, this->passedUntilStep[end] - this->passedUntilStep[i]);
        }
        return most;
    }

    void exchange()
    {
        for (std::size_t to = 0; to < this->vms.size(); ++to) {
            for (std::size_t from = 0; from < this->vms.size(); ++from) {
                if (from != to)
                    this->vms[to].updatePeerTotals(
                        "vm-" + std::to_string(from), this->runs[from], this->vms[from].totals(), 1, this->now);
            }
        }
    }

    std::vector<AccountQuota> vms;
    std::vector<std::string> runs;
    std::map<std::size_t, double> pendingUnits;
    std::vector<double> passedUntilStep; ///< Units admitted by the last offerLoad(), before each step and at its end.
    QuotaLimit limit{10000.0, 10000.0};
    std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
    int steps = 0;
    int stepsPerExchange = 10;
    int lastRun = 0;
    bool isPartitioned = false;
};

} // namespace

// Load: several times an account's limit across all entry VMs, as on days when one account dominates the traffic.
TEST_CASE_METHOD(AccountQuotaFixture, "AccountQuota: overload at all VMs: admits the burst and the rate, little more")
{
    this->offerLoad(100.0, 100.0, std::chrono::milliseconds(500));
    const double passed = this->offerLoad(8000.0, 200.0, std::chrono::seconds(8));
    const double allowed = this->limit.burst + this->limit.rate * 8.0;
    CHECK(passed > allowed * 0.9);
    // Six VMs that each get 8,000 units per second overshoot by what they admit between two exchanges.
    CHECK(passed < allowed + 6 * 8000.0 * 0.2);
}

TEST_CASE_METHOD(AccountQuotaFixture, "AccountQuota: demand at one VM only: may use the whole limit")
{
    double passed = 0.0;
    for (int i = 0; i < 800; ++i) {
        this->now += step;
        if (this->vms[0].tryTake("account", this->limit, 90.0, 5, this->now))
            passed += 90.0;
        if (i % this->stepsPerExchange == 0)
            this->exchange();
    }
    CHECK(passed == Approx(72000.0));
}

TEST_CASE_METHOD(AccountQuotaFixture, "AccountQuota: all VMs restart under overload: the burst is not granted again")
{
    this->offerLoad(8000.0, 200.0, std::chrono::seconds(3));
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm)
        this->restart(vm);
    this->exchange();
    const double passed = this->offerLoad(8000.0, 200.0, std::chrono::seconds(2));
    CHECK(passed < this->limit.rate * 2.0 + 6 * 8000.0 * 0.2);
}

TEST_CASE_METHOD(AccountQuotaFixture, "AccountQuota: VMs cannot reach each other: together they stay near the rate")
{
    this->offerLoad(8000.0, 200.0, std::chrono::seconds(3));
    this->isPartitioned = true;
    this->offerLoad(8000.0, 200.0, std::chrono::seconds(2));
    const double passed = this->offerLoad(8000.0, 200.0, std::chrono::seconds(8));
    CHECK(passed < this->limit.rate * 8.0 * 1.1);
    CHECK(passed > this->limit.rate * 8.0 * 0.8);
}

TEST_CASE_METHOD(AccountQuotaFixture, "AccountQuota: large and small requests at the limit: both sizes are admitted")
{
    this->offerLoad(8000.0, 200.0, std::chrono::seconds(3));
    int large = 0;
    int small = 0;
    std::mt19937 random(11);
    for (int i = 0; i < 4000; ++i) {
        this->now += step;
        AccountQuota &vm = this->vms[0];
        const bool isLarge = (random() & 1U) == 0;
        large += isLarge && vm.tryTake("account", this->limit, 4000.0, 0, this->now) ? 1 : 0;
        small += !isLarge && vm.tryTake("account", this->limit, 40.0, 0, this->now) ? 1 : 0;
    }
    CHECK(large > 50);
    CHECK(small > 50);
}

TEST_CASE_METHOD(AccountQuotaFixture, "AccountQuota: refused request: passes after the reported wait time")
{
    AccountQuota quota;
    REQUIRE(quota.tryTake("account", this->limit, 25000.0, 0, this->now));
    REQUIRE_FALSE(quota.tryTake("account", this->limit, 100.0, 0, this->now));
    const auto wait = quota.waitTime("account", this->limit, this->now);
    CHECK(wait > std::chrono::milliseconds(1400));
    CHECK(wait < std::chrono::milliseconds(1600));
    CHECK(quota.tryTake("account", this->limit, 100.0, 0, this->now + wait));
}

TEST_CASE_METHOD(AccountQuotaFixture, "AccountQuota: account without a limit: always passes")
{
    AccountQuota quota;
    for (int i = 0; i < 1000; ++i)
        CHECK(quota.tryTake("account", {}, 1e6, 5, this->now));
}

TEST_CASE_METHOD(AccountQuotaFixture,
                 "AccountQuota: first totals of a long-running peer: its earlier use is not charged")
{
    AccountQuota quota;
    quota.updatePeerTotals("vm-9", "old", {{"account", 1e9}}, 1, this->now);
    CHECK(quota.tryTake("account", this->limit, 100.0, 1, this->now));
}

TEST_CASE_METHOD(AccountQuotaFixture, "AccountQuota: account used only at peers: their use counts here")
{
    AccountQuota quota;
    quota.updatePeerTotals("vm-9", "run", {{"account", 0.0}}, 1, this->now);
    quota.updatePeerTotals("vm-9", "run", {{"account", 30000.0}}, 1, this->now);
    CHECK_FALSE(quota.tryTake("account", this->limit, 100.0, 1, this->now));
}

TEST_CASE_METHOD(AccountQuotaFixture, "AccountQuota: admitted requests are refunded: every VM admits their units again")
{
    this->exchange();
    CHECK(this->vms[0].tryTake("account", this->limit, 20000.0, 5, this->now));
    this->exchange();
    CHECK_FALSE(this->vms[1].tryTake("account", this->limit, 1.0, 5, this->now));
    this->vms[0].refund("account", 20000.0);
    this->exchange();
    for (AccountQuota &vm : this->vms)
        CHECK(vm.tryTake("account", this->limit, 1.0, 5, this->now));
}

namespace {

/// A large fleet, which exchanges its totals less often.
class LargeFleetQuotaFixture : public AccountQuotaFixture
{
protected:
    LargeFleetQuotaFixture()
        : AccountQuotaFixture(40)
    {
        this->stepsPerExchange = 20;
    }

    /// Tolerated excess over a limit, as a fraction.
    static constexpr double tolerance = 0.1;
};

} // namespace

// Load: one account sends eight times its limit through all VMs of a large fleet, and the limit is lowered meanwhile.
TEST_CASE_METHOD(LargeFleetQuotaFixture,
                 "AccountQuota: flood of one account in a large fleet: no span admits more than the tolerance")
{
    this->offerLoad(100.0, 100.0, std::chrono::seconds(1));
    const double floodPerVm = 8.0 * this->limit.rate / 40.0;
    const double passed = this->offerLoad(floodPerVm, 100.0, std::chrono::seconds(20));
    const double allowed = this->limit.burst + this->limit.rate * 8.0;
    CHECK(this->mostAdmittedIn(std::chrono::seconds(8)) < allowed * (1.0 + tolerance));
    CHECK(passed > this->limit.rate * 20.0 * 0.95);
}

TEST_CASE_METHOD(LargeFleetQuotaFixture,
                 "AccountQuota: limit of a flooding account is lowered: no later span admits more than the tolerance")
{
    this->offerLoad(100.0, 100.0, std::chrono::seconds(1));
    const double floodPerVm = 8.0 * this->limit.rate / 40.0;
    this->offerLoad(floodPerVm, 100.0, std::chrono::seconds(3));
    this->limit.rate /= 2.0;
    this->limit.burst /= 2.0;
    this->offerLoad(floodPerVm, 100.0, std::chrono::seconds(8));
    const double passed = this->offerLoad(floodPerVm, 100.0, std::chrono::seconds(20));
    const double allowed = this->limit.burst + this->limit.rate * 8.0;
    CHECK(this->mostAdmittedIn(std::chrono::seconds(8)) < allowed * (1.0 + tolerance));
    CHECK(passed > this->limit.rate * 20.0 * 0.9);
}

TEST_CASE_METHOD(LargeFleetQuotaFixture, "AccountQuota: use below the limit in a large fleet: nothing is refused")
{
    this->offerLoad(100.0, 100.0, std::chrono::seconds(1));
    const double perVm = 0.8 * this->limit.rate / 40.0;
    const double passed = this->offerLoad(perVm, 20.0, std::chrono::seconds(10));
    CHECK(passed > 0.99 * 0.8 * this->limit.rate * 10.0);
}

// Guards against refusals in large fleets, where a VM gets its first request of an account long after others did.
TEST_CASE_METHOD(AccountQuotaFixture,
                 "AccountQuota: first request of an account that peers use below its limit: passes")
{
    double used = 0.0;
    AccountQuota &quota = this->vms[0];
    for (int i = 0; i < 100; ++i) {
        quota.updatePeerTotals("vm-9", "run", {{"account", used}}, 1, this->now);
        used += 0.8 * this->limit.rate * 0.1;
        this->now += std::chrono::milliseconds(100);
    }
    CHECK(quota.tryTake("account", this->limit, 100.0, 1, this->now));
}
