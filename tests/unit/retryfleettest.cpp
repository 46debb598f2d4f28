#include "platformsettings.h"
#include "relay/retrycapacity.h"
#include "retrybudget.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace hemlock;

namespace {

constexpr double retryRatio = 0.2;
constexpr std::chrono::seconds retryWindow{10};

/// A deployment and the retries that it allows beyond the ratio.
struct FleetSize
{
    std::size_t vms;
    double retrySlack;
};

/// Entry VMs that share the retries of one service. A failed request is sent again as often as its VM's budget allows.
class RetryFleetFixture
{
protected:
    using TimePoint = std::chrono::steady_clock::time_point;

    static constexpr std::chrono::milliseconds step{100};
    static constexpr int maxAttempts = 4;

    /// Time from a VM's start or end until others take notice.
    static constexpr std::chrono::milliseconds noticeTime{1500};

    /// Time until the record of a dead VM lapses.
    static constexpr std::chrono::seconds recordTtl{30};

    struct Vm
    {
        std::unique_ptr<RetryBudget> budget;
        std::unique_ptr<RetryCapacity> capacity;
        TimePoint started;
        bool isFrozen = false;
        std::deque<TimePoint> queuedRetries; ///< When they are sent.
    };

    /// Record of a VM in the store, as the others see it.
    struct Record
    {
        TimePoint visibleFrom;
        TimePoint visibleUntil;
    };

    void configure(const FleetSize &size)
    {
        this->size = size;
    }

    void startVm(const std::string &name, bool isFirstStart)
    {
        const nlohmann::json root = {
            {"node-name", name},
            {"zone", "zone-a"},
            {"ip", "127.0.0.1"},
            {"listen", {{"front", "127.0.0.1:1"}, {"ready", "127.0.0.1:2"}, {"control", "127.0.0.1:3"}}},
            {"port-range", {4}},
            {"platform", {{"address", "127.0.0.1:5"}}},
            {"bounds",
             {{"retry-ratio", retryRatio},
              {"retry-slack", this->size.retrySlack},
              {"retry-window-s", retryWindow.count()}}},
            {"bootstrap", isFirstStart}};
        const RelaySettings settings = platform::parsePlatformSettings(root).relay;
        Vm vm;
        vm.started = this->now;
        vm.budget = std::make_unique<RetryBudget>(settings.retries);
        if (!settings.startsWithRetries)
            vm.budget->deferInitialBalance(this->now + settings.retryWindow);
        vm.capacity =
            std::make_unique<RetryCapacity>(RetryCapacitySettings{settings.totalRetryCapacity, settings.expectedVms});
        this->vms[name] = std::move(vm);
        Record &record = this->records[name];
        if (record.visibleUntil <= this->now)
            record.visibleFrom = this->now + noticeTime;
        record.visibleUntil = TimePoint::max();
    }

    void startFleet(bool isFirstStart)
    {
        for (std::size_t i = 0; i < this->size.vms; ++i)
            this->startVm("vm-" + std::to_string(i), isFirstStart);
    }

    void kill(const std::string &name)
    {
        this->vms.erase(name);
        this->records[name].visibleUntil = this->now + recordTtl;
    }

    void killAll()
    {
        while (!this->vms.empty())
            this->kill(this->vms.begin()->first);
    }

    void restartAll()
    {
        this->killAll();
        this->run(std::chrono::milliseconds(700));
        this->startFleet(false);
    }

    /// All records lapse, as after a long outage of the store, and are written again later.
    void loseRecords(std::chrono::milliseconds time)
    {
        for (auto &[name, record] : this->records)
            record.visibleFrom = this->now + time;
    }

    std::optional<std::size_t> knownVms(const std::string &name, const Vm &vm) const
    {
        if (!this->isStoreUp || this->now - vm.started < this->readTime)
            return std::nullopt;
        const auto others = std::count_if(this->records.begin(), this->records.end(), [&](const auto &entry) {
            return entry.first != name && entry.second.visibleFrom <= this->now
                && this->now < entry.second.visibleUntil;
        });
        return static_cast<std::size_t>(others) + 1;
    }

    void send(Vm &vm)
    {
        ++this->requests.back();
        if (vm.isFrozen)
            return;
        vm.budget->recordRequest({}, "service", this->now);
        for (int attempt = 1; attempt < maxAttempts && this->draw() < this->failingShare; ++attempt) {
            ++this->wantedRetries;
            if (!vm.budget->reserveRetry({}, "service", this->now)) {
                ++this->refusedRetries;
                return;
            }
            if (this->draw() < this->unsentShare)
                vm.budget->returnRetry({}, "service", this->now);
            else if (this->queueTime.count() > 0)
                return vm.queuedRetries.push_back(this->now + this->queueTime);
            else
                this->sendRetry(vm);
        }
    }

    void sendRetry(Vm &vm)
    {
        vm.budget->commitRetry({}, "service", this->now);
        ++this->retries.back();
    }

    /// Plays requests at random VMs; callers send while VMs are down, too.
    void run(std::chrono::milliseconds time)
    {
        std::poisson_distribution<int> arrivals(this->requestsPerSecond * std::chrono::duration<double>(step).count());
        for (const TimePoint end = this->now + time; this->now < end; this->now += step) {
            this->requests.push_back(0);
            this->retries.push_back(0);
            for (auto &[name, vm] : this->vms) {
                vm.budget->setMaxRetries(vm.capacity->perVm(this->knownVms(name, vm), this->now));
                while (!vm.isFrozen && !vm.queuedRetries.empty() && vm.queuedRetries.front() <= this->now) {
                    vm.queuedRetries.pop_front();
                    this->sendRetry(vm);
                }
            }
            for (int request = arrivals(this->random); request > 0; --request) {
                if (this->vms.empty()) {
                    ++this->requests.back();
                    continue;
                }
                const auto vm = this->randomVm();
                this->send(vm->second);
            }
        }
    }

    std::map<std::string, Vm>::iterator randomVm()
    {
        return std::next(this->vms.begin(), static_cast<std::ptrdiff_t>(this->random() % this->vms.size()));
    }

    double draw()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
    }

    static int sumBefore(const std::vector<int> &counts, std::ptrdiff_t end)
    {
        const auto steps = static_cast<std::ptrdiff_t>(retryWindow / step);
        const auto from = std::max<std::ptrdiff_t>(0, end - steps);
        return end <= from ? 0 : std::accumulate(counts.begin() + from, counts.begin() + end, 0);
    }

    /// Largest excess of the retries in a window over what is allowed: the ratio of the requests in it, the one before
    /// it or the one half a window before it, and the slack.
    double largestExcess() const
    {
        const auto steps = static_cast<std::ptrdiff_t>(retryWindow / step);
        double excess = -this->size.retrySlack;
        for (std::ptrdiff_t end = 1; end <= static_cast<std::ptrdiff_t>(this->requests.size()); ++end) {
            const int counted = std::max({sumBefore(this->requests, end),
                                          sumBefore(this->requests, end - steps),
                                          sumBefore(this->requests, end - steps / 2)});
            excess = std::max(excess, sumBefore(this->retries, end) - retryRatio * counted - this->size.retrySlack);
        }
        return excess;
    }

    FleetSize size{7, 54.0};
    double requestsPerSecond = 47.0;
    double failingShare = 0.0;
    double unsentShare = 0.0; ///< Of the retries; they are paid for, but not sent.
    std::chrono::milliseconds queueTime{0}; ///< Time that a retry waits until it is sent.
    std::chrono::milliseconds readTime{500}; ///< From the start of a VM until it has read the records of others.
    bool isStoreUp = true;
    std::map<std::string, Vm> vms;
    std::map<std::string, Record> records;
    std::vector<int> requests; ///< Per step.
    std::vector<int> retries; ///< Per step.
    int wantedRetries = 0;
    int refusedRetries = 0;
    std::mt19937 random{38};
    TimePoint now{std::chrono::hours(1)};
};

const std::vector<FleetSize> fleets = {{7, 54.0}, {86, 212.0}, {295, 630.0}};

} // namespace

// Guards against balances that every start grants again.
TEST_CASE_METHOD(RetryFleetFixture,
                 "RetryBudget: all VMs are killed during an outage of upstreams: no window has too many retries")
{
    this->configure(GENERATE(from_range(fleets)));
    const int kills = GENERATE(1, 2, 5);
    this->requestsPerSecond = static_cast<double>(this->size.vms) * GENERATE(0.5, 2.0, 7.0);
    this->startFleet(true);
    this->run(std::chrono::seconds(15));
    this->failingShare = 0.9;
    this->run(std::chrono::seconds(3));
    for (int kill = 0; kill < kills; ++kill) {
        this->restartAll();
        this->run(std::chrono::seconds(2));
    }
    this->run(std::chrono::seconds(25));
    INFO("VMs: " << this->size.vms << ", kills: " << kills << ", requests per second: " << this->requestsPerSecond);
    CHECK(this->largestExcess() <= 0.0);
}

TEST_CASE_METHOD(RetryFleetFixture, "RetryBudget: rolling restart during an outage: no window has too many retries")
{
    this->configure(GENERATE(from_range(fleets)));
    const auto interval = GENERATE(std::chrono::milliseconds(100), std::chrono::milliseconds(700));
    this->requestsPerSecond = static_cast<double>(this->size.vms) * GENERATE(0.5, 7.0);
    this->startFleet(true);
    this->run(std::chrono::seconds(15));
    this->failingShare = 1.0;
    for (std::size_t vm = 0; vm < std::min<std::size_t>(this->size.vms, 40); ++vm) {
        this->kill("vm-" + std::to_string(vm));
        this->run(interval);
        this->startVm("vm-" + std::to_string(vm), false);
    }
    this->run(std::chrono::seconds(15));
    CHECK(this->largestExcess() <= 0.0);
}

TEST_CASE_METHOD(RetryFleetFixture,
                 "RetryBudget: VMs are replaced by ones of other names: no window has too many retries")
{
    this->configure(GENERATE(from_range(fleets)));
    this->startFleet(true);
    this->run(std::chrono::seconds(15));
    this->failingShare = 1.0;
    for (int round = 0; round < 4; ++round) {
        for (std::size_t vm = 0; vm < this->size.vms; ++vm) {
            const std::string suffix = std::to_string(vm);
            this->kill((round == 0 ? "vm-" : "vm-" + std::to_string(round) + "-") + suffix);
            this->startVm("vm-" + std::to_string(round + 1) + "-" + suffix, false);
        }
        this->run(std::chrono::seconds(3));
    }
    CHECK(this->largestExcess() <= 0.0);
}

TEST_CASE_METHOD(RetryFleetFixture, "RetryBudget: fleet doubles, then an outage begins: no window has too many retries")
{
    this->configure(GENERATE(from_range(fleets)));
    const auto delay = GENERATE(std::chrono::milliseconds(500), std::chrono::milliseconds(5000));
    this->requestsPerSecond = static_cast<double>(this->size.vms) * GENERATE(1.0, 7.0);
    this->startFleet(true);
    this->run(std::chrono::seconds(15));
    for (std::size_t vm = 0; vm < this->size.vms; ++vm)
        this->startVm("new-" + std::to_string(vm), false);
    this->run(delay);
    this->failingShare = 1.0;
    this->run(std::chrono::seconds(20));
    CHECK(this->largestExcess() <= 0.0);
}

// Guards against shares of a fleet that is taken for smaller than it is.
TEST_CASE_METHOD(RetryFleetFixture,
                 "RetryBudget: more VMs than expected cannot read the registry: no window has too many retries")
{
    this->configure(GENERATE(from_range(fleets)));
    const bool isFirstStart = GENERATE(true, false);
    this->isStoreUp = false;
    this->requestsPerSecond = static_cast<double>(this->size.vms) * 2.0;
    this->startFleet(isFirstStart);
    this->run(std::chrono::seconds(20));
    this->failingShare = 1.0;
    this->run(std::chrono::seconds(15));
    INFO("VMs: " << this->size.vms << ", first start: " << isFirstStart);
    CHECK(this->largestExcess() <= 0.0);
}

TEST_CASE_METHOD(RetryFleetFixture,
                 "RetryBudget: outage begins with the first start of the fleet: no window has too many retries")
{
    this->configure(GENERATE(from_range(fleets)));
    this->failingShare = 1.0;
    this->requestsPerSecond = static_cast<double>(this->size.vms) * 3.0;
    this->startFleet(true);
    this->run(std::chrono::seconds(20));
    CHECK(this->largestExcess() <= 0.0);
}

// Guards against savings of VMs that are forgotten while they still run.
TEST_CASE_METHOD(RetryFleetFixture,
                 "RetryBudget: records of all VMs are lost for some seconds: no window has too many retries")
{
    this->configure(GENERATE(from_range(fleets)));
    this->requestsPerSecond = static_cast<double>(this->size.vms) * 10.0;
    this->startFleet(true);
    this->run(std::chrono::seconds(15));
    this->loseRecords(std::chrono::seconds(8));
    this->run(std::chrono::seconds(7));
    this->failingShare = 1.0;
    this->run(std::chrono::seconds(15));
    CHECK(this->largestExcess() <= 0.0);
}

TEST_CASE_METHOD(RetryFleetFixture,
                 "RetryBudget: VMs stand still and wake in an outage: no window has too many retries")
{
    this->configure(GENERATE(from_range(fleets)));
    const auto pause = GENERATE(std::chrono::seconds(5), std::chrono::seconds(40));
    this->requestsPerSecond = static_cast<double>(this->size.vms) * 10.0;
    this->startFleet(true);
    this->run(std::chrono::seconds(15));
    for (std::size_t vm = 0; vm < this->size.vms / 2; ++vm) {
        this->vms.at("vm-" + std::to_string(vm)).isFrozen = true;
        this->records.at("vm-" + std::to_string(vm)).visibleUntil = this->now + recordTtl;
    }
    this->run(pause);
    this->failingShare = 1.0;
    for (auto &[name, vm] : this->vms)
        vm.isFrozen = false;
    this->run(std::chrono::seconds(15));
    CHECK(this->largestExcess() <= 0.0);
}

TEST_CASE_METHOD(RetryFleetFixture,
                 "RetryBudget: savings are spent while the same is earned anew: no window has too many retries")
{
    this->configure(GENERATE(from_range(fleets)));
    this->requestsPerSecond = static_cast<double>(this->size.vms) * GENERATE(0.3, 3.0, 30.0);
    this->startFleet(GENERATE(true, false));
    this->run(std::chrono::seconds(40));
    this->failingShare = 1.0;
    this->run(std::chrono::seconds(20));
    CHECK(this->largestExcess() <= 0.0);
}

// Guards against savings that are spent twice after a restart: once earned, once granted.
TEST_CASE_METHOD(RetryFleetFixture,
                 "RetryBudget: outage while restarted VMs get their initial balance: no window has too many retries")
{
    this->configure(GENERATE(from_range(fleets)));
    const auto calm = GENERATE(range(1, 12));
    const auto outage = GENERATE(1, 6);
    this->requestsPerSecond = static_cast<double>(this->size.vms) * 5.0;
    this->startFleet(false);
    this->run(std::chrono::seconds(calm));
    this->failingShare = 1.0;
    this->run(std::chrono::seconds(outage));
    this->failingShare = 0.0;
    this->run(std::chrono::seconds(std::max(0, 9 - calm - outage)));
    this->failingShare = 1.0;
    this->run(std::chrono::seconds(12));
    INFO("VMs: " << this->size.vms << ", calm: " << calm << " s, outage: " << outage << " s");
    CHECK(this->largestExcess() <= 0.0);
}

// Guards against retries that wait in a queue while as many are saved up again.
TEST_CASE_METHOD(RetryFleetFixture, "RetryBudget: retries wait before they are sent: no window has too many retries")
{
    this->configure(GENERATE(from_range(fleets)));
    this->queueTime = GENERATE(std::chrono::milliseconds(1000), std::chrono::milliseconds(8000));
    this->requestsPerSecond = static_cast<double>(this->size.vms) * 10.0;
    this->startFleet(true);
    this->run(std::chrono::seconds(15));
    this->failingShare = 0.3;
    this->run(std::chrono::seconds(20));
    this->queueTime = std::chrono::milliseconds(0);
    this->failingShare = 1.0;
    this->run(std::chrono::seconds(12));
    CHECK(this->largestExcess() <= 0.0);
}

TEST_CASE_METHOD(RetryFleetFixture,
                 "RetryBudget: random kills, replacements, pauses and outages: no window has too many")
{
    this->random.seed(static_cast<std::uint32_t>(GENERATE(range(1, 41))));
    this->configure(fleets[this->random() % 2]);
    this->requestsPerSecond = static_cast<double>(this->size.vms) * (0.5 + 10.0 * this->draw());
    this->startFleet(true);
    this->run(std::chrono::seconds(5));
    for (int event = 0; event < 40; ++event) {
        this->failingShare = this->draw() < 0.5 ? 0.02 : this->draw();
        this->unsentShare = 0.3 * this->draw();
        this->queueTime = std::chrono::milliseconds(this->random() % 3 * 700);
        const double kind = this->draw();
        if (this->vms.empty() || kind < 0.2) {
            this->restartAll();
        } else if (kind < 0.6) {
            const std::string name = this->randomVm()->first;
            this->kill(name);
            this->startVm(kind < 0.4 ? name : "vm-new-" + std::to_string(event), false);
        } else if (kind < 0.8) {
            Vm &vm = this->randomVm()->second;
            vm.isFrozen = !vm.isFrozen;
        }
        this->run(std::chrono::milliseconds(this->random() % 4000));
    }
    CHECK(this->largestExcess() <= 0.0);
}

// Guards against a restart that costs callers retries for longer than the window.
TEST_CASE_METHOD(RetryFleetFixture, "RetryBudget: window has passed since a restart: as many retries as without it")
{
    this->configure(GENERATE(from_range(fleets)));
    this->requestsPerSecond = static_cast<double>(this->size.vms) * GENERATE(0.5, 2.0);
    std::vector<int> refused;
    for (const bool isFirstStart : {true, false}) {
        this->vms.clear();
        this->records.clear();
        this->startFleet(isFirstStart);
        this->failingShare = 0.0;
        this->run(std::chrono::seconds(isFirstStart ? 100 : 12));
        this->random.seed(38);
        this->failingShare = 0.03;
        this->wantedRetries = 0;
        this->refusedRetries = 0;
        this->run(std::chrono::seconds(30));
        REQUIRE(this->wantedRetries > 0);
        refused.push_back(this->refusedRetries);
    }
    CHECK(refused[1] == refused[0]);
}

TEST_CASE_METHOD(RetryFleetFixture, "RetryBudget: share of refused retries after a restart in calm", "[.measure]")
{
    this->configure(GENERATE(from_range(fleets)));
    const double load = GENERATE(0.3, 1.0, 7.0);
    std::string shares;
    for (const bool isFirstStart : {true, false}) {
        std::map<int, std::pair<int, int>> counts; ///< Refused and wanted retries, by seconds since the start.
        for (std::uint32_t seed = 1; seed <= 20; ++seed) {
            this->random.seed(seed);
            this->vms.clear();
            this->records.clear();
            this->requestsPerSecond = static_cast<double>(this->size.vms) * load;
            this->failingShare = 0.02;
            this->startFleet(isFirstStart);
            for (int second = 0; second < 30; second += 5) {
                this->wantedRetries = 0;
                this->refusedRetries = 0;
                this->run(std::chrono::seconds(5));
                counts[second].first += this->refusedRetries;
                counts[second].second += this->wantedRetries;
            }
        }
        shares += isFirstStart ? "first start:" : "; restart:";
        for (const auto &[second, count] : counts)
            shares += " " + std::to_string(count.first) + "/" + std::to_string(count.second);
    }
    WARN("VMs: " << this->size.vms << ", requests per second and VM: " << load << ", refused/wanted by 5 s, "
                 << shares);
}
