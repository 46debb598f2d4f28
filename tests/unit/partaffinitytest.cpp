#include "relay/partaffinity.h"

#include <catch2/catch.hpp>

#include <map>

using namespace hemlock;

namespace {

class PartAffinityFixture
{
protected:
    PartAffinityFixture()
    {
        this->query.zone = {"zone-a"};
        this->query.parts = {{11, 13000.0}, {99, 3000.0}};
        for (int i = 0; i < 6; ++i) {
            UpstreamView view;
            view.id = "upstream-" + std::to_string(i);
            view.zone = {i < 3 ? "zone-a" : "zone-b"};
            this->candidates.set(view);
        }
    }

    void change(const std::string &id, const std::function<void(UpstreamView &)> &edit)
    {
        UpstreamView view = *this->candidates.find(id);
        edit(view);
        this->candidates.set(view);
    }

    std::string choose()
    {
        return this->policy.choose(this->query, this->candidates, this->random).upstream;
    }

    PartAffinityPolicy policy;
    CandidateSet candidates;
    RouteQuery query;
    RandomEngine random{7};
};

} // namespace

TEST_CASE_METHOD(PartAffinityFixture, "PartAffinityPolicy: one upstream caches the shared part: it is chosen")
{
    this->policy.notePartsCached("upstream-4", {{11, 13000.0}});
    for (int i = 0; i < 20; ++i)
        CHECK(this->choose() == "upstream-4");
}

TEST_CASE_METHOD(PartAffinityFixture,
                 "PartAffinityPolicy: queue of the caching upstream exceeds the computing time: another is chosen")
{
    this->policy.notePartsCached("upstream-4", {{11, 13000.0}});
    this->change("upstream-4", [](UpstreamView &view) { view.pendingTokens = 40000.0; });
    CHECK(this->choose() != "upstream-4");
}

TEST_CASE_METHOD(PartAffinityFixture, "PartAffinityPolicy: upstream is removed: its cached parts are forgotten")
{
    this->policy.notePartsCached("upstream-4", {{11, 13000.0}});
    this->policy.removeUpstream("upstream-4");
    RouteDecision decision = this->policy.choose(this->query, this->candidates, this->random);
    CHECK(decision.tokensToCompute == Approx(16000.0));
}

TEST_CASE_METHOD(PartAffinityFixture, "PartAffinityPolicy: new part at several entry VMs: all choose the same one")
{
    std::map<std::string, int> chosen;
    for (unsigned seed = 0; seed < 20; ++seed) {
        PartAffinityPolicy other;
        RandomEngine engine(seed);
        ++chosen[other.choose(this->query, this->candidates, engine).upstream];
    }
    CHECK(chosen.size() == 1);
}

TEST_CASE_METHOD(PartAffinityFixture, "PartAffinityPolicy: many new parts: are spread over the upstreams")
{
    std::map<std::string, int> chosen;
    for (std::uint64_t part = 0; part < 600; ++part) {
        this->query.parts.front().id = 1000 + part * 7919;
        ++chosen[this->choose()];
    }
    CHECK(chosen.size() == 6);
    for (const auto &[id, count] : chosen)
        CHECK(count < 200);
}

TEST_CASE_METHOD(PartAffinityFixture, "PartAffinityPolicy: call without a prompt: stays in its availability zone")
{
    this->query.parts.clear();
    for (int i = 0; i < 20; ++i)
        CHECK(this->candidates.find(this->choose())->zone.name == "zone-a");
}

TEST_CASE_METHOD(PartAffinityFixture, "PartAffinityPolicy: upstream fails half of its calls: is not chosen")
{
    this->query.parts.clear();
    for (const char *id : {"upstream-0", "upstream-1"})
        this->change(id, [](UpstreamView &view) { view.failureShare = 0.5; });
    for (int i = 0; i < 20; ++i)
        CHECK(this->choose() == "upstream-2");
}

TEST_CASE_METHOD(PartAffinityFixture,
                 "PartAffinityPolicy: assumed cache is full: least recently used parts are evicted")
{
    PartAffinitySettings settings;
    settings.cacheCapacityTokens = 20000.0;
    PartAffinityPolicy small(settings);
    small.notePartsCached("upstream-4", {{11, 13000.0}});
    small.notePartsCached("upstream-4", {{12, 13000.0}});
    this->query.parts = {{11, 13000.0}, {99, 3000.0}};
    CHECK(small.choose(this->query, this->candidates, this->random).tokensToCompute == Approx(16000.0));
}

TEST_CASE_METHOD(PartAffinityFixture,
                 "PartAffinityPolicy: later part is cached without the one before it: is computed again")
{
    this->query.parts = {{11, 2500.0}, {12, 3800.0}, {99, 2900.0}};
    this->policy.notePartsCached("upstream-2", {{12, 3800.0}});
    CHECK(this->policy.choose(this->query, this->candidates, this->random).tokensToCompute == Approx(9200.0));
}

TEST_CASE_METHOD(PartAffinityFixture,
                 "PartAffinityPolicy: large fleet without messages between VMs: all choose the same one")
{
    for (int i = 6; i < 140; ++i) {
        UpstreamView view;
        view.id = "upstream-" + std::to_string(i);
        view.zone = {"zone-b"};
        this->candidates.set(view);
    }
    const std::string preferredUpstream = this->choose();
    for (std::uint64_t seed = 0; seed < 40; ++seed) {
        PartAffinityPolicy other;
        RandomEngine otherRandom{seed};
        CHECK(other.choose(this->query, this->candidates, otherRandom).upstream == preferredUpstream);
    }
}

// Load: many short prompts while every VM sees the same outdated loads.
TEST_CASE_METHOD(PartAffinityFixture,
                 "PartAffinityPolicy: large fleet, one upstream looks idle: it does not get all prompts")
{
    for (int i = 6; i < 140; ++i) {
        UpstreamView view;
        view.id = "upstream-" + std::to_string(i);
        view.zone = {"zone-a"};
        view.reportedLoad = 5.0;
        this->candidates.set(view);
    }
    this->query.parts = {{99, 1000.0}};
    for (const UpstreamView &view : {*this->candidates.find("upstream-0"), *this->candidates.find("upstream-1")})
        this->change(view.id, [](UpstreamView &changed) { changed.reportedLoad = 5.0; });
    int idle = 0;
    for (int i = 0; i < 200; ++i)
        idle += this->choose() == "upstream-2" ? 1 : 0;
    CHECK(idle < 40);
}
