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

// Guards against requests to upstreams that left after the copy was made.
TEST_CASE_METHOD(UpstreamDirectoryFixture,
                 "UpstreamDirectory: restored store lists upstreams that have left: they are not in use again")
{
    const auto born = [](Upstream upstream) {
        upstream.incarnation = "1";
        return upstream;
    };
    const Upstream leaving = born(upstream("leaving"));
    const Upstream left = born(upstream("left"));
    const Upstream lapsed = born(upstream("lapsed"));
    for (const Upstream &listed : {leaving, left, lapsed})
        this->directory.set(listed);
    this->directory.set(born(upstream("leaving", UpstreamState::Leaving)));
    this->directory.set(born(upstream("left", UpstreamState::Leaving)));
    this->directory.remove("left", this->now);
    this->directory.remove("lapsed", this->now);
    this->directory.storeRestored(this->now);
    this->directory.replaceAll({leaving, left, lapsed}, this->now);
    REQUIRE(this->count() == 1);
    CHECK(this->directory.upstreams().front().state == UpstreamState::Leaving);

    // An upstream that lives and reaches the store is listed after the grace period as well.
    CHECK_FALSE(this->directory.takeReloadDue(this->now + std::chrono::seconds(4)));
    this->now += std::chrono::seconds(5);
    CHECK(this->directory.takeReloadDue(this->now));
    CHECK_FALSE(this->directory.takeReloadDue(this->now));
    this->directory.replaceAll({leaving, left, lapsed}, this->now);
    CHECK(this->count() == 2);
}

TEST_CASE_METHOD(
    UpstreamDirectoryFixture,
    "UpstreamDirectory: restored store lacks upstreams that registered since: they stay in use for a while")
{
    this->directory.set(upstream("a"));
    this->directory.storeRestored(this->now);
    this->directory.replaceAll({}, this->now);
    CHECK(this->count() == 1);
    this->directory.set(upstream("a"));
    CHECK_FALSE(this->directory.expire(this->now + std::chrono::seconds(3)));
    CHECK(this->count() == 1);
}

TEST_CASE_METHOD(
    UpstreamDirectoryFixture,
    "UpstreamDirectory: upstream that left restarts under its identifier: is in use, whatever was restored")
{
    Upstream restarted = upstream("a", UpstreamState::Leaving);
    restarted.incarnation = "1";
    this->directory.set(restarted);
    this->directory.remove("a", this->now);
    this->directory.storeRestored(this->now);
    restarted.incarnation = "2";
    restarted.state = UpstreamState::Serving;
    this->directory.replaceAll({restarted}, this->now);
    CHECK(this->count() == 1);
}
