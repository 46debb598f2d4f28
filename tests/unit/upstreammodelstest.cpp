#include "estimation/upstreammodels.h"

#include <catch2/catch.hpp>

#include "randomengine.h"

#include <cmath>
#include <limits>
#include <random>

using namespace hemlock;

namespace {

class UpstreamModelsFixture
{
protected:
    UpstreamModelsFixture()
    {
        for (const char *id : {"a", "b", "c", "d"}) {
            Upstream upstream;
            upstream.id = id;
            upstream.service = "model";
            upstream.incarnation = "1";
            this->upstreams.push_back(upstream);
        }
        this->models.setUpstreams(this->upstreams);
    }

    /// Reports responses of an upstream: most queue behind prompts that the process knows nothing of.
    void respond(const std::string &upstream, int count, double tokensPerMs, double fixedMs, double slowdown = 1.0)
    {
        std::uniform_real_distribution<double> tokens(500.0, 17000.0);
        std::exponential_distribution<double> unknownTokens(1.0 / 1000.0);
        for (int i = 0; i < count; ++i) {
            this->now += std::chrono::milliseconds(100);
            FirstTokenQuery query;
            query.tokensToCompute = tokens(this->random);
            const double delay =
                ((query.tokensToCompute + unknownTokens(this->random)) / tokensPerMs + fixedMs) * slowdown;
            this->models.firstTokenObserved(upstream, query, std::chrono::milliseconds(std::llround(delay)), this->now);
        }
    }

    double expectedMs(const std::string &upstream, double tokens = 17000.0) const
    {
        FirstTokenQuery query;
        query.tokensToCompute = tokens;
        return static_cast<double>(this->models.firstToken(upstream, query, this->now).delay.count());
    }

    UpstreamModels models;
    std::vector<Upstream> upstreams;
    RandomEngine random{11};
    UpstreamModels::Time now{std::chrono::hours(1)};
};

} // namespace

// Guards against a changed routing of deployments from which nothing was learned.
TEST_CASE_METHOD(UpstreamModelsFixture, "UpstreamModels: nothing was measured: the defaults are expected")
{
    CHECK(this->expectedMs("a") == 340.0);
    CHECK(this->expectedMs("unknown") == 340.0);
    CHECK(this->models.tokensPerMs("a", this->now) == Approx(50.0));
    FirstTokenQuery query;
    query.pendingTokens = 5000.0;
    query.requestsInProgress = 10.0;
    CHECK(this->models.firstToken("a", query, this->now).delay == std::chrono::milliseconds(120));
    CHECK_FALSE(this->models.freeSlots("a", this->now));
    CHECK(this->models.cacheTokens("a") == 400000.0);
}

// Guards against estimates that single late responses spoil or that take too many responses.
TEST_CASE_METHOD(UpstreamModelsFixture,
                 "UpstreamModels: 20 responses of an upstream: the expected time is within a factor of 1.25")
{
    const double speed = GENERATE(27.5, 60.0, 157.0);
    const double fixedMs = GENERATE(6.0, 120.0);
    CAPTURE(speed, fixedMs);
    this->respond("a", 20, speed, fixedMs);
    const double factor = this->expectedMs("a") / (17000.0 / speed + fixedMs);
    CAPTURE(factor);
    CHECK(factor > 1.0 / 1.25);
    CHECK(factor < 1.25);
}

TEST_CASE_METHOD(UpstreamModelsFixture, "UpstreamModels: upstream without responses: is like the median of its service")
{
    this->respond("a", 30, 27.0, 6.0);
    this->respond("b", 30, 60.0, 6.0);
    this->respond("c", 30, 60.0, 6.0);
    this->respond("a", 15, 27.0, 6.0);
    CHECK(this->models.tokensPerMs("d", this->now) == Approx(60.0).epsilon(0.2));
    CHECK(this->models.tokensPerMs("a", this->now) == Approx(27.0).epsilon(0.2));
}

// Guards against an upstream that is avoided for good because it was slow once.
TEST_CASE_METHOD(UpstreamModelsFixture, "UpstreamModels: no responses for ten minutes: approaches the median")
{
    for (const char *id : {"b", "c", "d"})
        this->respond(id, 30, 60.0, 6.0);
    this->respond("a", 30, 12.0, 6.0);
    CHECK(this->models.tokensPerMs("a", this->now) < 20.0);
    this->now += std::chrono::minutes(10);
    CHECK(this->models.tokensPerMs("a", this->now) == Approx(this->models.tokensPerMs("b", this->now)).epsilon(0.05));
}

TEST_CASE_METHOD(UpstreamModelsFixture, "UpstreamModels: upstream restarts or leaves: its figures are forgotten")
{
    this->respond("a", 30, 12.0, 6.0);
    LoadFigures load;
    load.slots = 16;
    load.slowdown = 2.5;
    this->models.loadReported("a", load, this->now);
    const bool isListedMeanwhile = GENERATE(true, false);
    const std::vector<Upstream> before = this->upstreams;
    if (isListedMeanwhile)
        this->upstreams[0].incarnation = "2";
    else
        this->models.setUpstreams({before[1]});
    this->models.setUpstreams(this->upstreams);
    CHECK(this->expectedMs("a") == 340.0);
    CHECK_FALSE(this->models.freeSlots("a", this->now));
}

TEST_CASE_METHOD(UpstreamModelsFixture, "UpstreamModels: list is read again: figures are kept")
{
    this->respond("a", 30, 25.0, 6.0);
    const double before = this->expectedMs("a");
    this->models.setUpstreams(this->upstreams);
    CHECK(this->expectedMs("a") == before);
}

TEST_CASE_METHOD(UpstreamModelsFixture,
                 "UpstreamModels: momentary slow-down: is in force for a few hundred milliseconds")
{
    LoadFigures load;
    load.slowdown = 2.5;
    this->models.loadReported("a", load, this->now);
    CHECK(this->expectedMs("a") == 850.0);
    this->now += std::chrono::milliseconds(200);
    CHECK(this->expectedMs("a") == 850.0);
    this->now += std::chrono::milliseconds(200);
    CHECK(this->expectedMs("a") == Approx(595.0).epsilon(0.01));
    this->now += std::chrono::milliseconds(200);
    CHECK(this->expectedMs("a") == 340.0);
    CHECK(this->expectedMs("b") == 340.0);
}

// Guards against a slow-down that is counted twice: as reported, and in the speed that is learned while it lasts.
TEST_CASE_METHOD(UpstreamModelsFixture, "UpstreamModels: responses during a slow-down: the usual speed is learned")
{
    LoadFigures load;
    load.slowdown = 2.5;
    for (int i = 0; i < 30; ++i) {
        this->models.loadReported("a", load, this->now + std::chrono::milliseconds(100));
        this->respond("a", 1, 50.0, 0.0, 2.5);
    }
    this->now += std::chrono::seconds(1);
    CHECK(this->models.tokensPerMs("a", this->now) == Approx(50.0).epsilon(0.2));
}

TEST_CASE_METHOD(UpstreamModelsFixture, "UpstreamModels: implausible figures: are ignored or bounded")
{
    const double notANumber = std::numeric_limits<double>::quiet_NaN();
    const double infinity = std::numeric_limits<double>::infinity();
    using Delay = std::chrono::milliseconds;
    for (const double odd : {notANumber, infinity, -1.0}) {
        this->models.firstTokenObserved("a", {odd, 100.0, 0.0, 0.0}, Delay(10), this->now);
        this->models.firstTokenObserved("a", {0.0, odd, 0.0, 0.0}, Delay(10), this->now);
        this->models.firstTokenObserved("a", {0.0, 100.0, odd, 0.0}, Delay(10), this->now);
    }
    this->models.firstTokenObserved("a", {0.0, 100.0, 0.0, 0.0}, Delay(-1), this->now);
    this->models.firstTokenObserved("a", {0.0, 100.0, 0.0, 0.0}, std::chrono::hours(1), this->now);
    this->models.firstTokenObserved("unknown", {0.0, 100.0, 0.0, 0.0}, Delay(10), this->now);
    CHECK(this->models.counts().ignoredSamples == 12);
    CHECK(this->models.counts().samples == 0);
    CHECK(this->expectedMs("a") == 340.0);
    for (const double slowdown : {notANumber, infinity, -1.0, 0.0, 1e9}) {
        LoadFigures load;
        load.slowdown = slowdown;
        this->models.loadReported("a", load, this->now);
        CHECK(this->expectedMs("a") >= 340.0 * 0.2);
        CHECK(this->expectedMs("a") <= 340.0 * 10.0);
    }
    this->now += std::chrono::seconds(1);
    const bool isAlwaysLong = GENERATE(true, false);
    for (int i = 0; i < 200; ++i)
        this->models.firstTokenObserved("a", {0.0, 100.0, 5.0, 0.0}, Delay(isAlwaysLong ? 50000 : 0), this->now);
    CHECK(this->models.tokensPerMs("a", this->now) >= 10.0);
    CHECK(this->models.tokensPerMs("a", this->now) <= 250.0);
    CHECK(this->expectedMs("a", 0.0) <= 1000.0);
}

// Guards against a single late response, as after a pause of the process, that changes the routing.
TEST_CASE_METHOD(UpstreamModelsFixture, "UpstreamModels: one response is very late: the expected time hardly changes")
{
    this->respond("a", 30, 50.0, 6.0);
    const double before = this->expectedMs("a");
    this->models.firstTokenObserved("a", {0.0, 5000.0, 0.0, 0.0}, std::chrono::seconds(20), this->now);
    CHECK(this->expectedMs("a") < before * 1.25);
}

TEST_CASE_METHOD(UpstreamModelsFixture, "UpstreamModels: load is reported: free slots are known for a short time")
{
    this->models.loadReported("a", {10, 0, 16, {}}, this->now);
    CHECK(this->models.freeSlots("a", this->now) == 6.0);
    this->models.loadReported("a", {16, 4, 16, {}}, this->now);
    CHECK(this->models.freeSlots("a", this->now) == 0.0);
    this->now += std::chrono::seconds(1);
    CHECK_FALSE(this->models.freeSlots("a", this->now));
    this->models.loadReported("a", {1, 0, 0, {}}, this->now);
    CHECK_FALSE(this->models.freeSlots("a", this->now));
}

// Guards against an assumed cache that is larger than the memory of the upstream, which hides evictions.
TEST_CASE_METHOD(UpstreamModelsFixture, "UpstreamModels: memory of the service is known: bounds the assumed cache")
{
    this->models.setMemory({{"model", 100000.0}});
    CHECK(this->models.cacheTokens("a") == 80000.0);
    CHECK(this->models.cacheTokens("unknown") == 400000.0);
}
