#include "suspectfixture.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class CrashingRequestFixture : public SuspectFixture
{
protected:
    /// A request breaks off at both upstreams, and a copy of it follows.
    void checkCopiesAreRefused()
    {
        this->start();
        CHECK(this->statusOfLookup("deadly") == 502);
        REQUIRE(this->sentCount == 2);
        CHECK(this->statusOfLookup("deadly") == 503);
        CHECK(this->sentCount == 2);
        CHECK(this->statusOfLookup("sound") == 200);
    }
};

} // namespace

// Guards against a request that goes on crashing upstreams on which nothing else is seen to fail.
TEST_CASE_METHOD(CrashingRequestFixture,
                 "RelayProcess: one request broke off at two upstreams: its copies reach no other")
{
    this->hasAccounts = true;
    this->checkCopiesAreRefused();
}

// Guards against a deployment without client accounts in which no request is ever held to have crashed an upstream.
TEST_CASE_METHOD(CrashingRequestFixture,
                 "RelayProcess: deployment has no accounts, one request broke off twice: its copies reach no upstream")
{
    this->checkCopiesAreRefused();
}
