#include "relay/relayconfig.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class RouteTableFixture
{
protected:
    static RelayRoute route(const std::string &name, const std::string &host, const std::string &prefix)
    {
        RelayRoute route;
        route.name = name;
        route.host = host;
        route.pathPrefix = prefix;
        route.targets = {{"model", 1.0}};
        return route;
    }

    RouteTableFixture()
    {
        RelayConfig config;
        config.routes = {route("short", "a.example", "/x/"),
                         route("long", "a.example", "/x/y/"),
                         route("other", "b.example", "/x/")};
        config.accounts = {{"account-1", {"key-1", "key-2"}, {}, 0.0, 0.0, false, 1.0}};
        this->table = std::make_shared<const RouteTable>(std::move(config));
    }

    std::string nameOf(std::string_view host, std::string_view path) const
    {
        const RelayRoute *found = this->table->find(host, path);
        return found ? found->name : std::string();
    }

    RouteTablePtr table;
};

} // namespace

TEST_CASE_METHOD(RouteTableFixture, "RouteTable: two prefixes match the path: the longest one is chosen")
{
    CHECK(this->nameOf("a.example", "/x/y/z") == "long");
    CHECK(this->nameOf("a.example", "/x/z") == "short");
}

TEST_CASE_METHOD(RouteTableFixture, "RouteTable: host with a port and capitals: is the same host")
{
    CHECK(this->nameOf("B.Example:8080", "/x/") == "other");
}

TEST_CASE_METHOD(RouteTableFixture, "RouteTable: prefix without its last slash or unknown host: has no route")
{
    CHECK(this->nameOf("a.example", "/x").empty());
    CHECK(this->nameOf("c.example", "/x/").empty());
}

TEST_CASE_METHOD(RouteTableFixture, "RouteTable: API key: finds its account, an unknown key finds none")
{
    REQUIRE(this->table->accountOfKey("key-2"));
    CHECK(this->table->accountOfKey("key-2")->name == "account-1");
    CHECK_FALSE(this->table->accountOfKey("key-3"));
    CHECK_FALSE(this->table->accountOfKey(""));
}

TEST_CASE_METHOD(RouteTableFixture, "targetService: route split 90 to 10: calls follow the weights")
{
    RelayRoute split = route("split", "a.example", "/s/");
    split.targets = {{"first", 90.0}, {"second", 10.0}};
    int second = 0;
    for (int i = 0; i < 1000; ++i)
        second += targetService(split, "call-" + std::to_string(i)) == "second" ? 1 : 0;
    CHECK(second > 50);
    CHECK(second < 200);
    CHECK(targetService(split, "call-7") == targetService(split, "call-7"));
}

TEST_CASE_METHOD(RouteTableFixture, "targetService: target of weight 0: gets no calls")
{
    RelayRoute split = route("split", "a.example", "/s/");
    split.targets = {{"first", 0.0}, {"second", 5.0}};
    for (int i = 0; i < 100; ++i)
        CHECK(targetService(split, std::to_string(i)) == "second");
}
