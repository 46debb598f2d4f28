#include "relay/peerupdate.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class PeerUpdateFixture
{
protected:
    PeerUpdateFixture()
    {
        this->update.node = "vm-1";
        this->update.runId = "run-1";
        this->update.sequence = 7;
        this->update.quotaTotals = {{"account", 1234.5}};
        this->update.loads = {{"upstream", {3, 17000.0}}};
        this->update.demand = {{"model", 99000.0}};
        this->update.usage = {{353445120, {{"account", 4}}}};
        this->update.cachedParts = {{"upstream", {{0xffffffffffffffffULL, 13300.0}}}};
        this->update.quarantine = nlohmann::json::object();
    }

    PeerUpdate update;
};

} // namespace

TEST_CASE_METHOD(PeerUpdateFixture, "PeerUpdate: encoded and decoded: is unchanged")
{
    const auto encoded = nlohmann::json(this->update).dump();
    const auto decoded = nlohmann::json::parse(encoded).get<PeerUpdate>();
    CHECK(nlohmann::json(decoded).dump() == encoded);
    CHECK(decoded.loads.at("upstream").requests == 3);
    CHECK(decoded.cachedParts.front().parts.front().id == 0xffffffffffffffffULL);
    CHECK(decoded.usage.at(353445120).at("account") == 4);
}

TEST_CASE_METHOD(PeerUpdateFixture, "PeerUpdate: message lacks a field: is rejected")
{
    nlohmann::json json = this->update;
    json.erase("quota");
    CHECK_THROWS_AS(json.get<PeerUpdate>(), nlohmann::json::exception);
}

// Guards against messages of roll-outs that earlier versions reject: they read the run and the usage only.
TEST_CASE("UsageUpdate: message of a roll-out: has the fields of earlier versions, and theirs can be read")
{
    const nlohmann::json json = UsageUpdate{"run-1", {}, {{"sequence", 3}}, nullptr, "vm-1"};
    CHECK(json.at("run") == "run-1");
    CHECK(json.at("usage").empty());
    const auto update = json.get<UsageUpdate>();
    CHECK(update.rolloutReport.at("sequence") == 3);
    CHECK(update.node == "vm-1");
    const auto earlier = nlohmann::json({{"run", "run-2"}, {"usage", nlohmann::json::object()}}).get<UsageUpdate>();
    CHECK(earlier.rolloutReport.is_null());
    CHECK(earlier.rolloutAnswer.is_null());
}
