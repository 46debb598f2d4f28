#include "relay/suspectupdates.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <set>

using namespace hemlock;

namespace {

using Audience = SuspectUpdates::Audience;

class SuspectUpdatesFixture
{
protected:
    void crash(Quarantine &quarantine, const std::string &fingerprint, const std::string &upstreamId = "u")
    {
        Upstream upstream;
        upstream.id = upstreamId;
        upstream.zone = {"zone-" + upstreamId};
        quarantine.requestCrashed(fingerprint, upstream, this->now);
    }

    static std::set<std::string> fingerprintsOf(const nlohmann::json &message)
    {
        std::set<std::string> fingerprints;
        for (const nlohmann::json &entry : message.at("entries"))
            fingerprints.insert(entry.at("fingerprint").get<std::string>());
        return fingerprints;
    }

    Quarantine::Time now{std::chrono::hours(1)};
    Quarantine own;
    Quarantine neighbour;
    SuspectUpdates updates{this->own, {4, 3, std::chrono::seconds(15)}};
    SuspectUpdates neighbourUpdates{this->neighbour, {4, 3, std::chrono::seconds(15)}};
};

} // namespace

TEST_CASE_METHOD(SuspectUpdatesFixture, "SuspectNews: more suspects than fit into a message: all are told in turn")
{
    for (int i = 0; i < 10; ++i)
        this->crash(this->own, "f" + std::to_string(i));
    std::set<std::string> sent;
    for (int i = 0; i < 3; ++i) {
        const auto fingerprints = fingerprintsOf(this->updates.nextMessage(Audience::Neighbours, this->now));
        CHECK(fingerprints.size() == 4);
        sent.insert(fingerprints.begin(), fingerprints.end());
    }
    CHECK(sent.size() == 10);
}

TEST_CASE_METHOD(SuspectUpdatesFixture, "SuspectNews: change was repeated often enough: is not told any more")
{
    this->crash(this->own, "f");
    for (int i = 0; i < 3; ++i)
        CHECK(fingerprintsOf(this->updates.nextMessage(Audience::Neighbours, this->now)).size() == 1);
    CHECK(fingerprintsOf(this->updates.nextMessage(Audience::Neighbours, this->now)).empty());
}

TEST_CASE_METHOD(SuspectUpdatesFixture,
                 "SuspectNews: neighbour tells a crash: is told to other zones and not back to neighbours")
{
    this->crash(this->neighbour, "f");
    this->updates.applyMessage(
        this->neighbourUpdates.nextMessage(Audience::Neighbours, this->now), Audience::Neighbours, this->now);
    CHECK(fingerprintsOf(this->updates.nextMessage(Audience::Neighbours, this->now)).empty());
    CHECK(fingerprintsOf(this->updates.nextMessage(Audience::OtherZones, this->now)) == std::set<std::string>{"f"});
}

TEST_CASE_METHOD(SuspectUpdatesFixture, "SuspectNews: other zone tells a crash: is not told on")
{
    this->crash(this->neighbour, "f");
    this->updates.applyMessage(
        this->neighbourUpdates.nextMessage(Audience::OtherZones, this->now), Audience::OtherZones, this->now);
    CHECK(fingerprintsOf(this->updates.nextMessage(Audience::Neighbours, this->now)).empty());
    CHECK(fingerprintsOf(this->updates.nextMessage(Audience::OtherZones, this->now)).empty());
}

TEST_CASE_METHOD(SuspectUpdatesFixture, "SuspectNews: two VMs each saw a crash of a request: both refuse it")
{
    this->crash(this->own, "f", "u1");
    this->crash(this->neighbour, "f", "u2");
    this->updates.applyMessage(
        this->neighbourUpdates.nextMessage(Audience::Neighbours, this->now), Audience::Neighbours, this->now);
    this->neighbourUpdates.applyMessage(
        this->updates.nextMessage(Audience::Neighbours, this->now), Audience::Neighbours, this->now);
    CHECK(this->own.permissionFor("f", this->now) == Quarantine::Permission::Refused);
    CHECK(this->neighbour.permissionFor("f", this->now) == Quarantine::Permission::Refused);
}
