#include "rollout/exposurelimit.h"
#include "rollout/rolloutplan.h"
#include "rollout/versioninuse.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <random>
#include <string>
#include <vector>

using namespace hemlock;
using std::chrono::milliseconds;

namespace {

enum class Fault {
    None,
    Failures,
    Late, ///< Failures that begin after a part of the trial.
    UnderLoad, ///< Failures while an upstream of the target gets more than a share of the usual load.
    OneRoute,
    Slow,
};

struct Case
{
    Fault fault = Fault::None;
    std::size_t vms = 6;
    double perSecond = 100.0;
    milliseconds duration{12000};
    double faultShare = 0.5; ///< Of the responses that the fault applies to.
    double usualFailures = 0.004; ///< Of the first route; the others have more.
    milliseconds reportDelay{300}; ///< From a response until the decider knows it, and acts on it.
    milliseconds deciderEnds{0}; ///< The decider dies at this time, and another one follows after the outage.
    milliseconds outage{0};
    std::size_t cutVm = std::numeric_limits<std::size_t>::max(); ///< A VM that neither sends nor receives any more.
};

struct Result
{
    RolloutPhase verdict = RolloutPhase::None;
    milliseconds verdictAt{0};
    double requests = 0.0;
    double exposed = 0.0; ///< Requests that reached the target.
    double bad = 0.0; ///< Its responses that the fault made bad.
    milliseconds fiftiethBad{-1};
    milliseconds lastExposed{-1};
};

/// Runs the decision code of a fleet of VMs and of the decider on a simulated clock, without a network.
class RolloutFleet
{
public:
    RolloutFleet(Case scenario, std::uint64_t seed)
        : scenario(scenario)
        , random(seed)
        , vms(scenario.vms)
    {
        for (ExposureLimit &vm : this->vms)
            vm.begin(this->fraction());
        this->view.record.order = {"svc", "v2", scenario.duration, "order", 5, 1};
        this->view.record.phase = RolloutPhase::Trial;
        this->view.record.versionInUse = "v1";
        this->view.record.firstSeen = this->wallTime(milliseconds(0));
        this->view.record.phaseBegan = this->view.record.firstSeen;
        this->view.targetServing = this->view.inUseServing = upstreams;
        this->view.targetSlots = this->view.inUseSlots = 16.0 * upstreams;
    }

    Result run()
    {
        for (milliseconds now{0}; now < this->scenario.duration; now += step) {
            this->sendRequests(now);
            this->receiveResponses(now);
            if (now % milliseconds(100) == milliseconds(0))
                this->decide(now);
        }
        return this->result;
    }

private:
    static constexpr milliseconds step{20};
    static constexpr std::size_t upstreams = 8;
    static constexpr std::size_t routes = 4;

    struct Response
    {
        milliseconds known;
        std::size_t vm;
        std::size_t route;
        bool isTarget;
        bool isFailure;
        milliseconds delay;
    };

    double fraction()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
    }

    static std::chrono::steady_clock::time_point time(milliseconds now)
    {
        return std::chrono::steady_clock::time_point(std::chrono::hours(1) + now);
    }

    static std::chrono::system_clock::time_point wallTime(milliseconds now)
    {
        return std::chrono::system_clock::time_point(std::chrono::hours(1) + now);
    }

    bool isDeciding(milliseconds now) const
    {
        const bool hasEnded = this->scenario.outage.count() > 0 && now >= this->scenario.deciderEnds;
        return !hasEnded || now >= this->scenario.deciderEnds + this->scenario.outage;
    }

    /// Whether the fault applies to a response of the target.
    bool isFaulty(std::size_t route, milliseconds now)
    {
        if (this->fraction() >= this->scenario.faultShare)
            return false;
        switch (this->scenario.fault) {
        case Fault::None:
            return false;
        case Fault::Failures:
        case Fault::Slow:
            return true;
        case Fault::Late:
            return now >= this->scenario.duration * 3 / 10;
        case Fault::UnderLoad: {
            constexpr milliseconds window{200};
            while (!this->targetTimes.empty() && now - this->targetTimes.front() > window)
                this->targetTimes.pop_front();
            return static_cast<double>(this->targetTimes.size()) >= 0.5 * 0.2 * this->scenario.perSecond;
        }
        case Fault::OneRoute:
            return route == 1;
        }
        return false;
    }

    void sendRequests(milliseconds now)
    {
        std::poisson_distribution<int> arrivals(this->scenario.perSecond * 0.001 * step.count());
        for (int left = arrivals(this->random); left > 0; --left) {
            const std::size_t vm = this->random() % this->vms.size();
            const std::size_t route = this->random() % routes;
            const bool isTarget = this->vms[vm].allows(this->fraction(), this->vms.size(), time(now));
            this->vms[vm].requestStarted();
            this->result.requests += 1.0;
            // Routes differ in their usual failures and delays.
            double failures = std::min(0.14, this->scenario.usualFailures * static_cast<double>(1 + route));
            double delay =
                20.0 * static_cast<double>(1 + route) * std::lognormal_distribution<double>(0.0, 0.5)(this->random);
            if (isTarget) {
                this->vms[vm].targetStarted();
                this->targetTimes.push_back(now);
                this->result.exposed += 1.0;
                this->result.lastExposed = now;
                if (this->isFaulty(route, now)) {
                    this->result.bad += 1.0;
                    if (this->result.bad == 50.0)
                        this->result.fiftiethBad = now;
                    if (this->scenario.fault == Fault::Slow)
                        delay *= 5.0;
                    else
                        failures = 1.0;
                }
            }
            const milliseconds took(std::llround(delay));
            this->responses.push_back({now + took, vm, route, isTarget, this->fraction() < failures, took});
        }
    }

    void receiveResponses(milliseconds now)
    {
        const auto isDue = [this, now](const Response &response) {
            return response.known + this->scenario.reportDelay <= now;
        };
        for (const Response &response : this->responses) {
            if (!isDue(response) || response.vm == this->scenario.cutVm)
                continue;
            RouteCounts &counts = this->view.counts["route" + std::to_string(response.route)];
            VersionCounts &version = response.isTarget ? counts.target : counts.inUse;
            if (response.isFailure)
                version.addFailure();
            else
                version.addSuccess(response.delay);
        }
        std::erase_if(this->responses, isDue);
    }

    void decide(milliseconds now)
    {
        if (!this->isDeciding(now))
            return;
        const RolloutStep next = RolloutPlan().next(this->view, wallTime(now));
        if (next.phase != this->view.record.phase) {
            // A verdict is never followed by anything.
            REQUIRE_FALSE(isVerdict(this->view.record.phase));
            this->view.record.phase = next.phase;
            this->view.record.phaseBegan = wallTime(now);
            this->view.countsAtPhase = this->view.counts;
            if (isVerdict(next.phase)) {
                this->result.verdict = next.phase;
                this->result.verdictAt = now;
            }
        }
        const bool isGood = next.phase == RolloutPhase::Promoted || next.phase == RolloutPhase::Completed;
        for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
            if (vm != this->scenario.cutVm || now < milliseconds(2000))
                this->vms[vm].permit(next.share, isGood, time(now - milliseconds(100)));
        }
    }

    Case scenario;
    std::mt19937_64 random;
    std::vector<ExposureLimit> vms;
    RolloutView view;
    std::vector<Response> responses;
    std::deque<milliseconds> targetTimes;
    Result result;
};

/// The figures that are required of every roll-out; the verdict of @p scenario must be the right one.
void checkFigures(const Case &scenario, std::uint64_t seed)
{
    const Result result = RolloutFleet(scenario, seed).run();
    INFO("seed " << seed << ", fault " << static_cast<int>(scenario.fault) << ", vms " << scenario.vms
                 << ", per second " << scenario.perSecond << ", share " << scenario.faultShare << ", usual "
                 << scenario.usualFailures << ", exposed " << result.exposed << " of " << result.requests << ", bad "
                 << result.bad << ", verdict at " << result.verdictAt.count());
    if (scenario.fault == Fault::None) {
        CHECK(result.verdict == RolloutPhase::Completed);
        return;
    }
    CHECK(result.verdict == RolloutPhase::RolledBack);
    CHECK(result.exposed <= 0.1 * result.requests + 50.0);
    if (result.fiftiethBad.count() >= 0)
        CHECK(result.lastExposed <= result.fiftiethBad + milliseconds(5000));
}

Case randomCase(Fault fault, std::mt19937_64 &random)
{
    const auto pick = [&random](std::vector<double> values) { return values[random() % values.size()]; };
    Case scenario;
    scenario.fault = fault;
    scenario.vms = static_cast<std::size_t>(pick({1, 3, 6, 40, 350}));
    scenario.perSecond = pick({60, 100, 200, 400});
    scenario.duration = milliseconds(static_cast<int>(pick({10000, 12000, 20000})));
    scenario.faultShare = pick({0.4, 0.6, 1.0});
    scenario.usualFailures = pick({0.0, 0.004, 0.01, 0.04});
    return scenario;
}

void checkRandomCases(Fault fault, std::uint64_t seeds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed);
        checkFigures(randomCase(fault, random), seed);
    }
}

RolloutView trialView(std::chrono::system_clock::time_point begin)
{
    RolloutView view;
    view.record.order = {"svc", "v2", milliseconds(12000), "order", 5, 1};
    view.record.phase = RolloutPhase::Trial;
    view.record.versionInUse = "v1";
    view.record.firstSeen = view.record.phaseBegan = begin;
    view.inUseServing = 4;
    view.inUseSlots = 64.0;
    return view;
}

} // namespace

// Guards against a good version that is not completed by its deadline.
TEST_CASE("RolloutPlan: good version: is completed by the deadline")
{
    checkRandomCases(Fault::None, 200);
}

// Guards against a bad version that is judged good, or that gets more requests than allowed.
TEST_CASE("RolloutPlan: version fails at once: is rolled back within its exposure")
{
    checkRandomCases(Fault::Failures, 200);
}

// Guards against good responses from before a fault that outweigh the bad ones.
TEST_CASE("RolloutPlan: version fails later: is rolled back within its exposure")
{
    checkRandomCases(Fault::Late, 200);
}

// Guards against a judgement on light traffic only.
TEST_CASE("RolloutPlan: version fails under load only: is rolled back within its exposure")
{
    checkRandomCases(Fault::UnderLoad, 200);
}

// Guards against a fault of one route that the others hide.
TEST_CASE("RolloutPlan: version fails on one route only: is rolled back within its exposure")
{
    checkRandomCases(Fault::OneRoute, 200);
}

// Guards against a slow version that is judged by its statuses alone.
TEST_CASE("RolloutPlan: version is several times slower: is rolled back within its exposure")
{
    checkRandomCases(Fault::Slow, 200);
}

// Guards against VMs that go on while no decider exists, and against a successor that decides too late.
TEST_CASE("RolloutPlan: decider dies at any step: verdict and exposure stay within their bounds")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        std::mt19937_64 random(seed);
        const Fault fault = random() % 2 == 0 ? Fault::None : Fault::Failures;
        Case scenario = randomCase(fault, random);
        scenario.perSecond = std::max(scenario.perSecond, 100.0);
        scenario.deciderEnds = milliseconds(random() % 9000);
        scenario.outage = milliseconds(4000);
        scenario.duration = milliseconds(20000);
        checkFigures(scenario, seed);
    }
}

// Guards against a VM that is cut off and goes on sending requests to a bad version.
TEST_CASE("RolloutPlan: VM is cut off: it stops by itself")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        std::mt19937_64 random(seed);
        Case scenario = randomCase(Fault::Failures, random);
        scenario.vms = 6;
        scenario.cutVm = 2;
        checkFigures(scenario, seed);
    }
}

// Guards against an order that stays open for a version that nobody starts.
TEST_CASE("RolloutPlan: no upstream of the target: is rolled back before the deadline and gets no share")
{
    const auto begin = std::chrono::system_clock::time_point(std::chrono::hours(1));
    const RolloutView view = trialView(begin);
    const RolloutStep early = RolloutPlan().next(view, begin + milliseconds(1000));
    CHECK(early.phase == RolloutPhase::Trial);
    CHECK(early.share == 0.0);
    CHECK(RolloutPlan().next(view, begin + milliseconds(11000)).phase == RolloutPhase::RolledBack);
}

// Guards against an order for the version in use that is tried like a new one.
TEST_CASE("RolloutPlan: target is in use already: is completed")
{
    const auto begin = std::chrono::system_clock::time_point(std::chrono::hours(1));
    RolloutView view = trialView(begin);
    view.record.versionInUse = "v2";
    view.targetServing = 4;
    CHECK(RolloutPlan().next(view, begin).phase == RolloutPhase::Completed);
}

// Guards against a verdict that a later decision replaces.
TEST_CASE("RolloutPlan: verdict: is never changed")
{
    const auto begin = std::chrono::system_clock::time_point(std::chrono::hours(1));
    for (const RolloutPhase verdict : {RolloutPhase::Completed, RolloutPhase::RolledBack}) {
        RolloutView view = trialView(begin);
        view.record.phase = verdict;
        view.counts["route"].target.failed = 1000.0;
        CHECK(RolloutPlan().next(view, begin + std::chrono::hours(1)).phase == verdict);
    }
}

// Guards against a permission that outlives its decider, and against an old one that replaces a newer one.
TEST_CASE("ExposureLimit: permission: ends a time after the report, and an earlier one does not extend it")
{
    const auto begin = std::chrono::steady_clock::time_point(std::chrono::hours(1));
    ExposureLimit limit;
    limit.begin(0.0);
    CHECK_FALSE(limit.allows(0.0, 1, begin));
    limit.permit(1.0, false, begin);
    CHECK(limit.allows(0.0, 1, begin + milliseconds(1999)));
    CHECK_FALSE(limit.allows(0.0, 1, begin + milliseconds(2000)));
    limit.permit(0.0, false, begin + milliseconds(500));
    limit.permit(1.0, false, begin + milliseconds(400));
    CHECK_FALSE(limit.allows(0.0, 1, begin + milliseconds(600)));
}

// Guards against slack that each VM takes for itself.
TEST_CASE("ExposureLimit: many VMs: together they stay within share and slack")
{
    const auto begin = std::chrono::steady_clock::time_point(std::chrono::hours(1));
    for (const std::size_t vms : {1, 7, 49, 350}) {
        std::mt19937_64 random(vms);
        double exposed = 0.0;
        constexpr int requests = 30;
        for (std::size_t vm = 0; vm < vms; ++vm) {
            ExposureLimit limit;
            limit.begin(std::uniform_real_distribution<double>(0.0, 1.0)(random));
            limit.permit(1.0, false, begin);
            for (int i = 0; i < requests; ++i) {
                if (limit.allows(0.0, vms, begin)) {
                    limit.targetStarted();
                    exposed += 1.0;
                }
                limit.requestStarted();
            }
        }
        CHECK(exposed <= 0.1 * static_cast<double>(vms * requests) + 50.0);
        CHECK(exposed > 0.0);
    }
}

// Guards against a version that comes into use because it has more upstreams than the one that served before.
TEST_CASE("VersionInUse: another version has more upstreams later: the first one stays")
{
    VersionInUse versions;
    versions.observe({{"v1", 4}, {"", 9}});
    versions.observe({{"v1", 4}, {"v2", 8}});
    CHECK(versions.version() == "v1");
    CHECK(versions.isInUse("v1"));
    CHECK(versions.isInUse(""));
    CHECK_FALSE(versions.isInUse("v2"));
    RolloutRecord record;
    record.order.target = "v2";
    record.versionInUse = "v1";
    record.phase = RolloutPhase::RolledBack;
    versions.apply(record);
    CHECK_FALSE(versions.isInUse("v2"));
    record.phase = RolloutPhase::Completed;
    versions.apply(record);
    CHECK(versions.isInUse("v2"));
    CHECK_FALSE(versions.isInUse("v1"));
}

// Guards against a second verdict for an order that a restored store lists anew.
TEST_CASE("RolloutOrder: store was restored: the same text is the same order")
{
    const RolloutOrder order{"svc", "v2", milliseconds(12000), "text", 5, 1};
    RolloutOrder other = order;
    other.revision = 6;
    CHECK_FALSE(isSameOrder(order, other));
    other.era = 2;
    CHECK(isSameOrder(order, other));
    other.text = "other";
    CHECK_FALSE(isSameOrder(order, other));
}
