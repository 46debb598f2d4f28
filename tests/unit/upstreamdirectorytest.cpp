#include "relay/upstreamdirectory.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class UpstreamDirectoryFixture
{
protected:
    static Upstream upstream(const std::string &id, UpstreamState state = UpstreamState::Serving)
    {
        Upstream upstream;
        upstream.id = id;
        upstream.state = state;
        return upstream;
    }

    std::size_t count() const
    {
        return this->directory.upstreams().size();
    }

    UpstreamDirectory directory;
    std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
};

} // namespace

TEST_CASE_METHOD(UpstreamDirectoryFixture,
                 "UpstreamDirectory: entry is removed while the store works: upstream is gone at once")
{
    this->directory.set(upstream("a"));
    this->directory.remove("a", this->now);
    CHECK(this->count() == 0);
}

TEST_CASE_METHOD(UpstreamDirectoryFixture,
                 "UpstreamDirectory: entry lapsed in an outage: serves on until the grace time has passed")
{
    this->directory.set(upstream("a"));
    this->directory.storeRecovered(this->now);
    this->directory.replaceAll({}, this->now);
    CHECK(this->count() == 1);
    CHECK_FALSE(this->directory.expire(this->now + std::chrono::seconds(2)));
    CHECK(this->directory.expire(this->now + std::chrono::seconds(3)));
    CHECK(this->count() == 0);
}

TEST_CASE_METHOD(UpstreamDirectoryFixture, "UpstreamDirectory: lapsed entry is written again: stays")
{
    this->directory.set(upstream("a"));
    this->directory.storeRecovered(this->now);
    this->directory.replaceAll({}, this->now);
    this->directory.set(upstream("a"));
    CHECK_FALSE(this->directory.expire(this->now + std::chrono::seconds(3)));
    CHECK(this->count() == 1);
}

TEST_CASE_METHOD(UpstreamDirectoryFixture,
                 "UpstreamDirectory: leaving upstream's entry vanishes after an outage: is gone at once")
{
    this->directory.set(upstream("a", UpstreamState::Leaving));
    this->directory.storeRecovered(this->now);
    this->directory.remove("a", this->now);
    CHECK(this->count() == 0);
}
