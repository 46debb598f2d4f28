#include "suspectfixture.h"

#include <catch2/catch.hpp>

using namespace hemlock;

// Guards against a request that goes on crashing upstreams on which nothing else is seen to fail.
TEST_CASE_METHOD(SuspectFixture, "RelayProcess: one request broke off at two upstreams: its copies reach no other")
{
    this->hasAccounts = true;
    this->start();
    CHECK(this->statusOfLookup("deadly") == 502);
    REQUIRE(this->sentCount == 2);
    CHECK(this->statusOfLookup("deadly") == 503);
    CHECK(this->sentCount == 2);
    CHECK(this->statusOfLookup("sound") == 200);
}
