#include "prefixaffinity.h"

#include <catch2/catch.hpp>

#include <set>

using namespace hemlock;

namespace {

class PrefixAffinityFixture
{
protected:
    PrefixAffinityFixture()
    {
        for (int i = 0; i < 40; ++i)
            this->candidates.set({"vm-" + std::to_string(i), {i % 2 == 0 ? "a" : "b"}});
    }

    static std::string prompt(const std::string &name, std::size_t bytes = 8192)
    {
        std::string text;
        while (text.size() < bytes)
            text += name + std::to_string(text.size()) + " ";
        return text;
    }

    RouteDecision choose(const std::string &prompt, const Router &router)
    {
        return router.choose({"request", "service", prompt, {"a"}, 5}, this->candidates, this->random);
    }

    CandidateSet candidates;
    RandomEngine random{11};
    Router router{"prefix-affinity"};
};

} // namespace

// Guards against recomputing a long prefix that another upstream has cached.
TEST_CASE_METHOD(PrefixAffinityFixture,
                 "PrefixAffinity: second prompt with a long prefix: goes to the upstream of the first")
{
    const std::string inventory = prompt("inventory");
    const std::string preferred = this->choose(inventory, Router("prefix-affinity")).upstream;
    this->candidates.addInFlight(preferred, 100);
    const std::string first = this->choose(inventory + "first", this->router).upstream;
    REQUIRE(first != preferred);
    this->candidates.addInFlight(preferred, -100);
    for (int i = 0; i < 50; ++i)
        this->choose(prompt("other" + std::to_string(i)), this->router);
    CHECK(this->choose(inventory + "second", this->router).upstream == first);
}

// Guards against entry VMs that spread one prompt over as many upstreams as there are entry VMs.
TEST_CASE_METHOD(PrefixAffinityFixture,
                 "PrefixAffinity: two routers without communication: agree on at least 30 of 100 prompts")
{
    const Router other("prefix-affinity");
    int agreed = 0;
    for (int i = 0; i < 100; ++i) {
        const std::string text = prompt("text" + std::to_string(i));
        agreed += this->choose(text, this->router).upstream == this->choose(text, other).upstream ? 1 : 0;
    }
    CHECK(agreed >= 30);
}

// Guards against a popular prefix that overloads the upstream that has it cached.
TEST_CASE_METHOD(PrefixAffinityFixture, "PrefixAffinity: many requests with one prefix: load stays within the bound")
{
    for (int i = 0; i < 400; ++i) {
        const RouteDecision decision = this->choose(prompt("broadcast"), this->router);
        this->candidates.addInFlight(decision.upstream, 1);
    }
    int highest = 0;
    for (std::size_t i = 0; i < this->candidates.size(); ++i)
        highest = std::max(highest, this->candidates.at(i).inFlight);
    const PrefixAffinitySettings settings;
    CHECK(highest <= 10 * settings.loadBound + settings.boundSlack + 1);
}

TEST_CASE_METHOD(PrefixAffinityFixture, "PrefixAffinity: holder that leaves: is not chosen")
{
    const std::string inventory = prompt("inventory");
    const std::string first = this->choose(inventory, this->router).upstream;
    this->candidates.remove(first);
    for (int i = 0; i < 50; ++i)
        CHECK(this->choose(inventory, this->router).upstream != first);
}

TEST_CASE_METHOD(PrefixAffinityFixture,
                 "PrefixAffinity: cache event for another entry VM's request: chooses the reported upstream")
{
    const std::string inventory = prompt("inventory");
    this->router.noteCached("vm-7", prefixBlocks(inventory));
    CHECK(this->choose(inventory, this->router).upstream == "vm-7");
}

// Guards against requests sent to another zone although the local zone is equally good.
TEST_CASE_METHOD(PrefixAffinityFixture, "PrefixAffinity: short prompt: stays in the local zone")
{
    for (int i = 0; i < 50; ++i) {
        const UpstreamView *view =
            this->candidates.find(this->choose("question " + std::to_string(i), this->router).upstream);
        CHECK(view->zone.name == "a");
    }
}

// Guards against memory that grows with the number of prompts.
TEST_CASE("PrefixIndex: more blocks than fit: drops the least recently used")
{
    PrefixIndex index(100);
    const std::vector<std::uint64_t> kept{1, 2, 3};
    index.add(kept, "vm");
    for (std::uint64_t i = 10; i < 1000; ++i) {
        index.add({i}, "vm");
        index.add(kept, "vm");
    }
    CHECK(index.size() == 100);
    REQUIRE(index.find(kept).size() == 1);
    CHECK(index.find(kept)[0].bytes == 3 * prefixBlockBytes);
    CHECK(index.find({10}).empty());
}

// Guards against names of replaced upstreams that accumulate, and against a new upstream that inherits the blocks of an
// old one through a reused number.
TEST_CASE("PrefixIndex: upstreams replaced many times: none inherits another's blocks")
{
    PrefixIndex index(100);
    index.add({8}, "first");
    index.removeUpstream("first");
    for (int i = 0; i < 5000; ++i) {
        const std::string name = "vm-" + std::to_string(i);
        index.add({7}, name);
        REQUIRE(index.find({7}).size() == 1);
        REQUIRE(index.find({7})[0].upstream == name);
        REQUIRE(index.find({8}).empty());
        index.removeUpstream(name);
    }
    CHECK(index.find({7}).empty());
}

TEST_CASE("PrefixIndex: evicted block: shortens the match")
{
    PrefixIndex index(100);
    index.add({1, 2, 3}, "vm");
    index.remove(3, "vm");
    REQUIRE(index.find({1, 2, 3}).size() == 1);
    CHECK(index.find({1, 2, 3})[0].bytes == 2 * prefixBlockBytes);
}

// Guards against stale points on the hash ring and wrong slot indexes after removals.
TEST_CASE("CandidateSet: upstreams added and removed at random: look-ups, zones and ring agree")
{
    CandidateSet set;
    std::set<std::string> expected;
    RandomEngine random{3};
    for (int step = 0; step < 3000; ++step) {
        const std::string id = "vm-" + std::to_string(random() % 60);
        if (random() % 2 == 0) {
            set.set({id, {random() % 2 == 0 ? "a" : "b"}, 1});
            expected.insert(id);
        } else {
            set.remove(id);
            expected.erase(id);
        }
        REQUIRE(set.size() == expected.size());
        const auto ring = set.ringSuccessors(random(), 100);
        REQUIRE(ring.size() == expected.size());
        for (const UpstreamView *view : ring) {
            REQUIRE(expected.count(view->id) == 1);
            REQUIRE(set.find(view->id) == view);
        }
        if (const UpstreamView *view = set.randomChoiceIn({"a"}, random))
            REQUIRE(view->zone.name == "a");
        if (!expected.empty())
            REQUIRE(set.meanLoad() == Approx(1.0));
    }
}
