#include "upstreampool.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class UpstreamPoolFixture
{
protected:
    UpstreamPoolFixture()
    {
        this->pool.apply({this->make("serving", UpstreamState::Serving),
                          this->make("suspected", UpstreamState::Suspected),
                          this->make("leaving", UpstreamState::Leaving),
                          this->make("joining", UpstreamState::Joining),
                          this->make("gone", UpstreamState::Gone)},
                         this->now);
    }

    static Upstream make(const std::string &id, UpstreamState state)
    {
        return {.id = id, .service = "model", .address = "127.0.0.1:1", .zone = {"a"}, .state = state};
    }

    /// Identifiers of the chosen upstream and of the alternatives.
    std::set<std::string> consideredIds(const std::set<std::string> &excluded = {})
    {
        RouteDecision decision =
            this->pool.choose(this->router, {.service = "model"}, excluded, this->now, this->random);
        std::set<std::string> ids(decision.alternatives.begin(), decision.alternatives.end());
        if (!decision.upstream.empty())
            ids.insert(decision.upstream);
        return ids;
    }

    UpstreamPool pool;
    Router router{"least-in-flight"};
    RandomEngine random{1};
    UpstreamPool::Time now{std::chrono::hours(1)};
};

using UpstreamIds = std::set<std::string>;

} // namespace

// Guards against new requests to an upstream that is leaving or not ready yet.
TEST_CASE_METHOD(UpstreamPoolFixture, "UpstreamPool: all states present: only the serving upstream is considered")
{
    CHECK(this->consideredIds() == UpstreamIds{"serving"});
}

// Guards against rejecting requests while an upstream remains that may be healthy.
TEST_CASE_METHOD(UpstreamPoolFixture, "UpstreamPool: no serving upstream left: the suspected one is chosen")
{
    CHECK(this->consideredIds({"serving"}) == UpstreamIds{"suspected"});
    CHECK(this->consideredIds({"serving", "suspected"}).empty());
}

// Guards against requests that keep going to a dead upstream until the control process detects the failure.
TEST_CASE_METHOD(UpstreamPoolFixture, "UpstreamPool: upstream failed just now: is not chosen during the cooldown")
{
    this->pool.apply({this->make("a", UpstreamState::Serving), this->make("b", UpstreamState::Serving)}, this->now);
    this->pool.attemptFailed("a", this->now);
    CHECK(this->consideredIds() == UpstreamIds{"b"});
    CHECK(this->consideredIds({"b"}) == UpstreamIds{"a"});
    // A list that still contains the dead upstream must not end the cooldown.
    this->pool.apply({this->make("a", UpstreamState::Serving), this->make("b", UpstreamState::Serving)}, this->now);
    CHECK(this->consideredIds() == UpstreamIds{"b"});
    this->now += std::chrono::seconds(2);
    CHECK(this->consideredIds() == UpstreamIds{"a", "b"});
    CHECK(this->pool.takeFailures().at("a") == 1);
    CHECK(this->pool.takeFailures().empty());
}

// Guards against in-flight counts that a new snapshot or a cooldown resets, which would overload busy upstreams.
TEST_CASE_METHOD(UpstreamPoolFixture, "UpstreamPool: list and cooldown change: in-flight counts stay")
{
    const std::vector<Upstream> both{this->make("a", UpstreamState::Serving), this->make("b", UpstreamState::Serving)};
    this->pool.apply(both, this->now);
    const auto chosen = [this] {
        return this->pool.choose(this->router, {.service = "model"}, {}, this->now, this->random).upstream;
    };
    const std::string busy = chosen();
    const std::string idle = busy == "a" ? "b" : "a";
    this->pool.attemptStarted(busy);
    this->pool.attemptStarted(busy);
    this->pool.apply(both, this->now);
    CHECK(chosen() == idle);
    this->pool.attemptStarted(idle);
    this->pool.attemptFailed(busy, this->now);
    this->now += std::chrono::seconds(2);
    CHECK(chosen() == idle);
    this->pool.attemptEnded(idle);
    this->pool.attemptEnded(busy);
    this->pool.apply({}, this->now);
    CHECK(this->pool.inFlight().at(busy) == 1);
    this->pool.attemptEnded(busy);
    CHECK(this->pool.inFlight().empty());
}

// Guards against removals that are not reported, so that cache entries and crash suspicions outlive the upstream.
TEST_CASE_METHOD(UpstreamPoolFixture, "UpstreamPool: upstreams left or gone: are reported as removed once")
{
    const auto change = this->pool.apply({this->make("suspected", UpstreamState::Gone)}, this->now);
    UpstreamIds removed;
    for (const Upstream &upstream : change.removed)
        removed.insert(upstream.id);
    CHECK(removed == UpstreamIds{"serving", "suspected", "leaving", "joining"});
    CHECK(this->pool.apply({}, this->now).removed.empty());
}

// Guards against choices that ignore the load from other entry processes.
TEST_CASE_METHOD(UpstreamPoolFixture, "UpstreamPool: upstream reports a high load: a load-based policy avoids it")
{
    this->pool.apply({this->make("a", UpstreamState::Serving), this->make("b", UpstreamState::Serving)}, this->now);
    this->pool.loadReported("a", 40.0, 0, this->now);
    this->pool.loadReported("b", 0.0, 0, this->now);
    const Router byLoad("prefix-affinity");
    for (int i = 0; i < 20; ++i) {
        const RouteQuery query{.requestId = "r", .service = "model", .prompt = "prompt " + std::to_string(i)};
        CHECK(this->pool.choose(byLoad, query, {}, this->now, this->random).upstream == "b");
    }
}
