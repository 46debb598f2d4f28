#include "quarantine.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

using namespace hemlock;
using Permission = Quarantine::Permission;

namespace {

class QuarantineFixture
{
protected:
    static Upstream upstream(const std::string &id, const std::string &zone)
    {
        return {.id = id, .service = "model", .zone = {zone}};
    }

    /// Records an attempt that ends with the death of its upstream.
    void crash(const std::string &fingerprint, const std::string &id, const std::string &zone)
    {
        this->quarantine.requestCrashed(fingerprint, upstream(id, zone), this->now);
        this->quarantine.upstreamDied(upstream(id, zone), this->now);
    }

    Permission permissionFor(const std::string &fingerprint)
    {
        return this->quarantine.permissionFor(fingerprint, this->now);
    }

    Quarantine quarantine;
    Quarantine::Time now{std::chrono::hours(10)};
};

} // namespace

// Guards against a crashing request that its caller repeats until no upstream is left.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine: two upstreams crashed: the request is refused")
{
    CHECK(this->permissionFor("bad") == Permission::Allowed);
    this->crash("bad", "u1", "a");
    CHECK(this->permissionFor("bad") == Permission::Isolated);
    this->now += std::chrono::seconds(1);
    this->crash("bad", "u2", "a");
    CHECK(this->permissionFor("bad") == Permission::Refused);
    CHECK(this->permissionFor("other") == Permission::Allowed);
}

// Guards against parallel copies of a suspect request that take down several upstreams at once.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine: suspect request is running: its copies wait")
{
    this->crash("bad", "u1", "a");
    this->quarantine.attemptStarted("bad", "u2");
    CHECK(this->permissionFor("bad") == Permission::Wait);
    CHECK(this->quarantine.isolatedUpstreams() == std::set<std::string>{"u2"});
    this->quarantine.attemptEnded("bad", "u2");
    CHECK(this->permissionFor("bad") == Permission::Isolated);
    CHECK(this->quarantine.isolatedUpstreams().empty());
}

// Guards against harmless requests that stay suspect because they shared an upstream with a crashing one.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine: suspect request gets its answer: is cleared")
{
    this->crash("bystander", "u1", "a");
    this->now += std::chrono::seconds(1);
    this->quarantine.requestSucceeded("bystander", this->now);
    CHECK(this->permissionFor("bystander") == Permission::Allowed);
    this->now += std::chrono::seconds(5);
    this->crash("bystander", "u2", "a");
    CHECK(this->permissionFor("bystander") == Permission::Isolated);
}

// Guards against requests that are refused because reclaims emptied the zones that they ran in.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine: announced reclaims: do not count, whether known before or after")
{
    this->quarantine.reclaimAnnounced("u1", this->now);
    this->crash("request", "u1", "a");
    this->crash("request", "u2", "b");
    CHECK(this->permissionFor("request") == Permission::Isolated);
    this->now += std::chrono::seconds(3);
    this->quarantine.reclaimAnnounced("u2", this->now);
    CHECK(this->permissionFor("request") == Permission::Allowed);
}

// Guards against a request that becomes suspect through unannounced zone losses, one after another.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine: other upstreams of the zone die at the same time: no crash counts")
{
    this->crash("request", "a1", "a");
    CHECK(this->permissionFor("request") == Permission::Isolated);
    this->now += std::chrono::milliseconds(1500);
    this->quarantine.upstreamDied(upstream("a2", "a"), this->now);
    CHECK(this->permissionFor("request") == Permission::Allowed);
    this->now += std::chrono::seconds(20);
    this->quarantine.upstreamDied(upstream("b2", "b"), this->now);
    this->now += std::chrono::milliseconds(1500);
    this->crash("request", "b1", "b");
    CHECK(this->permissionFor("request") == Permission::Allowed);
}

// Guards against crashes that are excused as a zone loss although the request itself killed both upstreams of the zone.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine: both dead upstreams of the zone ran the request: both crashes count")
{
    this->crash("bad", "a1", "a");
    // Another request on a2 reports its death first.
    this->quarantine.upstreamDied(upstream("a2", "a"), this->now);
    CHECK(this->permissionFor("bad") == Permission::Allowed);
    this->crash("bad", "a2", "a");
    CHECK(this->permissionFor("bad") == Permission::Refused);
}

// Guards against a caller that sends its crashing request to one entry VM after another.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine: delta applied elsewhere: the request is refused there as well")
{
    Quarantine other;
    this->crash("bad", "u1", "a");
    const auto first = this->quarantine.delta(0, this->now);
    other.applyDelta(first, this->now);
    other.applyDelta(first, this->now);
    CHECK(other.permissionFor("bad", this->now) == Permission::Isolated);
    this->now += std::chrono::seconds(1);
    other.requestCrashed("bad", upstream("u2", "b"), this->now);
    this->quarantine.applyDelta(other.delta(0, this->now), this->now);
    CHECK(this->permissionFor("bad") == Permission::Refused);
    CHECK(this->quarantine.delta(this->quarantine.delta(0, this->now)["version"], this->now)["entries"].empty());
}

// Guards against a harmless request that is refused after crashes that its success has cleared at another entry VM.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine: cleared elsewhere: earlier crashes no longer count here")
{
    Quarantine other;
    this->crash("bystander", "u1", "a");
    other.applyDelta(this->quarantine.delta(0, this->now), this->now);
    this->now += std::chrono::seconds(5);
    this->quarantine.requestSucceeded("bystander", this->now);
    other.applyDelta(this->quarantine.delta(0, this->now), this->now);
    CHECK(other.permissionFor("bystander", this->now) == Permission::Allowed);
}

// Guards against an endless exchange of deltas in which each process records the received entries as newer changes.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine: deltas are exchanged repeatedly: versions stop growing")
{
    Quarantine other;
    this->crash("bad", "u1", "a");
    this->quarantine.requestSucceeded("bad", this->now);
    for (int i = 0; i < 3; ++i) {
        this->now += std::chrono::milliseconds(100);
        other.applyDelta(this->quarantine.delta(0, this->now), this->now);
        this->quarantine.applyDelta(other.delta(0, this->now), this->now);
    }
    const auto version = this->quarantine.delta(0, this->now)["version"];
    other.applyDelta(this->quarantine.delta(0, this->now), this->now);
    this->quarantine.applyDelta(other.delta(0, this->now), this->now);
    CHECK(this->quarantine.delta(0, this->now)["version"] == version);
}

// Guards against entries that never expire.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine: time passes: suspicion ends before refusal, and both end")
{
    this->crash("suspect", "u1", "a");
    this->crash("bad", "u2", "b");
    this->crash("bad", "u3", "c");
    this->now += std::chrono::minutes(11);
    CHECK(this->permissionFor("suspect") == Permission::Allowed);
    CHECK(this->permissionFor("bad") == Permission::Refused);
    this->now += std::chrono::minutes(50);
    CHECK(this->permissionFor("bad") == Permission::Allowed);
    CHECK(this->quarantine.size() == 0);
}

// Guards against an account whose crashes get requests of another account refused.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine: same body of two accounts: has two fingerprints")
{
    CHECK(requestFingerprint("a", "model", "body") != requestFingerprint("b", "model", "body"));
    CHECK(requestFingerprint("a", "bmodel", "body") != requestFingerprint("ab", "model", "body"));
}
