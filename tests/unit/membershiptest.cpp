#include "membership.h"

#include <catch2/catch.hpp>

using namespace hemlock;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

class MembershipFixture
{
protected:
    static Peer peer(const std::string &id)
    {
        return {id, {"zone"}, "entry:" + id, "control:" + id};
    }

    Membership::TimePoint now{1h};
    Membership membership{peer("b"), 1000, this->now};
};

} // namespace

// Guards against a restarted node whose clock was set back: peers would ignore its heartbeats.
TEST_CASE_METHOD(MembershipFixture, "Membership: peers know a higher heartbeat of this node: own heartbeat exceeds it")
{
    this->membership.receive(json::array({{"b", 5000, 0, "zone", "entry:b", "control:b", 0}}), this->now);
    CHECK(this->membership.heartbeat() == 5001);
}

// Guards against late gossip that marks a silent member as live again.
TEST_CASE_METHOD(MembershipFixture, "Membership: silent member's old heartbeat arrives again: it stays silent")
{
    this->membership.mergeStoreRecord(peer("a"), 10, this->now);
    this->membership.tick(this->now + 30s);
    REQUIRE(this->membership.livePeers().empty());
    this->membership.receive(json::array({{"a", 10, 0}}), this->now + 30s);
    CHECK(this->membership.livePeers().empty());
    this->membership.receive(json::array({{"a", 11, 1}}), this->now + 30s);
    CHECK(this->membership.livePeers().size() == 1);
}

// Guards against members of which only the identifier is known, so that they cannot be reached.
TEST_CASE_METHOD(MembershipFixture, "Membership: heartbeat of an unknown member: its record is requested")
{
    CHECK(this->membership.receive(json::array({{"c", 10, 0}}), this->now) == std::vector<std::string>{"c"});
    CHECK(this->membership.livePeers().empty());
}

// Guards against calls to a node that has announced its shutdown.
TEST_CASE_METHOD(MembershipFixture, "Membership: member leaves: is removed from the live peers at once")
{
    this->membership.mergeStoreRecord(peer("a"), 10, this->now);
    REQUIRE(this->membership.livePeers().size() == 1);
    this->membership.receive(json::array({{"a", 11, 0, "zone", "entry:a", "control:a", 1}}), this->now);
    CHECK(this->membership.livePeers().empty());
}

// Guards against gossip that grows with the fleet: heartbeats of 350 nodes each second would not fit the budget.
TEST_CASE_METHOD(MembershipFixture, "Membership: large fleet: heartbeat interval grows")
{
    for (int i = 0; i < 349; ++i)
        this->membership.mergeStoreRecord(peer("n" + std::to_string(i)), 10, this->now);
    this->membership.tick(this->now);
    CHECK(this->membership.size() == 350);
    CHECK(this->membership.heartbeatInterval() == 17500ms);
}
