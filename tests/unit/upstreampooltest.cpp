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
                          this->make("gone", UpstreamState::Gone)});
    }

    static Upstream make(const std::string &id, UpstreamState state)
    {
        return {.id = id, .service = "model", .address = "127.0.0.1:1", .zone = {"a"}, .state = state};
    }

    std::vector<std::string> names(const std::set<std::string> &excluded = {}) const
    {
        std::vector<std::string> ids;
        for (const UpstreamView &view : this->pool.candidates("model", excluded, this->now))
            ids.push_back(view.id);
        return ids;
    }

    UpstreamPool pool;
    UpstreamPool::Time now{std::chrono::hours(1)};
};

using Names = std::vector<std::string>;

} // namespace

// Guards against new work for an upstream that is leaving or not ready yet.
TEST_CASE_METHOD(UpstreamPoolFixture, "UpstreamPool: all states present: only the serving upstream is a candidate")
{
    CHECK(this->names() == Names{"serving"});
}

// Guards against a refusal while an upstream remains that may well be sound.
TEST_CASE_METHOD(UpstreamPoolFixture, "UpstreamPool: no serving upstream left: the suspected one is a candidate")
{
    CHECK(this->names({"serving"}) == Names{"suspected"});
    CHECK(this->names({"serving", "suspected"}).empty());
}

// Guards against requests that keep going to a dead upstream until the control process notices.
TEST_CASE_METHOD(UpstreamPoolFixture, "UpstreamPool: upstream failed just now: is avoided for a while")
{
    this->pool.apply({this->make("a", UpstreamState::Serving), this->make("b", UpstreamState::Serving)});
    this->pool.attemptFailed("a", this->now);
    CHECK(this->names() == Names{"b"});
    CHECK(this->names({"b"}) == Names{"a"});
    this->now += std::chrono::seconds(2);
    CHECK(this->names() == Names{"a", "b"});
    CHECK(this->pool.takeFailures().at("a") == 1);
    CHECK(this->pool.takeFailures().empty());
}

// Guards against in-flight counts that a new snapshot resets, which would overload busy upstreams.
TEST_CASE_METHOD(UpstreamPoolFixture, "UpstreamPool: new snapshot: in-flight counts stay")
{
    this->pool.attemptStarted("serving");
    this->pool.apply({this->make("serving", UpstreamState::Serving)});
    CHECK(this->pool.candidates("model", {}, this->now).front().inFlight == 1);
    this->pool.apply({});
    CHECK(this->pool.inFlight().at("serving") == 1);
    this->pool.attemptEnded("serving");
    CHECK(this->pool.inFlight().empty());
}
