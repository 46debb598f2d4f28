#include "admission/requestadmission.h"

#include <catch2/catch.hpp>

using namespace hemlock;
using namespace std::chrono_literals;

namespace {

UpstreamView view(double pendingTokens, int inFlight = 1, int slots = 64)
{
    UpstreamView view;
    view.id = "upstream";
    view.pendingTokens = pendingTokens;
    view.inFlight = inFlight;
    view.slots = slots;
    return view;
}

ArrivalQuery prompt(double tokens, std::chrono::milliseconds timeLeft)
{
    ArrivalQuery query;
    query.isModel = true;
    query.tokens = tokens;
    query.timeLeft = timeLeft;
    return query;
}

bool isTooLate(const ArrivalQuery &query, const std::vector<UpstreamView> &upstreams)
{
    return forecastArrival(query, upstreams, constantSpeedForecast).isTooLate;
}

const FairQueue::TimePoint start{1h};

} // namespace

// Guards against a refusal that a better upstream, or the error of the estimate, does not justify.
TEST_CASE("ArrivalForecast: prompts pend at all upstreams: refused only if the best one is late beyond the margin")
{
    CHECK(isTooLate(prompt(1000.0, 500ms), {view(40000.0), view(50000.0)}));
    CHECK_FALSE(isTooLate(prompt(1000.0, 500ms), {view(40000.0), view(20000.0)}));
    CHECK_FALSE(isTooLate(prompt(1000.0, 500ms), {view(28000.0)}));
    CHECK(forecastArrival(prompt(1000.0, 500ms), {view(28000.0)}, constantSpeedForecast).expectedWait == 580ms);
}

// Guards against a refusal while capacity is idle.
TEST_CASE("ArrivalForecast: an upstream is idle and nothing waits: not refused")
{
    CHECK_FALSE(isTooLate(prompt(90000.0, 500ms), {view(90000.0), view(0.0)}));
    CHECK_FALSE(isTooLate(prompt(1000.0, 500ms), {}));
}

// Guards against refusing at each try what no upstream can ever do in time.
TEST_CASE("ArrivalForecast: prompt is late even at an idle upstream: waits for a late answer")
{
    CHECK_FALSE(isTooLate(prompt(90000.0, 500ms), {view(1000.0)}));
}

TEST_CASE("ArrivalForecast: all slots in use: refused by the measured rate, not without one")
{
    ArrivalQuery query = prompt(100.0, 500ms);
    query.waitingAhead = 9;
    CHECK_FALSE(isTooLate(query, {view(0.0, 64)}));
    query.startsPerSecond = 10.0;
    CHECK(isTooLate(query, {view(0.0, 64)}));
    query.startsPerSecond = 30.0;
    CHECK_FALSE(isTooLate(query, {view(0.0, 64)}));
}

// Guards against the demand of quiet times being taken for the capacity.
TEST_CASE("RoomRate: starts without a queue: tell no rate")
{
    RoomRate rate;
    for (int i = 0; i < 20; ++i)
        rate.record(start + i * 100ms);
    CHECK_FALSE(rate.perSecond(start + 2s));
    rate.setWaiting(true, start + 2s);
    for (int i = 1; i <= 20; ++i)
        rate.record(start + 2s + i * 50ms);
    REQUIRE(rate.perSecond(start + 3s));
    CHECK(*rate.perSecond(start + 3s) == Approx(20.0).epsilon(0.15));
}

// Guards against strict priorities that starve a rank.
TEST_CASE("MinimumShares: urgent requests always wait: the other rank gets a tenth")
{
    MinimumShares shares;
    const std::vector<WaitingRank> ranks = {{0, 100.0}, {1, 100.0}};
    int lower = 0;
    for (int i = 0; i < 1100; ++i) {
        const int rank = *shares.nextRank(ranks);
        lower += rank;
        shares.started("account", rank, 100.0, ranks, start);
    }
    CHECK(lower == Approx(100).margin(5));
    MinimumShares strict(false);
    for (int i = 0; i < 100; ++i) {
        CHECK(strict.nextRank(ranks) == 0);
        strict.started("account", 0, 100.0, ranks, start);
    }
}

// Guards against small prompts of a less urgent rank that leave no upstream with room for a large urgent one.
TEST_CASE("MinimumShares: urgent prompts were seen lately: less urgent ranks leave room for one")
{
    MinimumShares shares;
    CHECK(shares.pendingLimit(1, 30000.0, start) == 30000.0);
    shares.arrived(0, 17000.0, start);
    CHECK(shares.pendingLimit(1, 30000.0, start) == 30000.0);
    shares.contended(start);
    CHECK(shares.pendingLimit(1, 30000.0, start) == 13000.0);
    CHECK(shares.pendingLimit(0, 30000.0, start) == 30000.0);
    CHECK(shares.pendingLimit(1, 30000.0, start + 11s) == 30000.0);
    shares.arrived(0, 200000.0, start);
    CHECK(shares.pendingLimit(1, 30000.0, start) == 7500.0);
}

TEST_CASE("MinimumShares: one account floods: the others are short of their share, the flood is not")
{
    MinimumShares shares;
    CHECK_FALSE(shares.isShortOfShare("quiet", start));
    for (int i = 0; i < 40; ++i)
        shares.started(i % 10 == 0 ? "quiet" : "flood", 0, 100.0, {}, start);
    CHECK(shares.isShortOfShare("quiet", start));
    CHECK(shares.isShortOfShare("new", start));
    CHECK_FALSE(shares.isShortOfShare("flood", start));
}

// Guards against refused callers that return all at once, too early, or later than they wait.
TEST_CASE("RequestAdmission: retry time: spread after the time of room, within a third of the time left")
{
    AdmissionRefusal refusal;
    refusal.forecast.query = prompt(1000.0, 500ms);
    refusal.forecast.expectedWait = 800ms;
    CHECK(RequestAdmission::retryAfter(refusal, 0.0) == 300ms);
    CHECK(RequestAdmission::retryAfter(refusal, 0.5) == 450ms);
    refusal.deadlineLeft = 600ms;
    CHECK(RequestAdmission::retryAfter(refusal, 0.0) == 200ms);
    CHECK(RequestAdmission::retryAfter(refusal, 1.0) == 100ms);
    refusal.deadlineLeft = 60ms;
    CHECK(RequestAdmission::retryAfter(refusal, 0.5) == 50ms);
    refusal.deadlineLeft.reset();
    refusal.forecast.query.startsPerSecond = 20.0;
    refusal.forecast.query.waitingAhead = 3;
    CHECK(RequestAdmission::retryAfter(refusal, 0.0) == 200ms);
}

TEST_CASE("RequestAdmission: retry time as text: fractions only where needed")
{
    CHECK(retryAfterText(350ms) == "0.35");
    CHECK(retryAfterText(1005ms) == "1.005");
    CHECK(retryAfterText(2s) == "2");
    CHECK(retryAfterText(-5ms) == "0");
}

// Guards against requests with little time that wait behind those of their account that have more.
TEST_CASE("RequestAdmission: order of an account: by latest start, then by arrival")
{
    RequestAdmission admission;
    const auto patient = admission.queueOrder(start + 2s);
    const auto first = admission.queueOrder(start + 1s);
    const auto second = admission.queueOrder(start + 1s);
    CHECK(first < second);
    CHECK(second < patient);
    AdmissionSettings former;
    former.ordersByLatestStart = false;
    CHECK(RequestAdmission(former).queueOrder(start) == 0);
}
