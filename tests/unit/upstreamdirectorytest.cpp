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
                 "UpstreamDirectory: entry is removed while the store is available: upstream is removed at once")
{
    this->directory.set(upstream("a"));
    this->directory.remove("a", this->now);
    CHECK(this->count() == 0);
}

TEST_CASE_METHOD(UpstreamDirectoryFixture,
                 "UpstreamDirectory: entry expired in an outage: upstream stays until the end of the grace period")
{
    this->directory.set(upstream("a"));
    this->directory.storeRecovered(this->now);
    this->directory.replaceAll({}, this->now);
    CHECK(this->count() == 1);
    CHECK_FALSE(this->directory.expire(this->now + std::chrono::seconds(2)));
    CHECK(this->directory.expire(this->now + std::chrono::seconds(3)));
    CHECK(this->count() == 0);
}

TEST_CASE_METHOD(UpstreamDirectoryFixture, "UpstreamDirectory: expired entry is written again: upstream stays")
{
    this->directory.set(upstream("a"));
    this->directory.storeRecovered(this->now);
    this->directory.replaceAll({}, this->now);
    this->directory.set(upstream("a"));
    CHECK_FALSE(this->directory.expire(this->now + std::chrono::seconds(3)));
    CHECK(this->count() == 1);
}

TEST_CASE_METHOD(
    UpstreamDirectoryFixture,
    "UpstreamDirectory: entry of a leaving upstream is removed after an outage: upstream is removed at once")
{
    this->directory.set(upstream("a", UpstreamState::Leaving));
    this->directory.storeRecovered(this->now);
    this->directory.remove("a", this->now);
    CHECK(this->count() == 0);
}
