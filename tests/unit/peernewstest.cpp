#include "relay/peernews.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class PeerNewsFixture
{
protected:
    PeerNewsFixture()
    {
        this->news.node = "vm-1";
        this->news.run = "run-1";
        this->news.sequence = 7;
        this->news.quotaTotals = {{"account", 1234.5}};
        this->news.loads = {{"upstream", {3, 17000.0}}};
        this->news.demand = {{"model", 99000.0}};
        this->news.usage = {{353445120, {{"account", 4}}}};
        this->news.cachedParts = {{"upstream", {{0xffffffffffffffffULL, 13300.0}}}};
        this->news.quarantine = nlohmann::json::object();
    }

    PeerNews news;
};

} // namespace

TEST_CASE_METHOD(PeerNewsFixture, "PeerNews: written and read again: is the same")
{
    const auto text = nlohmann::json(this->news).dump();
    const auto read = nlohmann::json::parse(text).get<PeerNews>();
    CHECK(nlohmann::json(read).dump() == text);
    CHECK(read.loads.at("upstream").requests == 3);
    CHECK(read.cachedParts.front().parts.front().id == 0xffffffffffffffffULL);
    CHECK(read.usage.at(353445120).at("account") == 4);
}

TEST_CASE_METHOD(PeerNewsFixture, "PeerNews: message lacks a field: is refused")
{
    nlohmann::json json = this->news;
    json.erase("quota");
    CHECK_THROWS_AS(json.get<PeerNews>(), nlohmann::json::exception);
}
