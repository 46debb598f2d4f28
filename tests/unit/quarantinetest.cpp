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
        this->quarantine.recordCrash(fingerprint, upstream(id, zone), this->now);
        this->quarantine.upstreamDied(upstream(id, zone), this->now);
    }

    Permission permissionFor(const std::string &fingerprint)
    {
        return this->quarantine.permissionFor(fingerprint, this->now);
    }

    Quarantine quarantine;
    Quarantine::Time now{std::chrono::hours(10)};
};

/// Quarantine of prompt parts at two entry VMs.
class PartQuarantineFixture
{
protected:
    static QuarantineSettings settings(const std::string &seed)
    {
        QuarantineSettings settings;
        settings.provenCrashLimit = 3;
        settings.provenDuration = std::chrono::seconds(30);
        settings.minRestartTime = std::chrono::seconds(2);
        settings.trialDelay = std::chrono::seconds(8);
        settings.distinguishingTrialDelay = std::chrono::seconds(1);
        settings.trialSeed = seed;
        return settings;
    }

    /// Records the crash of an upstream at the first VM during an attempt with these parts.
    void crash(const std::vector<std::string> &parts, const std::string &upstream)
    {
        for (const std::string &part : parts)
            this->quarantine.recordCrash(part, {.id = upstream, .service = "model", .zone = {"zone"}}, this->now);
    }

    void succeed(const std::string &part)
    {
        this->quarantine.recordSuccess(part, this->now, this->now);
    }

    void exchangeUpdates()
    {
        this->other.applyDelta(this->quarantine.delta(0, this->now), this->now);
        this->quarantine.applyDelta(this->other.delta(0, this->now), this->now);
    }

    Permission permissionFor(const std::string &part)
    {
        return this->quarantine.permissionFor(part, this->now);
    }

    bool isRefused(const std::string &part)
    {
        return this->permissionFor(part) == Permission::Refused;
    }

    Quarantine quarantine{settings("vm-1")};
    Quarantine other{settings("vm-2")};
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
    this->quarantine.recordSuccess("bystander", this->now, this->now);
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
    other.recordCrash("bad", upstream("u2", "b"), this->now);
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
    this->quarantine.recordSuccess("bystander", this->now, this->now);
    other.applyDelta(this->quarantine.delta(0, this->now), this->now);
    CHECK(other.permissionFor("bystander", this->now) == Permission::Allowed);
}

// Guards against an endless exchange of deltas in which each process records the received entries as newer changes.
TEST_CASE_METHOD(QuarantineFixture, "Quarantine: deltas are exchanged repeatedly: versions stop growing")
{
    Quarantine other;
    this->crash("bad", "u1", "a");
    this->quarantine.recordSuccess("bad", this->now, this->now);
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

// Guards against sound requests that are refused since they share a part with requests that crash upstreams.
TEST_CASE_METHOD(PartQuarantineFixture,
                 "Quarantine: part had the same crashes as another and was answered in between: is not refused")
{
    this->crash({"shared", "bad"}, "u1");
    this->now += std::chrono::milliseconds(500);
    this->succeed("shared");
    this->now += std::chrono::milliseconds(500);
    this->crash({"shared", "bad"}, "u2");
    CHECK(this->isRefused("bad"));
    CHECK_FALSE(this->isRefused("shared"));
}

TEST_CASE_METHOD(PartQuarantineFixture,
                 "Quarantine: part was answered before it had the same crashes as another: only the other is refused")
{
    this->succeed("shared");
    this->now += std::chrono::seconds(5);
    for (const char *upstream : {"u1", "u2", "u3"})
        this->crash({"shared", "bad"}, upstream);
    this->exchangeUpdates();
    for (Quarantine *vm : {&this->quarantine, &this->other}) {
        CHECK(vm->permissionFor("bad", this->now) == Permission::Refused);
        CHECK(vm->permissionFor("shared", this->now) == Permission::Isolated);
    }
}

TEST_CASE_METHOD(PartQuarantineFixture, "Quarantine: part that was answered before crashes three upstreams: is refused")
{
    this->succeed("bad");
    this->now += std::chrono::seconds(5);
    this->crash({"bad"}, "u1");
    this->crash({"bad"}, "u2");
    CHECK(this->permissionFor("bad") == Permission::Isolated);
    this->crash({"bad"}, "u3");
    CHECK(this->isRefused("bad"));
}

TEST_CASE_METHOD(PartQuarantineFixture, "Quarantine: two parts had the same crashes: a trial soon tells which is sound")
{
    this->crash({"shared", "bad"}, "u1");
    this->crash({"shared", "bad"}, "u2");
    CHECK(this->isRefused("shared"));
    this->now += std::chrono::seconds(2);
    REQUIRE(this->permissionFor("shared") == Permission::Trial);
    this->quarantine.startTrial("shared", this->now);
    CHECK(this->isRefused("shared"));
    this->now += std::chrono::milliseconds(300);
    this->succeed("shared");
    CHECK(this->permissionFor("shared") == Permission::Allowed);
    CHECK(this->isRefused("bad"));
}

TEST_CASE_METHOD(PartQuarantineFixture, "Quarantine: part had all crashes of another and one more: explains them")
{
    this->crash({"shared", "bad"}, "u1");
    this->crash({"shared", "bad"}, "u2");
    this->crash({"bad"}, "u3");
    CHECK(this->isRefused("bad"));
    CHECK(this->permissionFor("shared") == Permission::Isolated);
}

// Guards against a part that stays refused after the upstreams were repaired, and against trials at every VM.
TEST_CASE_METHOD(PartQuarantineFixture, "Quarantine: trial of a refused part was started at one VM: the other waits")
{
    this->crash({"bad"}, "u1");
    this->crash({"bad"}, "u2");
    this->exchangeUpdates();
    this->now += std::chrono::milliseconds(7900);
    CHECK(this->isRefused("bad"));
    this->now += std::chrono::milliseconds(8200);
    REQUIRE(this->permissionFor("bad") == Permission::Trial);
    this->quarantine.startTrial("bad", this->now);
    this->exchangeUpdates();
    CHECK(this->isRefused("bad"));
    CHECK(this->other.permissionFor("bad", this->now) == Permission::Refused);
    this->now += std::chrono::seconds(1);
    this->succeed("bad");
    this->exchangeUpdates();
    CHECK(this->other.permissionFor("bad", this->now) == Permission::Allowed);
}

TEST_CASE_METHOD(PartQuarantineFixture, "Quarantine: part crashes upstreams in all its trials: three in five minutes")
{
    this->crash({"bad"}, "u1");
    this->crash({"bad"}, "u2");
    int trials = 0;
    for (int second = 0; second < 300; ++second) {
        this->now += std::chrono::seconds(1);
        if (this->permissionFor("bad") != Permission::Trial)
            continue;
        this->quarantine.startTrial("bad", this->now);
        this->crash({"bad"}, "trial-" + std::to_string(++trials));
    }
    CHECK(trials >= 1);
    CHECK(trials <= 3);
}

// Guards against a service with a single upstream, which a part crashes again and again.
TEST_CASE_METHOD(PartQuarantineFixture, "Quarantine: part crashes an upstream again after its restart: counts twice")
{
    this->crash({"bad"}, "u1");
    this->now += std::chrono::milliseconds(100);
    this->crash({"bad"}, "u1");
    CHECK(this->permissionFor("bad") == Permission::Isolated);
    this->now += std::chrono::seconds(3);
    this->crash({"bad"}, "u1");
    CHECK(this->isRefused("bad"));
}

// Guards against an attacker who names many parts, so that the one that crashes upstreams is forgotten.
TEST_CASE_METHOD(PartQuarantineFixture, "Quarantine: more suspects than entries: the refused one is kept")
{
    this->crash({"bad"}, "u1");
    this->crash({"bad"}, "u2");
    for (int i = 0; i < 10500; ++i) {
        this->now += std::chrono::microseconds(100);
        this->crash({"part-" + std::to_string(i)}, "u3");
    }
    this->now += std::chrono::seconds(2);
    CHECK(this->isRefused("bad"));
    CHECK(this->quarantine.size() == 10000);
}

// Guards against sound requests that are refused for long since their part is shared by two that crash upstreams.
TEST_CASE_METHOD(PartQuarantineFixture,
                 "Quarantine: two parts each crash an upstream beside a shared one: it soon gets a trial")
{
    this->crash({"shared", "bad-1"}, "u1");
    this->crash({"shared", "bad-2"}, "u2");
    CHECK(this->isRefused("shared"));
    this->now += std::chrono::seconds(2);
    CHECK(this->permissionFor("shared") == Permission::Trial);
    this->succeed("shared");
    this->crash({"shared", "bad-1"}, "u3");
    CHECK(this->isRefused("bad-1"));
    CHECK_FALSE(this->isRefused("shared"));
}

namespace {

/// Quarantine of prompt parts in which presence at crashes counts as well.
class PresenceFixture
{
protected:
    static QuarantineSettings settings()
    {
        QuarantineSettings settings;
        settings.presenceLimit = 4;
        settings.incidentWindow = std::chrono::milliseconds(100);
        settings.maxCrashesPerEntry = 8;
        settings.minRestartTime = std::chrono::seconds(2);
        settings.provenCrashLimit = 3;
        settings.provenDuration = std::chrono::seconds(30);
        return settings;
    }

    /// Records crashes of several upstreams at one moment, at which the parts were present, and lets time pass.
    void crash(const std::vector<std::string> &parts, const std::vector<std::string> &upstreams)
    {
        for (const std::string &id : upstreams) {
            for (const std::string &part : parts)
                this->quarantine.recordPresence(part, {.id = id, .service = "model", .zone = {"zone"}}, this->now);
        }
        this->now += std::chrono::seconds(1);
    }

    Quarantine quarantine{settings()};
    Quarantine::Time now{std::chrono::hours(10)};
};

} // namespace

// Guards against parts that crash upstreams before their answers, or after several events.
TEST_CASE_METHOD(PresenceFixture, "Quarantine: part was present at incident after incident: is refused")
{
    this->crash({"bad"}, {"u1"});
    this->crash({"bad"}, {"u2"});
    this->crash({"bad"}, {"u3"});
    CHECK_FALSE(this->quarantine.isRefused("bad"));
    this->crash({"bad"}, {"u4"});
    CHECK(this->quarantine.isRefused("bad"));
}

// Guards against sound parts that are refused since they stood beside the one that crashes upstreams.
TEST_CASE_METHOD(PresenceFixture, "Quarantine: part was answered between incidents: only the other one is refused")
{
    for (const char *id : {"u1", "u2", "u3", "u4", "u5"}) {
        this->quarantine.recordSuccess("shared", this->now, this->now);
        this->crash({"shared", "bad"}, {id});
    }
    CHECK(this->quarantine.isRefused("bad"));
    CHECK_FALSE(this->quarantine.isRefused("shared"));
}

// Guards against a reset of many connections that is taken for many crashes by what they carried.
TEST_CASE_METHOD(PresenceFixture, "Quarantine: many upstreams break at one moment: is one incident")
{
    this->crash({"shared"}, {"u1", "u2", "u3", "u4", "u5", "u6"});
    CHECK_FALSE(this->quarantine.isRefused("shared"));
}

// Guards against an entry VM of an earlier version that takes a presence for a crash.
TEST_CASE_METHOD(PresenceFixture, "Quarantine: message holds presences: they are apart from the crashes")
{
    this->crash({"bad"}, {"u1"});
    const auto entry = this->quarantine.delta(0, this->now).at("entries").at(0);
    CHECK(entry.at("crashes").empty());
    CHECK(entry.at("presences").size() == 1);
}

// Guards against sound requests that are refused for long since a stream of theirs was answered for a while.
TEST_CASE_METHOD(PresenceFixture, "Quarantine: attempt made progress after a crash: the part was present at most")
{
    const Upstream upstream{.id = "u1", .service = "model", .zone = {"zone"}};
    this->quarantine.recordCrash("part", upstream, this->now);
    this->now += std::chrono::seconds(3);
    this->quarantine.recordCrash("part", upstream, this->now);
    CHECK(this->quarantine.isRefused("part"));
    this->now += std::chrono::seconds(1);
    this->quarantine.recordProgress("part", this->now, this->now);
    CHECK_FALSE(this->quarantine.isRefused("part"));
}
