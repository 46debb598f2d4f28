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

// Guards against a deployment without client accounts in which no request is ever held to have crashed an upstream.
TEST_CASE_METHOD(SuspectFixture,
                 "RelayProcess: deployment has no accounts, one request broke off twice: its copies reach no upstream")
{
    this->start();
    CHECK(this->statusOfLookup("deadly") == 502);
    REQUIRE(this->sentCount == 2);
    CHECK(this->statusOfLookup("deadly") == 503);
    CHECK(this->sentCount == 2);
    CHECK(this->statusOfLookup("sound") == 200);
}
